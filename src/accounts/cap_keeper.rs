//! Keeper of usage caps: holds the shares that nodes have delegated to it and grants tokens against them.

use {
    super::{
        cap_terms::{AccountDigest, CAP_SLOTS, CapTerms, slot_of},
        usage_bucket::{BucketGrant, UsageBucket},
    },
    crate::ids::NodeId,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Longest time for which a share is held after its delegation arrived.
const MAX_DELEGATION: Duration = Duration::from_secs(300);

/// Wait told to a node that requests tokens of an account which the keeper's configuration does not limit.
const UNKNOWN_ACCOUNT_WAIT: Duration = Duration::from_millis(100);

/// Delegation of a node's share of all caps of one slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareDelegation {
    /// Number of the message; a delegation replaces one with a lower number.
    pub number: u64,
    /// Number of nodes as the delegating node knows it; its share is one part of as many.
    pub nodes: usize,
    /// End of the delegation by the keeper's clock.
    pub ends: Duration,
}

/// Share that a node has delegated.
#[derive(Clone, Copy, Debug)]
struct HeldShare {
    /// Fraction of each cap; 0 after a release, which is remembered until `ends` because older messages may arrive late.
    fraction: f64,
    ends: Duration,
    number: u64,
}

/// Shares and buckets of one slot.
///
/// Invariant: no share in `shares` ends before `settled_at`, and the sum that counts is at most 1.
#[derive(Debug, Default)]
struct KeeperSlot {
    shares: BTreeMap<NodeId, HeldShare>,
    buckets: HashMap<AccountDigest, UsageBucket>,
    settled_at: Duration,
}

/// Shares and buckets of all slots. Times are by the keeper's clock, which must count suspensions of the machine.
#[derive(Debug)]
pub struct CapKeeper {
    nodes: usize,
    slots: [KeeperSlot; CAP_SLOTS],
}

impl Default for CapKeeper {
    fn default() -> Self {
        Self {
            nodes: 1,
            slots: Default::default(),
        }
    }
}

impl CapKeeper {
    /// Sets the number of nodes; a share delegated from now on counts as one part of as many at most.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Replaces the caps of all accounts. Accounts that had one keep their tokens, up to the new depth.
    pub fn set_caps(&mut self, caps: &[(AccountDigest, CapTerms)], now: Duration) {
        let mut previous = HashMap::new();
        for slot in &mut self.slots {
            slot.settle(now);
            previous.extend(slot.buckets.drain());
        }
        for (account, terms) in caps {
            let known = previous.remove(account);
            let mut bucket = known.unwrap_or_else(|| UsageBucket::new(*terms));
            bucket.set_terms(*terms);
            let slot = &mut self.slots[slot_of(*account)];
            bucket.settle(0.0, slot.share());
            slot.buckets.insert(*account, bucket);
        }
    }

    /// Holds the share of a node until the delegation ends.
    pub fn hold(&mut self, slot: usize, node: &str, delegation: ShareDelegation, now: Duration) {
        let nodes = delegation.nodes.max(self.nodes);
        let slot = &mut self.slots[slot];
        slot.settle(now);
        let ends = delegation.ends.min(now + MAX_DELEGATION);
        if ends <= now || !slot.is_newer(node, delegation.number) {
            return;
        }
        let share = HeldShare {
            fraction: 1.0 / nodes as f64,
            ends,
            number: delegation.number,
        };
        slot.replace(node, share, now);
    }

    /// Gives a share back to its node. Returns whether it no longer counts and no earlier message can change that.
    pub fn release(&mut self, slot: usize, node: &str, number: u64, now: Duration) -> bool {
        let slot = &mut self.slots[slot];
        slot.settle(now);
        if !slot.is_newer(node, number) {
            return false;
        }
        // A delegation that is still under way may end later than the one known.
        let released = HeldShare {
            fraction: 0.0,
            ends: now + MAX_DELEGATION,
            number,
        };
        slot.replace(node, released, now);
        true
    }

    /// Takes up to `wanted` tokens of an account.
    pub fn grant(&mut self, account: AccountDigest, wanted: u32, now: Duration) -> BucketGrant {
        let slot = &mut self.slots[slot_of(account)];
        slot.settle(now);
        let share = slot.share();
        let bucket = slot.buckets.get_mut(&account);
        bucket.map_or(
            BucketGrant {
                tokens: 0,
                wait: UNKNOWN_ACCOUNT_WAIT,
            },
            |bucket| bucket.take(wanted, share),
        )
    }

    /// Returns the fraction of the caps of a slot that this keeper holds.
    pub fn share(&mut self, slot: usize, now: Duration) -> f64 {
        let slot = &mut self.slots[slot];
        slot.settle(now);
        slot.share()
    }
}

impl KeeperSlot {
    fn share(&self) -> f64 {
        let sum: f64 = self.shares.values().map(|share| share.fraction).sum();
        sum.min(1.0)
    }

    fn is_newer(&self, node: &str, number: u64) -> bool {
        self.shares
            .get(node)
            .is_none_or(|known| number > known.number)
    }

    /// Replaces a share in a settled slot; a lower sum takes effect on the buckets at once.
    fn replace(&mut self, node: &str, share: HeldShare, now: Duration) {
        self.shares.insert(node.to_owned(), share);
        self.settle(now);
    }

    /// Adds the tokens since the last settlement and drops the shares that have ended.
    fn settle(&mut self, now: Duration) {
        let since = self.settled_at;
        let elapsed = now.saturating_sub(since).as_secs_f64();
        let held = |share: &HeldShare| {
            share.fraction * share.ends.min(now).saturating_sub(since).as_secs_f64()
        };
        let share_seconds: f64 = self.shares.values().map(held).sum();
        self.shares.retain(|_, share| share.ends > now);
        self.settled_at = now.max(since);
        let share = self.share();
        for bucket in self.buckets.values_mut() {
            bucket.settle(share_seconds.min(elapsed), share);
        }
    }
}
