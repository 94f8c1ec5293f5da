//! Health check of the target beside this node.

use {
    super::{context::MeshContext, http::read_whole, registry::InstanceId},
    crate::target_client::ExchangeError,
    derive_more::Display,
    http::{HeaderMap, Request, StatusCode, Uri},
    http_body_util::{BodyExt, Empty},
    std::time::Duration,
    tokio::time::timeout,
    tracing::warn,
};

/// Time limit of a health check, which waits for a slot of the target like a call.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest body of a health check that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Result of a health check.
#[derive(Debug, Display)]
pub enum CheckOutcome {
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

/// Result of a health check, and the warm-up time left that the response tells.
#[derive(Debug)]
pub struct HealthReport {
    /// Result of the check.
    pub outcome: CheckOutcome,
    /// Warm-up time left; none if the response does not tell it. A healthy target that does not tell any is warm.
    pub warmup: Option<Duration>,
}

/// Returns the path of the target's health check; none if the configuration has no valid one.
pub fn health_path(context: &MeshContext) -> Option<Uri> {
    let config = context.board.gate.current();
    let spec = config.backend(&context.settings.service)?;
    spec.health_path.parse().ok()
}

/// Sends a health check to the target.
pub async fn check_health(context: &MeshContext, path: Uri) -> HealthReport {
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
        Err(_) => return without_response(CheckOutcome::TimedOut),
        Ok(Err(error)) => return without_response(CheckOutcome::Failed(error)),
        Ok(Ok(head)) => head,
    };
    let told = told_warmup(context, &head.headers);
    if head.status != StatusCode::OK {
        return HealthReport {
            outcome: CheckOutcome::Rejected(head.status),
            warmup: told,
        };
    }
    let instance = head.headers.get(&context.settings.headers.instance);
    let instance = instance.and_then(|value| value.to_str().ok());
    HealthReport {
        outcome: CheckOutcome::Healthy(instance.unwrap_or_default().to_owned()),
        warmup: Some(told.unwrap_or_default()),
    }
}

fn without_response(outcome: CheckOutcome) -> HealthReport {
    HealthReport {
        outcome,
        warmup: None,
    }
}

/// Returns the warm-up time left according to the header. One that is not a number of milliseconds counts as the
/// longest.
fn told_warmup(context: &MeshContext, headers: &HeaderMap) -> Option<Duration> {
    let name = &context.settings.headers.warmup;
    let text = headers.get(name)?.to_str().unwrap_or_default();
    let millis = text.trim().parse::<f64>().ok();
    let left = millis.and_then(|millis| Duration::try_from_secs_f64(millis / 1000.0).ok());
    if left.is_none() {
        warn!(
            header = %name,
            text,
            "warm-up time of a health check is no number of milliseconds of at least 0; the longest is assumed"
        );
    }
    Some(left.unwrap_or(Duration::MAX))
}
