//! Limits the calls that this node sends to the candidate version of a move.
//!
//! The operator bounds the calls that a bad version may receive in the whole fleet. Each node keeps a part of that
//! bound for its own calls, so that the sum holds even while nodes cannot reach the store, their peers or the
//! watchers of the move.

use {
    super::{port::RowRevision, settings::MeshBounds},
    crate::ids::ServiceName,
    std::{collections::HashMap, time::Duration},
};

/// Part of the operator's bound that may be used before a candidate receives all calls. The rest covers the time
/// until a version is found bad that fails only under all calls.
const USED_FRACTION: f64 = 0.6;

/// Share in per mille from which the limit is lifted: every step before it has found nothing against the candidate.
const UNLIMITED_PERMILLE: u32 = 1000;

/// Time without a confirmation from the store, direct or by gossip, after which a node sends a candidate nothing: it
/// might have missed a roll-back.
const CONFIRMATION_LIMIT: Duration = Duration::from_secs(3);

/// Calls of one service since the order of its latest move.
#[derive(Clone, Copy, Debug, Default)]
struct CallCounts {
    /// Revision of the order.
    order: RowRevision,
    all: f64,
    candidate: f64,
}

/// Calls that this node has sent to candidate versions, and the limit for them.
///
/// Invariant: while the share of a move is below `UNLIMITED_PERMILLE`, the calls to its candidate are at most this
/// node's part of `USED_FRACTION` of the operator's bound.
#[derive(Debug)]
pub struct ExposureLimits {
    share: f64,
    slack: f64,
    nodes: f64,
    counts: HashMap<ServiceName, CallCounts>,
}

/// What a node knows of a move when it selects the version of a call.
#[derive(Clone, Copy, Debug)]
pub struct MoveKnowledge<'a> {
    /// Service that is moved.
    pub service: &'a str,
    /// Revision of the order.
    pub order: RowRevision,
    /// Candidate's share of the calls in per mille.
    pub permille: u32,
    /// Time since the node was last confirmed to have missed no change.
    pub confirmation_age: Duration,
}

impl ExposureLimits {
    /// Returns limits without calls. The node does not know the size of its fleet yet, and so takes no part of the
    /// slack: all nodes may have been restarted at the same time.
    pub fn new(bounds: &MeshBounds) -> Self {
        Self {
            share: bounds.exposure_share * USED_FRACTION,
            slack: bounds.exposure_slack * USED_FRACTION,
            nodes: f64::INFINITY,
            counts: HashMap::new(),
        }
    }

    /// Sets the number of nodes among which the slack is divided.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1) as f64;
    }

    /// Counts a call that is sent to a target of a service with a move.
    pub fn record(&mut self, service: &str, order: RowRevision, is_candidate: bool) {
        let counts = self.counts.entry(service.to_owned()).or_default();
        if counts.order != order {
            *counts = CallCounts {
                order,
                ..CallCounts::default()
            };
        }
        counts.all += 1.0;
        counts.candidate += f64::from(u8::from(is_candidate));
    }

    /// Returns whether one more call may be sent to the candidate.
    pub fn allows(&self, known: &MoveKnowledge<'_>) -> bool {
        if known.confirmation_age >= CONFIRMATION_LIMIT {
            return false;
        }
        if known.permille >= UNLIMITED_PERMILLE {
            return true;
        }
        let counts = self.counts.get(known.service).copied().unwrap_or_default();
        let counts = match counts.order == known.order {
            true => counts,
            false => CallCounts::default(),
        };
        counts.candidate + 1.0 <= self.share * counts.all + self.slack / self.nodes
    }
}
