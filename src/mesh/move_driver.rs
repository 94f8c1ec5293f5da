//! Drives moves (rollouts): collects the call counters of targets, tests the candidate version and writes each step
//! to the store.
//!
//! Two nodes, selected by the same ranking on all nodes, watch each move. A step is written only if the record in the
//! store is still the one that the decision was based on, so that two drivers cannot undo each other's steps.

use {
    super::{
        context::MeshContext,
        move_schedule::{ScheduledStep, scheduled_step},
        move_table::MoveView,
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
            MoveVerdict, VerdictPolicy, VerdictTest,
            counter_history::{CounterHistory, CounterReading},
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

/// Largest share, in per mille, of a candidate that is suspected to be bad.
const SUSPECT_PERMILLE: u32 = 150;

/// Fraction of the move's period after which a candidate that is still suspected, or has no targets, is rolled back.
const ROLLBACK_FRACTION: f64 = 0.95;

/// Calls of each route on each target whose latency is ignored because of cold starts.
const WARM_CALLS: u64 = 6;

/// Longest time for which latency is ignored because of a cold start.
const WARM_TIME: Duration = Duration::from_secs(4);

/// State of a move that this node watches.
struct WatchedMove {
    revision: RowRevision,
    stable: VersionName,
    test: VerdictTest,
    /// Last counters of each target, from which the test gets the differences.
    history: CounterHistory,
    started: Instant,
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
    state.test.add(&differences);
    let Some(now) = clock.now() else {
        return;
    };
    let Some(record) = next_record(context, state, view, &targets, now) else {
        state.due_since = None;
        return;
    };
    let due_since = *state.due_since.get_or_insert_with(Instant::now);
    if due_since.elapsed() < SECOND_WATCHER_DELAY * rank as u32 {
        return;
    }
    write_step(context, port, view, record).await;
}

impl WatchedMove {
    fn new(view: &MoveView, targets: &[TargetEndpoint]) -> Self {
        let candidate = &view.order.candidate;
        let stable = targets.iter().map(|target| &target.version);
        let stable = stable.filter(|version| *version != candidate).min();
        let stable = stable.cloned().unwrap_or_default();
        let policy = VerdictPolicy {
            warm_up_calls: WARM_CALLS,
            warm_up_time: WARM_TIME,
            ..VerdictPolicy::for_preference(MovePreference::Safety)
        };
        Self {
            revision: view.order.revision,
            test: VerdictTest::new(candidate, &stable, policy),
            history: CounterHistory::new(WARM_CALLS, WARM_TIME),
            stable,
            started: Instant::now(),
            due_since: None,
        }
    }
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
    let elapsed = now.saturating_sub(current.started);
    let running = |permille: u32, reason: &str| {
        let changed = current.permille != permille;
        changed.then(|| {
            record(
                MoveState::Running,
                permille,
                current.started,
                reason.to_owned(),
            )
        })
    };
    let ended = |state, reason: String| Some(record(state, 0, current.started, reason));
    let has_candidate = targets
        .iter()
        .any(|target| target.version == view.order.candidate);
    let overdue = elapsed >= view.order.period.mul_f64(ROLLBACK_FRACTION);
    let suspicion = match state.test.verdict() {
        MoveVerdict::Bad(evidence) => {
            return ended(MoveState::RolledBack, evidence.to_string());
        }
        MoveVerdict::Undecided {
            suspicious,
            alarmed,
            evidence,
        } if suspicious || alarmed => Some(evidence.to_string()),
        _ => None,
    };
    match (scheduled_step(elapsed, view.order.period), suspicion) {
        (_, Some(evidence)) if overdue => ended(MoveState::RolledBack, evidence),
        (_, Some(_)) => running(current.permille.min(SUSPECT_PERMILLE), "in doubt"),
        // `ROLLBACK_FRACTION` of the period has passed, and no available target of the candidate version is known.
        (_, None) if !has_candidate && overdue => ended(
            MoveState::RolledBack,
            "no target of the candidate".to_owned(),
        ),
        (_, None) if !has_candidate => None,
        (ScheduledStep::Complete, None) => {
            // The period is over without evidence that the candidate is worse than the stable version.
            let reason = format!("no objection against {}", state.stable);
            ended(MoveState::Complete, reason)
        }
        (ScheduledStep::Share(permille), None) => running(permille, "scheduled"),
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
