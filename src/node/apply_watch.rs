//! Logs and measures each configuration version that this node puts in force.

use {
    crate::{blackboard::Blackboard, ids::ConfigVersion, node_metrics::NodeMetrics},
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio_util::sync::CancellationToken,
    tracing::info,
};

/// Reports each version put in force until cancelled.
pub async fn watch_applied(
    board: Arc<Blackboard>,
    metrics: NodeMetrics,
    cancel: CancellationToken,
) {
    let mut applied = board.gate.subscribe();
    let mut before = *applied.borrow_and_update();
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            Ok(()) = applied.changed() => {}
        }
        let version = *applied.borrow_and_update();
        report(&board, &metrics, before, version);
        before = version;
    }
}

fn report(
    board: &Blackboard,
    metrics: &NodeMetrics,
    before: ConfigVersion,
    version: ConfigVersion,
) {
    let snapshot = board.gate.current();
    let elapsed = elapsed_since(snapshot.accepted_at_ms);
    metrics.set_config_version(version);
    // The first version after a start was accepted long ago; its age says nothing about dissemination.
    if before > 0 {
        metrics.record_convergence(elapsed);
    }
    info!(
        decision = "apply",
        version,
        before,
        elapsed_ms = elapsed.as_millis() as u64,
        "configuration in force"
    );
}

/// Returns the time since a moment by the wall clock; clocks that differ between VMs make it inexact.
fn elapsed_since(at_ms: u64) -> Duration {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.saturating_sub(Duration::from_millis(at_ms))
}
