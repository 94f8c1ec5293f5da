//! Settings of a node.

use {
    crate::ids::{DomainName, NodeId, OperatorName},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Checked settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Who the node is and where it listens.
    pub node: NodeSection,
    /// Where the platform's services are.
    pub platform: PlatformSection,
    /// How the node speaks with its peers.
    pub gossip: GossipSection,
    /// What the node logs.
    pub log: LogSection,
    /// Operators by their access token; names are unique.
    pub operators: BTreeMap<String, OperatorName>,
}

/// Who a node is and where it listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSection {
    /// Name of the node, unique in the fleet.
    pub id: NodeId,
    /// Region of the node.
    pub region: String,
    /// Failure domain of the node.
    pub failure_domain: DomainName,
    /// Address for callers and for the node's own target as a caller.
    pub call_address: SocketAddr,
    /// Address for calls forwarded by other nodes.
    pub forward_address: SocketAddr,
    /// Address for gossip (UDP) and synchronisation (TCP).
    pub peer_address: SocketAddr,
    /// Address for operators, target announcements and metrics.
    pub admin_address: SocketAddr,
}

/// Where the platform's services are and how long to wait for them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSection {
    /// URL of the table service.
    pub table_endpoint: String,
    /// Name of the table.
    pub table: String,
    /// URL of the object store.
    pub object_endpoint: String,
    /// Bucket for snapshots and contract texts.
    pub bucket: String,
    /// Region name used to sign requests.
    pub signing_region: String,
    /// Access key.
    pub access_key_id: String,
    /// Secret of the access key.
    pub secret_access_key: String,
    /// Longest time for one request.
    pub request_timeout: Duration,
    /// Idempotency records this node may write per second.
    pub key_writes_per_second: u32,
}

/// How a node speaks with its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipSection {
    /// Peer addresses to join through; any subset of the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time to wait for the answer to a probe.
    pub probe_timeout: Duration,
    /// Random members told at once of a new configuration version.
    pub push_fanout: usize,
    /// Peers that must answer at start when the store does not.
    pub join_quorum: usize,
}

/// What a node logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSection {
    /// Filter in the syntax of `tracing_subscriber::EnvFilter`.
    pub level: String,
    /// Share of per-call decisions that are logged, in per mille; refusals are always logged.
    pub call_sample_permille: u32,
}
