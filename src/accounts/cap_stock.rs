//! Tokens of one account at an entry node, and the demand that they are requested for.

use {
    super::{cap_terms::CapTerms, usage_bucket::BucketGrant},
    std::{collections::VecDeque, time::Duration},
};

/// Time over which the demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(500);

/// Time of the demand for which tokens are requested in advance; about the round trip to a keeper in another region.
const STOCK_TIME: Duration = Duration::from_millis(50);

/// Shortest time for which calls are refused after the keeper had no token for one.
const MIN_REFUSAL: Duration = Duration::from_millis(20);

/// Longest time for which calls are refused after a keeper held no share; nodes delegate theirs to a new keeper soon.
const NO_SHARE_REFUSAL: Duration = Duration::from_millis(100);

/// Tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct TokenBatch {
    count: u32,
    /// Time from which the tokens must not be used.
    expires: Duration,
}

/// Why calls of an account are refused for a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// The account has used what its cap allows.
    CapUsed,
    /// The keeper holds no share of the cap yet, so the usage of the account is not known.
    NoShare,
}

/// Refusal of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapRefusal {
    /// Why the call is refused.
    pub cause: RefusalCause,
    /// Time until a token is expected.
    pub wait: Duration,
}

/// Decision about a call that waits for a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenDecision {
    /// The call has taken a token, which may be used and given back until this time.
    Taken(Duration),
    /// The keeper has to be asked.
    Pending,
    /// There is no token.
    Refused(CapRefusal),
}

/// Tokens and demand of one account.
///
/// Invariants: `batches` are in the order of their ends; `asked` is the sum of the requests that are neither answered
/// nor given up.
#[derive(Clone, Debug)]
pub struct CapStock {
    terms: CapTerms,
    batches: VecDeque<TokenBatch>,
    waiting: u32,
    asked: u32,
    refused_until: Duration,
    refusal_cause: RefusalCause,
    /// Decaying count of the calls; the demand is this number over `DEMAND_TIME`.
    recent_calls: f64,
    counted_at: Duration,
}

impl CapStock {
    /// Returns the stock of an account without calls.
    pub fn new(terms: CapTerms) -> Self {
        Self {
            terms,
            batches: VecDeque::new(),
            waiting: 0,
            asked: 0,
            refused_until: Duration::ZERO,
            refusal_cause: RefusalCause::CapUsed,
            recent_calls: 0.0,
            counted_at: Duration::ZERO,
        }
    }

    /// Sets other terms.
    pub fn set_terms(&mut self, terms: CapTerms) {
        self.terms = terms;
    }

    /// Counts a call that begins to wait for a token.
    pub fn begin(&mut self, now: Duration) {
        self.recent_calls = self.decayed_calls(now) + 1.0;
        self.counted_at = now;
        self.waiting += 1;
    }

    /// Counts a call that no longer waits.
    pub fn end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Takes a token, if one is there.
    pub fn take(&mut self, now: Duration) -> TokenDecision {
        self.drop_expired(now);
        if let Some(batch) = self.batches.front_mut() {
            batch.count -= 1;
            let expires = batch.expires;
            if batch.count == 0 {
                self.batches.pop_front();
            }
            return TokenDecision::Taken(expires);
        }
        let wait = self.refused_until.saturating_sub(now);
        match wait.is_zero() {
            true => TokenDecision::Pending,
            false => TokenDecision::Refused(CapRefusal {
                cause: self.refusal_cause,
                wait,
            }),
        }
    }

    /// Takes back the token of a call that has certainly not run. It keeps its end, so that it is not used in a later
    /// window than it was granted for.
    pub fn give_back(&mut self, expires: Duration, now: Duration) {
        if now < expires {
            self.insert(TokenBatch { count: 1, expires });
        }
    }

    /// Returns how many tokens to request now: those for the waiting calls, and a stock that follows the demand.
    pub fn shortfall(&mut self, now: Duration) -> u32 {
        self.drop_expired(now);
        if now < self.refused_until {
            return 0;
        }
        let held: u32 = self.batches.iter().map(|batch| batch.count).sum();
        let covered = held + self.asked;
        let stock = self.stock_target(now);
        match covered < self.waiting || covered < stock.div_ceil(2) {
            true => (self.waiting + stock).saturating_sub(covered),
            false => 0,
        }
    }

    /// Records a request for tokens.
    pub fn record_asked(&mut self, tokens: u32) {
        self.asked += tokens;
    }

    /// Records that a request was answered or given up.
    pub fn forget_asked(&mut self, tokens: u32) {
        self.asked = self.asked.saturating_sub(tokens);
    }

    /// Adds the tokens of a grant that was requested at `asked_at`, or records that there were too few. `is_held` tells
    /// whether the keeper holds a share of the cap.
    pub fn record_grant(
        &mut self,
        grant: BucketGrant,
        asked_at: Duration,
        is_held: bool,
        now: Duration,
    ) {
        let expires = asked_at + self.terms.token_life;
        if grant.tokens > 0 && now < expires {
            self.insert(TokenBatch {
                count: grant.tokens,
                expires,
            });
        }
        if !grant.wait.is_zero() {
            let (cause, wait) = match is_held {
                true => (RefusalCause::CapUsed, grant.wait),
                false => (RefusalCause::NoShare, grant.wait.min(NO_SHARE_REFUSAL)),
            };
            self.refused_until = now + wait.max(MIN_REFUSAL);
            self.refusal_cause = cause;
        }
    }

    fn insert(&mut self, batch: TokenBatch) {
        let place = self
            .batches
            .partition_point(|other| other.expires <= batch.expires);
        self.batches.insert(place, batch);
    }

    fn drop_expired(&mut self, now: Duration) {
        let expired = self.batches.partition_point(|batch| batch.expires <= now);
        self.batches.drain(..expired);
    }

    fn decayed_calls(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.recent_calls * (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn stock_target(&self, now: Duration) -> u32 {
        let demand = self.decayed_calls(now) / DEMAND_TIME.as_secs_f64();
        let demand = demand.min(self.terms.rate);
        (demand * STOCK_TIME.as_secs_f64()) as u32
    }
}
