//! Client accounts: decisions about their calls, free of I/O and clocks.

pub mod cap_delegation;
pub mod cap_fleet;
pub mod cap_keeper;
pub mod cap_machine;
pub mod cap_stock;
pub mod cap_terms;
pub mod keeper_contact;
pub mod usage_bucket;
