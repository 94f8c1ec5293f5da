//! Metrics exported by a node and the JSON lines of its event log.

use {
    parking_lot::Mutex,
    poplarwing::{
        config::{MovePhase, ServiceKey},
        event_log::{
            CallSampler, MoveDecision, RouteDecision, json_subscriber, log_move, log_route,
        },
        node_metrics::{
            CallResult, ControlChannel, HedgeEvent, MoveResult, NodeMetrics, VersionShare,
        },
        settings::LogSection,
    },
    std::{io, sync::Arc, time::Duration},
};

fn ledger_key() -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
    }
}

fn version_share(version: &str, permille: u32) -> VersionShare {
    VersionShare {
        key: ledger_key(),
        version: version.to_owned(),
        permille,
    }
}

/// Guards against metrics that are missing from the scrape, wrongly labelled or not documented.
#[test]
fn every_metric_is_exported_and_documented() {
    let metrics = NodeMetrics::new().expect("the exporter starts");
    metrics.record_convergence(Duration::from_secs(3));
    metrics.add_control_received(ControlChannel::Gossip, 70);
    metrics.add_control_sent(ControlChannel::Sync, 30);
    metrics.count_move(MoveResult::InTime);
    metrics.count_move(MoveResult::TakenBack);
    metrics.record_added_latency(Duration::from_micros(400));
    metrics.count_call(CallResult::NotRun);
    metrics.count_retry();
    metrics.count_hedge(HedgeEvent::Won);
    metrics.count_refusal("draining");
    metrics.set_config_version(7);
    let text = metrics.render();
    let expected = [
        "poplarwing_convergence_seconds_bucket{le=\"4\"} 1",
        "poplarwing_control_received_bytes_total{channel=\"gossip\"} 70",
        "poplarwing_control_sent_bytes_total{channel=\"sync\"} 30",
        "poplarwing_moves_total{result=\"in_time\"} 1",
        "poplarwing_moves_total{result=\"taken_back\"} 1",
        "poplarwing_added_latency_seconds_bucket{le=\"0.0003\"} 0",
        "poplarwing_added_latency_seconds_bucket{le=\"0.00045\"} 1",
        "poplarwing_calls_total{outcome=\"not_run\"} 1",
        "poplarwing_retries_total 1",
        "poplarwing_hedges_total{event=\"won\"} 1",
        "poplarwing_refusals_total{reason=\"draining\"} 1",
        "poplarwing_config_version 7",
    ];
    for line in expected {
        assert!(
            text.lines().any(|found| found == line),
            "the scrape lacks {line}:\n{text}"
        );
    }
    let operations_page = include_str!("../docs/OPERATIONS.md");
    for line in text.lines().filter_map(|line| line.strip_prefix("# TYPE ")) {
        let name = line.split(' ').next().unwrap_or_default();
        assert!(
            operations_page.contains(&format!("`{name}`")),
            "metric {name} is not documented"
        );
    }
}

/// Guards against a removed version that is still exported with its last share.
#[test]
fn a_removed_version_is_no_longer_exported() {
    let metrics = NodeMetrics::new().expect("the exporter starts");
    metrics.set_version_shares(vec![version_share("v1", 950), version_share("v2", 50)]);
    let before = metrics.render();
    metrics.set_version_shares(vec![version_share("v2", 1000)]);
    let after = metrics.render();
    assert!(
        before.contains("service=\"ledger\",version=\"v1\"} 950"),
        "{before}"
    );
    assert!(!after.contains("version=\"v1\""), "{after}");
    assert!(after.contains("version=\"v2\"} 1000"), "{after}");
}

/// Guards against a call sampler that misses the configured share, or picks only the first of each thousand
/// calls.
#[test]
fn sampled_calls_match_the_share_and_are_evenly_spaced() {
    let sampled_calls = |permille: u32| -> Vec<usize> {
        let sampler = CallSampler::new(permille);
        (0..1000).filter(|_| sampler.take()).collect()
    };
    assert_eq!(sampled_calls(0).len(), 0);
    assert_eq!(sampled_calls(1000).len(), 1000);
    let sample = sampled_calls(10);
    assert_eq!(sample.len(), 10);
    assert!(sample.windows(2).all(|pair| pair[1] - pair[0] == 100));
}

/// Log writer that keeps all output in memory.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn capture_log(action: impl FnOnce()) -> Vec<serde_json::Value> {
    let section = LogSection {
        level: "info".to_owned(),
        call_sample_permille: 1000,
    };
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = json_subscriber(&section, move || writer.clone()).expect("the level is valid");
    tracing::subscriber::with_default(subscriber, action);
    let bytes = buffer.0.lock().clone();
    let text = String::from_utf8(bytes).expect("the log is text");
    let parse = |line: &str| serde_json::from_str(line).expect("a line is JSON");
    text.lines().map(parse).collect()
}

/// Guards against routing and move decisions that are logged without their reason or their alternatives.
#[test]
fn decisions_are_logged_with_reason_and_alternatives() {
    let refused_call = RouteDecision {
        key: Some(ledger_key()),
        route: Some("record".to_owned()),
        version: None,
        version_reason: None,
        target: None,
        target_reason: None,
        alternatives: vec!["n1".to_owned(), "n2".to_owned()],
        attempt: 2,
        refusal: Some("rate-limit".to_owned()),
        contract_line: Some(12),
    };
    let move_step = MoveDecision {
        key: ledger_key(),
        move_id: 4,
        candidate: "v2".to_owned(),
        phase: MovePhase::TakenBack,
        candidate_permille: 0,
        reason: "12 of 40 calls failed".to_owned(),
        alternatives: vec!["stay in canary".to_owned()],
    };
    let lines = capture_log(|| {
        log_route(&refused_call);
        log_move(&move_step);
    });
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0]["reason"], "rate-limit");
    assert_eq!(lines[0]["contract_line"], 12);
    assert_eq!(lines[0]["service"], "kestrel/ledger");
    assert_eq!(lines[0]["alternatives"], "n1, n2");
    assert_eq!(lines[1]["phase"], "taken back");
    assert_eq!(lines[1]["reason"], "12 of 40 calls failed");
}
