//! Checks of an arriving call, before anything of it is sent on.

use {
    super::{
        CallContext,
        headers::{KEY_HEADER, parse_timeout, single_value},
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

/// Longest idempotency key; the table limits the length of its sort keys.
const MAX_KEY_BYTES: usize = 256;

/// A call with the route it follows.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// Configuration version that the route is taken from.
    pub config_version: ConfigVersion,
    /// Service called.
    pub key: ServiceKey,
    /// Route called.
    pub route: RouteSpec,
    /// Division of the service's calls between its versions.
    pub split: TrafficSplit,
    /// Host as the caller named it.
    pub host: String,
    /// When the answer must have ended.
    pub deadline: Instant,
    /// Whether the route's deadline, not the caller's, is the smaller one.
    pub deadline_is_routes: bool,
    /// The call's idempotency key, if its route records keys.
    pub keyed: Option<KeyedCall>,
}

/// Checks a call and finds its route.
pub fn route_call<B: Body>(
    context: &CallContext,
    request: &Request<B>,
    started: Instant,
) -> Result<RoutedCall, CallRefusal> {
    if !context.board.gate.is_ready() {
        let message = "route call: no configuration is in force yet";
        return Err(CallRefusal::not_run(503, "not-ready", message));
    }
    let host = check_request(request)?;
    let snapshot = context.board.gate.active();
    let call = find_call(&snapshot, request, host, started)?;
    check_length(request, &call)?;
    Ok(call)
}

fn invalid(reason: &'static str, message: &str) -> CallRefusal {
    CallRefusal::not_run(400, reason, format!("check request: {message}"))
}

/// Returns the host of a well-formed request.
fn check_request<B>(request: &Request<B>) -> Result<String, CallRefusal> {
    if request.method() == Method::CONNECT {
        return Err(invalid("invalid-method", "CONNECT is not served"));
    }
    if is_ambiguous_path(request.uri().path()) {
        return Err(invalid("invalid-path", "the path has a dot segment"));
    }
    let named = single_value(request.headers(), &HOST).and_then(|value| value.to_str().ok());
    let authority = request
        .uri()
        .authority()
        .map(|authority| authority.as_str());
    if request.headers().contains_key(HOST) && named.is_none() {
        return Err(invalid("invalid-host", "more than one host, or not text"));
    }
    match authority.or(named) {
        Some(host) if !host.is_empty() && !host.contains('@') => Ok(host.to_owned()),
        _ => Err(invalid("invalid-host", "no host")),
    }
}

fn find_call<B: Body>(
    snapshot: &ActiveConfig,
    request: &Request<B>,
    host: String,
    started: Instant,
) -> Result<RoutedCall, CallRefusal> {
    let method = request.method().as_str();
    let path = request.uri().path();
    let no_route = || {
        let message = format!("find route: none for {method} {host}{path}");
        CallRefusal::not_run(404, "no-route", message)
    };
    let (service, route) = snapshot
        .find_route(&host, method, path)
        .ok_or_else(no_route)?;
    let split = snapshot.split(&service.key).ok_or_else(no_route)?;
    let asked = parse_timeout(request.headers())?;
    let allowed = asked.map_or(route.deadline, |asked| asked.min(route.deadline));
    Ok(RoutedCall {
        config_version: snapshot.version,
        key: service.key.clone(),
        keyed: find_key(request, &service.key, route)?,
        route: route.clone(),
        split: split.clone(),
        host,
        deadline: started + allowed,
        deadline_is_routes: asked.is_none_or(|asked: Duration| asked >= route.deadline),
    })
}

fn find_key<B: Body>(
    request: &Request<B>,
    key: &ServiceKey,
    route: &RouteSpec,
) -> Result<Option<KeyedCall>, CallRefusal> {
    if !route.keyed || !request.headers().contains_key(&KEY_HEADER) {
        return Ok(None);
    }
    let idempotency_key = single_value(request.headers(), &KEY_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES)
        .ok_or_else(|| {
            let message =
                format!("{KEY_HEADER}: allowed is one text of 1 to {MAX_KEY_BYTES} bytes");
            invalid("invalid-key", &message)
        })?;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let length = request.body().size_hint().exact();
    Ok(Some(KeyedCall {
        key: key.clone(),
        route: route.name.clone(),
        idempotency_key: idempotency_key.to_owned(),
        fingerprint: request_fingerprint(request.method().as_str(), path, length),
    }))
}

fn check_length<B: Body>(request: &Request<B>, call: &RoutedCall) -> Result<(), CallRefusal> {
    match request.body().size_hint().exact() {
        Some(length) if length > call.route.body_limit.value => {
            let refusal = over_limit(call);
            Err(refusal)
        }
        _ => Ok(()),
    }
}

/// Returns the refusal of a body that is longer than its route allows.
pub fn over_limit(call: &RoutedCall) -> CallRefusal {
    let limit = call.route.body_limit;
    let message = format!("read request body: longer than {} bytes", limit.value);
    CallRefusal::not_run(413, "body-limit", message).at_line(&call.key.customer, limit.line)
}
