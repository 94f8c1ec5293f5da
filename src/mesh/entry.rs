//! HTTP handler for callers: finds the route of a call, selects its targets and decides whether it may be retried.

use {
    super::{
        attempt::{attempt, hop_metadata},
        context::MeshContext,
        entry_call::EntryCall,
        exposure_limit::MoveKnowledge,
        http::{WholeBodyError, read_whole},
        refusal::{ExecutionStatus, MeshRefusal, WholeBody},
        startup_wait::{wait_for_config, wait_for_target},
        target::MAX_REQUEST_BYTES,
        target_selection::CallNeeds,
    },
    crate::{ids::NodeId, membership::TargetEndpoint, node_metrics::CallResult},
    bytes::Bytes,
    http::{
        HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH, HOST},
        request::Parts,
    },
    hyper::body::Incoming,
    rand::Rng,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
    tracing::{info, warn},
};

/// `Retry-After` of a node that has no configuration or no target yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Shortest and longest `Retry-After` sent to a refused caller.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1000));

/// Attempts at most for one call, counting those that a node refused.
const MAX_ATTEMPTS: u32 = 8;

/// Fraction of the remaining time after which a second attempt (hedge) is started beside a slow one.
const HEDGE_FRACTION: f64 = 0.5;

/// Time before the caller's deadline at which a call times out, so that the response still reaches the caller in
/// time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Draw above every share, which never selects the candidate of a move.
const NO_CANDIDATE_DRAW: u32 = 1000;

/// Reason logged for a hedged attempt.
const SLOW_REASON: &str = "slow";

/// Outcomes of the attempts of one call so far.
#[derive(Default)]
struct AttemptHistory {
    /// Nodes that are not selected again.
    tried: Vec<NodeId>,
    /// Nodes that refused because their expected wait was too long; they are tried once more in the last round.
    full: Vec<NodeId>,
    /// Attempts whose request may have reached a target.
    arrivals: u32,
    /// Attempts started, counting those that a node refused.
    attempts: u32,
    /// Whether all nodes were full, so that the call now accepts any wait within its latency objective.
    last_round: bool,
    /// Last refusal.
    refusal: Option<MeshRefusal>,
    /// Whether a target may have run the request.
    may_have_run: bool,
    /// Last response with a server error.
    error_response: Option<Response<WholeBody>>,
}

/// Handles a call of a caller: routes it and returns the response of a target, or a refusal.
pub async fn answer_call(
    context: Arc<MeshContext>,
    request: Request<Incoming>,
) -> Response<WholeBody> {
    let started = Instant::now();
    let call_id = header_text(request.headers(), &context.settings.headers.call_id);
    let result = match accept_call(&context, request, started, call_id.clone()).await {
        Ok(call) => run_call(&context, &call).await,
        Err(refusal) => Err(refusal),
    };
    count_outcome(&context, &result, started.elapsed());
    let response = match result {
        Ok(response) => response,
        Err(refusal) => {
            context.metrics.count_refusal(refusal.reason.clone());
            if !context.call_log_limiter.try_acquire(Instant::now()) {
                return close_if_leaving(&context, refusal.answer());
            }
            warn!(
                decision = "refuse",
                call = call_id,
                status = refusal.status.as_u16(),
                fate = %refusal.execution,
                reason = %refusal.reason,
                elapsed_ms = started.elapsed().as_millis() as u64,
                config_version = context.board.gate.version(),
                "call refused"
            );
            refusal.answer()
        }
    };
    close_if_leaving(&context, response)
}

fn count_outcome(
    context: &MeshContext,
    result: &Result<Response<WholeBody>, MeshRefusal>,
    elapsed: Duration,
) {
    let outcome = match result {
        Ok(_) => CallResult::Answered,
        Err(refusal) if refusal.execution == ExecutionStatus::NotRun => CallResult::NotRun,
        Err(_) => CallResult::Unknown,
    };
    context.metrics.count_call(outcome);
    context.metrics.record_call_latency(elapsed, outcome);
}

/// Adds `Connection: close` while the node shuts down, so that callers reconnect elsewhere.
fn close_if_leaving(
    context: &MeshContext,
    mut response: Response<WholeBody>,
) -> Response<WholeBody> {
    if context.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Finds the route and the service of a call and reads its body.
async fn accept_call(
    context: &MeshContext,
    request: Request<Incoming>,
    started: Instant,
    call_id: String,
) -> Result<EntryCall, MeshRefusal> {
    if !wait_for_config(context).await {
        return Err(MeshRefusal::not_run(
            "no-configuration",
            NOT_READY_RETRY_AFTER,
        ));
    }
    let config = context.board.gate.active();
    let host = header_text(request.headers(), &HOST);
    let route = config
        .host_route(&host, request.uri().path())
        .ok_or_else(|| MeshRefusal::rejected(StatusCode::NOT_FOUND, "no-route"))?;
    let timeout = caller_deadline(context, request.headers())?;
    let allowed = timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let waited_before = timeout.map_or(Duration::ZERO, |timeout| {
        context
            .caller_deadlines
            .lock()
            .waited_before(&route.name, timeout)
    });
    let deadline = started + allowed.saturating_sub(DEADLINE_MARGIN);
    if !context.shutdown.admits(deadline) {
        return Err(MeshRefusal::stopping());
    }
    let limit = config.intake().map_or(MAX_REQUEST_BYTES, |limits| {
        MAX_REQUEST_BYTES.min(limits.body_bytes as usize)
    });
    let config_version = config.version;
    let (head, body) = request.into_parts();
    let content = read_body(context, &head, body, limit, deadline).await?;
    let mut rng = rand::rng();
    let draw = rng.random_range(0..1000);
    let service = context
        .splits
        .lock()
        .next(&route, config_version, &mut rng)
        .ok_or_else(|| MeshRefusal::not_run("no-service", NOT_READY_RETRY_AFTER))?;
    Ok(EntryCall {
        route,
        service,
        head,
        content,
        call_id,
        config_version,
        started,
        waited_before,
        deadline,
        draw,
    })
}

/// Returns the time left until the deadline that the caller sent; none if it sent no deadline.
fn caller_deadline(
    context: &MeshContext,
    headers: &HeaderMap,
) -> Result<Option<Duration>, MeshRefusal> {
    let Some(value) = headers.get(&context.settings.headers.deadline) else {
        return Ok(None);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match millis {
        Some(millis) => Ok(Some(Duration::from_millis(millis))),
        None => Err(MeshRefusal::rejected(
            StatusCode::BAD_REQUEST,
            "invalid-deadline",
        )),
    }
}

async fn read_body(
    context: &MeshContext,
    head: &Parts,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, MeshRefusal> {
    let too_long = || MeshRefusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body-limit");
    let content_length = head.headers.get(CONTENT_LENGTH);
    let content_length =
        content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > limit) {
        return Err(too_long());
    }
    match timeout_at(
        deadline.into(),
        read_whole(body, limit, &context.held_bytes),
    )
    .await
    {
        Ok(Ok(content)) => Ok(content),
        Ok(Err(WholeBodyError::OverLimit { .. })) => Err(too_long()),
        Ok(Err(WholeBodyError::NoMemory)) => {
            Err(MeshRefusal::not_run("body-memory", NOT_READY_RETRY_AFTER))
        }
        Ok(Err(WholeBodyError::Broken(_))) => Err(MeshRefusal::rejected(
            StatusCode::BAD_REQUEST,
            "broken-body",
        )),
        Err(_) => Err(MeshRefusal::rejected(
            StatusCode::REQUEST_TIMEOUT,
            "slow-body",
        )),
    }
}

/// Runs attempts until one succeeds or no further attempt is allowed.
async fn run_call(
    context: &Arc<MeshContext>,
    call: &EntryCall,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let mut history = AttemptHistory::default();
    context.budgets.lock().earn(&call.service, Instant::now());
    let mut first_target =
        wait_for_target(context, call, || choose_target(context, call, &mut history)).await;
    loop {
        let chosen = first_target
            .take()
            .or_else(|| choose_target(context, call, &mut history));
        let Some(target) = chosen else {
            return final_result(call, history);
        };
        if !context.shutdown.can_end(call.deadline) {
            history.refusal = Some(MeshRefusal::stopping());
            return final_result(call, history);
        }
        history.attempts += 1;
        let ended = attempt_hedged(context, call, &target, &mut history).await;
        match ended {
            Ok(response) if !response.status().is_server_error() => {
                log_answer(context, call, &target, &response, &history);
                return Ok(response);
            }
            Ok(response) => {
                history.record_error(&target, response);
                if !may_retry(context, call, &history, true) {
                    return final_result(call, history);
                }
            }
            Err(refusal) => {
                let arrived = history.record_refusal(&target, refusal);
                if !may_retry(context, call, &history, arrived) {
                    return final_result(call, history);
                }
            }
        }
        let reason = history
            .refusal
            .as_ref()
            .map(|refusal| refusal.reason.as_ref());
        let reason = reason.unwrap_or("server-error");
        record_retry(context, call, &target, reason, history.arrivals);
    }
}

impl AttemptHistory {
    fn record_error(&mut self, target: &TargetEndpoint, response: Response<WholeBody>) {
        self.tried.push(target.node.clone());
        self.arrivals += 1;
        self.may_have_run = true;
        self.error_response = Some(response);
    }

    /// Records a refusal; returns whether the request may have reached a target.
    fn record_refusal(&mut self, target: &TargetEndpoint, refusal: MeshRefusal) -> bool {
        let arrived =
            refusal.execution == ExecutionStatus::Unknown || refusal.reason == "target-shed";
        self.arrivals += u32::from(arrived);
        self.may_have_run |= refusal.execution == ExecutionStatus::Unknown;
        match refusal.reason == "full" && !self.last_round {
            true => self.full.push(target.node.clone()),
            false => self.tried.push(target.node.clone()),
        }
        self.refusal = Some(refusal);
        arrived
    }
}

/// Returns whether another attempt may follow. If the last request may have reached a target, this takes one retry
/// from the budget.
fn may_retry(
    context: &MeshContext,
    call: &EntryCall,
    history: &AttemptHistory,
    arrived: bool,
) -> bool {
    let now = Instant::now();
    if now >= call.deadline || history.attempts >= MAX_ATTEMPTS {
        return false;
    }
    if history.may_have_run && !call.route.idempotent {
        return false;
    }
    if !arrived {
        return true;
    }
    history.arrivals < call.route.attempts && context.budgets.lock().spend(&call.service, now)
}

/// Returns the final result of a call when no further attempt is made.
fn final_result(
    call: &EntryCall,
    mut history: AttemptHistory,
) -> Result<Response<WholeBody>, MeshRefusal> {
    if let Some(response) = history.error_response.take() {
        return Ok(response);
    }
    let refusal = history.refusal.take();
    let refusal =
        refusal.unwrap_or_else(|| MeshRefusal::not_run("no-target", NOT_READY_RETRY_AFTER));
    if history.may_have_run && refusal.execution == ExecutionStatus::NotRun {
        return Err(MeshRefusal::unknown(
            StatusCode::BAD_GATEWAY,
            "earlier-attempt-unknown",
        ));
    }
    if refusal.execution == ExecutionStatus::Unknown {
        return Err(refusal);
    }
    let left = call.deadline.saturating_duration_since(Instant::now());
    let (shortest, longest) = RETRY_AFTER_RANGE;
    let wait = refusal.retry_after.unwrap_or(shortest);
    let wait = wait.clamp(shortest, longest).min(left / 3);
    Err(MeshRefusal {
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after: Some(wait),
        ..refusal
    })
}

/// Returns the number that selects the version of a call: that of the call, or one that never selects the candidate
/// while the limit of calls to it is reached.
fn version_draw(context: &MeshContext, call: &EntryCall) -> u32 {
    let service = &call.service.service;
    let Some(view) = context.board.moves.lock().view(service) else {
        return call.draw;
    };
    let permille = view.permille();
    if !view.is_open() || call.draw >= permille {
        return call.draw;
    }
    let known = MoveKnowledge {
        service,
        order: view.order.revision,
        permille,
        confirmation_age: context.gossip.time_since_store_confirmation(),
    };
    match context.exposure.lock().allows(&known) {
        true => call.draw,
        false => NO_CANDIDATE_DRAW,
    }
}

/// Selects the target of the next attempt. Once all targets have refused as full, they may be selected once more, and
/// then accept any wait within the latency objective.
fn choose_target(
    context: &MeshContext,
    call: &EntryCall,
    history: &mut AttemptHistory,
) -> Option<TargetEndpoint> {
    let targets = context.board.members.lock().targets_of(&call.service);
    let draw = version_draw(context, call);
    let eligible = context
        .board
        .moves
        .lock()
        .eligible(&call.service, targets, draw);
    let excluded: Vec<NodeId> = match history.last_round {
        true => history.tried.clone(),
        false => history.tried.iter().chain(&history.full).cloned().collect(),
    };
    let chosen = context
        .target_tracker
        .lock()
        .choose(
            &eligible,
            &excluded,
            &CallNeeds {
                route: &call.route.name,
                latency_objective: call.route.latency_objective,
                own_domain: &context.settings.node.failure_domain,
                body_bytes: call.content.len(),
            },
            Instant::now(),
            &mut rand::rng(),
        )
        .cloned();
    if chosen.is_none() && !history.last_round && !history.full.is_empty() {
        history.last_round = true;
        return choose_target(context, call, history);
    }
    chosen
}

/// Runs an attempt. If it is slow and the route is idempotent, starts a second one (hedge) at another target and
/// returns the first good response.
///
/// The first attempt goes on if the hedge fails, because its target may still be working on the request.
async fn attempt_hedged(
    context: &Arc<MeshContext>,
    call: &EntryCall,
    target: &TargetEndpoint,
    history: &mut AttemptHistory,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let metadata = hop_metadata(context, call, target, history.last_round);
    let running = attempt(context, call, target, &metadata);
    tokio::pin!(running);
    if !call.route.idempotent || history.arrivals + 1 >= call.route.attempts {
        return running.await;
    }
    let hedge_at = Instant::now() + call.left().mul_f64(HEDGE_FRACTION);
    if let Ok(ended) = timeout_at(hedge_at.into(), &mut running).await {
        return ended;
    }
    context
        .target_tracker
        .lock()
        .record_slow(&target.node, Instant::now());
    let Some(second) = choose_hedge(context, call, target, history) else {
        return running.await;
    };
    let metadata = hop_metadata(context, call, &second, history.last_round);
    let hedge = attempt(context, call, &second, &metadata);
    tokio::pin!(hedge);
    tokio::select! {
        ended = &mut running => return ended,
        ended = &mut hedge => match ended {
            Ok(response) if !response.status().is_server_error() => {
                record_retry(context, call, &second, SLOW_REASON, history.arrivals);
                return Ok(response);
            }
            Ok(_) => {
                history.tried.push(second.node.clone());
                history.arrivals += 1;
            }
            Err(refusal) => drop(history.record_refusal(&second, refusal)),
        },
    }
    running.await
}

/// Selects the target of a hedged attempt; takes one retry from the budget.
fn choose_hedge(
    context: &MeshContext,
    call: &EntryCall,
    slow_target: &TargetEndpoint,
    history: &AttemptHistory,
) -> Option<TargetEndpoint> {
    if !context.shutdown.can_end(call.deadline) {
        return None;
    }
    let mut excluded = AttemptHistory {
        tried: history.tried.clone(),
        full: history.full.clone(),
        ..AttemptHistory::default()
    };
    excluded.full.push(slow_target.node.clone());
    let second = choose_target(context, call, &mut excluded)?;
    let is_other = second.node != slow_target.node && !excluded.last_round;
    let now = Instant::now();
    (is_other && context.budgets.lock().spend(&call.service, now)).then_some(second)
}

fn log_answer(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
    response: &Response<WholeBody>,
    history: &AttemptHistory,
) {
    let elapsed = call.started.elapsed();
    let is_notable = elapsed > call.route.latency_objective || history.attempts > 1;
    if is_notable && context.call_log_limiter.try_acquire(Instant::now()) {
        info!(
            decision = "answer",
            call = call.call_id,
            route = call.route.name,
            node = target.node,
            status = response.status().as_u16(),
            asked = history.attempts,
            elapsed_ms = elapsed.as_millis() as u64,
            config_version = call.config_version,
            "call answered late or after a retry"
        );
    }
}

/// Counts and logs a retry: after an attempt has failed, with its target and before the next is selected, or after a
/// hedge has answered, with the target of the hedge.
fn record_retry(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
    reason: &str,
    arrivals: u32,
) {
    context.metrics.count_retry();
    if !context.call_log_limiter.try_acquire(Instant::now()) {
        return;
    }
    info!(
        decision = "retry",
        call = call.call_id,
        route = call.route.name,
        service = %call.service,
        node = target.node,
        reason,
        arrivals,
        left_ms = call.left().as_millis() as u64,
        "attempt failed or was slow; another target is used if one is left"
    );
}
