//! Exchanges between nodes on loopback: pulls of configurations, joins, evidence counters and gossip.

#[path = "support/fixed_seeds.rs"]
mod fixed_seeds;
#[allow(dead_code, reason = "each test file uses a part of the fixtures")]
#[path = "support/fleet.rs"]
mod fleet;

use {
    fixed_seeds::for_each_seed,
    fleet::{TestNode, snapshot, wait_for},
    futures::future::join_all,
    poplarwing::{
        apply_gate::{ApplyGate, ConfigSource},
        blackboard::Blackboard,
        call_evidence::CallObservation,
        config::{
            CallLimits, ConfigDelta, ConfigResource, CustomerSpec, ServiceKey, VersionedResource,
        },
        config_sync::{
            MAX_CONCURRENT_REQUESTS, PullOutcome, SyncError, delta_history::DeltaHistory,
            pull_config, request_evidence, request_join,
        },
        membership::MemberRecord,
        wire::{
            ConfigBusy, ConfigFullBody, ConfigPull, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION,
            PackedContent, SyncBody,
        },
        wire_codec::{FrameError, FrameStream},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
    },
};

fn open_board() -> Blackboard {
    let board = Blackboard::default();
    board.gate.set_floor(0);
    board
}

fn requester_name() -> String {
    "asker".to_owned()
}

fn decode_delta(body: Option<SyncBody>) -> Option<ConfigDelta> {
    match body {
        Some(SyncBody::ConfigDelta(body)) => serde_json::from_slice(&body.json).ok(),
        _ => None,
    }
}

/// Serves connections one after the other, each with the same response to its request.
async fn serve_response(response: SyncBody) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let mut frames = FrameStream::new(stream, peer, Duration::from_secs(30));
            let _ = frames.handshake("server").await;
            let _ = frames.receive().await;
            let _ = frames.send(response.clone()).await;
        }
    });
    address
}

/// Guards against a merged delta that does not lead to the latest configuration, and against a response without a delta
/// for the last 64 versions.
#[test]
fn history_returns_a_delta_from_each_kept_version_to_the_latest() {
    let mut history = DeltaHistory::new(Arc::new(snapshot(10)));
    for version in 11..=200 {
        history.record(Arc::new(snapshot(version)));
    }

    for have in 136..200 {
        let delta = decode_delta(history.response_for(have)).expect("the version is kept");
        assert_eq!(snapshot(have).with_delta(&delta), Ok(snapshot(200)));
    }
    assert!(matches!(
        history.response_for(135),
        Some(SyncBody::ConfigFull(_))
    ));
    assert!(matches!(
        history.response_for(0),
        Some(SyncBody::ConfigFull(_))
    ));
}

/// Guards against a history in which an older version replaces the latest one.
#[test]
fn history_ignores_older_configurations() {
    let mut history = DeltaHistory::new(Arc::new(snapshot(10)));
    history.record(Arc::new(snapshot(12)));
    history.record(Arc::new(snapshot(11)));

    let delta = decode_delta(history.response_for(10)).expect("one step back");

    assert_eq!(delta.to, 12);
}

/// Guards against the version in force falling, whatever the order in which whole configurations, deltas and floors
/// arrive.
#[test]
fn the_version_in_force_never_falls() {
    for_each_seed(2_000, |deliveries: Vec<(u8, u8, u8)>| {
        let gate = ApplyGate::default();
        let mut highest = 0;
        for (kind, first, second) in deliveries {
            let (first, second) = (u64::from(first) + 4, u64::from(second) + 4);
            let origin = ConfigSource::Peer("a".to_owned());
            match kind % 4 {
                0 => gate.set_floor(first),
                1 => drop(gate.try_apply(snapshot(first), &origin)),
                _ => {
                    let delta = snapshot(second).delta_from(&snapshot(first));
                    if let Ok(next) = gate.current().with_delta(&delta) {
                        drop(gate.try_apply(next, &origin));
                    }
                }
            }
            assert!(gate.version() >= highest);
            assert!(gate.version() == 0 || *gate.current() == snapshot(gate.version()));
            highest = gate.version();
        }
    });
}

/// Guards against a wrong version after the pull of a node without a version, a few versions behind, or up to date.
#[tokio::test]
async fn a_pull_brings_the_latest_version() {
    let server = TestNode::start_at("server", &[], 20).await;
    let board = open_board();

    let full = pull_config(server.address, &requester_name(), &board).await;
    (21..=25).for_each(|version| server.apply(version));
    let delta = pull_config(server.address, &requester_name(), &board).await;
    let nothing = pull_config(server.address, &requester_name(), &board).await;

    assert_eq!(full.ok(), Some(PullOutcome::Applied { version: 20 }));
    assert_eq!(delta.ok(), Some(PullOutcome::Applied { version: 25 }));
    assert_eq!(
        nothing.ok(),
        Some(PullOutcome::NothingNewer { version: 25 })
    );
    assert_eq!(*board.gate.current(), snapshot(25));
}

/// Guards against putting content in force that does not match its hash or whose version is below the floor.
#[tokio::test]
async fn a_wrong_hash_or_a_version_below_the_floor_is_not_put_in_force() {
    let json = serde_json::to_vec(&snapshot(9)).expect("serialisable");
    let right_hash = snapshot(9).content_hash();
    let wrong_hash = ConfigFullBody {
        json: json.clone(),
        hash: snapshot(8).content_hash(),
        packed: None,
    };
    let below_floor = ConfigFullBody {
        json,
        hash: right_hash,
        packed: None,
    };
    let wrong_hash_peer = serve_response(SyncBody::ConfigFull(wrong_hash)).await;
    let below_floor_peer = serve_response(SyncBody::ConfigFull(below_floor)).await;
    let board = open_board();
    board.gate.set_floor(10);

    let wrong_hash_result = pull_config(wrong_hash_peer, &requester_name(), &board).await;
    let below_floor_result = pull_config(below_floor_peer, &requester_name(), &board).await;

    assert!(matches!(wrong_hash_result, Err(SyncError::Response { .. })));
    assert!(matches!(
        below_floor_result,
        Err(SyncError::Response { .. })
    ));
    assert_eq!(board.gate.version(), 0);
}

/// Guards against treating a busy peer as one that has nothing newer.
#[tokio::test]
async fn a_pull_from_a_busy_peer_returns_its_retry_delay() {
    let busy = ConfigBusy {
        retry_after_ms: 150,
        have_version: 5,
    };
    let address = serve_response(SyncBody::ConfigBusy(busy)).await;

    let outcome = pull_config(address, &requester_name(), &open_board()).await;

    let retry_after = Duration::from_millis(150);
    assert_eq!(outcome.ok(), Some(PullOutcome::Busy { retry_after }));
}

/// Guards against concurrent pulls, five times as many as are served at once, that leave a node without the version.
#[tokio::test]
async fn every_node_of_a_pull_storm_gets_the_version() {
    let server = TestNode::start_at("server", &[], 20).await;
    let boards: Vec<Blackboard> = (0..MAX_CONCURRENT_REQUESTS * 5)
        .map(|_| open_board())
        .collect();

    join_all(boards.iter().map(|board| async {
        while board.gate.version() < 20 {
            if let Ok(PullOutcome::Busy { retry_after }) =
                pull_config(server.address, &requester_name(), board).await
            {
                tokio::time::sleep(retry_after).await;
            }
        }
    }))
    .await;

    assert!(boards.iter().all(|board| board.gate.version() == 20));
}

/// Guards against serving more than `MAX_CONCURRENT_REQUESTS` pulls concurrently: connections whose peers do
/// not read occupy all of them, and the next pull must be answered with `ConfigBusy`.
#[tokio::test]
async fn a_pull_beyond_the_concurrency_limit_is_answered_with_busy() {
    let server = TestNode::start_at("server", &[], 20).await;
    server.apply_large(21);
    let mut stalled = Vec::new();
    for _ in 0..MAX_CONCURRENT_REQUESTS {
        let stream = TcpStream::connect(server.address).await.expect("loopback");
        let mut frames = FrameStream::new(stream, server.address, Duration::from_secs(30));
        frames
            .handshake("silent")
            .await
            .expect("handshake succeeds");
        frames
            .send(SyncBody::ConfigPull(ConfigPull::default()))
            .await
            .expect("open");
        stalled.push(frames);
    }

    let busy = || server.gossip.counters().requests_busy.get();
    while busy() == 0 {
        let board = open_board();
        let pulled = pull_config(server.address, &requester_name(), &board).await;
        assert!(pulled.is_ok());
    }
    drop(stalled);
    let board = open_board();
    while board.gate.version() < 21 {
        let pulled = pull_config(server.address, &requester_name(), &board).await;
        assert!(pulled.is_ok());
    }
}

/// Guards against a malformed frame or a wrong protocol version that affects other connections than its own.
#[tokio::test]
async fn a_bad_frame_ends_only_its_connection() {
    let server = TestNode::start_at("server", &[], 20).await;
    let mut malformed = TcpStream::connect(server.address).await.expect("loopback");
    let good = TcpStream::connect(server.address).await.expect("loopback");
    let mut good = FrameStream::new(good, server.address, Duration::from_secs(30));
    good.handshake("good").await.expect("handshake succeeds");
    let newer_protocol = TcpStream::connect(server.address).await.expect("loopback");
    let mut newer_protocol =
        FrameStream::new(newer_protocol, server.address, Duration::from_secs(30));

    malformed.write_all(&[0xff; 64]).await.expect("open");
    let hello = Hello {
        protocol: PROTOCOL_VERSION + 1,
        node: "other".to_owned(),
    };
    newer_protocol
        .send(SyncBody::Hello(hello))
        .await
        .expect("open");
    let counters = server.gossip.counters();
    wait_for("two connections to be closed", || {
        counters.connections_failed.get() == 2
    })
    .await;
    good.send(SyncBody::ConfigPull(ConfigPull::default()))
        .await
        .expect("open");

    assert!(matches!(good.receive().await, Ok(SyncBody::ConfigFull(_))));
    let hello = newer_protocol.receive().await;
    let closed = newer_protocol.receive().await;
    assert!(matches!(hello, Ok(SyncBody::Hello(_))));
    let cause = closed.expect_err("the connection is closed").cause;
    assert!(
        matches!(cause, FrameError::Closed | FrameError::Io(_)),
        "{cause}"
    );
}

/// Guards against a member list of the largest fleet, 6,400 nodes, that does not fit well into a frame.
#[tokio::test]
async fn a_join_carries_6400_members() {
    let server = TestNode::start_at("server", &[], 20).await;
    let record = server.gossip.own();
    for index in 0..6_400 {
        let node = format!("node-with-a-long-name-{index}.wa-south.kestrel.example");
        let other = MemberRecord {
            node,
            ..record.clone()
        };
        server.board.members.lock().merge(other);
    }
    let joiner = TestNode::start("joiner", &[], 1).await;

    let peer_reply = request_join(server.address, &joiner.gossip)
        .await
        .expect("served");
    let merged = joiner.gossip.apply_join_reply(&peer_reply.reply);

    assert_eq!(merged, 6_401);
    assert!(joiner.gossip.counters().bytes_in() < MAX_FRAME_BYTES as u64 / 4);
}

/// Guards against a node that never joins because all its seeds were down when it started.
#[tokio::test]
async fn a_node_without_live_peers_joins_again() {
    let mut seed = TestNode::start_at("seed", &[], 20).await;
    seed.run_gossip();
    let mut lone_node = TestNode::start("alone", &[seed.address], 1).await;
    lone_node.board.gate.set_floor(0);

    lone_node.run_gossip();

    wait_for("both to know each other", || {
        lone_node.board.members.lock().len() == 2 && seed.board.members.lock().len() == 2
    })
    .await;
    wait_for("the version of the seed", || {
        lone_node.board.gate.version() == 20
    })
    .await;
}

/// Guards against evidence of another service in the reply, and against a reply whose `incarnation` changes with a
/// refutation, as if the node had restarted and its counters had begun again at 0.
#[tokio::test]
async fn an_evidence_reply_covers_only_the_requested_service() {
    let server = TestNode::start_at("server", &[], 20).await;
    let key = |service: &str| ServiceKey {
        customer: "kestrel".to_owned(),
        service: service.to_owned(),
    };
    server.board.evidence.lock().record(CallObservation {
        key: key("ledger"),
        version: "v1".to_owned(),
        route: "jobs".to_owned(),
        failed: true,
        latency: Duration::from_millis(3),
    });

    let first = request_evidence(server.address, &requester_name(), &key("ledger"))
        .await
        .expect("served");
    let other = request_evidence(server.address, &requester_name(), &key("roadeye"))
        .await
        .expect("served");

    assert_eq!(first.counters.len(), 1);
    assert_eq!(
        (first.counters[0].calls, first.counters[0].failures),
        (1, 1)
    );
    assert!(other.counters.is_empty());
    assert_eq!(first.incarnation, server.gossip.process_epoch());
}

/// Guards against a version that does not spread over real sockets, and against malformed datagrams that do more than
/// raise a counter.
#[tokio::test]
async fn nodes_on_sockets_spread_a_version() {
    let mut nodes = vec![TestNode::start_at("node-0", &[], 4).await];
    let seed = nodes[0].address;
    for index in 1..6 {
        let node = TestNode::start_at(&format!("node-{index}"), &[seed], 4).await;
        let peer_reply = request_join(seed, &node.gossip).await.expect("served");
        node.gossip.apply_join_reply(&peer_reply.reply);
        nodes.push(node);
    }
    nodes.iter_mut().for_each(TestNode::run_gossip);
    let bad_sender = tokio::net::UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("loopback");
    bad_sender
        .send_to(&[0xff; 30], seed)
        .await
        .expect("loopback");
    bad_sender
        .send_to(&[0; 2000], seed)
        .await
        .expect("loopback");

    nodes[2].apply(5);
    wait_for("version 5 on all nodes", || {
        nodes.iter().all(|node| node.board.gate.version() == 5)
    })
    .await;
    wait_for("six members everywhere", || {
        nodes
            .iter()
            .all(|node| node.board.members.lock().len() == 6)
    })
    .await;

    wait_for("two bad datagrams", || {
        nodes[0].gossip.counters().packets_bad.get() == 2
    })
    .await;
    assert!(
        nodes
            .iter()
            .all(|node| node.gossip.counters().bytes_out() > 0)
    );
}

/// Guards against long configurations that fill slow links: the parts that many resources have in common must compress.
#[tokio::test]
async fn a_long_configuration_is_packed_for_a_peer_that_supports_it() {
    let mut long = snapshot(20);
    for number in 0..300 {
        let resource = ConfigResource::Customer(CustomerSpec {
            customer: format!("further-{number}"),
            limits: CallLimits::default(),
        });
        let entry = VersionedResource {
            changed_at: 20,
            resource,
        };
        long.resources.insert(entry.resource.name(), entry);
    }
    let mut history = DeltaHistory::new(Arc::new(long.clone()));
    let Some(SyncBody::ConfigFull(plain)) = history.response_for(0) else {
        panic!("a whole configuration expected");
    };
    let Some(SyncBody::ConfigFull(packed)) = history.packed_response_for(0) else {
        panic!("a whole configuration expected");
    };
    let board = open_board();
    let address = serve_response(SyncBody::ConfigFull(packed.clone())).await;

    let outcome = pull_config(address, &requester_name(), &board).await;

    assert_eq!(outcome.ok(), Some(PullOutcome::Applied { version: 20 }));
    assert_eq!(*board.gate.current(), long);
    let block = packed.packed.expect("packed content").block;
    assert!(block.len() * 4 < plain.json.len(), "{} bytes", block.len());
    assert_eq!(packed.json, Vec::<u8>::new());
}

/// Guards against a peer that makes a node allocate memory without limit, and against packed content that cannot be
/// decompressed.
#[tokio::test]
async fn packed_content_that_is_too_long_or_invalid_is_rejected() {
    let body = |block: Vec<u8>, length| {
        SyncBody::ConfigFull(ConfigFullBody {
            json: Vec::new(),
            hash: snapshot(20).content_hash(),
            packed: Some(PackedContent { block, length }),
        })
    };
    let bodies = [
        body(vec![0; 16], u64::MAX),
        body(vec![0xf0; 400], 4000),
        body(Vec::new(), 100),
    ];
    for body in bodies {
        let address = serve_response(body).await;
        let board = open_board();

        let rejected = pull_config(address, &requester_name(), &board).await;

        assert!(
            matches!(rejected, Err(SyncError::Response { .. })),
            "{rejected:?}"
        );
        assert_eq!(board.gate.version(), 0);
    }
}
