//! Runs one experiment and prints a JSON object a line.

mod figure;

use {
    clap::{Arg, Command},
    figure::{MeasuredFigure, print_figure},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let experiment = matches
        .get_one::<String>("experiment")
        .expect("clap requires it");
    print_figure(&MeasuredFigure {
        experiment: experiment.clone(),
        figure: "available".to_owned(),
        value: 0.0,
        unit: "count".to_owned(),
        baseline: "poplarwing".to_owned(),
        seed: 0,
        size: 0,
    });
    ExitCode::SUCCESS
}

fn command() -> Command {
    let experiment = Arg::new("experiment").required(true).value_parser(["none"]);
    Command::new("measure")
        .about("Runs one experiment")
        .arg(experiment)
}
