//! Attempts of one call: choice of version and target, sending, and the retry rule.

use {
    super::{
        CallContext, ExchangeBody,
        answer::CallProgress,
        body::{BodyError, GuardedBody, ReplayBody, ReplayBuffer},
        headers::{
            HOP_HEADER, HopRecord, parse_refusal, set_exchange_time, set_timeout, strip_headers,
            take_exchange_time,
        },
        intake::{RoutedCall, over_limit},
    },
    crate::{
        call_events::{CallOutcome, CallRefusal, RouteDecision, STALE_REASON},
        forward_server::{TargetCall, exchange_here},
        ids::NodeId,
        membership::TargetEndpoint,
        retry_budget::{AttemptFate, may_repeat},
        route_table::{
            AttemptEnd, FULL_SHARE_PERMILLE, TargetChoice, VersionChoice, choose_target,
            choose_version, concentrate, fallback_version,
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

/// Most attempts of one call.
const MAX_ATTEMPTS: u32 = 4;

/// Silence after which a target's node is taken for unreachable.
///
/// A caller may set any short deadline; missing it must not pause a healthy target for other callers.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// What earlier attempts of the call have left.
///
/// Invariant: `may_have_run` never becomes false again, so a later refusal cannot claim "not run".
#[derive(Debug, Default)]
struct AttemptHistory {
    tried: Vec<NodeId>,
    attempts: u32,
    may_have_run: bool,
    last: Option<CallRefusal>,
}

impl AttemptHistory {
    /// Returns the refusal for the caller, which must cover all attempts and not only the last one.
    fn cover(&self, refusal: CallRefusal) -> CallRefusal {
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

    /// Notes an attempt after which another one follows.
    fn note(&mut self, fate: AttemptFate, refusal: CallRefusal) {
        self.may_have_run |= fate != AttemptFate::NotRun;
        self.last = Some(refusal);
    }
}

/// The version and target of one attempt.
#[derive(Debug)]
struct AttemptChoice {
    version: VersionChoice,
    target: TargetChoice,
}

/// An attempt that gave no answer, or one that another target may better.
struct FailedAttempt {
    fate: AttemptFate,
    refusal: CallRefusal,
    answer: Option<Response<ExchangeBody>>,
}

impl FailedAttempt {
    /// Returns whether the request met a pooled connection that was already closed.
    fn is_stale(&self) -> bool {
        self.fate == AttemptFate::NotRun && self.refusal.reason == STALE_REASON
    }
}

/// Runs attempts until one gives an answer or the retry rule forbids another.
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
    let draw = rand::rng().random_range(0..FULL_SHARE_PERMILLE);
    context.budgets.lock().earn(&call.key, Instant::now());
    loop {
        let choice = choose(context, call, draw, &history);
        let (Some(choice), Some(attempt_body)) = (choice, body.next_attempt()) else {
            let last = history.last.take();
            return Err(history.cover(last.unwrap_or_else(|| no_target(call))));
        };
        history.attempts += 1;
        report_choice(context, call, &choice, &history, progress);
        let attempt = Attempt {
            context,
            call,
            head,
            choice: &choice,
        };
        let failed = match judge(attempt.run(attempt_body, progress).await) {
            Ok(answer) => {
                body.stop_keeping();
                return Ok(answer);
            }
            Err(failed) => failed,
        };
        if body.is_over_limit() {
            return Err(history.cover(over_limit_midway(call, failed.fate)));
        }
        // A target that was reached over a closed connection has not been tried yet.
        if !failed.is_stale() {
            history.tried.push(choice.target.target.node);
        }
        if !body.can_repeat() || !may_try_again(context, call, draw, &history, &failed) {
            body.stop_keeping();
            return match failed.answer {
                Some(answer) => Ok(answer),
                None => Err(history.cover(failed.refusal)),
            };
        }
        history.note(failed.fate, failed.refusal);
    }
}

/// Returns the answer of an attempt unless the retry rule has a say in it.
fn judge(
    attempted: Result<Response<ExchangeBody>, CallRefusal>,
) -> Result<Response<ExchangeBody>, Box<FailedAttempt>> {
    match attempted {
        Ok(answer) if !is_gateway_error(&answer) => Ok(answer),
        Ok(answer) => Err(Box::new(FailedAttempt {
            fate: AttemptFate::ServerError,
            refusal: bad_gateway(&answer),
            answer: Some(answer),
        })),
        Err(refusal) => Err(Box::new(FailedAttempt {
            fate: fate_of(&refusal),
            refusal,
            answer: None,
        })),
    }
}

/// Applies the retry rule; takes a retry token if it allows another attempt.
fn may_try_again(
    context: &CallContext,
    call: &RoutedCall,
    draw: u32,
    history: &AttemptHistory,
    failed: &FailedAttempt,
) -> bool {
    let now = Instant::now();
    may_repeat(failed.fate, call.route.idempotent)
        && history.attempts < MAX_ATTEMPTS
        && now < call.deadline
        && choose(context, call, draw, history).is_some()
        // A request that met a closed connection never left this node, so sending it is no retry.
        && (failed.is_stale() || context.budgets.lock().spend(&call.key, failed.fate, now))
}

fn fate_of(refusal: &CallRefusal) -> AttemptFate {
    match refusal.outcome {
        CallOutcome::NotRun => AttemptFate::NotRun,
        CallOutcome::Unknown | CallOutcome::Failed => AttemptFate::Unknown,
    }
}

fn is_gateway_error(answer: &Response<ExchangeBody>) -> bool {
    matches!(answer.status().as_u16(), 502..=504)
}

fn bad_gateway(answer: &Response<ExchangeBody>) -> CallRefusal {
    let status = answer.status();
    let message = format!("exchange with the target: it answered {status}");
    CallRefusal::unknown(502, "target-error", message)
}

/// Returns the refusal of a body found too long after a part of it was sent.
fn over_limit_midway(call: &RoutedCall, fate: AttemptFate) -> CallRefusal {
    let refusal = over_limit(call);
    match fate {
        AttemptFate::NotRun => refusal,
        AttemptFate::Unknown | AttemptFate::ServerError => CallRefusal {
            outcome: CallOutcome::Unknown,
            ..refusal
        },
    }
}

fn no_target(call: &RoutedCall) -> CallRefusal {
    let message = format!("choose a target of {}: none is available", call.key);
    CallRefusal::not_run(503, "no-target", message)
}

fn choose(
    context: &CallContext,
    call: &RoutedCall,
    draw: u32,
    history: &AttemptHistory,
) -> Option<AttemptChoice> {
    let targets = context.board.members.lock().targets_of(&call.key);
    let vetoed = context.board.vetoes.lock().against(&call.split).is_some();
    let version = choose_version(&call.split, vetoed, draw);
    if let Some(target) = choose_of_version(context, call, &version, &targets, history) {
        return Some(AttemptChoice { version, target });
    }
    let version = fallback_version(&call.split, vetoed, &version)?;
    let target = choose_of_version(context, call, &version, &targets, history)?;
    Some(AttemptChoice { version, target })
}

fn choose_of_version(
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
        candidates = concentrate(candidates, call.split.candidate_permille);
    }
    choose_target(
        &candidates,
        &context.board.loads.lock(),
        &context.settings.node.failure_domain,
        &history.tried,
        Instant::now(),
        &mut rand::rng(),
    )
}

fn report_choice(
    context: &CallContext,
    call: &RoutedCall,
    choice: &AttemptChoice,
    history: &AttemptHistory,
    progress: &mut CallProgress,
) {
    progress.note_attempt(&choice.version.version, &choice.target.target.node);
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
        retried_after: history.last.as_ref().map(|last| last.reason.clone()),
    };
    (context.hooks.on_route)(&decision);
}

/// Counts an attempt in the load table from its start to the end of the answer's body.
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

    fn note(&mut self, end: AttemptEnd) {
        let now = Instant::now();
        self.context.board.loads.lock().note(&self.node, end, now);
        self.ended = true;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut loads = self.context.board.loads.lock();
        if !self.ended {
            loads.note(&self.node, AttemptEnd::Cancelled, Instant::now());
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
        let admission = body.admission();
        let is_long = body.exceeds_prefix();
        let body = body.boxed_unsync();
        let body = GuardedBody::new(body, &cancel, self.call.deadline, ()).boxed_unsync();
        let mut request = self.request(body)?;
        if self.is_local() {
            admission();
        } else if is_long {
            wait_for_admission(&mut request, admission);
        }
        let cancel = cancel.drop_guard();
        let sent = timeout_at(self.call.deadline.into(), self.send(request)).await;
        let answered = sent.unwrap_or_else(|_| Err(self.late()));
        guard.note(attempt_end(&answered, guard.started));
        if answered.is_ok() {
            progress.hold(AnswerHold {
                _load: guard,
                cancel: Some(cancel),
            });
        }
        answered
    }

    fn request(&self, body: ExchangeBody) -> Result<Request<ExchangeBody>, CallRefusal> {
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        *request.version_mut() = Version::HTTP_11;
        strip_headers(request.headers_mut());
        let invalid = || CallRefusal::not_run(400, "invalid-host", "check request: invalid host");
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
                started: Instant::now(),
                deadline: Some(self.call.deadline),
            };
            return exchange_here(self.context, call, request).await;
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
            let message = format!("forward to {peer}: a name is not valid in a header");
            CallRefusal::not_run(503, "invalid-name", message)
        })?;
        request.headers_mut().insert(HOP_HEADER, value);
        let remaining = self.call.deadline.saturating_duration_since(Instant::now());
        set_timeout(request.headers_mut(), remaining);
        *request.uri_mut() = peer_uri(target.forward_address, self.head.uri.path_and_query());
        let answered = self.context.client.request(request).await;
        let mut answer = answered.map_err(|error| {
            let error = exchange_error(&error, &peer);
            match (error.fate, error.stale) {
                (AttemptFate::NotRun, true) => {
                    CallRefusal::not_run(503, STALE_REASON, error.to_string())
                }
                (AttemptFate::NotRun, false) => {
                    CallRefusal::not_run(503, "node-unreachable", error.to_string())
                }
                _ => CallRefusal::unknown(502, "node-broke-off", error.to_string()),
            }
        })?;
        if let Some(refusal) = parse_refusal(answer.status(), answer.headers(), &target.node) {
            return Err(refusal);
        }
        let elapsed = take_exchange_time(answer.headers_mut());
        strip_headers(answer.headers_mut());
        if let Some(elapsed) = elapsed {
            set_exchange_time(answer.headers_mut(), elapsed);
        }
        Ok(answer.map(|body| body.map_err(Into::into).boxed_unsync()))
    }

    fn late(&self) -> CallRefusal {
        let peer = &self.choice.target.target.node;
        let message = format!("exchange with node {peer}: the deadline passed before an answer");
        let refusal = CallRefusal::unknown(504, "deadline", message);
        match self.call.deadline_is_routes {
            true => refusal.at_line(&self.call.key.customer, self.call.route.deadline_line),
            false => refusal,
        }
    }
}

/// Sends no more than the kept prefix until the target's node asks for the rest.
///
/// The node asks once it has admitted the call and is connected to its target, so a refusal finds the
/// body still complete here, however long it is.
fn wait_for_admission(
    request: &mut Request<ExchangeBody>,
    admission: impl Fn() + Send + Sync + 'static,
) {
    let headers = request.headers_mut();
    headers.insert(EXPECT, HeaderValue::from_static("100-continue"));
    on_informational(request, move |answer| {
        if answer.status() == StatusCode::CONTINUE {
            admission();
        }
    });
}

/// Load and upload of an attempt whose answer is on its way to the caller.
#[derive(Debug)]
pub struct AnswerHold {
    _load: LoadGuard,
    cancel: Option<DropGuard>,
}

impl AnswerHold {
    /// Lets an upload that is still in progress go on after a whole answer.
    pub fn keep_upload(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            cancel.disarm();
        }
    }
}

/// Returns what the end of an attempt says about the target.
fn attempt_end(
    answered: &Result<Response<ExchangeBody>, CallRefusal>,
    started: Instant,
) -> AttemptEnd {
    let elapsed = started.elapsed();
    let Err(refusal) = answered else {
        return AttemptEnd::Answered(elapsed);
    };
    match (refusal.outcome, refusal.reason.as_ref()) {
        (_, "deadline") if elapsed < SILENCE_LIMIT => AttemptEnd::Answered(elapsed),
        (CallOutcome::NotRun, "queue-full" | "no-slot" | "rate-limit" | "concurrency-limit") => {
            AttemptEnd::Saturated
        }
        (CallOutcome::NotRun, STALE_REASON | "route-unknown-here" | "deadline") => {
            AttemptEnd::Cancelled
        }
        (CallOutcome::NotRun, _) => AttemptEnd::Unavailable,
        (CallOutcome::Unknown | CallOutcome::Failed, _) => AttemptEnd::Lost,
    }
}
