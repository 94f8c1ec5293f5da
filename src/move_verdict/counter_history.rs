//! Differences between successive readings of the cumulative call counters of several nodes.

use {
    crate::{
        call_evidence::BUCKET_COUNT,
        ids::{Incarnation, NodeId, RouteName, VersionName},
        wire::{EvidenceCounter, EvidenceReply},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Counters that one node reported.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterReading {
    /// Node that reported the counters.
    pub node: NodeId,
    /// Reported counters, with the node's incarnation.
    pub reply: EvidenceReply,
}

/// Calls of one version on one route of one node between two readings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CounterDifference {
    /// Node whose target was called.
    pub node: NodeId,
    /// Version that was called.
    pub version: VersionName,
    /// Route that was called.
    pub route: RouteName,
    /// Calls between the readings, whatever their outcome.
    pub calls: u64,
    /// Calls among them that failed.
    pub failures: u64,
    /// Calls by latency bucket; bounds are `call_evidence::bucket_bound`.
    pub buckets: Vec<u64>,
    /// Whether the target's cold start on this route is over, so that the latency counts.
    pub warm: bool,
}

/// Key of a counter within one node.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CounterKey {
    version: VersionName,
    route: RouteName,
}

/// Last reading of one node.
#[derive(Clone, Debug)]
struct NodeHistory {
    incarnation: Incarnation,
    counters: BTreeMap<CounterKey, CounterState>,
}

/// Last value of one counter and the time of its first reading, from which the cold start is measured.
#[derive(Clone, Debug)]
struct CounterState {
    counter: EvidenceCounter,
    first_seen: Duration,
}

/// Last readings of all nodes of a service.
///
/// Invariants: a call is counted in at most one difference, and no difference is negative.
#[derive(Clone, Debug)]
pub struct CounterHistory {
    nodes: HashMap<NodeId, NodeHistory>,
    warm_up_calls: u64,
    warm_up_time: Duration,
}

impl CounterHistory {
    /// Returns a history without readings.
    ///
    /// The cold start of a route on a target ends after `warm_up_calls` calls, or `warm_up_time` after the first
    /// reading with calls of it.
    pub fn new(warm_up_calls: u64, warm_up_time: Duration) -> Self {
        Self {
            nodes: HashMap::new(),
            warm_up_calls,
            warm_up_time,
        }
    }

    /// Returns the calls since the previous reading of each node.
    ///
    /// `now` is the time since any fixed monotonic instant.
    pub fn differences(
        &mut self,
        readings: &[CounterReading],
        now: Duration,
    ) -> Vec<CounterDifference> {
        readings
            .iter()
            .flat_map(|reading| self.difference_of(reading, now))
            .collect()
    }

    fn difference_of(&mut self, reading: &CounterReading, now: Duration) -> Vec<CounterDifference> {
        let Some(history) = self.nodes.get_mut(&reading.node) else {
            self.set_baseline(reading, now);
            return Vec::new();
        };
        if reading.reply.incarnation < history.incarnation {
            return Vec::new();
        }
        if reading.reply.incarnation > history.incarnation {
            if !history.counters_restarted(&reading.reply) {
                self.set_baseline(reading, now);
                return Vec::new();
            }
            history.counters.clear();
            history.incarnation = reading.reply.incarnation;
        }
        let warm_up = (self.warm_up_calls, self.warm_up_time);
        reading
            .reply
            .counters
            .iter()
            .filter_map(|counter| history.advance(&reading.node, counter, now, warm_up))
            .collect()
    }

    /// Stores the reading as the baseline of its node; the calls before it are of unknown age and not counted.
    fn set_baseline(&mut self, reading: &CounterReading, now: Duration) {
        let counters = reading
            .reply
            .counters
            .iter()
            .map(|counter| (key_of(counter), CounterState::new(counter.clone(), now)))
            .collect();
        let history = NodeHistory {
            incarnation: reading.reply.incarnation,
            counters,
        };
        self.nodes.insert(reading.node.clone(), history);
    }
}

impl CounterState {
    fn new(counter: EvidenceCounter, first_seen: Duration) -> Self {
        Self {
            counter,
            first_seen,
        }
    }
}

impl NodeHistory {
    /// Returns whether a reading of a higher incarnation proves that the counters restarted at zero.
    ///
    /// A node may also raise its incarnation to refute a suspicion of the gossip protocol, and keep its counters.
    /// Counters that did not fall do not show which of the two happened; they must not be counted a second time.
    fn counters_restarted(&self, reply: &EvidenceReply) -> bool {
        self.counters.iter().any(|(key, state)| {
            let present = reply
                .counters
                .iter()
                .find(|counter| &key_of(counter) == key);
            present.map_or(0, |counter| counter.calls) < state.counter.calls
        })
    }

    fn advance(
        &mut self,
        node: &NodeId,
        counter: &EvidenceCounter,
        now: Duration,
        (warm_up_calls, warm_up_time): (u64, Duration),
    ) -> Option<CounterDifference> {
        let key = key_of(counter);
        let state = self.counters.entry(key).or_insert_with(|| {
            let empty = EvidenceCounter {
                version: counter.version.clone(),
                route: counter.route.clone(),
                ..EvidenceCounter::default()
            };
            CounterState::new(empty, now)
        });
        if counter.calls <= state.counter.calls {
            return None;
        }
        let warm = state.counter.calls >= warm_up_calls
            || now.saturating_sub(state.first_seen) >= warm_up_time;
        let difference = CounterDifference {
            node: node.clone(),
            warm,
            ..subtract(counter, &state.counter)
        };
        state.counter = counter.clone();
        Some(difference)
    }
}

fn key_of(counter: &EvidenceCounter) -> CounterKey {
    CounterKey {
        version: counter.version.clone(),
        route: counter.route.clone(),
    }
}

/// Returns the calls counted in `new` but not in `old`; the caller sets `node` and `warm`.
fn subtract(new: &EvidenceCounter, old: &EvidenceCounter) -> CounterDifference {
    let count_at = |buckets: &[u64], index: usize| buckets.get(index).copied().unwrap_or(0);
    let buckets = (0..BUCKET_COUNT)
        .map(|index| {
            count_at(&new.latency_buckets, index)
                .saturating_sub(count_at(&old.latency_buckets, index))
        })
        .collect();
    CounterDifference {
        node: NodeId::default(),
        version: new.version.clone(),
        route: new.route.clone(),
        calls: new.calls - old.calls,
        failures: new.failures.saturating_sub(old.failures),
        buckets,
        warm: false,
    }
}
