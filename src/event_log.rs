//! Log as JSON lines, with one line per routing or move decision.

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

/// Unit of the sample rate.
const FULL_SAMPLE_PERMILLE: u64 = 1000;

/// Lines that wait for the standard output stream at most.
const STDOUT_LINES: usize = 4096;

/// Time over which lines about calls are counted.
const LIMITER_WINDOW: Duration = Duration::from_secs(1);

/// Lines about calls in one window at most.
const LIMITER_LINES: u32 = 100;

/// Sampler of the process, set by `init_log`.
static CALL_SAMPLER: CallSampler = CallSampler::new(FULL_SAMPLE_PERMILLE as u32);

/// A log that could not be started.
#[derive(Debug, Error)]
pub enum LogError {
    /// The filter is malformed.
    #[error("log filter {filter:?}: {cause}")]
    Filter {
        /// Filter as set.
        filter: String,
        /// What is wrong with it.
        cause: tracing_subscriber::filter::ParseError,
    },
    /// The process already has a log.
    #[error("start of the log: {0}")]
    Started(#[from] tracing_subscriber::util::TryInitError),
}

/// Chooses an exact share of events, evenly spread.
#[derive(Debug)]
pub struct CallSampler {
    permille: AtomicU32,
    count: AtomicU64,
}

impl CallSampler {
    /// Returns a sampler for this share in per mille.
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
        // Spreads the sampled events over the thousand instead of logging the first of them.
        (count * permille) % FULL_SAMPLE_PERMILLE < permille
    }

    fn set_share(&self, permille: u32) {
        self.permille.store(permille, Ordering::Relaxed);
    }
}

/// Bounds the log lines about calls, and counts those that are left out.
#[derive(Debug, Default)]
pub struct LineLimiter {
    state: Mutex<LimiterState>,
}

#[derive(Debug, Default)]
struct LimiterState {
    begun: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl LineLimiter {
    /// Returns whether a line may be written now; says once a second how many were left out.
    pub fn take(&self, now: Instant) -> bool {
        let mut state = self.state.lock();
        let is_over = |begun| now.saturating_duration_since(begun) >= LIMITER_WINDOW;
        if state.begun.is_none_or(is_over) {
            if state.left_out > 0 {
                info!(left_out = state.left_out, "lines about calls were left out");
            }
            *state = LimiterState {
                begun: Some(now),
                ..LimiterState::default()
            };
        }
        if state.lines >= LIMITER_LINES {
            state.left_out += 1;
            return false;
        }
        state.lines += 1;
        true
    }
}

/// How a call was routed, or why it was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteDecision {
    /// Service called; none if no service has the host.
    pub key: Option<ServiceKey>,
    /// Route called; none if none matches.
    pub route: Option<RouteName>,
    /// Version chosen, with the reason.
    pub version: Option<VersionName>,
    /// Why the version was chosen.
    pub version_reason: Option<VersionReason>,
    /// Node whose target was chosen.
    pub target: Option<NodeId>,
    /// Why the target was chosen.
    pub target_reason: Option<TargetReason>,
    /// Nodes of targets that were passed over.
    pub alternatives: Vec<NodeId>,
    /// Attempt at the call, counted from 1.
    pub attempt: u32,
    /// Code of the refusal, if the call was refused.
    pub refusal: Option<String>,
    /// Contract line of the limit that refused the call.
    pub contract_line: Option<u32>,
}

/// A step of a move, with what else could have been done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveDecision {
    /// Service whose versions move.
    pub key: ServiceKey,
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Version that is to take over.
    pub candidate: VersionName,
    /// Phase after the step.
    pub phase: MovePhase,
    /// Share of the candidate after the step, in per mille.
    pub candidate_permille: u32,
    /// Why the step was taken, with the evidence.
    pub reason: String,
    /// Steps that were not taken, each with the reason.
    pub alternatives: Vec<String>,
}

/// Starts the log of the process on the standard error stream.
pub fn init_log(section: &LogSection) -> Result<(), LogError> {
    let subscriber = json_subscriber(section, io::stderr)?;
    subscriber.try_init()?;
    CALL_SAMPLER.set_share(section.call_sample_permille);
    Ok(())
}

/// Starts the log of the process on the standard output stream; the guard writes the rest when dropped.
///
/// A thread of its own writes the lines. While the stream does not take them, lines beyond a bounded number are
/// dropped, so that no call waits for the log.
pub fn init_stdout_log(section: &LogSection) -> Result<WorkerGuard, LogError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(STDOUT_LINES)
        .lossy(true)
        .finish(io::stdout());
    json_subscriber(section, writer)?.try_init()?;
    CALL_SAMPLER.set_share(section.call_sample_permille);
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

/// Logs how a call was routed if it is in the sample; refusals are always logged.
pub fn log_route(decision: &RouteDecision) {
    match &decision.refusal {
        Some(code) => log_refusal(decision, code),
        None if CALL_SAMPLER.take() => log_choice(decision),
        None => {}
    }
}

fn log_choice(decision: &RouteDecision) {
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

fn log_refusal(decision: &RouteDecision, code: &str) {
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
