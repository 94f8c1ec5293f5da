//! Age of the last confirmation from the store, also over a suspension of the machine.
//!
//! The monotonic clock does not count the time for which a machine is suspended. A node that measured only by it would
//! act after a suspension on a permission that has run out meanwhile.

use {
    rustix::time::{ClockId, Timespec, clock_gettime},
    std::time::Duration,
};

/// Reading of the local clocks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClockReading {
    /// Time since the start of the process by the monotonic clock.
    pub monotonic: Duration,
    /// Time for which the machine has been suspended since it was started.
    pub suspended: Duration,
}

/// Last confirmation, and the clocks when it arrived.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmationAge {
    confirmed_at: Duration,
    suspended_before: Duration,
    /// Whether a confirmation has arrived; before that, `confirmed_at` is the start of the node.
    is_confirmed: bool,
}

impl ClockReading {
    /// Reads the clocks; `monotonic` is the time since the start of the process.
    pub fn now(monotonic: Duration) -> Self {
        Self {
            monotonic,
            suspended: suspended_time(),
        }
    }
}

impl ConfirmationAge {
    /// Returns the age of a node that starts at `now` and has no confirmation; it counts from then on.
    pub fn new(now: ClockReading) -> Self {
        Self {
            confirmed_at: now.monotonic,
            suspended_before: now.suspended,
            is_confirmed: false,
        }
    }

    /// Records the time of the last confirmation, as found at `now`. The suspended time counts from a new one on.
    pub fn record(&mut self, confirmed_at: Duration, now: ClockReading) {
        if confirmed_at > self.confirmed_at {
            self.confirmed_at = confirmed_at;
            self.suspended_before = now.suspended;
            self.is_confirmed = true;
        }
    }

    /// Returns the time since the last confirmation; none if there has been none since the start of the node.
    pub fn confirmed_age(&self, now: ClockReading) -> Option<Duration> {
        self.is_confirmed.then(|| self.age(now))
    }

    /// Returns the time since the last confirmation, or since the start of the node.
    pub fn age(&self, now: ClockReading) -> Duration {
        let running = now.monotonic.saturating_sub(self.confirmed_at);
        running + now.suspended.saturating_sub(self.suspended_before)
    }
}

/// Returns the time for which the machine has been suspended since it was started.
fn suspended_time() -> Duration {
    let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
    let since_boot = to_duration(clock_gettime(ClockId::Boottime));
    since_boot.saturating_sub(monotonic)
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
