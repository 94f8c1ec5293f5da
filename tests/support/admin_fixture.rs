//! Runs a node's operator API on loopback, backed by a store in memory with injectable faults.
//!
//! Like the real store, it rejects a commit with a conflict if one of its resources or its customer's
//! contract has changed since the commit's base version, and otherwise rebases it onto the head.
#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use {
    parking_lot::Mutex,
    poplarwing::{
        admin_api::{AdminContext, serve_admin},
        admin_hooks::{
            AdminHooks, AuditRange, ChangeRequest, CommitFailure, ReadFailure, async_hook,
        },
        admin_types::{
            AuditAuthor, AuditEntry, ContractBody, ContractReference, TargetAnnouncementBody,
        },
        apply_gate::ConfigSource,
        blackboard::Blackboard,
        config::{
            ConfigResource, ConfigSnapshot, MovePhase, ServiceKey, TrafficSplit, VersionedResource,
        },
        node_metrics::NodeMetrics,
        settings::parse_settings,
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, sync::Barrier},
    tokio_util::sync::CancellationToken,
};

/// Token of operator piet.
pub const PIET_TOKEN: &str = "EXAMPLE-TOKEN-OF-PIET";

/// Token of operator maaike.
pub const MAAIKE_TOKEN: &str = "EXAMPLE-TOKEN-OF-MAAIKE";

/// Contract of customer Kestrel, from the examples.
pub const KESTREL_CONTRACT: &str = include_str!("../../examples/kestrel.contract.ini");

/// Fault injected into the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// The store works.
    #[default]
    None,
    /// Reads and writes fail without an effect.
    Down,
    /// A write takes effect, but its outcome is reported as unknown.
    OutcomeLost,
}

#[derive(Default)]
struct StoreState {
    head: Arc<ConfigSnapshot>,
    contracts: BTreeMap<String, ContractBody>,
    audit: Vec<AuditEntry>,
    fault: StoreFault,
    announcements: Vec<TargetAnnouncementBody>,
}

/// A store in memory; clones share their state.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<StoreState>>,
    commit_barrier: Arc<Mutex<Option<Arc<Barrier>>>>,
}

impl MemoryStore {
    /// Makes each commit from now on wait until `count` of them have arrived, so that they run
    /// concurrently.
    pub fn set_commit_barrier(&self, count: usize) {
        *self.commit_barrier.lock() = Some(Arc::new(Barrier::new(count)));
    }

    /// Sets the fault of the store from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
    }

    /// Returns the accepted configuration; works under every fault.
    pub fn head(&self) -> Arc<ConfigSnapshot> {
        self.state.lock().head.clone()
    }

    /// Returns the target announcements received.
    pub fn announcements(&self) -> Vec<TargetAnnouncementBody> {
        self.state.lock().announcements.clone()
    }

    /// Ends the running move of a service, as its move controller would.
    pub fn end_move(&self, key: &ServiceKey, phase: MovePhase, reason: &str) {
        let base = self.head();
        let mut split = base.split(key).expect("the service has a split").clone();
        let current = split.current_move.as_mut().expect("a move was started");
        current.phase = phase;
        current.reason = reason.to_owned();
        if phase == MovePhase::Done {
            split.stable = current.candidate.clone();
        }
        let author = AuditAuthor::Controller("n9".to_owned());
        let mut state = self.state.lock();
        accept(&mut state, vec![split.into()], &[], author, reason, None);
    }

    fn read(&self) -> Result<(), ReadFailure> {
        match self.state.lock().fault {
            StoreFault::Down => Err(ReadFailure {
                operation: "read of the table at 127.0.0.1:1".to_owned(),
                cause: "connection refused".to_owned(),
            }),
            StoreFault::None | StoreFault::OutcomeLost => Ok(()),
        }
    }

    async fn commit(self, change: ChangeRequest) -> Result<Arc<ConfigSnapshot>, CommitFailure> {
        let commit_barrier = self.commit_barrier.lock().clone();
        if let Some(commit_barrier) = commit_barrier {
            commit_barrier.wait().await;
        }
        let mut state = self.state.lock();
        if state.fault == StoreFault::Down {
            return Err(CommitFailure::NotAccepted("connection refused".to_owned()));
        }
        check_conflict(&state, &change)?;
        let author = AuditAuthor::Operator(change.operator.clone());
        let head = accept(
            &mut state,
            change.changed,
            &change.removed,
            author,
            &change.summary,
            change.contract.map(|text| ContractBody {
                customer: text.customer,
                revision: text.expected_revision + 1,
                text: text.text,
            }),
        );
        match state.fault {
            StoreFault::OutcomeLost => Err(CommitFailure::Unknown {
                version: head.version,
                cause: "the answer was lost and the record cannot be read".to_owned(),
            }),
            StoreFault::None | StoreFault::Down => Ok(head),
        }
    }
}

fn check_conflict(state: &StoreState, change: &ChangeRequest) -> Result<(), CommitFailure> {
    let names: Vec<String> = change.changed.iter().map(ConfigResource::name).collect();
    let conflicts = |entry: &&AuditEntry| {
        let mut all = names.iter().chain(&change.removed);
        let contract = change.contract.as_ref().map(|text| &text.customer);
        let same_contract = entry.contract.as_ref().map(|found| &found.customer) == contract;
        entry.version > change.base.version
            && (all.any(|name| entry.concerns(name)) || (contract.is_some() && same_contract))
    };
    match state.audit.iter().rev().find(conflicts) {
        Some(theirs) => Err(CommitFailure::Conflict {
            theirs: Box::new(theirs.clone()),
        }),
        None => Ok(()),
    }
}

fn accept(
    state: &mut StoreState,
    changed: Vec<ConfigResource>,
    removed: &[String],
    author: AuditAuthor,
    summary: &str,
    contract: Option<ContractBody>,
) -> Arc<ConfigSnapshot> {
    let mut next = ConfigSnapshot::clone(&state.head);
    next.version += 1;
    for name in removed {
        next.resources.remove(name);
    }
    for resource in &changed {
        let entry = VersionedResource {
            changed_at: next.version,
            resource: resource.clone(),
        };
        next.resources.insert(resource.name(), entry);
    }
    state.audit.push(AuditEntry {
        version: next.version,
        previous: state.head.version,
        at_ms: 1_700_000_000_000 + next.version * 1000,
        author,
        summary: summary.to_owned(),
        contract: contract.as_ref().map(|body| ContractReference {
            customer: body.customer.clone(),
            revision: body.revision,
        }),
        changed,
        removed: removed.to_vec(),
    });
    if let Some(body) = contract {
        state.contracts.insert(body.customer.clone(), body);
    }
    state.head = Arc::new(next);
    state.head.clone()
}

/// A running operator API, stopped when dropped.
pub struct AdminFixture {
    /// Address of the API.
    pub address: SocketAddr,
    /// Store that the API uses.
    pub store: MemoryStore,
    /// Tables that the API shares with the other parts of the node.
    pub board: Arc<Blackboard>,
    cancel: CancellationToken,
}

impl Drop for AdminFixture {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl AdminFixture {
    /// Puts the accepted configuration in force on the node, as the node does after a commit.
    pub fn apply_head(&self) {
        let snapshot = ConfigSnapshot::clone(&self.store.head());
        self.board.gate.set_floor(0);
        self.board
            .gate
            .try_apply(snapshot, &ConfigSource::Store)
            .expect("the accepted configuration is valid and newer");
    }
}

/// Starts the API on a free port, with this store.
pub async fn start_admin(store: MemoryStore) -> AdminFixture {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let settings = parse_settings("node.ini", include_str!("../../examples/node.ini"))
        .expect("the example is valid");
    let board = Arc::new(Blackboard::default());
    let context = AdminContext {
        settings: Arc::new(settings),
        board: board.clone(),
        hooks: store_hooks(&store),
    };
    let cancel = CancellationToken::new();
    tokio::spawn(serve_admin(listener, Arc::new(context), cancel.clone()));
    AdminFixture {
        address,
        store,
        board,
        cancel,
    }
}

fn store_hooks(store: &MemoryStore) -> AdminHooks {
    let metrics = NodeMetrics::new().expect("the exporter starts");
    metrics.set_config_version(3);
    let (accepted, contract, commit) = (store.clone(), store.clone(), store.clone());
    let (audit, announce) = (store.clone(), store.clone());
    AdminHooks {
        read_accepted: async_hook(move |()| {
            let store = accepted.clone();
            async move { store.read().map(|()| store.head()) }
        }),
        read_contract: async_hook(move |customer: String| {
            let store = contract.clone();
            async move {
                store.read()?;
                Ok(store.state.lock().contracts.get(&customer).cloned())
            }
        }),
        commit: async_hook(move |change| commit.clone().commit(change)),
        read_audit: async_hook(move |range: AuditRange| {
            let store = audit.clone();
            async move {
                store.read()?;
                let state = store.state.lock();
                let in_range = state
                    .audit
                    .iter()
                    .filter(|entry| entry.version >= range.from);
                Ok(in_range.take(range.limit as usize).cloned().collect())
            }
        }),
        announce: Arc::new(move |body| announce.state.lock().announcements.push(body)),
        metrics: Arc::new(move || metrics.render()),
    }
}

/// Returns the key of the yardboard service of customer Kestrel.
pub fn yardboard_key() -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: "yardboard".to_owned(),
    }
}

/// Returns the accepted traffic split of the yardboard service.
pub fn yardboard_split(store: &MemoryStore) -> TrafficSplit {
    let head = store.head();
    head.split(&yardboard_key())
        .expect("the contract is applied")
        .clone()
}
