//! Metrics of a node and their Prometheus text format.

use {
    crate::{
        call_events::ReasonCode,
        client_limits::{ConnectionEnd, ConnectionPhase, ShedReason},
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

/// Name of the OpenTelemetry meter, the scope of all metrics below.
const METER_NAME: &str = "poplarwing";

/// Bucket bounds of the convergence time in seconds; all nodes are to apply a new version within 12 s.
const CONVERGENCE_BOUNDS: [f64; 10] = [0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 12.0, 30.0, 120.0];

/// Bucket bounds of the latency added to a call, in seconds; its 99th percentile is to stay below 0.63 ms.
const ADDED_LATENCY_BOUNDS: [f64; 10] = [
    0.000_05, 0.000_1, 0.000_2, 0.000_3, 0.000_45, 0.000_63, 0.001, 0.002, 0.01, 0.1,
];

/// Bucket bounds of the latency of a call in seconds, from an immediate refusal to the longest deadline.
const CALL_LATENCY_BOUNDS: [f64; 11] =
    [0.005, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Error of the set-up of the metrics.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The Prometheus exporter could not be built.
    #[error("set up the metrics exporter: {0}")]
    Exporter(#[from] OTelSdkError),
}

/// Channel of the traffic between nodes that carries no calls; value of the label `channel`.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ControlChannel {
    /// Gossip packets over UDP.
    #[display("gossip")]
    Gossip,
    /// Requests between nodes over TCP, such as pulls of the configuration.
    #[display("sync")]
    Sync,
}

/// Outcome of a call for its caller; value of the label `outcome`.
///
/// Unlike `call_events::CallOutcome`, which describes refusals only, it also covers calls that are answered.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallResult {
    /// The caller received the complete response of the target.
    #[display("answered")]
    Answered,
    /// No target ran the call, though one may have received and declined it.
    #[display("not_run")]
    NotRun,
    /// The target may have executed the call, but its complete response was not received.
    #[display("unknown")]
    Unknown,
    /// A node failed the call after accepting it and sent an error response of its own.
    #[display("failed")]
    Failed,
}

/// Result of a move, which shifts a service's calls from its stable version to a candidate; value of the
/// label `result`.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum MoveResult {
    /// The candidate received all calls by the deadline of the move.
    #[display("in_time")]
    InTime,
    /// The candidate received all calls after the deadline of the move.
    #[display("late")]
    Late,
    /// The move was rolled back to the stable version.
    #[display("taken_back")]
    TakenBack,
}

/// What happened to a hedge, which is a second attempt beside one that is slow; value of the label `event`.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HedgeEvent {
    /// It was sent.
    #[display("started")]
    Started,
    /// Its response was the first good one.
    #[display("won")]
    Won,
    /// It was cancelled because the attempt before it answered first.
    #[display("cancelled")]
    Cancelled,
}

/// Proportion of a service's calls that one of its versions receives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionShare {
    /// Service that is called.
    pub key: ServiceKey,
    /// Version of the service.
    pub version: VersionName,
    /// Proportion of the calls, in per mille.
    pub permille: u32,
}

/// What the connections of clients take at a node at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLoad {
    /// Open connections.
    pub connections: u64,
    /// Bytes charged for their buffers.
    pub buffer_bytes: u64,
    /// Bytes of the bodies that the node holds.
    pub body_bytes: u64,
}

/// Metrics of a node; clones update the same metrics.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    registry: Registry,
    // Kept alive, since the metrics stop counting when the provider is dropped.
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
    hedges: Counter<u64>,
    refusals: Counter<u64>,
    cap_tokens: Counter<u64>,
    config_version: Gauge<u64>,
    drained_domains: Gauge<u64>,
    cold_time: Gauge<f64>,
    cold_refusals: Counter<u64>,
    client_connections: Gauge<u64>,
    client_buffers: Gauge<u64>,
    bodies: Gauge<u64>,
    sheds: Counter<u64>,
    connection_ends: Counter<u64>,
}

impl NodeMetrics {
    /// Returns new metrics, registered in a Prometheus registry of their own.
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
        register_share_gauge(&meter, shares.clone());
        Ok(NodeMetrics {
            registry,
            _provider: provider,
            shares,
            convergence: convergence_histogram(&meter),
            control_in: control_counter(&meter, "poplarwing_control_received"),
            control_out: control_counter(&meter, "poplarwing_control_sent"),
            moves: counter(&meter, "poplarwing_moves", "Moves ended, by result."),
            added_latency: added_latency_histogram(&meter),
            call_latency: call_latency_histogram(&meter),
            calls: counter(&meter, "poplarwing_calls", "Calls ended, by outcome."),
            retries: counter(&meter, "poplarwing_retries", "Calls sent again."),
            hedges: counter(
                &meter,
                "poplarwing_hedges",
                "Attempts sent beside a slow one, by event.",
            ),
            refusals: counter(&meter, "poplarwing_refusals", "Calls refused, by reason."),
            cap_tokens: counter(
                &meter,
                "poplarwing_cap_tokens",
                "Tokens of usage caps that this node granted as a keeper.",
            ),
            config_version: config_version_gauge(&meter),
            drained_domains: drained_domains_gauge(&meter),
            cold_time: cold_time_gauge(&meter),
            cold_refusals: counter(
                &meter,
                "poplarwing_cold_refusals",
                "Calls that the node beside a cold target refused.",
            ),
            client_connections: gauge(
                &meter,
                "poplarwing_client_connections",
                "Open connections of clients.",
            ),
            client_buffers: gauge(
                &meter,
                "poplarwing_client_buffer_bytes",
                "Bytes charged for buffers of client connections.",
            ),
            bodies: gauge(&meter, "poplarwing_body_bytes", "Bytes of bodies held."),
            sheds: counter(
                &meter,
                "poplarwing_connections_shed",
                "Connections of clients closed by the node, by reason.",
            ),
            connection_ends: counter(
                &meter,
                "poplarwing_connection_ends",
                "Connections of clients that ended, by how they did and what they were doing.",
            ),
        })
    }

    /// Records the time from the acceptance of a configuration version until this node applied it.
    pub fn record_convergence(&self, elapsed: Duration) {
        self.convergence.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the time from the arrival of a call to its response, by outcome.
    pub fn record_call_latency(&self, elapsed: Duration, outcome: CallResult) {
        let labels = [KeyValue::new("outcome", outcome.to_string())];
        self.call_latency.record(elapsed.as_secs_f64(), &labels);
    }

    /// Adds received control bytes of a channel.
    pub fn add_control_received(&self, channel: ControlChannel, bytes: u64) {
        self.control_in.add(bytes, &[channel_label(channel)]);
    }

    /// Adds sent control bytes of a channel.
    pub fn add_control_sent(&self, channel: ControlChannel, bytes: u64) {
        self.control_out.add(bytes, &[channel_label(channel)]);
    }

    /// Counts a move that ended under the control of this node.
    pub fn count_move(&self, result: MoveResult) {
        self.moves
            .add(1, &[KeyValue::new("result", result.to_string())]);
    }

    /// Records the latency of a call less the time that its target took.
    pub fn record_added_latency(&self, elapsed: Duration) {
        self.added_latency.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a call that ended, by outcome.
    pub fn count_call(&self, outcome: CallResult) {
        self.calls
            .add(1, &[KeyValue::new("outcome", outcome.to_string())]);
    }

    /// Counts a retry of a call; a hedge is none.
    pub fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts what happened to a hedge.
    pub fn count_hedge(&self, event: HedgeEvent) {
        self.hedges
            .add(1, &[KeyValue::new("event", event.to_string())]);
    }

    /// Counts a refused call by reason code; the codes are constants, so the number of time series stays
    /// small.
    pub fn count_refusal(&self, reason: impl Into<ReasonCode>) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.into())]);
    }

    /// Sets what the connections of clients take at present.
    pub fn set_client_load(&self, load: ClientLoad) {
        self.client_connections.record(load.connections, &[]);
        self.client_buffers.record(load.buffer_bytes, &[]);
        self.bodies.record(load.body_bytes, &[]);
    }

    /// Counts connections of clients that the node closed.
    pub fn count_sheds(&self, reason: ShedReason, count: u64) {
        let label = KeyValue::new("reason", reason.to_string());
        self.sheds.add(count, &[label]);
    }

    /// Counts connections of clients that ended.
    pub fn count_connection_ends(&self, end: ConnectionEnd, phase: ConnectionPhase, count: u64) {
        let labels = [
            KeyValue::new("end", end.to_string()),
            KeyValue::new("phase", phase.to_string()),
        ];
        self.connection_ends.add(count, &labels);
    }

    /// Counts tokens of usage caps that this node granted to entry nodes.
    pub fn count_cap_tokens(&self, tokens: u64) {
        self.cap_tokens.add(tokens, &[]);
    }

    /// Replaces the shares of all versions, so that no time series remains for a removed version.
    pub fn set_version_shares(&self, shares: Vec<VersionShare>) {
        *self.shares.lock() = shares;
    }

    /// Sets the configuration version that this node applies.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.config_version.record(version, &[]);
    }

    /// Sets the number of drained failure domains that this node knows of.
    pub fn set_drained_domains(&self, count: usize) {
        self.drained_domains.record(count as u64, &[]);
    }

    /// Sets the time for which the target beside this node is expected to be cold; zero if it is warm.
    pub fn set_cold_time(&self, left: Duration) {
        self.cold_time.record(left.as_secs_f64(), &[]);
    }

    /// Counts a call that was refused because the target beside this node is cold.
    pub fn count_cold_refusal(&self) {
        self.cold_refusals.add(1, &[]);
    }

    /// Returns all metrics in the Prometheus text format, or a comment line with the error if they
    /// cannot be encoded.
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

fn call_latency_histogram(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("poplarwing_call_latency")
        .with_description("Time from the arrival of a call to its answer.")
        .with_unit("s")
        .with_boundaries(CALL_LATENCY_BOUNDS.to_vec())
        .build()
}

fn added_latency_histogram(meter: &Meter) -> Histogram<f64> {
    let builder = meter
        .f64_histogram("poplarwing_added_latency")
        .with_unit("s");
    builder
        .with_description("Time that this node added to a call.")
        .with_boundaries(ADDED_LATENCY_BOUNDS.to_vec())
        .build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

fn config_version_gauge(meter: &Meter) -> Gauge<u64> {
    let builder = meter.u64_gauge("poplarwing_config_version");
    builder
        .with_description("Configuration version in force on this node.")
        .build()
}

fn drained_domains_gauge(meter: &Meter) -> Gauge<u64> {
    let builder = meter.u64_gauge("poplarwing_drained_domains");
    builder
        .with_description("Drained failure domains that this node knows of.")
        .build()
}

fn cold_time_gauge(meter: &Meter) -> Gauge<f64> {
    let builder = meter
        .f64_gauge("poplarwing_target_cold_time")
        .with_unit("s");
    builder
        .with_description("Time for which the target beside this node is expected to be cold.")
        .build()
}

fn register_share_gauge(meter: &Meter, shares: Arc<Mutex<Vec<VersionShare>>>) {
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
