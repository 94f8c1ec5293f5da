//! Processor time and memory of a process, from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc/PID/stat`; fixed at 100 in the kernel's interface to processes.
const TICKS_PER_SECOND: f64 = 100.0;

/// Index of the user time among the fields after the program name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;

/// Index of the system time among the fields after the program name.
const SYSTEM_TIME_FIELD: usize = 12;

/// Returns the processor time that a process has used, in seconds; none if it does not run.
pub fn processor_seconds(process: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let user: f64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in MiB; none if it does not run.
pub fn resident_megabytes(process: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1024.0)
}
