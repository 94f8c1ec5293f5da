//! Decisions about how much work a target gets. The modules are free of I/O and clocks: the caller passes the time.

pub mod target_speed;
pub mod warmup_pace;
