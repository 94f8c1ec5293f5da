//! HTTP/1.1 server of a node and the reading of whole bodies.

use {
    super::{
        client_io::{ClientIo, ReadAhead},
        refusal::WholeBody,
    },
    bytes::{Bytes, BytesMut},
    http::{Request, Response},
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

/// Longest time for the head of a request; also the longest idle time of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a closed connection waits for the client to close its side.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Pause after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A body that could not be read whole.
#[derive(Debug, Error)]
pub enum WholeBodyError {
    /// The sender broke off.
    #[error("read body: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than allowed.
    #[error("read body: longer than {limit} bytes")]
    OverLimit {
        /// Longest body allowed.
        limit: usize,
    },
}

/// Reads a body of at most `limit` bytes.
pub async fn read_whole(mut body: Incoming, limit: usize) -> Result<Bytes, WholeBodyError> {
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
        match &first {
            // Most bodies come in one piece, which needs no copy.
            None if rest.is_empty() => first = Some(data),
            None => rest.extend_from_slice(&data),
            Some(_) => {
                rest.extend_from_slice(&first.take().unwrap_or_default());
                rest.extend_from_slice(&data);
            }
        }
    }
    Ok(first.unwrap_or_else(|| rest.freeze()))
}

/// When a server stops, and what it waits for.
#[derive(Clone, Debug)]
pub struct ServerStop {
    /// Cancelled when connections are to end after the exchange in progress.
    pub close: CancellationToken,
    /// Connections that are open.
    pub connections: TaskTracker,
}

/// Serves HTTP/1.1 until `stop.close` is cancelled; open connections then end after their exchange.
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
                sleep(ACCEPT_PAUSE).await;
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
        let mut pump = pin!(ahead.fill_from(reader));
        let served = tokio::select! {
            served = serve_until_closed(connection, close) => served,
            // The client has left: what it asked for is dropped, also what has not been looked at.
            () = &mut pump => return,
        };
        if let Some(io) = served {
            linger(io, &ahead, pump).await;
        }
    });
}

/// Serves a connection to its end; gives its stream back if it ended in order.
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

/// Closes a connection so that the last answer arrives.
///
/// A socket that is closed with unread bytes, such as further requests of the client, resets the connection, and
/// the client would lose the answer that is on its way.
async fn linger(mut io: ClientIo, ahead: &ReadAhead, pump: Pin<&mut impl Future<Output = ()>>) {
    if io.shutdown().await.is_err() {
        return;
    }
    ahead.discard();
    if timeout(LINGER_TIME, pump).await.is_err() {
        tracing::debug!(
            step = "close connection",
            "the client did not close its side in time"
        );
    }
}
