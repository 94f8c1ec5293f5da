//! Tables that the controllers and the call path share.
//!
//! Lock order: `moves`, `members`, `loads`, `limits`, `evidence`, `vetoes`. A thread that holds a later lock
//! never takes an earlier one, and no lock is held across an await. `gate` takes its own lock inside its
//! methods and calls nothing else while it holds it.

use {
    crate::{
        apply_gate::ApplyGate, call_evidence::EvidenceTable, limit_share::LimitTable,
        membership::MemberTable, mesh::move_board::MoveBoard, route_table::LoadTable,
        veto_table::VetoTable,
    },
    parking_lot::Mutex,
};

/// Shared tables of one node.
#[derive(Debug, Default)]
pub struct Blackboard {
    /// Configuration in force.
    pub gate: ApplyGate,
    /// Moves that the platform's store orders and records.
    pub moves: Mutex<MoveBoard>,
    /// Nodes and targets known.
    pub members: Mutex<MemberTable>,
    /// What this node's own calls say about targets.
    pub loads: Mutex<LoadTable>,
    /// Limits of the customer of this node's target.
    pub limits: Mutex<LimitTable>,
    /// Counters of this node's target.
    pub evidence: Mutex<EvidenceTable>,
    /// Vetoes against candidate versions.
    pub vetoes: Mutex<VetoTable>,
}
