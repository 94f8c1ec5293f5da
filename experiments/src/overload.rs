//! Recovery of a chain of services from an overload, with and without a budget for retries.
//!
//! Long calls go through 12 services and short ones through the first 6; each service holds a slot while it
//! waits for the next. For ten seconds the last service refuses all calls, which short calls do not need.
//! The rule for retries and their budget are those of the nodes; everything else is a plain queueing model.

use {
    crate::figure::{MeasuredFigure, print_figure},
    poplarwing::retry_budget::{AttemptFate, RetryBudget, may_repeat},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    rand_distr::{Distribution, Exp},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        time::{Duration, Instant},
    },
};

/// Services that a long call passes.
const CHAIN_LENGTH: usize = 12;

/// Services that a short call passes; every other call is short.
const SHORT_LENGTH: usize = 6;

/// Calls that one service can hold at once.
const SLOTS: u32 = 24;

/// Own time of a service for one call.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Calls per second; they keep about 9 of the first service's slots in use.
const CALL_RATE: f64 = 200.0;

/// Time that a caller gives a call.
const CALL_DEADLINE: Duration = Duration::from_secs(1);

/// Time for a refusal or a retry to travel between two nodes.
const HOP_TIME: Duration = Duration::from_millis(1);

/// Most attempts of one call at one service.
const MAX_ATTEMPTS: u32 = 4;

/// Beginning and end of the time in which the last service is down, and length of the run.
const DOWN_FROM: Duration = Duration::from_secs(10);
const DOWN_UNTIL: Duration = Duration::from_secs(20);
const RUN_TIME: Duration = Duration::from_secs(60);

/// Share of answered calls in one second at which the chain counts as recovered.
const RECOVERED_SHARE: f64 = 0.99;

/// Seeds of the report.
const REPORT_SEEDS: [u64; 3] = [301, 302, 303];

/// Rule for repeating calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RetryWay {
    /// The rule and the budget of the nodes.
    Budget,
    /// Every failed call is repeated up to the most attempts.
    Unbounded,
    /// No call is repeated.
    Never,
}

impl RetryWay {
    fn name(self) -> &'static str {
        match self {
            Self::Budget => "poplarwing",
            Self::Unbounded => "unbounded-retries",
            Self::Never => "no-retries",
        }
    }
}

type FrameId = u64;

/// What happens at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ChainEvent {
    /// A caller sends a new call.
    Arrival,
    /// A frame sends an attempt to the next service.
    Attempt(FrameId),
    /// A service has done its own part of a call.
    OwnPartDone(FrameId),
    /// The deadline of a call has passed.
    Deadline(FrameId),
}

/// A call at one service; the caller itself is a frame without a slot.
#[derive(Debug)]
struct CallFrame {
    /// Service that holds the call; none for the caller.
    level: Option<usize>,
    /// Services that the whole call passes.
    depth: usize,
    parent: Option<FrameId>,
    child: Option<FrameId>,
    attempts: u32,
    sent: Duration,
}

/// Calls of one second by their result.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCount {
    sent: u32,
    answered: u32,
    short_sent: u32,
    short_answered: u32,
}

/// A run of the chain.
struct ChainRun {
    way: RetryWay,
    rng: ChaCha8Rng,
    start: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, ChainEvent)>>,
    frames: HashMap<FrameId, CallFrame>,
    next_frame: FrameId,
    in_use: [u32; CHAIN_LENGTH],
    /// Budget of the nodes in front of each service.
    budgets: Vec<RetryBudget>,
    seconds: Vec<SecondCount>,
    runs: u64,
}

/// Runs all ways.
pub fn run() {
    for way in [RetryWay::Budget, RetryWay::Unbounded, RetryWay::Never] {
        for seed in REPORT_SEEDS {
            report(way, seed);
        }
    }
}

fn report(way: RetryWay, seed: u64) {
    let mut chain = ChainRun::new(way, seed);
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
            baseline: way.name().to_owned(),
            seed,
            size: CHAIN_LENGTH as u64,
        });
    }
}

impl ChainRun {
    fn new(way: RetryWay, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            way,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            queue: BinaryHeap::from([Reverse((Duration::ZERO, ChainEvent::Arrival))]),
            frames: HashMap::new(),
            next_frame: 0,
            in_use: [0; CHAIN_LENGTH],
            budgets: (0..CHAIN_LENGTH).map(|_| RetryBudget::new(start)).collect(),
            seconds: vec![SecondCount::default(); RUN_TIME.as_secs() as usize + 1],
            runs: 0,
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, event))) = self.queue.pop() {
            self.now = at;
            match event {
                ChainEvent::Arrival => self.arrive(),
                ChainEvent::Attempt(frame) => self.attempt(frame),
                ChainEvent::OwnPartDone(frame) => self.own_part_done(frame),
                ChainEvent::Deadline(frame) => self.cancel(frame),
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

    fn arrive(&mut self) {
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

    fn begin_attempts(&mut self, frame: FrameId) {
        let level = self.next_level(frame);
        let now = self.start + self.now;
        self.budgets[level].earn(now);
        self.attempt(frame);
    }

    /// Sends an attempt to the next service, which takes a slot or refuses.
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
        if is_down || self.in_use[level] >= SLOTS {
            self.failed(parent, AttemptFate::NotRun);
            return;
        }
        self.in_use[level] += 1;
        let child = self.add_frame(Some(level), depth, Some(parent));
        if let Some(frame) = self.frames.get_mut(&parent) {
            frame.child = Some(child);
        }
        self.runs += 1;
        self.schedule(SERVICE_TIME, ChainEvent::OwnPartDone(child));
    }

    fn own_part_done(&mut self, frame: FrameId) {
        if !self.frames.contains_key(&frame) {
            return;
        }
        if self.next_level(frame) == self.frames[&frame].depth {
            self.answered(frame);
        } else {
            self.begin_attempts(frame);
        }
    }

    /// Passes an answer up to the caller.
    fn answered(&mut self, frame: FrameId) {
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

    /// Repeats a failed attempt or passes the failure up.
    fn failed(&mut self, parent: FrameId, fate: AttemptFate) {
        if self.may_retry(parent, fate) {
            self.schedule(HOP_TIME, ChainEvent::Attempt(parent));
            return;
        }
        let Some(ended) = self.release(parent) else {
            return;
        };
        if let Some(above) = ended.parent {
            self.failed(above, AttemptFate::ServerError);
        }
    }

    fn may_retry(&mut self, parent: FrameId, fate: AttemptFate) -> bool {
        let Some(frame) = self.frames.get(&parent) else {
            return false;
        };
        let is_allowed = may_repeat(fate, true) && frame.attempts < MAX_ATTEMPTS;
        let level = self.next_level(parent);
        is_allowed
            && match self.way {
                RetryWay::Never => false,
                RetryWay::Unbounded => true,
                RetryWay::Budget => self.budgets[level].spend(fate, self.start + self.now),
            }
    }

    /// Ends a call whose deadline has passed, down the whole chain.
    fn cancel(&mut self, frame: FrameId) {
        let mut next = Some(frame);
        while let Some(id) = next {
            next = self.release(id).and_then(|ended| ended.child);
        }
    }

    fn release(&mut self, id: FrameId) -> Option<CallFrame> {
        let ended = self.frames.remove(&id)?;
        if let Some(level) = ended.level {
            self.in_use[level] -= 1;
        }
        Some(ended)
    }

    fn short_share(&self, from: Duration, until: Duration) -> f64 {
        let range = &self.seconds[from.as_secs() as usize..until.as_secs() as usize];
        let sent: u32 = range.iter().map(|count| count.short_sent).sum();
        let answered: u32 = range.iter().map(|count| count.short_answered).sum();
        f64::from(answered) / f64::from(sent.max(1))
    }

    fn runs_per_call(&self) -> f64 {
        let sent: u32 = self.seconds.iter().map(|count| count.sent).sum();
        self.runs as f64 / f64::from(sent.max(1))
    }

    /// Returns the time after the cause until nearly all calls are answered for good, or the rest of the
    /// run if they never are.
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
