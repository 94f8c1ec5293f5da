//! Calls through one or more nodes to healthy targets, and calls that a node refuses.

#[path = "call_support/cluster.rs"]
mod cluster;

use {
    self::cluster::{
        HOST_NAME, call, client, exchange, limit, request, running_move, runs_of, service_key,
        share_membership, start_node, test_config, wait_until, whole_body,
    },
    bytes::Bytes,
    futures::{future::join_all, stream},
    http::{Request, Version},
    http_body::Frame,
    http_body_util::{BodyExt, StreamBody},
    hyper::client::conn::http2,
    hyper_util::rt::{TokioExecutor, TokioIo},
    poplarwing::{
        call_events::{BodyEnd, CallSide},
        config::MovePhase,
        target_client::TargetAnnouncementBody,
        veto_table::VetoRecord,
    },
    poplarwing_standins::{
        caller::{CallerPlan, is_own_answer, run_plan, summarize},
        target::{
            StandinTarget, TargetIdentity,
            record::CallStage,
            script::{AnswerHeader, FailureKind, FailureRule, TargetScript},
        },
    },
    std::{net::SocketAddr, sync::atomic::Ordering, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

fn caller_plan(nodes: Vec<SocketAddr>) -> CallerPlan {
    CallerPlan {
        nodes,
        host: HOST_NAME.to_owned(),
        method: "POST".to_owned(),
        path: "/jobs/today".to_owned(),
        rate: 500.0,
        count: 400,
        concurrency: 64,
        body_bytes: 2000,
        timeout_ms: None,
        key_prefix: None,
        id_prefix: "c".to_owned(),
    }
}

/// Guards against responses that are returned to the wrong caller when they are late or out of order.
#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_the_complete_response_to_its_own_call() {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
        start_node("n3", &config, None).await,
    ];
    let slow = TargetScript {
        latency_ms: 12,
        answer_bytes: 70_000,
        chunked: true,
        ..TargetScript::default()
    };
    let increasing_latency = TargetScript {
        latency_per_call_ms: 2,
        body_delay_ms: 3,
        answer_bytes: 9_000,
        ..TargetScript::default()
    };
    let targets = [
        nodes[0].add_target("v1", slow.clone()).await,
        nodes[1].add_target("v1", increasing_latency).await,
        nodes[2].add_target("v1", slow).await,
    ];
    share_membership(&[&nodes[0], &nodes[1], &nodes[2]], 1);

    let addresses = nodes.iter().map(|node| node.call_address).collect();
    let records = run_plan(caller_plan(addresses))
        .await
        .expect("a valid plan");

    let summary = summarize(&records);
    assert_eq!((summary.answered, summary.crossed), (400, 0), "{summary:?}");
    let reached = targets
        .iter()
        .filter(|target| !target.book().runs().is_empty());
    assert!(reached.count() > 1, "calls were forwarded");
}

/// Guards against HTTP/2 callers that are not served, or that get responses to other streams.
#[tokio::test(flavor = "multi_thread")]
async fn http2_callers_get_their_own_responses() {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let _target = nodes[1].add_target("v1", TargetScript::default()).await;
    share_membership(&[&nodes[0], &nodes[1]], 1);
    let stream = TcpStream::connect(nodes[0].call_address)
        .await
        .expect("connects");
    let (sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("the node supports HTTP/2");
    tokio::spawn(connection);

    let calls = (0..20).map(|index| {
        let id = format!("h{index}");
        let request = Request::post(format!("http://{HOST_NAME}/signoff"))
            .version(Version::HTTP_2)
            .header("x-call-id", &id)
            .body(whole_body(id.clone()))
            .expect("a valid request");
        let mut sender = sender.clone();
        async move {
            let response = sender
                .send_request(request)
                .await
                .expect("a response head arrives");
            let body = response
                .into_body()
                .collect()
                .await
                .expect("a complete body");
            (id, body.to_bytes())
        }
    });
    let responses = join_all(calls).await;

    for (id, body) in responses {
        assert!(is_own_answer(&id, id.as_bytes(), &body), "{id}: {body:?}");
    }
}

/// Guards against a slot that is assigned to two calls at once, or not released after its call.
#[tokio::test(flavor = "multi_thread")]
async fn callers_together_never_exceed_slots_and_connections() {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let script = TargetScript {
        latency_ms: 5,
        slots: 3,
        connections: 4,
        ..TargetScript::default()
    };
    let few_connections = TargetScript {
        slots: 9,
        connections: 3,
        ..script.clone()
    };
    let targets = [
        nodes[0].add_target("v1", script).await,
        nodes[1].add_target("v1", few_connections).await,
    ];
    share_membership(&[&nodes[0], &nodes[1]], 1);

    let addresses = nodes.iter().map(|node| node.call_address).collect();
    let records = run_plan(caller_plan(addresses))
        .await
        .expect("a valid plan");

    for (target, connections) in targets.iter().zip([4, 3]) {
        let book = target.book();
        assert!(book.most_in_flight.load(Ordering::SeqCst) <= 3);
        assert!(book.most_connections.load(Ordering::SeqCst) <= connections);
        assert_eq!(book.shed.load(Ordering::SeqCst), 0);
    }
    let both = [&targets[0], &targets[1]];
    for record in &records {
        let runs = runs_of(&both, &record.id).len();
        match record.outcome.as_deref() {
            None => assert!(record.own_answer && runs == 1, "{record:?}"),
            Some("not-run") => assert_eq!(runs, 0, "{record:?}"),
            Some(_) => panic!("{record:?}"),
        }
    }
}

/// Guards against limits that are not enforced, and refusals that name the wrong contract line.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_by_limits_name_their_contract_line() {
    let mut config = test_config();
    config.service.routes[0].limits.rate = Some(limit(1, 21));
    config.service.routes[1].limits.concurrency = Some(limit(1, 22));
    config.service.routes[2].body_limit = limit(10, 23);
    let node = start_node("n1", &config, None).await;
    let script = TargetScript {
        latency_ms: 2000,
        ..TargetScript::default()
    };
    let target = node.add_target("v1", TargetScript::default()).await;
    share_membership(&[&node], 1);

    let ids: Vec<String> = (0..8).map(|index| format!("r{index}")).collect();
    let calls = ids.iter().map(|id| call(&node, "GET", "/jobs", id, ""));
    let by_rate = join_all(calls).await;
    target.set_script(script);
    let first = call(&node, "POST", "/signoff", "held", "");
    let second = async {
        wait_until("the first call runs", || {
            target.book().runs_of("held").len() == 1
        })
        .await;
        call(&node, "POST", "/signoff", "second", "").await
    };
    let (first, by_concurrency) = tokio::join!(first, second);
    let by_body = call(&node, "POST", "/order", "long", "more than ten bytes").await;

    let refused: Vec<_> = by_rate
        .iter()
        .filter(|response| response.status == 429)
        .collect();
    assert!(!refused.is_empty());
    for response in refused {
        assert_eq!(response.reason(), Some("rate-limit"));
        assert_eq!(response.contract_line(), Some("kestrel:21"));
        assert_eq!(response.outcome(), Some("not-run"));
    }
    assert_eq!(first.status, 200);
    assert_eq!(by_concurrency.status, 429);
    assert_eq!(by_concurrency.contract_line(), Some("kestrel:22"));
    assert_eq!((by_body.status, by_body.outcome()), (413, Some("not-run")));
    assert_eq!(by_body.contract_line(), Some("kestrel:23"));
    assert!(runs_of(&[&target], "second").is_empty());
    assert!(runs_of(&[&target], "long").is_empty());
}

/// Guards against a body of unknown length that exceeds its limit undetected.
#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_body_is_cut_off_at_its_limit() {
    let mut config = test_config();
    config.service.routes[1].body_limit = limit(100_000, 23);
    let node = start_node("n1", &config, None).await;
    let target = node.add_target("v1", TargetScript::default()).await;
    share_membership(&[&node], 1);
    let chunks = (0..8).map(|_| Ok(Frame::data(Bytes::from(vec![7_u8; 20_000]))));
    let body = StreamBody::new(stream::iter(chunks)).boxed_unsync();

    let response = exchange(&client(), request(&node, "POST", "/signoff", "big", body)).await;

    assert_eq!(
        (response.status, response.outcome()),
        (413, Some("unknown"))
    );
    assert_eq!(response.contract_line(), Some("kestrel:23"));
    wait_until("the target detects the aborted body", || {
        let runs = target.book().runs_of("big");
        runs.iter().all(|run| run.stage == CallStage::Cancelled)
    })
    .await;
    let received: u64 = target.book().runs().iter().map(|run| run.received).sum();
    assert!(received <= 100_000);
}

/// Guards against requests that nodes and targets could interpret differently.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    let target = node.add_target("v1", TargetScript::default()).await;
    share_membership(&[&node], 1);
    let host = format!("host: {HOST_NAME}\r\n");
    let requests = [
        format!("GET /jobs/../signoff HTTP/1.1\r\n{host}\r\n"),
        format!("GET /jobs/%2e%2E/signoff HTTP/1.1\r\n{host}\r\n"),
        format!("GET /jobs/..%2fsignoff HTTP/1.1\r\n{host}\r\n"),
        "GET /jobs HTTP/1.1\r\n\r\n".to_owned(),
        format!("GET /jobs HTTP/1.1\r\n{host}host: other.example\r\n\r\n"),
        format!("GET /jobs HTTP/1.1\r\n{host}x-request-timeout-ms: soon\r\n\r\n"),
        format!("POST /signoff HTTP/1.1\r\n{host}content-length: 5\r\ncontent-length: 6\r\n\r\n"),
        format!("POST /signoff HTTP/1.1\r\n{host}content-length: -1\r\n\r\n"),
        format!("GET /jobs HTTP/1.1\r\n{host}bad name: 1\r\n\r\n"),
        format!("CONNECT {HOST_NAME}:80 HTTP/1.1\r\n{host}\r\n"),
        "\0\0\0\r\n\r\n".to_owned(),
    ];

    for text in &requests {
        let mut stream = TcpStream::connect(node.call_address)
            .await
            .expect("connects");
        stream.write_all(text.as_bytes()).await.expect("sends");
        let mut response = vec![0; 12];
        stream
            .read_exact(&mut response)
            .await
            .expect("a response arrives");
        assert_eq!(&response[9..], b"400", "{text}");
    }

    assert!(target.book().runs().is_empty());
}

/// Guards against calls to unknown hosts or paths that reach a target.
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_a_route_are_refused() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    let _target = node.add_target("v1", TargetScript::default()).await;
    share_membership(&[&node], 1);

    let response = call(&node, "GET", "/jobsheets", "a", "").await;

    assert_eq!(
        (response.status, response.outcome()),
        (404, Some("not-run"))
    );
    assert_eq!(response.reason(), Some("no-route"));
}

/// Guards against a target whose response is taken for a node's refusal, and so retried although the call ran.
#[tokio::test(flavor = "multi_thread")]
async fn targets_cannot_claim_that_a_call_was_not_run() {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let forged_refusal = TargetScript {
        failures: vec![FailureRule::always(FailureKind::Status(503))],
        answer_headers: vec![AnswerHeader {
            name: "poplarwing-outcome".to_owned(),
            value: "not-run".to_owned(),
        }],
        ..TargetScript::default()
    };
    let targets = [
        nodes[0].add_target("v1", forged_refusal.clone()).await,
        nodes[1].add_target("v1", forged_refusal).await,
    ];
    share_membership(&[&nodes[0], &nodes[1]], 1);

    let response = call(&nodes[0], "POST", "/signoff", "once", "x").await;

    assert_eq!((response.status, response.outcome()), (503, None));
    assert_eq!(runs_of(&[&targets[0], &targets[1]], "once").len(), 1);
}

/// Guards against a caller that controls the routing by sending the headers that nodes use among themselves.
#[tokio::test(flavor = "multi_thread")]
async fn node_headers_are_not_accepted_from_callers() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    let target = node.add_target("v1", TargetScript::default()).await;
    share_membership(&[&node], 1);
    let mut forged = request(&node, "GET", "/jobs", "f", whole_body(""));
    let hop = "kestrel/yardboard/v9/signoff".parse().expect("valid");
    forged.headers_mut().insert("poplarwing-hop", hop);

    let response = exchange(&client(), forged).await;

    assert_eq!(response.status, 200);
    assert!(is_own_answer("f", b"", &response.body.expect("whole")));
    assert_eq!(target.book().runs_of("f").len(), 1);
}

/// Guards against a candidate version that gets calls after a veto or beyond its share.
#[tokio::test(flavor = "multi_thread")]
async fn the_candidate_gets_its_share_until_it_is_vetoed() {
    let mut config = test_config();
    config.split.current_move = Some(running_move(MovePhase::Ramp));
    config.split.candidate_permille = 250;
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let stable = nodes[0].add_target("v1", TargetScript::default()).await;
    let candidate = nodes[1].add_target("v2", TargetScript::default()).await;
    share_membership(&[&nodes[0], &nodes[1]], 1);

    let records = run_plan(caller_plan(vec![nodes[0].call_address]))
        .await
        .expect("a valid plan");
    let before = candidate.book().runs().len();
    nodes[0].board.vetoes.lock().add(VetoRecord {
        key: service_key(),
        move_id: 5,
        issuer: "n2".to_owned(),
        reason: "fails".to_owned(),
    });
    let after_veto = run_plan(caller_plan(vec![nodes[0].call_address]))
        .await
        .expect("a valid plan");

    assert_eq!(summarize(&records).answered, 400);
    assert_eq!(summarize(&after_veto).answered, 400);
    // A count of 400 draws with p = 0.25 falls outside these bounds with a chance below one in a million.
    assert!((55..=145).contains(&before), "{before}");
    assert_eq!(candidate.book().runs().len(), before);
    assert_eq!(stable.book().runs().len(), 800 - before);
}

/// Guards against calls that are missing in the version's call counters, and against missing call events.
#[tokio::test(flavor = "multi_thread")]
async fn the_targets_node_counts_each_call_given_to_its_target() {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let failing = TargetScript {
        failures: vec![FailureRule {
            path: Some("/jobs/bad".to_owned()),
            ..FailureRule::always(FailureKind::Status(500))
        }],
        ..TargetScript::default()
    };
    let _target = nodes[1].add_target("v1", failing).await;
    share_membership(&[&nodes[0], &nodes[1]], 1);

    for index in 0..6 {
        let path = if index % 3 == 0 { "/jobs/bad" } else { "/jobs" };
        call(&nodes[0], "GET", path, &format!("e{index}"), "").await;
    }
    wait_until("all calls have ended", || nodes[1].call_ends().len() == 6).await;

    let counters = nodes[1].board.evidence.lock().counters_of(&service_key());
    assert_eq!(counters.len(), 1);
    assert_eq!((counters[0].calls, counters[0].failures), (6, 2));
    assert!(
        nodes[0]
            .board
            .evidence
            .lock()
            .counters_of(&service_key())
            .is_empty()
    );
    wait_until("all responses have ended", || {
        nodes[0].call_ends().len() == 6
    })
    .await;
    let call_ends = nodes[0].call_ends();
    assert!(
        call_ends
            .iter()
            .all(|end| end.side == CallSide::Entry && end.body == BodyEnd::Whole)
    );
    let decisions = nodes[0].decisions();
    assert_eq!(decisions.len(), 6);
    assert!(decisions.iter().all(|decision| decision.node == "n2"));
}

/// Guards against a node that routes calls with a configuration older than it may use.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_target_or_configuration_refuses() {
    let config = test_config();
    let node = start_node("n1", &config, None).await;
    share_membership(&[&node], 1);
    let no_target = call(&node, "POST", "/signoff", "a", "").await;
    node.board.gate.set_floor(99);
    let not_ready = call(&node, "POST", "/signoff", "b", "").await;

    assert_eq!(
        (no_target.status, no_target.outcome()),
        (503, Some("not-run"))
    );
    assert_eq!(no_target.reason(), Some("no-target"));
    assert_eq!(
        (not_ready.status, not_ready.reason()),
        (503, Some("not-ready"))
    );
    assert_eq!(not_ready.outcome(), Some("not-run"));
}

/// Guards against a wrong exchange time at the entry node, by which its added latency would include the target's time,
/// and against the header with that time reaching callers.
#[tokio::test]
async fn the_entry_node_receives_the_targets_response_time() {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let slow = TargetScript {
        latency_ms: 30,
        ..TargetScript::default()
    };
    let _target = nodes[1].add_target("v1", slow).await;
    share_membership(&[&nodes[0], &nodes[1]], 1);

    let forwarded = call(&nodes[0], "GET", "/jobs", "t1", "").await;
    let local = call(&nodes[1], "GET", "/jobs", "t2", "").await;

    for (node, response) in [(&nodes[0], forwarded), (&nodes[1], local)] {
        assert_eq!(response.header("poplarwing-exchange-us"), None);
        wait_until("the call has ended", || !node.call_ends().is_empty()).await;
        let call_ends = node.call_ends();
        let end = call_ends.iter().find(|end| end.side == CallSide::Entry);
        let end = end.expect("the entry node reports the end");
        let exchange = end.exchange_time.expect("the target answered");
        assert!(exchange >= Duration::from_millis(30));
        assert!(exchange <= end.head_latency);
    }
}

/// Guards against target announcements that nodes cannot parse, and scripts that stand-in targets cannot parse.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_announces_itself_and_takes_its_script_by_http() {
    let admin = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = admin.local_addr().expect("bound");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = StandinTarget::start(listener, TargetScript::default()).expect("bound");
    let target_address = target.address();
    let identity = TargetIdentity {
        customer: "kestrel".to_owned(),
        service: "yardboard".to_owned(),
        version: "v1".to_owned(),
    };
    let script = r#"{"slots": 5, "reported_in_flight": 3, "draining": true}"#;
    let replace = Request::post(format!("http://{target_address}/script"))
        .body(whole_body(script))
        .expect("a valid request");

    let replaced = exchange(&client(), replace).await;
    let announcing = tokio::spawn(async move { target.announce(address, identity).await });
    let (mut stream, _) = admin.accept().await.expect("the target connects");
    let mut text = String::new();
    while !text.ends_with('}') {
        let mut part = [0; 1024];
        let read = stream
            .read(&mut part)
            .await
            .expect("the announcement arrives");
        text.push_str(&String::from_utf8_lossy(&part[..read]));
    }
    announcing.abort();

    assert_eq!(replaced.status, 204);
    assert!(text.starts_with("POST /v1/targets HTTP/1.1"), "{text}");
    let (_, body) = text.split_once("\r\n\r\n").expect("a body");
    let announced: TargetAnnouncementBody = serde_json::from_str(body).expect("readable");
    assert_eq!(announced.key(), service_key());
    assert_eq!((announced.slots, announced.in_flight), (5, Some(3)));
    assert!(announced.draining && announced.address == target_address);
}
