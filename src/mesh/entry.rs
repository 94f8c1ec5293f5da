//! Server for callers: route of a call, choice of its targets, and the rule for trying another.

use {
    super::{
        attempt::{attempt, hop_choice},
        choice::CallNeeds,
        context::MeshContext,
        early_call::{wait_config, wait_target},
        entry_call::EntryCall,
        http::{WholeBodyError, read_whole},
        refusal::{CallFate, MeshRefusal, WholeBody},
        target::MAX_REQUEST_BYTES,
    },
    crate::{ids::NodeId, membership::TargetEndpoint, node_metrics::CallOutcome},
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

/// Time after which a caller may ask a node again that knows no configuration yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// Shortest and longest time after which a refused caller is told to come back.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1000));

/// Nodes asked for one call, refusals included.
const MAX_ASKED: u32 = 8;

/// Part of the time left after which another target is asked beside a slow one.
const HEDGE_PART: f64 = 0.5;

/// Time before the deadline at which the answer is given up, so that it reaches the caller in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Reason for asking another target beside one that takes long.
const SLOW_REASON: &str = "slow";

/// What the attempts of a call have led to so far.
#[derive(Default)]
struct AttemptHistory {
    /// Nodes that are not to be asked again.
    tried: Vec<NodeId>,
    /// Nodes that had no room within the short patience.
    full: Vec<NodeId>,
    /// Attempts that may have reached a target.
    arrivals: u32,
    asked: u32,
    /// Whether the call now accepts any wait.
    last_round: bool,
    refusal: Option<MeshRefusal>,
    /// Whether some attempt may have run the request.
    may_have_run: bool,
    answer: Option<Response<WholeBody>>,
}

/// Answers a caller.
pub async fn answer_call(
    context: Arc<MeshContext>,
    request: Request<Incoming>,
) -> Response<WholeBody> {
    let started = Instant::now();
    let call_id = text_of(request.headers(), &context.settings.headers.call_id);
    let answered = match accept_call(&context, request, started, call_id.clone()).await {
        Ok(call) => run_call(&context, &call).await,
        Err(refusal) => Err(refusal),
    };
    count_end(&context, &answered, started.elapsed());
    let response = match answered {
        Ok(response) => response,
        Err(refusal) => {
            context.metrics.count_refusal(refusal.reason.clone());
            if !context.call_lines.take(Instant::now()) {
                return closing(&context, refusal.answer());
            }
            warn!(
                decision = "refuse",
                call = call_id,
                status = refusal.status.as_u16(),
                fate = %refusal.fate,
                reason = %refusal.reason,
                elapsed_ms = started.elapsed().as_millis() as u64,
                config_version = context.board.gate.version(),
                "call refused"
            );
            refusal.answer()
        }
    };
    closing(&context, response)
}

fn count_end(
    context: &MeshContext,
    answered: &Result<Response<WholeBody>, MeshRefusal>,
    elapsed: Duration,
) {
    let outcome = match answered {
        Ok(_) => CallOutcome::Answered,
        Err(refusal) if refusal.fate == CallFate::NotRun => CallOutcome::NotRun,
        Err(_) => CallOutcome::Unknown,
    };
    context.metrics.count_call(outcome);
    context.metrics.record_call_latency(elapsed, outcome);
}

/// Asks the caller to close the connection if the node leaves.
fn closing(context: &MeshContext, mut response: Response<WholeBody>) -> Response<WholeBody> {
    if context.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn text_of(headers: &HeaderMap, name: &HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Checks a call, finds its route and reads its body.
async fn accept_call(
    context: &MeshContext,
    request: Request<Incoming>,
    started: Instant,
    call_id: String,
) -> Result<EntryCall, MeshRefusal> {
    if !wait_config(context).await {
        return Err(MeshRefusal::not_run("no-configuration", NOT_READY_RETRY));
    }
    let config = context.board.gate.active();
    let host = text_of(request.headers(), &HOST);
    let route = config
        .host_route(&host, request.uri().path())
        .ok_or_else(|| MeshRefusal::rejected(StatusCode::NOT_FOUND, "no-route"))?;
    let asked = asked_time(context, request.headers())?;
    let allowed = asked.map_or(route.timeout, |asked| asked.min(route.timeout));
    let waited_before = asked.map_or(Duration::ZERO, |asked| {
        context.asked.lock().waited_before(&route.name, asked)
    });
    let deadline = started + allowed.saturating_sub(DEADLINE_MARGIN);
    let limit = config.intake().map_or(MAX_REQUEST_BYTES, |limits| {
        MAX_REQUEST_BYTES.min(limits.body_bytes as usize)
    });
    let config_version = config.version;
    let (head, body) = request.into_parts();
    let content = read_body(&head, body, limit, deadline).await?;
    let mut rng = rand::rng();
    let draw = rng.random_range(0..1000);
    let service = context
        .splits
        .lock()
        .next(&route, config_version, &mut rng)
        .ok_or_else(|| MeshRefusal::not_run("no-service", NOT_READY_RETRY))?;
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

fn asked_time(context: &MeshContext, headers: &HeaderMap) -> Result<Option<Duration>, MeshRefusal> {
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
    head: &Parts,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, MeshRefusal> {
    let too_long = || MeshRefusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body-limit");
    let announced = head.headers.get(CONTENT_LENGTH);
    let announced = announced.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if announced.is_some_and(|length| length > limit) {
        return Err(too_long());
    }
    match timeout_at(deadline.into(), read_whole(body, limit)).await {
        Ok(Ok(content)) => Ok(content),
        Ok(Err(WholeBodyError::OverLimit { .. })) => Err(too_long()),
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

/// Runs attempts until one gives an answer or the rule forbids another.
async fn run_call(
    context: &Arc<MeshContext>,
    call: &EntryCall,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let mut history = AttemptHistory::default();
    context.budgets.lock().earn(&call.service, Instant::now());
    let mut first = wait_target(call, || choose_target(context, call, &mut history)).await;
    loop {
        let chosen = first
            .take()
            .or_else(|| choose_target(context, call, &mut history));
        let Some(target) = chosen else {
            return end_call(call, history);
        };
        history.asked += 1;
        let ended = attempt_hedged(context, call, &target, &mut history).await;
        match ended {
            Ok(response) if !response.status().is_server_error() => {
                report_answer(context, call, &target, &response, &history);
                return Ok(response);
            }
            Ok(response) => {
                history.note_error(&target, response);
                if !may_repeat(context, call, &history, true) {
                    return end_call(call, history);
                }
            }
            Err(refusal) => {
                let arrived = history.note_refusal(&target, refusal);
                if !may_repeat(context, call, &history, arrived) {
                    return end_call(call, history);
                }
            }
        }
        let reason = history
            .refusal
            .as_ref()
            .map(|refusal| refusal.reason.as_ref());
        let reason = reason.unwrap_or("server-error");
        report_retry(context, call, &target, reason, history.arrivals);
    }
}

impl AttemptHistory {
    fn note_error(&mut self, target: &TargetEndpoint, response: Response<WholeBody>) {
        self.tried.push(target.node.clone());
        self.arrivals += 1;
        self.may_have_run = true;
        self.answer = Some(response);
    }

    /// Notes a refusal; returns whether the request may have arrived at a target.
    fn note_refusal(&mut self, target: &TargetEndpoint, refusal: MeshRefusal) -> bool {
        let arrived = refusal.fate == CallFate::Unknown || refusal.reason == "target-shed";
        self.arrivals += u32::from(arrived);
        self.may_have_run |= refusal.fate == CallFate::Unknown;
        match refusal.reason == "full" && !self.last_round {
            true => self.full.push(target.node.clone()),
            false => self.tried.push(target.node.clone()),
        }
        self.refusal = Some(refusal);
        arrived
    }
}

/// Returns whether another attempt may follow; takes a repeat from the budget if one arrived before.
fn may_repeat(
    context: &MeshContext,
    call: &EntryCall,
    history: &AttemptHistory,
    arrived: bool,
) -> bool {
    let now = Instant::now();
    if now >= call.deadline || history.asked >= MAX_ASKED {
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

/// Returns what the caller gets when no further attempt is made.
fn end_call(
    call: &EntryCall,
    mut history: AttemptHistory,
) -> Result<Response<WholeBody>, MeshRefusal> {
    if let Some(answer) = history.answer.take() {
        return Ok(answer);
    }
    let refusal = history.refusal.take();
    let refusal = refusal.unwrap_or_else(|| MeshRefusal::not_run("no-target", NOT_READY_RETRY));
    if history.may_have_run && refusal.fate == CallFate::NotRun {
        return Err(MeshRefusal::unknown(
            StatusCode::BAD_GATEWAY,
            "earlier-attempt-unknown",
        ));
    }
    if refusal.fate == CallFate::Unknown {
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

/// Chooses the next target; after all have refused for lack of room, the best of them is asked once more.
fn choose_target(
    context: &MeshContext,
    call: &EntryCall,
    history: &mut AttemptHistory,
) -> Option<TargetEndpoint> {
    let targets = context.board.members.lock().targets_of(&call.service);
    let eligible = context
        .board
        .moves
        .lock()
        .eligible(&call.service, targets, call.draw);
    let excluded: Vec<NodeId> = match history.last_round {
        true => history.tried.clone(),
        false => history.tried.iter().chain(&history.full).cloned().collect(),
    };
    let chosen = context
        .loads
        .lock()
        .choose(
            &eligible,
            &excluded,
            &CallNeeds {
                route: &call.route.name,
                due: call.route.objective,
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

/// Runs an attempt; beside one that takes long, another target is asked, and the first good answer counts.
///
/// The first attempt goes on while the second is refused or fails, because its target may be at work.
async fn attempt_hedged(
    context: &Arc<MeshContext>,
    call: &EntryCall,
    target: &TargetEndpoint,
    history: &mut AttemptHistory,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let choice = hop_choice(context, call, target, history.last_round);
    let running = attempt(context, call, target, &choice);
    tokio::pin!(running);
    if !call.route.idempotent || history.arrivals + 1 >= call.route.attempts {
        return running.await;
    }
    let hedge_at = Instant::now() + call.left().mul_f64(HEDGE_PART);
    if let Ok(ended) = timeout_at(hedge_at.into(), &mut running).await {
        return ended;
    }
    context.loads.lock().note_slow(&target.node, Instant::now());
    let Some(second) = choose_hedge(context, call, target, history) else {
        return running.await;
    };
    let choice = hop_choice(context, call, &second, history.last_round);
    let hedge = attempt(context, call, &second, &choice);
    tokio::pin!(hedge);
    tokio::select! {
        ended = &mut running => return ended,
        ended = &mut hedge => match ended {
            Ok(response) if !response.status().is_server_error() => {
                report_retry(context, call, &second, SLOW_REASON, history.arrivals);
                return Ok(response);
            }
            Ok(_) => {
                history.tried.push(second.node.clone());
                history.arrivals += 1;
            }
            Err(refusal) => drop(history.note_refusal(&second, refusal)),
        },
    }
    running.await
}

/// Chooses the target that is asked beside a slow one; takes a repeat from the budget.
fn choose_hedge(
    context: &MeshContext,
    call: &EntryCall,
    first: &TargetEndpoint,
    history: &AttemptHistory,
) -> Option<TargetEndpoint> {
    let mut excluded = AttemptHistory {
        tried: history.tried.clone(),
        full: history.full.clone(),
        ..AttemptHistory::default()
    };
    excluded.full.push(first.node.clone());
    let second = choose_target(context, call, &mut excluded)?;
    let is_other = second.node != first.node && !excluded.last_round;
    let now = Instant::now();
    (is_other && context.budgets.lock().spend(&call.service, now)).then_some(second)
}

fn report_answer(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
    response: &Response<WholeBody>,
    history: &AttemptHistory,
) {
    let elapsed = call.started.elapsed();
    let is_notable = elapsed > call.route.objective || history.asked > 1;
    if is_notable && context.call_lines.take(Instant::now()) {
        info!(
            decision = "answer",
            call = call.call_id,
            route = call.route.name,
            node = target.node,
            status = response.status().as_u16(),
            asked = history.asked,
            elapsed_ms = elapsed.as_millis() as u64,
            config_version = call.config_version,
            "call answered late or after a retry"
        );
    }
}

fn report_retry(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
    reason: &str,
    arrivals: u32,
) {
    context.metrics.count_retry();
    if !context.call_lines.take(Instant::now()) {
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
        "another target is asked"
    );
}
