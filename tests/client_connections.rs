//! Answers to clients on a server that closes connections for others.

use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    poplarwing::{
        client_limits::{ClientLimits, ShedReason},
        mesh::{
            client_connections::{ClientConnection, ClientConnections},
            http::{ServerStop, serve_clients},
            refusal::WholeBody,
        },
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        task::JoinHandle,
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Connections that the server allows.
const CONNECTIONS: usize = 24;

/// Length of an answer that does not fit into the buffers of the kernel, in bytes.
const LONG_ANSWER: usize = 16 << 20;

/// Length of an answer that the kernel of the server takes as a whole, and the one of the client does not.
const MEDIUM_ANSWER: usize = 300_000;

/// Path of requests that wait before they run.
const WAITING_PATH: &str = "/wait";

/// Repetitions of the test of a reset.
const ROUNDS: usize = 4;

/// Receive buffer of a client, in bytes.
const CLIENT_BUFFER: u32 = 4096;

/// Time limit of every wait; reached only if something is broken.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Time for which new connections press: many times the one after which a request counts as stalled.
const PRESS_TIME: Duration = Duration::from_secs(2);

struct TestServer {
    address: SocketAddr,
    clients: ClientConnections,
    close: CancellationToken,
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.close.cancel();
    }
}

impl TestServer {
    /// Starts a server whose answers have the length that the path names.
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let clients = ClientConnections::new(ClientLimits {
            connections: CONNECTIONS,
            buffer_bytes: 1 << 30,
        });
        let close = CancellationToken::new();
        let stop = ServerStop {
            close: close.clone(),
            connections: TaskTracker::new(),
        };
        tokio::spawn(serve_clients(listener, stop, clients.clone(), answer));
        Self {
            address,
            clients,
            close,
        }
    }

    /// Connects a client whose kernel takes few bytes in advance.
    async fn connect(&self) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("socket");
        socket.set_recv_buffer_size(CLIENT_BUFFER).expect("buffer");
        socket.connect(self.address).await.expect("connect")
    }

    /// Waits until no client is owed an answer.
    async fn wait_until_answered(&self) {
        let started = Instant::now();
        while self.clients.unanswered_count() > 0 {
            assert!(started.elapsed() < WAIT_LIMIT, "an answer is still owed");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until this many connections have been closed for others.
    async fn wait_for_sheds(&self, count: u64) {
        let started = Instant::now();
        let mut sheds = 0;
        while sheds < count {
            assert!(started.elapsed() < WAIT_LIMIT, "{sheds} connections closed");
            sleep(Duration::from_millis(5)).await;
            let taken = self.clients.take_sheds();
            sheds += taken
                .get(&ShedReason::Connections)
                .copied()
                .unwrap_or_default();
        }
        assert_eq!(sheds, count);
    }

    /// Opens connections that never complete a head, one after another and without end.
    fn press(&self) -> JoinHandle<()> {
        let address = self.address;
        tokio::spawn(async move {
            let mut open = Vec::new();
            loop {
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    let _ = stream.write_all(b"GET /1 HTTP/1.1\r\n").await;
                    open.push(stream);
                }
                if open.len() > 4 * CONNECTIONS {
                    open.remove(0);
                }
                sleep(Duration::from_millis(2)).await;
            }
        })
    }
}

/// Answers as a node does: after it has waited, as for the cap of an account, the request runs unless its connection is
/// being closed.
async fn answer(request: Request<Incoming>) -> Response<WholeBody> {
    let path = request.uri().path();
    if path == WAITING_PATH {
        sleep(PRESS_TIME / 2).await;
    }
    let client = request.extensions().get::<ClientConnection>();
    let runs = client.expect("a limited connection").begin_run();
    let length = path[1..].parse().unwrap_or(1);
    let mut response = Response::new(Full::new(Bytes::from(vec![b'a'; length])));
    if !runs {
        *response.status_mut() = StatusCode::REQUEST_TIMEOUT;
    }
    response
}

async fn ask(stream: &mut TcpStream, length: usize) {
    let text = format!("GET /{length} HTTP/1.1\r\nHost: node\r\n\r\n");
    stream.write_all(text.as_bytes()).await.expect("send");
}

/// Reads the rest of an answer whose body has this length; returns the bytes of the body that arrived.
async fn read_answer(stream: &mut TcpStream, mut received: Vec<u8>, length: usize) -> usize {
    let body_length = |received: &[u8]| {
        let head = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        head.map_or(0, |at| received.len() - at - 4)
    };
    let mut taken = body_length(&received);
    let mut chunk = vec![0; 64 * 1024];
    while taken < length {
        let read = timeout(WAIT_LIMIT, stream.read(&mut chunk)).await;
        let Ok(count @ 1..) = read.expect("bytes in time") else {
            return taken;
        };
        match taken {
            0 => {
                received.extend_from_slice(&chunk[..count]);
                taken = body_length(&received);
            }
            _ => taken += count,
        }
    }
    taken
}

/// Guards against answers that are cut while their clients take them, because new connections need room.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_taken_slowly_arrives_whole_beside_new_connections() {
    let server = TestServer::start().await;
    let mut stream = server.connect().await;
    ask(&mut stream, LONG_ANSWER).await;
    let pressing = server.press();
    let started = Instant::now();
    let mut received = Vec::new();
    let mut chunk = vec![0; 2048];

    while started.elapsed() < PRESS_TIME {
        let count = stream.read(&mut chunk).await.expect("an open connection");
        received.extend_from_slice(&chunk[..count]);
        sleep(Duration::from_millis(50)).await;
    }
    let taken = read_answer(&mut stream, received, LONG_ANSWER).await;

    pressing.abort();
    assert_eq!(taken, LONG_ANSWER);
}

/// Sends a request that waits before it runs, while new connections press; returns the first bytes of the answer, none
/// if the connection was closed.
async fn wait_under_pressure(text: &str) -> String {
    let server = TestServer::start().await;
    let mut stream = server.connect().await;
    stream.write_all(text.as_bytes()).await.expect("send");
    let pressing = server.press();
    let mut received = vec![0; 1024];
    let read = timeout(WAIT_LIMIT, stream.read(&mut received)).await;
    pressing.abort();
    let length = read.expect("bytes in time").expect("an open connection");
    String::from_utf8_lossy(&received[..length]).into_owned()
}

/// Guards against the close of a request that is complete, because it waits in the node for something before it runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_complete_request_that_waits_is_not_closed_for_new_connections() {
    let text = format!("GET {WAITING_PATH} HTTP/1.1\r\nHost: node\r\n\r\n");

    let received = wait_under_pressure(&text).await;

    assert!(received.starts_with("HTTP/1.1 200"), "{received:?}");
}

/// Guards against a connection that is closed for others before its request, whose body has not been read yet, gets the
/// refusal that promises that it has not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_given_up_for_others_gets_its_refusal() {
    let head = format!("POST {WAITING_PATH} HTTP/1.1\r\nHost: node\r\nContent-Length: 5\r\n\r\n");

    let received = wait_under_pressure(&(head + "hello")).await;

    assert!(received.starts_with("HTTP/1.1 408"), "{received:?}");
    assert!(received.contains("connection: close"), "{received:?}");
}

/// Guards against a connection that counts as one with a stalled answer after its client has taken all of it, so that
/// it is closed before others that have been idle for longer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_is_idle_once_a_slow_answer_has_been_taken() {
    let server = TestServer::start().await;
    let mut stream = server.connect().await;
    ask(&mut stream, LONG_ANSWER).await;
    // The server has filled the buffers of the kernel by then.
    sleep(Duration::from_millis(200)).await;

    let taken = read_answer(&mut stream, Vec::new(), LONG_ANSWER).await;

    assert_eq!(taken, LONG_ANSWER);
    server.wait_until_answered().await;
}

/// Guards against the reset of a connection that is closed for others while its last answer is on its way: the client
/// sends its next request before it has taken the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_on_its_way_arrives_although_the_connection_is_closed_for_others() {
    // A reset is not always faster than the bytes before it, so that one connection would not always show the fault.
    for round in 0..ROUNDS {
        let server = TestServer::start().await;
        let mut streams = Vec::new();
        for _ in 0..CONNECTIONS / 8 {
            let mut stream = server.connect().await;
            ask(&mut stream, MEDIUM_ANSWER).await;
            streams.push(stream);
        }
        sleep(Duration::from_millis(100)).await;
        server.wait_until_answered().await;
        let mut others = Vec::new();
        for _ in 0..CONNECTIONS {
            others.push(server.connect().await);
        }
        server.wait_for_sheds(streams.len() as u64).await;

        for stream in &mut streams {
            // The server may have closed the connection already.
            let _ = stream.write_all(b"GET /1 HTTP/1.1\r\n").await;
        }
        sleep(Duration::from_millis(50)).await;
        let mut taken = Vec::new();
        for stream in &mut streams {
            taken.push(read_answer(stream, Vec::new(), MEDIUM_ANSWER).await);
        }

        assert_eq!(taken, [MEDIUM_ANSWER; CONNECTIONS / 8], "round {round}");
    }
}

/// Guards against a stopping node that cuts the answers which it is sending when it closes its connections. They are the
/// last ones on their connections and say so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_answer_on_a_connection_arrives_whole_although_the_server_stops() {
    let server = TestServer::start().await;
    let mut stream = server.connect().await;
    let head = format!("GET /{LONG_ANSWER} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("send");
    // The server has filled the buffers of the kernel by then.
    sleep(Duration::from_millis(200)).await;

    server.close.cancel();

    let taken = read_answer(&mut stream, Vec::new(), LONG_ANSWER).await;
    assert_eq!(taken, LONG_ANSWER);
}

/// Guards against a full server whose connections have all been answered and that admits no new client: after an answer
/// that took some time, the HTTP server does not ask for the next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_have_been_answered_make_room_for_new_clients() {
    let server = TestServer::start().await;
    let mut kept = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = server.connect().await;
        let text = format!("GET {WAITING_PATH} HTTP/1.1\r\nHost: node\r\n\r\n");
        stream.write_all(text.as_bytes()).await.expect("send");
        kept.push(stream);
    }
    for stream in &mut kept {
        assert_eq!(read_answer(stream, Vec::new(), 1).await, 1);
    }

    // The clients keep the connections that the server closes, and one in eight is closed at a time.
    for number in 0..CONNECTIONS / 8 {
        let mut stream = server.connect().await;
        ask(&mut stream, 1).await;
        let taken = read_answer(&mut stream, Vec::new(), 1).await;
        assert_eq!(taken, 1, "new client {number}");
        kept.push(stream);
    }
}
