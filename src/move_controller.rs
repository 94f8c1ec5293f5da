//! Controller of a move, the gradual shift of a service's calls from its stable version to a candidate.
//!
//! In each step, the controller that holds the lease of the move pulls the call counters of all targets, updates the
//! test of the candidate, and writes the planned change of the traffic split to the store.

pub mod evaluation;
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
    evaluation::{MoveEvaluation, TickInput, TickPlan},
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

/// Number of a service's target nodes that contend for the lease of its move.
const LEASE_CONTENDERS: usize = 3;

/// Timeout for the counters of one node; a missed reading loses no calls, because counters are cumulative.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Part of a controller's step that can fail.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveWork {
    /// Acquiring or renewing the lease.
    #[display("lease")]
    Lease,
    /// Pulling evidence counters.
    #[display("pull evidence")]
    PullEvidence,
    /// Writing a step to the store.
    #[display("commit step")]
    CommitStep,
}

/// Failure of one part of a controller's step.
#[derive(Debug, Error)]
#[error("{work} at {peer}: {cause}")]
pub struct MoveError {
    /// Part that failed.
    pub work: MoveWork,
    /// Node or store endpoint that the request went to.
    pub peer: String,
    /// Underlying error.
    pub cause: Box<dyn std::error::Error + Send + Sync>,
}

/// Asynchronous operation that the caller supplies to the controller.
pub type AsyncPort<A, R> = Box<dyn Fn(A) -> BoxFuture<'static, Result<R, MoveError>> + Send + Sync>;

/// Node to pull call counters from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvidenceSource {
    /// Node of one of the service's targets.
    pub node: NodeId,
    /// Address of that node for requests of other nodes.
    pub address: SocketAddr,
    /// Service whose counters are requested.
    pub key: ServiceKey,
}

/// Attempt to acquire or renew the lease of a move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseRequest {
    /// Service of the move.
    pub key: ServiceKey,
    /// Monotonic time of the attempt.
    pub now: Instant,
}

/// A step to write under a lease.
#[derive(Clone, Debug)]
pub struct SplitCommit<P> {
    /// Split that the step was planned for; the write fails if the split in force differs.
    pub before: TrafficSplit,
    /// Split to put in force.
    pub after: TrafficSplit,
    /// Summary for the audit record, one line.
    pub summary: String,
    /// Proof that this node holds the lease.
    pub proof: P,
}

/// Operations of other modules that the controller calls; `P` is the type that proves that a lease is held.
pub struct MovePorts<P> {
    /// Acquires or renews the lease; returns a proof, none if another node holds it, or the store's error.
    pub lease: AsyncPort<LeaseRequest, Option<P>>,
    /// Pulls the counters of one node.
    pub pull: AsyncPort<EvidenceSource, EvidenceReply>,
    /// Sends a veto to the other nodes by gossip.
    pub send_veto: Box<dyn Fn(VetoRecord) + Send + Sync>,
    /// Writes a step and puts the accepted configuration in force on this node.
    pub commit: AsyncPort<SplitCommit<P>, ()>,
}

/// Entry of the event log: what a controller did in a step of a move.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MoveEvent {
    /// Service of the move.
    pub key: ServiceKey,
    /// Identifier of the move.
    pub move_id: ConfigVersion,
    /// Candidate of the move.
    pub candidate: VersionName,
    /// Action or failure.
    pub body: MoveEventBody,
}

/// Action or failure of a controller.
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
    /// The move was rolled back to the stable version.
    #[display("taken back: {}", _0.reason)]
    TakenBack(StepChange),
    /// Part of the step failed; the next step retries it.
    #[display("{work} failed: {message}")]
    WorkFailed {
        /// Part that failed.
        work: MoveWork,
        /// Text of the error.
        message: String,
    },
}

/// Controls the move of the service that this node's target serves, while this node holds the move's lease.
#[derive(Debug)]
pub struct MoveController {
    node: NodeId,
    started: Instant,
    /// None while no move is running or another node holds its lease.
    evaluation: Option<MoveEvaluation>,
}

/// A running move, its contract rules and its targets at the start of a step.
#[derive(Clone, Debug)]
struct RunningMove {
    split: TrafficSplit,
    policy: MovePolicy,
    move_id: ConfigVersion,
    candidate: VersionName,
    endpoints: Vec<TargetEndpoint>,
    sources: Vec<EvidenceSource>,
}

/// Actions that this node may take in a move.
enum MoveRole<P> {
    /// Holds the lease: may write steps and issue vetoes.
    Holder(P),
    /// The store does not answer: may only issue vetoes, which stop calls to the candidate and need no lease.
    Observer,
    /// Neither holds the lease nor stands in for its holder: takes no action.
    Idle,
}

impl MoveController {
    /// Returns a controller for the service of this node's target.
    pub fn new(node: &NodeId, now: Instant) -> Self {
        Self {
            node: node.clone(),
            started: now,
            evaluation: None,
        }
    }

    /// Runs one step of the move: acquires the lease, pulls evidence, plans, issues a veto if due, and writes.
    ///
    /// `now` and `wall` are the same moment on the monotonic and on the system clock. Returns what happened, in
    /// order; a failure is reported as an event and retried by the next step.
    pub async fn step<P: Send>(
        &mut self,
        ports: &MovePorts<P>,
        board: &Blackboard,
        now: Instant,
        wall: SystemTime,
    ) -> Vec<MoveEvent> {
        let Some(running) = running_move(board, &self.node) else {
            self.evaluation = None;
            return Vec::new();
        };
        let mut events = Vec::new();
        let role = self.determine_role(ports, &running, now, &mut events).await;
        if matches!(role, MoveRole::Idle) {
            self.evaluation = None;
            return events;
        }
        let readings = pull_all_counters(ports, &running, &mut events).await;
        let Some(plan) = self.plan(board, &running, &readings, now, wall) else {
            return events;
        };
        self.execute_step(ports, board, &running, role, plan, &mut events)
            .await;
        events
    }

    /// Acquires or renews the lease if this node contends for it, and returns the resulting role.
    async fn determine_role<P>(
        &self,
        ports: &MovePorts<P>,
        running: &RunningMove,
        now: Instant,
        events: &mut Vec<MoveEvent>,
    ) -> MoveRole<P> {
        let rank = lease_rank(&running.endpoints, &running.split.key, &self.node);
        if rank.is_none_or(|rank| rank >= LEASE_CONTENDERS) {
            return MoveRole::Idle;
        }
        let request = LeaseRequest {
            key: running.split.key.clone(),
            now,
        };
        match (ports.lease)(request).await {
            Ok(Some(proof)) => MoveRole::Holder(proof),
            Ok(None) => MoveRole::Idle,
            Err(error) => {
                events.push(running.failure_event(&error));
                let may_observe = self.evaluation.is_some() || rank == Some(0);
                if may_observe {
                    MoveRole::Observer
                } else {
                    MoveRole::Idle
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
    ) -> Option<TickPlan> {
        let now_ms = epoch_ms(wall);
        let is_same_move = self
            .evaluation
            .as_ref()
            .is_some_and(|evaluation| evaluation.move_id() == running.move_id);
        if !is_same_move {
            let policy = VerdictPolicy::for_preference(running.policy.prefer);
            self.evaluation = MoveEvaluation::new(&running.split, &policy, now_ms);
        }
        let veto = board.vetoes.lock().against(&running.split).cloned();
        let input = TickInput {
            split: &running.split,
            veto: veto.as_ref(),
            readings,
            targets: VersionTargets::count(&running.split, &running.endpoints),
            policy: &running.policy,
            now: now.saturating_duration_since(self.started),
            now_ms,
        };
        self.evaluation
            .as_mut()
            .map(|evaluation| evaluation.tick(&input))
    }

    async fn execute_step<P>(
        &self,
        ports: &MovePorts<P>,
        board: &Blackboard,
        running: &RunningMove,
        role: MoveRole<P>,
        plan: TickPlan,
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

    /// Sends a veto before the write of the step, because the write can take long or fail.
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
            (ports.send_veto)(veto);
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
        Ok(()) => running.event(written_event(change)),
        Err(error) => running.failure_event(&error),
    };
    events.push(event);
}

fn written_event(change: StepChange) -> MoveEventBody {
    match change.step.phase {
        MovePhase::Done => MoveEventBody::Completed(change),
        MovePhase::TakenBack => MoveEventBody::TakenBack(change),
        _ => MoveEventBody::StepWritten(change),
    }
}

async fn pull_all_counters<P>(
    ports: &MovePorts<P>,
    running: &RunningMove,
    events: &mut Vec<MoveEvent>,
) -> Vec<CounterReading> {
    let pulls = running
        .sources
        .iter()
        .map(|source| pull_counters(ports, source.clone()));
    let mut readings = Vec::new();
    for result in join_all(pulls).await {
        match result {
            Ok(reading) => readings.push(reading),
            Err(error) => events.push(running.failure_event(&error)),
        }
    }
    readings
}

async fn pull_counters<P>(
    ports: &MovePorts<P>,
    source: EvidenceSource,
) -> Result<CounterReading, MoveError> {
    let node = source.node.clone();
    let timed_out = |cause| MoveError {
        work: MoveWork::PullEvidence,
        peer: node.clone(),
        cause: Box::new(cause),
    };
    let reply = timeout(PULL_TIMEOUT, (ports.pull)(source))
        .await
        .map_err(timed_out)??;
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

    fn failure_event(&self, error: &MoveError) -> MoveEvent {
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

/// Returns the position of a node among the target nodes by rendezvous hash, or none if it has no target.
fn lease_rank(endpoints: &[TargetEndpoint], key: &ServiceKey, node: &str) -> Option<usize> {
    let weight = |name: &str| {
        let mut hasher = Xxh3::new();
        hasher.write(key.to_string().as_bytes());
        hasher.write(name.as_bytes());
        hasher.finish()
    };
    let own_weight = endpoints
        .iter()
        .find(|endpoint| endpoint.node == node)
        .map(|endpoint| weight(&endpoint.node))?;
    let nodes_ahead = endpoints
        .iter()
        .filter(|endpoint| weight(&endpoint.node) > own_weight)
        .count();
    Some(nodes_ahead)
}

fn epoch_ms(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
