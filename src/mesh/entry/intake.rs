//! Acceptance of a call: finds its route, account and service, checks its deadline and reads its body.

use {
    super::{NOT_READY_RETRY_AFTER, account::identify_account, header_text},
    crate::mesh::{
        client_connections::ClientConnection,
        context::MeshContext,
        entry_call::EntryCall,
        http::{WholeBodyError, read_whole},
        refusal::MeshRefusal,
        startup_wait::wait_for_config,
        target::{MAX_REQUEST_BYTES, remove_account_headers},
        usage_caps::admit_usage,
    },
    bytes::Bytes,
    http::{
        HeaderMap, Request, StatusCode,
        header::{CONTENT_LENGTH, HOST},
        request::Parts,
    },
    hyper::body::Incoming,
    rand::Rng,
    std::{
        future::pending,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// Time before the caller's deadline at which a call times out, so that the response still reaches the caller in
/// time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Finds the route, the client account and the service of a call and reads its body.
pub(super) async fn accept_call(
    context: &MeshContext,
    request: Request<Incoming>,
    started: Instant,
    call_id: String,
) -> Result<EntryCall, MeshRefusal> {
    if !wait_for_config(context).await {
        return Err(MeshRefusal::not_run(
            "no-configuration",
            NOT_READY_RETRY_AFTER,
        ));
    }
    let config = context.board.gate.active();
    let host = header_text(request.headers(), &HOST);
    let route = config
        .host_route(&host, request.uri().path())
        .ok_or_else(|| MeshRefusal::rejected(StatusCode::NOT_FOUND, "no-route"))?;
    let account = identify_account(context, &config, &route, request.headers())?;
    let timeout = caller_deadline(context, request.headers())?;
    let allowed = timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let waited_before = timeout.map_or(Duration::ZERO, |timeout| {
        context
            .caller_deadlines
            .lock()
            .waited_before(&route.name, timeout)
    });
    let deadline = started + allowed.saturating_sub(DEADLINE_MARGIN);
    if !context.shutdown.admits(deadline) {
        return Err(MeshRefusal::stopping());
    }
    let limit = config.intake().map_or(MAX_REQUEST_BYTES, |limits| {
        MAX_REQUEST_BYTES.min(limits.body_bytes as usize)
    });
    let config_version = config.version;
    let (mut head, body) = request.into_parts();
    if config.keys().has_accounts() {
        remove_account_headers(context, &mut head.headers);
    }
    let permit = match &account {
        Some(account) => admit_usage(context, &account.account, deadline).await?,
        None => None,
    };
    let give_back = |_: &MeshRefusal| context.usage_caps.give_back(permit.as_ref());
    let content = read_body(context, &head, body, limit, deadline).await;
    let content = content.inspect_err(give_back)?;
    let mut rng = rand::rng();
    let draw = rng.random_range(0..1000);
    let service = context
        .splits
        .lock()
        .next(&route, config_version, &mut rng)
        .ok_or_else(|| MeshRefusal::not_run("no-service", NOT_READY_RETRY_AFTER))
        .inspect_err(give_back)?;
    Ok(EntryCall {
        route,
        service,
        account,
        head,
        content,
        call_id,
        config_version,
        started,
        waited_before,
        deadline,
        draw,
        permit,
    })
}

/// Returns the time left until the deadline that the caller sent; none if it sent no deadline.
fn caller_deadline(
    context: &MeshContext,
    headers: &HeaderMap,
) -> Result<Option<Duration>, MeshRefusal> {
    let Some(value) = headers.get(&context.settings.headers.deadline) else {
        return Ok(None);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match millis {
        Some(millis) => Ok(Some(Duration::from_millis(millis))),
        None => Err(MeshRefusal::rejected(
            StatusCode::BAD_REQUEST,
            "invalid-deadline",
        )),
    }
}

async fn read_body(
    context: &MeshContext,
    head: &Parts,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, MeshRefusal> {
    let too_long = || MeshRefusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body-limit");
    let content_length = head.headers.get(CONTENT_LENGTH);
    let content_length =
        content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > limit) {
        return Err(too_long());
    }
    let client = head.extensions.get::<ClientConnection>();
    let reading = read_whole(body, limit, &context.held_bytes);
    let reading = timeout_at(deadline.into(), reading);
    let result = tokio::select! {
        biased;
        () = shed(client) => return Err(shed_refusal()),
        result = reading => result,
    };
    match result {
        // A request whose connection is being closed would run without an answer.
        Ok(Ok(_)) if client.is_some_and(|client| !client.begin_run()) => Err(shed_refusal()),
        Ok(Ok(content)) => Ok(content),
        Ok(Err(WholeBodyError::OverLimit { .. })) => Err(too_long()),
        Ok(Err(WholeBodyError::NoMemory)) => {
            Err(MeshRefusal::not_run("body-memory", NOT_READY_RETRY_AFTER))
        }
        Ok(Err(WholeBodyError::Broken(_))) => Err(MeshRefusal::rejected(
            StatusCode::BAD_REQUEST,
            "broken-body",
        )),
        Err(_) => Err(MeshRefusal::rejected(
            StatusCode::REQUEST_TIMEOUT,
            "slow-body",
        )),
    }
}

/// Returns the refusal of a request whose connection is closed for others before the request was complete.
fn shed_refusal() -> MeshRefusal {
    MeshRefusal::rejected(StatusCode::REQUEST_TIMEOUT, "connection-shed")
}

/// Waits until the connection of a request is to be closed for others.
async fn shed(client: Option<&ClientConnection>) {
    match client {
        Some(client) => client.shed().await,
        None => pending().await,
    }
}
