//! Start, operation and shutdown of a node: binds its sockets, runs its servers and controllers, and
//! stops them in order.

pub mod admin_ports;
pub mod apply_watch;
pub mod call_reports;
pub mod key_records;
pub mod move_ports;

use {
    self::{
        admin_ports::admin_hooks,
        apply_watch::watch_applied,
        call_reports::{call_hooks, metrics_updater},
        key_records::keyed_hooks,
        move_ports::MoveDriver,
    },
    crate::{
        admin_api::{AdminContext, serve_admin},
        apply_gate::ConfigSource,
        blackboard::Blackboard,
        call_proxy::{CallContext, serve_calls},
        config::ConfigSnapshot,
        config_store::ConfigStore,
        config_sync::serve_sync,
        controller_pool::{ControllerJob, run_controllers},
        domain_reader::{DomainReader, READER_STEP_INTERVAL},
        forward_server::serve_forwarded_calls,
        gossip::GossipNode,
        idempotency_record::IdempotencyRecorder,
        ids::ConfigVersion,
        join::{FloorSource, join_and_find_floor},
        node_metrics::{MetricsError, NodeMetrics},
        platform_store::{PlatformStore, StoreError},
        settings::NodeSettings,
        target_client::LocalTarget,
    },
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::Mutex,
        task::JoinSet,
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// Workers that run the controllers' steps; a slow store request occupies one of them.
const CONTROLLER_WORKERS: usize = 3;

/// Time between two checks whether the node's own target still announces itself.
const TARGET_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time between two updates of the own target's demand in gossip.
const DEMAND_GOSSIP_PERIOD: Duration = Duration::from_secs(5);

/// Time between two steps of the move controller.
const MOVE_STEP_PERIOD: Duration = Duration::from_secs(1);

/// Time between two updates of the metrics that are read from tables and counters.
const METRICS_UPDATE_PERIOD: Duration = Duration::from_secs(1);

/// Time between two runs that remove idempotency records of calls that did not run.
const IDEMPOTENCY_SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// Error that prevents a node from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address of the settings could not be bound.
    #[error("bind {purpose} at {address}: {cause}")]
    Bind {
        /// Traffic that the address is for.
        purpose: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The clients of the platform's table service and object store could not be built.
    #[error("set up the platform's clients: {0}")]
    Platform(#[from] StoreError),
    /// The metrics exporter could not be built.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Bound sockets of a node, one for each kind of traffic.
struct NodeSockets {
    calls: TcpListener,
    forwards: TcpListener,
    sync: TcpListener,
    gossip: UdpSocket,
    admin: TcpListener,
}

/// Components that the controllers and servers of a node share; clones refer to the same components.
#[derive(Clone)]
pub struct NodeParts {
    /// Settings of the node.
    pub settings: Arc<NodeSettings>,
    /// State that the controllers and the call path share.
    pub board: Arc<Blackboard>,
    /// Membership protocol, which also distributes targets, vetoes and configuration versions.
    pub gossip: GossipNode,
    /// Target of this node: the application instance that executes the calls which reach the node.
    pub target: Arc<LocalTarget>,
    /// Clients of the platform's table service and object store.
    pub store: PlatformStore,
    /// Versioned configuration in the platform's store.
    pub config: ConfigStore,
    /// Records of idempotency keys.
    pub once: IdempotencyRecorder,
    /// Metrics of the node.
    pub metrics: NodeMetrics,
}

/// Runs a node until `stop` is cancelled and the calls in progress have ended.
pub async fn run_node(settings: NodeSettings, stop: CancellationToken) -> Result<(), NodeError> {
    let sockets = bind_sockets(&settings).await?;
    let parts = build_node_parts(settings)?;
    let background = CancellationToken::new();
    let mut tasks = JoinSet::new();
    tasks.spawn(parts.gossip.clone().run(sockets.gossip, background.clone()));
    tasks.spawn(serve_sync(
        sockets.sync,
        parts.gossip.clone(),
        parts.board.clone(),
        background.clone(),
    ));
    tasks.spawn(serve_admin(
        sockets.admin,
        build_admin_context(&parts),
        background.clone(),
    ));
    tasks.spawn(watch_applied(
        parts.board.clone(),
        parts.metrics.clone(),
        background.clone(),
    ));
    let reader = Arc::new(Mutex::new(DomainReader::new(
        &parts.settings,
        parts.store.clone(),
    )));
    let move_driver = Arc::new(Mutex::new(MoveDriver::new(&parts)));
    tasks.spawn(run_background(
        parts.clone(),
        reader.clone(),
        move_driver.clone(),
        background.clone(),
    ));
    info!(node = parts.settings.node.id, "node started");
    serve_until_drained(&parts, sockets.calls, sockets.forwards, stop).await;
    background.cancel();
    while tasks.join_next().await.is_some() {}
    release_leases(&reader, &move_driver).await;
    info!(node = parts.settings.node.id, "node stopped");
    Ok(())
}

async fn bind_sockets(settings: &NodeSettings) -> Result<NodeSockets, NodeError> {
    let node = &settings.node;
    let gossip = UdpSocket::bind(node.peer_address)
        .await
        .map_err(|cause| bind_error("gossip", node.peer_address, cause))?;
    Ok(NodeSockets {
        calls: bind_tcp("calls", node.call_address).await?,
        forwards: bind_tcp("forwarded calls", node.forward_address).await?,
        sync: bind_tcp("synchronisation", node.peer_address).await?,
        gossip,
        admin: bind_tcp("operators", node.admin_address).await?,
    })
}

async fn bind_tcp(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| bind_error(purpose, address, cause))
}

fn bind_error(purpose: &'static str, address: SocketAddr, cause: io::Error) -> NodeError {
    NodeError::Bind {
        purpose,
        address,
        cause,
    }
}

fn build_node_parts(settings: NodeSettings) -> Result<NodeParts, NodeError> {
    let settings = Arc::new(settings);
    let store = PlatformStore::connect(&settings.platform)?;
    let board = Arc::new(Blackboard::default());
    // Starts at incarnation 1; when the node joins, it is raised above the incarnation that peers remember
    // from a previous run.
    let gossip = GossipNode::new(settings.clone(), board.clone(), 1);
    let once = IdempotencyRecorder::new(
        store.clone(),
        settings.node.id.clone(),
        settings.platform.key_writes_per_second,
    );
    Ok(NodeParts {
        board,
        gossip,
        target: Arc::new(LocalTarget::default()),
        config: ConfigStore::new(store.clone()),
        once,
        metrics: NodeMetrics::new()?,
        store,
        settings,
    })
}

fn build_admin_context(parts: &NodeParts) -> Arc<AdminContext> {
    Arc::new(AdminContext {
        settings: parts.settings.clone(),
        board: parts.board.clone(),
        hooks: admin_hooks(parts),
    })
}

/// Serves calls until `stop` is cancelled, then announces through gossip that the node leaves and lets
/// the calls in progress finish.
async fn serve_until_drained(
    parts: &NodeParts,
    calls: TcpListener,
    forwards: TcpListener,
    stop: CancellationToken,
) {
    let context = Arc::new(CallContext::new(
        parts.settings.clone(),
        parts.board.clone(),
        parts.target.clone(),
        Some(keyed_hooks(&parts.once)),
        call_hooks(&parts.metrics),
    ));
    let gossip = parts.gossip.clone();
    let leave = async {
        stop.cancelled().await;
        info!(node = parts.settings.node.id, "node is draining");
        gossip.leave().await;
    };
    tokio::join!(
        serve_calls(calls, context.clone(), stop.clone()),
        serve_forwarded_calls(forwards, context, stop.clone()),
        leave,
    );
}

/// Runs the controllers; those that need the floor, the lowest version that this node may apply, start
/// after it has been found.
async fn run_background(
    parts: NodeParts,
    reader: Arc<Mutex<DomainReader>>,
    move_driver: Arc<Mutex<MoveDriver>>,
    cancel: CancellationToken,
) {
    // These run from the start, since the target may announce itself before the node has joined.
    let jobs = vec![
        target_check_job(&parts),
        demand_gossip_job(&parts),
        metrics_update_job(&parts),
    ];
    let startup_controllers = run_controllers(jobs, 1, cancel.clone());
    let join_and_run = async {
        find_floor_and_load(&parts, &cancel).await;
        let jobs = vec![
            domain_reader_job(&parts, reader),
            move_controller_job(move_driver),
            idempotency_sweep_job(&parts),
        ];
        run_controllers(jobs, CONTROLLER_WORKERS, cancel.clone()).await;
    };
    tokio::join!(startup_controllers, join_and_run);
}

/// Finds the floor and, if it came from the store and no peer delivers that version in time, loads the
/// configuration.
async fn find_floor_and_load(parts: &NodeParts, cancel: &CancellationToken) {
    let read_head_version = || async { parts.config.head().await.map(|head| head.version) };
    let outcome = join_and_find_floor(
        &parts.settings,
        read_head_version,
        &parts.gossip,
        &parts.board,
        cancel.clone(),
    )
    .await;
    info!(
        source = %outcome.source,
        floor = outcome.floor,
        replies = outcome.replies,
        "found the floor, the lowest configuration version that this node may apply"
    );
    if outcome.source == FloorSource::Store && parts.board.gate.version() < outcome.floor {
        let wait = wait_for_peers(parts, outcome.floor);
        if cancel.run_until_cancelled(wait).await == Some(false) {
            load_from_store(parts).await;
        }
    }
}

/// Waits for a random time, at most the `join_spread` of the settings, until a version at or above the
/// floor arrives from a peer; returns whether it did.
///
/// When all nodes start at once, no peer has such a version yet. The first node that loads it from the
/// store distributes it within about a second, so most nodes need not load it themselves.
async fn wait_for_peers(parts: &NodeParts, floor: ConfigVersion) -> bool {
    let mut applied = parts.board.gate.subscribe();
    let wait_limit = parts.settings.gossip.join_spread;
    let wait_limit = wait_limit.mul_f64(rand::random::<f64>());
    let result = timeout(wait_limit, applied.wait_for(|version| *version >= floor)).await;
    result.is_ok()
}

/// Loads the newest configuration from the store. Without this, nodes that all start at once would have no
/// configuration until their domain readers have acquired their leases.
async fn load_from_store(parts: &NodeParts) {
    let loaded = async {
        let head = parts.config.head().await?;
        parts.config.load(&head).await
    };
    match loaded.await {
        Ok(snapshot) => apply_accepted_config(parts, snapshot),
        Err(error) => {
            warn!(
                %error,
                "failed to load the configuration from the store; waiting for a peer or the domain reader"
            )
        }
    }
}

/// Applies an accepted configuration on this node and pushes it to other nodes.
pub fn apply_accepted_config(parts: &NodeParts, snapshot: ConfigSnapshot) {
    let version = snapshot.version;
    match parts.board.gate.try_apply(snapshot, &ConfigSource::Store) {
        Ok(()) => parts.gossip.push_now(),
        // Not a fault: a peer may have delivered this or a newer version first.
        Err(error) => info!(%error, version, "accepted configuration not applied on this node"),
    }
}

fn target_check_job(parts: &NodeParts) -> ControllerJob {
    let (target, gossip) = (parts.target.clone(), parts.gossip.clone());
    ControllerJob::new("target", TARGET_CHECK_PERIOD, move || {
        if target.withdraw_if_expired(Instant::now()) {
            warn!("target withdrawn: its announcements have stopped");
            gossip.announce_target(None);
        }
        std::future::ready(())
    })
}

fn demand_gossip_job(parts: &NodeParts) -> ControllerJob {
    let (target, gossip) = (parts.target.clone(), parts.gossip.clone());
    ControllerJob::new("demand", DEMAND_GOSSIP_PERIOD, move || {
        if let Some(record) = target.record() {
            gossip.announce_target(Some(record));
        }
        std::future::ready(())
    })
}

fn metrics_update_job(parts: &NodeParts) -> ControllerJob {
    let mut update_metrics = metrics_updater(parts);
    ControllerJob::new("metrics", METRICS_UPDATE_PERIOD, move || {
        update_metrics();
        std::future::ready(())
    })
}

fn domain_reader_job(parts: &NodeParts, reader: Arc<Mutex<DomainReader>>) -> ControllerJob {
    let board = parts.board.clone();
    ControllerJob::new("domain reader", READER_STEP_INTERVAL, move || {
        let (board, reader) = (board.clone(), reader.clone());
        async move {
            let mut reader = reader.lock().await;
            if let Err(error) = reader.step(&board, Instant::now()).await {
                warn!(
                    %error,
                    "failed to read the configuration from the store; retrying in the next period"
                );
            }
        }
    })
}

fn move_controller_job(move_driver: Arc<Mutex<MoveDriver>>) -> ControllerJob {
    ControllerJob::new("moves", MOVE_STEP_PERIOD, move || {
        let move_driver = move_driver.clone();
        async move { move_driver.lock().await.step().await }
    })
}

fn idempotency_sweep_job(parts: &NodeParts) -> ControllerJob {
    let once = parts.once.clone();
    ControllerJob::new("idempotency records", IDEMPOTENCY_SWEEP_PERIOD, move || {
        let once = once.clone();
        async move {
            if let Err(error) = once.remove_orphans().await {
                warn!(
                    %error,
                    "failed to remove idempotency records of calls that did not run; retrying in the next period"
                );
            }
        }
    })
}

async fn release_leases(reader: &Mutex<DomainReader>, move_driver: &Mutex<MoveDriver>) {
    if let Err(error) = reader.lock().await.stop().await {
        warn!(
            %error,
            "failed to release the lease of the domain reader; other nodes wait until it expires"
        );
    }
    move_driver.lock().await.stop().await;
}
