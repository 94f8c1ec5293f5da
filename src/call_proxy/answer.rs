//! The answer to the caller and the event at its end.

use {
    super::{
        CallContext, ExchangeBody,
        attempt::AnswerHold,
        body::{BodyError, WatchedBody},
        headers::refusal_response,
        intake::RoutedCall,
        keyed::{KEPT_ANSWER_BYTES, KeptAnswer, KeyedRepeat, KeyedTicket},
    },
    crate::{
        call_events::{BodyEnd, CallEnd, CallNumber, CallRefusal, CallSide},
        config::ServiceKey,
        ids::{NodeId, RouteName, VersionName},
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::{BodyExt, Full},
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio_util::task::task_tracker::TaskTrackerToken,
};

/// What is known of a call until its answer has ended; dropping it reports a cancelled call.
#[derive(Debug)]
pub struct CallProgress {
    context: Arc<CallContext>,
    number: CallNumber,
    started: Instant,
    key: Option<ServiceKey>,
    route: Option<RouteName>,
    version: Option<VersionName>,
    node: Option<NodeId>,
    attempts: u32,
    status: u16,
    refusal: Option<CallRefusal>,
    head_latency: Option<Duration>,
    hold: Option<AnswerHold>,
    ended: bool,
    _token: TaskTrackerToken,
}

impl CallProgress {
    /// Starts with the arrival of a call.
    pub fn new(context: Arc<CallContext>) -> Self {
        Self {
            number: context.next_call(),
            _token: context.exchanges.token(),
            context,
            started: Instant::now(),
            key: None,
            route: None,
            version: None,
            node: None,
            attempts: 0,
            status: 0,
            refusal: None,
            head_latency: None,
            hold: None,
            ended: false,
        }
    }

    /// Returns when the call arrived.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Returns the number of the call.
    pub fn number(&self) -> CallNumber {
        self.number
    }

    /// Notes the route of the call.
    pub fn note_route(&mut self, call: &RoutedCall) {
        self.key = Some(call.key.clone());
        self.route = Some(call.route.name.clone());
    }

    /// Notes an attempt.
    pub fn note_attempt(&mut self, version: &VersionName, node: &NodeId) {
        self.attempts += 1;
        self.version = Some(version.clone());
        self.node = Some(node.clone());
    }

    /// Keeps what belongs to the attempt whose answer is handed on.
    pub fn hold(&mut self, hold: AnswerHold) {
        self.hold = Some(hold);
    }

    fn note_head(&mut self, status: StatusCode) {
        self.status = status.as_u16();
        self.head_latency = Some(self.started.elapsed());
    }

    fn finish(mut self, end: BodyEnd) {
        if end == BodyEnd::Whole
            && let Some(hold) = self.hold.as_mut()
        {
            hold.keep_upload();
        }
        self.report(end);
    }

    fn report(&mut self, end: BodyEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        let total_latency = self.started.elapsed();
        let event = CallEnd {
            call: self.number,
            side: CallSide::Entry,
            key: self.key.take(),
            route: self.route.take(),
            version: self.version.take(),
            node: self.node.take(),
            status: self.status,
            refusal: self.refusal.take(),
            body: end,
            attempts: self.attempts,
            head_latency: self.head_latency.unwrap_or(total_latency),
            total_latency,
        };
        (self.context.hooks.on_end)(&event);
    }
}

impl Drop for CallProgress {
    fn drop(&mut self) {
        self.report(BodyEnd::Cancelled);
    }
}

/// Answers a call with a refusal.
pub fn give_refusal(mut progress: CallProgress, refusal: CallRefusal) -> Response<ExchangeBody> {
    let response = refusal_response(&refusal);
    progress.note_head(response.status());
    progress.refusal = Some(refusal);
    progress.finish(BodyEnd::Whole);
    response
}

/// Answers a call with a target's answer, whose body ends the record of the call.
pub fn give_answer(
    mut progress: CallProgress,
    response: Response<ExchangeBody>,
    call: &RoutedCall,
    ticket: Option<KeyedTicket>,
) -> Response<ExchangeBody> {
    progress.note_head(response.status());
    let context = progress.context.clone();
    let keeper = ticket.map(|ticket| AnswerKeeper::new(&response, ticket));
    let kept = keeper.as_ref().map(|keeper| keeper.kept.clone());
    response.map(|body| {
        let body = match kept {
            Some(kept) => body
                .map_frame(move |frame| {
                    if let Some(data) = frame.data_ref() {
                        kept.lock().add(data);
                    }
                    frame
                })
                .boxed_unsync(),
            None => body,
        };
        let watcher = Box::new(move |end| {
            if let Some(keeper) = keeper
                && end == BodyEnd::Whole
            {
                context.exchanges.spawn(keeper.record());
            }
            progress.finish(end);
        });
        WatchedBody::new(body, call.deadline, watcher).boxed_unsync()
    })
}

/// Beginning of an answer's body.
///
/// Invariant: `bytes` is none once the body is longer than `KEPT_ANSWER_BYTES`.
#[derive(Debug)]
struct KeptBody {
    bytes: Option<BytesMut>,
}

impl KeptBody {
    fn add(&mut self, data: &Bytes) {
        let Some(bytes) = self.bytes.as_mut() else {
            return;
        };
        if bytes.len() + data.len() > KEPT_ANSWER_BYTES {
            self.bytes = None;
        } else {
            bytes.extend_from_slice(data);
        }
    }
}

/// Keeps the answer of a keyed call for repeats.
struct AnswerKeeper {
    status: u16,
    content_type: Option<String>,
    kept: Arc<Mutex<KeptBody>>,
    ticket: KeyedTicket,
}

impl AnswerKeeper {
    fn new(response: &Response<ExchangeBody>, ticket: KeyedTicket) -> Self {
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        Self {
            status: response.status().as_u16(),
            content_type: content_type.map(str::to_owned),
            kept: Arc::new(Mutex::new(KeptBody {
                bytes: Some(BytesMut::new()),
            })),
            ticket,
        }
    }

    async fn record(self) {
        let body = self.kept.lock().bytes.take().map(BytesMut::freeze);
        let answer = KeptAnswer {
            status: self.status,
            content_type: self.content_type,
            body,
        };
        (self.ticket.finish)(answer).await;
    }
}

/// Returns the answer to a call whose key was used before, with the refusal if it is one.
pub fn repeat_answer(repeat: KeyedRepeat) -> (Response<ExchangeBody>, Option<CallRefusal>) {
    let refusal = match repeat {
        KeyedRepeat::Answered(kept) => match kept_response(kept) {
            Ok(response) => return (response, None),
            Err(refusal) => refusal,
        },
        KeyedRepeat::Unsettled => {
            let message = "the first call with this key has no known outcome yet";
            CallRefusal::unknown(409, "key-unsettled", message)
        }
        KeyedRepeat::OtherRequest => {
            let message = "this key belongs to another request; this one was not run";
            CallRefusal::not_run(409, "key-reused", message)
        }
    };
    (refusal_response(&refusal), Some(refusal))
}

fn kept_response(kept: KeptAnswer) -> Result<Response<ExchangeBody>, CallRefusal> {
    let Some(body) = kept.body else {
        let message = format!(
            "the first call with this key was answered with status {}; its answer is too long to keep",
            kept.status
        );
        return Err(CallRefusal::unknown(409, "key-answered", message));
    };
    let body = Full::new(body).map_err(|never| -> BodyError { match never {} });
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let content_type = kept.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(content_type)) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    Ok(response)
}
