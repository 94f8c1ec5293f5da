//! One attempt of a call: at the target beside this node, or through the node beside another target.

use {
    super::{
        admission::TargetLoad,
        context::MeshContext,
        entry_call::EntryCall,
        hop::{BodyGate, HOP_METADATA_HEADER, HopMetadata, take_load},
        http::read_whole,
        move_table::MoveView,
        refusal::{ExecutionStatus, MeshRefusal, WholeBody},
        shutdown::safe_call_time,
        target::{COLD_REASON, CallBody, MAX_ANSWER_BYTES, forwarded_headers, run_at_target},
        target_selection::{TargetOutcome, cold_pause},
    },
    crate::{
        ids::{NodeId, RouteName},
        membership::TargetEndpoint,
        retry_budget::AttemptOutcome,
        target_client::{exchange_error, peer_uri},
    },
    bytes::Bytes,
    http::{
        HeaderValue, Request, Response, StatusCode,
        header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING},
    },
    http_body_util::Full,
    hyper_util::client::legacy::Error as ClientError,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep_until, timeout_at},
};

/// `Retry-After` when the node beside the target could not be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Fraction of the time left until the latency objective within which a target of the own failure domain must expect
/// to finish, unless all targets have refused as full.
const LOCAL_FINISH_FRACTION: f64 = 0.65;

/// Fraction of the time left until the latency objective within which a target of another failure domain must expect
/// to finish, unless all targets have refused as full.
const REMOTE_FINISH_FRACTION: f64 = 0.5;

/// Time by which the node beside the target times out before the entry node does, so that its refusal still arrives.
const HOP_MARGIN: Duration = Duration::from_millis(10);

/// Longest body that is sent before the node beside the target has admitted the call, in bytes. That node reads twice as
/// much ahead.
const MAX_BODY_SENT_AHEAD: usize = 32 * 1024;

/// Time beyond `finish_within` after which an attempt is abandoned if the node has not asked for the body.
const ADMISSION_SLACK: Duration = Duration::from_millis(250);

/// Records the start and the end of an attempt in the statistics of its target; an attempt that is dropped counts as
/// neutral.
struct AttemptGuard {
    context: Arc<MeshContext>,
    node: NodeId,
    route: RouteName,
    ended: bool,
}

impl AttemptGuard {
    fn new(context: &Arc<MeshContext>, node: &NodeId, route: &RouteName) -> Self {
        context.target_tracker.lock().begin(node);
        Self {
            context: context.clone(),
            node: node.clone(),
            route: route.clone(),
            ended: false,
        }
    }

    fn end(mut self, outcome: TargetOutcome, load: Option<TargetLoad>) {
        self.ended = true;
        let now = Instant::now();
        let mut tracker = self.context.target_tracker.lock();
        if let Some(load) = load {
            tracker.record_load(&self.node, &self.route, load, now);
        }
        tracker.end(&self.node, outcome, now);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.ended {
            let mut tracker = self.context.target_tracker.lock();
            tracker.end(&self.node, TargetOutcome::Neutral, Instant::now());
        }
    }
}

/// Runs one attempt and records its outcome in the statistics of the target.
pub async fn attempt(
    context: &Arc<MeshContext>,
    call: &EntryCall,
    target: &TargetEndpoint,
    metadata: &HopMetadata,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let guard = AttemptGuard::new(context, &target.node, &call.route.name);
    count_exposure(context, call, target);
    let (result, load) = if target.node == context.settings.node.id {
        let body = CallBody::Whole(call.content.clone());
        let result = run_at_target(context, metadata, &call.head, body).await;
        (result, Some(context.queue.load_for(&call.route.name)))
    } else {
        send_hop(context, call, target, metadata).await
    };
    guard.end(target_outcome(&result, load.as_ref()), load);
    result
}

/// Counts an attempt for the limit of calls to the candidate, if the service has a move.
fn count_exposure(context: &MeshContext, call: &EntryCall, target: &TargetEndpoint) {
    let service = &call.service.service;
    let view = context.board.moves.lock().view(service);
    if let Some(view) = view.filter(MoveView::is_open) {
        let is_candidate = target.version == view.order.candidate;
        let mut exposure = context.exposure.lock();
        exposure.record(service, view.order.revision, is_candidate);
    }
}

fn target_outcome(
    result: &Result<Response<WholeBody>, MeshRefusal>,
    load: Option<&TargetLoad>,
) -> TargetOutcome {
    match result {
        Ok(response) if response.status().is_server_error() => TargetOutcome::Failed,
        Ok(_) => TargetOutcome::Answered,
        Err(refusal) => match refusal.reason.as_ref() {
            "full" => TargetOutcome::Full,
            COLD_REASON => {
                let room_in = refusal.retry_after.unwrap_or_default();
                let cold = load.and_then(|load| load.cold);
                let left = cold.map_or(Duration::ZERO, |cold| cold.left);
                TargetOutcome::Cold(cold_pause(room_in, left, &mut rand::rng()))
            }
            "deadline" | "target-shed" => TargetOutcome::Failed,
            "body-missing" => TargetOutcome::Neutral,
            _ if refusal.execution == ExecutionStatus::NotRun => TargetOutcome::Unreachable,
            _ => TargetOutcome::Failed,
        },
    }
}

/// Returns the metadata of a call for the node beside the target. In the last round, after all targets have refused
/// as full, the call accepts any wait within its latency objective.
pub fn hop_metadata(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
    last_round: bool,
) -> HopMetadata {
    let left = call.left().saturating_sub(HOP_MARGIN);
    let due = call.due();
    let is_local = target.domain == context.settings.node.failure_domain;
    let finish_within = match (last_round, is_local) {
        (true, _) => due,
        (false, true) => due.mul_f64(LOCAL_FINISH_FRACTION),
        (false, false) => due.mul_f64(REMOTE_FINISH_FRACTION),
    };
    HopMetadata {
        service: call.service.clone(),
        version: target.version.clone(),
        route: call.route.name.clone(),
        rank: call.route.priority,
        account: call.account.as_ref().map(|spec| spec.account.clone()),
        account_rank: call.account.as_ref().map(|spec| spec.priority),
        caller: context.settings.service.service.clone(),
        left,
        due,
        finish_within: finish_within.min(left),
    }
}

/// Result of a forwarded call, with the load of the target if the node reported it.
type HopResult = (Result<Response<WholeBody>, MeshRefusal>, Option<TargetLoad>);

/// Returns whether the body of a call is sent only once the node beside the target has admitted the call.
///
/// This holds for each request that must not run twice, and for each long body: that node reads nothing while the call
/// waits for a slot, and the bytes that it has no room for would end the connection as unacknowledged.
fn is_body_held_back(call: &EntryCall) -> bool {
    let length = call.content.len();
    length > MAX_BODY_SENT_AHEAD || (!call.route.idempotent && length > 0)
}

/// Forwards a call to the node beside a target.
///
/// If the body is held back and this node abandons the call before it has been sent, the request has certainly not run.
/// A call that could last beyond a shutdown of this node holds back its body too, also an empty one.
async fn send_hop(
    context: &Arc<MeshContext>,
    call: &EntryCall,
    target: &TargetEndpoint,
    metadata: &HopMetadata,
) -> HopResult {
    let is_held_back = is_body_held_back(call);
    let outlasts_shutdown = call.left() > safe_call_time(context.settings.bounds.grace);
    let gate = (is_held_back || outlasts_shutdown).then(BodyGate::default);
    let Some(head) = hop_request(call, target, metadata, gate.is_some()) else {
        let refusal = MeshRefusal::rejected(StatusCode::BAD_REQUEST, "invalid-name");
        return (Err(refusal), None);
    };
    let started = Instant::now();
    let deadline = started + metadata.left;
    let exchange = exchange_hop(context, head, call.content.clone(), gate.as_ref());
    tokio::pin!(exchange);
    if let Some(gate) = &gate {
        let admission_deadline = match is_held_back {
            true => (started + metadata.finish_within + ADMISSION_SLACK).min(deadline),
            false => deadline,
        };
        let abandoned = tokio::select! {
            result = &mut exchange => return not_run_if_body_unsent(result, Some(gate)),
            // A call that is held back only because of shutdowns times out like any other.
            () = sleep_until(admission_deadline.into()) => is_held_back
                .then(|| MeshRefusal::not_run("node-silent", UNREACHABLE_RETRY_AFTER)),
            () = context.shutdown.refuses_waiting(call.deadline) => Some(MeshRefusal::stopping()),
        };
        if let Some(refusal) = abandoned.filter(|_| gate.close_unless_released()) {
            return (Err(refusal), None);
        }
    }
    match timeout_at(deadline.into(), &mut exchange).await {
        Ok(result) => not_run_if_body_unsent(result, gate.as_ref()),
        Err(_) => {
            let refusal = MeshRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline");
            (Err(refusal), None)
        }
    }
}

/// Reports a lost connection as "not run" if the body was never sent.
fn not_run_if_body_unsent(result: HopResult, gate: Option<&BodyGate>) -> HopResult {
    let (result, load) = result;
    let result = result.map_err(|refusal| match gate {
        Some(gate) if refusal.reason == "node-broke-off" && gate.close_unless_released() => {
            MeshRefusal::not_run("node-broke-off-early", UNREACHABLE_RETRY_AFTER)
        }
        _ => refusal,
    });
    (result, load)
}

fn hop_request(
    call: &EntryCall,
    target: &TargetEndpoint,
    metadata: &HopMetadata,
    gated: bool,
) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = peer_uri(target.forward_address, call.head.uri.path_and_query());
    let mut headers = forwarded_headers(&call.head.headers);
    headers.insert(HOP_METADATA_HEADER, metadata.header_value()?);
    if gated {
        headers.insert(EXPECT, HeaderValue::from_static("100-continue"));
        if call.content.is_empty() {
            headers.remove(CONTENT_LENGTH);
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
    }
    *request.headers_mut() = headers;
    Some(request)
}

async fn exchange_hop(
    context: &MeshContext,
    head: Request<()>,
    content: Bytes,
    gate: Option<&BodyGate>,
) -> HopResult {
    let mut response = match context.hops.send(head, content, gate).await {
        Ok(response) => response,
        Err(error) => return (Err(hop_error(&error)), None),
    };
    let load = take_load(response.headers_mut());
    if let Some(refusal) = MeshRefusal::parse(&response) {
        return (Err(refusal), load);
    }
    let (head, body) = response.into_parts();
    let result = match read_whole(body, MAX_ANSWER_BYTES, &context.held_bytes).await {
        Ok(content) => Ok(Response::from_parts(head, Full::new(content))),
        Err(_) => Err(MeshRefusal::unknown(
            StatusCode::BAD_GATEWAY,
            "node-broke-off",
        )),
    };
    (result, load)
}

fn hop_error(error: &ClientError) -> MeshRefusal {
    let failure = exchange_error(error, "another node");
    match failure.outcome {
        AttemptOutcome::NotRun => MeshRefusal::not_run("node-unreachable", UNREACHABLE_RETRY_AFTER),
        _ => MeshRefusal::unknown(StatusCode::BAD_GATEWAY, "node-broke-off"),
    }
}
