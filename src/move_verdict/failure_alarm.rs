//! Alarm on a sudden rise of the candidate's failures, before their cause is known.

/// Lowest failure rate that counts as usual.
const MIN_USUAL_RATE: f64 = 0.01;

/// Highest failure rate that counts as usual.
const MAX_USUAL_RATE: f64 = 0.2;

/// Factor of the long-term failure rate that still counts as usual.
const USUAL_FACTOR: f64 = 2.0;

/// Factor of the usual rate, and least rate, of the rise that the alarm looks for.
const RISE_FACTOR: f64 = 4.0;

/// Least failure rate of the rise that the alarm looks for.
const MIN_RISEN_RATE: f64 = 0.15;

/// Statistic that raises the alarm: a likelihood ratio of 100.
const ALARM_STATISTIC: f64 = 4.6;

/// Statistic below which the alarm ends.
const QUIET_STATISTIC: f64 = 0.5;

/// Largest value of the statistic, so that an alarm ends soon after its cause.
const MAX_STATISTIC: f64 = 8.0;

/// Weight that earlier calls keep with each tick in the long-term rate: a memory of about 100 ticks.
const RATE_DECAY: f64 = 0.99;

/// Cumulative sum of the evidence that the candidate's failure rate has risen.
///
/// The alarm needs no stable calls, which are few after the takeover. It says nothing about the cause, so it
/// only lowers the share until the comparison of the versions has decided.
#[derive(Clone, Debug, Default)]
pub struct FailureAlarm {
    calls: f64,
    failures: f64,
    statistic: f64,
    raised: bool,
}

impl FailureAlarm {
    /// Adds the candidate's calls of one tick.
    pub fn add(&mut self, calls: u64, failures: u64) {
        let (calls, failures) = (calls as f64, failures.min(calls) as f64);
        let usual = (USUAL_FACTOR * self.failures / self.calls.max(1.0))
            .clamp(MIN_USUAL_RATE, MAX_USUAL_RATE);
        let risen = (RISE_FACTOR * usual).max(MIN_RISEN_RATE);
        let gain = failures * (risen / usual).ln()
            + (calls - failures) * ((1.0 - risen) / (1.0 - usual)).ln();
        self.statistic = (self.statistic + gain).clamp(0.0, MAX_STATISTIC);
        if self.statistic >= ALARM_STATISTIC {
            self.raised = true;
        } else if self.statistic <= QUIET_STATISTIC {
            self.raised = false;
        }
        if !self.raised {
            self.calls = self.calls * RATE_DECAY + calls;
            self.failures = self.failures * RATE_DECAY + failures;
        }
    }

    /// Returns whether the failure rate has risen.
    pub fn is_raised(&self) -> bool {
        self.raised
    }
}
