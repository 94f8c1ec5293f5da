//! Requests to the platform's table and object store when many node processes restart at once.

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

/// Time over which requests are counted after the restart.
const COUNT_TIME: Duration = Duration::from_secs(8);

/// Time for which the store is down from the restart on, in the cases with an outage.
const OUTAGE: Duration = Duration::from_secs(3);

/// Length of the intervals over which peak rates are computed.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout, after the count of requests, for all restarted nodes to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Measures fleets of one or all sizes in all cases and prints the figures.
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
    // Restarts every `stride`-th node. With a stride of 2 these are in 6 of the 12 failure domains.
    let stride = group.nodes.len() / restarted;
    let nodes: Vec<usize> = (0..restarted).map(|position| position * stride).collect();
    for index in &nodes {
        group.nodes.kill(*index)?;
    }
    set_down(group, is_down);
    let before = group.platform.counts();
    let started = Instant::now();
    for index in &nodes {
        group.nodes.start(*index)?;
    }
    let intervals = count_intervals(group, before, is_down).await;
    let times = group.wait_for_contract(&nodes, 0, READY_TIMEOUT).await?;
    // The nodes are first checked after the counting window, so a shorter time is reported as the length of
    // the window; the times since that check are not used.
    let _ = times;
    report_case(group, before, &intervals, case);
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

/// Requests of all nodes in one interval.
struct IntervalCount {
    reads: u64,
    writes: u64,
    failed: u64,
}

async fn count_intervals(
    group: &NodeGroup,
    before: RequestCounts,
    is_down: bool,
) -> Vec<IntervalCount> {
    let started = Instant::now();
    let mut intervals = Vec::new();
    let mut last = before;
    let mut outage = is_down;
    while started.elapsed() < COUNT_TIME {
        sleep(COUNT_INTERVAL).await;
        if outage && started.elapsed() >= OUTAGE {
            set_down(group, false);
            outage = false;
        }
        let now = group.platform.counts();
        let previous = mem::replace(&mut last, now);
        intervals.push(IntervalCount {
            reads: reads_of(&now) - reads_of(&previous),
            writes: writes_of(&now) - writes_of(&previous),
            failed: now.faulted - previous.faulted,
        });
    }
    intervals
}

fn reads_of(counts: &RequestCounts) -> u64 {
    counts.table_reads + counts.object_reads
}

fn writes_of(counts: &RequestCounts) -> u64 {
    counts.table_writes + counts.object_writes
}

fn report_case(group: &NodeGroup, before: RequestCounts, intervals: &[IntervalCount], case: &str) {
    let per_second = 1.0 / COUNT_INTERVAL.as_secs_f64();
    let peak = |value: fn(&IntervalCount) -> u64| {
        intervals.iter().map(value).max().unwrap_or_default() as f64 * per_second
    };
    let after = group.platform.counts();
    let total = |value: fn(&RequestCounts) -> u64| (value(&after) - value(&before)) as f64;
    show(
        "peak reads in 100 ms",
        peak(|interval| interval.reads),
        "1/s",
        case,
        group,
    );
    show(
        "peak writes in 100 ms",
        peak(|interval| interval.writes),
        "1/s",
        case,
        group,
    );
    show(
        "peak failed requests in 100 ms",
        peak(|interval| interval.failed),
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
