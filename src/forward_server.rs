//! HTTP server for other nodes: admission and exchange with the own target.

pub mod admission;
pub mod exchange_trace;

use {
    self::{
        admission::{AdmittedCall, admit_call},
        exchange_trace::{ExchangeHold, ExchangeTrace},
    },
    crate::{
        call_events::{CallRefusal, STALE_REASON},
        call_proxy::{
            CallContext, ExchangeBody,
            body::{GuardedBody, WatchedBody},
            headers::{
                HopRecord, parse_timeout, refusal_response, set_exchange_time, set_timeout,
                strip_headers,
            },
            http_server::serve_http,
            received_body::receive_request,
        },
        config::RouteSpec,
        retry_budget::AttemptFate,
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

/// Serves calls forwarded by other nodes until drained.
pub async fn serve_forwards(
    listener: TcpListener,
    context: Arc<CallContext>,
    drain: CancellationToken,
) {
    let plan = context.drain_plan(drain.clone());
    serve_http(listener, plan, move |request| {
        answer_forward(context.clone(), drain.clone(), request)
    })
    .await;
}

async fn answer_forward(
    context: Arc<CallContext>,
    drain: CancellationToken,
    request: Request<Incoming>,
) -> Response<ExchangeBody> {
    let request = receive_request(request, context.exchanges.token());
    let answered = match accept_forward(&context, &drain, request.headers()) {
        Ok(forward) => exchange_here(&context, forward, request).await,
        Err(refusal) => Err(refusal),
    };
    answered.unwrap_or_else(|refusal| refusal_response(&refusal))
}

/// A call for the own target.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// What the entry node chose.
    pub hop: HopRecord,
    /// When the call arrived at this node.
    pub started: Instant,
    /// When the answer must have ended, as far as the entry node says.
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
    let hop = HopRecord::parse(headers)
        .ok_or_else(|| CallRefusal::not_run(400, "invalid-hop", "read the hop header: invalid"))?;
    let started = Instant::now();
    let remaining = parse_timeout(headers)?;
    Ok(TargetCall {
        hop,
        started,
        deadline: remaining.map(|remaining| started + remaining),
    })
}

/// Admits a call and exchanges it with the own target.
///
/// The answer's body keeps the slot until it has ended, and so does the request's.
pub async fn exchange_here(
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
    let hold = ExchangeHold::new(context.clone(), permit, scopes);
    let request = prepare_request(request, deadline, &hold);
    exchange(&handle, request, deadline, route, trace, hold).await
}

fn prepare_request(
    request: Request<ExchangeBody>,
    deadline: Instant,
    hold: &Arc<ExchangeHold>,
) -> Request<ExchangeBody> {
    let mut request = request.map(|body| {
        GuardedBody::new(body, hold.cancel_token(), deadline, hold.clone()).boxed_unsync()
    });
    *request.version_mut() = Version::HTTP_11;
    strip_headers(request.headers_mut());
    let remaining = deadline.saturating_duration_since(Instant::now());
    set_timeout(request.headers_mut(), remaining);
    request
}

async fn exchange(
    handle: &TargetHandle,
    request: Request<ExchangeBody>,
    deadline: Instant,
    route: RouteSpec,
    mut trace: ExchangeTrace,
    hold: Arc<ExchangeHold>,
) -> Result<Response<ExchangeBody>, CallRefusal> {
    let method = request.method().clone();
    let ending = hold.ending();
    let begun = Instant::now();
    let sent = timeout_at(deadline.into(), handle.client.send(request)).await;
    let answer = match sent {
        Err(_) => return Err(trace.end_late(&route)),
        Ok(Err(error)) => return Err(refuse_exchange(trace, error)),
        Ok(Ok(answer)) => answer,
    };
    let elapsed = begun.elapsed();
    trace.note_head(answer.status());
    if !is_framed(&method, &answer) {
        let refusal = CallRefusal::unknown(
            502,
            "unframed-answer",
            "read the target's answer: neither a length nor chunks show where it ends",
        );
        return Err(trace.end_refused(refusal));
    }
    let mut answer = answer.map(|body| {
        let inner = body.map_err(Into::into).boxed_unsync();
        let watcher = Box::new(move |end| {
            ending.end(end);
            trace.finish(end);
        });
        WatchedBody::new(inner, deadline, watcher).boxed_unsync()
    });
    strip_headers(answer.headers_mut());
    set_exchange_time(answer.headers_mut(), elapsed);
    Ok(answer)
}

fn refuse_exchange(trace: ExchangeTrace, error: ExchangeError) -> CallRefusal {
    let reason = match (error.fate, error.stale) {
        (AttemptFate::NotRun, true) => STALE_REASON,
        (AttemptFate::NotRun, false) => "target-unreachable",
        _ => "target-broke-off",
    };
    let message = error.to_string();
    match error.fate {
        AttemptFate::NotRun => trace.end_not_run(CallRefusal::not_run(503, reason, message)),
        _ => trace.end_refused(CallRefusal::unknown(502, reason, message)),
    }
}

/// Returns whether the end of an answer can be told from a connection that broke.
fn is_framed(method: &Method, answer: &Response<Incoming>) -> bool {
    let bodiless = method == Method::HEAD
        || matches!(
            answer.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    bodiless || answer.body().size_hint().exact().is_some() || is_chunked(answer.headers())
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let name: HeaderName = TRANSFER_ENCODING;
    headers
        .get_all(name)
        .iter()
        .next_back()
        .and_then(|value| value.to_str().ok())
        .is_some_and(|text| text.trim_end().to_ascii_lowercase().ends_with("chunked"))
}

/// Returns the deadline of a call at its target's node.
pub fn target_deadline(call: &TargetCall, route_deadline: Duration) -> Instant {
    let own = call.started + route_deadline;
    call.deadline.map_or(own, |deadline| deadline.min(own))
}
