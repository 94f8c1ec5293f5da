//! State of a node that its servers and background tasks share.
//!
//! Lock order: `announcing`, then `registry`, then the census of `usage_caps`, then those of `board`, then `target_tracker`, `budgets`, `exposure`,
//! `splits`, `caller_deadlines`, the machine of `usage_caps`. No lock is held across an await.

use {
    super::{
        admission::AdmissionQueue, caller_deadline::CallerDeadlines,
        exposure_limit::ExposureLimits, held_bytes::HeldBytes, hop::HopClient,
        registry::TargetRegistry, retry_share::RetryShares, settings::MeshSettings,
        shutdown::Shutdown, split::RouteSplits, target_selection::TargetTracker,
        usage_caps::UsageCaps,
    },
    crate::{
        blackboard::Blackboard, event_log::LogRateLimiter, gossip::GossipNode,
        node_metrics::NodeMetrics, target_client::TargetClient,
    },
    parking_lot::Mutex,
    std::{sync::Arc, time::Instant},
};

/// Connections to the target beside this node until the configuration sets their number.
const INITIAL_CONNECTIONS: u32 = 32;

/// Shared state of a node.
#[derive(Debug)]
pub struct MeshContext {
    /// Settings of the process.
    pub settings: Arc<MeshSettings>,
    /// Configuration, moves, members and counters, which other parts of the crate share.
    pub board: Arc<Blackboard>,
    /// Gossip with the other nodes: membership and spreading of changes.
    pub gossip: GossipNode,
    /// Metrics of the node.
    pub metrics: NodeMetrics,
    /// Last report of the target beside this node.
    pub registry: Mutex<TargetRegistry>,
    /// Admission to the slots of that target.
    pub queue: AdmissionQueue,
    /// HTTP client for that target.
    pub target: TargetClient,
    /// Bytes of all bodies that the node holds.
    pub held_bytes: HeldBytes,
    /// HTTP client for other nodes.
    pub hops: HopClient,
    /// Load and failures of all targets.
    pub target_tracker: Mutex<TargetTracker>,
    /// Retry budget of this node for each service.
    pub budgets: Mutex<RetryShares>,
    /// Limits of the calls that this node sends to candidate versions.
    pub exposure: Mutex<ExposureLimits>,
    /// Traffic split of each route among its services.
    pub splits: Mutex<RouteSplits>,
    /// Deadlines that callers sent, for the time spent on earlier attempts.
    pub caller_deadlines: Mutex<CallerDeadlines>,
    /// Usage caps of the client accounts.
    pub usage_caps: UsageCaps,
    /// Rate limit of the log lines about single calls.
    pub call_log_limiter: LogRateLimiter,
    /// Shutdown of the node, and which calls are taken meanwhile.
    pub shutdown: Shutdown,
    /// Held from the reading of a state until it is announced: of two changes at the same time, the newer state must
    /// be announced last.
    announcing: Mutex<()>,
}

impl MeshContext {
    /// Returns the state of a node at its start, without a target report.
    pub fn new(
        settings: Arc<MeshSettings>,
        board: Arc<Blackboard>,
        gossip: GossipNode,
        metrics: NodeMetrics,
    ) -> Self {
        let mut registry = TargetRegistry::new(settings.target_address, settings.heartbeat);
        registry.hold();
        let budgets = RetryShares::new(&settings.bounds);
        let exposure = ExposureLimits::new(&settings.bounds);
        let held_bytes = HeldBytes::new(settings.body_memory);
        let usage_caps = UsageCaps::new(&settings.node.id, gossip.process_epoch());
        let target = TargetClient::new(settings.target_address, INITIAL_CONNECTIONS);
        Self {
            settings,
            board,
            gossip,
            metrics,
            registry: Mutex::new(registry),
            queue: AdmissionQueue::default(),
            target,
            held_bytes,
            hops: HopClient::default(),
            target_tracker: Mutex::default(),
            budgets: Mutex::new(budgets),
            exposure: Mutex::new(exposure),
            splits: Mutex::default(),
            caller_deadlines: Mutex::default(),
            usage_caps,
            call_log_limiter: LogRateLimiter::default(),
            shutdown: Shutdown::default(),
            announcing: Mutex::default(),
        }
    }

    /// Publishes the state of the target beside this node: opens or closes its admission queue and gossips its
    /// record.
    pub fn publish_target(&self) {
        let _announcing = self.announcing.lock();
        let leaving = self.is_leaving();
        let record = {
            let registry = self.registry.lock();
            match registry.current().filter(|report| !report.draining) {
                Some(report) => self.queue.open(report.slots),
                None => self.queue.close(),
            }
            registry.record(INITIAL_CONNECTIONS)
        };
        let record = record.map(|mut record| {
            record.draining |= leaving;
            record
        });
        self.gossip.announce_target(record);
    }

    /// Puts a target into use that was held back after a start of the node, if it is still the instance to confirm.
    pub fn confirm_target(&self, instance: &str) {
        if self.registry.lock().confirm(instance) {
            self.publish_target();
        }
    }

    /// Puts the target of a node into use that started with the whole fleet, so that no departure can be unknown to it.
    pub fn release_target(&self) {
        self.registry.lock().release();
        self.publish_target();
    }

    /// Gossips the digest of the moves that this node has; call it after a change of `board.moves`.
    pub fn publish_moves(&self) {
        let _announcing = self.announcing.lock();
        let digest = self.board.moves.lock().digest();
        self.gossip.set_moves_digest(digest);
    }

    /// Begins the shutdown of the node and gossips its target as draining.
    pub fn leave(&self) {
        self.shutdown
            .begin(Instant::now(), self.settings.bounds.grace);
        self.publish_target();
    }

    /// Returns whether the node is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.shutdown.has_begun()
    }
}
