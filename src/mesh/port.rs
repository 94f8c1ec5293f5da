//! What a node asks of the platform's store, as closures that an adapter fills in.

use {
    crate::{
        config::ConfigSnapshot,
        ids::{DomainName, NodeId, ServiceName, VersionName},
    },
    futures::future::BoxFuture,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
};

/// Position in a table's history; 0 asks for the present content.
pub type FeedPosition = u64;

/// Revision of a row; 0 means that the row does not exist.
pub type RowRevision = u64;

/// A request to the store that gave no usable answer.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum PortError {
    /// The history after the position asked for is gone.
    #[error("{step} at {peer}: the history is no longer available")]
    HistoryGone {
        /// What was being done.
        step: &'static str,
        /// Address of the store.
        peer: SocketAddr,
    },
    /// The store refused the request; nothing was done.
    #[error("{step} at {peer}: refused with status {status}")]
    Refused {
        /// What was being done.
        step: &'static str,
        /// Address of the store.
        peer: SocketAddr,
        /// Status of the answer.
        status: u16,
    },
    /// No answer came, or one that cannot be read; a write may have been done.
    #[error("{step} at {peer}: {cause}")]
    Unknown {
        /// What was being done.
        step: &'static str,
        /// Address of the store.
        peer: SocketAddr,
        /// What went wrong.
        cause: String,
    },
}

/// The operator's order to move a service to a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveOrder {
    /// Service to move.
    pub service: ServiceName,
    /// Version that is to take over.
    pub candidate: VersionName,
    /// Time within which the move must have ended.
    pub period: Duration,
    /// Revision of the order; a later order of the service has a higher one.
    pub revision: RowRevision,
}

/// State of a move as the operator and all nodes see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveState {
    /// The candidate receives a share of the calls.
    Running,
    /// The candidate receives all calls.
    Complete,
    /// The candidate receives none.
    RolledBack,
}

/// Progress of a move, kept in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRecord {
    /// Order that the move carries out.
    pub order: MoveOrder,
    /// State reached.
    pub state: MoveState,
    /// Share of the candidate in per mille while the move is running.
    pub permille: u32,
    /// Start of the move by the store's clock.
    pub started: Duration,
    /// Node that wrote the record.
    pub writer: NodeId,
    /// Why the state was reached.
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

/// What the operator wrote after some position.
#[derive(Clone, Debug, Default)]
pub struct OrderBatch {
    /// The newest configuration among it.
    pub config: Option<ConfigSnapshot>,
    /// Orders of moves among it.
    pub moves: Vec<MoveOrder>,
    /// Position to continue from.
    pub position: FeedPosition,
    /// Clock of the store when it answered.
    pub clock: Duration,
}

/// Move records written after some position.
#[derive(Clone, Debug, Default)]
pub struct MoveBatch {
    /// Records in the order of their writes.
    pub moves: Vec<StoredMove>,
    /// Position to continue from.
    pub position: FeedPosition,
    /// Clock of the store when it answered.
    pub clock: Duration,
}

/// Where a node can be found.
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

/// A write of a move record under the condition that its row has a revision.
#[derive(Clone, Debug)]
pub struct MoveWrite {
    /// Record to write.
    pub record: MoveRecord,
    /// Revision that the row must have.
    pub expected: RowRevision,
}

/// Answer that the adapter gives later.
pub type PortFuture<T> = BoxFuture<'static, Result<T, PortError>>;

/// Requests to the store.
#[derive(Clone)]
pub struct PlatformPort {
    /// Waits for what the operator writes after a position, for at most the time given.
    pub follow_orders: Arc<dyn Fn(FeedPosition, Duration) -> PortFuture<OrderBatch> + Send + Sync>,
    /// Waits for move records written after a position, for at most the time given.
    pub follow_moves: Arc<dyn Fn(FeedPosition, Duration) -> PortFuture<MoveBatch> + Send + Sync>,
    /// Writes a move record and what the operator sees of it; returns whether the condition held.
    pub write_move: Arc<dyn Fn(MoveWrite) -> PortFuture<bool> + Send + Sync>,
    /// Lists the nodes that have written where they are.
    pub list_peers: Arc<dyn Fn() -> PortFuture<Vec<PeerRow>> + Send + Sync>,
    /// Writes where this node is.
    pub write_peer: Arc<dyn Fn(PeerRow) -> PortFuture<()> + Send + Sync>,
    /// Removes where a node was.
    pub remove_peer: Arc<dyn Fn(NodeId) -> PortFuture<()> + Send + Sync>,
}
