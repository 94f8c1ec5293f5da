//! Pace of the requests to a target that is cold: slow, and ended by too many requests, for some time after its start.
//!
//! It answers the pattern of a failure domain whose targets come back cold at one moment under the load of all callers.
//! Only the node beside a target sees the requests of all callers, so it limits them.

use std::{
    collections::VecDeque,
    f64::consts::LN_2,
    time::{Duration, Instant},
};

/// Period over which the bound of a cold target counts requests.
const BOUND_PERIOD: Duration = Duration::from_secs(1);

/// Part of the headroom between the rate and the bound that may be sent at once. The rest is left for requests that are
/// sent later than they were admitted, for instance because their body was still on its way.
const BURST_FRACTION: f64 = 0.5;

/// Requests of the bound that are kept for health checks: one of this process, one of the process before a restart.
const CHECK_RESERVE: f64 = 2.0;

/// Time in which the rate doubles after a target has become warm.
const DOUBLING_TIME: Duration = Duration::from_millis(300);

/// Time of the slow start: four doublings, after which slots limit a target and not its pace.
const SLOW_START_TIME: Duration = Duration::from_millis(1200);

/// Limit of the requests to a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceLimit {
    /// Requests a second. Invariant: `rate` + `burst` + `CHECK_RESERVE` are at most the bound, if that is at least the
    /// reserve; below that, no calls are sent.
    rate: f64,
    /// Requests that may be sent at once.
    burst: f64,
    /// Longest time for which a target is cold.
    duration: Duration,
}

impl PaceLimit {
    /// Returns the limit with which at most `rate` times `overage` plus `slack` requests are sent in any second.
    pub fn new(rate: f64, overage: f64, slack: f64, duration: Duration) -> Self {
        let bound = rate * overage + slack;
        let bound = if bound.is_finite() { bound } else { rate };
        let room = (bound - CHECK_RESERVE).max(0.0);
        let burst = ((bound - rate) * BURST_FRACTION).max(1.0).min(room);
        Self {
            rate: rate.min(room - burst).max(0.0),
            burst,
            duration,
        }
    }

    /// Returns the longest time for which a target is cold.
    pub fn duration(&self) -> Duration {
        self.duration
    }
}

/// Doubt whether a target has become cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ColdDoubt {
    /// The target has not answered since the doubt arose.
    Unreached,
    /// The target answers without telling how cold it is; it is warm by this time at the latest.
    Until(Instant),
}

/// Pace of the requests to one target.
#[derive(Clone, Debug)]
pub struct WarmupPace {
    limit: PaceLimit,
    /// End of the time for which the target is known to be cold; kept until the end of the slow start after it.
    cold_until: Option<Instant>,
    doubt: Option<ColdDoubt>,
    /// Requests that may be sent as of `refilled_at`; at most the burst. Negative after health checks, and if more than
    /// the burst had been sent when the target became cold. Unused while the pace does not limit.
    tokens: f64,
    refilled_at: Instant,
    /// Times of the last requests, in order. Older than a period or more than the bound are not kept.
    recent: VecDeque<Instant>,
}

impl WarmupPace {
    /// Returns the pace of a target that counts as warm.
    pub fn warm(limit: PaceLimit, now: Instant) -> Self {
        Self {
            limit,
            cold_until: None,
            doubt: None,
            tokens: 0.0,
            refilled_at: now,
            recent: VecDeque::new(),
        }
    }

    /// Returns the pace of a target of which nothing is known yet, for instance after a start of the node. It begins
    /// without tokens, since the process before may have used them.
    pub fn in_doubt(limit: PaceLimit, now: Instant) -> Self {
        Self {
            doubt: Some(ColdDoubt::Unreached),
            ..Self::warm(limit, now)
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> PaceLimit {
        self.limit
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: PaceLimit, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
    }

    /// Records that the target may have been started anew; returns whether it was not in doubt before. What was sent
    /// before went to the earlier run, so a health check may be sent at once.
    pub fn raise_doubt(&mut self, now: Instant) -> bool {
        self.refill(now);
        if !self.is_limited_as_cold(now) {
            self.tokens = 0.0;
        }
        let is_new = self.doubt.is_none();
        self.doubt = Some(ColdDoubt::Unreached);
        is_new
    }

    /// Records that the target answers but does not tell how cold it is. A target in doubt is warm after the longest
    /// time for which it may be cold.
    pub fn record_contact(&mut self, now: Instant) {
        self.refill(now);
        if self.doubt == Some(ColdDoubt::Unreached) {
            self.doubt = Some(ColdDoubt::Until(now + self.limit.duration));
        }
    }

    /// Records a time left that the target told without being asked. The message may be old, so it ends no doubt and
    /// shortens nothing. Returns whether the target becomes cold by it.
    pub fn report_cold(&mut self, left: Duration, now: Instant) -> bool {
        if left.is_zero() {
            return false;
        }
        let was_cold = self.cold_left(now).is_some();
        self.begin_limit(now);
        let until = now + left.min(self.limit.duration);
        self.cold_until = self.cold_until.max(Some(until));
        !was_cold
    }

    /// Records the time left that the target answered to a health check; zero if it is warm. It ends a doubt. A target
    /// that was not known to be cold and is warm gets all its calls at once.
    pub fn confirm_cold(&mut self, left: Duration, now: Instant) {
        match left.is_zero() {
            true => {
                self.refill(now);
                self.cold_until = self.cold_until.map(|until| until.min(now));
            }
            false => {
                self.begin_limit(now);
                self.cold_until = Some(now + left.min(self.limit.duration));
            }
        }
        self.doubt = None;
    }

    /// Ends all limits of a target that cannot be cold.
    pub fn assume_warm(&mut self) {
        self.cold_until = None;
        self.doubt = None;
    }

    /// Returns whether the target is in doubt.
    pub fn is_in_doubt(&self, now: Instant) -> bool {
        match self.doubt {
            None => false,
            Some(ColdDoubt::Unreached) => true,
            Some(ColdDoubt::Until(until)) => now < until,
        }
    }

    /// Returns the time for which the target is expected to be cold; none if it is warm.
    pub fn cold_left(&self, now: Instant) -> Option<Duration> {
        let left = match self.limit_end() {
            LimitEnd::Warm => Duration::ZERO,
            LimitEnd::Unknown => self.limit.duration,
            LimitEnd::At(end) => end.saturating_duration_since(now),
        };
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether the pace limits the requests: the target is cold or in its slow start.
    pub fn is_limiting(&self, now: Instant) -> bool {
        match self.limit_end() {
            LimitEnd::Warm => false,
            LimitEnd::Unknown => true,
            LimitEnd::At(end) => now < end + SLOW_START_TIME,
        }
    }

    /// Returns the rate in requests a second; none if the pace does not limit.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        if !self.is_limiting(now) {
            return None;
        }
        let doublings = match self.limit_end() {
            LimitEnd::At(end) => {
                now.saturating_duration_since(end).as_secs_f64() / DOUBLING_TIME.as_secs_f64()
            }
            LimitEnd::Warm | LimitEnd::Unknown => 0.0,
        };
        Some(self.limit.rate * doublings.exp2())
    }

    /// Counts a request if it may be sent now; returns whether it may.
    pub fn try_send(&mut self, now: Instant) -> bool {
        self.try_take(1.0, now)
    }

    /// Counts a health check if it may be sent now; returns whether it may. It goes before calls, which may otherwise
    /// take every token.
    pub fn try_check(&mut self, now: Instant) -> bool {
        self.try_take(0.0, now)
    }

    /// Returns the time until a request may be sent that has this many before it; zero if the pace does not limit.
    pub fn room_in(&self, ahead: u32, now: Instant) -> Duration {
        if !self.is_limiting(now) {
            return Duration::ZERO;
        }
        let missing = f64::from(ahead) + 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let cold_left = self.cold_left(now);
        let cold_left = cold_left.unwrap_or_default().as_secs_f64();
        let cold_tokens = self.limit.rate * cold_left;
        if missing <= cold_tokens {
            return Duration::from_secs_f64(missing / self.limit.rate);
        }
        let full = match self.limit_end() {
            LimitEnd::At(end) => (end + SLOW_START_TIME).saturating_duration_since(now),
            LimitEnd::Warm | LimitEnd::Unknown => self.limit.duration + SLOW_START_TIME,
        };
        let rate = self.rate(now).unwrap_or_default();
        if rate <= 0.0 {
            return full;
        }
        let doubling = DOUBLING_TIME.as_secs_f64();
        let rising = (1.0 + (missing - cold_tokens) * LN_2 / (rate * doubling)).log2() * doubling;
        Duration::from_secs_f64(cold_left + rising).min(full)
    }

    fn try_take(&mut self, needed: f64, now: Instant) -> bool {
        self.refill(now);
        let is_limiting = self.is_limiting(now);
        if is_limiting && self.tokens < needed {
            return false;
        }
        if is_limiting {
            self.tokens -= 1.0;
        }
        self.record_recent(now);
        true
    }

    fn record_recent(&mut self, now: Instant) {
        let most = (self.limit.rate + self.limit.burst).ceil() as usize + 1;
        while self.recent.len() >= most {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Begins to limit the requests unless they are limited already. What was sent in the period before counts.
    fn begin_limit(&mut self, now: Instant) {
        self.refill(now);
        if self.is_limited_as_cold(now) {
            return;
        }
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) <= BOUND_PERIOD;
        let sent = self.recent.iter().rev().take_while(is_recent).count() as f64;
        // A debt of one period is enough: by its end, all that was sent before has left the period.
        self.tokens = (self.limit.burst - sent).max(-self.limit.rate);
        self.refilled_at = now;
    }

    /// Returns whether the pace limits to the rate of a cold target, and not to that of a slow start.
    fn is_limited_as_cold(&self, now: Instant) -> bool {
        self.rate(now).is_some_and(|rate| rate <= self.limit.rate)
    }

    /// Adds the tokens since the last refill, and ends a limit whose time is over.
    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
        if let Some(ColdDoubt::Until(until)) = self.doubt
            && until <= now
        {
            self.cold_until = self.cold_until.max(Some(until));
            self.doubt = None;
        }
        if !self.is_limiting(now) {
            self.cold_until = None;
        }
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let since = self.refilled_at.min(now);
        let added = match self.limit_end() {
            LimitEnd::Warm => 0.0,
            LimitEnd::Unknown => self.limit.rate * (now - since).as_secs_f64(),
            LimitEnd::At(end) => self.tokens_between(since, now, end),
        };
        (self.tokens + added).min(self.limit.burst)
    }

    /// Returns the tokens between two times if the target becomes warm at `end`.
    fn tokens_between(&self, from: Instant, to: Instant, end: Instant) -> f64 {
        let cold = to.min(end).saturating_duration_since(from).as_secs_f64();
        let doublings = |at: Instant| {
            let warm = at.saturating_duration_since(end).min(SLOW_START_TIME);
            warm.as_secs_f64() / DOUBLING_TIME.as_secs_f64()
        };
        let rising = doublings(to).exp2() - doublings(from).exp2();
        self.limit.rate * (cold + rising * DOUBLING_TIME.as_secs_f64() / LN_2)
    }

    fn limit_end(&self) -> LimitEnd {
        match (self.doubt, self.cold_until) {
            (Some(ColdDoubt::Unreached), _) => LimitEnd::Unknown,
            (Some(ColdDoubt::Until(until)), cold_until) => {
                LimitEnd::At(cold_until.map_or(until, |cold| cold.max(until)))
            }
            (None, Some(until)) => LimitEnd::At(until),
            (None, None) => LimitEnd::Warm,
        }
    }
}

/// End of the time for which a target is cold, without the slow start.
enum LimitEnd {
    /// The target is warm and has been for longer than the slow start.
    Warm,
    /// The end is not known.
    Unknown,
    /// The target becomes or became warm at this time.
    At(Instant),
}
