//! Tests of the pace of requests to a cold target: its bound, its slow start, and a failure domain that comes back cold
//! under the load of all callers.

use {
    poplarwing::{
        balancing::warmup_pace::{PaceLimit, WarmupPace},
        membership::TargetEndpoint,
        mesh::{
            admission::{ColdLoad, TargetLoad},
            target_selection::{CallNeeds, TargetOutcome, TargetTracker, cold_pause},
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const RATE: f64 = 13.0;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 8.0;
const COLD_TIME: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);

fn limit() -> PaceLimit {
    PaceLimit::new(RATE, OVERAGE, SLACK, COLD_TIME)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the largest number of times within any second; the times are in order.
fn most_in_a_second(times: &[Instant]) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for time in times {
        window.push_back(*time);
        while window.front().is_some_and(|first| *time - *first >= SECOND) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

/// A target that crashes, comes back cold and becomes cold again, and the node beside it, which learns of that by
/// failed requests, health checks and late heartbeats and is killed at times.
struct CrashingTarget {
    pace: WarmupPace,
    /// While the target is down.
    down_until: Option<Instant>,
    cold_until: Option<Instant>,
    /// Heartbeats under way: arrival, and the time left that they tell.
    heartbeats: Vec<(Instant, Duration)>,
    /// Requests that arrived while the target was cold, and its node could know.
    arrived_cold: Vec<Instant>,
}

impl CrashingTarget {
    fn new(limit: PaceLimit, now: Instant) -> Self {
        Self {
            pace: WarmupPace::warm(limit, now),
            down_until: None,
            cold_until: None,
            heartbeats: Vec::new(),
            arrived_cold: Vec::new(),
        }
    }

    fn cold_left(&self, now: Instant) -> Duration {
        self.cold_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Delivers a request or a health check that was sent; returns whether the target is up.
    fn deliver(&mut self, now: Instant) -> bool {
        if self.down_until.is_some() {
            self.pace.raise_doubt(now);
            return false;
        }
        if !self.cold_left(now).is_zero() {
            self.arrived_cold.push(now);
        }
        true
    }

    fn crash(&mut self, now: Instant, rng: &mut impl Rng) {
        self.cold_until = None;
        self.down_until = Some(now + millis(rng.random_range(50..5000)));
        self.pace.raise_doubt(now);
    }

    fn advance(&mut self, now: Instant, rng: &mut impl Rng) {
        if self.down_until.is_some_and(|until| until <= now) {
            self.down_until = None;
            self.cold_until = Some(now + COLD_TIME);
        }
        if rng.random_bool(0.0007) && self.down_until.is_none() {
            let arrival = now + millis(rng.random_range(0..2500));
            self.heartbeats.push((arrival, self.cold_left(now)));
        }
        let arrived = |(arrival, _): &mut (Instant, Duration)| *arrival <= now;
        for (_, left) in self.heartbeats.extract_if(.., arrived) {
            self.pace.report_cold(left, now);
        }
    }
}

/// A target must never get more than its bound in any second while it is cold: here with crashes, late heartbeats, false
/// alarms, further cold times and restarts of the node, each at random.
#[test]
fn a_cold_target_never_gets_more_than_its_bound() {
    let bound = (RATE * OVERAGE + SLACK).floor() as usize;
    let mut most_of_all = 0;
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let started = Instant::now();
        let mut target = CrashingTarget::new(limit(), started);
        let calls_per_millisecond = rng.random_range(0.01..0.4);
        for millisecond in 0..60_000 {
            let now = started + millis(millisecond);
            target.advance(now, &mut rng);
            if target.down_until.is_none() && rng.random_bool(0.0002) {
                target.crash(now, &mut rng);
            }
            if target.down_until.is_none() && rng.random_bool(0.0002) {
                target.cold_until = Some(now + COLD_TIME);
                target.pace.report_cold(COLD_TIME, now);
            }
            if rng.random_bool(0.0002) {
                target.pace.raise_doubt(now);
            }
            if rng.random_bool(0.0002) {
                target.pace = WarmupPace::in_doubt(limit(), now);
            }
            let checks = target.pace.is_in_doubt(now) && rng.random_bool(0.01);
            if checks && target.pace.try_check(now) && target.deliver(now) {
                match rng.random_bool(0.7) {
                    true => target.pace.confirm_cold(target.cold_left(now), now),
                    false => target.pace.record_contact(now),
                }
            }
            if rng.random_bool(calls_per_millisecond) && target.pace.try_send(now) {
                target.deliver(now);
            }
        }

        let most = most_in_a_second(&target.arrived_cold);

        assert!(most <= bound, "seed {seed}: {most} requests in a second");
        most_of_all = most_of_all.max(most);
    }
    assert!(
        most_of_all as f64 > RATE,
        "{most_of_all}: cold targets got next to nothing"
    );
}

/// A bound with little or no headroom, or with numbers that make no sense, must be kept as well and end nothing.
#[test]
fn odd_limits_are_kept() {
    for (rate, overage, slack) in [
        (13.0, 1.0, 0.0),
        (2.0, 1.0, 0.5),
        (0.5, 1.0, 0.0),
        (0.0, 1.0, 0.0),
        (13.0, -3.0, -8.0),
        (13.0, f64::NAN, 8.0),
        (13.0, f64::INFINITY, 8.0),
        (1e9, 1.5, 8.0),
    ] {
        let limit = PaceLimit::new(rate, overage, slack, COLD_TIME);
        let now = Instant::now();
        let mut pace = WarmupPace::warm(limit, now);
        pace.report_cold(COLD_TIME * 1000, now);
        let times: Vec<Instant> = (0..4 * 3000)
            .map(|quarter| now + Duration::from_micros(250) * quarter)
            .filter(|at| pace.try_send(*at))
            .collect();
        let bound = rate * overage + slack;
        let bound = if bound.is_finite() { bound } else { rate };

        let most = most_in_a_second(&times) as f64;

        assert!(
            most <= bound.max(0.0),
            "rate {rate}, overage {overage}, slack {slack}: {most}"
        );
        assert!(pace.room_in(3, now) <= COLD_TIME * 2);
    }
}

/// Returns the requests sent in each tenth of a second if callers send one each millisecond.
fn sent_per_tenth(pace: &mut WarmupPace, started: Instant, tenths: u64) -> Vec<u64> {
    (0..tenths)
        .map(|tenth| {
            let times = (0..100).map(|offset| started + millis(tenth * 100 + offset));
            times.filter(|at| pace.try_send(*at)).count() as u64
        })
        .collect()
}

/// A target that becomes warm must not get its full share at one moment, and must get it soon.
#[test]
fn the_rate_rises_smoothly_once_the_target_is_warm() {
    let started = Instant::now();
    let mut pace = WarmupPace::warm(limit(), started);
    pace.report_cold(COLD_TIME, started);

    let sent = sent_per_tenth(&mut pace, started, 50);

    let slow_start = &sent[30..42];
    for pair in slow_start.windows(2) {
        assert!(pair[1] <= 2 * pair[0] + 2, "a step in {slow_start:?}");
    }
    assert!(slow_start[11] >= 10, "{slow_start:?}");
    assert_eq!(sent[49], 100, "the pace still limits: {sent:?}");
}

/// A false alarm must not keep calls from a warm target once its health check has answered.
#[test]
fn a_doubt_that_turns_out_wrong_costs_nothing_afterwards() {
    let started = Instant::now();
    let mut pace = WarmupPace::warm(limit(), started);
    sent_per_tenth(&mut pace, started, 20);
    let doubted = started + millis(2000);
    pace.raise_doubt(doubted);

    let may_check = pace.try_check(doubted);
    let may_call = pace.try_send(doubted);
    pace.confirm_cold(Duration::ZERO, doubted + millis(20));

    assert!(may_check, "the check must not wait for tokens");
    assert!(!may_call);
    assert!(!pace.is_limiting(doubted + millis(20)));
}

/// A heartbeat that was sent before the doubt arose must not end it.
#[test]
fn an_old_heartbeat_does_not_end_a_doubt() {
    let now = Instant::now();
    let mut pace = WarmupPace::warm(limit(), now);
    pace.raise_doubt(now);

    pace.report_cold(Duration::ZERO, now);

    assert!(pace.is_in_doubt(now));
    assert_eq!(pace.cold_left(now), Some(COLD_TIME));
}

/// A target that never tells how cold it is must not be limited for good.
#[test]
fn a_doubt_ends_some_time_after_the_target_has_answered() {
    let now = Instant::now();
    let mut pace = WarmupPace::in_doubt(limit(), now);
    let answered = now + SECOND * 60;

    pace.record_contact(answered);

    assert!(pace.is_in_doubt(answered + COLD_TIME - millis(1)));
    assert!(!pace.is_in_doubt(answered + COLD_TIME));
    assert!(!pace.is_limiting(answered + COLD_TIME * 2));
}

/// The time that a refusal tells must be the time at which a call is let through.
#[test]
fn room_comes_when_it_was_told() {
    let started = Instant::now();
    let mut pace = WarmupPace::warm(limit(), started);
    pace.report_cold(COLD_TIME, started);
    sent_per_tenth(&mut pace, started, 25);
    let now = started + millis(2500);

    for ahead in [0, 3, 12, 60] {
        let room_at = now + pace.room_in(ahead, now);
        let early = (0..ahead + 1)
            .filter(|_| pace.clone().try_send(room_at - millis(2)))
            .count() as u32;
        let mut later = pace.clone();
        let let_through = (0..)
            .map(|step| now + millis(step))
            .take_while(|at| *at <= room_at + millis(5))
            .filter(|at| later.try_send(*at))
            .count() as u32;

        assert!(let_through > ahead, "{let_through} for {ahead} ahead");
        assert!(ahead > 0 || early == 0, "room came earlier than told");
    }
}

const DOMAINS: [&str; 3] = ["albany", "bunbury", "kalgoorlie"];
const TARGETS_PER_DOMAIN: usize = 6;
const ENTRIES_PER_DOMAIN: usize = 6;
const SLOTS: u32 = 9;
const SERVICE_TIME: Duration = Duration::from_millis(100);
const MAX_ATTEMPTS: usize = 8;

/// A target with its node, without a queue: what does not fit is refused.
struct SimulatedTarget {
    endpoint: TargetEndpoint,
    pace: WarmupPace,
    /// Ends of the running calls.
    running: Vec<Instant>,
    up: bool,
    arrived: Vec<Instant>,
}

impl SimulatedTarget {
    fn load(&self, now: Instant) -> TargetLoad {
        let cold = self.pace.rate(now).map(|rate| ColdLoad {
            left: self.pace.cold_left(now).unwrap_or_default(),
            interval: Duration::from_secs_f64(1.0 / rate),
            room_in: self.pace.room_in(0, now),
        });
        TargetLoad {
            running: self.running.len() as u32,
            waiting: 0,
            slots: SLOTS,
            service_time: SERVICE_TIME,
            route_time: SERVICE_TIME,
            cold,
            relative_time: None,
        }
    }

    fn call(&mut self, now: Instant, rng: &mut impl Rng) -> TargetOutcome {
        if !self.up {
            self.pace.raise_doubt(now);
            return TargetOutcome::Unreachable;
        }
        self.running.retain(|end| *end > now);
        if self.running.len() as u32 >= SLOTS {
            return TargetOutcome::Full;
        }
        if !self.pace.try_send(now) {
            let left = self.pace.cold_left(now).unwrap_or_default();
            return TargetOutcome::Cold(cold_pause(self.pace.room_in(0, now), left, rng));
        }
        let slowness = 1 + u32::from(self.pace.cold_left(now).is_some());
        self.running.push(now + SERVICE_TIME * slowness);
        self.arrived.push(now);
        TargetOutcome::Answered
    }
}

fn simulated_targets(now: Instant) -> Vec<SimulatedTarget> {
    let names = DOMAINS
        .iter()
        .flat_map(|domain| (0..TARGETS_PER_DOMAIN).map(move |number| (domain, number)));
    let target = |(domain, number): (&&str, usize)| SimulatedTarget {
        endpoint: TargetEndpoint {
            node: format!("{domain}-{number}"),
            domain: domain.to_string(),
            forward_address: "127.0.0.1:9000".parse().expect("address"),
            version: "v1".to_owned(),
            slots: SLOTS,
        },
        pace: WarmupPace::warm(limit(), now),
        running: Vec::new(),
        up: true,
        arrived: Vec::new(),
    };
    names.map(target).collect()
}

/// Sends one call from an entry node; returns whether it was served, and its refusals by cold targets.
fn send_call(
    tracker: &mut TargetTracker,
    domain: &str,
    targets: &mut [SimulatedTarget],
    now: Instant,
    rng: &mut StdRng,
) -> (bool, usize) {
    let endpoints: Vec<TargetEndpoint> = targets
        .iter()
        .map(|target| target.endpoint.clone())
        .collect();
    let own_domain = domain.to_owned();
    let needs = CallNeeds {
        route: "jobs",
        latency_objective: millis(500),
        own_domain: &own_domain,
        body_bytes: 0,
    };
    let mut tried = Vec::new();
    let mut cold_refusals = 0;
    while tried.len() < MAX_ATTEMPTS {
        let chosen = tracker.choose(&endpoints, &tried, &needs, now, rng);
        let Some(node) = chosen.map(|chosen| chosen.node.clone()) else {
            break;
        };
        let target = targets
            .iter_mut()
            .find(|target| target.endpoint.node == node)
            .expect("target");
        tracker.begin(&node);
        let outcome = target.call(now, rng);
        if outcome != TargetOutcome::Unreachable {
            tracker.record_load(&node, "jobs", target.load(now), now);
        }
        tracker.end(&node, outcome, now);
        if outcome == TargetOutcome::Answered {
            return (true, cold_refusals);
        }
        cold_refusals += usize::from(matches!(outcome, TargetOutcome::Cold(_)));
        tried.push(node);
    }
    (false, cold_refusals)
}

/// A failure domain whose targets come back cold at one moment must not be overrun by its callers; they must be served
/// elsewhere without going from refusal to refusal, and return when the targets are warm.
#[test]
fn a_domain_that_comes_back_cold_is_not_overrun_and_its_callers_are_served_elsewhere() {
    let bound = RATE * OVERAGE + SLACK;
    let (down, up, learned) = (3_000, 7_500, 7_600);
    let warm = up + COLD_TIME.as_millis() as u64;
    let end = warm + 6_000;
    for seed in 0..5 {
        let mut rng = StdRng::seed_from_u64(seed);
        let started = Instant::now();
        let mut targets = simulated_targets(started);
        let mut trackers: Vec<(&str, TargetTracker)> = DOMAINS
            .iter()
            .flat_map(|domain| {
                (0..ENTRIES_PER_DOMAIN).map(move |_| (*domain, TargetTracker::default()))
            })
            .collect();
        let (mut calls, mut lost, mut refusals) = (0, 0, 0);
        for millisecond in 0..end {
            let now = started + millis(millisecond);
            for target in targets.iter_mut().take(TARGETS_PER_DOMAIN) {
                match millisecond {
                    time if time == down => target.up = false,
                    time if time == up => target.up = true,
                    time if time == learned => {
                        target.pace.confirm_cold(COLD_TIME - millis(100), now);
                    }
                    _ => {}
                }
            }
            // 900 calls a second, a bit more than half of what all slots take.
            let arrivals = 1 + u32::from(rng.random_bool(0.1)) - u32::from(rng.random_bool(0.2));
            for _ in 0..arrivals {
                let entry = rng.random_range(0..trackers.len());
                let (domain, tracker) = &mut trackers[entry];
                let (served, refused) = send_call(tracker, domain, &mut targets, now, &mut rng);
                if (up..warm).contains(&millisecond) {
                    calls += 1;
                    lost += usize::from(!served);
                    refusals += refused;
                }
            }
        }

        let arrivals_of_domain = |from: u64, to: u64| {
            let span = started + millis(from)..started + millis(to);
            let arrived = targets.iter().take(TARGETS_PER_DOMAIN);
            arrived
                .flat_map(|target| &target.arrived)
                .filter(|at| span.contains(*at))
                .count()
        };
        let before = arrivals_of_domain(down - 2000, down);
        let after = arrivals_of_domain(end - 2000, end);

        for target in targets.iter().take(TARGETS_PER_DOMAIN) {
            let cold: Vec<Instant> = target
                .arrived
                .iter()
                .filter(|at| (up..warm).contains(&((**at - started).as_millis() as u64)))
                .copied()
                .collect();
            let most = most_in_a_second(&cold);
            assert!(most as f64 <= bound, "seed {seed}: {most} in a second");
        }
        assert!(lost * 50 <= calls, "seed {seed}: {lost} of {calls} lost");
        assert!(
            refusals * 4 <= calls,
            "seed {seed}: {refusals} refusals of {calls} calls"
        );
        assert!(
            after * 10 >= before * 8,
            "seed {seed}: {after} after, {before} before"
        );
    }
}
