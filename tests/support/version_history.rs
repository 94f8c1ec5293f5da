//! Samples the configuration versions of nodes over time and compares them with the audit records.

#![allow(dead_code, reason = "each test file uses a part of the checks")]

use {
    crate::fleet_fixture::ApiClient,
    poplarwing::{
        admin_types::{AuditEntry, AuditList, MoveList, NodeStatus},
        config::ConfigResource,
    },
    serde::de::DeserializeOwned,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Time between two samples of a node.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

/// Audit records in one page.
const AUDIT_PAGE: u64 = 100;

/// Configuration that a node reported at one time.
#[derive(Clone, Debug)]
pub struct VersionSample {
    /// Index of the node.
    pub node: usize,
    /// Configuration version in force.
    pub version: u64,
    /// Services with their versions and moves as the node reported them.
    pub view: MoveList,
}

/// A contract that was sent by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentContract {
    /// Customer of the contract.
    pub customer: String,
    /// Rate limit of the customer; each contract of a test has another one, so it identifies the contract.
    pub rate_limit: u64,
    /// Result of the request.
    pub outcome: ContractOutcome,
}

/// Result of a request that sends a contract.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ContractOutcome {
    /// Accepted as this version and revision.
    Accepted {
        /// Configuration version.
        version: u64,
        /// Revision of the contract.
        revision: u64,
    },
    /// Rejected with this error; the configuration was not changed.
    Refused(String),
    /// No clear response: the contract may or may not have been accepted.
    Unknown,
}

/// Samples the configuration of nodes in the background until it is stopped.
pub struct VersionSampler {
    stop: CancellationToken,
    samplers: Vec<JoinHandle<Vec<VersionSample>>>,
}

impl VersionSampler {
    /// Starts to sample the nodes with these admin addresses.
    pub fn start(client: &ApiClient, admins: Vec<SocketAddr>) -> Self {
        let stop = CancellationToken::new();
        let samplers = admins
            .into_iter()
            .enumerate()
            .map(|(node, admin)| {
                tokio::spawn(sample_until_stopped(
                    client.clone(),
                    node,
                    admin,
                    stop.clone(),
                ))
            })
            .collect();
        Self { stop, samplers }
    }

    /// Stops and returns the samples, ordered by time within each node.
    pub async fn stop(self) -> Vec<VersionSample> {
        self.stop.cancel();
        let mut samples = Vec::new();
        for sampler in self.samplers {
            samples.extend(sampler.await.unwrap());
        }
        samples
    }
}

async fn sample_until_stopped(
    client: ApiClient,
    node: usize,
    admin: SocketAddr,
    stop: CancellationToken,
) -> Vec<VersionSample> {
    let mut samples = Vec::new();
    while !stop.is_cancelled() {
        samples.extend(sample_node(&client, node, admin).await);
        sleep(SAMPLE_PERIOD).await;
    }
    samples
}

/// Returns a sample of a node, or none while the node does not answer or is not ready to route calls.
async fn sample_node(client: &ApiClient, node: usize, admin: SocketAddr) -> Option<VersionSample> {
    let status: NodeStatus = get_json(client, admin, "/v1/status").await?;
    let view: MoveList = get_json(client, admin, "/v1/moves").await?;
    status.ready.then_some(VersionSample {
        node,
        version: status.version,
        view,
    })
}

async fn get_json<T: DeserializeOwned>(
    client: &ApiClient,
    admin: SocketAddr,
    path: &str,
) -> Option<T> {
    let answer = client.send(admin, "GET", path, "").await?;
    serde_json::from_value(answer.body).ok()
}

/// Returns all audit records, read through a node.
pub async fn read_audit(client: &ApiClient, admin: SocketAddr) -> Vec<AuditEntry> {
    let mut records = Vec::new();
    let mut next = Some(1);
    while let Some(from) = next {
        let path = format!("/v1/audit?from={from}&limit={AUDIT_PAGE}");
        let list: AuditList = get_json(client, admin, &path).await.expect("audit records");
        records.extend(list.records);
        next = list.next;
    }
    records
}

/// Returns the cases in which a node reported a lower version than before, also across restarts (guarantee I1).
pub fn version_decreases(samples: &[VersionSample]) -> Vec<String> {
    let mut latest: BTreeMap<usize, u64> = BTreeMap::new();
    let mut decreases = Vec::new();
    for sample in samples {
        // The view was read after the status, so its version must not be lower.
        for version in [sample.version, sample.view.as_of] {
            let before = latest.entry(sample.node).or_default();
            if version < *before {
                decreases.push(format!(
                    "node {}: version {version} after version {before}",
                    sample.node
                ));
            }
            *before = version.max(*before);
        }
    }
    decreases
}

/// Returns the samples whose view differs from the configuration that the audit records up to its version give
/// (guarantees I2, I3).
pub fn partial_views(samples: &[VersionSample], records: &[AuditEntry]) -> Vec<String> {
    let mut mismatches = Vec::new();
    for sample in samples {
        let expected = resources_at(records, sample.view.as_of);
        let shown = shown_resources(&sample.view);
        let services: BTreeMap<_, _> = expected
            .into_iter()
            .filter(|(name, _)| !name.starts_with("customer/"))
            .collect();
        if shown != services {
            mismatches.push(format!(
                "node {} at version {}: the view differs from the audit records",
                sample.node, sample.view.as_of
            ));
        }
    }
    mismatches
}

type ResourceMap = BTreeMap<String, ConfigResource>;

fn resources_at(records: &[AuditEntry], version: u64) -> ResourceMap {
    let mut resources = ResourceMap::new();
    for record in records.iter().filter(|record| record.version <= version) {
        for name in &record.removed {
            resources.remove(name);
        }
        for resource in &record.changed {
            resources.insert(resource.name(), resource.clone());
        }
    }
    resources
}

fn shown_resources(view: &MoveList) -> ResourceMap {
    let mut resources = ResourceMap::new();
    for shown in &view.moves {
        let service = ConfigResource::Service(shown.service.clone());
        resources.insert(service.name(), service);
        let split = ConfigResource::Split(poplarwing::config::TrafficSplit {
            key: shown.key.clone(),
            stable: shown.stable.clone(),
            candidate_permille: shown.candidate_permille,
            current_move: shown.current_move.clone(),
        });
        resources.insert(split.name(), split);
    }
    resources
}

/// Returns the audit records whose version or contract revision does not follow that of the record before.
pub fn audit_gaps(records: &[AuditEntry]) -> Vec<String> {
    let mut gaps = Vec::new();
    let mut revisions: BTreeMap<&str, u64> = BTreeMap::new();
    for (expected, record) in (1..).zip(records) {
        if record.version != expected || record.previous + 1 != expected {
            gaps.push(format!("expected version {expected}, found {record:?}"));
        }
        if let Some(contract) = &record.contract {
            let revision = revisions.entry(&contract.customer).or_default();
            if contract.revision != *revision + 1 {
                gaps.push(format!("{contract:?} after revision {revision}"));
            }
            *revision = contract.revision;
        }
    }
    gaps
}

/// Returns the sent contracts whose response and audit records disagree, and the audit records without a sent
/// contract (guarantee I10).
pub fn unexplained_contracts(sent: &[SentContract], records: &[AuditEntry]) -> Vec<String> {
    let mut mismatches = Vec::new();
    for contract in sent {
        let recorded: Vec<&AuditEntry> = records
            .iter()
            .filter(|record| {
                customer_and_rate(record) == Some((&contract.customer, contract.rate_limit))
            })
            .collect();
        let agrees = match (&contract.outcome, recorded.as_slice()) {
            (ContractOutcome::Accepted { version, revision }, [record]) => {
                let recorded = record.contract.as_ref().map(|contract| contract.revision);
                record.version == *version && recorded == Some(*revision)
            }
            (ContractOutcome::Refused(_), []) => true,
            (ContractOutcome::Unknown, [] | [_]) => true,
            _ => false,
        };
        if !agrees {
            mismatches.push(format!(
                "{contract:?} does not agree with its {} audit records",
                recorded.len()
            ));
        }
    }
    let is_sent = |record: &AuditEntry| {
        let mut sent = sent.iter();
        sent.any(|contract| {
            customer_and_rate(record) == Some((&contract.customer, contract.rate_limit))
        })
    };
    let foreign = records.iter().filter(|record| !is_sent(record));
    mismatches.extend(
        foreign.map(|record| format!("audit record without a sent contract: {}", record.summary)),
    );
    mismatches
}

/// Returns the customer whose limits a record changed, and its new rate limit.
fn customer_and_rate(record: &AuditEntry) -> Option<(&String, u64)> {
    record.changed.iter().find_map(|resource| match resource {
        ConfigResource::Customer(spec) => Some((&spec.customer, spec.limits.rate?.value)),
        _ => None,
    })
}
