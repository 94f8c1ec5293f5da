//! Selection of the target of a call by expected latency, failure rate and failure domain.
//!
//! It answers the pattern of many entry nodes that each know little: right after a start, or in a fleet where a node
//! calls a given target twice a minute, equal targets are told apart by chance and not by their order, and calls in
//! flight count also at a target whose service time is not known.

use {
    super::admission::TargetLoad,
    crate::{
        balancing::target_speed::{RelativeTime, faded},
        ids::{DomainName, NodeId, RouteName},
        membership::TargetEndpoint,
    },
    rand::Rng,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Service time assumed for calls waiting at a target that has not reported its load yet.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Time constant of the exponential decay of a reported load.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(800);

/// Time for which a target is avoided after it could not be reached; doubles with each further failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest time for which an unreachable target is avoided.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Least fraction of a target's cold time for which an entry node avoids it after a refusal; up to 1 is added at
/// random.
const MIN_COLD_PAUSE_FRACTION: f64 = 0.3;

/// Shortest time for which a target is avoided after it refused a call as cold.
const MIN_COLD_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for which a target is avoided after it refused a call as cold.
const MAX_COLD_PAUSE: Duration = Duration::from_secs(5);

/// Refusals of one call as cold after which it goes to a target that is known to be warm, if there is one.
const MAX_COLD_REFUSALS: usize = 2;

/// Time for which a report shows that a target is warm.
const PROVEN_TIME: Duration = Duration::from_secs(2);

/// Fraction by which the expected latency rises from an idle target to one whose slots are all taken, before calls
/// wait.
const BUSY_FRACTION: f64 = 0.3;

/// Exponent of the ratio of expected latency to latency objective in the cost of a target.
const LATENESS_EXPONENT: i32 = 3;

/// Least latency objective that the cost is computed with; a shorter one counts as this.
const MIN_OBJECTIVE: Duration = Duration::from_millis(50);

/// Largest random addition to the cost, as a fraction of it, so that entry nodes with the same data do not all select
/// the same target.
const JITTER_FRACTION: f64 = 0.05;

/// Largest random addition to the cost of any target. It is small beside the cost of a target that is known to be
/// idle, and decides among those that are not known.
const TIE_COST: f64 = 0.005;

/// Cost of a target without a known service time whose slots are all taken by this node's calls. It exceeds the cost
/// of an idle target that answers in a third of the objective.
const UNKNOWN_BUSY_COST: f64 = 0.05;

/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Fraction of a target's slots up to which it may be busy, the new call included, to receive a hedge of a slow attempt.
const HEDGE_BUSY_FRACTION: f64 = 0.5;

/// Attempts in a row that their hedges overtook from which each counts as a failure of the target. One alone is mostly
/// chance, and counting it would move calls away from a sound target; a target that hangs has many in a row.
const OVERTAKEN_LIMIT: u32 = 2;

/// Half-life of the failure rate while no calls end.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Largest number of routes per target with a service time of their own; the table is cleared when it is full.
const MAX_ROUTE_TIMES: usize = 1024;

/// Properties of a call that the selection depends on.
#[derive(Clone, Copy, Debug)]
pub struct CallNeeds<'a> {
    /// Route of the call.
    pub route: &'a str,
    /// Latency objective of the route, whatever time the call has already taken.
    pub latency_objective: Duration,
    /// Failure domain of the entry node.
    pub own_domain: &'a DomainName,
    /// Length of the request's body in bytes.
    pub body_bytes: usize,
}

/// Outcome of an attempt, as far as it counts for the statistics of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// The target answered without a server error.
    Answered,
    /// The target answered with a server error, closed the connection early or timed out.
    Failed,
    /// The node refused because of the expected wait.
    Full,
    /// The node refused because its target is cold; the target is to be avoided for this time, see `cold_pause`.
    Cold(Duration),
    /// The node or its target could not be reached, or accepts no calls.
    Unreachable,
    /// The attempt says nothing about the target, for instance because it was cancelled.
    Neutral,
}

/// Load and failures of one target as seen by this node.
#[derive(Clone, Debug)]
struct TargetStats {
    in_flight: u32,
    /// Last load that the node beside the target reported.
    report: TargetLoad,
    /// Average service time of each route, as last reported.
    route_times: HashMap<RouteName, Duration>,
    reported_at: Option<Instant>,
    sent_since_report: u32,
    /// Weighted share of failed attempts as of `failure_rate_at`; decays after that by `FAILURE_HALF_LIFE`.
    failure_rate: f64,
    failure_rate_at: Option<Instant>,
    /// Attempts in a row that did not reach the target.
    consecutive_misses: u32,
    /// Attempts that were cancelled because their hedges answered first, since the target last answered.
    consecutive_overtaken: u32,
    backoff_until: Option<Instant>,
    /// End of the time for which the target is avoided because it refused a call as cold.
    cold_until: Option<Instant>,
}

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            in_flight: 0,
            report: TargetLoad {
                service_time: DEFAULT_SERVICE_TIME,
                ..TargetLoad::default()
            },
            route_times: HashMap::new(),
            reported_at: None,
            sent_since_report: 0,
            failure_rate: 0.0,
            failure_rate_at: None,
            consecutive_misses: 0,
            consecutive_overtaken: 0,
            backoff_until: None,
            cold_until: None,
        }
    }
}

/// Returns the time for which an entry node avoids a target that refused a call as cold, and that has room again in
/// `room_in` and is cold for `left`.
///
/// All entry nodes are refused at nearly the same moment and cannot share what room there is. Each one returns once, at
/// a time of its own between now and a while after the target is warm, so that its calls rise as it warms.
pub fn cold_pause(room_in: Duration, left: Duration, rng: &mut impl Rng) -> Duration {
    let spread = rng.random::<f64>();
    let until_room = room_in.mul_f64(1.0 + spread);
    until_room
        .max(left.mul_f64(MIN_COLD_PAUSE_FRACTION + spread))
        .clamp(MIN_COLD_PAUSE, MAX_COLD_PAUSE)
}

/// Load and failures of all targets, keyed by the node beside each.
///
/// Invariant: `in_flight` of a target equals the attempts begun and not yet ended.
#[derive(Debug, Default)]
pub struct TargetTracker {
    targets: HashMap<NodeId, TargetStats>,
}

/// Cost of a target in another failure domain. A cost of 1 is that of a call expected to end exactly at its latency
/// objective.
const REMOTE_COST: f64 = 0.3;

/// Cost of each byte of the request's body that is sent to another failure domain. Bandwidth between domains is
/// scarce, so an upload goes there only if it would miss its objective by far in its own.
const REMOTE_COST_PER_BYTE: f64 = 0.02 / 1024.0;

/// Cost of a target whose failure rate is 1.
const FAILURE_COST: f64 = 2.0;

impl TargetTracker {
    /// Records the start of an attempt.
    pub fn begin(&mut self, node: &str) {
        let stats = self.targets.entry(node.to_owned()).or_default();
        stats.in_flight += 1;
        stats.sent_since_report += 1;
    }

    /// Records the load that a target reported with its response to a call of `route`.
    pub fn record_load(&mut self, node: &str, route: &str, load: TargetLoad, now: Instant) {
        let stats = self.targets.entry(node.to_owned()).or_default();
        stats.report = load;
        stats.reported_at = Some(now);
        stats.sent_since_report = 0;
        if stats.route_times.len() >= MAX_ROUTE_TIMES {
            stats.route_times.clear();
        }
        stats.route_times.insert(route.to_owned(), load.route_time);
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, node: &str, outcome: TargetOutcome, now: Instant) {
        let stats = self.targets.entry(node.to_owned()).or_default();
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match outcome {
            TargetOutcome::Answered => {
                stats.record_outcome(0.0, now);
                stats.consecutive_misses = 0;
                stats.consecutive_overtaken = 0;
                stats.backoff_until = None;
                stats.cold_until = None;
            }
            TargetOutcome::Failed => stats.record_outcome(1.0, now),
            TargetOutcome::Unreachable => stats.back_off(now),
            TargetOutcome::Cold(pause) => {
                stats.consecutive_misses = 0;
                stats.backoff_until = None;
                stats.cold_until = Some(now + pause);
            }
            TargetOutcome::Full | TargetOutcome::Neutral => {}
        }
    }

    /// Counts a failure for a target that was so slow that the call was hedged.
    pub fn record_slow(&mut self, node: &str, now: Instant) {
        if let Some(stats) = self.targets.get_mut(node) {
            stats.record_outcome(1.0, now);
        }
    }

    /// Records that an attempt was cancelled because its hedge answered first; a failure if it is one of several in a
    /// row.
    pub fn record_overtaken(&mut self, node: &str, now: Instant) {
        if let Some(stats) = self.targets.get_mut(node) {
            stats.consecutive_overtaken += 1;
            if stats.consecutive_overtaken >= OVERTAKEN_LIMIT {
                stats.record_outcome(1.0, now);
            }
        }
    }

    /// Removes nodes for which `known` is false, unless attempts at them are in flight.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.targets
            .retain(|node, stats| stats.in_flight > 0 || known(node));
    }

    /// Returns the last reported load of a target, or the assumed default load if it has been tried but has not
    /// reported yet; none if this tracker has no entry for it.
    pub fn report(&self, node: &str) -> Option<TargetLoad> {
        self.targets.get(node).map(|stats| stats.report)
    }

    /// Returns the untried target with the least expected cost. Targets in backoff, and those that are avoided as cold,
    /// are selected only if there is no other. A call that several targets have refused as cold prefers targets that
    /// have reported of late that they are warm.
    pub fn choose<'a>(
        &self,
        candidates: &'a [TargetEndpoint],
        tried: &[NodeId],
        needs: &CallNeeds<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<&'a TargetEndpoint> {
        let cold_refusals = tried.iter().filter(|node| self.is_cold(node, now)).count();
        let needs_proof = cold_refusals >= MAX_COLD_REFUSALS;
        let mut best: Option<(u8, f64, &TargetEndpoint)> = None;
        for candidate in candidates.iter().filter(|c| !tried.contains(&c.node)) {
            let avoidance = self.avoidance(&candidate.node, needs_proof, now);
            let mut cost = self.cost(candidate, needs, now);
            if &candidate.domain != needs.own_domain {
                cost += REMOTE_COST + REMOTE_COST_PER_BYTE * needs.body_bytes as f64;
            }
            cost *= 1.0 + JITTER_FRACTION * rng.random::<f64>();
            cost += TIE_COST * rng.random::<f64>();
            if best.is_none_or(|(least, best_cost, _)| (avoidance, cost) < (least, best_cost)) {
                best = Some((avoidance, cost, candidate));
            }
        }
        best.map(|(_, _, candidate)| candidate)
    }

    /// Returns the rank by which targets are avoided: those with the lowest are selected first.
    fn avoidance(&self, node: &str, needs_proof: bool, now: Instant) -> u8 {
        if self.is_backing_off(node, now) {
            return 3;
        }
        if self.is_cold(node, now) {
            return 2;
        }
        let stats = self.targets.get(node);
        u8::from(needs_proof && !stats.is_some_and(|stats| stats.is_proven_warm(now)))
    }

    /// Returns whether a target is avoided because it refused a call as cold.
    fn is_cold(&self, node: &str, now: Instant) -> bool {
        let until = self.targets.get(node).and_then(|stats| stats.cold_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the time that a call of a route is expected to take at a target, without waiting; none if the target has
    /// not reported it.
    pub fn expected_time(&self, node: &str, route: &str) -> Option<Duration> {
        self.targets.get(node)?.route_times.get(route).copied()
    }

    /// Returns whether a target is expected to have so much room that a hedge of a slow attempt delays no other call.
    /// A target without a report is not.
    pub fn has_room_for_hedge(&self, target: &TargetEndpoint, now: Instant) -> bool {
        let Some(stats) = self.targets.get(&target.node) else {
            return false;
        };
        let room = (f64::from(target.slots) * HEDGE_BUSY_FRACTION).max(1.0);
        stats.reported_at.is_some()
            && !self.is_backing_off(&target.node, now)
            && stats.estimated_calls(now) + 1.0 <= room
    }

    /// Returns whether a target is avoided because it could not be reached.
    pub fn is_backing_off(&self, node: &str, now: Instant) -> bool {
        let until = self.targets.get(node).and_then(|stats| stats.backoff_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the expected cost: low while the expected latency is far below the objective, then rising steeply.
    fn cost(&self, target: &TargetEndpoint, needs: &CallNeeds<'_>, now: Instant) -> f64 {
        let untried = TargetStats::default();
        let stats = self.targets.get(&target.node).unwrap_or(&untried);
        let mean_time = stats.report.service_time.as_secs_f64();
        let slots = f64::from(target.slots.max(1));
        let estimated_calls = stats.estimated_calls(now);
        let wait = (estimated_calls + 1.0 - slots).max(0.0) / slots;
        let busy_share = BUSY_FRACTION * (estimated_calls / slots).min(1.0);
        let objective = needs.latency_objective.max(MIN_OBJECTIVE).as_secs_f64();
        let reported = stats.route_times.get(needs.route);
        // A target without a service time for the route counts as fast, so that new targets receive calls and their
        // service time becomes known.
        let route_time = reported.map_or(0.0, Duration::as_secs_f64);
        let relative_time = stats.relative_time(now);
        let slot_wait = relative_time * mean_time * wait;
        let run_time = relative_time * route_time * (1.0 + busy_share);
        let latency = run_time + slot_wait.max(stats.cold_wait(now));
        let lateness = latency / objective;
        let unknown_busy_cost = match reported {
            Some(_) => 0.0,
            None => UNKNOWN_BUSY_COST * estimated_calls / slots,
        };
        lateness.powi(LATENESS_EXPONENT)
            + unknown_busy_cost
            + stats.current_failure_rate(now) * FAILURE_COST
    }
}

impl TargetStats {
    /// Returns the estimated number of calls at the target: its decayed last report plus what was sent since.
    fn estimated_calls(&self, now: Instant) -> f64 {
        let reported = f64::from(self.report.running + self.report.waiting);
        let age = self.reported_at.map_or(REPORT_DECAY_TIME * 8, |at| {
            now.saturating_duration_since(at)
        });
        let decay = (-age.as_secs_f64() / REPORT_DECAY_TIME.as_secs_f64()).exp();
        let sent = self.sent_since_report.min(self.in_flight);
        (reported * decay + f64::from(sent)).max(f64::from(self.in_flight))
    }

    /// Returns the present service time against the average, from a report whose worth decays with its age.
    fn relative_time(&self, now: Instant) -> RelativeTime {
        let (Some(reported), Some(at)) = (self.report.relative_time, self.reported_at) else {
            return 1.0;
        };
        faded(reported, now.saturating_duration_since(at))
    }

    /// Returns the expected time in seconds until a cold target may get one more call; zero if it is warm.
    fn cold_wait(&self, now: Instant) -> f64 {
        let (Some(cold), Some(reported_at)) = (self.report.cold, self.reported_at) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported_at);
        if age >= cold.left {
            return 0.0;
        }
        let sent = cold.interval.as_secs_f64() * f64::from(self.sent_since_report);
        cold.room_in.saturating_sub(age).as_secs_f64() + sent
    }

    fn is_proven_warm(&self, now: Instant) -> bool {
        self.report.cold.is_none()
            && self
                .reported_at
                .is_some_and(|at| now.saturating_duration_since(at) < PROVEN_TIME)
    }

    fn record_outcome(&mut self, failed: f64, now: Instant) {
        let before = self.current_failure_rate(now);
        self.failure_rate = before + OUTCOME_WEIGHT * (failed - before);
        self.failure_rate_at = Some(now);
    }

    fn current_failure_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_rate_at else {
            return 0.0;
        };
        let half_lives =
            now.saturating_duration_since(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    fn back_off(&mut self, now: Instant) {
        if self.backoff_until.is_some_and(|until| now < until) {
            return;
        }
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.consecutive_misses.min(8));
        self.consecutive_misses += 1;
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }
}
