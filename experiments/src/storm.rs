//! Requests to the platform when many node processes come back at once.

use {
    crate::node_group::{GroupError, NodeGroup, chosen_sizes, report, run_experiment},
    poplarwing_standins::platform::{FaultPlan, RequestCounts},
    std::{
        mem,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Numbers of node processes.
const SIZES: [usize; 3] = [50, 100, 200];

/// Services in the contract.
const SERVICES: usize = 10;

/// Time over which requests are counted after the start.
const WINDOW: Duration = Duration::from_secs(8);

/// Time for which the store is down from the start on, in that case.
const OUTAGE: Duration = Duration::from_secs(3);

/// Length of the intervals whose requests are compared.
const STEP: Duration = Duration::from_millis(100);

/// Time within which all nodes must be ready again.
const LIMIT: Duration = Duration::from_secs(30);

/// Runs one or all sizes and cases and prints the figures.
pub fn run(only: Option<usize>) -> Result<(), GroupError> {
    run_experiment(async {
        for size in chosen_sizes(&SIZES, only) {
            let mut group = NodeGroup::start(size, SERVICES).await?;
            run_case(&mut group, size, false, "all nodes").await?;
            run_case(&mut group, size / 2, false, "half of the nodes").await?;
            run_case(
                &mut group,
                size / 2,
                true,
                "half of the nodes, store down 3 s",
            )
            .await?;
            run_case(&mut group, size, true, "all nodes, store down 3 s").await?;
        }
        Ok(())
    })
}

async fn run_case(
    group: &mut NodeGroup,
    restarted: usize,
    is_down: bool,
    case: &str,
) -> Result<(), GroupError> {
    // A stride over all nodes takes them from all failure domains.
    let stride = group.nodes.len() / restarted;
    let nodes: Vec<usize> = (0..restarted).map(|turn| turn * stride).collect();
    for index in &nodes {
        group.nodes.kill(*index)?;
    }
    set_down(group, is_down);
    let before = group.platform.counts();
    let started = Instant::now();
    for index in &nodes {
        group.nodes.start(*index)?;
    }
    let steps = count_steps(group, before, is_down).await;
    let times = group.wait_host(&nodes, 0, LIMIT).await?;
    // The first look comes after the window, so a shorter time is reported as the length of the window.
    let _ = times;
    report_case(group, before, &steps, case);
    let ready = started.elapsed().as_secs_f64();
    show("all nodes ready within", ready, "s", case, group);
    Ok(())
}

fn set_down(group: &NodeGroup, is_down: bool) {
    group.platform.set_faults(FaultPlan {
        down: is_down,
        ..FaultPlan::default()
    });
}

/// Requests in one interval.
struct StepCount {
    reads: u64,
    writes: u64,
    refused: u64,
}

async fn count_steps(group: &NodeGroup, before: RequestCounts, is_down: bool) -> Vec<StepCount> {
    let started = Instant::now();
    let mut steps = Vec::new();
    let mut last = before;
    let mut outage = is_down;
    while started.elapsed() < WINDOW {
        sleep(STEP).await;
        if outage && started.elapsed() >= OUTAGE {
            set_down(group, false);
            outage = false;
        }
        let now = group.platform.counts();
        let previous = mem::replace(&mut last, now);
        steps.push(StepCount {
            reads: reads_of(&now) - reads_of(&previous),
            writes: writes_of(&now) - writes_of(&previous),
            refused: now.faulted - previous.faulted,
        });
    }
    steps
}

fn reads_of(counts: &RequestCounts) -> u64 {
    counts.table_reads + counts.object_reads
}

fn writes_of(counts: &RequestCounts) -> u64 {
    counts.table_writes + counts.object_writes
}

fn report_case(group: &NodeGroup, before: RequestCounts, steps: &[StepCount], case: &str) {
    let per_second = 1.0 / STEP.as_secs_f64();
    let peak = |value: fn(&StepCount) -> u64| {
        steps.iter().map(value).max().unwrap_or_default() as f64 * per_second
    };
    let after = group.platform.counts();
    let total = |value: fn(&RequestCounts) -> u64| (value(&after) - value(&before)) as f64;
    show(
        "peak reads in 100 ms",
        peak(|step| step.reads),
        "1/s",
        case,
        group,
    );
    show(
        "peak writes in 100 ms",
        peak(|step| step.writes),
        "1/s",
        case,
        group,
    );
    show(
        "peak failed requests in 100 ms",
        peak(|step| step.refused),
        "1/s",
        case,
        group,
    );
    show("reads", total(reads_of), "count", case, group);
    show("writes", total(writes_of), "count", case, group);
    show(
        "failed requests",
        total(|counts| counts.faulted),
        "count",
        case,
        group,
    );
    show(
        "bytes sent by the store",
        total(|counts| counts.bytes_out),
        "B",
        case,
        group,
    );
}

fn show(figure: &str, value: f64, unit: &str, case: &str, group: &NodeGroup) {
    let label = format!("{figure}, {case}");
    report(
        "storm",
        &label,
        value,
        unit,
        "poplarwing",
        group.nodes.len(),
    );
}
