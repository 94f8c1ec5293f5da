//! Stand-ins for the platform (table service and object store), targets and callers, used by the tests and
//! the demo.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod caller;
pub mod fleet;
pub mod platform;
pub mod target;
