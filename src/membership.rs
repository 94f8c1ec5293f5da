//! Table of the nodes of the fleet and of the target beside each, as learned by gossip.

use {
    crate::{
        config::ServiceKey,
        ids::{ConfigVersion, DomainName, Incarnation, NodeId, VersionName},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// State of a node as its peers see it, in the order in which a later state replaces an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Failed to answer a probe; it is declared dead unless it refutes this in time, with a higher incarnation.
    #[display("suspect")]
    Suspect,
    /// Did not refute the suspicion in time.
    #[display("dead")]
    Dead,
    /// Announced that it leaves the fleet.
    #[display("left")]
    Left,
}

/// One start of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetStart {
    /// Name of the instance; some targets start again under the name that they had.
    pub instance: String,
    /// Time of the start in milliseconds since the Unix epoch, as the target gives it; none if it gives none.
    pub born_ms: Option<u64>,
}

/// Properties of a target as it registered them with its node, and the call rate that the node measures.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// Service that the target serves.
    pub key: ServiceKey,
    /// Version that the target runs.
    pub version: VersionName,
    /// Largest number of concurrent calls that the target can run.
    pub slots: u32,
    /// Largest number of concurrent connections that the target accepts.
    pub connections: u32,
    /// Whether the target drains: it finishes its calls and is to receive no new ones.
    pub draining: bool,
    /// Start of the target that has said that it leaves, so that its node knows it again after a restart; none while
    /// the target stays.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<TargetStart>,
    /// Recent calls per second that reached the target's node, at least 1; 0 means not yet measured.
    pub demand: u32,
}

/// Latest known state of one node.
///
/// Invariant: a record replaces another of the same node only if it has a higher incarnation, or the
/// same incarnation and a later state, or the same of both and a higher sequence. The state is compared
/// before the sequence, so that a late update of a target cannot make a dead node alive again; only the node itself
/// can do that, with a higher incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Name of the node.
    pub node: NodeId,
    /// Number that the node raises with each start and each refutation of a suspicion.
    pub incarnation: Incarnation,
    /// Number that the node raises with each change of its own record within one incarnation.
    pub sequence: u64,
    /// State as its peers see it.
    pub state: MemberState,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address for gossip and synchronisation.
    pub peer_address: SocketAddr,
    /// Address for calls forwarded by other nodes.
    pub forward_address: SocketAddr,
    /// Target beside the node, if one has registered with it.
    pub target: Option<TargetRecord>,
    /// Configuration version that the node last reported in force.
    pub applied_version: ConfigVersion,
}

impl MemberRecord {
    /// Returns whether this record is newer than another of the same node.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        let rank = (self.incarnation, self.state, self.sequence);
        rank > (other.incarnation, other.state, other.sequence)
    }

    /// Returns whether calls may be sent to the node's target.
    pub fn is_available(&self) -> bool {
        let is_reachable = matches!(self.state, MemberState::Alive | MemberState::Suspect);
        is_reachable && self.target.as_ref().is_some_and(|target| !target.draining)
    }
}

/// A target that can receive calls, forwarded through its node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEndpoint {
    /// Node beside the target.
    pub node: NodeId,
    /// Failure domain of the node and its target.
    pub domain: DomainName,
    /// Address of the node for forwarded calls.
    pub forward_address: SocketAddr,
    /// Version that the target runs.
    pub version: VersionName,
    /// Largest number of concurrent calls that the target can run.
    pub slots: u32,
}

/// Nodes of the fleet by name, with an index from services to nodes.
///
/// `floors` holds the highest configuration version that each node is known to have had in force, so that a restarted
/// node can learn from its peers below which version it must not go.
///
/// Invariant: `by_service` lists exactly the nodes whose record names that service.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    records: HashMap<Arc<str>, Arc<MemberRecord>>,
    by_service: HashMap<ServiceKey, Vec<NodeId>>,
    floors: BTreeMap<NodeId, ConfigVersion>,
}

impl MemberTable {
    /// Stores a record if it is newer than the existing one of the node; returns whether it was.
    ///
    /// The highest configuration version that a node has reported is kept in any case, also over its restarts.
    pub fn merge(&mut self, record: MemberRecord) -> bool {
        self.raise_floor(&record.node, record.applied_version);
        let existing = self.get(&record.node);
        if existing.is_some_and(|existing| !record.supersedes(existing)) {
            return false;
        }
        self.unindex(&record.node);
        self.index(&record);
        let name = Arc::from(record.node.as_str());
        self.records.insert(name, Arc::new(record));
        true
    }

    /// Records that a node has had a configuration version in force; a lower one than known changes nothing.
    pub fn raise_floor(&mut self, node: &str, version: ConfigVersion) {
        if version <= self.floor_of(node) {
            return;
        }
        self.floors.insert(node.to_owned(), version);
        if let Some(record) = self.records.get_mut(node) {
            let applied = record.applied_version.max(version);
            Arc::make_mut(record).applied_version = applied;
        }
    }

    /// Removes the floors of nodes without a record that are not above this node's own version.
    ///
    /// A joining peer receives this node's own version as well, so such a floor would not raise the peer's floor.
    pub fn prune_floors(&mut self, own_version: ConfigVersion) {
        let records = &self.records;
        self.floors
            .retain(|node, floor| *floor > own_version || records.contains_key(node.as_str()));
    }

    /// Returns the number of nodes with a known floor, with or without a record.
    pub fn floor_count(&self) -> usize {
        self.floors.len()
    }

    /// Returns the highest configuration version that a node is known to have had in force, 0 if none is known.
    pub fn floor_of(&self, node: &str) -> ConfigVersion {
        self.floors.get(node).copied().unwrap_or_default()
    }

    /// Returns the record of a node.
    pub fn get(&self, node: &str) -> Option<&MemberRecord> {
        self.records.get(node).map(Arc::as_ref)
    }

    /// Returns the reference-counted name of a node, so that other tables need no copy of it.
    pub fn shared_name(&self, node: &str) -> Option<Arc<str>> {
        let (name, _) = self.records.get_key_value(node)?;
        Some(name.clone())
    }

    /// Returns the number of nodes with a record, whatever their state.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no node has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Iterates over all records in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().map(Arc::as_ref)
    }

    /// Returns the available targets of a service, of all versions, in order of node name.
    pub fn targets_of(&self, key: &ServiceKey) -> Vec<TargetEndpoint> {
        let Some(nodes) = self.by_service.get(key) else {
            return Vec::new();
        };
        let mut endpoints: Vec<TargetEndpoint> = nodes
            .iter()
            .filter_map(|node| self.get(node))
            .filter(|record| record.is_available())
            .filter_map(endpoint_of)
            .collect();
        endpoints.sort_by(|first, second| first.node.cmp(&second.node));
        endpoints
    }

    /// Removes the record of a node and keeps its floor.
    pub fn remove(&mut self, node: &str) {
        self.unindex(node);
        self.records.remove(node);
    }

    fn index(&mut self, record: &MemberRecord) {
        if let Some(target) = &record.target {
            let nodes = self.by_service.entry(target.key.clone()).or_default();
            nodes.push(record.node.clone());
        }
    }

    fn unindex(&mut self, node: &str) {
        let Some(target) = self
            .records
            .get(node)
            .and_then(|record| record.target.as_ref())
        else {
            return;
        };
        let key = target.key.clone();
        let Some(nodes) = self.by_service.get_mut(&key) else {
            return;
        };
        nodes.retain(|other| other != node);
        if nodes.is_empty() {
            self.by_service.remove(&key);
        }
    }
}

fn endpoint_of(record: &MemberRecord) -> Option<TargetEndpoint> {
    let target = record.target.as_ref()?;
    Some(TargetEndpoint {
        node: record.node.clone(),
        domain: record.domain.clone(),
        forward_address: record.forward_address,
        version: target.version.clone(),
        slots: target.slots,
    })
}
