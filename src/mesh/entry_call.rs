//! A call at its entry node, which received it from the caller.

use {
    super::usage_caps::UsagePermit,
    crate::config::{AccountSpec, HostRoute, ServiceKey},
    bytes::Bytes,
    http::request::Parts,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Fraction of the latency objective that every call is given at least, also one that has already missed it.
const MIN_DUE_FRACTION: f64 = 0.4;

/// A call with its route and everything that an attempt needs.
pub struct EntryCall {
    /// Route that matched the host and path.
    pub route: Arc<HostRoute>,
    /// Service selected by the traffic split of the route.
    pub service: ServiceKey,
    /// Client account that holds the key of the call; none if it needs no key and carries no valid one.
    pub account: Option<Arc<AccountSpec>>,
    /// Head of the request, without the headers of accounts.
    pub head: Parts,
    /// Body of the request.
    pub content: Bytes,
    /// Identifier of the caller's attempt, from its header; empty if it sent none.
    pub call_id: String,
    /// Version of the configuration that the route comes from.
    pub config_version: u64,
    /// Time at which the call arrived.
    pub started: Instant,
    /// Time that the caller spent on earlier attempts, see `CallerDeadlines`.
    pub waited_before: Duration,
    /// Time at which the call times out.
    pub deadline: Instant,
    /// Random number, uniform in 0..1000; selects the version while a move is running.
    pub draw: u32,
    /// Token of the account's usage cap; none if the call is not limited.
    pub permit: Option<UsagePermit>,
}

impl EntryCall {
    /// Returns the time left until the latency objective, but at least `MIN_DUE_FRACTION` of the objective.
    pub fn due(&self) -> Duration {
        let objective = self.route.latency_objective;
        let waited = self.waited_before + self.started.elapsed();
        let left = objective.saturating_sub(waited);
        left.max(objective.mul_f64(MIN_DUE_FRACTION))
    }

    /// Returns the time left until the call times out.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
