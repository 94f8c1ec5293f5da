//! Runs one experiment and prints a JSON object a line.

mod figure;
#[allow(dead_code, reason = "the tests use other parts of the driver")]
mod simulated_net;
mod spread;

use {
    clap::{Arg, Command, value_parser},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let seed = *matches.get_one::<u64>("seed").expect("clap has a default");
    match matches.get_one::<String>("experiment").map(String::as_str) {
        Some("spread") => spread::run(seed),
        other => unreachable!("clap admits no experiment {other:?}"),
    }
    ExitCode::SUCCESS
}

fn command() -> Command {
    let experiment = Arg::new("experiment")
        .required(true)
        .value_parser(["spread"]);
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1");
    Command::new("measure")
        .about("Runs one experiment")
        .arg(experiment)
        .arg(seed)
}
