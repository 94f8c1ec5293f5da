//! Delegation of this node's share of the usage caps of one slot to a keeper.

use {crate::ids::NodeId, std::time::Duration};

/// Shortest time between two renewals of a delegation.
const MIN_RENEWAL: Duration = Duration::from_millis(500);

/// Time between two renewals for each node of the fleet, so that the renewals that a keeper receives do not grow with
/// the fleet.
const RENEWAL_PER_NODE: Duration = Duration::from_millis(7);

/// Life of a delegation in renewals; one lost renewal does not end it.
const LIFE_RENEWALS: u32 = 3;

/// Who holds this node's share of one slot.
///
/// Invariant: the share is delegated to no other node than `holder`, and to `holder` until `ended_by` at the latest.
#[derive(Clone, Debug, Default)]
pub struct SlotDelegation {
    holder: Option<NodeId>,
    ended_by: Duration,
    /// Time of the last delegation or renewal.
    delegated_at: Duration,
    /// Time of the last message of any kind about the share.
    last_sent: Option<Duration>,
}

/// Returns the time between two renewals in a fleet of this size.
pub fn renewal_period(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    MIN_RENEWAL.max(RENEWAL_PER_NODE.saturating_mul(nodes))
}

/// Returns the time for which a delegation holds in a fleet of this size.
pub fn delegation_life(nodes: usize) -> Duration {
    renewal_period(nodes).saturating_mul(LIFE_RENEWALS)
}

impl SlotDelegation {
    /// Returns the node that may hold the share.
    pub fn holder(&self, now: Duration) -> Option<&NodeId> {
        self.holder.as_ref().filter(|_| now < self.ended_by)
    }

    /// Returns whether the share may be delegated to a node now.
    pub fn may_delegate(&self, node: &str, now: Duration) -> bool {
        self.holder(now).is_none_or(|holder| holder == node)
    }

    /// Records a delegation that has certainly ended by `ended_by` unless it is renewed.
    pub fn delegate(&mut self, node: &str, ended_by: Duration, now: Duration) {
        let previous = match self.holder(now).is_some() {
            true => self.ended_by,
            false => Duration::ZERO,
        };
        self.holder = Some(node.to_owned());
        self.ended_by = previous.max(ended_by);
        self.delegated_at = now;
    }

    /// Records that a node no longer holds the share.
    pub fn end(&mut self, node: &str) {
        if self.holder.as_deref() == Some(node) {
            self.holder = None;
            self.last_sent = None;
        }
    }

    /// Records that a delegation, a renewal or a release was sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.last_sent = Some(now);
    }

    /// Makes the next renewal due at once.
    pub fn hasten(&mut self) {
        self.last_sent = None;
    }

    /// Makes the renewal due that was held back while an answer of the holder was awaited.
    pub fn hasten_renewal(&mut self, node: &str, period: Duration, now: Duration) {
        let is_holder = self.holder(now).is_some_and(|holder| holder == node);
        if is_holder && now.saturating_sub(self.delegated_at) >= period {
            self.hasten();
        }
    }

    /// Returns whether `period` has passed since the last message.
    pub fn is_due(&self, period: Duration, now: Duration) -> bool {
        self.last_sent
            .is_none_or(|sent| now.saturating_sub(sent) >= period)
    }
}
