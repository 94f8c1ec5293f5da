//! Join of a restarted node, which determines its floor: the lowest configuration version that it may put in force.

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
        join::{FloorSource, JoinOutcome, JoinProgress, join_and_find_floor},
        wire::JoinReply,
    },
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU32, Ordering},
    },
    tokio_util::sync::CancellationToken,
};

fn peer_reply(node: &str, version: u64, floor: u64, ready: bool) -> PeerReply {
    PeerReply {
        node: node.to_owned(),
        reply: JoinReply {
            config_version: version,
            floor,
            incarnation: 0,
            members: Vec::new(),
            ready,
            left_target: None,
        },
    }
}

fn unused_address() -> SocketAddr {
    "127.0.0.1:1".parse().expect("valid")
}

async fn run_join(node: &TestNode, head_result: Result<u64, &'static str>) -> JoinOutcome {
    let read_head = || async { head_result };
    let cancel = CancellationToken::new();
    join_and_find_floor(&node.settings, read_head, &node.gossip, &node.board, cancel).await
}

async fn start_peers(versions: &[u64]) -> Vec<TestNode> {
    let mut peers = Vec::new();
    for (index, version) in versions.iter().enumerate() {
        peers.push(TestNode::start_at(&format!("peer-{index}"), &[], *version).await);
    }
    peers
}

fn addresses(peers: &[TestNode]) -> Vec<SocketAddr> {
    peers.iter().map(|peer| peer.address).collect()
}

/// Guards against a quorum that counts a peer more than once or counts peers that are not ready.
#[test]
fn a_quorum_needs_distinct_ready_peers() {
    let mut progress = JoinProgress::new(3);
    progress.record_store_failure();
    progress.record_reply(unused_address(), &peer_reply("a", 5, 0, true));
    progress.record_reply(unused_address(), &peer_reply("a", 5, 0, true));
    progress.record_reply(unused_address(), &peer_reply("b", 6, 0, true));
    progress.record_reply(unused_address(), &peer_reply("c", 9, 0, false));
    assert_eq!(progress.source(), None);

    progress.record_reply(unused_address(), &peer_reply("d", 4, 0, true));

    assert_eq!(progress.source(), Some(FloorSource::Peers));
    assert_eq!(progress.floor(), 6);
}

/// Guards against a floor taken from peers while the store may still answer.
#[test]
fn peers_do_not_determine_the_floor_before_a_store_read_fails() {
    let mut progress = JoinProgress::new(1);

    progress.record_reply(unused_address(), &peer_reply("a", 5, 0, true));

    assert_eq!(progress.source(), None);
}

/// Guards against a floor raised by the version of a peer that is not ready, which may itself be behind, and against
/// losing the version that such a peer remembers of this node.
#[test]
fn a_peer_that_is_not_ready_raises_the_floor_only_to_what_it_remembers() {
    let mut progress = JoinProgress::new(1);
    progress.record_store_failure();

    progress.record_reply(unused_address(), &peer_reply("a", 9, 7, false));

    assert_eq!(progress.source(), None);
    assert_eq!(progress.floor(), 7);
}

/// Guards against a floor below a version that a ready peer has in force or any peer remembers of this node, whatever
/// the order of the replies.
#[test]
fn the_floor_covers_every_reply_in_any_order() {
    for_each_seed(5_000, |replies: Vec<(u8, u16, u16, bool)>| {
        let mut progress = JoinProgress::new(3);
        let mut floor = 0;
        for (node, version, remembered, ready) in replies {
            let (version, remembered) = (u64::from(version), u64::from(remembered));
            progress.record_reply(
                unused_address(),
                &peer_reply(&node.to_string(), version, remembered, ready),
            );
            floor = floor.max(remembered).max(if ready { version } else { 0 });
            assert_eq!(progress.floor(), floor);
        }
    });
}

/// Guards against a panic when all peers reply before the read of the store succeeds, the usual order when a node
/// restarts in a healthy fleet: the join awaits the collected replies a second time.
#[tokio::test]
async fn peers_that_reply_before_the_store_do_not_abort_the_join() {
    let mut peers = start_peers(&[20, 20, 21]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();
    let (gossip, board) = (node.gossip.clone(), node.board.clone());
    // The store answers only after all peers have replied.
    let reads = AtomicU32::new(0);
    let read_head = || async {
        if reads.fetch_add(1, Ordering::Relaxed) == 0 {
            wait_for("all members", || board.members.lock().len() == 4).await;
            // Leaves the join time to process the replies before the store answers.
            tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        }
        Ok::<_, &'static str>(22)
    };

    let cancel = CancellationToken::new();
    let outcome =
        join_and_find_floor(&node.settings, read_head, &gossip, &node.board, cancel).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Store, 22));
}

/// Guards against a node that puts a version older than the head of the store in force.
#[tokio::test]
async fn the_floor_is_the_head_of_a_store_that_answers() {
    let mut peers = start_peers(&[20, 20, 21]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();

    let outcome = run_join(&node, Ok(22)).await;
    wait_for("all members", || node.board.members.lock().len() == 4).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Store, 22));
    let version = node.board.gate.version();
    assert_eq!(version, 0, "a version below the floor of 22 is in force");
}

/// Guards against a node whose floor is above the versions of all peers pulling from them repeatedly and rejecting
/// each response.
#[tokio::test]
async fn versions_below_the_floor_are_not_pulled() {
    let mut peers = start_peers(&[20, 20, 21]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();

    run_join(&node, Ok(22)).await;
    let counters = node.gossip.counters();
    wait_for("packets of the peers", || counters.packets_in.get() > 60).await;

    assert_eq!(counters.pulls_failed.get(), 0);
    assert_eq!(counters.pulls_applied.get(), 0);
}

/// Guards against a floor that rises to versions that peers put in force after the read of the store, and against
/// leaving out the pull at the end of the join.
#[tokio::test]
async fn a_peer_newer_than_the_store_head_is_pulled_from_but_does_not_raise_the_floor() {
    let mut peers = start_peers(&[22, 22, 22]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();
    // The peer gets 23 only during the read of the store: a reply with 23 before it would rightly raise the floor.
    let read_head = || async {
        peers[1].apply(23);
        Ok::<_, &'static str>(22)
    };

    let cancel = CancellationToken::new();
    let outcome =
        join_and_find_floor(&node.settings, read_head, &node.gossip, &node.board, cancel).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Store, 22));
    wait_for("the newest version", || node.board.gate.version() == 23).await;
    assert!(node.board.gate.is_ready());
    assert_eq!(node.board.gate.floor(), 22);
}

/// Guards against a node that puts an older version in force than before its restart, during an outage of the store.
/// The joiner had 22 in force; two of its three peers have only 20, and the third has 21 but remembers the 22.
#[tokio::test]
async fn a_lagging_peer_does_not_roll_back_a_node_that_joins_during_a_store_outage() {
    let peers = start_peers(&[20, 20, 21]).await;
    peers[2].board.members.lock().raise_floor("joiner", 22);
    let node = TestNode::start("joiner", &addresses(&peers), 1).await;

    let outcome = run_join(&node, Err("table is down")).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Peers, 22));
    assert_eq!(node.board.gate.version(), 0);
    assert!(!node.board.gate.is_ready());
}

/// Guards against a node that stays without a configuration although a peer has a version at the floor.
#[tokio::test]
async fn a_node_that_joins_during_a_store_outage_pulls_the_highest_version_of_its_peers() {
    let mut peers = start_peers(&[20, 23, 21]).await;
    peers.iter_mut().for_each(TestNode::run_gossip);
    let mut node = TestNode::start("joiner", &addresses(&peers), 1).await;
    node.run_gossip();

    let outcome = run_join(&node, Err("table is down")).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Peers, 23));
    wait_for("the highest version", || node.board.gate.version() == 23).await;
}

/// Guards against a quorum of peers that have just restarted themselves: the node must wait until the store answers
/// again, and join then.
#[tokio::test]
async fn peers_that_are_not_ready_do_not_determine_the_floor() {
    let mut seeds = Vec::new();
    for index in 0..3 {
        seeds.push(TestNode::start(&format!("peer-{index}"), &[], 1).await);
    }
    let node = TestNode::start("joiner", &addresses(&seeds), 1).await;
    let reads = AtomicU32::new(0);
    let read_head = || {
        let earlier_reads = reads.fetch_add(1, Ordering::Relaxed);
        assert!(!node.board.gate.is_floor_known());
        async move {
            if earlier_reads < 3 {
                Err("table is down")
            } else {
                Ok(8_u64)
            }
        }
    };

    let cancel = CancellationToken::new();
    let outcome =
        join_and_find_floor(&node.settings, read_head, &node.gossip, &node.board, cancel).await;

    assert_eq!((outcome.source, outcome.floor), (FloorSource::Store, 8));
    assert_eq!(reads.load(Ordering::Relaxed), 4);
}

/// Guards against a cancelled join that marks the floor as known, after which `ApplyGate` would accept configurations.
#[tokio::test]
async fn a_cancelled_join_leaves_the_floor_unknown() {
    let node = TestNode::start("joiner", &[], 1).await;
    let cancel = CancellationToken::new();
    cancel.cancel();
    let read_head = || async { Err::<u64, _>("table is down") };

    let outcome =
        join_and_find_floor(&node.settings, read_head, &node.gossip, &node.board, cancel).await;

    assert_eq!(outcome.source, FloorSource::Cancelled);
    assert!(!node.board.gate.is_floor_known());
}

/// Guards against a restarted node whose records its peers ignore as older than those from before the restart.
#[tokio::test]
async fn a_restarted_node_takes_a_higher_incarnation_than_peers_remember() {
    let peers = start_peers(&[20, 20, 20]).await;
    let first = TestNode::start("joiner", &addresses(&peers), 5).await;
    run_join(&first, Err("table is down")).await;
    let remembered = first.gossip.own().incarnation;
    drop(first);

    let second = TestNode::start("joiner", &addresses(&peers), 1).await;
    run_join(&second, Err("table is down")).await;

    assert!(second.gossip.own().incarnation > remembered);
}
