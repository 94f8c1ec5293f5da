//! Times and shares of a move that must have ended within a short period.

use std::time::Duration;

/// Steps of a move: part of the period at which a step begins, and the candidate's share in per mille.
///
/// The share stays small until a failure that shows at once or late would have been seen, and is full for long
/// enough before the end that calls in progress at the old version can finish.
const STEPS: [(f64, u32); 6] = [
    (0.0, 40),
    (0.3, 80),
    (0.45, 200),
    (0.55, 450),
    (0.65, 800),
    (0.74, 1000),
];

/// Part of the period at which a candidate without objection is complete.
const COMPLETE_AT: f64 = 0.88;

/// What a move is to do at some moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScheduledStep {
    /// The candidate receives this share in per mille.
    Share(u32),
    /// The candidate takes over for good.
    Complete,
}

/// Returns the step that is due `elapsed` after the start of a move.
pub fn scheduled_step(elapsed: Duration, period: Duration) -> ScheduledStep {
    let part = elapsed.as_secs_f64() / period.as_secs_f64().max(0.001);
    if part >= COMPLETE_AT {
        return ScheduledStep::Complete;
    }
    let due = STEPS.iter().rev().find(|(begins, _)| part >= *begins);
    ScheduledStep::Share(due.map_or(0, |(_, permille)| *permille))
}
