//! Behaviour of a stand-in target.

use serde::{Deserialize, Serialize};

/// What a stand-in target does with calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetScript {
    /// Time from the end of a request to the head of its answer.
    pub latency_ms: u64,
    /// Further time per call that is in progress at once.
    pub latency_per_call_ms: u64,
    /// Time from the head of an answer to its body.
    pub body_delay_ms: u64,
    /// Calls that may run at once; further ones are shed with status 503.
    pub slots: u32,
    /// Connections that may be open at once; further ones are closed at once.
    pub connections: u32,
    /// Time after the start during which calls take `cold_latency_ms` more.
    pub cold_start_ms: u64,
    /// Further time of calls during the cold start.
    pub cold_latency_ms: u64,
    /// Whether the announcements ask for no new work.
    pub draining: bool,
    /// Load that is announced instead of the real one.
    pub reported_in_flight: Option<u32>,
    /// Bytes added to each answer.
    pub answer_bytes: usize,
    /// Whether answers have no declared length.
    pub chunked: bool,
    /// Headers that answers carry besides the usual ones.
    pub answer_headers: Vec<AnswerHeader>,
    /// Failures; the first rule that matches a call decides.
    pub failures: Vec<FailureRule>,
    /// Seed of the choice of calls that fail.
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

/// A header that answers carry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerHeader {
    /// Name of the header.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

/// Calls that fail, and how.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureRule {
    /// Beginning of the paths that fail; none means all.
    #[serde(default)]
    pub path: Option<String>,
    /// Calls in progress above which calls fail.
    #[serde(default)]
    pub above_load: u32,
    /// Calls after which calls fail.
    #[serde(default)]
    pub after_calls: u64,
    /// Calls from which on calls no longer fail.
    #[serde(default)]
    pub until_calls: Option<u64>,
    /// Share of the matching calls that fail, in per mille.
    pub permille: u32,
    /// How they fail.
    pub kind: FailureKind,
}

/// How a call fails.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The answer has this status.
    Status(u16),
    /// The head of the answer comes this many milliseconds later.
    Delay(u64),
    /// The connection is closed after the head of the request.
    CloseBeforeBody,
    /// The connection is closed in the middle of the request's body.
    CloseInBody,
    /// The connection is closed after the request, before an answer.
    CloseBeforeHead,
    /// The connection is closed before the last byte of the answer.
    CloseInAnswer,
    /// No answer comes.
    Hang,
    /// The answer comes before the request's body has been read, and the body is read afterwards.
    AnswerEarly,
}

impl FailureRule {
    /// Returns a rule by which every call fails in one way.
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

    /// Returns whether a call falls under the rule; `draw` is uniform in 0..1000.
    pub fn matches(&self, path: &str, load: u32, calls: u64, draw: u32) -> bool {
        let prefix = self.path.as_deref().unwrap_or_default();
        path.starts_with(prefix)
            && load > self.above_load
            && calls > self.after_calls
            && self.until_calls.is_none_or(|until| calls <= until)
            && draw < self.permille
    }
}
