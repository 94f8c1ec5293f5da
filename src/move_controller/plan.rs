//! Plans the next step of a move from its state, the verdict on the candidate and the available targets.
//!
//! Nothing here does I/O or reads a clock; the controller writes the planned steps. "Taken back" is a move that
//! was rolled back: all calls go to the stable version again.

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

/// Time for which all targets of the candidate may be missing before the move returns to the waiting phase.
const MISSING_TARGETS_GRACE: Duration = Duration::from_secs(10);

/// Largest load of a candidate's slot that the share may cause, in per mille of the load of a slot of the stable
/// version with all calls.
const CAPACITY_HEADROOM_PERMILLE: u64 = 1500;

/// Numbers of targets and slots (concurrent calls that the targets accept) available for each version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionTargets {
    /// Targets of the candidate.
    pub candidate: u32,
    /// Sum of the slots of the candidate's targets.
    pub candidate_slots: u32,
    /// Targets of the stable version.
    pub stable: u32,
    /// Sum of the slots of the stable version's targets.
    pub stable_slots: u32,
}

impl VersionTargets {
    /// Counts the targets among `endpoints` that serve one of the split's two versions.
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

/// State that a controller keeps of a running move; it is not stored, so a new controller starts without it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveProgress {
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Step in force at the last call of `observe`.
    pub step: ShareStep,
    /// Time at which the controller first observed that step, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Time from which the candidate has had no targets, in milliseconds since the Unix epoch; none while it has.
    pub candidate_missing_since_ms: Option<u64>,
    /// Largest number of the stable version's slots observed: the capacity that the candidate has to replace.
    pub needed_slots: u32,
}

impl MoveProgress {
    /// Returns the progress of a move that the controller observes for the first time, with a share of `permille`.
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

    /// Records the step in force and the targets; returns whether a new step began.
    ///
    /// A lower share in the same phase restarts the step's time but begins no new step, so that the evidence for
    /// the candidate collected in this step stays valid.
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
        let step_began = !same_phase || step.permille > self.step.permille;
        if step != self.step {
            self.since_ms = now_ms;
        }
        self.step = step;
        step_began
    }
}

/// State of a service's move at one tick of the controller.
#[derive(Clone, Debug)]
pub struct MoveSituation {
    /// Division of calls in the configuration in force.
    pub split: TrafficSplit,
    /// Veto against the candidate of the current move.
    pub veto: Option<VetoRecord>,
    /// State that the controller keeps of the move.
    pub progress: MoveProgress,
}

/// Why the split is changed; the text is stored with the step.
#[derive(Clone, Debug, Deserialize, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StepReason {
    /// Targets of the candidate have joined, so the canary starts.
    #[display("{targets} targets of the candidate announced themselves")]
    CandidateArrived {
        /// Number of the candidate's targets.
        targets: u32,
    },
    /// The candidate was accepted as good.
    #[display("evidence is good: {_0}")]
    EvidenceGood(VerdictEvidence),
    /// The step's time is over without a decision or suspicion, and the contract prefers punctuality.
    #[display("deadline is near and the contract prefers punctuality: {_0}")]
    DeadlineNear(VerdictEvidence),
    /// The test found the candidate bad.
    #[display("candidate found bad: {_0}")]
    FoundBad(VerdictEvidence),
    /// A veto against the candidate is in force.
    #[display("vetoed by {issuer}: {reason}")]
    Vetoed {
        /// Node that issued the veto.
        issuer: NodeId,
        /// Reason that the issuer gave.
        reason: String,
    },
    /// The remaining steps no longer fit in before the deadline, the test is undecided, and the contract prefers
    /// safety.
    #[display("too little evidence before the deadline: {_0}")]
    TooLittleEvidence(VerdictEvidence),
    /// The candidate is still suspicious at the latest end of its step or watch.
    #[display("evidence against the candidate at the end of the step: {_0}")]
    EvidenceAgainst(VerdictEvidence),
    /// The candidate has no targets, or the time to start its canary is over.
    #[display("candidate has no targets")]
    NoCandidateTargets,
    /// The candidate has too few slots for its present or next share.
    #[display("candidate has {candidate_slots} slots, the stable version had {needed_slots}")]
    TooFewSlots {
        /// Slots of the candidate's targets.
        candidate_slots: u32,
        /// Largest number of the stable version's slots observed in this move.
        needed_slots: u32,
    },
    /// A newer contract allows only a smaller canary share.
    #[display("contract now allows a canary share of {permille} per mille")]
    CanaryLowered {
        /// Canary share that the contract allows now, in per mille.
        permille: u32,
    },
    /// The candidate became suspicious or its failures rose during the watch; its share is lowered until the test
    /// decides.
    #[display("suspicion, back to a smaller share: {_0}")]
    Suspicion(VerdictEvidence),
    /// The reason for a lower share during the watch no longer holds.
    #[display("cause of the lower share has passed: {_0}")]
    ShareRestored(VerdictEvidence),
    /// The watch is over and the candidate is not suspicious.
    #[display("watch ended without evidence against the candidate: {_0}")]
    WatchEnded(VerdictEvidence),
}

/// Why the split is not changed.
#[derive(Clone, Debug, Deserialize, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// No move is running.
    #[display("no move is running")]
    NoMove,
    /// The candidate has no targets yet.
    #[display("waiting for targets of the candidate")]
    AwaitsTargets,
    /// The candidate lost all its targets less than `MISSING_TARGETS_GRACE` ago.
    #[display("targets of the candidate are missing")]
    TargetsMissing,
    /// Nothing blocks the next step, but the present one is planned to last longer.
    #[display("step lasts until {until_ms} ms since the Unix epoch")]
    StepRuns {
        /// Planned end of the step, in milliseconds since the Unix epoch.
        until_ms: u64,
    },
    /// The test is undecided, or the candidate is suspicious or alarmed.
    #[display("undecided: {_0}")]
    AwaitsEvidence(VerdictEvidence),
    /// The candidate has too few slots for the next share.
    #[display("candidate has too few slots for a share of {permille} per mille")]
    AwaitsSlots {
        /// Share of the next step, in per mille.
        permille: u32,
    },
}

/// A change of the split and its reason.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StepChange {
    /// Step to put in force.
    pub step: ShareStep,
    /// Why the change is made.
    pub reason: StepReason,
}

/// Action that a controller is to take in this tick.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveStep {
    /// Leave the split unchanged.
    Hold(HoldReason),
    /// Write a change of the split.
    Change(StepChange),
    /// Send a veto to the other nodes, then write the change that takes the move back.
    VetoAndTakeBack(StepChange),
}

/// Returns whether a move in this phase has not ended.
pub fn is_running(phase: MovePhase) -> bool {
    !matches!(phase, MovePhase::Done | MovePhase::TakenBack)
}

/// Plans the next step of a move.
///
/// `now_ms` is in milliseconds since the Unix epoch. While a veto is in force the only step is to take the move
/// back, so no other step is written while the store does not accept that write.
pub fn plan_step(
    state: &MoveSituation,
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
        MovePhase::Canary | MovePhase::Ramp => planner.plan_canary_or_ramp(),
        MovePhase::Watch => planner.plan_watch(),
        MovePhase::Done | MovePhase::TakenBack => MoveStep::Hold(HoldReason::NoMove),
    }
}

/// Inputs of `plan_step` for a running move.
struct StepPlanner<'a> {
    state: &'a MoveSituation,
    current: &'a VersionMove,
    verdict: &'a MoveVerdict,
    targets: &'a VersionTargets,
    policy: &'a MovePolicy,
    now_ms: u64,
}

impl StepPlanner<'_> {
    fn plan_waiting(&self) -> MoveStep {
        let steps = self.steps();
        // The reason is the same if targets of the candidate exist but the latest start has passed.
        if self.now_ms >= latest_start_ms(self.current, steps.len() - 1) {
            return take_back(StepReason::NoCandidateTargets);
        }
        if self.targets.candidate == 0 {
            return MoveStep::Hold(HoldReason::AwaitsTargets);
        }
        let canary = steps[0];
        let step = ShareStep {
            permille: canary.permille.min(self.max_share_permille()),
            ..canary
        };
        let targets = self.targets.candidate;
        change(step, StepReason::CandidateArrived { targets })
    }

    fn plan_canary_or_ramp(&self) -> MoveStep {
        if let Some(step) = self
            .plan_missing_targets()
            .or_else(|| self.plan_share_limits())
        {
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
        if next.permille > self.max_share_permille() {
            return self.plan_awaiting_slots(next, &times);
        }
        match self.verdict {
            MoveVerdict::Good(evidence) => self.plan_accepted(next, &times, evidence),
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

    fn plan_accepted(
        &self,
        next: ShareStep,
        times: &StepTimes,
        evidence: &VerdictEvidence,
    ) -> MoveStep {
        let until_ms = times.planned_ms.min(times.latest_ms).max(times.earliest_ms);
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
        let proceed_from_ms = times.proportional_ms.min(times.latest_ms);
        let may_proceed = self.now_ms >= proceed_from_ms.max(times.earliest_ms);
        match self.policy.prefer {
            MovePreference::Punctuality if may_proceed && !suspicious => {
                change(next, StepReason::DeadlineNear(evidence.clone()))
            }
            MovePreference::Safety if is_late => {
                take_back(StepReason::TooLittleEvidence(evidence.clone()))
            }
            _ => MoveStep::Hold(HoldReason::AwaitsEvidence(evidence.clone())),
        }
    }

    fn plan_awaiting_slots(&self, next: ShareStep, times: &StepTimes) -> MoveStep {
        if self.now_ms >= times.latest_ms.max(times.earliest_ms) {
            return take_back(self.too_few_slots());
        }
        MoveStep::Hold(HoldReason::AwaitsSlots {
            permille: next.permille,
        })
    }

    fn plan_watch(&self) -> MoveStep {
        let reduction = self
            .plan_missing_targets()
            .or_else(|| self.plan_share_limits())
            .or_else(|| self.plan_share_on_suspicion());
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
            return self.plan_share_restoration(is_late, evidence);
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

    /// Plans for a share that was lowered after the takeover: it is restored once the candidate has enough slots.
    fn plan_share_restoration(&self, is_late: bool, evidence: &VerdictEvidence) -> MoveStep {
        if self.max_share_permille() >= TAKEOVER_PERMILLE {
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

    /// Lowers the share to that of the last ramp step on a suspicion or alarm during the watch.
    ///
    /// The test decides soonest with about as many stable as candidate calls. In the ramp the share is not lowered:
    /// a fault that occurs only under load would disappear with the load and return with it.
    fn plan_share_on_suspicion(&self) -> Option<MoveStep> {
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

    fn plan_missing_targets(&self) -> Option<MoveStep> {
        let since_ms = self.state.progress.candidate_missing_since_ms?;
        let grace_ms = MISSING_TARGETS_GRACE.as_millis() as u64;
        if self.now_ms < since_ms + grace_ms {
            return Some(MoveStep::Hold(HoldReason::TargetsMissing));
        }
        let waiting = ShareStep {
            phase: MovePhase::Waiting,
            permille: 0,
        };
        Some(change(waiting, StepReason::NoCandidateTargets))
    }

    fn plan_share_limits(&self) -> Option<MoveStep> {
        let permille = self.state.split.candidate_permille;
        let is_canary = self.current.phase == MovePhase::Canary;
        let lower_to = |permille, reason| {
            let step = ShareStep {
                phase: self.current.phase,
                permille,
            };
            Some(change(step, reason))
        };
        if is_canary && permille > self.policy.canary_permille {
            let permille = self.policy.canary_permille;
            return lower_to(permille, StepReason::CanaryLowered { permille });
        }
        if permille > self.max_share_permille() {
            return lower_to(self.max_share_permille(), self.too_few_slots());
        }
        None
    }

    /// Returns the largest share, in per mille, that the candidate's slots can serve.
    fn max_share_permille(&self) -> u32 {
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

    /// Returns the index of the last step whose share is not above the present share.
    ///
    /// The shares need not be equal, because the candidate's targets may have changed since the step was planned.
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

/// Returns the split with a change applied.
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

/// Why a move cannot be started or cancelled.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MoveRefusal {
    /// Another move of the service is running.
    #[error("start {wanted}: the move to {running} is in phase {phase}; cancel it first")]
    MoveRunning {
        /// Version that was to start.
        wanted: VersionName,
        /// Candidate of the running move.
        running: VersionName,
        /// Phase of the running move.
        phase: MovePhase,
    },
    /// The version is already the stable version.
    #[error("start {wanted}: it is already the stable version")]
    AlreadyStable {
        /// Version that was to start.
        wanted: VersionName,
    },
    /// No move is running.
    #[error("cancel: no move is running")]
    NotRunning,
}

/// A new move, as an operator requested it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionStart {
    /// Identifier of the move: the configuration version that starts it.
    pub id: ConfigVersion,
    /// Version that is to take over.
    pub candidate: VersionName,
    /// Start of the move, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Time within which the version must take over.
    pub finish_within: Duration,
    /// Operator that started the move.
    pub operator: OperatorName,
}

/// Returns the split with a new move, or an error if a move is running or the version is already stable.
///
/// The deadline is fixed here: a contract that changes during the move affects only the other rules.
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

/// Returns the split with its running move taken back, or an error if none is running.
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
