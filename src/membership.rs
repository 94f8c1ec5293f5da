//! Table of the nodes of the fleet and the targets they stand beside.

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

/// State of a node as its peers see it.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Failed to answer a probe; has time to refute.
    #[display("suspect")]
    Suspect,
    /// Did not refute in time.
    #[display("dead")]
    Dead,
    /// Announced that it leaves.
    #[display("left")]
    Left,
}

/// What a target said about itself when it announced itself to its node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRecord {
    /// Service that the target serves.
    pub key: ServiceKey,
    /// Version that the target runs.
    pub version: VersionName,
    /// Calls that the target can run at once.
    pub slots: u32,
    /// Connections that the target accepts at once.
    pub connections: u32,
    /// Whether the target asked for no new work.
    pub draining: bool,
    /// Calls per second that reached the target's node lately, at least 1; 0 means not yet measured.
    pub demand: u32,
}

/// What is known of one node.
///
/// Invariant: a record replaces another of the same node only if it has a higher incarnation, or the
/// same incarnation and a later state, or the same of both and a higher sequence. The state goes before
/// the sequence, so that a late update of a target cannot bring a dead node back to life; only the node
/// itself can, with a higher incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Name of the node.
    pub node: NodeId,
    /// Counts the node's starts and refutations.
    pub incarnation: Incarnation,
    /// Counts the node's own changes within one incarnation.
    pub sequence: u64,
    /// State as its peers see it.
    pub state: MemberState,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address for gossip and synchronisation.
    pub peer_address: SocketAddr,
    /// Address for calls forwarded by other nodes.
    pub forward_address: SocketAddr,
    /// Target beside the node, if one has announced itself.
    pub target: Option<TargetRecord>,
    /// Configuration version that the node last reported in force.
    pub applied_version: ConfigVersion,
}

impl MemberRecord {
    /// Returns whether this record is newer than another of the same node.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        let own = (self.incarnation, self.state, self.sequence);
        own > (other.incarnation, other.state, other.sequence)
    }

    /// Returns whether calls may be sent to the node's target.
    pub fn is_available(&self) -> bool {
        let reachable = matches!(self.state, MemberState::Alive | MemberState::Suspect);
        reachable && self.target.as_ref().is_some_and(|target| !target.draining)
    }
}

/// A target that calls may be sent to, by way of its node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEndpoint {
    /// Node beside the target.
    pub node: NodeId,
    /// Failure domain of both.
    pub domain: DomainName,
    /// Address of the node for forwarded calls.
    pub forward_address: SocketAddr,
    /// Version that the target runs.
    pub version: VersionName,
    /// Calls that the target can run at once.
    pub slots: u32,
}

/// Nodes of the fleet by name, with an index from services to nodes.
///
/// Invariant: `by_service` lists exactly the nodes whose record names that service.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    records: HashMap<Arc<str>, Arc<MemberRecord>>,
    by_service: HashMap<ServiceKey, Vec<NodeId>>,
    floors: BTreeMap<NodeId, ConfigVersion>,
}

impl MemberTable {
    /// Takes over a record if it is newer than the present one; returns whether it was.
    ///
    /// The highest configuration version ever reported by a node is remembered over its restarts.
    pub fn merge(&mut self, record: MemberRecord) -> bool {
        self.raise_floor(&record.node, record.applied_version);
        let present = self.get(&record.node);
        if present.is_some_and(|present| !record.supersedes(present)) {
            return false;
        }
        self.unindex(&record.node);
        self.index(&record);
        let name = Arc::from(record.node.as_str());
        self.records.insert(name, Arc::new(record));
        true
    }

    /// Remembers that a node has had a configuration version in force.
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

    /// Drops floors of forgotten nodes that are not above this node's own version.
    ///
    /// A node answers a joining peer with its own version as well, so such a floor adds nothing.
    pub fn prune_floors(&mut self, own_version: ConfigVersion) {
        let records = &self.records;
        self.floors
            .retain(|node, floor| *floor > own_version || records.contains_key(node.as_str()));
    }

    /// Returns the number of nodes whose floor is remembered.
    pub fn floor_count(&self) -> usize {
        self.floors.len()
    }

    /// Returns the highest configuration version that a node is known to have had in force.
    pub fn floor_of(&self, node: &str) -> ConfigVersion {
        self.floors.get(node).copied().unwrap_or_default()
    }

    /// Returns the record of a node.
    pub fn get(&self, node: &str) -> Option<&MemberRecord> {
        self.records.get(node).map(Arc::as_ref)
    }

    /// Returns the shared name of a node, so that other tables need no copy of it.
    pub fn name_of(&self, node: &str) -> Option<Arc<str>> {
        let (name, _) = self.records.get_key_value(node)?;
        Some(name.clone())
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no node is known.
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

    /// Drops a node, keeping the floor known of it.
    pub fn forget(&mut self, node: &str) {
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
