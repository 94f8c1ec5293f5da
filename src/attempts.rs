//! Decisions about the attempts of one call, free of I/O and clocks: which further attempt may be sent, and what the
//! earlier ones mean for it.

pub mod attempt_ledger;
