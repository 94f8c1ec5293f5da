//! Attempts of a call: retries and hedges until one succeeds or no further attempt is allowed.

use {
    super::{
        NOT_READY_RETRY_AFTER,
        choice::{ChoiceError, choose_target},
        history::AttemptHistory,
    },
    crate::{
        membership::TargetEndpoint,
        mesh::{
            attempt::{attempt, hop_metadata},
            context::MeshContext,
            entry_call::EntryCall,
            refusal::{ExecutionStatus, MeshRefusal, WholeBody},
            startup_wait::wait_for_target,
        },
    },
    http::{Response, StatusCode},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
    tracing::info,
};

/// Shortest and longest `Retry-After` sent to a refused caller.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1000));

/// Attempts at most for one call, counting those that a node refused.
const MAX_ATTEMPTS: u32 = 8;

/// Fraction of the remaining time after which a second attempt (hedge) is started beside a slow one.
const HEDGE_FRACTION: f64 = 0.5;

/// Reason logged for a hedged attempt.
const SLOW_REASON: &str = "slow";

/// Runs attempts until one succeeds or no further attempt is allowed.
pub(super) async fn run_call(
    context: &Arc<MeshContext>,
    call: &EntryCall,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let mut history = AttemptHistory::default();
    context.budgets.lock().earn(&call.service, Instant::now());
    let first_choice = wait_for_target(
        context,
        call,
        || choose_target(context, call, &mut history),
        ChoiceError::is_final,
    )
    .await;
    let mut first_choice = Some(first_choice);
    loop {
        let chosen = first_choice
            .take()
            .unwrap_or_else(|| choose_target(context, call, &mut history));
        let target = match chosen {
            Ok(target) => target,
            Err(error) => {
                history.refusal.get_or_insert_with(|| error.refusal());
                return final_result(call, history);
            }
        };
        if !context.shutdown.can_end(call.deadline) {
            history.refusal = Some(MeshRefusal::stopping());
            return final_result(call, history);
        }
        history.attempts += 1;
        let ended = attempt_hedged(context, call, &target, &mut history).await;
        match ended {
            Ok(response) if !response.status().is_server_error() => {
                log_answer(context, call, &target, &response, &history);
                return Ok(response);
            }
            Ok(response) => {
                history.record_error(&target, response);
                if !may_retry(context, call, &history, true) {
                    return final_result(call, history);
                }
            }
            Err(refusal) => {
                let arrived = history.record_refusal(&target, refusal);
                if !may_retry(context, call, &history, arrived) {
                    return final_result(call, history);
                }
            }
        }
        let reason = history
            .refusal
            .as_ref()
            .map(|refusal| refusal.reason.as_ref());
        let reason = reason.unwrap_or("server-error");
        record_retry(context, call, &target, reason, history.arrivals);
    }
}

/// Returns whether another attempt may follow. If the last request may have reached a target, this takes one retry
/// from the budget.
fn may_retry(
    context: &MeshContext,
    call: &EntryCall,
    history: &AttemptHistory,
    arrived: bool,
) -> bool {
    let now = Instant::now();
    if now >= call.deadline || history.attempts >= MAX_ATTEMPTS {
        return false;
    }
    if history.may_have_run && !call.route.idempotent {
        return false;
    }
    if !arrived {
        return true;
    }
    history.arrivals < call.route.attempts && context.budgets.lock().spend(&call.service, now)
}

/// Returns the final result of a call when no further attempt is made.
fn final_result(
    call: &EntryCall,
    mut history: AttemptHistory,
) -> Result<Response<WholeBody>, MeshRefusal> {
    if let Some(response) = history.error_response.take() {
        return Ok(response);
    }
    let refusal = history.refusal.take();
    let refusal =
        refusal.unwrap_or_else(|| MeshRefusal::not_run("no-target", NOT_READY_RETRY_AFTER));
    if history.may_have_run && refusal.execution == ExecutionStatus::NotRun {
        return Err(MeshRefusal::unknown(
            StatusCode::BAD_GATEWAY,
            "earlier-attempt-unknown",
        ));
    }
    if refusal.execution == ExecutionStatus::Unknown {
        return Err(refusal);
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

/// Runs an attempt. If it is slow and the route is idempotent, starts a second one (hedge) at another target and
/// returns the first good response.
///
/// The first attempt goes on if the hedge fails, because its target may still be working on the request.
async fn attempt_hedged(
    context: &Arc<MeshContext>,
    call: &EntryCall,
    target: &TargetEndpoint,
    history: &mut AttemptHistory,
) -> Result<Response<WholeBody>, MeshRefusal> {
    let metadata = hop_metadata(context, call, target, history.last_round);
    let running = attempt(context, call, target, &metadata);
    tokio::pin!(running);
    if !call.route.idempotent || history.arrivals + 1 >= call.route.attempts {
        return running.await;
    }
    let hedge_at = Instant::now() + call.left().mul_f64(HEDGE_FRACTION);
    if let Ok(ended) = timeout_at(hedge_at.into(), &mut running).await {
        return ended;
    }
    context
        .target_tracker
        .lock()
        .record_slow(&target.node, Instant::now());
    let Some(second) = choose_hedge(context, call, target, history) else {
        return running.await;
    };
    let metadata = hop_metadata(context, call, &second, history.last_round);
    let hedge = attempt(context, call, &second, &metadata);
    tokio::pin!(hedge);
    tokio::select! {
        ended = &mut running => return ended,
        ended = &mut hedge => match ended {
            Ok(response) if !response.status().is_server_error() => {
                record_retry(context, call, &second, SLOW_REASON, history.arrivals);
                return Ok(response);
            }
            Ok(_) => {
                history.tried.push(second.node.clone());
                history.arrivals += 1;
            }
            Err(refusal) => drop(history.record_refusal(&second, refusal)),
        },
    }
    running.await
}

/// Selects the target of a hedged attempt; takes one retry from the budget.
fn choose_hedge(
    context: &MeshContext,
    call: &EntryCall,
    slow_target: &TargetEndpoint,
    history: &AttemptHistory,
) -> Option<TargetEndpoint> {
    if !context.shutdown.can_end(call.deadline) {
        return None;
    }
    let mut excluded = AttemptHistory {
        tried: history.tried.clone(),
        full: history.full.clone(),
        drained: history.drained.clone(),
        ..AttemptHistory::default()
    };
    excluded.full.push(slow_target.node.clone());
    let second = choose_target(context, call, &mut excluded).ok()?;
    let is_other = second.node != slow_target.node && !excluded.last_round;
    let now = Instant::now();
    (is_other && context.budgets.lock().spend(&call.service, now)).then_some(second)
}

fn log_answer(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
    response: &Response<WholeBody>,
    history: &AttemptHistory,
) {
    let elapsed = call.started.elapsed();
    let is_notable = elapsed > call.route.latency_objective || history.attempts > 1;
    if is_notable && context.call_log_limiter.try_acquire(Instant::now()) {
        info!(
            decision = "answer",
            call = call.call_id,
            route = call.route.name,
            node = target.node,
            status = response.status().as_u16(),
            asked = history.attempts,
            elapsed_ms = elapsed.as_millis() as u64,
            config_version = call.config_version,
            "call answered late or after a retry"
        );
    }
}

/// Counts and logs a retry: after an attempt has failed, with its target and before the next is selected, or after a
/// hedge has answered, with the target of the hedge.
fn record_retry(
    context: &MeshContext,
    call: &EntryCall,
    target: &TargetEndpoint,
    reason: &str,
    arrivals: u32,
) {
    context.metrics.count_retry();
    if !context.call_log_limiter.try_acquire(Instant::now()) {
        return;
    }
    info!(
        decision = "retry",
        call = call.call_id,
        route = call.route.name,
        service = %call.service,
        node = target.node,
        reason,
        arrivals,
        left_ms = call.left().as_millis() as u64,
        "attempt failed or was slow; another target is used if one is left"
    );
}
