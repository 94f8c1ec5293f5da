//! Turns events of the call path and the tables into log lines and metrics.

use {
    super::NodeParts,
    crate::{
        call_events::{BodyEnd, CallEnd, CallHooks, CallOutcome, CallSide, RouteDecision},
        config::{ConfigResource, ConfigSnapshot, TrafficSplit},
        event_log::{RouteDecision as LoggedDecision, log_route},
        node_metrics::{CallOutcome as CountedOutcome, ControlChannel, NodeMetrics, VersionShare},
        route_table::FULL_SHARE_PERMILLE,
    },
    std::sync::Arc,
};

/// Returns the hooks that log and count calls.
pub fn call_hooks(metrics: &NodeMetrics) -> CallHooks {
    let (route_metrics, end_metrics) = (metrics.clone(), metrics.clone());
    CallHooks {
        on_route: Arc::new(move |decision| report_route(decision, &route_metrics)),
        on_end: Arc::new(move |end| report_end(end, &end_metrics)),
    }
}

fn report_route(decision: &RouteDecision, metrics: &NodeMetrics) {
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

fn report_end(end: &CallEnd, metrics: &NodeMetrics) {
    if end.side == CallSide::Entry {
        metrics.count_call(counted_outcome(end));
        record_added(end, metrics);
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

/// Records the part of a call's time that its nodes and the network between them added.
fn record_added(end: &CallEnd, metrics: &NodeMetrics) {
    if let Some(exchange) = end.exchange_time
        && end.attempts == 1
    {
        metrics.record_added_latency(end.head_latency.saturating_sub(exchange));
    }
}

fn counted_outcome(end: &CallEnd) -> CountedOutcome {
    match (&end.refusal, end.body) {
        (None, BodyEnd::Whole) => CountedOutcome::Answered,
        (None, _) => CountedOutcome::Unknown,
        (Some(refusal), _) => match refusal.outcome {
            CallOutcome::NotRun => CountedOutcome::NotRun,
            CallOutcome::Unknown => CountedOutcome::Unknown,
            CallOutcome::Failed => CountedOutcome::Failed,
        },
    }
}

/// Returns a function that brings the metrics which mirror tables and counters up to date.
pub fn report_metrics(parts: &NodeParts) -> impl FnMut() + Send + 'static {
    let parts = parts.clone();
    let (mut received, mut sent) = (ControlBytes::default(), ControlBytes::default());
    move || {
        let counters = parts.gossip.counters();
        let (packets, frames) = (
            counters.packet_bytes_in.get(),
            counters.frame_bytes_in.get(),
        );
        let grown = received.advance(packets, frames);
        parts
            .metrics
            .add_control_received(ControlChannel::Gossip, grown.gossip);
        parts
            .metrics
            .add_control_received(ControlChannel::Sync, grown.sync);
        let (packets, frames) = (
            counters.packet_bytes_out.get(),
            counters.frame_bytes_out.get(),
        );
        let grown = sent.advance(packets, frames);
        parts
            .metrics
            .add_control_sent(ControlChannel::Gossip, grown.gossip);
        parts
            .metrics
            .add_control_sent(ControlChannel::Sync, grown.sync);
        let snapshot = parts.board.gate.current();
        parts
            .metrics
            .set_version_shares(version_shares(&parts, &snapshot));
    }
}

/// Control bytes counted so far in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct ControlBytes {
    gossip: u64,
    sync: u64,
}

impl ControlBytes {
    /// Takes new totals and returns by how much they grew.
    fn advance(&mut self, gossip: u64, sync: u64) -> ControlBytes {
        let grown = ControlBytes {
            gossip: gossip.saturating_sub(self.gossip),
            sync: sync.saturating_sub(self.sync),
        };
        *self = ControlBytes { gossip, sync };
        grown
    }
}

/// Returns the shares of the own target's service; shares of all services would be 750 series on each node.
fn version_shares(parts: &NodeParts, snapshot: &ConfigSnapshot) -> Vec<VersionShare> {
    let Some(record) = parts.target.record() else {
        return Vec::new();
    };
    let name = format!("split/{}", record.key);
    match snapshot.resources.get(&name).map(|entry| &entry.resource) {
        Some(ConfigResource::Split(split)) => shares_of(split),
        _ => Vec::new(),
    }
}

fn shares_of(split: &TrafficSplit) -> Vec<VersionShare> {
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
    let other = candidate.filter(|share| share.version != split.stable);
    std::iter::once(stable).chain(other).collect()
}
