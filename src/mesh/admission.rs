//! Admission of calls to the slots of the target beside this node.
//!
//! A target gets no more calls than it has slots. Further calls wait here, where they can be ordered by rank
//! and refused truthfully.

use {
    crate::ids::RouteName,
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Least weight of the newest call in the average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.08;

/// Service time told to other nodes before the first call has ended.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Part of the time within which an answer has its full value that a call is assumed to take before one has ended.
///
/// With the whole of it, no queue forms at a target that has just started until its calls tell what they take; a
/// shorter time fills the queue with calls that cannot end in time.
const FIRST_SERVICE_PART: f64 = 1.0;

/// Time by which a call goes before one of the next lower rank that is due together with it.
const RANK_STEP: Duration = Duration::from_millis(150);

/// Part of the service time that must be left of a deadline for a call to be worth starting.
const USEFUL_PART: f64 = 0.6;

/// Routes whose service time is remembered.
const MAX_ROUTE_TIMES: usize = 1024;

/// Why a call was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// The expected wait is longer than the call may wait.
    Full,
    /// The target takes no new calls.
    Closed,
}

/// Load of a target as its node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that can run at once.
    pub slots: u32,
    /// Average time of a call at the target.
    pub service_time: Duration,
    /// Average time of a call of the route that the load is reported for.
    pub route_time: Duration,
}

impl TargetLoad {
    /// Returns how long one more call would wait for a slot.
    pub fn expected_wait(&self) -> Duration {
        let slots = self.slots.max(1);
        let ahead = (self.running + self.waiting + 1).saturating_sub(slots);
        self.service_time
            .mul_f64(f64::from(ahead) / f64::from(slots))
    }
}

/// Order of waiting calls: time at which the answer is due moved by rank, then number.
type WaiterKey = (Instant, u64);

/// A call that waits.
#[derive(Debug)]
struct Waiter {
    admit: oneshot::Sender<Instant>,
    /// When it is too late to start the call.
    useful_until: Instant,
}

#[derive(Debug)]
struct QueueState {
    /// Since when the starts of running calls are counted.
    epoch: Instant,
    slots: u32,
    running: u32,
    /// Sum of the times from the epoch to the starts of the running calls, in seconds.
    started_sum: f64,
    waiting: BTreeMap<WaiterKey, Waiter>,
    service_time: AverageTime,
    route_times: HashMap<RouteName, AverageTime>,
    next_number: u64,
    closed: bool,
}

/// Slots of a target with an ordered queue.
///
/// Invariants: at most `slots` permits are out unless the slots were reduced while they were; `running` and
/// `started_sum` count the permits that are out or given to a waiting call.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    state: Arc<Mutex<QueueState>>,
}

/// One slot; it goes back when it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    state: Arc<Mutex<QueueState>>,
    started: Instant,
}

/// What a call says about itself when it asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotAsk<'a> {
    /// Route of the call.
    pub route: &'a str,
    /// Rank of the call; 0 goes first.
    pub rank: u32,
    /// Time within which the answer has its full value.
    pub due: Duration,
    /// When the answer must have ended.
    pub deadline: Instant,
    /// Expected time to the end of the answer above which the call is to be refused.
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
            next_number: 0,
            closed: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl AdmissionQueue {
    /// Sets the number of slots and takes calls.
    pub fn open(&self, slots: u32) {
        let mut state = self.state.lock();
        state.slots = slots.max(1);
        state.closed = false;
        state.admit_next();
    }

    /// Refuses all that wait and all that come.
    pub fn close(&self) {
        let mut state = self.state.lock();
        state.closed = true;
        // A dropped sender refuses its waiter.
        state.waiting.clear();
    }

    /// Returns the load.
    pub fn load(&self) -> TargetLoad {
        self.state.lock().load()
    }

    /// Returns the load with the service time of one route.
    pub fn load_for(&self, route: &str) -> TargetLoad {
        let state = self.state.lock();
        TargetLoad {
            route_time: state.route_time(route, FIRST_SERVICE_TIME),
            ..state.load()
        }
    }

    /// Adds the time that a call took at the target to the averages.
    pub fn note_service_time(&self, route: &str, elapsed: Duration) {
        self.state.lock().note_service_time(route, elapsed);
    }

    /// Adds the time after which a call was given up; it tells something only if it is above the average.
    pub fn note_given_up(&self, route: &str, elapsed: Duration) {
        let mut state = self.state.lock();
        if elapsed > state.route_time(route, Duration::ZERO) {
            state.note_service_time(route, elapsed);
        }
    }

    /// Waits for a slot.
    pub async fn acquire(&self, ask: SlotAsk<'_>) -> Result<SlotPermit, AdmissionRefusal> {
        let place = match self.enter(ask)? {
            Entry::Admitted(permit) => return Ok(permit),
            Entry::Waiting(place) => place,
        };
        place.wait().await
    }

    fn enter(&self, ask: SlotAsk<'_>) -> Result<Entry, AdmissionRefusal> {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.closed {
            return Err(AdmissionRefusal::Closed);
        }
        if state.running < state.slots {
            state.start(now);
            let permit = SlotPermit {
                state: self.state.clone(),
                started: now,
            };
            return Ok(Entry::Admitted(permit));
        }
        let due = now + ask.due + RANK_STEP * ask.rank;
        let assumed = ask.due.mul_f64(FIRST_SERVICE_PART);
        let service = state.route_time(ask.route, assumed);
        let finish = state.expected_wait(due, assumed) + service;
        let left = ask.deadline.saturating_duration_since(now);
        if finish > ask.finish_within.min(left) {
            return Err(AdmissionRefusal::Full);
        }
        let number = state.next_number;
        state.next_number += 1;
        let (admit, admitted) = oneshot::channel();
        let key = (due, number);
        let useful_until = ask.deadline - service.mul_f64(USEFUL_PART).min(left);
        state.waiting.insert(
            key,
            Waiter {
                admit,
                useful_until,
            },
        );
        Ok(Entry::Waiting(WaitPlace {
            state: self.state.clone(),
            key,
            admitted,
            taken: false,
        }))
    }
}

impl QueueState {
    fn load(&self) -> TargetLoad {
        let known = self.service_time.or_assumed(FIRST_SERVICE_TIME);
        TargetLoad {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.slots,
            service_time: known.max(self.full_age()),
            route_time: known,
        }
    }

    /// Returns the average time of a route, or of all, or the assumed one if no call has ended yet.
    fn route_time(&self, route: &str, assumed: Duration) -> Duration {
        let known = self.route_times.get(route).unwrap_or(&self.service_time);
        known.or_assumed(assumed)
    }

    fn expected_wait(&self, due: Instant, assumed: Duration) -> Duration {
        let before = (due, u64::MAX);
        let ahead = self.waiting.range(..before).count() as u32;
        let load = TargetLoad {
            waiting: ahead,
            service_time: self.service_time.or_assumed(assumed).max(self.full_age()),
            ..self.load()
        };
        load.expected_wait()
    }

    fn note_service_time(&mut self, route: &str, elapsed: Duration) {
        self.service_time.add(elapsed);
        if let Some(known) = self.route_times.get_mut(route) {
            known.add(elapsed);
            return;
        }
        if self.route_times.len() >= MAX_ROUTE_TIMES {
            self.route_times.clear();
        }
        let mut first = AverageTime::default();
        first.add(elapsed);
        self.route_times.insert(route.to_owned(), first);
    }

    /// Gives free slots to waiting calls; those that can no longer be done in time are refused.
    fn admit_next(&mut self) {
        let now = Instant::now();
        while self.running < self.slots {
            let Some((_, waiter)) = self.waiting.pop_first() else {
                return;
            };
            if waiter.useful_until < now {
                continue;
            }
            if waiter.admit.send(now).is_ok() {
                self.start(now);
            }
        }
    }

    fn start(&mut self, at: Instant) {
        self.running += 1;
        self.started_sum += self.since_epoch(at);
    }

    fn stop(&mut self, started: Instant) {
        self.running = self.running.saturating_sub(1);
        self.started_sum -= self.since_epoch(started);
        if self.running == 0 {
            // Sums of rounded times must not drift.
            self.started_sum = 0.0;
        }
    }

    fn since_epoch(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }

    /// Returns for how long the running calls have run on average, if they take all slots: calls that run on and on
    /// tell that the target has become slow before any of them has ended.
    fn full_age(&self) -> Duration {
        if self.running < self.slots {
            return Duration::ZERO;
        }
        let started = self.started_sum / f64::from(self.running);
        let age = self.since_epoch(Instant::now()) - started;
        Duration::from_secs_f64(age.max(0.0))
    }
}

/// Average of times: of all at first, then with the least weight for the newest.
#[derive(Clone, Copy, Debug, Default)]
struct AverageTime {
    seconds: f64,
    count: u32,
}

impl AverageTime {
    fn add(&mut self, newest: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = SERVICE_TIME_WEIGHT.max(1.0 / f64::from(self.count));
        self.seconds += weight * (newest.as_secs_f64() - self.seconds);
    }

    fn or_assumed(&self, assumed: Duration) -> Duration {
        match self.count {
            0 => assumed,
            _ => Duration::from_secs_f64(self.seconds),
        }
    }
}

enum Entry {
    Admitted(SlotPermit),
    Waiting(WaitPlace),
}

/// Place in the queue; given up when dropped, also when the caller goes away.
struct WaitPlace {
    state: Arc<Mutex<QueueState>>,
    key: WaiterKey,
    admitted: oneshot::Receiver<Instant>,
    taken: bool,
}

impl WaitPlace {
    async fn wait(mut self) -> Result<SlotPermit, AdmissionRefusal> {
        match (&mut self.admitted).await {
            Ok(started) => {
                self.taken = true;
                Ok(SlotPermit {
                    state: self.state.clone(),
                    started,
                })
            }
            Err(_) => {
                self.taken = true;
                Err(AdmissionRefusal::Full)
            }
        }
    }
}

impl Drop for WaitPlace {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let mut state = self.state.lock();
        state.waiting.remove(&self.key);
        // The slot may have been given to this place between the last poll and the drop.
        if let Ok(started) = self.admitted.try_recv() {
            state.stop(started);
            state.admit_next();
        }
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        state.stop(self.started);
        state.admit_next();
    }
}
