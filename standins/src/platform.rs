//! In-memory stand-in of the platform: the table service (DynamoDB HTTP API) and the object store (S3).
//!
//! It covers the operations that poplarwing uses, checks conditions the way the table service does, and
//! injects faults. One port serves both APIs and the control requests `GET /counts`, `GET /faults` and
//! `POST /faults`. Signatures are not checked.

use {
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode, header::HeaderMap},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    tokio_util::sync::{CancellationToken, DropGuard},
    tracing::{debug, info},
};

mod condition;
mod objects;
mod table;

use self::{
    objects::ObjectArea,
    table::{ApiFault, TableArea},
};

/// Header that names the operation of a table request.
const TARGET_HEADER: &str = "x-amz-target";

/// Faults to inject; the default is none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Closes connections without an answer; nothing takes effect.
    pub down: bool,
    /// Time between the arrival of a request and its effect, in milliseconds.
    ///
    /// The effect occurs even if the client gives up meanwhile.
    pub delay_ms: u64,
    /// Answers every request with the throttling error of its API; nothing takes effect.
    pub throttled: bool,
    /// Number of table writes still to take effect without an answer.
    pub lose_table_answers: u32,
    /// Number of object writes still to take effect without an answer.
    pub lose_object_answers: u32,
    /// Goes down right after the next table write took effect, without an answer.
    pub down_after_table_write: bool,
    /// Number of table writes still to be dropped before they take effect.
    pub drop_table_writes: u32,
}

/// Requests served since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestCounts {
    /// Reads of the table (GetItem, Query).
    pub table_reads: u64,
    /// Writes of the table (PutItem, DeleteItem, TransactWriteItems), refused ones included.
    pub table_writes: u64,
    /// Table writes whose condition failed.
    pub refused_writes: u64,
    /// Reads of objects (GET, HEAD).
    pub object_reads: u64,
    /// Writes of objects (PUT).
    pub object_writes: u64,
    /// Requests that were delayed before their effect.
    pub delayed: u64,
    /// Requests that a fault kept from taking effect.
    pub faulted: u64,
    /// Bytes of request bodies received.
    pub bytes_in: u64,
    /// Bytes of response bodies sent.
    pub bytes_out: u64,
}

/// Why a connection ends without an answer.
#[derive(Clone, Copy, Debug, Error)]
enum DroppedExchange {
    #[error("the platform is down")]
    Down,
    #[error("the answer is lost")]
    AnswerLost,
    #[error("the request is dropped")]
    RequestDropped,
    #[error("the request body did not arrive")]
    BodyCut,
}

/// Kind of a request, for faults and counters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestKind {
    TableRead,
    TableWrite,
    ObjectRead,
    ObjectWrite,
}

/// Tables and objects, shared by all ports of one platform.
#[derive(Debug, Default)]
struct PlatformData {
    table: Mutex<TableArea>,
    objects: Mutex<ObjectArea>,
}

/// One port of the platform, with its own faults and counters.
#[derive(Debug, Default)]
struct PlatformPort {
    data: Arc<PlatformData>,
    faults: Mutex<FaultPlan>,
    counts: Mutex<RequestCounts>,
}

/// Handle of a running stand-in; it stops serving when the handle is dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    port: Arc<PlatformPort>,
    address: SocketAddr,
    _stop: DropGuard,
}

impl PlatformStandin {
    /// Starts a platform without tables or objects.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        Self::open(listen, PlatformPort::default()).await
    }

    /// Opens a second port to the same tables and objects, with faults and counters of its own.
    ///
    /// A region that lost contact with the platform is modelled by a port that is down.
    pub async fn open_port(&self, listen: SocketAddr) -> io::Result<Self> {
        let port = PlatformPort {
            data: Arc::clone(&self.port.data),
            ..PlatformPort::default()
        };
        Self::open(listen, port).await
    }

    async fn open(listen: SocketAddr, port: PlatformPort) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let port = Arc::new(port);
        let cancel = CancellationToken::new();
        tokio::spawn(accept(listener, Arc::clone(&port), cancel.clone()));
        info!(%address, "platform stand-in listens");
        Ok(Self {
            port,
            address,
            _stop: cancel.drop_guard(),
        })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL for the table service and the object store.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the faults of this port.
    pub fn set_faults(&self, plan: FaultPlan) {
        *lock(&self.port.faults) = plan;
    }

    /// Returns the faults of this port as far as they are still to be injected.
    pub fn faults(&self) -> FaultPlan {
        lock(&self.port.faults).clone()
    }

    /// Returns the counters of this port.
    pub fn counts(&self) -> RequestCounts {
        *lock(&self.port.counts)
    }
}

/// Locks a mutex; the data stay usable after a panic of another holder, since each change is complete.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, port: Arc<PlatformPort>, cancel: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            let task = serve_connection(stream, Arc::clone(&port));
            let cancel = cancel.clone();
            tokio::spawn(async move { cancel.run_until_cancelled(task).await });
        }
    }
}

async fn serve_connection(stream: TcpStream, port: Arc<PlatformPort>) {
    // Small answers must not wait for the delayed acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(Arc::clone(&port), request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        debug!(%error, "connection ended");
    }
}

async fn answer(
    port: Arc<PlatformPort>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, DroppedExchange> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| DroppedExchange::BodyCut)?
        .to_bytes();
    if let Some(response) = port.control(&head, &body) {
        return Ok(response);
    }
    // A task of its own lets the request take effect even if the client closes the connection.
    let served = tokio::spawn(async move { port.serve(&head, body).await });
    served.await.unwrap_or(Err(DroppedExchange::RequestDropped))
}

impl PlatformPort {
    fn control(&self, head: &http::request::Parts, body: &Bytes) -> Option<Response<Full<Bytes>>> {
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/counts") => Some(json_response(&*lock(&self.counts))),
            (&Method::GET, "/faults") => Some(json_response(&*lock(&self.faults))),
            (&Method::POST, "/faults") => Some(self.replace_faults(body)),
            _ => None,
        }
    }

    fn replace_faults(&self, body: &Bytes) -> Response<Full<Bytes>> {
        match serde_json::from_slice::<FaultPlan>(body) {
            Ok(plan) => {
                let response = json_response(&plan);
                *lock(&self.faults) = plan;
                response
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    async fn serve(
        &self,
        head: &http::request::Parts,
        body: Bytes,
    ) -> Result<Response<Full<Bytes>>, DroppedExchange> {
        let kind = request_kind(&head.method, &head.headers);
        let plan = lock(&self.faults).clone();
        if plan.down {
            return Err(self.fault(DroppedExchange::Down));
        }
        if plan.delay_ms > 0 {
            lock(&self.counts).delayed += 1;
            sleep(Duration::from_millis(plan.delay_ms)).await;
        }
        if plan.throttled {
            lock(&self.counts).faulted += 1;
            return Ok(throttled_response(kind));
        }
        if kind == RequestKind::TableWrite && self.take(|plan| &mut plan.drop_table_writes) {
            return Err(self.fault(DroppedExchange::RequestDropped));
        }
        let response = self.execute(kind, head, body);
        if self.loses_answer(kind) {
            return Err(DroppedExchange::AnswerLost);
        }
        Ok(response)
    }

    fn execute(
        &self,
        kind: RequestKind,
        head: &http::request::Parts,
        body: Bytes,
    ) -> Response<Full<Bytes>> {
        let received = body.len() as u64;
        let response = match kind {
            RequestKind::TableRead | RequestKind::TableWrite => self.execute_table(head, &body),
            RequestKind::ObjectRead | RequestKind::ObjectWrite => {
                lock(&self.data.objects).execute(&head.method, head.uri.path(), body)
            }
        };
        self.count(kind, received, &response);
        response
    }

    fn execute_table(&self, head: &http::request::Parts, body: &Bytes) -> Response<Full<Bytes>> {
        let operation = table_operation(&head.headers);
        match lock(&self.data.table).execute(operation, body) {
            Ok(value) => json_response(&value),
            Err(fault) => fault_response(&fault),
        }
    }

    fn count(&self, kind: RequestKind, received: u64, response: &Response<Full<Bytes>>) {
        let mut counts = lock(&self.counts);
        match kind {
            RequestKind::TableRead => counts.table_reads += 1,
            RequestKind::TableWrite => counts.table_writes += 1,
            RequestKind::ObjectRead => counts.object_reads += 1,
            RequestKind::ObjectWrite => counts.object_writes += 1,
        }
        if kind == RequestKind::TableWrite && response.status() == StatusCode::BAD_REQUEST {
            counts.refused_writes += 1;
        }
        counts.bytes_in += received;
        counts.bytes_out += hyper::body::Body::size_hint(response.body()).lower();
    }

    fn fault(&self, dropped: DroppedExchange) -> DroppedExchange {
        lock(&self.counts).faulted += 1;
        dropped
    }

    fn loses_answer(&self, kind: RequestKind) -> bool {
        match kind {
            RequestKind::TableWrite => {
                self.goes_down() || self.take(|plan| &mut plan.lose_table_answers)
            }
            RequestKind::ObjectWrite => self.take(|plan| &mut plan.lose_object_answers),
            RequestKind::TableRead | RequestKind::ObjectRead => false,
        }
    }

    fn goes_down(&self) -> bool {
        let mut plan = lock(&self.faults);
        let due = plan.down_after_table_write;
        plan.down |= due;
        plan.down_after_table_write = false;
        due
    }

    /// Uses up one of the faults counted by a field; returns whether there was one left.
    fn take(&self, field: impl FnOnce(&mut FaultPlan) -> &mut u32) -> bool {
        let mut plan = lock(&self.faults);
        let left = field(&mut plan);
        let taken = *left > 0;
        *left = left.saturating_sub(1);
        taken
    }
}

fn request_kind(method: &Method, headers: &HeaderMap) -> RequestKind {
    if headers.contains_key(TARGET_HEADER) {
        return match table_operation(headers) {
            "GetItem" | "Query" => RequestKind::TableRead,
            _ => RequestKind::TableWrite,
        };
    }
    match *method {
        Method::GET | Method::HEAD => RequestKind::ObjectRead,
        _ => RequestKind::ObjectWrite,
    }
}

/// Returns the operation of a header value such as `DynamoDB_20120810.GetItem`.
fn table_operation(headers: &HeaderMap) -> &str {
    let target = headers
        .get(TARGET_HEADER)
        .and_then(|value| value.to_str().ok());
    target
        .and_then(|value| value.rsplit('.').next())
        .unwrap_or_default()
}

fn throttled_response(kind: RequestKind) -> Response<Full<Bytes>> {
    match kind {
        RequestKind::TableRead | RequestKind::TableWrite => fault_response(&ApiFault::throttled()),
        RequestKind::ObjectRead | RequestKind::ObjectWrite => objects::error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "SlowDown",
            "Please reduce your request rate.",
        ),
    }
}

fn fault_response(fault: &ApiFault) -> Response<Full<Bytes>> {
    let mut response = json_response(&fault.to_json());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

fn json_response<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
