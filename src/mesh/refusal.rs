//! Answers that a node gives in place of a target's.

use {
    super::hop::FATE_HEADER,
    bytes::Bytes,
    derive_more::Display,
    http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER},
    http_body_util::Full,
    std::{borrow::Cow, time::Duration},
};

/// Body of requests and answers that are held whole in memory.
pub type WholeBody = Full<Bytes>;

/// What a refusal says about the request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallFate {
    /// The request has not run and never will.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a call gets no answer of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshRefusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// What is known of the request.
    pub fate: CallFate,
    /// Short code for logs and metrics.
    pub reason: Cow<'static, str>,
    /// Time after which the caller may ask again.
    pub retry_after: Option<Duration>,
}

impl MeshRefusal {
    /// Returns a refusal of a request that has not run; the caller may try again later.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            fate: CallFate::NotRun,
            reason: reason.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Returns the failure of a request that may have run.
    pub fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            fate: CallFate::Unknown,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Returns the rejection of a request that no target may get.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            fate: CallFate::NotRun,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Returns the answer for a caller.
    pub fn answer(&self) -> Response<WholeBody> {
        let mut response = Response::new(Full::new(Bytes::from(format!("{}\n", self.reason))));
        *response.status_mut() = self.status;
        if let Some(delay) = self.retry_after {
            let text = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }

    /// Returns the answer for another node, which says in a header what is known of the request.
    pub fn hop_answer(&self) -> Response<WholeBody> {
        let mut response = self.answer();
        let text = format!("{} {}", self.fate, self.reason);
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(FATE_HEADER, value);
        }
        response
    }

    /// Reads the refusal of another node; none if the answer is its target's.
    pub fn parse(response: &Response<impl Sized>) -> Option<Self> {
        let text = response.headers().get(FATE_HEADER)?.to_str().ok()?;
        let (fate, reason) = text.split_once(' ')?;
        let fate = match fate {
            "not-run" => CallFate::NotRun,
            _ => CallFate::Unknown,
        };
        let delay = response.headers().get(RETRY_AFTER);
        let seconds = delay.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        Some(Self {
            status: response.status(),
            fate,
            reason: reason.to_owned().into(),
            retry_after: seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        })
    }
}
