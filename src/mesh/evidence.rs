//! What an exchange with the own target says about its version.

use {
    super::{context::MeshContext, hop::HopChoice},
    crate::call_evidence::CallObservation,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Part of the time left after which a cancelled call counts against the version.
const LATE_PART: f64 = 0.9;

/// Records one exchange; a dropped trace counts as cancelled by the caller.
#[derive(Debug)]
pub struct ExchangeTrace {
    context: Arc<MeshContext>,
    choice: HopChoice,
    begun: Instant,
    left: Duration,
    ended: bool,
}

impl ExchangeTrace {
    /// Starts the record of a call that is given to the target with this much time left.
    pub fn new(context: Arc<MeshContext>, choice: &HopChoice, left: Duration) -> Self {
        Self {
            context,
            choice: choice.clone(),
            begun: Instant::now(),
            left,
            ended: false,
        }
    }

    /// Ends the record of a call that the target ran.
    pub fn end(mut self, failed: bool) {
        self.record(failed);
    }

    /// Ends the record of a call that did not run; it says nothing about the version.
    pub fn end_not_run(mut self) {
        self.ended = true;
    }

    fn record(&mut self, failed: bool) {
        self.ended = true;
        let latency = self.begun.elapsed();
        let queue = &self.context.queue;
        match failed {
            true => queue.note_given_up(&self.choice.route, latency),
            false => queue.note_service_time(&self.choice.route, latency),
        }
        let observation = CallObservation {
            key: self.choice.service.clone(),
            version: self.choice.version.clone(),
            route: self.choice.route.clone(),
            failed,
            latency,
        };
        self.context.board.evidence.lock().record(observation);
    }
}

impl Drop for ExchangeTrace {
    fn drop(&mut self) {
        if !self.ended && self.begun.elapsed() >= self.left.mul_f64(LATE_PART) {
            self.record(true);
        }
    }
}
