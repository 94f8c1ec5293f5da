//! Generates the calls of a simulated rollout and the counters that nodes would report about them.

use {
    super::scenario::{FaultTime, Scenario, Site, SiteRoute},
    poplarwing::{
        call_evidence::{CallObservation, EvidenceTable},
        config::ServiceKey,
        move_controller::plan::VersionTargets,
        move_verdict::counter_history::CounterReading,
        wire::EvidenceReply,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rand_distr::{Distribution, Exp, LogNormal, Poisson},
    std::time::Duration,
};

/// Spread of the latency of a route: the standard deviation of its logarithm.
const LATENCY_SPREAD: f64 = 0.5;

/// Spread of the speed of VMs: the standard deviation of its logarithm.
const VM_SPREAD: f64 = 0.05;

/// Probability that a call of a healthy version fails.
const BASE_FAILURE: f64 = 0.002;

/// Factor of the latency of a target's first call after a cold start.
const COLD_SLOWDOWN: f64 = 6.0;

/// Calls after which the excess latency of a cold start has fallen to 37%.
const COLD_CALLS: f64 = 8.0;

/// Mean seconds until a noisy neighbour slows a VM down again.
const NOISE_INTERVAL: f64 = 300.0;

/// Mean seconds for which a noisy neighbour slows a VM down.
const NOISE_LENGTH: f64 = 15.0;

/// Factor of the latency on a VM with a noisy neighbour.
const NOISE_SLOWDOWN: f64 = 3.0;

/// Mean seconds until the next common fault, which concerns all targets of both versions.
const COMMON_FAULT_INTERVAL: f64 = 200.0;

/// Mean seconds that a common fault lasts.
const COMMON_FAULT_LENGTH: f64 = 20.0;

/// Probability that a call fails during a common fault.
const COMMON_FAULT_FAILURE: f64 = 0.5;

/// Factor of the latency during a common fault.
const COMMON_FAULT_SLOWDOWN: f64 = 4.0;

/// Seconds until a crashed target is available again.
const CRASH_LENGTH: u32 = 15;

/// Calls of one tick (one second) and what nodes report at its end.
pub struct TickOutcome {
    /// Calls of all callers.
    pub calls: u64,
    /// Calls that the candidate received.
    pub candidate_calls: u64,
    /// Candidate calls that its fault slowed down or made fail.
    pub bad_answers: u64,
    /// Counters that the nodes report, cumulative since the start of each node.
    pub readings: Vec<CounterReading>,
    /// Available targets and slots of both versions.
    pub targets: VersionTargets,
}

/// One target with the node on its VM.
struct SimulatedTarget {
    node: String,
    version: &'static str,
    /// Factor of the latency; above 1.0 on a slow VM.
    latency_factor: f64,
    /// Calls since the last start of the target.
    calls: u64,
    noisy_until: f64,
    unavailable_until: u32,
    /// Incremented when the node restarts with empty counters.
    incarnation: u64,
    evidence: EvidenceTable,
}

/// Generates the calls of one run.
pub struct CallSource<'a> {
    site: &'a Site,
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    stable: Vec<SimulatedTarget>,
    candidate: Vec<SimulatedTarget>,
    common_fault_until: f64,
    fault_from: u32,
    crash_at: u32,
}

/// Conditions of one tick that concern the calls of both versions.
#[derive(Clone, Copy)]
struct TickState {
    tick: u32,
    /// Whether a common fault is in progress.
    common_fault: bool,
    /// Call rate of each called candidate target, relative to its rate at a candidate share of 100%.
    target_load: f64,
}

impl<'a> CallSource<'a> {
    /// Creates the generator for one run and draws the times of its faults.
    pub fn new(site: &'a Site, scenario: &'a Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let stable = start_targets(site, "v1", &mut rng);
        let candidate = start_targets(site, "v2", &mut rng);
        let deadline = site.policy.finish_within.as_secs() as u32;
        let watch_half = site.policy.watch_for.as_secs() as u32 / 2;
        Self {
            site,
            scenario,
            stable,
            candidate,
            common_fault_until: 0.0,
            fault_from: rng.random_range(60..deadline - watch_half),
            crash_at: rng.random_range(30..deadline),
            rng,
        }
    }

    /// Generates the calls of one second, of which the candidate gets `permille` on average.
    pub fn tick(&mut self, tick: u32, permille: u32) -> TickOutcome {
        self.start_disturbances(tick);
        let available: Vec<usize> = (0..self.candidate.len())
            .filter(|index| self.candidate[*index].unavailable_until <= tick)
            .collect();
        let called_targets = (available.len() * permille as usize)
            .div_ceil(1000)
            .clamp(1, available.len().max(1));
        let share = f64::from(permille) / 1000.0;
        let state = TickState {
            tick,
            common_fault: f64::from(tick) < self.common_fault_until,
            target_load: share * f64::from(self.site.targets) / called_targets as f64,
        };
        let mut outcome = TickOutcome {
            calls: self.draw_calls(),
            candidate_calls: 0,
            bad_answers: 0,
            readings: Vec::new(),
            targets: self.count_targets(available.len() as u32),
        };
        for _ in 0..outcome.calls {
            let to_candidate = !available.is_empty() && self.rng.random_bool(share);
            if to_candidate {
                let index = available[self.rng.random_range(0..called_targets)];
                outcome.candidate_calls += 1;
                outcome.bad_answers += u64::from(self.call_candidate(index, state));
            } else {
                self.call_stable(state);
            }
        }
        outcome.readings = self.readings(tick);
        outcome
    }

    fn draw_calls(&mut self) -> u64 {
        let poisson = Poisson::new(self.site.calls_per_second).expect("the rate is positive");
        poisson.sample(&mut self.rng) as u64
    }

    fn count_targets(&self, candidate: u32) -> VersionTargets {
        VersionTargets {
            candidate,
            candidate_slots: candidate * self.site.slots,
            stable: self.site.targets,
            stable_slots: self.site.targets * self.site.slots,
        }
    }

    fn start_disturbances(&mut self, tick: u32) {
        let now = f64::from(tick);
        if self.scenario.common_cause
            && now >= self.common_fault_until
            && let Some(length) =
                draw_disturbance(&mut self.rng, COMMON_FAULT_INTERVAL, COMMON_FAULT_LENGTH)
        {
            self.common_fault_until = now + length;
        }
        if self.scenario.noisy_neighbours {
            for target in self.stable.iter_mut().chain(&mut self.candidate) {
                if now < target.noisy_until {
                    continue;
                }
                if let Some(length) = draw_disturbance(&mut self.rng, NOISE_INTERVAL, NOISE_LENGTH)
                {
                    target.noisy_until = now + length;
                }
            }
        }
        if self.scenario.target_crash && tick == self.crash_at {
            let with_node = self.rng.random_bool(0.5);
            crash(&mut self.candidate[0], tick, with_node, self.site);
        }
    }

    fn call_stable(&mut self, state: TickState) {
        let index = self.rng.random_range(0..self.stable.len());
        let route = self.draw_route();
        let target = &mut self.stable[index];
        let slowdown = environment_slowdown(target, state);
        let failure = if state.common_fault {
            COMMON_FAULT_FAILURE
        } else {
            BASE_FAILURE
        };
        record_call(
            target,
            &self.site.routes[route],
            failure,
            slowdown,
            &mut self.rng,
        );
    }

    /// Simulates a call to the candidate; returns whether its fault slowed the call down or made it fail.
    fn call_candidate(&mut self, index: usize, state: TickState) -> bool {
        let route = self.draw_route();
        let (fault_failure, fault_slowdown) = self.fault_of(route, state);
        let target = &mut self.candidate[index];
        let mut slowdown = environment_slowdown(target, state) * fault_slowdown;
        if self.scenario.cold_start {
            slowdown *= 1.0 + (COLD_SLOWDOWN - 1.0) * (-(target.calls as f64) / COLD_CALLS).exp();
        }
        target.calls += 1;
        let failure = if state.common_fault {
            COMMON_FAULT_FAILURE
        } else {
            BASE_FAILURE
        };
        let failure = failure.max(fault_failure);
        let failed = record_call(
            target,
            &self.site.routes[route],
            failure,
            slowdown,
            &mut self.rng,
        );
        fault_slowdown > 1.0 || (failed && fault_failure > 0.0)
    }

    /// Returns the failure probability and the latency factor that the candidate's fault gives a call.
    fn fault_of(&mut self, route: usize, state: TickState) -> (f64, f64) {
        let Some(fault) = self.scenario.fault else {
            return (0.0, 1.0);
        };
        let on_route = !fault.last_route_only || route + 1 == self.site.routes.len();
        let shows = match fault.when {
            FaultTime::AtOnce => true,
            FaultTime::Later => state.tick >= self.fault_from,
            FaultTime::UnderLoad(load) => state.target_load > load,
        };
        let is_slow = self.rng.random_bool(fault.slow_share);
        if on_route && shows {
            (fault.failure, if is_slow { fault.slowdown } else { 1.0 })
        } else {
            (0.0, 1.0)
        }
    }

    fn draw_route(&mut self) -> usize {
        let mut draw: f64 = self.rng.random();
        for (index, route) in self.site.routes.iter().enumerate() {
            draw -= route.share;
            if draw < 0.0 {
                return index;
            }
        }
        self.site.routes.len() - 1
    }

    fn readings(&self, tick: u32) -> Vec<CounterReading> {
        let key = service_key();
        self.stable
            .iter()
            .chain(&self.candidate)
            .filter(|target| target.unavailable_until <= tick)
            .map(|target| CounterReading {
                node: target.node.clone(),
                reply: EvidenceReply {
                    incarnation: target.incarnation,
                    counters: target.evidence.counters_of(&key),
                },
            })
            .collect()
    }
}

fn service_key() -> ServiceKey {
    ServiceKey {
        customer: "customer".to_owned(),
        service: "service".to_owned(),
    }
}

fn start_targets(site: &Site, version: &'static str, rng: &mut ChaCha8Rng) -> Vec<SimulatedTarget> {
    let factors = LogNormal::new(0.0, VM_SPREAD).expect("the spread is finite");
    (0..site.targets)
        .map(|index| SimulatedTarget {
            node: format!("{version}-{index}"),
            version,
            latency_factor: factors.sample(rng),
            calls: 0,
            noisy_until: 0.0,
            unavailable_until: 0,
            incarnation: 1,
            evidence: EvidenceTable::default(),
        })
        .collect()
}

/// Draws whether a disturbance begins in this second; returns its length in seconds if so.
fn draw_disturbance(rng: &mut ChaCha8Rng, interval: f64, length: f64) -> Option<f64> {
    let begins = rng.random_bool(1.0 / interval);
    begins.then(|| {
        let lengths = Exp::new(1.0 / length).expect("the length is positive");
        lengths.sample(rng)
    })
}

/// Crashes a target, alone or with its node. If the node crashes too, its counters restart from zero;
/// otherwise the node counts the calls in progress as failed.
fn crash(target: &mut SimulatedTarget, tick: u32, with_node: bool, site: &Site) {
    target.unavailable_until = tick + CRASH_LENGTH;
    target.calls = 0;
    if with_node {
        target.incarnation += 1;
        target.evidence = EvidenceTable::default();
        return;
    }
    for _ in 0..site.slots / 3 {
        target.evidence.record(CallObservation {
            key: service_key(),
            version: target.version.to_owned(),
            route: site.routes[0].name.to_owned(),
            failed: true,
            latency: Duration::from_secs_f64(site.routes[0].median_ms / 1000.0),
        });
    }
}

/// Returns the latency factor of a target by its VM, noisy neighbours and common faults.
fn environment_slowdown(target: &SimulatedTarget, state: TickState) -> f64 {
    let mut slowdown = target.latency_factor;
    if f64::from(state.tick) < target.noisy_until {
        slowdown *= NOISE_SLOWDOWN;
    }
    if state.common_fault {
        slowdown *= COMMON_FAULT_SLOWDOWN;
    }
    slowdown
}

/// Draws the result and latency of a call and records them at the node; returns whether the call failed.
fn record_call(
    target: &mut SimulatedTarget,
    route: &SiteRoute,
    failure: f64,
    slowdown: f64,
    rng: &mut ChaCha8Rng,
) -> bool {
    let spread = LogNormal::new(0.0, LATENCY_SPREAD).expect("the spread is finite");
    let latency_ms = route.median_ms * slowdown * spread.sample(rng);
    let failed = rng.random_bool(failure);
    target.evidence.record(CallObservation {
        key: service_key(),
        version: target.version.to_owned(),
        route: route.name.to_owned(),
        failed,
        latency: Duration::from_secs_f64(latency_ms / 1000.0),
    });
    failed
}
