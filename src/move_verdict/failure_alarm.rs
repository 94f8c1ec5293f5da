//! Alarm on a sudden rise of the candidate's failure rate, whatever its cause (a CUSUM test).

/// Lower bound of the baseline failure rate.
const MIN_BASELINE_RATE: f64 = 0.01;

/// Upper bound of the baseline failure rate.
const MAX_BASELINE_RATE: f64 = 0.2;

/// Baseline failure rate as a multiple of the long-term rate.
const BASELINE_FACTOR: f64 = 2.0;

/// Elevated failure rate, which the alarm detects, as a multiple of the baseline rate.
const ELEVATED_FACTOR: f64 = 4.0;

/// Lower bound of the elevated failure rate.
const MIN_ELEVATED_RATE: f64 = 0.15;

/// Statistic from which the alarm is raised, in nats: a likelihood ratio of 100.
const ALARM_STATISTIC: f64 = 4.6;

/// Statistic at or below which the alarm is cleared, in nats.
const CLEAR_STATISTIC: f64 = 0.5;

/// Upper bound of the statistic in nats, so that an alarm is cleared soon after its cause ends.
const MAX_STATISTIC: f64 = 8.0;

/// Factor by which earlier calls lose weight in the long-term rate at each tick: a memory of about 100 ticks.
const RATE_DECAY: f64 = 0.99;

/// Cumulative sum of the evidence that the candidate's failure rate has risen from its baseline.
///
/// The alarm needs no calls of the stable version, which are few after the takeover. It does not separate a fault
/// of the candidate from one of both versions, so it only lowers the candidate's share until the comparison of
/// the versions has decided.
#[derive(Clone, Debug, Default)]
pub struct FailureAlarm {
    /// Calls, weighted by age; calls during an alarm are left out.
    calls: f64,
    /// Failures among `calls`, weighted in the same way.
    failures: f64,
    statistic: f64,
    raised: bool,
}

impl FailureAlarm {
    /// Adds the candidate's calls of one tick.
    pub fn add(&mut self, calls: u64, failures: u64) {
        let (calls, failures) = (calls as f64, failures.min(calls) as f64);
        let baseline = (BASELINE_FACTOR * self.failures / self.calls.max(1.0))
            .clamp(MIN_BASELINE_RATE, MAX_BASELINE_RATE);
        let elevated = (ELEVATED_FACTOR * baseline).max(MIN_ELEVATED_RATE);
        let gain = failures * (elevated / baseline).ln()
            + (calls - failures) * ((1.0 - elevated) / (1.0 - baseline)).ln();
        self.statistic = (self.statistic + gain).clamp(0.0, MAX_STATISTIC);
        if self.statistic >= ALARM_STATISTIC {
            self.raised = true;
        } else if self.statistic <= CLEAR_STATISTIC {
            self.raised = false;
        }
        if !self.raised {
            self.calls = self.calls * RATE_DECAY + calls;
            self.failures = self.failures * RATE_DECAY + failures;
        }
    }

    /// Returns whether the alarm is raised: the failure rate has risen and the alarm was not cleared since.
    pub fn is_raised(&self) -> bool {
        self.raised
    }
}
