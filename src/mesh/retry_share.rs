//! This node's share of the repeats that the whole fleet may send to a service.

use {
    super::settings::MeshBounds,
    crate::config::ServiceKey,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Part of the allowed repeats that is used. The rest covers nodes whose calls rise and fall within a window,
/// and calls that repeated runs make again.
const USED_PART: f64 = 0.6;

/// Repeats of one service that this node may still send.
#[derive(Debug)]
struct ServiceShare {
    tokens: f64,
    refilled_at: Instant,
}

/// Repeats by service.
#[derive(Debug)]
pub struct RetryShares {
    ratio: f64,
    window: Duration,
    extra: f64,
    nodes: f64,
    shares: HashMap<ServiceKey, ServiceShare>,
}

impl RetryShares {
    /// Returns full shares under the fleet's bounds.
    pub fn new(bounds: &MeshBounds) -> Self {
        Self {
            ratio: bounds.retry_ratio * USED_PART,
            window: bounds.retry_window,
            extra: bounds.retry_extra * USED_PART,
            nodes: 1.0,
            shares: HashMap::new(),
        }
    }

    /// Sets the number of nodes that share the bounds.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1) as f64;
    }

    /// Earns repeats for the first attempt of a call.
    pub fn earn(&mut self, key: &ServiceKey, now: Instant) {
        let (ratio, limit) = (self.ratio, self.limit());
        let share = self.refilled(key, now);
        share.tokens = (share.tokens + ratio).min(limit);
    }

    /// Takes one repeat; returns whether there was one.
    pub fn spend(&mut self, key: &ServiceKey, now: Instant) -> bool {
        let share = self.refilled(key, now);
        if share.tokens < 1.0 {
            return false;
        }
        share.tokens -= 1.0;
        true
    }

    /// Half of the extra repeats may be saved up; the other half flows back within a window.
    fn limit(&self) -> f64 {
        (self.extra / 2.0 / self.nodes).max(1.0)
    }

    fn refilled(&mut self, key: &ServiceKey, now: Instant) -> &mut ServiceShare {
        let limit = self.limit();
        let per_second = self.extra / 2.0 / self.nodes / self.window.as_secs_f64().max(1.0);
        let share = self
            .shares
            .entry(key.clone())
            .or_insert_with(|| ServiceShare {
                tokens: limit,
                refilled_at: now,
            });
        let elapsed = now.saturating_duration_since(share.refilled_at);
        share.refilled_at = now;
        share.tokens = (share.tokens + per_second * elapsed.as_secs_f64()).min(limit);
        share
    }
}
