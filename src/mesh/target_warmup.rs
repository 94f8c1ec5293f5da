//! What this node knows of the warm-up of the target beside it, and the health checks that find it out.
//!
//! Without a `WarmupLimit` in the configuration, nothing here has an effect.

use {
    super::{
        context::MeshContext,
        health_check::{CheckOutcome, HealthReport, check_health, health_path},
        registry::TargetReport,
    },
    crate::{
        balancing::warmup_pace::{PaceLimit, WarmupPace},
        retry_budget::AttemptOutcome,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
    tracing::{info, warn},
};

/// First and longest time between two health checks of a target in doubt; doubles with each check.
const CHECK_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Shortest time between the health checks of a target that is not in doubt.
const CHECK_GAP: Duration = Duration::from_millis(250);

/// Time between two looks for a target in doubt that is not in use, or whose pace has no room for a check.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

impl MeshContext {
    /// Applies the limit of cold targets of the configuration in force to the target beside this node.
    pub fn apply_warmup_limit(&self) {
        let config = self.board.gate.current();
        let spec = config.backend(&self.settings.service);
        let limit = spec.and_then(|spec| spec.warmup).map(|warmup| {
            let bounds = &self.settings.bounds.warmup;
            PaceLimit::new(
                warmup.rate.per_second(),
                bounds.overage,
                bounds.slack,
                warmup.duration,
            )
        });
        self.queue.set_pace_limit(limit);
    }

    /// Limits the target like a cold one until a health check, which is made at once, tells how cold it is. `reason` is
    /// the cause of the doubt, for the log.
    pub fn doubt_target(&self, reason: &'static str) {
        let raised = self.queue.update_pace(WarmupPace::raise_doubt);
        if raised == Some(true) {
            info!(
                decision = "warmup",
                outcome = "in doubt",
                reason,
                "target may have become cold; it is limited until a health check tells"
            );
        }
    }

    /// Takes over the warm-up time of a heartbeat. `is_new_start` tells that the target has been started since the
    /// heartbeat before.
    pub fn apply_heartbeat_warmup(&self, report: &TargetReport, is_new_start: bool) {
        let left = report.warmup;
        let limit = self.queue.update_pace(|pace, _| pace.limit());
        let Some(limit) = limit else {
            return;
        };
        if left > limit.duration() {
            warn!(
                decision = "warmup",
                instance = report.instance,
                found_ms = left.as_millis() as u64,
                allowed_ms = limit.duration().as_millis() as u64,
                "warm-up time of a heartbeat is longer than the configuration allows; cut to that"
            );
        }
        if left.is_zero() && is_new_start {
            self.doubt_target("new start");
        }
        let became_cold = self
            .queue
            .update_pace(|pace, now| pace.report_cold(left, now));
        if became_cold == Some(true) {
            log_cold("heartbeat", left.min(limit.duration()));
        }
    }

    /// Takes over what a health check tells.
    pub fn apply_health_report(&self, report: &HealthReport) {
        let Some(left) = report.warmup else {
            match &report.outcome {
                CheckOutcome::Failed(error) if error.outcome == AttemptOutcome::NotRun => {
                    self.doubt_target("unreachable");
                }
                CheckOutcome::TimedOut => {}
                _ => drop(self.queue.update_pace(WarmupPace::record_contact)),
            }
            return;
        };
        let changed = self.queue.update_pace(|pace, now| {
            let was_doubted = pace.is_in_doubt(now);
            let was_cold = pace.cold_left(now).is_some();
            pace.confirm_cold(left, now);
            let cold_left = pace.cold_left(now);
            (was_doubted || was_cold != cold_left.is_some()).then_some(cold_left)
        });
        match changed.flatten() {
            Some(Some(left)) => log_cold("health check", left),
            Some(None) => info!(
                decision = "warmup",
                outcome = "warm",
                reason = "health check",
                "target is warm"
            ),
            None => {}
        }
    }
}

fn log_cold(reason: &'static str, left: Duration) {
    info!(
        decision = "warmup",
        outcome = "cold",
        reason,
        left_ms = left.as_millis() as u64,
        "target is cold; calls to it are limited"
    );
}

/// Sends health checks to a target that is in doubt until one tells how cold it is, and one to a target that has broken
/// off an exchange.
pub async fn check_doubted_target(context: Arc<MeshContext>) {
    loop {
        context.queue.check_wanted().await;
        let mut retry_after = CHECK_RANGE.0;
        loop {
            let report = check_when_possible(&context).await;
            context.apply_health_report(&report);
            if !context.queue.is_in_doubt() {
                break;
            }
            sleep(retry_after).await;
            retry_after = (retry_after * 2).min(CHECK_RANGE.1);
        }
        sleep(CHECK_GAP).await;
    }
}

/// Sends a health check once the target is in use, its failure domain is not drained and its pace has room. A response of another instance than the one in
/// use counts as none.
async fn check_when_possible(context: &MeshContext) -> HealthReport {
    loop {
        let instance = {
            let registry = context.registry.lock();
            registry.current().map(|report| report.instance.clone())
        };
        let path = health_path(context);
        if let (Some(instance), Some(path)) = (instance, path)
            && !context.is_domain_drained()
            && context.queue.try_check()
        {
            let report = check_health(context, path).await;
            return match &report.outcome {
                CheckOutcome::Healthy(answering) if *answering != instance => HealthReport {
                    warmup: None,
                    ..report
                },
                _ => report,
            };
        }
        sleep(LOOK_PERIOD).await;
    }
}

/// Logs when the target has become warm by the time that it told, and keeps the metric of cold targets.
#[derive(Debug, Default)]
pub struct WarmupWatch {
    was_cold: bool,
}

impl WarmupWatch {
    /// Compares the state of the target with that of the last look.
    pub fn look(&mut self, context: &MeshContext) {
        let left = context.queue.update_pace(|pace, now| pace.cold_left(now));
        let Some(left) = left else {
            return;
        };
        context.metrics.set_cold_time(left.unwrap_or_default());
        if self.was_cold && left.is_none() {
            info!(
                decision = "warmup",
                outcome = "warm",
                reason = "time",
                "target is warm; calls to it rise to their full rate"
            );
        }
        self.was_cold = left.is_some();
    }
}
