//! Configuration in a fleet of real node processes.

#[path = "support/fleet_fixture.rs"]
mod fleet_fixture;
#[path = "support/operator_race.rs"]
mod operator_race;
#[path = "support/version_history.rs"]
mod version_history;

use {
    fleet_fixture::{CONTRACT, TestFleet, wait_until},
    operator_race::{run_operator, send_contract},
    poplarwing_standins::platform::FaultPlan,
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
    version_history::{
        ContractEnd, SentContract, VersionWatch, audit_gaps, falling_versions, partial_views,
        read_audit, unexplained_contracts,
    },
};

/// Operators that race each other.
const OPERATORS: u64 = 3;

/// Contracts that each operator sends.
const CONTRACTS: u64 = 60;

/// Time for which one fault of the platform lasts.
const FAULT_TIME: Duration = Duration::from_millis(1500);

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

fn admins(fleet: &TestFleet) -> Vec<SocketAddr> {
    let nodes = 0..fleet.nodes.len();
    nodes
        .map(|index| fleet.nodes.addresses(index).admin)
        .collect()
}

fn spawn_operators(fleet: &TestFleet) -> Vec<JoinHandle<Vec<SentContract>>> {
    let operators = 0..OPERATORS;
    operators
        .map(|number| {
            let (client, admins) = (fleet.client.clone(), admins(fleet));
            tokio::spawn(run_operator(client, admins, number, CONTRACTS))
        })
        .collect()
}

async fn join_operators(operators: Vec<JoinHandle<Vec<SentContract>>>) -> Vec<SentContract> {
    let mut sent = Vec::new();
    for operator in operators {
        sent.extend(operator.await.unwrap());
    }
    sent
}

fn count_accepted(sent: &[SentContract]) -> usize {
    let accepted = sent
        .iter()
        .filter(|contract| matches!(contract.end, ContractEnd::Accepted { .. }));
    accepted.count()
}

/// Sends one more contract, waits until it is in force everywhere, and checks the whole history.
async fn check_history(fleet: &TestFleet, watch: VersionWatch, mut sent: Vec<SentContract>) {
    let admin = fleet.nodes.addresses(0).admin;
    let last = send_contract(&fleet.client, admin, "kestrel", 99_999).await;
    let ContractEnd::Accepted { version, .. } = last.end else {
        panic!("{last:?}");
    };
    sent.push(last);
    fleet.wait_in_force(version).await;
    let samples = watch.stop().await;
    let records = read_audit(&fleet.client, admin).await;

    let nothing = Vec::<String>::new();
    assert_eq!(falling_versions(&samples), nothing);
    assert_eq!(audit_gaps(&records), nothing);
    assert_eq!(unexplained_contracts(&sent, &records), nothing);
    assert_eq!(partial_views(&samples, &records), nothing);
    println!(
        "{} contracts sent, {} accepted, {} versions, {} looks at nodes",
        sent.len(),
        count_accepted(&sent),
        records.len(),
        samples.len()
    );
}

/// Guards against versions that fall, are applied in part, or have no or a wrong audit record when
/// operators race each other while half of the fleet is killed and started again.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_are_explained_while_half_of_the_fleet_restarts() {
    let mut fleet = TestFleet::start(6).await;
    let watch = VersionWatch::start(&fleet.client, admins(&fleet));
    let operators = spawn_operators(&fleet);

    for first in [3, 0, 3] {
        let reached = fleet.version_of(5 - first).await.unwrap_or_default() + 5;
        for index in first..first + 3 {
            fleet.nodes.kill(index).expect("the node runs");
        }
        let other = 3 - first;
        wait_until("five more versions or all were sent", async || {
            fleet.version_of(other).await >= Some(reached)
                || operators.iter().all(JoinHandle::is_finished)
        })
        .await;
        for index in first..first + 3 {
            fleet.nodes.start(index).expect("the node starts again");
        }
        for index in first..first + 3 {
            let what = format!("node {index} answers again");
            wait_until(&what, async || fleet.status(index).await.is_some()).await;
        }
    }

    let sent = join_operators(operators).await;
    assert!(count_accepted(&sent) > 10, "{sent:?}");
    check_history(&fleet, watch, sent).await;
}

/// Guards against versions that fall, are lost, or are reported wrongly when the platform is slow, loses
/// answers, drops writes, throttles, or is down while operators race each other.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_are_explained_while_the_platform_fails() {
    let mut fleet = TestFleet::start(5).await;
    let watch = VersionWatch::start(&fleet.client, admins(&fleet));
    let operators = spawn_operators(&fleet);
    wait_until("two versions are in force", async || {
        fleet.version_of(0).await >= Some(2)
    })
    .await;

    let plans = [
        FaultPlan {
            lose_table_answers: 10,
            lose_object_answers: 3,
            ..FaultPlan::default()
        },
        FaultPlan {
            delay_ms: 150,
            drop_table_writes: 3,
            ..FaultPlan::default()
        },
        FaultPlan {
            down_after_table_write: true,
            ..FaultPlan::default()
        },
        FaultPlan {
            throttled: true,
            ..FaultPlan::default()
        },
        FaultPlan {
            down: true,
            ..FaultPlan::default()
        },
    ];
    for plan in plans {
        fleet.platform.set_faults(plan);
        sleep(FAULT_TIME).await;
        fleet.nodes.kill(4).expect("the node runs");
        fleet.nodes.start(4).expect("the node starts again");
        fleet.platform.set_faults(FaultPlan::default());
        sleep(FAULT_TIME / 3).await;
    }

    let sent = join_operators(operators).await;
    assert!(count_accepted(&sent) > 3, "{sent:?}");
    check_history(&fleet, watch, sent).await;
}
