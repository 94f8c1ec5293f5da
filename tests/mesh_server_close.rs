//! Requests that reach the HTTP server of a node about when it closes its connections.

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::body::Incoming,
    poplarwing::mesh::http::{ServerStop, serve},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread::sleep,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        task::{JoinHandle, spawn_blocking},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: node\r\n\r\n";

/// Open connections of clients; with one alone, the order of tasks could hide a fault.
const CONNECTIONS: usize = 32;

/// Time for which the server gets no processor before it closes.
const STARVED_TIME: Duration = Duration::from_millis(250);

/// Time limit of a read.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// A server that answers every request with an empty 200.
struct Server {
    address: SocketAddr,
    stop: ServerStop,
    task: JoinHandle<()>,
}

async fn start_server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let stop = ServerStop {
        close: CancellationToken::new(),
        connections: TaskTracker::new(),
    };
    let answer = |_: Request<Incoming>| async { Response::new(Full::new(Bytes::new())) };
    let task = tokio::spawn(serve(listener, stop.clone(), answer));
    Server {
        address,
        stop,
        task,
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connect");
    let limit = Some(READ_LIMIT);
    stream.set_read_timeout(limit).expect("set time limit");
    stream
}

/// Reads the head of a response; returns what came before the end of the connection if that is less.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|length| length > 0) {
        head.extend(byte);
    }
    String::from_utf8(head).expect("text")
}

/// Returns how many of the connections get a response.
async fn count_answers(streams: Vec<TcpStream>) -> usize {
    let reading = spawn_blocking(move || {
        let heads = streams.into_iter().map(|mut stream| read_head(&mut stream));
        heads
            .filter(|head| head.starts_with("HTTP/1.1 200"))
            .count()
    });
    reading.await.expect("task")
}

/// Guards against a stopping node that closes kept connections whose next request has come, but has not been read since
/// the node got no processor.
#[tokio::test]
async fn requests_that_came_before_the_close_are_answered() {
    let server = start_server().await;
    let address = server.address;
    let open = spawn_blocking(move || {
        let open = |_| {
            let mut stream = connect(address);
            stream.write_all(REQUEST).expect("send");
            assert!(read_head(&mut stream).starts_with("HTTP/1.1 200"));
            stream
        };
        (0..CONNECTIONS).map(open).collect::<Vec<_>>()
    });
    let mut streams = open.await.expect("task");
    // Nothing here returns to the runtime, which has one thread, until the server is told to close.
    for stream in &mut streams {
        stream.write_all(REQUEST).expect("send");
    }
    sleep(STARVED_TIME);

    server.stop.close.cancel();

    assert_eq!(count_answers(streams).await, CONNECTIONS);
    server.task.await.expect("the server ends");
}
