//! Recovery of a chain of services from an overload, with and without a retry budget.
//!
//! Long calls pass through 12 services and short ones through the first 6; each service occupies a slot while
//! it waits for the next. For ten seconds the last service refuses all calls; short calls do not depend on
//! it. The retry rule and the retry budget are those of the nodes; everything else is a plain queueing model
//! in simulated time.

use {
    crate::figure::{MeasuredFigure, print_figure},
    poplarwing::retry_budget::{AttemptOutcome, RetryBudget, may_retry},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    rand_distr::{Distribution, Exp},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        time::{Duration, Instant},
    },
};

/// Services that a long call passes through.
const CHAIN_LENGTH: usize = 12;

/// Services that a short call passes through; calls with an even frame number are short.
const SHORT_LENGTH: usize = 6;

/// Concurrent calls that one service accepts; it refuses further ones.
const SLOTS: u32 = 24;

/// Processing time of a service for one call, before it calls the next service or answers.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Calls per second, long and short; without faults they occupy about 9 slots of the first service.
const CALL_RATE: f64 = 200.0;

/// Deadline of a call, from when the caller sends it.
const CALL_DEADLINE: Duration = Duration::from_secs(1);

/// Time from a failed attempt until its retry arrives at the next service.
const HOP_TIME: Duration = Duration::from_millis(1);

/// Largest number of attempts of one call at one service, the first included.
const MAX_ATTEMPTS: u32 = 4;

/// Simulated time from which the last service refuses all calls.
const DOWN_FROM: Duration = Duration::from_secs(10);

/// Simulated time from which the last service accepts calls again.
const DOWN_UNTIL: Duration = Duration::from_secs(20);

/// Simulated time after which no more calls are sent.
const RUN_TIME: Duration = Duration::from_secs(60);

/// Share of the calls sent in one second that must be answered for the chain to count as recovered.
const RECOVERED_SHARE: f64 = 0.99;

/// Seeds of the reported runs.
const REPORT_SEEDS: [u64; 3] = [301, 302, 303];

/// Retry policy of all nodes in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RetryPolicy {
    /// The retry rule and the retry budget of the project's nodes.
    Budget,
    /// Every failed attempt is retried, up to `MAX_ATTEMPTS`.
    Unbounded,
    /// No attempt is retried.
    Never,
}

impl RetryPolicy {
    fn name(self) -> &'static str {
        match self {
            Self::Budget => "poplarwing",
            Self::Unbounded => "unbounded-retries",
            Self::Never => "no-retries",
        }
    }
}

type FrameId = u64;

/// A scheduled event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ChainEvent {
    /// A caller sends a new call.
    Arrival,
    /// A caller or service sends an attempt to the next service.
    Attempt(FrameId),
    /// A service has finished its own processing of a call.
    ProcessingDone(FrameId),
    /// The deadline of a call has passed.
    Deadline(FrameId),
}

/// A call in progress at one service. The caller at the start of the chain is a frame too, without a slot.
#[derive(Debug)]
struct CallFrame {
    /// Index of the service in the chain; none for the caller.
    level: Option<usize>,
    /// Number of services that the whole call passes through.
    depth: usize,
    parent: Option<FrameId>,
    child: Option<FrameId>,
    /// Attempts made at the next service.
    attempts: u32,
    /// Simulated time of the frame's creation.
    sent: Duration,
}

/// Calls that were sent in one second, and those of them that were answered.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCount {
    sent: u32,
    answered: u32,
    short_sent: u32,
    short_answered: u32,
}

/// One simulated run of the chain.
struct ChainRun {
    policy: RetryPolicy,
    rng: ChaCha8Rng,
    start: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, ChainEvent)>>,
    frames: HashMap<FrameId, CallFrame>,
    next_frame: FrameId,
    /// Occupied slots of each service.
    slots_in_use: [u32; CHAIN_LENGTH],
    /// Retry budget for the calls to each service.
    budgets: Vec<RetryBudget>,
    seconds: Vec<SecondCount>,
    /// Attempts that a service accepted, over all services.
    accepted_attempts: u64,
}

/// Runs all retry policies with all seeds and prints the figures.
pub fn run() {
    for policy in [
        RetryPolicy::Budget,
        RetryPolicy::Unbounded,
        RetryPolicy::Never,
    ] {
        for seed in REPORT_SEEDS {
            report(policy, seed);
        }
    }
}

fn report(policy: RetryPolicy, seed: u64) {
    let mut chain = ChainRun::new(policy, seed);
    chain.run();
    let figures = [
        (
            "short_answered_before",
            chain.short_share(DOWN_FROM / 2, DOWN_FROM),
            "of calls",
        ),
        (
            "short_answered_while_down",
            chain.short_share(DOWN_FROM, DOWN_UNTIL),
            "of calls",
        ),
        ("time_to_recover", chain.recovery_seconds(), "s"),
        ("service_runs_per_call", chain.runs_per_call(), "count"),
    ];
    for (figure, value, unit) in figures {
        print_figure(&MeasuredFigure {
            experiment: "overload".to_owned(),
            figure: figure.to_owned(),
            value,
            unit: unit.to_owned(),
            baseline: policy.name().to_owned(),
            seed,
            size: CHAIN_LENGTH as u64,
        });
    }
}

impl ChainRun {
    fn new(policy: RetryPolicy, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            queue: BinaryHeap::from([Reverse((Duration::ZERO, ChainEvent::Arrival))]),
            frames: HashMap::new(),
            next_frame: 0,
            slots_in_use: [0; CHAIN_LENGTH],
            budgets: (0..CHAIN_LENGTH).map(|_| RetryBudget::new(start)).collect(),
            seconds: vec![SecondCount::default(); RUN_TIME.as_secs() as usize + 1],
            accepted_attempts: 0,
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, event))) = self.queue.pop() {
            self.now = at;
            match event {
                ChainEvent::Arrival => self.start_call(),
                ChainEvent::Attempt(frame) => self.attempt(frame),
                ChainEvent::ProcessingDone(frame) => self.processing_done(frame),
                ChainEvent::Deadline(frame) => self.cancel_call(frame),
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: ChainEvent) {
        self.queue.push(Reverse((self.now + delay, event)));
    }

    fn add_frame(
        &mut self,
        level: Option<usize>,
        depth: usize,
        parent: Option<FrameId>,
    ) -> FrameId {
        let id = self.next_frame;
        self.next_frame += 1;
        let frame = CallFrame {
            level,
            depth,
            parent,
            child: None,
            attempts: 0,
            sent: self.now,
        };
        self.frames.insert(id, frame);
        id
    }

    fn start_call(&mut self) {
        let gap = Exp::new(CALL_RATE).expect("the rate is positive");
        let delay = Duration::from_secs_f64(gap.sample(&mut self.rng));
        if self.now + delay < RUN_TIME {
            self.schedule(delay, ChainEvent::Arrival);
        }
        let is_short = self.next_frame.is_multiple_of(2);
        let depth = if is_short { SHORT_LENGTH } else { CHAIN_LENGTH };
        let caller = self.add_frame(None, depth, None);
        let count = &mut self.seconds[self.now.as_secs() as usize];
        count.sent += 1;
        count.short_sent += u32::from(is_short);
        self.schedule(CALL_DEADLINE, ChainEvent::Deadline(caller));
        self.begin_attempts(caller);
    }

    fn next_level(&self, frame: FrameId) -> usize {
        self.frames[&frame].level.map_or(0, |level| level + 1)
    }

    /// Sends the first attempt of a frame to the next service.
    fn begin_attempts(&mut self, frame: FrameId) {
        let level = self.next_level(frame);
        let now = self.start + self.now;
        self.budgets[level].earn(now);
        self.attempt(frame);
    }

    /// Sends an attempt to the next service, which accepts it into a slot or refuses it.
    fn attempt(&mut self, parent: FrameId) {
        if !self.frames.contains_key(&parent) {
            return;
        }
        let level = self.next_level(parent);
        let Some(frame) = self.frames.get_mut(&parent) else {
            return;
        };
        frame.attempts += 1;
        let depth = frame.depth;
        let is_last = level + 1 == CHAIN_LENGTH;
        let is_down = is_last && self.now >= DOWN_FROM && self.now < DOWN_UNTIL;
        if is_down || self.slots_in_use[level] >= SLOTS {
            self.fail_attempt(parent, AttemptOutcome::NotRun);
            return;
        }
        self.slots_in_use[level] += 1;
        let child = self.add_frame(Some(level), depth, Some(parent));
        if let Some(frame) = self.frames.get_mut(&parent) {
            frame.child = Some(child);
        }
        self.accepted_attempts += 1;
        self.schedule(SERVICE_TIME, ChainEvent::ProcessingDone(child));
    }

    fn processing_done(&mut self, frame: FrameId) {
        if !self.frames.contains_key(&frame) {
            return;
        }
        if self.next_level(frame) == self.frames[&frame].depth {
            self.answer_call(frame);
        } else {
            self.begin_attempts(frame);
        }
    }

    /// Returns an answer through all services up to the caller and frees their slots.
    fn answer_call(&mut self, frame: FrameId) {
        let mut next = Some(frame);
        while let Some(id) = next {
            let Some(ended) = self.release(id) else {
                return;
            };
            if ended.parent.is_none() {
                let count = &mut self.seconds[ended.sent.as_secs() as usize];
                count.answered += 1;
                count.short_answered += u32::from(ended.depth == SHORT_LENGTH);
            }
            next = ended.parent;
        }
    }

    /// Retries a failed attempt if the policy allows it; otherwise ends the frame and fails the attempt above.
    fn fail_attempt(&mut self, parent: FrameId, attempt_result: AttemptOutcome) {
        if self.may_retry(parent, attempt_result) {
            self.schedule(HOP_TIME, ChainEvent::Attempt(parent));
            return;
        }
        let Some(ended) = self.release(parent) else {
            return;
        };
        if let Some(above) = ended.parent {
            self.fail_attempt(above, AttemptOutcome::ServerError);
        }
    }

    fn may_retry(&mut self, parent: FrameId, attempt_result: AttemptOutcome) -> bool {
        let Some(frame) = self.frames.get(&parent) else {
            return false;
        };
        let is_retryable = may_retry(attempt_result, true) && frame.attempts < MAX_ATTEMPTS;
        let level = self.next_level(parent);
        is_retryable
            && match self.policy {
                RetryPolicy::Never => false,
                RetryPolicy::Unbounded => true,
                RetryPolicy::Budget => {
                    self.budgets[level].spend(attempt_result, self.start + self.now)
                }
            }
    }

    /// Ends a call whose deadline has passed, at the caller and at all services that it has reached.
    fn cancel_call(&mut self, frame: FrameId) {
        let mut next = Some(frame);
        while let Some(id) = next {
            next = self.release(id).and_then(|ended| ended.child);
        }
    }

    fn release(&mut self, id: FrameId) -> Option<CallFrame> {
        let ended = self.frames.remove(&id)?;
        if let Some(level) = ended.level {
            self.slots_in_use[level] -= 1;
        }
        Some(ended)
    }

    /// Returns the answered share of the short calls sent in a time range.
    fn short_share(&self, from: Duration, until: Duration) -> f64 {
        let range = &self.seconds[from.as_secs() as usize..until.as_secs() as usize];
        let sent: u32 = range.iter().map(|count| count.short_sent).sum();
        let answered: u32 = range.iter().map(|count| count.short_answered).sum();
        f64::from(answered) / f64::from(sent.max(1))
    }

    /// Returns the mean number of services that ran for a call, retries included.
    fn runs_per_call(&self) -> f64 {
        let sent: u32 = self.seconds.iter().map(|count| count.sent).sum();
        self.accepted_attempts as f64 / f64::from(sent.max(1))
    }

    /// Returns the seconds from the end of the outage to the last second with an answered share below
    /// `RECOVERED_SHARE`, that second included; 0 if there is none. Calls sent within the last
    /// `CALL_DEADLINE` of the run are left out.
    fn recovery_seconds(&self) -> f64 {
        let first = DOWN_UNTIL.as_secs() as usize;
        let last = (RUN_TIME - CALL_DEADLINE).as_secs() as usize;
        let failing = (first..last).rev().find(|second| {
            let count = self.seconds[*second];
            f64::from(count.answered) < RECOVERED_SHARE * f64::from(count.sent)
        });
        failing.map_or(0.0, |second| (second + 1 - first) as f64)
    }
}
