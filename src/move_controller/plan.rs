//! Pure planner of moves: what to do next, given the state, the evidence and the targets.

use {
    super::schedule::{
        ShareStep, StepTimes, TAKEOVER_PERMILLE, latest_start_ms, share_steps, step_times,
    },
    crate::{
        config::{MovePhase, MovePolicy, MovePreference, TrafficSplit, VersionMove},
        ids::{ConfigVersion, NodeId, OperatorName, VersionName},
        membership::TargetEndpoint,
        move_verdict::{MoveVerdict, VerdictEvidence},
        veto_table::VetoRecord,
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    thiserror::Error,
};

/// Time for which all targets of the candidate may be missing before the move waits for them again.
const MISSING_GRACE: Duration = Duration::from_secs(10);

/// Load of the candidate's slots, relative to the stable version's slots, that the share may cause.
const CAPACITY_HEADROOM_PERMILLE: u64 = 1500;

/// Targets of both versions that calls may be sent to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionTargets {
    /// Targets of the candidate.
    pub candidate: u32,
    /// Slots of the candidate's targets.
    pub candidate_slots: u32,
    /// Targets of the stable version.
    pub stable: u32,
    /// Slots of the stable version's targets.
    pub stable_slots: u32,
}

impl VersionTargets {
    /// Counts the available targets of a split's versions.
    pub fn count(split: &TrafficSplit, endpoints: &[TargetEndpoint]) -> Self {
        let candidate = split
            .current_move
            .as_ref()
            .map(|current| &current.candidate);
        let mut targets = Self::default();
        for endpoint in endpoints {
            if Some(&endpoint.version) == candidate {
                targets.candidate += 1;
                targets.candidate_slots += endpoint.slots;
            } else if endpoint.version == split.stable {
                targets.stable += 1;
                targets.stable_slots += endpoint.slots;
            }
        }
        targets
    }
}

/// What a controller remembers of a running move; a new controller starts from nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveProgress {
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Step in force when the controller last looked.
    pub step: ShareStep,
    /// Time at which the controller first saw that step.
    pub since_ms: u64,
    /// Time at which the candidate's last target went missing.
    pub candidate_missing_since_ms: Option<u64>,
    /// Largest number of stable slots seen: the capacity that the candidate has to replace.
    pub needed_slots: u32,
}

impl MoveProgress {
    /// Returns the progress of a move that the controller sees for the first time.
    pub fn new(current: &VersionMove, permille: u32, now_ms: u64) -> Self {
        Self {
            move_id: current.id,
            step: ShareStep {
                phase: current.phase,
                permille,
            },
            since_ms: now_ms,
            candidate_missing_since_ms: None,
            needed_slots: 0,
        }
    }

    /// Notes the step in force and the targets; returns whether a step began.
    ///
    /// A share that falls within its phase restarts the step's time, but begins no step: the acceptance
    /// reached before stays valid.
    pub fn observe(&mut self, split: &TrafficSplit, targets: &VersionTargets, now_ms: u64) -> bool {
        let Some(current) = &split.current_move else {
            return false;
        };
        self.needed_slots = self.needed_slots.max(targets.stable_slots);
        self.candidate_missing_since_ms = match (targets.candidate, self.candidate_missing_since_ms)
        {
            (0, None) => Some(now_ms),
            (0, since) => since,
            _ => None,
        };
        let step = ShareStep {
            phase: current.phase,
            permille: split.candidate_permille,
        };
        let same_phase = step.phase == self.step.phase;
        let begins = !same_phase || step.permille > self.step.permille;
        if step != self.step {
            self.since_ms = now_ms;
        }
        self.step = step;
        begins
    }
}

/// State of a service's move at one step of the controller.
#[derive(Clone, Debug)]
pub struct MoveState {
    /// Division of calls in force.
    pub split: TrafficSplit,
    /// Veto against the candidate of the current move.
    pub veto: Option<VetoRecord>,
    /// What the controller remembers.
    pub progress: MoveProgress,
}

/// Why a step is taken.
#[derive(Clone, Debug, Deserialize, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StepReason {
    /// Targets of the candidate announced themselves.
    #[display("{targets} targets of the candidate announced themselves")]
    CandidateArrived {
        /// Number of targets.
        targets: u32,
    },
    /// The candidate is no worse than the margin.
    #[display("evidence is good: {_0}")]
    EvidenceGood(VerdictEvidence),
    /// The deadline is near and nothing speaks against the candidate.
    #[display("deadline is near and the contract prefers punctuality: {_0}")]
    DeadlineNear(VerdictEvidence),
    /// The candidate was found bad.
    #[display("candidate found bad: {_0}")]
    FoundBad(VerdictEvidence),
    /// A veto is in force.
    #[display("vetoed by {issuer}: {reason}")]
    Vetoed {
        /// Node that issued the veto.
        issuer: NodeId,
        /// Why it was issued.
        reason: String,
    },
    /// The deadline is near and too little is known of the candidate.
    #[display("too little evidence before the deadline: {_0}")]
    TooLittleEvidence(VerdictEvidence),
    /// The deadline is near and something speaks against the candidate.
    #[display("evidence against the candidate at the end of the step: {_0}")]
    EvidenceAgainst(VerdictEvidence),
    /// The candidate has no targets.
    #[display("candidate has no targets")]
    NoCandidateTargets,
    /// The candidate has too few slots for the share.
    #[display("candidate has {candidate_slots} slots, the stable version had {needed_slots}")]
    TooFewSlots {
        /// Slots of the candidate's targets.
        candidate_slots: u32,
        /// Largest number of stable slots seen in this move.
        needed_slots: u32,
    },
    /// A newer contract allows a smaller canary share.
    #[display("contract now allows a canary share of {permille} per mille")]
    CanaryLowered {
        /// Share now allowed.
        permille: u32,
    },
    /// Something speaks against the candidate; it gets a smaller share until this is settled.
    #[display("suspicion, back to a smaller share: {_0}")]
    Suspicion(VerdictEvidence),
    /// The cause of a lower share during the watch has passed.
    #[display("cause of the lower share has passed: {_0}")]
    ShareRestored(VerdictEvidence),
    /// The watch ended without evidence against the candidate.
    #[display("watch ended without evidence against the candidate: {_0}")]
    WatchEnded(VerdictEvidence),
}

/// Why a move stays where it is.
#[derive(Clone, Debug, Deserialize, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// No move is running.
    #[display("no move is running")]
    NoMove,
    /// The candidate has no targets yet.
    #[display("waiting for targets of the candidate")]
    AwaitsTargets,
    /// The candidate's targets went missing a moment ago.
    #[display("targets of the candidate are missing")]
    TargetsMissing,
    /// The step has to last longer.
    #[display("step lasts until {until_ms} ms since the Unix epoch")]
    StepRuns {
        /// End of the step if the evidence is good.
        until_ms: u64,
    },
    /// The evidence does not decide yet.
    #[display("undecided: {_0}")]
    AwaitsEvidence(VerdictEvidence),
    /// The candidate has too few slots for the next share.
    #[display("candidate has too few slots for a share of {permille} per mille")]
    AwaitsSlots {
        /// Next share.
        permille: u32,
    },
}

/// A change of the split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StepChange {
    /// Step to put in force.
    pub step: ShareStep,
    /// Why.
    pub reason: StepReason,
}

/// What a controller has to do next.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveStep {
    /// Nothing.
    Hold(HoldReason),
    /// Write a change of the split.
    Change(StepChange),
    /// Spread a veto first, then write the change that takes the move back.
    VetoAndTakeBack(StepChange),
}

/// Returns whether a phase is before the end of its move.
pub fn is_running(phase: MovePhase) -> bool {
    !matches!(phase, MovePhase::Done | MovePhase::TakenBack)
}

/// Plans the next step of a move.
///
/// `now_ms` is in milliseconds since the Unix epoch. While a veto is in force the only step is to take
/// the move back, so nothing else moves when the store cannot take the write yet.
pub fn plan_step(
    state: &MoveState,
    verdict: &MoveVerdict,
    targets: &VersionTargets,
    policy: &MovePolicy,
    now_ms: u64,
) -> MoveStep {
    let running = state.split.current_move.as_ref();
    let Some(current) = running.filter(|current| is_running(current.phase)) else {
        return MoveStep::Hold(HoldReason::NoMove);
    };
    if let Some(veto) = &state.veto {
        return take_back(StepReason::Vetoed {
            issuer: veto.issuer.clone(),
            reason: veto.reason.clone(),
        });
    }
    if let MoveVerdict::Bad(evidence) = verdict {
        return veto_and_take_back(StepReason::FoundBad(evidence.clone()));
    }
    let planner = StepPlanner {
        state,
        current,
        verdict,
        targets,
        policy,
        now_ms,
    };
    match current.phase {
        MovePhase::Waiting => planner.plan_waiting(),
        MovePhase::Canary | MovePhase::Ramp => planner.plan_test(),
        MovePhase::Watch => planner.plan_watch(),
        MovePhase::Done | MovePhase::TakenBack => MoveStep::Hold(HoldReason::NoMove),
    }
}

/// Inputs of one plan.
struct StepPlanner<'a> {
    state: &'a MoveState,
    current: &'a VersionMove,
    verdict: &'a MoveVerdict,
    targets: &'a VersionTargets,
    policy: &'a MovePolicy,
    now_ms: u64,
}

impl StepPlanner<'_> {
    fn plan_waiting(&self) -> MoveStep {
        let steps = self.steps();
        if self.now_ms >= latest_start_ms(self.current, steps.len() - 1) {
            return take_back(StepReason::NoCandidateTargets);
        }
        if self.targets.candidate == 0 {
            return MoveStep::Hold(HoldReason::AwaitsTargets);
        }
        let canary = steps[0];
        let step = ShareStep {
            permille: canary.permille.min(self.largest_share()),
            ..canary
        };
        let targets = self.targets.candidate;
        change(step, StepReason::CandidateArrived { targets })
    }

    fn plan_test(&self) -> MoveStep {
        if let Some(step) = self.plan_missing().or_else(|| self.plan_lowering()) {
            return step;
        }
        let steps = self.steps();
        let index = self.step_index(&steps);
        let times = step_times(
            self.current,
            index,
            steps.len() - 1,
            self.state.progress.since_ms,
        );
        let next = steps[index + 1];
        if next.permille > self.largest_share() {
            return self.plan_without_slots(next, &times);
        }
        match self.verdict {
            MoveVerdict::Good(evidence) => self.plan_good(next, &times, evidence),
            MoveVerdict::Undecided {
                evidence,
                suspicious,
                ..
            } => self.plan_undecided(next, &times, evidence, *suspicious),
            MoveVerdict::Bad(evidence) => {
                veto_and_take_back(StepReason::FoundBad(evidence.clone()))
            }
        }
    }

    fn plan_good(
        &self,
        next: ShareStep,
        times: &StepTimes,
        evidence: &VerdictEvidence,
    ) -> MoveStep {
        let until_ms = times.aim_ms.min(times.latest_ms).max(times.earliest_ms);
        if self.now_ms < until_ms {
            return MoveStep::Hold(HoldReason::StepRuns { until_ms });
        }
        change(next, StepReason::EvidenceGood(evidence.clone()))
    }

    fn plan_undecided(
        &self,
        next: ShareStep,
        times: &StepTimes,
        evidence: &VerdictEvidence,
        suspicious: bool,
    ) -> MoveStep {
        let is_late = self.now_ms >= times.latest_ms.max(times.earliest_ms);
        if suspicious && is_late {
            return veto_and_take_back(StepReason::EvidenceAgainst(evidence.clone()));
        }
        let goes_on_ms = times.proportional_ms.min(times.latest_ms);
        let goes_on = self.now_ms >= goes_on_ms.max(times.earliest_ms);
        match self.policy.prefer {
            MovePreference::Punctuality if goes_on && !suspicious => {
                change(next, StepReason::DeadlineNear(evidence.clone()))
            }
            MovePreference::Safety if is_late => {
                take_back(StepReason::TooLittleEvidence(evidence.clone()))
            }
            _ => MoveStep::Hold(HoldReason::AwaitsEvidence(evidence.clone())),
        }
    }

    fn plan_without_slots(&self, next: ShareStep, times: &StepTimes) -> MoveStep {
        if self.now_ms >= times.latest_ms.max(times.earliest_ms) {
            return take_back(self.too_few_slots());
        }
        MoveStep::Hold(HoldReason::AwaitsSlots {
            permille: next.permille,
        })
    }

    fn plan_watch(&self) -> MoveStep {
        let reduction = self
            .plan_missing()
            .or_else(|| self.plan_lowering())
            .or_else(|| self.plan_retreat());
        if let Some(step) = reduction {
            return step;
        }
        let watch_ms = self.policy.watch_for.as_millis() as u64;
        let until_ms = self.state.progress.since_ms + watch_ms;
        let is_over = self.now_ms >= until_ms;
        let is_late = self.now_ms >= until_ms + watch_ms;
        let (evidence, suspicious, alarmed) = match self.verdict {
            MoveVerdict::Good(evidence) | MoveVerdict::Bad(evidence) => (evidence, false, false),
            MoveVerdict::Undecided {
                evidence,
                suspicious,
                alarmed,
            } => (evidence, *suspicious, *alarmed),
        };
        if suspicious && is_late {
            return veto_and_take_back(StepReason::EvidenceAgainst(evidence.clone()));
        }
        if suspicious || alarmed {
            return MoveStep::Hold(HoldReason::AwaitsEvidence(evidence.clone()));
        }
        if self.state.split.candidate_permille < TAKEOVER_PERMILLE {
            return self.plan_short_watch(is_late, evidence);
        }
        if !is_over {
            return MoveStep::Hold(HoldReason::StepRuns { until_ms });
        }
        let done = ShareStep {
            phase: MovePhase::Done,
            permille: 0,
        };
        change(done, StepReason::WatchEnded(evidence.clone()))
    }

    /// The share was lowered after the takeover; it rises again once the cause has passed.
    fn plan_short_watch(&self, is_late: bool, evidence: &VerdictEvidence) -> MoveStep {
        if self.largest_share() >= TAKEOVER_PERMILLE {
            let step = ShareStep {
                phase: MovePhase::Watch,
                permille: TAKEOVER_PERMILLE,
            };
            return change(step, StepReason::ShareRestored(evidence.clone()));
        }
        if is_late {
            return take_back(self.too_few_slots());
        }
        MoveStep::Hold(HoldReason::AwaitsSlots {
            permille: TAKEOVER_PERMILLE,
        })
    }

    /// A suspicion or alarm during the watch lowers the share at once to that of the last ramp step. With as
    /// many stable as candidate calls the test then decides soonest. The ramp does not do so: a fault under
    /// load would vanish with the load and return with it.
    fn plan_retreat(&self) -> Option<MoveStep> {
        let MoveVerdict::Undecided {
            evidence,
            suspicious,
            alarmed,
        } = self.verdict
        else {
            return None;
        };
        let steps = self.steps();
        let permille = steps[steps.len() - 2].permille;
        if !(*suspicious || *alarmed) || self.state.split.candidate_permille <= permille {
            return None;
        }
        let step = ShareStep {
            phase: self.current.phase,
            permille,
        };
        Some(change(step, StepReason::Suspicion(evidence.clone())))
    }

    fn plan_missing(&self) -> Option<MoveStep> {
        let since_ms = self.state.progress.candidate_missing_since_ms?;
        let grace_ms = MISSING_GRACE.as_millis() as u64;
        if self.now_ms < since_ms + grace_ms {
            return Some(MoveStep::Hold(HoldReason::TargetsMissing));
        }
        let waiting = ShareStep {
            phase: MovePhase::Waiting,
            permille: 0,
        };
        Some(change(waiting, StepReason::NoCandidateTargets))
    }

    fn plan_lowering(&self) -> Option<MoveStep> {
        let permille = self.state.split.candidate_permille;
        let is_canary = self.current.phase == MovePhase::Canary;
        let lowered = |permille, reason| {
            let step = ShareStep {
                phase: self.current.phase,
                permille,
            };
            Some(change(step, reason))
        };
        if is_canary && permille > self.policy.canary_permille {
            let permille = self.policy.canary_permille;
            return lowered(permille, StepReason::CanaryLowered { permille });
        }
        if permille > self.largest_share() {
            return lowered(self.largest_share(), self.too_few_slots());
        }
        None
    }

    /// Returns the largest share that the candidate's slots can bear.
    fn largest_share(&self) -> u32 {
        let needed = u64::from(self.state.progress.needed_slots);
        let slots = u64::from(self.targets.candidate_slots);
        (slots * CAPACITY_HEADROOM_PERMILLE)
            .checked_div(needed)
            .map_or(1000, |permille| permille.min(1000) as u32)
    }

    fn too_few_slots(&self) -> StepReason {
        StepReason::TooFewSlots {
            candidate_slots: self.targets.candidate_slots,
            needed_slots: self.state.progress.needed_slots,
        }
    }

    fn steps(&self) -> Vec<ShareStep> {
        share_steps(self.policy.canary_permille, self.targets.candidate)
    }

    /// Returns the last step whose share the present share reaches; targets may have come or gone since.
    fn step_index(&self, steps: &[ShareStep]) -> usize {
        if self.current.phase == MovePhase::Canary {
            return 0;
        }
        let permille = self.state.split.candidate_permille;
        steps
            .iter()
            .rposition(|step| step.phase == MovePhase::Ramp && step.permille <= permille)
            .unwrap_or(0)
    }
}

fn change(step: ShareStep, reason: StepReason) -> MoveStep {
    MoveStep::Change(StepChange { step, reason })
}

fn take_back_change(reason: StepReason) -> StepChange {
    let step = ShareStep {
        phase: MovePhase::TakenBack,
        permille: 0,
    };
    StepChange { step, reason }
}

fn take_back(reason: StepReason) -> MoveStep {
    MoveStep::Change(take_back_change(reason))
}

fn veto_and_take_back(reason: StepReason) -> MoveStep {
    MoveStep::VetoAndTakeBack(take_back_change(reason))
}

/// Returns the split that a change leads to.
pub fn changed_split(split: &TrafficSplit, change: &StepChange) -> TrafficSplit {
    let mut next = split.clone();
    next.candidate_permille = change.step.permille;
    if let Some(current) = &mut next.current_move {
        current.phase = change.step.phase;
        current.reason = change.reason.to_string();
        if change.step.phase == MovePhase::Done {
            next.stable = current.candidate.clone();
        }
    }
    next
}

/// A version that cannot be started, or a move that cannot be cancelled.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MoveRefusal {
    /// Another move is running.
    #[error("start {wanted}: the move to {running} is in phase {phase}; cancel it first")]
    MoveRunning {
        /// Version that was to start.
        wanted: VersionName,
        /// Candidate of the running move.
        running: VersionName,
        /// Phase of the running move.
        phase: MovePhase,
    },
    /// The version already serves.
    #[error("start {wanted}: it is already the stable version")]
    AlreadyStable {
        /// Version that was to start.
        wanted: VersionName,
    },
    /// No move is running.
    #[error("cancel: no move is running")]
    NotRunning,
}

/// A version to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionStart {
    /// Identifier of the move.
    pub id: ConfigVersion,
    /// Version to start.
    pub candidate: VersionName,
    /// Start in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Time within which the version must take over.
    pub finish_within: Duration,
    /// Operator that started it.
    pub operator: OperatorName,
}

/// Returns the split with a new move; a second version is refused while a move is running.
///
/// The deadline is fixed here. A contract that changes during the move changes the other rules only.
pub fn start_move(split: &TrafficSplit, start: &VersionStart) -> Result<TrafficSplit, MoveRefusal> {
    let wanted = start.candidate.clone();
    if let Some(current) = &split.current_move
        && is_running(current.phase)
    {
        return Err(MoveRefusal::MoveRunning {
            wanted,
            running: current.candidate.clone(),
            phase: current.phase,
        });
    }
    if split.stable == wanted {
        return Err(MoveRefusal::AlreadyStable { wanted });
    }
    let mut next = split.clone();
    next.candidate_permille = 0;
    next.current_move = Some(VersionMove {
        id: start.id,
        candidate: wanted,
        previous: split.stable.clone(),
        phase: MovePhase::Waiting,
        started_at_ms: start.started_at_ms,
        finish_by_ms: start.started_at_ms + start.finish_within.as_millis() as u64,
        reason: format!("started by {}", start.operator),
    });
    Ok(next)
}

/// Returns the split with its running move taken back.
pub fn cancel_move(
    split: &TrafficSplit,
    operator: &OperatorName,
) -> Result<TrafficSplit, MoveRefusal> {
    let mut next = split.clone();
    next.candidate_permille = 0;
    match &mut next.current_move {
        Some(current) if is_running(current.phase) => {
            current.phase = MovePhase::TakenBack;
            current.reason = format!("cancelled by {operator}");
            Ok(next)
        }
        _ => Err(MoveRefusal::NotRunning),
    }
}
