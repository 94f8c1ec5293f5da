//! Dissemination of configuration between nodes.

pub mod delta_history;
pub mod packing;

use {
    crate::{
        apply_gate::{ApplyError, ConfigSource},
        blackboard::Blackboard,
        config::{ConfigDelta, ConfigError, ConfigSnapshot, ServiceKey},
        gossip::{GossipNode, counters::GossipCounters, member_events::full_event},
        ids::{ConfigVersion, NodeId},
        mesh::move_board::KnownMoves,
        wire::{
            ConfigBusy, ConfigDeltaBody, ConfigFullBody, ConfigPull, EvidenceAsk, EvidenceReply,
            JoinAsk, JoinReply, MovesAsk, MovesReply, SyncBody,
        },
        wire_codec::{ConnectionError, FrameError, FrameStream, SyncStep, kind_of},
    },
    delta_history::DeltaHistory,
    packing::{PackingError, content_of},
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

/// Pulls and joins served at once; bounds memory and bandwidth in a reconnect storm.
pub const MAX_PULLS: usize = 16;

/// Connections open at once; more are closed at once.
const MAX_CONNECTIONS: usize = 256;

/// Longest time to open a connection.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);

/// Longest time to send or receive one frame.
const FRAME_PATIENCE: Duration = Duration::from_secs(5);

/// Shortest delay asked for in `ConfigBusy`.
const MIN_BUSY_MS: u32 = 100;

/// Longest delay asked for in `ConfigBusy`.
const MAX_BUSY_MS: u32 = 400;

/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How a pull ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PullOutcome {
    /// A newer configuration is in force.
    Applied {
        /// Its version.
        version: ConfigVersion,
    },
    /// The peer has nothing newer than this node.
    NothingNewer {
        /// Version of the peer.
        version: ConfigVersion,
    },
    /// The peer serves too many pulls.
    Busy {
        /// Delay that the peer asks for.
        retry_after: Duration,
    },
}

/// Why what a peer sent was not used.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// The content is not JSON of the expected type.
    #[error("content cannot be decoded: {0}")]
    Json(#[from] serde_json::Error),
    /// The content cannot be unpacked.
    #[error(transparent)]
    Packing(#[from] PackingError),
    /// The content is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configuration was not put in force.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

/// An exchange with a peer that failed.
#[derive(Debug, Error)]
pub enum SyncError {
    /// The connection failed or the peer broke the protocol.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The answer could not be used.
    #[error("{} with {peer}: {cause}", SyncStep::UseAnswer)]
    Answer {
        /// Address of the peer.
        peer: SocketAddr,
        /// Why.
        #[source]
        cause: AnswerError,
    },
    /// The peer serves too many requests.
    #[error("{} with {peer}: busy, retry after {retry_after:?}", SyncStep::Receive)]
    Busy {
        /// Address of the peer.
        peer: SocketAddr,
        /// Delay that the peer asks for.
        retry_after: Duration,
    },
}

/// Pulls a newer configuration from a peer and offers it to the gate.
pub async fn pull_config(
    address: SocketAddr,
    node: &NodeId,
    board: &Blackboard,
) -> Result<PullOutcome, SyncError> {
    pull_counted(address, node, board, &GossipCounters::default()).await
}

/// Does what `pull_config` does and counts the bytes.
///
/// If a delta does not lead to its hash, the whole configuration is pulled instead.
pub async fn pull_counted(
    address: SocketAddr,
    node: &NodeId,
    board: &Blackboard,
    counters: &GossipCounters,
) -> Result<PullOutcome, SyncError> {
    let have = board.gate.version();
    let first = pull_from(address, node, board, have, counters).await;
    match first {
        Err(SyncError::Answer {
            peer,
            cause: AnswerError::Config(cause),
        }) => {
            warn!(%peer, %cause, "a delta is refused; the whole configuration is pulled");
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
    let ask = SyncBody::ConfigPull(ConfigPull {
        have_version,
        reads_packed: true,
    });
    let answer = exchange(address, node, ask, counters).await?;
    let origin = ConfigSource::Peer(answer.peer_node);
    let used = match answer.body {
        SyncBody::ConfigDelta(body) => use_delta(&body, board, &origin),
        SyncBody::ConfigFull(body) => use_full(&body, board, &origin),
        SyncBody::ConfigBusy(busy) => Ok(busy_outcome(busy, have_version)),
        other => {
            let expected = "ConfigDelta, ConfigFull or ConfigBusy";
            return Err(unexpected(address, &other, expected));
        }
    };
    used.map_err(|cause| SyncError::Answer {
        peer: address,
        cause,
    })
}

fn busy_outcome(busy: ConfigBusy, have_version: ConfigVersion) -> PullOutcome {
    if busy.have_version > have_version || busy.retry_after_ms > 0 {
        let retry_after = Duration::from_millis(u64::from(busy.retry_after_ms.min(MAX_BUSY_MS)));
        return PullOutcome::Busy { retry_after };
    }
    PullOutcome::NothingNewer {
        version: busy.have_version,
    }
}

fn use_delta(
    body: &ConfigDeltaBody,
    board: &Blackboard,
    origin: &ConfigSource,
) -> Result<PullOutcome, AnswerError> {
    let content = content_of(&body.json, body.packed.as_ref())?;
    let delta: ConfigDelta = serde_json::from_slice(&content)?;
    let snapshot = board.gate.current().with_delta(&delta)?;
    offer(snapshot, board, origin)
}

fn use_full(
    body: &ConfigFullBody,
    board: &Blackboard,
    origin: &ConfigSource,
) -> Result<PullOutcome, AnswerError> {
    let content = content_of(&body.json, body.packed.as_ref())?;
    let snapshot: ConfigSnapshot = serde_json::from_slice(&content)?;
    let found = snapshot.content_hash();
    if found != body.hash {
        let expected = body.hash.clone();
        return Err(ConfigError::HashMismatch { expected, found }.into());
    }
    offer(snapshot, board, origin)
}

fn offer(
    snapshot: ConfigSnapshot,
    board: &Blackboard,
    origin: &ConfigSource,
) -> Result<PullOutcome, AnswerError> {
    let version = snapshot.version;
    board.gate.offer(snapshot, origin)?;
    Ok(PullOutcome::Applied { version })
}

/// Asks a peer for the evidence counters of a service.
pub async fn ask_evidence(
    address: SocketAddr,
    node: &NodeId,
    key: &ServiceKey,
) -> Result<EvidenceReply, SyncError> {
    ask_evidence_counted(address, node, key, &GossipCounters::default()).await
}

/// Does what `ask_evidence` does and counts the bytes.
pub async fn ask_evidence_counted(
    address: SocketAddr,
    node: &NodeId,
    key: &ServiceKey,
    counters: &GossipCounters,
) -> Result<EvidenceReply, SyncError> {
    let ask = SyncBody::EvidenceAsk(EvidenceAsk {
        customer: key.customer.clone(),
        service: key.service.clone(),
    });
    match exchange(address, node, ask, counters).await?.body {
        SyncBody::EvidenceReply(reply) => Ok(reply),
        other => Err(unexpected(address, &other, "EvidenceReply")),
    }
}

/// Asks a peer for the moves that it knows.
pub async fn ask_moves(address: SocketAddr, gossip: &GossipNode) -> Result<KnownMoves, SyncError> {
    let node = gossip.own().node;
    let ask = SyncBody::MovesAsk(MovesAsk {});
    match exchange(address, &node, ask, gossip.counters()).await?.body {
        SyncBody::MovesReply(reply) => {
            serde_json::from_slice(&reply.json).map_err(|cause| SyncError::Answer {
                peer: address,
                cause: cause.into(),
            })
        }
        other => Err(unexpected(address, &other, "MovesReply")),
    }
}

/// What a peer answered to a `JoinAsk`.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReply {
    /// Name that the peer gave in its `Hello`.
    pub node: NodeId,
    /// Its answer.
    pub reply: JoinReply,
}

/// Asks a peer what it knows of this node and the fleet.
pub async fn ask_join(address: SocketAddr, gossip: &GossipNode) -> Result<PeerReply, SyncError> {
    let own = gossip.own();
    let ask = SyncBody::JoinAsk(JoinAsk {
        record: Some(full_event(&own)),
    });
    let answer = exchange(address, &own.node, ask, gossip.counters()).await?;
    match answer.body {
        SyncBody::JoinReply(reply) => Ok(PeerReply {
            node: answer.peer_node,
            reply,
        }),
        SyncBody::ConfigBusy(busy) => Err(SyncError::Busy {
            peer: address,
            retry_after: Duration::from_millis(u64::from(busy.retry_after_ms.min(MAX_BUSY_MS))),
        }),
        other => Err(unexpected(address, &other, "JoinReply or ConfigBusy")),
    }
}

struct PeerAnswer {
    peer_node: NodeId,
    body: SyncBody,
}

/// Sends one request over a connection of its own.
async fn exchange(
    address: SocketAddr,
    node: &NodeId,
    ask: SyncBody,
    counters: &GossipCounters,
) -> Result<PeerAnswer, SyncError> {
    let stream = connect(address).await?;
    let mut frames = FrameStream::new(stream, address, FRAME_PATIENCE);
    let answer = request(&mut frames, node, ask).await;
    counters.frame_bytes_in.add(frames.bytes_in);
    counters.frame_bytes_out.add(frames.bytes_out);
    Ok(answer?)
}

async fn request(
    frames: &mut FrameStream<TcpStream>,
    node: &NodeId,
    ask: SyncBody,
) -> Result<PeerAnswer, ConnectionError> {
    let peer_node = frames.greet(node).await?;
    frames.send(ask).await?;
    let body = frames.receive().await?;
    Ok(PeerAnswer { peer_node, body })
}

async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectionError> {
    let opened = timeout(CONNECT_PATIENCE, TcpStream::connect(address)).await;
    let cause = match opened {
        Ok(Ok(stream)) => return Ok(stream),
        Ok(Err(error)) => FrameError::Io(error),
        Err(_) => FrameError::Silent(CONNECT_PATIENCE),
    };
    Err(ConnectionError {
        step: SyncStep::Connect,
        peer: address,
        cause,
    })
}

fn unexpected(peer: SocketAddr, found: &SyncBody, expected: &'static str) -> SyncError {
    SyncError::Connection(ConnectionError {
        step: SyncStep::Receive,
        peer,
        cause: FrameError::Unexpected {
            found: kind_of(found),
            expected,
        },
    })
}

/// What the connections of one node share.
struct SyncServer {
    gossip: GossipNode,
    board: Arc<Blackboard>,
    history: Mutex<DeltaHistory>,
    pulls: Semaphore,
    connections: Arc<Semaphore>,
}

/// Serves peers until cancelled, then ends the open connections.
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
        pulls: Semaphore::new(MAX_PULLS),
        connections: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
    });
    let tracker = TaskTracker::new();
    let recorder = server.clone();
    let recorder_cancel = cancel.clone();
    tracker.spawn(async move {
        recorder_cancel
            .run_until_cancelled(recorder.record_history())
            .await
    });
    loop {
        tokio::select! {
            () = cancel.cancelled() => break,
            accepted = listener.accept() => {
                server.clone().admit(accepted, &tracker, &cancel).await;
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

    async fn admit(
        self: Arc<Self>,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        tracker: &TaskTracker,
        cancel: &CancellationToken,
    ) {
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(%error, "accept a connection of a peer");
                sleep(ACCEPT_PAUSE).await;
                return;
            }
        };
        let Ok(permit) = self.connections.clone().try_acquire_owned() else {
            info!(%peer, "too many connections; this one is closed");
            return;
        };
        let cancel = cancel.clone();
        tracker.spawn(async move {
            cancel.run_until_cancelled(self.serve(stream, peer)).await;
            drop(permit);
        });
    }

    async fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        let counters = self.gossip.counters();
        let mut frames = FrameStream::new(stream, peer, FRAME_PATIENCE);
        if let Err(error) = self.serve_frames(&mut frames).await {
            self.log_end(&error);
        }
        counters.frame_bytes_in.add(frames.bytes_in);
        counters.frame_bytes_out.add(frames.bytes_out);
    }

    fn log_end(&self, error: &ConnectionError) {
        if matches!(error.cause, FrameError::Closed) {
            debug!(%error, "connection of a peer ended");
            return;
        }
        self.gossip.counters().connections_failed.add(1);
        warn!(%error, "connection of a peer is closed");
    }

    async fn serve_frames(
        &self,
        frames: &mut FrameStream<TcpStream>,
    ) -> Result<(), ConnectionError> {
        let node = self.gossip.own().node;
        frames.greet(&node).await?;
        loop {
            match frames.receive().await? {
                SyncBody::ConfigPull(pull) => self.serve_pull(frames, pull).await?,
                SyncBody::JoinAsk(ask) => self.serve_join(frames, ask).await?,
                SyncBody::EvidenceAsk(ask) => frames.send(self.evidence(ask)).await?,
                SyncBody::MovesAsk(_) => frames.send(self.moves()).await?,
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
            return frames.send(nothing_newer(version)).await;
        }
        let Ok(_permit) = self.pulls.try_acquire() else {
            return frames.send(self.busy(version)).await;
        };
        let answer = self.answer_pull(&pull);
        match answer {
            Some(answer) => frames.send(answer).await,
            None => frames.send(self.busy(version)).await,
        }
    }

    /// Records first: the task that records may not yet have seen the version that was just applied.
    fn answer_pull(&self, pull: &ConfigPull) -> Option<SyncBody> {
        let mut history = self.history.lock();
        history.record(self.board.gate.current());
        match pull.reads_packed {
            true => history.packed_answer(pull.have_version),
            false => history.answer(pull.have_version),
        }
    }

    async fn serve_join(
        &self,
        frames: &mut FrameStream<TcpStream>,
        ask: JoinAsk,
    ) -> Result<(), ConnectionError> {
        let Ok(_permit) = self.pulls.try_acquire() else {
            return frames.send(self.busy(self.board.gate.version())).await;
        };
        let reply = self.gossip.answer_join(ask.record.as_ref());
        frames.send(SyncBody::JoinReply(reply)).await
    }

    fn busy(&self, have_version: ConfigVersion) -> SyncBody {
        self.gossip.counters().requests_busy.add(1);
        let retry_after_ms = rand::rng().random_range(MIN_BUSY_MS..=MAX_BUSY_MS);
        SyncBody::ConfigBusy(ConfigBusy {
            retry_after_ms,
            have_version,
        })
    }

    fn moves(&self) -> SyncBody {
        let known = self.board.moves.lock().known();
        let json = serde_json::to_vec(&known).expect("moves have only string keys");
        SyncBody::MovesReply(MovesReply { json })
    }

    fn evidence(&self, ask: EvidenceAsk) -> SyncBody {
        let key = ServiceKey {
            customer: ask.customer,
            service: ask.service,
        };
        let incarnation = self.gossip.start_number();
        let counters = self.board.evidence.lock().counters_of(&key);
        SyncBody::EvidenceReply(EvidenceReply {
            incarnation,
            counters,
        })
    }
}

fn nothing_newer(have_version: ConfigVersion) -> SyncBody {
    SyncBody::ConfigBusy(ConfigBusy {
        retry_after_ms: 0,
        have_version,
    })
}
