//! Structured log of a process in JSON lines, and the log lines of routing decisions and move steps.

use {
    crate::{
        config::{MovePhase, ServiceKey},
        ids::{ConfigVersion, NodeId, RouteName, VersionName},
        route_table::{TargetReason, VersionReason},
        settings::LogSection,
    },
    parking_lot::Mutex,
    std::{
        io,
        sync::atomic::{AtomicU32, AtomicU64, Ordering},
        time::{Duration, Instant},
    },
    thiserror::Error,
    tracing::{Subscriber, info, warn},
    tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::{EnvFilter, fmt::MakeWriter, util::SubscriberInitExt},
};

/// Sample rate that selects every event, in per mille.
const FULL_SAMPLE_PERMILLE: u64 = 1000;

/// Capacity of the buffer in front of the standard output stream, in lines.
const STDOUT_BUFFER_LINES: usize = 4096;

/// Window in which the log lines about calls are counted and limited.
const LIMITER_WINDOW: Duration = Duration::from_secs(1);

/// Limit on the log lines about calls in one window.
const MAX_LINES_PER_WINDOW: u32 = 100;

/// Sampler of the routed calls of this process; `init_log` and `init_stdout_log` set its rate.
static CALL_SAMPLER: CallSampler = CallSampler::new(FULL_SAMPLE_PERMILLE as u32);

/// Error of the initialisation of the log.
#[derive(Debug, Error)]
pub enum LogError {
    /// The level of the settings cannot be parsed as a log filter.
    #[error("log filter {filter:?}: {cause}")]
    Filter {
        /// Filter from the settings.
        filter: String,
        /// Parse error.
        cause: tracing_subscriber::filter::ParseError,
    },
    /// The process already has a global log subscriber.
    #[error("install the log subscriber: {0}")]
    Started(#[from] tracing_subscriber::util::TryInitError),
}

/// Samples exactly `permille` of each 1000 consecutive events, evenly distributed.
#[derive(Debug)]
pub struct CallSampler {
    permille: AtomicU32,
    count: AtomicU64,
}

impl CallSampler {
    /// Returns a sampler with this rate in per mille.
    pub const fn new(permille: u32) -> CallSampler {
        CallSampler {
            permille: AtomicU32::new(permille),
            count: AtomicU64::new(0),
        }
    }

    /// Counts an event and returns whether it is in the sample.
    pub fn take(&self) -> bool {
        let permille = u64::from(self.permille.load(Ordering::Relaxed));
        let count = self.count.fetch_add(1, Ordering::Relaxed) % FULL_SAMPLE_PERMILLE;
        // Distributes the sampled events over each 1000 instead of taking the first ones.
        (count * permille) % FULL_SAMPLE_PERMILLE < permille
    }

    fn set_rate(&self, permille: u32) {
        self.permille.store(permille, Ordering::Relaxed);
    }
}

/// Rate limiter of the log lines about calls; counts the lines that it suppresses.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    state: Mutex<LimiterState>,
}

#[derive(Debug, Default)]
struct LimiterState {
    window_start: Option<Instant>,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns whether a line may be written now. The first call of a new window logs how many lines the
    /// previous one suppressed.
    pub fn try_acquire(&self, now: Instant) -> bool {
        let mut state = self.state.lock();
        let is_over = |window_start| now.saturating_duration_since(window_start) >= LIMITER_WINDOW;
        if state.window_start.is_none_or(is_over) {
            if state.suppressed > 0 {
                info!(
                    left_out = state.suppressed,
                    "lines about calls were left out"
                );
            }
            *state = LimiterState {
                window_start: Some(now),
                ..LimiterState::default()
            };
        }
        if state.lines >= MAX_LINES_PER_WINDOW {
            state.suppressed += 1;
            return false;
        }
        state.lines += 1;
        true
    }
}

/// Routing of one attempt at a call, or the refusal of the call, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteDecision {
    /// Called service; none if no service matches the host of the call.
    pub key: Option<ServiceKey>,
    /// Matched route of the service; none if no route matches.
    pub route: Option<RouteName>,
    /// Chosen version of the service; none if the call was refused before the choice.
    pub version: Option<VersionName>,
    /// Reason for the choice of the version; none for a refusal.
    pub version_reason: Option<VersionReason>,
    /// Node whose target was chosen; none if the call was refused before the choice.
    pub target: Option<NodeId>,
    /// Reason for the choice of the target; none for a refusal.
    pub target_reason: Option<TargetReason>,
    /// Nodes of the targets that were considered but not chosen.
    pub alternatives: Vec<NodeId>,
    /// Number of the attempt at the call, counted from 1.
    pub attempt: u32,
    /// Reason code of the refusal, as sent in `poplarwing-reason`; none if the call was routed.
    pub refusal: Option<String>,
    /// Line of the customer's contract with the limit that the call exceeded, counted from 1; none if it
    /// was not refused by a limit.
    pub contract_line: Option<u32>,
}

/// One step of a move, which shifts a service's calls from its stable version to a candidate, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveDecision {
    /// Service of the move.
    pub key: ServiceKey,
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Version that is to receive all calls at the end of the move.
    pub candidate: VersionName,
    /// Phase after the step.
    pub phase: MovePhase,
    /// Share of the calls that the candidate receives after the step, in per mille.
    pub candidate_permille: u32,
    /// Reason of the step, with the observations that it is based on.
    pub reason: String,
    /// Other steps that were possible.
    pub alternatives: Vec<String>,
}

/// Initialises the log of the process on the standard error stream.
pub fn init_log(section: &LogSection) -> Result<(), LogError> {
    let subscriber = json_subscriber(section, io::stderr)?;
    subscriber.try_init()?;
    CALL_SAMPLER.set_rate(section.call_sample_permille);
    Ok(())
}

/// Initialises the log of the process on the standard output stream; dropping the guard flushes the
/// buffer.
///
/// A dedicated thread writes the lines. While the stream blocks, lines beyond the capacity of the buffer
/// are dropped, so that no call waits for the log.
pub fn init_stdout_log(section: &LogSection) -> Result<WorkerGuard, LogError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(STDOUT_BUFFER_LINES)
        .lossy(true)
        .finish(io::stdout());
    json_subscriber(section, writer)?.try_init()?;
    CALL_SAMPLER.set_rate(section.call_sample_permille);
    Ok(guard)
}

/// Returns a subscriber that writes JSON lines to `writer`.
pub fn json_subscriber<W>(
    section: &LogSection,
    writer: W,
) -> Result<impl Subscriber + Send + Sync + use<W>, LogError>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(&section.level).map_err(|cause| LogError::Filter {
        filter: section.level.clone(),
        cause,
    })?;
    let builder = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false);
    Ok(builder.with_env_filter(filter).with_writer(writer).finish())
}

/// Logs the routing of a call if the sampler selects it, and every refusal.
pub fn log_route(decision: &RouteDecision) {
    match &decision.refusal {
        Some(code) => log_refused_call(decision, code),
        None if CALL_SAMPLER.take() => log_routed_call(decision),
        None => {}
    }
}

fn log_routed_call(decision: &RouteDecision) {
    info!(
        decision = "route",
        service = decision.key.as_ref().map(tracing::field::display),
        route = decision.route,
        version = decision.version,
        version_reason = decision.version_reason.map(tracing::field::display),
        chosen_node = decision.target,
        target_reason = decision.target_reason.map(tracing::field::display),
        alternatives = decision.alternatives.join(", "),
        attempt = decision.attempt,
        "call routed"
    );
}

fn log_refused_call(decision: &RouteDecision, code: &str) {
    warn!(
        decision = "route",
        service = decision.key.as_ref().map(tracing::field::display),
        route = decision.route,
        version = decision.version,
        reason = code,
        contract_line = decision.contract_line,
        alternatives = decision.alternatives.join(", "),
        attempt = decision.attempt,
        "call refused"
    );
}

/// Logs a step of a move.
pub fn log_move(decision: &MoveDecision) {
    info!(
        decision = "move",
        service = %decision.key,
        move_id = decision.move_id,
        candidate = decision.candidate,
        phase = %decision.phase,
        candidate_permille = decision.candidate_permille,
        reason = decision.reason,
        alternatives = decision.alternatives.join("; "),
        "move step"
    );
}
