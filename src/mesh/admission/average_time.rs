//! Averages of service times.

use std::time::Duration;

/// Least weight of the newest sample in an average of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.08;

/// Average of durations: arithmetic mean of the first samples, then exponentially weighted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AverageTime {
    seconds: f64,
    count: u32,
}

impl AverageTime {
    pub(super) fn add(&mut self, newest: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = SERVICE_TIME_WEIGHT.max(1.0 / f64::from(self.count));
        self.seconds += weight * (newest.as_secs_f64() - self.seconds);
    }

    pub(super) fn mean_or(&self, assumed: Duration) -> Duration {
        match self.count {
            0 => assumed,
            _ => Duration::from_secs_f64(self.seconds),
        }
    }
}
