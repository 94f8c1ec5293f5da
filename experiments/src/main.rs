//! Runs one experiment and prints a JSON object a line.

mod figure;
mod limits;

use {
    clap::{Arg, Command},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let experiment = matches
        .get_one::<String>("experiment")
        .expect("clap requires it");
    match experiment.as_str() {
        "limits" => limits::run(),
        other => unreachable!("clap admits no experiment named {other}"),
    }
    ExitCode::SUCCESS
}

fn command() -> Command {
    let experiment = Arg::new("experiment")
        .required(true)
        .value_parser(["limits"]);
    Command::new("measure")
        .about("Runs one experiment")
        .arg(experiment)
}
