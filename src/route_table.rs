//! Choice of the version and the target of a call.
//!
//! A move shifts the calls of a service from its stable version to a candidate version: the traffic split
//! names the candidate's share in permille. Within a version, targets in the node's own failure domain
//! are preferred, and failed targets are ejected for a time.

use {
    crate::{
        config::TrafficSplit,
        ids::{DomainName, NodeId, VersionName},
        membership::TargetEndpoint,
    },
    derive_more::Display,
    rand::{Rng, seq::IndexedRandom},
    std::{
        collections::HashMap,
        hash::Hasher,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::Xxh3,
};

/// Share of all traffic, in permille.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// Number of randomly chosen targets whose loads are compared for each call.
const COMPARED_TARGETS: usize = 2;

/// Weight of the newest latency in the exponential moving average.
const LATENCY_WEIGHT: f64 = 0.1;

/// Time for which a target is ejected after its first failure; doubles with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(200);

/// Longest time for which a target is ejected.
const MAX_EJECTION: Duration = Duration::from_secs(20);

/// Time without failures after which the count of failures in a row is reset.
const FAILURE_RESET_TIME: Duration = Duration::from_secs(60);

/// Returns whether a target might resolve a path to one outside of the prefix that the path begins with.
///
/// Targets differ in how they resolve dot segments and encoded separators. A path that contains a dot
/// segment under any of these interpretations could be admitted under the limits of one route and run as
/// a call of another.
pub fn is_ambiguous_path(path: &str) -> bool {
    let decoded = path
        .to_ascii_lowercase()
        .replace("%25", "%")
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "\\");
    let mut segments = decoded.split(['/', '\\']);
    segments.any(|segment| matches!(segment.split(';').next(), Some("." | "..")))
}

/// Why a version was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum VersionReason {
    /// The candidate gets no calls: no move is running, or its share is 0.
    #[display("no move is running")]
    Stable,
    /// The draw fell into the share of the stable version.
    #[display("share of the stable version")]
    StableShare,
    /// The draw fell into the share of the candidate.
    #[display("share of the candidate")]
    CandidateShare,
    /// A node has vetoed the candidate on evidence of failures or slow calls.
    #[display("the candidate is vetoed")]
    Vetoed,
    /// The version chosen at first has no available target left.
    #[display("the other version has no available target")]
    OtherUnavailable,
}

/// The version chosen for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionChoice {
    /// Version to call.
    pub version: VersionName,
    /// Why it was chosen.
    pub reason: VersionReason,
}

/// Chooses the version of a call by its traffic split; `draw` is a random number, uniform in 0..1000.
pub fn choose_version(split: &TrafficSplit, vetoed: bool, draw: u32) -> VersionChoice {
    let candidate = split
        .current_move
        .as_ref()
        .map(|current| &current.candidate);
    let choice = |version: &VersionName, reason| VersionChoice {
        version: version.clone(),
        reason,
    };
    match candidate {
        Some(_) if vetoed => choice(&split.stable, VersionReason::Vetoed),
        Some(candidate) if draw < split.candidate_permille => {
            choice(candidate, VersionReason::CandidateShare)
        }
        Some(_) if split.candidate_permille > 0 => {
            choice(&split.stable, VersionReason::StableShare)
        }
        _ => choice(&split.stable, VersionReason::Stable),
    }
}

/// Share from which a candidate may take over the calls of a stable version that has no targets.
///
/// Below it the candidate is unproven, and refusing calls is better than exposing every caller to it.
const PROVEN_SHARE_PERMILLE: u32 = 500;

/// Returns the version to use when the chosen one has no target left; none if no other may be used.
pub fn fallback_version(
    split: &TrafficSplit,
    vetoed: bool,
    chosen: &VersionChoice,
) -> Option<VersionChoice> {
    let version = match &split.current_move {
        _ if chosen.version != split.stable => &split.stable,
        Some(current) if !vetoed && split.candidate_permille >= PROVEN_SHARE_PERMILLE => {
            &current.candidate
        }
        _ => return None,
    };
    Some(VersionChoice {
        version: version.clone(),
        reason: VersionReason::OtherUnavailable,
    })
}

/// Restricts the targets of a candidate with a small share, so that each one left gets a realistic load.
///
/// The first `ceil(share * n)` targets in the order of their nodes' hashes receive the candidate's calls.
/// All entry nodes compute the same order and so choose the same targets.
pub fn restrict_candidate_targets(
    mut targets: Vec<TargetEndpoint>,
    permille: u32,
) -> Vec<TargetEndpoint> {
    let count = (targets.len() as u64 * u64::from(permille))
        .div_ceil(1000)
        .max(1) as usize;
    targets.sort_by_key(|target| hash_rank(&target.node));
    targets.truncate(count);
    targets
}

fn hash_rank(node: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(node.as_bytes());
    hasher.finish()
}

/// Load and failures of one target, measured from this node's own calls.
#[derive(Clone, Debug, Default)]
struct TargetLoad {
    in_flight: u32,
    /// Moving average; 0 before the first response.
    latency_ms: f64,
    failures_in_row: u32,
    last_failure: Option<Instant>,
    ejected_until: Option<Instant>,
}

/// How an attempt at a target ended for the entry node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// After this time a response head arrived, or a short deadline set by the caller passed.
    Answered(Duration),
    /// The target's node refused the call for lack of slots or by a limit; the target is healthy.
    Saturated,
    /// The node was unreachable or draining, or had no suitable target.
    Unavailable,
    /// The outcome of the call is unknown, such as after a broken connection.
    OutcomeUnknown,
    /// The attempt ended for a reason unrelated to the target, such as a disconnected caller.
    Cancelled,
}

/// Loads of targets, measured from this node's own calls.
///
/// Invariant: `in_flight` of a target equals the attempts that `begin` counted and `release` has not.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: HashMap<NodeId, TargetLoad>,
}

impl LoadTable {
    /// Counts an attempt at the target of `node` as in flight.
    pub fn begin(&mut self, node: &str) {
        self.loads.entry(node.to_owned()).or_default().in_flight += 1;
    }

    /// Counts an attempt as ended, after the whole response or a refusal.
    pub fn release(&mut self, node: &str) {
        if let Some(load) = self.loads.get_mut(node) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Updates the latency of a target, or ejects it, by the end of an attempt.
    pub fn record_attempt(&mut self, node: &str, end: AttemptEnd, now: Instant) {
        let load = self.loads.entry(node.to_owned()).or_default();
        match end {
            AttemptEnd::Answered(latency) => record_latency(load, latency),
            AttemptEnd::Saturated | AttemptEnd::Cancelled => {}
            AttemptEnd::Unavailable | AttemptEnd::OutcomeUnknown => eject(load, now),
        }
    }

    /// Returns whether a target is ejected after failures.
    pub fn is_ejected(&self, node: &str, now: Instant) -> bool {
        let until = self.loads.get(node).and_then(|load| load.ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the number of this node's calls in flight at a target.
    pub fn in_flight(&self, node: &str) -> u32 {
        self.loads.get(node).map_or(0, |load| load.in_flight)
    }

    /// Evicts the loads of nodes that `is_member` does not accept, unless calls are in flight.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.loads
            .retain(|node, load| load.in_flight > 0 || is_member(node));
    }

    /// Estimates the load of a target with one more call: occupied share of its slots times its latency.
    fn cost(&self, target: &TargetEndpoint) -> f64 {
        let Some(load) = self.loads.get(&target.node) else {
            return 0.0;
        };
        let occupancy = f64::from(load.in_flight + 1) / f64::from(target.slots.max(1));
        occupancy * load.latency_ms.max(1.0)
    }

    fn has_capacity(&self, target: &TargetEndpoint) -> bool {
        self.in_flight(&target.node) < target.slots
    }
}

fn record_latency(load: &mut TargetLoad, latency: Duration) {
    let sample = latency.as_secs_f64() * 1000.0;
    load.latency_ms = if load.latency_ms == 0.0 {
        sample
    } else {
        load.latency_ms + LATENCY_WEIGHT * (sample - load.latency_ms)
    };
    load.ejected_until = None;
}

/// Ejects a failed target; each further failure within `FAILURE_RESET_TIME` doubles the time, up to a maximum.
///
/// Successful calls in between do not shorten the next ejection, or a flapping target would always get
/// the shortest one. Failures while the target is ejected are not counted, so calls that fail together
/// count as one failure.
fn eject(load: &mut TargetLoad, now: Instant) {
    if load.ejected_until.is_some_and(|until| now < until) {
        return;
    }
    let recent = load
        .last_failure
        .is_some_and(|last| now.duration_since(last) < FAILURE_RESET_TIME);
    if !recent {
        load.failures_in_row = 0;
    }
    let doublings = load.failures_in_row.min(16);
    let ejection = FIRST_EJECTION
        .saturating_mul(1 << doublings)
        .min(MAX_EJECTION);
    load.failures_in_row += 1;
    load.last_failure = Some(now);
    load.ejected_until = Some(now + ejection);
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TargetReason {
    /// Least loaded of a random few in the node's own failure domain.
    #[display("least loaded of a few in the own failure domain")]
    OwnDomain,
    /// Least loaded of a random few in other failure domains; the own one has no target with capacity.
    #[display("the own failure domain has no capacity")]
    OtherDomain,
    /// Every target is saturated or ejected; the least loaded of a random few is tried all the same.
    #[display("every target is saturated or paused")]
    LastResort,
}

/// The target chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// Target to call.
    pub target: TargetEndpoint,
    /// Why it was chosen.
    pub reason: TargetReason,
    /// Nodes of the targets that were not chosen.
    pub passed_over: Vec<NodeId>,
}

/// Chooses a target that is not among `tried`, preferably in the own failure domain and with capacity.
///
/// Of those it takes the least loaded of a random few. Returns none if every target was tried.
pub fn choose_target(
    targets: &[TargetEndpoint],
    table: &LoadTable,
    own_domain: &DomainName,
    tried: &[NodeId],
    now: Instant,
    rng: &mut impl Rng,
) -> Option<TargetChoice> {
    let untried: Vec<&TargetEndpoint> = targets
        .iter()
        .filter(|target| !tried.contains(&target.node))
        .collect();
    let usable: Vec<&TargetEndpoint> = untried
        .iter()
        .copied()
        .filter(|target| !table.is_ejected(&target.node, now) && table.has_capacity(target))
        .collect();
    let in_own_domain: Vec<&TargetEndpoint> = usable
        .iter()
        .copied()
        .filter(|target| &target.domain == own_domain)
        .collect();
    let (pool, reason) = match (in_own_domain.is_empty(), usable.is_empty()) {
        (false, _) => (in_own_domain, TargetReason::OwnDomain),
        (true, false) => (usable, TargetReason::OtherDomain),
        (true, true) => (untried, TargetReason::LastResort),
    };
    let chosen = least_loaded(&pool, table, rng)?.clone();
    let passed_over = targets
        .iter()
        .filter(|target| target.node != chosen.node)
        .map(|target| target.node.clone())
        .collect();
    Some(TargetChoice {
        target: chosen,
        reason,
        passed_over,
    })
}

fn least_loaded<'a>(
    pool: &[&'a TargetEndpoint],
    table: &LoadTable,
    rng: &mut impl Rng,
) -> Option<&'a TargetEndpoint> {
    pool.choose_multiple(rng, COMPARED_TARGETS)
        .copied()
        .min_by(|first, second| table.cost(first).total_cmp(&table.cost(second)))
}
