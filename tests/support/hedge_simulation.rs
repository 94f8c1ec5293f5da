//! Simulation of one entry node and the targets of a service, without network and clocks, in which hedges of slow
//! attempts are decided by the code of the node.

use {
    poplarwing::{
        attempts::{
            attempt_ledger::{AttemptId, AttemptLedger, AttemptLimits, AttemptState},
            hedge_delay::HedgeDelays,
        },
        config::ServiceKey,
        membership::TargetEndpoint,
        mesh::{
            admission::TargetLoad,
            retry_share::RetryShares,
            settings::MeshBounds,
            target_selection::{CallNeeds, TargetOutcome, TargetTracker},
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        time::{Duration, Instant},
    },
};

const ROUTE: &str = "jobs";
const TARGETS: usize = 8;
const SLOTS: u32 = 4;

/// Mean work of a call at a target of mean speed.
const WORK: Duration = Duration::from_millis(60);

/// Share of the attempts that meet a stall, and the factor by which it lengthens their work.
const STALL_SHARE: f64 = 0.02;
const STALL_FACTOR: f64 = 8.0;

/// Weight of the newest sample in a target's average of its service time.
const SERVICE_TIME_WEIGHT: f64 = 0.08;

/// Load and limits of a simulated service.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub calls: usize,
    /// Mean share of the slots that calls keep busy without hedges.
    pub load: f64,
    /// Share of the calls that the operator allows to be hedged.
    pub hedge_share: f64,
}

/// Result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// Time from the arrival of each call to its response, in rising order.
    pub latencies: Vec<Duration>,
    /// Hedges sent.
    pub hedges: usize,
    /// Time that slots were busy, with the work of attempts that were cancelled.
    pub busy: Duration,
}

impl Outcome {
    /// Returns a quantile of the latencies.
    pub fn quantile(&self, quantile: f64) -> Duration {
        self.latencies[(self.latencies.len() as f64 * quantile) as usize]
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    HedgeDue { call: usize },
    WorkDone { call: usize, attempt: AttemptId },
}

struct Attempt {
    target: usize,
    work: Duration,
    begun: Option<Instant>,
}

struct Call {
    arrived: Instant,
    expected: Option<Duration>,
    ledger: AttemptLedger,
    attempts: Vec<Attempt>,
}

#[derive(Default)]
struct Target {
    running: u32,
    waiting: VecDeque<(usize, AttemptId)>,
    service_time: Duration,
}

struct Simulation {
    scenario: Scenario,
    now: Instant,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    event_count: usize,
    endpoints: Vec<TargetEndpoint>,
    targets: Vec<Target>,
    calls: Vec<Call>,
    tracker: TargetTracker,
    shares: RetryShares,
    delays: HedgeDelays,
    outcome: Outcome,
}

/// Plays a scenario until all its calls have been answered.
pub fn simulate(scenario: Scenario, bounds: &MeshBounds) -> Outcome {
    let endpoints = (0..TARGETS).map(|index| TargetEndpoint {
        node: format!("n{index}"),
        domain: "bunbury".to_owned(),
        forward_address: "127.0.0.1:9000".parse().expect("address"),
        version: "v1".to_owned(),
        slots: SLOTS,
    });
    let mut shares = RetryShares::new(bounds).with_hedge_share(scenario.hedge_share);
    shares.set_nodes(TARGETS);
    let mut simulation = Simulation {
        scenario,
        now: Instant::now(),
        rng: StdRng::seed_from_u64(scenario.seed),
        events: BinaryHeap::new(),
        event_count: 0,
        endpoints: endpoints.collect(),
        targets: (0..TARGETS).map(|_| Target::default()).collect(),
        calls: Vec::new(),
        tracker: TargetTracker::default(),
        shares,
        delays: HedgeDelays::new(scenario.hedge_share),
        outcome: Outcome {
            latencies: Vec::new(),
            hedges: 0,
            busy: Duration::ZERO,
        },
    };
    simulation.run();
    simulation.outcome.latencies.sort();
    simulation.outcome
}

/// Returns the factor by which the work of a target is longer than the mean.
fn slowness(target: usize) -> f64 {
    0.75 + 0.5 * target as f64 / (TARGETS - 1) as f64
}

fn key() -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
    }
}

impl Simulation {
    fn run(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival => self.arrive(),
                Event::HedgeDue { call } => self.hedge(call),
                Event::WorkDone { call, attempt } => self.end_work(call, attempt),
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        let entry = (self.now + after, self.event_count, event);
        self.events.push(Reverse(entry));
    }

    fn arrive(&mut self) {
        let call = self.calls.len();
        self.shares.earn(&key(), self.now);
        let limits = AttemptLimits {
            targets: 2,
            idempotent: true,
        };
        self.calls.push(Call {
            arrived: self.now,
            expected: None,
            ledger: AttemptLedger::new(limits),
            attempts: Vec::new(),
        });
        let candidates = self.endpoints.clone();
        if let Some(target) = self.choose(call, &candidates) {
            let node = &self.endpoints[target].node;
            let expected = self.tracker.expected_time(node, ROUTE);
            self.calls[call].expected = expected;
            self.send(call, target);
            let delay = expected.and_then(|expected| self.delays.delay(ROUTE, expected));
            if let Some(delay) = delay {
                self.schedule(delay, Event::HedgeDue { call });
            }
        }
        if self.calls.len() < self.scenario.calls {
            let mean_work = WORK.as_secs_f64() * (1.0 + STALL_SHARE * (STALL_FACTOR - 1.0));
            let rate = self.scenario.load * (TARGETS as f64) * f64::from(SLOTS) / mean_work;
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        }
    }

    fn hedge(&mut self, call: usize) {
        if self.calls[call].ledger.answered().is_some() {
            return;
        }
        let has_room = |target: &&TargetEndpoint| self.tracker.has_room_for_hedge(target, self.now);
        let idle: Vec<_> = self.endpoints.iter().filter(has_room).cloned().collect();
        if let Some(target) = self.choose(call, &idle) {
            self.send(call, target);
        }
    }

    fn choose(&mut self, call: usize, candidates: &[TargetEndpoint]) -> Option<usize> {
        let domain = "bunbury".to_owned();
        let needs = CallNeeds {
            route: ROUTE,
            latency_objective: Duration::from_millis(300),
            own_domain: &domain,
            body_bytes: 0,
        };
        let asked = self.calls[call].ledger.asked();
        let rng = &mut self.rng;
        let chosen = self
            .tracker
            .choose(candidates, &asked, &needs, self.now, rng)?;
        let mut endpoints = self.endpoints.iter();
        endpoints.position(|endpoint| endpoint.node == chosen.node)
    }

    fn send(&mut self, call: usize, target: usize) {
        let (now, node) = (self.now, self.endpoints[target].node.clone());
        let shares = &mut self.shares;
        let pay = || shares.spend_spare(&key(), now);
        let Some(attempt) = self.calls[call].ledger.send(&node, pay) else {
            return;
        };
        self.outcome.hedges += attempt.min(1);
        self.tracker.begin(&node);
        let is_stalled = self.rng.random_bool(STALL_SHARE);
        let stall = if is_stalled { STALL_FACTOR } else { 1.0 };
        let factor = slowness(target) * stall * self.rng.random_range(0.7..1.3);
        self.calls[call].attempts.push(Attempt {
            target,
            work: WORK.mul_f64(factor),
            begun: None,
        });
        self.targets[target].waiting.push_back((call, attempt));
        self.start_waiting(target);
    }

    fn start_waiting(&mut self, target: usize) {
        while self.targets[target].running < SLOTS {
            let Some((call, attempt)) = self.targets[target].waiting.pop_front() else {
                return;
            };
            self.targets[target].running += 1;
            let started = &mut self.calls[call].attempts[attempt];
            started.begun = Some(self.now);
            let work = started.work;
            self.schedule(work, Event::WorkDone { call, attempt });
        }
    }

    fn end_work(&mut self, call: usize, attempt: AttemptId) {
        let ledger = &mut self.calls[call].ledger;
        if ledger.sent()[attempt].state != AttemptState::Running {
            return;
        }
        ledger.end(attempt, AttemptState::Answered);
        ledger.cancel_running();
        let (arrived, expected) = (self.calls[call].arrived, self.calls[call].expected);
        let latency = self.now - arrived;
        self.outcome.latencies.push(latency);
        if let Some(expected) = expected {
            self.delays.record(ROUTE, expected, latency);
        }
        for other in 0..self.calls[call].attempts.len() {
            self.release(call, other, other == attempt);
        }
    }

    /// Frees the slot or the place in the queue of an attempt that has ended.
    fn release(&mut self, call: usize, attempt: AttemptId, is_answer: bool) {
        let Attempt {
            target,
            work,
            begun,
        } = self.calls[call].attempts[attempt];
        match begun {
            Some(begun) => {
                self.outcome.busy += self.now - begun;
                self.targets[target].running -= 1;
            }
            None => self.targets[target]
                .waiting
                .retain(|waiting| *waiting != (call, attempt)),
        }
        let node = self.endpoints[target].node.clone();
        let outcome = match is_answer {
            true => TargetOutcome::Answered,
            false => TargetOutcome::Neutral,
        };
        self.tracker.end(&node, outcome, self.now);
        if attempt == 0 && !is_answer {
            self.tracker.record_overtaken(&node, self.now);
        }
        if is_answer {
            self.report(target, work);
        }
        self.start_waiting(target);
    }

    /// Reports the load of a target with its answer, as its node does.
    fn report(&mut self, target: usize, work: Duration) {
        let state = &mut self.targets[target];
        state.service_time = match state.service_time {
            Duration::ZERO => work,
            mean => mean.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + work.mul_f64(SERVICE_TIME_WEIGHT),
        };
        let load = TargetLoad {
            running: state.running,
            waiting: state.waiting.len() as u32,
            slots: SLOTS,
            service_time: state.service_time,
            route_time: state.service_time,
            cold: None,
            relative_time: None,
        };
        let node = &self.endpoints[target].node;
        self.tracker.record_load(node, ROUTE, load, self.now);
    }
}
