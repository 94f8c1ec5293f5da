//! Identifiers shared by all modules.

/// Name of a node, unique in the fleet and stable over restarts.
pub type NodeId = String;

/// Name of a customer, as set in its contract.
pub type CustomerName = String;

/// Name of a client account, in whose name callers send calls; unique in the configuration.
pub type AccountName = String;

/// Name of a service, unique within its customer.
pub type ServiceName = String;

/// Name of a version of a service, such as `v1`.
pub type VersionName = String;

/// Name of a route, unique within its service; for a route without a contract, unique in the configuration.
pub type RouteName = String;

/// Name of a failure domain, a part of a region whose nodes may fail together.
pub type DomainName = String;

/// Name of an operator, taken from the access token of a request.
pub type OperatorName = String;

/// Position in the fleet-wide sequence of accepted configurations; 0 means none.
pub type ConfigVersion = u64;

/// Fencing token of a lease; each later holder gets a higher one.
pub type FencingToken = u64;

/// Incarnation of a node in gossip; a restarted node starts with a higher one.
pub type Incarnation = u64;
