//! HTTP handler for forwarded calls: admits a call and forwards it to the target beside this node.

use {
    super::{
        admission::{AdmissionRefusal, SlotPermit, SlotRequest},
        context::MeshContext,
        exchange_trace::ExchangeTrace,
        hop::{EXECUTION_HEADER, HOP_METADATA_HEADER, HopMetadata, LOAD_HEADER, set_load},
        http::{WholeBodyError, read_whole},
        refusal::{MeshRefusal, WholeBody},
        registry::InstanceId,
    },
    crate::{
        balancing::target_speed::parse_factor,
        call_proxy::headers::strip_hop_by_hop_headers,
        retry_budget::AttemptOutcome,
        target_client::{ExchangeError, TrackedAnswer},
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderValue, Method, Request, Response, StatusCode,
        header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING},
        request::Parts,
    },
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, ext::on_informational},
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// Longest response that is passed on, in bytes.
pub const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Longest request body that is accepted, in bytes; the configuration may set a lower limit.
pub const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// Interim responses (status 1xx) of the target to one request after which the exchange is abandoned.
const MAX_INTERIM_ANSWERS: usize = 8;

/// Reason of the refusal of a call that a cold target may not get.
pub const COLD_REASON: &str = "cold";

/// `Retry-After` when the target is missing, leaving or not reachable.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Body of a call to the target beside this node.
pub enum CallBody {
    /// Body that the entry node, which is this node, has read.
    Whole(Bytes),
    /// Body that another node sends; it is read after admission.
    Streaming(Incoming),
}

/// Handles a call that another node forwards; the response carries the load of the target.
pub async fn answer_hop(
    context: Arc<MeshContext>,
    request: Request<Incoming>,
) -> Response<WholeBody> {
    let (head, body) = request.into_parts();
    let Some(metadata) = HopMetadata::parse(&head.headers) else {
        return MeshRefusal::rejected(StatusCode::BAD_REQUEST, "invalid-hop").hop_answer();
    };
    if !context.shutdown.admits(Instant::now() + metadata.left) {
        return MeshRefusal::stopping().hop_answer();
    }
    let result = run_at_target(&context, &metadata, &head, CallBody::Streaming(body)).await;
    let mut response = result.unwrap_or_else(|refusal| refusal.hop_answer());
    let load = context.queue.load_for(&metadata.route);
    set_load(response.headers_mut(), &load);
    response
}

/// Admits a call, forwards it to the target beside this node and reads the whole response.
pub async fn run_at_target(
    context: &Arc<MeshContext>,
    metadata: &HopMetadata,
    head: &Parts,
    body: CallBody,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let deadline = Instant::now() + metadata.left;
    current_instance(context, metadata)?;
    let slot_request = SlotRequest {
        route: &metadata.route,
        rank: metadata.rank,
        account_rank: metadata.account_rank.unwrap_or_default(),
        time_to_objective: metadata.due,
        deadline,
        finish_within: metadata.finish_within,
    };
    let admitted = tokio::select! {
        biased;
        () = context.shutdown.refuses_waiting(deadline) => return Err(MeshRefusal::stopping()),
        admitted = context.queue.acquire(slot_request) => admitted,
    };
    let permit = admitted.map_err(|refusal| match refusal {
        AdmissionRefusal::Full => {
            MeshRefusal::not_run("full", context.queue.load().expected_wait())
        }
        AdmissionRefusal::Closed => closed_refusal(context),
        AdmissionRefusal::Cold { room_in } => {
            context.metrics.count_cold_refusal();
            MeshRefusal::not_run(COLD_REASON, room_in)
        }
    })?;
    // The target may have left or been replaced at its address while the call was waiting.
    let instance = current_instance(context, metadata)?;
    let content = match body {
        CallBody::Whole(content) => content,
        CallBody::Streaming(body) => read_body(context, body, deadline, &permit.withdrawn).await?,
    };
    if !context.shutdown.can_end(deadline) {
        return Err(MeshRefusal::stopping());
    }
    let request = target_request(context, metadata, head, content, &instance, deadline);
    let started = Instant::now();
    let result = exchange(context, metadata, request, deadline, &permit).await;
    drop(permit);
    if let Err(refusal) = &result {
        log_failure(
            context,
            metadata,
            head,
            &instance,
            refusal,
            started.elapsed(),
        );
    }
    result
}

/// Reads the body that another node sends, as long as the target accepts calls.
async fn read_body(
    context: &MeshContext,
    body: Incoming,
    deadline: Instant,
    withdrawn: &CancellationToken,
) -> Result<Bytes, MeshRefusal> {
    let reading = read_whole(body, MAX_REQUEST_BYTES, &context.held_bytes);
    let reading = timeout_at(deadline.into(), reading);
    let content = withdrawn.run_until_cancelled(reading).await;
    let content = content.ok_or_else(|| closed_refusal(context))?;
    content
        .ok()
        .and_then(Result::ok)
        .ok_or_else(|| MeshRefusal::not_run("body-missing", UNREACHABLE_RETRY_AFTER))
}

/// Returns the refusal of a call whose admission was closed or withdrawn.
fn closed_refusal(context: &MeshContext) -> MeshRefusal {
    match context.is_domain_drained() {
        true => MeshRefusal::domain_drained(),
        false => target_leaving(),
    }
}

fn target_leaving() -> MeshRefusal {
    MeshRefusal::not_run("target-leaving", UNREACHABLE_RETRY_AFTER)
}

/// Logs an exchange without a valid response.
fn log_failure(
    context: &MeshContext,
    metadata: &HopMetadata,
    head: &Parts,
    instance: &str,
    refusal: &MeshRefusal,
    elapsed: Duration,
) {
    if !context.call_log_limiter.try_acquire(Instant::now()) {
        return;
    }
    let call = head.headers.get(&context.settings.headers.call_id);
    let load = context.queue.load();
    info!(
        decision = "exchange",
        call = call.and_then(|value| value.to_str().ok()),
        route = metadata.route,
        version = metadata.version,
        instance,
        fate = %refusal.execution,
        reason = %refusal.reason,
        elapsed_ms = elapsed.as_millis() as u64,
        running = load.running,
        waiting = load.waiting,
        "call to the target failed without a valid response"
    );
}

fn current_instance(
    context: &MeshContext,
    metadata: &HopMetadata,
) -> Result<InstanceId, MeshRefusal> {
    let refuse = |reason| MeshRefusal::not_run(reason, UNREACHABLE_RETRY_AFTER);
    let registry = context.registry.lock();
    let report = registry.current().ok_or_else(|| refuse("no-target"))?;
    if report.service != metadata.service || report.version != metadata.version {
        return Err(refuse("other-target"));
    }
    if report.draining {
        return Err(target_leaving());
    }
    if context.is_domain_drained() {
        return Err(MeshRefusal::domain_drained());
    }
    Ok(report.instance.clone())
}

fn target_request(
    context: &MeshContext,
    metadata: &HopMetadata,
    head: &Parts,
    content: Bytes,
    instance: &str,
    deadline: Instant,
) -> Request<Bytes> {
    let names = &context.settings.headers;
    let mut request = Request::new(content);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = forwarded_headers(&head.headers);
    restore_empty_length(head, &mut request);
    let left = deadline.saturating_duration_since(Instant::now());
    let headers = request.headers_mut();
    headers.insert(&names.deadline, HeaderValue::from(left.as_millis() as u64));
    // The entry node has removed them, unless it had a configuration without accounts.
    if metadata.account.is_some() || context.board.gate.active().keys().has_accounts() {
        remove_account_headers(context, headers);
    }
    let account = metadata.account.as_deref();
    let texts = [
        (&names.expected_instance, instance),
        (&names.caller, &metadata.caller),
    ];
    for (name, text) in texts
        .into_iter()
        .chain(account.map(|account| (&names.account, account)))
    {
        match HeaderValue::from_str(text) {
            Ok(value) => drop(headers.insert(name, value)),
            Err(_) => {
                warn!(
                    header = %name,
                    text,
                    "value is not valid in a header; header left out"
                )
            }
        }
    }
    request
}

/// Tells the length of an empty body that another node sent in chunks, since some targets reject a request of these
/// methods without a length.
fn restore_empty_length(head: &Parts, request: &mut Request<Bytes>) {
    let needs_length = matches!(head.method, Method::POST | Method::PUT | Method::PATCH);
    let was_chunked = head.headers.contains_key(TRANSFER_ENCODING);
    if needs_length && was_chunked && request.body().is_empty() {
        let zero = HeaderValue::from_static("0");
        request.headers_mut().insert(CONTENT_LENGTH, zero);
    }
}

/// Removes the key and the account that a caller sent: the key is not for targets, and only nodes name the account.
pub fn remove_account_headers(context: &MeshContext, headers: &mut HeaderMap) {
    let names = &context.settings.headers;
    headers.remove(&names.account_key);
    headers.remove(&names.account);
}

/// Returns the request headers without those that apply to one connection or to one hop.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    strip_hop_by_hop_headers(&mut forwarded);
    for name in [HOP_METADATA_HEADER, EXECUTION_HEADER, LOAD_HEADER] {
        forwarded.remove(name);
    }
    forwarded
}

async fn exchange(
    context: &Arc<MeshContext>,
    metadata: &HopMetadata,
    request: Request<Bytes>,
    deadline: Instant,
    permit: &SlotPermit,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let left = deadline.saturating_duration_since(Instant::now());
    let call_id = request
        .headers()
        .get(&context.settings.headers.call_id)
        .cloned();
    let trace = ExchangeTrace::new(context.clone(), metadata, left);
    let request = request.map(|content| {
        let body = Full::new(content);
        body.map_err(|never| match never {}).boxed_unsync()
    });
    let mut request = request;
    let flooded = watch_interim(&mut request);
    let sent = context.target.send_tracked(request, &permit.withdrawn);
    let sent = timeout_at(deadline.into(), sent);
    let sent = tokio::select! {
        sent = sent => sent,
        () = flooded.cancelled() => {
            trace.end(true);
            return Err(MeshRefusal::unknown(StatusCode::BAD_GATEWAY, "interim-answers"));
        }
    };
    let answer = match sent {
        Err(_) => return Err(record_timeout(trace)),
        Ok(Err(error)) => {
            let withdrawn = permit.withdrawn.is_cancelled();
            if !withdrawn {
                doubt_after_error(context, &error);
            }
            let withdrawn = withdrawn.then(|| closed_refusal(context));
            return Err(record_exchange_error(trace, &error, withdrawn));
        }
        Ok(Ok(answer)) => answer,
    };
    match read_answer(context, call_id.as_ref(), answer, deadline).await {
        Ok(response) => {
            trace.end(response.status().is_server_error());
            Ok(response)
        }
        Err(ResponseError::NotRun) => {
            trace.end_not_run();
            let wait = context.queue.load().expected_wait();
            Err(MeshRefusal::not_run("target-shed", wait))
        }
        Err(ResponseError::TimedOut) => Err(record_timeout(trace)),
        Err(ResponseError::Invalid(reason)) => {
            trace.end(true);
            Err(MeshRefusal::unknown(StatusCode::BAD_GATEWAY, reason))
        }
    }
}

/// Counts the interim responses (status 1xx) to a request; the token is cancelled when there are too many.
fn watch_interim(request: &mut Request<impl Sized>) -> CancellationToken {
    let flooded = CancellationToken::new();
    let (cancel, count) = (flooded.clone(), AtomicUsize::new(0));
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
            cancel.cancel();
        }
    });
    flooded
}

/// Reacts to an exchange without a response. A target that cannot be reached may have been restarted; one that has broken
/// off a single exchange seldom has, so it is only checked.
fn doubt_after_error(context: &MeshContext, error: &ExchangeError) {
    match error.outcome {
        AttemptOutcome::NotRun if !error.stale => context.doubt_target("unreachable"),
        _ => context.queue.request_check(),
    }
}

fn record_timeout(trace: ExchangeTrace) -> MeshRefusal {
    trace.end(true);
    MeshRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline")
}

fn record_exchange_error(
    trace: ExchangeTrace,
    error: &ExchangeError,
    withdrawn: Option<MeshRefusal>,
) -> MeshRefusal {
    match error.outcome {
        AttemptOutcome::NotRun => {
            trace.end_not_run();
            withdrawn.unwrap_or_else(|| {
                MeshRefusal::not_run("target-unreachable", UNREACHABLE_RETRY_AFTER)
            })
        }
        AttemptOutcome::Unknown | AttemptOutcome::ServerError => {
            trace.end(true);
            MeshRefusal::unknown(StatusCode::BAD_GATEWAY, "target-broke-off")
        }
    }
}

/// Reason for which a response of the target is not passed on.
enum ResponseError {
    /// The target reported that it did not run the request.
    NotRun,
    /// The call timed out before the response was complete.
    TimedOut,
    /// The response is incomplete, invalid or belongs to another request; the text is the reason code.
    Invalid(&'static str),
}

/// Records the speed that the target reports with a response.
fn record_speed(context: &MeshContext, headers: &HeaderMap) {
    let Some(load) = headers.get(&context.settings.headers.load) else {
        return;
    };
    match parse_factor(&String::from_utf8_lossy(load.as_bytes())) {
        Ok(Some(percent)) => context.queue.record_factor(percent),
        Ok(None) => {}
        Err(error) if context.call_log_limiter.try_acquire(Instant::now()) => {
            warn!(%error, "load of the target ignored");
        }
        Err(_) => {}
    }
}

/// Reads the whole response and checks that the target made it for this request.
///
/// A connection that carried an invalid response is not reused, because it may hold further bytes that belong to no
/// request.
async fn read_answer(
    context: &MeshContext,
    call_id: Option<&HeaderValue>,
    answer: TrackedAnswer,
    deadline: Instant,
) -> Result<Response<WholeBody>, ResponseError> {
    let names = &context.settings.headers;
    let TrackedAnswer {
        response,
        connection,
    } = answer;
    let (mut head, body) = response.into_parts();
    let echoed = head.headers.get(&names.call_id);
    if echoed == call_id {
        record_speed(context, &head.headers);
    }
    if echoed == call_id && head.headers.contains_key(&names.not_run) {
        return Err(ResponseError::NotRun);
    }
    // Also a rejection without an identifier: it may be that of an earlier request, sent once more.
    if echoed != call_id {
        connection.poison();
        return Err(ResponseError::Invalid("foreign-answer"));
    }
    if !head.headers.contains_key(&names.signature) {
        connection.poison();
        return Err(ResponseError::Invalid("unsigned-answer"));
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        connection.poison();
        return Err(ResponseError::Invalid("encoded-answer"));
    }
    let content = read_whole(body, MAX_ANSWER_BYTES, &context.held_bytes);
    let content = match timeout_at(deadline.into(), content).await {
        Err(_) => return Err(ResponseError::TimedOut),
        Ok(Err(WholeBodyError::Broken(_))) => return Err(ResponseError::Invalid("broken-answer")),
        Ok(Err(WholeBodyError::OverLimit { .. } | WholeBodyError::NoMemory)) => {
            connection.poison();
            return Err(ResponseError::Invalid("answer-too-long"));
        }
        Ok(Ok(content)) => content,
    };
    strip_hop_by_hop_headers(&mut head.headers);
    for name in [EXECUTION_HEADER, LOAD_HEADER] {
        head.headers.remove(name);
    }
    if !content.is_empty() {
        head.headers.remove(CONTENT_LENGTH);
    }
    Ok(Response::from_parts(head, Full::new(content)))
}
