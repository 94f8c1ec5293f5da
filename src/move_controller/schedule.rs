//! Steps of a move and their times, computed from the deadline of the move.
//!
//! A move raises the candidate's share of calls in steps: canary, ramp, then the takeover, which begins the watch
//! phase. The deadline applies to the takeover; the watch follows it. Shares are in per mille of the calls.

use {
    crate::config::{MovePhase, VersionMove},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Share of the candidate in the watch phase; the rest stays on the old version for comparison.
pub const TAKEOVER_PERMILLE: u32 = 950;

/// Shares of the ramp steps before they are fitted to the number of candidate targets.
const RAMP_PERMILLE: [u32; 2] = [250, 500];

/// Largest share to which fitting to whole targets may raise the first ramp step.
const MAX_FIRST_RAMP_PERMILLE: u32 = 334;

/// Part of the time between start and deadline, in per mille, after which a good candidate takes over; the rest
/// is a reserve for store outages and controller restarts.
const PLANNED_TAKEOVER_PERMILLE: u64 = 750;

/// Longest time kept free between the latest takeover and the deadline, for the commit of the takeover and its
/// distribution to all nodes.
const MAX_COMMIT_RESERVE: Duration = Duration::from_secs(12);

/// Relative durations of the canary and of the two ramp steps.
const STEP_WEIGHTS: [u64; 3] = [60, 20, 20];

/// Shortest duration of a step, in per mille of the time between start and deadline.
const MIN_DWELL_PERMILLE: u64 = 50;

/// Upper bound of the shortest duration of a step.
const MIN_DWELL_LIMIT: Duration = Duration::from_secs(30);

/// One step of a move: a phase with a share of calls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShareStep {
    /// Phase of the step.
    pub phase: MovePhase,
    /// Share of the candidate in per mille.
    pub permille: u32,
}

/// Returns the steps from canary to watch for a candidate with `targets` targets.
///
/// `route_table::restrict_candidate_targets` sends the candidate's calls to the first `ceil(share * n)` of its `n`
/// targets. A ramp share of exactly `k / n` puts the load of full traffic on each of `k` targets, so that a fault
/// under load appears while most calls still go to the stable version.
pub fn share_steps(canary_permille: u32, targets: u32) -> Vec<ShareStep> {
    let canary = ShareStep {
        phase: MovePhase::Canary,
        permille: canary_permille.min(TAKEOVER_PERMILLE),
    };
    let mut steps = vec![canary];
    let mut highest = canary.permille;
    for preferred in RAMP_PERMILLE {
        let fitted = fit_to_targets(preferred, targets);
        let permille = if fitted > highest { fitted } else { preferred };
        if permille > highest {
            steps.push(ShareStep {
                phase: MovePhase::Ramp,
                permille,
            });
            highest = permille;
        }
    }
    steps.push(ShareStep {
        phase: MovePhase::Watch,
        permille: TAKEOVER_PERMILLE,
    });
    steps
}

/// Rounds a share down to one that fills a whole number of targets, at least one target.
///
/// Returns the share unchanged if the fitted share would be too large.
fn fit_to_targets(permille: u32, targets: u32) -> u32 {
    let loaded_targets = (permille * targets / 1000).max(1);
    let fitted = (loaded_targets * 1000)
        .checked_div(targets)
        .unwrap_or(permille);
    if fitted > permille.max(MAX_FIRST_RAMP_PERMILLE) {
        permille
    } else {
        fitted
    }
}

/// Times at which a step may, should and must end, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepTimes {
    /// Before this time the step does not end, so that each step lasts its shortest duration.
    pub earliest_ms: u64,
    /// From this time a candidate with a good verdict enters the next step.
    pub planned_ms: u64,
    /// From this time an undecided candidate enters the next step if the contract prefers punctuality: the end of
    /// this step's part of the time until the latest takeover.
    pub proportional_ms: u64,
    /// After this time the remaining steps no longer fit in before the deadline.
    pub latest_ms: u64,
}

/// Returns the times of the step at `index` of the `step_count` steps before the takeover.
///
/// The step was entered at `since_ms`, in milliseconds since the Unix epoch.
pub fn step_times(
    current: &VersionMove,
    index: usize,
    step_count: usize,
    since_ms: u64,
) -> StepTimes {
    let total_ms = current.finish_by_ms.saturating_sub(current.started_at_ms);
    let min_dwell_ms = min_dwell_ms(total_ms);
    let latest_takeover_ms = latest_takeover_ms(current);
    let planned_takeover_ms = current.started_at_ms + total_ms * PLANNED_TAKEOVER_PERMILLE / 1000;
    let steps_after = step_count.saturating_sub(index + 1) as u64;
    StepTimes {
        earliest_ms: since_ms + min_dwell_ms,
        planned_ms: step_end_ms(since_ms, planned_takeover_ms, index, step_count),
        proportional_ms: step_end_ms(since_ms, latest_takeover_ms, index, step_count),
        latest_ms: latest_takeover_ms.saturating_sub(steps_after * min_dwell_ms),
    }
}

/// Returns the latest time at which a waiting candidate can still start its canary, in milliseconds since the
/// Unix epoch; `step_count` is the number of steps before the takeover.
pub fn latest_start_ms(current: &VersionMove, step_count: usize) -> u64 {
    let total_ms = current.finish_by_ms.saturating_sub(current.started_at_ms);
    latest_takeover_ms(current).saturating_sub(step_count as u64 * min_dwell_ms(total_ms))
}

fn latest_takeover_ms(current: &VersionMove) -> u64 {
    let total_ms = current.finish_by_ms.saturating_sub(current.started_at_ms);
    let reserve_ms = (total_ms / 20).min(MAX_COMMIT_RESERVE.as_millis() as u64);
    current.finish_by_ms.saturating_sub(reserve_ms)
}

fn min_dwell_ms(total_ms: u64) -> u64 {
    (total_ms * MIN_DWELL_PERMILLE / 1000).min(MIN_DWELL_LIMIT.as_millis() as u64)
}

fn step_end_ms(since_ms: u64, takeover_ms: u64, index: usize, step_count: usize) -> u64 {
    let weights = &STEP_WEIGHTS[..step_count.min(STEP_WEIGHTS.len())];
    let weight_left: u64 = weights.iter().skip(index).sum();
    let own_weight = weights.get(index).copied().unwrap_or(1);
    let time_left_ms = takeover_ms.saturating_sub(since_ms);
    since_ms + time_left_ms * own_weight / weight_left.max(1)
}
