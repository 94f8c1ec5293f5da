//! Interface (port) of a node to the platform's store: closures that an adapter for the platform provides.

use {
    crate::{
        config::ConfigSnapshot,
        domain_drain::DomainDrain,
        ids::{DomainName, NodeId, ServiceName, VersionName},
    },
    futures::future::BoxFuture,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
};

/// Position in a table's change history; 0 asks for the current content of the table.
pub type FeedPosition = u64;

/// Revision of a row; 0 means that the row does not exist.
pub type RowRevision = u64;

/// Error of a request to the store.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum PortError {
    /// The store no longer has the changes after the requested position; the whole table must be read again.
    #[error("{step} at {peer}: the history is no longer available")]
    HistoryGone {
        /// Operation that failed.
        step: &'static str,
        /// Address of the store.
        peer: SocketAddr,
    },
    /// The store refused the request; nothing was written.
    #[error("{step} at {peer}: refused with status {status}")]
    Refused {
        /// Operation that failed.
        step: &'static str,
        /// Address of the store.
        peer: SocketAddr,
        /// HTTP status of the answer.
        status: u16,
    },
    /// No answer arrived or it could not be parsed; a write may have taken effect.
    #[error("{step} at {peer}: {cause}")]
    Unknown {
        /// Operation that failed.
        step: &'static str,
        /// Address of the store.
        peer: SocketAddr,
        /// Error text.
        cause: String,
    },
}

/// The operator's order to move (roll out) a service to a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveOrder {
    /// Service to move.
    pub service: ServiceName,
    /// Version that is to replace the stable one.
    pub candidate: VersionName,
    /// Time from the start of the move within which it must have ended.
    pub period: Duration,
    /// Revision of the order; a later order of the service has a higher one.
    pub revision: RowRevision,
}

/// State of a move, as shown to the operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveState {
    /// The candidate receives a share of the calls.
    Running,
    /// The candidate receives all calls.
    Complete,
    /// The candidate was rejected and receives no calls.
    RolledBack,
}

/// Progress of a move, kept in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRecord {
    /// Order that the move executes.
    pub order: MoveOrder,
    /// State after the last step.
    pub state: MoveState,
    /// Candidate's share of the calls in per mille while the move is running.
    pub permille: u32,
    /// Start of the move by the store's clock.
    pub started: Duration,
    /// Node that wrote the record.
    pub writer: NodeId,
    /// Reason for the last step, for logs.
    pub reason: String,
}

/// A move record with the revision of its row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredMove {
    /// Content of the row.
    pub record: MoveRecord,
    /// Revision of the row.
    pub revision: RowRevision,
}

/// Rows that the operator wrote after some position.
#[derive(Clone, Debug, Default)]
pub struct OrderBatch {
    /// Newest configuration among them; none if it did not change.
    pub config: Option<ConfigSnapshot>,
    /// Move orders among them.
    pub moves: Vec<MoveOrder>,
    /// Drains of failure domains that were ordered or ended among them.
    pub drains: Vec<DomainDrain>,
    /// Whether this is the whole table and not only its changes: drains that it does not name have ended.
    pub is_complete: bool,
    /// Position from which to continue reading.
    pub position: FeedPosition,
    /// The store's clock at the time of the answer.
    pub clock: Duration,
}

/// Move records written after some position.
#[derive(Clone, Debug, Default)]
pub struct MoveBatch {
    /// Records in the order of their writes.
    pub moves: Vec<StoredMove>,
    /// Position from which to continue reading.
    pub position: FeedPosition,
    /// The store's clock at the time of the answer.
    pub clock: Duration,
}

/// Row with the address of a node, by which other nodes find it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerRow {
    /// Name of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address for gossip and synchronisation.
    pub peer_address: SocketAddr,
}

/// Conditional write of a move record.
#[derive(Clone, Debug)]
pub struct MoveWrite {
    /// Record to write.
    pub record: MoveRecord,
    /// Revision that the row must have; otherwise nothing is written.
    pub expected: RowRevision,
}

/// Pending answer of the store.
pub type PortFuture<T> = BoxFuture<'static, Result<T, PortError>>;

/// Requests to the store.
#[derive(Clone)]
pub struct PlatformPort {
    /// Returns the operator's rows written after a position; waits for one for at most the time given. A request that
    /// does not wait uses no connection that was open before, since that may have gone silent.
    pub follow_orders: Arc<dyn Fn(FeedPosition, Duration) -> PortFuture<OrderBatch> + Send + Sync>,
    /// Returns the move records written after a position; waits for one for at most the time given.
    pub follow_moves: Arc<dyn Fn(FeedPosition, Duration) -> PortFuture<MoveBatch> + Send + Sync>,
    /// Writes a move record and the status row for the operator; returns whether the row had the expected revision.
    pub write_move: Arc<dyn Fn(MoveWrite) -> PortFuture<bool> + Send + Sync>,
    /// Returns the rows of all nodes.
    pub list_peers: Arc<dyn Fn() -> PortFuture<Vec<PeerRow>> + Send + Sync>,
    /// Writes the row of this node.
    pub write_peer: Arc<dyn Fn(PeerRow) -> PortFuture<()> + Send + Sync>,
    /// Removes the row of a node.
    pub remove_peer: Arc<dyn Fn(NodeId) -> PortFuture<()> + Send + Sync>,
}
