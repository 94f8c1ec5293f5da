//! Assembly of a node: builds the parts, connects them, runs them and stops them in order.

pub mod admin_ports;
pub mod apply_watch;
pub mod call_reports;
pub mod key_records;
pub mod move_ports;

use {
    self::{
        admin_ports::admin_hooks,
        apply_watch::watch_applied,
        call_reports::{call_hooks, report_metrics},
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
        domain_reader::{DomainReader, READER_PERIOD},
        forward_server::serve_forwards,
        gossip::GossipNode,
        ids::ConfigVersion,
        join::{FloorSource, find_floor},
        node_metrics::{MetricsError, NodeMetrics},
        once_record::OnceRecorder,
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

/// Time between two looks at the own target's announcements.
const TARGET_PERIOD: Duration = Duration::from_millis(500);

/// Time between two spreads of the own target's demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(5);

/// Time between two steps of a move.
const MOVE_PERIOD: Duration = Duration::from_secs(1);

/// Time between two updates of the metrics that mirror tables.
const METRICS_PERIOD: Duration = Duration::from_secs(1);

/// Time between two removals of idempotency records whose calls did not run.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// A node that could not start.
#[derive(Debug, Error)]
pub enum NodeError {
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
    /// The clients of the platform could not be set up.
    #[error("set up the platform's clients: {0}")]
    Platform(#[from] StoreError),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Bound sockets of a node.
struct NodeSockets {
    calls: TcpListener,
    forwards: TcpListener,
    sync: TcpListener,
    gossip: UdpSocket,
    admin: TcpListener,
}

/// Parts that the controllers and servers of a node share.
#[derive(Clone)]
pub struct NodeParts {
    /// Settings of the node.
    pub settings: Arc<NodeSettings>,
    /// Shared tables.
    pub board: Arc<Blackboard>,
    /// Membership.
    pub gossip: GossipNode,
    /// The own target.
    pub target: Arc<LocalTarget>,
    /// Clients of the platform.
    pub store: PlatformStore,
    /// Accepted configuration.
    pub config: ConfigStore,
    /// Records of idempotency keys.
    pub once: OnceRecorder,
    /// Instruments.
    pub metrics: NodeMetrics,
}

/// Runs a node until `stop` is cancelled and its exchanges have ended.
pub async fn run_node(settings: NodeSettings, stop: CancellationToken) -> Result<(), NodeError> {
    let sockets = bind_all(&settings).await?;
    let parts = build_parts(settings)?;
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
        admin_context(&parts),
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
    let mover = Arc::new(Mutex::new(MoveDriver::new(&parts)));
    tasks.spawn(run_background(
        parts.clone(),
        reader.clone(),
        mover.clone(),
        background.clone(),
    ));
    info!(node = parts.settings.node.id, "node started");
    serve_until_drained(&parts, sockets.calls, sockets.forwards, stop).await;
    background.cancel();
    while tasks.join_next().await.is_some() {}
    release_leases(&reader, &mover).await;
    info!(node = parts.settings.node.id, "node stopped");
    Ok(())
}

async fn bind_all(settings: &NodeSettings) -> Result<NodeSockets, NodeError> {
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

fn build_parts(settings: NodeSettings) -> Result<NodeParts, NodeError> {
    let settings = Arc::new(settings);
    let store = PlatformStore::connect(&settings.platform)?;
    let board = Arc::new(Blackboard::default());
    // Peers raise the incarnation above what they remember of this node when it joins.
    let gossip = GossipNode::new(settings.clone(), board.clone(), 1);
    let once = OnceRecorder::new(
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

fn admin_context(parts: &NodeParts) -> Arc<AdminContext> {
    Arc::new(AdminContext {
        settings: parts.settings.clone(),
        board: parts.board.clone(),
        hooks: admin_hooks(parts),
    })
}

/// Serves calls until `stop`, then spreads that the node leaves and finishes all exchanges.
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
        serve_forwards(forwards, context, stop.clone()),
        leave,
    );
}

/// Joins the fleet and then runs the controllers.
async fn run_background(
    parts: NodeParts,
    reader: Arc<Mutex<DomainReader>>,
    mover: Arc<Mutex<MoveDriver>>,
    cancel: CancellationToken,
) {
    // The target may announce itself while the node joins.
    let jobs = vec![target_job(&parts), demand_job(&parts), metrics_job(&parts)];
    let early = run_controllers(jobs, 1, cancel.clone());
    let late = async {
        join_fleet(&parts, &cancel).await;
        let jobs = vec![
            reader_job(&parts, reader),
            move_job(mover),
            sweep_job(&parts),
        ];
        run_controllers(jobs, CONTROLLER_WORKERS, cancel.clone()).await;
    };
    tokio::join!(early, late);
}

async fn join_fleet(parts: &NodeParts, cancel: &CancellationToken) {
    let head = || async { parts.config.head().await.map(|head| head.version) };
    let outcome = find_floor(
        &parts.settings,
        head,
        &parts.gossip,
        &parts.board,
        cancel.clone(),
    )
    .await;
    info!(
        source = %outcome.source,
        floor = outcome.floor,
        replies = outcome.replies,
        "floor found"
    );
    if outcome.source == FloorSource::Store && parts.board.gate.version() < outcome.floor {
        let wait = wait_for_peers(parts, outcome.floor);
        if cancel.run_until_cancelled(wait).await == Some(false) {
            load_head(parts).await;
        }
    }
}

/// Waits a random time for a version at or above the floor to come from a peer; returns whether it did.
///
/// When a fleet starts as a whole, no peer has it yet. The first node that loads it spreads it within
/// about a second, so most nodes need not load it from the store.
async fn wait_for_peers(parts: &NodeParts, floor: ConfigVersion) -> bool {
    let mut applied = parts.board.gate.subscribe();
    let longest = parts.settings.gossip.join_spread;
    let longest = longest.mul_f64(rand::random::<f64>());
    let arrived = timeout(longest, applied.wait_for(|version| *version >= floor)).await;
    arrived.is_ok()
}

/// Loads the configuration that no peer could give, so that a fleet that starts as a whole need not wait
/// for the leases of its readers.
async fn load_head(parts: &NodeParts) {
    let loaded = async {
        let head = parts.config.head().await?;
        parts.config.load(&head).await
    };
    match loaded.await {
        Ok(snapshot) => put_in_force(parts, snapshot),
        Err(error) => warn!(%error, "configuration not loaded; waiting for a peer or the reader"),
    }
}

/// Puts an accepted configuration in force on this node and tells others of it.
pub fn put_in_force(parts: &NodeParts, snapshot: ConfigSnapshot) {
    let version = snapshot.version;
    match parts.board.gate.offer(snapshot, &ConfigSource::Store) {
        Ok(()) => parts.gossip.push_now(),
        // A peer may have delivered it first.
        Err(error) => info!(%error, version, "accepted configuration not put in force here"),
    }
}

fn target_job(parts: &NodeParts) -> ControllerJob {
    let (target, gossip) = (parts.target.clone(), parts.gossip.clone());
    ControllerJob::new("target", TARGET_PERIOD, move || {
        if target.withdraw_if_silent(Instant::now()) {
            warn!("target withdrawn: its announcements have stopped");
            gossip.announce_target(None);
        }
        std::future::ready(())
    })
}

fn demand_job(parts: &NodeParts) -> ControllerJob {
    let (target, gossip) = (parts.target.clone(), parts.gossip.clone());
    ControllerJob::new("demand", DEMAND_PERIOD, move || {
        if let Some(record) = target.record() {
            gossip.announce_target(Some(record));
        }
        std::future::ready(())
    })
}

fn metrics_job(parts: &NodeParts) -> ControllerJob {
    let mut report = report_metrics(parts);
    ControllerJob::new("metrics", METRICS_PERIOD, move || {
        report();
        std::future::ready(())
    })
}

fn reader_job(parts: &NodeParts, reader: Arc<Mutex<DomainReader>>) -> ControllerJob {
    let board = parts.board.clone();
    ControllerJob::new("domain reader", READER_PERIOD, move || {
        let (board, reader) = (board.clone(), reader.clone());
        async move {
            let mut reader = reader.lock().await;
            if let Err(error) = reader.step(&board, Instant::now()).await {
                warn!(%error, "store not read");
            }
        }
    })
}

fn move_job(mover: Arc<Mutex<MoveDriver>>) -> ControllerJob {
    ControllerJob::new("moves", MOVE_PERIOD, move || {
        let mover = mover.clone();
        async move { mover.lock().await.step().await }
    })
}

fn sweep_job(parts: &NodeParts) -> ControllerJob {
    let once = parts.once.clone();
    ControllerJob::new("idempotency records", SWEEP_PERIOD, move || {
        let once = once.clone();
        async move {
            if let Err(error) = once.sweep().await {
                warn!(%error, "idempotency records not removed; tried again");
            }
        }
    })
}

async fn release_leases(reader: &Mutex<DomainReader>, mover: &Mutex<MoveDriver>) {
    if let Err(error) = reader.lock().await.stop().await {
        warn!(%error, "lease of the domain reader not released; it expires");
    }
    mover.lock().await.stop().await;
}
