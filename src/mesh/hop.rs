//! What the entry node tells the node beside a target, and how it reaches that node.

use {
    super::admission::TargetLoad,
    crate::{
        config::ServiceKey,
        ids::{RouteName, ServiceName, VersionName},
    },
    bytes::Bytes,
    futures::ready,
    http::{HeaderMap, HeaderName, HeaderValue, Request, Response},
    http_body::{Body, Frame, SizeHint},
    hyper::{body::Incoming, ext::on_informational},
    hyper_util::{
        client::legacy::{Client, Error as ClientError, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        convert::Infallible,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, Waker},
        time::Duration,
    },
};

/// Carries the choices of the entry node.
pub const CHOICE_HEADER: HeaderName = HeaderName::from_static("poplarwing-hop");

/// Says on an answer that it is the node's own, and what is known of the request.
pub const FATE_HEADER: HeaderName = HeaderName::from_static("poplarwing-hop-fate");

/// Carries the load of the target on each answer.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("poplarwing-hop-load");

/// Longest time for a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without an acknowledgement of sent bytes after which a connection is given up.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a connection to another node is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle connections kept to each node.
const MAX_IDLE: usize = 16;

/// What the entry node chose for a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HopChoice {
    /// Service called.
    pub service: ServiceKey,
    /// Version chosen.
    pub version: VersionName,
    /// Route called.
    pub route: RouteName,
    /// Rank of the route.
    pub rank: u32,
    /// Service in whose name the call is made.
    pub caller: ServiceName,
    /// Time left for the answer.
    pub left: Duration,
    /// Time left within which the answer has its full value.
    pub due: Duration,
    /// Expected time to the end of the answer above which the call is to be refused.
    pub finish_within: Duration,
}

impl HopChoice {
    /// Returns the value of the header.
    pub fn header_value(&self) -> Option<HeaderValue> {
        let text = serde_json::to_string(self).ok()?;
        HeaderValue::from_str(&text).ok()
    }

    /// Reads the header.
    pub fn parse(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(CHOICE_HEADER)?;
        serde_json::from_slice(value.as_bytes()).ok()
    }
}

/// Writes the load of a target to an answer.
pub fn set_load(headers: &mut HeaderMap, load: &TargetLoad) {
    let (mean, route) = (load.service_time.as_micros(), load.route_time.as_micros());
    let text = format!(
        "{},{},{},{mean},{route}",
        load.running, load.waiting, load.slots
    );
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(LOAD_HEADER, value);
    }
}

/// Takes the load of a target from an answer.
pub fn take_load(headers: &mut HeaderMap) -> Option<TargetLoad> {
    let value = headers.remove(LOAD_HEADER)?;
    let mut numbers = value.to_str().ok()?.split(',');
    let mut next = || numbers.next()?.parse::<u64>().ok();
    Some(TargetLoad {
        running: u32::try_from(next()?).ok()?,
        waiting: u32::try_from(next()?).ok()?,
        slots: u32::try_from(next()?).ok()?,
        service_time: Duration::from_micros(next()?),
        route_time: Duration::from_micros(next()?),
    })
}

/// Opens for the body of a request once the node beside the target asks for it.
#[derive(Clone, Debug, Default)]
pub struct BodyGate {
    state: Arc<Mutex<GateState>>,
}

#[derive(Debug, Default)]
struct GateState {
    open: bool,
    closed: bool,
    released: bool,
    waiting: Option<Waker>,
}

impl BodyGate {
    fn open(&self) {
        let mut state = self.state.lock();
        state.open = true;
        state.waiting.take().into_iter().for_each(Waker::wake);
    }

    /// Closes the gate; returns whether the body was never released, so that the request cannot run.
    pub fn close_unless_released(&self) -> bool {
        let mut state = self.state.lock();
        state.closed = !state.released;
        state.closed
    }
}

/// Body of a request to another node, held back by a gate if the request must not run twice.
pub struct HopBody {
    content: Option<Bytes>,
    gate: Option<BodyGate>,
}

impl Body for HopBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        ready!(self.poll_gate(context));
        let content = self.content.take().filter(|content| !content.is_empty());
        Poll::Ready(content.map(|content| Ok(Frame::data(content))))
    }

    fn is_end_stream(&self) -> bool {
        self.content.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.content.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(length as u64)
    }
}

impl HopBody {
    fn poll_gate(&self, context: &mut Context<'_>) -> Poll<()> {
        let Some(gate) = &self.gate else {
            return Poll::Ready(());
        };
        let mut state = gate.state.lock();
        if state.open && !state.closed {
            state.released = true;
            return Poll::Ready(());
        }
        state.waiting = Some(context.waker().clone());
        Poll::Pending
    }
}

/// Client of a node towards other nodes.
#[derive(Clone, Debug)]
pub struct HopClient {
    client: Client<HttpConnector, HopBody>,
}

impl Default for HopClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }
}

impl HopClient {
    /// Sends a request; with a gate, the body is sent only once the receiver asks for it.
    pub async fn send(
        &self,
        head: Request<()>,
        content: Bytes,
        gate: Option<&BodyGate>,
    ) -> Result<Response<Incoming>, ClientError> {
        let mut request = head.map(|()| HopBody {
            content: Some(content),
            gate: gate.cloned(),
        });
        if let Some(gate) = gate.cloned() {
            on_informational(&mut request, move |answer| {
                if answer.status() == http::StatusCode::CONTINUE {
                    gate.open();
                }
            });
        }
        self.client.request(request).await
    }
}
