//! One attempt at the target of a call: here, or by way of the node beside it.

use {
    super::{
        admission::TargetLoad,
        choice::PeerEnd,
        context::MeshContext,
        entry_call::EntryCall,
        hop::{BodyGate, CHOICE_HEADER, HopChoice, take_load},
        http::read_whole,
        refusal::{CallFate, MeshRefusal, WholeBody},
        target::{CallBody, MAX_ANSWER_BYTES, forwarded_headers, run_at_target},
    },
    crate::{
        ids::{NodeId, RouteName},
        membership::TargetEndpoint,
        retry_budget::AttemptFate,
        target_client::{exchange_error, peer_uri},
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, header::EXPECT},
    http_body_util::Full,
    hyper_util::client::legacy::Error as ClientError,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// Time after which a caller may try again whose node could not be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(300);

/// Part of the time to the objective within which a target of the own failure domain must expect to finish, while
/// others have not been asked.
const LOCAL_FINISH_PART: f64 = 0.65;

/// The same for a target of another failure domain.
const REMOTE_FINISH_PART: f64 = 0.5;

/// Time by which a target's node ends a call before the entry node does, so that its refusal is heard.
const HOP_MARGIN: Duration = Duration::from_millis(10);

/// Time beyond the accepted wait after which a node that has not asked for the body is given up.
const ADMISSION_SLACK: Duration = Duration::from_millis(250);

/// Counts an attempt in the loads from its start to its end; a dropped guard says nothing of the target.
struct LoadGuard {
    context: Arc<MeshContext>,
    node: NodeId,
    route: RouteName,
    ended: bool,
}

impl LoadGuard {
    fn new(context: &Arc<MeshContext>, node: &NodeId, route: &RouteName) -> Self {
        context.loads.lock().begin(node);
        Self {
            context: context.clone(),
            node: node.clone(),
            route: route.clone(),
            ended: false,
        }
    }

    fn end(mut self, end: PeerEnd, load: Option<TargetLoad>) {
        self.ended = true;
        let now = Instant::now();
        let mut loads = self.context.loads.lock();
        if let Some(load) = load {
            loads.take_report(&self.node, &self.route, load, now);
        }
        loads.end(&self.node, end, now);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if !self.ended {
            let mut loads = self.context.loads.lock();
            loads.end(&self.node, PeerEnd::Neutral, Instant::now());
        }
    }
}

/// Runs one attempt and counts it in the loads.
pub async fn attempt(
    context: &Arc<MeshContext>,
    call: &EntryCall,
    target: &TargetEndpoint,
    choice: &HopChoice,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let guard = LoadGuard::new(context, &target.node, &call.route.name);
    let (answered, load) = if target.node == context.settings.node.id {
        let body = CallBody::Whole(call.content.clone());
        let answered = run_at_target(context, choice, &call.head, body).await;
        (answered, Some(context.queue.load_for(&call.route.name)))
    } else {
        send_hop(context, call, target, choice).await
    };
    guard.end(peer_end(&answered), load);
    answered
}

fn peer_end(answered: &Result<Response<WholeBody>, MeshRefusal>) -> PeerEnd {
    match answered {
        Ok(response) if response.status().is_server_error() => PeerEnd::Failed,
        Ok(_) => PeerEnd::Answered,
        Err(refusal) => match refusal.reason.as_ref() {
            "full" => PeerEnd::Full,
            "deadline" | "target-shed" => PeerEnd::Failed,
            "body-missing" => PeerEnd::Neutral,
            _ if refusal.fate == CallFate::NotRun => PeerEnd::Unreachable,
            _ => PeerEnd::Failed,
        },
    }
}

/// Returns what the node beside a target is told of a call; in the last round the call accepts any useful wait.
pub fn hop_choice(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
    last_round: bool,
) -> HopChoice {
    let left = call.left().saturating_sub(HOP_MARGIN);
    let due = call.due();
    let is_local = target.domain == context.settings.node.failure_domain;
    let finish_within = match (last_round, is_local) {
        (true, _) => due,
        (false, true) => due.mul_f64(LOCAL_FINISH_PART),
        (false, false) => due.mul_f64(REMOTE_FINISH_PART),
    };
    HopChoice {
        service: call.service.clone(),
        version: target.version.clone(),
        route: call.route.name.clone(),
        rank: call.route.priority,
        caller: context.settings.service.service.clone(),
        left,
        due,
        finish_within: finish_within.min(left),
    }
}

type HopResult = (Result<Response<WholeBody>, MeshRefusal>, Option<TargetLoad>);

/// Sends a call to the node beside a target.
///
/// A request that must not run twice is held back until the node has admitted it, so that a node that stays
/// silent before has certainly not run it.
async fn send_hop(
    context: &Arc<MeshContext>,
    call: &EntryCall,
    target: &TargetEndpoint,
    choice: &HopChoice,
) -> HopResult {
    let gated = !call.route.idempotent && !call.content.is_empty();
    let gate = gated.then(BodyGate::default);
    let Some(head) = hop_request(call, target, choice, gated) else {
        let refusal = MeshRefusal::rejected(StatusCode::BAD_REQUEST, "invalid-name");
        return (Err(refusal), None);
    };
    let begun = Instant::now();
    let deadline = begun + choice.left;
    let exchange = exchange_hop(context, head, call.content.clone(), gate.as_ref());
    tokio::pin!(exchange);
    if let Some(gate) = &gate {
        let admission = (begun + choice.finish_within + ADMISSION_SLACK).min(deadline);
        match timeout_at(admission.into(), &mut exchange).await {
            Ok(result) => return with_gate(result, Some(gate)),
            Err(_) if gate.close_unless_released() => {
                let refusal = MeshRefusal::not_run("node-silent", UNREACHABLE_RETRY);
                return (Err(refusal), None);
            }
            Err(_) => {}
        }
    }
    match timeout_at(deadline.into(), &mut exchange).await {
        Ok(result) => with_gate(result, gate.as_ref()),
        Err(_) => {
            let refusal = MeshRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, "deadline");
            (Err(refusal), None)
        }
    }
}

/// Takes a failure for "not run" if the body was never released.
fn with_gate(result: HopResult, gate: Option<&BodyGate>) -> HopResult {
    let (answered, load) = result;
    let answered = answered.map_err(|refusal| match gate {
        Some(gate) if refusal.reason == "node-broke-off" && gate.close_unless_released() => {
            MeshRefusal::not_run("node-broke-off-early", UNREACHABLE_RETRY)
        }
        _ => refusal,
    });
    (answered, load)
}

fn hop_request(
    call: &EntryCall,
    target: &TargetEndpoint,
    choice: &HopChoice,
    gated: bool,
) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = peer_uri(target.forward_address, call.head.uri.path_and_query());
    let mut headers = forwarded_headers(&call.head.headers);
    headers.insert(CHOICE_HEADER, choice.header_value()?);
    if gated {
        headers.insert(EXPECT, HeaderValue::from_static("100-continue"));
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
        Err(error) => return (Err(hop_failure(&error)), None),
    };
    let load = take_load(response.headers_mut());
    if let Some(refusal) = MeshRefusal::parse(&response) {
        return (Err(refusal), load);
    }
    let (head, body) = response.into_parts();
    let answered = match read_whole(body, MAX_ANSWER_BYTES).await {
        Ok(content) => Ok(Response::from_parts(head, Full::new(content))),
        Err(_) => Err(MeshRefusal::unknown(
            StatusCode::BAD_GATEWAY,
            "node-broke-off",
        )),
    };
    (answered, load)
}

fn hop_failure(error: &ClientError) -> MeshRefusal {
    let failure = exchange_error(error, "another node");
    match failure.fate {
        AttemptFate::NotRun => MeshRefusal::not_run("node-unreachable", UNREACHABLE_RETRY),
        _ => MeshRefusal::unknown(StatusCode::BAD_GATEWAY, "node-broke-off"),
    }
}
