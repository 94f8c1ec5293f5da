//! Pace of a cold target in its admission queue.

use {
    super::{AdmissionQueue, QueueState, WaiterKey, load::ColdLoad},
    crate::balancing::warmup_pace::{PaceLimit, WarmupPace},
    std::time::{Duration, Instant},
};

impl AdmissionQueue {
    /// Makes a target count as in doubt when its limit becomes known, as after a restart of the node.
    pub fn start_in_doubt(&self) {
        self.state.lock().starts_in_doubt = true;
    }

    /// Sets the limit of what is sent to the target while it is cold.
    pub fn set_pace_limit(&self, limit: Option<PaceLimit>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let starts_in_doubt = state.starts_in_doubt;
        match (&mut state.pace, limit) {
            (pace, None) => *pace = None,
            (Some(pace), Some(limit)) if pace.limit() == limit => return,
            (Some(pace), Some(limit)) => pace.set_limit(limit, now),
            (pace, Some(limit)) if starts_in_doubt => {
                *pace = Some(WarmupPace::in_doubt(limit, now));
                self.signals.check_wanted.notify_one();
            }
            (pace, Some(limit)) => *pace = Some(WarmupPace::warm(limit, now)),
        }
        self.apply_pace_change(&mut state);
    }

    /// Changes what is known of the target's warm-up; none if it has no limit.
    pub fn update_pace<T>(&self, change: impl FnOnce(&mut WarmupPace, Instant) -> T) -> Option<T> {
        let mut state = self.state.lock();
        let now = Instant::now();
        let pace = state.pace.as_mut()?;
        let was_in_doubt = pace.is_in_doubt(now);
        let rate_before = pace.rate(now);
        let changed = change(pace, now);
        if !was_in_doubt && pace.is_in_doubt(now) {
            self.signals.check_wanted.notify_one();
        }
        if pace.rate(now) != rate_before {
            self.apply_pace_change(&mut state);
        }
        Some(changed)
    }

    /// Returns whether the target is in doubt.
    pub fn is_in_doubt(&self) -> bool {
        let state = self.state.lock();
        let pace = state.pace.as_ref();
        pace.is_some_and(|pace| pace.is_in_doubt(Instant::now()))
    }

    /// Asks for a health check of the target, if it has a limit.
    pub fn request_check(&self) {
        if self.state.lock().pace.is_some() {
            self.signals.check_wanted.notify_one();
        }
    }

    /// Waits until a health check of the target is asked for or the target is in doubt.
    pub async fn check_wanted(&self) {
        self.signals.check_wanted.notified().await;
    }

    /// Counts a health check if it may be sent to the target now; returns whether it may.
    pub fn try_check(&self) -> bool {
        let mut state = self.state.lock();
        let pace = state.pace.as_mut();
        pace.is_none_or(|pace| pace.try_check(Instant::now()))
    }

    fn apply_pace_change(&self, state: &mut QueueState) {
        state.admit_next();
        self.signals.pace_changed.notify_waiters();
    }
}

impl QueueState {
    pub(super) fn cold_load(&self) -> Option<ColdLoad> {
        let now = Instant::now();
        let pace = self.pace.as_ref()?;
        let rate = pace.rate(now)?;
        let interval = Duration::try_from_secs_f64(rate.recip()).unwrap_or(pace.limit().duration());
        Some(ColdLoad {
            left: pace.cold_left(now).unwrap_or_default(),
            interval,
            room_in: pace.room_in(self.waiting.len() as u32, now),
        })
    }

    /// Counts a request to the target if its pace lets one through now; returns whether it does.
    pub(super) fn try_send(&mut self, now: Instant) -> bool {
        self.pace.as_mut().is_none_or(|pace| pace.try_send(now))
    }

    /// Returns the time until the pace lets a call through that is sorted at this key; zero if it does not limit.
    pub(super) fn pace_wait(&self, key: &WaiterKey, now: Instant) -> Duration {
        let Some(pace) = &self.pace else {
            return Duration::ZERO;
        };
        let ahead = self.waiting.range(..key).count();
        pace.room_in(ahead as u32, now)
    }
}
