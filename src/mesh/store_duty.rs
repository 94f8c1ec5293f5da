//! Which nodes read the store, so that its load does not grow with the fleet.
//!
//! The first node of each failure domain reads; the others learn by gossip that they have missed nothing. A node
//! that has not learned so for a while reads itself, in the order of the nodes, so that few do when one is enough.

use {
    super::{context::MeshContext, node_rank::own_rank},
    std::time::Duration,
};

/// Time for which a reader waits for a change; each end of a wait tells the fleet that nothing has changed.
pub const FEED_WAIT: Duration = Duration::from_millis(2000);

/// Time without news of the store after which the first node of the fleet reads, whatever its domain.
const OVERDUE_AFTER: Duration = Duration::from_millis(2200);

/// Time by which each further node leaves the reading to those before it.
const OVERDUE_STEP: Duration = Duration::from_millis(100);

/// Longest time by which a node leaves the reading to others.
const MAX_OVERDUE_STEPS: Duration = Duration::from_millis(2000);

/// Name of the duty in the order of the nodes.
const READ_DUTY: &str = "read the store";

/// Returns for how long this node is to wait for a change of the store; none if others read.
pub fn read_wait(context: &MeshContext) -> Option<Duration> {
    if is_overdue(context) {
        return Some(Duration::ZERO);
    }
    is_reader(context).then_some(FEED_WAIT)
}

/// Returns whether this node reads for its failure domain.
pub fn is_reader(context: &MeshContext) -> bool {
    let domain = &context.settings.node.failure_domain;
    !context.is_leaving() && own_rank(context, READ_DUTY, |record| &record.domain == domain) == 0
}

fn is_overdue(context: &MeshContext) -> bool {
    let age = context.gossip.store_age();
    if age < OVERDUE_AFTER {
        return false;
    }
    let rank = own_rank(context, READ_DUTY, |_| true) as u32;
    age >= OVERDUE_AFTER + (OVERDUE_STEP * rank).min(MAX_OVERDUE_STEPS)
}
