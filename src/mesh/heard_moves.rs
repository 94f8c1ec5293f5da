//! Takes over the moves that peers know.

use {
    super::{context::MeshContext, move_board::MoveView},
    crate::config_sync::ask_moves,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
    tracing::{info, warn},
};

/// Pause after a peer did not tell the moves that it knows.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// Takes over the moves that peers know and this node does not, without end.
pub async fn hear_moves(context: Arc<MeshContext>) {
    let mut newer_moves = context.gossip.newer_moves();
    while newer_moves.changed().await.is_ok() {
        let newer = *newer_moves.borrow_and_update();
        let digest = context.board.moves.lock().digest();
        let Some(newer) = newer.filter(|newer| newer.digest > digest) else {
            continue;
        };
        match ask_moves(newer.address, &context.gossip).await {
            Ok(known) => {
                let changed = context.board.moves.lock().merge(known);
                if !changed.is_empty() {
                    context.publish_moves();
                }
                for view in &changed {
                    log_heard(view, newer.address);
                }
            }
            Err(error) => {
                warn!(%error, "a peer did not tell the moves that it knows");
                sleep(ASK_PAUSE).await;
            }
        }
    }
}

fn log_heard(view: &MoveView, peer: SocketAddr) {
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
