//! Leases with fencing tokens, kept as items of the table.
//!
//! The revision of a lease item is its fencing token and grows with every write, so the item is never
//! deleted. No clock of another process is compared: a contender takes over only a revision that it has
//! seen unchanged for the whole time to live by its own monotonic clock, and a holder stops acting one
//! third of the time to live before that can happen. Should a pause or a clock jump still leave two
//! processes believing that they hold a lease, the condition on the token refuses the writes of the
//! earlier holder.

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

/// Partition of all leases.
const LEASE_PARTITION: &str = "lease";

/// The time to live is divided by this for the renewal period, for the margin at its end, and for the
/// longest time that one interval between two observations counts.
const TIME_TO_LIVE_PARTS: u32 = 3;

/// Name of a lease.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseName {
    /// Reading the store for a failure domain.
    #[display("reader/{_0}")]
    Reader(DomainName),
    /// Driving the moves of a service.
    #[display("move/{_0}")]
    Move(ServiceKey),
}

impl LeaseName {
    fn item_key(&self) -> ItemKey {
        ItemKey::new(LEASE_PARTITION, self.to_string())
    }
}

/// Evidence of holding a lease, to be checked by each write made under it.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("lease {name} of {holder} with token {token}")]
#[serde(deny_unknown_fields)]
pub struct LeaseProof {
    /// Name of the lease.
    pub name: LeaseName,
    /// Holder of the lease.
    pub holder: NodeId,
    /// Fencing token: revision of the lease item.
    pub token: FencingToken,
}

impl LeaseProof {
    /// Returns a write that makes its transaction fail unless the lease is still held with this token.
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

/// State of a lease after a step.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum LeaseState {
    /// This keeper holds the lease.
    #[display("held with token {}", _0.token)]
    Held(LeaseProof),
    /// Another holder has it, or its time to live has not been observed to pass yet.
    #[display("held by {holder} with token {token}")]
    Observed {
        /// Holder that the item names.
        holder: NodeId,
        /// Revision of the item.
        token: FencingToken,
    },
}

/// Content of a lease item besides its revision and owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct LeaseBody {
    /// Tells the keepers of one node apart over its restarts.
    keeper: String,
    time_to_live_ms: u64,
}

/// What the keeper knows of the item.
#[derive(Clone, Debug)]
enum KeeperView {
    /// Nothing certain: nothing was read yet, or the answer to a write was lost.
    Unknown,
    /// Another holder's revision.
    Foreign(ForeignLease),
    /// This keeper wrote `token` in a step that began at `renewed_at`.
    Own {
        token: FencingToken,
        renewed_at: Instant,
    },
}

/// Revision of another holder and for how long it has been seen unchanged.
#[derive(Clone, Debug)]
struct ForeignLease {
    token: FencingToken,
    time_to_live: Duration,
    /// Sum of the intervals between observations, each counted up to a third of the time to live.
    unchanged: Duration,
    /// Start of the step that observed the revision last.
    observed_at: Instant,
    /// Whether a second step has seen the revision; only then the interval lies after the holder's write.
    confirmed: bool,
}

/// Acquires, renews and observes one lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    store: PlatformStore,
    name: LeaseName,
    holder: NodeId,
    time_to_live: Duration,
    keeper: String,
    view: KeeperView,
    /// End of the time in which no other keeper can have taken over, less the safety margin.
    usable_until: Option<Instant>,
}

impl LeaseKeeper {
    /// Returns a keeper that holds nothing yet.
    pub fn new(
        store: PlatformStore,
        name: LeaseName,
        holder: NodeId,
        time_to_live: Duration,
    ) -> LeaseKeeper {
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

    /// Acquires, renews or observes the lease, whichever is due.
    ///
    /// `now` must be taken before the call; all times of the lease are counted from it.
    pub async fn step(&mut self, now: Instant) -> Result<LeaseState, StoreError> {
        if let KeeperView::Own { token, renewed_at } = self.view {
            if now.saturating_duration_since(renewed_at) < self.part() {
                return Ok(self.state_of(token));
            }
            return self.renew(token, now).await;
        }
        let present = self.store.get(&self.name.item_key()).await?;
        self.contend(present, now).await
    }

    /// Returns proof of holding the lease; none once the safety margin has begun, and none while the
    /// answer to a renewal is missing, since the token is not known then.
    pub fn proof(&self, now: Instant) -> Option<LeaseProof> {
        match self.view {
            KeeperView::Own { token, .. } if self.is_held(now) => Some(self.proof_of(token)),
            _ => None,
        }
    }

    /// Returns whether no other keeper can hold the lease yet, even if this one has no proof at present.
    pub fn is_held(&self, now: Instant) -> bool {
        self.usable_until.is_some_and(|end| now < end)
    }

    /// Gives the lease up if it is held, so that a contender need not wait.
    pub async fn release(&mut self) -> Result<(), StoreError> {
        let KeeperView::Own { token, .. } = self.view else {
            return Ok(());
        };
        // Even if the answer is lost, this keeper no longer acts on the lease.
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

    async fn contend(
        &mut self,
        present: Option<TableItem>,
        now: Instant,
    ) -> Result<LeaseState, StoreError> {
        let Some(item) = present else {
            return self.write(1, ItemCondition::Absent, now).await;
        };
        let body = self.decode(&item)?;
        let free = item.owner.is_empty() || body.keeper == self.keeper;
        if free || self.observe(&item, &body, now) {
            let expect = ItemCondition::Revision(item.revision);
            return self.write(item.revision + 1, expect, now).await;
        }
        Ok(LeaseState::Observed {
            holder: item.owner,
            token: item.revision,
        })
    }

    /// Records an observation; returns whether the revision has outlived its time to live.
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
            confirmed: false,
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
                self.usable_until = Some(now + self.time_to_live - self.part());
                Ok(self.state_of(token))
            }
            Ok(TransactOutcome::Refused(refused)) => self.lose(refused, now),
            Err(error) => {
                if error.may_have_taken_effect() {
                    self.view = KeeperView::Unknown;
                }
                Err(error)
            }
        }
    }

    /// Takes note of the revision that kept this keeper from writing.
    fn lose(&mut self, refused: Vec<RefusedWrite>, now: Instant) -> Result<LeaseState, StoreError> {
        self.view = KeeperView::Unknown;
        self.usable_until = None;
        let present = refused.into_iter().find_map(|refusal| refusal.present);
        let Some(item) = present else {
            return Err(self.malformed("the lease item has disappeared".to_owned()));
        };
        let body = self.decode(&item)?;
        self.observe(&item, &body, now);
        Ok(LeaseState::Observed {
            holder: item.owner,
            token: item.revision,
        })
    }

    fn part(&self) -> Duration {
        self.time_to_live / TIME_TO_LIVE_PARTS
    }

    fn state_of(&self, token: FencingToken) -> LeaseState {
        LeaseState::Held(self.proof_of(token))
    }

    fn proof_of(&self, token: FencingToken) -> LeaseProof {
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
    fn observe_again(&mut self, now: Instant) -> bool {
        let interval = now.saturating_duration_since(self.observed_at);
        if self.confirmed {
            // The bound keeps a pause or a clock jump of this process from counting as waiting.
            self.unchanged += interval.min(self.time_to_live / TIME_TO_LIVE_PARTS);
        }
        self.confirmed = true;
        self.observed_at = now;
        self.unchanged >= self.time_to_live
    }
}
