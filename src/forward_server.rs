//! HTTP server for calls that other nodes forward to the target of this node.
//!
//! The entry node, which received a call from its caller, chooses a target and forwards the call to the
//! node on the target's VM. That node admits the call under the customer's limits and the target's slots,
//! and then runs the exchange: one request to the target and its response.

pub mod admission;
pub mod exchange_trace;

use {
    self::{
        admission::{AdmittedCall, admit_call},
        exchange_trace::{ExchangeGuard, ExchangeTrace},
    },
    crate::{
        call_events::{CallRefusal, STALE_CONNECTION_REASON},
        call_proxy::{
            CallContext, ExchangeBody,
            body::{AbortableBody, DeadlineBody},
            headers::{
                HopRecord, parse_timeout, refusal_response, set_exchange_time, set_timeout,
                strip_headers,
            },
            http_server::serve_http,
            received_body::receive_request,
        },
        config::RouteSpec,
        retry_budget::AttemptOutcome,
        target_client::{ExchangeError, TargetHandle},
    },
    http::{
        HeaderMap, Method, Request, Response, StatusCode, Version,
        header::{HeaderName, TRANSFER_ENCODING},
    },
    http_body::Body,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::timeout_at},
    tokio_util::sync::CancellationToken,
};

/// Serves calls forwarded by other nodes until `drain` is cancelled and the calls in progress have ended.
pub async fn serve_forwarded_calls(
    listener: TcpListener,
    context: Arc<CallContext>,
    drain: CancellationToken,
) {
    let plan = context.drain_plan(drain.clone());
    serve_http(listener, plan, move |request| {
        handle_forward(context.clone(), drain.clone(), request)
    })
    .await;
}

async fn handle_forward(
    context: Arc<CallContext>,
    drain: CancellationToken,
    request: Request<Incoming>,
) -> Response<ExchangeBody> {
    let request = receive_request(request, context.exchanges.token());
    let result = match accept_forward(&context, &drain, request.headers()) {
        Ok(call) => exchange_with_local_target(&context, call, request).await,
        Err(refusal) => Err(refusal),
    };
    result.unwrap_or_else(|refusal| refusal_response(&refusal))
}

/// A call for the target of this node.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// Service, version and route that the entry node chose.
    pub hop: HopRecord,
    /// When the call arrived at this node.
    pub arrived_at: Instant,
    /// End of the time that the entry node allows for the whole response; none if it sent no timeout.
    pub deadline: Option<Instant>,
}

fn accept_forward(
    context: &CallContext,
    drain: &CancellationToken,
    headers: &HeaderMap,
) -> Result<TargetCall, CallRefusal> {
    if drain.is_cancelled() {
        return Err(context.draining_refusal());
    }
    let hop = HopRecord::parse(headers).ok_or_else(|| {
        CallRefusal::not_run(
            400,
            "invalid-hop",
            "read header poplarwing-hop: missing or invalid",
        )
    })?;
    let arrived_at = Instant::now();
    let remaining = parse_timeout(headers)?;
    Ok(TargetCall {
        hop,
        arrived_at,
        deadline: remaining.map(|remaining| arrived_at + remaining),
    })
}

/// Admits a call, sends it to the target of this node and returns the response.
///
/// The call occupies its slot until both the request body and the response body have ended.
pub async fn exchange_with_local_target(
    context: &Arc<CallContext>,
    call: TargetCall,
    request: Request<ExchangeBody>,
) -> Result<Response<ExchangeBody>, CallRefusal> {
    let admitted = match admit_call(context, &call).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            context.report_target_refusal(&call, &refusal);
            return Err(refusal);
        }
    };
    let deadline = admitted.deadline;
    let trace = ExchangeTrace::new(context.clone(), &call, deadline);
    let AdmittedCall {
        handle,
        permit,
        scopes,
        route,
        ..
    } = admitted;
    let guard = ExchangeGuard::new(context.clone(), permit, scopes);
    let request = prepare_request(request, deadline, &guard);
    run_exchange(&handle, request, deadline, route, trace, guard).await
}

fn prepare_request(
    request: Request<ExchangeBody>,
    deadline: Instant,
    guard: &Arc<ExchangeGuard>,
) -> Request<ExchangeBody> {
    let mut request = request.map(|body| {
        AbortableBody::new(body, guard.cancel_token(), deadline, guard.clone()).boxed_unsync()
    });
    *request.version_mut() = Version::HTTP_11;
    strip_headers(request.headers_mut());
    let remaining = deadline.saturating_duration_since(Instant::now());
    set_timeout(request.headers_mut(), remaining);
    request
}

async fn run_exchange(
    handle: &TargetHandle,
    request: Request<ExchangeBody>,
    deadline: Instant,
    route: RouteSpec,
    mut trace: ExchangeTrace,
    guard: Arc<ExchangeGuard>,
) -> Result<Response<ExchangeBody>, CallRefusal> {
    let method = request.method().clone();
    let response_guard = guard.response_guard();
    let sent_at = Instant::now();
    let result = timeout_at(deadline.into(), handle.client.send(request)).await;
    let response = match result {
        Err(_) => return Err(trace.finish_timed_out(&route)),
        Ok(Err(error)) => return Err(refuse_exchange(trace, error)),
        Ok(Ok(response)) => response,
    };
    let elapsed = sent_at.elapsed();
    trace.record_head(response.status());
    if !is_framed(&method, &response) {
        let refusal = CallRefusal::unknown(
            502,
            "unframed-answer",
            "read response of the target: neither a length nor chunked encoding marks its end",
        );
        return Err(trace.finish_failed(refusal));
    }
    let mut response = response.map(|body| {
        let inner = body.map_err(Into::into).boxed_unsync();
        let watcher = Box::new(move |end| {
            response_guard.finish(end);
            trace.finish(end);
        });
        DeadlineBody::new(inner, deadline, watcher).boxed_unsync()
    });
    strip_headers(response.headers_mut());
    set_exchange_time(response.headers_mut(), elapsed);
    Ok(response)
}

fn refuse_exchange(trace: ExchangeTrace, error: ExchangeError) -> CallRefusal {
    let reason = match (error.outcome, error.stale) {
        (AttemptOutcome::NotRun, true) => STALE_CONNECTION_REASON,
        (AttemptOutcome::NotRun, false) => "target-unreachable",
        _ => "target-broke-off",
    };
    let message = error.to_string();
    match error.outcome {
        AttemptOutcome::NotRun => trace.finish_not_run(CallRefusal::not_run(503, reason, message)),
        _ => trace.finish_failed(CallRefusal::unknown(502, reason, message)),
    }
}

/// Returns whether a truncated response can be recognised: it has no body, a length or chunked encoding.
///
/// A response that ends with its connection looks the same when it is complete as when the connection
/// broke.
fn is_framed(method: &Method, response: &Response<Incoming>) -> bool {
    let bodiless = method == Method::HEAD
        || matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    bodiless || response.body().size_hint().exact().is_some() || is_chunked(response.headers())
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let name: HeaderName = TRANSFER_ENCODING;
    headers
        .get_all(name)
        .iter()
        .next_back()
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns the earlier of the deadline that the entry node sent and that of the route, which is counted from
/// the arrival of the call at this node.
pub fn target_deadline(call: &TargetCall, route_deadline: Duration) -> Instant {
    let latest = call.arrived_at + route_deadline;
    call.deadline
        .map_or(latest, |deadline| deadline.min(latest))
}
