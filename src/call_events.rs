//! What happened to a call, in the form that logs and metrics take.

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

/// Number of a call within the node that counts it.
pub type CallNumber = u64;

/// Code of a refusal, as sent in `poplarwing-reason`.
pub type ReasonCode = Cow<'static, str>;

/// Reason of a call that met a pooled connection which was already closed, before any of it was sent.
pub const STALE_REASON: &str = "stale-connection";

/// What a refused caller may assume about its call.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallOutcome {
    /// No byte of the call reached a target.
    #[display("not-run")]
    NotRun,
    /// The call may have run.
    #[display("unknown")]
    Unknown,
    /// The node itself failed the call after it was accepted.
    #[display("failed")]
    Failed,
}

impl CallOutcome {
    /// Returns the outcome with this header value.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::NotRun, Self::Unknown, Self::Failed]
            .into_iter()
            .find(|outcome| outcome.to_string() == text)
    }
}

/// Line of a customer's contract, as sent in `poplarwing-contract-line`.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{customer}:{line}")]
pub struct ContractLine {
    /// Customer whose contract it is.
    pub customer: CustomerName,
    /// Line counted from 1.
    pub line: u32,
}

impl ContractLine {
    /// Returns the line with this header value.
    pub fn parse(text: &str) -> Option<Self> {
        let (customer, line) = text.rsplit_once(':')?;
        Some(Self {
            customer: customer.to_owned(),
            line: line.parse().ok()?,
        })
    }
}

/// A call that a node answers itself, without a target's answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{status} {outcome} ({reason}): {message}")]
pub struct CallRefusal {
    /// HTTP status of the answer.
    pub status: u16,
    /// What the caller may assume.
    pub outcome: CallOutcome,
    /// Code of the reason.
    pub reason: ReasonCode,
    /// Contract line that sets the limit that was met.
    pub contract_line: Option<ContractLine>,
    /// Explanation with the step and the peer.
    pub message: String,
}

impl CallRefusal {
    /// Returns a refusal of a call that no target received.
    pub fn not_run(status: u16, reason: impl Into<ReasonCode>, message: impl Into<String>) -> Self {
        Self {
            status,
            outcome: CallOutcome::NotRun,
            reason: reason.into(),
            contract_line: None,
            message: message.into(),
        }
    }

    /// Returns a refusal of a call that may have run.
    pub fn unknown(status: u16, reason: impl Into<ReasonCode>, message: impl Into<String>) -> Self {
        Self {
            outcome: CallOutcome::Unknown,
            ..Self::not_run(status, reason, message)
        }
    }

    /// Adds the contract line that sets the limit.
    pub fn at_line(mut self, customer: &str, line: u32) -> Self {
        self.contract_line = Some(ContractLine {
            customer: customer.to_owned(),
            line,
        });
        self
    }
}

/// The choice of a version and a target for one attempt of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteDecision {
    /// Number of the call at this node.
    pub call: CallNumber,
    /// Attempt, counted from 1.
    pub attempt: u32,
    /// Configuration version that the choice follows.
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
    /// Nodes of the targets passed over.
    pub passed_over: Vec<NodeId>,
    /// Why the attempt before this one ended.
    pub retried_after: Option<ReasonCode>,
}

/// Which part of the path of a call an event describes.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallSide {
    /// The node that the caller is connected to.
    #[display("entry")]
    Entry,
    /// The node of the target.
    #[display("target")]
    Target,
}

/// How the answer of a call left the node.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyEnd {
    /// The whole answer was handed on.
    #[display("whole")]
    Whole,
    /// The peer that sends the answer broke off.
    #[display("broken")]
    Broken,
    /// The deadline passed before the end of the answer.
    #[display("deadline")]
    DeadlinePassed,
    /// The receiver went away while it waited for the answer or for more of it.
    #[display("cancelled")]
    Cancelled,
    /// The receiver went away, or stayed until the deadline, without reading what there was.
    #[display("unread")]
    Unread,
}

/// The end of a call at one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallEnd {
    /// Number of the call at this node.
    pub call: CallNumber,
    /// Part of the path that this node is.
    pub side: CallSide,
    /// Service called; none if the call matched no route.
    pub key: Option<ServiceKey>,
    /// Route called.
    pub route: Option<RouteName>,
    /// Version of the last attempt.
    pub version: Option<VersionName>,
    /// Node of the target of the last attempt.
    pub node: Option<NodeId>,
    /// Status of the answer; 0 if the caller went away before the answer's head.
    pub status: u16,
    /// Refusal that the node answered with; none for a target's answer.
    pub refusal: Option<CallRefusal>,
    /// How the answer left the node.
    pub body: BodyEnd,
    /// Attempts made.
    pub attempts: u32,
    /// Time from the arrival of the call to the head of the answer.
    pub head_latency: Duration,
    /// Time from the arrival of the call to the end of the answer.
    pub total_latency: Duration,
    /// Time that the target took for the head of its answer, as its node measured it; none on other nodes
    /// than the entry node, and without an answer of a target.
    pub exchange_time: Option<Duration>,
}

/// Receivers of call events; each runs on the path of the call and must not block.
#[derive(Clone, Debug)]
pub struct CallHooks {
    /// Receives each choice of a target.
    #[debug(skip)]
    pub on_route: Arc<dyn Fn(&RouteDecision) + Send + Sync>,
    /// Receives each end of a call.
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
