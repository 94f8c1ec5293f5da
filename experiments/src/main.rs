//! Runs one experiment and prints a JSON object a line.

mod control;
mod convergence;
mod figure;
mod latency;
mod limits;
mod moves;
mod node_group;
mod overload;
mod process_stat;
#[allow(dead_code, reason = "the tests use other parts of the driver")]
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
        Some(("control", arguments)) => return finish(control::run(nodes_of(arguments))),
        Some(("services", _)) => return finish(control::run_services()),
        Some(("convergence", arguments)) => return finish(convergence::run(nodes_of(arguments))),
        Some(("latency", _)) => return finish(latency::run()),
        Some(("storm", arguments)) => return finish(storm::run(nodes_of(arguments))),
        Some(("limits", _)) => limits::run(),
        Some(("overload", _)) => overload::run(),
        Some(("moves", arguments)) => moves::run(is_tuning(arguments)),
        Some(("spread", arguments)) => spread::run(seed_of(arguments)),
        _ => unreachable!("clap requires a known experiment"),
    }
    ExitCode::SUCCESS
}

fn finish(result: Result<(), GroupError>) -> ExitCode {
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
        .help("Uses the tuning seeds and adds variants of the parameters")
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
        .about("Runs one experiment and prints a JSON object a line")
        .subcommand_required(true)
        .subcommand(
            Command::new("control")
                .about("Control bytes, processor time and memory of node processes")
                .arg(nodes.clone()),
        )
        .subcommand(
            Command::new("services")
                .about("The same as `control`, over the number of services in the configuration"),
        )
        .subcommand(
            Command::new("convergence")
                .about("Time from acceptance until in force on all node processes")
                .arg(nodes.clone()),
        )
        .subcommand(Command::new("latency").about("What node processes add to a call"))
        .subcommand(
            Command::new("storm")
                .about("Requests to the store when node processes come back at once")
                .arg(nodes),
        )
        .subcommand(Command::new("limits").about("Overshoot and unfair refusals of divided limits"))
        .subcommand(
            Command::new("overload")
                .about("Recovery of a chain of services from an overload, by retry rule"),
        )
        .subcommand(
            Command::new("moves")
                .about("Moves between versions against simpler ways")
                .arg(tuning),
        )
        .subcommand(
            Command::new("spread")
                .about("Spread of a configuration version in simulated time")
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
