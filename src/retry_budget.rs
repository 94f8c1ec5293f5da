//! Retry tokens and the rule for what may be tried again.

use {
    derive_more::Display,
    std::time::{Duration, Instant},
};

/// Retry tokens earned by each call.
const TOKENS_PER_CALL: f64 = 0.1;

/// Retry tokens earned per second without calls.
const TOKENS_PER_SECOND: f64 = 3.0;

/// Largest number of tokens kept.
const MAX_TOKENS: f64 = 100.0;

/// What is known of an attempt that did not succeed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AttemptFate {
    /// No byte of the request reached the target's application.
    #[display("not run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The target answered with a server error.
    #[display("server error")]
    ServerError,
}

/// Returns whether a request may be sent again after an attempt with this fate.
pub fn may_repeat(fate: AttemptFate, idempotent: bool) -> bool {
    match fate {
        AttemptFate::NotRun => true,
        AttemptFate::Unknown | AttemptFate::ServerError => idempotent,
    }
}

/// Tokens that bound retries to a share of calls, so that retries cannot keep an overload going.
///
/// Invariant: `tokens` stays within 0 and `MAX_TOKENS`.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Returns a budget with one second's worth of tokens.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: TOKENS_PER_SECOND,
            refilled_at: now,
        }
    }

    /// Earns tokens for a first attempt.
    pub fn earn(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + TOKENS_PER_CALL).min(MAX_TOKENS);
    }

    /// Takes a token for a retry; returns whether there was one.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let earned = TOKENS_PER_SECOND * elapsed.min(Duration::from_secs(1)).as_secs_f64();
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
    }
}
