//! Reads new configuration versions from the store, by one node per failure domain.
//!
//! The three nodes of a domain that rank highest by rendezvous hash contend for the domain's lease. The holder reads
//! the head of the store, which names the newest accepted version, once per step and puts newer versions in force;
//! gossip spreads them from there. Reading needs no fencing, since `apply_gate` rejects older versions: the lease only
//! limits the number of reads.

use {
    crate::{
        apply_gate::{ApplyError, ConfigSource},
        blackboard::Blackboard,
        config_store::ConfigStore,
        ids::{DomainName, NodeId},
        lease::{LeaseClient, LeaseName, LeaseState},
        membership::{MemberRecord, MemberState},
        platform_store::{PlatformStore, StoreError},
        settings::NodeSettings,
    },
    std::time::{Duration, Instant},
    tracing::{info, warn},
    xxhash_rust::xxh3::xxh3_64,
};

/// Time between two calls of `DomainReader::step`; with 12 domains the head is read 12 times per second in total.
pub const READER_STEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a domain's lease expires unless its holder renews it.
pub const READER_LEASE_TTL: Duration = Duration::from_secs(9);

/// Number of nodes of a domain that contend for its lease.
const LEASE_CANDIDATES: usize = 3;

/// Reads the store for the failure domain of its node while it holds the domain's lease.
#[derive(Debug)]
pub struct DomainReader {
    node: NodeId,
    domain: DomainName,
    lease: LeaseClient,
    config: ConfigStore,
}

impl DomainReader {
    /// Returns the reader of a node; it holds no lease yet.
    pub fn new(settings: &NodeSettings, store: PlatformStore) -> DomainReader {
        let node = settings.node.id.clone();
        let domain = settings.node.failure_domain.clone();
        let name = LeaseName::Reader(domain.clone());
        Self {
            lease: LeaseClient::new(store.clone(), name, node.clone(), READER_LEASE_TTL),
            config: ConfigStore::new(store),
            node,
            domain,
        }
    }

    /// Acquires or renews the lease if this node is a candidate, and reads the store if it holds the lease. A node that
    /// is no longer a candidate releases the lease.
    ///
    /// Call it only after the join, when the members of the domain are known: a node that knows no other members
    /// always counts as a candidate.
    pub async fn step(&mut self, board: &Blackboard, now: Instant) -> Result<(), StoreError> {
        if !self.is_candidate(board) {
            return self.lease.release().await;
        }
        if let LeaseState::Held(_) = self.lease.step(now).await? {
            self.apply_newer_version(board).await?;
        }
        Ok(())
    }

    /// Releases the lease, so that another node of the domain can acquire it without waiting for it to expire.
    pub async fn stop(&mut self) -> Result<(), StoreError> {
        self.lease.release().await
    }

    fn is_candidate(&self, board: &Blackboard) -> bool {
        let own_rank = self.rank(&self.node);
        let members = board.members.lock();
        let higher_ranked = members
            .iter()
            .filter(|record| self.is_other_live_node_of_domain(record))
            .filter(|record| self.rank(&record.node) > own_rank);
        higher_ranked.count() < LEASE_CANDIDATES
    }

    fn is_other_live_node_of_domain(&self, record: &MemberRecord) -> bool {
        let is_live = matches!(record.state, MemberState::Alive | MemberState::Suspect);
        is_live && record.domain == self.domain && record.node != self.node
    }

    fn rank(&self, node: &str) -> u64 {
        xxh3_64(format!("{}/{node}", self.domain).as_bytes())
    }

    async fn apply_newer_version(&self, board: &Blackboard) -> Result<(), StoreError> {
        let head = self.config.head().await?;
        let current = board.gate.current();
        if head.version <= current.version {
            return Ok(());
        }
        let snapshot = self.config.load_from(&current, &head).await?;
        match board.gate.try_apply(snapshot, &ConfigSource::Store) {
            Ok(()) => info!(
                version = head.version,
                domain = self.domain,
                "configuration version from the store put in force"
            ),
            // A peer may deliver the same version while this node loads it.
            Err(ApplyError::NotNewer { .. }) => {}
            Err(error) => {
                warn!(%error, domain = self.domain, "version from the store rejected; retrying at the next step")
            }
        }
        Ok(())
    }
}
