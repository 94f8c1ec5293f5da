//! Table of the moves (rollouts of a candidate version), and the versions to which a call may be routed because of
//! them.

use {
    super::port::{MoveOrder, MoveRecord, MoveState, RowRevision, StoredMove},
    crate::{
        config::ServiceKey,
        ids::{ServiceName, VersionName},
        membership::TargetEndpoint,
    },
    serde::{Deserialize, Serialize},
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BTreeSet, HashMap},
    },
};

/// Share in per mille from which a candidate may also serve the calls of an old version that has no targets.
const PROVEN_PERMILLE: u32 = 500;

/// Orders, progress records and the last stable version, by service.
///
/// Invariant: an order or record is replaced only by one with a higher revision.
#[derive(Debug, Default)]
pub struct MoveTable {
    orders: HashMap<ServiceName, MoveOrder>,
    records: HashMap<ServiceName, StoredMove>,
    stable_versions: HashMap<ServiceName, VersionName>,
    /// Revision of the newest order of each service whose candidate a watcher has found bad.
    vetoes: BTreeMap<ServiceName, RowRevision>,
}

/// Orders and records that a node sends to its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MoveSnapshot {
    /// The newest order of each service.
    pub orders: Vec<MoveOrder>,
    /// The newest record of each service.
    pub records: Vec<StoredMove>,
    /// Revision of the newest vetoed order of each service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub vetoes: BTreeMap<ServiceName, RowRevision>,
}

/// Latest move of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveView {
    /// Order of the operator.
    pub order: MoveOrder,
    /// Progress of the move; none if no node has started it.
    pub stored: Option<StoredMove>,
    /// Whether a watcher has found the candidate bad.
    pub vetoed: bool,
}

impl MoveTable {
    /// Adds an order; returns whether it is newer than that of its service before.
    pub fn add_order(&mut self, order: MoveOrder) -> bool {
        let existing = self.orders.get(&order.service);
        if existing.is_some_and(|existing| existing.revision >= order.revision) {
            return false;
        }
        self.orders.insert(order.service.clone(), order);
        true
    }

    /// Adds a record and its order; returns whether the record is newer than that of its service before.
    pub fn add_record(&mut self, stored: StoredMove) -> bool {
        let service = stored.record.order.service.clone();
        let existing = self.records.get(&service);
        if existing.is_some_and(|existing| existing.revision >= stored.revision) {
            return false;
        }
        self.add_order(stored.record.order.clone());
        self.records.insert(service, stored);
        true
    }

    /// Stops the candidate of an order, also before the roll-back is in the store; returns whether this is new.
    ///
    /// A watcher that finds a candidate bad while the store refuses its write stops the calls of its peers in this way.
    pub fn add_veto(&mut self, service: &str, order: RowRevision) -> bool {
        let vetoed = self.vetoes.entry(service.to_owned()).or_default();
        let is_new = order > *vetoed;
        *vetoed = order.max(*vetoed);
        is_new
    }

    /// Adds the orders, records and vetoes of a peer; returns the moves that changed.
    pub fn merge(&mut self, snapshot: MoveSnapshot) -> Vec<MoveView> {
        let mut changed = BTreeSet::new();
        for order in snapshot.orders {
            let service = order.service.clone();
            if self.add_order(order) {
                changed.insert(service);
            }
        }
        for stored in snapshot.records {
            let service = stored.record.order.service.clone();
            if self.add_record(stored) {
                changed.insert(service);
            }
        }
        for (service, order) in snapshot.vetoes {
            if self.add_veto(&service, order) {
                changed.insert(service);
            }
        }
        let views = changed.iter().filter_map(|service| self.view(service));
        views.collect()
    }

    /// Returns all orders, records and vetoes.
    pub fn snapshot(&self) -> MoveSnapshot {
        MoveSnapshot {
            orders: self.orders.values().cloned().collect(),
            records: self.records.values().cloned().collect(),
            vetoes: self.vetoes.clone(),
        }
    }

    /// Returns the sum of the revisions of all orders, records and vetoes, which grows with each one added. A peer with a
    /// larger digest has something that this node lacks; one with a smaller digest may still hold an order that this
    /// node lacks, and the comparison does not show it.
    pub fn digest(&self) -> u64 {
        let orders = self.orders.values().map(|order| order.revision);
        let records = self.records.values().map(|stored| stored.revision);
        let vetoes = self.vetoes.values().copied();
        let revisions = orders.chain(records).chain(vetoes);
        revisions.fold(0, u64::wrapping_add)
    }

    /// Returns the latest move of a service; its progress is none if the stored record belongs to an earlier order.
    pub fn view(&self, service: &str) -> Option<MoveView> {
        let order = self.orders.get(service)?.clone();
        let stored = self.records.get(service);
        let stored = stored.filter(|stored| stored.record.order.revision == order.revision);
        let vetoed = self.vetoes.get(service) == Some(&order.revision);
        Some(MoveView {
            order,
            stored: stored.cloned(),
            vetoed,
        })
    }

    /// Returns the revision of the row with a service's latest record, whatever its order; 0 if there is none.
    pub fn row_revision(&self, service: &str) -> RowRevision {
        self.records
            .get(service)
            .map_or(0, |stored| stored.revision)
    }

    /// Returns the moves that have not ended, sorted by service.
    pub fn open_moves(&self) -> Vec<MoveView> {
        let mut services: Vec<&ServiceName> = self.orders.keys().collect();
        services.sort();
        let views = services
            .into_iter()
            .filter_map(|service| self.view(service));
        views.filter(MoveView::is_open).collect()
    }

    /// Returns the targets whose version may receive the call; `draw` is a random number of the call, uniform in
    /// 0..1000.
    pub fn eligible(
        &mut self,
        key: &ServiceKey,
        targets: Vec<TargetEndpoint>,
        draw: u32,
    ) -> Vec<TargetEndpoint> {
        let versions: BTreeSet<&VersionName> = targets.iter().map(|t| &t.version).collect();
        let Some(view) = self.view(&key.service) else {
            return self.stable_only(key, targets);
        };
        let candidate = view.order.candidate.clone();
        if let (1, Some(only)) = (versions.len(), versions.first()) {
            // A candidate that is the only version with targets gets calls only from `PROVEN_PERMILLE` on.
            let usable = **only != candidate || view.permille() >= PROVEN_PERMILLE;
            return if usable { targets } else { Vec::new() };
        }
        let use_candidate = draw < view.permille();
        let (wanted, others): (Vec<_>, Vec<_>) = targets
            .into_iter()
            .partition(|target| (target.version == candidate) == use_candidate);
        match wanted.is_empty() {
            true if use_candidate || view.permille() >= PROVEN_PERMILLE => others,
            _ => wanted,
        }
    }

    /// Returns the targets for a service without a move: only those of the stable version. If that has no targets or
    /// is not known, the oldest version becomes the stable one.
    fn stable_only(
        &mut self,
        key: &ServiceKey,
        targets: Vec<TargetEndpoint>,
    ) -> Vec<TargetEndpoint> {
        let stable = self.stable_versions.get(&key.service);
        let is_stable = |target: &TargetEndpoint| Some(&target.version) == stable;
        if targets.iter().any(is_stable) {
            return targets.iter().filter(|t| is_stable(t)).cloned().collect();
        }
        // Without an order nobody has approved a second version, so the calls go to the oldest one.
        let versions = targets.iter().map(|target| &target.version);
        let oldest = versions.min_by(|first, second| compare_versions(first, second));
        let Some(oldest) = oldest.cloned() else {
            return targets;
        };
        let kept = targets.into_iter().filter(|t| t.version == oldest);
        let kept = kept.collect();
        self.stable_versions.insert(key.service.clone(), oldest);
        kept
    }
}

/// Compares the names of two versions by age: of names with a number at the end, `v9` is older than `v10`.
pub fn compare_versions(first: &str, second: &str) -> Ordering {
    (first.len(), first).cmp(&(second.len(), second))
}

impl MoveView {
    /// Returns the candidate's share of the calls in per mille; none for a candidate that was found bad.
    pub fn permille(&self) -> u32 {
        match self.record().map(|record| (record.state, record.permille)) {
            Some((MoveState::Running, _)) if self.vetoed => 0,
            Some((MoveState::Running, permille)) => permille,
            Some((MoveState::Complete, _)) => 1000,
            Some((MoveState::RolledBack, _)) | None => 0,
        }
    }

    /// Returns the progress record; none if the move has not started.
    pub fn record(&self) -> Option<&MoveRecord> {
        self.stored.as_ref().map(|stored| &stored.record)
    }

    /// Returns whether the move is waiting to start or running.
    pub fn is_open(&self) -> bool {
        self.record()
            .is_none_or(|record| record.state == MoveState::Running)
    }
}
