//! Drives moves: gathers evidence, judges the candidate, and writes each step to the store.
//!
//! Two nodes, chosen alike by all, watch each move. Every step is written under the condition that the record is
//! the one that was judged, so that two drivers cannot undo each other's steps.

use {
    super::{
        context::MeshContext,
        move_board::MoveView,
        move_schedule::{ScheduledStep, scheduled_step},
        node_rank::own_rank,
        orders::StoreClock,
        port::{MoveRecord, MoveState, MoveWrite, PlatformPort, RowRevision, StoredMove},
    },
    crate::{
        config::{MovePreference, ServiceKey},
        config_sync::ask_evidence,
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

/// Time between two judgements.
const TICK: Duration = Duration::from_millis(300);

/// Longest time for the evidence of one node.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Nodes that watch a move.
const WATCHERS: usize = 2;

/// Time by which the second watcher leaves the steps to the first.
const SECOND_DELAY: Duration = Duration::from_millis(900);

/// Share of a candidate whose failures have just risen, in per mille.
const ALARMED_PERMILLE: u32 = 150;

/// Part of the period after which a candidate that is still in doubt is taken back.
const DOUBT_ENDS: f64 = 0.95;

/// Calls of a route on one target whose latency is set aside because of its cold start.
const WARM_CALLS: u64 = 6;

/// Longest time for which latency is set aside because of a cold start.
const WARM_TIME: Duration = Duration::from_secs(4);

/// What this node has learned of one move.
struct WatchedMove {
    revision: RowRevision,
    stable: VersionName,
    test: VerdictTest,
    history: CounterHistory,
    begun: Instant,
    /// When a step first fell due that the record does not show.
    due_since: Option<Instant>,
}

/// Watches all moves that fall to this node, without end.
pub async fn drive_moves(context: Arc<MeshContext>, port: PlatformPort, clock: Arc<StoreClock>) {
    let mut watched: HashMap<ServiceName, WatchedMove> = HashMap::new();
    loop {
        sleep(TICK).await;
        let open = context.board.moves.lock().open_moves();
        watched.retain(|service, _| open.iter().any(|view| &view.order.service == service));
        for view in open {
            if let Some(rank) = watcher_rank(&context, &view) {
                step(&context, &port, &clock, &mut watched, &view, rank).await;
            }
        }
    }
}

/// Returns this node's place among the watchers of a move.
pub fn watcher_rank(context: &MeshContext, view: &MoveView) -> Option<usize> {
    let duty = format!("watch {} {}", view.order.service, view.order.revision);
    let rank = own_rank(context, &duty, |_| true);
    (rank < WATCHERS).then_some(rank)
}

async fn step(
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
    let known = watched
        .get(&view.order.service)
        .is_some_and(|known| known.revision == view.order.revision);
    if !known {
        watched.insert(view.order.service.clone(), WatchedMove::new(view, &targets));
    }
    let Some(state) = watched.get_mut(&view.order.service) else {
        return;
    };
    let readings = gather(context, &key, &targets).await;
    let differences = state.history.differences(&readings, state.begun.elapsed());
    state.test.add(&differences);
    let Some(now) = clock.now() else {
        return;
    };
    let Some(record) = next_record(context, state, view, &targets, now) else {
        state.due_since = None;
        return;
    };
    let due_since = *state.due_since.get_or_insert_with(Instant::now);
    if due_since.elapsed() < SECOND_DELAY * rank as u32 {
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
            warm_calls: WARM_CALLS,
            warm_time: WARM_TIME,
            ..VerdictPolicy::for_preference(MovePreference::Safety)
        };
        Self {
            revision: view.order.revision,
            test: VerdictTest::new(candidate, &stable, policy),
            history: CounterHistory::new(WARM_CALLS, WARM_TIME),
            stable,
            begun: Instant::now(),
            due_since: None,
        }
    }
}

/// Reads the counters of all targets of a service.
async fn gather(
    context: &Arc<MeshContext>,
    key: &ServiceKey,
    targets: &[TargetEndpoint],
) -> Vec<CounterReading> {
    let own = context.settings.node.id.clone();
    let mut readings = Vec::new();
    let mut asks = JoinSet::new();
    for target in targets {
        if target.node == own {
            readings.push(CounterReading {
                node: own.clone(),
                reply: EvidenceReply {
                    incarnation: context.gossip.start_number(),
                    counters: context.board.evidence.lock().counters_of(key),
                },
            });
        } else if let Some(address) = peer_address(context, &target.node) {
            let (key, node) = (key.clone(), target.node.clone());
            let own = own.clone();
            asks.spawn(async move {
                let asked = timeout(EVIDENCE_TIMEOUT, ask_evidence(address, &own, &key)).await;
                (node, asked)
            });
        }
    }
    while let Some(ended) = asks.join_next().await {
        match ended {
            Ok((node, Ok(Ok(reply)))) => readings.push(CounterReading { node, reply }),
            Ok((node, Ok(Err(error)))) => warn!(peer = node, %error, "no evidence"),
            Ok((node, Err(_))) => warn!(peer = node, "no evidence in time"),
            Err(error) => warn!(%error, "a question for evidence ended early"),
        }
    }
    readings
}

fn peer_address(context: &MeshContext, node: &str) -> Option<SocketAddr> {
    let members = context.board.members.lock();
    members.get(node).map(|record| record.peer_address)
}

/// Returns the record that should replace the present one; none if nothing is due.
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
    let Some(present) = view.record() else {
        let reason = "the order was seen".to_owned();
        return Some(record(MoveState::Running, 0, now, reason));
    };
    let elapsed = now.saturating_sub(present.started);
    let running = |permille: u32, reason: &str| {
        let change = present.permille != permille;
        change.then(|| {
            record(
                MoveState::Running,
                permille,
                present.started,
                reason.to_owned(),
            )
        })
    };
    let ended = |state, reason: String| Some(record(state, 0, present.started, reason));
    let has_candidate = targets
        .iter()
        .any(|target| target.version == view.order.candidate);
    let overdue = elapsed >= view.order.period.mul_f64(DOUBT_ENDS);
    let doubted = match state.test.verdict() {
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
    match (scheduled_step(elapsed, view.order.period), doubted) {
        (_, Some(evidence)) if overdue => ended(MoveState::RolledBack, evidence),
        (_, Some(_)) => running(present.permille.min(ALARMED_PERMILLE), "in doubt"),
        (_, None) if !has_candidate && overdue => ended(
            MoveState::RolledBack,
            "no target of the candidate".to_owned(),
        ),
        (_, None) if !has_candidate => None,
        (ScheduledStep::Complete, None) => {
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
        Ok(false) => info!(decision = "move", service, "another node was first"),
        Err(error) => warn!(decision = "move", service, %error, "move step not written"),
    }
}
