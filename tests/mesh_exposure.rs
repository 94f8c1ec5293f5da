//! Calls of a candidate version in a simulated fleet of entry nodes, without network.
//!
//! Each seed draws the size of the fleet, its traffic with a burst, how the candidate fails, and which nodes hear
//! nothing of the move for some time. The nodes decide with the schedule, the test of the candidate and the exposure
//! limits of the product.

use {
    poplarwing::{
        call_evidence::{BUCKET_COUNT, bucket_of},
        mesh::{
            exposure_limit::{ExposureLimits, MoveKnowledge},
            move_driver::watch_policy,
            move_schedule::{MoveProgress, MoveStep, next_step},
            move_step::StepCalls,
            settings::{CapBounds, KeyBounds, MeshBounds, WarmupBounds},
        },
        move_verdict::{VerdictTest, counter_history::CounterDifference},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "yardboard";
const ORDER: u64 = 7;
/// Time between two moments of the simulation, in seconds.
const STEP_S: f64 = 0.02;
/// Time between two tests of the candidate, in seconds.
const VERDICT_PERIOD_S: f64 = 0.3;
/// Operator's bound: share of the service's calls, and further calls.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
/// Operator's bound: time after the 50th bad answer from which no call may reach a bad version, in seconds.
const ROLLBACK_S: f64 = 5.0;

/// How the candidate of a simulated move fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CandidateFault {
    /// It is as good as the stable version.
    None,
    /// A share of its calls fails.
    Errors,
    /// A share of its calls takes eight times as long.
    Slow,
    /// A share of its calls fails while it runs more than three tenths of the calls that the service usually runs.
    UnderLoad,
    /// A share of the calls of one route fails.
    OneRoute,
    /// A share of its calls fails from some time after its start.
    Late,
}

/// Which parts of the present mechanism a run uses.
#[derive(Clone, Copy)]
struct Mechanism {
    exposure_limits: bool,
    veto: bool,
}

const COMPLETE: Mechanism = Mechanism {
    exposure_limits: true,
    veto: true,
};

/// What an entry node knows, and the time from which it knows it.
struct SimulatedNode {
    limits: ExposureLimits,
    /// Shares that the node hears of: time and share in per mille.
    heard: Vec<(f64, u32)>,
    permille: u32,
    /// Time of the last veto or roll-back that the node hears of.
    stopped_at: Option<f64>,
    /// Time in which the node hears nothing.
    deaf: (f64, f64),
}

/// A call that runs at a target.
struct RunningCall {
    ends_at: f64,
    is_candidate: bool,
    route: usize,
    target: usize,
    failed: bool,
    latency: f64,
}

/// Result of a simulated move.
#[derive(Debug)]
struct SimulatedResult {
    calls: u64,
    candidate_calls: u64,
    /// Calls of the candidate later than `ROLLBACK_S` after its 50th bad answer.
    late_calls: u64,
    is_complete: bool,
}

struct SimulatedMove {
    rng: StdRng,
    fault: CandidateFault,
    fault_share: f64,
    period: f64,
    rate: f64,
    burst: (f64, f64),
    /// Time in which the watcher cannot write to the store.
    store_refuses: (f64, f64),
    nodes: Vec<SimulatedNode>,
    mechanism: Mechanism,
}

fn bounds() -> MeshBounds {
    MeshBounds {
        grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_extra: 64.0,
        exposure_share: SHARE,
        exposure_slack: SLACK,
        warmup: WarmupBounds {
            overage: 1.5,
            slack: 8.0,
        },
        cap: CapBounds {
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        },
        key: KeyBounds {
            strict: false,
            revocation_time: Duration::from_secs(5),
        },
    }
}

fn is_within(window: (f64, f64), now: f64) -> bool {
    now >= window.0 && now < window.1
}

impl SimulatedMove {
    fn new(seed: u64, fault: CandidateFault, mechanism: Mechanism) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = [10, 16, 25, 66, 295][rng.random_range(0..5)];
        let period = rng.random_range(14.0..16.0);
        let window = |rng: &mut StdRng, longest: f64| {
            let begins = rng.random_range(0.0..16.0);
            (begins, begins + rng.random_range(0.0..longest))
        };
        let nodes = (0..count)
            .map(|_| {
                let mut limits = ExposureLimits::new(&bounds());
                limits.set_nodes(count);
                let is_deaf = rng.random::<f64>() < 0.2;
                let deaf = window(&mut rng, 9.0);
                SimulatedNode {
                    limits,
                    heard: Vec::new(),
                    permille: 0,
                    stopped_at: None,
                    deaf: if is_deaf { deaf } else { (0.0, 0.0) },
                }
            })
            .collect();
        Self {
            fault,
            fault_share: rng.random_range(0.3..0.6),
            period,
            rate: count as f64 * rng.random_range(5.0..14.0),
            burst: window(&mut rng, 5.0),
            store_refuses: match fault {
                CandidateFault::None => (0.0, 0.0),
                _ => window(&mut rng, 9.0),
            },
            nodes,
            mechanism,
            rng,
        }
    }

    /// Returns the latency of a call of a good target, in seconds.
    fn latency(&mut self) -> f64 {
        0.1 + 0.12 * self.rng.random::<f64>()
    }

    /// Returns whether a call of the candidate fails, and its latency in seconds.
    fn outcome(&mut self, now: f64, route: usize, running: usize) -> (bool, f64) {
        let latency = self.latency();
        let is_bad = self.rng.random::<f64>() < self.fault_share;
        let fails = match self.fault {
            CandidateFault::None => false,
            CandidateFault::Errors => is_bad,
            CandidateFault::UnderLoad => is_bad && running as f64 > 0.3 * self.rate * 0.16,
            CandidateFault::OneRoute => is_bad && route == 1,
            CandidateFault::Late => is_bad && now >= 3.5,
            CandidateFault::Slow => return (false, latency * if is_bad { 8.0 } else { 1.0 }),
        };
        (fails, latency)
    }

    fn run(mut self) -> SimulatedResult {
        let mut test = VerdictTest::new("v2", "v1", watch_policy());
        let mut running: Vec<RunningCall> = Vec::new();
        let mut ended: Vec<RunningCall> = Vec::new();
        let mut result = SimulatedResult {
            calls: 0,
            candidate_calls: 0,
            late_calls: 0,
            is_complete: false,
        };
        let started = Instant::now();
        let at = |now: f64| started + Duration::from_secs_f64(now);
        let mut step = StepCalls::new("v2", started);
        let mut permille = 0;
        let (mut bad_answers, mut fiftieth_at) = (0, f64::MAX);
        let (mut now, mut tested_at) = (0.0, 0.0);
        while now < self.period {
            now += STEP_S;
            let load = if is_within(self.burst, now) { 2.0 } else { 1.0 };
            let mut arrivals = self.rate * load * STEP_S;
            while arrivals > 0.0 {
                if self.rng.random::<f64>() < arrivals.min(1.0) {
                    let node = self.rng.random_range(0..self.nodes.len());
                    let is_candidate = self.select(node, now);
                    let route = usize::from(self.rng.random::<f64>() < 0.3);
                    let candidate_calls = running.iter().filter(|call| call.is_candidate).count();
                    let (failed, latency) = match is_candidate {
                        true => self.outcome(now, route, candidate_calls),
                        false => (self.rng.random::<f64>() < 0.005, self.latency()),
                    };
                    result.calls += 1;
                    result.candidate_calls += u64::from(is_candidate);
                    let is_late = now > fiftieth_at + ROLLBACK_S;
                    result.late_calls += u64::from(is_candidate && is_late);
                    running.push(RunningCall {
                        ends_at: now + latency,
                        is_candidate,
                        route,
                        target: self.rng.random_range(0..self.nodes.len().div_ceil(6)),
                        failed,
                        latency,
                    });
                }
                arrivals -= 1.0;
            }
            let (done, left) = running.into_iter().partition(|call| call.ends_at <= now);
            running = left;
            let done: Vec<RunningCall> = done;
            for call in &done {
                let is_bad = call.failed || call.latency > 0.6;
                bad_answers += u64::from(call.is_candidate && is_bad);
                if bad_answers == 50 && fiftieth_at == f64::MAX {
                    fiftieth_at = now;
                }
            }
            ended.extend(done);
            if now < tested_at + VERDICT_PERIOD_S || result.is_complete {
                continue;
            }
            tested_at = now;
            let differences = differences(&ended);
            if step.begin(permille, at(now)) {
                test.begin_step();
            }
            step.add(&differences);
            test.add(&differences);
            ended.clear();
            let progress = MoveProgress {
                permille,
                elapsed: Duration::from_secs_f64(now),
                period: Duration::from_secs_f64(self.period),
                step_calls: step.candidate_calls(),
                service_calls: step.service_calls(),
                all_calls: Some(step.all_calls()),
                step_age: step.age(at(now)),
                is_failing: step.is_failing(),
                has_counters: true,
                has_all_counters: true,
                has_candidate: true,
            };
            let next = next_step(&progress, &test.verdict());
            if self.mechanism.veto && matches!(next, MoveStep::RollBack(_)) {
                self.tell_stop(now);
            }
            if is_within(self.store_refuses, now) {
                continue;
            }
            match next {
                MoveStep::Stay => {}
                MoveStep::Share(share, _) => {
                    permille = share;
                    self.tell_share(now, share);
                }
                MoveStep::Complete => result.is_complete = true,
                MoveStep::RollBack(_) => self.tell_stop(now),
            }
        }
        result
    }

    /// Returns whether the node sends a call to the candidate.
    fn select(&mut self, node: usize, now: f64) -> bool {
        let draw = self.rng.random_range(0..1000);
        let node = &mut self.nodes[node];
        let is_deaf = is_within(node.deaf, now);
        if !is_deaf {
            let known = node.heard.iter().filter(|(at, _)| *at <= now);
            node.permille = known
                .max_by(|first, second| first.0.total_cmp(&second.0))
                .map_or(0, |(_, permille)| *permille);
            if node.stopped_at.is_some_and(|at| at <= now) {
                node.permille = 0;
            }
        }
        let known = MoveKnowledge {
            service: SERVICE,
            order: ORDER,
            permille: node.permille,
            confirmation_age: match is_deaf {
                true => Duration::from_secs_f64(0.5 + now - node.deaf.0),
                false => Duration::from_millis(800),
            },
        };
        let is_allowed = !self.mechanism.exposure_limits || node.limits.allows(&known);
        let is_candidate = draw < node.permille && is_allowed;
        node.limits.record(SERVICE, ORDER, is_candidate);
        is_candidate
    }

    fn tell_share(&mut self, now: f64, permille: u32) {
        for node in &mut self.nodes {
            let delay = 0.02 + 0.5 * self.rng.random::<f64>();
            node.heard.push((now + delay, permille));
        }
    }

    fn tell_stop(&mut self, now: f64) {
        for node in &mut self.nodes {
            let delay = 0.02 + 0.5 * self.rng.random::<f64>();
            node.stopped_at.get_or_insert(now + delay);
        }
    }
}

/// Returns the counters of the calls that ended, by version and route.
fn differences(ended: &[RunningCall]) -> Vec<CounterDifference> {
    let mut counters = BTreeMap::new();
    for call in ended {
        let version = if call.is_candidate { "v2" } else { "v1" };
        let counter = counters
            .entry((version, call.route, call.target))
            .or_insert_with(|| CounterDifference {
                node: format!("{version}-{}", call.target),
                version: version.to_owned(),
                route: format!("route-{}", call.route),
                calls: 0,
                failures: 0,
                buckets: vec![0; BUCKET_COUNT],
                warm: true,
            });
        counter.calls += 1;
        counter.failures += u64::from(call.failed);
        counter.buckets[bucket_of(Duration::from_secs_f64(call.latency))] += 1;
    }
    counters.into_values().collect()
}

const FAULTS: [CandidateFault; 5] = [
    CandidateFault::Errors,
    CandidateFault::Slow,
    CandidateFault::UnderLoad,
    CandidateFault::OneRoute,
    CandidateFault::Late,
];

/// Returns the runs of a bad version in which more calls reached it than the operator allows, or too late.
fn broken_runs(seeds: std::ops::Range<u64>, mechanism: Mechanism) -> Vec<String> {
    let mut broken = Vec::new();
    for (seed, fault) in seeds.flat_map(|seed| FAULTS.map(|fault| (seed, fault))) {
        let result = SimulatedMove::new(seed, fault, mechanism).run();
        let allowed = SHARE * result.calls as f64 + SLACK;
        if result.candidate_calls as f64 > allowed || result.late_calls > 0 {
            broken.push(format!(
                "seed {seed}, {fault:?}, allowed {allowed:.0}: {result:?}"
            ));
        }
    }
    broken
}

/// Seeds of a run; `EXPOSURE_SEEDS=0..1000` plays others than the fixed ones.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("EXPOSURE_SEEDS").unwrap_or_else(|_| "0..12".to_owned());
    let bounds = text.split_once("..").and_then(|(first, last)| {
        let first: u64 = first.parse().ok()?;
        Some(first..last.parse().ok()?)
    });
    bounds.expect("EXPOSURE_SEEDS has the form 0..1000")
}

/// Guards against a bad version that receives more calls than the operator allows, or receives them long after it
/// was seen to be bad, while nodes hear nothing of the move or the store refuses the roll-back.
#[test]
fn bad_versions_stay_within_the_operators_bound() {
    let broken = broken_runs(seeds(), COMPLETE);

    assert!(
        broken.is_empty(),
        "{} broken:\n{}",
        broken.len(),
        broken.join("\n")
    );
}

/// Guards against a simulation that would not notice missing limits.
#[test]
fn the_bound_breaks_without_limits_and_vetoes() {
    let mechanism = Mechanism {
        exposure_limits: false,
        veto: false,
    };

    let broken = broken_runs(0..12, mechanism);

    assert!(!broken.is_empty());
}

/// Guards against limits that keep good versions from completing in time.
#[test]
fn good_versions_complete_within_the_period() {
    let runs = seeds();
    let count = runs.end - runs.start;

    let results = runs.map(|seed| SimulatedMove::new(seed, CandidateFault::None, COMPLETE).run());
    let complete = results.filter(|result| result.is_complete).count() as u64;

    assert!(
        complete * 100 >= count * 99,
        "{complete} of {count} complete"
    );
}

/// Guards against a node that acts on its last knowledge of a move although it hears nothing any more.
#[test]
fn a_node_without_confirmation_sends_the_candidate_nothing() {
    let mut limits = ExposureLimits::new(&bounds());
    for _ in 0..1000 {
        limits.record(SERVICE, ORDER, false);
    }
    let known = |age_ms, permille| MoveKnowledge {
        service: SERVICE,
        order: ORDER,
        permille,
        confirmation_age: Duration::from_millis(age_ms),
    };

    assert!(limits.allows(&known(500, 30)));
    assert!(limits.allows(&known(500, 1000)));
    assert!(!limits.allows(&known(3500, 30)));
    assert!(!limits.allows(&known(3500, 1000)));
}
