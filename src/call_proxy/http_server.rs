//! HTTP server that drains without cutting off a request.

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

/// Time for which a draining server still accepts connections and refuses calls.
///
/// Clients learn of the departure within this time: each answer asks them not to use its connection again.
pub const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Time for which connections stay open after the server stops accepting.
///
/// A client may have opened one at the last moment, or have sent its next request on a kept one.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Time after the last exchange for which a draining server waits for slow receivers.
const FLUSH_LIMIT: Duration = Duration::from_secs(10);

/// Longest time for the head of a request; also the longest idle time of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Connections served at once; further ones wait in the backlog of the socket.
const MAX_CONNECTIONS: usize = 8192;

/// HTTP/2 streams served at once on one connection.
const MAX_STREAMS: u32 = 256;

/// Pause after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// When a server stops, and what it waits for.
#[derive(Clone, Debug)]
pub struct DrainPlan {
    /// Cancelled when the server is to drain.
    pub drain: CancellationToken,
    /// Time for which connections are still accepted, and their calls refused.
    pub grace: Duration,
    /// Exchanges in progress.
    pub exchanges: TaskTracker,
}

/// Serves HTTP/1.1 and HTTP/2 in cleartext until drained.
pub async fn serve_http<H, F>(listener: TcpListener, plan: DrainPlan, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ExchangeBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let closing = async {
        plan.drain.cancelled().await;
        sleep(plan.grace).await;
    };
    tokio::pin!(closing);
    let handler = ending_handler(handler, plan.drain.clone());
    loop {
        tokio::select! {
            () = &mut closing => break,
            (stream, place) = accept(&listener, &places) => {
                spawn_connection(stream, place, &graceful, handler.clone());
            }
        }
    }
    for stream in take_backlog(listener) {
        let Ok(place) = places.clone().try_acquire_owned() else {
            break;
        };
        spawn_connection(stream, Some(place), &graceful, handler.clone());
    }
    sleep(LAST_REQUEST_TIME).await;
    plan.exchanges.close();
    tokio::select! {
        () = graceful.shutdown() => {}
        () = flushed(&plan.exchanges) => {}
    }
}

/// Returns a handler whose answers end their connections once the server drains.
///
/// A connection that the server closes while it is idle may cut off a request that is on its way. HTTP/2 has a
/// message of its own for this.
fn ending_handler<H, F>(
    handler: H,
    drain: CancellationToken,
) -> impl Fn(Request<Incoming>) -> BoxFuture<'static, Response<ExchangeBody>> + Clone + Send + 'static
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ExchangeBody>> + Send + 'static,
{
    move |request| {
        let has_streams = request.version() == Version::HTTP_2;
        let answer = handler(request);
        let drain = drain.clone();
        async move {
            let mut answer = answer.await;
            if drain.is_cancelled() && !has_streams {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            answer
        }
        .boxed()
    }
}

/// Returns the connections that wait to be accepted; the system resets those left when a listener is dropped.
fn take_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    if let Err(cause) = accept_waiting(listener, &mut streams) {
        tracing::warn!(step = "accept the last connections", error = %cause);
    }
    streams
}

fn accept_waiting(listener: TcpListener, streams: &mut Vec<TcpStream>) -> io::Result<()> {
    // Unlike the runtime's listener, this one also sees what came since the runtime last looked.
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

async fn flushed(exchanges: &TaskTracker) {
    exchanges.wait().await;
    sleep(FLUSH_LIMIT).await;
}

async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> (TcpStream, Option<OwnedSemaphorePermit>) {
    let place = places.clone().acquire_owned().await.ok();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return (stream, place),
            Err(cause) => {
                tracing::warn!(step = "accept connection", error = %cause);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    place: Option<OwnedSemaphorePermit>,
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
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let builder = connection_builder();
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        if let Err(cause) = watched.await {
            tracing::debug!(step = "serve connection", error = %cause);
        }
        drop(place);
    });
}

fn connection_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS);
    builder
}
