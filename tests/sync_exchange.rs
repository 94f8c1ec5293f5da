//! Pulls, deltas and evidence between nodes on loopback.

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
            MAX_PULLS, PullOutcome, SyncError, ask_evidence, ask_join, delta_history::DeltaHistory,
            pull_config,
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

fn name() -> String {
    "asker".to_owned()
}

fn delta_of(body: Option<SyncBody>) -> Option<ConfigDelta> {
    match body {
        Some(SyncBody::ConfigDelta(body)) => serde_json::from_slice(&body.json).ok(),
        _ => None,
    }
}

/// Serves one connection with a fixed answer to a pull.
async fn serve_answer(answer: SyncBody) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let mut frames = FrameStream::new(stream, peer, Duration::from_secs(30));
            let _ = frames.greet("server").await;
            let _ = frames.receive().await;
            let _ = frames.send(answer.clone()).await;
        }
    });
    address
}

/// Guards against a joined delta that differs from the configuration it stands for.
#[test]
fn history_leads_from_each_kept_version_to_the_latest() {
    let mut history = DeltaHistory::new(Arc::new(snapshot(10)));
    for version in 11..=200 {
        history.record(Arc::new(snapshot(version)));
    }

    for have in 136..200 {
        let delta = delta_of(history.answer(have)).expect("the version is kept");
        assert_eq!(snapshot(have).with_delta(&delta), Ok(snapshot(200)));
    }
    assert!(matches!(history.answer(135), Some(SyncBody::ConfigFull(_))));
    assert!(matches!(history.answer(0), Some(SyncBody::ConfigFull(_))));
}

/// Guards against a recorded version being replaced by an older one.
#[test]
fn history_ignores_older_configurations() {
    let mut history = DeltaHistory::new(Arc::new(snapshot(10)));
    history.record(Arc::new(snapshot(12)));
    history.record(Arc::new(snapshot(11)));

    let delta = delta_of(history.answer(10)).expect("one step back");

    assert_eq!(delta.to, 12);
}

/// Guards against a version in force falling, whatever order whole configurations, deltas and floors
/// arrive in.
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
                1 => drop(gate.offer(snapshot(first), &origin)),
                _ => {
                    let delta = snapshot(second).delta_from(&snapshot(first));
                    if let Ok(next) = gate.current().with_delta(&delta) {
                        drop(gate.offer(next, &origin));
                    }
                }
            }
            assert!(gate.version() >= highest);
            assert!(gate.version() == 0 || *gate.current() == snapshot(gate.version()));
            highest = gate.version();
        }
    });
}

/// Guards against a peer slightly behind, far behind or ahead ending at a wrong version.
#[tokio::test]
async fn a_pull_brings_the_latest_version() {
    let server = TestNode::start_at("server", &[], 20).await;
    let board = open_board();

    let full = pull_config(server.address, &name(), &board).await;
    (21..=25).for_each(|version| server.apply(version));
    let delta = pull_config(server.address, &name(), &board).await;
    let nothing = pull_config(server.address, &name(), &board).await;

    assert_eq!(full.ok(), Some(PullOutcome::Applied { version: 20 }));
    assert_eq!(delta.ok(), Some(PullOutcome::Applied { version: 25 }));
    assert_eq!(
        nothing.ok(),
        Some(PullOutcome::NothingNewer { version: 25 })
    );
    assert_eq!(*board.gate.current(), snapshot(25));
}

/// Guards against content that does not match its hash, or is below the floor, being put in force.
#[tokio::test]
async fn a_false_hash_or_an_old_version_is_not_applied() {
    let json = serde_json::to_vec(&snapshot(9)).expect("serialisable");
    let good_hash = snapshot(9).content_hash();
    let false_hash = ConfigFullBody {
        json: json.clone(),
        hash: snapshot(8).content_hash(),
        packed: None,
    };
    let body = ConfigFullBody {
        json,
        hash: good_hash,
        packed: None,
    };
    let liar = serve_answer(SyncBody::ConfigFull(false_hash)).await;
    let honest = serve_answer(SyncBody::ConfigFull(body)).await;
    let board = open_board();
    board.gate.set_floor(10);

    let refused = pull_config(liar, &name(), &board).await;
    let below = pull_config(honest, &name(), &board).await;

    assert!(matches!(refused, Err(SyncError::Answer { .. })));
    assert!(matches!(below, Err(SyncError::Answer { .. })));
    assert_eq!(board.gate.version(), 0);
}

/// Guards against a busy peer being taken for one that has nothing newer.
#[tokio::test]
async fn a_busy_peer_asks_for_a_delay() {
    let busy = ConfigBusy {
        retry_after_ms: 150,
        have_version: 5,
    };
    let address = serve_answer(SyncBody::ConfigBusy(busy)).await;

    let outcome = pull_config(address, &name(), &open_board()).await;

    let retry_after = Duration::from_millis(150);
    assert_eq!(outcome.ok(), Some(PullOutcome::Busy { retry_after }));
}

/// Guards against a storm of pulls that leaves some node without the version.
#[tokio::test]
async fn a_storm_of_pulls_serves_everyone_in_the_end() {
    let server = TestNode::start_at("server", &[], 20).await;
    let boards: Vec<Blackboard> = (0..MAX_PULLS * 5).map(|_| open_board()).collect();

    join_all(boards.iter().map(|board| async {
        while board.gate.version() < 20 {
            if let Ok(PullOutcome::Busy { retry_after }) =
                pull_config(server.address, &name(), board).await
            {
                tokio::time::sleep(retry_after).await;
            }
        }
    }))
    .await;

    assert!(boards.iter().all(|board| board.gate.version() == 20));
}

/// Guards against more pulls being served at once than the bound: peers that do not read hold all
/// places, and the next pull must be told to come back.
#[tokio::test]
async fn the_seventeenth_pull_at_once_is_refused() {
    let server = TestNode::start_at("server", &[], 20).await;
    server.apply_large(21);
    let mut silent = Vec::new();
    for _ in 0..MAX_PULLS {
        let stream = TcpStream::connect(server.address).await.expect("loopback");
        let mut frames = FrameStream::new(stream, server.address, Duration::from_secs(30));
        frames.greet("silent").await.expect("greeted");
        frames
            .send(SyncBody::ConfigPull(ConfigPull::default()))
            .await
            .expect("open");
        silent.push(frames);
    }

    let busy = || server.gossip.counters().requests_busy.get();
    while busy() == 0 {
        let board = open_board();
        let pulled = pull_config(server.address, &name(), &board).await;
        assert!(pulled.is_ok());
    }
    drop(silent);
    let board = open_board();
    while board.gate.version() < 21 {
        let pulled = pull_config(server.address, &name(), &board).await;
        assert!(pulled.is_ok());
    }
}

/// Guards against a bad connection harming the others: the server closes only that one.
#[tokio::test]
async fn a_bad_frame_ends_only_its_connection() {
    let server = TestNode::start_at("server", &[], 20).await;
    let mut raw = TcpStream::connect(server.address).await.expect("loopback");
    let good = TcpStream::connect(server.address).await.expect("loopback");
    let mut good = FrameStream::new(good, server.address, Duration::from_secs(30));
    good.greet("good").await.expect("greeted");
    let other = TcpStream::connect(server.address).await.expect("loopback");
    let mut other = FrameStream::new(other, server.address, Duration::from_secs(30));

    raw.write_all(&[0xff; 64]).await.expect("open");
    let hello = Hello {
        protocol: PROTOCOL_VERSION + 1,
        node: "other".to_owned(),
    };
    other.send(SyncBody::Hello(hello)).await.expect("open");
    let counters = server.gossip.counters();
    wait_for("two connections to be closed", || {
        counters.connections_failed.get() == 2
    })
    .await;
    good.send(SyncBody::ConfigPull(ConfigPull::default()))
        .await
        .expect("open");

    assert!(matches!(good.receive().await, Ok(SyncBody::ConfigFull(_))));
    let greeted = other.receive().await;
    let closed = other.receive().await;
    assert!(matches!(greeted, Ok(SyncBody::Hello(_))));
    let cause = closed.expect_err("the connection is closed").cause;
    assert!(
        matches!(cause, FrameError::Closed | FrameError::Io(_)),
        "{cause}"
    );
}

/// Guards against the member list of the largest fleet exceeding a frame.
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

    let answer = ask_join(server.address, &joiner.gossip)
        .await
        .expect("served");
    let news = joiner.gossip.take_join_reply(&answer.reply);

    assert_eq!(news, 6_401);
    assert!(joiner.gossip.counters().bytes_in() < MAX_FRAME_BYTES as u64 / 4);
}

/// Guards against a node whose seeds were down when it joined staying alone.
#[tokio::test]
async fn a_node_that_is_alone_joins_again() {
    let mut seed = TestNode::start_at("seed", &[], 20).await;
    seed.run_gossip();
    let mut alone = TestNode::start("alone", &[seed.address], 1).await;
    alone.board.gate.set_floor(0);

    alone.run_gossip();

    wait_for("both to know each other", || {
        alone.board.members.lock().len() == 2 && seed.board.members.lock().len() == 2
    })
    .await;
    wait_for("the version of the seed", || {
        alone.board.gate.version() == 20
    })
    .await;
}

/// Guards against evidence of another service being returned, or a refutation looking like a restart.
#[tokio::test]
async fn evidence_is_that_of_the_service_asked_for() {
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

    let first = ask_evidence(server.address, &name(), &key("ledger"))
        .await
        .expect("served");
    let other = ask_evidence(server.address, &name(), &key("roadeye"))
        .await
        .expect("served");

    assert_eq!(first.counters.len(), 1);
    assert_eq!(
        (first.counters[0].calls, first.counters[0].failures),
        (1, 1)
    );
    assert!(other.counters.is_empty());
    assert_eq!(first.incarnation, server.gossip.start_number());
}

/// Guards against a version not spreading over real sockets, and against bad datagrams doing more than
/// being counted.
#[tokio::test]
async fn nodes_on_sockets_spread_a_version() {
    let mut nodes = vec![TestNode::start_at("node-0", &[], 4).await];
    let seed = nodes[0].address;
    for index in 1..6 {
        let node = TestNode::start_at(&format!("node-{index}"), &[seed], 4).await;
        let reply = ask_join(seed, &node.gossip).await.expect("served");
        node.gossip.take_join_reply(&reply.reply);
        nodes.push(node);
    }
    nodes.iter_mut().for_each(TestNode::run_gossip);
    let stranger = tokio::net::UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("loopback");
    stranger.send_to(&[0xff; 30], seed).await.expect("loopback");
    stranger.send_to(&[0; 2000], seed).await.expect("loopback");

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

/// Guards against long configurations that fill thin links: what is alike in many resources is not sent again and
/// again.
#[tokio::test]
async fn a_long_configuration_is_packed_for_a_peer_that_reads_this() {
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
    let Some(SyncBody::ConfigFull(plain)) = history.answer(0) else {
        panic!("a whole configuration expected");
    };
    let Some(SyncBody::ConfigFull(packed)) = history.packed_answer(0) else {
        panic!("a whole configuration expected");
    };
    let board = open_board();
    let address = serve_answer(SyncBody::ConfigFull(packed.clone())).await;

    let outcome = pull_config(address, &name(), &board).await;

    assert_eq!(outcome.ok(), Some(PullOutcome::Applied { version: 20 }));
    assert_eq!(*board.gate.current(), long);
    let block = packed.packed.expect("packed content").block;
    assert!(block.len() * 4 < plain.json.len(), "{} bytes", block.len());
    assert_eq!(packed.json, Vec::<u8>::new());
}

/// Guards against a peer that makes a node reserve memory without bound, or that sends what cannot be unpacked.
#[tokio::test]
async fn packed_content_that_is_too_long_or_invalid_is_refused() {
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
        let address = serve_answer(body).await;
        let board = open_board();

        let refused = pull_config(address, &name(), &board).await;

        assert!(
            matches!(refused, Err(SyncError::Answer { .. })),
            "{refused:?}"
        );
        assert_eq!(board.gate.version(), 0);
    }
}
