//! In-process nodes on loopback for tests of configuration synchronisation and of joining the fleet.

use {
    poplarwing::{
        apply_gate::ConfigSource,
        blackboard::Blackboard,
        config::{
            CallLimits, ConfigResource, ConfigSnapshot, ContractLimit, CustomerSpec,
            VersionedResource,
        },
        config_sync::serve_sync,
        gossip::GossipNode,
        settings::{GossipSection, LogSection, NodeSection, NodeSettings, PlatformSection},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::{TcpListener, UdpSocket},
    tokio_util::sync::CancellationToken,
};

/// Time after which a condition that does not hold fails the test; far above the expected times.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Size in bytes of the customer name in a large configuration, which contains the name twice.
const LARGE_BYTES: usize = 3 << 20;

/// A node that serves configuration to peers on loopback; dropping it stops the node.
pub struct TestNode {
    pub settings: Arc<NodeSettings>,
    pub board: Arc<Blackboard>,
    pub gossip: GossipNode,
    pub address: SocketAddr,
    pub cancel: CancellationToken,
    socket: Option<UdpSocket>,
}

impl TestNode {
    /// Starts a node that serves configuration but does not gossip yet and has no version in force.
    pub async fn start(name: &str, seeds: &[SocketAddr], incarnation: u64) -> TestNode {
        let (listener, socket) = bind_tcp_and_udp().await;
        let address = listener.local_addr().expect("bound");
        let settings = Arc::new(settings(name, address, seeds));
        let board = Arc::new(Blackboard::default());
        let gossip = GossipNode::new(settings.clone(), board.clone(), incarnation);
        let cancel = CancellationToken::new();
        tokio::spawn(serve_sync(
            listener,
            gossip.clone(),
            board.clone(),
            cancel.clone(),
        ));
        TestNode {
            settings,
            board,
            gossip,
            address,
            cancel,
            socket: Some(socket),
        }
    }

    /// Starts a node that has a configuration version in force.
    pub async fn start_at(name: &str, seeds: &[SocketAddr], version: u64) -> TestNode {
        let node = Self::start(name, seeds, 1).await;
        node.board.gate.set_floor(0);
        node.apply(version);
        node
    }

    /// Starts gossip; may be called once.
    pub fn run_gossip(&mut self) {
        let socket = self.socket.take().expect("run_gossip is called once");
        tokio::spawn(self.gossip.clone().run(socket, self.cancel.clone()));
    }

    /// Puts the [`snapshot`] of a version in force.
    pub fn apply(&self, version: u64) {
        let result = self
            .board
            .gate
            .try_apply(snapshot(version), &ConfigSource::Store);
        result.expect("the version is newer");
    }

    /// Puts a version in force whose encoded size exceeds the buffers of a connection.
    pub fn apply_large(&self, version: u64) {
        let resource = ConfigResource::Customer(CustomerSpec {
            customer: "x".repeat(LARGE_BYTES),
            limits: CallLimits::default(),
        });
        let mut large = snapshot(version);
        let entry = VersionedResource {
            changed_at: version,
            resource,
        };
        large.resources.insert(entry.resource.name(), entry);
        let result = self.board.gate.try_apply(large, &ConfigSource::Store);
        result.expect("the version is newer");
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Binds TCP and UDP to the same port; retries with another port while other tests use the UDP one.
async fn bind_tcp_and_udp() -> (TcpListener, UdpSocket) {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("bound");
        if let Ok(socket) = UdpSocket::bind(address).await {
            return (listener, socket);
        }
    }
}

/// Returns the configuration of a version: each version changes one of four customers, and every seventh
/// omits the last customer.
pub fn snapshot(version: u64) -> ConfigSnapshot {
    let mut resources = BTreeMap::new();
    for customer in 0..4_u64 {
        if version.is_multiple_of(7) && customer == 3 {
            continue;
        }
        let changed_at = version - (version + 4 - customer) % 4;
        let limit = ContractLimit {
            value: changed_at,
            line: 1,
        };
        let resource = ConfigResource::Customer(CustomerSpec {
            customer: format!("customer-{customer}"),
            limits: CallLimits {
                rate: Some(limit),
                concurrency: None,
            },
        });
        let entry = VersionedResource {
            changed_at,
            resource,
        };
        resources.insert(entry.resource.name(), entry);
    }
    ConfigSnapshot {
        version,
        accepted_at_ms: 0,
        resources,
    }
}

/// Returns the settings of a node that uses one address for everything.
pub fn settings(name: &str, address: SocketAddr, seeds: &[SocketAddr]) -> NodeSettings {
    NodeSettings {
        node: NodeSection {
            id: name.to_owned(),
            region: "wa-south".to_owned(),
            failure_domain: "bunbury".to_owned(),
            call_address: address,
            forward_address: address,
            peer_address: address,
            admin_address: address,
        },
        platform: PlatformSection {
            table_endpoint: String::new(),
            table: String::new(),
            object_endpoint: String::new(),
            bucket: String::new(),
            signing_region: String::new(),
            access_key_id: String::new(),
            secret_access_key: String::new(),
            request_timeout: Duration::from_secs(2),
            key_writes_per_second: 20,
        },
        gossip: GossipSection {
            seeds: seeds.to_vec(),
            probe_interval: Duration::from_millis(100),
            probe_timeout: Duration::from_millis(30),
            push_fanout: 4,
            join_quorum: 3,
            join_spread: Duration::ZERO,
        },
        log: LogSection {
            level: "info".to_owned(),
            call_sample_permille: 0,
        },
        operators: BTreeMap::new(),
    }
}

/// Waits until a condition holds; fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_for(what: &str, is_met: impl Fn() -> bool) {
    let waiting = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(
        waiting.await.is_ok(),
        "condition not met within {WAIT_TIMEOUT:?}: {what}"
    );
}
