//! HTTP/1.1 server of a node and the reading of whole bodies.

use {
    super::refusal::WholeBody,
    bytes::{Bytes, BytesMut},
    http::{Request, Response},
    http_body_util::BodyExt,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, future::Future, time::Duration},
    thiserror::Error,
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Longest time for the head of a request; also the longest idle time of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

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
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
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
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<WholeBody>> + Send + 'static,
{
    if let Err(cause) = stream.set_nodelay(true) {
        tracing::debug!(step = "set nodelay", error = %cause);
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .pipeline_flush(true)
        .serve_connection(TokioIo::new(stream), service);
    let close = stop.close.clone();
    stop.connections.spawn(async move {
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = close.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(cause) = ended {
            tracing::debug!(step = "serve connection", error = %cause);
        }
    });
}
