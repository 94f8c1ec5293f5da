//! Assembly of a node: binds its sockets, starts its tasks and servers, and stops them in order.

use {
    super::{
        context::MeshContext,
        entry::answer_call,
        http::{ServerStop, read_whole, serve, serve_clients},
        move_driver::drive_moves,
        move_sync::sync_moves,
        peer_discovery::discover_peers,
        port::PlatformPort,
        refusal::WholeBody,
        registry::{ReportOutcome, TargetReport},
        settings::MeshSettings,
        shutdown::serve_time,
        store_feed::{StoreClock, follow_moves, follow_orders},
        target::answer_hop,
        target_check::confirm_target,
        target_warmup::{WarmupWatch, check_doubted_target},
        usage_caps::run_usage_caps,
    },
    crate::{
        blackboard::Blackboard,
        client_limits::{ConnectionEnd, RECEIVE_BUFFER_BYTES, ShedReason},
        config::IntakeLimits,
        config_sync::serve_sync,
        gossip::GossipNode,
        membership::MemberState,
        node_metrics::{ClientLoad, MetricsError, NodeMetrics},
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        future::Future,
        io,
        net::SocketAddr,
        pin::pin,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    thiserror::Error,
    tokio::{
        net::{TcpListener, TcpSocket, UdpSocket},
        task::JoinSet,
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
    tracing::{error, info, warn},
};

/// Time between two checks of the target beside this node and of the membership.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time after the start by which a node knows the size of its fleet, also if all nodes were restarted with it.
const FLEET_KNOWN_AFTER: Duration = Duration::from_millis(2500);

/// Connections of clients that wait to be accepted.
const CLIENT_BACKLOG: u32 = 1024;

/// Error that keeps a node from starting or ends it.
#[derive(Debug, Error)]
pub enum MeshNodeError {
    /// An address of the settings could not be bound.
    #[error("bind {purpose} at {address}: {cause}")]
    Bind {
        /// Purpose of the address, such as `gossip`.
        purpose: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A task that must run as long as the node has ended; the text is its name.
    #[error("task {0} ended")]
    TaskEnded(&'static str),
}

/// Bound sockets of a node; `calls` is for callers, `hops` for calls that other nodes forward.
struct MeshSockets {
    calls: TcpListener,
    hops: TcpListener,
    ready: TcpListener,
    heartbeats: TcpListener,
    metrics: TcpListener,
    sync: TcpListener,
    gossip: UdpSocket,
}

/// Parses the requests with which targets report to their node; the error text is sent back with status 400.
pub type HeartbeatHandler =
    Arc<dyn Fn(HeartbeatRequest) -> Result<Heartbeat, String> + Send + Sync>;

/// Heartbeat request of a target, not parsed yet.
#[derive(Debug)]
pub struct HeartbeatRequest {
    /// Method of the request.
    pub method: http::Method,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub content: Bytes,
}

/// Parsed heartbeat request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Heartbeat {
    /// The target reports its state.
    Report(TargetReport),
    /// The instance with this name leaves for good.
    Leave(String),
}

/// Runs a node until `stop` is cancelled, or a required task has ended, and then until its calls in progress have ended
/// or the grace period is over.
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
    let admin_stop = ServerStop {
        close: background.clone(),
        connections: TaskTracker::new(),
    };
    spawn_admin_servers(
        &mut tasks,
        &context,
        heartbeats,
        &admin_stop,
        [sockets.ready, sockets.heartbeats, sockets.metrics],
    );
    info!(
        node = context.settings.node.id,
        service = %context.settings.service,
        "node started"
    );
    let calls = serve_calls(&context, &port, sockets.calls, sockets.hops, stop.clone());
    let mut calls = pin!(calls);
    let ended = tokio::select! {
        () = &mut calls => Ok(()),
        Some(ended) = tasks.join_next() => {
            let name = ended.unwrap_or("(panicked)");
            error!(task = name, "a required task ended; stopping the node");
            stop.cancel();
            calls.await;
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
        calls: bind_clients(node.call_address)?,
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

/// Binds the address for clients; their connections inherit the size of the receive buffer.
fn bind_clients(address: SocketAddr) -> Result<TcpListener, MeshNodeError> {
    listen_for_clients(address).map_err(|cause| bind_error("calls", address, cause))
}

fn listen_for_clients(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Err(cause) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32) {
        warn!(step = "set receive buffer", error = %cause, "the kernel chooses the size");
    }
    socket.bind(address)?;
    socket.listen(CLIENT_BACKLOG)
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
    // No version floor: the store holds the newest configuration, and a node that cannot read it serves the version
    // that its peers have.
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

/// Returns the time in milliseconds: a restarted node needs a higher incarnation than before, even if no peer answers
/// its join.
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
    spawn_task(&mut tasks, "orders", run_until(background, orders));
    let moves = follow_moves(context.clone(), port.clone(), clock.clone());
    spawn_task(&mut tasks, "moves", run_until(background, moves));
    let move_sync = sync_moves(context.clone());
    spawn_task(
        &mut tasks,
        "moves of peers",
        run_until(background, move_sync),
    );
    let driver = drive_moves(context.clone(), port.clone(), clock);
    spawn_task(&mut tasks, "move driver", run_until(background, driver));
    let peers = discover_peers(context.clone(), port.clone());
    spawn_task(&mut tasks, "peers", run_until(background, peers));
    let caps = run_usage_caps(context.clone());
    spawn_task(&mut tasks, "usage caps", run_until(background, caps));
    let (watched, checked, doubted) = (context.clone(), context.clone(), context.clone());
    let watch = async move {
        tokio::join!(
            watch_target(watched),
            confirm_target(checked),
            check_doubted_target(doubted)
        );
    };
    spawn_task(&mut tasks, "target watch", run_until(background, watch));
    tasks
}

fn run_until(
    cancel: &CancellationToken,
    task: impl Future<Output = ()> + Send + 'static,
) -> impl Future<Output = ()> + Send + 'static {
    let cancel = cancel.clone();
    async move {
        cancel.run_until_cancelled(task).await;
    }
}

fn spawn_admin_servers(
    tasks: &mut JoinSet<&'static str>,
    context: &Arc<MeshContext>,
    heartbeats: HeartbeatHandler,
    stop: &ServerStop,
    [ready, targets, metrics]: [TcpListener; 3],
) {
    let ready_context = context.clone();
    let answer_ready = move |_request| {
        let context = ready_context.clone();
        async move { plain_response(readiness_status(&context), Bytes::new()) }
    };
    spawn_task(tasks, "readiness", serve(ready, stop.clone(), answer_ready));
    let heartbeat_context = context.clone();
    let answer_target =
        move |request| answer_heartbeat(heartbeat_context.clone(), heartbeats.clone(), request);
    spawn_task(
        tasks,
        "heartbeats",
        serve(targets, stop.clone(), answer_target),
    );
    let metrics_context = context.clone();
    let answer_metrics = move |_request| {
        let text = metrics_context.metrics.render();
        async move { plain_response(StatusCode::OK, Bytes::from(text)) }
    };
    spawn_task(
        tasks,
        "metrics",
        serve(metrics, stop.clone(), answer_metrics),
    );
}

fn plain_response(status: StatusCode, content: Bytes) -> Response<WholeBody> {
    let mut response = Response::new(Full::new(content));
    *response.status_mut() = status;
    response
}

fn readiness_status(context: &MeshContext) -> StatusCode {
    let ready = context.board.gate.version() > 0 && !context.is_leaving();
    match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Longest body of a heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 16 * 1024;

async fn answer_heartbeat(
    context: Arc<MeshContext>,
    heartbeats: HeartbeatHandler,
    request: Request<Incoming>,
) -> Response<WholeBody> {
    let (head, body) = request.into_parts();
    let content = match read_whole(body, MAX_HEARTBEAT_BYTES, &context.held_bytes).await {
        Ok(content) => content,
        Err(cause) => {
            info!(step = "read heartbeat", error = %cause, "heartbeat rejected with status 400");
            return plain_response(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    let call = HeartbeatRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        content,
    };
    match heartbeats(call) {
        Ok(heartbeat) => {
            apply_heartbeat(&context, heartbeat);
            plain_response(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        Err(message) => {
            info!(
                step = "read heartbeat",
                error = message,
                "heartbeat rejected with status 400"
            );
            plain_response(StatusCode::BAD_REQUEST, Bytes::from(message))
        }
    }
}

fn apply_heartbeat(context: &MeshContext, heartbeat: Heartbeat) {
    match heartbeat {
        Heartbeat::Report(report) => apply_report(context, report),
        Heartbeat::Leave(instance) => apply_departure(context, &instance),
    }
}

fn apply_departure(context: &MeshContext, instance: &str) {
    let now = Instant::now();
    let is_current = context.registry.lock().mark_leaving(instance, now);
    let outcome = match is_current {
        true => "left",
        false => "left, not the current target",
    };
    info!(
        decision = "registry",
        instance, outcome, "target is leaving"
    );
    if is_current {
        context.publish_target();
    }
}

fn apply_report(context: &MeshContext, report: TargetReport) {
    let (instance, draining) = (report.instance.clone(), report.draining);
    let (sequence, born_ms) = (report.sequence, report.born_ms);
    let now = Instant::now();
    let (before, departed_at, outcome) = {
        let mut registry = context.registry.lock();
        let before = registry.current().cloned();
        let departed_at = registry.departed_at();
        (before, departed_at, registry.apply(report.clone(), now))
    };
    let since_departure_ms =
        departed_at.map(|at| now.saturating_duration_since(at).as_millis() as u64);
    let changed = before
        .as_ref()
        .is_none_or(|known| known.instance != instance || known.draining != draining);
    if changed || outcome != ReportOutcome::Taken {
        info!(
            decision = "registry", instance, draining, sequence, born_ms, since_departure_ms,
            outcome = %outcome, "target report received"
        );
    }
    if outcome == ReportOutcome::Taken {
        let is_new_start =
            before.is_some_and(|known| known.instance != instance || known.born_ms != born_ms);
        // Before the target is used, so that a cold one gets no more than it may.
        context.apply_warmup_limit();
        context.apply_heartbeat_warmup(&report, is_new_start);
        context.publish_target();
    }
}

/// Withdraws a target whose heartbeats have stopped, and applies changes of the number of nodes, of connections and of
/// the limits of clients.
async fn watch_target(context: Arc<MeshContext>) {
    let started = Instant::now();
    let mut warmup = WarmupWatch::default();
    loop {
        sleep(CHECK_PERIOD).await;
        if context.registry.lock().expire(Instant::now()) {
            info!(
                decision = "registry",
                outcome = "silent",
                "target withdrawn"
            );
            context.publish_target();
            context.doubt_target("silent");
        }
        context.apply_warmup_limit();
        warmup.look(&context);
        let nodes = {
            let members = context.board.members.lock();
            let alive = members
                .iter()
                .filter(|record| record.state == MemberState::Alive);
            alive.count()
        };
        if started.elapsed() >= FLEET_KNOWN_AFTER {
            context.budgets.lock().set_nodes(nodes);
            context.exposure.lock().set_nodes(nodes);
        }
        let config = context.board.gate.current();
        if let Some(spec) = config.backend(&context.settings.service) {
            context.target.resize(spec.connections);
        }
        watch_clients(&context, config.intake());
    }
}

/// Applies the limits of the configuration to the connections of clients, closes those over their time, and reports.
fn watch_clients(context: &MeshContext, intake: Option<&IntakeLimits>) {
    let clients = &context.clients;
    clients.set_intake(intake);
    clients.close_overdue(Instant::now());
    context.metrics.set_client_load(ClientLoad {
        connections: clients.open_count() as u64,
        buffer_bytes: clients.charged_bytes() as u64,
        body_bytes: context.held_bytes.held() as u64,
    });
    for ((end, phase), count) in clients.take_ends() {
        context.metrics.count_connection_ends(end, phase, count);
        if phase.owes_answer() || end == ConnectionEnd::Unread {
            info!(
                decision = "connection", %end, %phase, count,
                "connections of clients ended before a whole answer"
            );
        }
    }
    for (reason, count) in clients.take_sheds() {
        context.metrics.count_sheds(reason, count);
        // Idle connections end in ordinary operation too.
        if reason != ShedReason::Idle {
            info!(decision = "shed", %reason, count, "connections of clients closed");
        }
    }
}

/// Serves calls until `stop`, then fails readiness checks, accepts calls for a part of the grace period, and waits
/// for the calls in progress.
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
    let entry_context = context.clone();
    let clients = context.clients.clone();
    let entry_server = serve_clients(calls, server_stop.clone(), clients, move |request| {
        answer_call(entry_context.clone(), request)
    });
    let hop_context = context.clone();
    let hop_server = serve(hops, server_stop.clone(), move |request| {
        answer_hop(hop_context.clone(), request)
    });
    let stopping = async {
        stop.cancelled().await;
        info!(node = context.settings.node.id, "node is stopping");
        context.leave();
        let serve_time = serve_time(context.settings.bounds.grace);
        let leave = async {
            context.gossip.leave().await;
            sleep(serve_time).await;
        };
        let removal = (port.remove_peer)(context.settings.node.id.clone());
        let (_, removed) = tokio::join!(leave, timeout(serve_time, removal));
        if !matches!(removed, Ok(Ok(()))) {
            info!(
                dependency = "store",
                "row of this node not removed from the store; other nodes will try its address, with backoff"
            );
        }
        context.shutdown.close();
        server_stop.close.cancel();
        server_stop.connections.close();
        let left = context.shutdown.time_left().unwrap_or_default();
        if timeout(left, server_stop.connections.wait()).await.is_err() {
            let open = server_stop.connections.len();
            let unanswered = context.clients.unanswered_count();
            info!(
                open,
                unanswered, "connections still open at the end of the grace period; closing them"
            );
        }
    };
    tokio::join!(entry_server, hop_server, stopping);
}
