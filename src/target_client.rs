//! HTTP client for the target of this node, and the state of that target.
//!
//! A target is the process that serves calls of one service and version. It runs on the same VM as its
//! node and announces itself to the node's admin API every 2 s.

pub mod connector;
pub mod demand;

use {
    self::{connector::BoundedConnector, demand::DemandMeter},
    crate::{
        call_proxy::ExchangeBody,
        config::ServiceKey,
        ids::{CustomerName, ServiceName, VersionName},
        membership::TargetRecord,
        retry_budget::AttemptOutcome,
        slot_gate::{PermitPool, SlotGate},
    },
    http::{Request, Response, Uri, uri::PathAndQuery},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{
            Client, Error as ClientError,
            connect::{CaptureConnection, capture_connection},
        },
        rt::{TokioExecutor, TokioTimer},
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        error::Error,
        net::SocketAddr,
        ops::RangeInclusive,
        pin::pin,
        sync::Arc,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio_util::sync::CancellationToken,
};

/// Time without announcements after which a target is withdrawn: three announcements, one every 2 s, were
/// missed.
pub const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(6500);

/// Read buffer of a connection, in bytes; a longer response head is an error. The client reads up to 128 buffers before
/// it notices that an exchange was abandoned, so the buffer bounds what a target can send without end.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Longest time to connect to the target, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a connection to the target is closed.
///
/// Many servers close idle connections after 5 s. A request sent just as the server closes has an unknown
/// outcome, so the client closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Statuses with which a target may answer. Requests to a target ask for no change of protocol, so 101 answers none of
/// them, and HTTP defines no status from 600 on.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Body of `POST /v1/targets`, by which a target announces itself to its node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncementBody {
    /// Customer that owns the service.
    pub customer: CustomerName,
    /// Service that the target serves.
    pub service: ServiceName,
    /// Version that the target runs.
    pub version: VersionName,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Calls that the target can run concurrently.
    pub slots: u32,
    /// Connections that the target accepts concurrently.
    pub connections: u32,
    /// Whether the target asks for no new calls.
    #[serde(default)]
    pub draining: bool,
    /// Calls in progress as the target counts them; informational, the node limits calls by its own count.
    #[serde(default)]
    pub in_flight: Option<u32>,
}

impl TargetAnnouncementBody {
    /// Returns the key of the service that the target serves.
    pub fn key(&self) -> ServiceKey {
        ServiceKey {
            customer: self.customer.clone(),
            service: self.service.clone(),
        }
    }

    /// Returns the calls that can run concurrently: each needs a slot and a connection.
    pub fn usable_slots(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

/// An exchange with the target, or with another node, that ended without a response.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{step} {peer}: {cause}")]
pub struct ExchangeError {
    /// Whether the request may have run.
    pub outcome: AttemptOutcome,
    /// Whether the request was assigned to a pooled connection that the peer had already closed.
    pub stale: bool,
    /// Step that failed, such as "connect to".
    pub step: &'static str,
    /// Peer of the exchange: its kind, and its address or name.
    pub peer: String,
    /// Innermost cause reported by the HTTP client or the operating system.
    pub cause: String,
}

/// Converts an error of the HTTP client and classifies whether the request may have run.
///
/// The client reports a request as cancelled only if it has written none of it; the same holds for a
/// failed connect. After every other error the outcome is unknown.
pub fn exchange_error(error: &ClientError, peer: &str) -> ExchangeError {
    let cancelled = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled);
    let (outcome, step) = match (error.is_connect(), cancelled) {
        (true, _) => (AttemptOutcome::NotRun, "connect to"),
        (false, true) => (AttemptOutcome::NotRun, "send request to"),
        (false, false) => (AttemptOutcome::Unknown, "exchange with"),
    };
    ExchangeError {
        outcome,
        stale: cancelled && !error.is_connect(),
        step,
        peer: peer.to_owned(),
        cause: root_cause(error),
    }
}

fn root_cause(error: &dyn Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// HTTP client for one target; each connection carries one exchange at a time.
#[derive(Clone, Debug)]
pub struct TargetClient {
    address: SocketAddr,
    connections: PermitPool,
    client: Client<BoundedConnector, ExchangeBody>,
}

impl TargetClient {
    /// Returns a client that opens at most `connections` connections.
    pub fn new(address: SocketAddr, connections: u32) -> Self {
        let connections = PermitPool::new(connections);
        let connector = BoundedConnector::new(address, connections.clone(), CONNECT_TIMEOUT);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_BUFFER_BYTES)
            .build(connector);
        Self {
            address,
            connections,
            client,
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> u32 {
        self.connections.in_use()
    }

    /// Changes the number of connections allowed; those already open stay.
    pub fn resize(&self, connections: u32) {
        self.connections.resize(connections);
    }

    /// Sends a request like `send` and also returns the connection that carries the response.
    ///
    /// A request that still waits for a connection when `withdrawn` is cancelled is not sent. One that has got its
    /// connection goes on.
    pub async fn send_tracked(
        &self,
        mut request: Request<ExchangeBody>,
        withdrawn: &CancellationToken,
    ) -> Result<TrackedAnswer, ExchangeError> {
        let capture = capture_connection(&mut request);
        let mut sending = pin!(self.send_captured(request, &capture));
        let response = tokio::select! {
            biased;
            () = withdrawn.cancelled() => None,
            response = &mut sending => Some(response),
        };
        let response = match response {
            Some(response) => response?,
            None if capture.connection_metadata().is_some() => sending.await?,
            None => return Err(self.withdrawn_error()),
        };
        let connection = AnswerConnection {
            capture: capture.clone(),
        };
        Ok(TrackedAnswer {
            response,
            connection,
        })
    }

    fn withdrawn_error(&self) -> ExchangeError {
        ExchangeError {
            outcome: AttemptOutcome::NotRun,
            stale: false,
            step: "wait for a connection to",
            peer: self.peer_name(),
            cause: "the target accepts no more calls".to_owned(),
        }
    }

    fn peer_name(&self) -> String {
        format!("target {}", self.address)
    }

    /// Sends a request and returns the response once its head has arrived; the body is streamed.
    pub async fn send(
        &self,
        mut request: Request<ExchangeBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let capture = capture_connection(&mut request);
        self.send_captured(request, &capture).await
    }

    async fn send_captured(
        &self,
        mut request: Request<ExchangeBody>,
        capture: &CaptureConnection,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let peer = self.peer_name();
        *request.uri_mut() = peer_uri(self.address, request.uri().path_and_query());
        let result = self.client.request(request).await;
        let response = result.map_err(|error| exchange_error(&error, &peer))?;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            poison(capture);
            return Err(ExchangeError {
                outcome: AttemptOutcome::Unknown,
                stale: false,
                step: "read response of",
                peer,
                cause: format!("{status} is not the status of a final response"),
            });
        }
        Ok(response)
    }
}

/// A response and the connection that carries it.
pub struct TrackedAnswer {
    /// Response, whose body is streamed.
    pub response: Response<Incoming>,
    /// Connection that carries the response.
    pub connection: AnswerConnection,
}

/// Connection that carries a response.
pub struct AnswerConnection {
    capture: CaptureConnection,
}

impl AnswerConnection {
    /// Removes the connection from the pool, so that it is not reused for another request.
    pub fn poison(&self) {
        poison(&self.capture);
    }
}

fn poison(capture: &CaptureConnection) {
    if let Some(connected) = capture.connection_metadata().as_ref() {
        connected.poison();
    }
}

/// Returns the `http` URI of a path at a peer; without a path that of `/`.
pub fn peer_uri(address: SocketAddr, path: Option<&PathAndQuery>) -> Uri {
    let path = path.map_or("/", PathAndQuery::as_str);
    format!("http://{address}{path}")
        .parse()
        .unwrap_or_default()
}

/// State of a target: its last announcement, and the slots and connections kept while its address stays.
#[derive(Clone, Debug)]
pub struct TargetHandle {
    /// Last announcement of the target.
    pub announced: TargetAnnouncementBody,
    /// Admits as many calls as the target has usable slots.
    pub gate: SlotGate,
    /// HTTP client for the target.
    pub client: TargetClient,
}

/// A target and the time of its last announcement.
#[derive(Debug)]
struct AnnouncedTarget {
    handle: Arc<TargetHandle>,
    announced_at: Instant,
}

/// The target of this node, if one has announced itself, and the rate of calls to it.
#[derive(Debug, Default)]
pub struct LocalTarget {
    current: Mutex<Option<AnnouncedTarget>>,
    demand: Mutex<DemandMeter>,
}

impl LocalTarget {
    /// Applies an announcement received at `now`.
    ///
    /// While the address stays the same, so do the gate and the connections: calls in progress remain
    /// counted.
    pub fn announce(&self, announcement: TargetAnnouncementBody, now: Instant) {
        let mut current = self.current.lock();
        let previous = current
            .as_ref()
            .filter(|previous| previous.handle.announced.address == announcement.address);
        let handle = match previous {
            Some(previous) => update_handle(&previous.handle, announcement),
            None => new_handle(announcement),
        };
        *current = Some(AnnouncedTarget {
            handle: Arc::new(handle),
            announced_at: now,
        });
    }

    /// Withdraws the target if its last announcement is older than [`ANNOUNCEMENT_TIMEOUT`]; returns whether it
    /// did.
    pub fn withdraw_if_expired(&self, now: Instant) -> bool {
        let mut current = self.current.lock();
        let expired = current.as_ref().is_some_and(|target| {
            now.saturating_duration_since(target.announced_at) > ANNOUNCEMENT_TIMEOUT
        });
        if expired {
            *current = None;
        }
        expired
    }

    /// Returns the target; none before its first announcement and after its withdrawal.
    pub fn handle(&self) -> Option<Arc<TargetHandle>> {
        let current = self.current.lock();
        current.as_ref().map(|target| target.handle.clone())
    }

    /// Counts a call that reached this node for its target, whether it is admitted or not.
    pub fn record_call(&self, now: Instant) {
        self.demand.lock().record_call(now);
    }

    /// Returns the average calls per second that reach this node for its target; 0 means not yet known.
    pub fn demand(&self, now: Instant) -> u32 {
        self.demand.lock().calls_per_second(now)
    }

    /// Returns the record of the target that is gossiped to other nodes; none without a target.
    pub fn record(&self) -> Option<TargetRecord> {
        let handle = self.handle()?;
        Some(TargetRecord {
            key: handle.announced.key(),
            version: handle.announced.version.clone(),
            slots: handle.announced.usable_slots(),
            connections: handle.announced.connections,
            draining: handle.announced.draining,
            demand: self.demand(Instant::now()),
            left: None,
        })
    }
}

fn new_handle(announced: TargetAnnouncementBody) -> TargetHandle {
    TargetHandle {
        gate: SlotGate::new(announced.usable_slots()),
        client: TargetClient::new(announced.address, announced.connections),
        announced,
    }
}

/// Returns the handle of a target that announced itself again; resizes its gate and connection pool.
fn update_handle(previous: &TargetHandle, announced: TargetAnnouncementBody) -> TargetHandle {
    previous.gate.resize(announced.usable_slots());
    previous.client.connections.resize(announced.connections);
    TargetHandle {
        gate: previous.gate.clone(),
        client: previous.client.clone(),
        announced,
    }
}
