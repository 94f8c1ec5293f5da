//! How fast a new configuration version reaches all members and what that costs.
//!
//! The state machines run in simulated time. Baselines: the same protocol without pushes, and polling
//! of the store, whose reads are computed.

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

/// Members told at once of a new version.
const PUSH_FANOUT: usize = 4;

/// Time before the version, in which the events of the start are passed on.
const WARM_UP: Duration = Duration::from_secs(30);

/// Time over which bytes are counted, from the moment that the version is accepted.
const WINDOW: Duration = Duration::from_secs(30);

/// Step in which the share of members is looked at.
const STEP: Duration = Duration::from_millis(10);

/// Failure domain that dies at the moment the version is accepted.
const LOST_DOMAIN: usize = 5;

/// Longest time for the deaths of the lost domain to become known.
const DEATH_LIMIT: Duration = Duration::from_secs(300);

/// Step in which the known deaths are counted.
const DEATH_STEP: Duration = Duration::from_secs(1);

/// Period within which a polling node sees a version, in seconds.
const POLL_PERIOD: f64 = 3.0;

/// Share of members that the first of the two times is for.
const MOST: f64 = 0.99;

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
        let most = POLL_PERIOD * MOST;
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
    while net.now < WARM_UP + WINDOW {
        let share = net.share_with(1);
        let elapsed = (net.now - WARM_UP).as_secs_f64();
        most = most.or((share >= MOST).then_some(elapsed));
        all = all.or((share >= 1.0).then_some(elapsed));
        net.run_until(net.now + STEP);
    }
    let live = net.nodes.iter().filter(|node| node.is_up).count();
    let bytes = (net.total_bytes() - bytes_before) as f64;
    let rate = bytes / WINDOW.as_secs_f64() / live as f64;
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
        let known = until_deaths_known(&mut net);
        report_time(
            &label("until 99% of deaths known"),
            known,
            baseline,
            seed,
            size,
        );
    }
    let busy = net.busy_pulls as f64;
    report(&label("refused pulls"), busy, "count", baseline, seed, size);
}

/// Returns the time from the loss of the domain until nearly all deaths are known to nearly all members.
fn until_deaths_known(net: &mut SimulatedNet) -> Option<f64> {
    while net.now < WARM_UP + DEATH_LIMIT {
        if share_of_deaths_known(net) >= MOST {
            return Some((net.now - WARM_UP).as_secs_f64());
        }
        net.run_until(net.now + DEATH_STEP);
    }
    None
}

fn share_of_deaths_known(net: &SimulatedNet) -> f64 {
    let lost: Vec<String> = (0..net.nodes.len())
        .filter(|index| !net.nodes[*index].is_up)
        .map(name_of)
        .collect();
    let live = net.nodes.iter().filter(|node| node.is_up);
    let views = live.flat_map(|node| lost.iter().map(|name| node.members.get(name)));
    let mut total = 0_u64;
    let mut known = 0_u64;
    for view in views {
        total += 1;
        known += u64::from(view.is_some_and(|record| record.state == MemberState::Dead));
    }
    known as f64 / total as f64
}

/// Prints a time; a version that has not arrived within the window is printed as infinite (`null`).
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
