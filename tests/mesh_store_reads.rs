//! Tests of the choice of the nodes that read the store for all.

#[allow(dead_code, reason = "mesh_context.rs uses other parts")]
#[path = "support/mesh_node.rs"]
mod mesh_node;

use {
    mesh_node::context,
    poplarwing::{
        membership::{MemberRecord, MemberState},
        mesh::store_reader::{is_domain_reader, is_reader, overdue_after},
    },
    std::time::Duration,
};

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

/// Guards against a large fleet whose nodes all ask a store that is away, each of them twice a second.
#[test]
fn few_nodes_of_a_large_fleet_ask_a_store_that_is_away() {
    let outage = Duration::from_secs(5);

    let asking = (0..300).filter(|rank| overdue_after(*rank) <= outage);

    assert!(asking.count() <= 30);
}

/// Guards against a fleet that does not read the store because its first-ranked nodes are turned away.
#[test]
fn the_next_ranked_nodes_read_within_a_second() {
    let first = overdue_after(0);

    assert!(overdue_after(9) - first <= Duration::from_secs(1));
    assert!(overdue_after(300) - first <= Duration::from_secs(8));
}
