//! Usage caps in the form in which nodes enforce them.

use {
    crate::config::UsageCap,
    std::{hash::Hasher, time::Duration},
    xxhash_rust::xxh3::Xxh3,
};

/// Digest of an account's name, which stands for the account in messages between nodes.
pub type AccountDigest = u64;

/// Number of slots into which the accounts are divided. The accounts of one slot have the same keeper.
pub const CAP_SLOTS: usize = 8;

/// Part of the tolerated calls that tokens may add which were granted before a window and are used in it. The rest
/// covers `DEPTH_SLACK_FRACTION` and nodes that disagree about the size of the fleet.
const STOCK_FRACTION: f64 = 0.5;

/// Part of the slack that a bucket may hold in addition to the burst. Without it the loss of a few tokens would cost an
/// account with a burst of three calls most of its burst.
const DEPTH_SLACK_FRACTION: f64 = 0.25;

/// Shortest and longest time for which a granted token may be used.
const TOKEN_LIFE_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(500));

/// How far the calls of an account may exceed its cap: in any window at most what the cap allows times (1 + `overage`),
/// plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapTolerance {
    /// Window over which the calls are counted.
    pub window: Duration,
    /// Fraction of what the cap allows that may come in addition.
    pub overage: f64,
    /// Calls allowed in addition.
    pub slack: f64,
}

/// Usage cap of one account with the limits that follow from the tolerance.
///
/// Invariant: in any window, `depth`, the rate over the window and the rate over `token_life` together are at most what
/// the cap and the tolerance allow, unless the tolerance is too small for the shortest life of a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapTerms {
    /// Calls per second over the whole fleet.
    pub rate: f64,
    /// Calls that the buckets of the whole fleet may hold together.
    pub depth: f64,
    /// Time from the request for a token until its use, at most.
    pub token_life: Duration,
}

impl CapTerms {
    /// Returns the terms of a cap.
    pub fn new(cap: &UsageCap, tolerance: &CapTolerance) -> Self {
        let rate = cap.rate.per_second();
        let burst = cap.burst as f64;
        let allowed = rate * tolerance.window.as_secs_f64() + burst;
        let tolerated = allowed * tolerance.overage + tolerance.slack;
        let (shortest, longest) = TOKEN_LIFE_RANGE;
        let life = Duration::try_from_secs_f64(STOCK_FRACTION * tolerated / rate);
        Self {
            rate,
            depth: burst + DEPTH_SLACK_FRACTION * tolerance.slack,
            token_life: life.unwrap_or(longest).clamp(shortest, longest),
        }
    }
}

/// Returns the digest of an account's name.
pub fn account_digest(account: &str) -> AccountDigest {
    let mut hasher = Xxh3::new();
    hasher.write(account.as_bytes());
    hasher.finish()
}

/// Returns the slot of an account.
pub fn slot_of(account: AccountDigest) -> usize {
    (account % CAP_SLOTS as u64) as usize
}
