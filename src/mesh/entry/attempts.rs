//! Attempts of a call: retries until one succeeds or no further attempt is allowed.

use {
    super::{
        NOT_READY_RETRY_AFTER,
        attempt_log::{count_sent, record_answer, record_failure},
        choice::{ChoiceError, choose_target},
        hedge::run_hedged,
        progress::CallProgress,
    },
    crate::{
        attempts::attempt_ledger::AttemptId,
        config::ServiceKey,
        membership::TargetEndpoint,
        mesh::{
            context::MeshContext,
            entry_call::EntryCall,
            refusal::{ExecutionStatus, MeshRefusal, WholeBody},
            retry_share::RetryShares,
            startup_wait::wait_for_target,
        },
    },
    http::{Response, StatusCode},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Shortest and longest `Retry-After` sent to a refused caller.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1000));

/// Runs attempts until one succeeds or no further attempt is allowed.
pub(super) async fn run_call(
    context: &Arc<MeshContext>,
    call: &EntryCall,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let mut progress = CallProgress::new(&call.route);
    context.budgets.lock().earn(&call.service, Instant::now());
    let select = || choose_target(context, call, &mut progress);
    let mut next = wait_for_target(context, call, select, ChoiceError::is_final).await;
    loop {
        let target = match next {
            Ok(target) => target,
            Err(error) => {
                progress.refusal.get_or_insert_with(|| error.refusal());
                break;
            }
        };
        if !context.shutdown.can_end(call.deadline) {
            progress.refusal = Some(MeshRefusal::stopping());
            break;
        }
        let Some(id) = record_sent(context, call, &mut progress, &target, RetryShares::spend)
        else {
            break;
        };
        if let Some(response) = run_hedged(context, call, &target, id, &mut progress).await {
            record_answer(context, call, &response, &progress.ledger);
            return Ok(response);
        }
        if Instant::now() >= call.deadline || !progress.ledger.allows_another() {
            break;
        }
        record_failure(context, call, &target, &progress);
        next = choose_target(context, call, &mut progress);
    }
    final_result(call, progress)
}

/// Takes a retry of a service from a part of the budget; returns whether there was one.
pub(super) type SpendRetry = fn(&mut RetryShares, &ServiceKey, Instant) -> bool;

/// Records in the ledger that an attempt is sent to a target; none if it must not be sent, also because the budget has
/// no retry left.
pub(super) fn record_sent(
    context: &MeshContext,
    call: &EntryCall,
    progress: &mut CallProgress,
    target: &TargetEndpoint,
    spend: SpendRetry,
) -> Option<AttemptId> {
    let pay = || {
        let mut budgets = context.budgets.lock();
        spend(&mut budgets, &call.service, Instant::now())
    };
    let id = progress.ledger.send(&target.node, pay)?;
    count_sent(context, call, &progress.ledger.sent()[id]);
    Some(id)
}

/// Returns the final result of a call when no further attempt is made.
fn final_result(
    call: &EntryCall,
    mut progress: CallProgress,
) -> Result<Response<WholeBody>, MeshRefusal> {
    if let Some(response) = progress.error_response.take() {
        return Ok(response);
    }
    let refusal = progress.refusal.take();
    let refusal =
        refusal.unwrap_or_else(|| MeshRefusal::not_run("no-target", NOT_READY_RETRY_AFTER));
    if refusal.execution == ExecutionStatus::Unknown {
        return Err(refusal);
    }
    if progress.ledger.may_have_run() {
        return Err(MeshRefusal::unknown(
            StatusCode::BAD_GATEWAY,
            "earlier-attempt-unknown",
        ));
    }
    let left = call.deadline.saturating_duration_since(Instant::now());
    let (shortest, longest) = RETRY_AFTER_RANGE;
    let wait = refusal.retry_after.unwrap_or(shortest);
    let wait = wait.clamp(shortest, longest).min(left / 3);
    Err(MeshRefusal {
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after: Some(wait),
        ..refusal
    })
}
