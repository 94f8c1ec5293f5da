//! Attempts of one call: selection of version and target, sending, and the retry rule.

use {
    super::{
        CallContext, ExchangeBody,
        answer::CallProgress,
        body::{AbortableBody, BodyError, ReplayBody, ReplayBuffer},
        headers::{
            HOP_HEADER, HopRecord, parse_refusal, set_exchange_time, set_timeout, strip_headers,
            take_exchange_time,
        },
        routing::{RoutedCall, body_limit_refusal},
    },
    crate::{
        call_events::{CallOutcome, CallRefusal, RouteDecision, STALE_CONNECTION_REASON},
        forward_server::{TargetCall, exchange_with_local_target},
        ids::NodeId,
        membership::TargetEndpoint,
        retry_budget::{AttemptOutcome, may_retry},
        route_table::{
            AttemptEnd, FULL_SHARE_PERMILLE, TargetChoice, VersionChoice, choose_target,
            choose_version, fallback_version, restrict_candidate_targets,
        },
        target_client::{exchange_error, peer_uri},
    },
    bytes::Bytes,
    http::{
        HeaderValue, Request, Response, StatusCode, Version,
        header::{EXPECT, HOST},
        request::Parts,
    },
    http_body::Body,
    http_body_util::BodyExt,
    hyper::ext::on_informational,
    rand::Rng,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
    tokio_util::sync::{CancellationToken, DropGuard},
};

/// Limit on the attempts of one call, the first one included.
const MAX_ATTEMPTS: u32 = 4;

/// Time without a response head after which a missed deadline counts as a failure of the target's node.
///
/// A caller may set any short deadline; missing it must not eject a healthy target for other callers.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);

/// State carried over from the earlier attempts of a call.
///
/// Invariant: `may_have_run` never becomes false again, so a later refusal cannot claim "not run".
#[derive(Debug, Default)]
struct AttemptHistory {
    tried_nodes: Vec<NodeId>,
    attempts: u32,
    may_have_run: bool,
    last_refusal: Option<CallRefusal>,
}

impl AttemptHistory {
    /// Returns the refusal for the caller; its outcome holds for all attempts, not only for the last one.
    fn final_refusal(&self, refusal: CallRefusal) -> CallRefusal {
        if refusal.outcome != CallOutcome::NotRun || !self.may_have_run {
            return refusal;
        }
        CallRefusal {
            status: 502,
            outcome: CallOutcome::Unknown,
            contract_line: None,
            ..refusal
        }
    }

    /// Records a failed attempt that will be retried.
    fn record_failure(&mut self, outcome: AttemptOutcome, refusal: CallRefusal) {
        self.may_have_run |= outcome != AttemptOutcome::NotRun;
        self.last_refusal = Some(refusal);
    }
}

/// The version and target of one attempt.
#[derive(Debug)]
struct AttemptChoice {
    version: VersionChoice,
    target: TargetChoice,
}

/// An attempt without a response, or with a gateway error that a retry at another target may avoid.
struct FailedAttempt {
    outcome: AttemptOutcome,
    refusal: CallRefusal,
    response: Option<Response<ExchangeBody>>,
}

impl FailedAttempt {
    /// Returns whether the request failed because its pooled connection was already closed.
    fn is_stale(&self) -> bool {
        self.outcome == AttemptOutcome::NotRun && self.refusal.reason == STALE_CONNECTION_REASON
    }
}

/// Runs attempts until one returns a response or the retry rule forbids another.
pub async fn run_attempts<B>(
    context: &Arc<CallContext>,
    call: &RoutedCall,
    head: &Parts,
    body: &ReplayBuffer<B>,
    progress: &mut CallProgress,
) -> Result<Response<ExchangeBody>, CallRefusal>
where
    B: Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<BodyError>,
{
    let mut history = AttemptHistory::default();
    // One draw per call, so that all its attempts fall into the same version's share.
    let share_draw = rand::rng().random_range(0..FULL_SHARE_PERMILLE);
    context.budgets.lock().earn(&call.key, Instant::now());
    loop {
        let choice = choose_attempt(context, call, share_draw, &history);
        let (Some(choice), Some(attempt_body)) = (choice, body.next_attempt()) else {
            let last_refusal = history.last_refusal.take();
            return Err(
                history.final_refusal(last_refusal.unwrap_or_else(|| no_target_refusal(call)))
            );
        };
        history.attempts += 1;
        report_decision(context, call, &choice, &history, progress);
        let attempt = Attempt {
            context,
            call,
            head,
            choice: &choice,
        };
        let failed = match classify_attempt(attempt.run(attempt_body, progress).await) {
            Ok(response) => {
                body.disable_replay();
                return Ok(response);
            }
            Err(failed) => failed,
        };
        if body.is_over_limit() {
            return Err(
                history.final_refusal(body_limit_refusal_after_sending(call, failed.outcome))
            );
        }
        // On a stale connection nothing reached the target, so it stays eligible for the next attempt.
        if !failed.is_stale() {
            history.tried_nodes.push(choice.target.target.node);
        }
        if !body.can_replay() || !allow_retry(context, call, share_draw, &history, &failed) {
            body.disable_replay();
            return match failed.response {
                Some(response) => Ok(response),
                None => Err(history.final_refusal(failed.refusal)),
            };
        }
        history.record_failure(failed.outcome, failed.refusal);
    }
}

/// Returns the response of an attempt, or the failed attempt if the retry rule has to decide on it.
fn classify_attempt(
    result: Result<Response<ExchangeBody>, CallRefusal>,
) -> Result<Response<ExchangeBody>, Box<FailedAttempt>> {
    match result {
        Ok(response) if !is_gateway_error(&response) => Ok(response),
        Ok(response) => Err(Box::new(FailedAttempt {
            outcome: AttemptOutcome::ServerError,
            refusal: gateway_error_refusal(&response),
            response: Some(response),
        })),
        Err(refusal) => Err(Box::new(FailedAttempt {
            outcome: attempt_outcome(&refusal),
            refusal,
            response: None,
        })),
    }
}

/// Applies the retry rule and, if it allows another attempt, spends the tokens for it.
fn allow_retry(
    context: &CallContext,
    call: &RoutedCall,
    share_draw: u32,
    history: &AttemptHistory,
    failed: &FailedAttempt,
) -> bool {
    let now = Instant::now();
    may_retry(failed.outcome, call.route.idempotent)
        && history.attempts < MAX_ATTEMPTS
        && now < call.deadline
        && choose_attempt(context, call, share_draw, history).is_some()
        // A request on a stale connection never left this node, so sending it again costs no token.
        && (failed.is_stale() || context.budgets.lock().spend(&call.key, failed.outcome, now))
}

fn attempt_outcome(refusal: &CallRefusal) -> AttemptOutcome {
    match refusal.outcome {
        CallOutcome::NotRun => AttemptOutcome::NotRun,
        CallOutcome::Unknown | CallOutcome::Failed => AttemptOutcome::Unknown,
    }
}

fn is_gateway_error(response: &Response<ExchangeBody>) -> bool {
    matches!(response.status().as_u16(), 502..=504)
}

fn gateway_error_refusal(response: &Response<ExchangeBody>) -> CallRefusal {
    let status = response.status();
    let message = format!("exchange with the target: it responded with status {status}");
    CallRefusal::unknown(502, "target-error", message)
}

/// Returns the refusal of a request body that exceeded its limit after a part of it was sent.
fn body_limit_refusal_after_sending(call: &RoutedCall, outcome: AttemptOutcome) -> CallRefusal {
    let refusal = body_limit_refusal(call);
    match outcome {
        AttemptOutcome::NotRun => refusal,
        AttemptOutcome::Unknown | AttemptOutcome::ServerError => CallRefusal {
            outcome: CallOutcome::Unknown,
            ..refusal
        },
    }
}

fn no_target_refusal(call: &RoutedCall) -> CallRefusal {
    let message = format!("choose a target of {}: no target is available", call.key);
    CallRefusal::not_run(503, "no-target", message)
}

fn choose_attempt(
    context: &CallContext,
    call: &RoutedCall,
    share_draw: u32,
    history: &AttemptHistory,
) -> Option<AttemptChoice> {
    let targets = context.board.members.lock().targets_of(&call.key);
    let vetoed = context.board.vetoes.lock().against(&call.split).is_some();
    let version = choose_version(&call.split, vetoed, share_draw);
    if let Some(target) = choose_target_of_version(context, call, &version, &targets, history) {
        return Some(AttemptChoice { version, target });
    }
    let version = fallback_version(&call.split, vetoed, &version)?;
    let target = choose_target_of_version(context, call, &version, &targets, history)?;
    Some(AttemptChoice { version, target })
}

fn choose_target_of_version(
    context: &CallContext,
    call: &RoutedCall,
    version: &VersionChoice,
    targets: &[TargetEndpoint],
    history: &AttemptHistory,
) -> Option<TargetChoice> {
    let mut candidates: Vec<TargetEndpoint> = targets
        .iter()
        .filter(|target| target.version == version.version)
        .cloned()
        .collect();
    if version.version != call.split.stable {
        candidates = restrict_candidate_targets(candidates, call.split.candidate_permille);
    }
    choose_target(
        &candidates,
        &context.board.loads.lock(),
        &context.settings.node.failure_domain,
        &history.tried_nodes,
        Instant::now(),
        &mut rand::rng(),
    )
}

fn report_decision(
    context: &CallContext,
    call: &RoutedCall,
    choice: &AttemptChoice,
    history: &AttemptHistory,
    progress: &mut CallProgress,
) {
    progress.record_attempt(&choice.version.version, &choice.target.target.node);
    let decision = RouteDecision {
        call: progress.number(),
        attempt: history.attempts,
        config_version: call.config_version,
        key: call.key.clone(),
        route: call.route.name.clone(),
        version: choice.version.version.clone(),
        version_reason: choice.version.reason,
        node: choice.target.target.node.clone(),
        target_reason: choice.target.reason,
        passed_over: choice.target.passed_over.clone(),
        retried_after: history
            .last_refusal
            .as_ref()
            .map(|last_refusal| last_refusal.reason.clone()),
    };
    (context.hooks.on_route)(&decision);
}

/// Counts an attempt in the load table from its start to the end of the response body.
#[derive(Debug)]
pub struct LoadGuard {
    context: Arc<CallContext>,
    node: NodeId,
    started: Instant,
    ended: bool,
}

impl LoadGuard {
    fn new(context: Arc<CallContext>, node: &NodeId) -> Self {
        context.board.loads.lock().begin(node);
        Self {
            context,
            node: node.clone(),
            started: Instant::now(),
            ended: false,
        }
    }

    fn record_end(&mut self, end: AttemptEnd) {
        let now = Instant::now();
        self.context
            .board
            .loads
            .lock()
            .record_attempt(&self.node, end, now);
        self.ended = true;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut loads = self.context.board.loads.lock();
        if !self.ended {
            loads.record_attempt(&self.node, AttemptEnd::Cancelled, Instant::now());
        }
        loads.release(&self.node);
    }
}

/// One attempt at one target.
struct Attempt<'a> {
    context: &'a Arc<CallContext>,
    call: &'a RoutedCall,
    head: &'a Parts,
    choice: &'a AttemptChoice,
}

impl Attempt<'_> {
    async fn run<B>(
        &self,
        body: ReplayBody<B>,
        progress: &mut CallProgress,
    ) -> Result<Response<ExchangeBody>, CallRefusal>
    where
        B: Body<Data = Bytes> + Unpin + Send + 'static,
        B::Error: Into<BodyError>,
    {
        let node = &self.choice.target.target.node;
        let mut guard = LoadGuard::new(self.context.clone(), node);
        let cancel = CancellationToken::new();
        let admit = body.admit_callback();
        let is_long = body.exceeds_prefix();
        let body = body.boxed_unsync();
        let body = AbortableBody::new(body, &cancel, self.call.deadline, ()).boxed_unsync();
        let mut request = self.request(body)?;
        if self.is_local() {
            admit();
        } else if is_long {
            expect_continue(&mut request, admit);
        }
        let cancel = cancel.drop_guard();
        let sent = timeout_at(self.call.deadline.into(), self.send(request)).await;
        let result = sent.unwrap_or_else(|_| Err(self.deadline_refusal()));
        guard.record_end(classify_end(&result, guard.started));
        if result.is_ok() {
            progress.hold_guard(AttemptGuard {
                _load: guard,
                cancel: Some(cancel),
            });
        }
        result
    }

    fn request(&self, body: ExchangeBody) -> Result<Request<ExchangeBody>, CallRefusal> {
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        *request.version_mut() = Version::HTTP_11;
        strip_headers(request.headers_mut());
        let invalid = || {
            CallRefusal::not_run(
                400,
                "invalid-host",
                "check request: the host is not a valid header value",
            )
        };
        let host = HeaderValue::from_str(&self.call.host).map_err(|_| invalid())?;
        request.headers_mut().insert(HOST, host);
        Ok(request)
    }

    fn is_local(&self) -> bool {
        self.choice.target.target.node == self.context.settings.node.id
    }

    async fn send(
        &self,
        request: Request<ExchangeBody>,
    ) -> Result<Response<ExchangeBody>, CallRefusal> {
        let hop = HopRecord {
            key: self.call.key.clone(),
            version: self.choice.version.version.clone(),
            route: self.call.route.name.clone(),
        };
        if self.is_local() {
            let call = TargetCall {
                hop,
                arrived_at: Instant::now(),
                deadline: Some(self.call.deadline),
            };
            return exchange_with_local_target(self.context, call, request).await;
        }
        self.forward(request, hop).await
    }

    async fn forward(
        &self,
        mut request: Request<ExchangeBody>,
        hop: HopRecord,
    ) -> Result<Response<ExchangeBody>, CallRefusal> {
        let target = &self.choice.target.target;
        let peer = format!("node {} at {}", target.node, target.forward_address);
        let value = hop.header_value().ok_or_else(|| {
            let message = format!(
                "forward to {peer}: a service, version or route name is not a valid header value"
            );
            CallRefusal::not_run(503, "invalid-name", message)
        })?;
        request.headers_mut().insert(HOP_HEADER, value);
        let remaining = self.call.deadline.saturating_duration_since(Instant::now());
        set_timeout(request.headers_mut(), remaining);
        *request.uri_mut() = peer_uri(target.forward_address, self.head.uri.path_and_query());
        let result = self.context.client.request(request).await;
        let mut response = result.map_err(|error| {
            let error = exchange_error(&error, &peer);
            match (error.outcome, error.stale) {
                (AttemptOutcome::NotRun, true) => {
                    CallRefusal::not_run(503, STALE_CONNECTION_REASON, error.to_string())
                }
                (AttemptOutcome::NotRun, false) => {
                    CallRefusal::not_run(503, "node-unreachable", error.to_string())
                }
                _ => CallRefusal::unknown(502, "node-broke-off", error.to_string()),
            }
        })?;
        if let Some(refusal) = parse_refusal(response.status(), response.headers(), &target.node) {
            return Err(refusal);
        }
        let elapsed = take_exchange_time(response.headers_mut());
        strip_headers(response.headers_mut());
        if let Some(elapsed) = elapsed {
            set_exchange_time(response.headers_mut(), elapsed);
        }
        Ok(response.map(|body| body.map_err(Into::into).boxed_unsync()))
    }

    fn deadline_refusal(&self) -> CallRefusal {
        let peer = &self.choice.target.target.node;
        let message = format!("exchange with node {peer}: the deadline passed before a response");
        let refusal = CallRefusal::unknown(504, "deadline", message);
        match self.call.is_route_deadline {
            true => {
                refusal.with_contract_line(&self.call.key.customer, self.call.route.deadline_line)
            }
            false => refusal,
        }
    }
}

/// Withholds the body beyond the replay prefix until the target's node sends `100 Continue`.
///
/// The node sends it once it has admitted the call and is connected to its target. After a refusal the body is
/// therefore still complete here, whatever its length, and can be sent to another node.
fn expect_continue(request: &mut Request<ExchangeBody>, admit: impl Fn() + Send + Sync + 'static) {
    let headers = request.headers_mut();
    headers.insert(EXPECT, HeaderValue::from_static("100-continue"));
    on_informational(request, move |response| {
        if response.status() == StatusCode::CONTINUE {
            admit();
        }
    });
}

/// Load count and upload of an attempt, kept while its response is streamed to the caller.
///
/// Dropping it releases the load and cancels an upload that is still in progress.
#[derive(Debug)]
pub struct AttemptGuard {
    _load: LoadGuard,
    cancel: Option<DropGuard>,
}

impl AttemptGuard {
    /// Lets an upload in progress continue after a complete response.
    pub fn detach_upload(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            cancel.disarm();
        }
    }
}

/// Classifies the result of an attempt for the load table, which ejects failing targets.
fn classify_end(
    result: &Result<Response<ExchangeBody>, CallRefusal>,
    started: Instant,
) -> AttemptEnd {
    let elapsed = started.elapsed();
    let Err(refusal) = result else {
        return AttemptEnd::Answered(elapsed);
    };
    match (refusal.outcome, refusal.reason.as_ref()) {
        (_, "deadline") if elapsed < UNRESPONSIVE_AFTER => AttemptEnd::Answered(elapsed),
        (CallOutcome::NotRun, "queue-full" | "no-slot" | "rate-limit" | "concurrency-limit") => {
            AttemptEnd::Saturated
        }
        (CallOutcome::NotRun, STALE_CONNECTION_REASON | "route-unknown-here" | "deadline") => {
            AttemptEnd::Cancelled
        }
        (CallOutcome::NotRun, _) => AttemptEnd::Unavailable,
        (CallOutcome::Unknown | CallOutcome::Failed, _) => AttemptEnd::OutcomeUnknown,
    }
}
