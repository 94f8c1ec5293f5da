//! What is held and recorded while a call is at the target.

use {
    super::TargetCall,
    crate::{
        call_events::{BodyEnd, CallEnd, CallRefusal, CallSide},
        call_evidence::CallObservation,
        call_proxy::CallContext,
        config::RouteSpec,
        limit_share::LimitScope,
        slot_gate::PoolPermit,
    },
    http::StatusCode,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio_util::{sync::CancellationToken, task::task_tracker::TaskTrackerToken},
};

/// Part of the deadline after which a cancelled call counts as one that missed its deadline.
///
/// The entry node and the target's node measure the same deadline, and whichever is first ends the call.
const LATE_PART: f64 = 0.9;

/// Slot and limits of a call, held until both bodies of the exchange have ended.
#[derive(Debug)]
pub struct ExchangeHold {
    context: Arc<CallContext>,
    permit: Option<PoolPermit>,
    scopes: Arc<[LimitScope]>,
    unfinished: AtomicBool,
    cancel: CancellationToken,
    _token: TaskTrackerToken,
}

impl ExchangeHold {
    /// Holds a slot and an admission under limits.
    pub fn new(
        context: Arc<CallContext>,
        permit: PoolPermit,
        scopes: Arc<[LimitScope]>,
    ) -> Arc<Self> {
        let token = context.exchanges.token();
        Arc::new(Self {
            context,
            permit: Some(permit),
            scopes,
            unfinished: AtomicBool::new(true),
            cancel: CancellationToken::new(),
            _token: token,
        })
    }

    /// Returns the token that ends the upload of the request.
    pub fn cancel_token(&self) -> &CancellationToken {
        &self.cancel
    }

    /// Returns what ends the exchange for the answer's side.
    pub fn ending(self: &Arc<Self>) -> ExchangeEnding {
        ExchangeEnding { hold: self.clone() }
    }
}

impl Drop for ExchangeHold {
    fn drop(&mut self) {
        let names = self.scopes.iter().map(|scope| scope.name.as_str());
        self.context.board.limits.lock().release(names);
        let Some(permit) = self.permit.take() else {
            return;
        };
        // The target may still work on an unfinished call until it notices the closed connection.
        match self.unfinished.load(Ordering::Relaxed) {
            true => permit.release_later(),
            false => drop(permit),
        }
    }
}

/// The answer's side of an exchange; dropping it before the end of the answer cancels the upload.
#[derive(Debug)]
pub struct ExchangeEnding {
    hold: Arc<ExchangeHold>,
}

impl ExchangeEnding {
    /// Ends the exchange. After a whole answer an upload still in progress goes on.
    pub fn end(self, end: BodyEnd) {
        if end == BodyEnd::Whole {
            self.hold.unfinished.store(false, Ordering::Relaxed);
        }
    }
}

impl Drop for ExchangeEnding {
    fn drop(&mut self) {
        if self.hold.unfinished.load(Ordering::Relaxed) {
            self.hold.cancel.cancel();
        }
    }
}

/// Records a call that is given to the target; a dropped trace counts as cancelled.
#[derive(Debug)]
pub struct ExchangeTrace {
    context: Arc<CallContext>,
    call: TargetCall,
    number: u64,
    deadline: Instant,
    given_at: Instant,
    head: Option<ExchangeHead>,
    ended: bool,
}

/// Head of the target's answer.
#[derive(Clone, Copy, Debug)]
struct ExchangeHead {
    status: StatusCode,
    latency: Duration,
}

impl ExchangeTrace {
    /// Starts the record of a call.
    pub fn new(context: Arc<CallContext>, call: &TargetCall, deadline: Instant) -> Self {
        Self {
            number: context.next_call(),
            context,
            call: call.clone(),
            deadline,
            given_at: Instant::now(),
            head: None,
            ended: false,
        }
    }

    /// Notes the head of the answer.
    pub fn note_head(&mut self, status: StatusCode) {
        self.head = Some(ExchangeHead {
            status,
            latency: self.given_at.elapsed(),
        });
    }

    /// Ends the record with the end of the answer's body.
    pub fn finish(mut self, end: BodyEnd) {
        self.close(end, None);
    }

    /// Ends the record of a call whose deadline passed before the answer's head.
    pub fn end_late(mut self, route: &RouteSpec) -> CallRefusal {
        let message = "exchange with the target: the deadline passed before an answer";
        let refusal = CallRefusal::unknown(504, "deadline", message)
            .at_line(&self.call.hop.key.customer, route.deadline_line);
        self.close(BodyEnd::DeadlinePassed, Some(refusal.clone()));
        refusal
    }

    /// Ends the record of a call that the target broke off.
    pub fn end_refused(mut self, refusal: CallRefusal) -> CallRefusal {
        self.close(BodyEnd::Broken, Some(refusal.clone()));
        refusal
    }

    /// Ends the record of a call that did not reach the target; it is no evidence about the version.
    pub fn end_not_run(mut self, refusal: CallRefusal) -> CallRefusal {
        self.ended = true;
        self.report(BodyEnd::Broken, Some(refusal.clone()));
        refusal
    }

    fn close(&mut self, end: BodyEnd, refusal: Option<CallRefusal>) {
        if self.ended {
            return;
        }
        self.ended = true;
        let elapsed = self.given_at.elapsed();
        let observation = CallObservation {
            key: self.call.hop.key.clone(),
            version: self.call.hop.version.clone(),
            route: self.call.hop.route.clone(),
            failed: self.has_failed(end, elapsed),
            latency: self.head.map_or(elapsed, |head| head.latency),
        };
        self.context.board.evidence.lock().record(observation);
        self.report(end, refusal);
    }

    fn has_failed(&self, end: BodyEnd, elapsed: Duration) -> bool {
        let server_error = self.head.is_some_and(|head| head.status.is_server_error());
        let budget = self.deadline.saturating_duration_since(self.given_at);
        let late = elapsed >= budget.mul_f64(LATE_PART);
        server_error
            || match end {
                // A receiver that does not read says nothing about the version.
                BodyEnd::Whole | BodyEnd::Unread => false,
                BodyEnd::Broken | BodyEnd::DeadlinePassed => true,
                BodyEnd::Cancelled => late,
            }
    }

    fn report(&self, end: BodyEnd, refusal: Option<CallRefusal>) {
        let hop = &self.call.hop;
        let total_latency = self.call.started.elapsed();
        let waited = self.given_at.duration_since(self.call.started);
        let refused = refusal.as_ref().map_or(0, |refusal| refusal.status);
        let event = CallEnd {
            call: self.number,
            side: CallSide::Target,
            key: Some(hop.key.clone()),
            route: Some(hop.route.clone()),
            version: Some(hop.version.clone()),
            node: Some(self.context.settings.node.id.clone()),
            status: self.head.map_or(refused, |head| head.status.as_u16()),
            refusal,
            body: end,
            attempts: 1,
            head_latency: self
                .head
                .map_or(total_latency, |head| waited + head.latency),
            total_latency,
            exchange_time: None,
        };
        (self.context.hooks.on_end)(&event);
    }
}

impl Drop for ExchangeTrace {
    fn drop(&mut self) {
        self.close(BodyEnd::Cancelled, None);
    }
}
