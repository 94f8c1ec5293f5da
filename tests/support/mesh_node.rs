//! State of a mesh node without sockets and tasks.

use {
    http::HeaderName,
    poplarwing::{
        blackboard::Blackboard,
        client_limits::ClientLimits,
        config::ServiceKey,
        gossip::GossipNode,
        mesh::{
            context::MeshContext,
            settings::{CallHeaders, CapBounds, KeyBounds, MeshBounds, MeshSettings, WarmupBounds},
        },
        node_metrics::NodeMetrics,
        settings::{GossipSection, LogSection, NodeSection},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Returns the state of a node that has just started, with no target and no peers.
pub fn context(node: &str, domain: &str) -> MeshContext {
    let settings = Arc::new(settings(node, domain));
    let board = Arc::new(Blackboard::default());
    let gossip = GossipNode::with_sections(&settings.node, &settings.gossip, board.clone(), 1);
    let metrics = NodeMetrics::new().expect("metrics");
    MeshContext::new(settings, board, gossip, metrics)
}

/// Returns the service of the target beside the node.
pub fn key() -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
    }
}

fn settings(node: &str, domain: &str) -> MeshSettings {
    let address: SocketAddr = "127.0.0.1:9000".parse().expect("address");
    let gossip = GossipSection {
        seeds: Vec::new(),
        probe_interval: Duration::from_millis(500),
        probe_timeout: Duration::from_millis(200),
        push_fanout: 4,
        join_quorum: 1,
        join_spread: Duration::ZERO,
    };
    let header = HeaderName::from_static;
    MeshSettings {
        node: NodeSection {
            id: node.to_owned(),
            region: "wa-south".to_owned(),
            failure_domain: domain.to_owned(),
            call_address: address,
            forward_address: address,
            peer_address: address,
            admin_address: address,
        },
        gossip,
        log: LogSection {
            level: "info".to_owned(),
            call_sample_permille: 0,
        },
        ready_address: address,
        metrics_address: address,
        target_address: address,
        service: key(),
        first_start: false,
        heartbeat: Duration::from_millis(1500),
        body_memory: 1 << 20,
        clients: ClientLimits::of_process(64 << 20, 4100),
        bounds: MeshBounds {
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_extra: 64.0,
            exposure_share: 0.1,
            exposure_slack: 50.0,
            warmup: WarmupBounds {
                overage: 1.5,
                slack: 8.0,
            },
            cap: CapBounds {
                window: Duration::from_secs(5),
                overage: 0.1,
                slack: 20.0,
            },
            key: KeyBounds {
                strict: false,
                revocation_time: Duration::from_secs(5),
            },
        },
        hedge_share: 0.0,
        headers: CallHeaders {
            call_id: header("x-call-id"),
            deadline: header("x-deadline"),
            signature: header("x-signature"),
            instance: header("x-own-instance"),
            expected_instance: header("x-instance"),
            not_run: header("x-not-run"),
            warmup: header("x-warmup"),
            caller: header("x-caller"),
            account_key: header("x-account-key"),
            account: header("x-account"),
            load: header("x-load"),
        },
    }
}
