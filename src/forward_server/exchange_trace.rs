//! Resources and records of a call while it is at the target.
//!
//! An [`ExchangeGuard`] occupies the slot and the limits of the call; an [`ExchangeTrace`] reports its end
//! and counts it in the evidence, the failures and latencies by which versions of a service are compared.

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

/// Fraction of the time budget after which a cancelled call counts as one that missed its deadline.
///
/// The entry node enforces the same deadline and may cancel the call slightly before it passes here.
const LATE_FRACTION: f64 = 0.9;

/// Slot and limits of a call, released once the request body and the response body have both ended.
///
/// Both bodies hold a reference.
#[derive(Debug)]
pub struct ExchangeGuard {
    context: Arc<CallContext>,
    permit: Option<PoolPermit>,
    scopes: Arc<[LimitScope]>,
    unfinished: AtomicBool,
    cancel: CancellationToken,
    /// Lets a draining node wait for the exchange.
    _token: TaskTrackerToken,
}

impl ExchangeGuard {
    /// Takes over the slot and the admission under `scopes` of a call.
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

    /// Returns the token that aborts the upload of the request body.
    pub fn cancel_token(&self) -> &CancellationToken {
        &self.cancel
    }

    /// Returns the guard for the response body.
    pub fn response_guard(self: &Arc<Self>) -> ResponseGuard {
        ResponseGuard {
            exchange: self.clone(),
        }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let names = self.scopes.iter().map(|scope| scope.name.as_str());
        self.context.board.limits.lock().release(names);
        let Some(permit) = self.permit.take() else {
            return;
        };
        // The target may still work on an unfinished call until it notices the closed connection.
        match self.unfinished.load(Ordering::Relaxed) {
            true => permit.release_after_delay(),
            false => drop(permit),
        }
    }
}

/// Guard held by the response body; aborts the upload when dropped before the response is complete.
#[derive(Debug)]
pub struct ResponseGuard {
    exchange: Arc<ExchangeGuard>,
}

impl ResponseGuard {
    /// Ends the response. An upload still in progress continues after a complete response.
    pub fn finish(self, end: BodyEnd) {
        if end == BodyEnd::Whole {
            self.exchange.unfinished.store(false, Ordering::Relaxed);
        }
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        if self.exchange.unfinished.load(Ordering::Relaxed) {
            self.exchange.cancel.cancel();
        }
    }
}

/// Records a call that is sent to the target; dropped without an end, the call counts as cancelled.
#[derive(Debug)]
pub struct ExchangeTrace {
    context: Arc<CallContext>,
    call: TargetCall,
    number: u64,
    deadline: Instant,
    sent_at: Instant,
    head: Option<ExchangeHead>,
    recorded: bool,
}

/// Head of the target's response and the time until it arrived.
#[derive(Clone, Copy, Debug)]
struct ExchangeHead {
    status: StatusCode,
    latency: Duration,
}

impl ExchangeTrace {
    /// Starts the trace of a call that is about to be sent.
    pub fn new(context: Arc<CallContext>, call: &TargetCall, deadline: Instant) -> Self {
        Self {
            number: context.next_call_number(),
            context,
            call: call.clone(),
            deadline,
            sent_at: Instant::now(),
            head: None,
            recorded: false,
        }
    }

    /// Records the arrival of the response's head.
    pub fn record_head(&mut self, status: StatusCode) {
        self.head = Some(ExchangeHead {
            status,
            latency: self.sent_at.elapsed(),
        });
    }

    /// Ends the trace of a call whose response body has ended.
    pub fn finish(mut self, end: BodyEnd) {
        self.record_end(end, None);
    }

    /// Ends the trace of a call whose deadline passed before the response's head; returns its refusal.
    pub fn finish_timed_out(mut self, route: &RouteSpec) -> CallRefusal {
        let message = "exchange with the target: the deadline passed before the response headers";
        let refusal = CallRefusal::unknown(504, "deadline", message)
            .with_contract_line(&self.call.hop.key.customer, route.deadline_line);
        self.record_end(BodyEnd::DeadlinePassed, Some(refusal.clone()));
        refusal
    }

    /// Ends the trace of a call that the target failed, by a closed connection or an invalid response.
    pub fn finish_failed(mut self, refusal: CallRefusal) -> CallRefusal {
        self.record_end(BodyEnd::Broken, Some(refusal.clone()));
        refusal
    }

    /// Ends the trace of a call that did not reach the target and so is no evidence about its version.
    pub fn finish_not_run(mut self, refusal: CallRefusal) -> CallRefusal {
        self.recorded = true;
        self.report(BodyEnd::Broken, Some(refusal.clone()));
        refusal
    }

    fn record_end(&mut self, end: BodyEnd, refusal: Option<CallRefusal>) {
        if self.recorded {
            return;
        }
        self.recorded = true;
        let elapsed = self.sent_at.elapsed();
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
        let budget = self.deadline.saturating_duration_since(self.sent_at);
        let late = elapsed >= budget.mul_f64(LATE_FRACTION);
        server_error
            || match end {
                // A receiver that does not read the response is no fault of the version.
                BodyEnd::Whole | BodyEnd::Unread => false,
                BodyEnd::Broken | BodyEnd::DeadlinePassed => true,
                BodyEnd::Cancelled => late,
            }
    }

    fn report(&self, end: BodyEnd, refusal: Option<CallRefusal>) {
        let hop = &self.call.hop;
        let total_latency = self.call.arrived_at.elapsed();
        let waited = self.sent_at.duration_since(self.call.arrived_at);
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
        self.record_end(BodyEnd::Cancelled, None);
    }
}
