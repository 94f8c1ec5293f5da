//! Runs one experiment and prints a JSON object a line.

mod figure;
mod limits;
mod moves;
#[allow(dead_code, reason = "the tests use other parts of the driver")]
mod simulated_net;
mod spread;

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("limits", _)) => limits::run(),
        Some(("moves", arguments)) => moves::run(is_tuning(arguments)),
        Some(("spread", arguments)) => spread::run(seed_of(arguments)),
        _ => unreachable!("clap requires a known experiment"),
    }
    ExitCode::SUCCESS
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
    Command::new("measure")
        .about("Runs one experiment and prints a JSON object a line")
        .subcommand_required(true)
        .subcommand(Command::new("limits").about("Overshoot and unfair refusals of divided limits"))
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
