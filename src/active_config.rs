//! A configuration in force together with the index that the call path needs.

use {
    crate::config::{ConfigResource, ConfigSnapshot, RouteSpec, ServiceSpec},
    derive_more::Deref,
    std::{collections::HashMap, sync::Arc},
};

/// A configuration in force.
///
/// Invariant: `services_by_host` names every service of `snapshot` by its host in lower case. The index is
/// built once when a version is put in force, because a search over all services for each call would grow
/// with their number.
#[derive(Debug, Default, Deref)]
pub struct ActiveConfig {
    #[deref(forward)]
    snapshot: Arc<ConfigSnapshot>,
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
            snapshot: Arc::new(snapshot),
            services_by_host,
        }
    }
}

impl ActiveConfig {
    /// Returns the configuration without its index.
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        self.snapshot.clone()
    }

    /// Returns the service that callers reach under a host name, with or without a port.
    pub fn service_of_host(&self, host: &str) -> Option<&ServiceSpec> {
        let name = host_name(host).to_ascii_lowercase();
        let resource = self.services_by_host.get(&name)?;
        match &self.snapshot.resources.get(resource)?.resource {
            ConfigResource::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the service and route of a call: by host, method and the longest matching path prefix;
    /// `path` is without the query.
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

/// Returns a host without its port; the colons of a bracketed IPv6 address belong to the host.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.contains(']') => name,
        _ => host,
    }
}

fn accepts_method(route: &RouteSpec, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|accepted| accepted == method)
}

fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let trimmed = prefix.trim_end_matches('/');
    match path.strip_prefix(trimmed) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
