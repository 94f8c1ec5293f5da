//! Time from the acceptance of a change until it is in force on all node processes.
//!
//! A node has a change in force when its call path knows the host that the change introduces. The
//! baseline without pushes is in `spread`, since no setting turns pushes off.

use {
    crate::node_group::{
        DOMAIN_COUNT, GroupError, NodeGroup, chosen_sizes, contract_text, report, run_experiment,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Numbers of node processes.
const SIZES: [usize; 4] = [12, 50, 100, 200];

/// Changes measured with all nodes running.
const CHANGES: u64 = 5;

/// Services in the contract.
const SERVICES: usize = 10;

/// Failure domain that is killed at the moment of the last change.
const LOST_DOMAIN: usize = 5;

/// Time within which a change must be in force everywhere; beyond the bound of 12 s.
const LIMIT: Duration = Duration::from_secs(30);

/// Time between two changes.
const PAUSE: Duration = Duration::from_millis(500);

/// Runs one or all sizes and prints the figures.
pub fn run(only: Option<usize>) -> Result<(), GroupError> {
    run_experiment(async {
        for size in chosen_sizes(&SIZES, only) {
            run_size(size).await?;
        }
        Ok(())
    })
}

async fn run_size(size: usize) -> Result<(), GroupError> {
    let mut group = NodeGroup::start(size, SERVICES).await?;
    let all = group.all();
    let mut lasts = Vec::new();
    for generation in 1..=CHANGES {
        sleep(PAUSE).await;
        let accepting = generation as usize % size;
        lasts.push(measure_change(&mut group, accepting, generation, &all, "all nodes").await?);
    }
    lasts.sort_by(f64::total_cmp);
    let show = |figure, value| report("convergence", figure, value, "s", "poplarwing", size);
    show(
        "last node, all nodes, median change",
        lasts[lasts.len() / 2],
    );
    show(
        "last node, all nodes, slowest change",
        lasts[lasts.len() - 1],
    );
    let (lost, live): (Vec<usize>, Vec<usize>) = all
        .into_iter()
        .partition(|index| index % DOMAIN_COUNT == LOST_DOMAIN);
    for index in lost {
        group.nodes.kill(index)?;
    }
    let last = measure_change(&mut group, 0, CHANGES + 1, &live, "domain lost").await?;
    show("last node, domain lost just before", last);
    Ok(())
}

/// Returns the time in seconds from the answer to the operator until the last node had the change.
async fn measure_change(
    group: &mut NodeGroup,
    accepting: usize,
    generation: u64,
    nodes: &[usize],
    case: &str,
) -> Result<f64, GroupError> {
    let accepted = group
        .apply(accepting, &contract_text(SERVICES, generation))
        .await?;
    let times = group.wait_host(nodes, generation, LIMIT).await?;
    let last = times.last().copied().unwrap_or_default().as_secs_f64();
    let median = times[times.len() / 2].as_secs_f64();
    let size = nodes.len();
    let label = |figure: &str| format!("{figure}, {case}, change {generation}");
    let show = |figure: &str, value| {
        report(
            "convergence",
            &label(figure),
            value,
            "s",
            "poplarwing",
            size,
        );
    };
    show("acceptance", accepted.as_secs_f64());
    show("median node after acceptance", median);
    show("last node after acceptance", last);
    Ok(last)
}
