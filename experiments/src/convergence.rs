//! Time from the acceptance of a contract change until it is active on all node processes.
//!
//! A change is active on a node when the node routes calls to the host that the change introduces. The
//! baseline without pushes is in the experiment `spread`, since no setting of the nodes turns pushes off.

use {
    crate::node_group::{
        DOMAIN_COUNT, GroupError, NodeGroup, chosen_sizes, contract_text, report, run_experiment,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Numbers of node processes.
const SIZES: [usize; 4] = [12, 50, 100, 200];

/// Contract changes measured with all nodes running.
const CHANGES: u64 = 5;

/// Services in the contract.
const SERVICES: usize = 10;

/// Failure domain whose nodes are killed immediately before the last change.
const LOST_DOMAIN: usize = 5;

/// Timeout for a change to be active on all nodes; longer than the bound of 12 s, so that late nodes are
/// measured too.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Measures fleets of one or all sizes and prints the figures.
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
    let mut last_node_times = Vec::new();
    for generation in 1..=CHANGES {
        sleep(CHANGE_INTERVAL).await;
        let accepting = generation as usize % size;
        last_node_times
            .push(measure_change(&mut group, accepting, generation, &all, "all nodes").await?);
    }
    last_node_times.sort_by(f64::total_cmp);
    let show = |figure, value| report("convergence", figure, value, "s", "poplarwing", size);
    show(
        "last node, all nodes, median change",
        last_node_times[last_node_times.len() / 2],
    );
    show(
        "last node, all nodes, slowest change",
        last_node_times[last_node_times.len() - 1],
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

/// Applies a change through the node `accepting`; returns the seconds from its answer until the change was
/// active on the last node.
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
    let times = group
        .wait_for_contract(nodes, generation, CONVERGENCE_TIMEOUT)
        .await?;
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
