//! Pulls moves and drains of failure domains from peers that have newer ones.

use {
    super::{context::MeshContext, drain_orders::apply_peer_drains, move_table::MoveView},
    crate::config_sync::request_moves,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
    tracing::{info, warn},
};

/// Time to wait after a failed pull.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Pulls moves and drains whenever gossip reports a peer with newer ones; runs until the gossip ends.
pub async fn sync_moves(context: Arc<MeshContext>) {
    let mut newer_moves = context.gossip.newer_moves();
    while newer_moves.changed().await.is_ok() {
        let newer = *newer_moves.borrow_and_update();
        let digest = context.board.orders_digest();
        let Some(newer) = newer.filter(|newer| newer.digest > digest) else {
            continue;
        };
        match request_moves(newer.address, &context.gossip).await {
            Ok(pulled) => {
                let changed = context.board.moves.lock().merge(pulled.moves);
                apply_peer_drains(&context, pulled.drains, newer.address);
                context.publish_moves();
                for view in &changed {
                    log_pulled(view, newer.address);
                }
            }
            Err(error) => {
                warn!(%error, "moves and drains not pulled from a peer; waiting for newer gossip");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn log_pulled(view: &MoveView, peer: SocketAddr) {
    let record = view.record();
    info!(
        decision = "move",
        service = view.order.service,
        candidate = view.order.candidate,
        revision = view.order.revision,
        state = record.map(|record| tracing::field::debug(record.state)),
        permille = view.permille(),
        writer = record.map(|record| record.writer.as_str()),
        reason = record.map(|record| record.reason.as_str()),
        %peer,
        "move heard of from a peer"
    );
}
