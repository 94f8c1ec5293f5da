//! The configuration of the fleet: its resources, snapshots, deltas and validity checks.
//!
//! Most resources come from customer contracts (see [`crate::contract`]). Routes, backends and intake limits are
//! set by the operator without a contract.

mod account_check;

pub use self::account_check::AccountFault;

use {
    self::account_check::find_faults,
    crate::ids::{AccountName, ConfigVersion, CustomerName, RouteName, ServiceName, VersionName},
    derive_more::{Display, From},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{collections::BTreeMap, fmt, time::Duration},
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

/// Rate and concurrency limits of a customer, service or route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallLimits {
    /// Calls per second over the whole fleet; none means unlimited.
    pub rate: Option<ContractLimit>,
    /// Calls in progress at once over the whole fleet; none means unlimited.
    pub concurrency: Option<ContractLimit>,
}

/// A customer and the limits on the sum of its calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Limits on the calls to all services of the customer together.
    pub limits: CallLimits,
}

/// A route of a service, as set by the customer's contract.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Name of the route, unique within the service.
    pub name: RouteName,
    /// Path prefix that the route serves; the longest matching prefix wins.
    pub path: String,
    /// HTTP methods that the route serves; empty means all.
    pub methods: Vec<String>,
    /// Whether executing a call more than once has the same effect as executing it once.
    pub idempotent: bool,
    /// Whether calls with an idempotency key are recorded, so that a repeat is not executed again; never set
    /// together with `idempotent`.
    pub keyed: bool,
    /// Longest time from the arrival of a call to the end of its response.
    pub deadline: Duration,
    /// Contract line that sets the deadline.
    pub deadline_line: u32,
    /// Longest request body in bytes.
    pub body_limit: ContractLimit,
    /// Limits on the calls to this route.
    pub limits: CallLimits,
}

/// Which wrong decision about a move is worse for the customer: keeping a bad version, or delaying a good one.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MovePreference {
    /// Keeping a bad version is worse: without enough evidence for the candidate the move is rolled back.
    #[display("safety")]
    Safety,
    /// Delaying a good version is worse: without evidence against the candidate the move proceeds.
    #[display("punctuality")]
    Punctuality,
}

/// Rules for the moves of a service: gradual shifts of its calls from the stable version to a candidate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MovePolicy {
    /// Which wrong decision is worse.
    pub prefer: MovePreference,
    /// Time from the start of a move until the candidate must have taken over, that is, reached the watch phase.
    pub finish_within: Duration,
    /// Largest share of calls, in per mille, that the candidate receives in the canary phase.
    pub canary_permille: u32,
    /// Length of the watch phase, which follows the takeover.
    pub watch_for: Duration,
}

/// A service of a customer with its routes and limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Key of the service.
    pub key: ServiceKey,
    /// Host name by which callers address the service.
    pub host: String,
    /// Version that receives all calls until the first move.
    pub initial_version: VersionName,
    /// Limits on the calls to all routes of the service together.
    pub limits: CallLimits,
    /// Routes; names and paths are unique within the service.
    pub routes: Vec<RouteSpec>,
    /// Rules for moves of the service.
    pub move_policy: MovePolicy,
}

/// Phase of a move.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MovePhase {
    /// The move waits for targets of the candidate to announce themselves.
    #[display("waiting")]
    Waiting,
    /// The candidate receives a small share of the calls.
    #[display("canary")]
    Canary,
    /// The candidate's share of the calls grows in steps.
    #[display("ramp")]
    Ramp,
    /// The candidate has taken over most calls; the old version keeps a small share as the baseline.
    #[display("watch")]
    Watch,
    /// The candidate has become the stable version.
    #[display("done")]
    Done,
    /// The move was rolled back, because the candidate was rejected or an operator cancelled the move.
    #[display("taken back")]
    TakenBack,
}

/// A move: the gradual shift of a service's calls from its stable version to a candidate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionMove {
    /// Identifier of the move: the configuration version that started it.
    pub id: ConfigVersion,
    /// Version that the calls are shifted to.
    pub candidate: VersionName,
    /// Stable version when the move started.
    pub previous: VersionName,
    /// Current phase, or the final one if the move has ended.
    pub phase: MovePhase,
    /// Start of the move, milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Deadline for the candidate's takeover, milliseconds since the Unix epoch.
    pub finish_by_ms: u64,
    /// Reason for the latest change of phase or share, for operators.
    pub reason: String,
}

/// Division of a service's calls between its stable version and a candidate.
///
/// Invariant: `candidate_permille` is 0 unless `current_move` is running, that is, neither done nor taken back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficSplit {
    /// Service whose calls are divided.
    pub key: ServiceKey,
    /// Version that receives all calls that do not go to the candidate.
    pub stable: VersionName,
    /// Share of the calls that go to the candidate, in per mille.
    pub candidate_permille: u32,
    /// The latest move, running or ended.
    pub current_move: Option<VersionMove>,
}

/// Weighted share of a route's calls that one service receives.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteShare {
    /// Service that receives the share.
    pub service: ServiceKey,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A route that the operator sets directly, without a contract.
///
/// Invariants: `prefix` begins and ends with a slash; `shares` is not empty and its weights do not sum to 0.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostRoute {
    /// Name of the route, unique within the configuration.
    pub name: RouteName,
    /// Host name by which callers address the route.
    pub host: String,
    /// Path prefix that the route serves; the longest matching prefix of the host wins.
    pub prefix: String,
    /// Services that the calls are divided among by weight.
    pub shares: Vec<RouteShare>,
    /// Whether executing a call more than once has the same effect as executing it once.
    pub idempotent: bool,
    /// Longest time from the arrival of a call to the end of its response.
    pub timeout: Duration,
    /// Latency objective; a later response has less value for the caller.
    #[serde(rename = "objective")]
    pub latency_objective: Duration,
    /// Largest number of targets that one call may be sent to.
    pub attempts: u32,
    /// Priority of the route's calls while they wait for a slot of a target; 0 is the highest.
    pub priority: u32,
    /// Whether callers need no key, also if the configuration has client accounts.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Rate of calls, kept in calls per 1000 s so that configurations can be compared.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct CallRate {
    calls_per_1000_s: u64,
}

impl CallRate {
    /// Returns the rate for a number of calls per second, which must be finite and not negative.
    pub fn from_per_second(calls: f64) -> Option<Self> {
        let is_valid = calls.is_finite() && calls >= 0.0;
        is_valid.then_some(Self {
            calls_per_1000_s: (calls * 1000.0).round() as u64,
        })
    }

    /// Returns the calls per second.
    pub fn per_second(self) -> f64 {
        self.calls_per_1000_s as f64 / 1000.0
    }
}

/// Limit of the calls to a cold target, one that has started a short time ago.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WarmupLimit {
    /// Time for which a target is cold after its start.
    pub duration: Duration,
    /// Calls that a cold target tolerates.
    pub rate: CallRate,
}

/// Key with which a caller shows that it acts for a client account. Its text is never logged.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct AccountKey {
    secret: String,
}

impl AccountKey {
    /// Returns the key with this text.
    pub fn new(secret: String) -> Self {
        Self { secret }
    }

    /// Returns the text of the key, as callers send it.
    pub fn secret(&self) -> &str {
        &self.secret
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccountKey(hidden)")
    }
}

/// Limit of the calls of a client account over the whole fleet: a rate and what may come at once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UsageCap {
    /// Calls allowed in the long run.
    pub rate: CallRate,
    /// Calls allowed at once in addition.
    pub burst: u64,
}

/// A client account of the operator's callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Name of the account, which targets are told.
    pub account: AccountName,
    /// Keys of the account; each is valid on its own.
    pub keys: Vec<AccountKey>,
    /// Priority of the account's calls, which goes before that of their routes; 0 is the highest.
    pub priority: u32,
    /// Limit of the account's calls; none if they are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap: Option<UsageCap>,
}

/// A service that the operator sets directly, without a contract.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// Key of the service.
    pub key: ServiceKey,
    /// Connections that each target of the service accepts at once, from all callers together.
    pub connections: u32,
    /// Path of the health check of the service's targets.
    pub health_path: String,
    /// Limit of the calls to a cold target; none if cold targets are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<WarmupLimit>,
}

/// Size limits and timeouts for the requests and connections of callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IntakeLimits {
    /// Longest request head in bytes.
    pub header_bytes: u64,
    /// Longest request body in bytes.
    pub body_bytes: u64,
    /// Longest time for receiving a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection from a caller is closed.
    pub idle_timeout: Duration,
}

/// A named part of a configuration.
#[derive(Clone, Debug, Deserialize, Eq, From, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigResource {
    /// A customer with its limits.
    Customer(CustomerSpec),
    /// A service with its routes.
    Service(ServiceSpec),
    /// Division of a service's calls between its versions.
    Split(TrafficSplit),
    /// A route that is set without a contract.
    Route(HostRoute),
    /// A service that is set without a contract.
    Backend(BackendSpec),
    /// Limits on the requests and connections of callers.
    Intake(IntakeLimits),
    /// A client account.
    Account(AccountSpec),
}

/// Name of a resource, unique within a configuration, such as `service/kestrel/ledger`.
pub type ResourceName = String;

impl ConfigResource {
    /// Returns the key of this resource in [`ConfigSnapshot::resources`].
    pub fn name(&self) -> ResourceName {
        match self {
            Self::Customer(spec) => format!("customer/{}", spec.customer),
            Self::Service(spec) => format!("service/{}", spec.key),
            Self::Split(split) => format!("split/{}", split.key),
            Self::Route(route) => format!("route/{}", route.name),
            Self::Backend(spec) => format!("backend/{}", spec.key),
            Self::Intake(_) => "intake".to_owned(),
            Self::Account(spec) => format!("account/{}", spec.account),
        }
    }
}

/// A resource with the configuration version that last changed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedResource {
    /// Configuration version that last changed the resource.
    pub changed_at: ConfigVersion,
    /// Content as of that version.
    pub resource: ConfigResource,
}

/// A complete accepted configuration.
///
/// Invariants: every key equals the name of its resource, and no `changed_at` exceeds `version`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// Position in the fleet-wide sequence of accepted configurations.
    pub version: ConfigVersion,
    /// Time of acceptance by the clock of the accepting node, milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Resources by name.
    pub resources: BTreeMap<ResourceName, VersionedResource>,
}

/// The change from one configuration to a later one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// Base version that the delta applies to.
    pub from: ConfigVersion,
    /// Version that results from applying the delta.
    pub to: ConfigVersion,
    /// Time at which version `to` was accepted, milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Content hash of version `to`; see [`ConfigSnapshot::content_hash`].
    pub hash: String,
    /// Resources that are added or changed.
    pub changed: Vec<VersionedResource>,
    /// Names of the resources that are removed.
    pub removed: Vec<ResourceName>,
}

/// Why a configuration or a delta is rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A resource refers to another that is absent.
    #[error("resource {resource} refers to {missing}, which is not in the configuration")]
    MissingReference {
        /// Resource that holds the reference.
        resource: ResourceName,
        /// Resource that is absent.
        missing: ResourceName,
    },
    /// The base version of a delta is not the version that it is applied to.
    #[error("delta applies to version {from}, but the configuration at hand is version {base}")]
    WrongBase {
        /// Base version of the delta.
        from: ConfigVersion,
        /// Version of the configuration that the delta was applied to.
        base: ConfigVersion,
    },
    /// The content of a received snapshot, or the result of a delta, does not match its hash.
    #[error("configuration content hash is {found}, expected {expected}")]
    HashMismatch {
        /// Hash sent with the snapshot or delta.
        expected: String,
        /// Hash of the actual content.
        found: String,
    },
    /// Two services have the same host.
    #[error("services {first} and {second} both claim host {host}")]
    DuplicateHost {
        /// Host of both services.
        host: String,
        /// First service.
        first: ServiceKey,
        /// Second service.
        second: ServiceKey,
    },
    /// A split gives calls to a candidate without a running move, or more than 1000 per mille.
    #[error(
        "split of {key} gives {permille} per mille to a candidate; allowed: 0, or up to 1000 during a move"
    )]
    InvalidSplit {
        /// Service whose calls are divided.
        key: ServiceKey,
        /// Share of the candidate in per mille.
        permille: u32,
    },
    /// Client accounts have faults; all of them are listed.
    #[error("client accounts: {}", join_faults(.faults))]
    InvalidAccounts {
        /// Faults in the order of the names of the accounts.
        faults: Vec<AccountFault>,
    },
}

fn join_faults(faults: &[AccountFault]) -> String {
    let texts: Vec<String> = faults.iter().map(AccountFault::to_string).collect();
    texts.join("; ")
}

impl ConfigSnapshot {
    /// Returns the SHA-256 of the whole snapshot as JSON, in hexadecimal.
    pub fn content_hash(&self) -> String {
        let encoded =
            serde_json::to_vec(self).expect("JSON encoding cannot fail: all map keys are strings");
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

    /// Returns the customer with this name.
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

    /// Returns the service with this key that is set without a contract.
    pub fn backend(&self, key: &ServiceKey) -> Option<&BackendSpec> {
        match &self.resources.get(&format!("backend/{key}"))?.resource {
            ConfigResource::Backend(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the limits on callers' requests and connections; none if the configuration sets none.
    pub fn intake(&self) -> Option<&IntakeLimits> {
        match &self.resources.get("intake")?.resource {
            ConfigResource::Intake(limits) => Some(limits),
            _ => None,
        }
    }

    /// Iterates over the client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountSpec> {
        self.resources
            .values()
            .filter_map(|entry| match &entry.resource {
                ConfigResource::Account(spec) => Some(spec),
                _ => None,
            })
    }

    /// Checks that every reference resolves, every traffic split is valid, no two services share a host, and no two
    /// client accounts a key.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.check_references()?;
        self.check_hosts()?;
        self.check_accounts()
    }

    fn check_accounts(&self) -> Result<(), ConfigError> {
        let faults = find_faults(self.accounts());
        match faults.is_empty() {
            true => Ok(()),
            false => Err(ConfigError::InvalidAccounts { faults }),
        }
    }

    fn check_references(&self) -> Result<(), ConfigError> {
        for (name, entry) in &self.resources {
            for missing in referenced_names(&entry.resource) {
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
        let mut host_owners: BTreeMap<&str, &ServiceKey> = BTreeMap::new();
        for spec in self.services() {
            if let Some(first) = host_owners.insert(&spec.host, &spec.key) {
                return Err(ConfigError::DuplicateHost {
                    host: spec.host.clone(),
                    first: first.clone(),
                    second: spec.key.clone(),
                });
            }
        }
        Ok(())
    }

    /// Returns the delta that turns `base` into this configuration.
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

    /// Returns this configuration with a delta applied, verified against the hash in the delta.
    pub fn with_delta(&self, delta: &ConfigDelta) -> Result<ConfigSnapshot, ConfigError> {
        if delta.from != self.version {
            return Err(ConfigError::WrongBase {
                from: delta.from,
                base: self.version,
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

fn referenced_names(resource: &ConfigResource) -> Vec<ResourceName> {
    match resource {
        ConfigResource::Customer(_)
        | ConfigResource::Backend(_)
        | ConfigResource::Intake(_)
        | ConfigResource::Account(_) => Vec::new(),
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
