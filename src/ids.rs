//! Identifiers shared by all modules.

/// Name of a node, unique in the fleet and stable over restarts.
pub type NodeId = String;

/// Name of a customer, as written in its contract.
pub type CustomerName = String;

/// Name of a service, unique within its customer.
pub type ServiceName = String;

/// Name of one version of a service.
pub type VersionName = String;

/// Name of a route, unique within its service.
pub type RouteName = String;

/// Name of a failure domain.
pub type DomainName = String;

/// Name of an operator, taken from the credentials of a request.
pub type OperatorName = String;

/// Position in the fleet-wide sequence of accepted configurations; 0 means none.
pub type ConfigVersion = u64;

/// Fencing token of a lease; a later holder always has a higher one.
pub type FencingToken = u64;

/// Incarnation of a node; a restarted node starts with a higher one.
pub type Incarnation = u64;
