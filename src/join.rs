//! Join of a starting node: determines the floor, the lowest configuration version that it may put in force.
//!
//! A node has no disk, so after a restart it does not know which version it had in force. It puts none in force
//! until it has read the head of the store, which names the newest accepted version, or, while the store is down,
//! until enough peers have replied.

use {
    crate::{
        blackboard::Blackboard,
        config_sync::{PeerReply, SyncError, pull_config_counted, request_join},
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

/// Longest random delay before a node joins; spreads out the joins after a mass restart.
const JOIN_JITTER: Duration = Duration::from_millis(500);

/// Largest number of concurrent join requests of one node.
const MAX_CONCURRENT_REQUESTS: usize = 3;

/// Largest number of peers that receive a join request in one round.
const MAX_PEERS_PER_ROUND: usize = 8;

/// First delay between two rounds and between two reads of the store; it doubles with each, and a random time
/// of up to the same length is added.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Largest value to which that delay doubles.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Longest wait for the member lists of peers once the head of the store is known.
const MEMBER_LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// Source from which the floor was determined.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FloorSource {
    /// The head of the store.
    #[display("store")]
    Store,
    /// Enough ready peers, after a read of the store failed.
    #[display("peers")]
    Peers,
    /// None: the join was cancelled before the floor was known.
    #[display("none, cancelled")]
    Cancelled,
}

/// Result of a join.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JoinOutcome {
    /// Source from which the floor was determined.
    pub source: FloorSource,
    /// Lowest version that may be put in force; 0 if cancelled.
    pub floor: ConfigVersion,
    /// Distinct peers that replied, ready or not.
    pub replies: usize,
}

/// A peer that routes calls already (its floor is known and reached), and the version that it has in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ReadyPeer {
    address: SocketAddr,
    version: ConfigVersion,
}

/// Results of the store and of peers during a join.
///
/// Invariant: `floor` is at least every version that a ready peer reported in force, and at least every
/// version that any peer remembers this node to have had in force.
#[derive(Clone, Debug, Default)]
pub struct JoinProgress {
    required: usize,
    store_head: Option<ConfigVersion>,
    has_store_failed: bool,
    ready_nodes: BTreeSet<NodeId>,
    replied_nodes: BTreeSet<NodeId>,
    ready_addresses: BTreeSet<SocketAddr>,
    newest_peer: Option<ReadyPeer>,
    floor: ConfigVersion,
}

impl JoinProgress {
    /// Returns a state that needs replies of `required` distinct ready peers (at least 1) while the store is down.
    pub fn new(required: usize) -> Self {
        Self {
            required: required.max(1),
            ..Self::default()
        }
    }

    /// Records the version that the head of the store names; it raises the floor.
    pub fn record_store_head(&mut self, version: ConfigVersion) {
        self.store_head = Some(version);
        self.floor = self.floor.max(version);
    }

    /// Records a failed read of the store; only then can replies of peers determine the floor.
    pub fn record_store_failure(&mut self) {
        self.has_store_failed = true;
    }

    /// Records the reply of a peer.
    ///
    /// A peer that is not ready may itself be behind, so its own version does not raise the floor and it does not
    /// count towards the quorum. The version that it remembers of this node does raise the floor.
    pub fn record_reply(&mut self, address: SocketAddr, peer_reply: &PeerReply) {
        let reply = &peer_reply.reply;
        self.replied_nodes.insert(peer_reply.node.clone());
        self.floor = self.floor.max(reply.floor);
        if !reply.ready {
            return;
        }
        self.floor = self.floor.max(reply.config_version);
        self.ready_nodes.insert(peer_reply.node.clone());
        self.ready_addresses.insert(address);
        let version = reply.config_version;
        if self.newest_peer.is_none_or(|peer| version > peer.version) {
            self.newest_peer = Some(ReadyPeer { address, version });
        }
    }

    /// Raises the floor to at least a version that this node knows otherwise, for example by gossip, to have had.
    pub fn raise_floor(&mut self, floor: ConfigVersion) {
        self.floor = self.floor.max(floor);
    }

    /// Returns the source that determines the floor, or none as long as more results are needed.
    pub fn source(&self) -> Option<FloorSource> {
        if self.store_head.is_some() {
            return Some(FloorSource::Store);
        }
        let is_enough = self.has_store_failed && self.ready_nodes.len() >= self.required;
        is_enough.then_some(FloorSource::Peers)
    }

    /// Returns the floor that follows from the results so far; it can be used once `source` returns one.
    pub fn floor(&self) -> ConfigVersion {
        self.floor
    }

    /// Returns the number of distinct peers that replied.
    pub fn replies(&self) -> usize {
        self.replied_nodes.len()
    }

    /// Returns whether the join can go on without more replies: enough peers are ready, or the head is known and enough
    /// peers have sent their member lists.
    fn needs_no_more_replies(&self) -> bool {
        let has_head_and_members =
            self.store_head.is_some() && self.replied_nodes.len() >= self.required;
        has_head_and_members || self.ready_nodes.len() >= self.required
    }
}

/// Joins the fleet: determines the floor, sets it in `ApplyGate`, and pulls the configuration of the ready peer with
/// the highest version.
///
/// `read_head` reads the version that the head of the store names; it is called again after a failure. Returns after
/// the pull, or when cancelled.
pub async fn join_and_find_floor<H, F, E>(
    settings: &NodeSettings,
    read_head: H,
    gossip: &GossipNode,
    board: &Blackboard,
    cancel: CancellationToken,
) -> JoinOutcome
where
    H: Fn() -> F,
    F: Future<Output = Result<ConfigVersion, E>>,
    E: std::fmt::Display,
{
    let progress = Mutex::new(JoinProgress::new(required_ready_peers(settings)));
    let join = join_fleet(settings, read_head, gossip, board, &progress);
    if cancel.run_until_cancelled(join).await.is_none() && !board.gate.is_floor_known() {
        return JoinOutcome {
            source: FloorSource::Cancelled,
            floor: 0,
            replies: progress.lock().replies(),
        };
    }
    let progress = progress.lock();
    JoinOutcome {
        source: progress.source().unwrap_or(FloorSource::Cancelled),
        floor: board.gate.floor(),
        replies: progress.replies(),
    }
}

async fn join_fleet<H, F, E>(
    settings: &NodeSettings,
    read_head: H,
    gossip: &GossipNode,
    board: &Blackboard,
    progress: &Mutex<JoinProgress>,
) where
    H: Fn() -> F,
    F: Future<Output = Result<ConfigVersion, E>>,
    E: std::fmt::Display,
{
    sleep(random_up_to(JOIN_JITTER)).await;
    let (store_failed, mut store_failure) = watch::channel(false);
    // `maybe_done`: all peers may reply before the store does, and the future is awaited again after its end.
    let mut peers = pin!(maybe_done(collect_replies(
        settings, gossip, board, progress
    )));
    let store = read_store_head(settings, read_head, progress, store_failed);
    let outage = async {
        peers.as_mut().await;
        // An error is impossible here: the sender lives as long as the reads of the store go on.
        let _ = store_failure.wait_for(|has_failed| *has_failed).await;
    };
    tokio::select! {
        () = store => set_gate_floor(settings, board, progress),
        () = outage => return finish_join(settings, gossip, board, progress).await,
    }
    let _ = timeout(MEMBER_LIST_TIMEOUT, peers).await;
    finish_join(settings, gossip, board, progress).await;
}

async fn finish_join(
    settings: &NodeSettings,
    gossip: &GossipNode,
    board: &Blackboard,
    progress: &Mutex<JoinProgress>,
) {
    // After a read of the store the floor is set already and stays: raising it to a version that peers have put in
    // force since would make a node that is ready unready again.
    if !board.gate.is_floor_known() {
        set_gate_floor(settings, board, progress);
    }
    let newest_peer = progress.lock().newest_peer;
    let lowest_useful = board.gate.floor().max(board.gate.version() + 1);
    let Some(newest_peer) = newest_peer.filter(|peer| peer.version >= lowest_useful) else {
        return;
    };
    let node = &settings.node.id;
    let pulled = pull_config_counted(newest_peer.address, node, board, gossip.counters()).await;
    if let Err(error) = pulled {
        // Gossip names another peer with a newer version within a probe interval.
        warn!(%error, "first pull failed; gossip will name another peer");
    }
}

fn set_gate_floor(settings: &NodeSettings, board: &Blackboard, progress: &Mutex<JoinProgress>) {
    let remembered = board.members.lock().floor_of(&settings.node.id);
    let mut progress = progress.lock();
    progress.raise_floor(remembered);
    board.gate.set_floor(progress.floor());
    let source = progress.source().map(|source| source.to_string());
    let replies = progress.replies();
    info!(
        node = %settings.node.id,
        ?source,
        floor = progress.floor(),
        replies,
        "found the floor, the lowest configuration version that this node may apply"
    );
}

async fn read_store_head<H, F, E>(
    settings: &NodeSettings,
    read_head: H,
    progress: &Mutex<JoinProgress>,
    store_failed: watch::Sender<bool>,
) where
    H: Fn() -> F,
    F: Future<Output = Result<ConfigVersion, E>>,
    E: std::fmt::Display,
{
    sleep(random_up_to(settings.gossip.join_spread)).await;
    let request_timeout = settings.platform.request_timeout;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        match timeout(request_timeout, read_head()).await {
            Ok(Ok(version)) => {
                progress.lock().record_store_head(version);
                return;
            }
            Ok(Err(error)) => warn!(%error, "read of the store's head failed; retrying"),
            Err(_) => {
                warn!(patience = ?request_timeout, "read of the store's head timed out; retrying")
            }
        }
        progress.lock().record_store_failure();
        store_failed.send_replace(true);
        sleep(retry_delay + random_up_to(retry_delay)).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

async fn collect_replies(
    settings: &NodeSettings,
    gossip: &GossipNode,
    board: &Blackboard,
    progress: &Mutex<JoinProgress>,
) {
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let candidates = choose_candidates(settings, board, &progress.lock().ready_addresses);
        let mut replies = stream::iter(candidates)
            .map(|address| async move { (address, request_join(address, gossip).await) })
            .buffer_unordered(MAX_CONCURRENT_REQUESTS);
        while let Some((address, peer_reply)) = replies.next().await {
            handle_reply(address, peer_reply, gossip, progress);
            if progress.lock().needs_no_more_replies() {
                return;
            }
        }
        sleep(retry_delay + random_up_to(retry_delay)).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

fn handle_reply(
    address: SocketAddr,
    peer_reply: Result<PeerReply, SyncError>,
    gossip: &GossipNode,
    progress: &Mutex<JoinProgress>,
) {
    match peer_reply {
        Ok(peer_reply) if peer_reply.node == gossip.own().node => {}
        Ok(peer_reply) => {
            gossip.apply_join_reply(&peer_reply.reply);
            progress.lock().record_reply(address, &peer_reply);
        }
        Err(error) => info!(%error, "join request failed; continuing with other peers"),
    }
}

/// Returns the peers of the next round: the seeds in random order, then members learned from earlier replies. This node
/// and peers that replied while ready are left out.
fn choose_candidates(
    settings: &NodeSettings,
    board: &Blackboard,
    ready_addresses: &BTreeSet<SocketAddr>,
) -> Vec<SocketAddr> {
    let own = settings.node.peer_address;
    let mut candidates = settings.gossip.seeds.clone();
    candidates.shuffle(&mut rand::rng());
    let mut members: Vec<SocketAddr> = board
        .members
        .lock()
        .iter()
        .map(|record| record.peer_address)
        .collect();
    members.shuffle(&mut rand::rng());
    candidates.extend(members);
    let mut excluded: BTreeSet<SocketAddr> = ready_addresses.clone();
    candidates.retain(|address| *address != own && excluded.insert(*address));
    candidates.truncate(MAX_PEERS_PER_ROUND);
    candidates
}

/// Returns the number of ready peers needed: `join_quorum`, or the number of other seeds if that is smaller.
fn required_ready_peers(settings: &NodeSettings) -> usize {
    let own = settings.node.peer_address;
    let seeds: BTreeSet<&SocketAddr> = settings.gossip.seeds.iter().collect();
    let others = seeds.iter().filter(|seed| ***seed != own).count();
    settings.gossip.join_quorum.min(others)
}

fn random_up_to(longest: Duration) -> Duration {
    longest.mul_f64(rand::rng().random::<f64>())
}
