//! Finds other nodes by their rows in the store and joins them; gossip then spreads the membership.
//!
//! The reply to a join lists all members. To limit the traffic, a node first joins nodes of its own failure domain,
//! and only the store reader of each domain joins nodes of other domains early.

use {
    super::{
        context::MeshContext,
        port::{PeerRow, PlatformPort, PortError},
        store_reader::is_domain_reader,
    },
    crate::{
        config_sync::request_join,
        gossip::member_events::target_of,
        ids::{ConfigVersion, NodeId},
        membership::{MemberRecord, MemberState},
        wire::JoinReply,
    },
    rand::seq::{IteratorRandom, SliceRandom},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
    tracing::{debug, info, warn},
};

/// Time between two reads of the rows while this node's own row is not written or it has no peers.
const INITIAL_LIST_PERIOD: Duration = Duration::from_millis(700);

/// Mean time between two reads of the rows by any node of the fleet. Each node multiplies it by the number of nodes,
/// so that the load of the store does not grow with the fleet.
const LIST_PERIOD_PER_NODE: Duration = Duration::from_secs(2);

/// Longest time after the first start of a fleet at which a node reads the rows. A node that peers have joined by then
/// reads none: it learns the other members from its peers.
const FIRST_LIST_SPREAD: Duration = Duration::from_secs(3);

/// Times after its first start at which a node joins a peer that it knows, to receive all members that the peer knows.
const FIRST_MEMBER_PULLS: [Duration; 2] =
    [Duration::from_millis(3200), Duration::from_millis(5500)];

/// Time between two rounds of joins.
const JOIN_PERIOD: Duration = Duration::from_millis(300);

/// Time for which a peer must have been unknown before the store reader of a domain joins nodes of other domains; its
/// own domain is joined by then.
const READER_REMOTE_DELAY: Duration = Duration::from_millis(400);

/// Time for which a peer must have been unknown before any node joins nodes of other domains.
const REMOTE_DELAY: Duration = Duration::from_secs(2);

/// Largest number of joins at the same time.
const MAX_JOINS: usize = 6;

/// First and longest time for which a node is not joined again after it was not reached at its address; doubles with
/// each failure. Rows of nodes that are gone for good stay in the store, and other nodes may have their addresses.
const UNREACHABLE_BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_secs(5), Duration::from_secs(300));

/// Rows of the store and the state of the search for nodes that are not members yet.
#[derive(Debug, Default)]
struct PeerSearch {
    rows: Vec<PeerRow>,
    /// Nodes that were not reached at their addresses.
    unreachable: HashMap<NodeId, UnreachableNode>,
    /// Since when some node of the rows is not a member.
    unknown_since: Option<Instant>,
    /// Times at which a known peer is joined although no node of the rows is unknown.
    pulls_at: Vec<Instant>,
}

/// When this node reads the rows.
#[derive(Debug)]
struct ListSchedule {
    /// Time of the last read, or of the start.
    since: Instant,
    /// Time to the next read while this node's own row is not written or it has no peers.
    initial_period: Duration,
    jitter: f64,
}

/// Backoff of a node that was not reached at the address of its row.
#[derive(Clone, Copy, Debug)]
struct UnreachableNode {
    /// Time until which the node is not joined again.
    until: Instant,
    backoff: Duration,
}

/// Writes this node's row to the store and joins the nodes of the other rows; runs until it is dropped.
pub async fn discover_peers(context: Arc<MeshContext>, port: PlatformPort) {
    let own = PeerRow {
        node: context.settings.node.id.clone(),
        domain: context.settings.node.failure_domain.clone(),
        peer_address: context.settings.node.peer_address,
    };
    let mut search = PeerSearch::default();
    let mut schedule = ListSchedule::new(context.settings.first_start);
    let mut written = false;
    if context.settings.first_start {
        search.pulls_at = FIRST_MEMBER_PULLS
            .map(|delay| Instant::now() + delay)
            .to_vec();
        written = log_failure((port.write_peer)(own.clone()).await).is_some();
    }
    loop {
        let peers = context.board.members.lock().len().saturating_sub(1) as u32;
        if schedule.is_due(peers, written) {
            // Since each node writes its row before it reads the rows, of any two nodes that read them at least one
            // sees the other.
            written = written || log_failure((port.write_peer)(own.clone()).await).is_some();
            if let Some(rows) = log_failure((port.list_peers)().await) {
                context.usage_caps.set_rows(&rows);
                search.rows = rows;
            }
            schedule.restart();
        }
        let joins = search.next_joins(&context, Instant::now());
        join_all(&context, joins, &mut search.unreachable).await;
        sleep(JOIN_PERIOD).await;
    }
}

impl ListSchedule {
    /// Returns the schedule of a node that starts now. `first_start` tells whether the whole fleet does.
    fn new(first_start: bool) -> Self {
        Self {
            since: Instant::now(),
            initial_period: match first_start {
                true => FIRST_LIST_SPREAD.mul_f64(rand::random::<f64>()),
                false => Duration::ZERO,
            },
            jitter: random_jitter(),
        }
    }

    /// Returns whether the rows are to be read. More peers make the next read later, also after the last one.
    fn is_due(&self, peers: u32, written: bool) -> bool {
        let period = match (written, peers) {
            (false, _) | (_, 0) => self.initial_period,
            // A node that starts in a running fleet needs the rows at once, whoever has found it.
            _ if self.initial_period.is_zero() => Duration::ZERO,
            (true, peers) => (LIST_PERIOD_PER_NODE * (peers + 1)).mul_f64(self.jitter),
        };
        self.since.elapsed() >= period
    }

    /// Starts the time to the next read.
    fn restart(&mut self) {
        self.since = Instant::now();
        self.jitter = random_jitter();
        self.initial_period = INITIAL_LIST_PERIOD.mul_f64(self.jitter);
    }
}

/// Returns a random factor near 1, so that nodes do not read at the same time.
fn random_jitter() -> f64 {
    0.8 + 0.4 * rand::random::<f64>()
}

fn log_failure<T>(result: Result<T, PortError>) -> Option<T> {
    result
        .inspect_err(
            |error| warn!(dependency = "store", %error, "rows of nodes not written or read; will retry later"),
        )
        .ok()
}

impl PeerSearch {
    /// Returns the nodes to join in this round.
    fn next_joins(&mut self, context: &MeshContext, now: Instant) -> Vec<PeerRow> {
        let (local, remote) = self.unknown_nodes(context, now);
        if local.is_empty() && remote.is_empty() {
            self.unknown_since = None;
            return self.due_pull(context, now).into_iter().collect();
        }
        let since = *self.unknown_since.get_or_insert(now);
        let remote_delay = match is_domain_reader(context) {
            true => READER_REMOTE_DELAY,
            false => REMOTE_DELAY,
        };
        let mut joins = local;
        if context.settings.first_start {
            // Nodes that have read the same rows join different ones, so that together they reach all of them soon.
            // After a restart, joins of the same nodes are fewer: these know the others first, and list them.
            joins.shuffle(&mut rand::rng());
        }
        if now >= since + remote_delay {
            joins.extend(remote);
        } else if joins.is_empty() {
            joins.extend(random_local_node(context));
        }
        joins.truncate(MAX_JOINS);
        joins
    }

    /// Returns a known peer to join for its members, if that is due.
    fn due_pull(&mut self, context: &MeshContext, now: Instant) -> Option<PeerRow> {
        if must_ask_peer(context) {
            return random_local_node(context).or_else(|| random_node(context, |_| true));
        }
        let due = self.pulls_at.iter().position(|at| *at <= now)?;
        let peer = random_local_node(context)?;
        self.pulls_at.remove(due);
        Some(peer)
    }

    /// Returns the nodes of the rows that are not members, split into those of the own failure domain and others.
    fn unknown_nodes(&self, context: &MeshContext, now: Instant) -> (Vec<PeerRow>, Vec<PeerRow>) {
        let own = &context.settings.node;
        let members = context.board.members.lock();
        let is_unknown = |row: &&PeerRow| {
            row.node != own.id
                && members.get(&row.node).is_none()
                && self
                    .unreachable
                    .get(&row.node)
                    .is_none_or(|unreachable| now >= unreachable.until)
        };
        let unknown_nodes = self.rows.iter().filter(is_unknown).cloned();
        unknown_nodes.partition(|row| row.domain == own.failure_domain)
    }
}

/// Returns a random live node of the own failure domain, which may have further members.
fn random_local_node(context: &MeshContext) -> Option<PeerRow> {
    let own = &context.settings.node;
    random_node(context, |record| record.domain == own.failure_domain)
}

/// Returns a random live node other than this one.
fn random_node(
    context: &MeshContext,
    is_wanted: impl Fn(&MemberRecord) -> bool,
) -> Option<PeerRow> {
    let members = context.board.members.lock();
    let neighbours = members.iter().filter(|record| {
        record.state == MemberState::Alive
            && record.node != context.settings.node.id
            && is_wanted(record)
    });
    let chosen = neighbours.choose(&mut rand::rng())?;
    Some(PeerRow {
        node: chosen.node.clone(),
        domain: chosen.domain.clone(),
        peer_address: chosen.peer_address,
    })
}

async fn join_all(
    context: &Arc<MeshContext>,
    joins: Vec<PeerRow>,
    unreachable: &mut HashMap<NodeId, UnreachableNode>,
) {
    let mut running = JoinSet::new();
    for row in joins {
        let context = context.clone();
        running.spawn(async move {
            let joined = join(&context, &row).await;
            (row.node, joined)
        });
    }
    while let Some(ended) = running.join_next().await {
        match ended {
            Ok((node, true)) => drop(unreachable.remove(&node)),
            Ok((node, false)) => {
                let previous = unreachable.get(&node);
                let backoff =
                    previous.map_or(UNREACHABLE_BACKOFF_RANGE.0, |previous| previous.backoff * 2);
                let backoff = backoff.min(UNREACHABLE_BACKOFF_RANGE.1);
                let until = Instant::now() + backoff;
                unreachable.insert(node, UnreachableNode { until, backoff });
            }
            Err(error) => warn!(%error, "a join task panicked"),
        }
    }
}

/// Returns whether keys of client accounts cannot be accepted until a peer has told which configuration version it
/// remembers of this node. A node that was found by its peers, for example while the store is away, joins none by itself.
fn must_ask_peer(context: &MeshContext) -> bool {
    let is_unasked = context.remembered_version.lock().is_none();
    is_unasked
        && context.gossip.store_confirmation_age().is_none()
        && context.board.gate.active().keys().has_accounts()
}

/// Takes over which configuration version was in force on this node before its restart; returns it.
fn restore_version(context: &MeshContext, reply: &JoinReply) -> ConfigVersion {
    let told = match reply.incarnation {
        // The peer has no record of this node. It may have dropped the version, which was not above its own then.
        0 => reply.floor.max(reply.config_version),
        _ => reply.floor,
    };
    let mut remembered = context.remembered_version.lock();
    let highest = remembered.map_or(told, |known| known.max(told));
    *remembered = Some(highest);
    highest
}

/// Takes over which target has left before this node was restarted.
fn restore_left_target(context: &MeshContext, reply: &JoinReply) {
    let Some(left) = &reply.left_target else {
        return;
    };
    let record = target_of(left);
    info!(
        decision = "registry",
        left = ?record.left,
        outcome = "left before the restart",
        "target has left according to a peer"
    );
    if context.registry.lock().restore_left(record) {
        context.publish_target();
    }
}

/// Joins a node and takes over the members that it returns; returns whether the node is that of the row. A newer
/// configuration is pulled later by gossip.
async fn join(context: &MeshContext, row: &PeerRow) -> bool {
    match request_join(row.peer_address, &context.gossip).await {
        Ok(answer) => {
            let members = context.gossip.apply_join_reply(&answer.reply);
            restore_left_target(context, &answer.reply);
            let remembered_version = restore_version(context, &answer.reply);
            // Also logged if another node than that of the row answered at the address; `peer` is the one that
            // answered.
            info!(peer = answer.node, members, remembered_version, "joined");
            answer.node == row.node
        }
        Err(error) => {
            debug!(peer = row.node, %error, "join request failed; a peer that is no member is retried later");
            false
        }
    }
}
