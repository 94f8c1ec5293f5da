//! State of a node that its servers and background tasks share.
//!
//! Lock order: `announcing`, then `registry`, then the census of `usage_caps`, then those of `board`, then
//! `target_tracker`, `budgets`, `exposure`, `splits`, `caller_deadlines`, `remembered_version`, `hedge_delays`, the
//! machine of `usage_caps`. No lock is held across an await.

use {
    super::{
        admission::AdmissionQueue, caller_deadline::CallerDeadlines,
        client_connections::ClientConnections, exposure_limit::ExposureLimits,
        held_bytes::HeldBytes, hop::HopClient, registry::TargetRegistry, retry_share::RetryShares,
        settings::MeshSettings, shutdown::Shutdown, split::RouteSplits,
        target_selection::TargetTracker, usage_caps::UsageCaps,
    },
    crate::{
        attempts::hedge_delay::HedgeDelays, blackboard::Blackboard, event_log::LogRateLimiter,
        gossip::GossipNode, ids::ConfigVersion, node_metrics::NodeMetrics,
        target_client::TargetClient,
    },
    parking_lot::Mutex,
    std::{sync::Arc, time::Instant},
    tracing::info,
};

/// Connections to the target beside this node until the configuration sets their number.
const INITIAL_CONNECTIONS: u32 = 32;

/// Reason logged for the doubt of a target that was out of use while its failure domain was drained.
const DRAIN_ENDED_REASON: &str = "drain ended";

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
    /// Open connections of clients.
    pub clients: ClientConnections,
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
    /// Highest configuration version that peers, in their replies to joins, remember to have been in force on this
    /// node; none before the first reply.
    pub remembered_version: Mutex<Option<ConfigVersion>>,
    /// Time after which an attempt counts as slow, for hedges that the operator allows.
    pub hedge_delays: Mutex<HedgeDelays>,
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
        let budgets = RetryShares::new(&settings.bounds).with_hedge_share(settings.hedge_share);
        let hedge_delays = HedgeDelays::new(settings.hedge_share);
        let exposure = ExposureLimits::new(&settings.bounds);
        let clients = ClientConnections::new(settings.clients);
        let held_bytes = HeldBytes::new(settings.body_memory).with_clients(clients.clone());
        let usage_caps = UsageCaps::new(&settings.node.id, gossip.process_epoch());
        let target = TargetClient::new(settings.target_address, INITIAL_CONNECTIONS);
        let queue = AdmissionQueue::default();
        // At the first start of the fleet, the targets have been started before the calls.
        if !settings.first_start {
            queue.start_in_doubt();
        }
        Self {
            settings,
            board,
            gossip,
            metrics,
            registry: Mutex::new(registry),
            queue,
            target,
            clients,
            held_bytes,
            hops: HopClient::default(),
            target_tracker: Mutex::default(),
            budgets: Mutex::new(budgets),
            exposure: Mutex::new(exposure),
            splits: Mutex::default(),
            caller_deadlines: Mutex::default(),
            remembered_version: Mutex::default(),
            hedge_delays: Mutex::new(hedge_delays),
            usage_caps,
            call_log_limiter: LogRateLimiter::default(),
            shutdown: Shutdown::default(),
            announcing: Mutex::default(),
        }
    }

    /// Publishes the state of the target beside this node: opens or closes its admission queue and gossips its
    /// record. The queue is closed while the failure domain is drained; the record does not depend on that, since
    /// each node leaves out the targets of the domain.
    pub fn publish_target(&self) {
        let _announcing = self.announcing.lock();
        let leaving = self.is_leaving();
        self.apply_warmup_limit();
        let record = {
            let registry = self.registry.lock();
            let in_use = registry.current().filter(|report| !report.draining);
            match in_use.filter(|_| !self.is_domain_drained()) {
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

    /// Returns whether the failure domain of this node is drained, so that its target takes no calls.
    pub fn is_domain_drained(&self) -> bool {
        let domain = &self.settings.node.failure_domain;
        self.board.drains.lock().is_drained(domain)
    }

    /// Puts the target back into use after the drain of its failure domain has ended. It may have become cold meanwhile.
    pub fn domain_restored(&self) {
        self.doubt_target(DRAIN_ENDED_REASON);
        info!(
            decision = "drain",
            domain = self.settings.node.failure_domain,
            "target of this node takes calls again: the drain of its failure domain has ended"
        );
        self.publish_target();
    }

    /// Gossips the digest of the moves and drains that this node has; call it after a change of `board.moves` or
    /// `board.drains`.
    pub fn publish_moves(&self) {
        let _announcing = self.announcing.lock();
        let digest = self.board.orders_digest();
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
