//! Short waits of a call for the first configuration or for a target, so that it is not refused moments before one is
//! there.

use {
    super::{context::MeshContext, entry_call::EntryCall},
    crate::ids::ConfigVersion,
    std::time::{Duration, Instant},
    tokio::time::{sleep, timeout},
};

/// Longest wait for the first configuration. Fetching 250 KB over a link of 10 Mbit/s takes about as long, and a
/// refused caller would retry later than that.
const CONFIG_WAIT: Duration = Duration::from_millis(200);

/// Fraction of the latency objective for which a call waits for a target; if it is refused after that, the caller
/// still has time for a retry.
const TARGET_WAIT_FRACTION: f64 = 0.125;

/// Time between two attempts to select a target.
const TARGET_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Waits until a configuration is in force; returns false if none is after `CONFIG_WAIT`.
pub async fn wait_for_config(context: &MeshContext) -> bool {
    let is_set = |version: &ConfigVersion| *version > 0;
    let mut applied = context.board.gate.subscribe();
    let waited = timeout(CONFIG_WAIT, applied.wait_for(is_set)).await;
    matches!(waited, Ok(Ok(_)))
}

/// Calls `select` until it returns a target or an error that `is_final`, the call has waited long enough, or it can't
/// end before the node exits.
pub async fn wait_for_target<T, E>(
    context: &MeshContext,
    call: &EntryCall,
    mut select: impl FnMut() -> Result<T, E>,
    is_final: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let until = Instant::now() + call.route.latency_objective.mul_f64(TARGET_WAIT_FRACTION);
    loop {
        let found = select();
        let has_ended = found.as_ref().map_or_else(&is_final, |_| true);
        if has_ended || Instant::now() >= until || !context.shutdown.can_end(call.deadline) {
            return found;
        }
        sleep(TARGET_POLL_PERIOD).await;
    }
}
