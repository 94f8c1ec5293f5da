//! Likelihood-ratio tests of the odds ratio of bad calls between two versions.
//!
//! The tests are conditional: they take the total number of bad calls in an interval as given and ask only how
//! the bad calls are divided between the versions.

use super::BadCount;

/// Ticks over which the prior probability of a later change is spread: 20 minutes at one tick a second.
const CHANGE_HORIZON_TICKS: f64 = 1200.0;

/// Prior probability that a bad candidate is bad from its first call on, not from a later change.
const PRIOR_FROM_START: f64 = 0.5;

/// Calls and bad calls of both versions over the same interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeTable {
    /// Calls of the candidate.
    pub candidate: BadCount,
    /// Calls of the stable version.
    pub stable: BadCount,
}

impl OutcomeTable {
    /// Returns the natural logarithm of the likelihood ratio of the odds ratio `odds` against an odds ratio of 1.
    ///
    /// The number of bad calls over both versions is taken as given, so a fault common to both versions
    /// carries no evidence (Fisher's noncentral hypergeometric distribution).
    pub fn ln_likelihood_ratio(&self, odds: f64) -> f64 {
        let bad = self.candidate.bad + self.stable.bad;
        let min_bad = bad.saturating_sub(self.stable.calls);
        let max_bad = bad.min(self.candidate.calls);
        if min_bad >= max_bad {
            return 0.0;
        }
        let (equal, tilted) = self.ln_normalizers(min_bad, max_bad, odds.ln());
        (self.candidate.bad - min_bad) as f64 * odds.ln() + equal - tilted
    }

    /// Returns the logarithms of the normalizing constants for equal odds and for the odds ratio `exp(ln_odds)`,
    /// both relative to the term of `min_bad` bad candidate calls.
    fn ln_normalizers(&self, min_bad: u64, max_bad: u64, ln_odds: f64) -> (f64, f64) {
        let bad = self.candidate.bad + self.stable.bad;
        let mut ln_term = 0.0;
        let mut equal = LogSum::default();
        let mut tilted = LogSum::default();
        for count in min_bad..=max_bad {
            equal.add(ln_term);
            tilted.add(ln_term + (count - min_bad) as f64 * ln_odds);
            if count == max_bad {
                break;
            }
            let numerator = ((self.candidate.calls - count) * (bad - count)) as f64;
            let denominator = ((count + 1) * (self.stable.calls + count + 1 - bad)) as f64;
            ln_term += (numerator / denominator).ln();
        }
        (equal.value(), tilted.value())
    }
}

/// Sum of exponentials, stored relative to the largest exponent so that it neither overflows nor underflows.
#[derive(Clone, Copy, Debug)]
struct LogSum {
    max_exponent: f64,
    scaled_sum: f64,
}

impl Default for LogSum {
    fn default() -> Self {
        Self {
            max_exponent: f64::NEG_INFINITY,
            scaled_sum: 0.0,
        }
    }
}

impl LogSum {
    fn add(&mut self, exponent: f64) {
        if exponent > self.max_exponent {
            self.scaled_sum = self.scaled_sum * (self.max_exponent - exponent).exp() + 1.0;
            self.max_exponent = exponent;
        } else if exponent > f64::NEG_INFINITY {
            self.scaled_sum += (exponent - self.max_exponent).exp();
        }
    }

    fn value(&self) -> f64 {
        self.max_exponent + self.scaled_sum.ln()
    }
}

/// Returns the logarithm of the mean of the exponentials of `exponents`.
pub fn ln_mean_exp(exponents: &[f64]) -> f64 {
    let mut sum = LogSum::default();
    for exponent in exponents {
        sum.add(*exponent);
    }
    sum.value() - (exponents.len().max(1) as f64).ln()
}

/// Test for a candidate that is, or becomes, worse than the stable version.
///
/// The statistic is a mixture of likelihood ratios against equal odds, over several odds ratios and over the
/// tick at which the candidate becomes worse.
///
/// Invariant: if the versions are equal, the exponential of the statistic is a nonnegative supermartingale with
/// a total prior of 1, so it ever exceeds `1 / a` with a probability of at most `a`.
#[derive(Clone, Debug)]
pub struct ChangeTest {
    odds: Vec<f64>,
    /// Logarithm of the evidence for each odds ratio of `odds`.
    ln_evidence: Vec<f64>,
    /// Prior probability of changes that begin in a later tick.
    remaining_prior: f64,
    candidate: BadCount,
    stable: BadCount,
}

impl ChangeTest {
    /// Returns a test that is sensitive to these odds ratios.
    pub fn new(odds: &[f64]) -> Self {
        Self {
            odds: odds.to_vec(),
            ln_evidence: vec![PRIOR_FROM_START.ln(); odds.len()],
            remaining_prior: 1.0 - PRIOR_FROM_START,
            candidate: BadCount::default(),
            stable: BadCount::default(),
        }
    }

    /// Adds the tables of strata that ended in the same tick, `ticks` ticks after the previous ones.
    ///
    /// Together they raise the evidence for each odds ratio by at most `max_gain` nats.
    pub fn advance(&mut self, tables: &[OutcomeTable], max_gain: f64, ticks: u32) {
        let prior = self.take_prior(ticks);
        for (ln_evidence, odds) in self.ln_evidence.iter_mut().zip(&self.odds) {
            let gain: f64 = tables
                .iter()
                .map(|table| table.ln_likelihood_ratio(*odds))
                .sum();
            *ln_evidence = ln_add(*ln_evidence, prior.ln()) + gain.min(max_gain);
        }
        self.count(tables);
    }

    /// Returns the natural logarithm of the e-value against equality of the versions.
    pub fn statistic(&self) -> f64 {
        ln_mean_exp(&self.ln_evidence)
    }

    /// Returns the candidate's calls since the statistic was last at or below its initial value.
    pub fn candidate(&self) -> BadCount {
        self.candidate
    }

    /// Returns the stable version's calls over the same intervals.
    pub fn stable(&self) -> BadCount {
        self.stable
    }

    fn take_prior(&mut self, ticks: u32) -> f64 {
        let share = (1.0 - PRIOR_FROM_START) * f64::from(ticks) / CHANGE_HORIZON_TICKS;
        let prior = share.min(self.remaining_prior);
        self.remaining_prior -= prior;
        prior
    }

    fn count(&mut self, tables: &[OutcomeTable]) {
        if self.statistic() <= PRIOR_FROM_START.ln() {
            self.candidate = BadCount::default();
            self.stable = BadCount::default();
        }
        for table in tables {
            add_count(&mut self.candidate, table.candidate);
            add_count(&mut self.stable, table.stable);
        }
    }
}

fn ln_add(first: f64, second: f64) -> f64 {
    let mut sum = LogSum::default();
    sum.add(first);
    sum.add(second);
    sum.value()
}

fn add_count(total: &mut BadCount, count: BadCount) {
    total.calls += count.calls;
    total.bad += count.bad;
}

/// Ticks whose calls form one table of the acceptance test.
///
/// Intervals without any bad call carry no evidence; longer intervals contain bad calls of the stable version
/// even at low call rates.
const ACCEPT_TICKS: u32 = 10;

/// Test for a candidate that is good enough on one route: likelihood ratio of equal odds against `margin_odds`.
///
/// Invariant: for every odds ratio at or above `margin_odds`, the exponential of the statistic is a
/// nonnegative supermartingale, because the likelihood ratio falls with each bad call of the candidate.
#[derive(Clone, Debug)]
pub struct AcceptTest {
    margin_odds: f64,
    ln_evidence: f64,
    /// Calls that are not in `ln_evidence` yet.
    pending: OutcomeTable,
    pending_ticks: u32,
    /// All calls added, for the report of the evidence.
    counted: OutcomeTable,
}

impl AcceptTest {
    /// Returns a test of equal odds against the odds ratio `margin_odds`.
    pub fn new(margin_odds: f64) -> Self {
        Self {
            margin_odds,
            ln_evidence: 0.0,
            pending: OutcomeTable::default(),
            pending_ticks: 0,
            counted: OutcomeTable::default(),
        }
    }

    /// Adds the calls of `ticks` ticks, or only the ticks if there is no table.
    pub fn advance(&mut self, table: Option<OutcomeTable>, ticks: u32) {
        if let Some(table) = table {
            add_table(&mut self.pending, table);
            add_table(&mut self.counted, table);
        }
        self.pending_ticks += ticks;
        if self.pending_ticks >= ACCEPT_TICKS {
            self.ln_evidence -= self.pending.ln_likelihood_ratio(self.margin_odds);
            self.pending = OutcomeTable::default();
            self.pending_ticks = 0;
        }
    }

    /// Returns the natural logarithm of the e-value for the candidate.
    pub fn statistic(&self) -> f64 {
        self.ln_evidence
    }

    /// Returns all calls added so far.
    pub fn counted(&self) -> OutcomeTable {
        self.counted
    }
}

/// Adds the calls of one table to another.
pub fn add_table(total: &mut OutcomeTable, table: OutcomeTable) {
    add_count(&mut total.candidate, table.candidate);
    add_count(&mut total.stable, table.stable);
}
