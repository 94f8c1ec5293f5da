//! Runs one experiment and prints a JSON object a line.

mod figure;
mod limits;
mod moves;

use {
    clap::{Arg, ArgAction, ArgMatches, Command},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("limits", _)) => limits::run(),
        Some(("moves", arguments)) => moves::run(is_tuning(arguments)),
        _ => unreachable!("clap requires a known experiment"),
    }
    ExitCode::SUCCESS
}

fn command() -> Command {
    let tuning = Arg::new("tuning")
        .long("tuning")
        .help("Uses the tuning seeds and adds variants of the parameters")
        .action(ArgAction::SetTrue);
    Command::new("measure")
        .about("Runs one experiment and prints a JSON object a line")
        .subcommand_required(true)
        .subcommand(Command::new("limits").about("Overshoot and unfair refusals of divided limits"))
        .subcommand(
            Command::new("moves")
                .about("Moves between versions against simpler ways")
                .arg(tuning),
        )
}

fn is_tuning(arguments: &ArgMatches) -> bool {
    arguments.get_flag("tuning")
}
