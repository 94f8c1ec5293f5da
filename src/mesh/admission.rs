//! Admission of calls to the slots of the target beside this node.
//!
//! A target never runs more calls than it has slots. Further calls wait in this queue, where they are ordered by
//! priority and latency objective, and can be refused with certainty that they have not run.

mod average_time;
mod load;
mod pace_control;
mod waiting_call;

pub use self::load::{ColdLoad, TargetLoad};

use {
    self::{average_time::AverageTime, waiting_call::QueuedCall},
    crate::{
        balancing::{target_speed::SpeedEstimate, warmup_pace::WarmupPace},
        ids::RouteName,
    },
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, oneshot},
    tokio_util::sync::CancellationToken,
};

/// Service time reported to other nodes before the first call has ended.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Service time that is assumed before the first call has ended, as a fraction of the time left until the latency
/// objective of the arriving call.
///
/// At 1, no queue forms at a target that has just started until its first calls have shown their service time; a
/// shorter time fills the queue with calls that cannot end in time.
const ASSUMED_SERVICE_FRACTION: f64 = 1.0;

/// Time by which a waiting call is sorted later for each step of its rank. The rank is the priority of the call's
/// route; 0 goes first.
const RANK_PENALTY: Duration = Duration::from_millis(150);

/// Time by which a waiting call is sorted later for each step of the priority of its client account; 0 goes first. It
/// outweighs three steps of the rank. Since it is a time, a waiting call is overtaken only by calls that arrive within
/// it, and not starved.
const ACCOUNT_RANK_PENALTY: Duration = Duration::from_millis(500);

/// A waiting call is started only if at least this fraction of its expected service time is left before its deadline;
/// a call that finds a free slot is started without this check.
const MIN_START_FRACTION: f64 = 0.6;

/// Largest number of routes with an average of their own; the table is cleared when it is full.
const MAX_ROUTE_TIMES: usize = 1024;

/// Reason for which a call was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// The call is not expected to end within its limit, or can no longer be started in time.
    Full,
    /// The target accepts no new calls.
    Closed,
    /// The target is cold and takes no more calls within the limits of this one; `room_in` is the time until it does.
    Cold {
        /// Time until one more call may be sent.
        room_in: Duration,
    },
}

/// Sort key of waiting calls: time of the latency objective plus the penalties of the ranks, then order of arrival.
type WaiterKey = (Instant, u64);

/// Slot that is given to a waiting call.
#[derive(Debug)]
struct SlotGrant {
    started: Instant,
    withdrawn: CancellationToken,
}

/// A waiting call; dropping its sender refuses it.
#[derive(Debug)]
struct Waiter {
    admit: oneshot::Sender<SlotGrant>,
    /// Time after which the call is refused instead of started.
    latest_start: Instant,
}

#[derive(Debug)]
struct QueueState {
    /// Reference point of `started_sum`.
    epoch: Instant,
    slots: u32,
    running: u32,
    /// Sum of the start times of the running calls, in seconds since the epoch.
    started_sum: f64,
    waiting: BTreeMap<WaiterKey, Waiter>,
    service_time: AverageTime,
    route_times: HashMap<RouteName, AverageTime>,
    speed: SpeedEstimate,
    next_sequence: u64,
    closed: bool,
    /// Limit of what is sent while the target is cold; none if the configuration sets none.
    pace: Option<WarmupPace>,
    /// Whether a target counts as in doubt when its limit becomes known.
    starts_in_doubt: bool,
    /// Cancelled when the queue is closed; each opening after that brings a new one.
    withdrawn: CancellationToken,
}

/// Slots of a target with an ordered queue of waiting calls.
///
/// Invariants: at most `slots` permits are held unless `slots` was reduced meanwhile; `running` and `started_sum`
/// count the permits that are held or have been sent to a waiting call; the pace has counted a request for each.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    state: Arc<Mutex<QueueState>>,
    signals: Arc<QueueSignals>,
}

#[derive(Debug, Default)]
struct QueueSignals {
    /// Wakes the waiting calls after a change of the pace.
    pace_changed: Notify,
    /// Starts a health check of the target.
    check_wanted: Notify,
}

/// Permit for one running call; dropping it releases the slot.
#[derive(Debug)]
pub struct SlotPermit {
    state: Arc<Mutex<QueueState>>,
    started: Instant,
    /// Cancelled when the target accepts no new calls any more. A call that has not been sent by then must not be.
    pub withdrawn: CancellationToken,
}

/// Parameters of a call that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// Route of the call.
    pub route: &'a str,
    /// Priority of the route; 0 goes first.
    pub rank: u32,
    /// Priority of the client account, which goes before that of the route; 0 for calls without an account.
    pub account_rank: u32,
    /// Time left until the latency objective.
    pub time_to_objective: Duration,
    /// Time at which the call times out.
    pub deadline: Instant,
    /// Limit of the expected time until the response is complete; a call that would exceed it is refused.
    pub finish_within: Duration,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        let state = QueueState {
            epoch: Instant::now(),
            slots: 1,
            running: 0,
            started_sum: 0.0,
            waiting: BTreeMap::new(),
            service_time: AverageTime::default(),
            route_times: HashMap::new(),
            speed: SpeedEstimate::default(),
            next_sequence: 0,
            closed: false,
            pace: None,
            starts_in_doubt: false,
            withdrawn: CancellationToken::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            signals: Arc::default(),
        }
    }
}

impl AdmissionQueue {
    /// Sets the number of slots (at least 1) and starts to admit calls.
    pub fn open(&self, slots: u32) {
        let mut state = self.state.lock();
        state.slots = slots.max(1);
        if state.closed {
            state.closed = false;
            state.withdrawn = CancellationToken::new();
        }
        state.admit_next();
    }

    /// Refuses all waiting and all further calls until the queue is opened again, and withdraws the permits of calls
    /// that have not been sent yet.
    pub fn close(&self) {
        let mut state = self.state.lock();
        state.closed = true;
        state.withdrawn.cancel();
        // Dropping the senders refuses the waiting calls.
        state.waiting.clear();
    }

    /// Returns the load of the target; its `route_time` is the average over all routes.
    pub fn load(&self) -> TargetLoad {
        self.state.lock().load()
    }

    /// Returns the load of the target with the service time of one route.
    pub fn load_for(&self, route: &str) -> TargetLoad {
        let state = self.state.lock();
        TargetLoad {
            route_time: state.route_time(route, ASSUMED_SERVICE_TIME),
            ..state.load()
        }
    }

    /// Adds the service time of a completed call to the averages.
    pub fn record_service_time(&self, route: &str, elapsed: Duration) {
        self.state.lock().record_service_time(route, elapsed);
    }

    /// Records the present service time in percent of the usual one, as the target reported it.
    pub fn record_factor(&self, percent: u32) {
        self.state.lock().speed.record(percent, Instant::now());
    }

    /// Adds the time after which a call was abandoned (timed out, cancelled or failed). It is a lower bound of the
    /// service time, so it counts only if it is above the average of the route.
    pub fn record_abandoned(&self, route: &str, elapsed: Duration) {
        let mut state = self.state.lock();
        if elapsed > state.route_time(route, Duration::ZERO) {
            state.record_service_time(route, elapsed);
        }
    }

    /// Takes a free slot without any check of the call's limits, or else waits for one. A call that would have to wait
    /// is refused at once if it is not expected to end within its limits.
    pub async fn acquire(&self, request: SlotRequest<'_>) -> Result<SlotPermit, AdmissionRefusal> {
        let queued = match self.admit_or_queue(request)? {
            Admission::Admitted(permit) => return Ok(permit),
            Admission::Waiting(queued) => queued,
        };
        queued.wait().await
    }

    fn admit_or_queue(&self, request: SlotRequest<'_>) -> Result<Admission, AdmissionRefusal> {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.closed {
            return Err(AdmissionRefusal::Closed);
        }
        if !state.waiting.is_empty() {
            // The pace may have room for calls that wait, which go first.
            state.admit_next();
        }
        if state.running < state.slots && state.try_send(now) {
            state.start(now);
            let permit = SlotPermit {
                state: self.state.clone(),
                started: now,
                withdrawn: state.withdrawn.clone(),
            };
            return Ok(Admission::Admitted(permit));
        }
        let penalty = RANK_PENALTY * request.rank + ACCOUNT_RANK_PENALTY * request.account_rank;
        let sort_time = now + request.time_to_objective + penalty;
        let assumed = request.time_to_objective.mul_f64(ASSUMED_SERVICE_FRACTION);
        let service_time = state.present_route_time(request.route, assumed, now);
        let slot_wait = state.expected_wait(sort_time, assumed);
        let pace_wait = state.pace_wait(&(sort_time, u64::MAX), now);
        let left = request.deadline.saturating_duration_since(now);
        if slot_wait.max(pace_wait) + service_time > request.finish_within.min(left) {
            return Err(match pace_wait > slot_wait {
                true => AdmissionRefusal::Cold { room_in: pace_wait },
                false => AdmissionRefusal::Full,
            });
        }
        let sequence = state.next_sequence;
        state.next_sequence += 1;
        let (admit, admitted) = oneshot::channel();
        let key = (sort_time, sequence);
        let latest_start = request.deadline - service_time.mul_f64(MIN_START_FRACTION).min(left);
        state.waiting.insert(
            key,
            Waiter {
                admit,
                latest_start,
            },
        );
        Ok(Admission::Waiting(QueuedCall {
            state: self.state.clone(),
            signals: self.signals.clone(),
            key,
            latest_start,
            admitted,
            resolved: false,
        }))
    }
}

impl QueueState {
    fn load(&self) -> TargetLoad {
        let mean = self.service_time.mean_or(ASSUMED_SERVICE_TIME);
        TargetLoad {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.slots,
            service_time: mean.max(self.mean_age_if_full()),
            route_time: mean,
            cold: self.cold_load(),
            relative_time: self.speed.relative_time(Instant::now()),
        }
    }

    /// Returns the average service time of the route, else that over all routes, else `assumed`.
    fn route_time(&self, route: &str, assumed: Duration) -> Duration {
        let average = self.route_times.get(route).unwrap_or(&self.service_time);
        average.mean_or(assumed)
    }

    /// Returns the service time of the route at the present speed of the target.
    fn present_route_time(&self, route: &str, assumed: Duration, now: Instant) -> Duration {
        let relative_time = self.speed.relative_time(now).unwrap_or(1.0);
        self.route_time(route, assumed).mul_f64(relative_time)
    }

    fn expected_wait(&self, sort_time: Instant, assumed: Duration) -> Duration {
        let before = (sort_time, u64::MAX);
        let ahead = self.waiting.range(..before).count() as u32;
        let load = TargetLoad {
            waiting: ahead,
            service_time: self
                .service_time
                .mean_or(assumed)
                .max(self.mean_age_if_full()),
            ..self.load()
        };
        load.expected_wait()
    }

    fn record_service_time(&mut self, route: &str, elapsed: Duration) {
        self.service_time.add(elapsed);
        if let Some(average) = self.route_times.get_mut(route) {
            average.add(elapsed);
            return;
        }
        if self.route_times.len() >= MAX_ROUTE_TIMES {
            self.route_times.clear();
        }
        let mut first = AverageTime::default();
        first.add(elapsed);
        self.route_times.insert(route.to_owned(), first);
    }

    /// Gives free slots to waiting calls; refuses those for which too little time is left.
    fn admit_next(&mut self) {
        let now = Instant::now();
        while self.running < self.slots {
            let Some((key, waiter)) = self.waiting.pop_first() else {
                return;
            };
            if waiter.latest_start < now || waiter.admit.is_closed() {
                continue;
            }
            if !self.try_send(now) {
                self.waiting.insert(key, waiter);
                return;
            }
            let grant = SlotGrant {
                started: now,
                withdrawn: self.withdrawn.clone(),
            };
            if waiter.admit.send(grant).is_ok() {
                self.start(now);
            }
        }
    }

    fn start(&mut self, at: Instant) {
        self.running += 1;
        self.started_sum += self.seconds_since_epoch(at);
    }

    fn stop(&mut self, started: Instant) {
        self.running = self.running.saturating_sub(1);
        self.started_sum -= self.seconds_since_epoch(started);
        if self.running == 0 {
            // Discards the rounding error of the sum.
            self.started_sum = 0.0;
        }
    }

    fn seconds_since_epoch(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }

    /// Returns the mean age of the running calls if they take all slots, else zero. It shows that a target has become
    /// slow before any of its calls has ended.
    fn mean_age_if_full(&self) -> Duration {
        if self.running < self.slots {
            return Duration::ZERO;
        }
        let started = self.started_sum / f64::from(self.running);
        let age = self.seconds_since_epoch(Instant::now()) - started;
        Duration::from_secs_f64(age.max(0.0))
    }
}

enum Admission {
    Admitted(SlotPermit),
    Waiting(QueuedCall),
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        state.stop(self.started);
        state.admit_next();
    }
}
