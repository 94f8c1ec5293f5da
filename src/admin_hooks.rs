//! What the operator API needs from the store and the node, as closures.

use {
    crate::{
        admin_types::{AuditEntry, ContractBody, TargetAnnouncementBody},
        config::{ConfigResource, ConfigSnapshot, ResourceName},
        ids::{ConfigVersion, CustomerName, OperatorName},
    },
    futures::{FutureExt, future::BoxFuture},
    std::{future::Future, sync::Arc},
    thiserror::Error,
};

/// A read of the store that failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{step}: {cause}")]
pub struct ReadFailure {
    /// What was read, and from which endpoint.
    pub step: String,
    /// What went wrong.
    pub cause: String,
}

/// A change that was not accepted, or whose outcome is not known.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CommitFailure {
    /// Another change to the same resources came first.
    #[error("version {} came first: {}", theirs.version, theirs.summary)]
    Conflict {
        /// Record of the change that came first.
        theirs: Box<AuditEntry>,
    },
    /// The resulting configuration would not be valid.
    #[error("the change is not valid: {0}")]
    Invalid(String),
    /// The store refused or could not be reached; certainly nothing was changed.
    #[error("the change was not accepted: {0}")]
    NotAccepted(String),
    /// The outcome could not be settled by reading.
    #[error("whether version {version} holds the change is unknown: {cause}")]
    Unknown {
        /// Version that would hold the change.
        version: ConfigVersion,
        /// What went wrong.
        cause: String,
    },
}

/// Text of a contract to store with a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContractText {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Text as received.
    pub text: String,
    /// Revision that the text replaces; 0 for the first.
    pub expected_revision: u64,
}

/// A change that an operator wants accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// Configuration that the change was made for.
    pub base: Arc<ConfigSnapshot>,
    /// Resources added or changed.
    pub changed: Vec<ConfigResource>,
    /// Names of resources removed.
    pub removed: Vec<ResourceName>,
    /// Operator who wants the change.
    pub operator: OperatorName,
    /// One line for the audit record.
    pub summary: String,
    /// Contract to store with the change.
    pub contract: Option<ContractText>,
}

/// Range of audit records to read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AuditRange {
    /// First version.
    pub from: ConfigVersion,
    /// Most records to return.
    pub limit: u32,
}

/// An asynchronous closure.
pub type AsyncHook<A, T, E> = Arc<dyn Fn(A) -> BoxFuture<'static, Result<T, E>> + Send + Sync>;

/// A closure that takes an announcement.
pub type AnnounceHook = Arc<dyn Fn(TargetAnnouncementBody) + Send + Sync>;

/// A closure that returns the text of the metrics.
pub type MetricsHook = Arc<dyn Fn() -> String + Send + Sync>;

/// What the operator API calls.
#[derive(Clone)]
pub struct AdminHooks {
    /// Reads the accepted configuration from the store.
    pub accepted: AsyncHook<(), Arc<ConfigSnapshot>, ReadFailure>,
    /// Reads the contract of a customer from the store.
    pub contract: AsyncHook<CustomerName, Option<ContractBody>, ReadFailure>,
    /// Commits a change, offers the result to the apply gate and starts its dissemination.
    ///
    /// Returns the accepted configuration only after the store confirmed it.
    pub commit: AsyncHook<ChangeRequest, Arc<ConfigSnapshot>, CommitFailure>,
    /// Reads audit records in order of their versions.
    pub audit: AsyncHook<AuditRange, Vec<AuditEntry>, ReadFailure>,
    /// Takes the announcement of the own target.
    pub announce: AnnounceHook,
    /// Returns the metrics in the Prometheus text format.
    pub metrics: MetricsHook,
}

/// Wraps an async closure as a hook.
pub fn async_hook<A, T, E, F, R>(run: F) -> AsyncHook<A, T, E>
where
    F: Fn(A) -> R + Send + Sync + 'static,
    R: Future<Output = Result<T, E>> + Send + 'static,
{
    Arc::new(move |argument| run(argument).boxed())
}
