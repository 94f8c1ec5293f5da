//! HTTP server that drains without interrupting requests.

use {
    super::ExchangeBody,
    futures::future::{BoxFuture, FutureExt},
    http::{HeaderValue, Request, Response, Version, header::CONNECTION},
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto::Builder, graceful::GracefulShutdown},
    },
    std::{
        convert::Infallible,
        future::Future,
        io::{self, ErrorKind},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time::sleep,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Time during which a draining server still accepts connections and refuses calls.
///
/// Clients switch to other nodes within this time: over HTTP/1.1 each response asks them to close its connection.
pub const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Time during which connections stay open after the server stops accepting.
///
/// A client may have opened a connection at the last moment, or sent another request on a keep-alive connection.
const LAST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Time limit, after the last exchange, for clients to receive the data that is still being sent.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for receiving a request head; also the idle timeout of a connection.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Limit on concurrent connections; further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 8192;

/// Limit on concurrent HTTP/2 streams of one connection.
const MAX_HTTP2_STREAMS: u32 = 256;

/// Pause before the next accept after a failed one, usually for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// When a server drains, and what it waits for before it stops.
#[derive(Clone, Debug)]
pub struct DrainPlan {
    /// Cancelled to start the drain.
    pub drain: CancellationToken,
    /// Time during which connections are still accepted and their calls refused.
    pub grace: Duration,
    /// Exchanges in progress; the server stops only after they have ended.
    pub exchanges: TaskTracker,
}

/// Serves HTTP/1.1 and HTTP/2 in cleartext until the server has drained.
pub async fn serve_http<H, F>(listener: TcpListener, plan: DrainPlan, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ExchangeBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let grace_end = async {
        plan.drain.cancelled().await;
        sleep(plan.grace).await;
    };
    tokio::pin!(grace_end);
    let handler = close_on_drain(handler, plan.drain.clone());
    loop {
        tokio::select! {
            () = &mut grace_end => break,
            (stream, permit) = accept(&listener, &permits) => {
                spawn_connection(stream, permit, &graceful, handler.clone());
            }
        }
    }
    for stream in accept_backlog(listener) {
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            break;
        };
        spawn_connection(stream, Some(permit), &graceful, handler.clone());
    }
    sleep(LAST_REQUEST_GRACE).await;
    plan.exchanges.close();
    tokio::select! {
        () = graceful.shutdown() => {}
        () = wait_until_flushed(&plan.exchanges) => {}
    }
}

/// Returns a handler that adds `connection: close` to HTTP/1.1 responses while the server drains.
///
/// If the server closed an idle connection instead, a request already under way on it would be lost. HTTP/2 has the
/// GOAWAY frame for this.
fn close_on_drain<H, F>(
    handler: H,
    drain: CancellationToken,
) -> impl Fn(Request<Incoming>) -> BoxFuture<'static, Response<ExchangeBody>> + Clone + Send + 'static
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ExchangeBody>> + Send + 'static,
{
    move |request| {
        let is_http2 = request.version() == Version::HTTP_2;
        let response = handler(request);
        let drain = drain.clone();
        async move {
            let mut response = response.await;
            if drain.is_cancelled() && !is_http2 {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
        .boxed()
    }
}

/// Accepts the connections left in the backlog, which the operating system would reset when the listener is dropped.
fn accept_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    if let Err(cause) = accept_pending(listener, &mut streams) {
        tracing::warn!(step = "accept connections left in the backlog; those not accepted are reset", error = %cause);
    }
    streams
}

fn accept_pending(listener: TcpListener, streams: &mut Vec<TcpStream>) -> io::Result<()> {
    // Unlike Tokio's listener, this one also returns connections that arrived after the runtime's last poll.
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                streams.push(TcpStream::from_std(stream)?);
            }
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(cause) => return Err(cause),
        }
    }
}

async fn wait_until_flushed(exchanges: &TaskTracker) {
    exchanges.wait().await;
    sleep(FLUSH_TIMEOUT).await;
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> (TcpStream, Option<OwnedSemaphorePermit>) {
    let permit = permits.clone().acquire_owned().await.ok();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return (stream, permit),
            Err(cause) => {
                tracing::warn!(step = "accept connection; retried after a pause", error = %cause);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
    graceful: &GracefulShutdown,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ExchangeBody>> + Send + 'static,
{
    if let Err(cause) = stream.set_nodelay(true) {
        tracing::debug!(step = "set nodelay", error = %cause);
    }
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let builder = connection_builder();
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        if let Err(cause) = watched.await {
            tracing::debug!(step = "serve connection", error = %cause);
        }
        drop(permit);
    });
}

fn connection_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_HTTP2_STREAMS);
    builder
}
