//! Tests of hedges of slow attempts: their delay, the part of the retry budget that they may use, and what they bring
//! in a simulated service.

#[path = "support/hedge_simulation.rs"]
mod hedge_simulation;

use {
    hedge_simulation::{Outcome, Scenario, simulate},
    poplarwing::{
        attempts::hedge_delay::HedgeDelays,
        config::ServiceKey,
        mesh::{
            retry_share::RetryShares,
            settings::{CapBounds, KeyBounds, MeshBounds, WarmupBounds},
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

/// Share of the calls that may be hedged in the tests.
const SHARE: f64 = 0.05;

const EXPECTED: Duration = Duration::from_millis(100);

fn key() -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
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
            overage: 1.0,
            slack: 0.0,
        },
        cap: CapBounds {
            window: Duration::from_secs(1),
            overage: 0.0,
            slack: 0.0,
        },
        key: KeyBounds {
            strict: false,
            revocation_time: Duration::from_secs(5),
        },
    }
}

/// Returns the delays after calls of which one in 25 takes five times the expected time.
fn known_delays() -> HedgeDelays {
    let mut delays = HedgeDelays::new(SHARE);
    for call in 0..500 {
        let factor = if call % 25 == 0 { 5.0 } else { 1.0 };
        delays.record("jobs", EXPECTED, EXPECTED.mul_f64(factor));
    }
    delays
}

/// Guards against a constant delay, which hedges every call of a slow target, and against one within the usual time.
#[test]
fn the_delay_follows_the_route_and_the_speed_of_the_target() {
    let delays = known_delays();

    let delay = delays.delay("jobs", EXPECTED).expect("a delay");
    let of_slow_target = delays.delay("jobs", EXPECTED * 3).expect("a delay");

    assert!(
        EXPECTED <= delay && delay <= EXPECTED.mul_f64(1.1),
        "{delay:?}"
    );
    let ratio = of_slow_target.as_secs_f64() / delay.as_secs_f64();
    assert!((2.999..3.001).contains(&ratio), "{of_slow_target:?}");
    assert_eq!(delays.delay("other", EXPECTED), None);
}

/// Guards against hedges on the word of a few answers, and while the operator allows none.
#[test]
fn there_is_no_delay_before_enough_answers_or_without_a_share() {
    let mut few = HedgeDelays::new(SHARE);
    let mut off = HedgeDelays::new(0.0);
    for _ in 0..99 {
        few.record("jobs", EXPECTED, EXPECTED);
    }
    for _ in 0..500 {
        off.record("jobs", EXPECTED, EXPECTED);
    }

    assert_eq!(few.delay("jobs", EXPECTED), None);
    assert_eq!(off.delay("jobs", EXPECTED), None);
}

/// Guards against a distribution that keeps what the load of long ago was.
#[test]
fn the_delay_follows_a_change_of_the_answer_times() {
    let mut delays = known_delays();

    for _ in 0..8000 {
        delays.record("jobs", EXPECTED, EXPECTED * 3);
    }

    let delay = delays.delay("jobs", EXPECTED).expect("a delay");
    assert!(EXPECTED * 3 <= delay, "{delay:?}");
}

/// Guards against hedges beyond the operator's share, and against a sum of hedges and retries beyond what the retries
/// alone may be, in any order of both.
#[test]
fn hedges_stay_within_their_share_and_the_retry_budget() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let nodes = rng.random_range(1..300);
        let (hedge_rate, retry_rate) = (rng.random::<f64>(), rng.random::<f64>() * 0.2);
        let mut shares = RetryShares::new(&bounds()).with_hedge_share(SHARE);
        shares.set_nodes(nodes);
        let (mut hedges, mut retries) = (0.0, 0.0);
        let calls = 4000;
        for call in 0..calls {
            let now = start + Duration::from_millis(5) * call;
            shares.earn(&key(), now);
            if rng.random_bool(hedge_rate) && shares.spend_spare(&key(), now) {
                hedges += 1.0;
            }
            if rng.random_bool(retry_rate) && shares.spend(&key(), now) {
                retries += 1.0;
            }
        }

        let calls = f64::from(calls);
        let bounds = bounds();
        let windows = calls * 0.005 / bounds.retry_window.as_secs_f64();
        let part = bounds.retry_extra / nodes as f64;
        let allowed = bounds.retry_ratio * calls + part * windows + 1.0;
        assert!(hedges <= SHARE * calls, "seed {seed}: {hedges} hedges");
        assert!(
            hedges + retries <= allowed,
            "seed {seed}: {hedges} hedges, {retries} retries, {allowed} allowed"
        );
    }
}

/// Guards against hedges that use up what retries after failures need.
#[test]
fn hedges_leave_the_retries_their_budget() {
    let now = Instant::now();
    let mut shares = RetryShares::new(&bounds()).with_hedge_share(SHARE);
    shares.set_nodes(4);
    let retries_left = |shares: &mut RetryShares| {
        let mut retries = 0;
        while shares.spend(&key(), now) {
            retries += 1;
        }
        retries
    };
    for _ in 0..100 {
        shares.earn(&key(), now);
    }

    let first_hedge = shares.spend_spare(&key(), now);
    let retries = retries_left(&mut shares);
    let hedge_when_low = shares.spend_spare(&key(), now);

    assert!(first_hedge);
    // Half of 0.6 of the 64 extra retries of the fleet, divided among 4 nodes.
    assert_eq!(retries, 4);
    assert!(!hedge_when_low);
}

/// Guards against hedges saved up in a time of many calls and sent in a later one of few.
#[test]
fn saved_hedges_lapse_after_a_window_without_calls() {
    let now = Instant::now();
    let mut shares = RetryShares::new(&bounds()).with_hedge_share(SHARE);
    for _ in 0..100 {
        shares.earn(&key(), now);
    }

    let later = now + bounds().retry_window;
    shares.earn(&key(), later);

    assert!(!shares.spend_spare(&key(), later));
}

fn play(load: f64, hedge_share: f64) -> Outcome {
    let scenario = Scenario {
        seed: 11,
        calls: 40_000,
        load,
        hedge_share,
    };
    simulate(scenario, &bounds())
}

/// Guards against hedges that do not cut the slowest answers, or do so with more extra work than the operator allows.
#[test]
fn hedges_cut_the_slowest_answers_within_the_share() {
    for load in [0.2, 0.4, 0.6] {
        let (without, with) = (play(load, 0.0), play(load, SHARE));

        let (before, after) = (without.quantile(0.99), with.quantile(0.99));
        println!(
            "load {load}: p50 {:?} and {:?}, p99 {before:?} and {after:?}, {} hedges of {} calls, busy {:?} and {:?}",
            without.quantile(0.5),
            with.quantile(0.5),
            with.hedges,
            with.latencies.len(),
            without.busy,
            with.busy
        );
        assert_eq!(with.latencies.len(), without.latencies.len());
        assert_eq!(without.hedges, 0);
        assert!(
            after < before.mul_f64(0.6),
            "load {load}: p99 {after:?}, {before:?} without"
        );
        assert!(with.hedges as f64 <= SHARE * with.latencies.len() as f64);
    }
}

/// Guards against hedges that make a busy service slower.
#[test]
fn a_busy_service_is_not_slower_for_its_hedges() {
    let (without, with) = (play(0.93, 0.0), play(0.93, SHARE));

    let (before, after) = (without.quantile(0.99), with.quantile(0.99));
    println!(
        "load 0.93: p99 {before:?} and {after:?}, {} hedges",
        with.hedges
    );
    assert!(
        after < before.mul_f64(1.05),
        "p99 {after:?}, {before:?} without"
    );
    assert!(with.busy < without.busy.mul_f64(1.0 + SHARE));
}

/// Guards against hedges that add to the load of a service which has no room.
#[test]
fn a_service_without_room_gets_hardly_any_hedges() {
    let overloaded = play(1.2, SHARE);

    println!("load 1.2: {} hedges", overloaded.hedges);
    let calls = overloaded.latencies.len() as f64;
    assert!(
        (overloaded.hedges as f64) < 0.1 * SHARE * calls,
        "{} hedges",
        overloaded.hedges
    );
}
