//! Table of the drains of failure domains: any order of reads and exchanges ends with the newest state of the store.

use {
    poplarwing::{
        domain_drain::{DomainDrain, DomainDrains, DrainRevision},
        wire::MovesReply,
    },
    prost::Message,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::BTreeMap,
};

/// Seeds of the random interleavings.
const SEEDS: std::ops::Range<u64> = 0..2000;

/// Steps of one interleaving.
const STEPS: usize = 120;

/// Nodes of one interleaving.
const NODES: usize = 4;

/// Pulls after which nodes must have the same digest.
const MAX_ROUNDS: usize = 100;

/// Failure domains that are drained in the interleavings.
const DOMAINS: [&str; 3] = ["albany", "bunbury", "kalgoorlie"];

fn drain(domain: &str, revision: DrainRevision, active: bool) -> DomainDrain {
    DomainDrain {
        domain: domain.to_owned(),
        revision,
        active,
    }
}

/// Store with the whole history of the orders.
#[derive(Default)]
struct OrderStore {
    /// Revision of the last write, of an order or of another row.
    revision: DrainRevision,
    history: Vec<DomainDrain>,
}

impl OrderStore {
    fn write(&mut self, domain: &str, active: bool) {
        self.revision += 1;
        self.history.push(drain(domain, self.revision, active));
    }

    /// Returns the latest state of each domain among the changes after a position, as the feed gives it.
    fn changes_after(&self, position: DrainRevision) -> Vec<DomainDrain> {
        let changes = self
            .history
            .iter()
            .filter(|drain| drain.revision > position);
        let latest: BTreeMap<&String, &DomainDrain> =
            changes.map(|drain| (&drain.domain, drain)).collect();
        latest.into_values().cloned().collect()
    }

    /// Returns the orders in force.
    fn table(&self) -> Vec<DomainDrain> {
        let mut latest = self.changes_after(0);
        latest.retain(|drain| drain.active);
        latest
    }

    /// Returns whether a domain had a state at `revision` or later.
    fn had_state_since(&self, domain: &str, active: bool, revision: DrainRevision) -> bool {
        let of_domain = || self.history.iter().filter(|drain| drain.domain == domain);
        let before = of_domain().rfind(|drain| drain.revision <= revision);
        let later = of_domain().filter(|drain| drain.revision > revision);
        before.is_some_and(|drain| drain.active) == active
            || later.into_iter().any(|drain| drain.active == active)
    }
}

/// A node with its place in the feed and what it must not fall behind.
#[derive(Default)]
struct ReadingNode {
    drains: DomainDrains,
    position: DrainRevision,
}

impl ReadingNode {
    fn read(&mut self, store: &OrderStore, history_gone: bool) {
        if self.position == 0 || history_gone {
            self.drains.merge_complete(store.table(), store.revision);
        } else {
            self.drains.merge(store.changes_after(self.position));
        }
        self.position = store.revision;
    }
}

/// Pulls the states of a peer, and checks that the peer's digest does not stay larger, which would be pulled again
/// without end.
fn pull(nodes: &mut [ReadingNode], from: usize, to: usize) {
    let snapshot = nodes[from].drains.snapshot();
    nodes[to].drains.merge(snapshot);
    let (peer_digest, own_digest) = (nodes[from].drains.digest(), nodes[to].drains.digest());
    assert!(own_digest >= peer_digest, "{own_digest} < {peer_digest}");
}

/// Lets nodes pull from peers with a larger digest until there are none, as gossip does.
fn pull_newer(nodes: &mut [ReadingNode], seed: u64) {
    for _ in 0..MAX_ROUNDS {
        let digests: Vec<u64> = nodes.iter().map(|node| node.drains.digest()).collect();
        let Some(newest) = (0..NODES).max_by_key(|node| digests[*node]) else {
            return;
        };
        let Some(behind) = (0..NODES).find(|node| digests[*node] < digests[newest]) else {
            return;
        };
        pull(nodes, newest, behind);
    }
    panic!("seed {seed}: nodes pull from each other without end");
}

/// Makes a random change of the store or lets a random node read, pull or restart.
fn random_step(store: &mut OrderStore, nodes: &mut [ReadingNode], rng: &mut StdRng) {
    let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
    let (node, peer) = (rng.random_range(0..NODES), rng.random_range(0..NODES));
    match rng.random_range(0..10) {
        0 | 1 => store.write(domain, true),
        2 => store.write(domain, false),
        3 => store.revision += rng.random_range(1..4),
        4 | 5 => nodes[node].read(store, false),
        6 => nodes[node].read(store, true),
        7 => nodes[node] = ReadingNode::default(),
        _ => pull(nodes, peer, node),
    }
}

fn assert_not_behind_own_read(store: &OrderStore, nodes: &[ReadingNode], seed: u64) {
    for (index, node) in nodes.iter().enumerate() {
        for domain in DOMAINS {
            let active = node.drains.is_drained(domain);
            assert!(
                store.had_state_since(domain, active, node.position),
                "seed {seed}: node {index} has {domain} drained: {active}, older than its read at {}",
                node.position
            );
        }
    }
}

/// Guards against an older state that wins over a newer one: whatever the order of feeds, complete reads, exchanges and
/// restarts, no node falls behind its own last read, and after one more read and exchange all have the store's state.
#[test]
fn any_interleaving_ends_with_the_newest_states() {
    for seed in SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = OrderStore::default();
        let mut nodes: Vec<ReadingNode> = (0..NODES).map(|_| ReadingNode::default()).collect();

        for _ in 0..STEPS {
            random_step(&mut store, &mut nodes, &mut rng);
            assert_not_behind_own_read(&store, &nodes, seed);
        }
        nodes[0].read(&store, rng.random());
        pull_newer(&mut nodes, seed);

        for domain in DOMAINS {
            let expected = store.table().iter().any(|drain| drain.domain == domain);
            for (index, node) in nodes.iter().enumerate() {
                let active = node.drains.is_drained(domain);
                assert_eq!(active, expected, "seed {seed}: {domain} on node {index}");
            }
        }
    }
}

/// Guards against a drain that goes on for ever on a node which lost the history in which it ended.
#[test]
fn a_complete_read_ends_the_drains_that_it_does_not_name() {
    let mut drains = DomainDrains::default();
    drains.merge(vec![drain("albany", 10, true), drain("bunbury", 12, true)]);

    let changes = drains.merge_complete(vec![drain("albany", 10, true)], 20);

    assert_eq!(changes, [drain("bunbury", 20, false)]);
    assert!(drains.is_drained("albany"));
    assert!(!drains.is_drained("bunbury"));
}

/// Guards against the end of a drain that was ordered after the read, of which a peer has told.
#[test]
fn a_complete_read_does_not_end_a_later_drain() {
    let mut drains = DomainDrains::default();
    drains.merge(vec![drain("bunbury", 25, true)]);

    let changes = drains.merge_complete(Vec::new(), 20);

    assert_eq!(changes, []);
    assert!(drains.is_drained("bunbury"));
}

/// Guards against an ended drain that a peer which was cut off starts again on a node that was restarted since.
#[test]
fn an_order_from_before_a_complete_read_does_not_take_effect() {
    let mut drains = DomainDrains::default();
    drains.merge_complete(Vec::new(), 20);
    let stale = vec![drain("bunbury", 12, true)];

    let changes = drains.merge(stale);

    assert_eq!(changes, []);
    assert!(!drains.is_drained("bunbury"));
    assert_eq!(drains.snapshot(), [drain("bunbury", 20, false)]);
}

/// Guards against log lines and openings of the target for orders that change nothing.
#[test]
fn only_the_beginning_and_the_end_of_a_drain_are_changes() {
    let mut drains = DomainDrains::default();

    let ordered = drains.merge(vec![drain("bunbury", 3, true)]);
    let repeated = drains.merge(vec![drain("bunbury", 5, true)]);
    let ended = drains.merge(vec![drain("bunbury", 7, false)]);
    let ended_again = drains.merge(vec![drain("bunbury", 9, false)]);

    assert_eq!(ordered.len(), 1);
    assert_eq!(repeated, []);
    assert_eq!(ended, [drain("bunbury", 7, false)]);
    assert_eq!(ended_again, []);
    assert_eq!(drains.active_count(), 0);
}

/// Guards against replies that differ from those of earlier commits although no drain was ever ordered.
#[test]
fn a_reply_without_drains_has_the_bytes_of_earlier_commits() {
    let reply = MovesReply {
        json: b"{}".to_vec(),
        drains_json: Vec::new(),
    };

    let encoded = reply.encode_to_vec();

    assert_eq!(encoded, [0x0a, 2, b'{', b'}']);
    assert_eq!(DomainDrains::default().digest(), 0);
}
