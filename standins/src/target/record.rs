//! What a stand-in target saw.

use {
    serde::Serialize,
    std::sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

/// How far a call got at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallStage {
    /// The head of the request came.
    Begun,
    /// The whole request came.
    Received,
    /// The whole answer was handed to the connection.
    Answered,
    /// The call ended before its answer did.
    Cancelled,
    /// The target refused the call for lack of slots and did not run it.
    Shed,
}

/// One run of a call at a target.
#[derive(Clone, Debug, Serialize)]
pub struct CallRun {
    /// Value of the request's `x-call-id`.
    pub call: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Number of the connection, counted from 1.
    pub connection: u64,
    /// Remaining deadline that the request named.
    pub timeout_ms: Option<u64>,
    /// Bytes of the request's body received.
    pub received: u64,
    /// How far the call got.
    pub stage: CallStage,
}

/// Everything that a stand-in target saw.
#[derive(Debug, Default)]
pub struct TargetRecordBook {
    runs: Mutex<Vec<CallRun>>,
    /// Calls in progress.
    pub in_flight: AtomicU32,
    /// Most calls in progress at once.
    pub most_in_flight: AtomicU32,
    /// Connections open.
    pub connections: AtomicU32,
    /// Most connections open at once.
    pub most_connections: AtomicU32,
    /// Connections accepted so far.
    pub accepted: AtomicU64,
    /// Calls shed for lack of slots.
    pub shed: AtomicU64,
}

/// Counts one of several things in progress and keeps their largest number.
#[derive(Debug)]
pub struct CountGuard<'a> {
    current: &'a AtomicU32,
    /// Number in progress with this one.
    pub number: u32,
}

impl<'a> CountGuard<'a> {
    /// Counts one more.
    pub fn new(current: &'a AtomicU32, most: &AtomicU32) -> Self {
        let number = current.fetch_add(1, Ordering::SeqCst) + 1;
        most.fetch_max(number, Ordering::SeqCst);
        Self { current, number }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.current.fetch_sub(1, Ordering::SeqCst);
    }
}

impl TargetRecordBook {
    /// Adds a run and returns its place.
    pub fn begin(&self, run: CallRun) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Adds to the bytes received by a run.
    pub fn add_received(&self, place: usize, bytes: u64) {
        self.lock()[place].received += bytes;
    }

    /// Notes how far a run got; the last stages are final.
    pub fn reach(&self, place: usize, stage: CallStage) {
        let run = &mut self.lock()[place];
        if !matches!(
            run.stage,
            CallStage::Answered | CallStage::Cancelled | CallStage::Shed
        ) {
            run.stage = stage;
        }
    }

    /// Returns all runs in order of their begin.
    pub fn runs(&self) -> Vec<CallRun> {
        self.lock().clone()
    }

    /// Returns the runs of one call.
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
