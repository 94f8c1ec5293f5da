//! Sequential test of a candidate version against the stable version: good, bad or undecided.
//!
//! Nothing here does I/O or reads a clock. The caller passes in the counter differences of both versions once
//! per tick (one controller step). A bad call is one that failed or was slow; the test compares the odds of a
//! bad call between the versions.
//!
//! The statistics are natural logarithms of e-values (evidence against a hypothesis that may be checked after
//! every tick): if the hypothesis holds, the probability that its e-value ever exceeds `1 / a` is at most `a`.

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

/// Parameters of the test; `docs/notes/moves.md` has the measurements behind the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictPolicy {
    /// Largest probability that a candidate equal to the stable version is found bad in one move.
    pub false_rejection_probability: f64,
    /// Largest probability that a candidate with `margin_odds` is accepted in one step.
    pub false_acceptance_probability: f64,
    /// Odds of a bad call on the candidate, as a multiple of those on the stable version, from which the
    /// candidate must not be accepted.
    pub margin_odds: f64,
    /// Largest increase of the failure statistic in one tick, in nats (units of the natural logarithm).
    pub max_failure_gain: f64,
    /// Largest increase of the latency statistic in one tick for each called target of the candidate, in nats.
    /// It sets how long one target must be disturbed before the version is found bad.
    pub max_slow_gain: f64,
    /// First calls of a route on one target whose latency is ignored because of the cold start.
    pub warm_up_calls: u64,
    /// Time from the first reading of a route's counter on one target after which its latency counts in any case.
    pub warm_up_time: Duration,
    /// Quantiles of the stable version's latency, each a boundary between fast and slow calls of its own test.
    pub slow_quantiles: Vec<f64>,
    /// Candidate calls that a route needs in one step before the candidate counts as tested on it.
    pub min_route_calls: u64,
}

impl VerdictPolicy {
    /// Returns the default parameters adjusted to the preference of the contract.
    pub fn for_preference(prefer: MovePreference) -> Self {
        let max_slow_gain = match prefer {
            MovePreference::Safety => 0.4,
            MovePreference::Punctuality => 0.2,
        };
        Self {
            max_slow_gain,
            ..Self::default()
        }
    }
}

impl Default for VerdictPolicy {
    fn default() -> Self {
        Self {
            false_rejection_probability: 0.01,
            false_acceptance_probability: 0.05,
            margin_odds: 3.0,
            max_failure_gain: 6.0,
            max_slow_gain: 0.4,
            warm_up_calls: 16,
            warm_up_time: Duration::from_secs(60),
            slow_quantiles: vec![0.5, 0.8, 0.95],
            min_route_calls: 5,
        }
    }
}

/// Quantile of the stable latency above which a call counts as bad in the acceptance test.
///
/// With the same margin of the odds, calls above the 80th percentile carry three times as much evidence of a
/// general slowdown as calls above the 95th; a slowdown of the tail alone is left to the latency tests.
const BAD_LATENCY_QUANTILE: f64 = 0.8;

/// Odds ratios that the failure test is sensitive to; the large ones detect a total failure within few calls.
const FAILURE_ODDS: [f64; 4] = [2.0, 8.0, 64.0, 4096.0];

/// Odds ratios that the latency test is sensitive to; smaller ratios are not worth a rollback.
const SLOW_ODDS: [f64; 3] = [2.0, 4.0, 12.0];

/// Share of the stable version's calls from which a route must be covered before acceptance.
const MIN_COVERED_ROUTE_SHARE: f64 = 0.02;

/// Largest probability that a candidate equal to the stable version becomes suspicious in one move; suspicion
/// blocks the next step.
const SUSPICION_START_ERROR: f64 = 0.2;

/// Error probability whose threshold ends a suspicion again; the distance to the start keeps the candidate's
/// share from alternating.
const SUSPICION_END_ERROR: f64 = 1.0;

/// Kind of call that a test counts as bad.
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

/// Calls and bad calls of one version in one test.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{bad} of {calls}")]
#[serde(deny_unknown_fields)]
pub struct BadCount {
    /// All calls that the test counted.
    pub calls: u64,
    /// Bad calls among them.
    pub bad: u64,
}

/// Counts and statistic behind a verdict.
#[derive(Clone, Debug, Deserialize, Display, PartialEq, Serialize)]
#[display(
    "{}: {kind} candidate {candidate}, stable {stable}, statistic {statistic:.2}, threshold {threshold:.2}",
    route.as_deref().unwrap_or("all routes")
)]
#[serde(deny_unknown_fields)]
pub struct VerdictEvidence {
    /// Route that was tested, or none for all routes together.
    pub route: Option<RouteName>,
    /// Kind of call that counted as bad.
    pub kind: BadKind,
    /// Calls of the candidate.
    pub candidate: BadCount,
    /// Calls of the stable version over the same intervals.
    pub stable: BadCount,
    /// Natural logarithm of the e-value.
    pub statistic: f64,
    /// Value of the statistic from which the test is decided.
    pub threshold: f64,
}

/// Result of the test so far.
#[derive(Clone, Debug, Deserialize, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveVerdict {
    /// The candidate's odds of a bad call are shown to be below `VerdictPolicy::margin_odds`.
    #[display("good ({_0})")]
    Good(VerdictEvidence),
    /// The candidate is shown to be worse than the stable version; this verdict is final.
    #[display("bad ({_0})")]
    Bad(VerdictEvidence),
    /// Neither is shown yet, or an alarm or suspicion blocks acceptance.
    #[display("undecided ({evidence})")]
    Undecided {
        /// Strongest evidence against the candidate, or for it if there is none against it.
        evidence: VerdictEvidence,
        /// Whether the evidence against the candidate is strong enough to block the next step.
        suspicious: bool,
        /// Whether the candidate's failure rate has risen; the cause may affect both versions.
        alarmed: bool,
    },
}

/// Sequential test of the candidate of one move.
///
/// Invariant: every statistic against the candidate is the logarithm of a mixture of nonnegative
/// supermartingales if the versions are equal, so the probability of a wrong `Bad` verdict over all ticks is
/// at most `VerdictPolicy::false_rejection_probability`.
#[derive(Clone, Debug)]
pub struct VerdictTest {
    policy: VerdictPolicy,
    candidate: VersionName,
    stable: VersionName,
    routes: BTreeMap<RouteName, RouteTest>,
    /// Tests over all routes together.
    overall: TestPair,
    /// Ticks since `overall` was last advanced.
    overall_ticks: u32,
    latency: TargetLatency,
    alarm: FailureAlarm,
    /// Largest acceptance statistic in the current step.
    max_acceptance_statistic: f64,
    /// Whether the evidence against the candidate blocks the next step.
    suspicious: bool,
    /// Evidence that decided against the candidate; never cleared.
    rejection: Option<VerdictEvidence>,
}

/// Tests of one route.
#[derive(Clone, Debug)]
struct RouteTest {
    reference: StableReference,
    stratum: RouteStratum,
    tests: TestPair,
    accept: AcceptTest,
    /// Calls of the candidate in the current step of the move.
    step_candidate_calls: u64,
    /// Calls of the stable version since the test began.
    stable_calls: u64,
}

/// Failure test and latency tests of one route, or of all routes together.
#[derive(Clone, Debug)]
struct TestPair {
    failures: ChangeTest,
    /// One test for each quantile of `VerdictPolicy::slow_quantiles`.
    slow: Vec<ChangeTest>,
}

impl TestPair {
    fn new(quantiles: usize) -> Self {
        Self {
            failures: ChangeTest::new(&FAILURE_ODDS),
            slow: vec![ChangeTest::new(&SLOW_ODDS); quantiles],
        }
    }

    /// Adds the tables of strata that ended in this tick, `ticks` ticks after the previous ones.
    fn advance(&mut self, tables: &[StratumTables], ticks: u32, policy: &VerdictPolicy) {
        let failures: Vec<OutcomeTable> = tables.iter().map(|tables| tables.failures).collect();
        let targets = tables
            .iter()
            .map(|tables| tables.candidate_targets)
            .max()
            .unwrap_or(0);
        let failure_gain = policy.max_failure_gain * f64::from(ticks);
        let slow_gain = policy.max_slow_gain * f64::from(ticks * targets.max(1));
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

/// Two-by-two tables (version by outcome) of one stratum.
///
/// A stratum is a short interval of one route; calls of the versions are compared only within a stratum, so
/// that a fault common to both versions affects both sides of a table.
#[derive(Clone, Debug, Default)]
pub struct StratumTables {
    /// Failed calls.
    pub failures: OutcomeTable,
    /// Slow calls, one table for each quantile; empty while too few stable latencies are recorded.
    pub slow: Vec<OutcomeTable>,
    /// Calls that failed or were slower than the 80th percentile; none while `slow` is empty.
    pub bad: Option<OutcomeTable>,
    /// Ticks that the stratum covers.
    pub ticks: u32,
    /// Targets of the candidate that were called.
    pub candidate_targets: u32,
}

impl VerdictTest {
    /// Returns a test of `candidate` against `stable` without any evidence.
    pub fn new(candidate: &str, stable: &str, policy: VerdictPolicy) -> Self {
        Self {
            candidate: candidate.to_owned(),
            stable: stable.to_owned(),
            routes: BTreeMap::new(),
            overall: TestPair::new(policy.slow_quantiles.len()),
            overall_ticks: 0,
            latency: TargetLatency::default(),
            alarm: FailureAlarm::default(),
            max_acceptance_statistic: 0.0,
            suspicious: false,
            rejection: None,
            policy,
        }
    }

    /// Returns the parameters of the test.
    pub fn policy(&self) -> &VerdictPolicy {
        &self.policy
    }

    /// Adds the counter differences of one tick; other versions than the two are ignored.
    pub fn add(&mut self, differences: &[CounterDifference]) {
        for difference in differences {
            let is_candidate = difference.version == self.candidate;
            if is_candidate || difference.version == self.stable {
                self.add_difference(difference, is_candidate);
            }
        }
        self.add_to_alarm(differences);
        self.close_strata();
        self.update_verdict();
    }

    /// Restarts the acceptance test for a new step of the move; the evidence against the candidate is kept.
    pub fn begin_step(&mut self) {
        self.max_acceptance_statistic = 0.0;
        for route in self.routes.values_mut() {
            route.accept = AcceptTest::new(self.policy.margin_odds);
            route.step_candidate_calls = 0;
        }
    }

    /// Returns the verdict after the ticks added so far.
    pub fn verdict(&self) -> MoveVerdict {
        if let Some(evidence) = &self.rejection {
            return MoveVerdict::Bad(evidence.clone());
        }
        let against = self.evidence_against();
        let evidence_for = self.evidence_for();
        let acceptance_blocked = self.suspicious || self.alarm.is_raised();
        if !acceptance_blocked
            && evidence_for.statistic >= evidence_for.threshold
            && self.routes_covered()
        {
            return MoveVerdict::Good(evidence_for);
        }
        let evidence = if self.suspicious || against.statistic > 0.0 {
            against
        } else {
            evidence_for
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
                step_candidate_calls: 0,
                stable_calls: 0,
            });
        if is_candidate {
            route.step_candidate_calls += difference.calls;
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
                BAD_LATENCY_QUANTILE,
                outlier.as_ref(),
            );
            if let Some(first_slow_bucket) =
                route.reference.first_bucket_above(BAD_LATENCY_QUANTILE)
            {
                self.latency.add_stratum(&route.stratum, first_slow_bucket);
            }
            route.reference.add_stratum(&route.stratum);
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

    fn update_verdict(&mut self) {
        self.max_acceptance_statistic = self
            .max_acceptance_statistic
            .max(self.acceptance_statistic());
        let against = self.evidence_against();
        if against.statistic >= self.threshold_for(SUSPICION_START_ERROR) {
            self.suspicious = true;
        } else if against.statistic <= self.threshold_for(SUSPICION_END_ERROR) {
            self.suspicious = false;
        }
        if self.rejection.is_none() && against.statistic >= against.threshold {
            self.rejection = Some(against);
        }
    }

    fn acceptance_statistic(&self) -> f64 {
        self.routes
            .values()
            .map(|route| route.accept.statistic())
            .sum()
    }

    /// Returns the threshold for an error probability, which is divided among the failure and the latency test
    /// of each route and of all routes together.
    fn threshold_for(&self, error: f64) -> f64 {
        let tests = 2 * (self.routes.len() + 1);
        (tests as f64 / error).ln()
    }

    /// Returns the strongest evidence against the candidate.
    fn evidence_against(&self) -> VerdictEvidence {
        let threshold = self.threshold_for(self.policy.false_rejection_probability);
        let routes = self
            .routes
            .iter()
            .map(|(name, route)| (Some(name.clone()), &route.tests));
        std::iter::once((None, &self.overall))
            .chain(routes)
            .flat_map(|(name, tests)| evidence_of(name, tests, threshold))
            .max_by(|first, second| first.statistic.total_cmp(&second.statistic))
            .unwrap_or_else(|| self.evidence_for())
    }

    /// Returns the evidence for the candidate over all routes in the current step.
    fn evidence_for(&self) -> VerdictEvidence {
        let mut counted = OutcomeTable::default();
        for route in self.routes.values() {
            odds_test::add_table(&mut counted, route.accept.counted());
        }
        VerdictEvidence {
            route: None,
            kind: BadKind::FailedOrSlow,
            candidate: counted.candidate,
            stable: counted.stable,
            statistic: self.max_acceptance_statistic,
            threshold: (1.0 / self.policy.false_acceptance_probability).ln(),
        }
    }

    /// Returns whether the candidate was called often enough on every route but the rarely called ones.
    fn routes_covered(&self) -> bool {
        let total: u64 = self.routes.values().map(|route| route.stable_calls).sum();
        self.routes.values().all(|route| {
            let minor = (route.stable_calls as f64) < MIN_COVERED_ROUTE_SHARE * total as f64;
            minor || route.step_candidate_calls >= self.policy.min_route_calls
        })
    }
}

fn evidence_of(route: Option<RouteName>, tests: &TestPair, threshold: f64) -> [VerdictEvidence; 2] {
    let strongest_quantile = tests
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
        candidate: strongest_quantile
            .map(ChangeTest::candidate)
            .unwrap_or_default(),
        stable: strongest_quantile
            .map(ChangeTest::stable)
            .unwrap_or_default(),
        statistic: tests.slow_statistic(),
        threshold,
    };
    [failures, slow]
}
