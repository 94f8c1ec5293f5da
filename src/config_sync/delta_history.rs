//! Recent changes of the configuration, so that a peer slightly behind gets a delta.

use {
    super::packing::pack_answer,
    crate::{
        config::{ConfigDelta, ConfigSnapshot, ResourceName, VersionedResource},
        ids::ConfigVersion,
        wire::{ConfigDeltaBody, ConfigFullBody, SyncBody},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Deltas kept. At 8,600 changes a day they reach ten minutes back and take about 64 KB.
const KEPT_DELTAS: usize = 64;

/// Recent deltas and the configuration that they lead to.
///
/// Invariant: each delta starts at the version that the one before it leads to, and the last leads to
/// `latest`.
#[derive(Debug)]
pub struct DeltaHistory {
    latest: Arc<ConfigSnapshot>,
    deltas: VecDeque<ConfigDelta>,
    full: Option<ConfigFullBody>,
    /// The last packed answer and the version that it starts from; most peers that pull a version have the same one.
    packed: Option<(ConfigVersion, SyncBody)>,
}

impl DeltaHistory {
    /// Starts a history without deltas.
    pub fn new(latest: Arc<ConfigSnapshot>) -> Self {
        Self {
            latest,
            deltas: VecDeque::new(),
            full: None,
            packed: None,
        }
    }

    /// Takes the configuration now in force; ignores one that is not newer.
    pub fn record(&mut self, next: Arc<ConfigSnapshot>) {
        if next.version <= self.latest.version {
            return;
        }
        if self.latest.version > 0 {
            self.deltas.push_back(next.delta_from(&self.latest));
        }
        if self.deltas.len() > KEPT_DELTAS {
            self.deltas.pop_front();
        }
        self.latest = next;
        self.full = None;
        self.packed = None;
    }

    /// Returns the change from `have` to the latest version, if the history reaches back to it.
    pub fn delta_since(&self, have: ConfigVersion) -> Option<ConfigDelta> {
        let start = self.deltas.iter().position(|delta| delta.from == have)?;
        compose(self.deltas.range(start..))
    }

    /// Returns the frame that brings a peer from `have` to the latest version; none if there is no
    /// configuration or it cannot be encoded.
    pub fn answer(&mut self, have: ConfigVersion) -> Option<SyncBody> {
        if let Some(delta) = self.delta_since(have) {
            let json = serde_json::to_vec(&delta).ok()?;
            let body = ConfigDeltaBody { json, packed: None };
            return Some(SyncBody::ConfigDelta(body));
        }
        let full = self.full_body()?;
        Some(SyncBody::ConfigFull(full))
    }

    /// Returns the same frame with its content packed.
    pub fn packed_answer(&mut self, have: ConfigVersion) -> Option<SyncBody> {
        if let Some((from, answer)) = &self.packed
            && *from == have
        {
            return Some(answer.clone());
        }
        let answer = pack_answer(self.answer(have)?);
        self.packed = Some((have, answer.clone()));
        Some(answer)
    }

    /// Returns the whole configuration; encoded once per version.
    fn full_body(&mut self) -> Option<ConfigFullBody> {
        if self.latest.version == 0 {
            return None;
        }
        if self.full.is_none() {
            self.full = Some(ConfigFullBody {
                json: serde_json::to_vec(self.latest.as_ref()).ok()?,
                hash: self.latest.content_hash(),
                packed: None,
            });
        }
        self.full.clone()
    }
}

/// Joins deltas that follow each other.
fn compose<'a>(deltas: impl Iterator<Item = &'a ConfigDelta>) -> Option<ConfigDelta> {
    let mut from = None;
    let mut last = None;
    let mut changed: BTreeMap<ResourceName, VersionedResource> = BTreeMap::new();
    let mut removed: BTreeSet<ResourceName> = BTreeSet::new();
    for delta in deltas {
        from.get_or_insert(delta.from);
        last = Some(delta);
        for name in &delta.removed {
            changed.remove(name);
            removed.insert(name.clone());
        }
        for entry in &delta.changed {
            let name = entry.resource.name();
            removed.remove(&name);
            changed.insert(name, entry.clone());
        }
    }
    let last = last?;
    Some(ConfigDelta {
        from: from?,
        to: last.to,
        accepted_at_ms: last.accepted_at_ms,
        hash: last.hash.clone(),
        changed: changed.into_values().collect(),
        removed: removed.into_iter().collect(),
    })
}
