//! Idempotency keys in the table.
//!
//! A keyed call runs only after a record of its key was written under the condition that there was none.
//! The record carries an owner token that no other attempt uses, so after a lost answer the record itself
//! tells whose it is. A record whose call certainly did not run is removed; one whose call may have run
//! stays until it expires.

use {
    crate::{
        ids::{CustomerName, NodeId, RouteName, ServiceName},
        platform_store::{
            ItemCondition, ItemKey, PlatformStore, RefusedWrite, StoreError, StoreFault, StoreStep,
            TableItem, TableWrite, TransactOutcome, jittered_pause,
        },
    },
    aws_smithy_types::base64,
    bytes::Bytes,
    derive_more::Display,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    thiserror::Error,
    tokio::time::sleep,
    uuid::Uuid,
};

/// Time for which a key is kept. Devices that were offline over a holiday may still repeat a call.
const KEY_LIFETIME: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// Largest answer that is kept, headers and body together, in bytes.
pub const MAX_KEPT_ANSWER: usize = 8 * 1024;

/// Longest key in bytes; the table service allows no longer sort key.
const MAX_KEY_BYTES: usize = 1024;

/// Attempts to settle a write whose answer is unknown.
const SETTLE_ATTEMPTS: u32 = 4;

/// Most orphans remembered.
const MAX_ORPHANS: usize = 4096;

/// Time for which an orphan is removed whenever it is found. Writes that arrive later than this after
/// their time limit are not expected.
const ORPHAN_LIFETIME: Duration = Duration::from_secs(60);

/// Revision of a record whose call is running.
const RUNNING_REVISION: u64 = 1;

/// Revision of a record whose call is finished.
const FINISHED_REVISION: u64 = 2;

/// What identifies a keyed call.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq)]
#[display("{customer}/{service}/{route}:{key}")]
pub struct OnceKey {
    /// Customer of the service.
    pub customer: CustomerName,
    /// Service that is called.
    pub service: ServiceName,
    /// Route that is called.
    pub route: RouteName,
    /// Key given by the caller.
    pub key: String,
}

impl OnceKey {
    fn item_key(&self) -> ItemKey {
        let partition = format!("once/{}/{}/{}", self.customer, self.service, self.route);
        ItemKey::new(partition, &self.key)
    }
}

/// Right to run a call; there is at most one per key at any time.
#[derive(Debug)]
pub struct OnceTicket {
    call: OnceKey,
    owner: String,
    body: OnceBody,
    /// Whether a write of the record is unaccounted for and may arrive after its removal.
    unclear: bool,
}

impl OnceTicket {
    /// Returns the call that may run.
    pub fn call(&self) -> &OnceKey {
        &self.call
    }
}

/// Progress of a recorded call.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OnceState {
    /// The call was begun; whether it ended is not known.
    #[display("running")]
    Running,
    /// The call ended with an answer.
    #[display("finished")]
    Finished,
}

/// A header of a kept answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerHeader {
    /// Name of the header.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

/// Answer to a keyed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OnceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to repeat.
    pub headers: Vec<AnswerHeader>,
    /// Body; none if it was too long to keep.
    pub body: Option<Bytes>,
}

impl OnceAnswer {
    fn size(&self) -> usize {
        let headers = self.headers.iter();
        let header_bytes: usize = headers.map(|h| h.name.len() + h.value.len()).sum();
        header_bytes + self.body.as_ref().map_or(0, Bytes::len)
    }
}

/// What is known of a call whose key was used before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OnceEntry {
    /// Progress of the call.
    pub state: OnceState,
    /// Node that began the call.
    pub node: NodeId,
    /// Fingerprint of the request; a repeat with another one misuses the key.
    pub fingerprint: String,
    /// Begin of the call by the clock of its node, milliseconds since the Unix epoch.
    pub begun_at_ms: u64,
    /// Answer of a finished call; the body is missing if it was too long to keep.
    pub answer: Option<OnceAnswer>,
}

/// Result of beginning a keyed call.
#[derive(Debug)]
pub enum OnceStart {
    /// The call may run.
    Run(OnceTicket),
    /// The key was used before.
    Repeat(OnceEntry),
}

/// A record that could not be written or read.
///
/// An error of `begin` means that the call must not run.
#[derive(Debug, Error)]
pub enum OnceError {
    /// The node has used up its writes of this second.
    #[error("idempotency record of {call}: over the limit of {limit} per second of this node")]
    OverBudget {
        /// Call that was to begin.
        call: OnceKey,
        /// Records that the node may write per second.
        limit: u32,
    },
    /// The table cannot hold the key.
    #[error("idempotency key of {length} bytes, allowed are 1 to {MAX_KEY_BYTES}")]
    InvalidKey {
        /// Length found, in bytes.
        length: usize,
    },
    /// The record is no longer as its owner left it.
    #[error("idempotency record of {call} was changed by another")]
    RecordLost {
        /// Call concerned.
        call: OnceKey,
    },
    /// The store failed.
    #[error("idempotency record: {0}")]
    Store(#[from] StoreError),
}

/// Content of a record besides its owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct OnceBody {
    node: NodeId,
    fingerprint: String,
    begun_at_ms: u64,
    state: OnceState,
    answer: Option<AnswerBody>,
}

/// An answer as the record holds it, the body in base64.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct AnswerBody {
    status: u16,
    headers: Vec<AnswerHeader>,
    body: Option<String>,
}

/// A record that may exist although its call did not run.
#[derive(Clone, Debug)]
struct OrphanRecord {
    key: ItemKey,
    owner: String,
    known_since: Instant,
}

/// Tokens for writes, refilled continuously up to one second's worth.
#[derive(Debug)]
struct WriteBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl WriteBudget {
    fn spend(&mut self, limit: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + limit * elapsed.as_secs_f64()).min(limit);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Writes and reads the idempotency records of one node; cheap to clone.
#[derive(Clone, Debug)]
pub struct OnceRecorder {
    inner: Arc<RecorderState>,
}

#[derive(Debug)]
struct RecorderState {
    store: PlatformStore,
    node: NodeId,
    writes_per_second: u32,
    budget: Mutex<WriteBudget>,
    orphans: Mutex<VecDeque<OrphanRecord>>,
}

impl OnceRecorder {
    /// Returns a recorder that may begin this many calls per second.
    pub fn new(store: PlatformStore, node: NodeId, writes_per_second: u32) -> OnceRecorder {
        let budget = WriteBudget {
            tokens: f64::from(writes_per_second),
            refilled_at: Instant::now(),
        };
        Self {
            inner: Arc::new(RecorderState {
                store,
                node,
                writes_per_second,
                budget: Mutex::new(budget),
                orphans: Mutex::default(),
            }),
        }
    }

    /// Records the begin of a call, or returns what is known of an earlier one with the same key.
    pub async fn begin(&self, call: OnceKey, fingerprint: String) -> Result<OnceStart, OnceError> {
        self.check(&call)?;
        let mut ticket = OnceTicket {
            call,
            owner: Uuid::new_v4().to_string(),
            body: OnceBody {
                node: self.inner.node.clone(),
                fingerprint,
                begun_at_ms: since_epoch().as_millis() as u64,
                state: OnceState::Running,
                answer: None,
            },
            unclear: false,
        };
        // Also covers a caller that goes away while the write is in progress.
        let mut guard = OrphanGuard::new(&self.inner, &ticket);
        let holder = self.claim(&ticket, &mut guard).await?;
        if holder.owner == ticket.owner {
            ticket.unclear = guard.unclear;
            guard.disarm();
            return Ok(OnceStart::Run(ticket));
        }
        Ok(OnceStart::Repeat(self.entry_of(&holder)?))
    }

    /// Records the answer of a call that has run.
    pub async fn finish(&self, ticket: OnceTicket, answer: OnceAnswer) -> Result<(), OnceError> {
        let mut body = ticket.body.clone();
        body.state = OnceState::Finished;
        body.answer = Some(kept_part(answer));
        let item = self.item(&ticket, &body, FINISHED_REVISION)?;
        let expect = ItemCondition::Owned {
            revision: RUNNING_REVISION,
            owner: ticket.owner.clone(),
        };
        let write = TableWrite::Put { item, expect };
        match self.settle(&write).await? {
            TransactOutcome::Applied => Ok(()),
            TransactOutcome::Refused(refused) if is_finished_by(&refused, &ticket) => Ok(()),
            TransactOutcome::Refused(_) => Err(OnceError::RecordLost { call: ticket.call }),
        }
    }

    /// Removes the record of a call that was certainly not run, so that the key can be used again.
    pub async fn abandon(&self, ticket: OnceTicket) -> Result<(), OnceError> {
        let mut guard = OrphanGuard::new(&self.inner, &ticket);
        let write = removal(ticket.call.item_key(), &ticket.owner);
        self.settle(&write).await?;
        if !ticket.unclear {
            guard.disarm();
        }
        Ok(())
    }

    /// Removes records left by calls that did not run because the store failed meanwhile.
    ///
    /// Without it such a key stays unusable until it expires. It is meant to be called every few seconds
    /// and costs nothing while no such record is suspected. Returns the number of records removed.
    pub async fn sweep(&self) -> Result<usize, StoreError> {
        let known = self.inner.orphans.lock().len();
        let mut removed = 0;
        for _ in 0..known {
            let Some(orphan) = self.inner.orphans.lock().pop_front() else {
                break;
            };
            let write = removal(orphan.key.clone(), &orphan.owner);
            let outcome = self.inner.store.write(write).await;
            // Kept even if it was removed: another late write of the same record may still arrive.
            self.inner.keep_orphan(orphan);
            removed += usize::from(outcome? == TransactOutcome::Applied);
        }
        Ok(removed)
    }

    fn check(&self, call: &OnceKey) -> Result<(), OnceError> {
        let length = call.key.len();
        if length == 0 || length > MAX_KEY_BYTES {
            return Err(OnceError::InvalidKey { length });
        }
        let limit = self.inner.writes_per_second;
        let mut budget = self.inner.budget.lock();
        if budget.spend(f64::from(limit), Instant::now()) {
            return Ok(());
        }
        Err(OnceError::OverBudget {
            call: call.clone(),
            limit,
        })
    }

    /// Writes the record unless there is one, and returns the one that is then present.
    ///
    /// A write whose answer is lost is followed by a consistent read. If that finds nothing, the write
    /// is sent again: its condition lets at most one of the two take effect.
    async fn claim(
        &self,
        ticket: &OnceTicket,
        guard: &mut OrphanGuard,
    ) -> Result<TableItem, OnceError> {
        let item = self.item(ticket, &ticket.body, RUNNING_REVISION)?;
        let mut unclear: Option<StoreError> = None;
        for attempt in 1..=SETTLE_ATTEMPTS {
            let write = TableWrite::Put {
                item: item.clone(),
                expect: ItemCondition::Absent,
            };
            let failure = match self.inner.store.write(write).await {
                Ok(TransactOutcome::Applied) => return Ok(item),
                Ok(TransactOutcome::Refused(refused)) => {
                    let Some(present) = present_of(refused) else {
                        continue;
                    };
                    if unclear.is_none() {
                        guard.disarm();
                    }
                    return Ok(present);
                }
                Err(error) => error,
            };
            if unclear.is_none() && !failure.may_have_taken_effect() {
                guard.disarm();
                return Err(failure.into());
            }
            unclear.get_or_insert(failure);
            guard.unclear = true;
            if let Ok(Some(present)) = self.inner.store.get(&item.key).await {
                return Ok(present);
            }
            sleep(jittered_pause(attempt)).await;
        }
        let failure = unclear.unwrap_or_else(|| self.fault(&item.key, StoreFault::Throttled));
        Err(failure.into())
    }

    /// Sends a conditional write until its outcome is known; its condition fails once it took effect.
    async fn settle(&self, write: &TableWrite) -> Result<TransactOutcome, StoreError> {
        let mut attempt = 1;
        loop {
            match self.inner.store.write(write.clone()).await {
                Err(_) if attempt < SETTLE_ATTEMPTS => {
                    sleep(jittered_pause(attempt)).await;
                    attempt += 1;
                }
                outcome => return outcome,
            }
        }
    }

    fn item(
        &self,
        ticket: &OnceTicket,
        body: &OnceBody,
        revision: u64,
    ) -> Result<TableItem, StoreError> {
        let key = ticket.call.item_key();
        let text = serde_json::to_string(body)
            .map_err(|error| self.fault(&key, StoreFault::Invalid(error.to_string())))?;
        let expires_at = since_epoch() + KEY_LIFETIME;
        Ok(TableItem {
            key,
            revision,
            owner: ticket.owner.clone(),
            body: text,
            expires_at: Some(expires_at.as_secs()),
        })
    }

    fn entry_of(&self, item: &TableItem) -> Result<OnceEntry, StoreError> {
        let malformed = |text: String| self.fault(&item.key, StoreFault::Malformed(text));
        let body: OnceBody =
            serde_json::from_str(&item.body).map_err(|error| malformed(error.to_string()))?;
        let answer = body.answer.map(answer_of).transpose().map_err(malformed)?;
        Ok(OnceEntry {
            state: body.state,
            node: body.node,
            fingerprint: body.fingerprint,
            begun_at_ms: body.begun_at_ms,
            answer,
        })
    }

    fn fault(&self, key: &ItemKey, fault: StoreFault) -> StoreError {
        let step = StoreStep::Decode(key.to_string());
        StoreError::new(&step, self.inner.store.table_endpoint(), fault)
    }
}

impl RecorderState {
    fn keep_orphan(&self, orphan: OrphanRecord) {
        if orphan.known_since.elapsed() > ORPHAN_LIFETIME {
            return;
        }
        let mut orphans = self.orphans.lock();
        if orphans.len() >= MAX_ORPHANS {
            orphans.pop_front();
        }
        orphans.push_back(orphan);
    }
}

/// Remembers a record as orphan when dropped, unless it was disarmed.
struct OrphanGuard {
    state: Arc<RecorderState>,
    orphan: Option<OrphanRecord>,
    unclear: bool,
}

impl OrphanGuard {
    fn new(state: &Arc<RecorderState>, ticket: &OnceTicket) -> Self {
        let orphan = OrphanRecord {
            key: ticket.call.item_key(),
            owner: ticket.owner.clone(),
            known_since: Instant::now(),
        };
        Self {
            state: Arc::clone(state),
            orphan: Some(orphan),
            unclear: false,
        }
    }

    fn disarm(&mut self) {
        self.orphan = None;
    }
}

impl Drop for OrphanGuard {
    fn drop(&mut self) {
        if let Some(orphan) = self.orphan.take() {
            self.state.keep_orphan(orphan);
        }
    }
}

fn removal(key: ItemKey, owner: &str) -> TableWrite {
    TableWrite::Delete {
        key,
        expect: ItemCondition::Owned {
            revision: RUNNING_REVISION,
            owner: owner.to_owned(),
        },
    }
}

fn present_of(refused: Vec<RefusedWrite>) -> Option<TableItem> {
    refused.into_iter().find_map(|refusal| refusal.present)
}

fn is_finished_by(refused: &[RefusedWrite], ticket: &OnceTicket) -> bool {
    let mut present = refused
        .iter()
        .filter_map(|refusal| refusal.present.as_ref());
    present.any(|item| item.owner == ticket.owner && item.revision == FINISHED_REVISION)
}

fn kept_part(answer: OnceAnswer) -> AnswerBody {
    if answer.size() > MAX_KEPT_ANSWER {
        return AnswerBody {
            status: answer.status,
            headers: Vec::new(),
            body: None,
        };
    }
    AnswerBody {
        status: answer.status,
        headers: answer.headers,
        body: answer.body.map(base64::encode),
    }
}

fn answer_of(body: AnswerBody) -> Result<OnceAnswer, String> {
    let decoded = body.body.map(base64::decode).transpose();
    let content = decoded.map_err(|error| error.to_string())?;
    Ok(OnceAnswer {
        status: body.status,
        headers: body.headers,
        body: content.map(Bytes::from),
    })
}

fn since_epoch() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}
