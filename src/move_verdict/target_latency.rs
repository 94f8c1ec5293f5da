//! Recent slow calls of each target of the candidate, to leave out a single disturbed target.

use {
    super::{BadCount, route_stratum::RouteStratum},
    crate::ids::NodeId,
    std::collections::BTreeMap,
};

/// Weight that earlier calls keep with each tick: a memory of about 7 ticks.
const RECENT_DECAY: f64 = 0.85;

/// Weighted calls that a target needs before it is compared with the others.
const MIN_TARGET_CALLS: f64 = 3.0;

/// Excess of a target's share of slow calls over the other targets' from which it is left out.
const OUTLIER_EXCESS: f64 = 0.25;

/// Weighted recent calls of one target.
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

    fn share(&self) -> f64 {
        self.slow / self.calls.max(1.0)
    }
}

/// Recent slow calls of each target of the candidate.
///
/// A version that is slow is slow on all its targets. The target to leave out is chosen by calls before
/// those it is left out of, so that the choice does not favour the candidate.
#[derive(Clone, Debug, Default)]
pub struct TargetLatency {
    targets: BTreeMap<NodeId, RecentCalls>,
}

impl TargetLatency {
    /// Lets earlier calls lose weight.
    pub fn tick(&mut self) {
        for recent in self.targets.values_mut() {
            recent.calls *= RECENT_DECAY;
            recent.slow *= RECENT_DECAY;
        }
    }

    /// Takes over the candidate's calls of a stratum that has ended.
    pub fn absorb(&mut self, stratum: &RouteStratum, first_slow: usize) {
        for (node, count) in stratum.slow_by_target(first_slow) {
            self.targets.entry(node.clone()).or_default().add(count);
        }
    }

    /// Returns the target that is slow while the others are not.
    pub fn outlier(&self) -> Option<NodeId> {
        let known = |recent: &RecentCalls| recent.calls >= MIN_TARGET_CALLS;
        let (node, worst) = self
            .targets
            .iter()
            .filter(|(_, recent)| known(recent))
            .max_by(|first, second| first.1.share().total_cmp(&second.1.share()))?;
        let mut rest = RecentCalls::default();
        for (_, recent) in self.targets.iter().filter(|(other, _)| *other != node) {
            rest.calls += recent.calls;
            rest.slow += recent.slow;
        }
        let stands_out = known(&rest) && worst.share() - rest.share() > OUTLIER_EXCESS;
        stands_out.then(|| node.clone())
    }
}
