//! HTTP handler for callers: accepts a call, selects its targets and decides whether it may be retried.

mod account;
mod attempt_log;
mod attempts;
mod choice;
mod hedge;
mod intake;
mod progress;

use {
    self::{attempts::run_call, intake::accept_call},
    super::{
        context::MeshContext,
        refusal::{ExecutionStatus, MeshRefusal, WholeBody},
    },
    crate::node_metrics::CallResult,
    http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header::CONNECTION},
    hyper::body::Incoming,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tracing::warn,
};

/// `Retry-After` of a node that has no configuration or no target yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Handles a call of a caller: routes it and returns the response of a target, or a refusal.
pub async fn answer_call(
    context: Arc<MeshContext>,
    request: Request<Incoming>,
) -> Response<WholeBody> {
    let started = Instant::now();
    let call_id = header_text(request.headers(), &context.settings.headers.call_id);
    let result = match accept_call(&context, request, started, call_id.clone()).await {
        Ok(call) => {
            let result = run_call(&context, &call).await;
            if result.as_ref().is_err_and(MeshRefusal::has_not_run) {
                context.usage_caps.give_back(call.permit.as_ref());
            }
            result
        }
        Err(refusal) => Err(refusal),
    };
    count_outcome(&context, &result, started.elapsed());
    let response = match result {
        Ok(response) => response,
        Err(refusal) => {
            context.metrics.count_refusal(refusal.reason.clone());
            if !context.call_log_limiter.try_acquire(Instant::now()) {
                return close_if_leaving(&context, refusal.answer());
            }
            warn!(
                decision = "refuse",
                call = call_id,
                status = refusal.status.as_u16(),
                fate = %refusal.execution,
                reason = %refusal.reason,
                elapsed_ms = started.elapsed().as_millis() as u64,
                config_version = context.board.gate.version(),
                "call refused"
            );
            refusal.answer()
        }
    };
    close_if_leaving(&context, response)
}

fn count_outcome(
    context: &MeshContext,
    result: &Result<Response<WholeBody>, MeshRefusal>,
    elapsed: Duration,
) {
    let outcome = match result {
        Ok(_) => CallResult::Answered,
        Err(refusal) if refusal.execution == ExecutionStatus::NotRun => CallResult::NotRun,
        Err(_) => CallResult::Unknown,
    };
    context.metrics.count_call(outcome);
    context.metrics.record_call_latency(elapsed, outcome);
}

/// Adds `Connection: close` while the node shuts down, so that callers reconnect elsewhere.
fn close_if_leaving(
    context: &MeshContext,
    mut response: Response<WholeBody>,
) -> Response<WholeBody> {
    if context.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
