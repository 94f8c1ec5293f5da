//! Calls of a move since the candidate's share was last changed.

use {
    crate::{
        ids::{NodeId, VersionName},
        move_verdict::counter_history::CounterDifference,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Failures of the candidate at one share from which it may count as failing.
const MIN_FAILURES: u64 = 5;

/// Failure rate of a failing candidate, as a multiple of that of the stable version.
const FAILURE_RATIO: f64 = 3.0;

/// Failure rate of a failing candidate beyond that multiple.
const FAILURE_MARGIN: f64 = 0.05;

/// Calls and failures among them.
#[derive(Clone, Copy, Debug, Default)]
struct CallCount {
    calls: u64,
    failures: u64,
}

/// Calls that have ended since the candidate's share was last changed, and those of the stable version before.
///
/// While the candidate receives all calls, there are none of the stable version to compare them with, so its failures
/// are compared with those of the stable version since the start of the move.
#[derive(Clone, Debug)]
pub struct StepCalls {
    candidate_version: VersionName,
    permille: u32,
    since: Instant,
    /// Calls of the candidate at the present share, by node.
    candidate: HashMap<NodeId, CallCount>,
    /// Calls of all versions at the present share.
    service_calls: u64,
    /// Calls of all versions since this node began to watch.
    all_calls: u64,
    /// Calls of other versions since this node began to watch.
    stable: CallCount,
}

impl StepCalls {
    /// Returns counts without calls for a candidate that receives none.
    pub fn new(candidate: &str, now: Instant) -> Self {
        Self {
            candidate_version: candidate.to_owned(),
            permille: 0,
            since: now,
            candidate: HashMap::new(),
            service_calls: 0,
            all_calls: 0,
            stable: CallCount::default(),
        }
    }

    /// Sets the candidate's share in per mille; returns whether it has changed, so that a new step begins.
    pub fn begin(&mut self, permille: u32, now: Instant) -> bool {
        if permille == self.permille {
            return false;
        }
        self.permille = permille;
        self.since = now;
        self.candidate.clear();
        self.service_calls = 0;
        true
    }

    /// Adds the calls that ended since the last collection of the counters.
    pub fn add(&mut self, differences: &[CounterDifference]) {
        for difference in differences {
            self.service_calls += difference.calls;
            self.all_calls += difference.calls;
            let count = match difference.version == self.candidate_version {
                true => self.candidate.entry(difference.node.clone()).or_default(),
                false => &mut self.stable,
            };
            count.calls += difference.calls;
            count.failures += difference.failures;
        }
    }

    /// Returns the calls of the candidate at the present share.
    pub fn candidate_calls(&self) -> u64 {
        self.candidate.values().map(|count| count.calls).sum()
    }

    /// Returns the calls of all versions at the present share.
    pub fn service_calls(&self) -> u64 {
        self.service_calls
    }

    /// Returns the calls of all versions since this node began to watch.
    pub fn all_calls(&self) -> u64 {
        self.all_calls
    }

    /// Returns the time since the share was changed.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns whether the candidate fails much more often than the stable version did. Failures of one target among
    /// several, for instance after a crash, do not show that the version is bad.
    pub fn is_failing(&self) -> bool {
        let calls = self.candidate_calls();
        let failures: u64 = self.candidate.values().map(|count| count.failures).sum();
        let targets = self.candidate.len();
        let failing = self.candidate.values().filter(|count| count.failures > 0);
        let failing = failing.count();
        let is_spread = failing * 2 >= targets && (failing >= 2 || targets == 1);
        let stable_rate = self.stable.failures as f64 / self.stable.calls.max(1) as f64;
        let allowed = FAILURE_RATIO * stable_rate + FAILURE_MARGIN;
        failures >= MIN_FAILURES && is_spread && failures as f64 > allowed * calls as f64
    }
}
