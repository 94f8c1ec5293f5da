//! The answer to the caller and the event at its end.

use {
    super::{
        CallContext, ExchangeBody,
        attempt::AnswerHold,
        body::WatchedBody,
        headers::{refusal_response, take_exchange_time},
        intake::RoutedCall,
    },
    crate::{
        call_events::{BodyEnd, CallEnd, CallNumber, CallRefusal, CallSide},
        config::ServiceKey,
        ids::{NodeId, RouteName, VersionName},
    },
    http::{Response, StatusCode},
    http_body_util::BodyExt,
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
    exchange_time: Option<Duration>,
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
            exchange_time: None,
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
            exchange_time: self.exchange_time,
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
    mut response: Response<ExchangeBody>,
    deadline: Instant,
) -> Response<ExchangeBody> {
    progress.note_head(response.status());
    progress.exchange_time = take_exchange_time(response.headers_mut());
    response.map(|body| {
        let watcher = Box::new(move |end| progress.finish(end));
        WatchedBody::new(body, deadline, watcher).boxed_unsync()
    })
}
