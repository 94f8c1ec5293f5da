//! Drives moves between versions: pulls evidence, tests it, and takes the planned step.

pub mod plan;
pub mod schedule;
