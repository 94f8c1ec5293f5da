//! A target whose behaviour is scripted and which records every call that it receives.

pub mod record;
pub mod script;

use {
    self::{
        record::{CallRun, CallStage, GaugeGuard, TargetRecorder},
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

/// Header that carries the id of a call, in requests and responses.
pub const CALL_ID_HEADER: &str = "x-call-id";

/// Header that carries the time left until the deadline of a call, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Path of the control request that replaces the script (POST).
const SCRIPT_PATH: &str = "/script";

/// Path of the control request that returns the recorded calls (GET).
const HISTORY_PATH: &str = "/history";

/// Interval between announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);

/// Content of the additional bytes of long answers.
const PADDING: &[u8] = &[b'x'; 64 * 1024];

type AnswerBody = UnsyncBoxBody<Bytes, CallAborted>;

/// A call that the script aborts, or whose request body could not be received to its end.
#[derive(Clone, Copy, Debug, Error)]
#[error("call aborted by the script, or request body incomplete; closing the connection")]
pub struct CallAborted;

/// Identity that a stand-in target announces.
#[derive(Clone, Debug, Serialize)]
pub struct TargetIdentity {
    /// Customer that owns the service.
    pub customer: String,
    /// Service that the target serves.
    pub service: String,
    /// Version that the target runs.
    pub version: String,
}

/// Body of the request by which a target announces itself to its node.
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

/// First line of the response body to a call; the bytes of padding follow it.
#[derive(Clone, Debug, Serialize)]
struct AnswerLine<'a> {
    call: &'a str,
    checksum: String,
    bytes: u64,
}

/// Returns the checksum of a request body that the answer carries (xxh3, hexadecimal).
pub fn checksum_of(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

#[derive(Debug)]
struct TargetState {
    script: Mutex<TargetScript>,
    rng: Mutex<StdRng>,
    recorder: TargetRecorder,
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
    /// Starts serving on a bound socket.
    pub fn start(listener: TcpListener, script: TargetScript) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let state = Arc::new(TargetState {
            rng: Mutex::new(StdRng::seed_from_u64(script.seed)),
            script: Mutex::new(script),
            recorder: TargetRecorder::default(),
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

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the record of calls and connections.
    pub fn book(&self) -> &TargetRecorder {
        &self.state.recorder
    }

    /// Replaces the script for calls that arrive from now on, and reseeds its random choices.
    pub fn set_script(&self, script: TargetScript) {
        self.state.set_script(script);
    }

    /// Stops the target at once and closes its connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Announces the target to its node periodically until the target stops.
    ///
    /// A failed announcement is logged; the next one follows after the usual interval.
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
                    Ok(answer) => {
                        tracing::warn!(%admin, status = %answer.status(), "node rejected the announcement");
                    }
                    Err(cause) => tracing::warn!(%admin, cause, "announcement not sent"),
                }
            }
        };
        self.stop.run_until_cancelled(announcing).await;
    }

    fn announcement(&self, identity: &TargetIdentity) -> Bytes {
        let script = self.state.script();
        let load = self.state.recorder.in_flight.load(Ordering::SeqCst);
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

    fn draw_permille(&self) -> u32 {
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
    // Dropping `connections` closes all of them.
}

async fn serve_connection(stream: TcpStream, state: Arc<TargetState>) {
    let recorder = &state.recorder;
    let guard = GaugeGuard::new(&recorder.connections, &recorder.most_connections);
    if guard.value > state.script().connections || stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = recorder.accepted.fetch_add(1, Ordering::SeqCst) + 1;
    let service = service_fn(|request| answer(state.clone(), connection, request));
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(cause) = served {
        tracing::debug!(%cause, "connection ended with an error");
    }
}

async fn answer(
    state: Arc<TargetState>,
    connection: u64,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallAborted> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, SCRIPT_PATH) => replace_script(&state, request).await,
        (&Method::GET, HISTORY_PATH) => Ok(history_response(&state)),
        _ => run_call(state, connection, request).await,
    }
}

async fn replace_script(
    state: &TargetState,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallAborted> {
    let body = request.into_body().collect().await;
    let body = body.map_err(|_| CallAborted)?.to_bytes();
    match serde_json::from_slice(&body) {
        Ok(script) => {
            state.set_script(script);
            Ok(text_response(StatusCode::NO_CONTENT, Bytes::new()))
        }
        Err(cause) => Ok(text_response(
            StatusCode::BAD_REQUEST,
            cause.to_string().into(),
        )),
    }
}

fn history_response(state: &TargetState) -> Response<AnswerBody> {
    let runs = serde_json::to_vec(&state.recorder.runs()).unwrap_or_default();
    text_response(StatusCode::OK, runs.into())
}

fn text_response(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// One call in progress: counts it while it lives, and records it as cancelled when dropped before its end.
struct CallGuard {
    state: Arc<TargetState>,
    /// Index of the call in the recorder.
    run_index: usize,
    /// Number of calls in progress when this one began, this one included.
    load: u32,
}

impl CallGuard {
    fn new(state: Arc<TargetState>, run: CallRun) -> Self {
        let recorder = &state.recorder;
        let load = recorder.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        recorder.most_in_flight.fetch_max(load, Ordering::SeqCst);
        let run_index = recorder.add_run(run);
        Self {
            state,
            run_index,
            load,
        }
    }

    fn set_stage(&self, stage: CallStage) {
        self.state.recorder.set_stage(self.run_index, stage);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.set_stage(CallStage::Cancelled);
        self.state.recorder.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

fn new_run(request: &Request<Incoming>, connection: u64) -> CallRun {
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
) -> Result<Response<AnswerBody>, CallAborted> {
    let script = state.script();
    let run = new_run(&request, connection);
    let call = run.call.clone();
    let guard = CallGuard::new(state.clone(), run);
    if guard.load > script.slots {
        state.recorder.shed.fetch_add(1, Ordering::SeqCst);
        guard.set_stage(CallStage::Shed);
        return Ok(text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "shed".into(),
        ));
    }
    let failure = matching_failure(&script, request.uri().path(), &guard);
    let body = request.into_body();
    match failure {
        Some(FailureKind::CloseBeforeBody) => return Err(CallAborted),
        Some(FailureKind::AnswerEarly) => {
            tokio::spawn(receive_after_answer(guard, body));
            return Ok(text_response(StatusCode::OK, "early".into()));
        }
        _ => {}
    }
    let (guard, received) = receive_body(guard, body, failure).await?;
    sleep_unless_zero(processing_time(&state, &script, guard.load)).await;
    match failure {
        Some(FailureKind::Delay(delay_ms)) => {
            sleep(Duration::from_millis(delay_ms)).await;
            Ok(respond(guard, &script, failure, &call, &received))
        }
        Some(FailureKind::CloseBeforeHead) => Err(CallAborted),
        Some(FailureKind::Hang) => std::future::pending().await,
        _ => Ok(respond(guard, &script, failure, &call, &received)),
    }
}

fn matching_failure(script: &TargetScript, path: &str, guard: &CallGuard) -> Option<FailureKind> {
    let calls = guard.run_index as u64 + 1;
    let draw = guard.state.draw_permille();
    let mut rules = script.failures.iter();
    let rule = rules.find(|rule| rule.matches(path, guard.load, calls, draw))?;
    Some(rule.kind)
}

async fn receive_after_answer(guard: CallGuard, body: Incoming) {
    if let Ok((guard, _)) = receive_body(guard, body, None).await {
        guard.set_stage(CallStage::Answered);
    }
}

async fn receive_body(
    guard: CallGuard,
    mut body: Incoming,
    failure: Option<FailureKind>,
) -> Result<(CallGuard, Bytes), CallAborted> {
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallAborted)?;
        if let Some(data) = frame.data_ref() {
            guard
                .state
                .recorder
                .add_received(guard.run_index, data.len() as u64);
            received.extend_from_slice(data);
        }
        if failure == Some(FailureKind::CloseInBody) {
            return Err(CallAborted);
        }
    }
    guard.set_stage(CallStage::Received);
    Ok((guard, received.freeze()))
}

/// Sleeps, unless the time is zero: a timer takes a millisecond even then.
async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

fn processing_time(state: &TargetState, script: &TargetScript, load: u32) -> Duration {
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
    let record = AnswerLine {
        call,
        checksum: checksum_of(received),
        bytes: received.len() as u64,
    };
    let mut content = serde_json::to_vec(&record).unwrap_or_default();
    content.push(b'\n');
    let length = content.len() + script.answer_bytes;
    let truncated = failure == Some(FailureKind::CloseInAnswer);
    let body = answer_body(guard, content.into(), script, truncated);
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
    response.body(body).unwrap_or_else(|cause| {
        text_response(StatusCode::INTERNAL_SERVER_ERROR, cause.to_string().into())
    })
}

/// Parts of a response body that are still to be sent.
struct AnswerState {
    guard: Option<CallGuard>,
    parts: VecDeque<Bytes>,
    /// Whether the body ends with an error one byte before its end.
    truncated: bool,
    delay: Duration,
}

fn answer_body(
    guard: CallGuard,
    content: Bytes,
    script: &TargetScript,
    truncated: bool,
) -> AnswerBody {
    let full = script.answer_bytes / PADDING.len();
    let rest = script.answer_bytes % PADDING.len();
    let mut parts = VecDeque::from([content]);
    parts.extend(repeat_n(Bytes::from_static(PADDING), full));
    if rest > 0 {
        parts.push_back(Bytes::from_static(&PADDING[..rest]));
    }
    if truncated {
        let last = parts.pop_back().unwrap_or_default();
        parts.push_back(last.slice(..last.len().saturating_sub(1)));
    }
    let state = AnswerState {
        guard: Some(guard),
        parts,
        truncated,
        delay: Duration::from_millis(script.body_delay_ms),
    };
    StreamBody::new(stream::unfold(state, next_part)).boxed_unsync()
}

async fn next_part(
    mut state: AnswerState,
) -> Option<(Result<Frame<Bytes>, CallAborted>, AnswerState)> {
    sleep_unless_zero(take(&mut state.delay)).await;
    let Some(part) = state.parts.pop_front() else {
        return state.truncated.then_some((Err(CallAborted), state));
    };
    if state.parts.is_empty() && !state.truncated {
        // Records the end of the call with its last part: hyper does not poll a body of known length again.
        let guard = state.guard.take();
        guard.inspect(|guard| guard.set_stage(CallStage::Answered));
    }
    Some((Ok(Frame::data(part)), state))
}
