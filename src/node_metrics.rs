//! Instruments of a node and their text for a Prometheus scrape.

use {
    crate::{
        call_events::ReasonCode,
        config::ServiceKey,
        ids::{ConfigVersion, VersionName},
    },
    derive_more::Display,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
    },
    opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider},
    parking_lot::Mutex,
    prometheus::{Encoder, Registry, TextEncoder},
    std::{sync::Arc, time::Duration},
    thiserror::Error,
};

/// Name of the meter.
const METER_NAME: &str = "poplarwing";

/// Buckets of the convergence time in seconds; the fleet is to converge within 12 s.
const CONVERGENCE_BOUNDS: [f64; 10] = [0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 12.0, 30.0, 120.0];

/// Buckets of the latency added to a call in seconds; 99 in 100 calls are to stay below 0.63 ms.
const ADDED_LATENCY_BOUNDS: [f64; 10] = [
    0.000_05, 0.000_1, 0.000_2, 0.000_3, 0.000_45, 0.000_63, 0.001, 0.002, 0.01, 0.1,
];

/// Buckets of the latency of a call in seconds, from a refusal to the longest deadline.
const CALL_LATENCY_BOUNDS: [f64; 11] =
    [0.005, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Metrics that could not be set up or read.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The exporter could not be built.
    #[error("set-up of the metrics exporter: {0}")]
    Exporter(#[from] OTelSdkError),
}

/// Kind of control traffic.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ControlChannel {
    /// Gossip over UDP.
    #[display("gossip")]
    Gossip,
    /// Synchronisation over TCP.
    #[display("sync")]
    Sync,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallOutcome {
    /// The target answered completely.
    #[display("answered")]
    Answered,
    /// The call was refused and did not run.
    #[display("not_run")]
    NotRun,
    /// The call may have run.
    #[display("unknown")]
    Unknown,
    /// A node answered with a complete error of its own.
    #[display("failed")]
    Failed,
}

/// How a move ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum MoveResult {
    /// The candidate took over by the time set.
    #[display("in_time")]
    InTime,
    /// The candidate took over after the time set.
    #[display("late")]
    Late,
    /// The move was taken back.
    #[display("taken_back")]
    TakenBack,
}

/// Share of a service's calls that a version receives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionShare {
    /// Service.
    pub key: ServiceKey,
    /// Version of the service.
    pub version: VersionName,
    /// Share in per mille.
    pub permille: u32,
}

/// Instruments of a node; clones share them.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    registry: Registry,
    // The instruments stop counting when the provider is dropped.
    _provider: SdkMeterProvider,
    shares: Arc<Mutex<Vec<VersionShare>>>,
    convergence: Histogram<f64>,
    control_in: Counter<u64>,
    control_out: Counter<u64>,
    moves: Counter<u64>,
    added_latency: Histogram<f64>,
    call_latency: Histogram<f64>,
    calls: Counter<u64>,
    retries: Counter<u64>,
    refusals: Counter<u64>,
    config_version: Gauge<u64>,
}

impl NodeMetrics {
    /// Returns new instruments with a registry of their own.
    pub fn new() -> Result<NodeMetrics, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER_NAME);
        let shares = Arc::new(Mutex::new(Vec::new()));
        observe_shares(&meter, shares.clone());
        Ok(NodeMetrics {
            registry,
            _provider: provider,
            shares,
            convergence: convergence_histogram(&meter),
            control_in: control_counter(&meter, "poplarwing_control_received"),
            control_out: control_counter(&meter, "poplarwing_control_sent"),
            moves: counter(&meter, "poplarwing_moves", "Moves ended, by result."),
            added_latency: latency_histogram(&meter),
            call_latency: call_histogram(&meter),
            calls: counter(&meter, "poplarwing_calls", "Calls ended, by outcome."),
            retries: counter(&meter, "poplarwing_retries", "Calls sent again."),
            refusals: counter(&meter, "poplarwing_refusals", "Calls refused, by reason."),
            config_version: version_gauge(&meter),
        })
    }

    /// Records the time from the acceptance of a configuration until this node put it in force.
    pub fn record_convergence(&self, elapsed: Duration) {
        self.convergence.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the time from the arrival of a call to its answer, by outcome.
    pub fn record_call_latency(&self, elapsed: Duration, outcome: CallOutcome) {
        let labels = [KeyValue::new("outcome", outcome.to_string())];
        self.call_latency.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts control bytes received.
    pub fn add_control_received(&self, channel: ControlChannel, bytes: u64) {
        self.control_in.add(bytes, &[channel_label(channel)]);
    }

    /// Counts control bytes sent.
    pub fn add_control_sent(&self, channel: ControlChannel, bytes: u64) {
        self.control_out.add(bytes, &[channel_label(channel)]);
    }

    /// Counts a move that this node brought to its end.
    pub fn count_move(&self, result: MoveResult) {
        self.moves
            .add(1, &[KeyValue::new("result", result.to_string())]);
    }

    /// Records the part of a call's time that was spent in this node and not at the target.
    pub fn record_added_latency(&self, elapsed: Duration) {
        self.added_latency.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a call that ended for its caller.
    pub fn count_call(&self, outcome: CallOutcome) {
        self.calls
            .add(1, &[KeyValue::new("outcome", outcome.to_string())]);
    }

    /// Counts a call that was sent again.
    pub fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a refusal by its code; codes are constants, so the number of series stays small.
    pub fn count_refusal(&self, reason: impl Into<ReasonCode>) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.into())]);
    }

    /// Replaces the shares of all versions, so that versions that are gone leave no series behind.
    pub fn set_version_shares(&self, shares: Vec<VersionShare>) {
        *self.shares.lock() = shares;
    }

    /// Sets the configuration version in force.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.config_version.record(version, &[]);
    }

    /// Returns all instruments in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        match TextEncoder::new().encode(&families, &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# encoding of the metrics failed: {error}\n"),
        }
    }
}

fn channel_label(channel: ControlChannel) -> KeyValue {
    KeyValue::new("channel", channel.to_string())
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    let builder = meter.u64_counter(name).with_description(description);
    builder.build()
}

fn control_counter(meter: &Meter, name: &'static str) -> Counter<u64> {
    let builder = meter.u64_counter(name).with_unit("By");
    builder
        .with_description("Control bytes, by channel, without headers of IP, UDP and TCP.")
        .build()
}

fn convergence_histogram(meter: &Meter) -> Histogram<f64> {
    let builder = meter.f64_histogram("poplarwing_convergence").with_unit("s");
    builder
        .with_description("Time from the acceptance of a configuration until it was in force here.")
        .with_boundaries(CONVERGENCE_BOUNDS.to_vec())
        .build()
}

fn call_histogram(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("poplarwing_call_latency")
        .with_description("Time from the arrival of a call to its answer.")
        .with_unit("s")
        .with_boundaries(CALL_LATENCY_BOUNDS.to_vec())
        .build()
}

fn latency_histogram(meter: &Meter) -> Histogram<f64> {
    let builder = meter
        .f64_histogram("poplarwing_added_latency")
        .with_unit("s");
    builder
        .with_description("Time that this node added to a call.")
        .with_boundaries(ADDED_LATENCY_BOUNDS.to_vec())
        .build()
}

fn version_gauge(meter: &Meter) -> Gauge<u64> {
    let builder = meter.u64_gauge("poplarwing_config_version");
    builder
        .with_description("Configuration version in force on this node.")
        .build()
}

fn observe_shares(meter: &Meter, shares: Arc<Mutex<Vec<VersionShare>>>) {
    let builder = meter.u64_observable_gauge("poplarwing_version_share_permille");
    builder
        .with_description("Share of a service's calls that a version receives, in per mille.")
        .with_callback(move |observer| {
            for share in shares.lock().iter() {
                let labels = [
                    KeyValue::new("customer", share.key.customer.clone()),
                    KeyValue::new("service", share.key.service.clone()),
                    KeyValue::new("version", share.version.clone()),
                ];
                observer.observe(u64::from(share.permille), &labels);
            }
        })
        .build();
}
