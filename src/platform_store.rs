//! Clients of the platform's table service (DynamoDB HTTP API) and object store (S3).
//!
//! Every request has a time limit and the number of requests in progress is bounded. The libraries' own
//! repeats are off for the table: a write is sent once, and sent again only after an answer that says it
//! had no effect. Whether a failed write may have taken effect is part of [`StoreError`]; callers settle
//! such a write by reading.
//!
//! TLS to the platform is not supported yet: endpoints must be `http` URLs.

use {
    crate::settings::PlatformSection,
    aws_credential_types::Credentials,
    aws_sdk_dynamodb::{
        Client,
        config::{Config, Region, StalledStreamProtectionConfig},
        error::SdkError,
        operation::transact_write_items::TransactWriteItemsError,
        types::{ReturnValuesOnConditionCheckFailure, TransactWriteItem},
    },
    aws_smithy_types::{retry::RetryConfig as SdkRetry, timeout::TimeoutConfig},
    bytes::Bytes,
    derive_more::Display,
    object_store::{
        BackoffConfig, ClientOptions, Error as ObjectError, ObjectStoreExt, RetryConfig,
        aws::{AmazonS3, AmazonS3Builder},
        path::Path,
    },
    rand::Rng,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Semaphore, SemaphorePermit},
        time::{sleep, timeout},
    },
};

mod item_codec;
mod store_error;

pub use self::store_error::{StoreError, StoreFault, StoreStep, WriteEffect};

/// Requests in progress at once. It bounds what a slow store can pile up in a node.
const MAX_REQUESTS: usize = 64;

/// Attempts for a request whose earlier attempts certainly had no effect.
const MAX_ATTEMPTS: u32 = 3;

/// Pause before the first repeat; each later pause is twice as long, and each is jittered.
const FIRST_PAUSE: Duration = Duration::from_millis(25);

/// Doublings after which the pause grows no further; the mean is then 400 ms.
const MAX_DOUBLINGS: u32 = 4;

/// Longest pause between two attempts of the object store client.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Key of an item.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{pk}:{sk}")]
pub struct ItemKey {
    /// Partition key.
    pub pk: String,
    /// Sort key.
    pub sk: String,
}

impl ItemKey {
    /// Returns the key with these parts.
    pub fn new(pk: impl Into<String>, sk: impl Into<String>) -> Self {
        Self {
            pk: pk.into(),
            sk: sk.into(),
        }
    }
}

/// One item of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableItem {
    /// Key of the item.
    pub key: ItemKey,
    /// Number of writes of the item so far; conditions compare it.
    pub revision: u64,
    /// Holder of a lease or of an idempotency record, else empty.
    pub owner: String,
    /// JSON of the typed content.
    pub body: String,
    /// Time after which the table may drop the item, in seconds since the Unix epoch.
    pub expires_at: Option<u64>,
}

/// What must be true of an item for a write to take effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ItemCondition {
    /// The item does not exist.
    Absent,
    /// The item has this revision.
    Revision(u64),
    /// The item has this owner, whatever its revision.
    Owner(String),
    /// The item has this revision and this owner.
    Owned {
        /// Revision required.
        revision: u64,
        /// Owner required.
        owner: String,
    },
}

/// One conditional write, alone or in a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableWrite {
    /// Writes the whole item.
    Put {
        /// Item to write.
        item: TableItem,
        /// Condition on the item before the write.
        expect: ItemCondition,
    },
    /// Removes the item.
    Delete {
        /// Key of the item.
        key: ItemKey,
        /// Condition on the item before the write.
        expect: ItemCondition,
    },
    /// Only checks the condition.
    Check {
        /// Key of the item.
        key: ItemKey,
        /// Condition on the item.
        expect: ItemCondition,
    },
}

impl TableWrite {
    /// Returns the key of the item concerned.
    pub fn key(&self) -> &ItemKey {
        match self {
            Self::Put { item, .. } => &item.key,
            Self::Delete { key, .. } | Self::Check { key, .. } => key,
        }
    }
}

/// A condition that did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedWrite {
    /// Key of the item.
    pub key: ItemKey,
    /// The item as it was when the condition was checked; none if there was none.
    pub present: Option<TableItem>,
}

/// Definite outcome of a write or transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactOutcome {
    /// All writes took effect.
    Applied,
    /// Nothing took effect, because these conditions did not hold.
    Refused(Vec<RefusedWrite>),
}

/// Clients of the table and the bucket named in the settings; cheap to clone.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    inner: Arc<StoreClients>,
}

#[derive(Debug)]
struct StoreClients {
    table_client: Client,
    table: String,
    table_endpoint: String,
    objects: AmazonS3,
    object_endpoint: String,
    request_timeout: Duration,
    permits: Semaphore,
}

impl PlatformStore {
    /// Prepares the clients; no request is sent.
    pub fn connect(section: &PlatformSection) -> Result<PlatformStore, StoreError> {
        check_endpoint(&section.table_endpoint)?;
        check_endpoint(&section.object_endpoint)?;
        let clients = StoreClients {
            table_client: table_client(section),
            table: section.table.clone(),
            table_endpoint: section.table_endpoint.clone(),
            objects: object_client(section)?,
            object_endpoint: section.object_endpoint.clone(),
            request_timeout: section.request_timeout,
            permits: Semaphore::new(MAX_REQUESTS),
        };
        Ok(Self {
            inner: Arc::new(clients),
        })
    }

    /// Reads one item, consistently.
    pub async fn get(&self, key: &ItemKey) -> Result<Option<TableItem>, StoreError> {
        self.repeat_harmless(|| self.get_once(key)).await
    }

    /// Reads up to `limit` items of a partition in order of their sort key, beginning with `from_sk`.
    ///
    /// Each page is read consistently.
    pub async fn list(
        &self,
        pk: &str,
        from_sk: &str,
        limit: u32,
    ) -> Result<Vec<TableItem>, StoreError> {
        self.repeat_harmless(|| self.list_once(pk, from_sk, limit))
            .await
    }

    /// Executes all writes or none.
    ///
    /// `token` makes the transaction take effect at most once if it is sent again unchanged within ten
    /// minutes; it has at most 36 characters.
    pub async fn transact(
        &self,
        writes: Vec<TableWrite>,
        token: &str,
    ) -> Result<TransactOutcome, StoreError> {
        self.repeat_harmless(|| self.transact_once(&writes, token))
            .await
    }

    /// Executes a single write, which costs half the capacity of a transaction.
    pub async fn write(&self, write: TableWrite) -> Result<TransactOutcome, StoreError> {
        self.repeat_harmless(|| self.write_once(&write)).await
    }

    /// Writes an object; names derived from the content make this repeatable.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        let step = StoreStep::PutObject(name.to_owned());
        let path = Path::from(name);
        let request = self.inner.objects.put(&path, content.into());
        self.object_request(&step, request).await.map(|_| ())
    }

    /// Reads an object; none if there is no such object.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let step = StoreStep::GetObject(name.to_owned());
        let path = Path::from(name);
        let objects = &self.inner.objects;
        let request = async {
            match objects.get(&path).await {
                Ok(found) => found.bytes().await.map(Some),
                Err(ObjectError::NotFound { .. }) => Ok(None),
                Err(error) => Err(error),
            }
        };
        self.object_request(&step, request).await
    }

    /// Returns the URL of the table service, for errors that arise above this module.
    pub(crate) fn table_endpoint(&self) -> &str {
        &self.inner.table_endpoint
    }

    /// Repeats a request after an answer, or the lack of a connection, that rules out any effect.
    ///
    /// Requests that ran into their time limit are not repeated, so that a slow store gets no more load.
    async fn repeat_harmless<T, F>(&self, request: impl Fn() -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut attempt = 1;
        loop {
            match request().await {
                Err(error) if attempt < MAX_ATTEMPTS && error.is_repeatable() => {
                    sleep(jittered_pause(attempt)).await;
                    attempt += 1;
                }
                outcome => return outcome,
            }
        }
    }

    async fn get_once(&self, key: &ItemKey) -> Result<Option<TableItem>, StoreError> {
        let step = StoreStep::Get(key.clone());
        let _permit = self.permit(&step, &self.inner.table_endpoint).await?;
        let answer = self
            .inner
            .table_client
            .get_item()
            .table_name(&self.inner.table)
            .set_key(Some(item_codec::encode_key(key)))
            .consistent_read(true)
            .send()
            .await
            .map_err(|error| self.table_error(&step, &error))?;
        answer
            .item
            .map(|attributes| self.decode(&step, &attributes))
            .transpose()
    }

    async fn list_once(
        &self,
        pk: &str,
        from_sk: &str,
        limit: u32,
    ) -> Result<Vec<TableItem>, StoreError> {
        let step = StoreStep::List(pk.to_owned());
        let _permit = self.permit(&step, &self.inner.table_endpoint).await?;
        let mut items = Vec::new();
        let mut resume = None;
        while items.len() < limit as usize {
            let wanted = (limit as usize - items.len()).min(i32::MAX as usize) as i32;
            let answer = item_codec::query(&self.inner.table_client, pk, from_sk)
                .table_name(&self.inner.table)
                .limit(wanted)
                .set_exclusive_start_key(resume)
                .send()
                .await
                .map_err(|error| self.table_error(&step, &error))?;
            for attributes in answer.items() {
                items.push(self.decode(&step, attributes)?);
            }
            resume = answer.last_evaluated_key;
            if resume.is_none() {
                break;
            }
        }
        Ok(items)
    }

    async fn transact_once(
        &self,
        writes: &[TableWrite],
        token: &str,
    ) -> Result<TransactOutcome, StoreError> {
        let step = StoreStep::Transact(writes.iter().map(|write| write.key().clone()).collect());
        let operations: Vec<TransactWriteItem> = writes
            .iter()
            .map(|write| item_codec::encode_write(write, &self.inner.table))
            .collect::<Result<_, _>>()
            .map_err(|error| self.error(&step, StoreFault::Invalid(error.to_string())))?;
        let _permit = self.permit(&step, &self.inner.table_endpoint).await?;
        let sent = self
            .inner
            .table_client
            .transact_write_items()
            .set_transact_items(Some(operations))
            .client_request_token(token)
            .send()
            .await;
        match sent {
            Ok(_) => Ok(TransactOutcome::Applied),
            Err(error) => self.refused_transaction(&step, writes, &error),
        }
    }

    fn refused_transaction(
        &self,
        step: &StoreStep,
        writes: &[TableWrite],
        error: &SdkError<TransactWriteItemsError>,
    ) -> Result<TransactOutcome, StoreError> {
        let Some(TransactWriteItemsError::TransactionCanceledException(cancelled)) =
            error.as_service_error()
        else {
            return Err(self.table_error(step, error));
        };
        let mut refused = Vec::new();
        for (write, reason) in writes.iter().zip(cancelled.cancellation_reasons()) {
            if reason.code() == Some("ConditionalCheckFailed") {
                let present = reason.item.as_ref();
                refused.push(self.refused_write(step, write, present)?);
            }
        }
        if refused.is_empty() {
            // Another transaction held one of the items, or the table was short of capacity.
            return Err(self.error(step, StoreFault::Throttled));
        }
        Ok(TransactOutcome::Refused(refused))
    }

    async fn write_once(&self, write: &TableWrite) -> Result<TransactOutcome, StoreError> {
        match write {
            TableWrite::Put { item, expect } => self.put_once(write, item, expect).await,
            TableWrite::Delete { key, expect } => self.delete_once(write, key, expect).await,
            TableWrite::Check { key, .. } => {
                let step = StoreStep::Write(key.clone());
                let text = "a check alone is not a write".to_owned();
                Err(self.error(&step, StoreFault::Invalid(text)))
            }
        }
    }

    async fn put_once(
        &self,
        write: &TableWrite,
        item: &TableItem,
        expect: &ItemCondition,
    ) -> Result<TransactOutcome, StoreError> {
        let step = StoreStep::Write(item.key.clone());
        let _permit = self.permit(&step, &self.inner.table_endpoint).await?;
        let condition = item_codec::encode_condition(expect);
        let sent = self
            .inner
            .table_client
            .put_item()
            .table_name(&self.inner.table)
            .set_item(Some(item_codec::encode_item(item)))
            .condition_expression(condition.expression)
            .set_expression_attribute_names(Some(condition.names))
            .set_expression_attribute_values(condition.values)
            .return_values_on_condition_check_failure(ReturnValuesOnConditionCheckFailure::AllOld)
            .send()
            .await;
        let Err(error) = sent else {
            return Ok(TransactOutcome::Applied);
        };
        let service_error = error.as_service_error();
        match service_error.and_then(item_codec::failed_put) {
            Some(present) => self.refused_alone(&step, write, present),
            None => Err(self.table_error(&step, &error)),
        }
    }

    async fn delete_once(
        &self,
        write: &TableWrite,
        key: &ItemKey,
        expect: &ItemCondition,
    ) -> Result<TransactOutcome, StoreError> {
        let step = StoreStep::Write(key.clone());
        let _permit = self.permit(&step, &self.inner.table_endpoint).await?;
        let condition = item_codec::encode_condition(expect);
        let sent = self
            .inner
            .table_client
            .delete_item()
            .table_name(&self.inner.table)
            .set_key(Some(item_codec::encode_key(key)))
            .condition_expression(condition.expression)
            .set_expression_attribute_names(Some(condition.names))
            .set_expression_attribute_values(condition.values)
            .return_values_on_condition_check_failure(ReturnValuesOnConditionCheckFailure::AllOld)
            .send()
            .await;
        let Err(error) = sent else {
            return Ok(TransactOutcome::Applied);
        };
        let service_error = error.as_service_error();
        match service_error.and_then(item_codec::failed_delete) {
            Some(present) => self.refused_alone(&step, write, present),
            None => Err(self.table_error(&step, &error)),
        }
    }

    fn refused_alone(
        &self,
        step: &StoreStep,
        write: &TableWrite,
        present: Option<&item_codec::AttributeMap>,
    ) -> Result<TransactOutcome, StoreError> {
        let refused = self.refused_write(step, write, present)?;
        Ok(TransactOutcome::Refused(vec![refused]))
    }

    fn refused_write(
        &self,
        step: &StoreStep,
        write: &TableWrite,
        present: Option<&item_codec::AttributeMap>,
    ) -> Result<RefusedWrite, StoreError> {
        let present = present
            .filter(|attributes| !attributes.is_empty())
            .map(|attributes| self.decode(step, attributes))
            .transpose()?;
        Ok(RefusedWrite {
            key: write.key().clone(),
            present,
        })
    }

    async fn object_request<T>(
        &self,
        step: &StoreStep,
        request: impl Future<Output = Result<T, ObjectError>>,
    ) -> Result<T, StoreError> {
        let endpoint = &self.inner.object_endpoint;
        let _permit = self.permit(step, endpoint).await?;
        match timeout(self.inner.request_timeout, request).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(StoreError::from_object(step, endpoint, &error)),
            Err(_) => Err(self.timed_out(step, endpoint)),
        }
    }

    async fn permit(
        &self,
        step: &StoreStep,
        endpoint: &str,
    ) -> Result<SemaphorePermit<'_>, StoreError> {
        match timeout(self.inner.request_timeout, self.inner.permits.acquire()).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(StoreError::new(step, endpoint, StoreFault::TooManyRequests)),
        }
    }

    fn timed_out(&self, step: &StoreStep, endpoint: &str) -> StoreError {
        let fault = StoreFault::TimedOut(self.inner.request_timeout);
        StoreError::new(step, endpoint, fault)
    }

    fn error(&self, step: &StoreStep, fault: StoreFault) -> StoreError {
        StoreError::new(step, &self.inner.table_endpoint, fault)
    }

    fn table_error<E>(&self, step: &StoreStep, error: &SdkError<E>) -> StoreError
    where
        E: std::error::Error + aws_sdk_dynamodb::error::ProvideErrorMetadata + 'static,
    {
        let limit = self.inner.request_timeout;
        StoreError::from_table(step, &self.inner.table_endpoint, limit, error)
    }

    fn decode(
        &self,
        step: &StoreStep,
        attributes: &item_codec::AttributeMap,
    ) -> Result<TableItem, StoreError> {
        item_codec::decode_item(attributes)
            .map_err(|text| self.error(step, StoreFault::Malformed(text)))
    }
}

fn check_endpoint(endpoint: &str) -> Result<(), StoreError> {
    if endpoint.starts_with("http://") {
        return Ok(());
    }
    let text = "only http endpoints are supported".to_owned();
    Err(StoreError::new(
        &StoreStep::Connect,
        endpoint,
        StoreFault::Invalid(text),
    ))
}

fn table_client(section: &PlatformSection) -> Client {
    let timeouts = TimeoutConfig::builder()
        .connect_timeout(CONNECT_TIMEOUT.min(section.request_timeout))
        .operation_timeout(section.request_timeout)
        .build();
    let credentials = Credentials::new(
        &section.access_key_id,
        &section.secret_access_key,
        None,
        None,
        "settings",
    );
    let config = Config::builder()
        .behavior_version_latest()
        .region(Region::new(section.signing_region.clone()))
        .endpoint_url(&section.table_endpoint)
        .credentials_provider(credentials)
        .http_client(aws_smithy_http_client::Builder::new().build_http())
        .retry_config(SdkRetry::disabled())
        .stalled_stream_protection(StalledStreamProtectionConfig::disabled())
        .timeout_config(timeouts)
        .build();
    Client::from_conf(config)
}

fn object_client(section: &PlatformSection) -> Result<AmazonS3, StoreError> {
    let options = ClientOptions::new()
        .with_allow_http(true)
        // Without TLS there is nothing to verify, and loading the certificates takes long.
        .with_no_system_certificates(true)
        .with_connect_timeout(CONNECT_TIMEOUT.min(section.request_timeout))
        .with_timeout(section.request_timeout);
    let retries = RetryConfig {
        backoff: BackoffConfig {
            init_backoff: FIRST_PAUSE,
            max_backoff: LONGEST_PAUSE,
            base: 2.0,
        },
        max_retries: MAX_ATTEMPTS as usize - 1,
        retry_timeout: section.request_timeout,
    };
    AmazonS3Builder::new()
        .with_endpoint(&section.object_endpoint)
        .with_bucket_name(&section.bucket)
        .with_region(&section.signing_region)
        .with_access_key_id(&section.access_key_id)
        .with_secret_access_key(&section.secret_access_key)
        .with_allow_http(true)
        .with_client_options(options)
        .with_retry(retries)
        .build()
        .map_err(|error| {
            let fault = StoreFault::Invalid(error.to_string());
            StoreError::new(&StoreStep::Connect, &section.object_endpoint, fault)
        })
}

/// Returns a random pause of up to twice the mean for this attempt, so that nodes that failed together
/// do not come back together.
pub(crate) fn jittered_pause(attempt: u32) -> Duration {
    let doublings = attempt.saturating_sub(1).min(MAX_DOUBLINGS);
    let mean = FIRST_PAUSE * 2_u32.pow(doublings);
    mean.mul_f64(rand::rng().random_range(0.0..2.0))
}
