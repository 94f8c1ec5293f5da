//! Demand: the average rate of the calls that reach a node for its target.

use std::time::{Duration, Instant};

/// Time constant of the average; shorter bursts hardly change the nodes' shares of a customer's limits.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Exponentially decaying average of the call rate.
#[derive(Debug, Default)]
pub struct DemandMeter {
    /// Calls per second.
    rate: f64,
    started_at: Option<Instant>,
    updated_at: Option<Instant>,
}

impl DemandMeter {
    /// Counts a call that arrived at `now`.
    pub fn record_call(&mut self, now: Instant) {
        self.started_at.get_or_insert(now);
        self.decay(now);
        self.rate += 1.0 / AVERAGING_TIME.as_secs_f64();
    }

    /// Returns the average number of calls per second, at least 1.
    ///
    /// It is 0 until `AVERAGING_TIME` has passed; other nodes treat 0 as not yet known.
    pub fn calls_per_second(&mut self, now: Instant) -> u32 {
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
