//! Log lines and metrics from the events of the call path and from the counters of a node.

use {
    super::NodeParts,
    crate::{
        call_events::{BodyEnd, CallEnd, CallHooks, CallOutcome, CallSide, RouteDecision},
        config::{ConfigResource, ConfigSnapshot, TrafficSplit},
        event_log::{RouteDecision as LoggedDecision, log_route},
        node_metrics::{CallResult, ControlChannel, NodeMetrics, VersionShare},
        route_table::FULL_SHARE_PERMILLE,
    },
    std::sync::Arc,
};

/// Returns the callbacks by which the call path logs and counts calls.
pub fn call_hooks(metrics: &NodeMetrics) -> CallHooks {
    let (route_metrics, end_metrics) = (metrics.clone(), metrics.clone());
    CallHooks {
        on_route: Arc::new(move |decision| report_routed_attempt(decision, &route_metrics)),
        on_end: Arc::new(move |end| report_call_end(end, &end_metrics)),
    }
}

fn report_routed_attempt(decision: &RouteDecision, metrics: &NodeMetrics) {
    if decision.attempt > 1 {
        metrics.count_retry();
    }
    log_route(&LoggedDecision {
        key: Some(decision.key.clone()),
        route: Some(decision.route.clone()),
        version: Some(decision.version.clone()),
        version_reason: Some(decision.version_reason),
        target: Some(decision.node.clone()),
        target_reason: Some(decision.target_reason),
        alternatives: decision.passed_over.clone(),
        attempt: decision.attempt,
        refusal: None,
        contract_line: None,
    });
}

fn report_call_end(end: &CallEnd, metrics: &NodeMetrics) {
    if end.side == CallSide::Entry {
        metrics.count_call(metric_outcome(end));
        record_added_latency(end, metrics);
    }
    let Some(refusal) = &end.refusal else {
        return;
    };
    metrics.count_refusal(refusal.reason.clone());
    log_route(&LoggedDecision {
        key: end.key.clone(),
        route: end.route.clone(),
        version: end.version.clone(),
        version_reason: None,
        target: end.node.clone(),
        target_reason: None,
        alternatives: Vec::new(),
        attempt: end.attempts,
        refusal: Some(refusal.reason.to_string()),
        contract_line: refusal.contract_line.as_ref().map(|line| line.line),
    });
}

/// Records the latency that the nodes and the network between them added to a call: the time until the
/// head of the response less the time that the target took for it. Calls with several attempts are left
/// out.
fn record_added_latency(end: &CallEnd, metrics: &NodeMetrics) {
    if let Some(exchange) = end.exchange_time
        && end.attempts == 1
    {
        metrics.record_added_latency(end.head_latency.saturating_sub(exchange));
    }
}

fn metric_outcome(end: &CallEnd) -> CallResult {
    match (&end.refusal, end.body) {
        (None, BodyEnd::Whole) => CallResult::Answered,
        (None, _) => CallResult::Unknown,
        (Some(refusal), _) => match refusal.outcome {
            CallOutcome::NotRun => CallResult::NotRun,
            CallOutcome::Unknown => CallResult::Unknown,
            CallOutcome::Failed => CallResult::Failed,
        },
    }
}

/// Returns a function that updates the metrics that are read from the gossip counters and the
/// configuration.
pub fn metrics_updater(parts: &NodeParts) -> impl FnMut() + Send + 'static {
    let parts = parts.clone();
    let (mut received, mut sent) = (ControlBytes::default(), ControlBytes::default());
    move || {
        let counters = parts.gossip.counters();
        let (gossip_bytes, sync_bytes) = (
            counters.packet_bytes_in.get(),
            counters.frame_bytes_in.get(),
        );
        let increase = received.replace_totals(gossip_bytes, sync_bytes);
        parts
            .metrics
            .add_control_received(ControlChannel::Gossip, increase.gossip);
        parts
            .metrics
            .add_control_received(ControlChannel::Sync, increase.sync);
        let (gossip_bytes, sync_bytes) = (
            counters.packet_bytes_out.get(),
            counters.frame_bytes_out.get(),
        );
        let increase = sent.replace_totals(gossip_bytes, sync_bytes);
        parts
            .metrics
            .add_control_sent(ControlChannel::Gossip, increase.gossip);
        parts
            .metrics
            .add_control_sent(ControlChannel::Sync, increase.sync);
        let snapshot = parts.board.gate.current();
        parts
            .metrics
            .set_version_shares(own_service_shares(&parts, &snapshot));
    }
}

/// Total of control bytes in one direction, by channel.
#[derive(Clone, Copy, Debug, Default)]
struct ControlBytes {
    gossip: u64,
    sync: u64,
}

impl ControlBytes {
    /// Replaces the totals and returns the increase.
    fn replace_totals(&mut self, gossip: u64, sync: u64) -> ControlBytes {
        let increase = ControlBytes {
            gossip: gossip.saturating_sub(self.gossip),
            sync: sync.saturating_sub(self.sync),
        };
        *self = ControlBytes { gossip, sync };
        increase
    }
}

/// Returns the traffic shares of the versions of the own target's service; empty without a target. The
/// shares of all services would be 750 time series on each node.
fn own_service_shares(parts: &NodeParts, snapshot: &ConfigSnapshot) -> Vec<VersionShare> {
    let Some(record) = parts.target.record() else {
        return Vec::new();
    };
    let name = format!("split/{}", record.key);
    match snapshot.resources.get(&name).map(|entry| &entry.resource) {
        Some(ConfigResource::Split(split)) => split_shares(split),
        _ => Vec::new(),
    }
}

fn split_shares(split: &TrafficSplit) -> Vec<VersionShare> {
    let candidate = split.current_move.as_ref().map(|current| VersionShare {
        key: split.key.clone(),
        version: current.candidate.clone(),
        permille: split.candidate_permille,
    });
    let stable = VersionShare {
        key: split.key.clone(),
        version: split.stable.clone(),
        permille: FULL_SHARE_PERMILLE - split.candidate_permille,
    };
    let distinct_candidate = candidate.filter(|share| share.version != split.stable);
    std::iter::once(stable).chain(distinct_candidate).collect()
}
