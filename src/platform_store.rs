//! Clients of the platform's table service (DynamoDB HTTP API) and object store (S3).
//!
//! Every request has a time limit, and the number of concurrent requests is bounded. The SDK's own
//! retries are disabled for the table: a write is retried only after a failure that rules out any
//! effect. For every other failed write, [`StoreError`] states whether it may have taken effect; callers
//! then read the item back to find out.
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

/// Limit on concurrent requests, so that a slow store cannot pile up work in a node.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Attempts at a request, counting the first, while each failed attempt is known to have had no effect.
const MAX_ATTEMPTS: u32 = 3;

/// Mean delay before the first retry; it doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Doublings after which the delay between retries grows no further; its mean is then 400 ms.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Longest delay between two attempts of the object store client.
const MAX_OBJECT_BACKOFF: Duration = Duration::from_millis(200);

/// Time limit for establishing a connection; a shorter request time limit takes precedence.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Primary key of a table item.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{pk}:{sk}")]
pub struct ItemKey {
    /// Partition key.
    pub pk: String,
    /// Sort key.
    pub sk: String,
}

impl ItemKey {
    /// Returns the key made of a partition key and a sort key.
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
    /// Number of writes to the item so far, used for optimistic locking by [`ItemCondition`].
    pub revision: u64,
    /// Holder of a lease or writer of an idempotency record; empty for other items.
    pub owner: String,
    /// Content as JSON.
    pub body: String,
    /// Time after which the table may delete the item, in seconds since the Unix epoch; none if it never
    /// expires.
    pub expires_at: Option<u64>,
}

/// Condition on the stored item under which a write takes effect.
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
        /// Required revision.
        revision: u64,
        /// Required owner.
        owner: String,
    },
}

/// One conditional operation, executed alone or as part of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableWrite {
    /// Creates or replaces the item.
    Put {
        /// Item to write.
        item: TableItem,
        /// Condition on the item before the write.
        expect: ItemCondition,
    },
    /// Deletes the item.
    Delete {
        /// Key of the item.
        key: ItemKey,
        /// Condition on the item before the write.
        expect: ItemCondition,
    },
    /// Checks the condition without writing; only valid in a transaction.
    Check {
        /// Key of the item.
        key: ItemKey,
        /// Condition on the item.
        expect: ItemCondition,
    },
}

impl TableWrite {
    /// Returns the key of the item that is written or checked.
    pub fn key(&self) -> &ItemKey {
        match self {
            Self::Put { item, .. } => &item.key,
            Self::Delete { key, .. } | Self::Check { key, .. } => key,
        }
    }
}

/// A write or check whose condition did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedWrite {
    /// Key of the item.
    pub key: ItemKey,
    /// Stored item at the time of the check; none if the item did not exist.
    pub present: Option<TableItem>,
}

/// Known outcome of a write or transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactOutcome {
    /// All writes took effect.
    Applied,
    /// Nothing took effect, because the conditions of these writes did not hold.
    Refused(Vec<RefusedWrite>),
}

/// Clients of the table and the bucket that the `[platform]` section of the settings names; cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    inner: Arc<StoreClients>,
}

#[derive(Debug)]
struct StoreClients {
    table_client: Client,
    table: String,
    table_endpoint: String,
    object_client: AmazonS3,
    object_endpoint: String,
    request_timeout: Duration,
    request_permits: Semaphore,
}

impl PlatformStore {
    /// Builds the clients without sending a request; fails if the settings are invalid, for example if an
    /// endpoint is not an `http` URL.
    pub fn connect(section: &PlatformSection) -> Result<PlatformStore, StoreError> {
        check_endpoint(&section.table_endpoint)?;
        check_endpoint(&section.object_endpoint)?;
        let clients = StoreClients {
            table_client: build_table_client(section),
            table: section.table.clone(),
            table_endpoint: section.table_endpoint.clone(),
            object_client: build_object_client(section)?,
            object_endpoint: section.object_endpoint.clone(),
            request_timeout: section.request_timeout,
            request_permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
        };
        Ok(Self {
            inner: Arc::new(clients),
        })
    }

    /// Reads one item with strong consistency; none if it does not exist.
    pub async fn get(&self, key: &ItemKey) -> Result<Option<TableItem>, StoreError> {
        self.retry_without_effect(|| self.get_once(key)).await
    }

    /// Reads up to `limit` items of a partition in ascending order of the sort key, starting at `from_sk`.
    ///
    /// Each page is read with strong consistency, but the pages are not read at the same moment.
    pub async fn list(
        &self,
        pk: &str,
        from_sk: &str,
        limit: u32,
    ) -> Result<Vec<TableItem>, StoreError> {
        self.retry_without_effect(|| self.list_once(pk, from_sk, limit))
            .await
    }

    /// Executes the writes in one transaction: all of them or none.
    ///
    /// `token` is the idempotency token of the table service, of at most 36 characters: a transaction
    /// that is sent again unchanged with the same token within ten minutes takes effect at most once.
    pub async fn transact(
        &self,
        writes: Vec<TableWrite>,
        token: &str,
    ) -> Result<TransactOutcome, StoreError> {
        self.retry_without_effect(|| self.transact_once(&writes, token))
            .await
    }

    /// Executes a single write, which uses half the table capacity of a transaction with one write.
    pub async fn write(&self, write: TableWrite) -> Result<TransactOutcome, StoreError> {
        self.retry_without_effect(|| self.write_once(&write)).await
    }

    /// Writes an object. It may be written repeatedly, so `name` must be derived from the content.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        let step = StoreStep::PutObject(name.to_owned());
        let path = Path::from(name);
        let request = self.inner.object_client.put(&path, content.into());
        self.object_request(&step, request).await.map(|_| ())
    }

    /// Reads an object; none if it does not exist.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        let step = StoreStep::GetObject(name.to_owned());
        let path = Path::from(name);
        let object_client = &self.inner.object_client;
        let request = async {
            match object_client.get(&path).await {
                Ok(found) => found.bytes().await.map(Some),
                Err(ObjectError::NotFound { .. }) => Ok(None),
                Err(error) => Err(error),
            }
        };
        self.object_request(&step, request).await
    }

    /// Returns the URL of the table service, for the errors of callers that decode stored content.
    pub(crate) fn table_endpoint(&self) -> &str {
        &self.inner.table_endpoint
    }

    /// Retries a request with backoff after failures that rule out any effect, such as throttling or a
    /// refused connection.
    ///
    /// Requests that timed out are not retried, so that a slow store gets no additional load.
    async fn retry_without_effect<T, F>(&self, request: impl Fn() -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut attempt = 1;
        loop {
            match request().await {
                Err(error) if attempt < MAX_ATTEMPTS && error.is_retryable() => {
                    sleep(jittered_pause(attempt)).await;
                    attempt += 1;
                }
                outcome => return outcome,
            }
        }
    }

    async fn get_once(&self, key: &ItemKey) -> Result<Option<TableItem>, StoreError> {
        let step = StoreStep::Get(key.clone());
        let _permit = self
            .acquire_permit(&step, &self.inner.table_endpoint)
            .await?;
        let response = self
            .inner
            .table_client
            .get_item()
            .table_name(&self.inner.table)
            .set_key(Some(item_codec::encode_key(key)))
            .consistent_read(true)
            .send()
            .await
            .map_err(|error| self.table_error(&step, &error))?;
        response
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
        let _permit = self
            .acquire_permit(&step, &self.inner.table_endpoint)
            .await?;
        let mut items = Vec::new();
        let mut next_page_key = None;
        while items.len() < limit as usize {
            let page_limit = (limit as usize - items.len()).min(i32::MAX as usize) as i32;
            let response = item_codec::partition_query(&self.inner.table_client, pk, from_sk)
                .table_name(&self.inner.table)
                .limit(page_limit)
                .set_exclusive_start_key(next_page_key)
                .send()
                .await
                .map_err(|error| self.table_error(&step, &error))?;
            for attributes in response.items() {
                items.push(self.decode(&step, attributes)?);
            }
            next_page_key = response.last_evaluated_key;
            if next_page_key.is_none() {
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
        let _permit = self
            .acquire_permit(&step, &self.inner.table_endpoint)
            .await?;
        let result = self
            .inner
            .table_client
            .transact_write_items()
            .set_transact_items(Some(operations))
            .client_request_token(token)
            .send()
            .await;
        match result {
            Ok(_) => Ok(TransactOutcome::Applied),
            Err(error) => self.interpret_transaction_error(&step, writes, &error),
        }
    }

    fn interpret_transaction_error(
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
                refused.push(self.decode_refusal(step, write, present)?);
            }
        }
        if refused.is_empty() {
            // No condition failed: another transaction held an item, or the table was short of capacity.
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
                let text = "a condition check cannot be sent outside a transaction".to_owned();
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
        let _permit = self
            .acquire_permit(&step, &self.inner.table_endpoint)
            .await?;
        let condition = item_codec::encode_condition(expect);
        let result = self
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
        let Err(error) = result else {
            return Ok(TransactOutcome::Applied);
        };
        let service_error = error.as_service_error();
        match service_error.and_then(item_codec::put_condition_failure) {
            Some(present) => self.single_write_refusal(&step, write, present),
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
        let _permit = self
            .acquire_permit(&step, &self.inner.table_endpoint)
            .await?;
        let condition = item_codec::encode_condition(expect);
        let result = self
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
        let Err(error) = result else {
            return Ok(TransactOutcome::Applied);
        };
        let service_error = error.as_service_error();
        match service_error.and_then(item_codec::delete_condition_failure) {
            Some(present) => self.single_write_refusal(&step, write, present),
            None => Err(self.table_error(&step, &error)),
        }
    }

    fn single_write_refusal(
        &self,
        step: &StoreStep,
        write: &TableWrite,
        present: Option<&item_codec::AttributeMap>,
    ) -> Result<TransactOutcome, StoreError> {
        let refused = self.decode_refusal(step, write, present)?;
        Ok(TransactOutcome::Refused(vec![refused]))
    }

    fn decode_refusal(
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
        let _permit = self.acquire_permit(step, endpoint).await?;
        match timeout(self.inner.request_timeout, request).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(StoreError::from_object(step, endpoint, &error)),
            Err(_) => Err(self.timeout_error(step, endpoint)),
        }
    }

    async fn acquire_permit(
        &self,
        step: &StoreStep,
        endpoint: &str,
    ) -> Result<SemaphorePermit<'_>, StoreError> {
        match timeout(
            self.inner.request_timeout,
            self.inner.request_permits.acquire(),
        )
        .await
        {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(StoreError::new(step, endpoint, StoreFault::TooManyRequests)),
        }
    }

    fn timeout_error(&self, step: &StoreStep, endpoint: &str) -> StoreError {
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
    let text = "the endpoint is not an http:// URL; TLS is not supported".to_owned();
    Err(StoreError::new(
        &StoreStep::Connect,
        endpoint,
        StoreFault::Invalid(text),
    ))
}

fn build_table_client(section: &PlatformSection) -> Client {
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

fn build_object_client(section: &PlatformSection) -> Result<AmazonS3, StoreError> {
    let options = ClientOptions::new()
        .with_allow_http(true)
        // Without TLS no certificate is verified, and loading the system's certificates is slow.
        .with_no_system_certificates(true)
        .with_connect_timeout(CONNECT_TIMEOUT.min(section.request_timeout))
        .with_timeout(section.request_timeout);
    let retries = RetryConfig {
        backoff: BackoffConfig {
            init_backoff: INITIAL_BACKOFF,
            max_backoff: MAX_OBJECT_BACKOFF,
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

/// Returns the delay before the retry that follows attempt `attempt`, counted from 1.
///
/// The delay is uniform between zero and twice its mean, which doubles with each attempt up to 400 ms. The
/// jitter keeps nodes that failed together from retrying together.
pub(crate) fn jittered_pause(attempt: u32) -> Duration {
    let doublings = attempt.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
    let mean = INITIAL_BACKOFF * 2_u32.pow(doublings);
    mean.mul_f64(rand::rng().random_range(0.0..2.0))
}
