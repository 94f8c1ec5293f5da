//! Progress of one call: the ledger of its attempts and what the failed ones returned.

use {
    crate::{
        attempts::attempt_ledger::{AttemptId, AttemptLedger, AttemptLimits, AttemptState},
        config::HostRoute,
        ids::DomainName,
        membership::TargetEndpoint,
        mesh::{
            refusal::{DOMAIN_DRAINED_REASON, ExecutionStatus, MeshRefusal, WholeBody},
            target::COLD_REASON,
        },
    },
    http::Response,
    std::borrow::Cow,
};

/// Reason logged for an attempt that ended with a server error of its target.
const SERVER_ERROR_REASON: &str = "server-error";

/// Progress of one call.
pub(super) struct CallProgress {
    /// Attempts of the call; it alone decides whether another may be sent.
    pub(super) ledger: AttemptLedger,
    /// Failure domains that a node refused as drained, which this node had not heard of.
    pub(super) drained: Vec<DomainName>,
    /// Last refusal.
    pub(super) refusal: Option<MeshRefusal>,
    /// Last response with a server error.
    pub(super) error_response: Option<Response<WholeBody>>,
    /// Reason code of the last failed attempt.
    pub(super) last_reason: Cow<'static, str>,
}

impl CallProgress {
    /// Returns the progress of a call without attempts.
    pub(super) fn new(route: &HostRoute) -> Self {
        Self {
            ledger: AttemptLedger::new(AttemptLimits {
                targets: route.attempts,
                idempotent: route.idempotent,
            }),
            drained: Vec::new(),
            refusal: None,
            error_response: None,
            last_reason: Cow::Borrowed(""),
        }
    }

    /// Records the end of an attempt at a target. A good response is returned, and ends the attempts that still run.
    pub(super) fn record_end(
        &mut self,
        id: AttemptId,
        target: &TargetEndpoint,
        ended: Result<Response<WholeBody>, MeshRefusal>,
    ) -> Option<Response<WholeBody>> {
        match ended {
            Ok(response) if !response.status().is_server_error() => {
                self.ledger.end(id, AttemptState::Answered);
                self.ledger.cancel_running();
                return Some(response);
            }
            Ok(response) => {
                self.ledger.end(id, AttemptState::Failed);
                self.last_reason = Cow::Borrowed(SERVER_ERROR_REASON);
                self.error_response = Some(response);
            }
            Err(refusal) => {
                self.ledger.end(id, refused_state(&refusal));
                if refusal.reason == DOMAIN_DRAINED_REASON {
                    self.drained.push(target.domain.clone());
                }
                self.last_reason = refusal.reason.clone();
                self.refusal = Some(refusal);
            }
        }
        None
    }
}

fn refused_state(refusal: &MeshRefusal) -> AttemptState {
    match (refusal.execution, refusal.reason.as_ref()) {
        (ExecutionStatus::Unknown, _) => AttemptState::Unknown,
        (ExecutionStatus::NotRun, "target-shed") => AttemptState::Shed,
        (ExecutionStatus::NotRun, "full" | COLD_REASON) => AttemptState::Full,
        (ExecutionStatus::NotRun, _) => AttemptState::NotRun,
    }
}
