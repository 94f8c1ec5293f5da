//! Settings of a node that takes its configuration from the platform's store.

use {
    crate::{
        config::ServiceKey,
        settings::{GossipSection, LogSection, NodeSection},
    },
    http::HeaderName,
    std::{net::SocketAddr, time::Duration},
};

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Who the node is and where it listens.
    pub node: NodeSection,
    /// How the node speaks with its peers.
    pub gossip: GossipSection,
    /// What the node logs.
    pub log: LogSection,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Address of the target beside the node.
    pub target_address: SocketAddr,
    /// Service of the target beside the node; calls that begin here are made in its name.
    pub service: ServiceKey,
    /// Time between two heartbeats of the target.
    pub heartbeat: Duration,
    /// What the operator promises its callers.
    pub bounds: MeshBounds,
    /// Names of the headers that callers and targets use.
    pub headers: CallHeaders,
}

/// Bounds that the operator sets for the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MeshBounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Repeats allowed per call, over the whole fleet.
    pub retry_ratio: f64,
    /// Window over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats of a service allowed in each window beside the ratio, over the whole fleet.
    pub retry_extra: f64,
}

/// Names of the headers that callers and targets use.
#[derive(Clone, Debug)]
pub struct CallHeaders {
    /// Identifier of one attempt of a caller.
    pub call_id: HeaderName,
    /// Remaining deadline in milliseconds.
    pub deadline: HeaderName,
    /// Signature of an answer, made by the target.
    pub signature: HeaderName,
    /// Instance that a request is meant for.
    pub expected_instance: HeaderName,
    /// Says that the target did not run the request.
    pub not_run: HeaderName,
    /// Service that made a call.
    pub caller: HeaderName,
}
