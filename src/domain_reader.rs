//! One reader of the store per failure domain.
//!
//! Three nodes of a domain, ranked by rendezvous hash, contend for the domain's lease. The holder reads
//! the head once per step and puts newer versions in force; gossip spreads them from there. Reading needs
//! no fencing, since `apply_gate` admits no older version: the lease only limits the number of reads.

use {
    crate::{
        apply_gate::{ApplyError, ConfigSource},
        blackboard::Blackboard,
        config_store::ConfigStore,
        ids::{DomainName, NodeId},
        lease::{LeaseKeeper, LeaseName, LeaseState},
        membership::{MemberRecord, MemberState},
        platform_store::{PlatformStore, StoreError},
        settings::NodeSettings,
    },
    std::time::{Duration, Instant},
    tracing::{info, warn},
    xxhash_rust::xxh3::xxh3_64,
};

/// Time between two steps; 12 domains then read the head 12 times per second in total.
pub const READER_PERIOD: Duration = Duration::from_secs(1);

/// Time to live of a domain's lease.
pub const READER_TIME_TO_LIVE: Duration = Duration::from_secs(9);

/// Nodes of a domain that contend for its lease.
const READER_CANDIDATES: usize = 3;

/// Reads the store for the failure domain of its node while it holds the domain's lease.
#[derive(Debug)]
pub struct DomainReader {
    node: NodeId,
    domain: DomainName,
    lease: LeaseKeeper,
    config: ConfigStore,
}

impl DomainReader {
    /// Returns the reader of a node; it holds no lease yet.
    pub fn new(settings: &NodeSettings, store: PlatformStore) -> DomainReader {
        let node = settings.node.id.clone();
        let domain = settings.node.failure_domain.clone();
        let name = LeaseName::Reader(domain.clone());
        Self {
            lease: LeaseKeeper::new(store.clone(), name, node.clone(), READER_TIME_TO_LIVE),
            config: ConfigStore::new(store),
            node,
            domain,
        }
    }

    /// Contends for the lease if this node is a candidate, and reads the store while it holds it.
    ///
    /// Steps should begin only after the join, when the members of the domain are known: a node that
    /// knows no others counts as a candidate.
    pub async fn step(&mut self, board: &Blackboard, now: Instant) -> Result<(), StoreError> {
        if !self.is_candidate(board) {
            return self.lease.release().await;
        }
        if let LeaseState::Held(_) = self.lease.step(now).await? {
            self.read(board).await?;
        }
        Ok(())
    }

    /// Gives the lease up, so that another node of the domain can read at once.
    pub async fn stop(&mut self) -> Result<(), StoreError> {
        self.lease.release().await
    }

    fn is_candidate(&self, board: &Blackboard) -> bool {
        let own_rank = self.rank(&self.node);
        let members = board.members.lock();
        let better = members
            .iter()
            .filter(|record| self.is_rival(record))
            .filter(|record| self.rank(&record.node) > own_rank);
        better.count() < READER_CANDIDATES
    }

    fn is_rival(&self, record: &MemberRecord) -> bool {
        let running = matches!(record.state, MemberState::Alive | MemberState::Suspect);
        running && record.domain == self.domain && record.node != self.node
    }

    fn rank(&self, node: &str) -> u64 {
        xxh3_64(format!("{}/{node}", self.domain).as_bytes())
    }

    async fn read(&self, board: &Blackboard) -> Result<(), StoreError> {
        let head = self.config.head().await?;
        let current = board.gate.current();
        if head.version <= current.version {
            return Ok(());
        }
        let snapshot = self.config.load_from(&current, &head).await?;
        match board.gate.offer(snapshot, &ConfigSource::Store) {
            Ok(()) => info!(
                version = head.version,
                domain = self.domain,
                "read from the store"
            ),
            // A peer may deliver the same version while this node loads it.
            Err(ApplyError::NotNewer { .. }) => {}
            Err(error) => warn!(%error, domain = self.domain, "version not put in force"),
        }
        Ok(())
    }
}
