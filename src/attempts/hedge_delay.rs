//! Time after which an attempt counts as slow for its route, so that a second one (hedge) may be sent beside it.
//!
//! It answers the pattern of a few slow answers among many quick ones: the delay is a quantile of the route's own answer
//! times. These are kept as multiples of the time that the target was expected to take, so that a target that is slow
//! for all calls is not hedged for being itself.

use {
    crate::ids::RouteName,
    std::{collections::HashMap, time::Duration},
};

/// Answer times needed before a delay is known.
const MIN_SAMPLES: f64 = 100.0;

/// Answer times after which the weight of all earlier ones is halved, so that the distribution follows the load.
const DECAY_SAMPLES: f64 = 1000.0;

/// Buckets for each doubling of the answer time; the delay is at most 9% above the quantile.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Least multiple of the expected time that is told apart from shorter ones.
const MIN_MULTIPLE: f64 = 0.125;

/// Number of buckets; the last one holds all multiples above 256.
const BUCKETS: usize = 88;

/// Shortest expected time that multiples are taken of; a shorter one counts as this.
const MIN_EXPECTED: Duration = Duration::from_millis(1);

/// Range of the quantile. Below 0.9, hedges would meet calls of the usual length; above 0.99, too few samples lie
/// beyond it.
const QUANTILE_RANGE: (f64, f64) = (0.9, 0.99);

/// Routes at most with a distribution; the table is cleared when it is full.
const MAX_ROUTES: usize = 1024;

/// Distribution of the answer times of one route, with a fixed number of buckets of equal ratio.
///
/// Invariant: `total` is the sum of `counts` and at most `DECAY_SAMPLES`.
#[derive(Clone, Debug)]
struct AnswerHistogram {
    counts: [f32; BUCKETS],
    total: f64,
}

impl Default for AnswerHistogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl AnswerHistogram {
    fn record(&mut self, multiple: f64) {
        self.counts[bucket(multiple)] += 1.0;
        self.total += 1.0;
        if self.total >= DECAY_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }

    /// Returns the upper bound of the bucket with the quantile; none while there are too few samples, and if the
    /// quantile lies beyond the last bound.
    fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let mut below = 0.0;
        for (index, count) in self.counts[..BUCKETS - 1].iter().enumerate() {
            below += f64::from(*count);
            if below >= quantile * self.total {
                return Some(upper_bound(index));
            }
        }
        None
    }
}

fn bucket(multiple: f64) -> usize {
    let doublings = (multiple / MIN_MULTIPLE).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> f64 {
    MIN_MULTIPLE * ((index + 1) as f64 / BUCKETS_PER_DOUBLING).exp2()
}

/// Delays of hedges by route.
#[derive(Clone, Debug)]
pub struct HedgeDelays {
    /// Quantile of the answer times at which an attempt counts as slow; none if hedges are off.
    quantile: Option<f64>,
    routes: HashMap<RouteName, AnswerHistogram>,
}

impl HedgeDelays {
    /// Returns delays that leave about `share` of the attempts to be slow; a share of 0 turns them off.
    pub fn new(share: f64) -> Self {
        let (lowest, highest) = QUANTILE_RANGE;
        let quantile = (share > 0.0).then(|| (1.0 - share).clamp(lowest, highest));
        Self {
            quantile,
            routes: HashMap::new(),
        }
    }

    /// Records how long an attempt took at a target that was expected to take `expected`. For an attempt that was
    /// cancelled because its hedge won, this is the time until then; without it, the slowest times would be missing and
    /// the quantile would fall with each hedge.
    pub fn record(&mut self, route: &str, expected: Duration, elapsed: Duration) {
        if self.quantile.is_none() {
            return;
        }
        let multiple = elapsed.as_secs_f64() / expected.max(MIN_EXPECTED).as_secs_f64();
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let histogram = self.routes.entry(route.to_owned()).or_default();
        histogram.record(multiple);
    }

    /// Returns the time after which an attempt at a target that is expected to take `expected` counts as slow; none
    /// while too few answers of the route are known.
    pub fn delay(&self, route: &str, expected: Duration) -> Option<Duration> {
        let multiple = self.routes.get(route)?.quantile(self.quantile?)?;
        Some(expected.max(MIN_EXPECTED).mul_f64(multiple))
    }
}
