//! Differences between cumulative counter readings of several nodes.

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
    /// Node that reported.
    pub node: NodeId,
    /// What it reported.
    pub reply: EvidenceReply,
}

/// Calls of one version on one route of one node between two readings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CounterDifference {
    /// Node beside the target that was called.
    pub node: NodeId,
    /// Version that was called.
    pub version: VersionName,
    /// Route that was called.
    pub route: RouteName,
    /// Calls.
    pub calls: u64,
    /// Failed calls.
    pub failures: u64,
    /// Calls by latency bucket.
    pub buckets: Vec<u64>,
    /// Whether the cold start of the target is over on this route.
    pub warm: bool,
}

/// Key of a counter within one node.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CounterName {
    version: VersionName,
    route: RouteName,
}

/// Last reading of one node.
#[derive(Clone, Debug)]
struct NodeHistory {
    incarnation: Incarnation,
    counters: BTreeMap<CounterName, CounterState>,
}

/// Last value of one counter and the time of its first reading.
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
    warm_calls: u64,
    warm_time: Duration,
}

impl CounterHistory {
    /// Returns a history without readings; latency counts after this many calls or this time.
    pub fn new(warm_calls: u64, warm_time: Duration) -> Self {
        Self {
            nodes: HashMap::new(),
            warm_calls,
            warm_time,
        }
    }

    /// Returns what happened since the last readings; `now` is any monotonic time.
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
        let Some(known) = self.nodes.get_mut(&reading.node) else {
            self.begin(reading, now);
            return Vec::new();
        };
        if reading.reply.incarnation < known.incarnation {
            return Vec::new();
        }
        if reading.reply.incarnation > known.incarnation {
            if !known.falls_below(&reading.reply) {
                self.begin(reading, now);
                return Vec::new();
            }
            known.counters.clear();
            known.incarnation = reading.reply.incarnation;
        }
        let limits = (self.warm_calls, self.warm_time);
        reading
            .reply
            .counters
            .iter()
            .filter_map(|counter| known.advance(&reading.node, counter, now, limits))
            .collect()
    }

    /// Takes the reading as the reference, because the calls before it are of unknown age.
    fn begin(&mut self, reading: &CounterReading, now: Duration) {
        let counters = reading
            .reply
            .counters
            .iter()
            .map(|counter| (name_of(counter), CounterState::new(counter.clone(), now)))
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
    /// Returns whether a reading proves that the counters started again.
    ///
    /// A node may raise its incarnation to refute a suspicion and keep its counters. Counters that did
    /// not fall leave this open; they must not be counted a second time.
    fn falls_below(&self, reply: &EvidenceReply) -> bool {
        self.counters.iter().any(|(name, state)| {
            let present = reply
                .counters
                .iter()
                .find(|counter| &name_of(counter) == name);
            present.map_or(0, |counter| counter.calls) < state.counter.calls
        })
    }

    fn advance(
        &mut self,
        node: &NodeId,
        counter: &EvidenceCounter,
        now: Duration,
        (warm_calls, warm_time): (u64, Duration),
    ) -> Option<CounterDifference> {
        let name = name_of(counter);
        let state = self.counters.entry(name).or_insert_with(|| {
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
        let warm =
            state.counter.calls >= warm_calls || now.saturating_sub(state.first_seen) >= warm_time;
        let difference = CounterDifference {
            node: node.clone(),
            warm,
            ..subtract(counter, &state.counter)
        };
        state.counter = counter.clone();
        Some(difference)
    }
}

fn name_of(counter: &EvidenceCounter) -> CounterName {
    CounterName {
        version: counter.version.clone(),
        route: counter.route.clone(),
    }
}

fn subtract(new: &EvidenceCounter, old: &EvidenceCounter) -> CounterDifference {
    let value = |buckets: &[u64], index: usize| buckets.get(index).copied().unwrap_or(0);
    let buckets = (0..BUCKET_COUNT)
        .map(|index| {
            value(&new.latency_buckets, index).saturating_sub(value(&old.latency_buckets, index))
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
