//! The configuration that nodes distribute and put in force.

use {
    crate::ids::{ConfigVersion, CustomerName, RouteName, ServiceName, VersionName},
    derive_more::{Display, From},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{collections::BTreeMap, time::Duration},
    thiserror::Error,
};

/// Key of a service: its customer and its name.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{customer}/{service}")]
#[serde(deny_unknown_fields)]
pub struct ServiceKey {
    /// Customer that owns the service.
    pub customer: CustomerName,
    /// Name of the service within its customer.
    pub service: ServiceName,
}

/// A limit together with the contract line that sets it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractLimit {
    /// Value of the limit, in the unit of the field that holds it.
    pub value: u64,
    /// Line of the contract that sets the limit, counted from 1.
    pub line: u32,
}

/// Rate and concurrency limits of a customer, a service or a route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallLimits {
    /// Calls per second over the whole fleet; none means unlimited.
    pub rate: Option<ContractLimit>,
    /// Calls in progress at once over the whole fleet; none means unlimited.
    pub concurrency: Option<ContractLimit>,
}

/// Limits that hold for a customer over all its services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Limits over all services of the customer.
    pub limits: CallLimits,
}

/// One route of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Name of the route, unique within the service.
    pub name: RouteName,
    /// Path prefix that the route serves; the longest matching prefix wins.
    pub path: String,
    /// Methods that the route serves; empty means all.
    pub methods: Vec<String>,
    /// Whether a call may run more than once without harm.
    pub idempotent: bool,
    /// Whether calls with an idempotency key are recorded; excludes `idempotent`.
    pub keyed: bool,
    /// Longest time from the arrival of a call to the end of its answer.
    pub deadline: Duration,
    /// Contract line that sets the deadline.
    pub deadline_line: u32,
    /// Longest request body in bytes.
    pub body_limit: ContractLimit,
    /// Limits of this route alone.
    pub limits: CallLimits,
}

/// Which error of a move costs the customer more.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MovePreference {
    /// A bad version that stays costs more: without enough evidence a move is taken back.
    #[display("safety")]
    Safety,
    /// A late move costs more: without evidence against it a move goes on.
    #[display("punctuality")]
    Punctuality,
}

/// Rules for moves of a service between versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MovePolicy {
    /// Which error costs more.
    pub prefer: MovePreference,
    /// Time within which a started version must have taken over.
    pub finish_within: Duration,
    /// Largest share of calls, in per mille, that an unproven version may receive.
    pub canary_permille: u32,
    /// Time for which a version is watched after it took over.
    pub watch_for: Duration,
}

/// A service of a customer with its routes and limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Key of the service.
    pub key: ServiceKey,
    /// Host name under which callers reach the service.
    pub host: String,
    /// Version that serves before the first move.
    pub initial_version: VersionName,
    /// Limits of the service over all its routes.
    pub limits: CallLimits,
    /// Routes; names and paths are unique within the service.
    pub routes: Vec<RouteSpec>,
    /// Rules for moves.
    pub move_policy: MovePolicy,
}

/// Phase of a move.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MovePhase {
    /// The candidate waits for targets to announce themselves.
    #[display("waiting")]
    Waiting,
    /// The candidate receives a small share.
    #[display("canary")]
    Canary,
    /// The candidate's share grows.
    #[display("ramp")]
    Ramp,
    /// The candidate serves most calls; the old version keeps a share as baseline.
    #[display("watch")]
    Watch,
    /// The candidate has become the stable version.
    #[display("done")]
    Done,
    /// The candidate was found bad or the move was cancelled.
    #[display("taken back")]
    TakenBack,
}

/// A move from the stable version of a service to a candidate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionMove {
    /// Identifier of the move: the configuration version that started it.
    pub id: ConfigVersion,
    /// Version that is to take over.
    pub candidate: VersionName,
    /// Version that served when the move started.
    pub previous: VersionName,
    /// Phase reached.
    pub phase: MovePhase,
    /// Start of the move, milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Time by which the candidate must have taken over, milliseconds since the Unix epoch.
    pub finish_by_ms: u64,
    /// Why the phase was reached.
    pub reason: String,
}

/// Division of a service's calls between its versions.
///
/// Invariant: `candidate_permille` is 0 unless `current_move` is in a phase before done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficSplit {
    /// Service whose calls are divided.
    pub key: ServiceKey,
    /// Version that receives all calls that the candidate does not.
    pub stable: VersionName,
    /// Share of the candidate in per mille of calls.
    pub candidate_permille: u32,
    /// The latest move, running or ended.
    pub current_move: Option<VersionMove>,
}

/// Share of a service in the calls of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteShare {
    /// Service that receives the share.
    pub service: ServiceKey,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A route whose operator names host, prefix and services directly, without a contract.
///
/// Invariants: `prefix` begins and ends with a slash; `shares` is not empty and its weights do not sum to 0.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostRoute {
    /// Name of the route, unique within the configuration.
    pub name: RouteName,
    /// Host name under which callers reach the route.
    pub host: String,
    /// Path prefix that the route serves; the longest matching prefix of a host wins.
    pub prefix: String,
    /// Services that the calls are divided among.
    pub shares: Vec<RouteShare>,
    /// Whether a call may run more than once without harm.
    pub idempotent: bool,
    /// Longest time from the arrival of a call to the end of its answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value for the caller.
    pub objective: Duration,
    /// Largest number of targets that one call may be sent to.
    pub attempts: u32,
    /// Rank of the route; 0 goes before all others.
    pub priority: u32,
}

/// A service whose operator sets no contract for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// Key of the service.
    pub key: ServiceKey,
    /// Connections that each of its targets accepts from all callers together.
    pub connections: u32,
    /// Path of the health check of its targets.
    pub health_path: String,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IntakeLimits {
    /// Longest head of a request in bytes.
    pub header_bytes: u64,
    /// Longest body of a request in bytes.
    pub body_bytes: u64,
    /// Longest time for the head of a request.
    pub header_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

/// One named part of a configuration.
#[derive(Clone, Debug, Deserialize, Eq, From, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigResource {
    /// Limits of a customer.
    Customer(CustomerSpec),
    /// A service with its routes.
    Service(ServiceSpec),
    /// Division of calls between versions.
    Split(TrafficSplit),
    /// A route that is set without a contract.
    Route(HostRoute),
    /// A service that is set without a contract.
    Backend(BackendSpec),
    /// What a caller may send.
    Intake(IntakeLimits),
}

/// Name of a resource within a configuration.
pub type ResourceName = String;

impl ConfigResource {
    /// Returns the name under which a configuration holds this resource.
    pub fn name(&self) -> ResourceName {
        match self {
            Self::Customer(spec) => format!("customer/{}", spec.customer),
            Self::Service(spec) => format!("service/{}", spec.key),
            Self::Split(split) => format!("split/{}", split.key),
            Self::Route(route) => format!("route/{}", route.name),
            Self::Backend(spec) => format!("backend/{}", spec.key),
            Self::Intake(_) => "intake".to_owned(),
        }
    }
}

/// A resource with the configuration version that last changed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedResource {
    /// Configuration version that last changed the resource.
    pub changed_at: ConfigVersion,
    /// The resource itself.
    pub resource: ConfigResource,
}

/// One accepted configuration, whole.
///
/// Invariants: every key equals the name of its resource, and no `changed_at` exceeds `version`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// Position in the fleet-wide sequence.
    pub version: ConfigVersion,
    /// Time of the acceptance by the clock of the accepting node, milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Resources by name.
    pub resources: BTreeMap<ResourceName, VersionedResource>,
}

/// The change from one configuration to a later one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// Version that the delta applies to.
    pub from: ConfigVersion,
    /// Version that results.
    pub to: ConfigVersion,
    /// Time of the acceptance of that version, milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Content hash that results.
    pub hash: String,
    /// Resources added or changed.
    pub changed: Vec<VersionedResource>,
    /// Names of resources removed.
    pub removed: Vec<ResourceName>,
}

/// A configuration that must not be put in force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A resource refers to another that is absent.
    #[error("resource {resource} refers to {missing}, which the configuration lacks")]
    MissingReference {
        /// Resource that holds the reference.
        resource: ResourceName,
        /// Resource that is absent.
        missing: ResourceName,
    },
    /// A delta was made for another version.
    #[error("delta starts at version {from}, but version {have} is present")]
    WrongBase {
        /// Version the delta starts from.
        from: ConfigVersion,
        /// Version that is present.
        have: ConfigVersion,
    },
    /// The content does not match its hash.
    #[error("content hash is {found}, expected {expected}")]
    HashMismatch {
        /// Hash that was announced.
        expected: String,
        /// Hash of the content.
        found: String,
    },
    /// Two services claim one host.
    #[error("services {first} and {second} both claim host {host}")]
    DuplicateHost {
        /// Host claimed twice.
        host: String,
        /// First service.
        first: ServiceKey,
        /// Second service.
        second: ServiceKey,
    },
    /// A split gives calls to a candidate without a running move.
    #[error("split of {key} gives {permille} per mille to a candidate without a running move")]
    InvalidSplit {
        /// Service of the split.
        key: ServiceKey,
        /// Share given.
        permille: u32,
    },
}

impl ConfigSnapshot {
    /// Returns the SHA-256 of the version and the resources in hexadecimal.
    pub fn content_hash(&self) -> String {
        let encoded = serde_json::to_vec(self).expect("a snapshot has only string keys");
        let digest = Sha256::digest(&encoded);
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the service with this key.
    pub fn service(&self, key: &ServiceKey) -> Option<&ServiceSpec> {
        match &self.resources.get(&format!("service/{key}"))?.resource {
            ConfigResource::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the traffic split of the service with this key.
    pub fn split(&self, key: &ServiceKey) -> Option<&TrafficSplit> {
        match &self.resources.get(&format!("split/{key}"))?.resource {
            ConfigResource::Split(split) => Some(split),
            _ => None,
        }
    }

    /// Returns the customer-wide limits of a customer.
    pub fn customer(&self, name: &str) -> Option<&CustomerSpec> {
        match &self.resources.get(&format!("customer/{name}"))?.resource {
            ConfigResource::Customer(spec) => Some(spec),
            _ => None,
        }
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.resources
            .values()
            .filter_map(|entry| match &entry.resource {
                ConfigResource::Service(spec) => Some(spec),
                _ => None,
            })
    }

    /// Iterates over the routes that are set without a contract.
    pub fn host_routes(&self) -> impl Iterator<Item = &HostRoute> {
        self.resources
            .values()
            .filter_map(|entry| match &entry.resource {
                ConfigResource::Route(route) => Some(route),
                _ => None,
            })
    }

    /// Returns the service that is set without a contract under this key.
    pub fn backend(&self, key: &ServiceKey) -> Option<&BackendSpec> {
        match &self.resources.get(&format!("backend/{key}"))?.resource {
            ConfigResource::Backend(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns what callers may send, if the configuration limits it.
    pub fn intake(&self) -> Option<&IntakeLimits> {
        match &self.resources.get("intake")?.resource {
            ConfigResource::Intake(limits) => Some(limits),
            _ => None,
        }
    }

    /// Checks that every reference resolves and no host is claimed twice.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.check_references()?;
        self.check_hosts()
    }

    fn check_references(&self) -> Result<(), ConfigError> {
        for (name, entry) in &self.resources {
            for missing in required_names(&entry.resource) {
                if !self.resources.contains_key(&missing) {
                    return Err(ConfigError::MissingReference {
                        resource: name.clone(),
                        missing,
                    });
                }
            }
            if let ConfigResource::Split(split) = &entry.resource {
                check_split(split)?;
            }
        }
        Ok(())
    }

    fn check_hosts(&self) -> Result<(), ConfigError> {
        let mut owners: BTreeMap<&str, &ServiceKey> = BTreeMap::new();
        for spec in self.services() {
            if let Some(first) = owners.insert(&spec.host, &spec.key) {
                return Err(ConfigError::DuplicateHost {
                    host: spec.host.clone(),
                    first: first.clone(),
                    second: spec.key.clone(),
                });
            }
        }
        Ok(())
    }

    /// Returns the change that leads from `base` to this configuration.
    pub fn delta_from(&self, base: &ConfigSnapshot) -> ConfigDelta {
        let changed = self
            .resources
            .iter()
            .filter(|(name, entry)| base.resources.get(*name) != Some(entry))
            .map(|(_, entry)| entry.clone())
            .collect();
        let removed = base
            .resources
            .keys()
            .filter(|name| !self.resources.contains_key(*name))
            .cloned()
            .collect();
        ConfigDelta {
            from: base.version,
            to: self.version,
            accepted_at_ms: self.accepted_at_ms,
            hash: self.content_hash(),
            changed,
            removed,
        }
    }

    /// Returns the configuration that a delta leads to, checked against its hash.
    pub fn with_delta(&self, delta: &ConfigDelta) -> Result<ConfigSnapshot, ConfigError> {
        if delta.from != self.version {
            return Err(ConfigError::WrongBase {
                from: delta.from,
                have: self.version,
            });
        }
        let mut next = self.clone();
        next.version = delta.to;
        next.accepted_at_ms = delta.accepted_at_ms;
        for name in &delta.removed {
            next.resources.remove(name);
        }
        for entry in &delta.changed {
            next.resources.insert(entry.resource.name(), entry.clone());
        }
        let found = next.content_hash();
        if found != delta.hash {
            return Err(ConfigError::HashMismatch {
                expected: delta.hash.clone(),
                found,
            });
        }
        Ok(next)
    }
}

fn required_names(resource: &ConfigResource) -> Vec<ResourceName> {
    match resource {
        ConfigResource::Customer(_) | ConfigResource::Backend(_) | ConfigResource::Intake(_) => {
            Vec::new()
        }
        ConfigResource::Route(route) => {
            let shares = route.shares.iter();
            shares
                .map(|share| format!("backend/{}", share.service))
                .collect()
        }
        ConfigResource::Service(spec) => {
            vec![
                format!("customer/{}", spec.key.customer),
                format!("split/{}", spec.key),
            ]
        }
        ConfigResource::Split(split) => vec![format!("service/{}", split.key)],
    }
}

fn check_split(split: &TrafficSplit) -> Result<(), ConfigError> {
    let running = split
        .current_move
        .as_ref()
        .is_some_and(|current| !matches!(current.phase, MovePhase::Done | MovePhase::TakenBack));
    let valid = split.candidate_permille == 0 || (running && split.candidate_permille <= 1000);
    if valid {
        return Ok(());
    }
    Err(ConfigError::InvalidSplit {
        key: split.key.clone(),
        permille: split.candidate_permille,
    })
}
