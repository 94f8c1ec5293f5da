//! Decides which nodes read the store, so that its load does not grow with the fleet.
//!
//! The first-ranked nodes of up to three failure domains read. The others learn by gossip that they have missed no
//! change. A node that has not received such a confirmation for a while reads the store itself; the nodes start to do
//! so one after another in the order of their ranks, so that few do if one is enough, also while the store is away.
//!
//! A node that starts reads once at once, unless the whole fleet starts for the first time: then the nodes read at
//! random times, and those that have a configuration from a peer by then do not read.

use {
    super::{
        context::MeshContext,
        node_rank::{domain_rank, own_rank},
    },
    std::time::{Duration, Instant},
};

/// Time for which a reader waits for a change (long poll); at each end of a wait without a change, gossip confirms to
/// the fleet that nothing was missed.
pub const LONG_POLL_TIME: Duration = Duration::from_millis(2000);

/// Time without a confirmation after which the first-ranked node of the fleet reads, whatever its domain.
const OVERDUE_AFTER: Duration = Duration::from_millis(2200);

/// Additional time for which each further rank waits.
const OVERDUE_STEP: Duration = Duration::from_millis(100);

/// Longest additional time, whatever the rank. A node that has lost its peers gets a low rank when they count as dead,
/// so it reads earlier than that.
const MAX_OVERDUE_DELAY: Duration = Duration::from_secs(8);

/// Earliest and latest time of the first read at the first start of a fleet. By the earliest, most nodes know some
/// peers.
const FIRST_READ_RANGE: (Duration, Duration) =
    (Duration::from_millis(1500), Duration::from_millis(4000));

/// Time after the start from which a node with a configuration may be the reader of its domain: until then it does not
/// know its peers.
const READER_DELAY: Duration = Duration::from_millis(700);

/// Failure domains with a reader. More would not make changes known sooner: gossip takes longer than a read.
const READING_DOMAINS: usize = 3;

/// Name of the duty in the ranking of nodes and domains.
const READ_DUTY: &str = "read the store";

/// Reads of the store by one node since its start.
#[derive(Debug)]
pub struct ReadSchedule {
    started: Instant,
    /// Time after the start of the first read, which is made whoever else reads.
    first_read_after: Duration,
}

impl ReadSchedule {
    /// Returns the schedule of a node that starts now. `first_start` tells whether the whole fleet does.
    pub fn new(first_start: bool) -> Self {
        let (earliest, latest) = FIRST_READ_RANGE;
        let spread = (latest - earliest).mul_f64(rand::random::<f64>());
        Self {
            started: Instant::now(),
            first_read_after: match first_start {
                true => earliest + spread,
                false => Duration::ZERO,
            },
        }
    }

    /// Returns the wait of the next read of the store; none if this node does not read now. `has_read` tells whether
    /// it has read before.
    pub fn next_wait(&self, context: &MeshContext, has_read: bool) -> Option<Duration> {
        let age = self.started.elapsed();
        if !has_read {
            let is_served_by_peers =
                !self.first_read_after.is_zero() && context.board.gate.version() > 0;
            if !is_served_by_peers {
                return (age >= self.first_read_after).then_some(Duration::ZERO);
            }
        }
        if is_overdue(context) {
            return Some(Duration::ZERO);
        }
        let may_read = age >= READER_DELAY || context.board.gate.version() == 0;
        (may_read && is_reader(context)).then_some(LONG_POLL_TIME)
    }
}

/// Returns whether this node is one of the readers of the store.
pub fn is_reader(context: &MeshContext) -> bool {
    let domain = &context.settings.node.failure_domain;
    is_domain_reader(context) && domain_rank(context, READ_DUTY, domain) < READING_DOMAINS
}

/// Returns whether this node is the first-ranked one of its failure domain.
pub fn is_domain_reader(context: &MeshContext) -> bool {
    let domain = &context.settings.node.failure_domain;
    !context.is_leaving() && own_rank(context, READ_DUTY, |record| &record.domain == domain) == 0
}

fn is_overdue(context: &MeshContext) -> bool {
    let age = context.gossip.time_since_store_confirmation();
    if age < OVERDUE_AFTER {
        return false;
    }
    age >= overdue_after(own_rank(context, READ_DUTY, |_| true))
}

/// Returns the time without a confirmation after which the node with this rank in the fleet reads the store.
pub fn overdue_after(rank: usize) -> Duration {
    OVERDUE_AFTER + (OVERDUE_STEP * rank as u32).min(MAX_OVERDUE_DELAY)
}
