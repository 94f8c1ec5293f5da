//! Selection of the target of an attempt, among those whose version may receive the call.

use {
    crate::{
        attempts::attempt_ledger::AttemptLedger,
        ids::NodeId,
        membership::TargetEndpoint,
        mesh::{
            context::MeshContext,
            entry_call::EntryCall,
            exposure_limit::MoveKnowledge,
            target_selection::{CallNeeds, TargetTracker},
        },
    },
    std::time::Instant,
};

/// Draw above every share, which never selects the candidate of a move.
const NO_CANDIDATE_DRAW: u32 = 1000;

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

/// Selects the target of the next attempt. Once all targets have refused as full, they may be selected once more, and
/// then accept any wait within the latency objective.
pub(super) fn choose_target(
    context: &MeshContext,
    call: &EntryCall,
    ledger: &mut AttemptLedger,
) -> Option<TargetEndpoint> {
    let chosen = choose_among(context, call, &ledger.excluded(), |_, _| true);
    match chosen.is_none() && ledger.begin_last_round() {
        true => choose_among(context, call, &ledger.excluded(), |_, _| true),
        false => chosen,
    }
}

/// Selects the target of a hedge, among those that no attempt was sent to; with `needs_room`, among those of them that
/// are expected to be idle enough.
pub(super) fn choose_hedge_target(
    context: &MeshContext,
    call: &EntryCall,
    ledger: &AttemptLedger,
    needs_room: bool,
) -> Option<TargetEndpoint> {
    let now = Instant::now();
    choose_among(context, call, &ledger.asked(), |tracker, target| {
        !needs_room || tracker.has_room_for_hedge(target, now)
    })
}

fn choose_among(
    context: &MeshContext,
    call: &EntryCall,
    excluded: &[NodeId],
    is_suitable: impl Fn(&TargetTracker, &TargetEndpoint) -> bool,
) -> Option<TargetEndpoint> {
    let targets = context.board.members.lock().targets_of(&call.service);
    let draw = version_draw(context, call);
    let mut eligible = context
        .board
        .moves
        .lock()
        .eligible(&call.service, targets, draw);
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
    chosen.cloned()
}
