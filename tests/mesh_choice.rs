//! Tests of target selection, traffic splits, the retry budget, and the versions that receive calls during a move.

use {
    poplarwing::{
        config::{HostRoute, RouteShare, ServiceKey},
        membership::TargetEndpoint,
        mesh::{
            admission::TargetLoad,
            caller_deadline::CallerDeadlines,
            exposure_limit::{ExposureLimits, MoveKnowledge},
            move_schedule::{MoveProgress, MoveStep, next_step},
            move_step::StepCalls,
            move_table::{MoveTable, MoveView},
            port::{MoveOrder, MoveRecord, MoveState, StoredMove},
            retry_share::RetryShares,
            settings::{CapBounds, KeyBounds, MeshBounds, WarmupBounds},
            split::RouteSplits,
            target_selection::{CallNeeds, TargetOutcome, TargetTracker},
        },
        move_verdict::{VerdictPolicy, VerdictTest, counter_history::CounterDifference},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::{HashMap, HashSet},
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
        cold: None,
        relative_time: None,
    }
}

fn chosen_node(tracker: &TargetTracker, tried: &[String], now: Instant) -> Option<String> {
    chosen_node_for(tracker, tried, 0, now)
}

/// Returns the target of a call with a body of this length.
fn chosen_node_for(
    tracker: &TargetTracker,
    tried: &[String],
    body_bytes: usize,
    now: Instant,
) -> Option<String> {
    let domain = "bunbury".to_owned();
    let needs = CallNeeds {
        route: "jobs",
        latency_objective: Duration::from_millis(500),
        own_domain: &domain,
        body_bytes,
    };
    let targets = [
        endpoint("far", "albany", "v1"),
        endpoint("near", "bunbury", "v1"),
    ];
    let mut rng = StdRng::seed_from_u64(7);
    let target = tracker.choose(&targets, tried, &needs, now, &mut rng);
    target.map(|target| target.node.clone())
}

/// Calls must not cross failure domains without a benefit.
#[test]
fn the_own_failure_domain_is_preferred_while_it_has_room() {
    let now = Instant::now();
    let mut tracker = TargetTracker::default();
    tracker.record_load("near", "jobs", load(4, 0), now);
    tracker.record_load("far", "jobs", load(0, 0), now);

    assert_eq!(chosen_node(&tracker, &[], now).as_deref(), Some("near"));
}

/// In a spell of slowness, a call must not go to the target that is slow at present while an equal one is not, and must
/// be sent there again once the spell has passed.
#[test]
fn a_target_in_a_slow_spell_is_avoided_until_the_report_is_old() {
    let now = Instant::now();
    let mut tracker = TargetTracker::default();
    let slow = TargetLoad {
        relative_time: Some(2.5),
        ..load(1, 0)
    };
    tracker.record_load("near", "jobs", slow, now);
    tracker.record_load("far", "jobs", load(1, 0), now);

    let at = |later: Duration| chosen_node(&tracker, &[], now + later);

    assert_eq!(at(Duration::ZERO).as_deref(), Some("far"));
    assert_eq!(at(Duration::from_secs(3)).as_deref(), Some("near"));
}

/// Calls must not be late at a full target while another failure domain has free slots.
#[test]
fn calls_go_to_another_failure_domain_when_the_local_target_is_full() {
    let now = Instant::now();
    let mut tracker = TargetTracker::default();
    tracker.record_load("near", "jobs", load(6, 14), now);
    tracker.record_load("far", "jobs", load(0, 0), now);

    assert_eq!(chosen_node(&tracker, &[], now).as_deref(), Some("far"));
}

/// Guards against a target that hangs and stays as attractive as before, because its attempts are cancelled when their
/// hedges answer, and against calls that leave a sound target after one slow answer.
#[test]
fn calls_leave_a_target_whose_attempts_are_overtaken_in_a_row() {
    let now = Instant::now();
    let mut tracker = TargetTracker::default();
    for node in ["near", "far"] {
        tracker.record_load(node, "jobs", load(0, 0), now);
    }
    let overtaken = |tracker: &mut TargetTracker| {
        tracker.begin("near");
        tracker.end("near", TargetOutcome::Neutral, now);
        tracker.record_overtaken("near", now);
    };

    overtaken(&mut tracker);
    let after_one = chosen_node(&tracker, &[], now);
    (0..2).for_each(|_| overtaken(&mut tracker));
    let after_three = chosen_node(&tracker, &[], now);

    assert_eq!(after_one.as_deref(), Some("near"));
    assert_eq!(after_three.as_deref(), Some("far"));
}

/// Large bodies must not cross failure domains for a small gain in latency.
#[test]
fn a_large_body_stays_in_a_busy_failure_domain_that_a_small_one_leaves() {
    let now = Instant::now();
    let mut tracker = TargetTracker::default();
    tracker.record_load("near", "jobs", load(6, 10), now);
    tracker.record_load("far", "jobs", load(0, 0), now);

    let chosen_for_length = |bytes| chosen_node_for(&tracker, &[], bytes, now);

    assert_eq!(chosen_for_length(0).as_deref(), Some("far"));
    assert_eq!(chosen_for_length(60_000).as_deref(), Some("near"));
}

/// Calls must not be sent to an unreachable node again and again.
#[test]
fn an_unreachable_target_is_avoided_until_its_backoff_ends() {
    let now = Instant::now();
    let mut tracker = TargetTracker::default();
    tracker.record_load("far", "jobs", load(0, 0), now);
    tracker.begin("near");

    tracker.end("near", TargetOutcome::Unreachable, now);

    assert_eq!(chosen_node(&tracker, &[], now).as_deref(), Some("far"));
    let later = now + Duration::from_secs(3);
    assert_eq!(chosen_node(&tracker, &[], later).as_deref(), Some("near"));
}

/// A new target must receive calls although only the service times of the others are known.
#[test]
fn a_target_that_has_not_served_the_route_is_tried() {
    let now = Instant::now();
    let mut tracker = TargetTracker::default();
    tracker.record_load("near", "jobs", load(0, 0), now);
    let domain = "bunbury".to_owned();
    let needs = CallNeeds {
        route: "jobs",
        latency_objective: Duration::from_millis(500),
        own_domain: &domain,
        body_bytes: 0,
    };
    let targets = [
        endpoint("near", "bunbury", "v1"),
        endpoint("new", "bunbury", "v1"),
    ];

    let mut rng = StdRng::seed_from_u64(7);
    let target = tracker.choose(&targets, &[], &needs, now, &mut rng);

    assert_eq!(target.map(|target| target.node.as_str()), Some("new"));
}

/// Entry nodes that have just started must not all send their first calls to the same target.
#[test]
fn entry_nodes_without_knowledge_spread_their_calls_over_all_targets() {
    const ENTRY_NODES: u64 = 60;
    const CALLS: usize = 4;
    let targets: Vec<TargetEndpoint> = (0..10)
        .map(|number| endpoint(&format!("t{number}"), "bunbury", "v1"))
        .collect();
    let domain = "bunbury".to_owned();
    let needs = CallNeeds {
        route: "jobs",
        latency_objective: Duration::from_millis(500),
        own_domain: &domain,
        body_bytes: 0,
    };
    let now = Instant::now();
    let mut counts: HashMap<String, usize> = HashMap::new();

    for entry in 0..ENTRY_NODES {
        let mut tracker = TargetTracker::default();
        let mut rng = StdRng::seed_from_u64(entry);
        let mut used = HashSet::new();
        // No call ends before the last one is sent.
        for _ in 0..CALLS {
            let chosen = tracker.choose(&targets, &[], &needs, now, &mut rng);
            let node = chosen.expect("a target").node.clone();
            tracker.begin(&node);
            *counts.entry(node.clone()).or_default() += 1;
            used.insert(node);
        }
        assert_eq!(used.len(), CALLS, "entry node {entry} used {used:?}");
    }

    let mean = ENTRY_NODES as usize * CALLS / targets.len();
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(
        counts.len() == targets.len() && most <= 2 * mean,
        "{counts:?}"
    );
}

/// A retry must not go to a target that was already tried.
#[test]
fn tried_targets_are_not_selected_again() {
    let tracker = TargetTracker::default();
    let tried = ["near".to_owned(), "far".to_owned()];

    assert_eq!(chosen_node(&tracker, &tried, Instant::now()), None);
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
        latency_objective: Duration::from_millis(500),
        attempts: 2,
        priority: 1,
        public: false,
    }
}

/// The latency objective of a retried call must be counted from the caller's first attempt.
#[test]
fn the_earlier_wait_of_a_retried_call_is_derived_from_its_deadline() {
    let mut deadlines = CallerDeadlines::default();
    let millis = Duration::from_millis;

    assert_eq!(deadlines.waited_before("jobs", millis(1200)), millis(0));
    assert_eq!(deadlines.waited_before("jobs", millis(900)), millis(300));
    assert_eq!(deadlines.waited_before("other", millis(900)), millis(0));
}

/// A traffic split must match its weights even over few calls.
#[test]
fn a_split_matches_its_weights_over_twenty_calls() {
    let mut splits = RouteSplits::default();
    let mut rng = StdRng::seed_from_u64(3);
    let route = split_route([90, 10]);
    let mut counts: HashMap<ServiceKey, u32> = HashMap::new();

    for _ in 0..20 {
        let service = splits.next(&route, 1, &mut rng).expect("service");
        *counts.entry(service).or_default() += 1;
    }

    let second = counts.get(&key("yardboard")).copied().unwrap_or_default();
    assert!(
        (1..=3).contains(&second),
        "expected 1 to 3 of 20 calls at a weight of 10%, found {second}"
    );
}

/// A service whose weight was set to 0 must receive no calls.
#[test]
fn a_service_with_zero_weight_gets_no_calls() {
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
        exposure_share: 0.1,
        exposure_slack: 50.0,
        warmup: WarmupBounds {
            overage: 1.5,
            slack: 8.0,
        },
        cap: CapBounds {
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        },
        key: KeyBounds {
            strict: false,
            revocation_time: Duration::from_secs(5),
        },
    }
}

/// Nodes that have all just been restarted, and do not know of each other yet, must not each use the retries of the
/// whole fleet.
#[test]
fn retries_of_restarted_nodes_stay_within_the_limit_of_the_fleet() {
    let (nodes, calls) = (295, 5);
    let bounds = MeshBounds {
        retry_extra: 630.0,
        ..bounds()
    };
    let now = Instant::now();

    let mut retries = 0;
    for _ in 0..nodes {
        let mut shares = RetryShares::new(&bounds);
        for _ in 0..calls {
            shares.earn(&key("ledger"), now);
        }
        while shares.spend(&key("ledger"), now) {
            retries += 1;
        }
    }

    let allowed = bounds.retry_ratio * f64::from(nodes * calls) + bounds.retry_extra;
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}

/// Nodes that have all just been restarted must not each send a candidate the calls that the whole fleet may.
#[test]
fn calls_to_a_candidate_from_restarted_nodes_stay_within_the_slack() {
    let nodes = 295;
    let bounds = bounds();
    let known = MoveKnowledge {
        service: "ledger",
        order: 7,
        permille: 600,
        confirmation_age: Duration::ZERO,
    };

    let mut calls = 0;
    for _ in 0..nodes {
        let mut limits = ExposureLimits::new(&bounds);
        while limits.allows(&known) {
            limits.record("ledger", 7, true);
            calls += 1;
        }
    }

    assert!(f64::from(calls) <= bounds.exposure_slack, "{calls} calls");
}

/// The retries of all nodes together must not exceed the fleet's limit in any window.
#[test]
fn retries_of_all_nodes_stay_within_the_limit_of_the_fleet() {
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
        let retries: f64 = window.iter().sum();
        assert!(
            retries <= allowed,
            "{retries} retries within 10 s, allowed {allowed}"
        );
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

fn versions(table: &mut MoveTable, draw: u32) -> Vec<String> {
    let targets = vec![
        endpoint("near", "bunbury", "v1"),
        endpoint("far", "albany", "v2"),
    ];
    let eligible = table.eligible(&key("yardboard"), targets, draw);
    eligible.into_iter().map(|target| target.version).collect()
}

/// A version must not receive calls before a move to it has started.
#[test]
fn a_new_version_gets_no_calls_before_its_move_starts() {
    let mut table = MoveTable::default();
    let first = vec![endpoint("near", "bunbury", "v1")];
    table.eligible(&key("yardboard"), first, 0);

    assert_eq!(versions(&mut table, 0), ["v1"]);
    table.add_order(order(1));
    assert_eq!(versions(&mut table, 0), ["v1"]);
}

/// Routing must follow the candidate's share of a running move.
#[test]
fn the_share_of_a_running_move_selects_the_version() {
    let mut table = MoveTable::default();
    table.add_record(stored(MoveState::Running, 100, 5));

    assert_eq!(versions(&mut table, 99), ["v2"]);
    assert_eq!(versions(&mut table, 100), ["v1"]);
}

/// A version that was rolled back must receive no calls, even if an older record arrives later.
#[test]
fn a_rolled_back_version_gets_no_calls() {
    let mut table = MoveTable::default();
    table.add_record(stored(MoveState::RolledBack, 0, 9));

    assert!(!table.add_record(stored(MoveState::Running, 1000, 8)));

    assert_eq!(versions(&mut table, 0), ["v1"]);
    let only_candidate = vec![endpoint("far", "albany", "v2")];
    assert!(
        table
            .eligible(&key("yardboard"), only_candidate, 0)
            .is_empty()
    );
}

/// Returns the progress of a move with calls enough for the next step.
fn progress(permille: u32, elapsed: Duration) -> MoveProgress {
    MoveProgress {
        permille,
        elapsed,
        period: Duration::from_secs(14),
        step_calls: 100,
        service_calls: 1000,
        all_calls: Some(5000),
        step_age: Duration::from_secs(3),
        is_failing: false,
        has_counters: true,
        has_all_counters: true,
        has_candidate: true,
    }
}

/// Returns the next step of a move whose test has seen no calls yet.
fn untested_step(progress: &MoveProgress) -> MoveStep {
    let test = VerdictTest::new("v2", "v1", VerdictPolicy::default());
    next_step(progress, &test.verdict())
}

/// A candidate that receives all calls must not be complete before calls at that load were judged: one that fails only
/// under load would have taken over unseen.
#[test]
fn a_move_without_results_at_the_full_share_does_not_complete() {
    let without_counters = |elapsed| MoveProgress {
        has_counters: false,
        step_calls: 0,
        ..progress(1000, elapsed)
    };
    let without_calls = MoveProgress {
        step_calls: 2,
        ..progress(1000, Duration::from_secs(12))
    };

    let waiting = untested_step(&without_counters(Duration::from_secs(12)));
    let overdue = untested_step(&without_counters(Duration::from_millis(13_500)));

    assert_eq!(waiting, MoveStep::Stay);
    assert_eq!(untested_step(&without_calls), MoveStep::Stay);
    assert!(matches!(overdue, MoveStep::RollBack(_)), "{overdue:?}");
}

/// A watcher that cannot see the counters of some targets must not take a service as one with few calls, for which the
/// last step needs no proof.
#[test]
fn few_calls_in_incomplete_counters_do_not_stand_for_proof() {
    let elapsed = Duration::from_secs(10);
    let few_calls = |has_all_counters| MoveProgress {
        all_calls: Some(100),
        has_all_counters,
        ..progress(600, elapsed)
    };

    let complete = untested_step(&few_calls(true));
    let incomplete = untested_step(&few_calls(false));

    assert_eq!(complete, MoveStep::Share(1000, "scheduled"));
    assert_eq!(incomplete, MoveStep::Stay);
}

/// A move must complete within its period, and start with a small share.
#[test]
fn a_move_starts_small_and_completes_within_its_period() {
    let first = untested_step(&progress(0, Duration::ZERO));
    let last = untested_step(&progress(1000, Duration::from_secs(13)));

    assert!(matches!(first, MoveStep::Share(permille, _) if permille <= 50));
    assert_eq!(last, MoveStep::Complete);
}

/// A candidate must not receive all calls before it has been shown to be good.
#[test]
fn the_full_share_needs_proof_that_the_candidate_is_good() {
    let step = untested_step(&progress(600, Duration::from_secs(12)));

    assert_eq!(step, MoveStep::Stay);
}

/// The share of a candidate must not grow before calls at its present share have been judged.
#[test]
fn a_share_does_not_grow_without_evidence() {
    let unjudged = MoveProgress {
        step_calls: 0,
        ..progress(80, Duration::from_secs(13))
    };
    let unseen = MoveProgress {
        service_calls: 0,
        has_counters: false,
        ..unjudged
    };

    assert_eq!(untested_step(&unjudged), MoveStep::Stay);
    assert_eq!(untested_step(&unseen), MoveStep::Stay);
}

/// A candidate that fails far more often than the stable version did must be rolled back at a large share, where there
/// are no calls of the stable version to compare with.
#[test]
fn a_candidate_that_fails_under_all_calls_is_rolled_back() {
    let failing = MoveProgress {
        is_failing: true,
        ..progress(1000, Duration::from_secs(11))
    };

    assert!(matches!(untested_step(&failing), MoveStep::RollBack(_)));
}

/// Failures of one crashed target among several must not count against the version; the same number spread over the
/// targets must.
#[test]
fn failures_of_one_target_do_not_show_a_bad_version() {
    let counts = |node: &str, version: &str, calls, failures| CounterDifference {
        node: node.to_owned(),
        version: version.to_owned(),
        route: "jobs".to_owned(),
        calls,
        failures,
        buckets: Vec::new(),
        warm: true,
    };
    let stable = counts("old", "v1", 1000, 5);
    let step = |candidates: &[CounterDifference]| {
        let mut step = StepCalls::new("v2", Instant::now());
        step.add(std::slice::from_ref(&stable));
        step.begin(1000, Instant::now());
        step.add(candidates);
        step.is_failing()
    };

    let crashed = [
        counts("a", "v2", 20, 10),
        counts("b", "v2", 20, 0),
        counts("c", "v2", 20, 0),
    ];
    let bad = [
        counts("a", "v2", 20, 4),
        counts("b", "v2", 20, 3),
        counts("c", "v2", 20, 3),
    ];

    assert!(!step(&crashed));
    assert!(step(&bad));
}

/// A candidate that a watcher has found bad must receive no calls while the store refuses the roll-back, also at peers
/// that hear of it and after later steps of the same order.
#[test]
fn a_veto_stops_the_candidate_before_the_store_has_it() {
    let mut watcher = MoveTable::default();
    watcher.add_record(stored(MoveState::Running, 450, 5));
    let mut peer = MoveTable::default();
    peer.merge(watcher.snapshot());
    let digest = watcher.digest();

    assert!(watcher.add_veto("yardboard", 1));
    assert!(!watcher.add_veto("yardboard", 1));
    assert!(watcher.digest() > digest);
    assert_eq!(peer.merge(watcher.snapshot()).len(), 1);
    peer.add_record(stored(MoveState::Running, 750, 6));

    assert_eq!(versions(&mut watcher, 0), ["v1"]);
    assert_eq!(versions(&mut peer, 0), ["v1"]);
}

/// A node that has just started and knows no order must not send calls to a second version.
#[test]
fn without_an_order_only_the_oldest_version_gets_calls() {
    let mut table = MoveTable::default();
    let targets = vec![
        endpoint("far", "albany", "v10"),
        endpoint("near", "bunbury", "v9"),
    ];

    let eligible = table.eligible(&key("yardboard"), targets, 0);

    let eligible: Vec<_> = eligible.into_iter().map(|target| target.version).collect();
    assert_eq!(eligible, ["v9"]);
}

/// A node must log a move that it learns of from a peer exactly once, even if the move has already ended.
#[test]
fn moves_from_a_peer_are_reported_once_even_if_they_have_ended() {
    let mut peer = MoveTable::default();
    peer.add_order(order(1));
    peer.add_record(stored(MoveState::RolledBack, 0, 7));
    let mut table = MoveTable::default();
    table.add_order(order(1));

    let changed = table.merge(peer.snapshot());
    let again = table.merge(peer.snapshot());

    let states: Vec<_> = changed.iter().filter_map(MoveView::record).collect();
    assert_eq!(states.len(), 1, "{changed:?}");
    assert_eq!(states[0].state, MoveState::RolledBack);
    assert_eq!(again, Vec::new());
}
