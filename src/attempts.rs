//! Decisions about the attempts of one call, free of I/O and clocks: which further attempt may be sent, what the
//! earlier ones mean for it, and when one counts as slow.

pub mod attempt_ledger;
pub mod hedge_delay;
