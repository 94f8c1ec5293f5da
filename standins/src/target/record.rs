//! Calls and connections that a stand-in target records.

use {
    serde::Serialize,
    std::sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

/// Progress of a call at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallStage {
    /// The head of the request was received.
    Begun,
    /// The request was received to its end.
    Received,
    /// The response was handed to the connection to its end.
    Answered,
    /// The call ended before its response did: the connection closed, or the script aborted the call.
    Cancelled,
    /// The target rejected the call with status 503 for lack of slots and did not run it.
    Shed,
}

/// One arrival of a call at a target; a call that is retried has several.
#[derive(Clone, Debug, Serialize)]
pub struct CallRun {
    /// Value of the request header `x-call-id`; empty if absent.
    pub call: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Number of the connection that the request came on, counted from 1 per target.
    pub connection: u64,
    /// Value of the request header `x-request-timeout-ms`: time left until the deadline, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Bytes of the request body received so far.
    pub received: u64,
    /// Progress of the call.
    pub stage: CallStage,
}

/// Record of the calls and connections of a stand-in target.
#[derive(Debug, Default)]
pub struct TargetRecorder {
    runs: Mutex<Vec<CallRun>>,
    /// Calls in progress.
    pub in_flight: AtomicU32,
    /// Highest number of calls in progress at once.
    pub most_in_flight: AtomicU32,
    /// Open connections.
    pub connections: AtomicU32,
    /// Highest number of connections open at once.
    pub most_connections: AtomicU32,
    /// Connections accepted so far.
    pub accepted: AtomicU64,
    /// Calls rejected with status 503 for lack of slots.
    pub shed: AtomicU64,
}

/// Increments a gauge while it lives, and keeps the highest value of the gauge.
#[derive(Debug)]
pub struct GaugeGuard<'a> {
    current: &'a AtomicU32,
    /// Value of the gauge right after this increment.
    pub value: u32,
}

impl<'a> GaugeGuard<'a> {
    /// Increments `current` and raises `most` to it if it is lower.
    pub fn new(current: &'a AtomicU32, most: &AtomicU32) -> Self {
        let value = current.fetch_add(1, Ordering::SeqCst) + 1;
        most.fetch_max(value, Ordering::SeqCst);
        Self { current, value }
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.current.fetch_sub(1, Ordering::SeqCst);
    }
}

impl TargetRecorder {
    /// Adds a run and returns its index for the other methods.
    pub fn add_run(&self, run: CallRun) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Adds to the bytes received by a run.
    pub fn add_received(&self, index: usize, bytes: u64) {
        self.lock()[index].received += bytes;
    }

    /// Sets the stage of a run, unless it is already answered, cancelled or shed.
    pub fn set_stage(&self, index: usize, stage: CallStage) {
        let run = &mut self.lock()[index];
        if !matches!(
            run.stage,
            CallStage::Answered | CallStage::Cancelled | CallStage::Shed
        ) {
            run.stage = stage;
        }
    }

    /// Returns all runs in order of arrival.
    pub fn runs(&self) -> Vec<CallRun> {
        self.lock().clone()
    }

    /// Returns the runs of the call with an id.
    pub fn runs_of(&self, call: &str) -> Vec<CallRun> {
        let runs = self.lock();
        runs.iter()
            .filter(|run| run.call == call)
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<CallRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
