//! Shutdown of a node, and the rule by which it takes calls meanwhile.
//!
//! A call is taken, kept waiting, forwarded or hedged only if its deadline comes before the process exits. Any other
//! is refused at once as not run, so that its caller can go elsewhere. The rule is the same whatever the reason for the
//! shutdown is: a signal, or a required task of the node that has ended.
//!
//! | time after the beginning | what |
//! | --- | --- |
//! | 0 | the readiness check fails, the target counts as draining |
//! | `SERVE_FRACTION` of the grace period | connections are closed after the call in progress, new calls are refused |
//! | grace period - `EXIT_MARGIN` - `ANSWER_MARGIN` | last deadline of a call that is taken |
//! | grace period - `EXIT_MARGIN` | the process exits |

use {
    std::{
        future::pending,
        sync::{
            OnceLock,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// Fraction of the grace period for which a stopping node still accepts calls. Within this time, callers notice by
/// failed readiness checks that the node leaves.
const SERVE_FRACTION: f64 = 0.42;

/// Time before the end of the grace period at which a stopping node exits even if connections are still open.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Time between the deadline of the last call and the exit, in which its answer is sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// State of the shutdown of a node.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// Time at which the process exits at the latest; set before `begun` is cancelled.
    exit_at: OnceLock<Instant>,
    begun: CancellationToken,
    /// Whether no further calls are taken, whatever their deadlines.
    closed: AtomicBool,
}

impl Shutdown {
    /// Begins the shutdown at `now`; a repeated call changes nothing.
    pub fn begin(&self, now: Instant, grace: Duration) {
        self.exit_at
            .get_or_init(|| now + grace.saturating_sub(EXIT_MARGIN));
        self.begun.cancel();
    }

    /// Refuses all calls from now on; those in progress go on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Returns whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.is_cancelled()
    }

    /// Returns whether a call with this deadline may be taken, forwarded or hedged: it ends before the process exits.
    pub fn admits(&self, deadline: Instant) -> bool {
        !self.closed.load(Ordering::Relaxed) && self.can_end(deadline)
    }

    /// Waits until a call that has been taken must not wait any longer, since it can't end before the process exits.
    /// Never returns for a call that can.
    pub async fn refuses_waiting(&self, deadline: Instant) {
        self.begun.cancelled().await;
        if self.can_end(deadline) {
            pending::<()>().await;
        }
    }

    /// Returns the time left until the process exits; none while the shutdown has not begun.
    pub fn time_left(&self) -> Option<Duration> {
        let exit_at = self.exit_at.get()?;
        Some(exit_at.saturating_duration_since(Instant::now()))
    }

    /// Returns whether a call with this deadline ends before the process exits.
    pub fn can_end(&self, deadline: Instant) -> bool {
        let exit_at = self.exit_at.get();
        exit_at.is_none_or(|exit_at| deadline + ANSWER_MARGIN <= *exit_at)
    }
}

/// Returns the time within which a call must end to be sure that no later shutdown finds it with a deadline after the
/// exit.
pub fn safe_call_time(grace: Duration) -> Duration {
    grace.saturating_sub(EXIT_MARGIN + ANSWER_MARGIN)
}

/// Returns how long a stopping node still accepts calls.
pub fn serve_time(grace: Duration) -> Duration {
    grace.mul_f64(SERVE_FRACTION)
}
