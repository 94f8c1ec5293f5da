//! Rate of the calls that reach a target's node.

use std::time::{Duration, Instant};

/// Time over which the rate is averaged; shorter bursts do not move the customers' limits.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Average rate of calls, with weights that fall exponentially with age.
#[derive(Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    started_at: Option<Instant>,
    updated_at: Option<Instant>,
}

impl DemandMeter {
    /// Counts one call.
    pub fn note(&mut self, now: Instant) {
        self.started_at.get_or_insert(now);
        self.decay(now);
        self.rate += 1.0 / AVERAGING_TIME.as_secs_f64();
    }

    /// Returns the average number of calls per second, at least 1; 0 until it has been measured for long
    /// enough, which other nodes take as not yet known.
    pub fn per_second(&mut self, now: Instant) -> u32 {
        self.decay(now);
        let started_at = *self.started_at.get_or_insert(now);
        if now.saturating_duration_since(started_at) < AVERAGING_TIME {
            return 0;
        }
        self.rate.ceil().max(1.0) as u32
    }

    fn decay(&mut self, now: Instant) {
        let updated_at = self.updated_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at);
        self.rate *= (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.updated_at = Some(now);
    }
}
