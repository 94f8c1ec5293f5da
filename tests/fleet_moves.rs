//! Moves (gradual rollouts of a version) to good and bad versions in a fleet of real node processes.
//!
//! In the tests, v1 is the stable version and v2 the candidate. A move to a bad version is taken back: the
//! candidate gets no calls any more.

#[path = "support/call_history.rs"]
mod call_history;
#[path = "support/fleet_fixture.rs"]
mod fleet_fixture;
#[path = "support/fleet_targets.rs"]
mod fleet_targets;
#[path = "support/move_fixture.rs"]
mod move_fixture;

use {
    call_history::{assert_outcomes_match_runs, count_successes},
    fleet_targets::all_runs,
    move_fixture::{MoveFleet, NODES, healthy_script},
    poplarwing::admin_types::{AuditAuthor, AuditEntry},
    poplarwing_standins::{
        platform::FaultPlan,
        target::script::{FailureKind, FailureRule, TargetScript},
    },
};

/// Maximum share of all calls, in per mille, that a candidate which is bad from the start may receive; twice
/// the canary share.
const SMALL_SHARE_PERMILLE: usize = 200;

/// Maximum number of calls that a candidate may receive between turning bad and its exclusion; about ten
/// seconds of calls.
const MAX_EXPOSED: usize = 1500;

/// Indexes of all nodes of the fleet.
const ALL: [usize; NODES] = [0, 1, 2, 3];

/// Returns the script of a healthy target with a failure rule that takes precedence over its latency rules.
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

fn set_candidate_script(move_fleet: &MoveFleet, script: &TargetScript) {
    for placed in &move_fleet.candidate {
        placed.target.set_script(script.clone());
    }
}

/// Returns the indexes of all nodes except one.
fn all_except(excluded: usize) -> Vec<usize> {
    ALL.into_iter().filter(|node| *node != excluded).collect()
}

/// Stops the callers and checks their results against the calls that the targets recorded.
async fn check_calls(move_fleet: &mut MoveFleet) {
    let records = move_fleet.stop_callers().await;
    let mut runs = all_runs(&move_fleet.stable);
    runs.extend(all_runs(&move_fleet.candidate));
    assert_outcomes_match_runs(&records, &runs);
    assert!(count_successes(&records) * 2 > records.len());
}

fn count_records_by(records: &[AuditEntry], node: &str) -> usize {
    let author = AuditAuthor::Controller(node.to_owned());
    records
        .iter()
        .filter(|record| record.author == author)
        .count()
}

/// Guards against a good version that does not become the stable one, and against calls that fail in a move.
#[tokio::test(flavor = "multi_thread")]
async fn good_version_takes_over() {
    let mut move_fleet = MoveFleet::start(healthy_script()).await;

    move_fleet.wait_phase(0, "done").await;

    let view = move_fleet.view(0).await;
    assert_eq!(view["stable"], "v2");
    let ended_move = view["current_move"].clone();
    println!("good version: {ended_move}");
    let records = move_fleet.stop_callers().await;
    assert_eq!(count_successes(&records), records.len());
}

/// Guards against a version that fails from the start but receives more than a small share of the calls, or
/// still receives calls after its exclusion.
#[tokio::test(flavor = "multi_thread")]
async fn version_that_fails_at_once_is_taken_back() {
    let mut move_fleet = MoveFleet::start(failing_script(500)).await;
    let before = move_fleet.runs();

    move_fleet.wait_excluded(&ALL).await;
    let (exposed, runs) = (move_fleet.candidate_runs(), move_fleet.runs() - before);
    println!("fails at once: {exposed} of {runs} calls exposed");
    let candidate_runs_after_exclusion = move_fleet.candidate_runs_after_exclusion().await;

    move_fleet.wait_phase(0, "taken_back").await;
    assert!(
        exposed * 1000 <= runs * SMALL_SHARE_PERMILLE,
        "{exposed} of {runs}"
    );
    assert_eq!(candidate_runs_after_exclusion, 0);
    check_calls(&mut move_fleet).await;
}

/// Guards against a version that starts to fail during the move and is not excluded because earlier calls
/// succeeded.
#[tokio::test(flavor = "multi_thread")]
async fn version_that_fails_later_is_taken_back() {
    let mut move_fleet = MoveFleet::start(healthy_script()).await;
    move_fleet.wait_share(0, 200).await;
    let before = move_fleet.candidate_runs();
    set_candidate_script(&move_fleet, &failing_script(500));

    move_fleet.wait_excluded(&ALL).await;
    let exposed = move_fleet.candidate_runs() - before;
    println!("fails later: {exposed} calls exposed");
    let candidate_runs_after_exclusion = move_fleet.candidate_runs_after_exclusion().await;

    move_fleet.wait_phase(0, "taken_back").await;
    assert!(exposed < MAX_EXPOSED, "{exposed}");
    assert_eq!(candidate_runs_after_exclusion, 0);
    check_calls(&mut move_fleet).await;
}

/// Guards against a version that is slow on one route only, when fast calls on the other route hide that.
#[tokio::test(flavor = "multi_thread")]
async fn version_that_is_slow_on_one_route_is_taken_back() {
    let mut move_fleet = MoveFleet::start(slow_route_script()).await;
    let before = move_fleet.runs();

    move_fleet.wait_excluded(&ALL).await;
    let (exposed, runs) = (move_fleet.candidate_runs(), move_fleet.runs() - before);
    println!("slow on one route: {exposed} of {runs} calls exposed");
    let candidate_runs_after_exclusion = move_fleet.candidate_runs_after_exclusion().await;

    move_fleet.wait_phase(0, "taken_back").await;
    let reason = move_fleet.view(0).await["current_move"]["reason"].clone();
    println!("slow on one route: {reason}");
    assert!(
        exposed * 1000 <= runs * SMALL_SHARE_PERMILLE,
        "{exposed} of {runs}"
    );
    assert_eq!(candidate_runs_after_exclusion, 0);
    check_calls(&mut move_fleet).await;
}

/// Guards against a bad version that is not excluded because the node that controlled its move was killed.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_taken_back_after_its_controller_was_killed() {
    let mut move_fleet = MoveFleet::start(healthy_script()).await;
    move_fleet.wait_phase(0, "canary").await;
    let controller = move_fleet.latest_step_writer(0).await;
    let remaining = all_except(controller);
    move_fleet
        .fleet
        .nodes
        .kill(controller)
        .expect("the controller runs");
    set_candidate_script(&move_fleet, &failing_script(500));

    move_fleet.wait_excluded(&remaining).await;
    println!(
        "controller killed: {} calls exposed",
        move_fleet.candidate_runs()
    );
    let candidate_runs_after_exclusion = move_fleet.candidate_runs_after_exclusion().await;

    move_fleet.wait_phase(remaining[0], "taken_back").await;
    assert!(
        move_fleet.candidate_runs() < MAX_EXPOSED,
        "{}",
        move_fleet.candidate_runs()
    );
    assert_eq!(candidate_runs_after_exclusion, 0);
    check_calls(&mut move_fleet).await;
}

/// Guards against a controller that was frozen and, once resumed, continues a move that another controller
/// has ended meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_controller_does_not_act_after_another_took_the_move_back() {
    let mut move_fleet = MoveFleet::start(healthy_script()).await;
    move_fleet.wait_phase(0, "canary").await;
    let controller = move_fleet.latest_step_writer(0).await;
    let remaining = all_except(controller);
    let name = move_fleet.fleet.nodes.id(controller).to_owned();
    move_fleet
        .fleet
        .nodes
        .pause(controller)
        .expect("the controller runs");
    set_candidate_script(&move_fleet, &failing_script(500));

    move_fleet.wait_phase(remaining[0], "taken_back").await;
    let before = move_fleet.audit(remaining[0]).await;
    move_fleet
        .fleet
        .nodes
        .resume(controller)
        .expect("the controller is frozen");
    move_fleet.wait_phase(controller, "taken_back").await;
    println!(
        "controller frozen: {} calls exposed",
        move_fleet.candidate_runs()
    );
    let candidate_runs_after_exclusion = move_fleet.candidate_runs_after_exclusion().await;

    let after = move_fleet.audit(remaining[0]).await;
    assert_eq!(after, before);
    assert!(count_records_by(&after, &name) < after.len());
    assert_eq!(move_fleet.view(controller).await["stable"], "v1");
    assert_eq!(candidate_runs_after_exclusion, 0);
    check_calls(&mut move_fleet).await;
}

/// Guards against a bad version that keeps its share of calls because its exclusion cannot be stored.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_loses_its_share_while_the_store_is_down() {
    let mut move_fleet = MoveFleet::start(healthy_script()).await;
    move_fleet.wait_share(0, 100).await;
    let before = move_fleet.candidate_runs();
    move_fleet.fleet.platform.set_faults(FaultPlan {
        down: true,
        ..FaultPlan::default()
    });
    set_candidate_script(&move_fleet, &failing_script(500));

    move_fleet.wait_excluded(&ALL).await;
    let exposed = move_fleet.candidate_runs() - before;
    println!("store down: {exposed} calls exposed");
    let candidate_runs_after_exclusion = move_fleet.candidate_runs_after_exclusion().await;
    let phase = move_fleet.view(0).await["current_move"]["phase"].clone();
    move_fleet.fleet.platform.set_faults(FaultPlan::default());
    move_fleet.wait_phase(0, "taken_back").await;

    assert_ne!(
        phase, "taken_back",
        "the move cannot be taken back while the store is down"
    );
    assert!(exposed < MAX_EXPOSED, "{exposed}");
    assert_eq!(candidate_runs_after_exclusion, 0);
    check_calls(&mut move_fleet).await;
}
