//! Retry budgets of services, and the rule for which failed attempts may be retried.

use {
    crate::config::ServiceKey,
    derive_more::Display,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Retry tokens earned by the first attempt of each call.
const TOKENS_PER_CALL: f64 = 0.1;

/// Retry tokens earned per second, with or without calls.
const TOKENS_PER_SECOND: f64 = 3.0;

/// Tokens spent to retry a request that may have run; the retry of one that did not run costs 1.
///
/// A second run causes as much work as the first, also in every service that the target calls. In a chain of
/// 12 services, second runs of 10% of the calls at each add up to three times the work.
const RERUN_COST: f64 = 5.0;

/// Largest number of tokens that a budget accumulates.
const MAX_TOKENS: f64 = 100.0;

/// Whether the request of a failed attempt may have run, which decides whether it may be retried.
///
/// It describes a single attempt; `call_events::CallOutcome` and `mesh::refusal::ExecutionStatus` are what the node
/// sends in a refusal.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AttemptOutcome {
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

/// Returns whether a request may be retried: always if it did not run, otherwise only if it is idempotent.
pub fn may_retry(outcome: AttemptOutcome, idempotent: bool) -> bool {
    match outcome {
        AttemptOutcome::NotRun => true,
        AttemptOutcome::Unknown | AttemptOutcome::ServerError => idempotent,
    }
}

/// Token bucket that limits retries to a fraction of the calls, so that retries cannot sustain an overload.
///
/// Invariant: `tokens` stays between `1 - RERUN_COST` and `MAX_TOKENS`.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Returns a budget with the tokens earned in one second.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: TOKENS_PER_SECOND,
            refilled_at: now,
        }
    }

    /// Adds the tokens earned by a first attempt.
    pub fn earn(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + TOKENS_PER_CALL).min(MAX_TOKENS);
    }

    /// Takes the tokens for a retry of an attempt that failed with `outcome`; returns whether it is allowed.
    ///
    /// One token is enough, and the balance may become negative: otherwise the small budget of a service
    /// with few calls would never allow a retry that costs `RERUN_COST`.
    pub fn spend(&mut self, outcome: AttemptOutcome, now: Instant) -> bool {
        self.refill(now);
        let cost = match outcome {
            AttemptOutcome::NotRun => 1.0,
            AttemptOutcome::Unknown | AttemptOutcome::ServerError => RERUN_COST,
        };
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= cost;
        true
    }

    /// Adds the tokens for the time since the last refill, of which at most 1 s counts.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let earned = TOKENS_PER_SECOND * elapsed.min(Duration::from_secs(1)).as_secs_f64();
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
    }
}

/// Retry budgets by service, so that a failing service does not use up the retries of others.
///
/// Invariant: each configured service has at most one budget, created by its first call.
#[derive(Debug, Default)]
pub struct BudgetTable {
    budgets: HashMap<ServiceKey, RetryBudget>,
}

impl BudgetTable {
    /// Adds the tokens earned by the first attempt of a call to a service.
    pub fn earn(&mut self, key: &ServiceKey, now: Instant) {
        match self.budgets.get_mut(key) {
            Some(budget) => budget.earn(now),
            None => {
                let mut budget = RetryBudget::new(now);
                budget.earn(now);
                self.budgets.insert(key.clone(), budget);
            }
        }
    }

    /// Takes the tokens for a retry of a call to a service; returns whether the retry is allowed.
    pub fn spend(&mut self, key: &ServiceKey, outcome: AttemptOutcome, now: Instant) -> bool {
        let budget = self.budgets.get_mut(key);
        budget.is_some_and(|budget| budget.spend(outcome, now))
    }
}
