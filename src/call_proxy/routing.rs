//! Validation and routing of an incoming call, before any part of it is forwarded.

use {
    super::{
        CallContext,
        headers::{IDEMPOTENCY_KEY_HEADER, parse_timeout, single_value},
        keyed::{KeyedCall, request_fingerprint},
    },
    crate::{
        active_config::ActiveConfig,
        call_events::CallRefusal,
        config::{RouteSpec, ServiceKey, TrafficSplit},
        ids::ConfigVersion,
        route_table::is_ambiguous_path,
    },
    http::{Method, Request, header::HOST},
    http_body::Body,
    std::time::{Duration, Instant},
};

/// Longest idempotency key; the key is part of a sort key, whose length the table limits.
const MAX_KEY_BYTES: usize = 256;

/// A call with the route that it matched.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// Version of the configuration that contains the route.
    pub config_version: ConfigVersion,
    /// Service called.
    pub key: ServiceKey,
    /// Route called.
    pub route: RouteSpec,
    /// Shares of the service's calls that its versions get.
    pub split: TrafficSplit,
    /// Host as sent by the caller.
    pub host: String,
    /// Time by which the whole response must have been sent.
    pub deadline: Instant,
    /// Whether the deadline is the route's, because the caller set none or a later one.
    pub is_route_deadline: bool,
    /// The call's idempotency key, if its route records keys.
    pub keyed: Option<KeyedCall>,
}

/// Validates a call and finds its route.
pub fn route_call<B: Body>(
    context: &CallContext,
    request: &Request<B>,
    received_at: Instant,
) -> Result<RoutedCall, CallRefusal> {
    if !context.board.gate.is_ready() {
        let message = "route call: this node has not applied a recent enough configuration yet";
        return Err(CallRefusal::not_run(503, "not-ready", message));
    }
    let host = check_request(request)?;
    let snapshot = context.board.gate.active();
    let call = match_route(&snapshot, request, host, received_at)?;
    check_declared_length(request, &call)?;
    Ok(call)
}

fn invalid_request(reason: &'static str, message: &str) -> CallRefusal {
    CallRefusal::not_run(400, reason, format!("check request: {message}"))
}

/// Returns the host of a well-formed request.
fn check_request<B>(request: &Request<B>) -> Result<String, CallRefusal> {
    if request.method() == Method::CONNECT {
        return Err(invalid_request(
            "invalid-method",
            "the method CONNECT is not supported",
        ));
    }
    if is_ambiguous_path(request.uri().path()) {
        return Err(invalid_request(
            "invalid-path",
            "the path contains a dot segment",
        ));
    }
    let host_header = single_value(request.headers(), &HOST).and_then(|value| value.to_str().ok());
    let authority = request
        .uri()
        .authority()
        .map(|authority| authority.as_str());
    if request.headers().contains_key(HOST) && host_header.is_none() {
        return Err(invalid_request(
            "invalid-host",
            "more than one host header, or one that is not text",
        ));
    }
    match authority.or(host_header) {
        Some(host) if !host.is_empty() && !host.contains('@') => Ok(host.to_owned()),
        _ => Err(invalid_request(
            "invalid-host",
            "the host is missing, empty or contains a user name",
        )),
    }
}

fn match_route<B: Body>(
    snapshot: &ActiveConfig,
    request: &Request<B>,
    host: String,
    received_at: Instant,
) -> Result<RoutedCall, CallRefusal> {
    let method = request.method().as_str();
    let path = request.uri().path();
    let no_route = || {
        let message = format!("find route: no route matches {method} {host}{path}");
        CallRefusal::not_run(404, "no-route", message)
    };
    let (service, route) = snapshot
        .find_route(&host, method, path)
        .ok_or_else(no_route)?;
    let split = snapshot.split(&service.key).ok_or_else(no_route)?;
    let requested = parse_timeout(request.headers())?;
    let timeout = requested.map_or(route.deadline, |requested| requested.min(route.deadline));
    Ok(RoutedCall {
        config_version: snapshot.version,
        key: service.key.clone(),
        keyed: parse_idempotency_key(request, &service.key, route)?,
        route: route.clone(),
        split: split.clone(),
        host,
        deadline: received_at + timeout,
        is_route_deadline: requested.is_none_or(|requested: Duration| requested >= route.deadline),
    })
}

fn parse_idempotency_key<B: Body>(
    request: &Request<B>,
    key: &ServiceKey,
    route: &RouteSpec,
) -> Result<Option<KeyedCall>, CallRefusal> {
    if !route.keyed || !request.headers().contains_key(&IDEMPOTENCY_KEY_HEADER) {
        return Ok(None);
    }
    let idempotency_key = single_value(request.headers(), &IDEMPOTENCY_KEY_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES)
        .ok_or_else(|| {
            let message =
                format!("header {IDEMPOTENCY_KEY_HEADER} must occur once, with a text of 1 to {MAX_KEY_BYTES} bytes");
            invalid_request("invalid-key", &message)
        })?;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let length = request.body().size_hint().exact();
    Ok(Some(KeyedCall {
        service: key.clone(),
        route: route.name.clone(),
        idempotency_key: idempotency_key.to_owned(),
        fingerprint: request_fingerprint(request.method().as_str(), path, length),
    }))
}

fn check_declared_length<B: Body>(
    request: &Request<B>,
    call: &RoutedCall,
) -> Result<(), CallRefusal> {
    match request.body().size_hint().exact() {
        Some(length) if length > call.route.body_limit.value => {
            let refusal = body_limit_refusal(call);
            Err(refusal)
        }
        _ => Ok(()),
    }
}

/// Returns the refusal of a request body that is longer than its route allows.
pub fn body_limit_refusal(call: &RoutedCall) -> CallRefusal {
    let limit = call.route.body_limit;
    let message = format!("read request body: longer than {} bytes", limit.value);
    CallRefusal::not_run(413, "body-limit", message)
        .with_contract_line(&call.key.customer, limit.line)
}
