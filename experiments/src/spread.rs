//! Time and bytes that a new configuration version takes to reach all members.
//!
//! The gossip state machines run in simulated time. Baselines: the same protocol without pushes (members
//! learn of a version from probes only), and polling of the store, whose figures are computed.

use {
    crate::{
        figure::{MeasuredFigure, print_figure},
        simulated_net::{DOMAIN_COUNT, SimulatedNet, name_of, section},
    },
    poplarwing::membership::MemberState,
    std::time::Duration,
};

/// Sizes of the fleet.
const SIZES: [usize; 4] = [100, 400, 1600, 6400];

/// Members that a node notifies immediately of a new version.
const PUSH_FANOUT: usize = 4;

/// Simulated time before the version is applied, for the gossip of the start-up events to end.
const WARM_UP: Duration = Duration::from_secs(30);

/// Time over which bytes are counted and arrivals observed, from the acceptance of the version.
const OBSERVATION_TIME: Duration = Duration::from_secs(30);

/// Interval at which the share of members with the version is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Failure domain whose nodes all stop at the moment the version is accepted.
const LOST_DOMAIN: usize = 5;

/// Time limit for the members of the lost domain to be detected as dead.
const DEATH_DETECTION_LIMIT: Duration = Duration::from_secs(300);

/// Interval at which the detected deaths are counted.
const DEATH_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Polling period of a node in the store-polling baseline, in seconds.
const POLL_PERIOD: f64 = 3.0;

/// Share of members (or of detected deaths) at which the "until 99%" times are taken.
const MOST_SHARE: f64 = 0.99;

/// Conditions of one run.
struct SpreadCase {
    name: &'static str,
    loss: f64,
    is_domain_lost: bool,
}

const CASES: [SpreadCase; 3] = [
    SpreadCase {
        name: "loss 0%",
        loss: 0.0,
        is_domain_lost: false,
    },
    SpreadCase {
        name: "loss 5%",
        loss: 0.05,
        is_domain_lost: false,
    },
    SpreadCase {
        name: "domain lost",
        loss: 0.0,
        is_domain_lost: true,
    },
];

/// Runs all sizes and cases and prints the figures.
pub fn run(seed: u64) {
    for size in SIZES {
        for case in &CASES {
            run_case(size, seed, case, PUSH_FANOUT, "poplarwing");
            run_case(size, seed, case, 0, "pull only");
        }
        let reads = size as f64 / POLL_PERIOD;
        report(
            "store reads, computed",
            reads,
            "1/s",
            "store polling",
            seed,
            size,
        );
        let most = POLL_PERIOD * MOST_SHARE;
        report(
            "until 99%, computed",
            most,
            "s",
            "store polling",
            seed,
            size,
        );
    }
}

fn run_case(size: usize, seed: u64, case: &SpreadCase, fanout: usize, baseline: &str) {
    let mut net = SimulatedNet::new(size, seed, section(fanout));
    net.loss = case.loss;
    net.run_until(WARM_UP);
    if case.is_domain_lost {
        let lost = (0..size).filter(|index| index % DOMAIN_COUNT == LOST_DOMAIN);
        lost.for_each(|index| net.stop(index));
    }
    let bytes_before = net.total_bytes();
    net.apply(0, 1);
    let mut most = None;
    let mut all = None;
    while net.now < WARM_UP + OBSERVATION_TIME {
        let share = net.share_with(1);
        let elapsed = (net.now - WARM_UP).as_secs_f64();
        most = most.or((share >= MOST_SHARE).then_some(elapsed));
        all = all.or((share >= 1.0).then_some(elapsed));
        net.run_until(net.now + SAMPLE_INTERVAL);
    }
    let live = net.nodes.iter().filter(|node| node.is_up).count();
    let bytes = (net.total_bytes() - bytes_before) as f64;
    let rate = bytes / OBSERVATION_TIME.as_secs_f64() / live as f64;
    let label = |figure: &str| format!("{figure}, {}", case.name);
    report_time(&label("until 99%"), most, baseline, seed, size);
    report_time(&label("until 100%"), all, baseline, seed, size);
    report(
        &label("sent and received per member"),
        rate,
        "B/s",
        baseline,
        seed,
        size,
    );
    if case.is_domain_lost {
        let detected = seconds_until_deaths_detected(&mut net);
        report_time(
            &label("until 99% of deaths known"),
            detected,
            baseline,
            seed,
            size,
        );
    }
    let busy = net.refused_pulls as f64;
    report(&label("refused pulls"), busy, "count", baseline, seed, size);
}

/// Returns the seconds from the loss of the domain until 99% of the views that live members have of its
/// members are `Dead`; none if that takes longer than `DEATH_DETECTION_LIMIT`.
fn seconds_until_deaths_detected(net: &mut SimulatedNet) -> Option<f64> {
    while net.now < WARM_UP + DEATH_DETECTION_LIMIT {
        if share_of_deaths_detected(net) >= MOST_SHARE {
            return Some((net.now - WARM_UP).as_secs_f64());
        }
        net.run_until(net.now + DEATH_SAMPLE_INTERVAL);
    }
    None
}

fn share_of_deaths_detected(net: &SimulatedNet) -> f64 {
    let lost: Vec<String> = (0..net.nodes.len())
        .filter(|index| !net.nodes[*index].is_up)
        .map(name_of)
        .collect();
    let live = net.nodes.iter().filter(|node| node.is_up);
    let views = live.flat_map(|node| lost.iter().map(|name| node.members.get(name)));
    let mut total = 0_u64;
    let mut detected = 0_u64;
    for view in views {
        total += 1;
        detected += u64::from(view.is_some_and(|record| record.state == MemberState::Dead));
    }
    detected as f64 / total as f64
}

/// Prints a time in seconds; a time that exceeded its limit is infinite, which JSON shows as `null`.
fn report_time(figure: &str, time: Option<f64>, baseline: &str, seed: u64, size: usize) {
    let value = time.unwrap_or(f64::INFINITY);
    report(figure, value, "s", baseline, seed, size);
}

fn report(figure: &str, value: f64, unit: &str, baseline: &str, seed: u64, size: usize) {
    print_figure(&MeasuredFigure {
        experiment: "spread".to_owned(),
        figure: figure.to_owned(),
        value,
        unit: unit.to_owned(),
        baseline: baseline.to_owned(),
        seed,
        size: size as u64,
    });
}
