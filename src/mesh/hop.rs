//! A hop: the entry node forwards a call to the node beside a target. Headers of both directions and the client.

use {
    super::admission::{ColdLoad, TargetLoad},
    crate::{
        config::ServiceKey,
        ids::{AccountName, RouteName, ServiceName, VersionName},
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
    serde::Deserialize,
    serde_json::json,
    std::{
        convert::Infallible,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, Waker},
        time::Duration,
    },
};

/// Request header with the `HopMetadata` of the entry node, as JSON.
pub const HOP_METADATA_HEADER: HeaderName = HeaderName::from_static("poplarwing-hop");

/// Response header of a refusal, which the node made and not its target: whether the request may have run, then the
/// reason code.
pub const EXECUTION_HEADER: HeaderName = HeaderName::from_static("poplarwing-hop-fate");

/// Response header with the load of the target: running calls, waiting calls, slots, then the average service time of
/// all calls and of the route in microseconds. Optional tokens with a letter in front follow: `s` for the present service
/// time in percent of the average; for a cold target `c` for the time for which it is cold, `i` for the time between two
/// calls at its present rate and `r` for the time until it may get one more call, in microseconds.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("poplarwing-hop-load");

/// Letter in front of the present service time in `LOAD_HEADER`.
const RELATIVE_TIME_TOKEN: char = 's';

/// Letter in front of the time for which a target is cold.
const COLD_LEFT_TOKEN: char = 'c';

/// Letter in front of the time between two calls to a cold target.
const COLD_INTERVAL_TOKEN: char = 'i';

/// Letter in front of the time until a cold target may get one more call.
const COLD_ROOM_TOKEN: char = 'r';

/// Hundredths of the whole.
const PERCENT: f64 = 100.0;

/// Time limit for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which sent bytes may stay unacknowledged before the connection is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a connection to another node is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle connections that are kept open to each node.
const MAX_IDLE_PER_NODE: usize = 16;

/// Decisions of the entry node about a forwarded call, with its time limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HopMetadata {
    /// Service that the call is for.
    pub service: ServiceKey,
    /// Version of the selected target.
    pub version: VersionName,
    /// Route that the call matched.
    pub route: RouteName,
    /// Priority of the route; 0 goes first.
    pub rank: u32,
    /// Service that makes the call, which is that of the target beside the entry node.
    pub caller: ServiceName,
    /// Time left until the call times out.
    pub left: Duration,
    /// Time left until the latency objective.
    pub due: Duration,
    /// Limit of the expected time until the response is complete; the node refuses a call that would exceed it.
    pub finish_within: Duration,
    /// Client account that makes the call; none if it carries no key. Nodes of earlier
    /// versions do not read this field and the next.
    #[serde(default)]
    pub account: Option<AccountName>,
    /// Priority of that account, which goes before that of the route; 0 goes first.
    #[serde(default)]
    pub account_rank: Option<u32>,
}

impl HopMetadata {
    /// Returns the value of `HOP_METADATA_HEADER`; none if a name is not valid in a header.
    pub fn header_value(&self) -> Option<HeaderValue> {
        let Self {
            service,
            version,
            route,
            rank,
            caller,
            left,
            due,
            finish_within,
            account,
            account_rank,
        } = self;
        // Arrays take a third of the bytes of objects with field names; `Deserialize` accepts both.
        let mut fields = vec![
            json!([service.customer, service.service]),
            json!(version),
            json!(route),
            json!(rank),
            json!(caller),
            json!(time_fields(left)),
            json!(time_fields(due)),
            json!(time_fields(finish_within)),
        ];
        if account.is_some() {
            fields.extend([json!(account), json!(account_rank)]);
        }
        let text = serde_json::to_string(&fields).ok()?;
        HeaderValue::from_str(&text).ok()
    }

    /// Reads `HOP_METADATA_HEADER`; none if it is missing or invalid.
    pub fn parse(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(HOP_METADATA_HEADER)?;
        serde_json::from_slice(value.as_bytes()).ok()
    }
}

/// Returns a time in the array form of its `Deserialize`: seconds and nanoseconds.
fn time_fields(time: &Duration) -> (u64, u32) {
    (time.as_secs(), time.subsec_nanos())
}

/// Sets the load header of a response.
pub fn set_load(headers: &mut HeaderMap, load: &TargetLoad) {
    let (service_micros, route_micros) =
        (load.service_time.as_micros(), load.route_time.as_micros());
    let mut text = format!(
        "{},{},{},{service_micros},{route_micros}",
        load.running, load.waiting, load.slots
    );
    if let Some(relative_time) = load.relative_time {
        let percent = (relative_time * PERCENT).round() as u64;
        text.push_str(&format!(",{RELATIVE_TIME_TOKEN}{percent}"));
    }
    if let Some(cold) = &load.cold {
        let (left, interval) = (cold.left.as_micros(), cold.interval.as_micros());
        let room_in = cold.room_in.as_micros();
        text.push_str(&format!(
            ",{COLD_LEFT_TOKEN}{left},{COLD_INTERVAL_TOKEN}{interval},{COLD_ROOM_TOKEN}{room_in}"
        ));
    }
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(LOAD_HEADER, value);
    }
}

/// Removes the load header from a response and returns its value; none if it is missing or invalid.
pub fn take_load(headers: &mut HeaderMap) -> Option<TargetLoad> {
    let value = headers.remove(LOAD_HEADER)?;
    let mut numbers = value.to_str().ok()?.split(',');
    let mut next = || numbers.next()?.parse::<u64>().ok();
    let mut load = TargetLoad {
        running: u32::try_from(next()?).ok()?,
        waiting: u32::try_from(next()?).ok()?,
        slots: u32::try_from(next()?).ok()?,
        service_time: Duration::from_micros(next()?),
        route_time: Duration::from_micros(next()?),
        relative_time: None,
        cold: None,
    };
    let tokens: Vec<&str> = numbers.collect();
    load.relative_time =
        token_number(&tokens, RELATIVE_TIME_TOKEN).map(|percent| percent as f64 / PERCENT);
    load.cold = cold_load(&tokens);
    Some(load)
}

/// Reads the tokens of a cold target; none if one is missing, as for a warm target or one whose node is older.
fn cold_load(tokens: &[&str]) -> Option<ColdLoad> {
    let time = |letter| token_number(tokens, letter).map(Duration::from_micros);
    Some(ColdLoad {
        left: time(COLD_LEFT_TOKEN)?,
        interval: time(COLD_INTERVAL_TOKEN)?,
        room_in: time(COLD_ROOM_TOKEN)?,
    })
}

fn token_number(tokens: &[&str], letter: char) -> Option<u64> {
    let mut values = tokens.iter().filter_map(|token| token.strip_prefix(letter));
    values.next()?.parse().ok()
}

/// Holds back the body of a request until the node beside the target sends `100 Continue`, which it does when the call
/// leaves its queue.
#[derive(Clone, Debug, Default)]
pub struct BodyGate {
    state: Arc<Mutex<GateState>>,
}

#[derive(Debug, Default)]
struct GateState {
    /// Whether the receiver has asked for the body.
    open: bool,
    /// Whether the sender has abandoned the attempt, so that the body must not be sent any more.
    closed: bool,
    /// Whether the body has been handed to the HTTP client.
    released: bool,
    /// Task that sends the body.
    waker: Option<Waker>,
}

impl BodyGate {
    fn open(&self) {
        let mut state = self.state.lock();
        state.open = true;
        state.waker.take().into_iter().for_each(Waker::wake);
    }

    /// Closes the gate for good unless the body has been sent; returns whether the gate is closed, so that the
    /// request cannot run.
    pub fn close_unless_released(&self) -> bool {
        let mut state = self.state.lock();
        state.closed = !state.released;
        state.closed
    }
}

/// Body of a request to another node. A gate holds it back if the call may be withdrawn while it waits there.
///
/// With a gate, an empty body is sent in chunks: a body of known length 0 ends with the head of the request.
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
        !self.is_empty_behind_gate() && self.content.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_empty_behind_gate() {
            return SizeHint::default();
        }
        let length = self.content.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(length as u64)
    }
}

impl HopBody {
    /// Returns whether an empty body has not been sent yet and a gate holds it back.
    fn is_empty_behind_gate(&self) -> bool {
        self.gate.is_some() && self.content.as_ref().is_some_and(Bytes::is_empty)
    }

    fn poll_gate(&self, context: &mut Context<'_>) -> Poll<()> {
        let Some(gate) = &self.gate else {
            return Poll::Ready(());
        };
        let mut state = gate.state.lock();
        if state.open && !state.closed {
            state.released = true;
            return Poll::Ready(());
        }
        state.waker = Some(context.waker().clone());
        Poll::Pending
    }
}

/// HTTP client for calls to other nodes.
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
            .pool_max_idle_per_host(MAX_IDLE_PER_NODE)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }
}

impl HopClient {
    /// Sends a request; with a gate, the body is sent only after the receiver has answered `100 Continue`.
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
