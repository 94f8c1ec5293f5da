//! Calls during which the target, a node or the caller fails or disconnects.

#[path = "call_support/cluster.rs"]
mod cluster;

use {
    self::cluster::{
        HOST_NAME, TestNode, announcement, call, client, exchange, request, runs_of,
        share_membership, start_node, test_config, wait_until, whole_body,
    },
    futures::future::join_all,
    poplarwing::membership::{MemberRecord, TargetRecord},
    poplarwing_standins::{
        caller::is_own_answer,
        target::{
            StandinTarget,
            record::CallStage,
            script::{FailureKind, FailureRule, TargetScript},
        },
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
};

fn failing(kind: FailureKind) -> TargetScript {
    TargetScript {
        failures: vec![FailureRule::always(kind)],
        answer_bytes: 4000,
        ..TargetScript::default()
    }
}

/// Fails the first call as `kind` says and serves all others.
fn failing_once(kind: FailureKind) -> TargetScript {
    let mut script = failing(kind);
    script.failures[0].until_calls = Some(1);
    script
}

async fn two_nodes(script: &TargetScript) -> ([TestNode; 2], [StandinTarget; 2]) {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let targets = [
        nodes[0].add_target("v1", script.clone()).await,
        nodes[1].add_target("v1", script.clone()).await,
    ];
    share_membership(&[&nodes[0], &nodes[1]], 1);
    (nodes, targets)
}

/// An address that refuses connections; its bound socket keeps other processes from listening on it.
struct ClosedAddress {
    address: SocketAddr,
    _socket: TcpSocket,
}

fn closed_address() -> ClosedAddress {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("valid"))
        .expect("a free port");
    ClosedAddress {
        address: socket.local_addr().expect("bound"),
        _socket: socket,
    }
}

/// Returns the membership record of a node whose server is the test itself, with a target that does not exist.
fn test_served_node(id: &str, forward_address: SocketAddr, base: &TestNode) -> MemberRecord {
    MemberRecord {
        node: id.to_owned(),
        forward_address,
        target: Some(TargetRecord {
            key: cluster::service_key(),
            version: "v1".to_owned(),
            slots: 8,
            connections: 8,
            draining: false,
            demand: 0,
            left: None,
        }),
        ..base.record(1)
    }
}

/// Reads a request with a body of `body` bytes and returns its head; none if the connection ends first.
async fn read_request(stream: &mut TcpStream, body: usize) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => text.push(byte[0]),
            _ => return None,
        }
    }
    let mut content = vec![0; body];
    stream.read_exact(&mut content).await.ok()?;
    Some(String::from_utf8_lossy(&text).into_owned())
}

fn call_id_in(request: &str) -> String {
    let line = request.lines().find(|line| line.starts_with("x-call-id:"));
    line.expect("the id is forwarded")
        .replace("x-call-id: ", "")
}

const CONNECTION_FAILURES: [FailureKind; 3] = [
    FailureKind::CloseBeforeBody,
    FailureKind::CloseInBody,
    FailureKind::CloseBeforeHead,
];

/// Guards against a non-idempotent call that is retried, and so runs twice, because its connection failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_call_runs_once_when_its_connection_fails() {
    for kind in CONNECTION_FAILURES {
        let (nodes, targets) = two_nodes(&failing(kind)).await;
        for index in 0..6 {
            let id = format!("s{index}");
            let body = "x".repeat(30_000);
            let response = call(&nodes[index % 2], "POST", "/signoff", &id, &body).await;
            assert_eq!(
                (response.status, response.outcome()),
                (502, Some("unknown")),
                "{kind:?}"
            );
            let runs = runs_of(&[&targets[0], &targets[1]], &id);
            assert_eq!(runs.len(), 1, "{kind:?} {runs:?}");
        }
    }
}

/// Guards against a truncated response that looks complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_is_not_delivered_as_complete() {
    for chunked in [false, true] {
        let mut script = failing(FailureKind::CloseInAnswer);
        script.chunked = chunked;
        // More than the buffers on the path hold, so the caller gets the response head before the failure.
        script.answer_bytes = 20_000_000;
        let (nodes, targets) = two_nodes(&script).await;
        for index in 0..4 {
            let id = format!("a{index}");
            let response = call(&nodes[index % 2], "POST", "/signoff", &id, "x").await;
            assert_eq!(response.status, 200);
            assert!(response.body.is_err(), "chunked: {chunked}");
            assert_eq!(runs_of(&[&targets[0], &targets[1]], &id).len(), 1);
        }
    }
}

/// Guards against an idempotent call that fails without a retry although another target could serve it.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_is_retried_at_another_target() {
    let kinds = [
        FailureKind::CloseBeforeBody,
        FailureKind::CloseBeforeHead,
        FailureKind::Status(503),
    ];
    for kind in kinds {
        let config = test_config();
        let nodes = [
            start_node("n1", &config, None).await,
            start_node("n2", &config, None).await,
        ];
        let targets = [
            nodes[0].add_target("v1", failing_once(kind)).await,
            nodes[1].add_target("v1", failing_once(kind)).await,
        ];
        share_membership(&[&nodes[0], &nodes[1]], 1);

        // Each target fails its first call, so both attempts of call i1 fail and call i2 succeeds.
        let first = call(&nodes[0], "POST", "/jobs", "i1", "body").await;
        let second = call(&nodes[0], "POST", "/jobs", "i2", "body").await;

        assert_eq!(
            runs_of(&[&targets[0], &targets[1]], "i1").len(),
            2,
            "{kind:?}"
        );
        assert_ne!(first.outcome(), Some("not-run"), "{kind:?}");
        assert_eq!(second.status, 200, "{kind:?} {second:?}");
        assert!(is_own_answer("i2", b"body", &second.body.expect("whole")));
    }
}

/// Guards against retries that multiply the load on targets that are all failing.
#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_their_budget() {
    let (nodes, targets) = two_nodes(&failing(FailureKind::Status(503))).await;
    let started = Instant::now();
    for index in 0..60 {
        let response = call(&nodes[0], "GET", "/jobs", &format!("b{index}"), "").await;
        assert_eq!(response.status, 503);
    }

    let runs: usize = targets
        .iter()
        .map(|target| target.book().runs().len())
        .sum();
    let seconds = started.elapsed().as_secs() as usize + 1;
    // Retry tokens: 3 at the start, 3 a second, and one for every ten calls.
    assert!(runs > 60 && runs <= 60 + 3 + 3 * seconds + 6, "{runs}");
}

/// Guards against calls that fail because their target is down, although they never reached it.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_not_run_is_retried_at_another_target() {
    for round in 0..4 {
        for size in [10, 60_000, 400_000] {
            // Each call gets new nodes, because retries use up a node's retry budget, which refills only with time.
            let (nodes, target, _closed) = three_nodes_with_one_reachable_target().await;
            let id = format!("k{round}-{size}");
            let body = "y".repeat(size);
            // Bodies longer than the replay prefix wait for admission, so they can be sent again too.
            let response = call(&nodes[2], "POST", "/signoff", &id, &body).await;
            assert_eq!(response.status, 200, "{response:?}");
            let content = response.body.expect("whole");
            assert!(is_own_answer(&id, body.as_bytes(), &content), "{id}");
            assert_eq!(target.book().runs_of(&id).len(), 1);
        }
    }
}

/// Returns three nodes: the first one's target refuses connections, the second one's works, and the third has no target
/// but a fourth node in its membership table, which refuses connections.
async fn three_nodes_with_one_reachable_target()
-> ([TestNode; 3], StandinTarget, [ClosedAddress; 2]) {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
        start_node("n3", &config, None).await,
    ];
    let script = TargetScript::default();
    let closed = [closed_address(), closed_address()];
    let unreachable = announcement("v1", &script, closed[0].address);
    nodes[0].local_target.announce(unreachable, Instant::now());
    let target = nodes[1].add_target("v1", script).await;
    share_membership(&[&nodes[0], &nodes[1], &nodes[2]], 1);
    let unreachable_node = test_served_node("gone", closed[1].address, &nodes[0]);
    nodes[2].board.members.lock().merge(unreachable_node);
    (nodes, target, closed)
}

/// Guards against a caller that waits for the rest of a response beyond the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_response_ends_at_the_deadline() {
    let mut config = test_config();
    // Long enough for the response head to be read before the deadline, even on a busy machine.
    config.service.routes[1].deadline = Duration::from_millis(1500);
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let stalling = TargetScript {
        body_delay_ms: 600_000,
        ..TargetScript::default()
    };
    let target = nodes[1].add_target("v1", stalling).await;
    share_membership(&[&nodes[0], &nodes[1]], 1);

    for entry in &nodes {
        let id = format!("stall-{}", entry.id);
        let stalled = call(entry, "POST", "/signoff", &id, "");
        let response = timeout(cluster::WAIT_LIMIT, stalled)
            .await
            .expect("the response ends");
        assert_eq!(response.status, 200);
        assert!(response.body.is_err());
        assert_eq!(target.book().runs_of(&id).len(), 1);
    }
    let counters = || {
        nodes[1]
            .board
            .evidence
            .lock()
            .counters_of(&cluster::service_key())
    };
    wait_until("both calls count as failed", || {
        counters()
            .iter()
            .map(|counter| counter.failures)
            .sum::<u64>()
            == 2
    })
    .await;
}

/// Guards against a refusal that is lost because the node closes the connection while the caller still sends the body.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_arrives_while_the_caller_still_sends_the_body() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    share_membership(&[&node], 1);
    let mut stream = TcpStream::connect(node.call_address)
        .await
        .expect("connects");
    let body = vec![b'z'; 500_000];
    let head = format!(
        "POST /nowhere HTTP/1.1\r\nhost: {HOST_NAME}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );

    stream.write_all(head.as_bytes()).await.expect("sends");
    let mut status = [0; 12];
    stream
        .read_exact(&mut status)
        .await
        .expect("the refusal arrives");
    stream.write_all(&body).await.expect("the node still reads");
    let next = format!("GET /nowhere HTTP/1.1\r\nhost: {HOST_NAME}\r\nconnection: close\r\n\r\n");
    stream
        .write_all(next.as_bytes())
        .await
        .expect("the connection stays open");
    let mut rest = Vec::new();
    stream
        .read_to_end(&mut rest)
        .await
        .expect("the node answers");

    assert_eq!(&status, b"HTTP/1.1 404");
    let rest = String::from_utf8_lossy(&rest);
    assert!(rest.contains("HTTP/1.1 404"), "{rest}");
}

/// Guards against a refusal that claims "not run" after an earlier attempt may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_claims_not_run_only_if_no_attempt_ran() {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let target = nodes[0]
        .add_target("v1", failing(FailureKind::CloseBeforeHead))
        .await;
    let closed = closed_address();
    let unreachable = announcement("v1", &TargetScript::default(), closed.address);
    nodes[1].local_target.announce(unreachable, Instant::now());
    share_membership(&[&nodes[0], &nodes[1]], 1);

    let mut ran = 0;
    for index in 0..8 {
        let id = format!("m{index}");
        let response = call(&nodes[0], "GET", "/jobs", &id, "").await;
        let runs = target.book().runs_of(&id).len();
        ran += runs;
        match response.outcome() {
            Some("not-run") => assert_eq!(runs, 0),
            outcome => assert_eq!((response.status, outcome), (502, Some("unknown"))),
        }
    }
    assert!(ran > 0);
}

/// Guards against a request that reaches a node twice because its pooled connection was closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_never_sent_twice_over_a_stale_connection() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let served_by_test = test_served_node("n2", listener.local_addr().expect("bound"), &node);
    node.board.members.lock().merge(served_by_test);
    let seen = Arc::new(Mutex::new(Vec::new()));
    tokio::spawn(serve_one_then_close(listener, seen.clone()));

    for index in 0..40 {
        let id = format!("t{index}");
        let response = call(&node, "POST", "/signoff", &id, "12345").await;
        let sent = seen
            .lock()
            .expect("not poisoned")
            .iter()
            .filter(|seen| **seen == id)
            .count();
        match response.status {
            200 => assert_eq!(sent, 1),
            502 => assert!(sent <= 1 && response.outcome() == Some("unknown")),
            503 => assert!(sent == 0 && response.outcome() == Some("not-run")),
            status => panic!("{status}"),
        }
    }
    let seen = seen.lock().expect("not poisoned").clone();
    assert!(seen.len() >= 20, "{}", seen.len());
}

/// Responds to the first request of each connection; reads the second one and closes the connection without a response.
async fn serve_one_then_close(listener: TcpListener, seen: Arc<Mutex<Vec<String>>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let seen = seen.clone();
        tokio::spawn(async move {
            for answered in [true, false] {
                let Some(text) = read_request(&mut stream, 5).await else {
                    return;
                };
                seen.lock().expect("not poisoned").push(call_id_in(&text));
                if answered {
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(response).await.expect("sends");
                }
            }
        });
    }
}

/// Guards against a late response that is returned to the next call on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_response_is_not_returned_to_the_next_call() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let served_by_test = test_served_node("n2", listener.local_addr().expect("bound"), &node);
    node.board.members.lock().merge(served_by_test);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Some(text) = read_request(&mut stream, 0).await {
                    if call_id_in(&text).starts_with("late") {
                        sleep(Duration::from_millis(800)).await;
                    }
                    let id = call_id_in(&text);
                    let length = id.len();
                    let response =
                        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{id}");
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });

    for index in 0..6 {
        let late = format!("late{index}");
        let mut short_deadline = request(&node, "GET", "/signoff", &late, whole_body(""));
        let value = "400".parse().expect("valid");
        short_deadline
            .headers_mut()
            .insert("x-request-timeout-ms", value);
        let timed_out = exchange(&client(), short_deadline).await;
        let id = format!("next{index}");
        let next = call(&node, "GET", "/signoff", &id, "").await;

        assert_eq!(
            (timed_out.status, timed_out.outcome()),
            (504, Some("unknown"))
        );
        assert_eq!(next.body.expect("whole"), id.as_bytes());
    }
}

/// Guards against a connection to the target that is reused after its exchange missed the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_an_unfinished_exchange_is_not_used_again() {
    let mut config = test_config();
    config.service.routes[1].deadline = Duration::from_millis(800);
    let node = start_node("n1", &config, None).await;
    let target = node.add_target("v1", failing_once(FailureKind::Hang)).await;
    share_membership(&[&node], 1);

    let timed_out = call(&node, "POST", "/signoff", "hung", "").await;
    let next = call(&node, "POST", "/order", "next", "").await;

    assert_eq!(
        (timed_out.status, timed_out.outcome()),
        (504, Some("unknown"))
    );
    assert_eq!(timed_out.contract_line(), Some("kestrel:31"));
    assert_eq!(next.status, 200);
    let hung = target.book().runs_of("hung");
    let next = target.book().runs_of("next");
    assert_eq!((hung.len(), next.len()), (1, 1));
    assert_ne!(hung[0].connection, next[0].connection);
    wait_until("the target detects the closed connection", || {
        target.book().runs_of("hung")[0].stage == CallStage::Cancelled
    })
    .await;
}

/// Guards against targets that keep working for callers that have disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_and_cancellation_reach_the_target() {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let target = nodes[1].add_target("v1", failing(FailureKind::Hang)).await;
    share_membership(&[&nodes[0], &nodes[1]], 1);
    let mut outgoing = request(&nodes[0], "POST", "/signoff", "gone", whole_body("x"));
    let value = "20000".parse().expect("valid");
    outgoing.headers_mut().insert("x-request-timeout-ms", value);

    let caller = tokio::spawn(async move { client().request(outgoing).await.map(|_| ()) });
    wait_until("the target runs the call", || {
        target
            .book()
            .runs_of("gone")
            .iter()
            .any(|run| run.stage == CallStage::Received)
    })
    .await;
    caller.abort();
    wait_until("the target's call is cancelled", || {
        target.book().runs_of("gone")[0].stage == CallStage::Cancelled
    })
    .await;

    let timeout_ms = target.book().runs_of("gone")[0]
        .timeout_ms
        .expect("the timeout header is sent");
    assert!(timeout_ms > 0 && timeout_ms <= 20_000, "{timeout_ms}");
    wait_until("the load is released", || {
        nodes[0].board.loads.lock().in_flight("n2") == 0
    })
    .await;
    wait_until("the slot is released", || {
        nodes[1]
            .local_target
            .handle()
            .expect("announced")
            .gate
            .in_use()
            == 0
    })
    .await;
}

/// Guards against a slot that stays occupied by a caller that does not read its response.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_occupies_no_slot_after_the_deadline() {
    let mut config = test_config();
    config.service.routes[1].deadline = Duration::from_secs(2);
    let node = start_node("n1", &config, None).await;
    let script = TargetScript {
        answer_bytes: 40_000_000,
        ..TargetScript::default()
    };
    let target = node.add_target("v1", script).await;
    share_membership(&[&node], 1);
    let mut stream = TcpStream::connect(node.call_address)
        .await
        .expect("connects");
    let text = format!(
        "GET /signoff HTTP/1.1\r\nhost: {HOST_NAME}\r\nx-call-id: lazy\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.expect("sends");
    let mut head = [0; 12];
    stream
        .read_exact(&mut head)
        .await
        .expect("a response head arrives");
    assert_eq!(&head, b"HTTP/1.1 200");

    wait_until("the call ends at the node", || node.call_ends().len() == 2).await;
    let gate = node.local_target.handle().expect("announced").gate.clone();
    wait_until("the slot is released", || gate.in_use() == 0).await;

    assert_eq!(target.book().runs_of("lazy").len(), 1);
    let mut rest = Vec::new();
    let read = timeout(cluster::WAIT_LIMIT, stream.read_to_end(&mut rest)).await;
    read.expect("the connection is closed").ok();
    assert!(
        rest.len() < 40_000_000,
        "the caller can see that the response is incomplete"
    );
}

/// Guards against a healthy target that is ejected for all callers because one caller sets short deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn short_deadlines_of_a_caller_do_not_eject_a_target() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    let script = TargetScript {
        latency_ms: 30,
        ..TargetScript::default()
    };
    let _target = node.add_target("v1", script).await;
    share_membership(&[&node], 1);

    let short_deadline = (0..5).map(|index| {
        let mut outgoing = request(
            &node,
            "GET",
            "/signoff",
            &format!("q{index}"),
            whole_body(""),
        );
        let value = "5".parse().expect("valid");
        outgoing.headers_mut().insert("x-request-timeout-ms", value);
        async move { exchange(&client(), outgoing).await }
    });
    let responses = join_all(short_deadline).await;

    assert!(responses.iter().all(|response| response.status == 504));
    assert!(!node.board.loads.lock().is_ejected("n1", Instant::now()));
}

/// Guards against a response with neither a length nor chunks, whose truncation would go unnoticed.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_length_or_chunks_is_refused() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let announced = announcement("v1", &TargetScript::default(), address);
    node.local_target.announce(announced, Instant::now());
    share_membership(&[&node], 1);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        read_request(&mut stream, 0)
            .await
            .expect("a request arrives");
        let response = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nperhaps a part";
        stream.write_all(response).await.expect("sends");
    });

    let response = call(&node, "POST", "/signoff", "u", "").await;

    assert_eq!(
        (response.status, response.outcome()),
        (502, Some("unknown"))
    );
    assert_eq!(response.reason(), Some("unframed-answer"));
}
