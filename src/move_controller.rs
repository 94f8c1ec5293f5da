//! Drives moves between versions: pulls evidence, tests it, and takes the planned step.

pub mod drive;
pub mod plan;
pub mod schedule;

use {
    crate::{
        blackboard::Blackboard,
        config::{MovePhase, MovePolicy, ServiceKey, TrafficSplit},
        ids::{ConfigVersion, NodeId, VersionName},
        membership::TargetEndpoint,
        move_verdict::{VerdictPolicy, counter_history::CounterReading},
        veto_table::VetoRecord,
        wire::EvidenceReply,
    },
    derive_more::Display,
    drive::{DriveInput, DrivePlan, MoveDrive},
    futures::future::{BoxFuture, join_all},
    plan::{MoveStep, StepChange, VersionTargets, changed_split, is_running},
    serde::Serialize,
    std::{
        hash::Hasher,
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    thiserror::Error,
    tokio::time::timeout,
    xxhash_rust::xxh3::Xxh3,
};

/// Target nodes of a service that contend for the lease of its move.
const LEASE_CANDIDATES: usize = 3;

/// Longest wait for the counters of one node; a late reading loses nothing, because counters are cumulative.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Part of a controller's work that failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveWork {
    /// Acquiring or renewing the lease.
    #[display("lease")]
    Lease,
    /// Pulling evidence counters.
    #[display("pull evidence")]
    PullEvidence,
    /// Writing a step.
    #[display("commit step")]
    CommitStep,
}

/// Work of a controller that failed.
#[derive(Debug, Error)]
#[error("{work} at {peer}: {cause}")]
pub struct MoveError {
    /// Part that failed.
    pub work: MoveWork,
    /// Node or endpoint that was asked.
    pub peer: String,
    /// What went wrong.
    pub cause: Box<dyn std::error::Error + Send + Sync>,
}

/// An asynchronous operation that a controller is given.
pub type PortCall<A, R> = Box<dyn Fn(A) -> BoxFuture<'static, Result<R, MoveError>> + Send + Sync>;

/// Node to pull evidence from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvidenceSource {
    /// Node beside a target of the service.
    pub node: NodeId,
    /// Its peer address.
    pub address: SocketAddr,
    /// Service whose counters are wanted.
    pub key: ServiceKey,
}

/// Attempt to acquire or renew the lease of a move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseAsk {
    /// Service of the move.
    pub key: ServiceKey,
    /// Monotonic time of the attempt.
    pub now: Instant,
}

/// A step to write under a lease.
#[derive(Clone, Debug)]
pub struct SplitCommit<P> {
    /// Split that the step was planned on; the write fails if it has changed since.
    pub before: TrafficSplit,
    /// Split to put in force.
    pub after: TrafficSplit,
    /// Line for the audit record.
    pub summary: String,
    /// Proof that this node holds the lease.
    pub proof: P,
}

/// Operations of other modules; `P` is the proof of a lease.
pub struct MovePorts<P> {
    /// Acquires or renews the lease: a proof, none if another node holds it, or an error of the store.
    pub lease: PortCall<LeaseAsk, Option<P>>,
    /// Pulls the counters of one node.
    pub pull: PortCall<EvidenceSource, EvidenceReply>,
    /// Spreads a veto to the other nodes.
    pub spread: Box<dyn Fn(VetoRecord) + Send + Sync>,
    /// Writes a step and puts the accepted configuration in force on this node.
    pub commit: PortCall<SplitCommit<P>, ()>,
}

/// What a controller did, for the event log and for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MoveEvent {
    /// Service of the move.
    pub key: ServiceKey,
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Candidate of the move.
    pub candidate: VersionName,
    /// What happened.
    pub body: MoveEventBody,
}

/// What a controller did.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveEventBody {
    /// A veto was issued.
    #[display("veto issued: {}", _0.reason)]
    VetoIssued(StepChange),
    /// A step was written.
    #[display("step written: {} at {} per mille: {}", _0.step.phase, _0.step.permille, _0.reason)]
    StepWritten(StepChange),
    /// The candidate has become the stable version.
    #[display("completed: {}", _0.reason)]
    Completed(StepChange),
    /// The move was taken back.
    #[display("taken back: {}", _0.reason)]
    TakenBack(StepChange),
    /// Some work failed and is tried again at the next step.
    #[display("{work} failed: {message}")]
    WorkFailed {
        /// Part that failed.
        work: MoveWork,
        /// The error.
        message: String,
    },
}

/// Drives the move of the own target's service while this node holds its lease.
#[derive(Debug)]
pub struct MoveController {
    node: NodeId,
    started: Instant,
    drive: Option<MoveDrive>,
}

/// A running move as the configuration in force has it.
#[derive(Clone, Debug)]
struct RunningMove {
    split: TrafficSplit,
    policy: MovePolicy,
    move_id: ConfigVersion,
    candidate: VersionName,
    endpoints: Vec<TargetEndpoint>,
    sources: Vec<EvidenceSource>,
}

/// What this node may do in a move.
enum MoveRole<P> {
    /// Holds the lease: may write steps.
    Holder(P),
    /// The store gives no answer: may only issue vetoes, which lower the share and need no lease.
    Observer,
    /// Another node holds the lease.
    Bystander,
}

impl MoveController {
    /// Returns a controller for the service of this node's target.
    pub fn new(node: &NodeId, now: Instant) -> Self {
        Self {
            node: node.clone(),
            started: now,
            drive: None,
        }
    }

    /// Does one step: lease, evidence, plan, veto, write.
    pub async fn step<P: Send>(
        &mut self,
        ports: &MovePorts<P>,
        board: &Blackboard,
        now: Instant,
        wall: SystemTime,
    ) -> Vec<MoveEvent> {
        let Some(running) = running_move(board, &self.node) else {
            self.drive = None;
            return Vec::new();
        };
        let mut events = Vec::new();
        let role = self.find_role(ports, &running, now, &mut events).await;
        if matches!(role, MoveRole::Bystander) {
            self.drive = None;
            return events;
        }
        let readings = pull_all(ports, &running, &mut events).await;
        let Some(plan) = self.plan(board, &running, &readings, now, wall) else {
            return events;
        };
        self.act(ports, board, &running, role, plan, &mut events)
            .await;
        events
    }

    async fn find_role<P>(
        &self,
        ports: &MovePorts<P>,
        running: &RunningMove,
        now: Instant,
        events: &mut Vec<MoveEvent>,
    ) -> MoveRole<P> {
        let rank = lease_rank(&running.endpoints, &running.split.key, &self.node);
        if rank.is_none_or(|rank| rank >= LEASE_CANDIDATES) {
            return MoveRole::Bystander;
        }
        let ask = LeaseAsk {
            key: running.split.key.clone(),
            now,
        };
        match (ports.lease)(ask).await {
            Ok(Some(proof)) => MoveRole::Holder(proof),
            Ok(None) => MoveRole::Bystander,
            Err(error) => {
                events.push(running.failed(&error));
                let watches = self.drive.is_some() || rank == Some(0);
                if watches {
                    MoveRole::Observer
                } else {
                    MoveRole::Bystander
                }
            }
        }
    }

    fn plan(
        &mut self,
        board: &Blackboard,
        running: &RunningMove,
        readings: &[CounterReading],
        now: Instant,
        wall: SystemTime,
    ) -> Option<DrivePlan> {
        let now_ms = epoch_ms(wall);
        let is_known = self
            .drive
            .as_ref()
            .is_some_and(|drive| drive.move_id() == running.move_id);
        if !is_known {
            let policy = VerdictPolicy::for_preference(running.policy.prefer);
            self.drive = MoveDrive::new(&running.split, &policy, now_ms);
        }
        let veto = board.vetoes.lock().against(&running.split).cloned();
        let input = DriveInput {
            split: &running.split,
            veto: veto.as_ref(),
            readings,
            targets: VersionTargets::count(&running.split, &running.endpoints),
            policy: &running.policy,
            now: now.saturating_duration_since(self.started),
            now_ms,
        };
        self.drive.as_mut().map(|drive| drive.tick(&input))
    }

    async fn act<P>(
        &self,
        ports: &MovePorts<P>,
        board: &Blackboard,
        running: &RunningMove,
        role: MoveRole<P>,
        plan: DrivePlan,
        events: &mut Vec<MoveEvent>,
    ) {
        let change = match plan.step {
            MoveStep::Hold(_) => return,
            MoveStep::Change(change) => change,
            MoveStep::VetoAndTakeBack(change) => {
                self.issue_veto(ports, board, running, &change, events);
                change
            }
        };
        if let MoveRole::Holder(proof) = role {
            commit(ports, running, change, proof, events).await;
        }
    }

    /// Spreads a veto before the write, because the write can take long or fail.
    fn issue_veto<P>(
        &self,
        ports: &MovePorts<P>,
        board: &Blackboard,
        running: &RunningMove,
        change: &StepChange,
        events: &mut Vec<MoveEvent>,
    ) {
        let veto = VetoRecord {
            key: running.split.key.clone(),
            move_id: running.move_id,
            issuer: self.node.clone(),
            reason: change.reason.to_string(),
        };
        let is_new = board.vetoes.lock().add(veto.clone());
        if is_new {
            (ports.spread)(veto);
            events.push(running.event(MoveEventBody::VetoIssued(change.clone())));
        }
    }
}

async fn commit<P>(
    ports: &MovePorts<P>,
    running: &RunningMove,
    change: StepChange,
    proof: P,
    events: &mut Vec<MoveEvent>,
) {
    let commit = SplitCommit {
        before: running.split.clone(),
        after: changed_split(&running.split, &change),
        summary: format!(
            "move of {} to {}: {} at {} per mille: {}",
            running.split.key,
            running.candidate,
            change.step.phase,
            change.step.permille,
            change.reason
        ),
        proof,
    };
    let event = match (ports.commit)(commit).await {
        Ok(()) => running.event(written(change)),
        Err(error) => running.failed(&error),
    };
    events.push(event);
}

fn written(change: StepChange) -> MoveEventBody {
    match change.step.phase {
        MovePhase::Done => MoveEventBody::Completed(change),
        MovePhase::TakenBack => MoveEventBody::TakenBack(change),
        _ => MoveEventBody::StepWritten(change),
    }
}

async fn pull_all<P>(
    ports: &MovePorts<P>,
    running: &RunningMove,
    events: &mut Vec<MoveEvent>,
) -> Vec<CounterReading> {
    let pulls = running
        .sources
        .iter()
        .map(|source| pull_one(ports, source.clone()));
    let mut readings = Vec::new();
    for result in join_all(pulls).await {
        match result {
            Ok(reading) => readings.push(reading),
            Err(error) => events.push(running.failed(&error)),
        }
    }
    readings
}

async fn pull_one<P>(
    ports: &MovePorts<P>,
    source: EvidenceSource,
) -> Result<CounterReading, MoveError> {
    let node = source.node.clone();
    let late = |cause| MoveError {
        work: MoveWork::PullEvidence,
        peer: node.clone(),
        cause: Box::new(cause),
    };
    let reply = timeout(PULL_TIMEOUT, (ports.pull)(source))
        .await
        .map_err(late)??;
    Ok(CounterReading { node, reply })
}

impl RunningMove {
    fn event(&self, body: MoveEventBody) -> MoveEvent {
        MoveEvent {
            key: self.split.key.clone(),
            move_id: self.move_id,
            candidate: self.candidate.clone(),
            body,
        }
    }

    fn failed(&self, error: &MoveError) -> MoveEvent {
        self.event(MoveEventBody::WorkFailed {
            work: error.work,
            message: error.to_string(),
        })
    }
}

/// Returns the running move of the service that this node's target serves.
fn running_move(board: &Blackboard, node: &str) -> Option<RunningMove> {
    let snapshot = board.gate.current();
    let members = board.members.lock();
    let key = members.get(node)?.target.as_ref()?.key.clone();
    let split = snapshot.split(&key)?.clone();
    let policy = snapshot.service(&key)?.move_policy.clone();
    let current = split.current_move.as_ref()?;
    if !is_running(current.phase) {
        return None;
    }
    let endpoints = members.targets_of(&key);
    let sources = endpoints
        .iter()
        .filter_map(|endpoint| members.get(&endpoint.node))
        .map(|record| EvidenceSource {
            node: record.node.clone(),
            address: record.peer_address,
            key: key.clone(),
        })
        .collect();
    Some(RunningMove {
        move_id: current.id,
        candidate: current.candidate.clone(),
        policy,
        endpoints,
        sources,
        split,
    })
}

/// Returns the position of a node among the target nodes by rendezvous hash.
fn lease_rank(endpoints: &[TargetEndpoint], key: &ServiceKey, node: &str) -> Option<usize> {
    let weight = |name: &str| {
        let mut hasher = Xxh3::new();
        hasher.write(key.to_string().as_bytes());
        hasher.write(name.as_bytes());
        hasher.finish()
    };
    let own = endpoints
        .iter()
        .find(|endpoint| endpoint.node == node)
        .map(|endpoint| weight(&endpoint.node))?;
    let ahead = endpoints
        .iter()
        .filter(|endpoint| weight(&endpoint.node) > own)
        .count();
    Some(ahead)
}

fn epoch_ms(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
