//! Metrics and log lines of the attempts of a call, from its ledger.

use {
    super::progress::CallProgress,
    crate::{
        attempts::attempt_ledger::{AttemptKind, AttemptLedger, AttemptState, SentAttempt},
        membership::TargetEndpoint,
        mesh::{context::MeshContext, entry_call::EntryCall, refusal::WholeBody},
        node_metrics::HedgeEvent,
    },
    http::Response,
    std::time::Instant,
    tracing::info,
};

/// Counts an attempt that is sent, if it is not the first of its call; a hedge is also logged.
pub(super) fn count_sent(context: &MeshContext, call: &EntryCall, sent: &SentAttempt) {
    match sent.kind {
        AttemptKind::First => {}
        AttemptKind::Retry => context.metrics.count_retry(),
        AttemptKind::Hedge => {
            context.metrics.count_hedge(HedgeEvent::Started);
            log_hedge(context, call, sent);
        }
    }
}

fn log_hedge(context: &MeshContext, call: &EntryCall, sent: &SentAttempt) {
    if !context.call_log_limiter.try_acquire(Instant::now()) {
        return;
    }
    info!(
        decision = "hedge",
        call = call.call_id,
        route = call.route.name,
        service = %call.service,
        node = sent.node,
        left_ms = call.left().as_millis() as u64,
        "attempt is slow; a second one was sent beside it"
    );
}

/// Counts how the hedges of an answered call ended, and logs the call if it was late or took further attempts.
pub(super) fn record_answer(
    context: &MeshContext,
    call: &EntryCall,
    response: &Response<WholeBody>,
    ledger: &AttemptLedger,
) {
    let is_hedge = |sent: &&SentAttempt| sent.kind == AttemptKind::Hedge;
    for hedge in ledger.sent().iter().filter(is_hedge) {
        match hedge.state {
            AttemptState::Answered => context.metrics.count_hedge(HedgeEvent::Won),
            AttemptState::Cancelled => context.metrics.count_hedge(HedgeEvent::Cancelled),
            _ => {}
        }
    }
    let elapsed = call.started.elapsed();
    let is_notable = elapsed > call.route.latency_objective || ledger.sent().len() > 1;
    if !is_notable || !context.call_log_limiter.try_acquire(Instant::now()) {
        return;
    }
    info!(
        decision = "answer",
        call = call.call_id,
        route = call.route.name,
        node = ledger.answered().map(|sent| sent.node.as_str()),
        status = response.status().as_u16(),
        asked = ledger.sent().len(),
        arrivals = ledger.arrivals(),
        hedges = ledger.sent().iter().filter(is_hedge).count(),
        elapsed_ms = elapsed.as_millis() as u64,
        config_version = call.config_version,
        "call answered late or after further attempts"
    );
}

/// Logs that no attempt sent so far has succeeded and another may follow.
pub(super) fn record_failure(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
    progress: &CallProgress,
) {
    if !context.call_log_limiter.try_acquire(Instant::now()) {
        return;
    }
    info!(
        decision = "retry",
        call = call.call_id,
        route = call.route.name,
        service = %call.service,
        node = target.node,
        reason = %progress.last_reason,
        arrivals = progress.ledger.arrivals(),
        left_ms = call.left().as_millis() as u64,
        "attempt failed; another target is used if one is left"
    );
}
