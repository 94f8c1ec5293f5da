//! Traffic split: division of a route's calls among its services.

use {
    crate::{
        config::{HostRoute, RouteShare, ServiceKey},
        ids::{ConfigVersion, RouteName},
    },
    rand::Rng,
    std::collections::HashMap,
};

/// Round-robin credit of each service of a route.
#[derive(Debug)]
struct RouteCredits {
    shares: Vec<RouteShare>,
    credits: Vec<i64>,
}

/// Smooth weighted round robin for each route.
///
/// Each selection raises every credit by its weight and lowers that of the selected service by the sum of the
/// weights, so that the calls match the weights closely even over few calls.
#[derive(Debug, Default)]
pub struct RouteSplits {
    version: ConfigVersion,
    routes: HashMap<RouteName, RouteCredits>,
}

impl RouteSplits {
    /// Returns the service for the next call of a route; none if no service has a weight above 0.
    pub fn next(
        &mut self,
        route: &HostRoute,
        version: ConfigVersion,
        rng: &mut impl Rng,
    ) -> Option<ServiceKey> {
        if let [only] = route.shares.as_slice() {
            return Some(only.service.clone());
        }
        if version != self.version {
            // Drops routes without shares, so that they do not stay in the table.
            self.version = version;
            self.routes
                .retain(|_, existing| !existing.shares.is_empty());
        }
        let existing = self.routes.get(&route.name);
        if existing.is_none_or(|existing| existing.shares != route.shares) {
            self.routes
                .insert(route.name.clone(), RouteCredits::new(route, rng));
        }
        self.routes.get_mut(&route.name)?.next()
    }
}

impl RouteCredits {
    /// Returns credits at a random point of the cycle, so that the nodes do not all select the same service at the
    /// same time.
    fn new(route: &HostRoute, rng: &mut impl Rng) -> Self {
        let total: i64 = route.shares.iter().map(|s| i64::from(s.weight)).sum();
        let credits = route
            .shares
            .iter()
            .map(|_| rng.random_range(0..=total.max(1)))
            .collect();
        Self {
            shares: route.shares.clone(),
            credits,
        }
    }

    fn next(&mut self) -> Option<ServiceKey> {
        let total: i64 = self.shares.iter().map(|s| i64::from(s.weight)).sum();
        for (credit, share) in self.credits.iter_mut().zip(&self.shares) {
            *credit += i64::from(share.weight);
        }
        let weighted = (0..self.shares.len()).filter(|index| self.shares[*index].weight > 0);
        let chosen = weighted.max_by_key(|index| self.credits[*index])?;
        self.credits[chosen] -= total;
        Some(self.shares[chosen].service.clone())
    }
}
