//! A configuration in force together with the index that the call path needs.

use {
    crate::config::{ConfigResource, ConfigSnapshot, RouteSpec, ServiceSpec},
    derive_more::Deref,
    std::collections::HashMap,
};

/// A configuration in force.
///
/// Invariant: `services_by_host` names every service of `snapshot` by its host in lower case. The index is
/// built once when a version is put in force, because a search over all services for each call would grow
/// with their number.
#[derive(Debug, Default, Deref)]
pub struct ActiveConfig {
    #[deref]
    snapshot: ConfigSnapshot,
    services_by_host: HashMap<String, String>,
}

impl From<ConfigSnapshot> for ActiveConfig {
    fn from(snapshot: ConfigSnapshot) -> Self {
        let services_by_host = snapshot
            .services()
            .map(|spec| {
                (
                    spec.host.to_ascii_lowercase(),
                    format!("service/{}", spec.key),
                )
            })
            .collect();
        Self {
            snapshot,
            services_by_host,
        }
    }
}

impl ActiveConfig {
    /// Returns the configuration without its index.
    pub fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// Returns the service that callers reach under a host name, with or without a port.
    pub fn service_of_host(&self, host: &str) -> Option<&ServiceSpec> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let resource = self.services_by_host.get(&name.to_ascii_lowercase())?;
        match &self.snapshot.resources.get(resource)?.resource {
            ConfigResource::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the service and route of a call: by host, method and the longest matching path prefix.
    pub fn find_route(
        &self,
        host: &str,
        method: &str,
        path: &str,
    ) -> Option<(&ServiceSpec, &RouteSpec)> {
        let spec = self.service_of_host(host)?;
        let route = spec
            .routes
            .iter()
            .filter(|route| accepts_method(route, method))
            .filter(|route| is_path_prefix(&route.path, path))
            .max_by_key(|route| route.path.len())?;
        Some((spec, route))
    }
}

fn accepts_method(route: &RouteSpec, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|accepted| accepted == method)
}

fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let trimmed = prefix.trim_end_matches('/');
    match path.strip_prefix(trimmed) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || rest.starts_with('?'),
        None => false,
    }
}
