//! Share of slow calls on each target of the candidate, to detect a single disturbed target.

use {
    super::{BadCount, route_stratum::RouteStratum},
    crate::ids::NodeId,
    std::collections::BTreeMap,
};

/// Factor by which earlier calls lose weight at each tick: a memory of about 7 ticks.
const RECENT_DECAY: f64 = 0.85;

/// Weighted calls that a target needs before it is compared with the others.
const MIN_TARGET_CALLS: f64 = 3.0;

/// Excess of a target's share of slow calls over that of all other targets above which it is an outlier.
const OUTLIER_EXCESS: f64 = 0.25;

/// Calls of one target, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
struct RecentCalls {
    calls: f64,
    slow: f64,
}

impl RecentCalls {
    fn add(&mut self, count: BadCount) {
        self.calls += count.calls as f64;
        self.slow += count.bad as f64;
    }

    fn slow_share(&self) -> f64 {
        self.slow / self.calls.max(1.0)
    }
}

/// Recent calls and slow calls of each target of the candidate.
///
/// A slow version is slow on all its targets, so a single slow target is not evidence against the version. The
/// outlier is chosen by calls of earlier strata than those it is left out of, so that the choice does not
/// favour the candidate.
#[derive(Clone, Debug, Default)]
pub struct TargetLatency {
    targets: BTreeMap<NodeId, RecentCalls>,
}

impl TargetLatency {
    /// Lowers the weight of earlier calls by one tick.
    pub fn tick(&mut self) {
        for recent in self.targets.values_mut() {
            recent.calls *= RECENT_DECAY;
            recent.slow *= RECENT_DECAY;
        }
    }

    /// Adds the candidate's calls of a stratum that has ended; those from `first_slow_bucket` on are slow.
    pub fn add_stratum(&mut self, stratum: &RouteStratum, first_slow_bucket: usize) {
        for (node, count) in stratum.slow_by_target(first_slow_bucket) {
            self.targets.entry(node.clone()).or_default().add(count);
        }
    }

    /// Returns the node of the target that is much slower than the other targets together, if there is one.
    pub fn outlier(&self) -> Option<NodeId> {
        let has_enough_calls = |recent: &RecentCalls| recent.calls >= MIN_TARGET_CALLS;
        let (node, worst) = self
            .targets
            .iter()
            .filter(|(_, recent)| has_enough_calls(recent))
            .max_by(|first, second| first.1.slow_share().total_cmp(&second.1.slow_share()))?;
        let mut others = RecentCalls::default();
        for (_, recent) in self.targets.iter().filter(|(other, _)| *other != node) {
            others.calls += recent.calls;
            others.slow += recent.slow;
        }
        let is_outlier =
            has_enough_calls(&others) && worst.slow_share() - others.slow_share() > OUTLIER_EXCESS;
        is_outlier.then(|| node.clone())
    }
}
