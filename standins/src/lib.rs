//! Stand-ins.

pub mod caller;
pub mod target;
