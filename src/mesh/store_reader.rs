//! Decides which nodes read the store, so that its load does not grow with the fleet.
//!
//! The first-ranked nodes of up to three failure domains read. The others learn by gossip up to which time they have
//! missed no change. A node that has not received such a confirmation for a while reads the store itself, whoever the
//! readers are: the nodes begin one after another in the order of their ranks, so that few do if one is enough.
//!
//! A node that starts reads once at once, unless the whole fleet starts for the first time: then the nodes read at
//! random times, and those that have a configuration from a peer by then do not read.
//!
//! # Time until a change is in force
//!
//! Any machines may be cut off from the store or from all others at the moment of a change, without a reset. Each
//! other node must still apply the change within the shortest bound of the users (`convergeS`), which is 2 s. Only its
//! own read may be counted on, since every peer that it hears may be cut off from the store. The waits add up from the
//! last read that any node has confirmed, at the moment of the change at the latest:
//!
//! | wait | longest, in ms |
//! | --- | --- |
//! | until the confirmation is overdue (`OVERDUE_AFTER`) | 1400 |
//! | for the rank (`MAX_OVERDUE_DELAY`) | 250 |
//! | until the next check (`READER_CHECK_PERIOD`) | 50 |
//! | connection, read and change of the configuration | 100 |
//! | sum | 1800 |
//!
//! A drain of a failure domain is read from the same table and changes the choice of targets and the admission in the
//! same step, so the sum is that of a drain as well; its bound (`evacS`) is 5 s.
//!
//! A node counts as in touch `healthyS`, at least 3 s, after a disturbance has ended. Its last read may have begun
//! during the disturbance. It ends after at most 1500 ms, and the next one follows within `FOLLOWER_RETRY_PERIOD` of
//! its beginning or, on a reader, within 1000 ms of its end: 2500 ms and one read. A long poll (at most 2275 ms and
//! its time limit of 1500 ms) is abandoned as soon as the confirmation is overdue.

use {
    super::{
        context::MeshContext,
        node_rank::{domain_rank, own_rank},
    },
    std::time::{Duration, Instant},
};

/// Time between two confirmations that nothing was missed. The readers take turns, so that the loss of one of three
/// leaves a gap that is shorter than `OVERDUE_AFTER`.
pub const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(650);

/// Shortest time between two confirmations of one reader, for fleets with fewer than three.
const MIN_ROUND: Duration = Duration::from_millis(1200);

/// Time without a confirmation after which the first-ranked node of the fleet reads, whatever its domain.
pub const OVERDUE_AFTER: Duration = Duration::from_millis(1400);

/// Additional time for which each further rank waits; gossip of a read reaches most nodes within it.
const OVERDUE_STEP: Duration = Duration::from_millis(50);

/// Longest additional time, whatever the rank.
pub const MAX_OVERDUE_DELAY: Duration = Duration::from_millis(250);

/// Time between two checks whether this node has to read the store, once its confirmation is overdue.
pub const READER_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Longest time between two checks before that: a node that has become a reader begins to read within it.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Time from the beginning of a failed read until the next one of a node that is not a reader, from the second failure
/// in a row on. A store that is away is asked by every node, since none can know that the others are refused as well.
pub const FOLLOWER_RETRY_PERIOD: Duration = Duration::from_millis(2400);

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

/// Turn of a reader among all readers of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReaderTurn {
    /// Place in the order of the readers; 0 is first.
    pub index: u32,
    /// Number of readers.
    pub readers: u32,
}

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

    /// Returns the wait (long poll) of the next read of the store; none if this node does not read now.
    ///
    /// `has_read` tells whether it has read before, and `store_clock` is the time of the store's clock, if known.
    pub fn next_wait(
        &self,
        context: &MeshContext,
        has_read: bool,
        store_clock: Option<Duration>,
    ) -> Option<Duration> {
        let age = self.started.elapsed();
        if !has_read {
            let is_served_by_peers =
                !self.first_read_after.is_zero() && context.board.gate.version() > 0;
            if !is_served_by_peers {
                return (age >= self.first_read_after).then_some(Duration::ZERO);
            }
        }
        // At a first start, the confirmation of the first read is awaited for as long as that read may take.
        let awaits_first_read = !has_read && age < FIRST_READ_RANGE.1;
        if !awaits_first_read && is_overdue(context) {
            return Some(Duration::ZERO);
        }
        if age < READER_DELAY && context.board.gate.version() > 0 {
            return None;
        }
        let turn = reader_turn(context)?;
        Some(turn.wait_at(store_clock.unwrap_or_default()))
    }
}

impl ReaderTurn {
    /// Returns how long a reader waits for a change at this time of the store's clock. It ends the wait at its next
    /// turn, which comes once in a round, unless that is nearly there.
    pub fn wait_at(&self, store_clock: Duration) -> Duration {
        let round = (CONFIRMATION_INTERVAL * self.readers).max(MIN_ROUND);
        let into_round = store_clock.as_millis() % round.as_millis();
        let into_round = Duration::from_millis(into_round as u64);
        let until_turn = CONFIRMATION_INTERVAL * self.index + round - into_round;
        let until_turn = match until_turn > round {
            true => until_turn - round,
            false => until_turn,
        };
        match until_turn < CONFIRMATION_INTERVAL / 2 {
            true => until_turn + round,
            false => until_turn,
        }
    }
}

/// Returns whether this node is one of the readers of the store.
pub fn is_reader(context: &MeshContext) -> bool {
    reader_turn(context).is_some()
}

/// Returns this node's turn among the readers of the store; none if it is not one of them.
pub fn reader_turn(context: &MeshContext) -> Option<ReaderTurn> {
    if !is_domain_reader(context) {
        return None;
    }
    let domain = &context.settings.node.failure_domain;
    let place = domain_rank(context, READ_DUTY, domain);
    (place.rank < READING_DOMAINS).then(|| ReaderTurn {
        index: place.rank as u32,
        readers: place.domains.clamp(1, READING_DOMAINS) as u32,
    })
}

/// Returns whether this node is the first-ranked one of its failure domain.
pub fn is_domain_reader(context: &MeshContext) -> bool {
    let domain = &context.settings.node.failure_domain;
    !context.is_leaving() && own_rank(context, READ_DUTY, |record| &record.domain == domain) == 0
}

/// Returns whether this node has been without a confirmation for so long that it reads the store itself.
pub fn is_overdue(context: &MeshContext) -> bool {
    let age = context.gossip.time_since_store_confirmation();
    if age < OVERDUE_AFTER {
        return false;
    }
    age >= overdue_after(own_rank(context, READ_DUTY, |_| true))
}

/// Returns the time until the next check whether this node has to read the store.
pub fn check_delay(context: &MeshContext) -> Duration {
    let age = context.gossip.time_since_store_confirmation();
    OVERDUE_AFTER
        .saturating_sub(age)
        .clamp(READER_CHECK_PERIOD, IDLE_CHECK_PERIOD)
}

/// Returns the time without a confirmation after which the node with this rank in the fleet reads the store.
pub fn overdue_after(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    OVERDUE_AFTER + OVERDUE_STEP.saturating_mul(rank).min(MAX_OVERDUE_DELAY)
}
