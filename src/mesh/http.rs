//! HTTP/1.1 server of a node, and reading of whole bodies.

use {
    super::{
        client_connections::{ClientConnection, ClientConnections},
        client_io::{ClientIo, ReadAhead},
        held_bytes::{BodyShare, HeldBytes},
        refusal::WholeBody,
    },
    crate::client_limits::ConnectionEnd,
    bytes::Bytes,
    http::{HeaderValue, Request, Response, header::CONNECTION},
    http_body::Body,
    http_body_util::BodyExt,
    hyper::{
        body::Incoming,
        server::conn::http1,
        service::{HttpService, service_fn},
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        error::Error,
        future::{Future, pending},
        mem,
        pin::{Pin, pin},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        task::yield_now,
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Time limit for the head of a request, and for an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Smallest read buffer that the HTTP server accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// Time for which a connection waits for the client to close its side after the last response.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Time to wait after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Requests that are closed at most to make room for one body.
const ROOM_ATTEMPTS: usize = 16;

/// Time to wait for the bytes of a closed request.
const ROOM_DELAY: Duration = Duration::from_millis(2);

/// Time in which the refusal of a request whose connection is to be closed is handed to the socket.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Error of a body that could not be read as a whole.
#[derive(Debug, Error)]
pub enum WholeBodyError {
    /// The connection failed before the end of the body.
    #[error("read body: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than allowed.
    #[error("read body: longer than {limit} bytes")]
    OverLimit {
        /// Longest body allowed, in bytes.
        limit: usize,
    },
    /// The bodies that the node holds already take all the memory set aside for them.
    #[error("read body: the node holds too many bytes of other bodies")]
    NoMemory,
}

/// Reads a body of at most `limit` bytes, as long as the node may hold them.
pub async fn read_whole<B>(
    body: B,
    limit: usize,
    bytes: &HeldBytes,
) -> Result<Bytes, WholeBodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let mut body = pin!(body);
    let limit = limit.min(bytes.longest_body());
    let expected = body.size_hint().exact().map(|length| length as usize);
    let largest = expected.unwrap_or(limit).min(limit);
    let mut share = bytes.begin();
    let mut whole = Bytes::new();
    let mut content = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let length = whole.len() + content.len() + data.len();
        if length > limit {
            return Err(WholeBodyError::OverLimit { limit });
        }
        let fits_one_frame = expected == Some(data.len());
        let capacity = match fits_one_frame || length <= content.capacity() {
            true => length,
            false => (content.capacity() * 2).min(largest).max(length),
        };
        if !reserve(&mut share, capacity, bytes).await {
            return Err(WholeBodyError::NoMemory);
        }
        // Most bodies arrive in one frame, which needs no copy. Any other frame is copied, since it keeps the whole
        // read buffer of its connection in memory, however short it is.
        if fits_one_frame {
            whole = data;
            continue;
        }
        content.reserve_exact(capacity.saturating_sub(content.len()));
        content.extend_from_slice(&mem::take(&mut whole));
        content.extend_from_slice(&data);
    }
    Ok(share.hold(match content.is_empty() {
        true => whole,
        false => content.into(),
    }))
}

/// Grows the share of a body to `capacity` bytes, and closes requests that make no progress if there is no room.
async fn reserve(share: &mut BodyShare, capacity: usize, bytes: &HeldBytes) -> bool {
    for _ in 0..ROOM_ATTEMPTS {
        if share.grow_to(capacity) {
            return true;
        }
        if !bytes.make_room() {
            return false;
        }
        // The closed request returns its bytes when its task runs.
        sleep(ROOM_DELAY).await;
    }
    false
}

/// Stop signal of a server and its open connections.
#[derive(Clone, Debug)]
pub struct ServerStop {
    /// Cancelled to stop accepting connections and to close the open ones after the request in progress.
    pub close: CancellationToken,
    /// Tasks of the open connections.
    pub connections: TaskTracker,
}

/// Serves HTTP/1.1 until `stop.close` is cancelled; open connections then end after the request in progress.
pub async fn serve<H, F>(listener: TcpListener, stop: ServerStop, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Unpin + 'static,
    F: Future<Output = Response<WholeBody>> + Send + 'static,
{
    accept_until_closed(listener, &stop, |stream| {
        spawn_connection(stream, &stop, None, handler.clone());
    })
    .await;
}

/// Serves clients in the same way, within the limits of `clients`.
///
/// Requests carry their `ClientConnection` as an extension.
pub async fn serve_clients<H, F>(
    listener: TcpListener,
    stop: ServerStop,
    clients: ClientConnections,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Unpin + 'static,
    F: Future<Output = Response<WholeBody>> + Send + 'static,
{
    accept_until_closed(listener, &stop, |stream| {
        // A stream that is not admitted is closed at once.
        if let Some(connection) = clients.open() {
            spawn_connection(stream, &stop, Some(connection), handler.clone());
        }
    })
    .await;
}

async fn accept_until_closed(listener: TcpListener, stop: &ServerStop, start: impl Fn(TcpStream)) {
    loop {
        let accepted = tokio::select! {
            () = stop.close.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => start(stream),
            Err(cause) => {
                tracing::warn!(step = "accept connection", error = %cause);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    stop: &ServerStop,
    limited: Option<ClientConnection>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Unpin + 'static,
    F: Future<Output = Response<WholeBody>> + Send + 'static,
{
    if let Err(cause) = stream.set_nodelay(true) {
        tracing::debug!(step = "set nodelay", error = %cause);
    }
    let client = limited.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let client = client.clone();
        let handler = handler.clone();
        // The server polls this only after the socket has taken the body of the answer to the request before.
        Box::pin(async move {
            if let Some(client) = &client {
                begin_request(client, &mut request);
            }
            let mut answer = handler(request).await;
            if let Some(client) = &client {
                end_request(client, &mut answer);
            }
            Ok::<_, Infallible>(answer)
        })
    });
    let (reader, writer) = stream.into_split();
    let ahead = ReadAhead::new(limited.clone());
    let io = TokioIo::new(ClientIo::new(ahead.clone(), writer));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    match &limited {
        Some(limited) => builder
            .max_buf_size(limited.head_bytes().max(MIN_READ_BUFFER_BYTES))
            // The table of connections watches the time.
            .header_read_timeout(None),
        None => builder.header_read_timeout(HEAD_TIMEOUT),
    };
    let mut connection = builder.serve_connection(io, service);
    let close = stop.close.clone();
    stop.connections.spawn(async move {
        let mut filling = pin!(ahead.fill_from(reader));
        let mut end = tokio::select! {
            end = serve_until_closed(&mut connection, close) => end,
            // The client has disconnected: its requests are dropped, also those that have not been read yet.
            () = &mut filling => ConnectionEnd::ClientLeft,
            () = close_for_others(limited.as_ref()) => ConnectionEnd::Shed,
        };
        let io = connection.into_parts().io.into_inner();
        let has_answered = || {
            limited
                .as_ref()
                .is_some_and(|limited| limited.has_answered(LINGER_TIME))
        };
        match end {
            ConnectionEnd::Served => end = linger(io, &ahead, filling).await,
            ConnectionEnd::Shed if has_answered() => {
                linger(io, &ahead, filling).await;
            }
            _ => {}
        }
        if let Some(limited) = &limited {
            limited.end(end);
        }
    });
}

/// Marks the beginning of a request on its connection, and lets its handler know the connection.
///
/// A request without a body is complete from here on, whatever its handler waits for; the handler marks when any other
/// is. A request without a body on a connection that is being closed is refused by the handler like one whose body was
/// cut off.
fn begin_request(client: &ClientConnection, request: &mut Request<Incoming>) {
    client.begin_body();
    if request.body().is_end_stream() {
        client.begin_run();
    }
    request.extensions_mut().insert(client.clone());
}

/// Marks the end of a request, and tells the client if this is the last one on its connection.
fn end_request(client: &ClientConnection, answer: &mut Response<WholeBody>) {
    client.begin_answer();
    if client.is_outdated() || client.is_closing() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
}

/// Returns once a connection must be closed at once, for others or because it is over its time.
async fn close_for_others(limited: Option<&ClientConnection>) {
    let Some(limited) = limited else {
        return pending().await;
    };
    limited.shed().await;
    // A refusal may be delayed by what the request waits for, or by a busy processor. Its sending ends the connection.
    while limited.has_request() {
        sleep(REFUSAL_TIME).await;
    }
}

/// Serves a connection until it ends; returns `Served` if a last response must still arrive, `Broken` otherwise.
async fn serve_until_closed<S>(
    connection: &mut http1::Connection<TokioIo<ClientIo>, S>,
    close: CancellationToken,
) -> ConnectionEnd
where
    S: HttpService<Incoming, ResBody = WholeBody> + Unpin,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::Future: Unpin,
{
    // Polled as a whole, with its shutdown: without it, the server is done before the socket has taken the last answer.
    let ended = tokio::select! {
        biased;
        ended = &mut *connection => ended,
        () = closed_and_read(&close) => {
            Pin::new(&mut *connection).graceful_shutdown();
            connection.await
        }
    };
    if let Err(cause) = &ended {
        tracing::debug!(step = "serve connection", error = %cause);
    }
    // A head that is too long or invalid has been answered with a status.
    let answered = ended.is_ok() || ended.is_err_and(|cause| cause.is_parse());
    match answered {
        true => ConnectionEnd::Served,
        false => ConnectionEnd::Broken,
    }
}

/// Waits until connections are to be closed, and the requests that had come by then have been read.
///
/// A node that gets little processor time may not have read them yet, and an idle connection is closed at once.
async fn closed_and_read(close: &CancellationToken) {
    close.cancelled().await;
    // After the first yield the runtime knows which sockets have bytes, after the second they have been read.
    for _ in 0..2 {
        yield_now().await;
    }
}

/// Closes a connection so that the last response arrives (lingering close); returns how it ended.
///
/// Closing a socket with unread bytes, such as further requests, resets the connection, and the client could lose the
/// response that is on its way.
async fn linger(
    mut io: ClientIo,
    ahead: &ReadAhead,
    filling: Pin<&mut impl Future<Output = ()>>,
) -> ConnectionEnd {
    if io.shutdown().await.is_err() {
        return ConnectionEnd::Broken;
    }
    ahead.discard();
    if timeout(LINGER_TIME, filling).await.is_err() {
        tracing::debug!(
            step = "close connection",
            "the client did not close its side in time"
        );
    }
    match ahead.has_discarded() {
        true => ConnectionEnd::Unread,
        false => ConnectionEnd::Served,
    }
}
