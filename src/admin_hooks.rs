//! Store and node operations that the operator API calls, injected as closures.

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

/// Failure of a read from the store.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{operation}: {cause}")]
pub struct ReadFailure {
    /// Operation that failed and the endpoint of the store.
    pub operation: String,
    /// Reason of the failure.
    pub cause: String,
}

/// Failure of a commit: the change was rejected, or its outcome is unknown.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CommitFailure {
    /// Another change to the same resources was committed first.
    #[error("version {} was committed first: {}", theirs.version, theirs.summary)]
    Conflict {
        /// Audit record of the other change.
        theirs: Box<AuditEntry>,
    },
    /// The resulting configuration would not be valid.
    #[error("the change is not valid: {0}")]
    Invalid(String),
    /// The store rejected the write or could not be reached; nothing was changed for certain.
    #[error("the change was not accepted: {0}")]
    NotAccepted(String),
    /// The write may have taken effect, and reading the store back did not settle whether it did.
    #[error("it is unknown whether version {version} contains the change: {cause}")]
    Unknown {
        /// Configuration version that contains the change if it was accepted.
        version: ConfigVersion,
        /// Why the outcome is unknown.
        cause: String,
    },
}

/// Contract text to store together with the change that applies it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContractText {
    /// Customer that the contract belongs to.
    pub customer: CustomerName,
    /// Text as received, with comments.
    pub text: String,
    /// Revision that the text replaces; 0 for the first contract of the customer.
    pub expected_revision: u64,
}

/// A change to commit for an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// Accepted configuration that the change is based on.
    pub base: Arc<ConfigSnapshot>,
    /// Resources added or changed.
    pub changed: Vec<ConfigResource>,
    /// Names of resources removed.
    pub removed: Vec<ResourceName>,
    /// Operator who requested the change.
    pub operator: OperatorName,
    /// One line for the audit record.
    pub summary: String,
    /// Contract to store with the change; none for a change of a move.
    pub contract: Option<ContractText>,
}

/// Range of audit records to read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AuditRange {
    /// First configuration version, inclusive.
    pub from: ConfigVersion,
    /// Most records to return.
    pub limit: u32,
}

/// An asynchronous closure from `A` to `Result<T, E>`.
pub type AsyncHook<A, T, E> = Arc<dyn Fn(A) -> BoxFuture<'static, Result<T, E>> + Send + Sync>;

/// A closure that processes a target's announcement.
pub type AnnounceHook = Arc<dyn Fn(TargetAnnouncementBody) + Send + Sync>;

/// A closure that returns the metrics in the Prometheus text format.
pub type MetricsHook = Arc<dyn Fn() -> String + Send + Sync>;

/// Operations that the operator API calls.
#[derive(Clone)]
pub struct AdminHooks {
    /// Reads the accepted configuration, the latest one in the store.
    pub read_accepted: AsyncHook<(), Arc<ConfigSnapshot>, ReadFailure>,
    /// Reads the contract of a customer from the store; none if the customer has no contract.
    pub read_contract: AsyncHook<CustomerName, Option<ContractBody>, ReadFailure>,
    /// Commits a change, puts the new configuration in force on this node and starts to distribute it.
    ///
    /// Returns the accepted configuration only after the store has confirmed the write.
    pub commit: AsyncHook<ChangeRequest, Arc<ConfigSnapshot>, CommitFailure>,
    /// Reads audit records in ascending order of their versions.
    pub read_audit: AsyncHook<AuditRange, Vec<AuditEntry>, ReadFailure>,
    /// Processes the announcement of this node's target.
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
