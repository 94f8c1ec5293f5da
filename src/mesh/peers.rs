//! Finds the other nodes by rows of the store; gossip does the rest.

use {
    super::{
        context::MeshContext,
        port::{PeerRow, PlatformPort, PortError},
    },
    crate::{
        config_sync::{PullOutcome, ask_join, pull_config},
        ids::NodeId,
    },
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

/// Nodes that are asked at once.
const MAX_JOINS: usize = 6;

/// Time for which a node that did not answer is not asked again.
const SILENT_PAUSE: Duration = Duration::from_secs(5);

/// Writes where this node is, and joins the nodes that it finds, without end.
pub async fn find_peers(context: Arc<MeshContext>, port: PlatformPort) {
    let own = PeerRow {
        node: context.settings.node.id.clone(),
        peer_address: context.settings.node.peer_address,
    };
    let mut written = false;
    let mut rows = Vec::new();
    let mut list_at = Instant::now();
    let mut silent: HashMap<NodeId, Instant> = HashMap::new();
    loop {
        if Instant::now() >= list_at {
            // A node that lists after its own write sees each node that has not yet listed, or is seen by it.
            written = written || report_failure((port.write_peer)(own.clone()).await).is_some();
            rows = report_failure((port.list_peers)().await).unwrap_or(rows);
            list_at = Instant::now() + list_period(&context, written);
        }
        join_unknown(&context, &rows, &mut silent).await;
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

/// Joins the nodes of the rows that gossip does not know as alive.
async fn join_unknown(
    context: &Arc<MeshContext>,
    rows: &[PeerRow],
    silent: &mut HashMap<NodeId, Instant>,
) {
    let now = Instant::now();
    silent.retain(|_, until| now < *until);
    let unknown: Vec<PeerRow> = {
        let members = context.board.members.lock();
        let is_unknown = |row: &PeerRow| {
            row.node != context.settings.node.id
                && members.get(&row.node).is_none()
                && !silent.contains_key(&row.node)
        };
        rows.iter().filter(|row| is_unknown(row)).cloned().collect()
    };
    let mut joins = JoinSet::new();
    for row in unknown.into_iter().take(MAX_JOINS) {
        let context = context.clone();
        joins.spawn(async move {
            let joined = join(&context, &row).await;
            (row.node, joined)
        });
    }
    while let Some(ended) = joins.join_next().await {
        match ended {
            Ok((_, true)) => {}
            Ok((node, false)) => drop(silent.insert(node, now + SILENT_PAUSE)),
            Err(error) => warn!(%error, "a join ended early"),
        }
    }
}

/// Exchanges members with a node, and takes its configuration if it is newer.
async fn join(context: &MeshContext, row: &PeerRow) -> bool {
    let answer = match ask_join(row.peer_address, &context.gossip).await {
        Ok(answer) => answer,
        Err(error) => {
            debug!(peer = row.node, %error, "a peer did not answer the join");
            return false;
        }
    };
    let members = context.gossip.take_join_reply(&answer.reply);
    info!(peer = answer.node, members, "joined");
    if answer.reply.config_version > context.board.gate.version() {
        let own = &context.settings.node.id;
        match pull_config(row.peer_address, own, &context.board).await {
            Ok(PullOutcome::Applied { version }) => {
                info!(
                    decision = "apply",
                    version,
                    origin = row.node,
                    "configuration in force"
                );
            }
            Ok(_) => {}
            Err(error) => warn!(peer = row.node, %error, "pull failed"),
        }
    }
    true
}
