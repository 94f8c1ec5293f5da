//! Selection of the target of an attempt, among those whose version may receive the call.

use {
    super::{NOT_READY_RETRY_AFTER, progress::CallProgress},
    crate::{
        ids::NodeId,
        membership::TargetEndpoint,
        mesh::{
            context::MeshContext,
            entry_call::EntryCall,
            exposure_limit::MoveKnowledge,
            refusal::MeshRefusal,
            target_selection::{CallNeeds, TargetTracker},
        },
    },
    std::time::Instant,
    thiserror::Error,
};

/// Draw above every share, which never selects the candidate of a move.
const NO_CANDIDATE_DRAW: u32 = 1000;

/// Reason for which no target can be selected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum ChoiceError {
    /// No target is known that may receive the call and has not been tried.
    #[error("no target")]
    NoTarget,
    /// All targets that may receive the call are in drained failure domains.
    #[error("all targets are in drained failure domains")]
    DomainDrained,
}

impl ChoiceError {
    /// Returns whether a target is not expected within the short wait of a call.
    pub(super) fn is_final(&self) -> bool {
        *self == Self::DomainDrained
    }

    /// Returns the refusal of a call that was sent to no target.
    pub(super) fn refusal(self) -> MeshRefusal {
        match self {
            Self::NoTarget => MeshRefusal::not_run("no-target", NOT_READY_RETRY_AFTER),
            Self::DomainDrained => MeshRefusal::domain_drained(),
        }
    }
}

/// Returns the number that selects the version of a call: that of the call, or one that never selects the candidate
/// while the limit of calls to it is reached.
fn version_draw(context: &MeshContext, call: &EntryCall) -> u32 {
    let service = &call.service.service;
    let Some(view) = context.board.moves.lock().view(service) else {
        return call.draw;
    };
    let permille = view.permille();
    if !view.is_open() || call.draw >= permille {
        return call.draw;
    }
    let known = MoveKnowledge {
        service,
        order: view.order.revision,
        permille,
        confirmation_age: context.gossip.time_since_store_confirmation(),
    };
    match context.exposure.lock().allows(&known) {
        true => call.draw,
        false => NO_CANDIDATE_DRAW,
    }
}

/// Returns the targets that may receive the call: those of its version outside of the drained failure domains.
fn eligible_targets(
    context: &MeshContext,
    call: &EntryCall,
    draw: u32,
) -> Result<Vec<TargetEndpoint>, ChoiceError> {
    let mut targets = context.board.members.lock().targets_of(&call.service);
    let mut moves = context.board.moves.lock();
    let drains = context.board.drains.lock();
    if drains.active_count() == 0 {
        return Ok(moves.eligible(&call.service, targets, draw));
    }
    let is_open = |target: &TargetEndpoint| !drains.is_drained(&target.domain);
    let has_drained = !targets.iter().all(is_open);
    let eligible = if moves.view(&call.service.service).is_some() {
        targets.retain(is_open);
        moves.eligible(&call.service, targets, draw)
    } else {
        // Without a move, the version is chosen among all targets: a drain must not make another version the stable one.
        let mut eligible = moves.eligible(&call.service, targets, draw);
        eligible.retain(is_open);
        eligible
    };
    match eligible.is_empty() && has_drained {
        true => Err(ChoiceError::DomainDrained),
        false => Ok(eligible),
    }
}

/// Selects the target of the next attempt. Once all targets have refused as full, they may be selected once more, and
/// then accept any wait within the latency objective.
pub(super) fn choose_target(
    context: &MeshContext,
    call: &EntryCall,
    progress: &mut CallProgress,
) -> Result<TargetEndpoint, ChoiceError> {
    let excluded = progress.ledger.excluded();
    let chosen = choose_among(context, call, progress, &excluded, |_, _| true);
    if chosen != Err(ChoiceError::NoTarget) || !progress.ledger.begin_last_round() {
        return chosen;
    }
    let excluded = progress.ledger.excluded();
    choose_among(context, call, progress, &excluded, |_, _| true)
}

/// Selects the target of a hedge, among those that no attempt was sent to; with `needs_room`, among those of them that
/// are expected to be idle enough.
pub(super) fn choose_hedge_target(
    context: &MeshContext,
    call: &EntryCall,
    progress: &CallProgress,
    needs_room: bool,
) -> Option<TargetEndpoint> {
    let now = Instant::now();
    let asked = progress.ledger.asked();
    let chosen = choose_among(context, call, progress, &asked, |tracker, target| {
        !needs_room || tracker.has_room_for_hedge(target, now)
    });
    chosen.ok()
}

fn choose_among(
    context: &MeshContext,
    call: &EntryCall,
    progress: &CallProgress,
    excluded: &[NodeId],
    is_suitable: impl Fn(&TargetTracker, &TargetEndpoint) -> bool,
) -> Result<TargetEndpoint, ChoiceError> {
    let draw = version_draw(context, call);
    let mut eligible = eligible_targets(context, call, draw)?;
    eligible.retain(|target| !progress.drained.contains(&target.domain));
    let needs = CallNeeds {
        route: &call.route.name,
        latency_objective: call.route.latency_objective,
        own_domain: &context.settings.node.failure_domain,
        body_bytes: call.content.len(),
    };
    let tracker = context.target_tracker.lock();
    eligible.retain(|target| is_suitable(&tracker, target));
    let mut rng = rand::rng();
    let chosen = tracker.choose(&eligible, excluded, &needs, Instant::now(), &mut rng);
    chosen.cloned().ok_or(ChoiceError::NoTarget)
}
