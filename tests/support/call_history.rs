//! Checks of recorded calls against the runs that targets recorded.

#![allow(dead_code, reason = "each test file uses a part of the checks")]

use {
    poplarwing_standins::{
        caller::CallRecord,
        target::record::{CallRun, CallStage},
    },
    std::collections::HashMap,
};

/// Outcome header of a call that no target ran.
const NOT_RUN: &str = "not-run";

/// Error of a call that the caller gave up by its own patience, far above every deadline.
const ENDLESS: &str = "the caller stopped waiting";

/// Statuses below this one and from 200 on are successes.
const FIRST_REDIRECT: u16 = 300;

/// How often calls of one id were sent, refused and run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallTally {
    /// Calls sent.
    pub sent: usize,
    /// Calls answered with the outcome `not-run`.
    pub refused: usize,
    /// Whole successful answers of a target.
    pub succeeded: usize,
    /// Runs at all targets together.
    pub runs: usize,
    /// Runs whose whole answer was handed to the connection.
    pub answered_runs: usize,
}

/// Returns whether a call has a whole successful answer that a target gave.
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

/// Counts calls and runs by id; shed runs do not count, because the target did nothing.
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

/// Returns the ids that ran more than once (I7), for calls that may not be repeated.
pub fn repeated_runs(records: &[CallRecord], runs: &[CallRun]) -> Vec<String> {
    faulty_ids(records, runs, |tally| tally.runs > 1)
}

/// Returns the ids of which a refusal "not run" was untrue (I6), for calls that may not be repeated.
///
/// Each call that was not refused may account for one run.
pub fn untrue_refusals(records: &[CallRecord], runs: &[CallRun]) -> Vec<String> {
    faulty_ids(records, runs, |tally| {
        tally.runs > tally.sent - tally.refused
    })
}

/// Returns the ids that ran although every call was refused as "not run" (I6), for any calls.
pub fn refused_and_run(records: &[CallRecord], runs: &[CallRun]) -> Vec<String> {
    faulty_ids(records, runs, |tally| {
        tally.runs > 0 && tally.refused == tally.sent
    })
}

/// Returns the ids with a successful answer that is another call's, or that no target gave whole (I5).
pub fn foreign_answers(records: &[CallRecord], runs: &[CallRun]) -> Vec<String> {
    let mut ids = faulty_ids(records, runs, |tally| {
        tally.succeeded > 0 && tally.answered_runs == 0
    });
    let crossed = records
        .iter()
        .filter(|record| is_success(record) && !record.own_answer);
    ids.extend(crossed.map(|record| record.id.clone()));
    ids
}

/// Returns the ids of calls that neither ended nor broke while the caller waited (I5).
pub fn endless_calls(records: &[CallRecord]) -> Vec<String> {
    let endless = records
        .iter()
        .filter(|record| record.error.as_deref() == Some(ENDLESS));
    endless.map(|record| record.id.clone()).collect()
}

/// Returns the ids of calls that were cut off (I9): reached a node and got neither a whole answer nor the
/// refusal "not run".
pub fn cut_calls(records: &[CallRecord]) -> Vec<String> {
    let cut = records.iter().filter(|record| {
        let unreached = record
            .error
            .as_deref()
            .is_some_and(|cause| cause.contains("ConnectError"));
        !(is_success(record) || is_refusal(record) || unreached)
    });
    cut.map(|record| format!("{record:?}")).collect()
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

/// Fails unless calls that may not be repeated kept I5, I6 and I7.
pub fn assert_once_only(records: &[CallRecord], runs: &[CallRun]) {
    assert_eq!(endless_calls(records), Vec::<String>::new());
    assert_eq!(repeated_runs(records, runs), Vec::<String>::new());
    assert_eq!(untrue_refusals(records, runs), Vec::<String>::new());
    assert_eq!(foreign_answers(records, runs), Vec::<String>::new());
}

/// Fails unless calls that may be repeated kept I5 and I6.
pub fn assert_truthful(records: &[CallRecord], runs: &[CallRun]) {
    assert_eq!(endless_calls(records), Vec::<String>::new());
    assert_eq!(refused_and_run(records, runs), Vec::<String>::new());
    assert_eq!(foreign_answers(records, runs), Vec::<String>::new());
}

/// Returns the number of calls with a successful whole answer.
pub fn count_successes(records: &[CallRecord]) -> usize {
    records.iter().filter(|record| is_success(record)).count()
}

/// Returns the number of calls refused as "not run".
pub fn count_refusals(records: &[CallRecord]) -> usize {
    records.iter().filter(|record| is_refusal(record)).count()
}
