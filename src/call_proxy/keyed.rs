//! Connection of the call path to the records of idempotency keys.

use {
    super::{
        ExchangeBody,
        body::{BodyError, WatchedBody},
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

/// Longest answer body kept for repeats.
pub const KEPT_ANSWER_BYTES: usize = 8 * 1024;

/// A call that carries an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedCall {
    /// Service called.
    pub key: ServiceKey,
    /// Route called.
    pub route: RouteName,
    /// The idempotency key.
    pub idempotency_key: String,
    /// Digest of what identifies the request besides its key.
    pub fingerprint: String,
}

/// An answer that repeats of a keyed call receive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body; none if it is longer than `KEPT_ANSWER_BYTES`.
    pub body: Option<Bytes>,
}

/// What a record says about an earlier call with the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedRepeat {
    /// The earlier call was answered.
    Answered(KeptAnswer),
    /// The earlier call runs, or its outcome is unknown.
    Unsettled,
    /// The earlier call was another request under the same key.
    OtherRequest,
}

/// What to do with a keyed call.
#[derive(Debug)]
pub enum KeyedStart {
    /// The call is the first with its key and may run.
    Run(KeyedTicket),
    /// The key was used before.
    Repeat(KeyedRepeat),
    /// No record could be written; the call must not run.
    Unavailable(String),
}

/// The right to run a keyed call once; exactly one of its closures is called, or none if the outcome
/// stays unknown.
#[derive(Debug)]
pub struct KeyedTicket {
    /// Records the answer.
    #[debug(skip)]
    pub finish: Box<dyn FnOnce(KeptAnswer) -> BoxFuture<'static, ()> + Send>,
    /// Removes the record of a call that was not run.
    #[debug(skip)]
    pub abandon: Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>,
}

/// Access to the records of idempotency keys.
#[derive(Clone, Debug)]
pub struct KeyedHooks {
    /// Records a key before its call runs.
    #[debug(skip)]
    pub begin: Arc<dyn Fn(KeyedCall) -> BoxFuture<'static, KeyedStart> + Send + Sync>,
}

/// Returns the digest of what identifies a request besides its key and its body.
///
/// The body is streamed while the call runs, so only its declared length takes part.
pub fn request_fingerprint(method: &str, path_and_query: &str, length: Option<u64>) -> String {
    let length = length.map_or_else(|| "chunked".to_owned(), |length| length.to_string());
    let digest = Sha256::digest(format!("{method} {path_and_query} {length}"));
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A keyed call that may be answered.
pub enum KeyedBegin {
    /// The call is the first with its key and may run.
    First(KeyedTicket),
    /// The answer to an earlier call with the same key.
    Answered(Response<ExchangeBody>),
}

/// Records the key of a call, or finds what became of an earlier call with it.
pub async fn begin_keyed(
    hooks: Option<&KeyedHooks>,
    call: KeyedCall,
) -> Result<KeyedBegin, CallRefusal> {
    let start = match hooks {
        Some(hooks) => (hooks.begin)(call).await,
        None => KeyedStart::Unavailable("this node keeps no records of keys".to_owned()),
    };
    match start {
        KeyedStart::Run(ticket) => Ok(KeyedBegin::First(ticket)),
        KeyedStart::Repeat(repeat) => repeat_answer(repeat).map(KeyedBegin::Answered),
        KeyedStart::Unavailable(cause) => {
            let message = format!("record the idempotency key: {cause}");
            Err(CallRefusal::not_run(503, "key-record-unavailable", message))
        }
    }
}

fn repeat_answer(repeat: KeyedRepeat) -> Result<Response<ExchangeBody>, CallRefusal> {
    match repeat {
        KeyedRepeat::Answered(kept) => kept_response(kept),
        KeyedRepeat::Unsettled => {
            let message = "find the key: the first call with it has no known outcome";
            Err(CallRefusal::unknown(409, "key-unsettled", message))
        }
        KeyedRepeat::OtherRequest => {
            let message = "find the key: it belongs to another request; this one was not run";
            Err(CallRefusal::not_run(409, "key-reused", message))
        }
    }
}

fn kept_response(kept: KeptAnswer) -> Result<Response<ExchangeBody>, CallRefusal> {
    let Some(body) = kept.body else {
        let message = format!(
            "find the key: the first call with it was answered with status {}, at greater length \
             than is kept",
            kept.status
        );
        // The call ran, but this repeat did not; the caller asks about the call.
        return Err(CallRefusal::unknown(409, "key-answered", message));
    };
    let mut response = Response::new(whole(body));
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let content_type = kept.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(content_type)) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    Ok(response)
}

fn whole(body: Bytes) -> ExchangeBody {
    Full::new(body)
        .map_err(|never| -> BodyError { match never {} })
        .boxed_unsync()
}

/// Settles the record of a keyed call by its outcome, and returns the answer for the caller.
///
/// An answer short enough to be kept is read to its end first, so the record does not depend on the
/// caller's patience. The record of a call with an unknown outcome stays as it is.
pub async fn settle_keyed(
    exchanges: &TaskTracker,
    ticket: KeyedTicket,
    answered: Result<Response<ExchangeBody>, CallRefusal>,
    deadline: Instant,
) -> Result<Response<ExchangeBody>, CallRefusal> {
    match answered {
        Ok(response) => keep_answer(exchanges, ticket, response, deadline).await,
        Err(refusal) => {
            if refusal.outcome == CallOutcome::NotRun {
                (ticket.abandon)().await;
            }
            Err(refusal)
        }
    }
}

async fn keep_answer(
    exchanges: &TaskTracker,
    ticket: KeyedTicket,
    response: Response<ExchangeBody>,
    deadline: Instant,
) -> Result<Response<ExchangeBody>, CallRefusal> {
    let (head, mut body) = response.into_parts();
    let content_type = head.headers.get(CONTENT_TYPE);
    let mut kept = KeptAnswer {
        status: head.status.as_u16(),
        content_type: content_type.and_then(|value| value.to_str().ok().map(str::to_owned)),
        body: None,
    };
    let beginning = match timeout_at(deadline.into(), read_beginning(&mut body)).await {
        Ok(Ok(beginning)) => beginning,
        Ok(Err(cause)) => return Err(broken_answer(502, "answer-broke-off", &cause)),
        Err(_) => return Err(broken_answer(504, "deadline", &BodyError::DeadlinePassed)),
    };
    let exchanges = exchanges.clone();
    let body = match beginning.ended {
        true => {
            kept.body = Some(beginning.bytes.clone());
            exchanges.spawn((ticket.finish)(kept));
            whole(beginning.bytes)
        }
        false => finish_at_end(beginning.bytes, body, deadline, move || {
            exchanges.spawn((ticket.finish)(kept));
        }),
    };
    Ok(Response::from_parts(head, body))
}

fn broken_answer(status: u16, reason: &'static str, cause: &BodyError) -> CallRefusal {
    let message = format!("read the answer to a keyed call: {cause}");
    CallRefusal::unknown(status, reason, message)
}

/// Beginning of an answer's body, or all of it.
struct AnswerBeginning {
    bytes: Bytes,
    ended: bool,
}

async fn read_beginning(body: &mut ExchangeBody) -> Result<AnswerBeginning, BodyError> {
    let mut bytes = BytesMut::new();
    while bytes.len() <= KEPT_ANSWER_BYTES {
        let Some(frame) = body.frame().await else {
            break;
        };
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(AnswerBeginning {
        ended: bytes.len() <= KEPT_ANSWER_BYTES,
        bytes: bytes.freeze(),
    })
}

/// Hands on a long answer and calls `finish` once it has been handed on whole.
fn finish_at_end(
    beginning: Bytes,
    rest: ExchangeBody,
    deadline: Instant,
    finish: impl FnOnce() + Send + 'static,
) -> ExchangeBody {
    let watcher = Box::new(move |end| {
        if end == BodyEnd::Whole {
            finish();
        }
    });
    let rest = WatchedBody::new(rest, deadline, watcher);
    let first = stream::iter([Ok(Frame::data(beginning))]);
    StreamBody::new(first.chain(BodyStream::new(rest))).boxed_unsync()
}
