//! Calls without idempotency keys while targets fail, nodes die or freeze, or the store is down.

#[path = "support/call_history.rs"]
mod call_history;
#[path = "support/fleet_fixture.rs"]
mod fleet_fixture;
#[path = "support/fleet_targets.rs"]
mod fleet_targets;

use {
    call_history::{assert_outcomes_match_runs, assert_run_at_most_once, count_successes},
    fleet_fixture::TestFleet,
    fleet_targets::{
        CALL_CONTRACT, PlacedTarget, all_runs, breaking_script, call_plan, place_target,
        spawn_plan, wait_idle, wait_runs, wait_targets,
    },
    poplarwing_standins::{
        caller::CallRecord,
        platform::FaultPlan,
        target::script::{FailureKind, FailureRule, TargetScript},
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Time for which a node is frozen; exceeds any pause that a busy machine causes by itself.
const FREEZE: Duration = Duration::from_millis(1500);

/// Rounds of calls at most until enough calls of each kind have ended.
const MAX_ROUNDS: usize = 12;

/// Starts five nodes, with a target beside each of nodes 2 to 4; calls enter at all nodes.
async fn fleet_with_targets(
    script: impl Fn(u64) -> TargetScript,
) -> (TestFleet, Vec<PlacedTarget>) {
    let fleet = TestFleet::start(5).await;
    let version = fleet.apply_contract(0, CALL_CONTRACT, 0).await;
    fleet.wait_in_force(version).await;
    let mut targets = Vec::new();
    for (seed, node) in (1..).zip(2..5) {
        targets.push(place_target(&fleet, node, "v1", script(seed)).await);
    }
    wait_targets(&fleet, targets.len()).await;
    (fleet, targets)
}

/// Guards against retrying a call that is not idempotent on a second target after the first may have run it,
/// and against answering `not-run` for a call that ran, when targets close connections at every step.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_not_repeated_when_targets_break_connections_at_every_step() {
    let (fleet, targets) = fleet_with_targets(|seed| breaking_script(40, seed)).await;

    let orders = spawn_plan(call_plan(&fleet, "POST", "/order", 300.0, 1200));
    let reads = spawn_plan(call_plan(&fleet, "GET", "/read", 300.0, 1200));
    let (orders, reads) = (orders.await.unwrap(), reads.await.unwrap());
    wait_idle(&targets).await;

    let runs = all_runs(&targets);
    let (order_runs, read_runs): (Vec<_>, Vec<_>) =
        runs.into_iter().partition(|run| run.path == "/order");
    assert_run_at_most_once(&orders, &order_runs);
    assert_outcomes_match_runs(&reads, &read_runs);
    assert!(
        count_successes(&orders) > 600,
        "{}",
        count_successes(&orders)
    );
    assert!(count_successes(&reads) > 600, "{}", count_successes(&reads));
}

/// Guards against calls that run twice and answers that reach another call, when an entry node and a
/// target's node are killed and another target's node is frozen while calls are in progress.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_not_repeated_when_nodes_are_killed_and_frozen() {
    let script = |seed| TargetScript {
        latency_ms: 20,
        seed,
        ..TargetScript::default()
    };
    let (mut fleet, targets) = fleet_with_targets(script).await;

    let orders = spawn_plan(call_plan(&fleet, "POST", "/order", 300.0, 1800));
    wait_runs(&targets, 200).await;
    fleet.nodes.kill(0).expect("the entry node runs");
    wait_runs(&targets, 400).await;
    fleet.nodes.kill(2).expect("the target's node runs");
    fleet.nodes.start(0).expect("the entry node starts again");
    wait_runs(&targets, 600).await;
    fleet.nodes.pause(3).expect("the target's node runs");
    sleep(FREEZE).await;
    fleet.nodes.resume(3).expect("the target's node is frozen");
    fleet
        .nodes
        .start(2)
        .expect("the target's node starts again");
    let orders = orders.await.unwrap();
    wait_idle(&targets).await;

    assert_run_at_most_once(&orders, &all_runs(&targets));
    assert!(
        count_successes(&orders) > 900,
        "{}",
        count_successes(&orders)
    );
}

/// Returns the number of calls that timed out with status 504.
fn count_timeouts(orders: &[CallRecord]) -> usize {
    let timed_out = orders.iter().filter(|order| order.status == Some(504));
    timed_out.count()
}

/// Guards against an answer that arrives after the deadline of its call and is delivered to another call, and
/// against a call that never ends, when calls time out while the target still works on them.
#[tokio::test(flavor = "multi_thread")]
async fn late_answers_reach_no_other_call() {
    let script = |seed| TargetScript {
        latency_ms: 5,
        latency_per_call_ms: 2,
        failures: vec![FailureRule {
            permille: 50,
            ..FailureRule::always(FailureKind::Hang)
        }],
        seed,
        ..TargetScript::default()
    };
    let (fleet, targets) = fleet_with_targets(script).await;

    // How many calls end within 40 ms depends on the machine. Calls are sent until there were enough of both kinds.
    let mut orders = Vec::new();
    for round in 0..MAX_ROUNDS {
        let mut plan = call_plan(&fleet, "POST", "/order", 400.0, 1200);
        plan.timeout_ms = Some(40);
        plan.id_prefix = format!("order-{round}-");
        orders.extend(spawn_plan(plan).await.unwrap());
        if count_timeouts(&orders) > 20 && count_successes(&orders) > 300 {
            break;
        }
    }
    wait_idle(&targets).await;

    assert_run_at_most_once(&orders, &all_runs(&targets));
    assert!(
        count_timeouts(&orders) > 20,
        "more than 20 calls time out with status 504"
    );
    assert!(
        count_successes(&orders) > 300,
        "{}",
        count_successes(&orders)
    );
}

/// Guards against calls that depend on the store although they carry no idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_keys_need_no_store() {
    let (fleet, targets) = fleet_with_targets(|_| TargetScript::default()).await;
    fleet.platform.set_faults(FaultPlan {
        down: true,
        ..FaultPlan::default()
    });

    let orders = spawn_plan(call_plan(&fleet, "POST", "/order", 300.0, 600));
    let orders = orders.await.unwrap();
    wait_idle(&targets).await;

    assert_run_at_most_once(&orders, &all_runs(&targets));
    assert_eq!(count_successes(&orders), orders.len());
}
