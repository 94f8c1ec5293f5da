//! Checks of configuration versions seen on nodes over time against the audit record.

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

/// Time between two looks at a node.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Audit records asked for at once.
const AUDIT_PAGE: u64 = 100;

/// What a node showed at one look.
#[derive(Clone, Debug)]
pub struct VersionSample {
    /// Index of the node.
    pub node: usize,
    /// Configuration version in force.
    pub version: u64,
    /// The node's view of services and versions.
    pub view: MoveList,
}

/// A contract that was sent by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentContract {
    /// Customer of the contract.
    pub customer: String,
    /// Rate limit of the customer, which no other contract of the test has.
    pub mark: u64,
    /// What came back.
    pub end: ContractEnd,
}

/// What became of a contract that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ContractEnd {
    /// Accepted as this version and revision.
    Accepted {
        /// Configuration version.
        version: u64,
        /// Revision of the contract.
        revision: u64,
    },
    /// Refused; nothing was changed.
    Refused(String),
    /// It may or may not have been accepted.
    Unknown,
}

/// Looks at nodes until it is stopped.
pub struct VersionWatch {
    stop: CancellationToken,
    watchers: Vec<JoinHandle<Vec<VersionSample>>>,
}

impl VersionWatch {
    /// Starts to look at nodes.
    pub fn start(client: &ApiClient, admins: Vec<SocketAddr>) -> Self {
        let stop = CancellationToken::new();
        let watchers = admins
            .into_iter()
            .enumerate()
            .map(|(node, admin)| {
                tokio::spawn(watch_node(client.clone(), node, admin, stop.clone()))
            })
            .collect();
        Self { stop, watchers }
    }

    /// Stops and returns what was seen, in order for each node.
    pub async fn stop(self) -> Vec<VersionSample> {
        self.stop.cancel();
        let mut samples = Vec::new();
        for watcher in self.watchers {
            samples.extend(watcher.await.unwrap());
        }
        samples
    }
}

async fn watch_node(
    client: ApiClient,
    node: usize,
    admin: SocketAddr,
    stop: CancellationToken,
) -> Vec<VersionSample> {
    let mut samples = Vec::new();
    while !stop.is_cancelled() {
        samples.extend(look_at(&client, node, admin).await);
        sleep(LOOK_PERIOD).await;
    }
    samples
}

/// Looks at a node; none while it does not answer or routes no calls.
async fn look_at(client: &ApiClient, node: usize, admin: SocketAddr) -> Option<VersionSample> {
    let status: NodeStatus = read(client, admin, "/v1/status").await?;
    let view: MoveList = read(client, admin, "/v1/moves").await?;
    status.ready.then_some(VersionSample {
        node,
        version: status.version,
        view,
    })
}

async fn read<T: DeserializeOwned>(client: &ApiClient, admin: SocketAddr, path: &str) -> Option<T> {
    let answer = client.send(admin, "GET", path, "").await?;
    serde_json::from_value(answer.body).ok()
}

/// Returns all audit records through a node.
pub async fn read_audit(client: &ApiClient, admin: SocketAddr) -> Vec<AuditEntry> {
    let mut records = Vec::new();
    let mut next = Some(1);
    while let Some(from) = next {
        let path = format!("/v1/audit?from={from}&limit={AUDIT_PAGE}");
        let list: AuditList = read(client, admin, &path).await.expect("audit records");
        records.extend(list.records);
        next = list.next;
    }
    records
}

/// Returns where a node showed a lower version than before (I1), also over restarts.
pub fn falling_versions(samples: &[VersionSample]) -> Vec<String> {
    let mut latest: BTreeMap<usize, u64> = BTreeMap::new();
    let mut falls = Vec::new();
    for sample in samples {
        // The view is read after the status.
        for version in [sample.version, sample.view.as_of] {
            let before = latest.entry(sample.node).or_default();
            if version < *before {
                falls.push(format!("node {}: {before} then {version}", sample.node));
            }
            *before = version.max(*before);
        }
    }
    falls
}

/// Returns the views of nodes that differ from the configuration that the audit records add up to (I2, I3).
pub fn partial_views(samples: &[VersionSample], records: &[AuditEntry]) -> Vec<String> {
    let mut wrong = Vec::new();
    for sample in samples {
        let expected = resources_at(records, sample.view.as_of);
        let shown = shown_resources(&sample.view);
        let services: BTreeMap<_, _> = expected
            .into_iter()
            .filter(|(name, _)| !name.starts_with("customer/"))
            .collect();
        if shown != services {
            wrong.push(format!("node {} at {}", sample.node, sample.view.as_of));
        }
    }
    wrong
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

/// Returns gaps in the versions and contract revisions of the audit records.
pub fn audit_gaps(records: &[AuditEntry]) -> Vec<String> {
    let mut gaps = Vec::new();
    let mut revisions: BTreeMap<&str, u64> = BTreeMap::new();
    for (expected, record) in (1..).zip(records) {
        if record.version != expected || record.previous + 1 != expected {
            gaps.push(format!("{record:?} in the place of version {expected}"));
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

/// Returns sent contracts whose answer and audit record disagree (I10), and records that nobody sent.
pub fn unexplained_contracts(sent: &[SentContract], records: &[AuditEntry]) -> Vec<String> {
    let mut wrong = Vec::new();
    for contract in sent {
        let recorded: Vec<&AuditEntry> = records
            .iter()
            .filter(|record| mark_of(record) == Some((&contract.customer, contract.mark)))
            .collect();
        let agrees = match (&contract.end, recorded.as_slice()) {
            (ContractEnd::Accepted { version, revision }, [record]) => {
                let recorded = record.contract.as_ref().map(|contract| contract.revision);
                record.version == *version && recorded == Some(*revision)
            }
            (ContractEnd::Refused(_), []) => true,
            (ContractEnd::Unknown, [] | [_]) => true,
            _ => false,
        };
        if !agrees {
            wrong.push(format!("{contract:?}: {} records", recorded.len()));
        }
    }
    let is_sent = |record: &AuditEntry| {
        let mut sent = sent.iter();
        sent.any(|contract| mark_of(record) == Some((&contract.customer, contract.mark)))
    };
    let foreign = records.iter().filter(|record| !is_sent(record));
    wrong.extend(foreign.map(|record| format!("nobody sent {}", record.summary)));
    wrong
}

/// Returns the customer and its rate limit that a record put in force.
fn mark_of(record: &AuditEntry) -> Option<(&String, u64)> {
    record.changed.iter().find_map(|resource| match resource {
        ConfigResource::Customer(spec) => Some((&spec.customer, spec.limits.rate?.value)),
        _ => None,
    })
}
