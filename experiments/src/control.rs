//! Control traffic, processor time and memory of node processes, idle and under changes or restarts.

use {
    crate::{
        node_group::{GroupError, NodeGroup, chosen_sizes, contract_text, report, run_experiment},
        process_stat::{processor_seconds, resident_megabytes},
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Numbers of node processes in the runs over the number of nodes, each with `SERVICES` services.
const SIZES: [usize; 3] = [12, 25, 50];

/// Services in the contract when the number of nodes varies.
const SERVICES: usize = 10;

/// Numbers of services in the runs over the number of services, each with `NODES` nodes.
const SERVICE_SIZES: [usize; 3] = [10, 100, 750];

/// Nodes when the number of services varies.
const NODES: usize = 12;

/// Rounds of a measurement. In each, targets are announced again and, depending on the load, one contract
/// change or node restart is made.
const ROUNDS: u64 = 5;

/// Length of a round; targets must be announced every 2 s.
const ROUND_TIME: Duration = Duration::from_secs(2);

/// Wait before the first measurement, per node of the fleet, for the gossip of the start-up events to end.
///
/// Every node gossips the start events of all n nodes, 3 log2(n) times each, in packets of at most 1,200
/// bytes; this causes 4,400 B/s of control traffic for about 0.5 s per node.
const SETTLE_TIME: Duration = Duration::from_millis(750);

/// Operations during a measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ControlLoad {
    Rest,
    Changes,
    Restarts,
}

impl ControlLoad {
    fn label(self) -> &'static str {
        match self {
            ControlLoad::Rest => "at rest",
            ControlLoad::Changes => "0.5 changes a second",
            ControlLoad::Restarts => "0.5 restarts a second",
        }
    }
}

/// Processor seconds and control bytes that one node has used since its start.
#[derive(Clone, Copy, Debug)]
struct NodeUsage {
    processor: f64,
    received: f64,
    sent: f64,
}

/// Measures fleets of one or all sizes under all loads and prints the figures.
pub fn run(only: Option<usize>) -> Result<(), GroupError> {
    run_experiment(async {
        for size in chosen_sizes(&SIZES, only) {
            let mut group = NodeGroup::start(size, SERVICES).await?;
            settle(&group, SERVICES).await;
            let loads = [
                ControlLoad::Rest,
                ControlLoad::Changes,
                ControlLoad::Restarts,
            ];
            for (load_index, load) in loads.into_iter().enumerate() {
                measure(&mut group, SERVICES, load, load_index as u64, "nodes", size).await?;
            }
        }
        Ok(())
    })
}

/// Measures all numbers of services, idle and under contract changes, and prints the figures.
pub fn run_services() -> Result<(), GroupError> {
    run_experiment(async {
        for services in SERVICE_SIZES {
            let mut group = NodeGroup::start(NODES, services).await?;
            settle(&group, services).await;
            for (load_index, load) in [ControlLoad::Rest, ControlLoad::Changes]
                .into_iter()
                .enumerate()
            {
                measure(
                    &mut group,
                    services,
                    load,
                    load_index as u64,
                    "services",
                    services,
                )
                .await?;
            }
        }
        Ok(())
    })
}

/// Announces targets until the gossip of the start-up events should have ended.
async fn settle(group: &NodeGroup, services: usize) {
    let ends = Instant::now() + SETTLE_TIME * group.nodes.len() as u32;
    while Instant::now() < ends {
        group.announce_all(services).await;
        sleep(ROUND_TIME).await;
    }
}

async fn measure(
    group: &mut NodeGroup,
    services: usize,
    load: ControlLoad,
    load_index: u64,
    axis: &str,
    size: usize,
) -> Result<(), GroupError> {
    let platform_before = group.platform.counts();
    // Only nodes of the first half are measured; restarts concern the second half.
    let measured: Vec<usize> = (0..group.nodes.len() / 2).collect();
    let before = usage_of(group, &measured).await;
    let started = Instant::now();
    for round in 0..ROUNDS {
        let round_started = Instant::now();
        let generation = load_index * ROUNDS + round + 1;
        match load {
            ControlLoad::Rest => {}
            ControlLoad::Changes => {
                let text = contract_text(services, generation);
                group.apply(round as usize % measured.len(), &text).await?;
            }
            ControlLoad::Restarts => {
                let index = measured.len() + round as usize;
                group.nodes.kill(index)?;
                group.nodes.start(index)?;
            }
        }
        group.announce_all(services).await;
        sleep(ROUND_TIME.saturating_sub(round_started.elapsed())).await;
    }
    let after = usage_of(group, &measured).await;
    let elapsed = started.elapsed().as_secs_f64();
    let platform = group.platform.counts();
    let reads = (platform.table_reads - platform_before.table_reads) as f64 / elapsed;
    let writes = (platform.table_writes - platform_before.table_writes) as f64 / elapsed;
    show(
        "store reads of the fleet",
        &[reads],
        "1/s",
        load,
        axis,
        size,
    );
    show(
        "store writes of the fleet",
        &[writes],
        "1/s",
        load,
        axis,
        size,
    );
    report_usage(group, &before, &after, elapsed, load, axis, size);
    Ok(())
}

async fn usage_of(group: &NodeGroup, nodes: &[usize]) -> Vec<NodeUsage> {
    let mut usages = Vec::new();
    for index in nodes {
        let control = group.control_bytes(*index).await.unwrap_or_default();
        let process = group.nodes.process_id(*index);
        usages.push(NodeUsage {
            processor: process.and_then(processor_seconds).unwrap_or_default(),
            received: control.received,
            sent: control.sent,
        });
    }
    usages
}

fn report_usage(
    group: &NodeGroup,
    before: &[NodeUsage],
    after: &[NodeUsage],
    elapsed: f64,
    load: ControlLoad,
    axis: &str,
    size: usize,
) {
    let rates = |value: fn(&NodeUsage) -> f64| -> Vec<f64> {
        let pairs = before.iter().zip(after);
        pairs
            .map(|(before, after)| (value(after) - value(before)) / elapsed)
            .collect()
    };
    let memory: Vec<f64> = (0..before.len())
        .filter_map(|index| resident_megabytes(group.nodes.process_id(index)?))
        .collect();
    let percent = rates(|node| node.processor * 100.0);
    show(
        "received",
        &rates(|node| node.received),
        "B/s",
        load,
        axis,
        size,
    );
    show("sent", &rates(|node| node.sent), "B/s", load, axis, size);
    show("processor time", &percent, "% of a core", load, axis, size);
    show("resident memory", &memory, "MB", load, axis, size);
}

fn show(figure: &str, values: &[f64], unit: &str, load: ControlLoad, axis: &str, size: usize) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let highest = values.iter().copied().fold(0.0, f64::max);
    let label = |kind: &str| format!("{figure}, {kind}, {}, over {axis}", load.label());
    report("control", &label("mean"), mean, unit, "poplarwing", size);
    report("control", &label("most"), highest, unit, "poplarwing", size);
}
