//! One measured figure, printed as a JSON line.

use serde::Serialize;

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuredFigure {
    /// Name of the experiment.
    pub experiment: String,
    /// What was measured, with the conditions of the run.
    pub figure: String,
    /// Value in `unit`; an infinite one is printed as `null`.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
    /// Implementation that was measured: `poplarwing` or the name of a baseline.
    pub baseline: String,
    /// Seed of the run; 0 for runs with node processes.
    pub seed: u64,
    /// Size of the run, for example the number of nodes.
    pub size: u64,
}

/// Prints a figure to standard output.
pub fn print_figure(figure: &MeasuredFigure) {
    let line = serde_json::to_string(figure).expect("a figure has only plain fields");
    println!("{line}");
}
