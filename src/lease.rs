//! Leases with fencing tokens, stored as items of the table.
//!
//! The revision of a lease item is its fencing token and grows with every write, so the item is never
//! deleted. Clocks of different processes are not compared: a contender takes a lease over only after it
//! has observed the same revision for the whole time to live by its own monotonic clock, and a holder stops
//! using its lease one third of the time to live before that can happen. If a pause or a clock jump still
//! leaves two processes that believe they hold the lease, the writes of the earlier holder fail by the
//! condition on the token.

use {
    crate::{
        config::ServiceKey,
        ids::{DomainName, FencingToken, NodeId},
        platform_store::{
            ItemCondition, ItemKey, PlatformStore, RefusedWrite, StoreError, StoreFault, StoreStep,
            TableItem, TableWrite, TransactOutcome,
        },
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
    uuid::Uuid,
};

/// Partition key of all lease items.
const LEASE_PARTITION: &str = "lease";

/// Divisor by which three durations follow from the time to live: the renewal period, the safety margin at
/// the end of a lease, and the most that one interval between observations counts.
const TIME_TO_LIVE_DIVISOR: u32 = 3;

/// Name of a lease.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseName {
    /// Right to read configuration from the store for a failure domain.
    #[display("reader/{_0}")]
    Reader(DomainName),
    /// Right to control the moves of a service, from its stable version to a candidate.
    #[display("move/{_0}")]
    Move(ServiceKey),
}

impl LeaseName {
    fn item_key(&self) -> ItemKey {
        ItemKey::new(LEASE_PARTITION, self.to_string())
    }
}

/// Proof that a node holds a lease, to be checked in the transaction of each write made under it.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("lease {name} of {holder} with token {token}")]
#[serde(deny_unknown_fields)]
pub struct LeaseProof {
    /// Name of the lease.
    pub name: LeaseName,
    /// Node that holds the lease.
    pub holder: NodeId,
    /// Fencing token: revision of the lease item.
    pub token: FencingToken,
}

impl LeaseProof {
    /// Returns a condition that makes its transaction fail unless the lease is still held with this token.
    pub fn check(&self) -> TableWrite {
        TableWrite::Check {
            key: self.name.item_key(),
            expect: ItemCondition::Owned {
                revision: self.token,
                owner: self.holder.clone(),
            },
        }
    }
}

/// State of a lease after a step of its client.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum LeaseState {
    /// This client holds the lease.
    #[display("held with token {}", _0.token)]
    Held(LeaseProof),
    /// Another client holds it, or held it and its expiry has not been observed yet.
    #[display("held by {holder} with token {token}")]
    Observed {
        /// Node named as the holder in the lease item.
        holder: NodeId,
        /// Fencing token: revision of the lease item.
        token: FencingToken,
    },
}

/// JSON content of a lease item; revision and owner are attributes of the table item.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct LeaseBody {
    /// Random identifier of the client, which distinguishes the clients of a node before and after a restart.
    keeper: String,
    time_to_live_ms: u64,
}

/// Last known state of the lease item.
#[derive(Clone, Debug)]
enum KeeperView {
    /// The item was not read yet, or the reply to a write was lost.
    Unknown,
    /// The item was written by another client.
    Foreign(ForeignLease),
    /// This client wrote revision `token` in a step that began at `renewed_at`.
    Own {
        token: FencingToken,
        renewed_at: Instant,
    },
}

/// Revision written by another client, and for how long it has been observed unchanged.
#[derive(Clone, Debug)]
struct ForeignLease {
    token: FencingToken,
    time_to_live: Duration,
    /// Sum of the intervals between observations, each counted up to a third of the time to live.
    unchanged: Duration,
    /// Start of the step that last observed the revision.
    observed_at: Instant,
    /// Whether the revision was observed at least twice. The first interval is not counted, since it starts
    /// before a read and thus possibly before the holder's write.
    observed_twice: bool,
}

/// Acquires, renews, observes and releases one lease for one node.
#[derive(Debug)]
pub struct LeaseClient {
    store: PlatformStore,
    name: LeaseName,
    holder: NodeId,
    time_to_live: Duration,
    keeper: String,
    view: KeeperView,
    /// Until when no other client can have taken over, less the safety margin; none without a lease.
    usable_until: Option<Instant>,
}

impl LeaseClient {
    /// Returns a client that does not hold the lease yet; `holder` is its node.
    pub fn new(
        store: PlatformStore,
        name: LeaseName,
        holder: NodeId,
        time_to_live: Duration,
    ) -> LeaseClient {
        Self {
            store,
            name,
            holder,
            time_to_live,
            keeper: Uuid::new_v4().to_string(),
            view: KeeperView::Unknown,
            usable_until: None,
        }
    }

    /// Acquires, renews or observes the lease, whichever is due; to be called periodically.
    ///
    /// `now` must be taken before the call, since the times of the lease count from it.
    pub async fn step(&mut self, now: Instant) -> Result<LeaseState, StoreError> {
        if let KeeperView::Own { token, renewed_at } = self.view {
            if now.saturating_duration_since(renewed_at) < self.renewal_period() {
                return Ok(self.held_state(token));
            }
            return self.renew(token, now).await;
        }
        let present = self.store.get(&self.name.item_key()).await?;
        self.contend(present, now).await
    }

    /// Returns a proof that this client holds the lease.
    ///
    /// None once the safety margin has begun, and none after a renewal whose reply was lost, since the token
    /// is not known then.
    pub fn proof(&self, now: Instant) -> Option<LeaseProof> {
        match self.view {
            KeeperView::Own { token, .. } if self.is_held(now) => Some(self.proof_with(token)),
            _ => None,
        }
    }

    /// Returns whether no other client can have taken over yet, even if this one has no proof at present.
    pub fn is_held(&self, now: Instant) -> bool {
        self.usable_until.is_some_and(|end| now < end)
    }

    /// Releases the lease if it is held, so that a contender need not wait for its expiry.
    pub async fn release(&mut self) -> Result<(), StoreError> {
        let KeeperView::Own { token, .. } = self.view else {
            return Ok(());
        };
        // This client no longer uses the lease, even if the reply to the write is lost.
        self.view = KeeperView::Unknown;
        self.usable_until = None;
        let expect = ItemCondition::Owned {
            revision: token,
            owner: self.holder.clone(),
        };
        let item = self.item(token + 1, String::new())?;
        self.store.write(TableWrite::Put { item, expect }).await?;
        Ok(())
    }

    async fn renew(&mut self, token: FencingToken, now: Instant) -> Result<LeaseState, StoreError> {
        let expect = ItemCondition::Owned {
            revision: token,
            owner: self.holder.clone(),
        };
        self.write(token + 1, expect, now).await
    }

    /// Acquires the lease if its item is absent, released, expired or written by this client, else observes it.
    async fn contend(
        &mut self,
        present: Option<TableItem>,
        now: Instant,
    ) -> Result<LeaseState, StoreError> {
        let Some(item) = present else {
            return self.write(1, ItemCondition::Absent, now).await;
        };
        let body = self.decode(&item)?;
        let is_free = item.owner.is_empty() || body.keeper == self.keeper;
        if is_free || self.observe(&item, &body, now) {
            let expect = ItemCondition::Revision(item.revision);
            return self.write(item.revision + 1, expect, now).await;
        }
        Ok(LeaseState::Observed {
            holder: item.owner,
            token: item.revision,
        })
    }

    /// Records an observation of another client's item; returns whether its lease has expired.
    fn observe(&mut self, item: &TableItem, body: &LeaseBody, now: Instant) -> bool {
        if let KeeperView::Foreign(lease) = &mut self.view
            && lease.token == item.revision
        {
            return lease.observe_again(now);
        }
        self.view = KeeperView::Foreign(ForeignLease {
            token: item.revision,
            time_to_live: Duration::from_millis(body.time_to_live_ms),
            unchanged: Duration::ZERO,
            observed_at: now,
            observed_twice: false,
        });
        false
    }

    async fn write(
        &mut self,
        token: FencingToken,
        expect: ItemCondition,
        now: Instant,
    ) -> Result<LeaseState, StoreError> {
        let item = self.item(token, self.holder.clone())?;
        match self.store.write(TableWrite::Put { item, expect }).await {
            Ok(TransactOutcome::Applied) => {
                self.view = KeeperView::Own {
                    token,
                    renewed_at: now,
                };
                self.usable_until = Some(now + self.time_to_live - self.renewal_period());
                Ok(self.held_state(token))
            }
            Ok(TransactOutcome::Refused(refused)) => self.handle_refusal(refused, now),
            Err(error) => {
                if error.may_have_taken_effect() {
                    self.view = KeeperView::Unknown;
                }
                Err(error)
            }
        }
    }

    /// Records that the lease is not held and observes the revision because of which a write was refused.
    fn handle_refusal(
        &mut self,
        refused: Vec<RefusedWrite>,
        now: Instant,
    ) -> Result<LeaseState, StoreError> {
        self.view = KeeperView::Unknown;
        self.usable_until = None;
        let present = refused.into_iter().find_map(|refusal| refusal.present);
        let Some(item) = present else {
            return Err(self.malformed(
                "write refused, but there is no lease item; leases are never deleted".to_owned(),
            ));
        };
        let body = self.decode(&item)?;
        self.observe(&item, &body, now);
        Ok(LeaseState::Observed {
            holder: item.owner,
            token: item.revision,
        })
    }

    /// Returns the renewal period, which is also the length of the safety margin.
    fn renewal_period(&self) -> Duration {
        self.time_to_live / TIME_TO_LIVE_DIVISOR
    }

    fn held_state(&self, token: FencingToken) -> LeaseState {
        LeaseState::Held(self.proof_with(token))
    }

    fn proof_with(&self, token: FencingToken) -> LeaseProof {
        LeaseProof {
            name: self.name.clone(),
            holder: self.holder.clone(),
            token,
        }
    }

    fn item(&self, revision: FencingToken, owner: NodeId) -> Result<TableItem, StoreError> {
        let body = LeaseBody {
            keeper: self.keeper.clone(),
            time_to_live_ms: self.time_to_live.as_millis() as u64,
        };
        Ok(TableItem {
            key: self.name.item_key(),
            revision,
            owner,
            body: serde_json::to_string(&body)
                .map_err(|error| self.malformed(error.to_string()))?,
            expires_at: None,
        })
    }

    fn decode(&self, item: &TableItem) -> Result<LeaseBody, StoreError> {
        serde_json::from_str(&item.body).map_err(|error| self.malformed(error.to_string()))
    }

    fn malformed(&self, text: String) -> StoreError {
        let step = StoreStep::Decode(self.name.item_key().to_string());
        StoreError::new(
            &step,
            self.store.table_endpoint(),
            StoreFault::Malformed(text),
        )
    }
}

impl ForeignLease {
    /// Records another observation of the same revision; returns whether the lease has expired.
    fn observe_again(&mut self, now: Instant) -> bool {
        let interval = now.saturating_duration_since(self.observed_at);
        if self.observed_twice {
            // Limited, so that a pause or a clock jump of this process hardly counts as time observed.
            self.unchanged += interval.min(self.time_to_live / TIME_TO_LIVE_DIVISOR);
        }
        self.observed_twice = true;
        self.observed_at = now;
        self.unchanged >= self.time_to_live
    }
}
