//! HTTP client of a node towards its own target.

pub mod connector;
pub mod demand;

use {
    self::{connector::BoundedConnector, demand::DemandMeter},
    crate::{
        call_proxy::ExchangeBody,
        config::ServiceKey,
        ids::{CustomerName, ServiceName, VersionName},
        membership::TargetRecord,
        retry_budget::AttemptFate,
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
        sync::Arc,
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Time without announcements after which a target is withdrawn: three announcements of 2 s missed.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(6500);

/// Longest time for a connection to the target, which stands on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a connection to the target is closed.
///
/// Many servers close idle connections after 5 s; a request that meets such a close has an unknown
/// outcome, so the client closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Body of `POST /v1/targets`: what a target says about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncementBody {
    /// Customer that owns the service.
    pub customer: CustomerName,
    /// Service that the target serves.
    pub service: ServiceName,
    /// Version that the target runs.
    pub version: VersionName,
    /// Address of the target for calls.
    pub address: SocketAddr,
    /// Calls that the target can run at once.
    pub slots: u32,
    /// Connections that the target accepts at once.
    pub connections: u32,
    /// Whether the target asks for no new work.
    #[serde(default)]
    pub draining: bool,
    /// Calls in progress as the target reports them; a hint only.
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

    /// Returns the calls that can run at once: each needs a slot and a connection.
    pub fn usable_slots(&self) -> u32 {
        self.slots.min(self.connections)
    }
}

/// An exchange with the target, or with another node, that gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{step} {peer}: {cause}")]
pub struct ExchangeError {
    /// What is known of the request.
    pub fate: AttemptFate,
    /// Whether the request met a pooled connection that was already closed.
    pub stale: bool,
    /// What was being done.
    pub step: &'static str,
    /// Peer of the exchange.
    pub peer: String,
    /// What went wrong.
    pub cause: String,
}

/// Returns what an error of the HTTP client says about the request.
///
/// The client cancels a request only before it has written any of it; a failed connect comes before
/// that as well. Every other error leaves the outcome unknown.
pub fn exchange_error(error: &ClientError, peer: &str) -> ExchangeError {
    let cancelled = error
        .source()
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled);
    let (fate, step) = match (error.is_connect(), cancelled) {
        (true, _) => (AttemptFate::NotRun, "connect to"),
        (false, true) => (AttemptFate::NotRun, "send request to"),
        (false, false) => (AttemptFate::Unknown, "exchange with"),
    };
    ExchangeError {
        fate,
        stale: cancelled && !error.is_connect(),
        step,
        peer: peer.to_owned(),
        cause: innermost(error),
    }
}

fn innermost(error: &dyn Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// HTTP client towards one target; one exchange per connection at a time.
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
            .build(connector);
        Self {
            address,
            connections,
            client,
        }
    }

    /// Returns the connections that are open.
    pub fn open_connections(&self) -> u32 {
        self.connections.in_use()
    }

    /// Changes the number of connections.
    pub fn resize(&self, connections: u32) {
        self.connections.resize(connections);
    }

    /// Sends a request like `send` and returns the connection that carries the answer beside it.
    pub async fn send_tracked(
        &self,
        mut request: Request<ExchangeBody>,
    ) -> Result<TrackedAnswer, ExchangeError> {
        let capture = capture_connection(&mut request);
        let response = self.send(request).await?;
        let connection = AnswerConnection { capture };
        Ok(TrackedAnswer {
            response,
            connection,
        })
    }

    /// Sends a request and returns the head of the answer with its body to come.
    pub async fn send(
        &self,
        mut request: Request<ExchangeBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let peer = format!("target {}", self.address);
        *request.uri_mut() = peer_uri(self.address, request.uri().path_and_query());
        let answer = self.client.request(request).await;
        answer.map_err(|error| exchange_error(&error, &peer))
    }
}

/// An answer with the connection that carries it.
pub struct TrackedAnswer {
    /// Head of the answer with its body to come.
    pub response: Response<Incoming>,
    /// Connection that carries it.
    pub connection: AnswerConnection,
}

/// Connection that carried an answer.
pub struct AnswerConnection {
    capture: CaptureConnection,
}

impl AnswerConnection {
    /// Keeps the connection from being used for another request.
    pub fn poison(&self) {
        if let Some(connected) = self.capture.connection_metadata().as_ref() {
            connected.poison();
        }
    }
}

/// Returns the URI of a path at a peer.
pub fn peer_uri(address: SocketAddr, path: Option<&PathAndQuery>) -> Uri {
    let path = path.map_or("/", PathAndQuery::as_str);
    format!("http://{address}{path}")
        .parse()
        .unwrap_or_default()
}

/// A target as long as it keeps its address: its gate and its connections.
#[derive(Clone, Debug)]
pub struct TargetHandle {
    /// What the target announced last.
    pub announced: TargetAnnouncementBody,
    /// Slots of the target.
    pub gate: SlotGate,
    /// Client towards the target.
    pub client: TargetClient,
}

/// A target with the time of its last announcement.
#[derive(Debug)]
struct PresentTarget {
    handle: Arc<TargetHandle>,
    heard_at: Instant,
}

/// The target beside this node, if one has announced itself.
#[derive(Debug, Default)]
pub struct LocalTarget {
    present: Mutex<Option<PresentTarget>>,
    demand: Mutex<DemandMeter>,
}

impl LocalTarget {
    /// Takes over an announcement.
    ///
    /// The gate and the connections stay while the address does, so calls in progress keep counting.
    pub fn announce(&self, announcement: TargetAnnouncementBody, now: Instant) {
        let mut present = self.present.lock();
        let known = present
            .as_ref()
            .filter(|known| known.handle.announced.address == announcement.address);
        let handle = match known {
            Some(known) => resized_handle(&known.handle, announcement),
            None => new_handle(announcement),
        };
        *present = Some(PresentTarget {
            handle: Arc::new(handle),
            heard_at: now,
        });
    }

    /// Withdraws the target if its announcements have stopped; returns whether it did.
    pub fn withdraw_if_silent(&self, now: Instant) -> bool {
        let mut present = self.present.lock();
        let silent = present
            .as_ref()
            .is_some_and(|known| now.saturating_duration_since(known.heard_at) > SILENCE_LIMIT);
        if silent {
            *present = None;
        }
        silent
    }

    /// Returns the target.
    pub fn handle(&self) -> Option<Arc<TargetHandle>> {
        let present = self.present.lock();
        present.as_ref().map(|known| known.handle.clone())
    }

    /// Counts a call that reached this node for its target.
    pub fn note_demand(&self, now: Instant) {
        self.demand.lock().note(now);
    }

    /// Returns the calls per second that reached this node lately.
    pub fn demand(&self, now: Instant) -> u32 {
        self.demand.lock().per_second(now)
    }

    /// Returns what other nodes are told about the target.
    pub fn record(&self) -> Option<TargetRecord> {
        let handle = self.handle()?;
        Some(TargetRecord {
            key: handle.announced.key(),
            version: handle.announced.version.clone(),
            slots: handle.announced.usable_slots(),
            connections: handle.announced.connections,
            draining: handle.announced.draining,
            demand: self.demand(Instant::now()),
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

fn resized_handle(known: &TargetHandle, announced: TargetAnnouncementBody) -> TargetHandle {
    known.gate.resize(announced.usable_slots());
    known.client.connections.resize(announced.connections);
    TargetHandle {
        gate: known.gate.clone(),
        client: known.client.clone(),
        announced,
    }
}
