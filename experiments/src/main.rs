//! Runs one experiment and prints its figures, one JSON object per line.

mod control;
mod convergence;
mod figure;
mod latency;
mod limits;
mod moves;
mod node_group;
mod overload;
mod process_stat;
#[allow(
    dead_code,
    reason = "some functions of the simulation are used only by tests/gossip_*.rs"
)]
mod simulated_net;
mod spread;
mod storm;

use {
    crate::node_group::GroupError,
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("control", arguments)) => return exit_code(control::run(nodes_of(arguments))),
        Some(("services", _)) => return exit_code(control::run_services()),
        Some(("convergence", arguments)) => {
            return exit_code(convergence::run(nodes_of(arguments)));
        }
        Some(("latency", _)) => return exit_code(latency::run()),
        Some(("storm", arguments)) => return exit_code(storm::run(nodes_of(arguments))),
        Some(("limits", _)) => limits::run(),
        Some(("overload", _)) => overload::run(),
        Some(("moves", arguments)) => moves::run(is_tuning(arguments)),
        Some(("spread", arguments)) => spread::run(seed_of(arguments)),
        _ => unreachable!("clap requires a known experiment"),
    }
    ExitCode::SUCCESS
}

fn exit_code(result: Result<(), GroupError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let tuning = Arg::new("tuning")
        .long("tuning")
        .help("Uses the seeds for choosing parameters and adds variants of the parameters")
        .action(ArgAction::SetTrue);
    let seed = Arg::new("seed")
        .long("seed")
        .help("Seed of the run")
        .value_parser(value_parser!(u64))
        .default_value("1");
    let nodes = Arg::new("nodes")
        .long("nodes")
        .help("Runs only this number of node processes")
        .value_parser(value_parser!(u64).range(12..=200));
    Command::new("measure")
        .about("Runs one experiment and prints its figures, one JSON object per line")
        .subcommand_required(true)
        .subcommand(
            Command::new("control")
                .about("Control traffic, processor time and memory of node processes")
                .arg(nodes.clone()),
        )
        .subcommand(
            Command::new("services")
                .about("Control traffic, processor time and memory by number of services"),
        )
        .subcommand(
            Command::new("convergence")
                .about("Time until a contract change is active on all node processes")
                .arg(nodes.clone()),
        )
        .subcommand(
            Command::new("latency").about("Latency and processor time that nodes add to a call"),
        )
        .subcommand(
            Command::new("storm")
                .about("Requests to the platform when many node processes restart at once")
                .arg(nodes),
        )
        .subcommand(
            Command::new("limits").about("Overshoot and unfair refusals of a divided rate limit"),
        )
        .subcommand(
            Command::new("overload")
                .about("Recovery of a chain of services from an overload, by retry policy"),
        )
        .subcommand(
            Command::new("moves")
                .about("Rollouts of versions compared with simpler rollout methods")
                .arg(tuning),
        )
        .subcommand(
            Command::new("spread")
                .about("Time and bytes to spread a configuration version, in simulated time")
                .arg(seed),
        )
}

fn is_tuning(arguments: &ArgMatches) -> bool {
    arguments.get_flag("tuning")
}

fn seed_of(arguments: &ArgMatches) -> u64 {
    *arguments.get_one("seed").expect("clap has a default")
}

fn nodes_of(arguments: &ArgMatches) -> Option<usize> {
    let nodes: Option<&u64> = arguments.get_one("nodes");
    nodes.map(|nodes| *nodes as usize)
}
