//! In-memory stand-in of the platform: the table service (DynamoDB HTTP API) and the object store (S3).
//!
//! It implements the operations that poplarwing uses, evaluates condition expressions as the table service
//! does, and injects faults. One port serves both APIs and the control requests `GET /counts`,
//! `GET /faults` and `POST /faults`. Request signatures are not verified.

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
    objects::ObjectStore,
    table::{TableError, TableStore},
};

/// Header that names the operation of a table request; requests without it are for the object store.
const OPERATION_HEADER: &str = "x-amz-target";

/// Faults to inject; the default is none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Closes connections without a response; requests have no effect.
    pub down: bool,
    /// Delay between receiving a request and executing it, in milliseconds.
    ///
    /// The request is executed even if the client has closed the connection by then.
    pub delay_ms: u64,
    /// Rejects every request with the throttling error of its API; requests have no effect.
    pub throttled: bool,
    /// Number of table writes still to be executed without sending the response.
    pub lose_table_answers: u32,
    /// Number of object writes still to be executed without sending the response.
    pub lose_object_answers: u32,
    /// Executes the next table write without sending the response, and sets `down`.
    pub down_after_table_write: bool,
    /// Number of table writes still to be dropped without executing them.
    pub drop_table_writes: u32,
}

/// Counters of a port since it was opened.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestCounts {
    /// Reads of the table (GetItem, Query).
    pub table_reads: u64,
    /// Writes of the table (PutItem, DeleteItem, TransactWriteItems), rejected ones included.
    pub table_writes: u64,
    /// Table writes rejected with status 400, mostly because their condition failed.
    pub refused_writes: u64,
    /// Reads of objects (GET, HEAD).
    pub object_reads: u64,
    /// Writes of objects (PUT).
    pub object_writes: u64,
    /// Requests that were delayed before execution.
    pub delayed: u64,
    /// Requests that were not executed because of a fault.
    pub faulted: u64,
    /// Bytes of request bodies received.
    pub bytes_in: u64,
    /// Bytes of response bodies sent.
    pub bytes_out: u64,
}

/// Reason for closing a connection without a response.
#[derive(Clone, Copy, Debug, Error)]
enum DroppedRequest {
    #[error("injected fault: the platform is down")]
    Down,
    #[error("injected fault: the request was executed and its response dropped")]
    ResponseDropped,
    #[error("the request was dropped before execution")]
    RequestDropped,
    #[error("the request body was not received to its end")]
    BodyIncomplete,
}

/// Kind of a request; faults and counters distinguish these.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestKind {
    TableRead,
    TableWrite,
    ObjectRead,
    ObjectWrite,
}

/// Stored tables and objects, shared by all ports of one platform.
#[derive(Debug, Default)]
struct PlatformData {
    table: Mutex<TableStore>,
    objects: Mutex<ObjectStore>,
}

/// One port of the platform, with its own faults and counters.
#[derive(Debug, Default)]
struct PlatformPort {
    data: Arc<PlatformData>,
    faults: Mutex<FaultPlan>,
    counts: Mutex<RequestCounts>,
}

/// Handle of one port of a running stand-in; dropping it stops serving.
#[derive(Debug)]
pub struct PlatformStandin {
    port: Arc<PlatformPort>,
    address: SocketAddr,
    _stop: DropGuard,
}

impl PlatformStandin {
    /// Starts an empty platform with one port.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        Self::open(listen, PlatformPort::default()).await
    }

    /// Opens a second port to the same tables and objects, with faults and counters of its own.
    ///
    /// To simulate a region that cannot reach the platform, set `down` on the port that its nodes use.
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
        info!(%address, "platform stand-in is listening");
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

    /// Returns the endpoint URL of both the table service and the object store.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the faults of this port.
    pub fn set_faults(&self, plan: FaultPlan) {
        *lock(&self.port.faults) = plan;
    }

    /// Returns the faults of this port that remain to be injected.
    pub fn faults(&self) -> FaultPlan {
        lock(&self.port.faults).clone()
    }

    /// Returns the counters of this port.
    pub fn counts(&self) -> RequestCounts {
        *lock(&self.port.counts)
    }
}

/// Locks a mutex and ignores poisoning: no change leaves the data half updated.
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
    // Nagle's algorithm would hold back a small response until the delayed ACK of the previous one.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(Arc::clone(&port), request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        debug!(%error, "connection ended with an error");
    }
}

async fn answer(
    port: Arc<PlatformPort>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, DroppedRequest> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| DroppedRequest::BodyIncomplete)?
        .to_bytes();
    if let Some(response) = port.serve_control(&head, &body) {
        return Ok(response);
    }
    // Runs as a separate task so that the request is executed even if the client closes the connection.
    let served = tokio::spawn(async move { port.serve(&head, body).await });
    served.await.unwrap_or(Err(DroppedRequest::RequestDropped))
}

impl PlatformPort {
    /// Serves a control request; none if the request belongs to one of the two APIs.
    fn serve_control(
        &self,
        head: &http::request::Parts,
        body: &Bytes,
    ) -> Option<Response<Full<Bytes>>> {
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
    ) -> Result<Response<Full<Bytes>>, DroppedRequest> {
        let kind = request_kind(&head.method, &head.headers);
        let plan = lock(&self.faults).clone();
        if plan.down {
            return Err(self.count_faulted(DroppedRequest::Down));
        }
        if plan.delay_ms > 0 {
            lock(&self.counts).delayed += 1;
            sleep(Duration::from_millis(plan.delay_ms)).await;
        }
        if plan.throttled {
            lock(&self.counts).faulted += 1;
            return Ok(throttled_response(kind));
        }
        if kind == RequestKind::TableWrite && self.consume_fault(|plan| &mut plan.drop_table_writes)
        {
            return Err(self.count_faulted(DroppedRequest::RequestDropped));
        }
        let response = self.execute(kind, head, body);
        if self.consume_response_loss(kind) {
            return Err(DroppedRequest::ResponseDropped);
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
            Err(error) => table_error_response(&error),
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

    fn count_faulted(&self, dropped: DroppedRequest) -> DroppedRequest {
        lock(&self.counts).faulted += 1;
        dropped
    }

    /// Returns whether a fault suppresses the response to a request that was executed.
    fn consume_response_loss(&self, kind: RequestKind) -> bool {
        match kind {
            RequestKind::TableWrite => {
                self.consume_down_after_write()
                    || self.consume_fault(|plan| &mut plan.lose_table_answers)
            }
            RequestKind::ObjectWrite => self.consume_fault(|plan| &mut plan.lose_object_answers),
            RequestKind::TableRead | RequestKind::ObjectRead => false,
        }
    }

    /// Applies `down_after_table_write` if it is set; returns whether it was.
    fn consume_down_after_write(&self) -> bool {
        let mut plan = lock(&self.faults);
        let due = plan.down_after_table_write;
        plan.down |= due;
        plan.down_after_table_write = false;
        due
    }

    /// Decrements the number of remaining faults in a field; returns whether it was above zero.
    fn consume_fault(&self, field: impl FnOnce(&mut FaultPlan) -> &mut u32) -> bool {
        let mut plan = lock(&self.faults);
        let left = field(&mut plan);
        let taken = *left > 0;
        *left = left.saturating_sub(1);
        taken
    }
}

fn request_kind(method: &Method, headers: &HeaderMap) -> RequestKind {
    if headers.contains_key(OPERATION_HEADER) {
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

/// Returns the operation named by the `x-amz-target` header, such as `GetItem` for
/// `DynamoDB_20120810.GetItem`; empty if there is none.
fn table_operation(headers: &HeaderMap) -> &str {
    let target = headers
        .get(OPERATION_HEADER)
        .and_then(|value| value.to_str().ok());
    target
        .and_then(|value| value.rsplit('.').next())
        .unwrap_or_default()
}

fn throttled_response(kind: RequestKind) -> Response<Full<Bytes>> {
    match kind {
        RequestKind::TableRead | RequestKind::TableWrite => {
            table_error_response(&TableError::throttled())
        }
        RequestKind::ObjectRead | RequestKind::ObjectWrite => objects::error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "SlowDown",
            "Please reduce your request rate.",
        ),
    }
}

fn table_error_response(error: &TableError) -> Response<Full<Bytes>> {
    let mut response = json_response(&error.to_json());
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
