//! HTTP server for callers.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod headers;
pub mod http_server;
pub mod intake;
pub mod keyed;
pub mod received_body;

use {
    self::{
        answer::{CallProgress, give_answer, give_refusal},
        attempt::run_attempts,
        body::{BodyError, ReplayBuffer},
        headers::refusal_response,
        http_server::{DRAIN_GRACE, DrainPlan, serve_http},
        intake::{RoutedCall, route_call},
        keyed::{KeyedBegin, KeyedCall, KeyedHooks, begin_keyed, settle_keyed},
        received_body::receive_request,
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

/// A body on its way through a node.
pub type ExchangeBody = UnsyncBoxBody<Bytes, BodyError>;

/// Longest time for a connection to another node; a node that is up answers within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a connection to another node is closed; below the idle time of its server.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// What the servers of the call path share.
#[derive(Debug)]
pub struct CallContext {
    /// Settings of the node.
    pub settings: Arc<NodeSettings>,
    /// Tables shared with the controllers.
    pub board: Arc<Blackboard>,
    /// The target beside this node.
    pub target: Arc<LocalTarget>,
    /// Records of idempotency keys; without them keyed calls are refused.
    pub keyed: Option<KeyedHooks>,
    /// Receivers of call events.
    pub hooks: CallHooks,
    /// Time for which a draining server refuses calls before it closes connections.
    pub drain_grace: Duration,
    /// Exchanges in progress.
    pub exchanges: TaskTracker,
    pub(crate) shares: ShareCache,
    pub(crate) budgets: Mutex<BudgetTable>,
    pub(crate) client: Client<HttpConnector, ExchangeBody>,
    calls: AtomicU64,
}

impl CallContext {
    /// Returns the context of a node.
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
            client: forward_client(),
            calls: AtomicU64::new(0),
        }
    }

    pub(crate) fn next_call(&self) -> CallNumber {
        self.calls.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn drain_plan(&self, drain: CancellationToken) -> DrainPlan {
        DrainPlan {
            drain,
            grace: self.drain_grace,
            exchanges: self.exchanges.clone(),
        }
    }

    pub(crate) fn draining_refusal(&self) -> CallRefusal {
        let message = format!("accept call: node {} is draining", self.settings.node.id);
        CallRefusal::not_run(503, "draining", message)
    }

    pub(crate) fn report_target_refusal(&self, call: &TargetCall, refusal: &CallRefusal) {
        let latency = call.started.elapsed();
        let event = CallEnd {
            call: self.next_call(),
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

fn forward_client() -> Client<HttpConnector, ExchangeBody> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    // The client must not repeat a request on its own: only the retry rule decides what runs again.
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Serves callers until drained.
pub async fn serve_calls(
    listener: TcpListener,
    context: Arc<CallContext>,
    drain: CancellationToken,
) {
    let plan = context.drain_plan(drain.clone());
    serve_http(listener, plan, move |request| {
        answer_call(context.clone(), drain.clone(), request)
    })
    .await;
}

async fn answer_call(
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
        Err(refusal) => return give_refusal(progress, refusal),
    };
    progress.note_route(&call);
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

/// A call that follows a route and may be sent on.
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
            Ok(response) => give_answer(self.progress, response, self.call.deadline),
            Err(refusal) => give_refusal(self.progress, refusal),
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

    /// Runs a call under its idempotency key.
    async fn run_under_key(mut self, keyed: KeyedCall) -> Response<ExchangeBody> {
        let begin = begin_keyed(self.context.keyed.as_ref(), keyed);
        // A begin that is dropped midway leaves its record to the recorder, which removes it later.
        let ticket = match timeout_at(self.call.deadline.into(), begin).await {
            Ok(Ok(KeyedBegin::First(ticket))) => ticket,
            Ok(Ok(KeyedBegin::Answered(kept))) => {
                return give_answer(self.progress, kept, self.call.deadline);
            }
            Ok(Err(refusal)) => return give_refusal(self.progress, refusal),
            Err(_) => return give_refusal(self.progress, late_record(&self.call)),
        };
        let answered = match Instant::now() < self.call.deadline {
            true => self.attempt().await,
            false => Err(late_record(&self.call)),
        };
        let settled = settle_keyed(
            &self.context.exchanges,
            ticket,
            answered,
            self.call.deadline,
        );
        match settled.await {
            Ok(response) => give_answer(self.progress, response, self.call.deadline),
            Err(refusal) => give_refusal(self.progress, refusal),
        }
    }
}

/// Runs a keyed call to its end even if its caller goes away, so that a repeat finds its answer.
async fn run_keyed(accepted: AcceptedCall, keyed: KeyedCall) -> Response<ExchangeBody> {
    let exchanges = accepted.context.exchanges.clone();
    let running = exchanges.spawn(accepted.run_under_key(keyed));
    running.await.unwrap_or_else(|cause| {
        let message = format!("run keyed call: {cause}");
        refusal_response(&CallRefusal::unknown(502, "node-failed", message))
    })
}

fn late_record(call: &RoutedCall) -> CallRefusal {
    let message = "record the idempotency key: the deadline passed";
    CallRefusal::not_run(504, "deadline", message)
        .at_line(&call.key.customer, call.route.deadline_line)
}
