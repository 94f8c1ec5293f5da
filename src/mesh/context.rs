//! State of a node that its servers and controllers share.
//!
//! Lock order: `registry`, then those of `board`, then `loads`, `budgets`, `splits`, `asked`. No lock is held
//! across an await.

use {
    super::{
        admission::AdmissionQueue, asked_time::AskedTimes, choice::PeerLoads, hop::HopClient,
        registry::TargetRegistry, retry_share::RetryShares, settings::MeshSettings,
        split::RouteSplits,
    },
    crate::{
        blackboard::Blackboard, event_log::LineLimiter, gossip::GossipNode,
        node_metrics::NodeMetrics, target_client::TargetClient,
    },
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Connections to the own target until the configuration names their number.
const FIRST_CONNECTIONS: u32 = 32;

/// State of a node.
#[derive(Debug)]
pub struct MeshContext {
    /// Settings.
    pub settings: Arc<MeshSettings>,
    /// Shared tables.
    pub board: Arc<Blackboard>,
    /// Membership.
    pub gossip: GossipNode,
    /// Instruments.
    pub metrics: NodeMetrics,
    /// The target beside this node.
    pub registry: Mutex<TargetRegistry>,
    /// Slots of that target.
    pub queue: AdmissionQueue,
    /// Client towards that target.
    pub target: TargetClient,
    /// Client towards other nodes.
    pub hops: HopClient,
    /// Loads of all targets.
    pub loads: Mutex<PeerLoads>,
    /// Repeats that this node may send.
    pub budgets: Mutex<RetryShares>,
    /// Division of routes among services.
    pub splits: Mutex<RouteSplits>,
    /// Deadlines that callers name.
    pub asked: Mutex<AskedTimes>,
    /// Bound of the log lines about calls.
    pub call_lines: LineLimiter,
    leaving: AtomicBool,
}

impl MeshContext {
    /// Returns the state of a node that has just started.
    pub fn new(
        settings: Arc<MeshSettings>,
        board: Arc<Blackboard>,
        gossip: GossipNode,
        metrics: NodeMetrics,
    ) -> Self {
        let registry = TargetRegistry::new(settings.target_address, settings.heartbeat);
        let budgets = RetryShares::new(&settings.bounds);
        let target = TargetClient::new(settings.target_address, FIRST_CONNECTIONS);
        Self {
            settings,
            board,
            gossip,
            metrics,
            registry: Mutex::new(registry),
            queue: AdmissionQueue::default(),
            target,
            hops: HopClient::default(),
            loads: Mutex::default(),
            budgets: Mutex::new(budgets),
            splits: Mutex::default(),
            asked: Mutex::default(),
            call_lines: LineLimiter::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// Tells other nodes and the admission what is known of the own target.
    pub fn publish_target(&self) {
        let leaving = self.is_leaving();
        let record = {
            let registry = self.registry.lock();
            match registry.present().filter(|report| !report.draining) {
                Some(report) => self.queue.open(report.slots),
                None => self.queue.close(),
            }
            registry.record(FIRST_CONNECTIONS)
        };
        let record = record.map(|mut record| {
            record.draining |= leaving;
            record
        });
        self.gossip.announce_target(record);
    }

    /// Tells other nodes how far this node knows the moves, after it has learned of a step.
    pub fn publish_moves(&self) {
        let digest = self.board.moves.lock().digest();
        self.gossip.set_moves_digest(digest);
    }

    /// Marks the node as leaving: it stops offering its target to others.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.publish_target();
    }

    /// Returns whether the node leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
