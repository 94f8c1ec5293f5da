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

/// Hedges that may be saved up from the tokens which found the bucket of retries full.
const MAX_SPARE_TOKENS: f64 = 2.0;

/// Fraction of its capacity that the bucket of retries must hold when a hedge is sent from the spare tokens.
const RETRY_RESERVE_FRACTION: f64 = 0.5;

/// Token bucket of one service; each token allows one retry.
#[derive(Debug)]
struct ServiceShare {
    tokens: f64,
    /// Tokens for hedges of slow attempts. Each was earned by a call while `tokens` was full, at most `hedge_share` by
    /// one call, and lapses over about a window. So hedges take nothing that retries could use, and many nodes that
    /// become slow together have no more of them than their calls of late allow.
    spare_tokens: f64,
    earned_at: Instant,
    refilled_at: Instant,
}

/// Retry token buckets by service.
#[derive(Debug)]
pub struct RetryShares {
    ratio: f64,
    window: Duration,
    extra_retries: f64,
    /// Hedges of slow attempts allowed per call; 0 turns them off.
    hedge_share: f64,
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
            hedge_share: 0.0,
            nodes: f64::INFINITY,
            shares: HashMap::new(),
        }
    }

    /// Allows hedges of slow attempts, up to this share of a service's calls.
    pub fn with_hedge_share(self, hedge_share: f64) -> Self {
        Self {
            hedge_share,
            ..self
        }
    }

    /// Sets the number of nodes among which the bounds are divided.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1) as f64;
    }

    /// Adds tokens for the first attempt of a call.
    pub fn earn(&mut self, key: &ServiceKey, now: Instant) {
        let (ratio, limit) = (self.ratio, self.limit());
        let (hedge_share, window) = (self.hedge_share, self.window);
        let share = self.refilled(key, now);
        let tokens = share.tokens + ratio;
        share.tokens = tokens.min(limit);
        let elapsed = now.saturating_duration_since(share.earned_at).as_secs_f64();
        share.earned_at = now;
        share.spare_tokens *= (1.0 - elapsed / window.as_secs_f64().max(1.0)).max(0.0);
        let spare = (tokens - share.tokens).min(hedge_share);
        share.spare_tokens = (share.spare_tokens + spare).min(MAX_SPARE_TOKENS);
    }

    /// Takes the token of one hedge of a slow attempt; returns whether there was one, and the bucket of retries is not
    /// low.
    pub fn spend_spare(&mut self, key: &ServiceKey, now: Instant) -> bool {
        let reserve = self.limit() * RETRY_RESERVE_FRACTION;
        let share = self.refilled(key, now);
        if share.tokens < reserve || share.spare_tokens < 1.0 {
            return false;
        }
        share.spare_tokens -= 1.0;
        true
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
                spare_tokens: 0.0,
                earned_at: now,
                refilled_at: now,
            });
        let elapsed = now.saturating_duration_since(share.refilled_at);
        share.refilled_at = now;
        share.tokens = (share.tokens + per_second * elapsed.as_secs_f64()).min(limit);
        share
    }
}
