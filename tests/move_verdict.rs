//! The sequential test of a candidate version against the stable version.

#[path = "support/fixed_seeds.rs"]
mod fixed_seeds;

use {
    fixed_seeds::for_each_seed,
    poplarwing::{
        call_evidence::{BUCKET_COUNT, bucket_of},
        move_verdict::{
            BadCount, BadKind, MoveVerdict, VerdictPolicy, VerdictTest,
            counter_history::{CounterDifference, CounterHistory, CounterReading},
            failure_alarm::FailureAlarm,
            odds_test::OutcomeTable,
        },
        wire::{EvidenceCounter, EvidenceReply},
    },
    std::time::Duration,
};

const FAST: Duration = Duration::from_millis(20);
const SLOW: Duration = Duration::from_millis(200);

fn difference(
    version: &str,
    route: &str,
    calls: u64,
    failures: u64,
    slow: u64,
) -> CounterDifference {
    let mut buckets = vec![0; BUCKET_COUNT];
    buckets[bucket_of(FAST)] = calls - slow;
    buckets[bucket_of(SLOW)] = slow;
    CounterDifference {
        node: format!("{version}-0"),
        version: version.to_owned(),
        route: route.to_owned(),
        calls,
        failures,
        buckets,
        warm: true,
    }
}

fn verdict_test() -> VerdictTest {
    VerdictTest::new("v2", "v1", VerdictPolicy::default())
}

/// Adds ticks of 20 stable calls, one of which is slow.
fn add_healthy_stable(test: &mut VerdictTest, ticks: u32) {
    for _ in 0..ticks {
        test.add(&[difference("v1", "jobs", 20, 0, 1)]);
    }
}

/// Guards against a candidate that fails every call but is found bad only after many of them.
#[test]
fn candidate_that_fails_every_call_is_found_bad_after_few_calls() {
    let mut test = verdict_test();
    let mut failed = 0;

    while !matches!(test.verdict(), MoveVerdict::Bad(_)) && failed < 100 {
        failed += 1;
        test.add(&[
            difference("v1", "jobs", 20, 0, 1),
            difference("v2", "jobs", 1, 1, 0),
        ]);
    }

    let MoveVerdict::Bad(evidence) = test.verdict() else {
        panic!("expected bad, got {:?}", test.verdict());
    };
    assert_eq!(evidence.kind, BadKind::Failed);
    assert_eq!(evidence.candidate.bad, failed);
    assert!(
        failed <= 4,
        "found bad only after {failed} failed calls, expected at most 4"
    );
}

/// Guards against a candidate that is found suspicious because of a failing dependency of both versions.
#[test]
fn failure_of_both_versions_is_no_evidence() {
    let mut test = verdict_test();
    add_healthy_stable(&mut test, 5);

    for _ in 0..60 {
        test.add(&[
            difference("v1", "jobs", 20, 20, 0),
            difference("v2", "jobs", 5, 5, 0),
        ]);
    }

    let MoveVerdict::Undecided { suspicious, .. } = test.verdict() else {
        panic!("expected undecided, got {:?}", test.verdict());
    };
    assert!(!suspicious);
}

/// Guards against a candidate that is found bad because of a slowdown that affects both versions.
#[test]
fn slowness_of_both_versions_is_no_evidence() {
    let mut test = verdict_test();
    add_healthy_stable(&mut test, 5);

    for _ in 0..60 {
        test.add(&[
            difference("v1", "jobs", 20, 0, 16),
            difference("v2", "jobs", 5, 0, 4),
        ]);
    }

    assert!(!matches!(test.verdict(), MoveVerdict::Bad(_)));
}

/// Guards against a slow candidate that is not found bad because none of its calls fail.
#[test]
fn slow_candidate_is_found_bad() {
    let mut test = verdict_test();
    add_healthy_stable(&mut test, 5);

    for _ in 0..60 {
        test.add(&[
            difference("v1", "jobs", 20, 0, 1),
            difference("v2", "jobs", 5, 0, 4),
        ]);
    }

    let MoveVerdict::Bad(evidence) = test.verdict() else {
        panic!("expected bad, got {:?}", test.verdict());
    };
    assert_eq!(evidence.kind, BadKind::Slow);
}

/// Guards against a good candidate that becomes suspicious because of its cold start.
#[test]
fn latency_of_a_cold_start_is_ignored() {
    let mut test = verdict_test();
    add_healthy_stable(&mut test, 5);

    for _ in 0..30 {
        let mut cold = difference("v2", "jobs", 5, 0, 5);
        cold.warm = false;
        test.add(&[difference("v1", "jobs", 20, 0, 1), cold]);
    }

    let MoveVerdict::Undecided { suspicious, .. } = test.verdict() else {
        panic!("expected undecided, got {:?}", test.verdict());
    };
    assert!(!suspicious);
}

fn on_target(mut difference: CounterDifference, target: u32) -> CounterDifference {
    difference.node = format!("{}-{target}", difference.version);
    difference
}

/// Guards against a version that is found bad because a noisy neighbour slows down one of its four targets.
#[test]
fn single_slow_target_among_several_is_left_out() {
    let run = |slow_targets: u32| {
        let mut test = verdict_test();
        add_healthy_stable(&mut test, 5);
        for _ in 0..120 {
            let mut tick = vec![difference("v1", "jobs", 20, 0, 1)];
            for target in 0..4 {
                let slow = if target < slow_targets { 5 } else { 0 };
                tick.push(on_target(difference("v2", "jobs", 5, 0, slow), target));
            }
            test.add(&tick);
        }
        matches!(test.verdict(), MoveVerdict::Bad(_))
    };

    assert!(!run(1));
    assert!(run(4));
}

/// Guards against a version that is found bad because of a short disturbance of its only target.
#[test]
fn ten_slow_seconds_are_not_found_bad() {
    let mut test = verdict_test();
    add_healthy_stable(&mut test, 5);

    for _ in 0..10 {
        test.add(&[
            difference("v1", "jobs", 200, 0, 10),
            difference("v2", "jobs", 50, 0, 50),
        ]);
    }

    assert!(!matches!(test.verdict(), MoveVerdict::Bad(_)));
}

/// Guards against a fault on a rarely called route that is hidden by the calls of other routes.
#[test]
fn failure_on_one_rare_route_is_found_bad_on_that_route() {
    let mut test = verdict_test();

    for _ in 0..20 {
        test.add(&[
            difference("v1", "jobs", 200, 0, 10),
            difference("v2", "jobs", 10, 0, 0),
            difference("v1", "signoff", 20, 0, 1),
            difference("v2", "signoff", 1, 1, 0),
        ]);
    }

    let MoveVerdict::Bad(evidence) = test.verdict() else {
        panic!("expected bad, got {:?}", test.verdict());
    };
    assert_eq!(evidence.route.as_deref(), Some("signoff"));
}

/// Guards against a good candidate that is never accepted, and against one that is accepted while a route has
/// no calls of it.
#[test]
fn good_candidate_is_accepted_once_every_route_is_covered() {
    let mut test = verdict_test();
    let jobs = [
        difference("v1", "jobs", 20, 0, 1),
        difference("v2", "jobs", 20, 0, 1),
        difference("v1", "signoff", 5, 0, 0),
    ];
    for _ in 0..60 {
        test.add(&jobs);
    }
    let uncovered = test.verdict();

    test.add(&[difference("v2", "signoff", 5, 0, 0)]);

    assert!(matches!(uncovered, MoveVerdict::Undecided { .. }));
    assert!(matches!(test.verdict(), MoveVerdict::Good(_)));
}

/// Guards against a fault that is hidden by the successful calls before it.
#[test]
fn candidate_that_fails_after_a_long_healthy_time_is_found_bad() {
    let mut test = verdict_test();
    let good = [
        difference("v1", "jobs", 20, 0, 1),
        difference("v2", "jobs", 5, 0, 0),
    ];
    for _ in 0..900 {
        test.add(&good);
    }

    for _ in 0..4 {
        test.add(&[
            difference("v1", "jobs", 20, 0, 1),
            difference("v2", "jobs", 5, 5, 0),
        ]);
    }

    assert!(matches!(test.verdict(), MoveVerdict::Bad(_)));
}

/// Guards against an error in the recurrence that computes the conditional likelihood.
#[test]
fn ratio_of_one_failed_call_among_eleven_is_exact() {
    let table = OutcomeTable {
        candidate: BadCount { calls: 1, bad: 1 },
        stable: BadCount { calls: 10, bad: 0 },
    };

    let ratio = table.ln_likelihood_ratio(8.0).exp();

    // With an odds ratio of 8, the one bad call is the candidate's with probability 8 / 18 instead of 1 / 11.
    assert!((ratio - (8.0 / 18.0) * 11.0).abs() < 1e-9);
}

fn counter(version: &str, calls: u64, failures: u64) -> EvidenceCounter {
    let mut latency_buckets = vec![0; BUCKET_COUNT];
    latency_buckets[3] = calls;
    EvidenceCounter {
        version: version.to_owned(),
        route: "jobs".to_owned(),
        calls,
        failures,
        latency_buckets,
    }
}

fn reading(incarnation: u64, calls: u64, failures: u64) -> CounterReading {
    CounterReading {
        node: "n1".to_owned(),
        reply: EvidenceReply {
            incarnation,
            counters: vec![counter("v2", calls, failures)],
        },
    }
}

/// Guards against a test that counts calls from before the move, whose age is unknown.
#[test]
fn first_reading_is_only_a_reference() {
    let mut history = CounterHistory::new(16, Duration::from_secs(60));

    let first = history.differences(&[reading(1, 500, 400)], Duration::ZERO);
    let second = history.differences(&[reading(1, 510, 401)], Duration::from_secs(1));

    assert!(first.is_empty());
    assert_eq!(second[0].calls, 10);
    assert_eq!(second[0].failures, 1);
}

/// Guards against calls that are lost or counted twice when a node restarts, or when a node raises its incarnation
/// to refute a gossip suspicion and keeps its counters.
#[test]
fn new_incarnation_starts_from_zero_only_if_the_counters_fell() {
    let mut history = CounterHistory::new(16, Duration::from_secs(60));
    history.differences(&[reading(1, 100, 0)], Duration::ZERO);

    let restarted = history.differences(&[reading(2, 7, 1)], Duration::from_secs(1));
    let late = history.differences(&[reading(1, 103, 0)], Duration::from_secs(2));
    let refuted = history.differences(&[reading(3, 9, 1)], Duration::from_secs(3));
    let after = history.differences(&[reading(3, 12, 1)], Duration::from_secs(4));

    assert_eq!((restarted[0].calls, restarted[0].failures), (7, 1));
    assert!(late.is_empty());
    assert!(refuted.is_empty());
    assert_eq!(after[0].calls, 3);
}

/// Guards against negative differences that wrap to huge counts when counters restart or readings arrive out of
/// order.
#[test]
fn differences_never_exceed_the_reading() {
    for_each_seed(2000, |readings: Vec<(u8, u8, u8)>| {
        let mut history = CounterHistory::new(16, Duration::from_secs(60));
        for (tick, (incarnation, calls, failures)) in readings.iter().enumerate() {
            let failures = (*failures).min(*calls);
            let reading = reading(
                u64::from(*incarnation % 4),
                u64::from(*calls),
                u64::from(failures),
            );
            let now = Duration::from_secs(tick as u64);
            for difference in history.differences(&[reading], now) {
                assert!(difference.calls <= u64::from(*calls));
                assert!(difference.failures <= u64::from(*calls));
                assert!(difference.buckets.iter().sum::<u64>() <= u64::from(*calls));
            }
        }
    });
}

/// Guards against an alarm that is raised at the baseline failure rate, that is not raised within two ticks of a
/// sharp rise, or that is not cleared after the failures end.
#[test]
fn alarm_follows_a_sharp_rise_of_failures() {
    let mut alarm = FailureAlarm::default();
    let mut raised_by_baseline = false;
    for tick in 0..600 {
        alarm.add(10, u64::from(tick % 30 == 0));
        raised_by_baseline |= alarm.is_raised();
    }

    alarm.add(10, 3);
    alarm.add(10, 3);
    let raised_by_rise = alarm.is_raised();
    for _ in 0..10 {
        alarm.add(10, 0);
    }

    assert!(!raised_by_baseline);
    assert!(raised_by_rise);
    assert!(!alarm.is_raised());
}
