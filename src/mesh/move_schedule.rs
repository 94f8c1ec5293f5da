//! Schedule of a move: the candidate's share over the period within which the move must have ended.

use std::time::Duration;

/// Steps of a move: fraction of the period at which a step begins, and the candidate's share in per mille.
///
/// The share stays small until failures that show only after some time have had time to show, and it is full early
/// enough that calls in progress at the old version can finish before the end.
const STEPS: [(f64, u32); 6] = [
    (0.0, 40),
    (0.3, 80),
    (0.45, 200),
    (0.55, 450),
    (0.65, 800),
    (0.74, 1000),
];

/// Fraction of the period at which a candidate that is not suspected to be bad is complete.
const COMPLETE_FRACTION: f64 = 0.88;

/// Scheduled state of a move at some time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScheduledStep {
    /// The candidate receives this share of the calls, in per mille.
    Share(u32),
    /// The candidate replaces the stable version for good.
    Complete,
}

/// Returns the step that is scheduled `elapsed` after the start of a move.
pub fn scheduled_step(elapsed: Duration, period: Duration) -> ScheduledStep {
    let fraction = elapsed.as_secs_f64() / period.as_secs_f64().max(0.001);
    if fraction >= COMPLETE_FRACTION {
        return ScheduledStep::Complete;
    }
    let due = STEPS.iter().rev().find(|(begins, _)| fraction >= *begins);
    ScheduledStep::Share(due.map_or(0, |(_, permille)| *permille))
}
