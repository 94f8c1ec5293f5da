//! Vetoes against candidate versions.
//!
//! A veto that a node receives by gossip stops its calls to the candidate before the move is taken back in the store.

use {
    crate::{
        config::{ServiceKey, TrafficSplit},
        ids::{ConfigVersion, NodeId},
    },
    std::collections::HashMap,
};

/// Veto against the candidate of a move, which then receives no calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VetoRecord {
    /// Service whose move is stopped.
    pub key: ServiceKey,
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Node that issued the veto.
    pub issuer: NodeId,
    /// Evidence by which the candidate was found bad, as text for operators.
    pub reason: String,
}

/// Latest veto of each service.
///
/// Invariant: a service's veto is replaced only by one against a later move.
#[derive(Debug, Default)]
pub struct VetoTable {
    vetoes: HashMap<ServiceKey, VetoRecord>,
}

impl VetoTable {
    /// Adds a veto and returns whether it is new; one against the same or an earlier move is ignored.
    pub fn add(&mut self, veto: VetoRecord) -> bool {
        let known = self
            .vetoes
            .get(&veto.key)
            .map_or(0, |recorded| recorded.move_id);
        if veto.move_id <= known {
            return false;
        }
        self.vetoes.insert(veto.key.clone(), veto);
        true
    }

    /// Returns whether the table has a veto against the same move.
    pub fn contains(&self, veto: &VetoRecord) -> bool {
        let known = self.vetoes.get(&veto.key);
        known.is_some_and(|known| known.move_id == veto.move_id)
    }

    /// Returns the veto against the candidate of the split's current move.
    pub fn against(&self, split: &TrafficSplit) -> Option<&VetoRecord> {
        let current = split.current_move.as_ref()?;
        self.vetoes
            .get(&split.key)
            .filter(|veto| veto.move_id == current.id)
    }
}
