//! Exchanges between two nodes over TCP: configurations, join requests, evidence counters and moves.
//!
//! Both sides of a connection send `Hello`; then the side that opened it sends requests and the other responds. The
//! functions here open a new connection for each request.

pub mod delta_history;
pub mod packing;

use {
    crate::{
        apply_gate::{ApplyError, ConfigSource},
        blackboard::Blackboard,
        config::{ConfigDelta, ConfigError, ConfigSnapshot, ServiceKey},
        domain_drain::DomainDrain,
        gossip::{GossipNode, counters::GossipCounters, member_events::full_event},
        ids::{ConfigVersion, NodeId},
        mesh::move_table::MoveSnapshot,
        wire::{
            ConfigBusy, ConfigDeltaBody, ConfigFullBody, ConfigPull, EvidenceAsk, EvidenceReply,
            JoinAsk, JoinReply, MovesAsk, MovesReply, SyncBody,
        },
        wire_codec::{ConnectionError, FrameError, FrameStream, SyncStep, frame_kind_name},
    },
    delta_history::DeltaHistory,
    packing::{PackingError, unpack_content},
    parking_lot::Mutex,
    rand::Rng,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
    tracing::{debug, info, warn},
};

/// Largest number of pulls and joins served concurrently; bounds memory and bandwidth in a reconnect storm.
pub const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Largest number of open connections; further ones are closed on accept.
const MAX_CONNECTIONS: usize = 256;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit to send or receive one frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// Shortest retry delay that a busy node sends in `ConfigBusy`; the delay is random, so that retries spread out.
const MIN_RETRY_AFTER_MS: u32 = 100;

/// Longest retry delay that a node sends in `ConfigBusy`, and the longest that it accepts from a peer.
const MAX_RETRY_AFTER_MS: u32 = 400;

/// Delay before the next accept after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Result of a pull that reached the peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PullOutcome {
    /// A newer configuration was received and put in force.
    Applied {
        /// Version now in force.
        version: ConfigVersion,
    },
    /// The peer has nothing newer than this node.
    NothingNewer {
        /// Version that the peer has in force.
        version: ConfigVersion,
    },
    /// The peer already serves as many requests as it may.
    Busy {
        /// Time after which the pull may be tried again.
        retry_after: Duration,
    },
}

/// Reason why the content of a response was rejected.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The content is not JSON of the expected type.
    #[error("content cannot be decoded: {0}")]
    Json(#[from] serde_json::Error),
    /// The content cannot be decompressed.
    #[error(transparent)]
    Packing(#[from] PackingError),
    /// A delta does not fit the configuration in force, or the content does not match its hash.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// `ApplyGate` rejected the configuration.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

/// An exchange with a peer that failed.
#[derive(Debug, Error)]
pub enum SyncError {
    /// The connection failed or the peer broke the protocol.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The content of the response was rejected.
    #[error("{} with {peer}: {cause}", SyncStep::ProcessResponse)]
    Response {
        /// Address of the peer.
        peer: SocketAddr,
        /// Reason for the rejection.
        #[source]
        cause: ResponseError,
    },
    /// The peer already serves as many requests as it may.
    #[error("{} with {peer}: busy, retry after {retry_after:?}", SyncStep::Receive)]
    Busy {
        /// Address of the peer.
        peer: SocketAddr,
        /// Time after which the request may be tried again.
        retry_after: Duration,
    },
}

/// Requests a newer configuration from a peer and puts it in force if `ApplyGate` accepts it.
pub async fn pull_config(
    address: SocketAddr,
    node: &NodeId,
    board: &Blackboard,
) -> Result<PullOutcome, SyncError> {
    pull_config_counted(address, node, board, &GossipCounters::default()).await
}

/// Pulls like `pull_config` and adds the bytes of the exchange to `counters`.
///
/// If a delta does not fit the configuration in force, or the result does not match the hash, the whole
/// configuration is pulled instead.
pub async fn pull_config_counted(
    address: SocketAddr,
    node: &NodeId,
    board: &Blackboard,
    counters: &GossipCounters,
) -> Result<PullOutcome, SyncError> {
    let own_version = board.gate.version();
    let first_attempt = pull_from(address, node, board, own_version, counters).await;
    match first_attempt {
        Err(SyncError::Response {
            peer,
            cause: ResponseError::Config(cause),
        }) => {
            warn!(%peer, %cause, "configuration from the peer rejected; pulling it whole");
            pull_from(address, node, board, 0, counters).await
        }
        other => other,
    }
}

async fn pull_from(
    address: SocketAddr,
    node: &NodeId,
    board: &Blackboard,
    have_version: ConfigVersion,
    counters: &GossipCounters,
) -> Result<PullOutcome, SyncError> {
    let request = SyncBody::ConfigPull(ConfigPull {
        have_version,
        reads_packed: true,
    });
    let response = exchange(address, node, request, counters).await?;
    let origin = ConfigSource::Peer(response.peer_node);
    let outcome = match response.body {
        SyncBody::ConfigDelta(body) => apply_delta(&body, board, &origin),
        SyncBody::ConfigFull(body) => apply_full(&body, board, &origin),
        SyncBody::ConfigBusy(busy) => Ok(busy_outcome(busy, have_version)),
        other => {
            let expected = "ConfigDelta, ConfigFull or ConfigBusy";
            return Err(unexpected_frame(address, &other, expected));
        }
    };
    outcome.map_err(|cause| SyncError::Response {
        peer: address,
        cause,
    })
}

/// Interprets `ConfigBusy`: without a delay and without a newer version it means that the peer has nothing newer.
fn busy_outcome(busy: ConfigBusy, have_version: ConfigVersion) -> PullOutcome {
    if busy.have_version > have_version || busy.retry_after_ms > 0 {
        let retry_after =
            Duration::from_millis(u64::from(busy.retry_after_ms.min(MAX_RETRY_AFTER_MS)));
        return PullOutcome::Busy { retry_after };
    }
    PullOutcome::NothingNewer {
        version: busy.have_version,
    }
}

fn apply_delta(
    body: &ConfigDeltaBody,
    board: &Blackboard,
    origin: &ConfigSource,
) -> Result<PullOutcome, ResponseError> {
    let content = unpack_content(&body.json, body.packed.as_ref())?;
    let delta: ConfigDelta = serde_json::from_slice(&content)?;
    let snapshot = board.gate.current().with_delta(&delta)?;
    offer_to_gate(snapshot, board, origin)
}

fn apply_full(
    body: &ConfigFullBody,
    board: &Blackboard,
    origin: &ConfigSource,
) -> Result<PullOutcome, ResponseError> {
    let content = unpack_content(&body.json, body.packed.as_ref())?;
    let snapshot: ConfigSnapshot = serde_json::from_slice(&content)?;
    let found = snapshot.content_hash();
    if found != body.hash {
        let expected = body.hash.clone();
        return Err(ConfigError::HashMismatch { expected, found }.into());
    }
    offer_to_gate(snapshot, board, origin)
}

fn offer_to_gate(
    snapshot: ConfigSnapshot,
    board: &Blackboard,
    origin: &ConfigSource,
) -> Result<PullOutcome, ResponseError> {
    let version = snapshot.version;
    board.gate.try_apply(snapshot, origin)?;
    Ok(PullOutcome::Applied { version })
}

/// Requests the evidence counters of a service, its counts of calls and failures, from a peer.
pub async fn request_evidence(
    address: SocketAddr,
    node: &NodeId,
    key: &ServiceKey,
) -> Result<EvidenceReply, SyncError> {
    request_evidence_counted(address, node, key, &GossipCounters::default()).await
}

/// Requests like `request_evidence` and adds the bytes of the exchange to `counters`.
pub async fn request_evidence_counted(
    address: SocketAddr,
    node: &NodeId,
    key: &ServiceKey,
    counters: &GossipCounters,
) -> Result<EvidenceReply, SyncError> {
    let request = SyncBody::EvidenceAsk(EvidenceAsk {
        customer: key.customer.clone(),
        service: key.service.clone(),
    });
    match exchange(address, node, request, counters).await?.body {
        SyncBody::EvidenceReply(reply) => Ok(reply),
        other => Err(unexpected_frame(address, &other, "EvidenceReply")),
    }
}

/// Moves and drains that a peer knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerOrders {
    /// Moves: changes of a service from one version to another.
    pub moves: MoveSnapshot,
    /// Drains of failure domains.
    pub drains: Vec<DomainDrain>,
}

/// Requests the moves and drains that a peer knows.
pub async fn request_moves(
    address: SocketAddr,
    gossip: &GossipNode,
) -> Result<PeerOrders, SyncError> {
    let node = gossip.own().node;
    let request = SyncBody::MovesAsk(MovesAsk {});
    match exchange(address, &node, request, gossip.counters())
        .await?
        .body
    {
        SyncBody::MovesReply(reply) => parse_orders(&reply).map_err(|cause| SyncError::Response {
            peer: address,
            cause,
        }),
        other => Err(unexpected_frame(address, &other, "MovesReply")),
    }
}

fn parse_orders(reply: &MovesReply) -> Result<PeerOrders, ResponseError> {
    let drains = match reply.drains_json.is_empty() {
        true => Vec::new(),
        false => serde_json::from_slice(&reply.drains_json)?,
    };
    Ok(PeerOrders {
        moves: serde_json::from_slice(&reply.json)?,
        drains,
    })
}

/// Reply to a `JoinAsk`, with the name of the peer that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReply {
    /// Node name from the `Hello` of the peer.
    pub node: NodeId,
    /// Content of the reply.
    pub reply: JoinReply,
}

/// Sends this node's record to a peer; requests its version in force, its member list, and the highest version and
/// incarnation that it remembers of this node.
pub async fn request_join(
    address: SocketAddr,
    gossip: &GossipNode,
) -> Result<PeerReply, SyncError> {
    let own = gossip.own();
    let request = SyncBody::JoinAsk(JoinAsk {
        record: Some(full_event(&own)),
    });
    let response = exchange(address, &own.node, request, gossip.counters()).await?;
    match response.body {
        SyncBody::JoinReply(reply) => Ok(PeerReply {
            node: response.peer_node,
            reply,
        }),
        SyncBody::ConfigBusy(busy) => Err(SyncError::Busy {
            peer: address,
            retry_after: Duration::from_millis(u64::from(
                busy.retry_after_ms.min(MAX_RETRY_AFTER_MS),
            )),
        }),
        other => Err(unexpected_frame(address, &other, "JoinReply or ConfigBusy")),
    }
}

struct PeerResponse {
    peer_node: NodeId,
    body: SyncBody,
}

/// Sends one request over a new connection and counts the bytes, also when it fails.
async fn exchange(
    address: SocketAddr,
    node: &NodeId,
    request: SyncBody,
    counters: &GossipCounters,
) -> Result<PeerResponse, SyncError> {
    let stream = connect(address).await?;
    let mut frames = FrameStream::new(stream, address, FRAME_TIMEOUT);
    let response = send_request(&mut frames, node, request).await;
    counters.frame_bytes_in.add(frames.bytes_in);
    counters.frame_bytes_out.add(frames.bytes_out);
    Ok(response?)
}

async fn send_request(
    frames: &mut FrameStream<TcpStream>,
    node: &NodeId,
    request: SyncBody,
) -> Result<PeerResponse, ConnectionError> {
    let peer_node = frames.handshake(node).await?;
    frames.send(request).await?;
    let body = frames.receive().await?;
    Ok(PeerResponse { peer_node, body })
}

async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectionError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let cause = match connected {
        Ok(Ok(stream)) => return Ok(stream),
        Ok(Err(error)) => FrameError::Io(error),
        Err(_) => FrameError::TimedOut(CONNECT_TIMEOUT),
    };
    Err(ConnectionError {
        step: SyncStep::Connect,
        peer: address,
        cause,
    })
}

fn unexpected_frame(peer: SocketAddr, found: &SyncBody, expected: &'static str) -> SyncError {
    SyncError::Connection(ConnectionError {
        step: SyncStep::Receive,
        peer,
        cause: FrameError::Unexpected {
            found: frame_kind_name(found),
            expected,
        },
    })
}

/// State shared by all connections that one node serves.
struct SyncServer {
    gossip: GossipNode,
    board: Arc<Blackboard>,
    history: Mutex<DeltaHistory>,
    request_permits: Semaphore,
    connection_permits: Arc<Semaphore>,
}

/// Accepts connections of peers until cancelled, then ends the open ones and waits for their tasks.
pub async fn serve_sync(
    listener: TcpListener,
    gossip: GossipNode,
    board: Arc<Blackboard>,
    cancel: CancellationToken,
) {
    let server = Arc::new(SyncServer {
        gossip,
        history: Mutex::new(DeltaHistory::new(board.gate.current())),
        board,
        request_permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
        connection_permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
    });
    let tracker = TaskTracker::new();
    let history_server = server.clone();
    let history_cancel = cancel.clone();
    tracker.spawn(async move {
        history_cancel
            .run_until_cancelled(history_server.record_history())
            .await
    });
    loop {
        tokio::select! {
            () = cancel.cancelled() => break,
            accepted = listener.accept() => {
                server.clone().handle_accepted(accepted, &tracker, &cancel).await;
            }
        }
    }
    tracker.close();
    tracker.wait().await;
}

impl SyncServer {
    async fn record_history(&self) {
        let mut applied = self.board.gate.subscribe();
        loop {
            self.history.lock().record(self.board.gate.current());
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    async fn handle_accepted(
        self: Arc<Self>,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        tracker: &TaskTracker,
        cancel: &CancellationToken,
    ) {
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(%error, "accepting a peer connection failed; retrying after a pause");
                sleep(ACCEPT_RETRY_DELAY).await;
                return;
            }
        };
        let Ok(permit) = self.connection_permits.clone().try_acquire_owned() else {
            info!(%peer, "too many open connections; closing this one");
            return;
        };
        let cancel = cancel.clone();
        tracker.spawn(async move {
            cancel
                .run_until_cancelled(self.serve_connection(stream, peer))
                .await;
            drop(permit);
        });
    }

    async fn serve_connection(&self, stream: TcpStream, peer: SocketAddr) {
        let counters = self.gossip.counters();
        let mut frames = FrameStream::new(stream, peer, FRAME_TIMEOUT);
        if let Err(error) = self.serve_frames(&mut frames).await {
            self.log_connection_end(&error);
        }
        counters.frame_bytes_in.add(frames.bytes_in);
        counters.frame_bytes_out.add(frames.bytes_out);
    }

    fn log_connection_end(&self, error: &ConnectionError) {
        if matches!(error.cause, FrameError::Closed) {
            debug!(%error, "peer closed its connection");
            return;
        }
        self.gossip.counters().connections_failed.add(1);
        warn!(%error, "connection of a peer failed and is closed");
    }

    async fn serve_frames(
        &self,
        frames: &mut FrameStream<TcpStream>,
    ) -> Result<(), ConnectionError> {
        let node = self.gossip.own().node;
        frames.handshake(&node).await?;
        loop {
            match frames.receive().await? {
                SyncBody::ConfigPull(pull) => self.serve_pull(frames, pull).await?,
                SyncBody::JoinAsk(request) => self.serve_join(frames, request).await?,
                SyncBody::EvidenceAsk(request) => {
                    frames.send(self.build_evidence_reply(request)).await?
                }
                SyncBody::MovesAsk(_) => frames.send(self.build_moves_reply()).await?,
                other => {
                    let expected = "ConfigPull, JoinAsk, EvidenceAsk or MovesAsk";
                    return Err(frames.unexpected(&other, expected));
                }
            }
        }
    }

    async fn serve_pull(
        &self,
        frames: &mut FrameStream<TcpStream>,
        pull: ConfigPull,
    ) -> Result<(), ConnectionError> {
        let version = self.board.gate.version();
        if version <= pull.have_version {
            return frames.send(build_nothing_newer_response(version)).await;
        }
        let Ok(_permit) = self.request_permits.try_acquire() else {
            return frames.send(self.build_busy_response(version)).await;
        };
        let response = self.build_pull_response(&pull);
        match response {
            Some(response) => frames.send(response).await,
            None => frames.send(self.build_busy_response(version)).await,
        }
    }

    /// Returns the frame for a pull, or none if there is no configuration or it cannot be encoded.
    ///
    /// Records the configuration in force first, since the task of `record_history` may not have run yet after the
    /// last change.
    fn build_pull_response(&self, pull: &ConfigPull) -> Option<SyncBody> {
        let mut history = self.history.lock();
        history.record(self.board.gate.current());
        match pull.reads_packed {
            true => history.packed_response_for(pull.have_version),
            false => history.response_for(pull.have_version),
        }
    }

    async fn serve_join(
        &self,
        frames: &mut FrameStream<TcpStream>,
        request: JoinAsk,
    ) -> Result<(), ConnectionError> {
        let Ok(_permit) = self.request_permits.try_acquire() else {
            return frames
                .send(self.build_busy_response(self.board.gate.version()))
                .await;
        };
        let reply = self.gossip.handle_join_request(request.record.as_ref());
        frames.send(SyncBody::JoinReply(reply)).await
    }

    fn build_busy_response(&self, have_version: ConfigVersion) -> SyncBody {
        self.gossip.counters().requests_busy.add(1);
        let retry_after_ms = rand::rng().random_range(MIN_RETRY_AFTER_MS..=MAX_RETRY_AFTER_MS);
        SyncBody::ConfigBusy(ConfigBusy {
            retry_after_ms,
            have_version,
        })
    }

    fn build_moves_reply(&self) -> SyncBody {
        let snapshot = self.board.moves.lock().snapshot();
        let json = serde_json::to_vec(&snapshot).expect("moves have only string keys");
        let drains = self.board.drains.lock().snapshot();
        let drains_json = match drains.is_empty() {
            true => Vec::new(),
            false => serde_json::to_vec(&drains).expect("drains have only string keys"),
        };
        SyncBody::MovesReply(MovesReply { json, drains_json })
    }

    fn build_evidence_reply(&self, request: EvidenceAsk) -> SyncBody {
        let key = ServiceKey {
            customer: request.customer,
            service: request.service,
        };
        let incarnation = self.gossip.process_epoch();
        let counters = self.board.evidence.lock().counters_of(&key);
        SyncBody::EvidenceReply(EvidenceReply {
            incarnation,
            counters,
        })
    }
}

fn build_nothing_newer_response(have_version: ConfigVersion) -> SyncBody {
    SyncBody::ConfigBusy(ConfigBusy {
        retry_after_ms: 0,
        have_version,
    })
}
