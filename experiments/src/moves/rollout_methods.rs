//! Methods that decide the steps of a rollout: the project's test and planner, and simpler baselines.

use {
    super::scenario::Site,
    poplarwing::{
        call_evidence::BUCKET_COUNT,
        config::{MovePhase, TrafficSplit},
        move_controller::{
            plan::{MoveProgress, MoveStep, StepChange, StepReason},
            schedule::ShareStep,
        },
        move_verdict::{
            BadCount, BadKind, MoveVerdict, VerdictEvidence, VerdictPolicy, VerdictTest,
            counter_history::CounterDifference,
        },
    },
    std::collections::VecDeque,
};

/// Ticks (seconds) of the sliding window of the baseline tests.
const WINDOW_TICKS: usize = 60;

/// Stable calls in the window from which the baseline tests compare the versions; the window test needs as
/// many candidate calls.
const WINDOW_CALLS: u64 = 30;

/// Difference between the versions' shares of bad calls above which the window test rejects the candidate.
const WINDOW_EXCESS: f64 = 0.15;

/// Candidate calls in the window from which the window test accepts a candidate that it did not reject.
const WINDOW_ACCEPT_CALLS: u64 = 30;

/// Time for which the method of fixed steps observes the stable version before the first step, in
/// milliseconds.
const BASELINE_MS: u64 = 20_000;

/// Odds ratio of bad calls, candidate to stable, that the plain sequential test takes for a bad candidate.
const SPRT_ODDS: f64 = 3.0;

/// Error probability of the plain sequential test, for each of the two errors.
const SPRT_ERROR: f64 = 0.01;

/// A method that decides the steps of a rollout.
pub struct RolloutMethod {
    /// Name in the printed figures.
    pub name: String,
    /// Parameters of the project's test.
    pub policy: VerdictPolicy,
    /// Steps at fixed times; none if the project's planner chooses them.
    pub fixed_steps: Option<FixedSteps>,
    kind: TestKind,
}

#[derive(Clone, Copy)]
enum TestKind {
    Conditional,
    Window,
    Sprt,
}

/// Returns the methods to compare; `tuning` adds variants of the project's parameters.
pub fn methods(site: &Site, tuning: bool) -> Vec<RolloutMethod> {
    let planned = |name: &str, policy: VerdictPolicy, kind| RolloutMethod {
        name: name.to_owned(),
        policy,
        fixed_steps: None,
        kind,
    };
    let fixed = |name: &str, permilles: &[u32]| RolloutMethod {
        name: name.to_owned(),
        policy: VerdictPolicy::default(),
        fixed_steps: Some(FixedSteps {
            permilles: permilles.to_vec(),
        }),
        kind: TestKind::Window,
    };
    let default = || VerdictPolicy::for_preference(site.policy.prefer);
    let mut methods = vec![
        planned("poplarwing", default(), TestKind::Conditional),
        planned("fixed_window_test", default(), TestKind::Window),
        planned("plain_sprt", default(), TestKind::Sprt),
        fixed("fixed_steps", &[50, 250, 500, 1000]),
        fixed("all_at_once", &[1000]),
    ];
    if tuning {
        methods.extend(variants());
    }
    methods
}

fn variants() -> Vec<RolloutMethod> {
    let variant = |name: &str, change: &dyn Fn(&mut VerdictPolicy)| {
        let mut policy = VerdictPolicy::default();
        change(&mut policy);
        RolloutMethod {
            name: name.to_owned(),
            policy,
            fixed_steps: None,
            kind: TestKind::Conditional,
        }
    };
    vec![
        variant("without_clips", &|policy| {
            policy.max_failure_gain = f64::INFINITY;
            policy.max_slow_gain = f64::INFINITY;
        }),
        variant("slow_clip_0.2", &|policy| policy.max_slow_gain = 0.2),
        variant("slow_clip_0.6", &|policy| policy.max_slow_gain = 0.6),
        variant("quantile_95_only", &|policy| {
            policy.slow_quantiles = vec![0.95];
        }),
        variant("without_warm_up", &|policy| policy.warm_up_calls = 0),
        variant("margin_2", &|policy| policy.margin_odds = 2.0),
    ]
}

impl RolloutMethod {
    /// Creates the test of this method for a candidate "v2" against the stable version "v1".
    pub fn test(&self) -> VersionTest {
        match self.kind {
            TestKind::Conditional => VersionTest::Conditional(Box::new(VerdictTest::new(
                "v2",
                "v1",
                self.policy.clone(),
            ))),
            TestKind::Window => VersionTest::Window(Box::default()),
            TestKind::Sprt => VersionTest::Sprt(PlainSprt::default()),
        }
    }
}

/// A statistical test of a candidate version against the stable version.
pub enum VersionTest {
    /// The project's test.
    Conditional(Box<VerdictTest>),
    /// A threshold on the difference between the shares of bad calls in a sliding window.
    Window(Box<WindowTest>),
    /// Wald's sequential probability ratio test on all calls, against the stable version's share of bad calls.
    Sprt(PlainSprt),
}

impl VersionTest {
    /// Adds the counter differences of one tick.
    pub fn add(&mut self, differences: &[CounterDifference]) {
        match self {
            Self::Conditional(test) => test.add(differences),
            Self::Window(test) => test.add(differences),
            Self::Sprt(test) => test.add(differences),
        }
    }

    /// Starts a new step, which needs new evidence for the candidate before the test accepts it.
    pub fn begin_step(&mut self) {
        match self {
            Self::Conditional(test) => test.begin_step(),
            Self::Window(test) => test.window.ticks.clear(),
            Self::Sprt(test) => test.accepted = false,
        }
    }

    /// Returns the decision of the test so far.
    pub fn verdict(&self) -> MoveVerdict {
        match self {
            Self::Conditional(test) => test.verdict(),
            Self::Window(test) => test.verdict(),
            Self::Sprt(test) => test.verdict(),
        }
    }
}

/// Calls of the stable (index 0) and the candidate version (index 1) in one tick or in a window.
#[derive(Clone)]
struct TickCalls {
    calls: [u64; 2],
    failures: [u64; 2],
    buckets: [[u64; BUCKET_COUNT]; 2],
}

impl TickCalls {
    fn new(differences: &[CounterDifference]) -> Self {
        let mut tick = Self {
            calls: [0; 2],
            failures: [0; 2],
            buckets: [[0; BUCKET_COUNT]; 2],
        };
        for difference in differences {
            let side = usize::from(difference.version == "v2");
            tick.calls[side] += difference.calls;
            tick.failures[side] += difference.failures;
            for (total, count) in tick.buckets[side].iter_mut().zip(&difference.buckets) {
                *total += count;
            }
        }
        tick
    }

    fn add(&mut self, other: &TickCalls) {
        for side in 0..2 {
            self.calls[side] += other.calls[side];
            self.failures[side] += other.failures[side];
            for (total, count) in self.buckets[side].iter_mut().zip(&other.buckets[side]) {
                *total += count;
            }
        }
    }

    /// Returns the first latency bucket above a quantile of the stable version's latency.
    fn first_bucket_above(&self, quantile: f64) -> usize {
        let total: u64 = self.buckets[0].iter().sum();
        let mut below = 0;
        for (index, count) in self.buckets[0].iter().enumerate() {
            below += count;
            if below as f64 >= quantile * total as f64 {
                return index + 1;
            }
        }
        BUCKET_COUNT
    }

    /// Counts a version's calls that failed or whose latency is in the bucket `first_slow` or a later one.
    fn bad_calls(&self, side: usize, first_slow: usize) -> BadCount {
        let slow: u64 = self.buckets[side].iter().skip(first_slow).sum();
        BadCount {
            calls: self.calls[side],
            bad: (slow + self.failures[side]).min(self.calls[side]),
        }
    }
}

#[derive(Default)]
struct TickWindow {
    ticks: VecDeque<TickCalls>,
}

impl TickWindow {
    fn push(&mut self, tick: TickCalls) {
        self.ticks.push_back(tick);
        if self.ticks.len() > WINDOW_TICKS {
            self.ticks.pop_front();
        }
    }

    fn sum(&self) -> TickCalls {
        let mut sum = TickCalls::new(&[]);
        for tick in &self.ticks {
            sum.add(tick);
        }
        sum
    }
}

/// Baseline test that compares the shares of bad calls over a sliding window with a threshold at every tick.
///
/// If the window holds too few stable calls, the last window that held enough of them is compared with.
#[derive(Default)]
pub struct WindowTest {
    window: TickWindow,
    baseline: Option<TickCalls>,
    rejected: bool,
}

impl WindowTest {
    fn add(&mut self, differences: &[CounterDifference]) {
        self.window.push(TickCalls::new(differences));
        let sum = self.window.sum();
        if sum.calls[0] >= WINDOW_CALLS {
            self.baseline = Some(sum);
        }
        let (candidate, excess) = self.excess();
        self.rejected |= candidate.calls >= WINDOW_CALLS && excess > WINDOW_EXCESS;
    }

    fn excess(&self) -> (BadCount, f64) {
        let Some(baseline) = &self.baseline else {
            return (BadCount::default(), 0.0);
        };
        let first_slow = baseline.first_bucket_above(0.95);
        let stable = baseline.bad_calls(0, first_slow);
        let candidate = self.window.sum().bad_calls(1, first_slow);
        let share = |count: BadCount| count.bad as f64 / count.calls.max(1) as f64;
        (candidate, share(candidate) - share(stable))
    }

    fn verdict(&self) -> MoveVerdict {
        let (candidate, excess) = self.excess();
        let evidence = baseline_evidence(candidate, excess, WINDOW_EXCESS);
        if self.rejected {
            return MoveVerdict::Bad(evidence);
        }
        if candidate.calls >= WINDOW_ACCEPT_CALLS {
            return MoveVerdict::Good(evidence);
        }
        MoveVerdict::Undecided {
            evidence,
            suspicious: false,
            alarmed: false,
        }
    }
}

/// Wald's sequential probability ratio test, which assumes that calls are independent.
#[derive(Default)]
pub struct PlainSprt {
    window: TickWindow,
    statistic: f64,
    rejected: bool,
    accepted: bool,
}

impl PlainSprt {
    fn add(&mut self, differences: &[CounterDifference]) {
        let sum = self.window.sum();
        let first_slow = sum.first_bucket_above(0.95);
        let stable = sum.bad_calls(0, first_slow);
        let tick = TickCalls::new(differences);
        let candidate = tick.bad_calls(1, first_slow);
        self.window.push(tick);
        if stable.calls < WINDOW_CALLS {
            return;
        }
        let stable_share = (stable.bad as f64 + 0.5) / (stable.calls as f64 + 1.0);
        let odds = SPRT_ODDS * stable_share / (1.0 - stable_share);
        let bad_share = odds / (1.0 + odds);
        let good_calls = (candidate.calls - candidate.bad) as f64;
        self.statistic += candidate.bad as f64 * (bad_share / stable_share).ln()
            + good_calls * ((1.0 - bad_share) / (1.0 - stable_share)).ln();
        self.rejected |= self.statistic >= (1.0 / SPRT_ERROR).ln();
        if self.statistic <= SPRT_ERROR.ln() {
            self.accepted = true;
            self.statistic = 0.0;
        }
    }

    fn verdict(&self) -> MoveVerdict {
        let evidence = baseline_evidence(BadCount::default(), self.statistic, -SPRT_ERROR.ln());
        match (self.rejected, self.accepted) {
            (true, _) => MoveVerdict::Bad(evidence),
            (false, true) => MoveVerdict::Good(evidence),
            (false, false) => MoveVerdict::Undecided {
                evidence,
                suspicious: false,
                alarmed: false,
            },
        }
    }
}

fn baseline_evidence(candidate: BadCount, statistic: f64, threshold: f64) -> VerdictEvidence {
    VerdictEvidence {
        route: None,
        kind: BadKind::FailedOrSlow,
        candidate,
        stable: BadCount::default(),
        statistic,
        threshold,
    }
}

/// Steps of equal length up to the deadline; each is made unless the test rejects the candidate.
pub struct FixedSteps {
    /// Candidate shares of the steps, in permille and ascending.
    permilles: Vec<u32>,
}

impl FixedSteps {
    /// Returns the next step, or to hold until the current step has lasted its fixed time.
    pub fn plan(
        &self,
        split: &TrafficSplit,
        verdict: MoveVerdict,
        progress: &MoveProgress,
        now_ms: u64,
    ) -> MoveStep {
        let Some(current) = &split.current_move else {
            unreachable!("a split under simulation always has a current move");
        };
        let (MoveVerdict::Good(evidence) | MoveVerdict::Undecided { evidence, .. }) = verdict
        else {
            return rollback_step(verdict);
        };
        let total_ms = current.finish_by_ms - current.started_at_ms;
        let length_ms = (total_ms - 2 * BASELINE_MS) / self.permilles.len() as u64;
        let reached = self
            .permilles
            .iter()
            .position(|permille| *permille == split.candidate_permille);
        let is_first = current.phase == MovePhase::Waiting;
        let length_ms = if is_first { BASELINE_MS } else { length_ms };
        if now_ms < progress.since_ms + length_ms {
            return MoveStep::Hold(
                poplarwing::move_controller::plan::HoldReason::AwaitsEvidence(evidence),
            );
        }
        let next = reached.map_or(0, |index| index + 1);
        let step = match self.permilles.get(next) {
            Some(permille) => ShareStep {
                phase: if next + 1 == self.permilles.len() {
                    MovePhase::Watch
                } else {
                    MovePhase::Ramp
                },
                permille: *permille,
            },
            None => ShareStep {
                phase: MovePhase::Done,
                permille: 0,
            },
        };
        MoveStep::Change(StepChange {
            step,
            reason: StepReason::WatchEnded(evidence),
        })
    }
}

fn rollback_step(verdict: MoveVerdict) -> MoveStep {
    let (MoveVerdict::Bad(evidence)
    | MoveVerdict::Good(evidence)
    | MoveVerdict::Undecided { evidence, .. }) = verdict;
    MoveStep::VetoAndTakeBack(StepChange {
        step: ShareStep {
            phase: MovePhase::TakenBack,
            permille: 0,
        },
        reason: StepReason::FoundBad(evidence),
    })
}
