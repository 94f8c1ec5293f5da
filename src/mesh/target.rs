//! Server for other nodes: admission of a call and its exchange with the own target.

use {
    super::{
        admission::{AdmissionRefusal, SlotAsk},
        context::MeshContext,
        evidence::ExchangeTrace,
        hop::{CHOICE_HEADER, FATE_HEADER, HopChoice, LOAD_HEADER, set_load},
        http::read_whole,
        refusal::{MeshRefusal, WholeBody},
        registry::InstanceId,
    },
    crate::{
        call_proxy::headers::strip_connection_headers,
        retry_budget::AttemptFate,
        target_client::{ExchangeError, TrackedAnswer},
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderValue, Request, Response, StatusCode,
        header::{CONTENT_ENCODING, CONTENT_LENGTH},
        request::Parts,
    },
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
    tracing::{info, warn},
};

/// Longest answer that is passed on, in bytes.
pub const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Longest request that is taken, in bytes; the configuration may set less.
pub const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// Time after which a caller may try a target again that could not be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(200);

/// Body of a call on its way to the own target.
pub enum CallBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that another node sends once it is read.
    Coming(Incoming),
}

/// Answers a call that another node sends on.
pub async fn answer_hop(
    context: Arc<MeshContext>,
    request: Request<Incoming>,
) -> Response<WholeBody> {
    let (head, body) = request.into_parts();
    let Some(choice) = HopChoice::parse(&head.headers) else {
        return MeshRefusal::rejected(StatusCode::BAD_REQUEST, "invalid-hop").hop_answer();
    };
    let answered = run_at_target(&context, &choice, &head, CallBody::Coming(body)).await;
    let mut response = answered.unwrap_or_else(|refusal| refusal.hop_answer());
    let load = context.queue.load_for(&choice.route);
    set_load(response.headers_mut(), &load);
    response
}

/// Admits a call and exchanges it with the own target.
pub async fn run_at_target(
    context: &Arc<MeshContext>,
    choice: &HopChoice,
    head: &Parts,
    body: CallBody,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let deadline = Instant::now() + choice.left;
    find_instance(context, choice)?;
    let ask = SlotAsk {
        route: &choice.route,
        rank: choice.rank,
        due: choice.due,
        deadline,
        finish_within: choice.finish_within,
    };
    let permit = context.queue.acquire(ask).await.map_err(|refusal| {
        let wait = context.queue.load().expected_wait();
        match refusal {
            AdmissionRefusal::Full => MeshRefusal::not_run("full", wait),
            AdmissionRefusal::Closed => MeshRefusal::not_run("target-leaving", UNREACHABLE_RETRY),
        }
    })?;
    // The target may have left, or another may have its address, since the call began to wait.
    let instance = find_instance(context, choice)?;
    let content = match body {
        CallBody::Whole(content) => content,
        CallBody::Coming(body) => timeout_at(deadline.into(), read_whole(body, MAX_REQUEST_BYTES))
            .await
            .ok()
            .and_then(Result::ok)
            .ok_or_else(|| MeshRefusal::not_run("body-missing", UNREACHABLE_RETRY))?,
    };
    let request = target_request(context, choice, head, content, &instance, deadline);
    let begun = Instant::now();
    let answered = exchange(context, choice, request, deadline).await;
    drop(permit);
    if let Err(refusal) = &answered {
        report_failure(context, choice, head, &instance, refusal, begun.elapsed());
    }
    answered
}

/// Logs an exchange that gave no answer, by the identifier of the call.
fn report_failure(
    context: &MeshContext,
    choice: &HopChoice,
    head: &Parts,
    instance: &str,
    refusal: &MeshRefusal,
    elapsed: Duration,
) {
    if !context.call_lines.take(Instant::now()) {
        return;
    }
    let call = head.headers.get(&context.settings.headers.call_id);
    let load = context.queue.load();
    info!(
        decision = "exchange",
        call = call.and_then(|value| value.to_str().ok()),
        route = choice.route,
        version = choice.version,
        instance,
        fate = %refusal.fate,
        reason = %refusal.reason,
        elapsed_ms = elapsed.as_millis() as u64,
        running = load.running,
        waiting = load.waiting,
        "the target gave no answer"
    );
}

fn find_instance(context: &MeshContext, choice: &HopChoice) -> Result<InstanceId, MeshRefusal> {
    let refuse = |reason| MeshRefusal::not_run(reason, UNREACHABLE_RETRY);
    let registry = context.registry.lock();
    let report = registry.present().ok_or_else(|| refuse("no-target"))?;
    if report.service != choice.service || report.version != choice.version {
        return Err(refuse("other-target"));
    }
    if report.draining {
        return Err(refuse("target-leaving"));
    }
    Ok(report.instance.clone())
}

fn target_request(
    context: &MeshContext,
    choice: &HopChoice,
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
    let left = deadline.saturating_duration_since(Instant::now());
    let headers = request.headers_mut();
    headers.insert(&names.deadline, HeaderValue::from(left.as_millis() as u64));
    for (name, text) in [
        (&names.expected_instance, instance),
        (&names.caller, &choice.caller),
    ] {
        match HeaderValue::from_str(text) {
            Ok(value) => drop(headers.insert(name, value)),
            Err(_) => warn!(header = %name, text, "a name is not valid in a header"),
        }
    }
    request
}

/// Returns the headers of a request that go on to the next receiver.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    strip_connection_headers(&mut forwarded);
    for name in [CHOICE_HEADER, FATE_HEADER, LOAD_HEADER] {
        forwarded.remove(name);
    }
    forwarded
}

async fn exchange(
    context: &Arc<MeshContext>,
    choice: &HopChoice,
    request: Request<Bytes>,
    deadline: Instant,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let left = deadline.saturating_duration_since(Instant::now());
    let call_id = request
        .headers()
        .get(&context.settings.headers.call_id)
        .cloned();
    let trace = ExchangeTrace::new(context.clone(), choice, left);
    let request = request.map(|content| {
        let body = Full::new(content);
        body.map_err(|never| match never {}).boxed_unsync()
    });
    let sent = timeout_at(deadline.into(), context.target.send_tracked(request)).await;
    let answer = match sent {
        Err(_) => return Err(end_late(trace)),
        Ok(Err(error)) => return Err(end_broken(trace, &error)),
        Ok(Ok(answer)) => answer,
    };
    match read_answer(context, call_id.as_ref(), answer, deadline).await {
        Ok(response) => {
            trace.end(response.status().is_server_error());
            Ok(response)
        }
        Err(AnswerFault::NotRun) => {
            trace.end_not_run();
            let wait = context.queue.load().expected_wait();
            Err(MeshRefusal::not_run("target-shed", wait))
        }
        Err(AnswerFault::Late) => Err(end_late(trace)),
        Err(AnswerFault::Spoilt(reason)) => {
            trace.end(true);
            Err(MeshRefusal::unknown(StatusCode::BAD_GATEWAY, reason))
        }
    }
}

fn end_late(trace: ExchangeTrace) -> MeshRefusal {
    trace.end(true);
    MeshRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline")
}

fn end_broken(trace: ExchangeTrace, error: &ExchangeError) -> MeshRefusal {
    match error.fate {
        AttemptFate::NotRun => {
            trace.end_not_run();
            MeshRefusal::not_run("target-unreachable", UNREACHABLE_RETRY)
        }
        AttemptFate::Unknown | AttemptFate::ServerError => {
            trace.end(true);
            MeshRefusal::unknown(StatusCode::BAD_GATEWAY, "target-broke-off")
        }
    }
}

/// Why an answer of the target is not passed on.
enum AnswerFault {
    /// The target says that it did not run the request.
    NotRun,
    /// The deadline passed before the end of the answer.
    Late,
    /// The bytes are not a whole answer to this request.
    Spoilt(&'static str),
}

/// Reads an answer whole and checks that it is the target's answer to this request.
///
/// A connection that carried anything else is not used again, because it may hold further bytes that belong to
/// no request.
async fn read_answer(
    context: &MeshContext,
    call_id: Option<&HeaderValue>,
    answer: TrackedAnswer,
    deadline: Instant,
) -> Result<Response<WholeBody>, AnswerFault> {
    let names = &context.settings.headers;
    let TrackedAnswer {
        response,
        connection,
    } = answer;
    let (mut head, body) = response.into_parts();
    let echoed = head.headers.get(&names.call_id);
    if head.headers.contains_key(&names.not_run) && (echoed.is_none() || echoed == call_id) {
        return Err(AnswerFault::NotRun);
    }
    if echoed != call_id {
        connection.poison();
        return Err(AnswerFault::Spoilt("foreign-answer"));
    }
    if !head.headers.contains_key(&names.signature) {
        connection.poison();
        return Err(AnswerFault::Spoilt("unsigned-answer"));
    }
    if head.headers.contains_key(CONTENT_ENCODING) {
        connection.poison();
        return Err(AnswerFault::Spoilt("encoded-answer"));
    }
    let content = match timeout_at(deadline.into(), read_whole(body, MAX_ANSWER_BYTES)).await {
        Err(_) => return Err(AnswerFault::Late),
        Ok(Err(_)) => return Err(AnswerFault::Spoilt("broken-answer")),
        Ok(Ok(content)) => content,
    };
    strip_connection_headers(&mut head.headers);
    for name in [FATE_HEADER, LOAD_HEADER] {
        head.headers.remove(name);
    }
    if !content.is_empty() {
        head.headers.remove(CONTENT_LENGTH);
    }
    Ok(Response::from_parts(head, Full::new(content)))
}
