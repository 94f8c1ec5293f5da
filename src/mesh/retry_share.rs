//! This node's share of the retry budget that the whole fleet has for a service.

use {
    super::settings::MeshBounds,
    crate::config::ServiceKey,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Fraction of the allowed retries that is used. The rest covers nodes whose calls rise and fall within a window, and
/// the calls that a retried request makes again to further services.
const USED_FRACTION: f64 = 0.6;

/// Token bucket of one service; each token allows one retry.
#[derive(Debug)]
struct ServiceShare {
    tokens: f64,
    refilled_at: Instant,
}

/// Retry token buckets by service.
#[derive(Debug)]
pub struct RetryShares {
    ratio: f64,
    window: Duration,
    extra_retries: f64,
    nodes: f64,
    shares: HashMap<ServiceKey, ServiceShare>,
}

impl RetryShares {
    /// Returns the buckets of a node that does not know the size of its fleet yet, and so takes no part of the extra
    /// retries: all nodes may have been restarted at the same time.
    pub fn new(bounds: &MeshBounds) -> Self {
        Self {
            ratio: bounds.retry_ratio * USED_FRACTION,
            window: bounds.retry_window,
            extra_retries: bounds.retry_extra * USED_FRACTION,
            nodes: f64::INFINITY,
            shares: HashMap::new(),
        }
    }

    /// Sets the number of nodes among which the bounds are divided.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1) as f64;
    }

    /// Adds tokens for the first attempt of a call.
    pub fn earn(&mut self, key: &ServiceKey, now: Instant) {
        let (ratio, limit) = (self.ratio, self.limit());
        let share = self.refilled(key, now);
        share.tokens = (share.tokens + ratio).min(limit);
    }

    /// Takes the token of one retry; returns whether there was one.
    pub fn spend(&mut self, key: &ServiceKey, now: Instant) -> bool {
        let share = self.refilled(key, now);
        if share.tokens < 1.0 {
            return false;
        }
        share.tokens -= 1.0;
        true
    }

    /// Returns the capacity of a bucket. Half of the extra retries may be saved up; the other half is refilled within
    /// a window.
    fn limit(&self) -> f64 {
        (self.extra_retries / 2.0 / self.nodes).max(1.0)
    }

    fn refilled(&mut self, key: &ServiceKey, now: Instant) -> &mut ServiceShare {
        let limit = self.limit();
        let per_second = self.extra_retries / 2.0 / self.nodes / self.window.as_secs_f64().max(1.0);
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
