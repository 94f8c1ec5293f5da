//! Tests of the choice of the nodes that read the store for all.

#[allow(dead_code, reason = "mesh_context.rs uses other parts")]
#[path = "support/mesh_node.rs"]
mod mesh_node;

use {
    mesh_node::context,
    poplarwing::{
        membership::{MemberRecord, MemberState},
        mesh::store_reader::{
            CONFIRMATION_INTERVAL, FOLLOWER_RETRY_PERIOD, READER_CHECK_PERIOD, ReaderTurn,
            is_domain_reader, is_reader, overdue_after, reader_turn,
        },
    },
    std::time::Duration,
};

/// Shortest time within which a change must be in force on every node (`convergeS`).
const CONVERGENCE_BOUND: Duration = Duration::from_secs(2);

/// Time set aside for opening a connection, a read and the change of the configuration.
const READ_TIME: Duration = Duration::from_millis(100);

/// Shortest time after a disturbance from which the bounds hold for a node again (`healthyS`).
const CALM_TIME: Duration = Duration::from_secs(3);

/// Failure domains of the fleet, with `NODES_PER_DOMAIN` nodes each.
const DOMAINS: [&str; 6] = ["d1", "d2", "d3", "d4", "d5", "d6"];
const NODES_PER_DOMAIN: usize = 8;

/// Returns the name and the domain of each node of the fleet.
fn fleet() -> Vec<(String, &'static str)> {
    let nodes = DOMAINS.into_iter().flat_map(|domain| {
        (0..NODES_PER_DOMAIN).map(move |number| (format!("{domain}-{number}"), domain))
    });
    nodes.collect()
}

fn record(node: &str, domain: &str, state: MemberState) -> MemberRecord {
    let address = "127.0.0.1:9000".parse().expect("address");
    MemberRecord {
        node: node.to_owned(),
        incarnation: 1,
        sequence: 0,
        state,
        domain: domain.to_owned(),
        peer_address: address,
        forward_address: address,
        target: None,
        applied_version: 0,
    }
}

/// Returns the names of the nodes that regard themselves as readers of the store, and the domains of those that regard
/// themselves as first in their domain, if the nodes of one domain are dead.
fn readers(dead_domain: &str) -> (Vec<String>, Vec<&'static str>) {
    let fleet = fleet();
    let (mut readers, mut domain_readers) = (Vec::new(), Vec::new());
    for (own, own_domain) in fleet.iter().filter(|(_, domain)| *domain != dead_domain) {
        let context = context(own, own_domain);
        for (node, domain) in fleet.iter().filter(|(node, _)| node != own) {
            let state = match *domain == dead_domain {
                true => MemberState::Dead,
                false => MemberState::Alive,
            };
            let mut members = context.board.members.lock();
            members.merge(record(node, domain, state));
        }
        if is_reader(&context) {
            readers.push(own.clone());
        }
        if is_domain_reader(&context) {
            domain_readers.push(*own_domain);
        }
    }
    (readers, domain_readers)
}

/// Guards against a load on the store that grows with the number of failure domains, and against domains whose readers
/// are all in one domain.
#[test]
fn three_domains_have_a_reader() {
    let (readers, domain_readers) = readers("");

    assert_eq!(readers.len(), 3, "{readers:?}");
    assert_eq!(domain_readers, DOMAINS);
}

/// Guards against a fleet with fewer readers after the loss of a failure domain that had one.
#[test]
fn another_domain_reads_when_one_is_lost() {
    let (before, _) = readers("");
    let (lost, _) = before[0].split_once('-').expect("domain and number");

    let (after, _) = readers(lost);

    assert_eq!(after.len(), 3, "{after:?}");
    assert!(after.contains(&before[1]) && after.contains(&before[2]));
}

/// Guards against readers that take the same turn, so that the loss of one leaves a long time without a confirmation.
#[test]
fn each_reader_has_a_turn_of_its_own() {
    let fleet = fleet();
    let mut turns = Vec::new();
    for (own, own_domain) in &fleet {
        let context = context(own, own_domain);
        for (node, domain) in fleet.iter().filter(|(node, _)| node != own) {
            let mut members = context.board.members.lock();
            members.merge(record(node, domain, MemberState::Alive));
        }
        turns.extend(reader_turn(&context));
    }

    turns.sort_by_key(|turn| turn.index);

    let expected = (0..3).map(|index| ReaderTurn { index, readers: 3 });
    assert_eq!(turns, expected.collect::<Vec<_>>());
}

/// Guards against readers whose long polls end together: every wait ends at the reader's own turn, whenever it begins.
#[test]
fn waits_of_readers_end_at_their_turns() {
    let round = CONFIRMATION_INTERVAL * 3;
    for index in 0..3 {
        let turn = ReaderTurn { index, readers: 3 };
        for clock_ms in (0..10_000).step_by(7) {
            let clock = Duration::from_millis(clock_ms);

            let wait = turn.wait_at(clock);

            let into_round = (clock + wait).as_millis() % round.as_millis();
            assert_eq!(into_round, (CONFIRMATION_INTERVAL * index).as_millis());
            assert!(wait >= CONFIRMATION_INTERVAL / 2);
            assert!(wait <= round + CONFIRMATION_INTERVAL / 2);
        }
    }
}

/// Guards against a change that is not in force in time because the machines that read the store, or any others, were
/// cut off from it just before: each node reads by itself within the bound, whatever its rank.
#[test]
fn a_node_of_any_rank_reads_within_the_convergence_bound() {
    for rank in 0..6_400 {
        let longest = overdue_after(rank) + READER_CHECK_PERIOD + READ_TIME;

        assert!(longest < CONVERGENCE_BOUND, "rank {rank}: {longest:?}");
    }
}

/// Guards against a large fleet whose nodes all ask a store that is away, each of them again and again. Each must ask,
/// since the store may serve it alone, but not more often than the time allows after which the bounds hold again.
#[test]
fn nodes_of_a_large_fleet_seldom_ask_a_store_that_is_away() {
    let outage = Duration::from_secs(60);

    let repetitions = outage.as_secs_f64() / FOLLOWER_RETRY_PERIOD.as_secs_f64();

    assert!(repetitions <= 25.0, "{repetitions} requests of each node");
    assert!(FOLLOWER_RETRY_PERIOD + READ_TIME < CALM_TIME);
}

/// Guards against a fleet whose nodes all read the store at once although the read of one is enough.
#[test]
fn the_first_ranked_nodes_read_one_after_another() {
    for rank in 1..=5 {
        let gap = overdue_after(rank) - overdue_after(rank - 1);

        // Gossip reaches most nodes of a fleet within this time.
        assert!(gap >= Duration::from_millis(50), "rank {rank}: {gap:?}");
    }
}
