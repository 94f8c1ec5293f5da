//! Decides which nodes read the store, so that its load does not grow with the fleet.
//!
//! The first-ranked node of each failure domain reads. The others learn by gossip that they have missed no change. A
//! node that has not received such a confirmation for a while reads the store itself; the nodes start to do so one
//! after another in the order of their ranks, so that few do if one is enough.

use {
    super::{context::MeshContext, node_rank::own_rank},
    std::time::Duration,
};

/// Time for which a reader waits for a change (long poll); at each end of a wait without a change, gossip confirms to
/// the fleet that nothing was missed.
pub const LONG_POLL_TIME: Duration = Duration::from_millis(2000);

/// Time without a confirmation after which the first-ranked node of the fleet reads, whatever its domain.
const OVERDUE_AFTER: Duration = Duration::from_millis(2200);

/// Additional time for which each further rank waits.
const OVERDUE_STEP: Duration = Duration::from_millis(100);

/// Longest additional time, whatever the rank.
const MAX_OVERDUE_DELAY: Duration = Duration::from_millis(2000);

/// Name of the duty in the ranking of the nodes.
const READ_DUTY: &str = "read the store";

/// Returns the wait of this node's next read of the store; none if other nodes read.
pub fn read_wait(context: &MeshContext) -> Option<Duration> {
    if is_overdue(context) {
        return Some(Duration::ZERO);
    }
    is_reader(context).then_some(LONG_POLL_TIME)
}

/// Returns whether this node is the reader of its failure domain.
pub fn is_reader(context: &MeshContext) -> bool {
    let domain = &context.settings.node.failure_domain;
    !context.is_leaving() && own_rank(context, READ_DUTY, |record| &record.domain == domain) == 0
}

fn is_overdue(context: &MeshContext) -> bool {
    let age = context.gossip.time_since_store_confirmation();
    if age < OVERDUE_AFTER {
        return false;
    }
    let rank = own_rank(context, READ_DUTY, |_| true) as u32;
    age >= OVERDUE_AFTER + (OVERDUE_STEP * rank).min(MAX_OVERDUE_DELAY)
}
