//! HTTP/1.1 server of a node, and reading of whole bodies.

use {
    super::{
        client_io::{ClientIo, ReadAhead},
        held_bytes::HeldBytes,
        refusal::WholeBody,
    },
    bytes::{Bytes, BytesMut},
    http::{Request, Response},
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
        future::{Future, poll_fn},
        pin::{Pin, pin},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Time limit for the head of a request, and for an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a connection waits for the client to close its side after the last response.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Time to wait after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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
    let mut share = bytes.begin();
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let length = first.as_ref().map_or(0, Bytes::len) + rest.len();
        if length + data.len() > limit {
            return Err(WholeBodyError::OverLimit { limit });
        }
        if !share.grow_to(length + data.len()) {
            return Err(WholeBodyError::NoMemory);
        }
        match &first {
            // Most bodies arrive in one frame, which needs no copy.
            None if rest.is_empty() => first = Some(data),
            None => rest.extend_from_slice(&data),
            Some(_) => {
                rest.extend_from_slice(&first.take().unwrap_or_default());
                rest.extend_from_slice(&data);
            }
        }
    }
    Ok(share.hold(first.unwrap_or_else(|| rest.freeze())))
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
    loop {
        let accepted = tokio::select! {
            () = stop.close.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, &stop, handler.clone()),
            Err(cause) => {
                tracing::warn!(step = "accept connection", error = %cause);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection<H, F>(stream: TcpStream, stop: &ServerStop, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Unpin + 'static,
    F: Future<Output = Response<WholeBody>> + Send + 'static,
{
    if let Err(cause) = stream.set_nodelay(true) {
        tracing::debug!(step = "set nodelay", error = %cause);
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        Box::pin(async move { Ok::<_, Infallible>(answer.await) })
    });
    let (reader, writer) = stream.into_split();
    let ahead = ReadAhead::default();
    let io = ClientIo::new(ahead.clone(), writer);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(io), service);
    let close = stop.close.clone();
    stop.connections.spawn(async move {
        let mut filling = pin!(ahead.fill_from(reader));
        let served = tokio::select! {
            served = serve_until_closed(connection, close) => served,
            // The client has disconnected: its requests are dropped, also those that have not been read yet.
            () = &mut filling => return,
        };
        if let Some(io) = served {
            linger(io, &ahead, filling).await;
        }
    });
}

/// Serves a connection until it ends; returns its stream if it ended without an error.
async fn serve_until_closed<S>(
    mut connection: http1::Connection<TokioIo<ClientIo>, S>,
    close: CancellationToken,
) -> Option<ClientIo>
where
    S: HttpService<Incoming, ResBody = WholeBody> + Unpin,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    S::Future: Unpin,
{
    let ended = tokio::select! {
        ended = poll_fn(|context| connection.poll_without_shutdown(context)) => ended,
        () = close.cancelled() => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|context| connection.poll_without_shutdown(context)).await
        }
    };
    match ended {
        Ok(()) => Some(connection.into_parts().io.into_inner()),
        Err(cause) => {
            tracing::debug!(step = "serve connection", error = %cause);
            None
        }
    }
}

/// Closes a connection so that the last response arrives (lingering close).
///
/// Closing a socket with unread bytes, such as further requests, resets the connection, and the client could lose the
/// response that is on its way.
async fn linger(mut io: ClientIo, ahead: &ReadAhead, filling: Pin<&mut impl Future<Output = ()>>) {
    if io.shutdown().await.is_err() {
        return;
    }
    ahead.discard();
    if timeout(LINGER_TIME, filling).await.is_err() {
        tracing::debug!(
            step = "close connection",
            "the client did not close its side in time"
        );
    }
}
