//! A fleet of real node processes; the platform stand-in runs in the test process.

#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use {
    http_body_util::{BodyExt, Full},
    hyper::{Request, body::Bytes},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    poplarwing_standins::{
        fleet::{FleetPlan, NodeFleet, OPERATOR_TOKEN},
        platform::PlatformStandin,
    },
    serde_json::Value,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Time after which a condition that does not hold fails the test; far above the expected times.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
pub const POLL: Duration = Duration::from_millis(50);

/// A contract (the configuration that a customer applies) with one service.
pub const CONTRACT: &str = "\
[customer]
name = kestrel

[service ledger]
host = ledger.kestrel.example
initial_version = v1

[route ledger read]
path = /read
methods = GET
idempotent = true
deadline = 5s
body_limit = 0B

[route ledger record]
path = /record
methods = POST
keyed = true
deadline = 10s
body_limit = 16MiB

[move ledger]
prefer = safety
finish_within = 2m
canary_share = 10%
watch_for = 5s
";

/// Waits until a condition holds; fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    wait_until_within(what, WAIT_TIMEOUT, condition).await;
}

/// Waits until a condition holds; fails the test after `limit`.
pub async fn wait_until_within(what: &str, limit: Duration, condition: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "condition not met within {limit:?}: {what}"
        );
        sleep(POLL).await;
    }
}

/// A response of the admin API.
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// JSON body; null if it is not JSON.
    pub body: Value,
    /// Body as text.
    pub text: String,
}

/// Client of the admin API; clones share connections.
#[derive(Clone)]
pub struct ApiClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl ApiClient {
    /// Sends a request to an admin address; none if no response is received.
    pub async fn send(
        &self,
        admin: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<ApiResponse> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{admin}{path}"))
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a valid request");
        let answer = timeout(WAIT_TIMEOUT, self.client.request(request)).await;
        let answer = answer.ok()?.ok()?;
        let status = answer.status().as_u16();
        let content = answer.into_body().collect().await.ok()?.to_bytes();
        Some(ApiResponse {
            status,
            body: serde_json::from_slice(&content).unwrap_or(Value::Null),
            text: String::from_utf8_lossy(&content).into_owned(),
        })
    }
}

/// Node processes with their platform stand-in and a client.
pub struct TestFleet {
    /// Node processes.
    pub nodes: NodeFleet,
    /// Platform stand-in that the nodes use as store.
    pub platform: PlatformStandin,
    /// Client of the admin API.
    pub client: ApiClient,
}

impl TestFleet {
    /// Starts a platform stand-in and `count` nodes in two failure domains, and waits until all nodes answer
    /// status requests.
    pub async fn start(count: usize) -> Self {
        let platform = PlatformStandin::start(([127, 0, 0, 1], 0).into())
            .await
            .expect("a free port");
        let plan = FleetPlan {
            binary: env!("CARGO_BIN_EXE_poplarwingd").into(),
            domains: vec!["welshpool".to_owned(), "bunbury".to_owned()],
            nodes: count,
            platform: platform.address(),
            log_level: "info".to_owned(),
            join_spread: Duration::from_millis(200),
        };
        let mut nodes = NodeFleet::new(&plan).expect("free loopback addresses");
        nodes.start_all().expect("the daemon was built");
        let fleet = Self {
            nodes,
            platform,
            client: ApiClient {
                client: Client::builder(TokioExecutor::new()).build_http(),
            },
        };
        for index in 0..count {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            while fleet.status(index).await.is_none() {
                let log = fleet.nodes.log(index);
                assert!(
                    Instant::now() < deadline,
                    "node {index} did not answer a status request within {WAIT_TIMEOUT:?}; its log: {log}"
                );
                sleep(POLL).await;
            }
        }
        fleet
    }

    /// Sends a request to a node's admin API; none if no response is received.
    pub async fn api(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<ApiResponse> {
        let admin = self.nodes.addresses(index).admin;
        self.client.send(admin, method, path, body).await
    }

    /// Returns the body of `GET /v1/status`, or none if the node is unreachable or reports an error.
    pub async fn status(&self, index: usize) -> Option<Value> {
        let answer = self.api(index, "GET", "/v1/status", "").await?;
        (answer.status == 200).then_some(answer.body)
    }

    /// Returns the configuration version that a node has in force.
    pub async fn version_of(&self, index: usize) -> Option<u64> {
        self.status(index).await?.get("version")?.as_u64()
    }

    /// Applies a contract through a node and returns the configuration version that contains it.
    ///
    /// `revision` is the expected revision of the current contract; 0 if there is none.
    pub async fn apply_contract(&self, index: usize, text: &str, revision: u64) -> u64 {
        let path = format!("/v1/contracts/kestrel?expect={revision}");
        let answer = self
            .api(index, "PUT", &path, text)
            .await
            .expect("the node answers");
        assert_eq!(answer.status, 200, "{}", answer.body);
        answer.body["version"].as_u64().expect("a version")
    }

    /// Waits until every node has this configuration version, or a newer one, in force.
    pub async fn wait_in_force(&self, version: u64) {
        for index in 0..self.nodes.len() {
            let what = format!("version {version} is in force on node {index}");
            wait_until(&what, async || {
                self.version_of(index).await >= Some(version)
            })
            .await;
        }
    }
}
