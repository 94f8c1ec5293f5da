//! One measured figure, printed as a JSON line.

use serde::Serialize;

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuredFigure {
    /// Experiment that measured it.
    pub experiment: String,
    /// What was measured.
    pub figure: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
    /// The way that was measured: `poplarwing` or the name of a baseline.
    pub baseline: String,
    /// Seed of the run.
    pub seed: u64,
    /// Size of the run, for example the number of nodes.
    pub size: u64,
}

/// Prints a figure to standard output.
pub fn print_figure(figure: &MeasuredFigure) {
    let line = serde_json::to_string(figure).expect("a figure has only plain fields");
    println!("{line}");
}
