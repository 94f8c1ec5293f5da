//! Drives moves (rollouts): collects the call counters of targets, tests the candidate version and writes each step
//! to the store.
//!
//! Two nodes, selected by the same ranking on all nodes, watch each move. A step is written only if the record in the
//! store is still the one that the decision was based on, so that two drivers cannot undo each other's steps.

use {
    super::{
        context::MeshContext,
        move_schedule::{MoveProgress, MoveStep, next_step},
        move_step::StepCalls,
        move_table::{MoveView, compare_versions},
        node_rank::own_rank,
        port::{MoveRecord, MoveState, MoveWrite, PlatformPort, RowRevision, StoredMove},
        store_feed::StoreClock,
    },
    crate::{
        config::{MovePreference, ServiceKey},
        config_sync::request_evidence,
        ids::{ServiceName, VersionName},
        membership::TargetEndpoint,
        move_verdict::{
            VerdictPolicy, VerdictTest,
            counter_history::{CounterDifference, CounterHistory, CounterReading},
        },
        wire::EvidenceReply,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
    tracing::{info, warn},
};

/// Time between two tests of the candidates.
const VERDICT_PERIOD: Duration = Duration::from_millis(300);

/// Time limit for the counters of one node.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of nodes that watch a move.
const WATCHERS: usize = 2;

/// Time for which the second watcher waits for the first to write a step that is due.
const SECOND_WATCHER_DELAY: Duration = Duration::from_millis(900);

/// Calls of each route on each target whose latency is ignored because of cold starts.
const WARM_CALLS: u64 = 6;

/// Longest time for which latency is ignored because of a cold start.
const WARM_TIME: Duration = Duration::from_secs(4);

/// Largest probability that a candidate at the margin of the test is accepted. A move of some seconds in a small fleet
/// gives about 50 calls for the proof.
const FALSE_ACCEPTANCE_PROBABILITY: f64 = 0.2;

/// State of a move that this node watches.
struct WatchedMove {
    revision: RowRevision,
    stable: VersionName,
    test: VerdictTest,
    /// Last counters of each target, from which the test gets the differences.
    history: CounterHistory,
    started: Instant,
    /// Whether this node has watched since the candidate received no calls.
    from_start: bool,
    step: StepCalls,
    /// Whether the last collection brought counters of a target of the candidate.
    has_counters: bool,
    /// Whether it brought those of all targets of the service.
    has_all_counters: bool,
    /// Time at which a step became due that the record in the store does not show yet.
    due_since: Option<Instant>,
}

/// Drives all open moves that this node watches; runs until it is dropped.
pub async fn drive_moves(context: Arc<MeshContext>, port: PlatformPort, clock: Arc<StoreClock>) {
    let mut watched: HashMap<ServiceName, WatchedMove> = HashMap::new();
    loop {
        sleep(VERDICT_PERIOD).await;
        let open = context.board.moves.lock().open_moves();
        watched.retain(|service, _| open.iter().any(|view| &view.order.service == service));
        for view in open {
            if let Some(rank) = watcher_rank(&context, &view) {
                drive_move(&context, &port, &clock, &mut watched, &view, rank).await;
            }
        }
    }
}

/// Returns this node's rank, which is its place in the order of the watchers of a move, 0 first; none if it is not a
/// watcher.
pub fn watcher_rank(context: &MeshContext, view: &MoveView) -> Option<usize> {
    let duty = format!("watch {} {}", view.order.service, view.order.revision);
    let rank = own_rank(context, &duty, |_| true);
    (rank < WATCHERS).then_some(rank)
}

async fn drive_move(
    context: &Arc<MeshContext>,
    port: &PlatformPort,
    clock: &StoreClock,
    watched: &mut HashMap<ServiceName, WatchedMove>,
    view: &MoveView,
    rank: usize,
) {
    let key = ServiceKey {
        customer: context.settings.service.customer.clone(),
        service: view.order.service.clone(),
    };
    let targets = context.board.members.lock().targets_of(&key);
    let is_watched = watched
        .get(&view.order.service)
        .is_some_and(|watched| watched.revision == view.order.revision);
    if !is_watched {
        watched.insert(view.order.service.clone(), WatchedMove::new(view, &targets));
    }
    let Some(state) = watched.get_mut(&view.order.service) else {
        return;
    };
    let readings = collect_counters(context, &key, &targets).await;
    let differences = state
        .history
        .differences(&readings, state.started.elapsed());
    state.add(view, &differences);
    state.has_counters = has_candidate_counters(view, &targets, &readings);
    state.has_all_counters = readings.len() >= targets.len();
    let Some(now) = clock.now() else {
        return;
    };
    let Some(record) = next_record(context, state, view, &targets, now) else {
        state.due_since = None;
        return;
    };
    let due_since = *state.due_since.get_or_insert_with(Instant::now);
    let is_rollback = record.state == MoveState::RolledBack;
    if is_rollback {
        veto(context, &record);
    }
    // A watcher that has stepped in for the first one goes on without further delays.
    let own = &context.settings.node.id;
    let wrote_last = view.record().is_some_and(|record| &record.writer == own);
    let delay = match is_rollback || wrote_last {
        true => Duration::ZERO,
        false => SECOND_WATCHER_DELAY * rank as u32,
    };
    if due_since.elapsed() < delay {
        return;
    }
    write_step(context, port, view, record).await;
}

/// Returns the parameters of the test of a candidate.
pub fn watch_policy() -> VerdictPolicy {
    VerdictPolicy {
        warm_up_calls: WARM_CALLS,
        warm_up_time: WARM_TIME,
        false_acceptance_probability: FALSE_ACCEPTANCE_PROBABILITY,
        ..VerdictPolicy::for_preference(MovePreference::Safety)
    }
}

impl WatchedMove {
    fn new(view: &MoveView, targets: &[TargetEndpoint]) -> Self {
        let candidate = &view.order.candidate;
        let stable = targets.iter().map(|target| &target.version);
        let stable = stable.filter(|version| *version != candidate);
        let stable = stable.min_by(|first, second| compare_versions(first, second));
        let stable = stable.cloned().unwrap_or_default();
        Self {
            revision: view.order.revision,
            test: VerdictTest::new(candidate, &stable, watch_policy()),
            history: CounterHistory::new(WARM_CALLS, WARM_TIME),
            stable,
            from_start: view.permille() == 0,
            started: Instant::now(),
            step: StepCalls::new(candidate, Instant::now()),
            has_counters: false,
            has_all_counters: false,
            due_since: None,
        }
    }

    /// Adds the calls that ended since the last collection. The proof that the candidate is good starts anew at each
    /// new share: it does not hold at a larger load.
    fn add(&mut self, view: &MoveView, differences: &[CounterDifference]) {
        let permille = view.record().map_or(0, |record| record.permille);
        if self.step.begin(permille, Instant::now()) {
            self.test.begin_step();
        }
        self.test.add(differences);
        self.step.add(differences);
    }
}

/// Returns whether some target of the candidate reported its counters.
fn has_candidate_counters(
    view: &MoveView,
    targets: &[TargetEndpoint],
    readings: &[CounterReading],
) -> bool {
    let candidates = targets
        .iter()
        .filter(|target| target.version == view.order.candidate);
    let mut nodes = candidates.map(|target| &target.node);
    nodes.any(|node| readings.iter().any(|reading| reading.node == *node))
}

/// Stops the calls to a candidate here and at all peers, whether or not the store accepts the roll-back.
fn veto(context: &MeshContext, record: &MoveRecord) {
    let order = &record.order;
    let mut moves = context.board.moves.lock();
    if !moves.add_veto(&order.service, order.revision) {
        return;
    }
    drop(moves);
    warn!(
        decision = "move",
        service = order.service,
        candidate = order.candidate,
        revision = order.revision,
        reason = record.reason,
        "candidate rejected; its calls stop"
    );
    context.publish_moves();
}

/// Collects the counters of all targets of a service; nodes that do not answer in time are left out.
async fn collect_counters(
    context: &Arc<MeshContext>,
    key: &ServiceKey,
    targets: &[TargetEndpoint],
) -> Vec<CounterReading> {
    let own = context.settings.node.id.clone();
    let mut readings = Vec::new();
    let mut requests = JoinSet::new();
    for target in targets {
        if target.node == own {
            readings.push(CounterReading {
                node: own.clone(),
                reply: EvidenceReply {
                    incarnation: context.gossip.process_epoch(),
                    counters: context.board.evidence.lock().counters_of(key),
                },
            });
        } else if let Some(address) = peer_address(context, &target.node) {
            let (key, node) = (key.clone(), target.node.clone());
            let own = own.clone();
            requests.spawn(async move {
                let reply = timeout(EVIDENCE_TIMEOUT, request_evidence(address, &own, &key)).await;
                (node, reply)
            });
        }
    }
    while let Some(ended) = requests.join_next().await {
        match ended {
            Ok((node, Ok(Ok(reply)))) => readings.push(CounterReading { node, reply }),
            Ok((node, Ok(Err(error)))) => {
                warn!(peer = node, %error, "counters of a peer not received; left out of this test")
            }
            Ok((node, Err(_))) => warn!(
                peer = node,
                "counters of a peer not received in time; left out of this test"
            ),
            Err(error) => warn!(%error, "a request for counters panicked"),
        }
    }
    readings
}

fn peer_address(context: &MeshContext, node: &str) -> Option<SocketAddr> {
    let members = context.board.members.lock();
    members.get(node).map(|record| record.peer_address)
}

/// Returns the record that should replace the current one; none if no step is due.
fn next_record(
    context: &MeshContext,
    state: &WatchedMove,
    view: &MoveView,
    targets: &[TargetEndpoint],
    now: Duration,
) -> Option<MoveRecord> {
    let record = |state, permille, started, reason: String| MoveRecord {
        order: view.order.clone(),
        state,
        permille,
        started,
        writer: context.settings.node.id.clone(),
        reason,
    };
    let Some(current) = view.record() else {
        // First record of the move: its period starts now, with no calls for the candidate.
        let reason = "the order was seen".to_owned();
        return Some(record(MoveState::Running, 0, now, reason));
    };
    let progress = MoveProgress {
        permille: current.permille,
        elapsed: now.saturating_sub(current.started),
        period: view.order.period,
        step_calls: state.step.candidate_calls(),
        service_calls: state.step.service_calls(),
        all_calls: state.from_start.then(|| state.step.all_calls()),
        step_age: state.step.age(Instant::now()),
        is_failing: state.step.is_failing(),
        has_counters: state.has_counters,
        has_all_counters: state.has_all_counters,
        has_candidate: targets
            .iter()
            .any(|target| target.version == view.order.candidate),
    };
    let started = current.started;
    match next_step(&progress, &state.test.verdict()) {
        MoveStep::Stay => None,
        MoveStep::Share(permille, reason) => Some(record(
            MoveState::Running,
            permille,
            started,
            reason.to_owned(),
        )),
        MoveStep::Complete => {
            // The period is over without evidence that the candidate is worse than the stable version.
            let reason = format!("no objection against {}", state.stable);
            Some(record(MoveState::Complete, 0, started, reason))
        }
        MoveStep::RollBack(reason) => Some(record(MoveState::RolledBack, 0, started, reason)),
    }
}

async fn write_step(
    context: &MeshContext,
    port: &PlatformPort,
    view: &MoveView,
    record: MoveRecord,
) {
    let expected = view
        .stored
        .as_ref()
        .map_or(0, |stored: &StoredMove| stored.revision);
    let expected = expected.max(context.board.moves.lock().row_revision(&view.order.service));
    let (state, permille) = (record.state, record.permille);
    let (service, reason) = (record.order.service.clone(), record.reason.clone());
    match (port.write_move)(MoveWrite { record, expected }).await {
        Ok(true) => info!(
            decision = "move",
            service,
            ?state,
            permille,
            reason,
            "move step written"
        ),
        Ok(false) => info!(
            decision = "move",
            service, "move step not written: another node has changed the record"
        ),
        Err(error) => {
            warn!(decision = "move", service, %error, "move step not written; will retry")
        }
    }
}
