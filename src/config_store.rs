//! Versioned configuration in the platform store: commits, contracts and the audit log.
//!
//! The head item holds the newest accepted version and the content hash of its snapshot. A commit is one
//! transaction that writes the head, the audit record of the new version and, for a new contract, the
//! contract item; a commit by a controller also checks the controller's lease. The revision of the head
//! item equals the version, so versions have no gaps and each is written once.
//!
//! The audit record contains the identifier of the commit. When the response to a commit is lost, the
//! audit record of that version shows whether the commit took effect.

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

/// Partition of the audit records; the sort key is the version, zero-padded to 20 digits.
const AUDIT_PARTITION: &str = "audit";

/// Partition of the contract items; the sort key is the customer.
const CONTRACT_PARTITION: &str = "contract";

/// Attempts at a commit while concurrent commits win or responses of the store are lost.
const MAX_COMMIT_ATTEMPTS: u32 = 12;

/// Time after which a commit starts no further attempt.
const COMMIT_TIME_LIMIT: Duration = Duration::from_secs(10);

/// Limit on the audit records read to find the change that a rejected change conflicts with.
const MAX_CONFLICT_SEARCH_RECORDS: u32 = 4096;

/// Limit on the versions that a node catches up on by reading deltas from audit records; beyond it, the
/// node reads the whole snapshot. A delta has about 1 KB, a snapshot of the design size about 750 KB.
const MAX_DELTAS_PER_LOAD: u64 = 64;

/// Identifier of a commit, unique over all nodes.
pub type CommitId = String;

/// Version and content hash of the newest accepted configuration.
#[derive(Clone, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("version {version}")]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// Newest accepted version; 0 if none was accepted yet.
    pub version: ConfigVersion,
    /// Content hash of its snapshot; empty for version 0.
    pub hash: String,
}

/// Author of a configuration change.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAuthor {
    /// An operator.
    #[display("operator {_0}")]
    Operator(OperatorName),
    /// The controller that runs a move, the gradual shift of a service's calls from one version to
    /// another.
    #[display("controller on {node}")]
    Controller {
        /// Node on which the controller runs.
        node: NodeId,
        /// Proof of the lease that the commit checks.
        lease: LeaseProof,
    },
}

/// New text of a contract.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContractWrite {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Complete new text.
    pub text: String,
    /// Revision that the author read and replaces; 0 if the customer had no contract.
    pub expected_revision: u64,
}

/// Configuration change to be committed.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Configuration on which the author based the change.
    pub base: Arc<ConfigSnapshot>,
    /// Resources that are added or replaced.
    pub changed: Vec<ConfigResource>,
    /// Names of the resources that are removed.
    pub removed: Vec<ResourceName>,
    /// Author of the change.
    pub author: ChangeAuthor,
    /// One-line description for the audit record.
    pub summary: String,
    /// New contract text from which the change was derived; none if the change writes no contract.
    pub contract: Option<ContractWrite>,
}

/// Contract revision that was written together with a configuration version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractRevision {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Number of the written revision, counted from 1.
    pub revision: u64,
    /// SHA-256 of the text in hexadecimal.
    pub hash: String,
}

/// Audit record of one version.
///
/// The line of the contract from which a limit was derived is stored with that limit, in the resources of
/// the delta.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("version {version} by {author}: {summary}")]
#[serde(deny_unknown_fields)]
pub struct AuditRecord {
    /// Version that the change created; the version that it replaced is one less.
    pub version: ConfigVersion,
    /// Identifier of the commit, by which its author recognises its own record after a lost response.
    pub commit: CommitId,
    /// Time of the commit by the clock of the committing node, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Author of the change.
    pub author: ChangeAuthor,
    /// One-line description by the author.
    pub summary: String,
    /// Contract revision written in the same commit, if any.
    pub contract: Option<ContractRevision>,
    /// Difference from the previous version.
    pub delta: ConfigDelta,
}

/// Current contract of a customer, as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredContract {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Number of revisions written so far.
    pub revision: u64,
    /// Configuration version that was accepted together with this revision.
    pub version: ConfigVersion,
    /// Complete text.
    pub text: String,
}

/// Reason why a commit was rejected, or why its outcome is unknown.
#[derive(Debug, Error)]
pub enum CommitError {
    /// A concurrent change to the same resources or the same contract was accepted first.
    #[error("commit: {yours} conflicts with {theirs}")]
    Conflict {
        /// Audit record that the rejected change would have had.
        yours: Box<AuditRecord>,
        /// Audit record of the change that was accepted first.
        theirs: Box<AuditRecord>,
    },
    /// The change replaces a contract revision, but the store has no contract of the customer.
    #[error("commit: the store has no contract of {customer}, expected revision {expected}")]
    NoContract {
        /// Customer of the contract.
        customer: CustomerName,
        /// Revision that the change was to replace.
        expected: u64,
    },
    /// The controller that made the change no longer holds its lease.
    #[error("commit: {proof} is no longer held")]
    LeaseLost {
        /// Lease proof that the store rejected.
        proof: Box<LeaseProof>,
    },
    /// The resulting configuration would not be valid.
    #[error("commit: {0}")]
    Invalid(#[from] ConfigError),
    /// The store failed; [`StoreError::effect`] states whether the change may have been accepted.
    #[error("commit: {0}")]
    Store(#[from] StoreError),
}

/// JSON body of a contract item; `hash` names the object that holds the text.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct ContractItemBody {
    hash: String,
    version: ConfigVersion,
}

/// Configuration version with the transaction that commits it.
///
/// While the outcome of the transaction is unknown and the head has not reached this version, it is sent
/// again unchanged with the same idempotency token.
#[derive(Clone, Debug)]
struct PreparedVersion {
    next: ConfigSnapshot,
    record: AuditRecord,
    writes: Vec<TableWrite>,
    token: String,
}

/// State that one commit carries from attempt to attempt.
#[derive(Debug)]
struct CommitProgress {
    commit_id: CommitId,
    /// Version that was sent last, until it is known not to have taken effect.
    last_sent: Option<PreparedVersion>,
    /// Error of the last transaction whose effect is still unknown.
    unresolved_error: Option<StoreError>,
}

/// Access to the versioned configuration in the platform store; cheap to clone.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    store: PlatformStore,
}

impl ConfigStore {
    /// Returns access to the configuration in this store; sends no request.
    pub fn new(store: PlatformStore) -> ConfigStore {
        Self { store }
    }

    /// Reads the head item; version 0 if nothing was accepted yet.
    pub async fn head(&self) -> Result<ConfigHead, StoreError> {
        let key = head_key();
        match self.store.get(&key).await? {
            Some(item) => self.decode(&key.to_string(), item.body.as_bytes()),
            None => Ok(ConfigHead::default()),
        }
    }

    /// Reads the snapshot that a head refers to and verifies its content hash.
    pub async fn load(&self, head: &ConfigHead) -> Result<ConfigSnapshot, StoreError> {
        if head.version == 0 {
            return Ok(ConfigSnapshot::default());
        }
        let name = snapshot_name(&head.hash);
        let content = self.read_object(&name).await?;
        let snapshot: ConfigSnapshot = self.decode(&name, &content)?;
        let found = snapshot.content_hash();
        if found != head.hash {
            let text = format!("content hash is {found}");
            return Err(self.content_error(&name, StoreFault::Malformed(text)));
        }
        Ok(snapshot)
    }

    /// Returns the snapshot that a head refers to.
    ///
    /// Applies the deltas of the audit records to `known` if it is at most `MAX_DELTAS_PER_LOAD` versions
    /// behind, and reads the whole snapshot otherwise or if the deltas do not lead to the head.
    pub async fn load_from(
        &self,
        known: &ConfigSnapshot,
        head: &ConfigHead,
    ) -> Result<ConfigSnapshot, StoreError> {
        let missing_versions = head.version.saturating_sub(known.version);
        if missing_versions <= MAX_DELTAS_PER_LOAD && known.version > 0 {
            let records = self
                .audit(known.version + 1, missing_versions as u32)
                .await?;
            if let Some(snapshot) = apply_deltas(known, &records, head) {
                return Ok(snapshot);
            }
        }
        self.load(head).await
    }

    /// Commits a change on top of the newest accepted version.
    ///
    /// If the base is no longer the newest version, the change is rebased, provided that none of its
    /// resources has changed since the base; otherwise it is rejected as a conflict. A successful commit
    /// creates exactly one version, even if responses of the store are lost.
    pub async fn commit(&self, change: ConfigChange) -> Result<ConfigSnapshot, CommitError> {
        let started_at = Instant::now();
        let mut progress = CommitProgress {
            commit_id: Uuid::new_v4().to_string(),
            last_sent: None,
            unresolved_error: None,
        };
        for attempt in 1..=MAX_COMMIT_ATTEMPTS {
            match self.attempt_commit(&change, &mut progress).await {
                Ok(Some(snapshot)) => return Ok(snapshot),
                Ok(None) => {}
                // A failure of this attempt must not hide that an earlier transaction may have taken
                // effect.
                Err(CommitError::Store(error)) if progress.unresolved_error.is_some() => {
                    debug!(
                        %error,
                        commit = progress.commit_id,
                        "store failed while the outcome of an earlier attempt is unknown; retrying"
                    );
                }
                Err(error) => return Err(error),
            }
            if started_at.elapsed() > COMMIT_TIME_LIMIT {
                break;
            }
            sleep(jittered_pause(attempt)).await;
        }
        let unresolved_error = progress.unresolved_error;
        Err(unresolved_error
            .unwrap_or_else(|| self.content_error("commit", StoreFault::Throttled))
            .into())
    }

    /// Reads the current contract of a customer; none if the customer has none.
    pub async fn contract(&self, customer: &str) -> Result<Option<StoredContract>, StoreError> {
        let key = contract_key(customer);
        let Some(item) = self.store.get(&key).await? else {
            return Ok(None);
        };
        let body: ContractItemBody = self.decode(&key.to_string(), item.body.as_bytes())?;
        let name = contract_name(&body.hash);
        let content = self.read_object(&name).await?;
        let text = String::from_utf8(content.to_vec())
            .map_err(|error| self.content_error(&name, StoreFault::Malformed(error.to_string())))?;
        Ok(Some(StoredContract {
            customer: customer.to_owned(),
            revision: item.revision,
            version: body.version,
            text,
        }))
    }

    /// Reads up to `limit` audit records in order of their versions, starting at version `from`.
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

    /// Makes one attempt at the commit; none means that a further attempt may succeed.
    async fn attempt_commit(
        &self,
        change: &ConfigChange,
        progress: &mut CommitProgress,
    ) -> Result<Option<ConfigSnapshot>, CommitError> {
        let head = self.head().await?;
        if let Some(accepted) = self.resolve_last_sent(progress, &head).await? {
            return Ok(Some(accepted));
        }
        let prepared = match progress.last_sent.take() {
            Some(sent) => sent,
            None => self.prepare(change, &progress.commit_id, &head).await?,
        };
        let writes = prepared.writes.clone();
        let result = self.store.transact(writes, &prepared.token).await;
        match result {
            Ok(TransactOutcome::Applied) => Ok(Some(prepared.next)),
            Ok(TransactOutcome::Refused(refused)) => {
                progress.last_sent = Some(prepared.clone());
                self.reject_permanent_refusal(change, &prepared, &refused)
                    .await?;
                Ok(None)
            }
            Err(error) if error.may_have_taken_effect() => {
                progress.last_sent = Some(prepared);
                progress.unresolved_error = Some(error);
                Ok(None)
            }
            Err(error) => {
                progress.last_sent = progress.unresolved_error.is_some().then_some(prepared);
                Err(error.into())
            }
        }
    }

    /// Determines from the audit record whether the version that was sent last took effect, and returns
    /// its snapshot if so.
    ///
    /// While the head is below that version, its transaction may still take effect, so it stays in
    /// `progress`.
    async fn resolve_last_sent(
        &self,
        progress: &mut CommitProgress,
        head: &ConfigHead,
    ) -> Result<Option<ConfigSnapshot>, StoreError> {
        let Some(sent) = &progress.last_sent else {
            return Ok(None);
        };
        if head.version < sent.next.version {
            return Ok(None);
        }
        let record = self.read_audit_record(sent.next.version).await?;
        let accepted = record.commit == progress.commit_id;
        progress.unresolved_error = None;
        Ok(progress
            .last_sent
            .take()
            .filter(|_| accepted)
            .map(|sent| sent.next))
    }

    /// Returns an error if the transaction was refused for a reason that a further attempt cannot
    /// change: a lost lease, a contract conflict or inconsistent content.
    async fn reject_permanent_refusal(
        &self,
        change: &ConfigChange,
        prepared: &PreparedVersion,
        refused: &[RefusedWrite],
    ) -> Result<(), CommitError> {
        let find_refusal = |key: &ItemKey| refused.iter().find(|refusal| refusal.key == *key);
        if find_refusal(&head_key()).is_some() {
            return Ok(());
        }
        // The transaction may have taken effect on an earlier attempt; its conditions then fail when it is
        // sent again.
        if self.head().await?.version >= prepared.next.version {
            return Ok(());
        }
        if let ChangeAuthor::Controller { lease, .. } = &change.author
            && find_refusal(lease.check().key()).is_some()
        {
            let proof = Box::new(lease.clone());
            return Err(CommitError::LeaseLost { proof });
        }
        if let Some(contract) = &change.contract
            && let Some(refusal) = find_refusal(&contract_key(&contract.customer))
        {
            return Err(self
                .contract_refusal_error(contract, prepared, refusal)
                .await?);
        }
        let text = format!(
            "audit record {} exists, but the head is at a lower version",
            prepared.next.version
        );
        Err(self
            .content_error("audit", StoreFault::Malformed(text))
            .into())
    }

    async fn contract_refusal_error(
        &self,
        contract: &ContractWrite,
        prepared: &PreparedVersion,
        refusal: &RefusedWrite,
    ) -> Result<CommitError, StoreError> {
        let Some(present) = &refusal.present else {
            return Ok(CommitError::NoContract {
                customer: contract.customer.clone(),
                expected: contract.expected_revision,
            });
        };
        let body: ContractItemBody =
            self.decode(&present.key.to_string(), present.body.as_bytes())?;
        let theirs = self.read_audit_record(body.version).await?;
        Ok(CommitError::Conflict {
            yours: Box::new(prepared.record.clone()),
            theirs: Box::new(theirs),
        })
    }

    async fn prepare(
        &self,
        change: &ConfigChange,
        commit_id: &CommitId,
        head: &ConfigHead,
    ) -> Result<PreparedVersion, CommitError> {
        let current = self.load_current(&change.base, head).await?;
        self.check_conflict(change, commit_id, &current).await?;
        let next = apply_change(&current, change);
        next.check()?;
        let record = build_audit_record(change, commit_id, &current, &next);
        self.store_objects(change, &next, &record).await?;
        let writes = self.commit_writes(change, &record)?;
        Ok(PreparedVersion {
            next,
            record,
            writes,
            token: Uuid::new_v4().to_string(),
        })
    }

    async fn load_current(
        &self,
        base: &Arc<ConfigSnapshot>,
        head: &ConfigHead,
    ) -> Result<Arc<ConfigSnapshot>, StoreError> {
        if base.version > head.version {
            let text = format!(
                "the head is {head}, below the base version {}",
                base.version
            );
            return Err(self.content_error("head", StoreFault::Malformed(text)));
        }
        let is_current = base.version == head.version;
        if is_current && (head.version == 0 || base.content_hash() == head.hash) {
            return Ok(Arc::clone(base));
        }
        self.load_from(base, head).await.map(Arc::new)
    }

    /// Returns a conflict if a resource of the change differs between the base and the current
    /// configuration.
    async fn check_conflict(
        &self,
        change: &ConfigChange,
        commit_id: &CommitId,
        current: &ConfigSnapshot,
    ) -> Result<(), CommitError> {
        let base = &change.base;
        let names = touched_names(change);
        let differs = |name: &ResourceName| base.resources.get(name) != current.resources.get(name);
        if !names.iter().any(differs) {
            return Ok(());
        }
        let theirs = self.find_conflicting_record(&names, base, current).await?;
        let yours = build_audit_record(change, commit_id, base, &apply_change(base, change));
        Err(CommitError::Conflict {
            yours: Box::new(yours),
            theirs: Box::new(theirs),
        })
    }

    /// Returns the audit record of the latest change to one of the resources since the base.
    async fn find_conflicting_record(
        &self,
        names: &[ResourceName],
        base: &ConfigSnapshot,
        current: &ConfigSnapshot,
    ) -> Result<AuditRecord, StoreError> {
        let present = names.iter().filter_map(|name| current.resources.get(name));
        let changed_at = present.map(|entry| entry.changed_at).max();
        if let Some(version) = changed_at.filter(|version| *version > base.version) {
            return self.read_audit_record(version).await;
        }
        // The resources were removed, and a snapshot does not record the version of a removal.
        let oldest = current
            .version
            .saturating_sub(MAX_CONFLICT_SEARCH_RECORDS.into());
        let from = base.version.max(oldest) + 1;
        let records = self.audit(from, MAX_CONFLICT_SEARCH_RECORDS).await?;
        let touches_any = |record: &AuditRecord| names.iter().any(|name| touches(record, name));
        records.into_iter().rev().find(touches_any).ok_or_else(|| {
            let text = format!(
                "no audit record contains the change of the resources since version {}",
                base.version
            );
            self.content_error("audit", StoreFault::Malformed(text))
        })
    }

    /// Writes the objects of the snapshot and the contract text. This comes before the transaction, so
    /// that no item refers to a missing object.
    async fn store_objects(
        &self,
        change: &ConfigChange,
        next: &ConfigSnapshot,
        record: &AuditRecord,
    ) -> Result<(), StoreError> {
        let name = snapshot_name(&record.delta.hash);
        let content = self.encode(next)?;
        self.put_object(&name, content.into()).await?;
        if let (Some(contract), Some(contract_revision)) = (&change.contract, &record.contract) {
            let content = Bytes::from(contract.text.clone());
            self.put_object(&contract_name(&contract_revision.hash), content)
                .await?;
        }
        Ok(())
    }

    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        let written = self.store.put_object(name, content).await;
        // No item refers to the object yet, so a write whose outcome is unknown has not changed the
        // configuration.
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
            put_revision(head_key(), record.version, self.encode(&head)?),
            put_revision(audit_key(record.version), 1, self.encode(record)?),
        ];
        if let Some(contract_revision) = &record.contract {
            let body = ContractItemBody {
                hash: contract_revision.hash.clone(),
                version: record.version,
            };
            let key = contract_key(&contract_revision.customer);
            writes.push(put_revision(
                key,
                contract_revision.revision,
                self.encode(&body)?,
            ));
        }
        if let ChangeAuthor::Controller { lease, .. } = &change.author {
            writes.push(lease.check());
        }
        Ok(writes)
    }

    async fn read_audit_record(&self, version: ConfigVersion) -> Result<AuditRecord, StoreError> {
        let key = audit_key(version);
        let name = key.to_string();
        match self.store.get(&key).await? {
            Some(item) => self.decode(&name, item.body.as_bytes()),
            None => Err(self.content_error(&name, StoreFault::Missing("audit record".to_owned()))),
        }
    }

    async fn read_object(&self, name: &str) -> Result<Bytes, StoreError> {
        let content = self.store.get_object(name).await?;
        content.ok_or_else(|| self.content_error(name, StoreFault::Missing("object".to_owned())))
    }

    fn encode<T: Serialize>(&self, value: &T) -> Result<String, StoreError> {
        serde_json::to_string(value)
            .map_err(|error| self.content_error("encode", StoreFault::Invalid(error.to_string())))
    }

    fn decode<T: DeserializeOwned>(&self, name: &str, content: &[u8]) -> Result<T, StoreError> {
        serde_json::from_slice(content)
            .map_err(|error| self.content_error(name, StoreFault::Malformed(error.to_string())))
    }

    fn content_error(&self, name: &str, fault: StoreFault) -> StoreError {
        let step = StoreStep::Decode(name.to_owned());
        StoreError::new(&step, self.store.table_endpoint(), fault)
    }
}

/// Returns a write that replaces revision `revision - 1` of an item; for revision 1 the item must not
/// exist.
fn put_revision(key: ItemKey, revision: u64, body: String) -> TableWrite {
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

/// Returns the next version with the change applied; a resource whose content stays equal keeps the
/// version at which it last changed.
fn apply_change(current: &ConfigSnapshot, change: &ConfigChange) -> ConfigSnapshot {
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

fn build_audit_record(
    change: &ConfigChange,
    commit_id: &CommitId,
    current: &ConfigSnapshot,
    next: &ConfigSnapshot,
) -> AuditRecord {
    let contract = change.contract.as_ref().map(|contract| ContractRevision {
        customer: contract.customer.clone(),
        revision: contract.expected_revision + 1,
        hash: hex_digest(contract.text.as_bytes()),
    });
    AuditRecord {
        version: next.version,
        commit: commit_id.clone(),
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

/// Applies the deltas of audit records to a known snapshot; none if the result is not the version and
/// content of the head.
fn apply_deltas(
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
