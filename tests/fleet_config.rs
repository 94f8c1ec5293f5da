//! Configuration in a fleet of real node processes.

#[path = "support/fleet_fixture.rs"]
mod fleet_fixture;

use {
    fleet_fixture::{CONTRACT, TestFleet, wait_until},
    poplarwing_standins::platform::FaultPlan,
};

/// Guards against a contract that is accepted but does not come into force everywhere.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_contract_is_in_force_on_every_node() {
    let fleet = TestFleet::start(6).await;

    let version = fleet.apply_contract(0, CONTRACT, 0).await;

    fleet.wait_in_force(version).await;
    assert_eq!(version, 1);
}

/// Guards against a fleet that loses its configuration when every process dies at once.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_that_died_as_a_whole_comes_back_with_the_accepted_version() {
    let mut fleet = TestFleet::start(4).await;
    let version = fleet.apply_contract(0, CONTRACT, 0).await;
    fleet.wait_in_force(version).await;

    for index in 0..fleet.nodes.len() {
        fleet.nodes.kill(index).expect("the node runs");
    }
    fleet.nodes.start_all().expect("the node starts again");

    fleet.wait_in_force(version).await;
}

/// Guards against a restarted node that falls behind what it had in force while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn node_restarted_during_an_outage_takes_the_version_of_its_peers() {
    let mut fleet = TestFleet::start(5).await;
    let version = fleet.apply_contract(0, CONTRACT, 0).await;
    fleet.wait_in_force(version).await;
    fleet.platform.set_faults(FaultPlan {
        down: true,
        ..FaultPlan::default()
    });

    fleet.nodes.kill(2).expect("the node runs");
    fleet.nodes.start(2).expect("the node starts again");

    wait_until("node 2 has the version again", async || {
        fleet.version_of(2).await == Some(version)
    })
    .await;
}

/// Guards against a convergence time that is documented but never measured.
#[tokio::test(flavor = "multi_thread")]
async fn convergence_time_of_a_change_is_measured_on_every_node() {
    let fleet = TestFleet::start(3).await;
    let first = fleet.apply_contract(0, CONTRACT, 0).await;
    fleet.wait_in_force(first).await;
    let changed = CONTRACT.replace("deadline = 5s", "deadline = 6s");

    let second = fleet.apply_contract(1, &changed, 1).await;
    fleet.wait_in_force(second).await;

    for index in 0..fleet.nodes.len() {
        let what = format!("node {index} has measured one convergence");
        wait_until(&what, async || {
            let answer = fleet.api(index, "GET", "/metrics", "").await;
            answer.is_some_and(|answer| {
                answer
                    .text
                    .contains("poplarwing_convergence_seconds_count 1")
            })
        })
        .await;
    }
}
