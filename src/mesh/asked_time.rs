//! How long the caller of an attempt has waited already.

use {
    crate::ids::RouteName,
    std::{collections::HashMap, time::Duration},
};

/// Routes whose longest deadline is remembered.
const MAX_ROUTES: usize = 4096;

/// Longest deadline that callers have named for each route.
///
/// A caller that repeats a refused call names what is left of its first deadline, so what is missing from the
/// longest deadline of the route is the time that it has waited.
#[derive(Debug, Default)]
pub struct AskedTimes {
    longest: HashMap<RouteName, Duration>,
}

impl AskedTimes {
    /// Notes the deadline of an attempt and returns how long its caller has waited before.
    pub fn waited_before(&mut self, route: &str, asked: Duration) -> Duration {
        if let Some(longest) = self.longest.get_mut(route) {
            *longest = asked.max(*longest);
            return *longest - asked;
        }
        if self.longest.len() >= MAX_ROUTES {
            self.longest.clear();
        }
        self.longest.insert(route.to_owned(), asked);
        Duration::ZERO
    }
}
