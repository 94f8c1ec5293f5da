//! Selection of the target of an attempt, among those whose version may receive the call.

use {
    super::history::AttemptHistory,
    crate::{
        ids::NodeId,
        membership::TargetEndpoint,
        mesh::{
            context::MeshContext, entry_call::EntryCall, exposure_limit::MoveKnowledge,
            target_selection::CallNeeds,
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
    history: &mut AttemptHistory,
) -> Option<TargetEndpoint> {
    let targets = context.board.members.lock().targets_of(&call.service);
    let draw = version_draw(context, call);
    let eligible = context
        .board
        .moves
        .lock()
        .eligible(&call.service, targets, draw);
    let excluded: Vec<NodeId> = match history.last_round {
        true => history.tried.clone(),
        false => history.tried.iter().chain(&history.full).cloned().collect(),
    };
    let chosen = context
        .target_tracker
        .lock()
        .choose(
            &eligible,
            &excluded,
            &CallNeeds {
                route: &call.route.name,
                latency_objective: call.route.latency_objective,
                own_domain: &context.settings.node.failure_domain,
                body_bytes: call.content.len(),
            },
            Instant::now(),
            &mut rand::rng(),
        )
        .cloned();
    if chosen.is_none() && !history.last_round && !history.full.is_empty() {
        history.last_round = true;
        return choose_target(context, call, history);
    }
    chosen
}
