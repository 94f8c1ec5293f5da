//! Nodes that drain while calls are in progress.

#[path = "call_support/cluster.rs"]
mod cluster;

use {
    self::cluster::{
        HOST_NAME, TEST_GRACE, TestNode, WAIT_LIMIT, call, client, exchange, request,
        share_membership, start_node, test_config, wait_until, whole_body,
    },
    bytes::Bytes,
    futures::stream,
    http_body::Frame,
    http_body_util::{BodyExt, StreamBody, combinators::UnsyncBoxBody},
    poplarwing_standins::{
        caller::is_own_answer,
        target::script::{FailureKind, FailureRule, TargetScript},
    },
    std::io::Error,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        time::{sleep, timeout},
    },
};

/// Returns a request body, and the sender by which the test adds its parts one by one.
fn body_from_parts() -> (UnboundedSender<Bytes>, UnsyncBoxBody<Bytes, Error>) {
    let (sender, receiver) = unbounded_channel();
    let frames = stream::unfold(receiver, |mut receiver: UnboundedReceiver<Bytes>| async {
        let part = receiver.recv().await?;
        Some((Ok(Frame::data(part)), receiver))
    });
    (sender, StreamBody::new(frames).boxed_unsync())
}

const PART: &[u8] = &[5; 50_000];

async fn two_nodes(script: TargetScript) -> (TestNode, TestNode, impl Sized) {
    let config = test_config();
    let entry = start_node("n1", &config, None).await;
    let other = start_node("n2", &config, None).await;
    let target = other.add_target("v1", script).await;
    share_membership(&[&entry, &other], 1);
    (entry, other, target)
}

/// Guards against an upload that is interrupted because a node on its path drains.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_in_progress_completes_while_both_nodes_drain() {
    let config = test_config();
    let entry = start_node("n1", &config, None).await;
    let other = start_node("n2", &config, None).await;
    let target = other.add_target("v1", TargetScript::default()).await;
    share_membership(&[&entry, &other], 1);
    let (part_sender, body) = body_from_parts();
    let upload = request(&entry, "POST", "/signoff", "film", body);
    let upload = tokio::spawn(async move { exchange(&client(), upload).await });
    part_sender
        .send(Bytes::from_static(PART))
        .expect("the upload runs");
    wait_until("the first part arrives", || {
        target
            .book()
            .runs_of("film")
            .iter()
            .any(|run| run.received == PART.len() as u64)
    })
    .await;

    entry.drain.cancel();
    other.drain.cancel();
    sleep(TEST_GRACE * 2).await;
    assert!(
        entry
            .servers
            .iter()
            .chain(&other.servers)
            .any(|server| !server.is_finished())
    );
    part_sender
        .send(Bytes::from_static(PART))
        .expect("the upload still runs");
    drop(part_sender);
    let response = timeout(WAIT_LIMIT, upload)
        .await
        .expect("ends")
        .expect("no panic");

    assert_eq!(response.status, 200);
    let sent = [PART, PART].concat();
    assert!(is_own_answer("film", &sent, &response.body.expect("whole")));
    timeout(WAIT_LIMIT, entry.wait_until_drained())
        .await
        .expect("the entry node ends");
    timeout(WAIT_LIMIT, other.wait_until_drained())
        .await
        .expect("the target's node ends");
}

/// Guards against an upload that is interrupted because the target responded before its end.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_continues_after_an_early_response() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    let script = TargetScript {
        failures: vec![FailureRule::always(FailureKind::AnswerEarly)],
        ..TargetScript::default()
    };
    let target = node.add_target("v1", script).await;
    share_membership(&[&node], 1);
    let (part_sender, body) = body_from_parts();
    part_sender
        .send(Bytes::from_static(PART))
        .expect("the body is not dropped");

    let response = exchange(&client(), request(&node, "POST", "/signoff", "early", body)).await;
    node.drain.cancel();
    let in_use = node.local_target.handle().expect("announced").gate.in_use();
    part_sender
        .send(Bytes::from_static(PART))
        .expect("the upload still runs");
    drop(part_sender);

    assert_eq!(response.status, 200);
    assert_eq!(in_use, 1, "the slot is held until the upload has ended");
    wait_until("the target has received the complete upload", || {
        target.book().runs_of("early")[0].received == 2 * PART.len() as u64
    })
    .await;
    timeout(WAIT_LIMIT, node.wait_until_drained())
        .await
        .expect("the node ends");
}

/// Guards against a draining node that closes idle connections, so that the next request on one fails instead of
/// being refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_refuses_calls_on_open_connections() {
    let (entry, other, _target) = two_nodes(TargetScript::default()).await;
    let client = client();
    let before = request(&entry, "POST", "/signoff", "before", whole_body(""));
    assert_eq!(exchange(&client, before).await.status, 200);

    entry.drain.cancel();
    let after = request(&entry, "POST", "/signoff", "after", whole_body("x"));
    let refused = exchange(&client, after).await;

    assert_eq!((refused.status, refused.outcome()), (503, Some("not-run")));
    assert_eq!(refused.reason(), Some("draining"));
    timeout(WAIT_LIMIT, entry.wait_until_drained())
        .await
        .expect("the entry node ends");
    drop(other);
}

/// Guards against calls that fail because a target's node drains, although another target is available.
#[tokio::test(flavor = "multi_thread")]
async fn calls_go_to_another_target_while_a_targets_node_drains() {
    let config = test_config();
    let entry = start_node("n1", &config, None).await;
    let leaving = start_node("n2", &config, None).await;
    let staying = start_node("n3", &config, None).await;
    let targets = [
        leaving.add_target("v1", TargetScript::default()).await,
        staying.add_target("v1", TargetScript::default()).await,
    ];
    share_membership(&[&entry, &leaving, &staying], 1);
    let warm = call(&entry, "POST", "/signoff", "warm", "").await;
    assert_eq!(warm.status, 200);

    leaving.drain.cancel();
    for index in 0..20 {
        let id = format!("d{index}");
        let response = call(&entry, "POST", "/signoff", &id, "body").await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(targets[0].book().runs_of(&id).is_empty());
        assert_eq!(targets[1].book().runs_of(&id).len(), 1);
    }
    timeout(WAIT_LIMIT, leaving.wait_until_drained())
        .await
        .expect("the leaving node ends");
}

/// Guards against a slow response that is interrupted because a node on its path drains.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_in_progress_completes_while_its_nodes_drain() {
    let script = TargetScript {
        body_delay_ms: 900,
        answer_bytes: 200_000,
        ..TargetScript::default()
    };
    let (entry, other, _target) = two_nodes(script).await;
    let outgoing = request(&entry, "GET", "/jobs", "slow", whole_body(""));
    let response = client()
        .request(outgoing)
        .await
        .expect("a response head arrives");

    entry.drain.cancel();
    other.drain.cancel();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the complete response arrives");

    assert!(is_own_answer("slow", b"", &body.to_bytes()));
    timeout(WAIT_LIMIT, entry.wait_until_drained())
        .await
        .expect("the entry node ends");
    timeout(WAIT_LIMIT, other.wait_until_drained())
        .await
        .expect("the target's node ends");
}

async fn open_connection(node: &TestNode) -> TcpStream {
    TcpStream::connect(node.call_address)
        .await
        .expect("the node listens")
}

/// Sends a call on a connection and returns the response head, or the part of it received before the connection closed.
async fn call_on(stream: &mut TcpStream, id: &str) -> String {
    let outgoing = format!(
        "POST /signoff HTTP/1.1\r\nhost: {HOST_NAME}\r\nx-call-id: {id}\r\ncontent-length: 0\r\n\r\n"
    );
    // If the connection has been closed, the head that is returned is incomplete.
    let _ = stream.write_all(outgoing.as_bytes()).await;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match timeout(WAIT_LIMIT, stream.read_u8()).await.expect("ends") {
            Ok(byte) => head.push(byte),
            Err(_) => break,
        }
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map_or(0, |length| length.parse().expect("a number"));
    let mut body = vec![0; length];
    stream
        .read_exact(&mut body)
        .await
        .expect("the complete body");
    head
}

/// Guards against a keep-alive connection that a draining node closes while the next request is under way: the last
/// response must carry `connection: close`.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_closes_keep_alive_connections_with_a_response() {
    let (entry, other, _target) = two_nodes(TargetScript::default()).await;
    let mut keep_alive = open_connection(&entry).await;
    let before = call_on(&mut keep_alive, "before").await;

    entry.drain.cancel();
    let after = call_on(&mut keep_alive, "after").await;

    assert!(before.starts_with("http/1.1 200"), "{before}");
    assert!(!before.contains("connection: close"), "{before}");
    assert!(after.starts_with("http/1.1 503"), "{after}");
    assert!(after.contains("connection: close"), "{after}");
    drop(other);
}

/// Guards against a request that fails because its connection was opened, or last used, shortly before the node stopped
/// listening.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_just_after_the_drain_grace_is_refused_on_an_open_connection() {
    let (entry, other, _target) = two_nodes(TargetScript::default()).await;
    let mut keep_alive = open_connection(&entry).await;
    let before = call_on(&mut keep_alive, "before").await;
    entry.drain.cancel();
    let mut fresh = open_connection(&entry).await;
    wait_until("the node no longer listens", || {
        std::net::TcpStream::connect(entry.call_address).is_err()
    })
    .await;

    let responses = [
        call_on(&mut keep_alive, "kept").await,
        call_on(&mut fresh, "fresh").await,
    ];

    assert!(before.starts_with("http/1.1 200"), "{before}");
    for response in responses {
        assert!(response.starts_with("http/1.1 503"), "{response:?}");
        assert!(response.contains("connection: close"), "{response:?}");
    }
    timeout(WAIT_LIMIT, entry.wait_until_drained())
        .await
        .expect("the entry node ends");
    drop(other);
}
