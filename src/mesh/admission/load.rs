//! Load of a target, as its node reports it to entry nodes.

use {crate::balancing::target_speed::RelativeTime, std::time::Duration};

/// Load of a target as measured by the node beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLoad {
    /// Calls that are running at the target.
    pub running: u32,
    /// Calls that are waiting in the queue of its node.
    pub waiting: u32,
    /// Calls that the target can run at once.
    pub slots: u32,
    /// Average service time over all routes; while all slots are taken, at least the mean age of the running calls.
    pub service_time: Duration,
    /// Average service time of the route that the load is reported for.
    pub route_time: Duration,
    /// Present service time against the average; none if the target does not report it.
    pub relative_time: Option<RelativeTime>,
    /// Limit of the calls to the target; none if it is warm.
    pub cold: Option<ColdLoad>,
}

/// Limit of the calls to a cold target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdLoad {
    /// Time for which the target is expected to be cold.
    pub left: Duration,
    /// Time between two calls at the present rate.
    pub interval: Duration,
    /// Time until one more call may be sent, after those that wait.
    pub room_in: Duration,
}

impl TargetLoad {
    /// Returns the expected wait of one more call for a slot.
    pub fn expected_wait(&self) -> Duration {
        let slots = self.slots.max(1);
        let ahead = (self.running + self.waiting + 1).saturating_sub(slots);
        self.present(self.service_time)
            .mul_f64(f64::from(ahead) / f64::from(slots))
    }

    /// Returns what an average service time is at present.
    fn present(&self, average: Duration) -> Duration {
        average.mul_f64(self.relative_time.unwrap_or(1.0))
    }
}
