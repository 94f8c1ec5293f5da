//! HTTP server for callers.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod headers;
pub mod http_server;
pub mod intake;
pub mod keyed;

use {
    self::{
        answer::{CallProgress, give_answer, give_refusal, repeat_answer},
        attempt::{AttemptOutcome, run_attempts},
        body::{BodyError, ReplayBuffer},
        http_server::{DRAIN_GRACE, DrainPlan, serve_http},
        intake::{RoutedCall, route_call},
        keyed::{KeyedHooks, KeyedStart, KeyedTicket},
    },
    crate::{
        blackboard::Blackboard,
        call_events::{
            BodyEnd, CallEnd, CallHooks, CallNumber, CallOutcome, CallRefusal, CallSide,
        },
        forward_server::{TargetCall, admission::ShareCache},
        retry_budget::RetryBudget,
        settings::NodeSettings,
        target_client::LocalTarget,
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body::{Body, Frame, SizeHint},
    http_body_util::{BodyExt, combinators::UnsyncBoxBody},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    parking_lot::Mutex,
    std::{
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        time::{timeout, timeout_at},
    },
    tokio_util::{
        sync::CancellationToken,
        task::{TaskTracker, task_tracker::TaskTrackerToken},
    },
};

/// A body on its way through a node.
pub type ExchangeBody = UnsyncBoxBody<Bytes, BodyError>;

/// Longest time for a connection to another node; a node that is up answers within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a connection to another node is closed; below the idle time of its server.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes of a refused request that are read and dropped.
///
/// A connection that is closed with unread data is reset, and the reset can overtake the refusal.
const DRAINED_BYTES: u64 = 1024 * 1024;

/// Time for reading the rest of a refused request.
const DRAIN_BODY_TIME: Duration = Duration::from_secs(2);

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
    pub(crate) budget: Mutex<RetryBudget>,
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
            budget: Mutex::new(RetryBudget::new(Instant::now())),
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

    /// Reads and drops the rest of a refused request in the background.
    pub(crate) fn drain_body<B>(&self, body: B)
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
    {
        if !body.is_end_stream() {
            tokio::spawn(timeout(DRAIN_BODY_TIME, read_and_drop(body)));
        }
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
        };
        (self.hooks.on_end)(&event);
    }
}

async fn read_and_drop<B: Body<Data = Bytes> + Unpin>(mut body: B) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, |data| data.len() as u64);
        if read > DRAINED_BYTES {
            return;
        }
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

/// A received body that counts as an exchange in progress until it is dropped.
struct TrackedBody {
    inner: Incoming,
    _token: TaskTrackerToken,
}

/// Wraps a received body; `token` keeps a draining server up until it has been read or given up.
pub(crate) fn incoming_body(inner: Incoming, token: TaskTrackerToken) -> ExchangeBody {
    let tracked = TrackedBody {
        inner,
        _token: token,
    };
    tracked.boxed_unsync()
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        polled.map_err(BodyError::Source)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
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
    let token = context.exchanges.token();
    let mut progress = CallProgress::new(context.clone());
    let routed = match drain.is_cancelled() {
        true => Err(context.draining_refusal()),
        false => route_call(&context, &request, progress.started()),
    };
    let (head, body) = request.into_parts();
    let call = match routed {
        Ok(call) => call,
        Err(refusal) => {
            context.drain_body(body);
            return give_refusal(progress, refusal);
        }
    };
    progress.note_route(&call);
    let body = ReplayBuffer::new(incoming_body(body, token), call.route.body_limit.value);
    let ticket = match begin_keyed(&context, &call).await {
        Ok(ticket) => ticket,
        Err(response) => {
            let (response, refusal) = *response;
            context.drain_body(body.rest());
            return match refusal {
                Some(refusal) => give_refusal(progress, refusal),
                None => give_answer(progress, response, &call, None),
            };
        }
    };
    match run_attempts(&context, &call, &head, &body, &mut progress).await {
        AttemptOutcome::Answered(response) => give_answer(progress, response, &call, ticket),
        AttemptOutcome::Refused(refusal) => {
            context.drain_body(body.rest());
            settle_refused(&context, ticket, &refusal);
            give_refusal(progress, refusal)
        }
    }
}

/// Answer for a call whose key was used before, with the refusal if it is one.
type KeyedStop = Box<(Response<ExchangeBody>, Option<CallRefusal>)>;

async fn begin_keyed(
    context: &CallContext,
    call: &RoutedCall,
) -> Result<Option<KeyedTicket>, KeyedStop> {
    let Some(keyed) = &call.keyed else {
        return Ok(None);
    };
    // A begin that is dropped midway leaves its record to the recorder, which removes it later.
    let begun = match &context.keyed {
        Some(hooks) => timeout_at(call.deadline.into(), (hooks.begin)(keyed.clone())).await,
        None => Ok(KeyedStart::Unavailable(
            "this node keeps no records of keys".to_owned(),
        )),
    };
    let Ok(start) = begun else {
        let message = "record the idempotency key: the deadline passed before the store answered";
        return Err(stopped(CallRefusal::not_run(504, "deadline", message)));
    };
    match start {
        KeyedStart::Run(ticket) => Ok(Some(ticket)),
        KeyedStart::Repeat(repeat) => Err(Box::new(repeat_answer(repeat))),
        KeyedStart::Unavailable(cause) => {
            let message = format!("record the idempotency key: {cause}");
            let refusal = CallRefusal::not_run(503, "key-record-unavailable", message);
            Err(stopped(refusal))
        }
    }
}

fn stopped(refusal: CallRefusal) -> KeyedStop {
    Box::new((headers::refusal_response(&refusal), Some(refusal)))
}

/// Removes the record of a keyed call that was not run; any other record stays as it is.
fn settle_refused(context: &CallContext, ticket: Option<KeyedTicket>, refusal: &CallRefusal) {
    let Some(ticket) = ticket else {
        return;
    };
    if refusal.outcome == CallOutcome::NotRun {
        let abandoned = (ticket.abandon)();
        context.exchanges.spawn(abandoned);
    }
}
