//! Test nodes on loopback, each with a call server, a forward server and its own tables, and their stand-in targets.

// Each test file uses only some of the fixtures.
#![allow(dead_code)]

use {
    bytes::Bytes,
    http::{HeaderMap, Request, header::HOST},
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    poplarwing::{
        apply_gate::ConfigSource,
        blackboard::Blackboard,
        call_events::{CallEnd, CallHooks, RouteDecision},
        call_proxy::{CallContext, keyed::KeyedHooks, serve_calls},
        config::{
            CallLimits, ConfigResource, ConfigSnapshot, ContractLimit, CustomerSpec, MovePhase,
            MovePolicy, MovePreference, RouteSpec, ServiceKey, ServiceSpec, TrafficSplit,
            VersionMove, VersionedResource,
        },
        forward_server::serve_forwarded_calls,
        membership::{MemberRecord, MemberState},
        settings::{GossipSection, LogSection, NodeSection, NodeSettings, PlatformSection},
        target_client::{LocalTarget, TargetAnnouncementBody},
    },
    poplarwing_standins::target::{StandinTarget, record::CallRun, script::TargetScript},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::JoinHandle, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Time limit for waiting on a condition, far above the time that any of them takes.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Route deadline in tests that do not test deadlines.
pub const LONG_DEADLINE: Duration = Duration::from_secs(25);

/// Drain grace of the test nodes.
pub const TEST_GRACE: Duration = Duration::from_millis(300);

/// Host of the service under test.
pub const HOST_NAME: &str = "yardboard.kestrel.example";

pub fn service_key() -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: "yardboard".to_owned(),
    }
}

pub fn limit(value: u64, line: u32) -> ContractLimit {
    ContractLimit { value, line }
}

pub fn route(name: &str, path: &str, idempotent: bool, keyed: bool) -> RouteSpec {
    RouteSpec {
        name: name.to_owned(),
        path: path.to_owned(),
        methods: Vec::new(),
        idempotent,
        keyed,
        deadline: LONG_DEADLINE,
        deadline_line: 31,
        body_limit: limit(64 * 1024 * 1024, 32),
        limits: CallLimits::default(),
    }
}

/// Customer, service and traffic split under test, which a test may change before it starts nodes with them.
#[derive(Clone)]
pub struct TestConfig {
    pub customer: CustomerSpec,
    pub service: ServiceSpec,
    pub split: TrafficSplit,
}

pub fn test_config() -> TestConfig {
    let policy = MovePolicy {
        prefer: MovePreference::Safety,
        finish_within: Duration::from_secs(600),
        canary_permille: 50,
        watch_for: Duration::from_secs(60),
    };
    TestConfig {
        customer: CustomerSpec {
            customer: "kestrel".to_owned(),
            limits: CallLimits::default(),
        },
        service: ServiceSpec {
            key: service_key(),
            host: HOST_NAME.to_owned(),
            initial_version: "v1".to_owned(),
            limits: CallLimits::default(),
            routes: vec![
                route("jobs", "/jobs", true, false),
                route("signoff", "/signoff", false, false),
                route("order", "/order", false, true),
            ],
            move_policy: policy,
        },
        split: TrafficSplit {
            key: service_key(),
            stable: "v1".to_owned(),
            candidate_permille: 0,
            current_move: None,
        },
    }
}

pub fn running_move(phase: MovePhase) -> VersionMove {
    VersionMove {
        id: 5,
        candidate: "v2".to_owned(),
        previous: "v1".to_owned(),
        phase,
        started_at_ms: 0,
        finish_by_ms: 0,
        reason: String::new(),
    }
}

pub fn snapshot_of(config: &TestConfig) -> ConfigSnapshot {
    let resources: [ConfigResource; 3] = [
        config.customer.clone().into(),
        config.service.clone().into(),
        config.split.clone().into(),
    ];
    let entries = resources.into_iter().map(|resource| {
        let entry = VersionedResource {
            changed_at: 1,
            resource,
        };
        (entry.resource.name(), entry)
    });
    ConfigSnapshot {
        version: 5,
        accepted_at_ms: 0,
        resources: entries.collect(),
    }
}

fn settings(id: &str, domain: &str, call: SocketAddr, forward: SocketAddr) -> NodeSettings {
    NodeSettings {
        node: NodeSection {
            id: id.to_owned(),
            region: "wa-south".to_owned(),
            failure_domain: domain.to_owned(),
            call_address: call,
            forward_address: forward,
            peer_address: forward,
            admin_address: call,
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
            seeds: Vec::new(),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            push_fanout: 4,
            join_quorum: 3,
            join_spread: Duration::ZERO,
        },
        log: LogSection {
            level: "info".to_owned(),
            call_sample_permille: 10,
        },
        operators: BTreeMap::new(),
    }
}

/// One node: its two servers, its tables and the events of its calls.
pub struct TestNode {
    pub id: String,
    pub call_address: SocketAddr,
    pub forward_address: SocketAddr,
    pub board: Arc<Blackboard>,
    pub local_target: Arc<LocalTarget>,
    pub drain: CancellationToken,
    pub servers: Vec<JoinHandle<()>>,
    pub call_ends: Arc<Mutex<Vec<CallEnd>>>,
    pub decisions: Arc<Mutex<Vec<RouteDecision>>>,
}

fn recording_hooks(
    call_ends: &Arc<Mutex<Vec<CallEnd>>>,
    decisions: &Arc<Mutex<Vec<RouteDecision>>>,
) -> CallHooks {
    let (call_ends, decisions) = (call_ends.clone(), decisions.clone());
    CallHooks {
        on_route: Arc::new(move |event| {
            decisions.lock().expect("not poisoned").push(event.clone())
        }),
        on_end: Arc::new(move |event| call_ends.lock().expect("not poisoned").push(event.clone())),
    }
}

pub async fn start_node(id: &str, config: &TestConfig, keyed: Option<KeyedHooks>) -> TestNode {
    let call_listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let forward_listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let call_address = call_listener.local_addr().expect("bound");
    let forward_address = forward_listener.local_addr().expect("bound");
    let board = Arc::new(Blackboard::default());
    board.gate.set_floor(0);
    let offered = board
        .gate
        .try_apply(snapshot_of(config), &ConfigSource::Store);
    offered.expect("the configuration is valid");
    let local_target = Arc::new(LocalTarget::default());
    let call_ends = Arc::new(Mutex::new(Vec::new()));
    let decisions = Arc::new(Mutex::new(Vec::new()));
    let settings = settings(id, "welshpool", call_address, forward_address);
    let mut context = CallContext::new(
        Arc::new(settings),
        board.clone(),
        local_target.clone(),
        keyed,
        recording_hooks(&call_ends, &decisions),
    );
    context.drain_grace = TEST_GRACE;
    let context = Arc::new(context);
    let drain = CancellationToken::new();
    let servers = vec![
        tokio::spawn(serve_calls(call_listener, context.clone(), drain.clone())),
        tokio::spawn(serve_forwarded_calls(
            forward_listener,
            context,
            drain.clone(),
        )),
    ];
    TestNode {
        id: id.to_owned(),
        call_address,
        forward_address,
        board,
        local_target,
        drain,
        servers,
        call_ends,
        decisions,
    }
}

impl TestNode {
    /// Returns the membership record of this node, as other nodes receive it by gossip.
    pub fn record(&self, sequence: u64) -> MemberRecord {
        MemberRecord {
            node: self.id.clone(),
            incarnation: 1,
            sequence,
            state: MemberState::Alive,
            domain: "welshpool".to_owned(),
            peer_address: self.forward_address,
            forward_address: self.forward_address,
            target: self.local_target.record(),
            applied_version: 5,
        }
    }

    /// Starts a target of version `version` and announces it to the node.
    pub async fn add_target(&self, version: &str, script: TargetScript) -> StandinTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let announced = announcement(version, &script, listener.local_addr().expect("bound"));
        let target = StandinTarget::start(listener, script).expect("bound");
        self.local_target.announce(announced, Instant::now());
        target
    }

    pub async fn wait_until_drained(self) {
        for server in self.servers {
            server.await.expect("the server does not panic");
        }
    }

    pub fn call_ends(&self) -> Vec<CallEnd> {
        self.call_ends.lock().expect("not poisoned").clone()
    }

    pub fn decisions(&self) -> Vec<RouteDecision> {
        self.decisions.lock().expect("not poisoned").clone()
    }
}

pub fn announcement(
    version: &str,
    script: &TargetScript,
    address: SocketAddr,
) -> TargetAnnouncementBody {
    TargetAnnouncementBody {
        customer: "kestrel".to_owned(),
        service: "yardboard".to_owned(),
        version: version.to_owned(),
        address,
        slots: script.slots,
        connections: script.connections,
        draining: script.draining,
        in_flight: None,
    }
}

/// Adds the records of all nodes to the membership table of each, as gossip would.
pub fn share_membership(nodes: &[&TestNode], sequence: u64) {
    for node in nodes {
        let mut members = node.board.members.lock();
        for other in nodes {
            members.merge(other.record(sequence));
        }
    }
}

pub type TestClient = Client<HttpConnector, UnsyncBoxBody<Bytes, std::io::Error>>;

pub fn client() -> TestClient {
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http()
}

pub fn whole_body(body: impl Into<Bytes>) -> UnsyncBoxBody<Bytes, std::io::Error> {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a request to the service under test; `id` identifies the call at the targets.
pub fn request(
    node: &TestNode,
    method: &str,
    path: &str,
    id: &str,
    body: UnsyncBoxBody<Bytes, std::io::Error>,
) -> Request<UnsyncBoxBody<Bytes, std::io::Error>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", node.call_address))
        .header(HOST, HOST_NAME)
        .header("x-call-id", id)
        .body(body)
        .expect("a valid request")
}

/// Response as received by a caller.
#[derive(Debug)]
pub struct TestResponse {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Result<Bytes, String>,
}

impl TestResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub fn outcome(&self) -> Option<&str> {
        self.header("poplarwing-outcome")
    }

    pub fn reason(&self) -> Option<&str> {
        self.header("poplarwing-reason")
    }

    pub fn contract_line(&self) -> Option<&str> {
        self.header("poplarwing-contract-line")
    }
}

pub async fn exchange(
    client: &TestClient,
    request: Request<UnsyncBoxBody<Bytes, std::io::Error>>,
) -> TestResponse {
    let response = client
        .request(request)
        .await
        .expect("a response head arrives");
    let (head, body) = response.into_parts();
    let body = body.collect().await;
    TestResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body: body
            .map(|body| body.to_bytes())
            .map_err(|cause| cause.to_string()),
    }
}

pub async fn call(node: &TestNode, method: &str, path: &str, id: &str, body: &str) -> TestResponse {
    let body = whole_body(body.to_owned());
    exchange(&client(), request(node, method, path, id, body)).await
}

/// Waits until a condition holds; fails the test after `WAIT_LIMIT`.
pub async fn wait_until(condition_name: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "not within {WAIT_LIMIT:?}: {condition_name}"
        );
        sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the runs of one call at any of the targets.
pub fn runs_of(targets: &[&StandinTarget], id: &str) -> Vec<CallRun> {
    let runs = targets.iter().flat_map(|target| target.book().runs_of(id));
    runs.collect()
}
