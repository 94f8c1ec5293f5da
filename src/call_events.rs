//! Events and refusals of calls, as logged, counted and returned to callers.

use {
    crate::{
        config::ServiceKey,
        ids::{ConfigVersion, CustomerName, NodeId, RouteName, VersionName},
        route_table::{TargetReason, VersionReason},
    },
    derive_more::{Debug, Display},
    std::{borrow::Cow, sync::Arc, time::Duration},
    thiserror::Error,
};

/// Sequence number of a call at one node, counted from 1; each node counts its own.
pub type CallNumber = u64;

/// Reason code of a refusal, as sent in `poplarwing-reason`.
pub type ReasonCode = Cow<'static, str>;

/// Reason code of an attempt whose pooled connection was already closed, so that nothing of the request was sent.
pub const STALE_CONNECTION_REASON: &str = "stale-connection";

/// Whether a refused call may have run, as sent in `poplarwing-outcome` by a node of the kind `crate::node`.
///
/// Unlike `retry_budget::AttemptOutcome` it describes the whole call, not one attempt, and unlike
/// `node_metrics::CallResult` it does not cover calls that are answered.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallOutcome {
    /// No byte of the call reached a target.
    #[display("not-run")]
    NotRun,
    /// The call may have run.
    #[display("unknown")]
    Unknown,
    /// An internal failure of the node, after it had accepted the call.
    #[display("failed")]
    Failed,
}

impl CallOutcome {
    /// Parses a header value; none if it is unrecognized.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::NotRun, Self::Unknown, Self::Failed]
            .into_iter()
            .find(|outcome| outcome.to_string() == text)
    }
}

/// Line of a customer's contract, the text that sets the customer's limits, as sent in `poplarwing-contract-line`.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{customer}:{line}")]
pub struct ContractLine {
    /// Customer that the contract belongs to.
    pub customer: CustomerName,
    /// Line number, counted from 1.
    pub line: u32,
}

impl ContractLine {
    /// Parses a header value; none if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let (customer, line) = text.rsplit_once(':')?;
        Some(Self {
            customer: customer.to_owned(),
            line: line.parse().ok()?,
        })
    }
}

/// An error response that a node creates itself, instead of returning a target's response.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{status} {outcome} ({reason}): {message}")]
pub struct CallRefusal {
    /// HTTP status of the response.
    pub status: u16,
    /// Whether the call may have run.
    pub outcome: CallOutcome,
    /// Reason code.
    pub reason: ReasonCode,
    /// Contract line with the limit or deadline behind the refusal; none if it has another cause.
    pub contract_line: Option<ContractLine>,
    /// Explanation for people: the failed step, the peer if there is one, and the cause.
    pub message: String,
}

impl CallRefusal {
    /// Creates a refusal of a call that did not reach a target.
    pub fn not_run(status: u16, reason: impl Into<ReasonCode>, message: impl Into<String>) -> Self {
        Self {
            status,
            outcome: CallOutcome::NotRun,
            reason: reason.into(),
            contract_line: None,
            message: message.into(),
        }
    }

    /// Creates a refusal of a call that may have run.
    pub fn unknown(status: u16, reason: impl Into<ReasonCode>, message: impl Into<String>) -> Self {
        Self {
            outcome: CallOutcome::Unknown,
            ..Self::not_run(status, reason, message)
        }
    }

    /// Adds the contract line with the limit or deadline behind the refusal.
    pub fn with_contract_line(mut self, customer: &str, line: u32) -> Self {
        self.contract_line = Some(ContractLine {
            customer: customer.to_owned(),
            line,
        });
        self
    }
}

/// Version and target chosen for one attempt of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteDecision {
    /// Number of the call at this node.
    pub call: CallNumber,
    /// Number of the attempt within the call, counted from 1.
    pub attempt: u32,
    /// Configuration version that the choice is based on.
    pub config_version: ConfigVersion,
    /// Service called.
    pub key: ServiceKey,
    /// Route called.
    pub route: RouteName,
    /// Version chosen.
    pub version: VersionName,
    /// Why the version was chosen.
    pub version_reason: VersionReason,
    /// Node of the target chosen.
    pub node: NodeId,
    /// Why the target was chosen.
    pub target_reason: TargetReason,
    /// Nodes of the targets that were not chosen.
    pub passed_over: Vec<NodeId>,
    /// Reason code of the failed attempt before this one; none for the first attempt.
    pub retried_after: Option<ReasonCode>,
}

/// Role of the node that reports the end of a call.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallSide {
    /// The entry node, to which the caller is connected.
    #[display("entry")]
    Entry,
    /// The node that serves the target.
    #[display("target")]
    Target,
}

/// How the response of a call ended at a node.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyEnd {
    /// The complete response was passed on.
    #[display("whole")]
    Whole,
    /// The connection to the peer that sends the response failed before the response's end.
    #[display("broken")]
    Broken,
    /// The deadline passed while the receiver waited for the response or for more of it.
    #[display("deadline")]
    DeadlinePassed,
    /// The receiver disconnected while it waited for the response or for more of it.
    #[display("cancelled")]
    Cancelled,
    /// The receiver disconnected, or the deadline passed, while available data was left unread.
    #[display("unread")]
    Unread,
}

/// The end of a call at one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallEnd {
    /// Number of the call at this node.
    pub call: CallNumber,
    /// Role of this node in the call.
    pub side: CallSide,
    /// Service called; none if the call matched no route.
    pub key: Option<ServiceKey>,
    /// Route called; none if the call matched no route.
    pub route: Option<RouteName>,
    /// Version of the last attempt; none without an attempt.
    pub version: Option<VersionName>,
    /// Node of the last attempt's target; none without an attempt.
    pub node: Option<NodeId>,
    /// HTTP status of the response; 0 if the receiver disconnected before the response head.
    pub status: u16,
    /// Refusal that the node returned; none for a target's response.
    pub refusal: Option<CallRefusal>,
    /// How the response body ended.
    pub body: BodyEnd,
    /// Number of attempts; 1 at the target's node.
    pub attempts: u32,
    /// Time from the arrival of the call to the response head; the total latency if there was none.
    pub head_latency: Duration,
    /// Time from the arrival of the call to the end of the response.
    pub total_latency: Duration,
    /// Time from sending the request to the target until its response head, as measured by the target's node; set only
    /// at the entry node and only if a target responded.
    pub exchange_time: Option<Duration>,
}

/// Callbacks for call events; they run within the call and must not block.
#[derive(Clone, Debug)]
pub struct CallHooks {
    /// Called with the choice made for each attempt.
    #[debug(skip)]
    pub on_route: Arc<dyn Fn(&RouteDecision) + Send + Sync>,
    /// Called at the end of each call.
    #[debug(skip)]
    pub on_end: Arc<dyn Fn(&CallEnd) + Send + Sync>,
}

impl Default for CallHooks {
    fn default() -> Self {
        Self {
            on_route: Arc::new(|_| {}),
            on_end: Arc::new(|_| {}),
        }
    }
}
