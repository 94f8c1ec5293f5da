//! Distribution of configuration in a fleet of real node processes while nodes and the platform fail.

#[path = "support/fleet_fixture.rs"]
mod fleet_fixture;
#[path = "support/operator_race.rs"]
mod operator_race;
#[path = "support/version_history.rs"]
mod version_history;

use {
    fleet_fixture::{CONTRACT, TestFleet, wait_until},
    operator_race::{send_contract, send_contracts},
    poplarwing_standins::platform::FaultPlan,
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
    version_history::{
        ContractOutcome, SentContract, VersionSampler, audit_gaps, partial_views, read_audit,
        unexplained_contracts, version_decreases,
    },
};

/// Number of operators that apply contracts concurrently.
const OPERATORS: u64 = 3;

/// Number of contracts that each operator sends.
const CONTRACTS: u64 = 60;

/// Duration of each platform fault.
const FAULT_TIME: Duration = Duration::from_millis(1500);

/// Guards against a contract that is accepted but does not reach every node.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_contract_is_in_force_on_every_node() {
    let fleet = TestFleet::start(6).await;

    let version = fleet.apply_contract(0, CONTRACT, 0).await;

    fleet.wait_in_force(version).await;
    assert_eq!(version, 1);
}

/// Guards against the loss of the configuration when all node processes are killed at once.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_restores_the_accepted_version_after_all_nodes_were_killed() {
    let mut fleet = TestFleet::start(4).await;
    let version = fleet.apply_contract(0, CONTRACT, 0).await;
    fleet.wait_in_force(version).await;

    for index in 0..fleet.nodes.len() {
        fleet.nodes.kill(index).expect("the node runs");
    }
    fleet.nodes.start_all().expect("the node starts again");

    fleet.wait_in_force(version).await;
}

/// Guards against a node that, restarted while the store is down, has an older version in force than before.
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

    wait_until("node 2 has the version in force again", async || {
        fleet.version_of(2).await == Some(version)
    })
    .await;
}

/// Guards against the convergence histogram missing a change on some node.
#[tokio::test(flavor = "multi_thread")]
async fn convergence_time_of_a_change_is_measured_on_every_node() {
    let fleet = TestFleet::start(3).await;
    let first = fleet.apply_contract(0, CONTRACT, 0).await;
    fleet.wait_in_force(first).await;
    let changed = CONTRACT.replace("deadline = 5s", "deadline = 6s");

    let second = fleet.apply_contract(1, &changed, 1).await;
    fleet.wait_in_force(second).await;

    for index in 0..fleet.nodes.len() {
        let what = format!("the convergence histogram of node {index} counts one change");
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

fn admin_addresses(fleet: &TestFleet) -> Vec<SocketAddr> {
    let nodes = 0..fleet.nodes.len();
    nodes
        .map(|index| fleet.nodes.addresses(index).admin)
        .collect()
}

fn spawn_operators(fleet: &TestFleet) -> Vec<JoinHandle<Vec<SentContract>>> {
    let operators = 0..OPERATORS;
    operators
        .map(|number| {
            let (client, admin_addresses) = (fleet.client.clone(), admin_addresses(fleet));
            tokio::spawn(send_contracts(client, admin_addresses, number, CONTRACTS))
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
        .filter(|contract| matches!(contract.outcome, ContractOutcome::Accepted { .. }));
    accepted.count()
}

/// Sends one more contract, waits until it is in force on every node, and checks all versions seen on nodes
/// against the audit records and the contracts sent.
async fn check_history(fleet: &TestFleet, sampler: VersionSampler, mut sent: Vec<SentContract>) {
    let admin = fleet.nodes.addresses(0).admin;
    let last = send_contract(&fleet.client, admin, "kestrel", 99_999).await;
    let ContractOutcome::Accepted { version, .. } = last.outcome else {
        panic!("{last:?}");
    };
    sent.push(last);
    fleet.wait_in_force(version).await;
    let samples = sampler.stop().await;
    let records = read_audit(&fleet.client, admin).await;

    let no_findings = Vec::<String>::new();
    assert_eq!(version_decreases(&samples), no_findings);
    assert_eq!(audit_gaps(&records), no_findings);
    assert_eq!(unexplained_contracts(&sent, &records), no_findings);
    assert_eq!(partial_views(&samples, &records), no_findings);
    println!(
        "{} contracts sent, {} accepted, {} versions, {} samples of node status",
        sent.len(),
        count_accepted(&sent),
        records.len(),
        samples.len()
    );
}

/// Guards against nodes that go back to older versions or apply them in part, and against missing or wrong
/// audit records, when operators apply contracts concurrently while half of the fleet restarts.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_contracts_stay_consistent_while_half_of_the_fleet_restarts() {
    let mut fleet = TestFleet::start(6).await;
    let sampler = VersionSampler::start(&fleet.client, admin_addresses(&fleet));
    let operators = spawn_operators(&fleet);

    for first in [3, 0, 3] {
        let awaited_version = fleet.version_of(5 - first).await.unwrap_or_default() + 5;
        for index in first..first + 3 {
            fleet.nodes.kill(index).expect("the node runs");
        }
        let other = 3 - first;
        wait_until(
            "five more versions are in force, or all contracts were sent",
            async || {
                fleet.version_of(other).await >= Some(awaited_version)
                    || operators.iter().all(JoinHandle::is_finished)
            },
        )
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
    check_history(&fleet, sampler, sent).await;
}

/// Guards against versions that are lost or replaced by older ones, and against wrong results for operators,
/// when operators apply contracts concurrently while the platform is slow, loses responses, drops writes,
/// throttles, or is down.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_contracts_stay_consistent_while_the_platform_fails() {
    let mut fleet = TestFleet::start(5).await;
    let sampler = VersionSampler::start(&fleet.client, admin_addresses(&fleet));
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
    check_history(&fleet, sampler, sent).await;
}
