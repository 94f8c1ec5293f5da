//! The configuration in force with its indexes, for the routing of calls.

use {
    crate::{
        accounts::key_index::KeyIndex,
        config::{ConfigResource, ConfigSnapshot, HostRoute, RouteSpec, ServiceSpec},
    },
    derive_more::Deref,
    std::{cmp::Reverse, collections::HashMap, sync::Arc},
};

/// A configuration in force with its indexes by host name and by key of client accounts.
///
/// Invariants, with host names in lower case: `services_by_host` maps the host of every service of `snapshot` to the
/// resource name of the service; `routes_by_host` holds every `HostRoute` (a route that an operator defines directly,
/// without a contract) of a host, those with the longest prefix first; `keys` holds every client account. The indexes are built once when a version is
/// put in force, since the cost of a search over all services for each call would grow with their number.
#[derive(Debug, Default, Deref)]
pub struct ActiveConfig {
    #[deref(forward)]
    snapshot: Arc<ConfigSnapshot>,
    services_by_host: HashMap<String, String>,
    routes_by_host: HashMap<String, Vec<Arc<HostRoute>>>,
    keys: KeyIndex,
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
        let routes_by_host = index_routes(&snapshot);
        let keys = KeyIndex::new(snapshot.accounts());
        Self {
            snapshot: Arc::new(snapshot),
            services_by_host,
            routes_by_host,
            keys,
        }
    }
}

fn index_routes(snapshot: &ConfigSnapshot) -> HashMap<String, Vec<Arc<HostRoute>>> {
    let mut by_host: HashMap<String, Vec<Arc<HostRoute>>> = HashMap::new();
    for route in snapshot.host_routes() {
        let host = route.host.to_ascii_lowercase();
        by_host
            .entry(host)
            .or_default()
            .push(Arc::new(route.clone()));
    }
    for routes in by_host.values_mut() {
        routes.sort_by_key(|route| Reverse(route.prefix.len()));
    }
    by_host
}

impl ActiveConfig {
    /// Returns the configuration without its indexes.
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        self.snapshot.clone()
    }

    /// Returns the client accounts with their index by key.
    pub fn keys(&self) -> &KeyIndex {
        &self.keys
    }

    /// Returns the service of a host name; case and a port in `host` are ignored.
    pub fn service_of_host(&self, host: &str) -> Option<&ServiceSpec> {
        let name = host_name(host).to_ascii_lowercase();
        let resource = self.services_by_host.get(&name)?;
        match &self.snapshot.resources.get(resource)?.resource {
            ConfigResource::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the `HostRoute` of a host with the longest prefix of the path; case and a port in `host` are ignored.
    pub fn host_route(&self, host: &str, path: &str) -> Option<Arc<HostRoute>> {
        let name = host_name(host).to_ascii_lowercase();
        let routes = self.routes_by_host.get(&name)?;
        let matching = routes.iter().find(|route| path.starts_with(&route.prefix));
        matching.cloned()
    }

    /// Returns the service of a host and its route that accepts the method and has the longest matching path prefix;
    /// `path` must not contain the query.
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

/// Removes the port from a host; colons inside the brackets of an IPv6 address do not start a port.
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
