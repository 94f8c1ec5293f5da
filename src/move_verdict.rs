//! Sequential test of a candidate version against the stable version: good, bad or undecided.
//!
//! All functions are pure; the caller supplies counter readings once per tick.

pub mod counter_history;
pub mod failure_alarm;
pub mod odds_test;
pub mod route_stratum;
pub mod target_latency;

use {
    crate::{
        config::MovePreference,
        ids::{RouteName, VersionName},
    },
    counter_history::CounterDifference,
    derive_more::Display,
    failure_alarm::FailureAlarm,
    odds_test::{AcceptTest, ChangeTest, OutcomeTable},
    route_stratum::{RouteStratum, StableReference},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    target_latency::TargetLatency,
};

/// Parameters of the test; the defaults were chosen by the measurements in `docs/notes/moves.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictPolicy {
    /// Probability with which a candidate equal to the stable version may be found bad in one move.
    pub bad_error: f64,
    /// Probability with which a candidate at the margin may be accepted in one step.
    pub accept_error: f64,
    /// Ratio of the odds of a bad call, candidate to stable, that is too much to accept.
    pub margin_odds: f64,
    /// Largest gain of the failure statistic in one tick, in nats.
    pub failure_clip: f64,
    /// Largest gain of the latency statistic in one tick for each target of the candidate that was called, in
    /// nats. It sets how long a disturbance of one target must last to condemn the version.
    pub slow_clip: f64,
    /// Calls of a route on one target whose latency is set aside because of cold starts.
    pub warm_calls: u64,
    /// Longest time for which latency is set aside because of a cold start.
    pub warm_time: Duration,
    /// Quantiles of the stable version's latency that separate fast from slow calls.
    pub slow_quantiles: Vec<f64>,
    /// Candidate calls that a route needs before the candidate counts as tested on it.
    pub route_calls: u64,
}

impl VerdictPolicy {
    /// Returns the parameters for a preference.
    pub fn for_preference(prefer: MovePreference) -> Self {
        let slow_clip = match prefer {
            MovePreference::Safety => 0.4,
            MovePreference::Punctuality => 0.2,
        };
        Self {
            slow_clip,
            ..Self::default()
        }
    }
}

impl Default for VerdictPolicy {
    fn default() -> Self {
        Self {
            bad_error: 0.01,
            accept_error: 0.05,
            margin_odds: 3.0,
            failure_clip: 6.0,
            slow_clip: 0.4,
            warm_calls: 16,
            warm_time: Duration::from_secs(60),
            slow_quantiles: vec![0.5, 0.8, 0.95],
            route_calls: 5,
        }
    }
}

/// Quantile of the stable latency above which a call counts as bad in the acceptance test.
///
/// With the same margin of the odds, a call above the 80th percentile tells three times as much of a general
/// slowdown as one above the 95th; a slowdown of the tail alone is left to the latency tests.
const BAD_QUANTILE: f64 = 0.8;

/// Odds ratios that the failure test is sensitive to; large ones find outright failure in few calls.
const FAILURE_ODDS: [f64; 4] = [2.0, 8.0, 64.0, 4096.0];

/// Odds ratios that the latency test is sensitive to; smaller ratios are not worth a rollback.
const SLOW_ODDS: [f64; 3] = [2.0, 4.0, 12.0];

/// Share of a route in the stable calls below which it need not be covered for acceptance.
const MINOR_ROUTE_SHARE: f64 = 0.02;

/// Probability with which a candidate equal to the stable version may come under suspicion in one move; a
/// suspicion blocks the next step.
const SUSPICION_ERROR: f64 = 0.2;

/// Error at which a suspicion ends again; the distance keeps the share from alternating.
const RELIEF_ERROR: f64 = 1.0;

/// What kind of bad call a test looks at.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BadKind {
    /// Calls that failed.
    #[display("failed")]
    Failed,
    /// Calls slower than a quantile of the stable version's latency.
    #[display("slow")]
    Slow,
    /// Calls that failed or were slower than the stable version's 80th percentile.
    #[display("failed or slow")]
    FailedOrSlow,
}

/// Calls and bad calls of one version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{bad} of {calls}")]
#[serde(deny_unknown_fields)]
pub struct BadCount {
    /// Calls counted.
    pub calls: u64,
    /// Bad calls among them.
    pub bad: u64,
}

/// The evidence that a verdict rests on.
#[derive(Clone, Debug, Deserialize, Display, PartialEq, Serialize)]
#[display(
    "{}: {kind} candidate {candidate}, stable {stable}, statistic {statistic:.2}, threshold {threshold:.2}",
    route.as_deref().unwrap_or("all routes")
)]
#[serde(deny_unknown_fields)]
pub struct VerdictEvidence {
    /// Route, or none for all routes together.
    pub route: Option<RouteName>,
    /// Kind of bad call.
    pub kind: BadKind,
    /// Calls of the candidate.
    pub candidate: BadCount,
    /// Calls of the stable version over the same intervals.
    pub stable: BadCount,
    /// Natural logarithm of the e-value.
    pub statistic: f64,
    /// Value of the statistic that decides.
    pub threshold: f64,
}

/// State of the test.
#[derive(Clone, Debug, Deserialize, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveVerdict {
    /// The candidate is no worse than the margin.
    #[display("good ({_0})")]
    Good(VerdictEvidence),
    /// The candidate is worse than the stable version.
    #[display("bad ({_0})")]
    Bad(VerdictEvidence),
    /// Neither is shown.
    #[display("undecided ({evidence})")]
    Undecided {
        /// Strongest evidence against the candidate, or for it if there is none against it.
        evidence: VerdictEvidence,
        /// Whether the evidence against the candidate is too strong to go on without more.
        suspicious: bool,
        /// Whether the candidate's failures rise, for a cause that may concern both versions.
        alarmed: bool,
    },
}

/// Sequential test of one move.
///
/// Invariant: every statistic against the candidate is the logarithm of a mixture of nonnegative
/// supermartingales under equality of the versions, so the error over all looks is at most `bad_error`.
#[derive(Clone, Debug)]
pub struct VerdictTest {
    policy: VerdictPolicy,
    candidate: VersionName,
    stable: VersionName,
    routes: BTreeMap<RouteName, RouteTest>,
    overall: TestPair,
    overall_ticks: u32,
    latency: TargetLatency,
    alarm: FailureAlarm,
    best_support: f64,
    suspicious: bool,
    condemned: Option<VerdictEvidence>,
}

/// Tests of one route.
#[derive(Clone, Debug)]
struct RouteTest {
    reference: StableReference,
    stratum: RouteStratum,
    tests: TestPair,
    accept: AcceptTest,
    step_calls: u64,
    stable_calls: u64,
}

/// Failure and latency test of one route or of all.
#[derive(Clone, Debug)]
struct TestPair {
    failures: ChangeTest,
    slow: Vec<ChangeTest>,
}

impl TestPair {
    fn new(quantiles: usize) -> Self {
        Self {
            failures: ChangeTest::new(&FAILURE_ODDS),
            slow: vec![ChangeTest::new(&SLOW_ODDS); quantiles],
        }
    }

    /// Adds strata that ended together, this many ticks after the last ones.
    fn advance(&mut self, tables: &[StratumTables], ticks: u32, policy: &VerdictPolicy) {
        let failures: Vec<OutcomeTable> = tables.iter().map(|tables| tables.failures).collect();
        let targets = tables
            .iter()
            .map(|tables| tables.candidate_targets)
            .max()
            .unwrap_or(0);
        let failure_gain = policy.failure_clip * f64::from(ticks);
        let slow_gain = policy.slow_clip * f64::from(ticks * targets.max(1));
        self.failures.advance(&failures, failure_gain, ticks);
        for (index, test) in self.slow.iter_mut().enumerate() {
            let slow: Vec<OutcomeTable> = tables
                .iter()
                .filter_map(|tables| tables.slow.get(index).copied())
                .collect();
            test.advance(&slow, slow_gain, ticks);
        }
    }

    fn slow_statistic(&self) -> f64 {
        let statistics: Vec<f64> = self.slow.iter().map(ChangeTest::statistic).collect();
        odds_test::ln_mean_exp(&statistics)
    }
}

/// Two-by-two tables of one stratum of one route.
#[derive(Clone, Debug, Default)]
pub struct StratumTables {
    /// Failed calls.
    pub failures: OutcomeTable,
    /// Slow calls by quantile; empty while the stable latency is not yet known.
    pub slow: Vec<OutcomeTable>,
    /// Calls that failed or were slower than the 80th percentile.
    pub bad: Option<OutcomeTable>,
    /// Ticks that the stratum covers.
    pub ticks: u32,
    /// Targets of the candidate that were called.
    pub candidate_targets: u32,
}

impl VerdictTest {
    /// Returns a test without any evidence.
    pub fn new(candidate: &str, stable: &str, policy: VerdictPolicy) -> Self {
        Self {
            candidate: candidate.to_owned(),
            stable: stable.to_owned(),
            routes: BTreeMap::new(),
            overall: TestPair::new(policy.slow_quantiles.len()),
            overall_ticks: 0,
            latency: TargetLatency::default(),
            alarm: FailureAlarm::default(),
            best_support: 0.0,
            suspicious: false,
            condemned: None,
            policy,
        }
    }

    /// Returns the parameters of the test.
    pub fn policy(&self) -> &VerdictPolicy {
        &self.policy
    }

    /// Adds the differences of one tick.
    pub fn add(&mut self, differences: &[CounterDifference]) {
        for difference in differences {
            let is_candidate = difference.version == self.candidate;
            if is_candidate || difference.version == self.stable {
                self.add_difference(difference, is_candidate);
            }
        }
        self.add_to_alarm(differences);
        self.close_strata();
        self.judge();
    }

    /// Starts the acceptance test anew; the evidence against the candidate is kept.
    pub fn begin_step(&mut self) {
        self.best_support = 0.0;
        for route in self.routes.values_mut() {
            route.accept = AcceptTest::new(self.policy.margin_odds);
            route.step_calls = 0;
        }
    }

    /// Returns the state of the test.
    pub fn verdict(&self) -> MoveVerdict {
        if let Some(evidence) = &self.condemned {
            return MoveVerdict::Bad(evidence.clone());
        }
        let against = self.strongest_against();
        let support = self.support();
        let doubted = self.suspicious || self.alarm.is_raised();
        if !doubted && support.statistic >= support.threshold && self.routes_covered() {
            return MoveVerdict::Good(support);
        }
        let evidence = if self.suspicious || against.statistic > 0.0 {
            against
        } else {
            support
        };
        MoveVerdict::Undecided {
            evidence,
            suspicious: self.suspicious,
            alarmed: self.alarm.is_raised(),
        }
    }

    fn add_to_alarm(&mut self, differences: &[CounterDifference]) {
        let candidate = differences
            .iter()
            .filter(|difference| difference.version == self.candidate);
        let (calls, failures) = candidate.fold((0, 0), |(calls, failures), difference| {
            (calls + difference.calls, failures + difference.failures)
        });
        self.alarm.add(calls, failures);
    }

    fn add_difference(&mut self, difference: &CounterDifference, is_candidate: bool) {
        let quantiles = self.policy.slow_quantiles.len();
        let margin = self.policy.margin_odds;
        let route = self
            .routes
            .entry(difference.route.clone())
            .or_insert_with(|| RouteTest {
                reference: StableReference::default(),
                stratum: RouteStratum::default(),
                tests: TestPair::new(quantiles),
                accept: AcceptTest::new(margin),
                step_calls: 0,
                stable_calls: 0,
            });
        if is_candidate {
            route.step_calls += difference.calls;
            route.stratum.add_candidate(difference);
        } else {
            route.stable_calls += difference.calls;
            route.stratum.add_stable(difference);
        }
    }

    fn close_strata(&mut self) {
        let mut closed = Vec::new();
        let outlier = self.latency.outlier();
        self.latency.tick();
        for route in self.routes.values_mut() {
            route.stratum.tick();
            if !route.stratum.is_complete() {
                continue;
            }
            let tables = route.stratum.tables(
                &route.reference,
                &self.policy.slow_quantiles,
                BAD_QUANTILE,
                outlier.as_ref(),
            );
            if let Some(first_slow) = route.reference.first_above(BAD_QUANTILE) {
                self.latency.absorb(&route.stratum, first_slow);
            }
            route.reference.absorb(&route.stratum);
            route.stratum = RouteStratum::default();
            let ticks = tables.ticks;
            route
                .tests
                .advance(std::slice::from_ref(&tables), ticks, &self.policy);
            route.accept.advance(tables.bad, ticks);
            closed.push(tables);
        }
        self.overall_ticks += 1;
        if !closed.is_empty() {
            self.overall
                .advance(&closed, self.overall_ticks, &self.policy);
            self.overall_ticks = 0;
        }
    }

    fn judge(&mut self) {
        self.best_support = self.best_support.max(self.present_support());
        let against = self.strongest_against();
        if against.statistic >= self.threshold_for(SUSPICION_ERROR) {
            self.suspicious = true;
        } else if against.statistic <= self.threshold_for(RELIEF_ERROR) {
            self.suspicious = false;
        }
        if self.condemned.is_none() && against.statistic >= against.threshold {
            self.condemned = Some(against);
        }
    }

    fn present_support(&self) -> f64 {
        self.routes
            .values()
            .map(|route| route.accept.statistic())
            .sum()
    }

    /// Two kinds of test on each route and on all together share the allowed error.
    fn threshold_for(&self, error: f64) -> f64 {
        let tests = 2 * (self.routes.len() + 1);
        (tests as f64 / error).ln()
    }

    fn strongest_against(&self) -> VerdictEvidence {
        let threshold = self.threshold_for(self.policy.bad_error);
        let routes = self
            .routes
            .iter()
            .map(|(name, route)| (Some(name.clone()), &route.tests));
        std::iter::once((None, &self.overall))
            .chain(routes)
            .flat_map(|(name, tests)| evidence_of(name, tests, threshold))
            .max_by(|first, second| first.statistic.total_cmp(&second.statistic))
            .unwrap_or_else(|| self.support())
    }

    fn support(&self) -> VerdictEvidence {
        let mut counted = OutcomeTable::default();
        for route in self.routes.values() {
            odds_test::add_table(&mut counted, route.accept.counted());
        }
        VerdictEvidence {
            route: None,
            kind: BadKind::FailedOrSlow,
            candidate: counted.candidate,
            stable: counted.stable,
            statistic: self.best_support,
            threshold: (1.0 / self.policy.accept_error).ln(),
        }
    }

    fn routes_covered(&self) -> bool {
        let total: u64 = self.routes.values().map(|route| route.stable_calls).sum();
        self.routes.values().all(|route| {
            let minor = (route.stable_calls as f64) < MINOR_ROUTE_SHARE * total as f64;
            minor || route.step_calls >= self.policy.route_calls
        })
    }
}

fn evidence_of(route: Option<RouteName>, tests: &TestPair, threshold: f64) -> [VerdictEvidence; 2] {
    let strongest_cut = tests
        .slow
        .iter()
        .max_by(|first, second| first.statistic().total_cmp(&second.statistic()));
    let failures = VerdictEvidence {
        route: route.clone(),
        kind: BadKind::Failed,
        candidate: tests.failures.candidate(),
        stable: tests.failures.stable(),
        statistic: tests.failures.statistic(),
        threshold,
    };
    let slow = VerdictEvidence {
        route,
        kind: BadKind::Slow,
        candidate: strongest_cut.map(ChangeTest::candidate).unwrap_or_default(),
        stable: strongest_cut.map(ChangeTest::stable).unwrap_or_default(),
        statistic: tests.slow_statistic(),
        threshold,
    };
    [failures, slow]
}
