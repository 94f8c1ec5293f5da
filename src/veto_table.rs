//! Vetoes against candidate versions.

use {
    crate::{
        config::{ServiceKey, TrafficSplit},
        ids::{ConfigVersion, NodeId},
    },
    std::collections::HashMap,
};

/// A veto: the candidate of a move is to receive no calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VetoRecord {
    /// Service whose move is stopped.
    pub key: ServiceKey,
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Node that issued the veto.
    pub issuer: NodeId,
    /// Why the candidate was found bad.
    pub reason: String,
}

/// Vetoes by service.
///
/// Invariant: the veto of a service never gives way to one against an earlier move.
#[derive(Debug, Default)]
pub struct VetoTable {
    vetoes: HashMap<ServiceKey, VetoRecord>,
}

impl VetoTable {
    /// Adds a veto; returns whether it is new.
    pub fn add(&mut self, veto: VetoRecord) -> bool {
        let known = self
            .vetoes
            .get(&veto.key)
            .map_or(0, |present| present.move_id);
        if veto.move_id <= known {
            return false;
        }
        self.vetoes.insert(veto.key.clone(), veto);
        true
    }

    /// Returns whether the veto known for the service is against the same move.
    pub fn holds(&self, veto: &VetoRecord) -> bool {
        let known = self.vetoes.get(&veto.key);
        known.is_some_and(|known| known.move_id == veto.move_id)
    }

    /// Returns the veto against the candidate of a split's current move.
    pub fn against(&self, split: &TrafficSplit) -> Option<&VetoRecord> {
        let current = split.current_move.as_ref()?;
        self.vetoes
            .get(&split.key)
            .filter(|veto| veto.move_id == current.id)
    }
}
