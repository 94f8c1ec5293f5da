//! A caller that sends numbered calls at a given rate and records the result of each.

use {
    crate::target::{CALL_ID_HEADER, checksum_of},
    bytes::{Bytes, BytesMut},
    hdrhistogram::Histogram,
    http::{HeaderMap, Method, Request, header::HOST},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::{
        sync::Semaphore,
        task::JoinSet,
        time::{sleep_until, timeout},
    },
};

/// Time after which the caller itself abandons a call. It exceeds the longest time for which a test freezes
/// a node, because a call held by a frozen node cannot end before the node resumes.
const CALL_TIMEOUT: Duration = Duration::from_secs(150);

/// Largest latency that the histogram can record, in microseconds; larger ones count as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant decimal digits that the histogram keeps of a latency.
const HISTOGRAM_DIGITS: u8 = 3;

/// The calls that a caller sends.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerPlan {
    /// Call addresses of nodes, used in turn.
    pub nodes: Vec<SocketAddr>,
    /// Host header, which selects the service.
    pub host: String,
    /// Method of the calls.
    pub method: String,
    /// Path of the calls.
    pub path: String,
    /// Calls per second.
    pub rate: f64,
    /// Number of calls.
    pub count: u64,
    /// Maximum number of calls in progress at once.
    pub concurrency: usize,
    /// Size of each request body in bytes.
    pub body_bytes: usize,
    /// Value of the `x-request-timeout-ms` header in milliseconds; none sends no header.
    pub timeout_ms: Option<u64>,
    /// Prefix of the calls' idempotency keys; none sends no keys.
    pub key_prefix: Option<String>,
    /// Prefix of the calls' ids.
    pub id_prefix: String,
}

/// Result of one call.
#[derive(Clone, Debug, Serialize)]
pub struct CallRecord {
    /// Id of the call.
    pub id: String,
    /// Node that the call was sent to.
    pub node: SocketAddr,
    /// Time at which the call was sent, in microseconds since the start of the plan.
    pub sent_us: u64,
    /// Status of the response; none if no response head was received.
    pub status: Option<u16>,
    /// Value of the response header `poplarwing-outcome`.
    pub outcome: Option<String>,
    /// Value of the response header `poplarwing-reason`.
    pub reason: Option<String>,
    /// Value of the response header `poplarwing-contract-line`.
    pub contract_line: Option<String>,
    /// Whether the response was received to its end.
    pub whole: bool,
    /// Whether the body is the stand-in target's answer to this call: same id, same checksum of the request.
    pub own_answer: bool,
    /// Time from sending the call to the end of its response or its error, in microseconds.
    pub latency_us: u64,
    /// Error that finished the call; none if the response was received to its end.
    pub error: Option<String>,
}

/// Counts and latencies over all calls.
#[derive(Clone, Debug, Serialize)]
pub struct CallSummary {
    /// Calls sent.
    pub calls: u64,
    /// Calls that succeeded with the target's complete answer to them.
    pub answered: u64,
    /// Calls that succeeded with a complete answer that belongs to another call.
    pub crossed: u64,
    /// Calls by status; 0 stands for no response.
    pub by_status: BTreeMap<u16, u64>,
    /// Calls by the value of the response header `poplarwing-outcome`.
    pub by_outcome: BTreeMap<String, u64>,
    /// Median latency of successful calls in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of successful calls in microseconds.
    pub p99_us: u64,
    /// Largest latency of successful calls in microseconds.
    pub max_us: u64,
}

/// A plan that cannot be run.
#[derive(Debug, Error)]
pub enum CallerError {
    /// There is no node to call.
    #[error("invalid plan: it names no nodes")]
    NoNodes,
    /// The rate is not a positive number.
    #[error("invalid plan: rate is {0} calls per second, must be a positive number")]
    InvalidRate(f64),
    /// The method, host, path or a header value of the plan is not valid in HTTP.
    #[error("build request: {0}")]
    InvalidRequest(#[from] http::Error),
}

/// The fields of a stand-in target's answer that the caller checks.
#[derive(Deserialize)]
struct AnswerLine {
    call: String,
    checksum: String,
}

type CallerClient = Client<HttpConnector, Full<Bytes>>;

/// Sends all calls of a plan and returns their results in order of sending.
pub async fn run_plan(plan: CallerPlan) -> Result<Vec<CallRecord>, CallerError> {
    if plan.nodes.is_empty() {
        return Err(CallerError::NoNodes);
    }
    if !(plan.rate.is_finite() && plan.rate > 0.0) {
        return Err(CallerError::InvalidRate(plan.rate));
    }
    build_request(&plan, 0)?;
    let plan = Arc::new(plan);
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http();
    let records = send_all(&plan, &client).await;
    Ok(records)
}

async fn send_all(plan: &Arc<CallerPlan>, client: &CallerClient) -> Vec<CallRecord> {
    let started = Instant::now();
    let permits = Arc::new(Semaphore::new(plan.concurrency.max(1)));
    let mut calls = JoinSet::new();
    let mut records = Vec::new();
    for index in 0..plan.count {
        let due = started + Duration::from_secs_f64(index as f64 / plan.rate);
        sleep_until(due.into()).await;
        let permit = permits.clone().acquire_owned().await;
        let (plan, client) = (plan.clone(), client.clone());
        calls.spawn(async move {
            let record = send_call(&plan, &client, index, started).await;
            drop(permit);
            record
        });
        while let Some(finished) = calls.try_join_next() {
            records.extend(finished);
        }
    }
    records.extend(calls.join_all().await);
    records.sort_by_key(|record| record.sent_us);
    records
}

fn call_id(plan: &CallerPlan, index: u64) -> String {
    format!("{}{index}", plan.id_prefix)
}

fn body_of(plan: &CallerPlan, index: u64) -> Bytes {
    let id = call_id(plan, index);
    let mut body = BytesMut::with_capacity(plan.body_bytes);
    while body.len() < plan.body_bytes {
        body.extend_from_slice(id.as_bytes());
        body.extend_from_slice(b" ");
    }
    body.truncate(plan.body_bytes);
    body.freeze()
}

fn build_request(plan: &CallerPlan, index: u64) -> Result<Request<Full<Bytes>>, http::Error> {
    let node = plan.nodes[index as usize % plan.nodes.len()];
    let method = Method::from_bytes(plan.method.as_bytes())?;
    let id = call_id(plan, index);
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{node}{}", plan.path))
        .header(HOST, &plan.host)
        .header(CALL_ID_HEADER, &id);
    if let Some(timeout_ms) = plan.timeout_ms {
        request = request.header("x-request-timeout-ms", timeout_ms);
    }
    if let Some(prefix) = &plan.key_prefix {
        request = request.header("idempotency-key", format!("{prefix}{id}"));
    }
    request.body(Full::new(body_of(plan, index)))
}

async fn send_call(
    plan: &CallerPlan,
    client: &CallerClient,
    index: u64,
    started: Instant,
) -> CallRecord {
    let sent = Instant::now();
    let mut record = CallRecord {
        id: call_id(plan, index),
        node: plan.nodes[index as usize % plan.nodes.len()],
        sent_us: sent.duration_since(started).as_micros() as u64,
        status: None,
        outcome: None,
        reason: None,
        contract_line: None,
        whole: false,
        own_answer: false,
        latency_us: 0,
        error: None,
    };
    let result = timeout(CALL_TIMEOUT, exchange(plan, client, index, &mut record)).await;
    record.latency_us = sent.elapsed().as_micros() as u64;
    record.error = match result {
        Ok(Ok(())) => None,
        Ok(Err(cause)) => Some(cause),
        Err(_) => Some("the caller stopped waiting".to_owned()),
    };
    record
}

async fn exchange(
    plan: &CallerPlan,
    client: &CallerClient,
    index: u64,
    record: &mut CallRecord,
) -> Result<(), String> {
    let request = build_request(plan, index).map_err(|cause| cause.to_string())?;
    let answer = client.request(request).await;
    let answer = answer.map_err(|cause| format!("{cause:?}"))?;
    record_head(record, answer.status().as_u16(), answer.headers());
    let body = read_body(answer.into_body()).await?;
    record.whole = true;
    record.own_answer = is_own_answer(&record.id, &body_of(plan, index), &body);
    Ok(())
}

fn record_head(record: &mut CallRecord, status: u16, headers: &HeaderMap) {
    let text = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    record.status = Some(status);
    record.outcome = text("poplarwing-outcome");
    record.reason = text("poplarwing-reason");
    record.contract_line = text("poplarwing-contract-line");
}

async fn read_body(body: Incoming) -> Result<Bytes, String> {
    let collected = body.collect().await;
    collected
        .map(|collected| collected.to_bytes())
        .map_err(|cause| format!("read answer: {cause}"))
}

/// Returns whether the first line of a response body is the stand-in target's answer to a call with this id
/// and request body.
pub fn is_own_answer(id: &str, sent: &[u8], answer: &[u8]) -> bool {
    let line = answer
        .split(|byte| *byte == b'\n')
        .next()
        .unwrap_or_default();
    serde_json::from_slice::<AnswerLine>(line)
        .is_ok_and(|answer| answer.call == id && answer.checksum == checksum_of(sent))
}

/// Computes counts and latency percentiles over all calls.
pub fn summarize(records: &[CallRecord]) -> CallSummary {
    let mut latencies = Histogram::<u64>::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS)
        .expect("MAX_LATENCY_US and HISTOGRAM_DIGITS are valid bounds");
    let mut summary = CallSummary {
        calls: records.len() as u64,
        answered: 0,
        crossed: 0,
        by_status: BTreeMap::new(),
        by_outcome: BTreeMap::new(),
        p50_us: 0,
        p99_us: 0,
        max_us: 0,
    };
    for record in records {
        let status = record.status.unwrap_or_default();
        *summary.by_status.entry(status).or_default() += 1;
        if let Some(outcome) = &record.outcome {
            *summary.by_outcome.entry(outcome.clone()).or_default() += 1;
        }
        let succeeded = record.whole && status < 300 && record.outcome.is_none();
        summary.answered += u64::from(succeeded && record.own_answer);
        summary.crossed += u64::from(succeeded && !record.own_answer);
        if succeeded {
            latencies.saturating_record(record.latency_us);
        }
    }
    summary.p50_us = latencies.value_at_quantile(0.5);
    summary.p99_us = latencies.value_at_quantile(0.99);
    summary.max_us = latencies.max();
    summary
}
