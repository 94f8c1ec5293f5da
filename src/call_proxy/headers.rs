//! Headers between callers, nodes and targets.

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

/// Says what a refused caller may assume.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("poplarwing-outcome");

/// Says why a call was refused.
pub const REASON_HEADER: HeaderName = HeaderName::from_static("poplarwing-reason");

/// Names the contract line behind a refusal.
pub const CONTRACT_LINE_HEADER: HeaderName = HeaderName::from_static("poplarwing-contract-line");

/// Carries the choices of the entry node to the target's node.
pub const HOP_HEADER: HeaderName = HeaderName::from_static("poplarwing-hop");

/// Time that the target took for the head of its answer, in microseconds; never sent to callers.
pub const EXCHANGE_TIME_HEADER: HeaderName = HeaderName::from_static("poplarwing-exchange-us");

/// Remaining deadline in milliseconds.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-request-timeout-ms");

/// Key under which a call runs at most once.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Prefix of the headers that only nodes may set.
const OWN_PREFIX: &str = "poplarwing-";

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 10] = [
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

/// What the entry node chose for a call.
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

    /// Reads the hop header.
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

/// Reads the remaining deadline; an absent header gives none, an invalid one an error.
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
            format!("header {TIMEOUT_HEADER}: allowed is one whole number of milliseconds"),
        )),
    }
}

/// Sets the remaining deadline, rounded down to whole milliseconds.
pub fn set_timeout(headers: &mut HeaderMap, remaining: Duration) {
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(TIMEOUT_HEADER, HeaderValue::from(millis));
}

/// Notes on an answer how long the target took for its head.
pub fn set_exchange_time(headers: &mut HeaderMap, elapsed: Duration) {
    let micros = elapsed.as_micros().min(u128::from(u64::MAX)) as u64;
    headers.insert(EXCHANGE_TIME_HEADER, HeaderValue::from(micros));
}

/// Takes the time that the target took from an answer.
pub fn take_exchange_time(headers: &mut HeaderMap) -> Option<Duration> {
    let value = headers.remove(EXCHANGE_TIME_HEADER)?;
    let micros = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_micros(micros))
}

/// Removes headers that concern one connection, and those that only nodes may set.
pub fn strip_headers(headers: &mut HeaderMap) {
    strip_connection_headers(headers);
    let own = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX));
    for name in own.cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
}

/// Removes headers that concern one connection.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let mut dropped: Vec<HeaderName> = named_by_connection(headers);
    dropped.extend(CONNECTION_HEADERS);
    for name in dropped {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Returns the answer that carries a refusal.
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

/// Reads a refusal from the answer of another node; none if the answer is the target's own.
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
        // An outcome that this node does not know must not be taken for "not run".
        outcome: CallOutcome::parse(text).unwrap_or(CallOutcome::Unknown),
        reason: reason.to_owned().into(),
        contract_line: line.and_then(ContractLine::parse),
        message: format!("node {peer} refused: {reason}"),
    })
}
