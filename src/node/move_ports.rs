//! Connects the move controller to the store and the node.

use {
    super::{NodeParts, put_in_force},
    crate::{
        config::{ConfigResource, ServiceKey},
        config_store::{ChangeAuthor, ConfigChange},
        config_sync::ask_evidence_counted,
        event_log::{MoveDecision, log_move},
        lease::{LeaseKeeper, LeaseName, LeaseProof},
        move_controller::{
            EvidenceSource, LeaseAsk, MoveController, MoveError, MoveEvent, MoveEventBody,
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

/// Time to live of the lease of a move.
const MOVE_TIME_TO_LIVE: Duration = Duration::from_secs(9);

/// Lease of the move that this node contends for.
struct HeldLease {
    key: ServiceKey,
    keeper: LeaseKeeper,
}

/// The lease, shared between the driver and its ports.
type SharedLease = Arc<Mutex<Option<HeldLease>>>;

/// Runs the move controller of a node.
pub struct MoveDriver {
    parts: NodeParts,
    controller: MoveController,
    ports: MovePorts<LeaseProof>,
    lease: SharedLease,
}

impl MoveDriver {
    /// Returns the driver of a node.
    pub fn new(parts: &NodeParts) -> Self {
        let lease = SharedLease::default();
        Self {
            parts: parts.clone(),
            controller: MoveController::new(&parts.settings.node.id, Instant::now()),
            ports: move_ports(parts, &lease),
            lease,
        }
    }

    /// Does one step and reports what happened.
    pub async fn step(&mut self) {
        let board = self.parts.board.clone();
        let (now, wall) = (Instant::now(), SystemTime::now());
        let events = self.controller.step(&self.ports, &board, now, wall).await;
        for event in &events {
            report(event, &self.parts, wall);
        }
    }

    /// Gives up the lease, so that another node can go on at once.
    pub async fn stop(&mut self) {
        if let Some(held) = self.lease.lock().await.as_mut()
            && let Err(error) = held.keeper.release().await
        {
            warn!(%error, "lease of a move not released; it expires");
        }
    }
}

fn move_ports(parts: &NodeParts, lease: &SharedLease) -> MovePorts<LeaseProof> {
    let (lease, holder) = (lease.clone(), parts.clone());
    let (puller, spreader, committer) = (parts.clone(), parts.gossip.clone(), parts.clone());
    MovePorts {
        lease: Box::new(move |ask| {
            step_lease(
                lease.clone(),
                holder.store.clone(),
                holder.settings.node.id.clone(),
                ask,
            )
            .boxed()
        }),
        pull: Box::new(move |source| pull_evidence(puller.clone(), source).boxed()),
        spread: Box::new(move |veto| spreader.spread_veto(veto)),
        commit: Box::new(move |commit| commit_step(committer.clone(), commit).boxed()),
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

async fn step_lease(
    lease: SharedLease,
    store: PlatformStore,
    holder: String,
    ask: LeaseAsk,
) -> Result<Option<LeaseProof>, MoveError> {
    let mut guard = lease.lock().await;
    let fresh = || HeldLease {
        key: ask.key.clone(),
        keeper: LeaseKeeper::new(
            store,
            LeaseName::Move(ask.key.clone()),
            holder,
            MOVE_TIME_TO_LIVE,
        ),
    };
    let held = match guard.take() {
        Some(held) if held.key == ask.key => guard.insert(held),
        _ => guard.insert(fresh()),
    };
    held.keeper
        .step(ask.now)
        .await
        .map_err(|error| move_error(MoveWork::Lease, "table", error))?;
    Ok(held.keeper.proof(Instant::now()))
}

async fn pull_evidence(
    parts: NodeParts,
    source: EvidenceSource,
) -> Result<EvidenceReply, MoveError> {
    let node = &parts.settings.node.id;
    let counters = parts.gossip.counters();
    ask_evidence_counted(source.address, node, &source.key, counters)
        .await
        .map_err(|error| move_error(MoveWork::PullEvidence, &source.node, error))
}

async fn commit_step(parts: NodeParts, commit: SplitCommit<LeaseProof>) -> Result<(), MoveError> {
    let base = parts.board.gate.current();
    if base.split(&commit.before.key) != Some(&commit.before) {
        let cause = "the split changed since the step was planned";
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
            put_in_force(&parts, snapshot);
            Ok(())
        }
        Err(error) => Err(move_error(MoveWork::CommitStep, "table", error)),
    }
}

fn report(event: &MoveEvent, parts: &NodeParts, wall: SystemTime) {
    match &event.body {
        MoveEventBody::WorkFailed { work, message } => {
            warn!(service = %event.key, move_id = event.move_id, %work, message, "move step failed");
            return;
        }
        MoveEventBody::Completed(_) => count_completed(event, parts, wall),
        MoveEventBody::TakenBack(_) => parts.metrics.count_move(MoveResult::TakenBack),
        MoveEventBody::VetoIssued(_) | MoveEventBody::StepWritten(_) => {}
    }
    log_event(event);
}

fn count_completed(event: &MoveEvent, parts: &NodeParts, wall: SystemTime) {
    let snapshot = parts.board.gate.current();
    let current = snapshot
        .split(&event.key)
        .and_then(|split| split.current_move.as_ref());
    let Some(current) = current else {
        return;
    };
    // The candidate takes over when the watch begins; the watch itself does not count against the time set.
    let watch_ms = snapshot
        .service(&event.key)
        .map_or(0, |spec| spec.move_policy.watch_for.as_millis() as u64);
    let now_ms = wall
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64);
    let in_time = now_ms.saturating_sub(watch_ms) <= current.finish_by_ms;
    let result = if in_time {
        MoveResult::InTime
    } else {
        MoveResult::Late
    };
    parts.metrics.count_move(result);
}

fn log_event(event: &MoveEvent) {
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
        alternatives: vec!["stay at the share before".to_owned()],
    });
}
