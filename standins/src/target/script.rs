//! Behaviour of a stand-in target.

use serde::{Deserialize, Serialize};

/// Latency, capacity, announcements and failures of a stand-in target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetScript {
    /// Time from the end of a request to the head of its response, in milliseconds.
    pub latency_ms: u64,
    /// Additional latency for each call in progress, this one included, in milliseconds.
    pub latency_per_call_ms: u64,
    /// Time from the head of a response to its body, in milliseconds.
    pub body_delay_ms: u64,
    /// Maximum number of calls in progress; further ones are rejected with status 503. Also announced.
    pub slots: u32,
    /// Maximum number of open connections; further ones are closed at once. Also announced.
    pub connections: u32,
    /// Time after the start of the target during which `cold_latency_ms` applies, in milliseconds.
    pub cold_start_ms: u64,
    /// Additional latency during the cold start, in milliseconds.
    pub cold_latency_ms: u64,
    /// Whether the target announces that it is draining and takes no new calls.
    pub draining: bool,
    /// Number of calls in progress that is announced instead of the real one.
    pub reported_in_flight: Option<u32>,
    /// Bytes of padding added to each response body.
    pub answer_bytes: usize,
    /// Whether responses use chunked encoding instead of a `content-length` header.
    pub chunked: bool,
    /// Additional response headers.
    pub answer_headers: Vec<AnswerHeader>,
    /// Failure rules; the first one that matches a call applies.
    pub failures: Vec<FailureRule>,
    /// Seed of the random choice of calls that fail.
    pub seed: u64,
}

impl Default for TargetScript {
    fn default() -> Self {
        Self {
            latency_ms: 0,
            latency_per_call_ms: 0,
            body_delay_ms: 0,
            slots: 1024,
            connections: 1024,
            cold_start_ms: 0,
            cold_latency_ms: 0,
            draining: false,
            reported_in_flight: None,
            answer_bytes: 0,
            chunked: false,
            answer_headers: Vec::new(),
            failures: Vec::new(),
            seed: 1,
        }
    }
}

/// An additional response header.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerHeader {
    /// Name of the header.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

/// Selects calls, and defines how they fail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureRule {
    /// Prefix of the paths that the rule applies to; none applies to all.
    #[serde(default)]
    pub path: Option<String>,
    /// The rule applies while more calls than this are in progress, the new one included.
    #[serde(default)]
    pub above_load: u32,
    /// The rule does not apply to this many first calls since the start of the target.
    #[serde(default)]
    pub after_calls: u64,
    /// The rule applies up to the call of this number since the start of the target; none sets no end.
    #[serde(default)]
    pub until_calls: Option<u64>,
    /// Share of the matching calls that fail, in per mille.
    pub permille: u32,
    /// Way in which the selected calls fail.
    pub kind: FailureKind,
}

/// Way in which a call fails.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The response has this status.
    Status(u16),
    /// The head of the response is delayed by this many milliseconds.
    Delay(u64),
    /// The connection is closed once the head of the request was received.
    CloseBeforeBody,
    /// The connection is closed after the first frame of the request body.
    CloseInBody,
    /// The connection is closed once the request was received, before the response head.
    CloseBeforeHead,
    /// The connection is closed before the last byte of the response.
    CloseInAnswer,
    /// No response is ever sent.
    Hang,
    /// The response is sent before the request body is read; the body is read afterwards.
    AnswerEarly,
}

impl FailureRule {
    /// Returns a rule that makes every call fail in this way.
    pub fn always(kind: FailureKind) -> Self {
        Self {
            path: None,
            above_load: 0,
            after_calls: 0,
            until_calls: None,
            permille: 1000,
            kind,
        }
    }

    /// Returns whether the rule applies to a call.
    ///
    /// `load` is the number of calls in progress and `calls` the number of calls so far, both with this one;
    /// `draw` is a random number, uniform in 0..1000.
    pub fn matches(&self, path: &str, load: u32, calls: u64, draw: u32) -> bool {
        let prefix = self.path.as_deref().unwrap_or_default();
        path.starts_with(prefix)
            && load > self.above_load
            && calls > self.after_calls
            && self.until_calls.is_none_or(|until| calls <= until)
            && draw < self.permille
    }
}
