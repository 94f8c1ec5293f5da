//! Tests of the choice of the nodes that read the store while no confirmation arrives.

use {poplarwing::mesh::store_reader::overdue_after, std::time::Duration};

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
