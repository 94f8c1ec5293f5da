//! Idempotency records: at most one run for each idempotency key, enforced by conditional table writes.
//!
//! A call with a key runs only after a record of the key was written under the condition that there was
//! none. The record contains a random owner token, so after a write whose reply was lost, a read shows
//! whether the record is that of this call. A record whose call certainly did not run is removed; one whose
//! call may have run stays until it expires.

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

/// Time after which a record expires. Devices that were offline over a holiday may still repeat a call.
const KEY_LIFETIME: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// Size of headers and body together above which only the status of an answer is stored.
pub const MAX_STORED_ANSWER_BYTES: usize = 8 * 1024;

/// Longest key in bytes: the limit of the table service for a sort key.
const MAX_KEY_BYTES: usize = 1024;

/// Largest number of sends of one conditional write, the first included.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Largest number of orphan records tracked; beyond it the oldest is left to expire.
const MAX_ORPHANS: usize = 4096;

/// Time for which sweeps keep trying to remove an orphan record. A write that timed out is not expected to
/// take effect later than this.
const ORPHAN_LIFETIME: Duration = Duration::from_secs(60);

/// Revision of a record whose call has begun.
const RUNNING_REVISION: u64 = 1;

/// Revision of a record whose call has an answer.
const FINISHED_REVISION: u64 = 2;

/// Identity of a call with an idempotency key: two calls that agree in all fields are the same call.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq)]
#[display("{customer}/{service}/{route}:{key}")]
pub struct KeyedCallId {
    /// Customer of the service.
    pub customer: CustomerName,
    /// Service that is called.
    pub service: ServiceName,
    /// Route that is called.
    pub route: RouteName,
    /// Idempotency key sent by the caller.
    pub key: String,
}

impl KeyedCallId {
    fn item_key(&self) -> ItemKey {
        let partition = format!("once/{}/{}/{}", self.customer, self.service, self.route);
        ItemKey::new(partition, &self.key)
    }
}

/// Permission to run a call; at most one exists per key at any time.
#[derive(Debug)]
pub struct RunTicket {
    call: KeyedCallId,
    owner: String,
    body: RecordBody,
    /// Whether a write of the record whose reply was lost may still take effect, even after its removal.
    late_write_possible: bool,
}

impl RunTicket {
    /// Returns the call that this ticket permits.
    pub fn call(&self) -> &KeyedCallId {
        &self.call
    }
}

/// Progress of a recorded call.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyedCallState {
    /// The call was begun; it may still run, or its node may have failed before recording the answer.
    #[display("running")]
    Running,
    /// The call ended with the recorded answer.
    #[display("finished")]
    Finished,
}

/// A header of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerHeader {
    /// Name of the header.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

/// HTTP response to a call, as stored for its repeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to send again with a repeat.
    pub headers: Vec<AnswerHeader>,
    /// Body; none if the answer was too long to store.
    pub body: Option<Bytes>,
}

impl StoredAnswer {
    fn size(&self) -> usize {
        let headers = self.headers.iter();
        let header_bytes: usize = headers.map(|h| h.name.len() + h.value.len()).sum();
        header_bytes + self.body.as_ref().map_or(0, Bytes::len)
    }
}

/// Record of an earlier call with the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdempotencyRecord {
    /// Progress of the call.
    pub state: KeyedCallState,
    /// Node that began the call.
    pub node: NodeId,
    /// Fingerprint of the request; a call with the same key and another fingerprint misuses the key.
    pub fingerprint: String,
    /// When the call began by the clock of its node, in milliseconds since the Unix epoch.
    pub begun_at_ms: u64,
    /// Answer of a finished call; none while it is running.
    pub answer: Option<StoredAnswer>,
}

/// Result of beginning a call with a key.
#[derive(Debug)]
pub enum BeginResult {
    /// The call may run.
    Run(RunTicket),
    /// The key was used before, by the call of this record.
    Repeat(IdempotencyRecord),
}

/// An idempotency record could not be written or read.
///
/// After an error of `begin` the call must not run.
#[derive(Debug, Error)]
pub enum IdempotencyError {
    /// The node has used up its rate of record writes.
    #[error(
        "idempotency record of {call}: this node's limit of {limit} records per second is used up"
    )]
    WriteRateExceeded {
        /// Call that was refused.
        call: KeyedCallId,
        /// Records that the node may write per second.
        limit: u32,
    },
    /// The key is empty or longer than the table allows.
    #[error("idempotency key has {length} bytes, allowed are 1 to {MAX_KEY_BYTES}")]
    InvalidKey {
        /// Length found, in bytes.
        length: usize,
    },
    /// The record to be finished was removed or replaced by another owner.
    #[error("idempotency record of {call}: removed or replaced after the call began")]
    RecordLost {
        /// Call whose answer could not be recorded.
        call: KeyedCallId,
    },
    /// The table request failed, or the record is malformed.
    #[error("idempotency record: {0}")]
    Store(#[from] StoreError),
}

/// JSON content of a record; revision and owner are attributes of the table item.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct RecordBody {
    node: NodeId,
    fingerprint: String,
    begun_at_ms: u64,
    state: KeyedCallState,
    answer: Option<AnswerBody>,
}

/// An answer as stored in the record, with the body in base64.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct AnswerBody {
    status: u16,
    headers: Vec<AnswerHeader>,
    body: Option<String>,
}

/// A record that may exist in the table although its call did not run.
#[derive(Clone, Debug)]
struct OrphanRecord {
    key: ItemKey,
    owner: String,
    tracked_since: Instant,
}

/// Token bucket for record writes, refilled continuously up to the tokens of one second.
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
pub struct IdempotencyRecorder {
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

impl IdempotencyRecorder {
    /// Returns a recorder that begins at most `writes_per_second` calls.
    pub fn new(store: PlatformStore, node: NodeId, writes_per_second: u32) -> IdempotencyRecorder {
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

    /// Records that a call begins, or returns the record of an earlier call with the same key.
    pub async fn begin(
        &self,
        call: KeyedCallId,
        fingerprint: String,
    ) -> Result<BeginResult, IdempotencyError> {
        self.check_limits(&call)?;
        let mut ticket = RunTicket {
            call,
            owner: Uuid::new_v4().to_string(),
            body: RecordBody {
                node: self.inner.node.clone(),
                fingerprint,
                begun_at_ms: unix_time().as_millis() as u64,
                state: KeyedCallState::Running,
                answer: None,
            },
            late_write_possible: false,
        };
        // Also tracks the record if this future is dropped during the write because the caller disconnected.
        let mut guard = OrphanGuard::new(&self.inner, &ticket);
        let record = self.claim(&ticket, &mut guard).await?;
        if record.owner == ticket.owner {
            ticket.late_write_possible = guard.late_write_possible;
            guard.disarm();
            return Ok(BeginResult::Run(ticket));
        }
        Ok(BeginResult::Repeat(self.decode_entry(&record)?))
    }

    /// Records the answer of a call that has run, for repeats of the call.
    pub async fn finish(
        &self,
        ticket: RunTicket,
        answer: StoredAnswer,
    ) -> Result<(), IdempotencyError> {
        let mut body = ticket.body.clone();
        body.state = KeyedCallState::Finished;
        body.answer = Some(encode_answer(answer));
        let item = self.item(&ticket, &body, FINISHED_REVISION)?;
        let expect = ItemCondition::Owned {
            revision: RUNNING_REVISION,
            owner: ticket.owner.clone(),
        };
        let write = TableWrite::Put { item, expect };
        match self.write_until_known(&write).await? {
            TransactOutcome::Applied => Ok(()),
            TransactOutcome::Refused(refused) if is_finished_by(&refused, &ticket) => Ok(()),
            TransactOutcome::Refused(_) => Err(IdempotencyError::RecordLost { call: ticket.call }),
        }
    }

    /// Removes the record of a call that was certainly not run, so that the key can be used again.
    pub async fn abandon(&self, ticket: RunTicket) -> Result<(), IdempotencyError> {
        let mut guard = OrphanGuard::new(&self.inner, &ticket);
        let write = delete_write(ticket.call.item_key(), &ticket.owner);
        self.write_until_known(&write).await?;
        if !ticket.late_write_possible {
            guard.disarm();
        }
        Ok(())
    }

    /// Removes orphan records: those of calls that did not run, left behind by failures of the store.
    ///
    /// The key of an orphan record is unusable until the record is removed or expires. To be called every
    /// few seconds; without suspected orphans it sends no request. Returns the number of records removed.
    pub async fn remove_orphans(&self) -> Result<usize, StoreError> {
        let count = self.inner.orphans.lock().len();
        let mut removed = 0;
        for _ in 0..count {
            let Some(orphan) = self.inner.orphans.lock().pop_front() else {
                break;
            };
            let write = delete_write(orphan.key.clone(), &orphan.owner);
            let outcome = self.inner.store.write(write).await;
            // Tracked even after its removal: another late write of the same record may still take effect.
            self.inner.track_orphan(orphan);
            removed += usize::from(outcome? == TransactOutcome::Applied);
        }
        Ok(removed)
    }

    /// Checks the length of the key and takes a token for the write of the record.
    fn check_limits(&self, call: &KeyedCallId) -> Result<(), IdempotencyError> {
        let length = call.key.len();
        if length == 0 || length > MAX_KEY_BYTES {
            return Err(IdempotencyError::InvalidKey { length });
        }
        let limit = self.inner.writes_per_second;
        let mut budget = self.inner.budget.lock();
        if budget.spend(f64::from(limit), Instant::now()) {
            return Ok(());
        }
        Err(IdempotencyError::WriteRateExceeded {
            call: call.clone(),
            limit,
        })
    }

    /// Writes the record unless the key has one, and returns the record that is then in the table.
    ///
    /// A write whose reply is lost is followed by a consistent read. If that finds no record, the write is
    /// sent again: its condition lets at most one of the two take effect.
    async fn claim(
        &self,
        ticket: &RunTicket,
        guard: &mut OrphanGuard,
    ) -> Result<TableItem, IdempotencyError> {
        let item = self.item(ticket, &ticket.body, RUNNING_REVISION)?;
        let mut unknown_failure: Option<StoreError> = None;
        for attempt in 1..=MAX_WRITE_ATTEMPTS {
            let write = TableWrite::Put {
                item: item.clone(),
                expect: ItemCondition::Absent,
            };
            let failure = match self.inner.store.write(write).await {
                Ok(TransactOutcome::Applied) => return Ok(item),
                Ok(TransactOutcome::Refused(refused)) => {
                    let Some(present) = find_present(refused) else {
                        continue;
                    };
                    if unknown_failure.is_none() {
                        guard.disarm();
                    }
                    return Ok(present);
                }
                Err(error) => error,
            };
            if unknown_failure.is_none() && !failure.may_have_taken_effect() {
                guard.disarm();
                return Err(failure.into());
            }
            unknown_failure.get_or_insert(failure);
            guard.late_write_possible = true;
            if let Ok(Some(present)) = self.inner.store.get(&item.key).await {
                return Ok(present);
            }
            sleep(jittered_pause(attempt)).await;
        }
        let failure =
            unknown_failure.unwrap_or_else(|| self.store_error(&item.key, StoreFault::Throttled));
        Err(failure.into())
    }

    /// Sends a conditional write up to `MAX_WRITE_ATTEMPTS` times, until its outcome is known.
    ///
    /// The condition no longer holds after the write has taken effect, so it takes effect at most once.
    async fn write_until_known(&self, write: &TableWrite) -> Result<TransactOutcome, StoreError> {
        let mut attempt = 1;
        loop {
            match self.inner.store.write(write.clone()).await {
                Err(_) if attempt < MAX_WRITE_ATTEMPTS => {
                    sleep(jittered_pause(attempt)).await;
                    attempt += 1;
                }
                outcome => return outcome,
            }
        }
    }

    fn item(
        &self,
        ticket: &RunTicket,
        body: &RecordBody,
        revision: u64,
    ) -> Result<TableItem, StoreError> {
        let key = ticket.call.item_key();
        let text = serde_json::to_string(body)
            .map_err(|error| self.store_error(&key, StoreFault::Invalid(error.to_string())))?;
        let expires_at = unix_time() + KEY_LIFETIME;
        Ok(TableItem {
            key,
            revision,
            owner: ticket.owner.clone(),
            body: text,
            expires_at: Some(expires_at.as_secs()),
        })
    }

    fn decode_entry(&self, item: &TableItem) -> Result<IdempotencyRecord, StoreError> {
        let malformed = |text: String| self.store_error(&item.key, StoreFault::Malformed(text));
        let body: RecordBody =
            serde_json::from_str(&item.body).map_err(|error| malformed(error.to_string()))?;
        let answer = body
            .answer
            .map(decode_answer)
            .transpose()
            .map_err(malformed)?;
        Ok(IdempotencyRecord {
            state: body.state,
            node: body.node,
            fingerprint: body.fingerprint,
            begun_at_ms: body.begun_at_ms,
            answer,
        })
    }

    fn store_error(&self, key: &ItemKey, fault: StoreFault) -> StoreError {
        let step = StoreStep::Decode(key.to_string());
        StoreError::new(&step, self.inner.store.table_endpoint(), fault)
    }
}

impl RecorderState {
    /// Queues an orphan record for the next sweep unless it is older than `ORPHAN_LIFETIME`.
    fn track_orphan(&self, orphan: OrphanRecord) {
        if orphan.tracked_since.elapsed() > ORPHAN_LIFETIME {
            return;
        }
        let mut orphans = self.orphans.lock();
        if orphans.len() >= MAX_ORPHANS {
            orphans.pop_front();
        }
        orphans.push_back(orphan);
    }
}

/// Tracks a record as an orphan on drop, unless disarmed.
struct OrphanGuard {
    state: Arc<RecorderState>,
    orphan: Option<OrphanRecord>,
    late_write_possible: bool,
}

impl OrphanGuard {
    fn new(state: &Arc<RecorderState>, ticket: &RunTicket) -> Self {
        let orphan = OrphanRecord {
            key: ticket.call.item_key(),
            owner: ticket.owner.clone(),
            tracked_since: Instant::now(),
        };
        Self {
            state: Arc::clone(state),
            orphan: Some(orphan),
            late_write_possible: false,
        }
    }

    fn disarm(&mut self) {
        self.orphan = None;
    }
}

impl Drop for OrphanGuard {
    fn drop(&mut self) {
        if let Some(orphan) = self.orphan.take() {
            self.state.track_orphan(orphan);
        }
    }
}

fn delete_write(key: ItemKey, owner: &str) -> TableWrite {
    TableWrite::Delete {
        key,
        expect: ItemCondition::Owned {
            revision: RUNNING_REVISION,
            owner: owner.to_owned(),
        },
    }
}

fn find_present(refused: Vec<RefusedWrite>) -> Option<TableItem> {
    refused.into_iter().find_map(|refusal| refusal.present)
}

fn is_finished_by(refused: &[RefusedWrite], ticket: &RunTicket) -> bool {
    let mut present = refused
        .iter()
        .filter_map(|refusal| refusal.present.as_ref());
    present.any(|item| item.owner == ticket.owner && item.revision == FINISHED_REVISION)
}

/// Encodes an answer for the record; without headers and body if it is longer than `MAX_STORED_ANSWER_BYTES`.
fn encode_answer(answer: StoredAnswer) -> AnswerBody {
    if answer.size() > MAX_STORED_ANSWER_BYTES {
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

fn decode_answer(body: AnswerBody) -> Result<StoredAnswer, String> {
    let decoded = body.body.map(base64::decode).transpose();
    let content = decoded.map_err(|error| error.to_string())?;
    Ok(StoredAnswer {
        status: body.status,
        headers: body.headers,
        body: content.map(Bytes::from),
    })
}

fn unix_time() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}
