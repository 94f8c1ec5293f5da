//! Entry side of the call path: accepts calls from callers, routes them and returns the responses.
//!
//! The entry node is the node that the caller is connected to. It sends each call to the target's node, which may be
//! itself; that node exchanges request and response with its target.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod headers;
pub mod http_server;
pub mod keyed;
pub mod received_body;
pub mod routing;

use {
    self::{
        answer::{CallProgress, refuse, respond},
        attempt::run_attempts,
        body::{BodyError, ReplayBuffer},
        headers::refusal_response,
        http_server::{DRAIN_GRACE, DrainPlan, serve_http},
        keyed::{KeyedCall, KeyedDecision, KeyedHooks, begin_keyed_call, record_keyed_outcome},
        received_body::receive_request,
        routing::{RoutedCall, route_call},
    },
    crate::{
        blackboard::Blackboard,
        call_events::{BodyEnd, CallEnd, CallHooks, CallNumber, CallRefusal, CallSide},
        forward_server::{TargetCall, admission::ShareCache},
        retry_budget::BudgetTable,
        settings::NodeSettings,
        target_client::LocalTarget,
    },
    bytes::Bytes,
    http::{Request, Response, request::Parts},
    http_body_util::combinators::UnsyncBoxBody,
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::timeout_at},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Request or response body that is streamed through a node.
pub type ExchangeBody = UnsyncBoxBody<Bytes, BodyError>;

/// Time limit for connecting to another node; a running node accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a pooled connection to another node is closed.
///
/// Shorter than the idle timeout of that node's server, so that the server does not close a connection that is about
/// to be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// State shared by a node's call server and forward server.
#[derive(Debug)]
pub struct CallContext {
    /// Settings of the node.
    pub settings: Arc<NodeSettings>,
    /// Configuration and runtime tables shared with the node's other tasks.
    pub board: Arc<Blackboard>,
    /// The target served by this node.
    pub target: Arc<LocalTarget>,
    /// Store of idempotency keys; without one, keyed calls are refused.
    pub keyed: Option<KeyedHooks>,
    /// Callbacks for call events.
    pub hooks: CallHooks,
    /// Time during which a draining server still accepts connections and refuses their calls.
    pub drain_grace: Duration,
    /// Exchanges in progress; a draining server waits for them.
    pub exchanges: TaskTracker,
    pub(crate) shares: ShareCache,
    pub(crate) budgets: Mutex<BudgetTable>,
    pub(crate) client: Client<HttpConnector, ExchangeBody>,
    call_counter: AtomicU64,
}

impl CallContext {
    /// Creates the context of a node, with the default drain grace.
    pub fn new(
        settings: Arc<NodeSettings>,
        board: Arc<Blackboard>,
        target: Arc<LocalTarget>,
        keyed: Option<KeyedHooks>,
        hooks: CallHooks,
    ) -> Self {
        Self {
            settings,
            board,
            target,
            keyed,
            hooks,
            drain_grace: DRAIN_GRACE,
            exchanges: TaskTracker::new(),
            shares: ShareCache::default(),
            budgets: Mutex::new(BudgetTable::default()),
            client: build_forward_client(),
            call_counter: AtomicU64::new(0),
        }
    }

    pub(crate) fn next_call_number(&self) -> CallNumber {
        self.call_counter.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn drain_plan(&self, drain: CancellationToken) -> DrainPlan {
        DrainPlan {
            drain,
            grace: self.drain_grace,
            exchanges: self.exchanges.clone(),
        }
    }

    pub(crate) fn draining_refusal(&self) -> CallRefusal {
        let message = format!(
            "accept call: node {} is draining and takes no new calls",
            self.settings.node.id
        );
        CallRefusal::not_run(503, "draining", message)
    }

    pub(crate) fn report_target_refusal(&self, call: &TargetCall, refusal: &CallRefusal) {
        let latency = call.arrived_at.elapsed();
        let event = CallEnd {
            call: self.next_call_number(),
            side: CallSide::Target,
            key: Some(call.hop.key.clone()),
            route: Some(call.hop.route.clone()),
            version: Some(call.hop.version.clone()),
            node: Some(self.settings.node.id.clone()),
            status: refusal.status,
            refusal: Some(refusal.clone()),
            body: BodyEnd::Whole,
            attempts: 1,
            head_latency: latency,
            total_latency: latency,
            exchange_time: None,
        };
        (self.hooks.on_end)(&event);
    }
}

fn build_forward_client() -> Client<HttpConnector, ExchangeBody> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    // The client must not retry on its own: only the retry rule decides whether a request is sent again.
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Serves calls until the node has drained.
pub async fn serve_calls(
    listener: TcpListener,
    context: Arc<CallContext>,
    drain: CancellationToken,
) {
    let plan = context.drain_plan(drain.clone());
    serve_http(listener, plan, move |request| {
        handle_call(context.clone(), drain.clone(), request)
    })
    .await;
}

async fn handle_call(
    context: Arc<CallContext>,
    drain: CancellationToken,
    request: Request<Incoming>,
) -> Response<ExchangeBody> {
    let request = receive_request(request, context.exchanges.token());
    let mut progress = CallProgress::new(context.clone());
    let routed = match drain.is_cancelled() {
        true => Err(context.draining_refusal()),
        false => route_call(&context, &request, progress.started()),
    };
    let (head, body) = request.into_parts();
    let call = match routed {
        Ok(call) => call,
        Err(refusal) => return refuse(progress, refusal),
    };
    progress.set_route(&call);
    let accepted = AcceptedCall {
        body: ReplayBuffer::new(body, call.route.body_limit.value),
        context,
        call,
        head,
        progress,
    };
    match accepted.call.keyed.clone() {
        Some(keyed) => run_keyed(accepted, keyed).await,
        None => accepted.run().await,
    }
}

/// A call that matched a route and passed all checks.
struct AcceptedCall {
    context: Arc<CallContext>,
    call: RoutedCall,
    head: Parts,
    body: ReplayBuffer<ExchangeBody>,
    progress: CallProgress,
}

impl AcceptedCall {
    async fn run(mut self) -> Response<ExchangeBody> {
        match self.attempt().await {
            Ok(response) => respond(self.progress, response, self.call.deadline),
            Err(refusal) => refuse(self.progress, refusal),
        }
    }

    async fn attempt(&mut self) -> Result<Response<ExchangeBody>, CallRefusal> {
        let Self {
            context,
            call,
            head,
            body,
            progress,
        } = self;
        run_attempts(context, call, head, body, progress).await
    }

    /// Runs a call after recording its idempotency key, or replays the stored response to an earlier call.
    async fn run_under_key(mut self, keyed: KeyedCall) -> Response<ExchangeBody> {
        let decision = begin_keyed_call(self.context.keyed.as_ref(), keyed);
        // If this future is dropped midway, the key store removes the unfinished record later.
        let ticket = match timeout_at(self.call.deadline.into(), decision).await {
            Ok(Ok(KeyedDecision::Run(ticket))) => ticket,
            Ok(Ok(KeyedDecision::Replay(response))) => {
                return respond(self.progress, response, self.call.deadline);
            }
            Ok(Err(refusal)) => return refuse(self.progress, refusal),
            Err(_) => return refuse(self.progress, key_record_timeout_refusal(&self.call)),
        };
        let result = match Instant::now() < self.call.deadline {
            true => self.attempt().await,
            false => Err(key_record_timeout_refusal(&self.call)),
        };
        let recording =
            record_keyed_outcome(&self.context.exchanges, ticket, result, self.call.deadline);
        match recording.await {
            Ok(response) => respond(self.progress, response, self.call.deadline),
            Err(refusal) => refuse(self.progress, refusal),
        }
    }
}

/// Runs a keyed call to completion even if its caller disconnects, so that a repeat gets its response.
async fn run_keyed(accepted: AcceptedCall, keyed: KeyedCall) -> Response<ExchangeBody> {
    let exchanges = accepted.context.exchanges.clone();
    let running = exchanges.spawn(accepted.run_under_key(keyed));
    running.await.unwrap_or_else(|cause| {
        let message = format!("run keyed call: the task of the call failed: {cause}");
        refusal_response(&CallRefusal::unknown(502, "node-failed", message))
    })
}

fn key_record_timeout_refusal(call: &RoutedCall) -> CallRefusal {
    let message =
        "record the idempotency key: the deadline passed before the call was sent to a target";
    CallRefusal::not_run(504, "deadline", message)
        .with_contract_line(&call.key.customer, call.route.deadline_line)
}
