//! A fleet of node processes with a running move, and callers that send calls until they are stopped.

#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use {
    crate::{
        fleet_fixture::{TestFleet, wait_until, wait_until_within},
        fleet_targets::{
            CALL_CONTRACT, PlacedTarget, all_runs, call_plan, place_target, wait_runs, wait_targets,
        },
    },
    poplarwing::admin_types::{AuditAuthor, AuditEntry, AuditList},
    poplarwing_standins::{
        caller::{CallRecord, run_plan},
        target::script::{FailureKind, FailureRule, TargetScript},
    },
    serde_json::Value,
    std::time::Duration,
    tokio::task::JoinHandle,
    tokio_util::sync::CancellationToken,
};

/// Nodes of the fleet; the targets of the first half run the stable version, the others the candidate.
pub const NODES: usize = 4;

/// Time from the start of a move to its deadline.
pub const FINISH_WITHIN: Duration = Duration::from_secs(105);

/// Timeout for a move to reach a phase or share; far above the deadline of the move.
const PHASE_TIMEOUT: Duration = Duration::from_secs(240);

/// Call rate on each route; a good version needs about 600 calls to be accepted in the canary.
const CALLS_PER_SECOND: f64 = 200.0;

/// Calls on each route in one wave; callers check between waves whether to stop.
const WAVE_CALLS: u64 = 100;

/// Largest number of waves, after which a caller stops in any case.
const MAX_WAVES: u64 = 400;

/// Calls run by the stable version during which an excluded candidate must run none.
const OBSERVED_RUNS: usize = 200;

/// A fleet with a running move, and its callers.
pub struct MoveFleet {
    /// The fleet's nodes and platform.
    pub fleet: TestFleet,
    /// Targets of the stable version.
    pub stable: Vec<PlacedTarget>,
    /// Targets of the candidate.
    pub candidate: Vec<PlacedTarget>,
    stop: CancellationToken,
    callers: Vec<JoinHandle<Vec<CallRecord>>>,
}

/// Returns the script of a healthy target with a realistic spread of latencies.
pub fn healthy_script() -> TargetScript {
    // One random draw per call decides among all rules, so the bounds are cumulative.
    let delays = [(50, 20), (150, 12), (300, 8), (600, 4)];
    let failures = delays.map(|(permille, delay_ms)| FailureRule {
        permille,
        ..FailureRule::always(FailureKind::Delay(delay_ms))
    });
    TargetScript {
        latency_ms: 5,
        failures: failures.into(),
        ..TargetScript::default()
    }
}

impl MoveFleet {
    /// Starts a fleet, callers of two routes, and a move from v1 to v2.
    pub async fn start(candidate_script: TargetScript) -> Self {
        let fleet = TestFleet::start(NODES).await;
        let contract = CALL_CONTRACT.replace("watch_for = 5s", "watch_for = 3s");
        let version = fleet.apply_contract(0, &contract, 0).await;
        fleet.wait_in_force(version).await;
        let (mut stable, mut candidate) = (Vec::new(), Vec::new());
        for node in 0..NODES / 2 {
            stable.push(place_target(&fleet, node, "v1", healthy_script()).await);
            let other = node + NODES / 2;
            candidate.push(place_target(&fleet, other, "v2", candidate_script.clone()).await);
        }
        wait_targets(&fleet, NODES).await;
        let stop = CancellationToken::new();
        let callers = vec![
            spawn_caller(&fleet, "GET", "/read", &stop),
            spawn_caller(&fleet, "GET", "/survey", &stop),
        ];
        wait_runs(&stable, OBSERVED_RUNS).await;
        let moved = Self {
            fleet,
            stable,
            candidate,
            stop,
            callers,
        };
        moved.start_version("v2").await;
        moved
    }

    async fn start_version(&self, version: &str) {
        let body = format!(
            "{{\"customer\":\"kestrel\",\"service\":\"ledger\",\"version\":\"{version}\",\"finish_within_ms\":{}}}",
            FINISH_WITHIN.as_millis()
        );
        let answer = self.fleet.api(0, "POST", "/v1/moves", &body).await;
        let answer = answer.expect("the node answers");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Returns a node's view of the service's versions and move, or null if the node does not answer.
    pub async fn view(&self, node: usize) -> Value {
        let path = "/v1/moves/kestrel/ledger";
        let answer = self.fleet.api(node, "GET", path, "").await;
        answer.map(|answer| answer.body).unwrap_or_default()
    }

    /// Waits until a node reports that the move is in `phase`; fails if the move is taken back instead of done.
    pub async fn wait_phase(&self, node: usize, phase: &str) {
        let what = format!("node {node} reports the move in phase {phase}");
        wait_until_within(&what, PHASE_TIMEOUT, async || {
            let view = self.view(node).await;
            let current = &view["current_move"];
            assert_ne!(
                (current["phase"].as_str(), phase),
                (Some("taken_back"), "done"),
                "{current}"
            );
            view["current_move"]["phase"] == phase
        })
        .await;
    }

    /// Waits until a node reports a candidate share of at least `permille`.
    pub async fn wait_share(&self, node: usize, permille: u64) {
        let what = format!("the candidate has a share of {permille} per mille");
        wait_until_within(&what, PHASE_TIMEOUT, async || {
            let view = self.view(node).await;
            view["candidate_permille"].as_u64() >= Some(permille)
        })
        .await;
    }

    /// Waits until each of `nodes` has stopped calls to the candidate, by a veto or because the move was taken back.
    pub async fn wait_excluded(&self, nodes: &[usize]) {
        for node in nodes {
            let what = format!("node {node} sends no calls to the candidate");
            wait_until(&what, async || {
                let view = self.view(*node).await;
                let taken_back = view["current_move"]["phase"] == "taken_back";
                taken_back || !view["veto"].is_null()
            })
            .await;
        }
    }

    /// Returns the number of calls that the candidate's targets have run.
    pub fn candidate_runs(&self) -> usize {
        all_runs(&self.candidate).len()
    }

    /// Returns the number of calls that the targets of both versions have run.
    pub fn runs(&self) -> usize {
        self.candidate_runs() + all_runs(&self.stable).len()
    }

    /// Waits until the targets of the stable version have run `count` more calls.
    pub async fn wait_stable_runs(&self, count: usize) {
        wait_runs(&self.stable, all_runs(&self.stable).len() + count).await;
    }

    /// Returns how many calls the candidate runs while the stable version runs `OBSERVED_RUNS` calls.
    ///
    /// First waits for a quarter as many stable calls, so that calls already in flight have ended.
    pub async fn candidate_runs_after_exclusion(&self) -> usize {
        self.wait_stable_runs(OBSERVED_RUNS / 4).await;
        let before = self.candidate_runs();
        self.wait_stable_runs(OBSERVED_RUNS).await;
        self.candidate_runs() - before
    }

    /// Returns the first 100 audit records, read through a node.
    pub async fn audit(&self, node: usize) -> Vec<AuditEntry> {
        let path = "/v1/audit?from=1&limit=100";
        let answer = self.fleet.api(node, "GET", path, "").await;
        let body = answer.expect("the node answers").body;
        let list: AuditList = serde_json::from_value(body).expect("audit records");
        list.records
    }

    /// Returns the index of the node whose controller wrote the latest step, read through `node`.
    pub async fn latest_step_writer(&self, node: usize) -> usize {
        let records = self.audit(node).await;
        let latest = records
            .iter()
            .rev()
            .find_map(|record| match &record.author {
                AuditAuthor::Controller(name) => Some(name.clone()),
                AuditAuthor::Operator(_) => None,
            });
        let name = latest.expect("a controller wrote a step");
        let nodes = &self.fleet.nodes;
        let found = (0..nodes.len()).find(|index| nodes.id(*index) == name);
        found.expect("the controller is a node of the fleet")
    }

    /// Stops the callers and returns the records of all their calls.
    pub async fn stop_callers(&mut self) -> Vec<CallRecord> {
        self.stop.cancel();
        let mut records = Vec::new();
        for caller in self.callers.drain(..) {
            records.extend(caller.await.unwrap());
        }
        records
    }
}

fn spawn_caller(
    fleet: &TestFleet,
    method: &str,
    path: &str,
    stop: &CancellationToken,
) -> JoinHandle<Vec<CallRecord>> {
    let plan = call_plan(fleet, method, path, CALLS_PER_SECOND, WAVE_CALLS);
    let stop = stop.clone();
    tokio::spawn(async move {
        let mut records = Vec::new();
        for wave in 0..MAX_WAVES {
            if stop.is_cancelled() {
                break;
            }
            let mut plan = plan.clone();
            plan.id_prefix = format!("{}{wave}-", plan.id_prefix);
            records.extend(run_plan(plan).await.expect("a valid plan"));
        }
        records
    })
}
