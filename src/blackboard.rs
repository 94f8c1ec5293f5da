//! State of a node that its controllers and the call path share.
//!
//! Lock order: `moves`, `drains`, `members`, `loads`, `limits`, `evidence`, `vetoes`. A thread that holds one of
//! these locks never acquires one that precedes it in this order, and no lock is held across an await.
//! The methods of `gate` lock it internally and acquire no other lock meanwhile.

use {
    crate::{
        apply_gate::ApplyGate, call_evidence::EvidenceTable, domain_drain::DomainDrains,
        limit_share::LimitTable, membership::MemberTable, mesh::move_table::MoveTable,
        route_table::LoadTable, veto_table::VetoTable,
    },
    parking_lot::Mutex,
};

/// Shared state of one node.
#[derive(Debug, Default)]
pub struct Blackboard {
    /// Configuration that the node applies, and the lowest version that it may apply.
    pub gate: ApplyGate,
    /// Moves known to this node. A move shifts a service's calls gradually from its stable version to a
    /// candidate version; the platform's store keeps its order and its steps.
    pub moves: Mutex<MoveTable>,
    /// Drains of failure domains known to this node.
    pub drains: Mutex<DomainDrains>,
    /// Known nodes and their targets.
    pub members: Mutex<MemberTable>,
    /// Load and failures of each target, as observed on this node's own calls to it.
    pub loads: Mutex<LoadTable>,
    /// Rate and concurrency limits of the customer that this node's target belongs to.
    pub limits: Mutex<LimitTable>,
    /// Results and latencies of the calls to this node's target, by service, version and route; the
    /// controller of a move compares the versions by them.
    pub evidence: Mutex<EvidenceTable>,
    /// Vetoes: candidate versions that must not receive calls any more.
    pub vetoes: Mutex<VetoTable>,
}

impl Blackboard {
    /// Returns the digest of the moves and drains that this node has; that of a peer with newer ones is larger.
    pub fn orders_digest(&self) -> u64 {
        let moves = self.moves.lock().digest();
        moves.wrapping_add(self.drains.lock().digest())
    }
}
