//! Calls of both versions on one route over one short interval, a stratum of the test.

use {
    super::{BadCount, StratumTables, counter_history::CounterDifference, odds_test::OutcomeTable},
    crate::{call_evidence::BUCKET_COUNT, ids::NodeId},
    std::collections::BTreeMap,
};

/// Stable calls from which an interval ends without waiting for further ticks.
const ENOUGH_STABLE_CALLS: u64 = 12;

/// Ticks after which an interval ends, unless it has calls of the candidate but none of the stable version.
const USUAL_MAX_TICKS: u32 = 8;

/// Ticks after which an interval ends in any case; calls further apart may have met different conditions.
const MAX_TICKS: u32 = 15;

/// Factor by which earlier calls lose weight in the reference latency at each tick: a memory of about 30 ticks.
const REFERENCE_DECAY: f64 = 0.967;

/// Weighted stable calls needed before a quantile of their latency is used.
const MIN_REFERENCE_CALLS: f64 = 20.0;

/// Calls of one version, or of one of its targets, within a stratum.
///
/// The `warm_*` fields leave out calls during the cold start of a target; only they are compared by latency.
#[derive(Clone, Debug)]
struct VersionCalls {
    calls: u64,
    failures: u64,
    warm_calls: u64,
    warm_failures: u64,
    /// Warm calls by latency bucket.
    warm_buckets: [u64; BUCKET_COUNT],
}

impl Default for VersionCalls {
    fn default() -> Self {
        Self {
            calls: 0,
            failures: 0,
            warm_calls: 0,
            warm_failures: 0,
            warm_buckets: [0; BUCKET_COUNT],
        }
    }
}

impl VersionCalls {
    fn add(&mut self, difference: &CounterDifference) {
        self.calls += difference.calls;
        self.failures += difference.failures;
        if !difference.warm {
            return;
        }
        self.warm_calls += difference.calls;
        self.warm_failures += difference.failures;
        for (total, count) in self.warm_buckets.iter_mut().zip(&difference.buckets) {
            *total += count;
        }
    }

    fn failed(&self) -> BadCount {
        BadCount {
            calls: self.calls,
            bad: self.failures.min(self.calls),
        }
    }

    fn slow(&self, first_slow_bucket: usize) -> BadCount {
        let calls: u64 = self.warm_buckets.iter().sum();
        let bad = self.warm_buckets.iter().skip(first_slow_bucket).sum();
        BadCount { calls, bad }
    }

    fn bad(&self, first_slow_bucket: usize) -> BadCount {
        let slow = self.slow(first_slow_bucket);
        BadCount {
            calls: slow.calls,
            bad: (slow.bad + self.warm_failures).min(slow.calls),
        }
    }
}

/// Recent latency of the stable version on one route, which defines which calls are slow.
#[derive(Clone, Debug)]
pub struct StableReference {
    /// Calls by latency bucket, weighted by age.
    weights: [f64; BUCKET_COUNT],
}

impl Default for StableReference {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKET_COUNT],
        }
    }
}

impl StableReference {
    /// Adds the stable calls of a stratum that has ended.
    pub fn add_stratum(&mut self, stratum: &RouteStratum) {
        let decay = REFERENCE_DECAY.powi(stratum.ticks as i32);
        for (weight, count) in self.weights.iter_mut().zip(&stratum.stable.warm_buckets) {
            *weight = *weight * decay + *count as f64;
        }
    }

    /// Returns the first latency bucket above a quantile, or none while too few calls are recorded.
    pub fn first_bucket_above(&self, quantile: f64) -> Option<usize> {
        let total: f64 = self.weights.iter().sum();
        if total < MIN_REFERENCE_CALLS {
            return None;
        }
        let mut below = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            below += weight;
            if below >= quantile * total {
                return Some(index + 1);
            }
        }
        None
    }
}

/// Calls of both versions on one route over one short interval.
///
/// Invariant: when the interval ends depends only on numbers of calls and ticks, never on outcomes of calls.
#[derive(Clone, Debug, Default)]
pub struct RouteStratum {
    candidate: VersionCalls,
    candidate_targets: BTreeMap<NodeId, VersionCalls>,
    stable: VersionCalls,
    ticks: u32,
}

impl RouteStratum {
    /// Adds calls of the candidate.
    pub fn add_candidate(&mut self, difference: &CounterDifference) {
        self.candidate.add(difference);
        self.candidate_targets
            .entry(difference.node.clone())
            .or_default()
            .add(difference);
    }

    /// Adds calls of the stable version.
    pub fn add_stable(&mut self, difference: &CounterDifference) {
        self.stable.add(difference);
    }

    /// Counts one tick of the interval.
    pub fn tick(&mut self) {
        self.ticks += 1;
    }

    /// Returns whether the interval ends at this tick.
    ///
    /// Stable calls of earlier ticks must not be compared with a later candidate call: a fault common to
    /// both versions that begins in between would look like a fault of the candidate.
    pub fn is_complete(&self) -> bool {
        let enough = self.stable.calls >= ENOUGH_STABLE_CALLS;
        let comparable = self.candidate.calls == 0 || self.stable.calls > 0;
        let overdue = comparable && self.ticks >= USUAL_MAX_TICKS;
        enough || overdue || self.ticks >= MAX_TICKS
    }

    /// Returns the warm calls of each target of the candidate, slow ones counted as bad.
    ///
    /// Calls are slow from the latency bucket `first_slow_bucket` on.
    pub fn slow_by_target(
        &self,
        first_slow_bucket: usize,
    ) -> impl Iterator<Item = (&NodeId, BadCount)> {
        self.candidate_targets
            .iter()
            .map(move |(node, calls)| (node, calls.slow(first_slow_bucket)))
    }

    fn slow_without(&self, first_slow_bucket: usize, outlier: Option<&NodeId>) -> BadCount {
        let mut sum = BadCount::default();
        for (node, count) in self.slow_by_target(first_slow_bucket) {
            if Some(node) != outlier {
                sum.calls += count.calls;
                sum.bad += count.bad;
            }
        }
        sum
    }

    /// Returns the tables of the interval.
    ///
    /// `reference` holds earlier calls only, so that the boundary between fast and slow does not depend on the
    /// calls that it divides. The candidate's calls on the target `outlier` are left out of the tables of slow
    /// calls.
    pub fn tables(
        &self,
        reference: &StableReference,
        quantiles: &[f64],
        bad_quantile: f64,
        outlier: Option<&NodeId>,
    ) -> StratumTables {
        let slow = quantiles
            .iter()
            .filter_map(|quantile| reference.first_bucket_above(*quantile))
            .map(|first_slow_bucket| OutcomeTable {
                candidate: self.slow_without(first_slow_bucket, outlier),
                stable: self.stable.slow(first_slow_bucket),
            })
            .collect();
        let bad = reference
            .first_bucket_above(bad_quantile)
            .map(|first_slow_bucket| OutcomeTable {
                candidate: self.candidate.bad(first_slow_bucket),
                stable: self.stable.bad(first_slow_bucket),
            });
        StratumTables {
            failures: OutcomeTable {
                candidate: self.candidate.failed(),
                stable: self.stable.failed(),
            },
            slow,
            bad,
            ticks: self.ticks,
            candidate_targets: self.candidate_targets.len() as u32,
        }
    }
}
