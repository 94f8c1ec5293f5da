//! Ways to decide a move: the project's test and simpler ones.

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

/// Ticks that the fixed windows cover.
const WINDOW_TICKS: usize = 60;

/// Candidate calls that a fixed window needs before it decides.
const WINDOW_CALLS: u64 = 30;

/// Excess of the candidate's share of bad calls that condemns it in a fixed window.
const WINDOW_EXCESS: f64 = 0.15;

/// Candidate calls without excess after which a fixed window accepts.
const WINDOW_ACCEPT_CALLS: u64 = 30;

/// Time for which the fixed steps observe the stable version before the first step, in milliseconds.
const BASELINE_MS: u64 = 20_000;

/// Odds ratio of the plain sequential test.
const SPRT_ODDS: f64 = 3.0;

/// Allowed error of the plain sequential test.
const SPRT_ERROR: f64 = 0.01;

/// A way to decide a move.
pub struct MoveWay {
    /// Name in the figures.
    pub name: String,
    /// Parameters of the project's test.
    pub policy: VerdictPolicy,
    /// Steps at fixed times instead of the planner.
    pub fixed_steps: Option<FixedSteps>,
    kind: TestKind,
}

#[derive(Clone, Copy)]
enum TestKind {
    Conditional,
    Window,
    Sprt,
}

/// Returns the ways to compare; tuning adds variants of the project's own parameters.
pub fn ways(site: &Site, tuning: bool) -> Vec<MoveWay> {
    let planned = |name: &str, policy: VerdictPolicy, kind| MoveWay {
        name: name.to_owned(),
        policy,
        fixed_steps: None,
        kind,
    };
    let fixed = |name: &str, permilles: &[u32]| MoveWay {
        name: name.to_owned(),
        policy: VerdictPolicy::default(),
        fixed_steps: Some(FixedSteps {
            permilles: permilles.to_vec(),
        }),
        kind: TestKind::Window,
    };
    let default = || VerdictPolicy::for_preference(site.policy.prefer);
    let mut ways = vec![
        planned("poplarwing", default(), TestKind::Conditional),
        planned("fixed_window_test", default(), TestKind::Window),
        planned("plain_sprt", default(), TestKind::Sprt),
        fixed("fixed_steps", &[50, 250, 500, 1000]),
        fixed("all_at_once", &[1000]),
    ];
    if tuning {
        ways.extend(variants());
    }
    ways
}

fn variants() -> Vec<MoveWay> {
    let variant = |name: &str, change: &dyn Fn(&mut VerdictPolicy)| {
        let mut policy = VerdictPolicy::default();
        change(&mut policy);
        MoveWay {
            name: name.to_owned(),
            policy,
            fixed_steps: None,
            kind: TestKind::Conditional,
        }
    };
    vec![
        variant("without_clips", &|policy| {
            policy.failure_clip = f64::INFINITY;
            policy.slow_clip = f64::INFINITY;
        }),
        variant("slow_clip_0.2", &|policy| policy.slow_clip = 0.2),
        variant("slow_clip_0.6", &|policy| policy.slow_clip = 0.6),
        variant("quantile_95_only", &|policy| {
            policy.slow_quantiles = vec![0.95];
        }),
        variant("without_warm_up", &|policy| policy.warm_calls = 0),
        variant("margin_2", &|policy| policy.margin_odds = 2.0),
    ]
}

impl MoveWay {
    /// Returns a fresh test.
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

/// A test of a candidate.
pub enum VersionTest {
    /// The project's test.
    Conditional(Box<VerdictTest>),
    /// A fixed window with a threshold.
    Window(Box<WindowTest>),
    /// Wald's sequential probability ratio test on all calls, against the stable share of bad calls.
    Sprt(PlainSprt),
}

impl VersionTest {
    /// Adds the differences of one tick.
    pub fn add(&mut self, differences: &[CounterDifference]) {
        match self {
            Self::Conditional(test) => test.add(differences),
            Self::Window(test) => test.add(differences),
            Self::Sprt(test) => test.add(differences),
        }
    }

    /// Notes that a step begins.
    pub fn begin_step(&mut self) {
        match self {
            Self::Conditional(test) => test.begin_step(),
            Self::Window(test) => test.window.ticks.clear(),
            Self::Sprt(test) => test.accepted = false,
        }
    }

    /// Returns the state of the test.
    pub fn verdict(&self) -> MoveVerdict {
        match self {
            Self::Conditional(test) => test.verdict(),
            Self::Window(test) => test.verdict(),
            Self::Sprt(test) => test.verdict(),
        }
    }
}

/// Calls of both versions in one tick.
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

    fn first_above(&self, quantile: f64) -> usize {
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

    fn bad(&self, side: usize, first_slow: usize) -> BadCount {
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

/// Share of bad calls over a fixed window, compared with a threshold at every tick.
///
/// Without enough stable calls in the window the last window with enough of them serves as baseline.
#[derive(Default)]
pub struct WindowTest {
    window: TickWindow,
    baseline: Option<TickCalls>,
    condemned: bool,
}

impl WindowTest {
    fn add(&mut self, differences: &[CounterDifference]) {
        self.window.push(TickCalls::new(differences));
        let sum = self.window.sum();
        if sum.calls[0] >= WINDOW_CALLS {
            self.baseline = Some(sum);
        }
        let (candidate, excess) = self.excess();
        self.condemned |= candidate.calls >= WINDOW_CALLS && excess > WINDOW_EXCESS;
    }

    fn excess(&self) -> (BadCount, f64) {
        let Some(baseline) = &self.baseline else {
            return (BadCount::default(), 0.0);
        };
        let first_slow = baseline.first_above(0.95);
        let stable = baseline.bad(0, first_slow);
        let candidate = self.window.sum().bad(1, first_slow);
        let share = |count: BadCount| count.bad as f64 / count.calls.max(1) as f64;
        (candidate, share(candidate) - share(stable))
    }

    fn verdict(&self) -> MoveVerdict {
        let (candidate, excess) = self.excess();
        let evidence = rival_evidence(candidate, excess, WINDOW_EXCESS);
        if self.condemned {
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

/// Wald's sequential probability ratio test, calls taken as independent.
#[derive(Default)]
pub struct PlainSprt {
    window: TickWindow,
    statistic: f64,
    condemned: bool,
    accepted: bool,
}

impl PlainSprt {
    fn add(&mut self, differences: &[CounterDifference]) {
        let sum = self.window.sum();
        let first_slow = sum.first_above(0.95);
        let stable = sum.bad(0, first_slow);
        let tick = TickCalls::new(differences);
        let candidate = tick.bad(1, first_slow);
        self.window.push(tick);
        if stable.calls < WINDOW_CALLS {
            return;
        }
        let equal = (stable.bad as f64 + 0.5) / (stable.calls as f64 + 1.0);
        let odds = SPRT_ODDS * equal / (1.0 - equal);
        let worse = odds / (1.0 + odds);
        let good_calls = (candidate.calls - candidate.bad) as f64;
        self.statistic += candidate.bad as f64 * (worse / equal).ln()
            + good_calls * ((1.0 - worse) / (1.0 - equal)).ln();
        self.condemned |= self.statistic >= (1.0 / SPRT_ERROR).ln();
        if self.statistic <= SPRT_ERROR.ln() {
            self.accepted = true;
            self.statistic = 0.0;
        }
    }

    fn verdict(&self) -> MoveVerdict {
        let evidence = rival_evidence(BadCount::default(), self.statistic, -SPRT_ERROR.ln());
        match (self.condemned, self.accepted) {
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

fn rival_evidence(candidate: BadCount, statistic: f64, threshold: f64) -> VerdictEvidence {
    VerdictEvidence {
        route: None,
        kind: BadKind::FailedOrSlow,
        candidate,
        stable: BadCount::default(),
        statistic,
        threshold,
    }
}

/// Steps of equal length up to the deadline, taken unless the test condemns.
pub struct FixedSteps {
    permilles: Vec<u32>,
}

impl FixedSteps {
    /// Returns the next step.
    pub fn plan(
        &self,
        split: &TrafficSplit,
        verdict: MoveVerdict,
        progress: &MoveProgress,
        now_ms: u64,
    ) -> MoveStep {
        let Some(current) = &split.current_move else {
            unreachable!("a simulated move always has a move");
        };
        let (MoveVerdict::Good(evidence) | MoveVerdict::Undecided { evidence, .. }) = verdict
        else {
            return taken_back(verdict);
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

fn taken_back(verdict: MoveVerdict) -> MoveStep {
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
