//! Choice of the version and the target of a call.

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

/// Unit of traffic shares.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// Number of targets compared by load for each call.
const COMPARED_TARGETS: usize = 2;

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;

/// First pause after a target failed; doubles with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(200);

/// Longest pause after failures in a row.
const MAX_EJECTION: Duration = Duration::from_secs(20);

/// Time without failures after which the count of failures in a row starts anew.
const FAILURE_MEMORY: Duration = Duration::from_secs(60);

/// Returns whether a path could be read by a target as one outside of its literal prefix.
///
/// Targets differ in how they resolve dot segments and encoded separators, so a path with a dot segment
/// under any reading would run under the rules of one route as a call of another.
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
    /// No move is running.
    #[display("no move is running")]
    Stable,
    /// The call falls into the share of the stable version.
    #[display("share of the stable version")]
    StableShare,
    /// The call falls into the share of the candidate.
    #[display("share of the candidate")]
    CandidateShare,
    /// The candidate is vetoed.
    #[display("the candidate is vetoed")]
    Vetoed,
    /// The chosen version has no available target.
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

/// Chooses the version of a call; `draw` is uniform in 0..1000.
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

/// Share from which a candidate may also serve the calls of a stable version without targets.
///
/// Below it the candidate is unproven, and refusing is better than exposing every caller to it.
const PROVEN_SHARE_PERMILLE: u32 = 500;

/// Returns the version to use when the chosen one has no target left; none if there is no other.
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

/// Restricts candidate targets so that each of those left sees a realistic load.
///
/// The first `ceil(share * n)` targets in an order fixed by their names receive the candidate's calls.
/// All entry nodes compute the same order, so the load concentrates on the same targets.
pub fn concentrate(mut targets: Vec<TargetEndpoint>, permille: u32) -> Vec<TargetEndpoint> {
    let wanted = (targets.len() as u64 * u64::from(permille))
        .div_ceil(1000)
        .max(1) as usize;
    targets.sort_by_key(|target| stable_rank(&target.node));
    targets.truncate(wanted);
    targets
}

fn stable_rank(node: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(node.as_bytes());
    hasher.finish()
}

/// What this node's own calls say about one target.
#[derive(Clone, Debug, Default)]
struct TargetLoad {
    in_flight: u32,
    latency_ms: f64,
    failures_in_row: u32,
    last_failure: Option<Instant>,
    ejected_until: Option<Instant>,
}

/// How an attempt at a target ended, as the entry node sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// An answer came after this time.
    Answered(Duration),
    /// The node refused for lack of capacity; the target is healthy.
    Saturated,
    /// The node could not be reached, was draining, or its target was gone.
    Unavailable,
    /// The fate of the call is unknown.
    Lost,
    /// The caller went away first; this says nothing about the target.
    Cancelled,
}

/// Loads of targets as seen by this node's own calls.
///
/// Invariant: `in_flight` of a target equals the attempts begun and not yet released.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: HashMap<NodeId, TargetLoad>,
}

impl LoadTable {
    /// Counts an attempt as begun.
    pub fn begin(&mut self, node: &str) {
        self.loads.entry(node.to_owned()).or_default().in_flight += 1;
    }

    /// Counts an attempt as ended, after the whole answer or a refusal.
    pub fn release(&mut self, node: &str) {
        if let Some(load) = self.loads.get_mut(node) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Notes what an attempt says about its target.
    pub fn note(&mut self, node: &str, end: AttemptEnd, now: Instant) {
        let load = self.loads.entry(node.to_owned()).or_default();
        match end {
            AttemptEnd::Answered(latency) => record_answer(load, latency),
            AttemptEnd::Saturated | AttemptEnd::Cancelled => {}
            AttemptEnd::Unavailable | AttemptEnd::Lost => eject(load, now),
        }
    }

    /// Returns whether calls to a target pause after failures.
    pub fn is_ejected(&self, node: &str, now: Instant) -> bool {
        let until = self.loads.get(node).and_then(|load| load.ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the calls of this node in progress at a target.
    pub fn in_flight(&self, node: &str) -> u32 {
        self.loads.get(node).map_or(0, |load| load.in_flight)
    }

    /// Drops the loads of nodes that are gone, unless calls are still in progress.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.loads
            .retain(|node, load| load.in_flight > 0 || known(node));
    }

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

fn record_answer(load: &mut TargetLoad, latency: Duration) {
    let sample = latency.as_secs_f64() * 1000.0;
    load.latency_ms = if load.latency_ms == 0.0 {
        sample
    } else {
        load.latency_ms + LATENCY_WEIGHT * (sample - load.latency_ms)
    };
    load.ejected_until = None;
}

/// Pauses calls to a failed target. A target that fails again soon after a pause waits twice as long.
///
/// Answers in between do not shorten the next pause, or a flapping target would always get the first
/// one. Calls that fail together count as one failure.
fn eject(load: &mut TargetLoad, now: Instant) {
    if load.ejected_until.is_some_and(|until| now < until) {
        return;
    }
    let recent = load
        .last_failure
        .is_some_and(|last| now.duration_since(last) < FAILURE_MEMORY);
    if !recent {
        load.failures_in_row = 0;
    }
    let doublings = load.failures_in_row.min(16);
    let pause = FIRST_EJECTION
        .saturating_mul(1 << doublings)
        .min(MAX_EJECTION);
    load.failures_in_row += 1;
    load.last_failure = Some(now);
    load.ejected_until = Some(now + pause);
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TargetReason {
    /// Least loaded of a few in the node's own failure domain.
    #[display("least loaded of a few in the own failure domain")]
    OwnDomain,
    /// Least loaded of a few elsewhere; the own failure domain has no capacity.
    #[display("the own failure domain has no capacity")]
    OtherDomain,
    /// Every target is saturated or paused; the least loaded of all is tried.
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
    /// Nodes of targets that were passed over.
    pub passed_over: Vec<NodeId>,
}

/// Chooses a target: the own failure domain first, then the less loaded of a random few.
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
    let own: Vec<&TargetEndpoint> = usable
        .iter()
        .copied()
        .filter(|target| &target.domain == own_domain)
        .collect();
    let (pool, reason) = match (own.is_empty(), usable.is_empty()) {
        (false, _) => (own, TargetReason::OwnDomain),
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
