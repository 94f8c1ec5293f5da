//! Headers exchanged between callers, nodes and targets.

use {
    super::ExchangeBody,
    crate::{
        call_events::{CallOutcome, CallRefusal, ContractLine},
        config::ServiceKey,
        ids::{RouteName, VersionName},
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderName, HeaderValue, Response, StatusCode,
        header::{
            CONNECTION, CONTENT_TYPE, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
            TRANSFER_ENCODING, UPGRADE,
        },
    },
    http_body_util::{BodyExt, Full},
    std::time::Duration,
};

/// Whether a refused call may have run; see `CallOutcome`.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("poplarwing-outcome");

/// Reason code of a refusal.
pub const REASON_HEADER: HeaderName = HeaderName::from_static("poplarwing-reason");

/// Line of the customer's contract that sets the limit behind a refusal, as `customer:line`.
pub const CONTRACT_LINE_HEADER: HeaderName = HeaderName::from_static("poplarwing-contract-line");

/// Service, version and route that the entry node chose, sent to the target's node.
pub const HOP_HEADER: HeaderName = HeaderName::from_static("poplarwing-hop");

/// Time from sending a request to the target until its response head, in microseconds; never sent to callers.
pub const EXCHANGE_TIME_HEADER: HeaderName = HeaderName::from_static("poplarwing-exchange-us");

/// Time left until the deadline, in milliseconds; callers may set it, and each hop lowers it.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-request-timeout-ms");

/// Idempotency key; a route that records keys runs at most one call per key.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Prefix of the headers that only nodes may set; they are removed from the messages of callers and targets.
const NODE_HEADER_PREFIX: &str = "poplarwing-";

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The entry node's choice for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HopRecord {
    /// Service called.
    pub key: ServiceKey,
    /// Version chosen.
    pub version: VersionName,
    /// Route called.
    pub route: RouteName,
}

impl HopRecord {
    /// Returns the value of the hop header; none if a name is not valid in a header.
    pub fn header_value(&self) -> Option<HeaderValue> {
        let text = format!("{}/{}/{}", self.key, self.version, self.route);
        HeaderValue::from_str(&text).ok()
    }

    /// Parses the hop header; none if it is absent, repeated or malformed.
    pub fn parse(headers: &HeaderMap) -> Option<Self> {
        let text = single_value(headers, &HOP_HEADER)?.to_str().ok()?;
        let mut parts = text.splitn(4, '/').map(str::to_owned);
        Some(Self {
            key: ServiceKey {
                customer: parts.next()?,
                service: parts.next()?,
            },
            version: parts.next()?,
            route: parts.next()?,
        })
    }
}

/// Returns the value of a header that occurs exactly once.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    values.next().is_none().then_some(first)
}

/// Parses the timeout header; an absent header gives none, an invalid one a refusal.
pub fn parse_timeout(headers: &HeaderMap) -> Result<Option<Duration>, CallRefusal> {
    if !headers.contains_key(&TIMEOUT_HEADER) {
        return Ok(None);
    }
    let parsed = single_value(headers, &TIMEOUT_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u32>().ok());
    match parsed {
        Some(millis) => Ok(Some(Duration::from_millis(u64::from(millis)))),
        None => Err(CallRefusal::not_run(
            400,
            "invalid-timeout",
            format!("header {TIMEOUT_HEADER} must occur once, with a whole number of milliseconds"),
        )),
    }
}

/// Sets the timeout header, rounded down to whole milliseconds.
pub fn set_timeout(headers: &mut HeaderMap, remaining: Duration) {
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(TIMEOUT_HEADER, HeaderValue::from(millis));
}

/// Adds the target's response time to a response.
pub fn set_exchange_time(headers: &mut HeaderMap, elapsed: Duration) {
    let micros = elapsed.as_micros().min(u128::from(u64::MAX)) as u64;
    headers.insert(EXCHANGE_TIME_HEADER, HeaderValue::from(micros));
}

/// Removes the target's response time from a response and returns it.
pub fn take_exchange_time(headers: &mut HeaderMap) -> Option<Duration> {
    let value = headers.remove(EXCHANGE_TIME_HEADER)?;
    let micros = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_micros(micros))
}

/// Removes hop-by-hop headers, and those that only nodes may set.
pub fn strip_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop_headers(headers);
    let reserved = headers
        .keys()
        .filter(|name| name.as_str().starts_with(NODE_HEADER_PREFIX));
    for name in reserved.cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers, including those listed in the `connection` header.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let mut removed: Vec<HeaderName> = connection_listed_headers(headers);
    removed.extend(HOP_BY_HOP_HEADERS);
    for name in removed {
        headers.remove(name);
    }
}

fn connection_listed_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Returns the response that carries a refusal.
pub fn refusal_response(refusal: &CallRefusal) -> Response<ExchangeBody> {
    let body = Full::new(Bytes::from(format!("{}\n", refusal.message)));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() =
        StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    insert_text(headers, OUTCOME_HEADER, &refusal.outcome.to_string());
    insert_text(headers, REASON_HEADER, &refusal.reason);
    if let Some(line) = &refusal.contract_line {
        insert_text(headers, CONTRACT_LINE_HEADER, &line.to_string());
    }
    response
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Parses a refusal from the response of another node; none if the response is the target's.
pub fn parse_refusal(status: StatusCode, headers: &HeaderMap, peer: &str) -> Option<CallRefusal> {
    let text = headers.get(&OUTCOME_HEADER)?.to_str().unwrap_or_default();
    let line = headers
        .get(&CONTRACT_LINE_HEADER)
        .and_then(|value| value.to_str().ok());
    let reason = headers
        .get(&REASON_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("unnamed");
    Some(CallRefusal {
        status: status.as_u16(),
        // An unrecognized outcome, as of a newer node, must not be taken for "not run".
        outcome: CallOutcome::parse(text).unwrap_or(CallOutcome::Unknown),
        reason: reason.to_owned().into(),
        contract_line: line.and_then(ContractLine::parse),
        message: format!("node {peer} refused the call: {reason}"),
    })
}
