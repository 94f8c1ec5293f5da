//! Division of a route's calls among its services.

use {
    crate::{
        config::{HostRoute, RouteShare, ServiceKey},
        ids::{ConfigVersion, RouteName},
    },
    rand::Rng,
    std::collections::HashMap,
};

/// Credit of each service of a route under one configuration.
#[derive(Debug)]
struct RouteCredits {
    shares: Vec<RouteShare>,
    credits: Vec<i64>,
}

/// Smooth weighted round robin by route.
///
/// Each choice raises every credit by its weight and lowers that of the chosen service by the sum of weights, so
/// the shares are met closely even over few calls.
#[derive(Debug, Default)]
pub struct RouteSplits {
    version: ConfigVersion,
    routes: HashMap<RouteName, RouteCredits>,
}

impl RouteSplits {
    /// Returns the service of the next call of a route.
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
            // Routes that were removed must not stay in the table.
            self.version = version;
            self.routes.retain(|_, known| !known.shares.is_empty());
        }
        let known = self.routes.get(&route.name);
        if known.is_none_or(|known| known.shares != route.shares) {
            self.routes
                .insert(route.name.clone(), RouteCredits::new(route, rng));
        }
        self.routes.get_mut(&route.name)?.next()
    }
}

impl RouteCredits {
    /// Starts at a random point of the cycle, so that the nodes do not choose in step.
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
        let usable = (0..self.shares.len()).filter(|index| self.shares[*index].weight > 0);
        let chosen = usable.max_by_key(|index| self.credits[*index])?;
        self.credits[chosen] -= total;
        Some(self.shares[chosen].service.clone())
    }
}
