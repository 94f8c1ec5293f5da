//! The move controller with fake ports: lease, evidence pulls, vetoes and writes of steps.

use {
    parking_lot::Mutex,
    poplarwing::{
        apply_gate::ConfigSource,
        blackboard::Blackboard,
        call_evidence::BUCKET_COUNT,
        config::{
            CallLimits, ConfigResource, ConfigSnapshot, CustomerSpec, MovePhase, MovePolicy,
            MovePreference, ServiceKey, ServiceSpec, TrafficSplit, VersionMove, VersionedResource,
        },
        membership::{MemberRecord, MemberState, TargetRecord},
        move_controller::{
            MoveController, MoveError, MoveEvent, MoveEventBody, MovePorts, MoveWork, SplitCommit,
        },
        veto_table::VetoRecord,
        wire::{EvidenceCounter, EvidenceReply},
    },
    std::{
        io,
        sync::Arc,
        time::{Duration, Instant, UNIX_EPOCH},
    },
};

const START_MS: u64 = 1_000_000;

fn service_key() -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
    }
}

fn running_split(phase: MovePhase, permille: u32) -> TrafficSplit {
    TrafficSplit {
        key: service_key(),
        stable: "v1".to_owned(),
        candidate_permille: permille,
        current_move: Some(VersionMove {
            id: 3,
            candidate: "v2".to_owned(),
            previous: "v1".to_owned(),
            phase,
            started_at_ms: START_MS,
            finish_by_ms: START_MS + 600_000,
            reason: String::new(),
        }),
    }
}

fn snapshot(version: u64, split: TrafficSplit) -> ConfigSnapshot {
    let customer = CustomerSpec {
        customer: "kestrel".to_owned(),
        limits: CallLimits::default(),
    };
    let service = ServiceSpec {
        key: service_key(),
        host: "ledger.kestrel.example".to_owned(),
        initial_version: "v1".to_owned(),
        limits: CallLimits::default(),
        routes: Vec::new(),
        move_policy: MovePolicy {
            prefer: MovePreference::Safety,
            finish_within: Duration::from_secs(600),
            canary_permille: 50,
            watch_for: Duration::from_secs(60),
        },
    };
    let resources: [ConfigResource; 3] = [customer.into(), service.into(), split.into()];
    let entries = resources.into_iter().map(|resource| {
        (
            resource.name(),
            VersionedResource {
                changed_at: 1,
                resource,
            },
        )
    });
    ConfigSnapshot {
        version,
        accepted_at_ms: 0,
        resources: entries.collect(),
    }
}

fn member(node: &str, port: u16, version: &str) -> MemberRecord {
    let address = ([127, 0, 0, 1], port).into();
    MemberRecord {
        node: node.to_owned(),
        incarnation: 1,
        sequence: 1,
        state: MemberState::Alive,
        domain: "welshpool".to_owned(),
        peer_address: address,
        forward_address: address,
        target: Some(TargetRecord {
            key: service_key(),
            version: version.to_owned(),
            slots: 6,
            connections: 130,
            draining: false,
            demand: 0,
            left: None,
        }),
        applied_version: 0,
    }
}

fn counter(version: &str, calls: u64, failures: u64) -> EvidenceCounter {
    let mut latency_buckets = vec![0; BUCKET_COUNT];
    latency_buckets[20] = calls;
    EvidenceCounter {
        version: version.to_owned(),
        route: "jobs".to_owned(),
        calls,
        failures,
        latency_buckets,
    }
}

/// Settings of the fake ports, and the vetoes and splits that they received.
#[derive(Debug, Default)]
struct PortState {
    store_down: bool,
    lease_held_elsewhere: bool,
    unreachable_node: Option<String>,
    stable_calls: u64,
    candidate_calls: u64,
    candidate_failures: u64,
    spread: Vec<VetoRecord>,
    commits: Vec<TrafficSplit>,
}

type SharedState = Arc<Mutex<PortState>>;

fn refused(work: MoveWork, peer: &str) -> MoveError {
    MoveError {
        work,
        peer: peer.to_owned(),
        cause: Box::new(io::Error::from(io::ErrorKind::ConnectionRefused)),
    }
}

fn ports(state: &SharedState, board: &Arc<Blackboard>) -> MovePorts<u64> {
    let (lease, pull) = (state.clone(), state.clone());
    let (spread, commit) = (state.clone(), state.clone());
    let board = board.clone();
    MovePorts {
        lease: Box::new(move |_| {
            let state = lease.lock();
            let result = match (state.store_down, state.lease_held_elsewhere) {
                (true, _) => Err(refused(MoveWork::Lease, "table")),
                (false, true) => Ok(None),
                (false, false) => Ok(Some(1)),
            };
            Box::pin(async move { result })
        }),
        pull: Box::new(move |source| {
            let state = pull.lock();
            let result = if state.unreachable_node.as_ref() == Some(&source.node) {
                Err(refused(MoveWork::PullEvidence, &source.node))
            } else {
                let counters = match source.node.as_str() {
                    "n1" => vec![counter("v1", state.stable_calls, 0)],
                    _ => vec![counter(
                        "v2",
                        state.candidate_calls,
                        state.candidate_failures,
                    )],
                };
                Ok(EvidenceReply {
                    incarnation: 1,
                    counters,
                })
            };
            Box::pin(async move { result })
        }),
        send_veto: Box::new(move |veto| spread.lock().spread.push(veto)),
        commit: Box::new(move |write: SplitCommit<u64>| {
            let mut state = commit.lock();
            if state.store_down {
                return Box::pin(async { Err(refused(MoveWork::CommitStep, "table")) });
            }
            state.commits.push(write.after.clone());
            put_in_force(&board, write.after);
            Box::pin(async { Ok(()) })
        }),
    }
}

fn put_in_force(board: &Blackboard, split: TrafficSplit) {
    let next = snapshot(board.gate.version() + 1, split);
    board
        .gate
        .try_apply(next, &ConfigSource::Store)
        .expect("the configuration is newer and valid");
}

/// A controller on node `n1`, with a stable target on `n1` and a candidate target on `n2`.
struct ControlledMove {
    board: Arc<Blackboard>,
    state: SharedState,
    ports: MovePorts<u64>,
    controller: MoveController,
    started: Instant,
    seconds: u64,
}

impl ControlledMove {
    fn new(split: TrafficSplit) -> Self {
        let board = Arc::new(Blackboard::default());
        board.gate.set_floor(0);
        put_in_force(&board, split);
        board.members.lock().merge(member("n1", 7001, "v1"));
        board.members.lock().merge(member("n2", 7002, "v2"));
        let state = SharedState::default();
        let started = Instant::now();
        Self {
            ports: ports(&state, &board),
            controller: MoveController::new(&"n1".to_owned(), started),
            board,
            state,
            started,
            seconds: 0,
        }
    }

    async fn step(&mut self) -> Vec<MoveEvent> {
        self.seconds += 1;
        let elapsed = Duration::from_secs(self.seconds);
        let wall = UNIX_EPOCH + Duration::from_millis(START_MS) + elapsed;
        self.controller
            .step(&self.ports, &self.board, self.started + elapsed, wall)
            .await
    }

    /// Runs up to 20 steps in which the candidate fails every call, until a veto is sent.
    async fn fail_until_vetoed(&mut self) -> Vec<MoveEvent> {
        let mut events = Vec::new();
        for _ in 0..20 {
            {
                let mut state = self.state.lock();
                state.stable_calls += 100;
                state.candidate_calls += 5;
                state.candidate_failures += 5;
            }
            events.extend(self.step().await);
            if !self.state.lock().spread.is_empty() {
                break;
            }
        }
        events
    }

    fn split(&self) -> TrafficSplit {
        let current = self.board.gate.current();
        current
            .split(&service_key())
            .expect("the service is configured")
            .clone()
    }

    fn phase(&self) -> MovePhase {
        let split = self.split();
        split.current_move.expect("a move was configured").phase
    }
}

/// Guards against a step whose future is not `Send` and so cannot run on the worker pool.
#[tokio::test]
async fn step_runs_on_another_worker() {
    let mut controlled = ControlledMove::new(running_split(MovePhase::Waiting, 0));

    let events = tokio::spawn(async move { controlled.step().await }).await;

    assert_eq!(events.expect("the step does not panic").len(), 1);
}

/// Guards against a canary that never starts, and against a step that is written twice.
#[tokio::test]
async fn waiting_move_starts_its_canary_once() {
    let mut controlled = ControlledMove::new(running_split(MovePhase::Waiting, 0));

    let events = controlled.step().await;
    controlled.step().await;

    assert!(matches!(events[0].body, MoveEventBody::StepWritten(_)));
    assert_eq!(controlled.phase(), MovePhase::Canary);
    assert_eq!(controlled.split().candidate_permille, 50);
    assert_eq!(controlled.state.lock().commits.len(), 1);
}

/// Guards against a bad version that receives calls while the store is down, and against a move that continues
/// once the store is available again.
#[tokio::test]
async fn veto_spreads_at_once_and_is_written_when_the_store_returns() {
    let mut controlled = ControlledMove::new(running_split(MovePhase::Canary, 50));
    controlled.step().await;
    controlled.state.lock().store_down = true;

    controlled.fail_until_vetoed().await;
    controlled.step().await;
    let vetoes = controlled.state.lock().spread.clone();
    let phase_during_outage = controlled.phase();
    controlled.state.lock().store_down = false;
    let after = controlled.step().await;

    assert_eq!(vetoes.len(), 1);
    assert_eq!(vetoes[0].move_id, 3);
    assert_eq!(phase_during_outage, MovePhase::Canary);
    assert!(
        controlled
            .board
            .vetoes
            .lock()
            .against(&running_split(MovePhase::Canary, 50))
            .is_some()
    );
    assert!(matches!(after[0].body, MoveEventBody::TakenBack(_)));
    assert_eq!(controlled.phase(), MovePhase::TakenBack);
    assert_eq!(controlled.split().candidate_permille, 0);
}

/// Guards against two controllers that write steps of the same move.
#[tokio::test]
async fn node_without_the_lease_does_nothing() {
    let mut controlled = ControlledMove::new(running_split(MovePhase::Waiting, 0));
    controlled.state.lock().lease_held_elsewhere = true;

    let events = controlled.step().await;
    controlled.fail_until_vetoed().await;

    assert!(events.is_empty());
    assert!(controlled.state.lock().commits.is_empty());
    assert!(controlled.state.lock().spread.is_empty());
}

/// Guards against an unreachable node because of which the counters of the other nodes are not evaluated.
#[tokio::test]
async fn unreachable_node_is_reported_and_the_others_still_count() {
    let mut controlled = ControlledMove::new(running_split(MovePhase::Canary, 50));
    controlled
        .board
        .members
        .lock()
        .merge(member("n3", 7003, "v2"));
    controlled.state.lock().unreachable_node = Some("n3".to_owned());

    let first = controlled.step().await;
    controlled.fail_until_vetoed().await;

    assert!(first.iter().any(|event| matches!(
        &event.body,
        MoveEventBody::WorkFailed {
            work: MoveWork::PullEvidence,
            message,
        } if message.contains("n3")
    )));
    assert_eq!(controlled.phase(), MovePhase::TakenBack);
}

/// Guards against a controller that writes steps of a move after an operator cancelled it.
#[tokio::test]
async fn cancelled_move_is_left_alone() {
    let mut controlled = ControlledMove::new(running_split(MovePhase::Ramp, 250));
    controlled.step().await;
    put_in_force(&controlled.board, running_split(MovePhase::TakenBack, 0));

    let events = controlled.fail_until_vetoed().await;

    assert!(events.is_empty());
    assert!(controlled.state.lock().commits.is_empty());
}

/// Guards against a candidate that is found bad by the evidence of an earlier move.
#[tokio::test]
async fn next_move_starts_without_the_evidence_of_the_last() {
    let mut controlled = ControlledMove::new(running_split(MovePhase::Canary, 50));
    controlled.step().await;
    controlled.fail_until_vetoed().await;
    let mut next = running_split(MovePhase::Canary, 50);
    if let Some(current) = &mut next.current_move {
        current.id = 9;
    }
    put_in_force(&controlled.board, next);

    let events = controlled.step().await;

    assert!(events.is_empty());
    assert_eq!(controlled.phase(), MovePhase::Canary);
}
