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

/// Request to start a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRequest {
    /// Customer that owns the service.
    pub customer: CustomerName,
    /// Service whose version is to change.
    pub service: ServiceName,
    /// Version that is to take over.
    pub version: VersionName,
    /// Time within which it must have taken over; none means that of the contract.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_within_ms: Option<u64>,
}

/// Answer to an accepted contract.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractAccepted {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Revision of the contract in force.
    pub revision: u64,
    /// Configuration version that holds it.
    pub version: ConfigVersion,
    /// Whether the text was in force already, so that nothing changed.
    pub unchanged: bool,
    /// What the contract changed.
    pub differences: Vec<ContractDifference>,
}

/// Contract in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractBody {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Revision, counted from 1.
    pub revision: u64,
    /// Text as it was applied.
    pub text: String,
}

/// Answer to an accepted start or cancellation of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveAccepted {
    /// Service whose versions move.
    pub key: ServiceKey,
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Configuration version that holds the change.
    pub version: ConfigVersion,
}

/// State of the versions of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveView {
    /// Service.
    pub key: ServiceKey,
    /// Version that receives all calls that the candidate does not.
    pub stable: VersionName,
    /// Share of the candidate, in per mille.
    pub candidate_permille: u32,
    /// The latest move, running or ended.
    pub current_move: Option<VersionMove>,
    /// Veto against the candidate as this node knows it.
    pub veto: Option<VetoView>,
    /// Rules for moves in force.
    pub policy: MovePolicy,
    /// Service with its limits and their contract lines.
    pub service: ServiceSpec,
    /// Configuration versions that last changed the service's resources.
    pub changes: Vec<ResourceChange>,
    /// Configuration version that the view was taken from.
    pub as_of: ConfigVersion,
}

/// Configuration version that last changed a resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceChange {
    /// Name of the resource.
    pub name: ResourceName,
    /// Configuration version that last changed it.
    pub changed_at: ConfigVersion,
}

/// A veto as a node knows it.
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
    /// Configuration version that the list was taken from.
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
    /// The controller of a move, on this node.
    #[display("controller on node {_0}")]
    Controller(NodeId),
}

/// Contract that a change applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractReference {
    /// Customer of the contract.
    pub customer: CustomerName,
    /// Revision that the change made.
    pub revision: u64,
}

/// Record of one accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// Configuration version that the change made.
    pub version: ConfigVersion,
    /// Configuration version before.
    pub previous: ConfigVersion,
    /// Time of the change, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who made the change.
    pub author: AuditAuthor,
    /// What was changed, with the contract lines.
    pub summary: String,
    /// Contract that the change applied.
    pub contract: Option<ContractReference>,
    /// Resources added or changed.
    pub changed: Vec<ConfigResource>,
    /// Names of resources removed.
    pub removed: Vec<ResourceName>,
}

impl AuditEntry {
    /// Returns whether the change concerned a resource.
    pub fn concerns(&self, name: &str) -> bool {
        let changed = self.changed.iter().any(|resource| resource.name() == name);
        changed || self.removed.iter().any(|removed| removed == name)
    }
}

/// Audit records, oldest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AuditList {
    /// The records.
    pub records: Vec<AuditEntry>,
    /// Version to ask from for more records; none at the end.
    pub next: Option<ConfigVersion>,
}

/// Changes of one contract, newest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractHistory {
    /// The records.
    pub records: Vec<AuditEntry>,
    /// Version below which older records may exist; none if all were looked through.
    pub before: Option<ConfigVersion>,
}

/// A node as another node sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MemberView {
    /// Name of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// State.
    pub state: MemberState,
    /// Configuration version that the node last reported in force.
    pub applied_version: ConfigVersion,
    /// Target beside the node.
    pub target: Option<TargetRecord>,
}

/// What a node says about itself and the fleet.
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
    /// Whether the node routes calls.
    pub ready: bool,
    /// All nodes that the node knows, by name.
    pub members: Vec<MemberView>,
    /// Vetoes against running moves.
    pub vetoes: Vec<VetoView>,
}

/// Code of an error of the API.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request lacks a valid token.
    Unauthenticated,
    /// The announcement does not come from the node's own machine.
    NotLocal,
    /// There is no such resource or path.
    NotFound,
    /// The request cannot be read.
    MalformedRequest,
    /// The body is longer than allowed.
    TooLarge,
    /// The contract is faulty.
    InvalidContract,
    /// The change is not allowed.
    InvalidChange,
    /// Another change came first.
    Conflict,
    /// A move of the service is running.
    MoveRunning,
    /// No move, or not the one named, is running.
    NoSuchMove,
    /// The store cannot be reached; nothing was changed.
    StoreUnavailable,
    /// The change may or may not have been accepted.
    OutcomeUnknown,
}

/// One of two changes in a conflict.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeNote {
    /// Who made the change.
    pub author: AuditAuthor,
    /// What the change does.
    pub summary: String,
    /// Configuration version that accepted it; none if it was not accepted.
    pub version: Option<ConfigVersion>,
    /// Time of its acceptance, milliseconds since the Unix epoch.
    pub at_ms: Option<u64>,
}

/// Body of an error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorBody {
    /// Kind of error.
    pub code: ErrorCode,
    /// What went wrong, in full sentences.
    pub message: String,
    /// The change that was refused, in a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub yours: Option<Box<ChangeNote>>,
    /// The change that came first, in a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub theirs: Option<Box<ChangeNote>>,
    /// Revision of the contract in force, in a conflict about a contract.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Configuration version whose audit record tells an unknown outcome.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigVersion>,
    /// Faults of a contract.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<InputError>,
}
