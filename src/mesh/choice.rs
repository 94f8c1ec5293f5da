//! Choice of the target of a call by expected latency and failure domain.

use {
    super::admission::TargetLoad,
    crate::{
        ids::{DomainName, NodeId, RouteName},
        membership::TargetEndpoint,
    },
    rand::Rng,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Service time assumed of a target that has not answered yet.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Time over which a reported load loses most of its weight.
const REPORT_LIFETIME: Duration = Duration::from_millis(800);

/// First pause after a target could not be reached; doubles with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Part of the service time by which a full target costs more than an empty one, before calls wait.
const BUSY_PART: f64 = 0.3;

/// Power of the expected latency, relative to the time within which the answer has its full value.
const LATENESS_POWER: i32 = 3;

/// Time assumed for a call that is late already.
const SHORTEST_DUE: Duration = Duration::from_millis(50);

/// Random part of the cost, so that entry nodes with the same view do not choose alike.
const JITTER_PART: f64 = 0.05;

/// Weight of the newest failure in the average of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time over which the average of failures falls by half without calls.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Routes whose service time is remembered of each target.
const MAX_ROUTE_TIMES: usize = 1024;

/// What a call needs of its target.
#[derive(Clone, Copy, Debug)]
pub struct CallNeeds<'a> {
    /// Route of the call.
    pub route: &'a str,
    /// Time left within which the answer has its full value.
    pub due: Duration,
    /// Failure domain of the entry node.
    pub own_domain: &'a DomainName,
    /// Length of the request's body.
    pub body_bytes: usize,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerEnd {
    /// The target answered.
    Answered,
    /// The target answered with an error or broke off.
    Failed,
    /// The node refused for lack of room.
    Full,
    /// The node or its target could not be reached, or takes no calls.
    Unreachable,
    /// The call ended for another reason.
    Neutral,
}

/// What is known of one target.
#[derive(Clone, Debug)]
struct PeerLoad {
    in_flight: u32,
    report: TargetLoad,
    route_times: HashMap<RouteName, Duration>,
    reported_at: Option<Instant>,
    sent_since_report: u32,
    failures: f64,
    failed_at: Option<Instant>,
    misses: u32,
    paused_until: Option<Instant>,
}

impl Default for PeerLoad {
    fn default() -> Self {
        Self {
            in_flight: 0,
            report: TargetLoad {
                service_time: UNKNOWN_SERVICE_TIME,
                ..TargetLoad::default()
            },
            route_times: HashMap::new(),
            reported_at: None,
            sent_since_report: 0,
            failures: 0.0,
            failed_at: None,
            misses: 0,
            paused_until: None,
        }
    }
}

/// Loads of targets by the node beside them.
///
/// Invariant: `in_flight` of a target equals the attempts begun and not yet ended.
#[derive(Debug, Default)]
pub struct PeerLoads {
    peers: HashMap<NodeId, PeerLoad>,
}

/// Cost of a target in another failure domain, in parts of the value of an answer.
const REMOTE_COST: f64 = 0.3;

/// The same for each byte of the request's body: bytes between domains are scarce, so that an upload goes there only
/// where it would else be late by far.
const REMOTE_COST_PER_BYTE: f64 = 0.02 / 1024.0;

/// Cost of a target that fails every call, in parts of the value of an answer.
const FAILURE_COST: f64 = 2.0;

impl PeerLoads {
    /// Counts an attempt as begun.
    pub fn begin(&mut self, node: &str) {
        let peer = self.peers.entry(node.to_owned()).or_default();
        peer.in_flight += 1;
        peer.sent_since_report += 1;
    }

    /// Takes over the load that came with an answer to a call of a route.
    pub fn take_report(&mut self, node: &str, route: &str, load: TargetLoad, now: Instant) {
        let peer = self.peers.entry(node.to_owned()).or_default();
        peer.report = load;
        peer.reported_at = Some(now);
        peer.sent_since_report = 0;
        if peer.route_times.len() >= MAX_ROUTE_TIMES {
            peer.route_times.clear();
        }
        peer.route_times.insert(route.to_owned(), load.route_time);
    }

    /// Counts an attempt as ended.
    pub fn end(&mut self, node: &str, end: PeerEnd, now: Instant) {
        let peer = self.peers.entry(node.to_owned()).or_default();
        peer.in_flight = peer.in_flight.saturating_sub(1);
        match end {
            PeerEnd::Answered => {
                peer.note_failure(0.0, now);
                peer.misses = 0;
                peer.paused_until = None;
            }
            PeerEnd::Failed => peer.note_failure(1.0, now),
            PeerEnd::Unreachable => peer.pause(now),
            PeerEnd::Full | PeerEnd::Neutral => {}
        }
    }

    /// Notes that a target was too slow for a call that was then sent elsewhere.
    pub fn note_slow(&mut self, node: &str, now: Instant) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.note_failure(1.0, now);
        }
    }

    /// Drops what is known of nodes that are gone, unless calls are still in progress.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.peers
            .retain(|node, peer| peer.in_flight > 0 || known(node));
    }

    /// Returns the last reported load of a target.
    pub fn report(&self, node: &str) -> Option<TargetLoad> {
        self.peers.get(node).map(|peer| peer.report)
    }

    /// Chooses the target with the least expected cost; paused ones only if there is no other.
    pub fn choose<'a>(
        &self,
        candidates: &'a [TargetEndpoint],
        tried: &[NodeId],
        needs: &CallNeeds<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<&'a TargetEndpoint> {
        let mut best: Option<(bool, f64, &TargetEndpoint)> = None;
        for candidate in candidates.iter().filter(|c| !tried.contains(&c.node)) {
            let paused = self.is_paused(&candidate.node, now);
            let mut cost = self.cost(candidate, needs, now);
            if &candidate.domain != needs.own_domain {
                cost += REMOTE_COST + REMOTE_COST_PER_BYTE * needs.body_bytes as f64;
            }
            cost *= 1.0 + JITTER_PART * rng.random::<f64>();
            if best
                .is_none_or(|(best_paused, best_cost, _)| (paused, cost) < (best_paused, best_cost))
            {
                best = Some((paused, cost, candidate));
            }
        }
        best.map(|(_, _, candidate)| candidate)
    }

    /// Returns whether calls to a target pause after failures to reach it.
    pub fn is_paused(&self, node: &str, now: Instant) -> bool {
        let until = self.peers.get(node).and_then(|peer| peer.paused_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the expected loss of value: little while the answer is far from late, then rising steeply.
    fn cost(&self, target: &TargetEndpoint, needs: &CallNeeds<'_>, now: Instant) -> f64 {
        let fresh = PeerLoad::default();
        let peer = self.peers.get(&target.node).unwrap_or(&fresh);
        let service = peer.report.service_time.as_secs_f64();
        let slots = f64::from(target.slots.max(1));
        let occupied = peer.occupied(now);
        let wait = (occupied + 1.0 - slots).max(0.0) / slots;
        let busy = BUSY_PART * (occupied / slots).min(1.0);
        let due = needs.due.max(SHORTEST_DUE).as_secs_f64();
        let known = peer.route_times.get(needs.route);
        // A target that has not served the route yet is tried, or a new one would stay unknown.
        let own = known.map_or(0.0, Duration::as_secs_f64);
        let latency = own * (1.0 + busy) + service * wait;
        let lateness = latency / due;
        lateness.powi(LATENESS_POWER) + peer.failures_now(now) * FAILURE_COST
    }
}

impl PeerLoad {
    /// Returns the calls at the target: what it reported, fading with age, and what was sent since.
    fn occupied(&self, now: Instant) -> f64 {
        let reported = f64::from(self.report.running + self.report.waiting);
        let age = self
            .reported_at
            .map_or(REPORT_LIFETIME * 8, |at| now.saturating_duration_since(at));
        let fading = (-age.as_secs_f64() / REPORT_LIFETIME.as_secs_f64()).exp();
        let sent = self.sent_since_report.min(self.in_flight);
        (reported * fading + f64::from(sent)).max(f64::from(self.in_flight))
    }

    fn note_failure(&mut self, failed: f64, now: Instant) {
        let before = self.failures_now(now);
        self.failures = before + FAILURE_WEIGHT * (failed - before);
        self.failed_at = Some(now);
    }

    fn failures_now(&self, now: Instant) -> f64 {
        let Some(at) = self.failed_at else {
            return 0.0;
        };
        let halves =
            now.saturating_duration_since(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(halves)
    }

    fn pause(&mut self, now: Instant) {
        if self.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let pause = FIRST_PAUSE.saturating_mul(1 << self.misses.min(8));
        self.misses += 1;
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }
}
