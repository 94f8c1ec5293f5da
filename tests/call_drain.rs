//! Nodes that drain while calls are in progress.

#[path = "call_support/cluster.rs"]
mod cluster;

use {
    self::cluster::{
        HOST_NAME, TEST_GRACE, TestNode, WAIT_LIMIT, call, client, exchange, link, plan, request,
        start_node, wait_until, whole_body,
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

/// Returns a body whose parts the test sends one by one.
fn fed_body() -> (UnboundedSender<Bytes>, UnsyncBoxBody<Bytes, Error>) {
    let (sender, receiver) = unbounded_channel();
    let frames = stream::unfold(receiver, |mut receiver: UnboundedReceiver<Bytes>| async {
        let part = receiver.recv().await?;
        Some((Ok(Frame::data(part)), receiver))
    });
    (sender, StreamBody::new(frames).boxed_unsync())
}

const PART: &[u8] = &[5; 50_000];

async fn two_nodes(script: TargetScript) -> (TestNode, TestNode, impl Sized) {
    let plan = plan();
    let entry = start_node("n1", &plan, None).await;
    let other = start_node("n2", &plan, None).await;
    let target = other.add_target("v1", script).await;
    link(&[&entry, &other], 1);
    (entry, other, target)
}

/// Guards against an upload that is cut off because one of its nodes is stopped.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_in_progress_outlives_the_drain_of_both_nodes() {
    let plan = plan();
    let entry = start_node("n1", &plan, None).await;
    let other = start_node("n2", &plan, None).await;
    let target = other.add_target("v1", TargetScript::default()).await;
    link(&[&entry, &other], 1);
    let (feed, body) = fed_body();
    let upload = request(&entry, "POST", "/signoff", "film", body);
    let upload = tokio::spawn(async move { exchange(&client(), upload).await });
    feed.send(Bytes::from_static(PART))
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
    feed.send(Bytes::from_static(PART))
        .expect("the upload still runs");
    drop(feed);
    let answer = timeout(WAIT_LIMIT, upload)
        .await
        .expect("ends")
        .expect("no panic");

    assert_eq!(answer.status, 200);
    let sent = [PART, PART].concat();
    assert!(is_own_answer("film", &sent, &answer.body.expect("whole")));
    timeout(WAIT_LIMIT, entry.drained())
        .await
        .expect("the entry node ends");
    timeout(WAIT_LIMIT, other.drained())
        .await
        .expect("the target's node ends");
}

/// Guards against an upload that is cut off because the target answered before its end.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_goes_on_after_an_early_answer() {
    let plan = plan();
    let node = start_node("n1", &plan, None).await;
    let script = TargetScript {
        failures: vec![FailureRule::always(FailureKind::AnswerEarly)],
        ..TargetScript::default()
    };
    let target = node.add_target("v1", script).await;
    link(&[&node], 1);
    let (feed, body) = fed_body();
    feed.send(Bytes::from_static(PART)).expect("a receiver");

    let answer = exchange(&client(), request(&node, "POST", "/signoff", "early", body)).await;
    node.drain.cancel();
    let in_use = node.local.handle().expect("announced").gate.in_use();
    feed.send(Bytes::from_static(PART))
        .expect("the upload still runs");
    drop(feed);

    assert_eq!(answer.status, 200);
    assert_eq!(in_use, 1, "the slot is held until the upload has ended");
    wait_until("the target has the whole upload", || {
        target.book().runs_of("early")[0].received == 2 * PART.len() as u64
    })
    .await;
    timeout(WAIT_LIMIT, node.drained())
        .await
        .expect("the node ends");
}

/// Guards against idle connections that close under a request, instead of refusing it.
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
    timeout(WAIT_LIMIT, entry.drained())
        .await
        .expect("the entry node ends");
    drop(other);
}

/// Guards against callers that lose calls while a target's node leaves.
#[tokio::test(flavor = "multi_thread")]
async fn calls_go_elsewhere_while_a_targets_node_drains() {
    let plan = plan();
    let entry = start_node("n1", &plan, None).await;
    let leaving = start_node("n2", &plan, None).await;
    let staying = start_node("n3", &plan, None).await;
    let targets = [
        leaving.add_target("v1", TargetScript::default()).await,
        staying.add_target("v1", TargetScript::default()).await,
    ];
    link(&[&entry, &leaving, &staying], 1);
    let warm = call(&entry, "POST", "/signoff", "warm", "").await;
    assert_eq!(warm.status, 200);

    leaving.drain.cancel();
    for index in 0..20 {
        let id = format!("d{index}");
        let answer = call(&entry, "POST", "/signoff", &id, "body").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(targets[0].book().runs_of(&id).is_empty());
        assert_eq!(targets[1].book().runs_of(&id).len(), 1);
    }
    timeout(WAIT_LIMIT, leaving.drained())
        .await
        .expect("the leaving node ends");
}

/// Guards against a slow answer that is cut off because its node is stopped.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_progress_outlives_the_drain() {
    let script = TargetScript {
        body_delay_ms: 900,
        answer_bytes: 200_000,
        ..TargetScript::default()
    };
    let (entry, other, _target) = two_nodes(script).await;
    let asked = request(&entry, "GET", "/jobs", "slow", whole_body(""));
    let answer = client().request(asked).await.expect("a head comes");

    entry.drain.cancel();
    other.drain.cancel();
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("the whole answer comes");

    assert!(is_own_answer("slow", b"", &body.to_bytes()));
    timeout(WAIT_LIMIT, entry.drained())
        .await
        .expect("the entry node ends");
    timeout(WAIT_LIMIT, other.drained())
        .await
        .expect("the target's node ends");
}

async fn open_connection(node: &TestNode) -> TcpStream {
    TcpStream::connect(node.call_address)
        .await
        .expect("the node listens")
}

/// Sends a call on a connection and returns the answer's head, or what came of it before the connection's end.
async fn call_on(stream: &mut TcpStream, id: &str) -> String {
    let asked = format!(
        "POST /signoff HTTP/1.1\r\nhost: {HOST_NAME}\r\nx-call-id: {id}\r\ncontent-length: 0\r\n\r\n"
    );
    // A connection that is closed meanwhile shows in the answer.
    let _ = stream.write_all(asked.as_bytes()).await;
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
    stream.read_exact(&mut body).await.expect("the whole body");
    head
}

/// Guards against a kept connection that a draining node closes while the next request crosses the close: the
/// caller must be told with the last answer not to use it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_ends_kept_connections_with_an_answer() {
    let (entry, other, _target) = two_nodes(TargetScript::default()).await;
    let mut kept = open_connection(&entry).await;
    let before = call_on(&mut kept, "before").await;

    entry.drain.cancel();
    let after = call_on(&mut kept, "after").await;

    assert!(before.starts_with("http/1.1 200"), "{before}");
    assert!(!before.contains("connection: close"), "{before}");
    assert!(after.starts_with("http/1.1 503"), "{after}");
    assert!(after.contains("connection: close"), "{after}");
    drop(other);
}

/// Guards against a request that is lost because its connection was opened, or last used, shortly before the node
/// stopped listening.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_just_after_the_grace_is_answered_on_an_open_connection() {
    let (entry, other, _target) = two_nodes(TargetScript::default()).await;
    let mut kept = open_connection(&entry).await;
    let before = call_on(&mut kept, "before").await;
    entry.drain.cancel();
    let mut fresh = open_connection(&entry).await;
    wait_until("the node no longer listens", || {
        std::net::TcpStream::connect(entry.call_address).is_err()
    })
    .await;

    let answers = [
        call_on(&mut kept, "kept").await,
        call_on(&mut fresh, "fresh").await,
    ];

    assert!(before.starts_with("http/1.1 200"), "{before}");
    for answer in answers {
        assert!(answer.starts_with("http/1.1 503"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
    }
    timeout(WAIT_LIMIT, entry.drained())
        .await
        .expect("the entry node ends");
    drop(other);
}
