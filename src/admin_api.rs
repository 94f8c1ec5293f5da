//! HTTP API of a node: operator requests, target announcements and metrics.

use {
    crate::{
        admin_changes::{
            AuditSearch, ContractProposal, apply_contract, audit_records, cancel_move,
            contract_history, running_move, service_with_split, start_move,
        },
        admin_error::ApiError,
        admin_hooks::AdminHooks,
        admin_types::{
            AuditList, ContractHistory, ErrorCode, MemberView, MoveList, MoveRequest, MoveView,
            NodeStatus, ResourceChange, TargetAnnouncementBody, VetoView,
        },
        blackboard::Blackboard,
        config::{ConfigSnapshot, ResourceName, ServiceKey},
        ids::{ConfigVersion, OperatorName},
        ini_file::MAX_TEXT_BYTES,
        membership::MemberRecord,
        settings::NodeSettings,
        value_rule::{is_name, is_version_name},
    },
    futures::{FutureExt, future::BoxFuture},
    http::header::AUTHORIZATION,
    http_body_util::Full,
    hyper_util::{
        rt::{TokioExecutor, TokioTimer},
        server::conn::auto::Builder,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    sha2::{Digest, Sha256},
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    subtle::ConstantTimeEq,
    tokio::{net::TcpListener, time::timeout},
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
    viz::{
        Request, RequestExt, RequestLimitsExt, Response, ResponseExt, Router, Server,
        types::PayloadError,
    },
};

/// Longest JSON request body, in bytes; contracts have a limit of their own.
const MAX_JSON_BYTES: u64 = 16 * 1024;

/// Time limit for receiving the request head, and another one of this length for the body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Audit records returned if the request sets no limit.
const DEFAULT_RECORD_LIMIT: usize = 100;

/// Most audit records returned per request.
const MAX_RECORD_LIMIT: usize = 1000;

/// State shared by all request handlers.
#[derive(Clone)]
pub struct AdminContext {
    /// Settings of the node.
    pub settings: Arc<NodeSettings>,
    /// Tables that the node's tasks share: configuration, members, vetoes and others.
    pub board: Arc<Blackboard>,
    /// Operations on the store and the node.
    pub hooks: AdminHooks,
}

/// Serves the API until `cancel` is triggered, then finishes the requests in progress.
pub async fn serve_admin(
    listener: TcpListener,
    context: Arc<AdminContext>,
    cancel: CancellationToken,
) {
    let router = admin_router(&context);
    let server = Server::with_builder(listener, router, http_builder());
    let server = server.signal(cancel.cancelled_owned());
    if let Err(error) = server.await {
        warn!(%error, "operator API server stopped because of an error");
    }
}

/// Limits the time for receiving a request head, so that idle clients cannot exhaust the node's
/// connections.
fn http_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(READ_TIMEOUT);
    builder
}

fn admin_router(context: &Arc<AdminContext>) -> Router {
    Router::new()
        .post("/v1/targets", endpoint(context, post_target))
        .put("/v1/contracts/:customer", endpoint(context, put_contract))
        .get("/v1/contracts/:customer", endpoint(context, get_contract))
        .get(
            "/v1/contracts/:customer/history",
            endpoint(context, get_history),
        )
        .post("/v1/moves", endpoint(context, post_move))
        .get("/v1/moves", endpoint(context, get_moves))
        .get("/v1/moves/:customer/:service", endpoint(context, get_move))
        .post(
            "/v1/moves/:customer/:service/cancel",
            endpoint(context, post_cancel),
        )
        .get("/v1/audit", endpoint(context, get_audit))
        .get("/v1/status", endpoint(context, get_status))
        .get("/metrics", endpoint(context, get_metrics))
        .any("/*", endpoint(context, reject_unknown_path))
}

/// Wraps a function as a viz handler; an `ApiError` becomes a JSON error response.
fn endpoint<F, R>(
    context: &Arc<AdminContext>,
    run: F,
) -> impl Fn(Request) -> BoxFuture<'static, viz::Result<Response>> + Clone + Send + Sync + 'static
where
    F: Fn(Arc<AdminContext>, Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response, ApiError>> + Send + 'static,
{
    let context = context.clone();
    move |request| {
        let result = run(context.clone(), request);
        async move { Ok(result.await.unwrap_or_else(|error| error_response(&error))) }.boxed()
    }
}

fn error_response(error: &ApiError) -> Response {
    let mut response = Response::json(&error.body).unwrap_or_default();
    *response.status_mut() = error.status();
    response
}

fn json_response<T: Serialize>(body: &T) -> Result<Response, ApiError> {
    Response::json(body).map_err(|error| {
        let message = format!("The response cannot be encoded as JSON: {error}.");
        ApiError::new(ErrorCode::MalformedRequest, message)
    })
}

async fn reject_unknown_path(_: Arc<AdminContext>, request: Request) -> Result<Response, ApiError> {
    let message = format!("No endpoint {} {}.", request.method(), request.path());
    Err(ApiError::new(ErrorCode::NotFound, message))
}

/// Authenticates a request by its bearer token and returns the operator that owns the token.
fn authenticate(context: &AdminContext, request: &Request) -> Result<OperatorName, ApiError> {
    let header = request.headers().get(AUTHORIZATION);
    let text = header.and_then(|value| value.to_str().ok());
    let token = text.and_then(|text| text.strip_prefix("Bearer "));
    token
        .and_then(|token| find_operator(context, token))
        .ok_or_else(|| {
            let message = "The request needs the header Authorization: Bearer TOKEN with the token \
                           of an operator of this node.";
            ApiError::new(ErrorCode::Unauthenticated, message)
        })
}

/// Finds the operator of a token. Compares hashes of equal length in constant time and goes through all
/// operators, so that the time taken reveals neither a partial match nor the position of the operator.
fn find_operator(context: &AdminContext, token: &str) -> Option<OperatorName> {
    let offered_hash = Sha256::digest(token.as_bytes());
    let mut found = None;
    for (token_of_operator, operator) in &context.settings.operators {
        let expected_hash = Sha256::digest(token_of_operator.as_bytes());
        if bool::from(offered_hash.as_slice().ct_eq(expected_hash.as_slice())) {
            found = Some(operator.clone());
        }
    }
    found
}

async fn read_body(request: &mut Request, max_bytes: u64) -> Result<Vec<u8>, ApiError> {
    let read = request.bytes_with(Some(max_bytes), max_bytes);
    let Ok(result) = timeout(READ_TIMEOUT, read).await else {
        return Err(malformed_request(
            "The request body was not received in time.".to_owned(),
        ));
    };
    match result {
        Ok(bytes) => Ok(bytes.to_vec()),
        Err(PayloadError::Empty) => Ok(Vec::new()),
        Err(PayloadError::TooLarge) => {
            let message = format!("The request body is longer than {max_bytes} bytes.");
            Err(ApiError::new(ErrorCode::TooLarge, message))
        }
        Err(error) => Err(malformed_request(format!(
            "The request body cannot be read: {error}."
        ))),
    }
}

fn malformed_request(message: String) -> ApiError {
    ApiError::new(ErrorCode::MalformedRequest, message)
}

async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, ApiError> {
    let bytes = read_body(request, MAX_JSON_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(|error| {
        malformed_request(format!(
            "The request body is not the JSON expected: {error}."
        ))
    })
}

fn read_query<T: DeserializeOwned>(request: &Request) -> Result<T, ApiError> {
    request
        .query()
        .map_err(|error| malformed_request(format!("The query string is not valid: {error}.")))
}

fn name_from_path(request: &Request, name: &str) -> Result<String, ApiError> {
    let value: String = request
        .param(name)
        .map_err(|error| malformed_request(format!("The path has no {name}: {error}.")))?;
    if is_name(&value) {
        return Ok(value);
    }
    Err(malformed_request(format!(
        "The {name} in the path is not a valid name: {value:?}."
    )))
}

fn key_from_path(request: &Request) -> Result<ServiceKey, ApiError> {
    Ok(ServiceKey {
        customer: name_from_path(request, "customer")?,
        service: name_from_path(request, "service")?,
    })
}

async fn post_target(
    context: Arc<AdminContext>,
    mut request: Request,
) -> Result<Response, ApiError> {
    require_local(&context, &request)?;
    let body: TargetAnnouncementBody = read_json(&mut request).await?;
    check_announcement(&body)?;
    (context.hooks.announce)(body);
    json_response(&serde_json::json!({}))
}

/// Accepts announcements only from the node's own machine: over loopback, or through the node's own
/// address, which is then also the address of the peer.
fn require_local(context: &AdminContext, request: &Request) -> Result<(), ApiError> {
    // The server stores the peer address as this type; `remote_addr` of viz looks up another type and
    // finds nothing.
    let peer = request.extensions().get::<Option<Arc<SocketAddr>>>();
    let peer = peer.and_then(|peer| peer.as_deref().copied());
    let own_ip = context.settings.node.admin_address.ip();
    match peer {
        Some(peer) if peer.ip().is_loopback() || peer.ip() == own_ip => Ok(()),
        _ => {
            let message = "Targets may be announced only from the node's own machine.";
            Err(ApiError::new(ErrorCode::NotLocal, message))
        }
    }
}

fn check_announcement(body: &TargetAnnouncementBody) -> Result<(), ApiError> {
    let names_valid =
        is_name(&body.customer) && is_name(&body.service) && is_version_name(&body.version);
    if !names_valid {
        let message = "customer, service and version must be valid names.";
        return Err(malformed_request(message.to_owned()));
    }
    if body.slots == 0 || body.connections == 0 || body.address.port() == 0 {
        let message = "slots, connections and the port of the address must be at least 1.";
        return Err(malformed_request(message.to_owned()));
    }
    Ok(())
}

/// Query parameters of a contract change.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ContractQuery {
    /// Revision that the contract replaces.
    expect: u64,
}

async fn put_contract(
    context: Arc<AdminContext>,
    mut request: Request,
) -> Result<Response, ApiError> {
    let operator = authenticate(&context, &request)?;
    let customer = name_from_path(&request, "customer")?;
    let query: ContractQuery = read_query(&request)?;
    let bytes = read_body(&mut request, MAX_TEXT_BYTES as u64).await?;
    let text = String::from_utf8(bytes)
        .map_err(|error| malformed_request(format!("The contract is not valid UTF-8: {error}.")))?;
    let proposal = ContractProposal {
        operator: operator.clone(),
        customer,
        expected_revision: query.expect,
        text,
    };
    let result = apply_contract(&context.hooks, proposal).await;
    log_change("contract", &operator, result.as_ref().err());
    json_response(&result?)
}

fn log_change(change: &str, operator: &OperatorName, error: Option<&ApiError>) {
    match error {
        None => info!(change, operator, "change accepted"),
        Some(error) => warn!(change, operator, %error, "change not accepted"),
    }
}

async fn get_contract(context: Arc<AdminContext>, request: Request) -> Result<Response, ApiError> {
    authenticate(&context, &request)?;
    let customer = name_from_path(&request, "customer")?;
    let found = (context.hooks.read_contract)(customer.clone()).await?;
    let body = found.ok_or_else(|| {
        let message = format!("Customer {customer} has no contract.");
        ApiError::new(ErrorCode::NotFound, message)
    })?;
    json_response(&body)
}

/// Query parameters of a contract's history.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HistoryQuery {
    before: Option<ConfigVersion>,
    limit: Option<usize>,
}

async fn get_history(context: Arc<AdminContext>, request: Request) -> Result<Response, ApiError> {
    authenticate(&context, &request)?;
    let customer = name_from_path(&request, "customer")?;
    let query: HistoryQuery = read_query(&request)?;
    let last = match query.before {
        Some(before) => before.saturating_sub(1),
        None => (context.hooks.read_accepted)(()).await?.version,
    };
    let limit = record_limit(query.limit);
    let scan = contract_history(&context.hooks, &customer, last, limit).await?;
    json_response(&ContractHistory {
        records: scan.records,
        before: scan.stopped_at,
    })
}

fn record_limit(requested: Option<usize>) -> usize {
    requested
        .unwrap_or(DEFAULT_RECORD_LIMIT)
        .clamp(1, MAX_RECORD_LIMIT)
}

async fn post_move(context: Arc<AdminContext>, mut request: Request) -> Result<Response, ApiError> {
    let operator = authenticate(&context, &request)?;
    let body: MoveRequest = read_json(&mut request).await?;
    let result = start_move(&context.hooks, operator.clone(), body).await;
    log_change("move start", &operator, result.as_ref().err());
    json_response(&result?)
}

/// Query parameters of a cancellation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CancelQuery {
    #[serde(rename = "move")]
    move_id: Option<ConfigVersion>,
}

async fn post_cancel(context: Arc<AdminContext>, request: Request) -> Result<Response, ApiError> {
    let operator = authenticate(&context, &request)?;
    let key = key_from_path(&request)?;
    let query: CancelQuery = read_query(&request)?;
    let result = cancel_move(&context.hooks, operator.clone(), &key, query.move_id).await;
    log_change("move cancel", &operator, result.as_ref().err());
    json_response(&result?)
}

/// Configuration from which moves are shown.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ViewSource {
    /// Configuration in force on this node.
    #[default]
    Node,
    /// Accepted configuration in the store.
    Store,
}

/// Query parameters of requests that show moves.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MoveQuery {
    #[serde(default)]
    source: ViewSource,
}

async fn requested_snapshot(
    context: &AdminContext,
    request: &Request,
) -> Result<Arc<ConfigSnapshot>, ApiError> {
    let query: MoveQuery = read_query(request)?;
    match query.source {
        ViewSource::Node => Ok(context.board.gate.current()),
        ViewSource::Store => Ok((context.hooks.read_accepted)(()).await?),
    }
}

async fn get_moves(context: Arc<AdminContext>, request: Request) -> Result<Response, ApiError> {
    authenticate(&context, &request)?;
    let snapshot = requested_snapshot(&context, &request).await?;
    let moves: Result<Vec<MoveView>, ApiError> = snapshot
        .services()
        .map(|service| move_view(&context, &snapshot, &service.key))
        .collect();
    json_response(&MoveList {
        as_of: snapshot.version,
        moves: moves?,
    })
}

async fn get_move(context: Arc<AdminContext>, request: Request) -> Result<Response, ApiError> {
    authenticate(&context, &request)?;
    let key = key_from_path(&request)?;
    let snapshot = requested_snapshot(&context, &request).await?;
    json_response(&move_view(&context, &snapshot, &key)?)
}

fn move_view(
    context: &AdminContext,
    snapshot: &ConfigSnapshot,
    key: &ServiceKey,
) -> Result<MoveView, ApiError> {
    let (service, split) = service_with_split(snapshot, key)?;
    let vetoes = context.board.vetoes.lock();
    let veto = vetoes.against(split).map(|veto| VetoView {
        key: key.clone(),
        move_id: veto.move_id,
        issuer: veto.issuer.clone(),
        reason: veto.reason.clone(),
    });
    Ok(MoveView {
        key: key.clone(),
        stable: split.stable.clone(),
        candidate_permille: split.candidate_permille,
        current_move: split.current_move.clone(),
        veto,
        policy: service.move_policy.clone(),
        service: service.clone(),
        changes: resource_changes(snapshot, key),
        as_of: snapshot.version,
    })
}

fn resource_changes(snapshot: &ConfigSnapshot, key: &ServiceKey) -> Vec<ResourceChange> {
    let names = [
        format!("customer/{}", key.customer),
        format!("service/{key}"),
        format!("split/{key}"),
    ];
    let change_of = |name: String| {
        let changed_at = snapshot.resources.get(&name)?.changed_at;
        Some(ResourceChange { name, changed_at })
    };
    names.into_iter().filter_map(change_of).collect()
}

/// Query parameters of a search for audit records.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AuditQuery {
    from: Option<ConfigVersion>,
    until: Option<ConfigVersion>,
    limit: Option<usize>,
    resource: Option<ResourceName>,
}

async fn get_audit(context: Arc<AdminContext>, request: Request) -> Result<Response, ApiError> {
    authenticate(&context, &request)?;
    let query: AuditQuery = read_query(&request)?;
    let search = AuditSearch {
        from: query.from.unwrap_or(1),
        until: query.until.unwrap_or(ConfigVersion::MAX),
        limit: record_limit(query.limit),
        resource: query.resource,
    };
    let scan = audit_records(&context.hooks, &search).await?;
    json_response(&AuditList {
        records: scan.records,
        next: scan.stopped_at,
    })
}

async fn get_status(context: Arc<AdminContext>, request: Request) -> Result<Response, ApiError> {
    authenticate(&context, &request)?;
    json_response(&node_status(&context))
}

fn node_status(context: &AdminContext) -> NodeStatus {
    let node = &context.settings.node;
    let board = &context.board;
    let mut members: Vec<MemberView> = board.members.lock().iter().map(member_view).collect();
    members.sort_by(|first, second| first.node.cmp(&second.node));
    NodeStatus {
        node: node.id.clone(),
        region: node.region.clone(),
        domain: node.failure_domain.clone(),
        version: board.gate.version(),
        ready: board.gate.is_ready(),
        members,
        vetoes: vetoes_of_running_moves(context),
    }
}

fn member_view(record: &MemberRecord) -> MemberView {
    MemberView {
        node: record.node.clone(),
        domain: record.domain.clone(),
        state: record.state,
        applied_version: record.applied_version,
        target: record.target.clone(),
    }
}

fn vetoes_of_running_moves(context: &AdminContext) -> Vec<VetoView> {
    let snapshot = context.board.gate.current();
    let views = snapshot.services().filter_map(|service| {
        let split = snapshot.split(&service.key)?;
        running_move(split)?;
        move_view(context, &snapshot, &service.key).ok()?.veto
    });
    views.collect()
}

async fn get_metrics(context: Arc<AdminContext>, _: Request) -> Result<Response, ApiError> {
    let text = (context.hooks.metrics)();
    Ok(Response::with(
        Full::from(text),
        "text/plain; version=0.0.4; charset=utf-8",
    ))
}
