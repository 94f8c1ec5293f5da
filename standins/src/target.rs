//! A target whose behaviour is scripted and which records every call it ran.

pub mod record;
pub mod script;

use {
    self::{
        record::{CallRun, CallStage, CountGuard, TargetRecordBook},
        script::{FailureKind, TargetScript},
    },
    bytes::{Bytes, BytesMut},
    futures::stream,
    http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE},
    http_body::Frame,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::{
        client::legacy::Client,
        rt::{TokioExecutor, TokioIo},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::Serialize,
    std::{
        collections::VecDeque,
        iter::repeat_n,
        mem::take,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError, atomic::Ordering},
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::{interval, sleep},
    },
    tokio_util::sync::CancellationToken,
    xxhash_rust::xxh3::xxh3_64,
};

/// Header that names a call.
pub const CALL_ID_HEADER: &str = "x-call-id";

/// Header that carries the remaining deadline.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Path under which the script is replaced.
const SCRIPT_PATH: &str = "/script";

/// Path under which the history is read.
const HISTORY_PATH: &str = "/history";

/// Time between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);

/// Filling of long answers.
const PADDING: &[u8] = &[b'x'; 64 * 1024];

type AnswerBody = UnsyncBoxBody<Bytes, CallBroken>;

/// A call that is broken off on purpose, or whose caller went away.
#[derive(Clone, Copy, Debug, Error)]
#[error("the call was broken off")]
pub struct CallBroken;

/// Who a stand-in target says it is.
#[derive(Clone, Debug, Serialize)]
pub struct TargetIdentity {
    /// Customer that owns the service.
    pub customer: String,
    /// Service that the target serves.
    pub service: String,
    /// Version that the target runs.
    pub version: String,
}

/// Announcement of a target to its node.
#[derive(Clone, Debug, Serialize)]
struct AnnouncementBody {
    #[serde(flatten)]
    identity: TargetIdentity,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    draining: bool,
    in_flight: Option<u32>,
}

/// Answer to one call.
#[derive(Clone, Debug, Serialize)]
struct AnswerRecord<'a> {
    call: &'a str,
    checksum: String,
    bytes: u64,
}

/// Returns the checksum of a request's body as answers carry it.
pub fn checksum_of(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

#[derive(Debug)]
struct TargetState {
    script: Mutex<TargetScript>,
    rng: Mutex<StdRng>,
    book: TargetRecordBook,
    started: Instant,
}

/// A running stand-in target.
#[derive(Debug)]
pub struct StandinTarget {
    address: SocketAddr,
    state: Arc<TargetState>,
    stop: CancellationToken,
}

impl StandinTarget {
    /// Starts a target on a bound socket.
    pub fn start(listener: TcpListener, script: TargetScript) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let state = Arc::new(TargetState {
            rng: Mutex::new(StdRng::seed_from_u64(script.seed)),
            script: Mutex::new(script),
            book: TargetRecordBook::default(),
            started: Instant::now(),
        });
        let stop = CancellationToken::new();
        tokio::spawn(accept_all(listener, state.clone(), stop.clone()));
        Ok(Self {
            address,
            state,
            stop,
        })
    }

    /// Returns the address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what the target saw.
    pub fn book(&self) -> &TargetRecordBook {
        &self.state.book
    }

    /// Replaces the script.
    pub fn set_script(&self, script: TargetScript) {
        self.state.set_script(script);
    }

    /// Stops the target at once: its connections are closed.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Announces the target to its node until the target stops.
    pub async fn announce(&self, admin: SocketAddr, identity: TargetIdentity) {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let mut ticks = interval(ANNOUNCE_PERIOD);
        let announcing = async {
            loop {
                ticks.tick().await;
                let body = self.announcement(&identity);
                let request = Request::post(format!("http://{admin}/v1/targets"))
                    .header(CONTENT_TYPE, "application/json")
                    .body(Full::new(body));
                let sent = match request {
                    Ok(request) => client.request(request).await.map_err(|e| e.to_string()),
                    Err(cause) => Err(cause.to_string()),
                };
                match sent {
                    Ok(answer) if answer.status().is_success() => {}
                    Ok(answer) => tracing::warn!(%admin, status = %answer.status(), "announce"),
                    Err(cause) => tracing::warn!(%admin, cause, "announce"),
                }
            }
        };
        self.stop.run_until_cancelled(announcing).await;
    }

    fn announcement(&self, identity: &TargetIdentity) -> Bytes {
        let script = self.state.script();
        let load = self.state.book.in_flight.load(Ordering::SeqCst);
        let body = AnnouncementBody {
            identity: identity.clone(),
            address: self.address,
            slots: script.slots,
            connections: script.connections,
            draining: script.draining,
            in_flight: Some(script.reported_in_flight.unwrap_or(load)),
        };
        serde_json::to_vec(&body).unwrap_or_default().into()
    }
}

impl Drop for StandinTarget {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl TargetState {
    fn script(&self) -> TargetScript {
        let script = self.script.lock();
        script.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_script(&self, script: TargetScript) {
        let seeded = StdRng::seed_from_u64(script.seed);
        *self.rng.lock().unwrap_or_else(PoisonError::into_inner) = seeded;
        *self.script.lock().unwrap_or_else(PoisonError::into_inner) = script;
    }

    fn draw(&self) -> u32 {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0..1000)
    }
}

async fn accept_all(listener: TcpListener, state: Arc<TargetState>, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, state.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
    // Dropping the set closes every connection.
}

async fn serve_connection(stream: TcpStream, state: Arc<TargetState>) {
    let book = &state.book;
    let guard = CountGuard::new(&book.connections, &book.most_connections);
    if guard.number > state.script().connections || stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = book.accepted.fetch_add(1, Ordering::SeqCst) + 1;
    let service = service_fn(|request| answer(state.clone(), connection, request));
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(cause) = served {
        tracing::debug!(%cause, "serve connection");
    }
}

async fn answer(
    state: Arc<TargetState>,
    connection: u64,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallBroken> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, SCRIPT_PATH) => replace_script(&state, request).await,
        (&Method::GET, HISTORY_PATH) => Ok(history(&state)),
        _ => run_call(state, connection, request).await,
    }
}

async fn replace_script(
    state: &TargetState,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallBroken> {
    let body = request.into_body().collect().await;
    let body = body.map_err(|_| CallBroken)?.to_bytes();
    match serde_json::from_slice(&body) {
        Ok(script) => {
            state.set_script(script);
            Ok(plain(StatusCode::NO_CONTENT, Bytes::new()))
        }
        Err(cause) => Ok(plain(StatusCode::BAD_REQUEST, cause.to_string().into())),
    }
}

fn history(state: &TargetState) -> Response<AnswerBody> {
    let runs = serde_json::to_vec(&state.book.runs()).unwrap_or_default();
    plain(StatusCode::OK, runs.into())
}

fn plain(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// One call in progress; counts it and records its end.
struct CallGuard {
    state: Arc<TargetState>,
    place: usize,
    load: u32,
}

impl CallGuard {
    fn new(state: Arc<TargetState>, run: CallRun) -> Self {
        let book = &state.book;
        let load = book.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        book.most_in_flight.fetch_max(load, Ordering::SeqCst);
        let place = book.begin(run);
        Self { state, place, load }
    }

    fn reach(&self, stage: CallStage) {
        self.state.book.reach(self.place, stage);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.reach(CallStage::Cancelled);
        self.state.book.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

fn begin_run(request: &Request<Incoming>, connection: u64) -> CallRun {
    let text = |name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    CallRun {
        call: text(CALL_ID_HEADER).unwrap_or_default().to_owned(),
        method: request.method().to_string(),
        path: request.uri().path().to_owned(),
        connection,
        timeout_ms: text(TIMEOUT_HEADER).and_then(|text| text.parse().ok()),
        received: 0,
        stage: CallStage::Begun,
    }
}

async fn run_call(
    state: Arc<TargetState>,
    connection: u64,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallBroken> {
    let script = state.script();
    let run = begin_run(&request, connection);
    let call = run.call.clone();
    let guard = CallGuard::new(state.clone(), run);
    if guard.load > script.slots {
        state.book.shed.fetch_add(1, Ordering::SeqCst);
        guard.reach(CallStage::Shed);
        return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, "shed".into()));
    }
    let failure = find_failure(&script, request.uri().path(), &guard);
    let body = request.into_body();
    match failure {
        Some(FailureKind::CloseBeforeBody) => return Err(CallBroken),
        Some(FailureKind::AnswerEarly) => {
            tokio::spawn(receive_late(guard, body));
            return Ok(plain(StatusCode::OK, "early".into()));
        }
        _ => {}
    }
    let (guard, received) = receive(guard, body, failure).await?;
    wait(work_time(&state, &script, guard.load)).await;
    match failure {
        Some(FailureKind::Delay(delay_ms)) => {
            sleep(Duration::from_millis(delay_ms)).await;
            Ok(respond(guard, &script, failure, &call, &received))
        }
        Some(FailureKind::CloseBeforeHead) => Err(CallBroken),
        Some(FailureKind::Hang) => std::future::pending().await,
        _ => Ok(respond(guard, &script, failure, &call, &received)),
    }
}

fn find_failure(script: &TargetScript, path: &str, guard: &CallGuard) -> Option<FailureKind> {
    let calls = guard.place as u64 + 1;
    let draw = guard.state.draw();
    let mut rules = script.failures.iter();
    let rule = rules.find(|rule| rule.matches(path, guard.load, calls, draw))?;
    Some(rule.kind)
}

async fn receive_late(guard: CallGuard, body: Incoming) {
    if let Ok((guard, _)) = receive(guard, body, None).await {
        guard.reach(CallStage::Answered);
    }
}

async fn receive(
    guard: CallGuard,
    mut body: Incoming,
    failure: Option<FailureKind>,
) -> Result<(CallGuard, Bytes), CallBroken> {
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallBroken)?;
        if let Some(data) = frame.data_ref() {
            guard
                .state
                .book
                .add_received(guard.place, data.len() as u64);
            received.extend_from_slice(data);
        }
        if failure == Some(FailureKind::CloseInBody) {
            return Err(CallBroken);
        }
    }
    guard.reach(CallStage::Received);
    Ok((guard, received.freeze()))
}

/// Waits; a timer would take a millisecond even for no time at all.
async fn wait(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

fn work_time(state: &TargetState, script: &TargetScript, load: u32) -> Duration {
    let cold = state.started.elapsed() < Duration::from_millis(script.cold_start_ms);
    let cold_ms = if cold { script.cold_latency_ms } else { 0 };
    let load_ms = script.latency_per_call_ms * u64::from(load);
    Duration::from_millis(script.latency_ms + cold_ms + load_ms)
}

fn respond(
    guard: CallGuard,
    script: &TargetScript,
    failure: Option<FailureKind>,
    call: &str,
    received: &Bytes,
) -> Response<AnswerBody> {
    let record = AnswerRecord {
        call,
        checksum: checksum_of(received),
        bytes: received.len() as u64,
    };
    let mut content = serde_json::to_vec(&record).unwrap_or_default();
    content.push(b'\n');
    let length = content.len() + script.answer_bytes;
    let broken = failure == Some(FailureKind::CloseInAnswer);
    let body = answer_body(guard, content.into(), script, broken);
    let mut response = Response::builder().header(CALL_ID_HEADER, call);
    if let Some(FailureKind::Status(status)) = failure {
        response = response.status(status);
    }
    if !script.chunked {
        response = response.header("content-length", length);
    }
    for header in &script.answer_headers {
        response = response.header(&header.name, &header.value);
    }
    response
        .body(body)
        .unwrap_or_else(|cause| plain(StatusCode::INTERNAL_SERVER_ERROR, cause.to_string().into()))
}

/// Parts of an answer that are still to be sent.
struct AnswerState {
    guard: Option<CallGuard>,
    parts: VecDeque<Bytes>,
    broken: bool,
    delay: Duration,
}

fn answer_body(
    guard: CallGuard,
    content: Bytes,
    script: &TargetScript,
    broken: bool,
) -> AnswerBody {
    let full = script.answer_bytes / PADDING.len();
    let rest = script.answer_bytes % PADDING.len();
    let mut parts = VecDeque::from([content]);
    parts.extend(repeat_n(Bytes::from_static(PADDING), full));
    if rest > 0 {
        parts.push_back(Bytes::from_static(&PADDING[..rest]));
    }
    if broken {
        let last = parts.pop_back().unwrap_or_default();
        parts.push_back(last.slice(..last.len().saturating_sub(1)));
    }
    let state = AnswerState {
        guard: Some(guard),
        parts,
        broken,
        delay: Duration::from_millis(script.body_delay_ms),
    };
    StreamBody::new(stream::unfold(state, next_part)).boxed_unsync()
}

async fn next_part(
    mut state: AnswerState,
) -> Option<(Result<Frame<Bytes>, CallBroken>, AnswerState)> {
    wait(take(&mut state.delay)).await;
    let Some(part) = state.parts.pop_front() else {
        return state.broken.then_some((Err(CallBroken), state));
    };
    if state.parts.is_empty() && !state.broken {
        // The call ends with its last byte: a body of known length is not asked for more.
        let guard = state.guard.take();
        guard.inspect(|guard| guard.reach(CallStage::Answered));
    }
    Some((Ok(Frame::data(part)), state))
}
