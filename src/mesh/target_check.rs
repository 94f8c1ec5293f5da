//! Confirmation of the target beside a node that was restarted.
//!
//! The node's last process may have acknowledged that the target leaves, and a heartbeat from before the departure may
//! still arrive. The node therefore uses the target only once a health check has shown that it stays.

use {
    super::{
        context::MeshContext,
        health_check::{CheckOutcome, check_health, health_path},
        registry::{InstanceId, LATE_HEARTBEAT_TIME},
    },
    http::Uri,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    tracing::info,
};

/// Time between two looks for a target to check.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// First and longest time between two health checks; doubles with each failure.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Longest time for which a node of a first start waits for a peer before it uses its target.
const PEER_WAIT: Duration = Duration::from_secs(1);

/// Checks the target until it is confirmed or no late heartbeat is expected any more.
///
/// A target that has not been confirmed by then is used from its next heartbeat on. At the first start of the whole
/// fleet no departure can have been acknowledged, so there is no check.
pub async fn confirm_target(context: Arc<MeshContext>) {
    let started = Instant::now();
    if context.settings.first_start {
        wait_for_peer(&context, started).await;
        context.release_target();
        return;
    }
    let mut retry_after = RETRY_RANGE.0;
    while context.registry.lock().is_held() {
        if started.elapsed() >= LATE_HEARTBEAT_TIME {
            info!(
                decision = "registry",
                outcome = "not confirmed",
                "target is used from its next heartbeat on"
            );
            context.registry.lock().release_empty();
            return;
        }
        // A health check is sent to the target as well, so it waits for the end of a drain.
        let target = target_to_check(&context).filter(|_| !context.is_domain_drained());
        let Some((instance, path)) = target else {
            sleep(LOOK_PERIOD).await;
            continue;
        };
        context.apply_warmup_limit();
        if !context.queue.try_check() {
            sleep(LOOK_PERIOD).await;
            continue;
        }
        let report = check_health(&context, path).await;
        let confirmed =
            matches!(&report.outcome, CheckOutcome::Healthy(answering) if *answering == instance);
        info!(
            decision = "registry",
            instance,
            confirmed,
            check = %report.outcome,
            "target checked after a start of the node"
        );
        if confirmed {
            // Before the target is used, so that a cold one gets no more than it may.
            context.apply_health_report(&report);
            context.confirm_target(&instance);
        }
        sleep(retry_after).await;
        retry_after = (retry_after * 2).min(RETRY_RANGE.1);
    }
}

/// Waits until a peer has answered the first join: the announcement of the target after it spreads this node's record
/// among the peers, which then need not read the rows of the store.
async fn wait_for_peer(context: &MeshContext, started: Instant) {
    while context.board.members.lock().len() < 2 && started.elapsed() < PEER_WAIT {
        sleep(LOOK_PERIOD).await;
    }
}

/// Returns the instance to check and the path of its health check, which is known from the configuration.
fn target_to_check(context: &MeshContext) -> Option<(InstanceId, Uri)> {
    let instance = context.registry.lock().unconfirmed()?;
    Some((instance, health_path(context)?))
}
