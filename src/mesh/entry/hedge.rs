//! One attempt of a call, with a second one (hedge) beside it at another target if it is slow.

use {
    super::{
        attempts::{SpendRetry, record_sent},
        choice::choose_hedge_target,
        progress::CallProgress,
    },
    crate::{
        attempts::attempt_ledger::{AttemptId, AttemptState},
        membership::TargetEndpoint,
        mesh::{
            attempt::{attempt, hop_metadata},
            context::MeshContext,
            entry_call::EntryCall,
            refusal::WholeBody,
            retry_share::RetryShares,
        },
    },
    http::Response,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// Fraction of the remaining time after which a hedge is started whatever the route's usual time is.
const LATE_HEDGE_FRACTION: f64 = 0.5;

/// When a hedge may be started, and under which conditions.
struct HedgeTiming {
    at: Instant,
    /// Part of the budget that pays for it.
    spend: SpendRetry,
    /// Whether the target of the hedge must be expected to be idle enough.
    needs_room: bool,
    /// Whether the attempt counts as a failure of its target when the hedge is due.
    counts_as_failure: bool,
}

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
    let started = Instant::now();
    let expected = expected_time(context, call, target);
    let response = run_pair(context, call, target, id, progress, expected).await;
    if let Some(expected) = expected {
        record_time(context, call, progress, id, expected, started.elapsed());
    }
    response
}

async fn run_pair(
    context: &Arc<MeshContext>,
    call: &EntryCall,
    target: &TargetEndpoint,
    id: AttemptId,
    progress: &mut CallProgress,
    expected: Option<Duration>,
) -> Option<Response<WholeBody>> {
    let metadata = hop_metadata(context, call, target, progress.ledger.is_last_round());
    let running = attempt(context, call, target, &metadata);
    tokio::pin!(running);
    let mut started_hedge = None;
    let mut counted_as_failure = false;
    let timings = hedge_timings(context, call, progress, expected);
    for timing in timings.into_iter().flatten() {
        if let Ok(ended) = timeout_at(timing.at.into(), &mut running).await {
            return progress.record_end(id, target, ended);
        }
        if timing.counts_as_failure {
            let mut tracker = context.target_tracker.lock();
            tracker.record_slow(&target.node, Instant::now());
            counted_as_failure = true;
        }
        started_hedge = start_hedge(context, call, progress, &timing);
        if started_hedge.is_some() {
            break;
        }
    }
    let Some((second, hedge_id)) = started_hedge else {
        return progress.record_end(id, target, running.await);
    };
    let metadata = hop_metadata(context, call, &second, progress.ledger.is_last_round());
    let hedge = attempt(context, call, &second, &metadata);
    tokio::pin!(hedge);
    tokio::select! {
        ended = &mut running => match progress.record_end(id, target, ended) {
            Some(response) => Some(response),
            None => progress.record_end(hedge_id, &second, hedge.await),
        },
        ended = &mut hedge => match progress.record_end(hedge_id, &second, ended) {
            Some(response) => {
                if !counted_as_failure {
                    let mut tracker = context.target_tracker.lock();
                    tracker.record_overtaken(&target.node, Instant::now());
                }
                Some(response)
            }
            None => progress.record_end(id, target, running.await),
        },
    }
}

/// Returns when hedges may be started beside the attempt that runs, in this order; none if no other attempt is allowed.
fn hedge_timings(
    context: &MeshContext,
    call: &EntryCall,
    progress: &CallProgress,
    expected: Option<Duration>,
) -> [Option<HedgeTiming>; 2] {
    if !progress.ledger.allows_another() {
        return [None, None];
    }
    let now = Instant::now();
    let late = HedgeTiming {
        at: now + call.left().mul_f64(LATE_HEDGE_FRACTION),
        spend: RetryShares::spend,
        needs_room: false,
        counts_as_failure: true,
    };
    let route = &call.route.name;
    let delay = expected.and_then(|expected| context.hedge_delays.lock().delay(route, expected));
    let early = delay.map(|delay| HedgeTiming {
        at: now + delay,
        spend: RetryShares::spend_spare,
        needs_room: true,
        counts_as_failure: false,
    });
    [early.filter(|early| early.at < late.at), Some(late)]
}

/// Selects the target of a hedge and records it as sent.
fn start_hedge(
    context: &MeshContext,
    call: &EntryCall,
    progress: &mut CallProgress,
    timing: &HedgeTiming,
) -> Option<(TargetEndpoint, AttemptId)> {
    if !context.shutdown.can_end(call.deadline) {
        return None;
    }
    let target = choose_hedge_target(context, call, progress, timing.needs_room)?;
    let id = record_sent(context, call, progress, &target, timing.spend)?;
    Some((target, id))
}

/// Returns the time that the call is expected to take at a target; none if the operator allows no hedges of slow
/// attempts.
fn expected_time(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
) -> Option<Duration> {
    if context.settings.hedge_share <= 0.0 {
        return None;
    }
    let tracker = context.target_tracker.lock();
    tracker.expected_time(&target.node, &call.route.name)
}

/// Records the time of an attempt that answered, or was given up because its hedge did. Other ends say little about the
/// time that the route takes.
fn record_time(
    context: &MeshContext,
    call: &EntryCall,
    progress: &CallProgress,
    id: AttemptId,
    expected: Duration,
    elapsed: Duration,
) {
    let state = progress.ledger.sent()[id].state;
    if matches!(state, AttemptState::Answered | AttemptState::Cancelled) {
        let mut delays = context.hedge_delays.lock();
        delays.record(&call.route.name, expected, elapsed);
    }
}
