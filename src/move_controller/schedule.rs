//! Steps of a move and the times by which each must end, computed backwards from the deadline.

use {
    crate::config::{MovePhase, VersionMove},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Share of the candidate in the watch phase; the rest stays on the old version as baseline.
pub const TAKEOVER_PERMILLE: u32 = 950;

/// Shares of the ramp before they are fitted to the number of candidate targets.
const RAMP_PERMILLE: [u32; 2] = [250, 500];

/// Largest share of the first ramp step when it is fitted to whole targets.
const MAX_FIRST_RAMP_PERMILLE: u32 = 334;

/// Share of the move's time after which a good candidate takes over, in per mille; the rest is a reserve
/// for store outages and controller restarts.
const AIM_PERMILLE: u64 = 750;

/// Longest reserve between the last moment of the takeover and the deadline: commit and dissemination.
const MAX_RESERVE: Duration = Duration::from_secs(12);

/// Weights of the canary and of the two ramp steps in the division of the time.
const STEP_WEIGHTS: [u64; 3] = [60, 20, 20];

/// Share of the move's time that each step lasts at least, in per mille.
const DWELL_PERMILLE: u64 = 50;

/// Longest time that a step has to last.
const MAX_DWELL: Duration = Duration::from_secs(30);

/// One step of a move: a phase with a share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShareStep {
    /// Phase of the step.
    pub phase: MovePhase,
    /// Share of the candidate in per mille.
    pub permille: u32,
}

/// Returns the steps from canary to watch for this number of candidate targets.
///
/// `route_table::concentrate` gives the candidate's calls to the first `ceil(share * n)` targets. A ramp
/// share of exactly `k / n` puts the load of full traffic on each of `k` targets, so a fault that shows
/// only under load shows while most callers are still on the stable version.
pub fn share_steps(canary_permille: u32, targets: u32) -> Vec<ShareStep> {
    let canary = ShareStep {
        phase: MovePhase::Canary,
        permille: canary_permille.min(TAKEOVER_PERMILLE),
    };
    let mut steps = vec![canary];
    let mut highest = canary.permille;
    for wanted in RAMP_PERMILLE {
        let fitted = fit_to_targets(wanted, targets);
        let permille = if fitted > highest { fitted } else { wanted };
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

fn fit_to_targets(permille: u32, targets: u32) -> u32 {
    let loaded = (permille * targets / 1000).max(1);
    let fitted = (loaded * 1000).checked_div(targets).unwrap_or(permille);
    if fitted > permille.max(MAX_FIRST_RAMP_PERMILLE) {
        permille
    } else {
        fitted
    }
}

/// Times at which a step may, should and must end, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepTimes {
    /// Before this time the step does not end.
    pub earliest_ms: u64,
    /// From this time a good candidate goes on.
    pub aim_ms: u64,
    /// Without any verdict, the share of the time until the deadline that belongs to this step ends here.
    pub proportional_ms: u64,
    /// After this time the remaining steps no longer fit before the deadline.
    pub latest_ms: u64,
}

/// Returns the times of the step `index` of `count` steps before the takeover, entered at `since_ms`.
pub fn step_times(current: &VersionMove, index: usize, count: usize, since_ms: u64) -> StepTimes {
    let total_ms = current.finish_by_ms.saturating_sub(current.started_at_ms);
    let dwell_ms = dwell_ms(total_ms);
    let latest_takeover_ms = latest_takeover_ms(current);
    let aim_takeover_ms = current.started_at_ms + total_ms * AIM_PERMILLE / 1000;
    let steps_after = count.saturating_sub(index + 1) as u64;
    StepTimes {
        earliest_ms: since_ms + dwell_ms,
        aim_ms: part_end(since_ms, aim_takeover_ms, index, count),
        proportional_ms: part_end(since_ms, latest_takeover_ms, index, count),
        latest_ms: latest_takeover_ms.saturating_sub(steps_after * dwell_ms),
    }
}

/// Returns the last moment at which a waiting candidate can still start its canary.
pub fn latest_start_ms(current: &VersionMove, count: usize) -> u64 {
    let total_ms = current.finish_by_ms.saturating_sub(current.started_at_ms);
    latest_takeover_ms(current).saturating_sub(count as u64 * dwell_ms(total_ms))
}

fn latest_takeover_ms(current: &VersionMove) -> u64 {
    let total_ms = current.finish_by_ms.saturating_sub(current.started_at_ms);
    let reserve_ms = (total_ms / 20).min(MAX_RESERVE.as_millis() as u64);
    current.finish_by_ms.saturating_sub(reserve_ms)
}

fn dwell_ms(total_ms: u64) -> u64 {
    (total_ms * DWELL_PERMILLE / 1000).min(MAX_DWELL.as_millis() as u64)
}

fn part_end(since_ms: u64, takeover_ms: u64, index: usize, count: usize) -> u64 {
    let weights = &STEP_WEIGHTS[..count.min(STEP_WEIGHTS.len())];
    let left: u64 = weights.iter().skip(index).sum();
    let own = weights.get(index).copied().unwrap_or(1);
    let time_left_ms = takeover_ms.saturating_sub(since_ms);
    since_ms + time_left_ms * own / left.max(1)
}
