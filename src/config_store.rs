//! The accepted configuration in the store: commits, contracts and the audit record.
//!
//! A commit is one transaction on the head, the audit record of the new version and, where it applies,
//! the contract head and the lease of the author. The revision of the head item equals the version, so
//! versions have no gaps and each is written once. A commit carries an identifier in its audit record;
//! after a lost answer the record of the version tells whether the commit took effect.

use {
    crate::{
        config::{
            ConfigDelta, ConfigError, ConfigResource, ConfigSnapshot, ResourceName,
            VersionedResource,
        },
        ids::{ConfigVersion, CustomerName, NodeId, OperatorName},
        lease::LeaseProof,
        platform_store::{
            ItemCondition, ItemKey, PlatformStore, RefusedWrite, StoreError, StoreFault, StoreStep,
            TableItem, TableWrite, TransactOutcome, WriteEffect, jittered_pause,
        },
    },
    bytes::Bytes,
    derive_more::Display,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    sha2::{Digest, Sha256},
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    thiserror::Error,
    tokio::time::sleep,
    tracing::debug,
    uuid::Uuid,
};

/// Partition of the head item.
const HEAD_PARTITION: &str = "config";

/// Sort key of the head item.
const HEAD_SORT: &str = "head";

/// Partition of the audit records.
const AUDIT_PARTITION: &str = "audit";

/// Partition of the contract heads.
const CONTRACT_PARTITION: &str = "contract";

/// Attempts to commit while others commit, or while answers are lost.
const COMMIT_ATTEMPTS: u32 = 12;

/// Time after which a commit begins no further attempt.
const COMMIT_LIMIT: Duration = Duration::from_secs(10);

/// Most audit records read to find the change that a refused one conflicts with.
const MAX_CONFLICT_RECORDS: u32 = 4096;

/// Longest gap that is closed by the deltas of audit records instead of a whole snapshot. A delta has
/// about 1 KB and a snapshot at the design size about 750 KB.
const MAX_DELTA_GAP: u64 = 64;

/// Identifier of a commit, unique over all nodes.
pub type CommitId = String;

/// Newest accepted configuration.
#[derive(Clone, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("version {version}")]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// Version; 0 means that nothing was accepted yet.
    pub version: ConfigVersion,
    /// Content hash of the snapshot; empty for version 0.
    pub hash: String,
}

/// Who made a change.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAuthor {
    /// An operator.
    #[display("operator {_0}")]
    Operator(OperatorName),
    /// The controller of a move.
    #[display("controller on {node}")]
    Controller {
        /// Node that the controller runs on.
        node: NodeId,
        /// Lease under which it acts.
        lease: LeaseProof,
    },
}

/// New text of a contract.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContractWrite {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Whole text.
    pub text: String,
    /// Revision that the author saw; 0 if there was none yet.
    pub expected_revision: u64,
}

/// A change to be committed.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Configuration that the author saw.
    pub base: Arc<ConfigSnapshot>,
    /// Resources added or changed.
    pub changed: Vec<ConfigResource>,
    /// Names of resources removed.
    pub removed: Vec<ResourceName>,
    /// Who makes the change.
    pub author: ChangeAuthor,
    /// One line for the audit record.
    pub summary: String,
    /// Contract that the change follows from, if it is a new one.
    pub contract: Option<ContractWrite>,
}

/// Contract revision that a change wrote.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractMark {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Revision written.
    pub revision: u64,
    /// SHA-256 of the text in hexadecimal.
    pub hash: String,
}

/// Audit record of one version. The contract lines of limits are in the resources of the delta.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("version {version} by {author}: {summary}")]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// Version that the change led to; the version before is one less.
    pub version: ConfigVersion,
    /// Identifies the commit; tells its author whether the commit took effect.
    pub commit: CommitId,
    /// Time by the clock of the accepting node, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who made the change.
    pub author: ChangeAuthor,
    /// What the change was for.
    pub summary: String,
    /// Contract revision written with the change.
    pub contract: Option<ContractMark>,
    /// What changed.
    pub delta: ConfigDelta,
}

/// A contract as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredContract {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Number of writes of the contract so far.
    pub revision: u64,
    /// Configuration version that the revision was accepted with.
    pub version: ConfigVersion,
    /// Whole text.
    pub text: String,
}

/// A commit that was not accepted, or not known to be.
#[derive(Debug, Error)]
pub enum CommitError {
    /// Another change touched the same resources or the same contract first.
    #[error("commit: {yours} conflicts with {theirs}")]
    Conflict {
        /// Record that the refused change would have had.
        yours: Box<AuditRecord>,
        /// Record of the change that came first.
        theirs: Box<AuditRecord>,
    },
    /// The author saw a contract that the store does not have.
    #[error("commit: there is no contract of {customer}, revision {expected} was expected")]
    NoContract {
        /// Customer of the contract.
        customer: CustomerName,
        /// Revision that the author saw.
        expected: u64,
    },
    /// The author no longer holds its lease.
    #[error("commit: {proof} is no longer held")]
    LeaseLost {
        /// Proof that the store refused.
        proof: Box<LeaseProof>,
    },
    /// The resulting configuration would not be valid.
    #[error("commit: {0}")]
    Invalid(#[from] ConfigError),
    /// The store failed. The error says whether the change may have been accepted.
    #[error("commit: {0}")]
    Store(#[from] StoreError),
}

/// Content of a contract head besides its revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct ContractBody {
    hash: String,
    version: ConfigVersion,
}

/// A version that is ready to be written.
///
/// It is sent again unchanged, with the same token, while its answer is unknown and the head unmoved.
#[derive(Clone, Debug)]
struct PreparedCommit {
    next: ConfigSnapshot,
    record: AuditRecord,
    writes: Vec<TableWrite>,
    token: String,
}

/// Progress of one commit over its attempts.
#[derive(Debug)]
struct CommitProgress {
    commit: CommitId,
    /// Latest version sent, until it is known that it did not take effect.
    sent: Option<PreparedCommit>,
    /// Error of the latest sending whose effect is not known.
    unclear: Option<StoreError>,
}

/// Accepted configuration in the store; cheap to clone.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    store: PlatformStore,
}

impl ConfigStore {
    /// Returns a view of the configuration in this store.
    pub fn new(store: PlatformStore) -> ConfigStore {
        Self { store }
    }

    /// Reads the newest accepted version; version 0 when nothing was accepted yet.
    pub async fn head(&self) -> Result<ConfigHead, StoreError> {
        let key = head_key();
        match self.store.get(&key).await? {
            Some(item) => self.decode(&key.to_string(), item.body.as_bytes()),
            None => Ok(ConfigHead::default()),
        }
    }

    /// Reads the snapshot of a head and checks it against the hash.
    pub async fn load(&self, head: &ConfigHead) -> Result<ConfigSnapshot, StoreError> {
        if head.version == 0 {
            return Ok(ConfigSnapshot::default());
        }
        let name = snapshot_name(&head.hash);
        let content = self.object(&name).await?;
        let snapshot: ConfigSnapshot = self.decode(&name, &content)?;
        let found = snapshot.content_hash();
        if found != head.hash {
            let text = format!("content hash is {found}");
            return Err(self.fault(&name, StoreFault::Malformed(text)));
        }
        Ok(snapshot)
    }

    /// Returns the snapshot of a head, by way of the deltas from a known one where these suffice.
    pub async fn load_from(
        &self,
        known: &ConfigSnapshot,
        head: &ConfigHead,
    ) -> Result<ConfigSnapshot, StoreError> {
        let gap = head.version.saturating_sub(known.version);
        if gap <= MAX_DELTA_GAP && known.version > 0 {
            let records = self.audit(known.version + 1, gap as u32).await?;
            if let Some(snapshot) = replay(known, &records, head) {
                return Ok(snapshot);
            }
        }
        self.load(head).await
    }

    /// Commits a change on top of the newest accepted version.
    ///
    /// If the base is no longer the newest version, the change is rebased, provided that none of its
    /// resources changed in between. A commit that succeeds results in exactly one version, even if
    /// answers of the store are lost.
    pub async fn commit(&self, change: ConfigChange) -> Result<ConfigSnapshot, CommitError> {
        let begun_at = Instant::now();
        let mut progress = CommitProgress {
            commit: Uuid::new_v4().to_string(),
            sent: None,
            unclear: None,
        };
        for attempt in 1..=COMMIT_ATTEMPTS {
            match self.attempt(&change, &mut progress).await {
                Ok(Some(snapshot)) => return Ok(snapshot),
                Ok(None) => {}
                // A later failure must not hide that an earlier write may have taken effect.
                Err(CommitError::Store(error)) if progress.unclear.is_some() => {
                    debug!(%error, commit = progress.commit, "commit is still unsettled");
                }
                Err(error) => return Err(error),
            }
            if begun_at.elapsed() > COMMIT_LIMIT {
                break;
            }
            sleep(jittered_pause(attempt)).await;
        }
        let unclear = progress.unclear;
        Err(unclear
            .unwrap_or_else(|| self.fault("commit", StoreFault::Throttled))
            .into())
    }

    /// Reads the contract of a customer.
    pub async fn contract(&self, customer: &str) -> Result<Option<StoredContract>, StoreError> {
        let key = contract_key(customer);
        let Some(item) = self.store.get(&key).await? else {
            return Ok(None);
        };
        let body: ContractBody = self.decode(&key.to_string(), item.body.as_bytes())?;
        let name = contract_name(&body.hash);
        let content = self.object(&name).await?;
        let text = String::from_utf8(content.to_vec())
            .map_err(|error| self.fault(&name, StoreFault::Malformed(error.to_string())))?;
        Ok(Some(StoredContract {
            customer: customer.to_owned(),
            revision: item.revision,
            version: body.version,
            text,
        }))
    }

    /// Reads up to `limit` audit records in order, beginning with that of version `from`.
    pub async fn audit(
        &self,
        from: ConfigVersion,
        limit: u32,
    ) -> Result<Vec<AuditRecord>, StoreError> {
        let from = audit_key(from);
        let items = self.store.list(&from.pk, &from.sk, limit).await?;
        let decode = |item: &TableItem| self.decode(&item.key.to_string(), item.body.as_bytes());
        items.iter().map(decode).collect()
    }

    /// Makes one attempt; none means that another one may succeed.
    async fn attempt(
        &self,
        change: &ConfigChange,
        progress: &mut CommitProgress,
    ) -> Result<Option<ConfigSnapshot>, CommitError> {
        let head = self.head().await?;
        if let Some(accepted) = self.settle(progress, &head).await? {
            return Ok(Some(accepted));
        }
        let prepared = match progress.sent.take() {
            Some(sent) => sent,
            None => self.prepare(change, &progress.commit, &head).await?,
        };
        let writes = prepared.writes.clone();
        let sent = self.store.transact(writes, &prepared.token).await;
        match sent {
            Ok(TransactOutcome::Applied) => Ok(Some(prepared.next)),
            Ok(TransactOutcome::Refused(refused)) => {
                progress.sent = Some(prepared.clone());
                self.explain(change, &prepared, &refused).await?;
                Ok(None)
            }
            Err(error) if error.may_have_taken_effect() => {
                progress.sent = Some(prepared);
                progress.unclear = Some(error);
                Ok(None)
            }
            Err(error) => {
                progress.sent = progress.unclear.is_some().then_some(prepared);
                Err(error.into())
            }
        }
    }

    /// Finds out from the audit record whether the version sent last took effect.
    ///
    /// While the head is still before that version, it may yet take effect and stays in `progress`.
    async fn settle(
        &self,
        progress: &mut CommitProgress,
        head: &ConfigHead,
    ) -> Result<Option<ConfigSnapshot>, StoreError> {
        let Some(sent) = &progress.sent else {
            return Ok(None);
        };
        if head.version < sent.next.version {
            return Ok(None);
        }
        let record = self.record(sent.next.version).await?;
        let accepted = record.commit == progress.commit;
        progress.unclear = None;
        Ok(progress
            .sent
            .take()
            .filter(|_| accepted)
            .map(|sent| sent.next))
    }

    /// Turns a refusal that another attempt cannot change into an error.
    async fn explain(
        &self,
        change: &ConfigChange,
        prepared: &PreparedCommit,
        refused: &[RefusedWrite],
    ) -> Result<(), CommitError> {
        let refusal_of = |key: &ItemKey| refused.iter().find(|refusal| refusal.key == *key);
        if refusal_of(&head_key()).is_some() {
            return Ok(());
        }
        // An earlier sending of this version may have taken effect; then its own writes refuse this one.
        if self.head().await?.version >= prepared.next.version {
            return Ok(());
        }
        if let ChangeAuthor::Controller { lease, .. } = &change.author
            && refusal_of(lease.check().key()).is_some()
        {
            let proof = Box::new(lease.clone());
            return Err(CommitError::LeaseLost { proof });
        }
        if let Some(contract) = &change.contract
            && let Some(refusal) = refusal_of(&contract_key(&contract.customer))
        {
            return Err(self.contract_conflict(contract, prepared, refusal).await?);
        }
        let text = format!(
            "audit record {} exists above the head",
            prepared.next.version
        );
        Err(self.fault("audit", StoreFault::Malformed(text)).into())
    }

    async fn contract_conflict(
        &self,
        contract: &ContractWrite,
        prepared: &PreparedCommit,
        refusal: &RefusedWrite,
    ) -> Result<CommitError, StoreError> {
        let Some(present) = &refusal.present else {
            return Ok(CommitError::NoContract {
                customer: contract.customer.clone(),
                expected: contract.expected_revision,
            });
        };
        let body: ContractBody = self.decode(&present.key.to_string(), present.body.as_bytes())?;
        let theirs = self.record(body.version).await?;
        Ok(CommitError::Conflict {
            yours: Box::new(prepared.record.clone()),
            theirs: Box::new(theirs),
        })
    }

    async fn prepare(
        &self,
        change: &ConfigChange,
        commit: &CommitId,
        head: &ConfigHead,
    ) -> Result<PreparedCommit, CommitError> {
        let current = self.current(&change.base, head).await?;
        self.check_conflict(change, commit, &current).await?;
        let next = apply(&current, change);
        next.check()?;
        let record = describe(change, commit, &current, &next);
        self.store_objects(change, &next, &record).await?;
        let writes = self.commit_writes(change, &record)?;
        Ok(PreparedCommit {
            next,
            record,
            writes,
            token: Uuid::new_v4().to_string(),
        })
    }

    async fn current(
        &self,
        base: &Arc<ConfigSnapshot>,
        head: &ConfigHead,
    ) -> Result<Arc<ConfigSnapshot>, StoreError> {
        if base.version > head.version {
            let text = format!("head is at {head}, but version {} was seen", base.version);
            return Err(self.fault("head", StoreFault::Malformed(text)));
        }
        let unmoved = base.version == head.version;
        if unmoved && (head.version == 0 || base.content_hash() == head.hash) {
            return Ok(Arc::clone(base));
        }
        self.load_from(base, head).await.map(Arc::new)
    }

    /// Returns an error if a resource of the change differs from what its author saw.
    async fn check_conflict(
        &self,
        change: &ConfigChange,
        commit: &CommitId,
        current: &ConfigSnapshot,
    ) -> Result<(), CommitError> {
        let base = &change.base;
        let names = touched_names(change);
        let differs = |name: &ResourceName| base.resources.get(name) != current.resources.get(name);
        if !names.iter().any(differs) {
            return Ok(());
        }
        let theirs = self.latest_touching(&names, base, current).await?;
        let yours = describe(change, commit, base, &apply(base, change));
        Err(CommitError::Conflict {
            yours: Box::new(yours),
            theirs: Box::new(theirs),
        })
    }

    /// Returns the record of the latest change to one of the resources since the base.
    async fn latest_touching(
        &self,
        names: &[ResourceName],
        base: &ConfigSnapshot,
        current: &ConfigSnapshot,
    ) -> Result<AuditRecord, StoreError> {
        let present = names.iter().filter_map(|name| current.resources.get(name));
        let changed_at = present.map(|entry| entry.changed_at).max();
        if let Some(version) = changed_at.filter(|version| *version > base.version) {
            return self.record(version).await;
        }
        // Only removals are left, and a snapshot does not say when those happened.
        let oldest = current.version.saturating_sub(MAX_CONFLICT_RECORDS.into());
        let from = base.version.max(oldest) + 1;
        let records = self.audit(from, MAX_CONFLICT_RECORDS).await?;
        let removes = |record: &AuditRecord| names.iter().any(|name| touches(record, name));
        records.into_iter().rev().find(removes).ok_or_else(|| {
            let text = format!("no audit record explains the change since {}", base.version);
            self.fault("audit", StoreFault::Malformed(text))
        })
    }

    /// Writes the snapshot and the contract text before any item refers to them.
    async fn store_objects(
        &self,
        change: &ConfigChange,
        next: &ConfigSnapshot,
        record: &AuditRecord,
    ) -> Result<(), StoreError> {
        let name = snapshot_name(&record.delta.hash);
        let content = self.encode(next)?;
        self.put_object(&name, content.into()).await?;
        if let (Some(contract), Some(mark)) = (&change.contract, &record.contract) {
            let content = Bytes::from(contract.text.clone());
            self.put_object(&contract_name(&mark.hash), content).await?;
        }
        Ok(())
    }

    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        let written = self.store.put_object(name, content).await;
        // An object that nothing refers to yet does not change the configuration.
        written.map_err(|error| StoreError {
            effect: WriteEffect::None,
            ..error
        })
    }

    fn commit_writes(
        &self,
        change: &ConfigChange,
        record: &AuditRecord,
    ) -> Result<Vec<TableWrite>, StoreError> {
        let head = ConfigHead {
            version: record.version,
            hash: record.delta.hash.clone(),
        };
        let mut writes = vec![
            put(head_key(), record.version, self.encode(&head)?),
            put(audit_key(record.version), 1, self.encode(record)?),
        ];
        if let Some(mark) = &record.contract {
            let body = ContractBody {
                hash: mark.hash.clone(),
                version: record.version,
            };
            let key = contract_key(&mark.customer);
            writes.push(put(key, mark.revision, self.encode(&body)?));
        }
        if let ChangeAuthor::Controller { lease, .. } = &change.author {
            writes.push(lease.check());
        }
        Ok(writes)
    }

    async fn record(&self, version: ConfigVersion) -> Result<AuditRecord, StoreError> {
        let key = audit_key(version);
        let name = key.to_string();
        match self.store.get(&key).await? {
            Some(item) => self.decode(&name, item.body.as_bytes()),
            None => Err(self.fault(&name, StoreFault::Missing("audit record".to_owned()))),
        }
    }

    async fn object(&self, name: &str) -> Result<Bytes, StoreError> {
        let content = self.store.get_object(name).await?;
        content.ok_or_else(|| self.fault(name, StoreFault::Missing("object".to_owned())))
    }

    fn encode<T: Serialize>(&self, value: &T) -> Result<String, StoreError> {
        serde_json::to_string(value)
            .map_err(|error| self.fault("encode", StoreFault::Invalid(error.to_string())))
    }

    fn decode<T: DeserializeOwned>(&self, name: &str, content: &[u8]) -> Result<T, StoreError> {
        serde_json::from_slice(content)
            .map_err(|error| self.fault(name, StoreFault::Malformed(error.to_string())))
    }

    fn fault(&self, name: &str, fault: StoreFault) -> StoreError {
        let step = StoreStep::Decode(name.to_owned());
        StoreError::new(&step, self.store.table_endpoint(), fault)
    }
}

/// Returns a write of revision `revision` on top of the one before; revision 1 requires that the item
/// does not exist.
fn put(key: ItemKey, revision: u64, body: String) -> TableWrite {
    let expect = match revision {
        0 | 1 => ItemCondition::Absent,
        _ => ItemCondition::Revision(revision - 1),
    };
    let item = TableItem {
        key,
        revision,
        owner: String::new(),
        body,
        expires_at: None,
    };
    TableWrite::Put { item, expect }
}

fn head_key() -> ItemKey {
    ItemKey::new(HEAD_PARTITION, HEAD_SORT)
}

fn audit_key(version: ConfigVersion) -> ItemKey {
    ItemKey::new(AUDIT_PARTITION, format!("{version:020}"))
}

fn contract_key(customer: &str) -> ItemKey {
    ItemKey::new(CONTRACT_PARTITION, customer)
}

fn snapshot_name(hash: &str) -> String {
    format!("snapshot/{hash}")
}

fn contract_name(hash: &str) -> String {
    format!("contract/{hash}")
}

/// Returns the configuration that follows from a change; resources that stay equal keep their version.
fn apply(current: &ConfigSnapshot, change: &ConfigChange) -> ConfigSnapshot {
    let mut next = current.clone();
    next.version = current.version + 1;
    next.accepted_at_ms = unix_millis();
    for name in &change.removed {
        next.resources.remove(name);
    }
    for resource in &change.changed {
        let name = resource.name();
        let present = next.resources.get(&name);
        if present.is_some_and(|present| present.resource == *resource) {
            continue;
        }
        let entry = VersionedResource {
            changed_at: next.version,
            resource: resource.clone(),
        };
        next.resources.insert(name, entry);
    }
    next
}

fn describe(
    change: &ConfigChange,
    commit: &CommitId,
    current: &ConfigSnapshot,
    next: &ConfigSnapshot,
) -> AuditRecord {
    let contract = change.contract.as_ref().map(|contract| ContractMark {
        customer: contract.customer.clone(),
        revision: contract.expected_revision + 1,
        hash: hex_digest(contract.text.as_bytes()),
    });
    AuditRecord {
        version: next.version,
        commit: commit.clone(),
        at_ms: next.accepted_at_ms,
        author: change.author.clone(),
        summary: change.summary.clone(),
        contract,
        delta: next.delta_from(current),
    }
}

fn touched_names(change: &ConfigChange) -> Vec<ResourceName> {
    let changed = change.changed.iter().map(ConfigResource::name);
    changed.chain(change.removed.iter().cloned()).collect()
}

fn touches(record: &AuditRecord, name: &ResourceName) -> bool {
    let delta = &record.delta;
    delta.removed.contains(name)
        || delta
            .changed
            .iter()
            .any(|entry| entry.resource.name() == *name)
}

/// Applies the deltas of audit records; none if they do not lead to the head.
fn replay(
    known: &ConfigSnapshot,
    records: &[AuditRecord],
    head: &ConfigHead,
) -> Option<ConfigSnapshot> {
    let mut snapshot = known.clone();
    for record in records {
        snapshot = snapshot.with_delta(&record.delta).ok()?;
    }
    (snapshot.version == head.version && snapshot.content_hash() == head.hash).then_some(snapshot)
}

fn hex_digest(content: &[u8]) -> String {
    let digest = Sha256::digest(content);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
