//! Overshoot and unfair refusals of a rate limit divided among nodes.
//!
//! Calls arrive as a Poisson process in simulated time; the nodes' shares of them are redrawn every few
//! seconds. Nodes learn each other's demand with a delay. A refusal is unfair if the fleet had admitted
//! less than the limit during the second before it.

use {
    crate::figure::{MeasuredFigure, print_figure},
    poplarwing::{
        config::{CallLimits, ContractLimit},
        limit_share::{LimitScope, LimitTable, NodeDemand},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rand_distr::{Distribution, Exp},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Rate limit of the whole fleet, in calls per second.
const LIMIT_RATE: u64 = 500;

/// Length of one run.
const RUN_TIME: Duration = Duration::from_secs(60);

/// Time after which the nodes' shares of the calls are redrawn.
const WEIGHTS_DURATION: Duration = Duration::from_secs(7);

/// Delay until a node's demand has reached the other nodes by gossip.
const DEMAND_DELAY: Duration = Duration::from_secs(3);

/// Time over which a node counts its calls as its demand, and the fleet the admitted calls.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Seeds of the reported runs; not used for choosing the constants of `limit_share`.
const REPORT_SEEDS: [u64; 3] = [101, 102, 103];

/// Method of dividing the limit among nodes.
#[derive(Clone, Copy)]
enum LimitDivision {
    /// The shares follow the demand that nodes report to each other.
    FollowDemand,
    /// Every node has a constant, equal share.
    FixedDivision,
    /// Every node applies the whole limit to its own calls.
    WholeLimitEach,
}

impl LimitDivision {
    fn name(self) -> &'static str {
        match self {
            Self::FollowDemand => "poplarwing",
            Self::FixedDivision => "fixed-division",
            Self::WholeLimitEach => "whole-limit-each",
        }
    }
}

/// Demand of every node at one time, in calls during the last `DEMAND_WINDOW`.
struct DemandSample {
    at: Duration,
    demands: Vec<u32>,
}

/// Counts of one run.
#[derive(Default)]
struct RunCounts {
    calls: u64,
    refused: u64,
    /// Refusals while the fleet was below the limit.
    unfair: u64,
    /// Most calls that the fleet admitted within one second.
    peak_admitted: usize,
}

/// Runs all divisions at several numbers of nodes and loads and prints the figures.
pub fn run() {
    for nodes in [4, 9, 36] {
        for load_percent in [60, 95, 200] {
            for division in [
                LimitDivision::FollowDemand,
                LimitDivision::FixedDivision,
                LimitDivision::WholeLimitEach,
            ] {
                for seed in REPORT_SEEDS {
                    report(division, nodes, load_percent, seed);
                }
            }
        }
    }
}

fn report(division: LimitDivision, nodes: usize, load_percent: u64, seed: u64) {
    let counts = run_once(division, nodes, load_percent, seed);
    let overshoot = counts.peak_admitted as f64 / LIMIT_RATE as f64;
    let unfair = counts.unfair as f64 / counts.calls.max(1) as f64;
    let refused = counts.refused as f64 / counts.calls.max(1) as f64;
    for (figure, value) in [
        ("peak_admitted", overshoot),
        ("unfair_refusals", unfair),
        ("refusals", refused),
    ] {
        print_figure(&MeasuredFigure {
            experiment: "limits".to_owned(),
            figure: format!("{figure}_at_{load_percent}_percent_load"),
            value,
            unit: if figure == "peak_admitted" {
                "limits"
            } else {
                "of calls"
            }
            .to_owned(),
            baseline: division.name().to_owned(),
            seed,
            size: nodes as u64,
        });
    }
}

fn run_once(division: LimitDivision, nodes: usize, load_percent: u64, seed: u64) -> RunCounts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let total_rate = LIMIT_RATE as f64 * load_percent as f64 / 100.0;
    let gap = Exp::new(total_rate).expect("the rate is positive");
    let mut tables: Vec<LimitTable> = (0..nodes).map(|_| LimitTable::default()).collect();
    let mut arrivals: Vec<VecDeque<Duration>> = vec![VecDeque::new(); nodes];
    let mut admitted: VecDeque<Duration> = VecDeque::new();
    let mut samples: VecDeque<DemandSample> = VecDeque::new();
    let mut weights = draw_weights(nodes, &mut rng);
    let mut weights_drawn_at = Duration::ZERO;
    let mut counts = RunCounts::default();
    let mut now = Duration::ZERO;
    while now < RUN_TIME {
        now += Duration::from_secs_f64(gap.sample(&mut rng));
        if now - weights_drawn_at > WEIGHTS_DURATION {
            weights = draw_weights(nodes, &mut rng);
            weights_drawn_at = now;
        }
        let node = draw_node(&weights, &mut rng);
        arrivals[node].push_back(now);
        take_sample(&mut samples, &mut arrivals, now);
        let own_demand = arrivals[node].len() as u32;
        let scope = limit_scope(division, node, nodes, &samples, now, own_demand);
        drop_outside_window(&mut admitted, now);
        counts.calls += 1;
        let scopes = [scope];
        match tables[node].admit(&scopes, start + now) {
            Ok(()) => {
                tables[node].release([scopes[0].name.as_str()]);
                admitted.push_back(now);
                counts.peak_admitted = counts.peak_admitted.max(admitted.len());
            }
            Err(_) => {
                counts.refused += 1;
                counts.unfair += u64::from((admitted.len() as u64) < LIMIT_RATE);
            }
        }
    }
    counts
}

/// Draws relative shares of the calls: each node gets three times the usual share with probability 1/4.
fn draw_weights(nodes: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    (0..nodes)
        .map(|_| if rng.random_bool(0.25) { 3.0 } else { 1.0 })
        .collect()
}

fn draw_node(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut draw = rng.random_range(0.0..weights.iter().sum());
    for (node, weight) in weights.iter().enumerate() {
        if draw < *weight {
            return node;
        }
        draw -= weight;
    }
    weights.len() - 1
}

fn drop_outside_window(times: &mut VecDeque<Duration>, now: Duration) {
    while times
        .front()
        .is_some_and(|first| now - *first > DEMAND_WINDOW)
    {
        times.pop_front();
    }
}

fn take_sample(
    samples: &mut VecDeque<DemandSample>,
    arrivals: &mut [VecDeque<Duration>],
    now: Duration,
) {
    let due = samples
        .back()
        .is_none_or(|last| now - last.at >= Duration::from_secs(1));
    for times in arrivals.iter_mut() {
        drop_outside_window(times, now);
    }
    if due {
        let demands = arrivals.iter().map(|times| times.len() as u32).collect();
        samples.push_back(DemandSample { at: now, demands });
    }
    while samples.len() > 1 && now - samples[1].at >= DEMAND_DELAY {
        samples.pop_front();
    }
}

fn limit_scope(
    division: LimitDivision,
    node: usize,
    nodes: usize,
    samples: &VecDeque<DemandSample>,
    now: Duration,
    own_demand: u32,
) -> LimitScope {
    let reported = samples
        .front()
        .filter(|sample| now - sample.at >= DEMAND_DELAY);
    let demand_of = |other: usize| match reported {
        _ if other == node => own_demand.max(1),
        // A node reports no demand until it has measured it over a whole window.
        Some(sample) if sample.at >= DEMAND_WINDOW => sample.demands[other].max(1),
        _ => 0,
    };
    let sharing_nodes: Vec<usize> = match division {
        LimitDivision::FollowDemand => (0..nodes).collect(),
        LimitDivision::WholeLimitEach | LimitDivision::FixedDivision => vec![node],
    };
    let demands: Vec<NodeDemand> = sharing_nodes
        .into_iter()
        .map(|other| NodeDemand {
            node: other.to_string(),
            demand: demand_of(other),
        })
        .collect();
    let value = match division {
        LimitDivision::FixedDivision => LIMIT_RATE / nodes as u64,
        _ => LIMIT_RATE,
    };
    let limits = CallLimits {
        rate: Some(ContractLimit { value, line: 1 }),
        concurrency: None,
    };
    LimitScope::new("customer".to_owned(), limits, &node.to_string(), &demands)
}
