//! Start-up of a node without state.
//!
//! A node has no disk, so after a restart it does not know which version it had in force. It applies
//! nothing until it has read the head of the store or, while the store is down, heard enough peers.

use {
    crate::{
        blackboard::Blackboard,
        config_sync::{PeerReply, SyncError, ask_join, pull_counted},
        gossip::GossipNode,
        ids::{ConfigVersion, NodeId},
        settings::NodeSettings,
    },
    derive_more::Display,
    futures::{StreamExt, future::maybe_done, stream},
    parking_lot::Mutex,
    rand::{Rng, seq::SliceRandom},
    std::{collections::BTreeSet, future::Future, net::SocketAddr, pin::pin, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// Longest random delay before a node joins; spreads the joins after a mass restart.
const JOIN_JITTER: Duration = Duration::from_millis(500);

/// Peers asked at once by one joining node.
const ASKS_AT_ONCE: usize = 3;

/// Peers asked in one round.
const ROUND_ASKS: usize = 8;

/// Shortest pause between two rounds and between two reads of the store.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between two rounds and between two reads of the store.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Longest wait for peers once the head of the store is known.
const MEMBER_PATIENCE: Duration = Duration::from_secs(3);

/// What made the floor known.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FloorSource {
    /// The head of the store.
    #[display("store")]
    Store,
    /// Enough peers, while the store was down.
    #[display("peers")]
    Peers,
    /// Nothing: the node was told to stop before the floor was known.
    #[display("none, cancelled")]
    Cancelled,
}

/// How the start-up of a node ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JoinOutcome {
    /// What made the floor known.
    pub source: FloorSource,
    /// Lowest version that may be applied; 0 if cancelled.
    pub floor: ConfigVersion,
    /// Distinct peers that answered, ready or not.
    pub replies: usize,
}

/// A ready peer and the version that it has in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ReadyPeer {
    address: SocketAddr,
    version: ConfigVersion,
}

/// What a joining node has heard so far.
///
/// Invariant: `floor` is at least every version that a ready peer reported in force, and at least every
/// version that any peer remembers of this node.
#[derive(Clone, Debug, Default)]
pub struct JoinLedger {
    required: usize,
    head: Option<ConfigVersion>,
    has_store_failed: bool,
    ready: BTreeSet<NodeId>,
    replied: BTreeSet<NodeId>,
    settled: BTreeSet<SocketAddr>,
    best: Option<ReadyPeer>,
    floor: ConfigVersion,
}

impl JoinLedger {
    /// Starts a ledger that needs answers of `required` distinct ready peers while the store is down.
    pub fn new(required: usize) -> Self {
        Self {
            required: required.max(1),
            ..Self::default()
        }
    }

    /// Takes the version of the store's head.
    pub fn note_head(&mut self, version: ConfigVersion) {
        self.head = Some(version);
        self.floor = self.floor.max(version);
    }

    /// Takes a read of the store that failed; only then may peers stand in for it.
    pub fn note_store_failure(&mut self) {
        self.has_store_failed = true;
    }

    /// Takes the answer of a peer.
    ///
    /// A peer that is not ready may itself be behind, so its own version proves nothing and it does not
    /// count towards the quorum; what it remembers of this node does raise the floor.
    pub fn note_reply(&mut self, address: SocketAddr, answer: &PeerReply) {
        let reply = &answer.reply;
        self.replied.insert(answer.node.clone());
        self.floor = self.floor.max(reply.floor);
        if !reply.ready {
            return;
        }
        self.floor = self.floor.max(reply.config_version);
        self.ready.insert(answer.node.clone());
        self.settled.insert(address);
        let version = reply.config_version;
        if self.best.is_none_or(|best| version > best.version) {
            self.best = Some(ReadyPeer { address, version });
        }
    }

    /// Raises the floor to what this node has heard of itself by other ways.
    pub fn note_floor(&mut self, floor: ConfigVersion) {
        self.floor = self.floor.max(floor);
    }

    /// Returns what makes the floor known, if anything does.
    pub fn source(&self) -> Option<FloorSource> {
        if self.head.is_some() {
            return Some(FloorSource::Store);
        }
        let is_enough = self.has_store_failed && self.ready.len() >= self.required;
        is_enough.then_some(FloorSource::Peers)
    }

    /// Returns the lowest version that may be applied, as far as is known.
    pub fn floor(&self) -> ConfigVersion {
        self.floor
    }

    /// Returns the number of distinct peers that answered.
    pub fn replies(&self) -> usize {
        self.replied.len()
    }

    /// Returns whether asking more peers would change nothing.
    fn is_settled(&self) -> bool {
        let is_joined = self.head.is_some() && self.replied.len() >= self.required;
        is_joined || self.ready.len() >= self.required
    }
}

/// Finds the floor, opens the gate and pulls the configuration of the best peer.
///
/// `head` reads the version of the store's head; it is called again after a failure. Returns once the
/// floor is known, or when cancelled.
pub async fn find_floor<H, F, E>(
    settings: &NodeSettings,
    head: H,
    gossip: &GossipNode,
    board: &Blackboard,
    cancel: CancellationToken,
) -> JoinOutcome
where
    H: Fn() -> F,
    F: Future<Output = Result<ConfigVersion, E>>,
    E: std::fmt::Display,
{
    let ledger = Mutex::new(JoinLedger::new(required_replies(settings)));
    let joined = join_fleet(settings, head, gossip, board, &ledger);
    if cancel.run_until_cancelled(joined).await.is_none() && !board.gate.is_floor_known() {
        return JoinOutcome {
            source: FloorSource::Cancelled,
            floor: 0,
            replies: ledger.lock().replies(),
        };
    }
    let ledger = ledger.lock();
    JoinOutcome {
        source: ledger.source().unwrap_or(FloorSource::Cancelled),
        floor: board.gate.floor(),
        replies: ledger.replies(),
    }
}

async fn join_fleet<H, F, E>(
    settings: &NodeSettings,
    head: H,
    gossip: &GossipNode,
    board: &Blackboard,
    ledger: &Mutex<JoinLedger>,
) where
    H: Fn() -> F,
    F: Future<Output = Result<ConfigVersion, E>>,
    E: std::fmt::Display,
{
    sleep(random_part(JOIN_JITTER)).await;
    let (failed, mut has_failed) = watch::channel(false);
    // The peers may all have answered before the store does; the future is awaited again after its end.
    let mut peers = pin!(maybe_done(ask_peers(settings, gossip, board, ledger)));
    let store = ask_store(settings, head, ledger, failed);
    let outage = async {
        peers.as_mut().await;
        // The sender lives as long as the reads of the store go on.
        let _ = has_failed.wait_for(|failed| *failed).await;
    };
    tokio::select! {
        () = store => open_gate(settings, board, ledger),
        () = outage => return finish(settings, gossip, board, ledger).await,
    }
    let _ = timeout(MEMBER_PATIENCE, peers).await;
    finish(settings, gossip, board, ledger).await;
}

async fn finish(
    settings: &NodeSettings,
    gossip: &GossipNode,
    board: &Blackboard,
    ledger: &Mutex<JoinLedger>,
) {
    // After a read of the store the gate is open already. Its floor stays the head that was read: raising
    // it to what peers have accepted since would make a node that is ready unready again.
    if !board.gate.is_floor_known() {
        open_gate(settings, board, ledger);
    }
    let best = ledger.lock().best;
    let lowest = board.gate.floor().max(board.gate.version() + 1);
    let Some(best) = best.filter(|best| best.version >= lowest) else {
        return;
    };
    let node = &settings.node.id;
    let pulled = pull_counted(best.address, node, board, gossip.counters()).await;
    if let Err(error) = pulled {
        // The gossip brings another peer to pull from within a probe interval.
        warn!(%error, "first pull failed");
    }
}

fn open_gate(settings: &NodeSettings, board: &Blackboard, ledger: &Mutex<JoinLedger>) {
    let remembered = board.members.lock().floor_of(&settings.node.id);
    let mut ledger = ledger.lock();
    ledger.note_floor(remembered);
    board.gate.set_floor(ledger.floor());
    let source = ledger.source().map(|source| source.to_string());
    let replies = ledger.replies();
    info!(node = %settings.node.id, ?source, floor = ledger.floor(), replies, "floor is known");
}

async fn ask_store<H, F, E>(
    settings: &NodeSettings,
    head: H,
    ledger: &Mutex<JoinLedger>,
    failed: watch::Sender<bool>,
) where
    H: Fn() -> F,
    F: Future<Output = Result<ConfigVersion, E>>,
    E: std::fmt::Display,
{
    sleep(random_part(settings.gossip.join_spread)).await;
    let patience = settings.platform.request_timeout;
    let mut pause = MIN_PAUSE;
    loop {
        match timeout(patience, head()).await {
            Ok(Ok(version)) => {
                ledger.lock().note_head(version);
                return;
            }
            Ok(Err(error)) => warn!(%error, "read the head of the store"),
            Err(_) => warn!(?patience, "read the head of the store: no answer in time"),
        }
        ledger.lock().note_store_failure();
        failed.send_replace(true);
        sleep(pause + random_part(pause)).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

async fn ask_peers(
    settings: &NodeSettings,
    gossip: &GossipNode,
    board: &Blackboard,
    ledger: &Mutex<JoinLedger>,
) {
    let mut pause = MIN_PAUSE;
    loop {
        let candidates = choose_candidates(settings, board, &ledger.lock().settled);
        let mut answers = stream::iter(candidates)
            .map(|address| async move { (address, ask_join(address, gossip).await) })
            .buffer_unordered(ASKS_AT_ONCE);
        while let Some((address, answer)) = answers.next().await {
            take_answer(address, answer, gossip, ledger);
            if ledger.lock().is_settled() {
                return;
            }
        }
        sleep(pause + random_part(pause)).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

fn take_answer(
    address: SocketAddr,
    answer: Result<PeerReply, SyncError>,
    gossip: &GossipNode,
    ledger: &Mutex<JoinLedger>,
) {
    match answer {
        Ok(answer) if answer.node == gossip.own().node => {}
        Ok(answer) => {
            gossip.take_join_reply(&answer.reply);
            ledger.lock().note_reply(address, &answer);
        }
        Err(error) => info!(%error, "a peer did not answer the join"),
    }
}

/// Returns peers to ask in random order: the seeds first, then members learned from earlier answers.
fn choose_candidates(
    settings: &NodeSettings,
    board: &Blackboard,
    settled: &BTreeSet<SocketAddr>,
) -> Vec<SocketAddr> {
    let own = settings.node.peer_address;
    let mut candidates = settings.gossip.seeds.clone();
    candidates.shuffle(&mut rand::rng());
    let mut known: Vec<SocketAddr> = board
        .members
        .lock()
        .iter()
        .map(|record| record.peer_address)
        .collect();
    known.shuffle(&mut rand::rng());
    candidates.extend(known);
    let mut seen: BTreeSet<SocketAddr> = settled.clone();
    candidates.retain(|address| *address != own && seen.insert(*address));
    candidates.truncate(ROUND_ASKS);
    candidates
}

fn required_replies(settings: &NodeSettings) -> usize {
    let own = settings.node.peer_address;
    let seeds: BTreeSet<&SocketAddr> = settings.gossip.seeds.iter().collect();
    let others = seeds.iter().filter(|seed| ***seed != own).count();
    settings.gossip.join_quorum.min(others)
}

fn random_part(longest: Duration) -> Duration {
    longest.mul_f64(rand::rng().random::<f64>())
}
