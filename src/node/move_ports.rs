//! Driver of the move controller: gives it access to the store, the lease and the peers, and reports its
//! steps.
//!
//! A move shifts a service's calls gradually from its stable version to a candidate version.

use {
    super::{NodeParts, apply_accepted_config},
    crate::{
        config::{ConfigResource, ServiceKey},
        config_store::{ChangeAuthor, ConfigChange},
        config_sync::request_evidence_counted,
        event_log::{MoveDecision, log_move},
        lease::{LeaseClient, LeaseName, LeaseProof},
        move_controller::{
            EvidenceSource, LeaseRequest, MoveController, MoveError, MoveEvent, MoveEventBody,
            MovePorts, MoveWork, SplitCommit,
        },
        node_metrics::MoveResult,
        platform_store::PlatformStore,
        wire::EvidenceReply,
    },
    futures::FutureExt,
    std::{
        error::Error,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::Mutex,
    tracing::warn,
};

/// Time to live of the lease under which a node controls a move.
const MOVE_TIME_TO_LIVE: Duration = Duration::from_secs(9);

/// Lease of the move that this node controls or contends for.
struct MoveLease {
    key: ServiceKey,
    client: LeaseClient,
}

/// Lease of the current move, shared between the driver and the operations of its controller.
type SharedLease = Arc<Mutex<Option<MoveLease>>>;

/// Runs the steps of a node's move controller and reports them in the log and the metrics.
pub struct MoveDriver {
    parts: NodeParts,
    controller: MoveController,
    ports: MovePorts<LeaseProof>,
    lease: SharedLease,
}

impl MoveDriver {
    /// Returns the driver of a node; it holds no lease yet.
    pub fn new(parts: &NodeParts) -> Self {
        let lease = SharedLease::default();
        Self {
            parts: parts.clone(),
            controller: MoveController::new(&parts.settings.node.id, Instant::now()),
            ports: move_ports(parts, &lease),
            lease,
        }
    }

    /// Runs one step of the controller and reports its events.
    pub async fn step(&mut self) {
        let board = self.parts.board.clone();
        let (now, wall_time) = (Instant::now(), SystemTime::now());
        let events = self
            .controller
            .step(&self.ports, &board, now, wall_time)
            .await;
        for event in &events {
            report_event(event, &self.parts, wall_time);
        }
    }

    /// Releases the lease, so that another node can continue the move immediately.
    pub async fn stop(&mut self) {
        if let Some(held) = self.lease.lock().await.as_mut()
            && let Err(error) = held.client.release().await
        {
            warn!(
                %error,
                "failed to release the lease of a move; other nodes wait until it expires"
            );
        }
    }
}

fn move_ports(parts: &NodeParts, lease: &SharedLease) -> MovePorts<LeaseProof> {
    let (lease, lease_parts) = (lease.clone(), parts.clone());
    let (pull_parts, gossip, commit_parts) = (parts.clone(), parts.gossip.clone(), parts.clone());
    MovePorts {
        lease: Box::new(move |request| {
            acquire_or_renew_lease(
                lease.clone(),
                lease_parts.store.clone(),
                lease_parts.settings.node.id.clone(),
                request,
            )
            .boxed()
        }),
        pull: Box::new(move |source| pull_evidence(pull_parts.clone(), source).boxed()),
        send_veto: Box::new(move |veto| gossip.gossip_veto(veto)),
        commit: Box::new(move |commit| commit_step(commit_parts.clone(), commit).boxed()),
    }
}

fn move_error(
    work: MoveWork,
    peer: &str,
    cause: impl Into<Box<dyn Error + Send + Sync>>,
) -> MoveError {
    MoveError {
        work,
        peer: peer.to_owned(),
        cause: cause.into(),
    }
}

async fn acquire_or_renew_lease(
    lease: SharedLease,
    store: PlatformStore,
    holder: String,
    request: LeaseRequest,
) -> Result<Option<LeaseProof>, MoveError> {
    let mut current = lease.lock().await;
    let new_lease = || MoveLease {
        key: request.key.clone(),
        client: LeaseClient::new(
            store,
            LeaseName::Move(request.key.clone()),
            holder,
            MOVE_TIME_TO_LIVE,
        ),
    };
    let held = match current.take() {
        Some(held) if held.key == request.key => current.insert(held),
        _ => current.insert(new_lease()),
    };
    held.client
        .step(request.now)
        .await
        .map_err(|error| move_error(MoveWork::Lease, "table", error))?;
    Ok(held.client.proof(Instant::now()))
}

async fn pull_evidence(
    parts: NodeParts,
    source: EvidenceSource,
) -> Result<EvidenceReply, MoveError> {
    let node = &parts.settings.node.id;
    let counters = parts.gossip.counters();
    request_evidence_counted(source.address, node, &source.key, counters)
        .await
        .map_err(|error| move_error(MoveWork::PullEvidence, &source.node, error))
}

async fn commit_step(parts: NodeParts, commit: SplitCommit<LeaseProof>) -> Result<(), MoveError> {
    let base = parts.board.gate.current();
    if base.split(&commit.before.key) != Some(&commit.before) {
        let cause = "the traffic split has changed since the step was planned";
        return Err(move_error(MoveWork::CommitStep, "own configuration", cause));
    }
    let change = ConfigChange {
        base,
        changed: vec![ConfigResource::Split(commit.after)],
        removed: Vec::new(),
        author: ChangeAuthor::Controller {
            node: parts.settings.node.id.clone(),
            lease: commit.proof,
        },
        summary: commit.summary,
        contract: None,
    };
    match parts.config.commit(change).await {
        Ok(snapshot) => {
            apply_accepted_config(&parts, snapshot);
            Ok(())
        }
        Err(error) => Err(move_error(MoveWork::CommitStep, "table", error)),
    }
}

fn report_event(event: &MoveEvent, parts: &NodeParts, wall_time: SystemTime) {
    match &event.body {
        MoveEventBody::WorkFailed { work, message } => {
            warn!(service = %event.key, move_id = event.move_id, %work, message, "move step failed");
            return;
        }
        MoveEventBody::Completed(_) => count_completed_move(event, parts, wall_time),
        MoveEventBody::TakenBack(_) => parts.metrics.count_move(MoveResult::TakenBack),
        MoveEventBody::VetoIssued(_) | MoveEventBody::StepWritten(_) => {}
    }
    log_move_event(event);
}

fn count_completed_move(event: &MoveEvent, parts: &NodeParts, wall_time: SystemTime) {
    let snapshot = parts.board.gate.current();
    let current = snapshot
        .split(&event.key)
        .and_then(|split| split.current_move.as_ref());
    let Some(current) = current else {
        return;
    };
    // The candidate has taken over when the watch phase begins, so the watch does not count towards the
    // deadline.
    let watch_phase_ms = snapshot
        .service(&event.key)
        .map_or(0, |spec| spec.move_policy.watch_for.as_millis() as u64);
    let now_ms = wall_time
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64);
    let in_time = now_ms.saturating_sub(watch_phase_ms) <= current.finish_by_ms;
    let result = if in_time {
        MoveResult::InTime
    } else {
        MoveResult::Late
    };
    parts.metrics.count_move(result);
}

fn log_move_event(event: &MoveEvent) {
    let change = match &event.body {
        MoveEventBody::VetoIssued(change)
        | MoveEventBody::StepWritten(change)
        | MoveEventBody::Completed(change)
        | MoveEventBody::TakenBack(change) => change,
        MoveEventBody::WorkFailed { .. } => return,
    };
    log_move(&MoveDecision {
        key: event.key.clone(),
        move_id: event.move_id,
        candidate: event.candidate.clone(),
        phase: change.step.phase,
        candidate_permille: change.step.permille,
        reason: event.body.to_string(),
        alternatives: vec!["keep the current share".to_owned()],
    });
}
