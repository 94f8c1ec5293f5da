//! Retry tokens and the rule for what may be tried again.

use {
    crate::config::ServiceKey,
    derive_more::Display,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Retry tokens earned by each call.
const TOKENS_PER_CALL: f64 = 0.1;

/// Retry tokens earned per second without calls.
const TOKENS_PER_SECOND: f64 = 3.0;

/// Tokens for a repeat of a request that may have run; that of a refused one costs 1.
///
/// A repeated run takes as much work as the first, in every service below as well. In a chain of 12 services, 10%
/// of repeated runs at each add up to three times the work.
const RERUN_COST: f64 = 5.0;

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
/// Invariant: `tokens` stays within 1 - `RERUN_COST` and `MAX_TOKENS`.
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

    /// Takes the tokens for a retry after an attempt with this fate; returns whether there was one.
    ///
    /// The cost may leave a debt, or a budget that is small for want of calls would allow no rerun at all.
    pub fn spend(&mut self, fate: AttemptFate, now: Instant) -> bool {
        self.refill(now);
        let cost = match fate {
            AttemptFate::NotRun => 1.0,
            AttemptFate::Unknown | AttemptFate::ServerError => RERUN_COST,
        };
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= cost;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let earned = TOKENS_PER_SECOND * elapsed.min(Duration::from_secs(1)).as_secs_f64();
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
    }
}

/// Budgets of the services that a node calls, so that a service that is down uses up no retries of others.
///
/// Invariant: there is at most one budget for each service of the configuration that was ever called.
#[derive(Debug, Default)]
pub struct BudgetTable {
    budgets: HashMap<ServiceKey, RetryBudget>,
}

impl BudgetTable {
    /// Earns tokens for the first attempt of a call to a service.
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

    /// Takes the tokens for a retry of a call to a service; returns whether there was one.
    pub fn spend(&mut self, key: &ServiceKey, fate: AttemptFate, now: Instant) -> bool {
        let budget = self.budgets.get_mut(key);
        budget.is_some_and(|budget| budget.spend(fate, now))
    }
}
