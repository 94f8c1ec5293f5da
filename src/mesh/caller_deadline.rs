//! Estimate of the time that a caller has spent on earlier attempts of a call.

use {
    crate::ids::RouteName,
    std::{collections::HashMap, time::Duration},
};

/// Largest number of routes; the table is cleared when it is full.
const MAX_ROUTES: usize = 4096;

/// Longest deadline that callers have sent for each route.
///
/// A caller that retries a refused call sends the time that is left of its first deadline. The difference to the
/// longest deadline of the route is therefore the time that it has waited.
#[derive(Debug, Default)]
pub struct CallerDeadlines {
    longest: HashMap<RouteName, Duration>,
}

impl CallerDeadlines {
    /// Records the deadline of an attempt, as the time left, and returns how long its caller has waited before.
    pub fn waited_before(&mut self, route: &str, deadline: Duration) -> Duration {
        if let Some(longest) = self.longest.get_mut(route) {
            *longest = deadline.max(*longest);
            return *longest - deadline;
        }
        if self.longest.len() >= MAX_ROUTES {
            self.longest.clear();
        }
        self.longest.insert(route.to_owned(), deadline);
        Duration::ZERO
    }
}
