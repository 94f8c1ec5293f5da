//! Record of one request to the target beside this node, as evidence for or against its version.

use {
    super::{context::MeshContext, hop::HopMetadata},
    crate::call_evidence::CallObservation,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Fraction of the call's time limit after which a cancelled call counts as a failure of the version.
const CANCELLED_FAILURE_FRACTION: f64 = 0.9;

/// Measures one request to the target and records its outcome. Dropping the trace means that the caller cancelled the
/// call.
#[derive(Debug)]
pub struct ExchangeTrace {
    context: Arc<MeshContext>,
    metadata: HopMetadata,
    started: Instant,
    /// Time left until the call timed out, at `started`.
    left: Duration,
    /// Whether the outcome has been recorded or discarded.
    ended: bool,
}

impl ExchangeTrace {
    /// Starts the measurement of a call that has this much time left.
    pub fn new(context: Arc<MeshContext>, metadata: &HopMetadata, left: Duration) -> Self {
        Self {
            context,
            metadata: metadata.clone(),
            started: Instant::now(),
            left,
            ended: false,
        }
    }

    /// Records a call that the target ran.
    pub fn end(mut self, failed: bool) {
        self.record(failed);
    }

    /// Discards the measurement of a call that did not run; it says nothing about the version.
    pub fn end_not_run(mut self) {
        self.ended = true;
    }

    fn record(&mut self, failed: bool) {
        self.ended = true;
        let latency = self.started.elapsed();
        let queue = &self.context.queue;
        match failed {
            true => queue.record_abandoned(&self.metadata.route, latency),
            false => queue.record_service_time(&self.metadata.route, latency),
        }
        let observation = CallObservation {
            key: self.metadata.service.clone(),
            version: self.metadata.version.clone(),
            route: self.metadata.route.clone(),
            failed,
            latency,
        };
        self.context.board.evidence.lock().record(observation);
    }
}

impl Drop for ExchangeTrace {
    fn drop(&mut self) {
        if !self.ended && self.started.elapsed() >= self.left.mul_f64(CANCELLED_FAILURE_FRACTION) {
            self.record(true);
        }
    }
}
