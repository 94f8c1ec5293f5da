//! Drains of failure domains: while one is ordered, no call is sent to the targets of the domain.
//!
//! An operator orders a drain and ends it again. Nodes learn of both from the store and from peers, in any order.

use {
    crate::ids::DomainName,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
    xxhash_rust::xxh3::xxh3_64,
};

/// Bits of a digest below the revisions. Without them, two nodes that each lack a state of the other have the same
/// digest if the revisions happen to differ by the same number, and neither asks the other.
const DIGEST_HASH_BITS: u32 = 16;

/// Revision of the store at which a drain was ordered or ended.
pub type DrainRevision = u64;

/// State of the drain of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct DomainDrain {
    /// Failure domain that the order names.
    pub domain: DomainName,
    /// Revision of the state; a later one of the same domain has a higher revision.
    pub revision: DrainRevision,
    /// Whether the drain is ordered; false once it has ended.
    pub active: bool,
}

/// Latest known state of each failure domain that has ever been drained.
#[derive(Debug, Default)]
pub struct DomainDrains {
    /// Invariant: a state is replaced only by one with a higher revision. Ended drains stay, so that an older order
    /// from a peer does not take effect again.
    drains: BTreeMap<DomainName, DomainDrain>,
    /// Revision of the newest complete read of the store. Invariant: each drain that was active at this revision is in
    /// `drains`, so another order that is not newer has ended.
    floor: DrainRevision,
}

impl DomainDrains {
    /// Adds states from the store or from a peer; returns those that began or ended a drain.
    pub fn merge(&mut self, drains: Vec<DomainDrain>) -> Vec<DomainDrain> {
        let changes = drains.into_iter().filter_map(|drain| self.add(drain));
        changes.collect()
    }

    /// Adds the states of a complete read of the store as of `revision`; returns those that began or ended a drain.
    ///
    /// Drains that the read does not name have ended, unless they were ordered after it.
    pub fn merge_complete(
        &mut self,
        drains: Vec<DomainDrain>,
        revision: DrainRevision,
    ) -> Vec<DomainDrain> {
        let named: BTreeSet<DomainName> = drains.iter().map(|drain| drain.domain.clone()).collect();
        let mut changes = self.merge(drains);
        let unnamed = self.drains.values();
        let unnamed = unnamed.filter(|drain| drain.active && !named.contains(&drain.domain));
        let ended = unnamed.map(|drain| ended_at(drain, revision)).collect();
        changes.extend(self.merge(ended));
        self.floor = self.floor.max(revision);
        changes
    }

    /// Returns whether the targets of a failure domain receive no calls.
    pub fn is_drained(&self, domain: &str) -> bool {
        self.drains.get(domain).is_some_and(|drain| drain.active)
    }

    /// Returns the number of drained failure domains.
    pub fn active_count(&self) -> usize {
        self.drains.values().filter(|drain| drain.active).count()
    }

    /// Returns the latest state of each failure domain.
    pub fn snapshot(&self) -> Vec<DomainDrain> {
        self.drains.values().cloned().collect()
    }

    /// Returns a number that grows with each change; 0 if no drain is known. After the states of a peer have been
    /// merged, it is at least that of the peer.
    pub fn digest(&self) -> u64 {
        let digests = self.drains.values().map(state_digest);
        digests.fold(0, u64::wrapping_add)
    }

    /// Adds a state if it is newer than that of its domain; returns it if it begins or ends a drain.
    fn add(&mut self, drain: DomainDrain) -> Option<DomainDrain> {
        let known = self.drains.get(&drain.domain);
        if known.is_some_and(|known| known.revision >= drain.revision) {
            return None;
        }
        let was_active = known.is_some_and(|known| known.active);
        let drain = match drain.active && drain.revision <= self.floor {
            true => ended_at(&drain, self.floor),
            false => drain,
        };
        self.drains.insert(drain.domain.clone(), drain.clone());
        (drain.active != was_active).then_some(drain)
    }
}

/// Returns a number that grows with the revision of a state and hardly ever equals that of another domain or revision.
fn state_digest(drain: &DomainDrain) -> u64 {
    let text = format!("{} {}", drain.revision, drain.domain);
    let hash = xxh3_64(text.as_bytes()) >> (u64::BITS - DIGEST_HASH_BITS);
    (drain.revision << DIGEST_HASH_BITS) | hash
}

fn ended_at(drain: &DomainDrain, revision: DrainRevision) -> DomainDrain {
    DomainDrain {
        domain: drain.domain.clone(),
        revision,
        active: false,
    }
}
