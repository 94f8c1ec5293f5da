//! Error responses that a node sends instead of the response of a target.

use {
    super::hop::EXECUTION_HEADER,
    bytes::Bytes,
    derive_more::Display,
    http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER},
    http_body_util::Full,
    std::{borrow::Cow, time::Duration},
};

/// Reason code of refusals because of a drained failure domain.
pub const DOMAIN_DRAINED_REASON: &str = "domain-drained";

/// `Retry-After` of a node that is about to stop.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` while all targets of a service are in drained failure domains, which an operator ends.
const DRAINED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Body of a request or response that is held in memory as a whole.
pub type WholeBody = Full<Bytes>;

/// Whether the request of a failed call may have run, as stated in the refusals of a node of the kind `crate::mesh`.
///
/// It corresponds to `call_events::CallOutcome`, which nodes of the kind `crate::node` send.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// The request has not run and will not run.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Error of a call for which no response of a target is returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshRefusal {
    /// HTTP status for the caller.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub execution: ExecutionStatus,
    /// Reason code for logs, metrics and the response body.
    pub reason: Cow<'static, str>,
    /// Time after which the caller may retry, sent as `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl MeshRefusal {
    /// Returns a 503 refusal of a request that has not run; the caller may retry later.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            execution: ExecutionStatus::NotRun,
            reason: reason.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Returns the refusal of a call that arrives too late to end before the node stops.
    pub fn stopping() -> Self {
        Self::not_run("node-stopping", STOPPING_RETRY_AFTER)
    }

    /// Returns the refusal of a call to a target in a drained failure domain.
    pub fn domain_drained() -> Self {
        Self::not_run(DOMAIN_DRAINED_REASON, DRAINED_RETRY_AFTER)
    }

    /// Returns the refusal of a call beyond the usage cap of its account; `wait` is the time until there is room.
    pub fn over_cap(wait: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            execution: ExecutionStatus::NotRun,
            reason: "usage-cap".into(),
            retry_after: Some(wait),
        }
    }

    /// Returns the error of a request that may have run.
    pub fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            execution: ExecutionStatus::Unknown,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Returns the rejection of an invalid request, which is sent to no target; a retry would not help.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            execution: ExecutionStatus::NotRun,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Returns whether the request has certainly not run.
    pub fn has_not_run(&self) -> bool {
        self.execution == ExecutionStatus::NotRun
    }

    /// Returns the response for a caller.
    pub fn answer(&self) -> Response<WholeBody> {
        let mut response = Response::new(Full::new(Bytes::from(format!("{}\n", self.reason))));
        *response.status_mut() = self.status;
        if let Some(retry_after) = self.retry_after {
            let text = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }

    /// Returns the response for another node, with `EXECUTION_HEADER`.
    pub fn hop_answer(&self) -> Response<WholeBody> {
        let mut response = self.answer();
        let text = format!("{} {}", self.execution, self.reason);
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(EXECUTION_HEADER, value);
        }
        response
    }

    /// Reads the refusal of another node; none if the response was made by its target.
    pub fn parse(response: &Response<impl Sized>) -> Option<Self> {
        let text = response.headers().get(EXECUTION_HEADER)?.to_str().ok()?;
        let (execution, reason) = text.split_once(' ')?;
        let execution = match execution {
            "not-run" => ExecutionStatus::NotRun,
            _ => ExecutionStatus::Unknown,
        };
        let retry_after = response.headers().get(RETRY_AFTER);
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        Some(Self {
            status: response.status(),
            execution,
            reason: reason.to_owned().into(),
            retry_after: seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        })
    }
}
