//! The floor of a restarted node.

#[path = "support/fixed_seeds.rs"]
mod fixed_seeds;
#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
#[path = "support/fleet.rs"]
mod fleet;

use {
    fixed_seeds::for_each_seed,
    fleet::{TestNode, wait_for},
    poplarwing::{
        config_sync::PeerReply,
        join::{FloorSource, JoinLedger, JoinOutcome, find_floor},
        wire::JoinReply,
    },
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU32, Ordering},
    },
    tokio_util::sync::CancellationToken,
};

fn reply(node: &str, version: u64, floor: u64, ready: bool) -> PeerReply {
    PeerReply {
        node: node.to_owned(),
        reply: JoinReply {
            config_version: version,
            floor,
            incarnation: 0,
            members: Vec::new(),
            ready,
        },
    }
}

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().expect("valid")
}

async fn join(node: &TestNode, head: Result<u64, &'static str>) -> JoinOutcome {
    let read = || async { head };
    let cancel = CancellationToken::new();
    find_floor(&node.settings, read, &node.gossip, &node.board, cancel).await
}

async fn peers(versions: &[u64]) -> Vec<TestNode> {
    let mut peers = Vec::new();
    for (index, version) in versions.iter().enumerate() {
        peers.push(TestNode::start_at(&format!("peer-{index}"), &[], *version).await);
    }
    peers
}

fn addresses(peers: &[TestNode]) -> Vec<SocketAddr> {
    peers.iter().map(|peer| peer.address).collect()
}

/// Guards against one peer that answers several times making up the quorum.
#[test]
fn a_quorum_needs_distinct_ready_peers() {
    let mut ledger = JoinLedger::new(3);
    ledger.note_store_failure();
    ledger.note_reply(address(), &reply("a", 5, 0, true));
    ledger.note_reply(address(), &reply("a", 5, 0, true));
    ledger.note_reply(address(), &reply("b", 6, 0, true));
    ledger.note_reply(address(), &reply("c", 9, 0, false));
    assert_eq!(ledger.source(), None);

    ledger.note_reply(address(), &reply("d", 4, 0, true));

    assert_eq!(ledger.source(), Some(FloorSource::Peers));
    assert_eq!(ledger.floor(), 6);
}

/// Guards against peers standing in for a store that has not failed.
#[test]
fn peers_do_not_replace_a_store_that_may_yet_answer() {
    let mut ledger = JoinLedger::new(1);

    ledger.note_reply(address(), &reply("a", 5, 0, true));

    assert_eq!(ledger.source(), None);
}

/// Guards against a peer that is not ready raising the floor with a version it cannot vouch for, or its
/// memory of this node being lost.
#[test]
fn a_peer_that_is_not_ready_counts_for_its_memory_only() {
    let mut ledger = JoinLedger::new(1);
    ledger.note_store_failure();

    ledger.note_reply(address(), &reply("a", 9, 7, false));

    assert_eq!(ledger.source(), None);
    assert_eq!(ledger.floor(), 7);
}

/// Guards against a floor below anything a ready peer had, or any peer remembered, in any order.
#[test]
fn the_floor_covers_every_reply_in_any_order() {
    for_each_seed(5_000, |replies: Vec<(u8, u16, u16, bool)>| {
        let mut ledger = JoinLedger::new(3);
        let mut floor = 0;
        for (node, version, remembered, ready) in replies {
            let (version, remembered) = (u64::from(version), u64::from(remembered));
            ledger.note_reply(
                address(),
                &reply(&node.to_string(), version, remembered, ready),
            );
            floor = floor.max(remembered).max(if ready { version } else { 0 });
            assert_eq!(ledger.floor(), floor);
        }
    });
}

/// Guards against a panic of a node whose peers have all answered before its read of the store succeeds, the usual
/// order of a restart into a healthy fleet.
#[tokio::test]
async fn peers_that_answer_before_the_store_do_not_end_the_join() {
    let mut peers = peers(&[20, 20, 21]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();
    let (gossip, board) = (node.gossip.clone(), node.board.clone());
    // The store answers only after all peers have.
    let reads = AtomicU32::new(0);
    let read = || async {
        if reads.fetch_add(1, Ordering::Relaxed) == 0 {
            wait_for("all members", || board.members.lock().len() == 4).await;
            // Lets the peers' part of the join end before the store's.
            tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        }
        Ok::<_, &'static str>(22)
    };

    let cancel = CancellationToken::new();
    let outcome = find_floor(&node.settings, read, &gossip, &node.board, cancel).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Store, 22));
}

/// Guards against a node going behind the head of a store that answers.
#[tokio::test]
async fn with_the_store_the_floor_is_its_head() {
    let mut peers = peers(&[20, 20, 21]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();

    let outcome = join(&node, Ok(22)).await;
    wait_for("all members", || node.board.members.lock().len() == 4).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Store, 22));
    let version = node.board.gate.version();
    assert_eq!(version, 0, "a version below the floor is in force");
}

/// Guards against a node above all its peers pulling from them again and again, only to refuse.
#[tokio::test]
async fn versions_below_the_floor_are_not_pulled() {
    let mut peers = peers(&[20, 20, 21]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();

    join(&node, Ok(22)).await;
    let counters = node.gossip.counters();
    wait_for("packets of the peers", || counters.packets_in.get() > 60).await;

    assert_eq!(counters.pulls_failed.get(), 0);
    assert_eq!(counters.pulls_applied.get(), 0);
}

/// Guards against a floor that rises with what peers accept after the read, and against the first pull
/// being left out.
#[tokio::test]
async fn with_the_store_a_newer_peer_is_pulled_from_but_does_not_raise_the_floor() {
    let mut peers = peers(&[22, 22, 22]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();
    // A peer that answered with 23 before the read would raise the floor by right.
    let read = || async {
        peers[1].apply(23);
        Ok::<_, &'static str>(22)
    };

    let cancel = CancellationToken::new();
    let outcome = find_floor(&node.settings, read, &node.gossip, &node.board, cancel).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Store, 22));
    wait_for("the newest version", || node.board.gate.version() == 23).await;
    assert!(node.board.gate.is_ready());
    assert_eq!(node.board.gate.floor(), 22);
}

/// The trap: the joiner had applied 22, two of three peers lag at 20, and the third, itself at 21,
/// remembers. Guards against applying 20 or 21 during an outage of the store.
#[tokio::test]
async fn in_an_outage_a_lagging_peer_does_not_take_the_node_back() {
    let peers = peers(&[20, 20, 21]).await;
    peers[2].board.members.lock().raise_floor("joiner", 22);
    let node = TestNode::start("joiner", &addresses(&peers), 1).await;

    let outcome = join(&node, Err("table is down")).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Peers, 22));
    assert_eq!(node.board.gate.version(), 0);
    assert!(!node.board.gate.is_ready());
}

/// Guards against a node staying without configuration although a peer at the floor is there.
#[tokio::test]
async fn in_an_outage_the_node_takes_the_highest_version_of_its_peers() {
    let mut peers = peers(&[20, 23, 21]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();

    let outcome = join(&node, Err("table is down")).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Peers, 23));
    wait_for("the highest version", || node.board.gate.version() == 23).await;
}

/// Guards against the quorum being filled by peers that have just restarted themselves: the node must
/// wait, and go on when the store answers again.
#[tokio::test]
async fn peers_that_are_not_ready_do_not_open_the_gate() {
    let mut seeds = Vec::new();
    for index in 0..3 {
        seeds.push(TestNode::start(&format!("peer-{index}"), &[], 1).await);
    }
    let node = TestNode::start("joiner", &addresses(&seeds), 1).await;
    let reads = AtomicU32::new(0);
    let head = || {
        let read = reads.fetch_add(1, Ordering::Relaxed);
        assert!(!node.board.gate.is_floor_known());
        async move {
            if read < 3 {
                Err("table is down")
            } else {
                Ok(8_u64)
            }
        }
    };

    let cancel = CancellationToken::new();
    let outcome = find_floor(&node.settings, head, &node.gossip, &node.board, cancel).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Store, 8));
    assert_eq!(reads.load(Ordering::Relaxed), 4);
}

/// Guards against a cancelled join opening the gate.
#[tokio::test]
async fn a_cancelled_join_leaves_the_gate_closed() {
    let node = TestNode::start("joiner", &[], 1).await;
    let cancel = CancellationToken::new();
    cancel.cancel();
    let head = || async { Err::<u64, _>("table is down") };

    let outcome = find_floor(&node.settings, head, &node.gossip, &node.board, cancel).await;

    assert_eq!(outcome.source, FloorSource::Cancelled);
    assert!(!node.board.gate.is_floor_known());
}

/// Guards against a restarted node whose records its peers take for older than those they remember.
#[tokio::test]
async fn a_restarted_node_is_above_the_incarnation_that_peers_remember() {
    let peers = peers(&[20, 20, 20]).await;
    let first = TestNode::start("joiner", &addresses(&peers), 5).await;
    join(&first, Err("table is down")).await;
    let remembered = first.gossip.own().incarnation;
    drop(first);

    let second = TestNode::start("joiner", &addresses(&peers), 1).await;
    join(&second, Err("table is down")).await;

    assert!(second.gossip.own().incarnation > remembered);
}
