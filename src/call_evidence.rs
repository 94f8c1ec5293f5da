//! Counters of the outcomes and latencies of a target's calls, kept by the target's node.
//!
//! They are the evidence by which the controller of a move compares two versions.

use {
    crate::{
        config::ServiceKey,
        ids::{RouteName, VersionName},
        wire::EvidenceCounter,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Number of latency buckets.
pub const BUCKET_COUNT: usize = 64;

/// Upper bound of the first latency bucket.
const FIRST_BUCKET_BOUND: Duration = Duration::from_micros(100);

/// Ratio between the bounds of adjacent buckets.
const BUCKET_BOUND_RATIO: f64 = 1.25;

/// Returns the upper bound of a latency bucket.
///
/// The last bucket also holds all latencies above its bound; larger indexes return the bound of the last bucket.
pub fn bucket_bound(index: usize) -> Duration {
    FIRST_BUCKET_BOUND.mul_f64(BUCKET_BOUND_RATIO.powi(index.min(BUCKET_COUNT - 1) as i32))
}

/// Returns the index of the bucket that a latency falls into.
pub fn bucket_of(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / FIRST_BUCKET_BOUND.as_secs_f64();
    if ratio <= 1.0 {
        return 0;
    }
    let index = (ratio.ln() / BUCKET_BOUND_RATIO.ln()).ceil() as usize;
    index.min(BUCKET_COUNT - 1)
}

/// Outcome of one call that was forwarded to the target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallObservation {
    /// Service that was called.
    pub key: ServiceKey,
    /// Version that was called.
    pub version: VersionName,
    /// Route that was called.
    pub route: RouteName,
    /// Whether the call failed: a server error, a reset or a missed deadline.
    pub failed: bool,
    /// Time from forwarding the call to the target until the head of its response.
    pub latency: Duration,
}

/// Key of a counter within one node.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CounterKey {
    key: ServiceKey,
    version: VersionName,
    route: RouteName,
}

/// Counters by service, version and route since the node started.
///
/// Invariant: counters never decrease, so a reader that misses a reading loses no calls.
#[derive(Debug, Default)]
pub struct EvidenceTable {
    counters: BTreeMap<CounterKey, EvidenceCounter>,
}

impl EvidenceTable {
    /// Adds one call to its counter.
    pub fn record(&mut self, observation: CallObservation) {
        let bucket = bucket_of(observation.latency);
        let key = CounterKey {
            key: observation.key,
            version: observation.version,
            route: observation.route,
        };
        let counter = self
            .counters
            .entry(key.clone())
            .or_insert_with(|| empty_counter(&key));
        counter.calls += 1;
        counter.failures += u64::from(observation.failed);
        counter.latency_buckets[bucket] += 1;
    }

    /// Returns all counters of a service, one for each version and route.
    pub fn counters_of(&self, key: &ServiceKey) -> Vec<EvidenceCounter> {
        self.counters
            .iter()
            .filter(|(counter_key, _)| &counter_key.key == key)
            .map(|(_, counter)| counter.clone())
            .collect()
    }
}

fn empty_counter(key: &CounterKey) -> EvidenceCounter {
    EvidenceCounter {
        version: key.version.clone(),
        route: key.route.clone(),
        calls: 0,
        failures: 0,
        latency_buckets: vec![0; BUCKET_COUNT],
    }
}
