//! JSON bodies of the operator API, shared by the server and the client.

use {
    crate::{
        config::{ConfigResource, MovePolicy, ResourceName, ServiceKey, ServiceSpec, VersionMove},
        contract::ContractDifference,
        ids::{
            ConfigVersion, CustomerName, DomainName, NodeId, OperatorName, ServiceName, VersionName,
        },
        ini_file::InputError,
        membership::{MemberState, TargetRecord},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

pub use crate::target_client::TargetAnnouncementBody;

/// Request to start a move of a service to another version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRequest {
    /// Customer that owns the service.
    pub customer: CustomerName,
    /// Service whose calls are to move.
    pub service: ServiceName,
    /// Candidate version that is to take over the service's calls.
    pub version: VersionName,
    /// Time within which the candidate must have taken over; none means the time set in the contract.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_within_ms: Option<u64>,
}

/// Response to an accepted contract.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractAccepted {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Revision of the contract after the request.
    pub revision: u64,
    /// Configuration version that contains the contract.
    pub version: ConfigVersion,
    /// Whether the text equals the current one, so that nothing was changed.
    pub unchanged: bool,
    /// Differences from the previous contract.
    pub differences: Vec<ContractDifference>,
}

/// The current contract of a customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractBody {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Revision, counted from 1.
    pub revision: u64,
    /// Text as it was applied, with comments.
    pub text: String,
}

/// Response to an accepted start or cancellation of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveAccepted {
    /// Service whose calls move between versions.
    pub key: ServiceKey,
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Configuration version that contains the change.
    pub version: ConfigVersion,
}

/// State of a service's versions and of its latest move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveView {
    /// Service that the view shows.
    pub key: ServiceKey,
    /// Version that receives all calls that the candidate does not.
    pub stable: VersionName,
    /// Share of calls that the candidate receives, in per mille; 0 if no move is running.
    pub candidate_permille: u32,
    /// The latest move, running or ended.
    pub current_move: Option<VersionMove>,
    /// Veto against the candidate, if this node has received one.
    pub veto: Option<VetoView>,
    /// Rules of the contract for moves of the service.
    pub policy: MovePolicy,
    /// Routes and limits of the service, with the contract lines that set them.
    pub service: ServiceSpec,
    /// Last change of each of the service's resources.
    pub changes: Vec<ResourceChange>,
    /// Configuration version that the view shows.
    pub as_of: ConfigVersion,
}

/// Configuration version that last changed a resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceChange {
    /// Name of the resource, such as `split/kestrel/yardboard`.
    pub name: ResourceName,
    /// Configuration version that last changed it.
    pub changed_at: ConfigVersion,
}

/// A veto: the finding of one node that the candidate of a move is bad, which stops the move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VetoView {
    /// Service whose move is stopped.
    pub key: ServiceKey,
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Node that issued the veto.
    pub issuer: NodeId,
    /// Why the candidate was found bad.
    pub reason: String,
}

/// Moves of all services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveList {
    /// Configuration version that the list shows.
    pub as_of: ConfigVersion,
    /// One view per service.
    pub moves: Vec<MoveView>,
}

/// Who made a change.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditAuthor {
    /// An operator.
    #[display("operator {_0}")]
    Operator(OperatorName),
    /// The controller of a move, running on the named node.
    #[display("controller on node {_0}")]
    Controller(NodeId),
}

/// Contract revision created by a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractReference {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Revision that the change created.
    pub revision: u64,
}

/// Audit record of one accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// Configuration version that the change created.
    pub version: ConfigVersion,
    /// Configuration version that the change replaced.
    pub previous: ConfigVersion,
    /// Time of the change, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who made the change.
    pub author: AuditAuthor,
    /// Summary of the change, with the contract lines concerned.
    pub summary: String,
    /// Contract revision created by the change; none for a change of a move.
    pub contract: Option<ContractReference>,
    /// Resources added or changed, with their new content.
    pub changed: Vec<ConfigResource>,
    /// Names of resources removed.
    pub removed: Vec<ResourceName>,
}

impl AuditEntry {
    /// Returns whether the change added, changed or removed a resource.
    pub fn concerns(&self, name: &str) -> bool {
        let changed = self.changed.iter().any(|resource| resource.name() == name);
        changed || self.removed.iter().any(|removed| removed == name)
    }
}

/// One page of audit records, oldest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AuditList {
    /// Records of this page.
    pub records: Vec<AuditEntry>,
    /// Version from which to request the next page; none if there is no more.
    pub next: Option<ConfigVersion>,
}

/// Audit records of the changes of one contract, newest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractHistory {
    /// Records found.
    pub records: Vec<AuditEntry>,
    /// Version below which more records may exist; none if all records were searched.
    pub before: Option<ConfigVersion>,
}

/// A member of the fleet as the responding node sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberView {
    /// Name of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Membership state.
    pub state: MemberState,
    /// Configuration version that the member last reported as in force.
    pub applied_version: ConfigVersion,
    /// Target on the node's machine; none if it has not announced itself.
    pub target: Option<TargetRecord>,
}

/// Status of a node and its view of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeId,
    /// Region of the node.
    pub region: String,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Configuration version in force on the node.
    pub version: ConfigVersion,
    /// Whether the node is ready to route calls.
    pub ready: bool,
    /// All members known to the node, sorted by name.
    pub members: Vec<MemberView>,
    /// Vetoes against running moves that the node has received.
    pub vetoes: Vec<VetoView>,
}

/// Error code of the API.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request lacks a valid token.
    Unauthenticated,
    /// The announcement does not come from the node's own machine.
    NotLocal,
    /// The resource or the path does not exist.
    NotFound,
    /// The request cannot be parsed.
    MalformedRequest,
    /// The request body is longer than allowed.
    TooLarge,
    /// The contract is not valid.
    InvalidContract,
    /// The change is not allowed.
    InvalidChange,
    /// Another change was committed first.
    Conflict,
    /// A move of the service is running.
    MoveRunning,
    /// The move named is not running, or no move is.
    NoSuchMove,
    /// The store cannot be reached; nothing was changed.
    StoreUnavailable,
    /// The change may or may not have been accepted.
    OutcomeUnknown,
}

/// One of the two changes in a conflict.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConflictingChange {
    /// Who made the change.
    pub author: AuditAuthor,
    /// Summary of the change.
    pub summary: String,
    /// Configuration version that contains the change; none if it was rejected.
    pub version: Option<ConfigVersion>,
    /// Time of acceptance, milliseconds since the Unix epoch; none if it was rejected.
    pub at_ms: Option<u64>,
}

/// JSON body of an error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorBody {
    /// Error code.
    pub code: ErrorCode,
    /// Description of the error, in full sentences.
    pub message: String,
    /// In a conflict: the change that was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub yours: Option<Box<ConflictingChange>>,
    /// In a conflict: the change that was committed first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub theirs: Option<Box<ConflictingChange>>,
    /// In a conflict about a contract: its current revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// If the outcome is unknown: the configuration version whose audit record shows whether the change was
    /// accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigVersion>,
    /// Errors found in a contract.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<InputError>,
}
