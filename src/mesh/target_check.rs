//! Confirmation of the target beside a node that was restarted.
//!
//! The node's last process may have acknowledged that the target leaves, and a heartbeat from before the departure may
//! still arrive. The node therefore uses the target only once a health check has shown that it stays.

use {
    super::{
        context::MeshContext,
        http::read_whole,
        registry::{InstanceId, LATE_HEARTBEAT_TIME},
    },
    crate::target_client::ExchangeError,
    derive_more::Display,
    http::{Request, StatusCode, Uri},
    http_body_util::{BodyExt, Empty},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    tracing::info,
};

/// Time between two looks for a target to check.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Time limit of a health check, which waits for a slot of the target like a call.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// First and longest time between two health checks; doubles with each failure.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Longest time for which a node of a first start waits for a peer before it uses its target.
const PEER_WAIT: Duration = Duration::from_secs(1);

/// Longest body of a health check that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Result of a health check.
#[derive(Debug, Display)]
enum CheckOutcome {
    /// The target with this name is healthy, so it does not leave; the name is empty if the response has none.
    #[display("healthy, instance {_0:?}")]
    Healthy(InstanceId),
    /// The target leaves, fails, or has no room for the check.
    #[display("status {_0}")]
    Rejected(StatusCode),
    /// The target did not respond in time.
    #[display("timed out")]
    TimedOut,
    /// The exchange failed.
    #[display("{_0}")]
    Failed(ExchangeError),
}

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
        let outcome = check(&context, path).await;
        let confirmed =
            matches!(&outcome, CheckOutcome::Healthy(answering) if *answering == instance);
        info!(
            decision = "registry",
            instance,
            confirmed,
            check = %outcome,
            "target checked after a start of the node"
        );
        if confirmed {
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
    let config = context.board.gate.current();
    let spec = config.backend(&context.settings.service)?;
    let path = spec.health_path.parse().ok()?;
    Some((instance, path))
}

async fn check(context: &MeshContext, path: Uri) -> CheckOutcome {
    let body = Empty::new();
    let mut request = Request::new(body.map_err(|never| match never {}).boxed_unsync());
    *request.uri_mut() = path;
    let exchange = async {
        let response = context.target.send(request).await?;
        let (head, body) = response.into_parts();
        // The body is read so that the connection can be used again; whether it is complete says nothing here.
        let _ = read_whole(body, MAX_BODY_BYTES, &context.held_bytes).await;
        Ok(head)
    };
    let head = match timeout(CHECK_TIMEOUT, exchange).await {
        Err(_) => return CheckOutcome::TimedOut,
        Ok(Err(error)) => return CheckOutcome::Failed(error),
        Ok(Ok(head)) => head,
    };
    if head.status != StatusCode::OK {
        return CheckOutcome::Rejected(head.status);
    }
    let instance = head.headers.get(&context.settings.headers.instance);
    let instance = instance.and_then(|value| value.to_str().ok());
    CheckOutcome::Healthy(instance.unwrap_or_default().to_owned())
}
