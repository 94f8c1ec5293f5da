//! Log lines and metrics for each configuration version that this node applies.

use {
    crate::{blackboard::Blackboard, ids::ConfigVersion, node_metrics::NodeMetrics},
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio_util::sync::CancellationToken,
    tracing::info,
};

/// Reports each applied configuration version in the log and the metrics until cancelled.
pub async fn watch_applied(
    board: Arc<Blackboard>,
    metrics: NodeMetrics,
    cancel: CancellationToken,
) {
    let mut applied = board.gate.subscribe();
    let mut previous_version = *applied.borrow_and_update();
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            Ok(()) = applied.changed() => {}
        }
        let version = *applied.borrow_and_update();
        report_applied(&board, &metrics, previous_version, version);
        previous_version = version;
    }
}

fn report_applied(
    board: &Blackboard,
    metrics: &NodeMetrics,
    previous_version: ConfigVersion,
    version: ConfigVersion,
) {
    let snapshot = board.gate.current();
    let elapsed = wall_time_since(snapshot.accepted_at_ms);
    metrics.set_config_version(version);
    // The first version after a start may have been accepted long before it, so its age does not measure
    // convergence.
    if previous_version > 0 {
        metrics.record_convergence(elapsed);
    }
    info!(
        decision = "apply",
        version,
        before = previous_version,
        elapsed_ms = elapsed.as_millis() as u64,
        "configuration in force"
    );
}

/// Returns the time since `at_ms`, in milliseconds since the Unix epoch, by the wall clock of this VM.
/// It is inexact if `at_ms` comes from another VM, since their clocks differ.
fn wall_time_since(at_ms: u64) -> Duration {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.saturating_sub(Duration::from_millis(at_ms))
}
