//! The response to the caller, and the event that reports the end of the call.

use {
    super::{
        CallContext, ExchangeBody,
        attempt::AttemptGuard,
        body::DeadlineBody,
        headers::{refusal_response, take_exchange_time},
        routing::RoutedCall,
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

/// Data for the final event of a call, collected until its response has ended; dropping it early reports the call as
/// cancelled.
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
    guard: Option<AttemptGuard>,
    ended: bool,
    _token: TaskTrackerToken,
}

impl CallProgress {
    /// Starts the measurement of a call that has just arrived.
    pub fn new(context: Arc<CallContext>) -> Self {
        Self {
            number: context.next_call_number(),
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
            guard: None,
            ended: false,
        }
    }

    /// Returns when the call arrived.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Returns the number of the call at this node.
    pub fn number(&self) -> CallNumber {
        self.number
    }

    /// Sets the service and route that the call matched.
    pub fn set_route(&mut self, call: &RoutedCall) {
        self.key = Some(call.key.clone());
        self.route = Some(call.route.name.clone());
    }

    /// Counts an attempt and records its version and the node of its target.
    pub fn record_attempt(&mut self, version: &VersionName, node: &NodeId) {
        self.attempts += 1;
        self.version = Some(version.clone());
        self.node = Some(node.clone());
    }

    /// Keeps the guard of the attempt whose response is returned until that response has ended.
    pub fn hold_guard(&mut self, guard: AttemptGuard) {
        self.guard = Some(guard);
    }

    fn record_head(&mut self, status: StatusCode) {
        self.status = status.as_u16();
        self.head_latency = Some(self.started.elapsed());
    }

    fn finish(mut self, end: BodyEnd) {
        if end == BodyEnd::Whole
            && let Some(guard) = self.guard.as_mut()
        {
            guard.detach_upload();
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

/// Refuses a call and reports its end.
pub fn refuse(mut progress: CallProgress, refusal: CallRefusal) -> Response<ExchangeBody> {
    let response = refusal_response(&refusal);
    progress.record_head(response.status());
    progress.refusal = Some(refusal);
    progress.finish(BodyEnd::Whole);
    response
}

/// Returns a target's response to the caller; the end of the response body is reported as the end of the call.
pub fn respond(
    mut progress: CallProgress,
    mut response: Response<ExchangeBody>,
    deadline: Instant,
) -> Response<ExchangeBody> {
    progress.record_head(response.status());
    progress.exchange_time = take_exchange_time(response.headers_mut());
    response.map(|body| {
        let on_end = Box::new(move |end| progress.finish(end));
        DeadlineBody::new(body, deadline, on_end).boxed_unsync()
    })
}
