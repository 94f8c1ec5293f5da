//! HTTP client of the operator program.

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

/// Longest time to connect to one node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A node that could not be asked.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("node {node}: {cause}")]
pub struct NodeFailure {
    /// Address of the node.
    pub node: SocketAddr,
    /// What went wrong.
    pub cause: String,
}

/// A request that did not lead to a usable answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ClientError {
    /// No node could be reached.
    #[error("{step}: no node could be reached: {}", shown_failures(failures))]
    Unreachable {
        /// What was to be done.
        step: String,
        /// Each node with the reason.
        failures: Vec<NodeFailure>,
    },
    /// The time set ran out; nothing was changed.
    #[error("{step}: no answer within the time set: {}", shown_failures(failures))]
    TimedOut {
        /// What was to be done.
        step: String,
        /// Each node tried with the reason.
        failures: Vec<NodeFailure>,
    },
    /// The request was sent but its outcome is not known.
    #[error("{step}: the outcome is unknown: {failure}")]
    OutcomeUnknown {
        /// What was to be done.
        step: String,
        /// The node asked with the reason.
        failure: NodeFailure,
    },
    /// A node answered with an error.
    #[error("{step}: node {node}: {}", body.message)]
    Refused {
        /// What was to be done.
        step: String,
        /// The node asked.
        node: SocketAddr,
        /// Its answer.
        body: Box<ErrorBody>,
    },
    /// A node answered with something that is not understood.
    #[error("{step}: {failure}")]
    BadAnswer {
        /// What was to be done.
        step: String,
        /// The node asked with the reason.
        failure: NodeFailure,
    },
}

fn shown_failures(failures: &[NodeFailure]) -> String {
    let shown: Vec<String> = failures.iter().map(ToString::to_string).collect();
    shown.join("; ")
}

/// A request to the operator API.
#[derive(Clone, Debug)]
pub struct ApiCall {
    /// What the request does, for errors.
    pub step: String,
    /// Method; a request other than `GET` changes something.
    pub method: Method,
    /// Path with the query.
    pub target: String,
    /// Body.
    pub body: Bytes,
}

impl ApiCall {
    /// Returns a request that only reads.
    pub fn read(step: &str, target: impl Into<String>) -> ApiCall {
        ApiCall {
            step: step.to_owned(),
            method: Method::GET,
            target: target.into(),
            body: Bytes::new(),
        }
    }

    /// Returns a request that changes something.
    pub fn change(step: &str, method: Method, target: String, body: impl Into<Bytes>) -> ApiCall {
        ApiCall {
            step: step.to_owned(),
            method,
            target,
            body: body.into(),
        }
    }

    fn is_read(&self) -> bool {
        self.method == Method::GET
    }
}

/// An answer as received.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Why an attempt at one node gave no answer.
enum AttemptFailure {
    /// Nothing of the request was sent.
    NotSent(String),
    /// The request may have arrived.
    Sent(String),
}

/// Sends requests to the first node that can be reached.
///
/// A request moves on to the next node only where that is safe: before anything was sent, after an answer
/// that nothing was changed for lack of the store, or if it only reads.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// Nodes in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// Access token of the operator.
    pub token: String,
    /// Longest time for one request over all nodes.
    pub time_limit: Duration,
}

impl OperatorClient {
    /// Sends a request and returns the decoded answer.
    pub async fn call<T: DeserializeOwned>(&self, call: &ApiCall) -> Result<T, ClientError> {
        let deadline = Instant::now() + self.time_limit;
        let mut failures = Vec::new();
        let mut refusal = None;
        for (index, node) in self.nodes.iter().enumerate() {
            let left = self.nodes.len() - index;
            let failure = match self
                .attempt(*node, call, share_of(deadline, left, call))
                .await
            {
                Ok(answer) => match decode(call, *node, &answer) {
                    Err(error) if is_store_outage(&error) => {
                        refusal = Some(error);
                        continue;
                    }
                    decoded => return decoded,
                },
                Err(AttemptFailure::Sent(cause)) if !call.is_read() => {
                    return Err(ClientError::OutcomeUnknown {
                        step: call.step.clone(),
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
        Err(refusal.unwrap_or_else(|| exhausted(call, failures, deadline)))
    }

    async fn attempt(
        &self,
        node: SocketAddr,
        call: &ApiCall,
        limit: Duration,
    ) -> Result<RawAnswer, AttemptFailure> {
        let started = Instant::now();
        let sender = match timeout(limit.min(CONNECT_TIMEOUT), connect(node)).await {
            Ok(Ok(sender)) => sender,
            Ok(Err(cause)) => return Err(AttemptFailure::NotSent(cause)),
            Err(_) => return Err(AttemptFailure::NotSent("no connection in time".to_owned())),
        };
        let request = self
            .request(node, call)
            .map_err(|error| AttemptFailure::NotSent(error.to_string()))?;
        let left = limit.saturating_sub(started.elapsed());
        match timeout(left, exchange(sender, request)).await {
            Ok(answer) => answer.map_err(AttemptFailure::Sent),
            Err(_) => Err(AttemptFailure::Sent("no answer in time".to_owned())),
        }
    }

    fn request(
        &self,
        node: SocketAddr,
        call: &ApiCall,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let target: Uri = call.target.parse()?;
        Request::builder()
            .method(call.method.clone())
            .uri(target)
            .header(header::HOST, node.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(call.body.clone()))
    }
}

/// Returns the time for one node: a read shares the time left among the nodes not yet tried, so that a node
/// that hangs does not use up all of it.
fn share_of(deadline: Instant, nodes_left: usize, call: &ApiCall) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    if call.is_read() {
        left / nodes_left.max(1) as u32
    } else {
        left
    }
}

async fn connect(node: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(node)
        .await
        .map_err(|error| error.to_string())?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    // The connection ends with the sender; its errors also reach the exchange.
    tokio::spawn(connection);
    Ok(sender)
}

async fn exchange(
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<RawAnswer, String> {
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| with_source(&error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| format!("the answer broke off: {error}"))?;
    Ok(RawAnswer {
        status,
        body: body.to_bytes(),
    })
}

fn with_source(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

fn decode<T: DeserializeOwned>(
    call: &ApiCall,
    node: SocketAddr,
    answer: &RawAnswer,
) -> Result<T, ClientError> {
    if answer.status.is_success() {
        return serde_json::from_slice(&answer.body)
            .map_err(|error| not_understood(call, node, answer.status, &error));
    }
    match serde_json::from_slice::<ErrorBody>(&answer.body) {
        Ok(body) => Err(ClientError::Refused {
            step: call.step.clone(),
            node,
            body: Box::new(body),
        }),
        Err(error) => Err(not_understood(call, node, answer.status, &error)),
    }
}

fn not_understood(
    call: &ApiCall,
    node: SocketAddr,
    status: StatusCode,
    error: &serde_json::Error,
) -> ClientError {
    let step = call.step.clone();
    let cause = format!("an answer with status {status} that is not understood: {error}");
    let failure = NodeFailure { node, cause };
    // A client error is an answer to a request that was not carried out, whoever sent it.
    if call.is_read() || status.is_client_error() {
        ClientError::BadAnswer { step, failure }
    } else {
        ClientError::OutcomeUnknown { step, failure }
    }
}

fn is_store_outage(error: &ClientError) -> bool {
    matches!(error, ClientError::Refused { body, .. } if body.code == ErrorCode::StoreUnavailable)
}

fn exhausted(call: &ApiCall, failures: Vec<NodeFailure>, deadline: Instant) -> ClientError {
    let step = call.step.clone();
    if Instant::now() >= deadline {
        ClientError::TimedOut { step, failures }
    } else {
        ClientError::Unreachable { step, failures }
    }
}
