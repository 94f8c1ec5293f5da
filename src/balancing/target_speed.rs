//! Present speed of a target against its own average.
//!
//! A target that shares its machine with others turns slow in spells. The average of its service times covers what
//! lasts; the factor here covers the spell, and loses its worth within about the time that a spell lasts.

use {
    std::{
        ops::RangeInclusive,
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Time constant with which a reported speed approaches the average, about the length of a spell.
const SPELL_TIME: Duration = Duration::from_millis(600);

/// Least weight of the newest factor in the average.
const MEAN_WEIGHT: f64 = 0.02;

/// Factors that a target may report, in percent of its usual service time.
const FACTOR_RANGE: RangeInclusive<u32> = 1..=10_000;

/// Position of the factor in the load that a target reports.
const FACTOR_FIELD: usize = 3;

/// Service time against the usual one: above 1 while work takes longer.
pub type RelativeTime = f64;

/// Error in the load that a target reports.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error(
    "load: found {found:?}, expected numbers separated by commas, the fourth in {} to {}",
    FACTOR_RANGE.start(),
    FACTOR_RANGE.end()
)]
pub struct LoadError {
    /// Text of the report.
    pub found: String,
}

/// Returns the factor in percent from the load that a target reports: running calls, waiting calls, slots, factor. A
/// report of three figures has none.
pub fn parse_factor(load: &str) -> Result<Option<u32>, LoadError> {
    let Some(text) = load.split(',').nth(FACTOR_FIELD) else {
        return Ok(None);
    };
    match text.trim().parse() {
        Ok(factor) if FACTOR_RANGE.contains(&factor) => Ok(Some(factor)),
        _ => Err(LoadError {
            found: load.to_owned(),
        }),
    }
}

/// Returns the relative time at an age of the report: it approaches 1 as the spell passes.
pub fn faded(relative: RelativeTime, age: Duration) -> RelativeTime {
    let decay = (-age.as_secs_f64() / SPELL_TIME.as_secs_f64()).exp();
    1.0 + (relative - 1.0) * decay
}

/// Factor that a target reported.
#[derive(Clone, Copy, Debug)]
struct FactorSample {
    factor: f64,
    at: Instant,
}

/// Speed of a target, from the factors that it reports.
#[derive(Clone, Debug, Default)]
pub struct SpeedEstimate {
    last: Option<FactorSample>,
    /// Average of the factors: arithmetic mean of the first ones, then exponentially weighted.
    mean: f64,
    count: u32,
}

impl SpeedEstimate {
    /// Records a factor in percent.
    pub fn record(&mut self, percent: u32, now: Instant) {
        let factor = f64::from(percent);
        self.count = self.count.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += weight * (factor - self.mean);
        self.last = Some(FactorSample { factor, at: now });
    }

    /// Returns the present service time against the average; none if the target has reported no factor.
    pub fn relative_time(&self, now: Instant) -> Option<RelativeTime> {
        let last = self.last?;
        let age = now.saturating_duration_since(last.at);
        Some(faded(last.factor / self.mean, age))
    }
}
