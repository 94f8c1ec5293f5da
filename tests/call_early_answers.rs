//! Responses that a target sends before it has read the request, and responses whose status is not that of an answer.

#[path = "call_support/cluster.rs"]
mod cluster;

use {
    self::cluster::{
        TestNode, announcement, call, client, request, share_membership, start_node, test_config,
        whole_body,
    },
    http_body_util::BodyExt,
    poplarwing_standins::target::script::TargetScript,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Length of a request body that does not fit into the buffers between the node and a target that does not read it.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;

/// Time for which a half-closed connection stays open.
const HALF_CLOSE_TIME: Duration = Duration::from_millis(300);

/// Head and first part of a body whose end is marked by the connection.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nfirst part";

/// The same in HTTP/1.0.
const UNFRAMED_HTTP10: &str = "HTTP/1.0 200 OK\r\n\r\nfirst part";

/// The same with a coding that does not mark the end of the body either, but ends in the name of one that does.
const UNFRAMED_CODING: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: x-chunked\r\n\r\nfirst part";

/// Chunks of which the last one is missing.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nfirst part\r\n";

/// How a target ends a connection.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Reset,
    /// Unread bytes turn the close into a reset.
    Close,
    HalfClose,
}

/// What a target does with each request.
#[derive(Clone, Copy, Debug)]
struct EarlyResponse {
    /// Bytes of the request that are read before the response is sent.
    read_bytes: usize,
    text: &'static str,
    /// Time between the response and the end of the connection.
    wait: Duration,
    end: ConnectionEnd,
}

/// A target whose response can be changed.
struct EarlyTarget {
    address: SocketAddr,
    response: Arc<Mutex<EarlyResponse>>,
}

impl EarlyTarget {
    async fn start(response: EarlyResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let response = Arc::new(Mutex::new(response));
        let current = response.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond_early(stream, current.clone()));
            }
        });
        Self { address, response }
    }
}

async fn respond_early(mut stream: TcpStream, response: Arc<Mutex<EarlyResponse>>) {
    let mut buffer = vec![0; 16 * 1024];
    let Ok(mut read) = stream.read(&mut buffer).await else {
        return;
    };
    let response = *response.lock().expect("not poisoned");
    while read < response.read_bytes {
        match stream.read(&mut buffer).await {
            Ok(length @ 1..) => read += length,
            _ => return,
        }
    }
    if stream.write_all(response.text.as_bytes()).await.is_err() {
        return;
    }
    sleep(response.wait).await;
    match response.end {
        ConnectionEnd::Reset => stream.set_zero_linger().expect("set linger"),
        ConnectionEnd::Close => {}
        ConnectionEnd::HalfClose => {
            let _ = stream.shutdown().await;
            sleep(HALF_CLOSE_TIME).await;
        }
    }
}

/// Returns an entry node beside a target that responds early, and another entry node without a target.
async fn nodes_with(target: &EarlyTarget) -> [TestNode; 2] {
    let config = test_config();
    let nodes = [
        start_node("n1", &config, None).await,
        start_node("n2", &config, None).await,
    ];
    let announced = announcement("v1", &TargetScript::default(), target.address);
    nodes[0].local_target.announce(announced, Instant::now());
    share_membership(&[&nodes[0], &nodes[1]], 1);
    nodes
}

/// Uploads through a node; returns status and content of a response that looks complete.
async fn upload(node: &TestNode, id: &str) -> Option<(u16, String)> {
    let body = whole_body(vec![b'u'; UPLOAD_BYTES]);
    let response = client().request(request(node, "POST", "/signoff", id, body));
    let (head, body) = response.await.ok()?.into_parts();
    let content = body.collect().await.ok()?.to_bytes();
    let content = String::from_utf8_lossy(&content).into_owned();
    Some((head.status.as_u16(), content))
}

/// Guards against a truncated response that looks complete because the target broke off while the upload was written.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_response_that_breaks_off_during_the_upload_is_not_complete() {
    let mut cases = Vec::new();
    for text in [UNFRAMED, UNFRAMED_HTTP10, UNFRAMED_CODING, CHUNKED] {
        for read_bytes in [0, 64 * 1024, UPLOAD_BYTES / 2] {
            for wait_ms in [0, 20] {
                for end in [
                    ConnectionEnd::Reset,
                    ConnectionEnd::Close,
                    ConnectionEnd::HalfClose,
                ] {
                    cases.push(EarlyResponse {
                        read_bytes,
                        text,
                        wait: Duration::from_millis(wait_ms),
                        end,
                    });
                }
            }
        }
    }
    let target = EarlyTarget::start(cases[0]).await;
    let nodes = nodes_with(&target).await;

    let mut wrong = Vec::new();
    for (number, case) in cases.iter().enumerate() {
        *target.response.lock().expect("not poisoned") = *case;
        for node in &nodes {
            let response = upload(node, &format!("{}-{number}", node.id)).await;
            if response.as_ref().is_some_and(|(status, _)| *status < 500) {
                wrong.push(format!("{} {case:?}: {response:?}", node.id));
            }
        }
    }

    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a truncated response that looks complete because its coding is taken for chunks.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_response_without_a_marked_end_is_refused() {
    for text in [UNFRAMED, UNFRAMED_HTTP10, UNFRAMED_CODING] {
        let target = EarlyTarget::start(EarlyResponse {
            read_bytes: 0,
            text,
            wait: Duration::ZERO,
            end: ConnectionEnd::Close,
        })
        .await;
        for node in &nodes_with(&target).await {
            let response = call(node, "POST", "/signoff", "s", "").await;

            assert_eq!(
                (response.status, response.reason()),
                (502, Some("unframed-answer")),
                "{} {text:?}",
                node.id
            );
        }
    }
}

/// Guards against a response whose status is not that of a final answer, such as 000.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_status_outside_of_the_protocol_is_not_passed_on() {
    let mut wrong = Vec::new();
    for text in [
        "HTTP/1.1 000 Status\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 099 Status\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 101 Status\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 199 Status\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 600 Status\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 999 Status\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 20 Status\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 2000 Status\r\ncontent-length: 5\r\n\r\nhello",
    ] {
        let target = EarlyTarget::start(EarlyResponse {
            read_bytes: 0,
            text,
            wait: Duration::ZERO,
            end: ConnectionEnd::Close,
        })
        .await;
        // Each case gets new nodes, which have not ejected the target.
        for node in &nodes_with(&target).await {
            let response = call(node, "POST", "/signoff", "s", "").await;
            if (response.status, response.outcome()) != (502, Some("unknown")) {
                wrong.push(format!("{} {text:?}: {response:?}", node.id));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
