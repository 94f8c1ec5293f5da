//! A call at its entry node.

use {
    crate::config::{HostRoute, ServiceKey},
    bytes::Bytes,
    http::request::Parts,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Part of the objective that a call which is late already still gets to finish in.
const LATE_FINISH_PART: f64 = 0.4;

/// A call with its route, as far as an attempt needs it.
pub struct EntryCall {
    /// Route followed.
    pub route: Arc<HostRoute>,
    /// Service chosen among those of the route.
    pub service: ServiceKey,
    /// Head of the request.
    pub head: Parts,
    /// Body of the request.
    pub content: Bytes,
    /// Identifier of the attempt, as the caller sent it.
    pub call_id: String,
    /// Configuration version that the route is taken from.
    pub config_version: u64,
    /// Arrival of the call.
    pub started: Instant,
    /// Time that the caller waited in earlier attempts.
    pub waited_before: Duration,
    /// When the answer is given up.
    pub deadline: Instant,
    /// Uniform in 0..1000; decides the version during a move.
    pub draw: u32,
}

impl EntryCall {
    /// Returns the time until the answer loses value; a late call gets a part of its objective anew.
    pub fn due(&self) -> Duration {
        let objective = self.route.objective;
        let waited = self.waited_before + self.started.elapsed();
        let left = objective.saturating_sub(waited);
        left.max(objective.mul_f64(LATE_FINISH_PART))
    }

    /// Returns the time until the answer is given up.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
