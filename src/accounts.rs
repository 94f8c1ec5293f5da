//! Client accounts: which account holds a key, and whether a node may accept keys at all.
//!
//! The decisions are free of I/O and clocks; `mesh::entry` gathers what they need and acts on them.

pub mod key_index;
pub mod key_trust;
