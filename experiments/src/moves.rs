//! Simulated rollouts ("moves" of a service from one version to another): the project's statistical test and
//! step planner compared with simpler methods.
//!
//! One tick is one second. Each run has its own seed for the calls, the faults and their times.

mod calls;
mod rollout_methods;
mod scenario;

use {
    crate::figure::{MeasuredFigure, print_figure},
    calls::CallSource,
    poplarwing::{
        config::{MovePhase, ServiceKey, TrafficSplit},
        move_controller::plan::{
            MoveProgress, MoveSituation, MoveStep, StepChange, VersionStart, VersionTargets,
            changed_split, is_running, plan_step, start_move,
        },
        move_verdict::counter_history::CounterHistory,
        veto_table::VetoRecord,
    },
    rollout_methods::{RolloutMethod, VersionTest},
    scenario::{Scenario, Site},
    std::{ops::RangeInclusive, time::Duration},
};

/// Seeds for choosing the parameters of the test (option `--tuning`).
const TUNING_SEEDS: RangeInclusive<u64> = 1..=100;

/// Seeds of the reported figures; apart from `TUNING_SEEDS` so that the parameters are not fitted to them.
const REPORT_SEEDS: RangeInclusive<u64> = 2001..=2100;

/// Time of tick 0 of every run, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_800_000_000_000;

/// Ticks from a planned step until all callers use the new split: commit to the store and distribution.
const COMMIT_TICKS: u32 = 2;

/// Ticks from a veto until no caller calls the candidate; a veto spreads by gossip, without a commit.
const VETO_TICKS: u32 = 1;

/// Ticks after the deadline and the watch period at which an unfinished run is stopped.
const EXTRA_TICKS: u32 = 200;

/// Result of one run.
#[derive(Clone, Copy, Debug, Default)]
struct RunResult {
    /// Whether the candidate got its full share before the deadline and was not rolled back later.
    done_in_time: bool,
    rolled_back: bool,
    /// Calls that the candidate received from its first bad answer on.
    exposed_calls: u64,
    /// Calls of both versions from the candidate's first bad answer on.
    calls_while_bad: u64,
    /// Seconds from the candidate's first bad answer until it received no more calls.
    seconds_to_zero_share: Option<f64>,
}

/// Runs all services, kinds of candidate and rollout methods over the tuning seeds or the reporting seeds.
pub fn run(tuning: bool) {
    let seeds = if tuning { TUNING_SEEDS } else { REPORT_SEEDS };
    for site in scenario::sites() {
        for scenario in scenario::scenarios() {
            for method in rollout_methods::methods(&site, tuning) {
                let results: Vec<RunResult> = seeds
                    .clone()
                    .map(|seed| run_move(&site, &scenario, &method, seed))
                    .collect();
                report(&site, &scenario, &method, *seeds.start(), &results);
            }
        }
    }
}

fn report(
    site: &Site,
    scenario: &Scenario,
    method: &RolloutMethod,
    seed: u64,
    results: &[RunResult],
) {
    let print = |figure: &str, value: f64, unit: &str| {
        print_figure(&MeasuredFigure {
            experiment: "moves".to_owned(),
            figure: format!("{}/{}/{figure}", site.name, scenario.name),
            value,
            unit: unit.to_owned(),
            baseline: method.name.clone(),
            seed,
            size: results.len() as u64,
        });
    };
    if !scenario.is_bad() {
        print(
            "done_in_time",
            share_of(results, |result| result.done_in_time),
            "share of runs",
        );
        return;
    }
    print(
        "taken_back",
        share_of(results, |result| result.rolled_back),
        "share of runs",
    );
    let exposed_calls: u64 = results.iter().map(|result| result.exposed_calls).sum();
    let calls: u64 = results.iter().map(|result| result.calls_while_bad).sum();
    print(
        "exposed_calls",
        exposed_calls as f64 / results.len() as f64,
        "calls per run",
    );
    print(
        "exposed_share",
        exposed_calls as f64 / calls.max(1) as f64,
        "share of calls until the end of the move",
    );
    let mut seconds: Vec<f64> = results
        .iter()
        .filter_map(|result| result.seconds_to_zero_share)
        .collect();
    seconds.sort_by(f64::total_cmp);
    if let (Some(median), Some(high)) = (quantile(&seconds, 0.5), quantile(&seconds, 0.95)) {
        print("first_bad_to_zero_share_median", median, "s");
        print("first_bad_to_zero_share_p95", high, "s");
    }
}

fn share_of(results: &[RunResult], wanted: impl Fn(&RunResult) -> bool) -> f64 {
    results.iter().filter(|result| wanted(result)).count() as f64 / results.len() as f64
}

fn quantile(sorted: &[f64], quantile: f64) -> Option<f64> {
    let index = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied()
}

/// A change of the traffic split that has not reached the callers yet.
struct PendingSplit {
    split: TrafficSplit,
    at_tick: u32,
}

/// State of one simulated rollout: the split that callers use, the controller's progress and the result.
struct SimulatedMove<'a> {
    site: &'a Site,
    split: TrafficSplit,
    veto: Option<VetoRecord>,
    /// Tick from which no caller calls the candidate because of a veto or a rollback.
    vetoed_from: Option<u32>,
    pending: Option<PendingSplit>,
    progress: MoveProgress,
    result: RunResult,
    first_bad_tick: Option<u32>,
}

fn run_move(site: &Site, scenario: &Scenario, method: &RolloutMethod, seed: u64) -> RunResult {
    let mut call_source = CallSource::new(site, scenario, seed);
    let mut test = method.test();
    let mut history = CounterHistory::new(method.policy.warm_up_calls, method.policy.warm_up_time);
    let mut simulated = SimulatedMove::start(site);
    let last_tick = (site.policy.finish_within + site.policy.watch_for).as_secs() as u32;
    for tick in 0..last_tick + EXTRA_TICKS {
        if !simulated.is_running() {
            break;
        }
        let share = simulated.candidate_permille_at(tick);
        let outcome = call_source.tick(tick, share);
        simulated.count_calls(tick, &outcome);
        let now = Duration::from_secs(u64::from(tick));
        let differences = history.differences(&outcome.readings, now);
        test.add(&differences);
        simulated.plan(tick, method, &mut test, outcome.targets);
    }
    simulated.finish()
}

impl<'a> SimulatedMove<'a> {
    fn start(site: &'a Site) -> Self {
        let stable = TrafficSplit {
            key: ServiceKey {
                customer: site.name.to_owned(),
                service: "service".to_owned(),
            },
            stable: "v1".to_owned(),
            candidate_permille: 0,
            current_move: None,
        };
        let start = VersionStart {
            id: 1,
            candidate: "v2".to_owned(),
            started_at_ms: START_MS,
            finish_within: site.policy.finish_within,
            operator: "operator".to_owned(),
        };
        let split = start_move(&stable, &start).expect("no move of this service is running");
        let current = split.current_move.as_ref().expect("a move was started");
        let progress = MoveProgress::new(current, 0, START_MS);
        Self {
            site,
            split,
            veto: None,
            vetoed_from: None,
            pending: None,
            progress,
            result: RunResult::default(),
            first_bad_tick: None,
        }
    }

    fn phase(&self) -> MovePhase {
        self.split
            .current_move
            .as_ref()
            .map_or(MovePhase::Done, |current| current.phase)
    }

    fn is_running(&self) -> bool {
        is_running(self.phase())
    }

    /// Returns the candidate's share of the calls of a tick, in permille, after applying a change that is due.
    fn candidate_permille_at(&mut self, tick: u32) -> u32 {
        if let Some(pending) = self.pending.take_if(|pending| pending.at_tick <= tick) {
            self.split = pending.split;
            self.record_phase(tick);
        }
        match self.vetoed_from {
            Some(from) if from <= tick => 0,
            _ if self.is_running() => self.split.candidate_permille,
            _ => 0,
        }
    }

    fn record_phase(&mut self, tick: u32) {
        let in_time = u64::from(tick) <= self.site.policy.finish_within.as_secs();
        match self.phase() {
            MovePhase::Watch => self.result.done_in_time |= in_time,
            MovePhase::TakenBack => self.result.rolled_back = true,
            _ => {}
        }
    }

    fn count_calls(&mut self, tick: u32, outcome: &calls::TickOutcome) {
        if outcome.bad_answers > 0 && self.first_bad_tick.is_none() {
            self.first_bad_tick = Some(tick);
        }
        if self.first_bad_tick.is_some() {
            self.result.exposed_calls += outcome.candidate_calls;
            self.result.calls_while_bad += outcome.calls;
        }
        let has_no_share = outcome.candidate_calls == 0 && self.vetoed_from.is_some();
        if has_no_share {
            self.record_zero_share(tick);
        }
    }

    fn record_zero_share(&mut self, tick: u32) {
        if let (Some(first), None) = (self.first_bad_tick, self.result.seconds_to_zero_share) {
            self.result.seconds_to_zero_share = Some(f64::from(tick - first));
        }
    }

    fn plan(
        &mut self,
        tick: u32,
        method: &RolloutMethod,
        test: &mut VersionTest,
        targets: VersionTargets,
    ) {
        let now_ms = START_MS + u64::from(tick) * 1000;
        let current_split = self.split.clone();
        if self.progress.observe(&current_split, &targets, now_ms) {
            test.begin_step();
        }
        if self.pending.is_some() || !self.is_running() {
            return;
        }
        let step = match &method.fixed_steps {
            Some(steps) => steps.plan(&current_split, test.verdict(), &self.progress, now_ms),
            None => {
                let state = MoveSituation {
                    split: current_split,
                    veto: self.veto.clone(),
                    progress: self.progress.clone(),
                };
                plan_step(&state, &test.verdict(), &targets, &self.site.policy, now_ms)
            }
        };
        self.apply_step(tick, step);
    }

    fn apply_step(&mut self, tick: u32, step: MoveStep) {
        match step {
            MoveStep::Hold(_) => {}
            MoveStep::Change(change) => self.schedule_change(tick, &change),
            MoveStep::VetoAndTakeBack(change) => {
                self.vetoed_from.get_or_insert(tick + VETO_TICKS);
                self.schedule_change(tick, &change);
            }
        }
    }

    fn schedule_change(&mut self, tick: u32, change: &StepChange) {
        if change.step.phase == MovePhase::TakenBack {
            self.vetoed_from.get_or_insert(tick + COMMIT_TICKS);
        }
        self.pending = Some(PendingSplit {
            split: changed_split(&self.split, change),
            at_tick: tick + COMMIT_TICKS,
        });
    }

    fn finish(mut self) -> RunResult {
        if self.result.rolled_back {
            self.result.done_in_time = false;
            if let Some(from) = self.vetoed_from {
                let first = self.first_bad_tick.unwrap_or(from);
                self.record_zero_share(from.max(first));
            }
        }
        self.result
    }
}
