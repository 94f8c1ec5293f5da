//! Moves that this node knows of, and what they mean for the versions that a call may use.

use {
    super::port::{MoveOrder, MoveRecord, MoveState, RowRevision, StoredMove},
    crate::{
        config::ServiceKey,
        ids::{ServiceName, VersionName},
        membership::TargetEndpoint,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeSet, HashMap},
};

/// Share from which a candidate may serve the calls of an old version without targets.
const PROVEN_PERMILLE: u32 = 500;

/// Orders, records and the last settled version by service.
///
/// Invariant: neither an order nor a record gives way to an older one.
#[derive(Debug, Default)]
pub struct MoveBoard {
    orders: HashMap<ServiceName, MoveOrder>,
    records: HashMap<ServiceName, StoredMove>,
    settled: HashMap<ServiceName, VersionName>,
}

/// Orders and records that a node passes on to its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KnownMoves {
    /// The newest order of each service.
    pub orders: Vec<MoveOrder>,
    /// The newest record of each service.
    pub records: Vec<StoredMove>,
}

/// What is known of a service's latest move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveView {
    /// The operator's order.
    pub order: MoveOrder,
    /// Progress, if a node has begun to carry the order out.
    pub stored: Option<StoredMove>,
}

impl MoveBoard {
    /// Takes over an order; returns whether it is new.
    pub fn add_order(&mut self, order: MoveOrder) -> bool {
        let known = self.orders.get(&order.service);
        if known.is_some_and(|known| known.revision >= order.revision) {
            return false;
        }
        self.orders.insert(order.service.clone(), order);
        true
    }

    /// Takes over a record; returns whether it is new.
    pub fn add_record(&mut self, stored: StoredMove) -> bool {
        let service = stored.record.order.service.clone();
        let known = self.records.get(&service);
        if known.is_some_and(|known| known.revision >= stored.revision) {
            return false;
        }
        self.add_order(stored.record.order.clone());
        self.records.insert(service, stored);
        true
    }

    /// Takes over what a peer knows; returns the moves of which it is news.
    pub fn merge(&mut self, known: KnownMoves) -> Vec<MoveView> {
        let mut changed = BTreeSet::new();
        for order in known.orders {
            let service = order.service.clone();
            if self.add_order(order) {
                changed.insert(service);
            }
        }
        for stored in known.records {
            let service = stored.record.order.service.clone();
            if self.add_record(stored) {
                changed.insert(service);
            }
        }
        let views = changed.iter().filter_map(|service| self.view(service));
        views.collect()
    }

    /// Returns all orders and records.
    pub fn known(&self) -> KnownMoves {
        KnownMoves {
            orders: self.orders.values().cloned().collect(),
            records: self.records.values().cloned().collect(),
        }
    }

    /// Returns a number that grows with each order and record taken over.
    ///
    /// A node that knows all that another knows has at least its digest.
    pub fn digest(&self) -> u64 {
        let orders = self.orders.values().map(|order| order.revision);
        let records = self.records.values().map(|stored| stored.revision);
        orders.chain(records).fold(0, u64::wrapping_add)
    }

    /// Returns the latest move of a service.
    pub fn view(&self, service: &str) -> Option<MoveView> {
        let order = self.orders.get(service)?.clone();
        let stored = self.records.get(service);
        let stored = stored.filter(|stored| stored.record.order.revision == order.revision);
        Some(MoveView {
            order,
            stored: stored.cloned(),
        })
    }

    /// Returns the revision of the row that holds a service's latest record, of whatever order.
    pub fn row_revision(&self, service: &str) -> RowRevision {
        self.records
            .get(service)
            .map_or(0, |stored| stored.revision)
    }

    /// Returns the moves that have not ended.
    pub fn open_moves(&self) -> Vec<MoveView> {
        let mut services: Vec<&ServiceName> = self.orders.keys().collect();
        services.sort();
        let views = services
            .into_iter()
            .filter_map(|service| self.view(service));
        views.filter(MoveView::is_open).collect()
    }

    /// Restricts targets to those whose version may get the call; `draw` is uniform in 0..1000.
    pub fn eligible(
        &mut self,
        key: &ServiceKey,
        targets: Vec<TargetEndpoint>,
        draw: u32,
    ) -> Vec<TargetEndpoint> {
        let versions: BTreeSet<&VersionName> = targets.iter().map(|t| &t.version).collect();
        let Some(view) = self.view(&key.service) else {
            return self.settled_only(key, targets);
        };
        let candidate = view.order.candidate.clone();
        if let (1, Some(only)) = (versions.len(), versions.first()) {
            // The only version there is; a candidate must have been proven first.
            let usable = **only != candidate || view.permille() >= PROVEN_PERMILLE;
            return if usable { targets } else { Vec::new() };
        }
        let wants_candidate = draw < view.permille();
        let (wanted, others): (Vec<_>, Vec<_>) = targets
            .into_iter()
            .partition(|target| (target.version == candidate) == wants_candidate);
        match wanted.is_empty() {
            true if wants_candidate || view.permille() >= PROVEN_PERMILLE => others,
            _ => wanted,
        }
    }

    /// Without a move, a version that appears beside the usual one gets no calls.
    fn settled_only(
        &mut self,
        key: &ServiceKey,
        targets: Vec<TargetEndpoint>,
    ) -> Vec<TargetEndpoint> {
        let settled = self.settled.get(&key.service);
        let is_settled = |target: &TargetEndpoint| Some(&target.version) == settled;
        if targets.iter().any(is_settled) {
            return targets.iter().filter(|t| is_settled(t)).cloned().collect();
        }
        if let Some(first) = targets.first() {
            self.settled
                .insert(key.service.clone(), first.version.clone());
        }
        targets
    }
}

impl MoveView {
    /// Returns the share of the candidate.
    pub fn permille(&self) -> u32 {
        match self.record().map(|record| (record.state, record.permille)) {
            Some((MoveState::Running, permille)) => permille,
            Some((MoveState::Complete, _)) => 1000,
            Some((MoveState::RolledBack, _)) | None => 0,
        }
    }

    /// Returns the progress.
    pub fn record(&self) -> Option<&MoveRecord> {
        self.stored.as_ref().map(|stored| &stored.record)
    }

    /// Returns whether the move has not ended.
    pub fn is_open(&self) -> bool {
        self.record()
            .is_none_or(|record| record.state == MoveState::Running)
    }
}
