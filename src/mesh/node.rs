//! Assembly of a node: builds the parts, connects them, runs them and stops them in order.

use {
    super::{
        context::MeshContext,
        entry::answer_call,
        heard_moves::hear_moves,
        http::{ServerStop, read_whole, serve},
        move_driver::drive_moves,
        orders::{StoreClock, follow_moves, follow_orders},
        peers::find_peers,
        port::PlatformPort,
        refusal::WholeBody,
        registry::{ReportOutcome, TargetReport},
        settings::MeshSettings,
        target::answer_hop,
    },
    crate::{
        blackboard::Blackboard,
        config_sync::serve_sync,
        gossip::GossipNode,
        membership::MemberState,
        node_metrics::{MetricsError, NodeMetrics},
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        future::Future,
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    thiserror::Error,
    tokio::{
        net::{TcpListener, UdpSocket},
        task::JoinSet,
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
    tracing::{error, info},
};

/// Time between two looks at the own target and the known nodes.
const TARGET_PERIOD: Duration = Duration::from_millis(250);

/// Part of the grace period for which a stopping node still takes calls.
///
/// Callers learn of the departure by failed readiness checks within this time.
const SERVE_PART: f64 = 0.42;

/// Time before the end of the grace period at which a stopping node exits.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// A node that could not start.
#[derive(Debug, Error)]
pub enum MeshNodeError {
    /// An address of the settings could not be bound.
    #[error("bind {purpose} at {address}: {cause}")]
    Bind {
        /// What the address is for.
        purpose: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// What went wrong.
        cause: io::Error,
    },
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A task ended on which the node depends.
    #[error("task {0} ended")]
    TaskEnded(&'static str),
}

/// Bound sockets of a node.
struct MeshSockets {
    calls: TcpListener,
    hops: TcpListener,
    ready: TcpListener,
    heartbeats: TcpListener,
    metrics: TcpListener,
    sync: TcpListener,
    gossip: UdpSocket,
}

/// Answers the heartbeats of targets in the form that they speak.
pub type HeartbeatHandler =
    Arc<dyn Fn(HeartbeatCall) -> Result<HeartbeatAsk, String> + Send + Sync>;

/// A request of a target about itself.
#[derive(Debug)]
pub struct HeartbeatCall {
    /// Method of the request.
    pub method: http::Method,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub content: Bytes,
}

/// What a target says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeartbeatAsk {
    /// It reports about itself.
    Report(TargetReport),
    /// The instance with this name leaves for good.
    Leave(String),
}

/// Runs a node until `stop` is cancelled and its exchanges have ended.
pub async fn run_mesh_node(
    settings: MeshSettings,
    port: PlatformPort,
    heartbeats: HeartbeatHandler,
    stop: CancellationToken,
) -> Result<(), MeshNodeError> {
    let sockets = bind_all(&settings).await?;
    let context = build_context(settings)?;
    let background = CancellationToken::new();
    let mut tasks = spawn_background(&context, &port, &background);
    let gossip = context.gossip.clone();
    spawn_task(
        &mut tasks,
        "gossip",
        gossip.clone().run(sockets.gossip, background.clone()),
    );
    let sync = serve_sync(
        sockets.sync,
        gossip,
        context.board.clone(),
        background.clone(),
    );
    spawn_task(&mut tasks, "synchronisation", sync);
    let side_stop = ServerStop {
        close: background.clone(),
        connections: TaskTracker::new(),
    };
    spawn_side_servers(
        &mut tasks,
        &context,
        heartbeats,
        &side_stop,
        [sockets.ready, sockets.heartbeats, sockets.metrics],
    );
    info!(
        node = context.settings.node.id,
        service = %context.settings.service,
        "node started"
    );
    let calls = serve_calls(&context, &port, sockets.calls, sockets.hops, stop);
    let ended = tokio::select! {
        () = calls => Ok(()),
        Some(ended) = tasks.join_next() => {
            let name = ended.unwrap_or("of the background");
            error!(task = name, "a task ended on which the node depends");
            Err(MeshNodeError::TaskEnded(name))
        }
    };
    background.cancel();
    info!(node = context.settings.node.id, "node stopped");
    ended
}

async fn bind_all(settings: &MeshSettings) -> Result<MeshSockets, MeshNodeError> {
    let node = &settings.node;
    let gossip = UdpSocket::bind(node.peer_address);
    let gossip = gossip
        .await
        .map_err(|cause| bind_error("gossip", node.peer_address, cause))?;
    Ok(MeshSockets {
        calls: bind_tcp("calls", node.call_address).await?,
        hops: bind_tcp("forwarded calls", node.forward_address).await?,
        ready: bind_tcp("readiness", settings.ready_address).await?,
        heartbeats: bind_tcp("heartbeats", node.admin_address).await?,
        metrics: bind_tcp("metrics", settings.metrics_address).await?,
        sync: bind_tcp("synchronisation", node.peer_address).await?,
        gossip,
    })
}

async fn bind_tcp(
    purpose: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, MeshNodeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|cause| bind_error(purpose, address, cause))
}

fn bind_error(purpose: &'static str, address: SocketAddr, cause: io::Error) -> MeshNodeError {
    MeshNodeError::Bind {
        purpose,
        address,
        cause,
    }
}

fn build_context(settings: MeshSettings) -> Result<Arc<MeshContext>, MeshNodeError> {
    let settings = Arc::new(settings);
    let board = Arc::new(Blackboard::default());
    // The store holds the newest configuration, and a node that cannot read it serves what its peers have.
    board.gate.set_floor(0);
    let gossip = GossipNode::with_sections(
        &settings.node,
        &settings.gossip,
        board.clone(),
        start_incarnation(),
    );
    let metrics = NodeMetrics::new()?;
    Ok(Arc::new(MeshContext::new(settings, board, gossip, metrics)))
}

/// A restarted node must have a higher incarnation than before, even if no peer answers its join.
fn start_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |time| time.as_millis() as u64)
}

fn spawn_task(
    tasks: &mut JoinSet<&'static str>,
    name: &'static str,
    task: impl Future<Output = ()> + Send + 'static,
) {
    tasks.spawn(async move {
        task.await;
        name
    });
}

fn spawn_background(
    context: &Arc<MeshContext>,
    port: &PlatformPort,
    background: &CancellationToken,
) -> JoinSet<&'static str> {
    let clock = Arc::new(StoreClock::default());
    let mut tasks = JoinSet::new();
    let orders = follow_orders(context.clone(), port.clone(), clock.clone());
    spawn_task(&mut tasks, "orders", until(background, orders));
    let moves = follow_moves(context.clone(), port.clone(), clock.clone());
    spawn_task(&mut tasks, "moves", until(background, moves));
    let heard = hear_moves(context.clone());
    spawn_task(&mut tasks, "moves of peers", until(background, heard));
    let driver = drive_moves(context.clone(), port.clone(), clock);
    spawn_task(&mut tasks, "move driver", until(background, driver));
    let peers = find_peers(context.clone(), port.clone());
    spawn_task(&mut tasks, "peers", until(background, peers));
    let watch = watch_target(context.clone());
    spawn_task(&mut tasks, "target watch", until(background, watch));
    tasks
}

fn until(
    cancel: &CancellationToken,
    task: impl Future<Output = ()> + Send + 'static,
) -> impl Future<Output = ()> + Send + 'static {
    let cancel = cancel.clone();
    async move {
        cancel.run_until_cancelled(task).await;
    }
}

fn spawn_side_servers(
    tasks: &mut JoinSet<&'static str>,
    context: &Arc<MeshContext>,
    heartbeats: HeartbeatHandler,
    stop: &ServerStop,
    [ready, targets, metrics]: [TcpListener; 3],
) {
    let readiness = context.clone();
    let answer_ready = move |_request| {
        let context = readiness.clone();
        async move { plain(ready_status(&context), Bytes::new()) }
    };
    spawn_task(tasks, "readiness", serve(ready, stop.clone(), answer_ready));
    let reported = context.clone();
    let answer_target =
        move |request| answer_heartbeat(reported.clone(), heartbeats.clone(), request);
    spawn_task(
        tasks,
        "heartbeats",
        serve(targets, stop.clone(), answer_target),
    );
    let measured = context.clone();
    let answer_metrics = move |_request| {
        let text = measured.metrics.render();
        async move { plain(StatusCode::OK, Bytes::from(text)) }
    };
    spawn_task(
        tasks,
        "metrics",
        serve(metrics, stop.clone(), answer_metrics),
    );
}

fn plain(status: StatusCode, content: Bytes) -> Response<WholeBody> {
    let mut response = Response::new(Full::new(content));
    *response.status_mut() = status;
    response
}

fn ready_status(context: &MeshContext) -> StatusCode {
    let ready = context.board.gate.version() > 0 && !context.is_leaving();
    match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Longest heartbeat in bytes.
const MAX_HEARTBEAT_BYTES: usize = 16 * 1024;

async fn answer_heartbeat(
    context: Arc<MeshContext>,
    heartbeats: HeartbeatHandler,
    request: Request<Incoming>,
) -> Response<WholeBody> {
    let (head, body) = request.into_parts();
    let content = match read_whole(body, MAX_HEARTBEAT_BYTES).await {
        Ok(content) => content,
        Err(cause) => {
            info!(step = "read heartbeat", error = %cause, "heartbeat not taken");
            return plain(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    let call = HeartbeatCall {
        method: head.method,
        path: head.uri.path().to_owned(),
        content,
    };
    match heartbeats(call) {
        Ok(ask) => {
            take_heartbeat(&context, ask);
            plain(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        Err(message) => {
            info!(
                step = "read heartbeat",
                error = message,
                "heartbeat not taken"
            );
            plain(StatusCode::BAD_REQUEST, Bytes::from(message))
        }
    }
}

fn take_heartbeat(context: &MeshContext, ask: HeartbeatAsk) {
    match ask {
        HeartbeatAsk::Report(report) => take_report(context, report),
        HeartbeatAsk::Leave(instance) => {
            if context.registry.lock().leave(&instance) {
                info!(
                    decision = "registry",
                    instance,
                    outcome = "left",
                    "target leaves"
                );
                context.publish_target();
            }
        }
    }
}

fn take_report(context: &MeshContext, report: TargetReport) {
    let (instance, draining) = (report.instance.clone(), report.draining);
    let (sequence, born_ms) = (report.sequence, report.born_ms);
    let (before, outcome) = {
        let mut registry = context.registry.lock();
        let before = registry
            .present()
            .map(|known| (known.instance.clone(), known.draining));
        (before, registry.take(report, Instant::now()))
    };
    let changed = before != Some((instance.clone(), draining));
    if changed || outcome != ReportOutcome::Taken {
        info!(
            decision = "registry", instance, draining, sequence, born_ms,
            outcome = %outcome, "target reported"
        );
    }
    if outcome == ReportOutcome::Taken {
        context.publish_target();
    }
}

/// Withdraws a silent target, and follows the number of nodes and connections, without end.
async fn watch_target(context: Arc<MeshContext>) {
    loop {
        sleep(TARGET_PERIOD).await;
        if context.registry.lock().expire(Instant::now()) {
            info!(
                decision = "registry",
                outcome = "silent",
                "target withdrawn"
            );
            context.publish_target();
        }
        let nodes = {
            let members = context.board.members.lock();
            let alive = members
                .iter()
                .filter(|record| record.state == MemberState::Alive);
            alive.count()
        };
        context.budgets.lock().set_nodes(nodes);
        let config = context.board.gate.current();
        if let Some(spec) = config.backend(&context.settings.service) {
            context.target.resize(spec.connections);
        }
    }
}

/// Serves calls until `stop`, then refuses to be ready, and ends after the exchanges in progress.
async fn serve_calls(
    context: &Arc<MeshContext>,
    port: &PlatformPort,
    calls: TcpListener,
    hops: TcpListener,
    stop: CancellationToken,
) {
    let server_stop = ServerStop {
        close: CancellationToken::new(),
        connections: TaskTracker::new(),
    };
    let entry = context.clone();
    let entry_server = serve(calls, server_stop.clone(), move |request| {
        answer_call(entry.clone(), request)
    });
    let target = context.clone();
    let hop_server = serve(hops, server_stop.clone(), move |request| {
        answer_hop(target.clone(), request)
    });
    let stopping = async {
        stop.cancelled().await;
        let stopped_at = Instant::now();
        info!(node = context.settings.node.id, "node is stopping");
        context.leave();
        let grace = context.settings.bounds.grace;
        let leave = async {
            context.gossip.leave().await;
            sleep(grace.mul_f64(SERVE_PART)).await;
        };
        let removal = (port.remove_peer)(context.settings.node.id.clone());
        let (_, removed) = tokio::join!(leave, timeout(grace.mul_f64(SERVE_PART), removal));
        if !matches!(removed, Ok(Ok(()))) {
            info!(dependency = "store", "the row of this node stays");
        }
        server_stop.close.cancel();
        server_stop.connections.close();
        let left = (grace - EXIT_MARGIN).saturating_sub(stopped_at.elapsed());
        if timeout(left, server_stop.connections.wait()).await.is_err() {
            let open = server_stop.connections.len();
            info!(
                open,
                "connections are still open at the end of the grace period"
            );
        }
    };
    tokio::join!(entry_server, hop_server, stopping);
}
