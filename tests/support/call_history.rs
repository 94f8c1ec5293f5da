//! Checks of the calls that callers recorded against the runs that targets recorded.
//!
//! I5 to I9 are the numbers of the guarantees that the checks belong to.

#![allow(dead_code, reason = "each test file uses a part of the checks")]

use {
    poplarwing_standins::{
        caller::CallRecord,
        target::record::{CallRun, CallStage},
    },
    std::collections::HashMap,
};

/// Value of the outcome header of a call that no target ran.
const NOT_RUN: &str = "not-run";

/// Error recorded for a call that reached the caller's own timeout, which is far above every deadline.
const CALLER_TIMEOUT_ERROR: &str = "the caller stopped waiting";

/// The statuses from 200 up to, but not including, this one are successes.
const FIRST_REDIRECT: u16 = 300;

/// Number of times that the call with one id was sent, refused and run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallTally {
    /// Calls sent.
    pub sent: usize,
    /// Calls answered with the outcome `not-run`.
    pub refused: usize,
    /// Complete successful responses of a target.
    pub succeeded: usize,
    /// Runs at all targets together.
    pub runs: usize,
    /// Runs whose complete response was written to the connection.
    pub answered_runs: usize,
}

/// Returns whether a call got a complete successful response from a target.
pub fn is_success(record: &CallRecord) -> bool {
    let succeeded = record
        .status
        .is_some_and(|status| (200..FIRST_REDIRECT).contains(&status));
    record.whole && succeeded && record.outcome.is_none()
}

/// Returns whether a call was refused with the claim that it was not run.
pub fn is_refusal(record: &CallRecord) -> bool {
    record.outcome.as_deref() == Some(NOT_RUN)
}

/// Counts calls and runs by id, without runs that the target shed, because it did no work for them.
pub fn tally_calls(records: &[CallRecord], runs: &[CallRun]) -> HashMap<String, CallTally> {
    let mut tallies: HashMap<String, CallTally> = HashMap::new();
    for record in records {
        let tally = tallies.entry(record.id.clone()).or_default();
        tally.sent += 1;
        tally.refused += usize::from(is_refusal(record));
        tally.succeeded += usize::from(is_success(record));
    }
    for run in runs.iter().filter(|run| run.stage != CallStage::Shed) {
        let tally = tallies.entry(run.call.clone()).or_default();
        tally.runs += 1;
        tally.answered_runs += usize::from(run.stage == CallStage::Answered);
    }
    tallies
}

/// Returns the ids that ran more than once, which non-idempotent calls must not do (guarantee I7).
pub fn repeated_runs(records: &[CallRecord], runs: &[CallRun]) -> Vec<String> {
    faulty_ids(records, runs, |tally| tally.runs > 1)
}

/// Returns the ids of non-idempotent calls that ran although a refusal claimed "not run" (guarantee I6).
///
/// Each sent call that was not refused accounts for at most one run.
pub fn untrue_refusals(records: &[CallRecord], runs: &[CallRun]) -> Vec<String> {
    faulty_ids(records, runs, |tally| {
        tally.runs > tally.sent - tally.refused
    })
}

/// Returns the ids that ran although every call was refused as "not run" (guarantee I6); for idempotent calls too.
pub fn refused_and_run(records: &[CallRecord], runs: &[CallRun]) -> Vec<String> {
    faulty_ids(records, runs, |tally| {
        tally.runs > 0 && tally.refused == tally.sent
    })
}

/// Returns the ids with a successful response that belongs to another call, or that no target completed (guarantee I5).
pub fn foreign_answers(records: &[CallRecord], runs: &[CallRun]) -> Vec<String> {
    let mut ids = faulty_ids(records, runs, |tally| {
        tally.succeeded > 0 && tally.answered_runs == 0
    });
    let swapped = records
        .iter()
        .filter(|record| is_success(record) && !record.own_answer);
    ids.extend(swapped.map(|record| record.id.clone()));
    ids
}

/// Returns the ids of calls with neither a response nor an error within the caller's timeout (guarantee I5).
pub fn unfinished_calls(records: &[CallRecord]) -> Vec<String> {
    let unfinished = records
        .iter()
        .filter(|record| record.error.as_deref() == Some(CALLER_TIMEOUT_ERROR));
    unfinished.map(|record| record.id.clone()).collect()
}

/// Returns the records of interrupted calls, which reached a node but got neither a complete response nor the refusal
/// "not run" (guarantee I9).
pub fn interrupted_calls(records: &[CallRecord]) -> Vec<String> {
    let interrupted = records.iter().filter(|record| {
        let not_connected = record
            .error
            .as_deref()
            .is_some_and(|cause| cause.contains("ConnectError"));
        !(is_success(record) || is_refusal(record) || not_connected)
    });
    interrupted.map(|record| format!("{record:?}")).collect()
}

fn faulty_ids(
    records: &[CallRecord],
    runs: &[CallRun],
    is_faulty: impl Fn(&CallTally) -> bool,
) -> Vec<String> {
    let tallies = tally_calls(records, runs);
    let mut ids: Vec<String> = tallies
        .into_iter()
        .filter(|(_, tally)| is_faulty(tally))
        .map(|(id, tally)| format!("{id}: {tally:?}"))
        .collect();
    ids.sort_unstable();
    ids
}

/// Checks for non-idempotent calls that each ended, ran at most once, got its own response, and was refused as "not
/// run" only if it did not run (guarantees I5, I6, I7).
pub fn assert_run_at_most_once(records: &[CallRecord], runs: &[CallRun]) {
    assert_eq!(unfinished_calls(records), Vec::<String>::new());
    assert_eq!(repeated_runs(records, runs), Vec::<String>::new());
    assert_eq!(untrue_refusals(records, runs), Vec::<String>::new());
    assert_eq!(foreign_answers(records, runs), Vec::<String>::new());
}

/// Checks for idempotent calls that each ended, got its own response, and was refused as "not run" only if it did not
/// run (guarantees I5, I6).
pub fn assert_outcomes_match_runs(records: &[CallRecord], runs: &[CallRun]) {
    assert_eq!(unfinished_calls(records), Vec::<String>::new());
    assert_eq!(refused_and_run(records, runs), Vec::<String>::new());
    assert_eq!(foreign_answers(records, runs), Vec::<String>::new());
}

/// Returns the number of calls with a complete successful response.
pub fn count_successes(records: &[CallRecord]) -> usize {
    records.iter().filter(|record| is_success(record)).count()
}

/// Returns the number of calls refused as "not run".
pub fn count_refusals(records: &[CallRecord]) -> usize {
    records.iter().filter(|record| is_refusal(record)).count()
}
