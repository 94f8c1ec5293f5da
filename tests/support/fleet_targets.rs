//! Stand-in targets that announce themselves to nodes of a fleet, and call plans.

#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use {
    crate::fleet_fixture::{POLL, TestFleet, WAIT_TIMEOUT, wait_until},
    poplarwing_standins::{
        caller::{CallRecord, CallerPlan, run_plan},
        target::{
            StandinTarget, TargetIdentity,
            record::{CallRun, CallStage},
            script::{FailureKind, FailureRule, TargetScript},
        },
    },
    std::{sync::Arc, time::Instant},
    tokio::{net::TcpListener, task::JoinHandle, time::sleep},
};

/// A contract with routes of every kind: idempotent, keyed, and neither.
pub const CALL_CONTRACT: &str = "\
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

[route ledger survey]
path = /survey
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

[route ledger order]
path = /order
methods = POST
deadline = 5s
body_limit = 1MiB

[route ledger upload]
path = /upload
methods = POST
deadline = 60s
body_limit = 64MiB

[move ledger]
prefer = safety
finish_within = 2m
canary_share = 10%
watch_for = 5s
";

/// Host of the service in [`CALL_CONTRACT`].
pub const HOST: &str = "ledger.kestrel.example";

/// Size of the request body in a call plan, in bytes.
const SMALL_BODY: usize = 200;

/// A stand-in target and the node that it announces itself to.
pub struct PlacedTarget {
    /// Target, also held by its announcer task.
    pub target: Arc<StandinTarget>,
    /// Index of the node.
    pub node: usize,
}

/// Starts a target and announces it to a node.
pub async fn place_target(
    fleet: &TestFleet,
    node: usize,
    version: &str,
    script: TargetScript,
) -> PlacedTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = Arc::new(StandinTarget::start(listener, script).expect("a bound socket"));
    let identity = TargetIdentity {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
        version: version.to_owned(),
    };
    let admin = fleet.nodes.addresses(node).admin;
    let announcer = target.clone();
    tokio::spawn(async move { announcer.announce(admin, identity).await });
    PlacedTarget { target, node }
}

/// Waits until every running node lists exactly this many targets.
pub async fn wait_targets(fleet: &TestFleet, count: usize) {
    for index in 0..fleet.nodes.len() {
        if fleet.nodes.process_id(index).is_some() {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            while count_live_targets(fleet, index).await != count {
                let status = fleet.status(index).await;
                assert!(
                    Instant::now() < deadline,
                    "node {index} does not list {count} targets within {WAIT_TIMEOUT:?}: {status:?}"
                );
                sleep(POLL).await;
            }
        }
    }
}

/// Returns the number of targets of live members in the status of a node; 0 if it is unreachable.
pub async fn count_live_targets(fleet: &TestFleet, index: usize) -> usize {
    let Some(status) = fleet.status(index).await else {
        return 0;
    };
    let members = status["members"].as_array().cloned().unwrap_or_default();
    members
        .iter()
        .filter(|member| member["state"] == "alive" && !member["target"].is_null())
        .count()
}

/// Returns the calls that all targets have recorded (runs).
pub fn all_runs(targets: &[PlacedTarget]) -> Vec<CallRun> {
    targets
        .iter()
        .flat_map(|placed| placed.target.book().runs())
        .collect()
}

/// Waits until the targets together have recorded this many calls.
pub async fn wait_runs(targets: &[PlacedTarget], count: usize) {
    let what = format!("the targets have recorded {count} calls");
    wait_until(&what, async || all_runs(targets).len() >= count).await;
}

/// Waits until no target has a call in progress.
pub async fn wait_idle(targets: &[PlacedTarget]) {
    wait_until("no target has a call in progress", async || {
        all_runs(targets)
            .iter()
            .all(|run| !matches!(run.stage, CallStage::Begun | CallStage::Received))
    })
    .await;
}

/// Returns a script that closes connections at each of four steps of a call, at each step for
/// `step_permille` of the calls.
pub fn breaking_script(step_permille: u32, seed: u64) -> TargetScript {
    let kinds = [
        FailureKind::CloseBeforeBody,
        FailureKind::CloseInBody,
        FailureKind::CloseBeforeHead,
        FailureKind::CloseInAnswer,
    ];
    // The rules share one random draw per call and the first match applies, so their bounds accumulate.
    let failures = (1..).zip(kinds).map(|(number, kind)| FailureRule {
        permille: step_permille * number,
        ..FailureRule::always(kind)
    });
    TargetScript {
        latency_ms: 2,
        answer_bytes: 1000,
        failures: failures.collect(),
        seed,
        ..TargetScript::default()
    }
}

/// Returns a plan of calls with small bodies through all nodes in turn; ids begin with the path.
pub fn call_plan(fleet: &TestFleet, method: &str, path: &str, rate: f64, count: u64) -> CallerPlan {
    let nodes = 0..fleet.nodes.len();
    CallerPlan {
        nodes: nodes
            .map(|index| fleet.nodes.addresses(index).call)
            .collect(),
        host: HOST.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        rate,
        count,
        concurrency: 256,
        body_bytes: if method == "GET" { 0 } else { SMALL_BODY },
        timeout_ms: None,
        key_prefix: None,
        id_prefix: format!("{}-", path.trim_start_matches('/')),
    }
}

/// Starts a caller in the background.
pub fn spawn_plan(plan: CallerPlan) -> JoinHandle<Vec<CallRecord>> {
    tokio::spawn(async move { run_plan(plan).await.expect("a valid plan") })
}
