//! Number of nodes among which the usage caps are divided, and whether this node owns its part.

use {
    crate::ids::NodeId,
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        time::Duration,
    },
};

/// Time after the start by which a node knows its fleet, also if all nodes were restarted with it.
const FLEET_KNOWN_AFTER: Duration = Duration::from_millis(2500);

/// Time for which the number of nodes that a peer reported counts.
const REPORT_LIFE: Duration = Duration::from_secs(10);

/// Time after its departure for which a node counts. A node that is restarted leaves and comes back within it, so that
/// peers that are cut off meanwhile keep counting it.
const DEPARTURE_HOLD: Duration = Duration::from_secs(30);

/// Node that the membership lists.
#[derive(Clone, Copy, Debug)]
pub struct KnownNode<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Whether it has said that it leaves the fleet.
    pub has_left: bool,
}

/// Nodes that are not known to have ended.
///
/// Silent and dead members count, because they may be cut off and still send calls to targets. The rows of the store
/// count because after a restart of all nodes a part of them may not reach the others.
#[derive(Debug, Default)]
pub struct NodeCensus {
    rows: BTreeSet<NodeId>,
    has_rows: bool,
    /// When each departed member was first seen as such.
    departed_at: HashMap<NodeId, Duration>,
}

impl NodeCensus {
    /// Sets the nodes that have a row in the store.
    pub fn set_rows(&mut self, rows: impl Iterator<Item = NodeId>) {
        self.rows = rows.collect();
        self.has_rows = true;
    }

    /// Returns whether the rows of the store have been read.
    pub fn has_rows(&self) -> bool {
        self.has_rows
    }

    /// Returns the number of nodes that are not known to have ended, at least 1.
    pub fn count<'a>(
        &mut self,
        members: impl Iterator<Item = KnownNode<'a>>,
        now: Duration,
    ) -> usize {
        let mut listed = HashSet::new();
        let mut departed_at = HashMap::new();
        let mut count = 0;
        for member in members {
            listed.insert(member.node);
            let mut counts = true;
            if member.has_left {
                let known = self.departed_at.get(member.node).copied();
                let at = known.unwrap_or(now);
                departed_at.insert(member.node.to_owned(), at);
                counts = now.saturating_sub(at) < DEPARTURE_HOLD;
            }
            count += usize::from(counts);
        }
        self.departed_at = departed_at;
        let rows = self.rows.iter();
        count += rows.filter(|row| !listed.contains(row.as_str())).count();
        count.max(1)
    }
}

/// Size of the fleet as this node and the keepers that it asks know it.
#[derive(Debug)]
pub struct CapFleet {
    started: Duration,
    counted: usize,
    leaving: bool,
    /// Whether the store or a peer has told this node of the fleet. Without it the node would take itself for the whole
    /// of the fleet.
    is_confirmed: bool,
    /// Numbers that peers counted themselves, with the time of their arrival.
    reports: HashMap<NodeId, (usize, Duration)>,
}

impl CapFleet {
    /// Returns the fleet of a node that starts now.
    pub fn new(started: Duration) -> Self {
        Self {
            started,
            counted: 1,
            leaving: false,
            is_confirmed: false,
            reports: HashMap::new(),
        }
    }

    /// Sets the number of nodes that this node counts, and whether it is leaving. `has_rows` tells whether it has read
    /// the rows of the store since its start.
    pub fn update(&mut self, counted: usize, has_rows: bool, leaving: bool, now: Duration) {
        self.is_confirmed |= has_rows;
        self.counted = counted.max(1);
        self.leaving = leaving;
        self.reports
            .retain(|_, (_, at)| now.saturating_sub(*at) < REPORT_LIFE);
    }

    /// Records the number of nodes that a peer counts itself. A restarted node learns so of members that are dead for
    /// its peers and are not listed to it.
    pub fn report(&mut self, peer: &str, nodes: usize, now: Duration) {
        self.is_confirmed = true;
        self.reports.insert(peer.to_owned(), (nodes, now));
    }

    /// Returns the number of nodes that this node counts itself.
    pub fn counted(&self) -> usize {
        self.counted
    }

    /// Returns the number of nodes among which the caps are divided.
    pub fn nodes(&self) -> usize {
        let reported = self.reports.values().map(|(nodes, _)| *nodes).max();
        self.counted.max(reported.unwrap_or_default())
    }

    /// Returns whether this node owns a share: it knows its fleet, what its last process had delegated and taken has
    /// ended, and it is not leaving.
    pub fn owns_share(&self, previous_life: Duration, now: Duration) -> bool {
        let age = now.saturating_sub(self.started);
        !self.leaving && self.is_confirmed && age >= FLEET_KNOWN_AFTER.max(previous_life)
    }
}
