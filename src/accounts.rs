//! Client accounts: which account holds a key, whether a node may accept keys at all, and how many calls an account may
//! make over the whole fleet.
//!
//! The decisions are free of I/O and clocks; `mesh` gathers what they need and acts on them.

pub mod cap_delegation;
pub mod cap_fleet;
pub mod cap_keeper;
pub mod cap_machine;
pub mod cap_stock;
pub mod cap_terms;
pub mod keeper_contact;
pub mod key_index;
pub mod key_trust;
pub mod usage_bucket;
