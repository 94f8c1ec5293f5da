//! HTTP/1.1 server of a node and the reading of whole bodies.

use {
    super::refusal::WholeBody,
    bytes::{Bytes, BytesMut},
    http::{Request, Response},
    http_body_util::BodyExt,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        future::{Future, poll_fn},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Longest time for the head of a request; also the longest idle time of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a closed connection waits for the client to close its side.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Bytes read at once from a connection whose requests are no longer served.
const LINGER_BUFFER_BYTES: usize = 2048;

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
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let close = stop.close.clone();
    stop.connections.spawn(async move {
        let ended = tokio::select! {
            ended = poll_fn(|context| connection.poll_without_shutdown(context)) => ended,
            () = close.cancelled() => {
                Pin::new(&mut connection).graceful_shutdown();
                poll_fn(|context| connection.poll_without_shutdown(context)).await
            }
        };
        match ended {
            Ok(()) => linger(connection.into_parts().io.into_inner()).await,
            Err(cause) => tracing::debug!(step = "serve connection", error = %cause),
        }
    });
}

/// Closes a connection so that the last answer arrives.
///
/// A socket that is closed with unread bytes, such as further requests of the client, resets the connection, and
/// the client would lose the answer that is on its way.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut dropped = [0; LINGER_BUFFER_BYTES];
    let drained =
        async { while matches!(stream.read(&mut dropped).await, Ok(read) if read > 0) {} };
    if timeout(LINGER_TIME, drained).await.is_err() {
        tracing::debug!(
            step = "close connection",
            "the client did not close its side in time"
        );
    }
}
