//! HTTP client of the operator program, with failover between nodes.

use {
    crate::admin_types::{ErrorBody, ErrorCode},
    bytes::Bytes,
    http::{Method, Request, StatusCode, Uri, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        error::Error,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::{net::TcpStream, time::timeout},
};

/// Time limit for connecting to one node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Failure of a request at one node.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("node {node}: {cause}")]
pub struct NodeFailure {
    /// Address of the node.
    pub node: SocketAddr,
    /// Reason of the failure.
    pub cause: String,
}

/// Failure of an API request, after all nodes were tried that may be tried.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ClientError {
    /// No node could be reached.
    #[error("{operation}: no node could be reached: {}", format_failures(failures))]
    Unreachable {
        /// Description of the operation that failed.
        operation: String,
        /// Every node with the reason why it could not be reached.
        failures: Vec<NodeFailure>,
    },
    /// The time limit passed; nothing was changed.
    #[error(
        "{operation}: no response within the time limit: {}",
        format_failures(failures)
    )]
    TimedOut {
        /// Description of the operation that failed.
        operation: String,
        /// Every node tried with the reason of its failure.
        failures: Vec<NodeFailure>,
    },
    /// A change was sent, but no usable response came back: it may or may not have been accepted.
    #[error("{operation}: the outcome is unknown: {failure}")]
    OutcomeUnknown {
        /// Description of the operation that failed.
        operation: String,
        /// Node that the change was sent to, with the reason.
        failure: NodeFailure,
    },
    /// A node responded with an error of the API.
    #[error("{operation}: node {node}: {}", body.message)]
    Refused {
        /// Description of the operation that failed.
        operation: String,
        /// Node that responded.
        node: SocketAddr,
        /// Body of the response.
        body: Box<ErrorBody>,
    },
    /// A node sent a response that cannot be decoded; nothing was changed.
    #[error("{operation}: {failure}")]
    BadResponse {
        /// Description of the operation that failed.
        operation: String,
        /// Node that responded, with the decoding error.
        failure: NodeFailure,
    },
}

fn format_failures(failures: &[NodeFailure]) -> String {
    let formatted: Vec<String> = failures.iter().map(ToString::to_string).collect();
    formatted.join("; ")
}

/// A request to the operator API.
#[derive(Clone, Debug)]
pub struct ApiCall {
    /// Description of the operation, for error messages.
    pub operation: String,
    /// HTTP method; every method but `GET` counts as a change.
    pub method: Method,
    /// Path and query string.
    pub path_and_query: String,
    /// Request body; empty for reads.
    pub body: Bytes,
}

impl ApiCall {
    /// Returns a `GET` request.
    pub fn read(operation: &str, path_and_query: impl Into<String>) -> ApiCall {
        ApiCall {
            operation: operation.to_owned(),
            method: Method::GET,
            path_and_query: path_and_query.into(),
            body: Bytes::new(),
        }
    }

    /// Returns a request for a change.
    pub fn change(
        operation: &str,
        method: Method,
        path_and_query: String,
        body: impl Into<Bytes>,
    ) -> ApiCall {
        ApiCall {
            operation: operation.to_owned(),
            method,
            path_and_query,
            body: body.into(),
        }
    }

    fn is_read(&self) -> bool {
        self.method == Method::GET
    }
}

/// An HTTP response before its body is decoded.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

/// Why an attempt at one node got no response.
enum AttemptFailure {
    /// Nothing of the request was sent.
    NotSent(String),
    /// The node may have received the request.
    Sent(String),
}

/// Sends requests to the first node that can be reached.
///
/// A request is retried at the next node only where that is safe: if nothing was sent yet, if the node
/// responded that the store is unavailable and nothing was changed, or if the request is a read.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// Nodes in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// Access token of the operator.
    pub token: String,
    /// Time limit of one request, all nodes together.
    pub time_limit: Duration,
}

impl OperatorClient {
    /// Sends a request and returns the decoded response.
    pub async fn call<T: DeserializeOwned>(&self, call: &ApiCall) -> Result<T, ClientError> {
        let deadline = Instant::now() + self.time_limit;
        let mut failures = Vec::new();
        let mut store_outage = None;
        for (index, node) in self.nodes.iter().enumerate() {
            let nodes_left = self.nodes.len() - index;
            let failure = match self
                .attempt(*node, call, node_time_limit(deadline, nodes_left, call))
                .await
            {
                Ok(response) => match decode(call, *node, &response) {
                    Err(error) if is_store_outage(&error) => {
                        store_outage = Some(error);
                        continue;
                    }
                    result => return result,
                },
                Err(AttemptFailure::Sent(cause)) if !call.is_read() => {
                    return Err(ClientError::OutcomeUnknown {
                        operation: call.operation.clone(),
                        failure: NodeFailure { node: *node, cause },
                    });
                }
                Err(AttemptFailure::Sent(cause) | AttemptFailure::NotSent(cause)) => cause,
            };
            failures.push(NodeFailure {
                node: *node,
                cause: failure,
            });
        }
        Err(store_outage.unwrap_or_else(|| all_nodes_failed(call, failures, deadline)))
    }

    async fn attempt(
        &self,
        node: SocketAddr,
        call: &ApiCall,
        time_limit: Duration,
    ) -> Result<RawResponse, AttemptFailure> {
        let started = Instant::now();
        let sender = match timeout(time_limit.min(CONNECT_TIMEOUT), connect(node)).await {
            Ok(Ok(sender)) => sender,
            Ok(Err(cause)) => return Err(AttemptFailure::NotSent(cause)),
            Err(_) => return Err(AttemptFailure::NotSent("connection timed out".to_owned())),
        };
        let request = self
            .request(node, call)
            .map_err(|error| AttemptFailure::NotSent(error.to_string()))?;
        let remaining = time_limit.saturating_sub(started.elapsed());
        match timeout(remaining, exchange(sender, request)).await {
            Ok(response) => response.map_err(AttemptFailure::Sent),
            Err(_) => Err(AttemptFailure::Sent(
                "no response before the timeout".to_owned(),
            )),
        }
    }

    fn request(
        &self,
        node: SocketAddr,
        call: &ApiCall,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let uri: Uri = call.path_and_query.parse()?;
        Request::builder()
            .method(call.method.clone())
            .uri(uri)
            .header(header::HOST, node.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(call.body.clone()))
    }
}

/// Returns the time limit for one node. A read divides the remaining time evenly among the nodes not yet
/// tried, so that a node that hangs does not use up all of it.
fn node_time_limit(deadline: Instant, nodes_left: usize, call: &ApiCall) -> Duration {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if call.is_read() {
        remaining / nodes_left.max(1) as u32
    } else {
        remaining
    }
}

async fn connect(node: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(node)
        .await
        .map_err(|error| error.to_string())?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    // The connection task ends when the sender is dropped; its errors are also returned by the exchange.
    tokio::spawn(connection);
    Ok(sender)
}

async fn exchange(
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<RawResponse, String> {
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| error_with_source(&error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| format!("cannot read the response body: {error}"))?;
    Ok(RawResponse {
        status,
        body: body.to_bytes(),
    })
}

fn error_with_source(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

fn decode<T: DeserializeOwned>(
    call: &ApiCall,
    node: SocketAddr,
    response: &RawResponse,
) -> Result<T, ClientError> {
    if response.status.is_success() {
        return serde_json::from_slice(&response.body)
            .map_err(|error| undecodable_response(call, node, response.status, &error));
    }
    match serde_json::from_slice::<ErrorBody>(&response.body) {
        Ok(body) => Err(ClientError::Refused {
            operation: call.operation.clone(),
            node,
            body: Box::new(body),
        }),
        Err(error) => Err(undecodable_response(call, node, response.status, &error)),
    }
}

fn undecodable_response(
    call: &ApiCall,
    node: SocketAddr,
    status: StatusCode,
    error: &serde_json::Error,
) -> ClientError {
    let operation = call.operation.clone();
    let cause = format!("cannot decode the response with status {status}: {error}");
    let failure = NodeFailure { node, cause };
    // A 4xx status means that the request was not carried out, even if an intermediary sent it.
    if call.is_read() || status.is_client_error() {
        ClientError::BadResponse { operation, failure }
    } else {
        ClientError::OutcomeUnknown { operation, failure }
    }
}

fn is_store_outage(error: &ClientError) -> bool {
    matches!(error, ClientError::Refused { body, .. } if body.code == ErrorCode::StoreUnavailable)
}

fn all_nodes_failed(call: &ApiCall, failures: Vec<NodeFailure>, deadline: Instant) -> ClientError {
    let operation = call.operation.clone();
    if Instant::now() >= deadline {
        ClientError::TimedOut {
            operation,
            failures,
        }
    } else {
        ClientError::Unreachable {
            operation,
            failures,
        }
    }
}
