//! Settings of a node that reads its configuration from the platform's store.

use {
    crate::{
        client_limits::ClientLimits,
        config::ServiceKey,
        settings::{GossipSection, LogSection, NodeSection},
    },
    http::HeaderName,
    std::{net::SocketAddr, time::Duration},
};

/// Validated settings of a node.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Name, failure domain and listening addresses of the node.
    pub node: NodeSection,
    /// Gossip with the peers.
    pub gossip: GossipSection,
    /// Log level and sampling.
    pub log: LogSection,
    /// Address at which the readiness check is served.
    pub ready_address: SocketAddr,
    /// Address at which the metrics are served.
    pub metrics_address: SocketAddr,
    /// Address of the target beside the node.
    pub target_address: SocketAddr,
    /// Service of the target beside the node; it is the caller's name of all calls that callers send to this node.
    pub service: ServiceKey,
    /// Whether the whole fleet starts for the first time, so that no node has peers, a configuration or calls yet.
    pub first_start: bool,
    /// Time between two heartbeats of the target.
    pub heartbeat: Duration,
    /// Memory that the bodies of requests and responses may take together, in bytes.
    pub body_memory: usize,
    /// Limits of the connections of clients together.
    pub clients: ClientLimits,
    /// Limits that the operator sets for the whole fleet.
    pub bounds: MeshBounds,
    /// Share of a service's calls that may be sent to a second target because they are slow for their route; 0 turns
    /// these hedges off.
    pub hedge_share: f64,
    /// Names of the headers that callers and targets use.
    pub headers: CallHeaders,
}

/// Limits that the operator sets for the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MeshBounds {
    /// Grace period: time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Retries allowed per call, over the whole fleet.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Further retries of a service that are allowed in each window, over the whole fleet.
    pub retry_extra: f64,
    /// Share of a service's calls that a bad version may receive during its move, over the whole fleet.
    pub exposure_share: f64,
    /// Calls that a bad version may receive in addition to that share, over the whole fleet.
    pub exposure_slack: f64,
    /// Limits of the calls to a cold target.
    pub warmup: WarmupBounds,
    /// Limits of how far client accounts may exceed their usage caps.
    pub cap: CapBounds,
    /// What a node does with the keys of client accounts while it may have missed that one was withdrawn.
    pub key: KeyBounds,
}

/// How far the calls to a cold target may exceed its `WarmupLimit`: in any second at most the rate times `overage`,
/// plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupBounds {
    /// Factor of the rate.
    pub overage: f64,
    /// Calls allowed in addition.
    pub slack: f64,
}

/// How far the calls of a client account may exceed its `UsageCap`: in any window at most what the cap allows times
/// (1 + `overage`), plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapBounds {
    /// Window over which the calls are counted.
    pub window: Duration,
    /// Fraction of what the cap allows that may come in addition.
    pub overage: f64,
    /// Calls allowed in addition.
    pub slack: f64,
}

/// What a node does with the keys of client accounts while it may have missed that one was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyBounds {
    /// Whether a node refuses calls with keys once it has been out of touch with the store for `revocation_time`.
    pub strict: bool,
    /// Time within which a withdrawn key must be refused everywhere.
    pub revocation_time: Duration,
}

/// Names of the headers that callers and targets use.
#[derive(Clone, Debug)]
pub struct CallHeaders {
    /// Identifier of one attempt of a caller; the target echoes it.
    pub call_id: HeaderName,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Signature of a response, made by the target; a response without one is not from the target.
    pub signature: HeaderName,
    /// Instance that answers a health check.
    pub instance: HeaderName,
    /// Target instance that a request is meant for.
    pub expected_instance: HeaderName,
    /// Set on a response if the target did not run the request.
    pub not_run: HeaderName,
    /// Warm-up time left in milliseconds, in the response to a health check.
    pub warmup: HeaderName,
    /// Service that makes the call.
    pub caller: HeaderName,
    /// Key of a client account, sent by callers; targets never receive it.
    pub account_key: HeaderName,
    /// Client account that makes the call, as targets receive it.
    pub account: HeaderName,
    /// Load of the target on its responses: running calls, waiting calls, slots, and present service time in percent of
    /// the usual one.
    pub load: HeaderName,
}
