//! Calls with idempotency keys: recording a key before its call runs and replaying stored responses.

use {
    super::{
        ExchangeBody,
        body::{BodyError, DeadlineBody},
    },
    crate::{
        call_events::{BodyEnd, CallOutcome, CallRefusal},
        config::ServiceKey,
        ids::RouteName,
    },
    bytes::{Bytes, BytesMut},
    derive_more::Debug,
    futures::{StreamExt, future::BoxFuture, stream},
    http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE},
    http_body::Frame,
    http_body_util::{BodyExt, BodyStream, Full, StreamBody},
    sha2::{Digest, Sha256},
    std::{sync::Arc, time::Instant},
    tokio::time::timeout_at,
    tokio_util::task::TaskTracker,
};

/// Longest response body stored for replay.
pub const MAX_STORED_BODY_BYTES: usize = 8 * 1024;

/// A call that carries an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedCall {
    /// Service called.
    pub service: ServiceKey,
    /// Route called.
    pub route: RouteName,
    /// The idempotency key.
    pub idempotency_key: String,
    /// Digest of the request's method, path and length. Reuse of the key for another request is detected only if one of
    /// these differs.
    pub fingerprint: String,
}

/// A stored response, returned to repeats of a keyed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RepeatResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body; none if it is longer than `MAX_STORED_BODY_BYTES`.
    pub body: Option<Bytes>,
}

/// Recorded state of an earlier call with the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedRepeat {
    /// The earlier call has a response.
    Answered(RepeatResponse),
    /// The earlier call is still running, or its outcome is unknown.
    Unfinished,
    /// The key was used for a different request.
    OtherRequest,
}

/// Result of recording the key of a call.
#[derive(Debug)]
pub enum KeyedStart {
    /// The call is the first with its key and may run.
    Run(KeyedTicket),
    /// The key was used before.
    Repeat(KeyedRepeat),
    /// The key could not be recorded, for the reason given; the call must not run.
    Unavailable(String),
}

/// Permission to run a keyed call once.
///
/// At most one of the closures is called; if the outcome of the call is unknown, neither is, and the key stays taken.
#[derive(Debug)]
pub struct KeyedTicket {
    /// Stores the response for repeats.
    #[debug(skip)]
    pub finish: Box<dyn FnOnce(RepeatResponse) -> BoxFuture<'static, ()> + Send>,
    /// Releases the key of a call that was not run.
    #[debug(skip)]
    pub release: Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>,
}

/// Access to the store of idempotency keys.
#[derive(Clone, Debug)]
pub struct KeyedHooks {
    /// Records a key before its call runs.
    #[debug(skip)]
    pub begin: Arc<dyn Fn(KeyedCall) -> BoxFuture<'static, KeyedStart> + Send + Sync>,
}

/// Returns the hexadecimal digest of a request's method, path and declared length.
///
/// The body itself is streamed while the call runs, so it cannot be part of the digest.
pub fn request_fingerprint(method: &str, path_and_query: &str, length: Option<u64>) -> String {
    let length = length.map_or_else(|| "chunked".to_owned(), |length| length.to_string());
    let digest = Sha256::digest(format!("{method} {path_and_query} {length}"));
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// How to proceed with a keyed call that is not refused.
pub enum KeyedDecision {
    /// The call is the first with its key and may run.
    Run(KeyedTicket),
    /// The stored response to an earlier call with the same key.
    Replay(Response<ExchangeBody>),
}

/// Records the key of a call; if the key was used before, returns the stored response or a refusal.
pub async fn begin_keyed_call(
    hooks: Option<&KeyedHooks>,
    call: KeyedCall,
) -> Result<KeyedDecision, CallRefusal> {
    let start = match hooks {
        Some(hooks) => (hooks.begin)(call).await,
        None => KeyedStart::Unavailable("this node has no store of idempotency keys".to_owned()),
    };
    match start {
        KeyedStart::Run(ticket) => Ok(KeyedDecision::Run(ticket)),
        KeyedStart::Repeat(repeat) => replay_response(repeat).map(KeyedDecision::Replay),
        KeyedStart::Unavailable(cause) => {
            let message = format!("record the idempotency key: {cause}");
            Err(CallRefusal::not_run(503, "key-record-unavailable", message))
        }
    }
}

fn replay_response(repeat: KeyedRepeat) -> Result<Response<ExchangeBody>, CallRefusal> {
    match repeat {
        KeyedRepeat::Answered(stored) => stored_response(stored),
        KeyedRepeat::Unfinished => {
            let message =
                "look up the idempotency key: the first call with it has no known outcome";
            Err(CallRefusal::unknown(409, "key-unsettled", message))
        }
        KeyedRepeat::OtherRequest => {
            let message = "look up the idempotency key: it belongs to a different request; this one was not run";
            Err(CallRefusal::not_run(409, "key-reused", message))
        }
    }
}

fn stored_response(stored: RepeatResponse) -> Result<Response<ExchangeBody>, CallRefusal> {
    let Some(body) = stored.body else {
        let message = format!(
            "look up the idempotency key: the first call with it got a response with status {}, whose \
             body is too long to be stored for repeats",
            stored.status
        );
        // This repeat was not run, but the outcome that the caller asks for is that of the call, which did run.
        return Err(CallRefusal::unknown(409, "key-answered", message));
    };
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let content_type = stored.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(content_type)) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    Ok(response)
}

fn full_body(body: Bytes) -> ExchangeBody {
    Full::new(body)
        .map_err(|never| -> BodyError { match never {} })
        .boxed_unsync()
}

/// Updates the record of a keyed call with its outcome, and returns the response for the caller.
///
/// A response short enough to be stored is first read to its end, so that it is stored even if the caller disconnects.
/// The record of a call with an unknown outcome is left unchanged.
pub async fn record_keyed_outcome(
    exchanges: &TaskTracker,
    ticket: KeyedTicket,
    result: Result<Response<ExchangeBody>, CallRefusal>,
    deadline: Instant,
) -> Result<Response<ExchangeBody>, CallRefusal> {
    match result {
        Ok(response) => record_response(exchanges, ticket, response, deadline).await,
        Err(refusal) => {
            if refusal.outcome == CallOutcome::NotRun {
                (ticket.release)().await;
            }
            Err(refusal)
        }
    }
}

async fn record_response(
    exchanges: &TaskTracker,
    ticket: KeyedTicket,
    response: Response<ExchangeBody>,
    deadline: Instant,
) -> Result<Response<ExchangeBody>, CallRefusal> {
    let (head, mut body) = response.into_parts();
    let content_type = head.headers.get(CONTENT_TYPE);
    let mut stored = RepeatResponse {
        status: head.status.as_u16(),
        content_type: content_type.and_then(|value| value.to_str().ok().map(str::to_owned)),
        body: None,
    };
    let prefix = match timeout_at(deadline.into(), read_prefix(&mut body)).await {
        Ok(Ok(prefix)) => prefix,
        Ok(Err(cause)) => return Err(read_failure_refusal(502, "answer-broke-off", &cause)),
        Err(_) => {
            return Err(read_failure_refusal(
                504,
                "deadline",
                &BodyError::DeadlinePassed,
            ));
        }
    };
    let exchanges = exchanges.clone();
    let body = match prefix.is_complete {
        true => {
            stored.body = Some(prefix.bytes.clone());
            exchanges.spawn((ticket.finish)(stored));
            full_body(prefix.bytes)
        }
        false => finish_after_last_byte(prefix.bytes, body, deadline, move || {
            exchanges.spawn((ticket.finish)(stored));
        }),
    };
    Ok(Response::from_parts(head, body))
}

fn read_failure_refusal(status: u16, reason: &'static str, cause: &BodyError) -> CallRefusal {
    let message = format!("read the response to a keyed call: {cause}");
    CallRefusal::unknown(status, reason, message)
}

/// The first bytes of a response body, or all of it.
struct ResponsePrefix {
    bytes: Bytes,
    is_complete: bool,
}

async fn read_prefix(body: &mut ExchangeBody) -> Result<ResponsePrefix, BodyError> {
    let mut bytes = BytesMut::new();
    while bytes.len() <= MAX_STORED_BODY_BYTES {
        let Some(frame) = body.frame().await else {
            break;
        };
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(ResponsePrefix {
        is_complete: bytes.len() <= MAX_STORED_BODY_BYTES,
        bytes: bytes.freeze(),
    })
}

/// Returns the body of a response too long to store; `finish` is called once all of it has been sent.
fn finish_after_last_byte(
    prefix: Bytes,
    rest: ExchangeBody,
    deadline: Instant,
    finish: impl FnOnce() + Send + 'static,
) -> ExchangeBody {
    let on_end = Box::new(move |end| {
        if end == BodyEnd::Whole {
            finish();
        }
    });
    let rest = DeadlineBody::new(rest, deadline, on_end);
    let first = stream::iter([Ok(Frame::data(prefix))]);
    StreamBody::new(first.chain(BodyStream::new(rest))).boxed_unsync()
}
