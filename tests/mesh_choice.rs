//! Choice of a target, shares of a split route, repeats of a node, and versions during a move.

use {
    poplarwing::{
        config::{HostRoute, RouteShare, ServiceKey},
        membership::TargetEndpoint,
        mesh::{
            admission::TargetLoad,
            caller_deadline::CallerDeadlines,
            move_board::{MoveBoard, MoveView},
            move_schedule::{ScheduledStep, scheduled_step},
            port::{MoveOrder, MoveRecord, MoveState, StoredMove},
            retry_share::RetryShares,
            settings::MeshBounds,
            split::RouteSplits,
            target_selection::{CallNeeds, TargetOutcome, TargetTracker},
        },
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

fn key(service: &str) -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: service.to_owned(),
    }
}

fn endpoint(node: &str, domain: &str, version: &str) -> TargetEndpoint {
    TargetEndpoint {
        node: node.to_owned(),
        domain: domain.to_owned(),
        forward_address: "127.0.0.1:9000".parse().expect("address"),
        version: version.to_owned(),
        slots: 6,
    }
}

fn load(running: u32, waiting: u32) -> TargetLoad {
    TargetLoad {
        running,
        waiting,
        slots: 6,
        service_time: Duration::from_millis(160),
        route_time: Duration::from_millis(160),
    }
}

fn chosen(loads: &TargetTracker, tried: &[String], now: Instant) -> Option<String> {
    chosen_for(loads, tried, 0, now)
}

/// Returns the target of a call with a body of this length.
fn chosen_for(
    loads: &TargetTracker,
    tried: &[String],
    body_bytes: usize,
    now: Instant,
) -> Option<String> {
    let domain = "bunbury".to_owned();
    let needs = CallNeeds {
        route: "jobs",
        due: Duration::from_millis(500),
        own_domain: &domain,
        body_bytes,
    };
    let targets = [
        endpoint("far", "albany", "v1"),
        endpoint("near", "bunbury", "v1"),
    ];
    let mut rng = StdRng::seed_from_u64(7);
    let target = loads.choose(&targets, tried, &needs, now, &mut rng);
    target.map(|target| target.node.clone())
}

/// Guards against bytes between failure domains that buy nothing.
#[test]
fn the_own_failure_domain_is_preferred_while_it_has_room() {
    let now = Instant::now();
    let mut loads = TargetTracker::default();
    loads.record_load("near", "jobs", load(4, 0), now);
    loads.record_load("far", "jobs", load(0, 0), now);

    assert_eq!(chosen(&loads, &[], now).as_deref(), Some("near"));
}

/// Guards against late answers from a full target while another failure domain has room.
#[test]
fn a_full_target_gives_way_to_another_failure_domain() {
    let now = Instant::now();
    let mut loads = TargetTracker::default();
    loads.record_load("near", "jobs", load(6, 14), now);
    loads.record_load("far", "jobs", load(0, 0), now);

    assert_eq!(chosen(&loads, &[], now).as_deref(), Some("far"));
}

/// Guards against long bodies that cross failure domains for a small gain.
#[test]
fn a_long_body_stays_in_a_busy_failure_domain_where_a_short_one_leaves() {
    let now = Instant::now();
    let mut loads = TargetTracker::default();
    loads.record_load("near", "jobs", load(6, 10), now);
    loads.record_load("far", "jobs", load(0, 0), now);

    let of_length = |bytes| chosen_for(&loads, &[], bytes, now);

    assert_eq!(of_length(0).as_deref(), Some("far"));
    assert_eq!(of_length(60_000).as_deref(), Some("near"));
}

/// Guards against calls that run into an unreachable node again and again.
#[test]
fn an_unreachable_target_is_paused_and_tried_again_later() {
    let now = Instant::now();
    let mut loads = TargetTracker::default();
    loads.record_load("far", "jobs", load(0, 0), now);
    loads.begin("near");

    loads.end("near", TargetOutcome::Unreachable, now);

    assert_eq!(chosen(&loads, &[], now).as_deref(), Some("far"));
    let later = now + Duration::from_secs(3);
    assert_eq!(chosen(&loads, &[], later).as_deref(), Some("near"));
}

/// Guards against a new target that gets no calls because the others are known.
#[test]
fn a_target_that_has_not_served_the_route_is_tried() {
    let now = Instant::now();
    let mut loads = TargetTracker::default();
    loads.record_load("near", "jobs", load(0, 0), now);
    let domain = "bunbury".to_owned();
    let needs = CallNeeds {
        route: "jobs",
        due: Duration::from_millis(500),
        own_domain: &domain,
        body_bytes: 0,
    };
    let targets = [
        endpoint("near", "bunbury", "v1"),
        endpoint("new", "bunbury", "v1"),
    ];

    let mut rng = StdRng::seed_from_u64(7);
    let target = loads.choose(&targets, &[], &needs, now, &mut rng);

    assert_eq!(target.map(|target| target.node.as_str()), Some("new"));
}

/// Guards against a second attempt at the same target.
#[test]
fn tried_targets_are_passed_over() {
    let loads = TargetTracker::default();
    let tried = ["near".to_owned(), "far".to_owned()];

    assert_eq!(chosen(&loads, &tried, Instant::now()), None);
}

fn split_route(weights: [u32; 2]) -> HostRoute {
    let [first, second] = weights;
    let share = |service: &str, weight| RouteShare {
        service: key(service),
        weight,
    };
    HostRoute {
        name: "signoff".to_owned(),
        host: "yard.example".to_owned(),
        prefix: "/signoff/".to_owned(),
        shares: vec![share("ledger", first), share("yardboard", second)],
        idempotent: false,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(500),
        attempts: 2,
        priority: 1,
    }
}

/// Guards against counting the objective of a repeated call from its last attempt.
#[test]
fn a_repeated_call_has_waited_what_is_missing_of_its_deadline() {
    let mut asked = CallerDeadlines::default();
    let millis = Duration::from_millis;

    assert_eq!(asked.waited_before("jobs", millis(1200)), millis(0));
    assert_eq!(asked.waited_before("jobs", millis(900)), millis(300));
    assert_eq!(asked.waited_before("other", millis(900)), millis(0));
}

/// Guards against a split whose parts stray from their weights over few calls.
#[test]
fn a_split_meets_its_weights_over_twenty_calls() {
    let mut splits = RouteSplits::default();
    let mut rng = StdRng::seed_from_u64(3);
    let route = split_route([90, 10]);
    let mut counts: HashMap<ServiceKey, u32> = HashMap::new();

    for _ in 0..20 {
        let service = splits.next(&route, 1, &mut rng).expect("service");
        *counts.entry(service).or_default() += 1;
    }

    let second = counts.get(&key("yardboard")).copied().unwrap_or_default();
    assert!((1..=3).contains(&second), "10% of 20 calls, found {second}");
}

/// Guards against calls to a service that has lost its weight.
#[test]
fn a_service_without_weight_gets_nothing() {
    let mut splits = RouteSplits::default();
    let mut rng = StdRng::seed_from_u64(3);
    let route = split_route([0, 10]);

    for _ in 0..50 {
        assert_eq!(splits.next(&route, 1, &mut rng), Some(key("yardboard")));
    }
}

fn bounds() -> MeshBounds {
    MeshBounds {
        grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_extra: 64.0,
    }
}

/// Guards against repeats of all nodes together that exceed the fleet's bound in some window.
#[test]
fn repeats_of_all_nodes_stay_within_the_bound_of_the_fleet() {
    let (nodes, calls_per_second, seconds) = (12, 20, 30);
    let bounds = bounds();
    let start = Instant::now();
    let mut windows = vec![0.0; seconds as usize];
    for _ in 0..nodes {
        let mut shares = RetryShares::new(&bounds);
        shares.set_nodes(nodes);
        for call in 0..calls_per_second * seconds {
            let now = start + Duration::from_secs(1) * call / calls_per_second;
            shares.earn(&key("ledger"), now);
            while shares.spend(&key("ledger"), now) {
                windows[(call / calls_per_second) as usize] += 1.0;
            }
        }
    }

    let calls = f64::from(nodes as u32 * calls_per_second * 10);
    let allowed = bounds.retry_ratio * calls + bounds.retry_extra;
    for window in windows.windows(10) {
        let repeats: f64 = window.iter().sum();
        assert!(repeats <= allowed, "{repeats} repeats, allowed {allowed}");
    }
}

fn order(revision: u64) -> MoveOrder {
    MoveOrder {
        service: "yardboard".to_owned(),
        candidate: "v2".to_owned(),
        period: Duration::from_secs(14),
        revision,
    }
}

fn stored(state: MoveState, permille: u32, revision: u64) -> StoredMove {
    StoredMove {
        record: MoveRecord {
            order: order(1),
            state,
            permille,
            started: Duration::ZERO,
            writer: "near".to_owned(),
            reason: String::new(),
        },
        revision,
    }
}

fn versions(board: &mut MoveBoard, draw: u32) -> Vec<String> {
    let targets = vec![
        endpoint("near", "bunbury", "v1"),
        endpoint("far", "albany", "v2"),
    ];
    let eligible = board.eligible(&key("yardboard"), targets, draw);
    eligible.into_iter().map(|target| target.version).collect()
}

/// Guards against calls to a version that no move has admitted yet.
#[test]
fn a_version_without_a_move_gets_no_calls_beside_the_settled_one() {
    let mut board = MoveBoard::default();
    let first = vec![endpoint("near", "bunbury", "v1")];
    board.eligible(&key("yardboard"), first, 0);

    assert_eq!(versions(&mut board, 0), ["v1"]);
    board.add_order(order(1));
    assert_eq!(versions(&mut board, 0), ["v1"]);
}

/// Guards against shares of a move that the call path does not follow.
#[test]
fn the_share_of_a_running_move_decides_by_the_draw() {
    let mut board = MoveBoard::default();
    board.add_record(stored(MoveState::Running, 100, 5));

    assert_eq!(versions(&mut board, 99), ["v2"]);
    assert_eq!(versions(&mut board, 100), ["v1"]);
}

/// Guards against a version that was taken back and still gets calls, also after an older record arrives late.
#[test]
fn a_version_taken_back_gets_no_calls() {
    let mut board = MoveBoard::default();
    board.add_record(stored(MoveState::RolledBack, 0, 9));

    assert!(!board.add_record(stored(MoveState::Running, 1000, 8)));

    assert_eq!(versions(&mut board, 0), ["v1"]);
    let only_bad = vec![endpoint("far", "albany", "v2")];
    assert!(board.eligible(&key("yardboard"), only_bad, 0).is_empty());
}

/// Guards against a move that has not ended by the time ordered.
#[test]
fn a_move_is_complete_before_its_period_ends_and_starts_small() {
    let period = Duration::from_secs(14);

    let first = scheduled_step(Duration::ZERO, period);
    let last = scheduled_step(Duration::from_secs(13), period);

    assert!(matches!(first, ScheduledStep::Share(permille) if permille <= 50));
    assert_eq!(last, ScheduledStep::Complete);
}

/// Guards against a move that ends elsewhere and of which a node's log says nothing: what a peer tells counts as news
/// also when the move has ended, and once only.
#[test]
fn moves_told_by_a_peer_are_news_once_also_when_they_have_ended() {
    let mut peer = MoveBoard::default();
    peer.add_order(order(1));
    peer.add_record(stored(MoveState::RolledBack, 0, 7));
    let mut board = MoveBoard::default();
    board.add_order(order(1));

    let news = board.merge(peer.known());
    let again = board.merge(peer.known());

    let states: Vec<_> = news.iter().filter_map(MoveView::record).collect();
    assert_eq!(states.len(), 1, "{news:?}");
    assert_eq!(states[0].state, MoveState::RolledBack);
    assert_eq!(again, Vec::new());
}
