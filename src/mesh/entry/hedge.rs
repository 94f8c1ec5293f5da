//! One attempt of a call, with a second one (hedge) beside it at another target if it is slow.

use {
    super::{attempts::record_sent, choice::choose_hedge_target, progress::CallProgress},
    crate::{
        attempts::attempt_ledger::AttemptId,
        membership::TargetEndpoint,
        mesh::{
            attempt::{attempt, hop_metadata},
            context::MeshContext,
            entry_call::EntryCall,
            refusal::WholeBody,
        },
    },
    http::Response,
    std::{sync::Arc, time::Instant},
    tokio::time::timeout_at,
};

/// Fraction of the remaining time after which a hedge is started.
const HEDGE_FRACTION: f64 = 0.5;

/// Runs an attempt that has been recorded as sent, and a hedge if it is slow and the ledger allows another; returns the
/// first good response.
///
/// If one of the two fails, the other goes on, because its target may be working on the request. The one that loses is
/// dropped, which closes its connection; its node then ends the exchange with the target in the same way.
pub(super) async fn run_hedged(
    context: &Arc<MeshContext>,
    call: &EntryCall,
    target: &TargetEndpoint,
    id: AttemptId,
    progress: &mut CallProgress,
) -> Option<Response<WholeBody>> {
    let metadata = hop_metadata(context, call, target, progress.ledger.is_last_round());
    let running = attempt(context, call, target, &metadata);
    tokio::pin!(running);
    if !progress.ledger.allows_another() {
        return progress.record_end(id, running.await);
    }
    let hedge_at = Instant::now() + call.left().mul_f64(HEDGE_FRACTION);
    if let Ok(ended) = timeout_at(hedge_at.into(), &mut running).await {
        return progress.record_end(id, ended);
    }
    context
        .target_tracker
        .lock()
        .record_slow(&target.node, Instant::now());
    let Some((second, hedge_id)) = start_hedge(context, call, progress) else {
        return progress.record_end(id, running.await);
    };
    let metadata = hop_metadata(context, call, &second, progress.ledger.is_last_round());
    let hedge = attempt(context, call, &second, &metadata);
    tokio::pin!(hedge);
    tokio::select! {
        ended = &mut running => match progress.record_end(id, ended) {
            Some(response) => Some(response),
            None => progress.record_end(hedge_id, hedge.await),
        },
        ended = &mut hedge => match progress.record_end(hedge_id, ended) {
            Some(response) => Some(response),
            None => progress.record_end(id, running.await),
        },
    }
}

/// Selects the target of a hedge and records it as sent.
fn start_hedge(
    context: &MeshContext,
    call: &EntryCall,
    progress: &mut CallProgress,
) -> Option<(TargetEndpoint, AttemptId)> {
    if !context.shutdown.can_end(call.deadline) {
        return None;
    }
    let target = choose_hedge_target(context, call, &progress.ledger)?;
    let id = record_sent(context, call, progress, &target)?;
    Some((target, id))
}
