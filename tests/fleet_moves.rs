//! Moves to good and bad versions in a fleet of real node processes.

#[path = "support/call_history.rs"]
mod call_history;
#[path = "support/fleet_fixture.rs"]
mod fleet_fixture;
#[path = "support/fleet_targets.rs"]
mod fleet_targets;
#[path = "support/move_fixture.rs"]
mod move_fixture;

use {
    call_history::{assert_truthful, count_successes},
    fleet_targets::all_runs,
    move_fixture::{MoveFleet, NODES, healthy_script},
    poplarwing::admin_types::{AuditAuthor, AuditEntry},
    poplarwing_standins::{
        platform::FaultPlan,
        target::script::{FailureKind, FailureRule, TargetScript},
    },
};

/// Share of all calls that a version that is bad at once may receive, in per mille; twice the canary's share.
const SMALL_SHARE_PERMILLE: usize = 200;

/// Calls that may reach a bad version between showing itself and its exclusion; about ten seconds of calls.
const MAX_EXPOSED: usize = 1500;

/// Nodes of the fleet.
const ALL: [usize; NODES] = [0, 1, 2, 3];

/// Returns the script of a healthy target with a failure that comes before its usual spread.
fn with_failure(rule: FailureRule) -> TargetScript {
    let mut script = healthy_script();
    script.failures.insert(0, rule);
    script
}

fn failing_script(permille: u32) -> TargetScript {
    with_failure(FailureRule {
        permille,
        ..FailureRule::always(FailureKind::Status(500))
    })
}

fn slow_route_script() -> TargetScript {
    with_failure(FailureRule {
        path: Some("/survey".to_owned()),
        ..FailureRule::always(FailureKind::Delay(60))
    })
}

fn set_candidate(moved: &MoveFleet, script: &TargetScript) {
    for placed in &moved.candidate {
        placed.target.set_script(script.clone());
    }
}

/// Returns the nodes of the fleet without one.
fn others(excluded: usize) -> Vec<usize> {
    ALL.into_iter().filter(|node| *node != excluded).collect()
}

/// Stops the callers and checks their calls against the runs.
async fn check_calls(moved: &mut MoveFleet) {
    let records = moved.stop_callers().await;
    let mut runs = all_runs(&moved.stable);
    runs.extend(all_runs(&moved.candidate));
    assert_truthful(&records, &runs);
    assert!(count_successes(&records) * 2 > records.len());
}

fn steps_of(records: &[AuditEntry], node: &str) -> usize {
    let author = AuditAuthor::Controller(node.to_owned());
    records
        .iter()
        .filter(|record| record.author == author)
        .count()
}

/// Guards against a good version that does not take over, and against calls lost in a move.
#[tokio::test(flavor = "multi_thread")]
async fn good_version_takes_over() {
    let mut moved = MoveFleet::start(healthy_script()).await;

    moved.wait_phase(0, "done").await;

    let view = moved.view(0).await;
    assert_eq!(view["stable"], "v2");
    let ended = view["current_move"].clone();
    println!("good version: {ended}");
    let records = moved.stop_callers().await;
    assert_eq!(count_successes(&records), records.len());
}

/// Guards against a version that fails at once and receives more than a small share, or still receives
/// calls after it was found bad.
#[tokio::test(flavor = "multi_thread")]
async fn version_that_fails_at_once_is_taken_back() {
    let mut moved = MoveFleet::start(failing_script(500)).await;
    let before = moved.runs();

    moved.wait_excluded(&ALL).await;
    let (exposed, runs) = (moved.exposed(), moved.runs() - before);
    println!("fails at once: {exposed} of {runs} calls exposed");
    let late = moved.late_runs().await;

    moved.wait_phase(0, "taken_back").await;
    assert!(
        exposed * 1000 <= runs * SMALL_SHARE_PERMILLE,
        "{exposed} of {runs}"
    );
    assert_eq!(late, 0);
    check_calls(&mut moved).await;
}

/// Guards against a version that is trusted for ever because it was good at first.
#[tokio::test(flavor = "multi_thread")]
async fn version_that_fails_later_is_taken_back() {
    let mut moved = MoveFleet::start(healthy_script()).await;
    moved.wait_share(0, 200).await;
    let before = moved.exposed();
    set_candidate(&moved, &failing_script(500));

    moved.wait_excluded(&ALL).await;
    let exposed = moved.exposed() - before;
    println!("fails later: {exposed} calls exposed");
    let late = moved.late_runs().await;

    moved.wait_phase(0, "taken_back").await;
    assert!(exposed < MAX_EXPOSED, "{exposed}");
    assert_eq!(late, 0);
    check_calls(&mut moved).await;
}

/// Guards against a version whose slowness on one route is hidden by the calls of the other.
#[tokio::test(flavor = "multi_thread")]
async fn version_that_is_slow_on_one_route_is_taken_back() {
    let mut moved = MoveFleet::start(slow_route_script()).await;
    let before = moved.runs();

    moved.wait_excluded(&ALL).await;
    let (exposed, runs) = (moved.exposed(), moved.runs() - before);
    println!("slow on one route: {exposed} of {runs} calls exposed");
    let late = moved.late_runs().await;

    moved.wait_phase(0, "taken_back").await;
    let reason = moved.view(0).await["current_move"]["reason"].clone();
    println!("slow on one route: {reason}");
    assert!(
        exposed * 1000 <= runs * SMALL_SHARE_PERMILLE,
        "{exposed} of {runs}"
    );
    assert_eq!(late, 0);
    check_calls(&mut moved).await;
}

/// Guards against a bad version that stays because the node that drove its move has died.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_taken_back_after_its_controller_was_killed() {
    let mut moved = MoveFleet::start(healthy_script()).await;
    moved.wait_phase(0, "canary").await;
    let holder = moved.holder(0).await;
    let left = others(holder);
    moved.fleet.nodes.kill(holder).expect("the holder runs");
    set_candidate(&moved, &failing_script(500));

    moved.wait_excluded(&left).await;
    println!("holder killed: {} calls exposed", moved.exposed());
    let late = moved.late_runs().await;

    moved.wait_phase(left[0], "taken_back").await;
    assert!(moved.exposed() < MAX_EXPOSED, "{}", moved.exposed());
    assert_eq!(late, 0);
    check_calls(&mut moved).await;
}

/// Guards against a frozen controller that goes on with its move after another one has ended it.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_controller_does_not_act_after_another_took_the_move_back() {
    let mut moved = MoveFleet::start(healthy_script()).await;
    moved.wait_phase(0, "canary").await;
    let holder = moved.holder(0).await;
    let left = others(holder);
    let name = moved.fleet.nodes.id(holder).to_owned();
    moved.fleet.nodes.pause(holder).expect("the holder runs");
    set_candidate(&moved, &failing_script(500));

    moved.wait_phase(left[0], "taken_back").await;
    let before = moved.audit(left[0]).await;
    moved
        .fleet
        .nodes
        .resume(holder)
        .expect("the holder is frozen");
    moved.wait_phase(holder, "taken_back").await;
    println!("holder frozen: {} calls exposed", moved.exposed());
    let late = moved.late_runs().await;

    let after = moved.audit(left[0]).await;
    assert_eq!(after, before);
    assert!(steps_of(&after, &name) < after.len());
    assert_eq!(moved.view(holder).await["stable"], "v1");
    assert_eq!(late, 0);
    check_calls(&mut moved).await;
}

/// Guards against a bad version that keeps its share because the store does not accept its exclusion.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_loses_its_share_while_the_store_is_down() {
    let mut moved = MoveFleet::start(healthy_script()).await;
    moved.wait_share(0, 100).await;
    let before = moved.exposed();
    moved.fleet.platform.set_faults(FaultPlan {
        down: true,
        ..FaultPlan::default()
    });
    set_candidate(&moved, &failing_script(500));

    moved.wait_excluded(&ALL).await;
    let exposed = moved.exposed() - before;
    println!("store down: {exposed} calls exposed");
    let late = moved.late_runs().await;
    let phase = moved.view(0).await["current_move"]["phase"].clone();
    moved.fleet.platform.set_faults(FaultPlan::default());
    moved.wait_phase(0, "taken_back").await;

    assert_ne!(
        phase, "taken_back",
        "nothing is accepted while the store is down"
    );
    assert!(exposed < MAX_EXPOSED, "{exposed}");
    assert_eq!(late, 0);
    check_calls(&mut moved).await;
}
