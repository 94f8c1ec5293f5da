//! Outcomes of the attempts of one call.

use {
    crate::{
        ids::{DomainName, NodeId},
        membership::TargetEndpoint,
        mesh::{
            refusal::{DOMAIN_DRAINED_REASON, ExecutionStatus, MeshRefusal, WholeBody},
            target::COLD_REASON,
        },
    },
    http::Response,
};

/// Outcomes of the attempts of one call so far.
#[derive(Default)]
pub(super) struct AttemptHistory {
    /// Nodes that are not selected again.
    pub(super) tried: Vec<NodeId>,
    /// Nodes that refused because their expected wait was too long or their target is cold; they are tried once more in the last round.
    pub(super) full: Vec<NodeId>,
    /// Failure domains that a node refused as drained, which this node had not heard of.
    pub(super) drained: Vec<DomainName>,
    /// Attempts whose request may have reached a target.
    pub(super) arrivals: u32,
    /// Attempts started, counting those that a node refused.
    pub(super) attempts: u32,
    /// Whether all nodes were full, so that the call now accepts any wait within its latency objective.
    pub(super) last_round: bool,
    /// Last refusal.
    pub(super) refusal: Option<MeshRefusal>,
    /// Whether a target may have run the request.
    pub(super) may_have_run: bool,
    /// Last response with a server error.
    pub(super) error_response: Option<Response<WholeBody>>,
}

impl AttemptHistory {
    pub(super) fn record_error(&mut self, target: &TargetEndpoint, response: Response<WholeBody>) {
        self.tried.push(target.node.clone());
        self.arrivals += 1;
        self.may_have_run = true;
        self.error_response = Some(response);
    }

    /// Records a refusal; returns whether the request may have reached a target.
    pub(super) fn record_refusal(&mut self, target: &TargetEndpoint, refusal: MeshRefusal) -> bool {
        let arrived =
            refusal.execution == ExecutionStatus::Unknown || refusal.reason == "target-shed";
        self.arrivals += u32::from(arrived);
        self.may_have_run |= refusal.execution == ExecutionStatus::Unknown;
        let has_no_room = refusal.reason == "full" || refusal.reason == COLD_REASON;
        match has_no_room && !self.last_round {
            true => self.full.push(target.node.clone()),
            false => self.tried.push(target.node.clone()),
        }
        if refusal.reason == DOMAIN_DRAINED_REASON {
            self.drained.push(target.domain.clone());
        }
        self.refusal = Some(refusal);
        arrived
    }
}
