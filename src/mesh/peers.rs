//! Finds the other nodes by rows of the store; gossip does the rest.
//!
//! An answer to a join lists all members, so nodes ask those of their own failure domain first, and one node of each
//! domain asks in the others.

use {
    super::{
        context::MeshContext,
        port::{PeerRow, PlatformPort, PortError},
        store_duty::is_reader,
    },
    crate::{config_sync::ask_join, ids::NodeId, membership::MemberState},
    rand::seq::IteratorRandom,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
    tracing::{debug, info, warn},
};

/// Time between two looks at the rows while this node's own row is not written or it knows no peer.
const EAGER_PERIOD: Duration = Duration::from_millis(700);

/// Time between two looks at the rows by some node of the fleet. Each node looks so much more seldom as there are
/// nodes, so that the load of the store does not grow with them.
const FLEET_PERIOD: Duration = Duration::from_secs(2);

/// Time between two rounds of joins with the nodes of the rows last read.
const JOIN_PERIOD: Duration = Duration::from_millis(300);

/// Time after which the first node of a domain asks unknown nodes of other domains; its own domain is known by then.
const FIRST_FOREIGN: Duration = Duration::from_millis(400);

/// Time after which any node does.
const ANY_FOREIGN: Duration = Duration::from_secs(2);

/// Nodes that are asked at once.
const MAX_JOINS: usize = 6;

/// First and longest time for which a node that was not met at its address is not asked again. Rows of nodes that are
/// gone for good stay in the store, and other nodes may have their addresses.
const ABSENT_PAUSE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(300));

/// Nodes of the rows that are yet to be met.
#[derive(Debug, Default)]
struct PeerSearch {
    rows: Vec<PeerRow>,
    /// Nodes that were not met at their addresses.
    absent: HashMap<NodeId, AbsentNode>,
    /// Since when some node of the rows is unknown.
    unknown_since: Option<Instant>,
}

/// A node that was not met at the address of its row.
#[derive(Clone, Copy, Debug)]
struct AbsentNode {
    /// Until when it is not asked again.
    until: Instant,
    pause: Duration,
}

/// Writes where this node is, and joins the nodes that it finds, without end.
pub async fn find_peers(context: Arc<MeshContext>, port: PlatformPort) {
    let own = PeerRow {
        node: context.settings.node.id.clone(),
        domain: context.settings.node.failure_domain.clone(),
        peer_address: context.settings.node.peer_address,
    };
    let mut search = PeerSearch::default();
    let mut written = false;
    let mut list_at = Instant::now();
    loop {
        if Instant::now() >= list_at {
            // A node that lists after its own write sees each node that has not yet listed, or is seen by it.
            written = written || report_failure((port.write_peer)(own.clone()).await).is_some();
            if let Some(rows) = report_failure((port.list_peers)().await) {
                search.rows = rows;
            }
            list_at = Instant::now() + list_period(&context, written);
        }
        let asked = search.next_asked(&context, Instant::now());
        join_all(&context, asked, &mut search.absent).await;
        sleep(JOIN_PERIOD).await;
    }
}

fn list_period(context: &MeshContext, written: bool) -> Duration {
    let peers = context.board.members.lock().len().saturating_sub(1) as u32;
    let period = match (written, peers) {
        (false, _) | (_, 0) => EAGER_PERIOD,
        (true, peers) => FLEET_PERIOD * (peers + 1),
    };
    period.mul_f64(0.8 + 0.4 * rand::random::<f64>())
}

fn report_failure<T>(result: Result<T, PortError>) -> Option<T> {
    result
        .inspect_err(|error| warn!(dependency = "store", %error, "peers not read or written"))
        .ok()
}

impl PeerSearch {
    /// Returns the nodes to ask in this round.
    fn next_asked(&mut self, context: &MeshContext, now: Instant) -> Vec<PeerRow> {
        let (near, far) = self.unknown(context, now);
        if near.is_empty() && far.is_empty() {
            self.unknown_since = None;
            return Vec::new();
        }
        let since = *self.unknown_since.get_or_insert(now);
        let patience = match is_reader(context) {
            true => FIRST_FOREIGN,
            false => ANY_FOREIGN,
        };
        let mut asked = near;
        if now >= since + patience {
            asked.extend(far);
        } else if asked.is_empty() {
            asked.extend(known_neighbour(context));
        }
        asked.truncate(MAX_JOINS);
        asked
    }

    /// Returns the nodes of the rows that gossip does not know, by whether they are in the own failure domain.
    fn unknown(&self, context: &MeshContext, now: Instant) -> (Vec<PeerRow>, Vec<PeerRow>) {
        let own = &context.settings.node;
        let members = context.board.members.lock();
        let is_unknown = |row: &&PeerRow| {
            row.node != own.id
                && members.get(&row.node).is_none()
                && self
                    .absent
                    .get(&row.node)
                    .is_none_or(|absent| now >= absent.until)
        };
        let unknown = self.rows.iter().filter(is_unknown).cloned();
        unknown.partition(|row| row.domain == own.failure_domain)
    }
}

/// Returns a live node of the own failure domain, which may have met more nodes.
fn known_neighbour(context: &MeshContext) -> Option<PeerRow> {
    let own = &context.settings.node;
    let members = context.board.members.lock();
    let neighbours = members.iter().filter(|record| {
        record.state == MemberState::Alive
            && record.domain == own.failure_domain
            && record.node != own.id
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
    asked: Vec<PeerRow>,
    absent: &mut HashMap<NodeId, AbsentNode>,
) {
    let mut joins = JoinSet::new();
    for row in asked {
        let context = context.clone();
        joins.spawn(async move {
            let joined = join(&context, &row).await;
            (row.node, joined)
        });
    }
    while let Some(ended) = joins.join_next().await {
        match ended {
            Ok((node, true)) => drop(absent.remove(&node)),
            Ok((node, false)) => {
                let known = absent.get(&node);
                let pause = known.map_or(ABSENT_PAUSE.0, |known| known.pause * 2);
                let pause = pause.min(ABSENT_PAUSE.1);
                let until = Instant::now() + pause;
                absent.insert(node, AbsentNode { until, pause });
            }
            Err(error) => warn!(%error, "a join ended early"),
        }
    }
}

/// Exchanges members with a node, and returns whether it is the one of the row; a newer configuration is then pulled
/// by the gossip.
async fn join(context: &MeshContext, row: &PeerRow) -> bool {
    match ask_join(row.peer_address, &context.gossip).await {
        Ok(answer) => {
            let members = context.gossip.take_join_reply(&answer.reply);
            info!(peer = answer.node, members, "joined");
            answer.node == row.node
        }
        Err(error) => {
            debug!(peer = row.node, %error, "a peer did not answer the join");
            false
        }
    }
}
