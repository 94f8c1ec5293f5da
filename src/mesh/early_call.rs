//! Short waits of a call for what the node does not know yet, so that it is not refused moments before.

use {
    super::{context::MeshContext, entry_call::EntryCall},
    crate::ids::ConfigVersion,
    std::time::{Duration, Instant},
    tokio::time::{sleep, timeout},
};

/// Longest wait for the first configuration. It takes about as long to fetch 250 KB over a link of 10 Mbit/s, and a
/// refused caller comes back later than that.
const CONFIG_WAIT: Duration = Duration::from_millis(200);

/// Part of a call's objective for which it waits for a target; a refusal after it still leaves the caller time.
const TARGET_PART: f64 = 0.125;

/// Time between two looks for a target.
const TARGET_LOOK: Duration = Duration::from_millis(10);

/// Waits until a configuration is in force; returns whether one is.
pub async fn wait_config(context: &MeshContext) -> bool {
    let is_known = |version: &ConfigVersion| *version > 0;
    let mut applied = context.board.gate.subscribe();
    let known = timeout(CONFIG_WAIT, applied.wait_for(is_known)).await;
    matches!(known, Ok(Ok(_)))
}

/// Looks for a target until there is one or the call has waited long enough.
pub async fn wait_target<T>(call: &EntryCall, mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let until = Instant::now() + call.route.objective.mul_f64(TARGET_PART);
    loop {
        let found = look();
        if found.is_some() || Instant::now() >= until {
            return found;
        }
        sleep(TARGET_LOOK).await;
    }
}
