//! Token bucket of one account at the keeper of its slot.

use {super::cap_terms::CapTerms, std::time::Duration};

/// Wait told to a caller while no token can come: the keeper holds too small a share of the cap.
const NO_ROOM_WAIT: Duration = Duration::from_secs(1);

/// Tokens of one account. A new bucket is empty, so that a keeper that replaces another grants nothing twice.
///
/// Invariant: after `settle` the tokens are at most `terms.depth` times the share of the cap that the keeper holds.
#[derive(Clone, Copy, Debug)]
pub struct UsageBucket {
    terms: CapTerms,
    tokens: f64,
}

/// Tokens given on a request, and the time until the next one if they are fewer than requested.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BucketGrant {
    /// Tokens given.
    pub tokens: u32,
    /// Time until a further token is there; zero if all were given.
    pub wait: Duration,
}

impl UsageBucket {
    /// Returns an empty bucket.
    pub fn new(terms: CapTerms) -> Self {
        Self { terms, tokens: 0.0 }
    }

    /// Sets other terms; tokens beyond a lower depth are lost at the next `settle`.
    pub fn set_terms(&mut self, terms: CapTerms) {
        self.terms = terms;
    }

    /// Adds the tokens of a period. `share_seconds` is the integral of the held share over the period, and `share` the
    /// share at its end, which no share within the period may be below.
    pub fn settle(&mut self, share_seconds: f64, share: f64) {
        let refilled = self.tokens + self.terms.rate * share_seconds;
        self.tokens = refilled.min(self.terms.depth * share);
    }

    /// Takes up to `wanted` whole tokens.
    pub fn take(&mut self, wanted: u32, share: f64) -> BucketGrant {
        let tokens = (self.tokens.floor() as u32).min(wanted);
        self.tokens -= f64::from(tokens);
        let wait = match tokens < wanted {
            true => self.wait_for_token(share),
            false => Duration::ZERO,
        };
        BucketGrant { tokens, wait }
    }

    fn wait_for_token(&self, share: f64) -> Duration {
        if self.terms.depth * share < 1.0 {
            return NO_ROOM_WAIT;
        }
        let seconds = (1.0 - self.tokens) / (self.terms.rate * share);
        Duration::try_from_secs_f64(seconds).unwrap_or(NO_ROOM_WAIT)
    }
}
