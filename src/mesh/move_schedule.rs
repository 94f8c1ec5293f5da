//! Schedule of a move: the candidate's share over the period within which the move must have ended, and the next step
//! that the evidence supports.

use {
    crate::move_verdict::{BadCount, MoveVerdict, VerdictEvidence},
    std::time::Duration,
};

/// Steps of a move: fraction of the period at which a step begins at the earliest, and the candidate's share in per
/// mille.
///
/// The share stays small until failures that show only after some time have had time to show. What it leaves of the
/// operator's bound is used by a short burst of calls, which shows failures under load: `exposure_limit` ends it, and
/// the results are judged before the next step. The share is full early enough that calls in progress at the old
/// version can finish before the end.
const STEPS: [(f64, u32); 4] = [
    (0.0, 25),
    (0.4, 80),
    (0.5, BURST_PERMILLE),
    (0.66, FULL_PERMILLE),
];

/// Share of the burst that shows failures under load. A candidate that is suspected from there on is rolled back: the
/// operator's bound leaves no calls for a second burst.
const BURST_PERMILLE: u32 = 600;

/// Share of the last step, which is taken only if the candidate has been shown to be good.
const FULL_PERMILLE: u32 = 1000;

/// Fraction of the period from which a candidate is taken as good without proof if it is even with the stable version:
/// a service with few calls may not give enough for the proof.
const UNPROVEN_FRACTION: f64 = 0.72;

/// Calls of the candidate at the present share that a comparison without proof needs.
const MIN_EVEN_CALLS: u64 = 20;

/// Largest difference of the shares of bad calls between a candidate and a stable version that are even.
const EVEN_DIFFERENCE: f64 = 0.1;

/// Calls of a service during a move up to which the last step is taken without that proof: the operator's bound covers
/// what a bad version receives of them.
const FEW_CALLS: u64 = 150;

/// Part of the period for which the burst lasts at least, so that slow calls of the candidate can end and be judged.
const BURST_FRACTION: f64 = 0.12;

/// Part of the period for which the candidate receives all calls before it is complete, so that calls in progress at
/// the old version can end.
const FULL_FRACTION: f64 = 0.08;

/// Fraction of the period at which a candidate that is not suspected to be bad is complete.
const COMPLETE_FRACTION: f64 = 0.8;

/// Fraction of the period after which a candidate that is still suspected, or has no targets, is rolled back.
const ROLLBACK_FRACTION: f64 = 0.95;

/// Largest share, in per mille, of a candidate that is suspected to be bad.
const SUSPECT_PERMILLE: u32 = 100;

/// Calls of the candidate that must have ended at a share before the next larger one, if the service has so many.
const MIN_STEP_CALLS: u64 = 6;

/// Progress of a move as its watcher sees it.
#[derive(Clone, Copy, Debug)]
pub struct MoveProgress {
    /// Candidate's present share of the calls, in per mille.
    pub permille: u32,
    /// Time since the start of the move, by the store's clock.
    pub elapsed: Duration,
    /// Time within which the move must have ended.
    pub period: Duration,
    /// Calls of the candidate that have ended since its share was last changed.
    pub step_calls: u64,
    /// Calls of all versions that have ended in that time.
    pub service_calls: u64,
    /// Calls of all versions that have ended since the start of the move; none if the watcher began later.
    pub all_calls: Option<u64>,
    /// Time since the share was last changed.
    pub step_age: Duration,
    /// Whether the candidate fails much more often at its present share than the stable version did.
    pub is_failing: bool,
    /// Whether counters of the candidate's targets were received for this decision.
    pub has_counters: bool,
    /// Whether the counters of all targets of the service were received for this decision.
    pub has_all_counters: bool,
    /// Whether a target of the candidate is available.
    pub has_candidate: bool,
}

/// Next step of a move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MoveStep {
    /// Nothing changes.
    Stay,
    /// The candidate receives this share of the calls, in per mille.
    Share(u32, &'static str),
    /// The candidate replaces the stable version for good.
    Complete,
    /// The candidate receives no more calls, for the reason given.
    RollBack(String),
}

/// Returns the step that the schedule and the evidence support.
///
/// The share grows by one step at a time, and only after calls at the present share have shown nothing against the
/// candidate.
pub fn next_step(progress: &MoveProgress, verdict: &MoveVerdict) -> MoveStep {
    let fraction = progress.elapsed.as_secs_f64() / progress.period.as_secs_f64().max(0.001);
    let is_overdue = fraction >= ROLLBACK_FRACTION;
    if progress.is_failing && progress.permille >= BURST_PERMILLE {
        return MoveStep::RollBack("fails under load".to_owned());
    }
    match verdict {
        MoveVerdict::Bad(evidence) => return MoveStep::RollBack(evidence.to_string()),
        MoveVerdict::Undecided {
            suspicious,
            alarmed,
            evidence,
        } if *suspicious || *alarmed => {
            let is_final = is_overdue || progress.permille >= BURST_PERMILLE;
            return match is_final {
                true => MoveStep::RollBack(evidence.to_string()),
                false => share_step(
                    progress,
                    progress.permille.min(SUSPECT_PERMILLE),
                    "in doubt",
                ),
            };
        }
        _ => {}
    }
    if !progress.has_candidate {
        return match is_overdue {
            true => MoveStep::RollBack("no target of the candidate".to_owned()),
            false => MoveStep::Stay,
        };
    }
    let is_good = progress.has_few_calls()
        || match verdict {
            MoveVerdict::Good(_) => true,
            MoveVerdict::Undecided { evidence, .. } => {
                fraction >= UNPROVEN_FRACTION && is_even(evidence)
            }
            MoveVerdict::Bad(_) => false,
        };
    if progress.permille >= FULL_PERMILLE {
        let is_settled = progress.lasts_for(FULL_FRACTION) && fraction >= COMPLETE_FRACTION;
        return match (is_settled && progress.is_supported(), is_overdue) {
            (true, _) => MoveStep::Complete,
            (false, true) => MoveStep::RollBack("no results at the full share".to_owned()),
            (false, false) => MoveStep::Stay,
        };
    }
    if is_overdue && !is_good {
        return MoveStep::RollBack("not shown to be as good as the stable version".to_owned());
    }
    let next = STEPS
        .iter()
        .find(|(_, permille)| *permille > progress.permille);
    match next {
        Some((_, FULL_PERMILLE)) if !is_good || !progress.lasts_for(BURST_FRACTION) => {
            MoveStep::Stay
        }
        Some((begins, permille)) if fraction >= *begins && progress.is_supported() => {
            share_step(progress, *permille, "scheduled")
        }
        _ => MoveStep::Stay,
    }
}

impl MoveProgress {
    /// Returns whether the present share has lasted for a part of the period.
    fn lasts_for(&self, fraction: f64) -> bool {
        self.step_age >= self.period.mul_f64(fraction)
    }

    /// Returns whether the service has so few calls that a bad version stays within the operator's bound.
    fn has_few_calls(&self) -> bool {
        self.has_all_counters && self.all_calls.is_some_and(|calls| calls <= FEW_CALLS)
    }

    /// Returns whether the calls at the present share allow a larger one. A service with few calls gives the candidate
    /// few, and needs no more.
    fn is_supported(&self) -> bool {
        let expected_calls = self.service_calls * u64::from(self.permille) / 1000;
        let enough_calls = self.step_calls >= MIN_STEP_CALLS || expected_calls < MIN_STEP_CALLS;
        self.permille == 0 || (self.has_counters && enough_calls)
    }
}

/// Returns whether the counts show no difference between the versions and nothing speaks against the candidate.
fn is_even(evidence: &VerdictEvidence) -> bool {
    let rate = |count: &BadCount| count.bad as f64 / count.calls.max(1) as f64;
    let difference = rate(&evidence.candidate) - rate(&evidence.stable);
    evidence.candidate.calls >= MIN_EVEN_CALLS
        && evidence.stable.calls >= MIN_EVEN_CALLS
        && difference <= EVEN_DIFFERENCE
}

fn share_step(progress: &MoveProgress, permille: u32, reason: &'static str) -> MoveStep {
    match permille == progress.permille {
        true => MoveStep::Stay,
        false => MoveStep::Share(permille, reason),
    }
}
