//! Conditional tests of the odds ratio of bad calls between two versions.

use super::BadCount;

/// Ticks over which the prior probability of a later change is spread: 20 minutes.
const CHANGE_HORIZON_TICKS: f64 = 1200.0;

/// Prior probability that a bad candidate is bad from its first call.
const PRIOR_AT_ONCE: f64 = 0.5;

/// Bad calls of both versions over the same interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeTable {
    /// Calls of the candidate.
    pub candidate: BadCount,
    /// Calls of the stable version.
    pub stable: BadCount,
}

impl OutcomeTable {
    /// Returns the log likelihood ratio of this odds ratio against equality.
    ///
    /// The number of bad calls over both versions is taken as given, so a fault common to both versions
    /// carries no evidence (Fisher's noncentral hypergeometric distribution).
    pub fn ln_ratio(&self, odds: f64) -> f64 {
        let bad = self.candidate.bad + self.stable.bad;
        let least = bad.saturating_sub(self.stable.calls);
        let most = bad.min(self.candidate.calls);
        if least >= most {
            return 0.0;
        }
        let (equal, tilted) = self.ln_norms(least, most, odds.ln());
        (self.candidate.bad - least) as f64 * odds.ln() + equal - tilted
    }

    /// Returns the logarithms of the norms for equal and for tilted odds, relative to the first term.
    fn ln_norms(&self, least: u64, most: u64, ln_odds: f64) -> (f64, f64) {
        let bad = self.candidate.bad + self.stable.bad;
        let mut ln_term = 0.0;
        let mut equal = LogSum::default();
        let mut tilted = LogSum::default();
        for count in least..=most {
            equal.add(ln_term);
            tilted.add(ln_term + (count - least) as f64 * ln_odds);
            if count == most {
                break;
            }
            let rising = ((self.candidate.calls - count) * (bad - count)) as f64;
            let falling = ((count + 1) * (self.stable.calls + count + 1 - bad)) as f64;
            ln_term += (rising / falling).ln();
        }
        (equal.value(), tilted.value())
    }
}

/// Sum of exponentials, kept as a logarithm.
#[derive(Clone, Copy, Debug)]
struct LogSum {
    largest: f64,
    scaled: f64,
}

impl Default for LogSum {
    fn default() -> Self {
        Self {
            largest: f64::NEG_INFINITY,
            scaled: 0.0,
        }
    }
}

impl LogSum {
    fn add(&mut self, exponent: f64) {
        if exponent > self.largest {
            self.scaled = self.scaled * (self.largest - exponent).exp() + 1.0;
            self.largest = exponent;
        } else if exponent > f64::NEG_INFINITY {
            self.scaled += (exponent - self.largest).exp();
        }
    }

    fn value(&self) -> f64 {
        self.largest + self.scaled.ln()
    }
}

/// Returns the logarithm of the mean of exponentials.
pub fn ln_mean_exp(exponents: &[f64]) -> f64 {
    let mut sum = LogSum::default();
    for exponent in exponents {
        sum.add(*exponent);
    }
    sum.value() - (exponents.len().max(1) as f64).ln()
}

/// Mixture likelihood ratio against equality, over the size and the time of a change for the worse.
///
/// Invariant: under equality the exponential of the statistic is a nonnegative supermartingale with a
/// total prior of 1, so it exceeds `1 / a` at any time with a probability of at most `a`.
#[derive(Clone, Debug)]
pub struct ChangeTest {
    odds: Vec<f64>,
    ln_evidence: Vec<f64>,
    prior_left: f64,
    candidate: BadCount,
    stable: BadCount,
}

impl ChangeTest {
    /// Returns a test that is sensitive to these odds ratios.
    pub fn new(odds: &[f64]) -> Self {
        Self {
            odds: odds.to_vec(),
            ln_evidence: vec![PRIOR_AT_ONCE.ln(); odds.len()],
            prior_left: 1.0 - PRIOR_AT_ONCE,
            candidate: BadCount::default(),
            stable: BadCount::default(),
        }
    }

    /// Adds strata that ended together after this many ticks and limits their gain.
    pub fn advance(&mut self, tables: &[OutcomeTable], largest_gain: f64, ticks: u32) {
        let prior = self.take_prior(ticks);
        for (ln_evidence, odds) in self.ln_evidence.iter_mut().zip(&self.odds) {
            let gain: f64 = tables.iter().map(|table| table.ln_ratio(*odds)).sum();
            *ln_evidence = ln_add(*ln_evidence, prior.ln()) + gain.min(largest_gain);
        }
        self.count(tables);
    }

    /// Returns the natural logarithm of the e-value.
    pub fn statistic(&self) -> f64 {
        ln_mean_exp(&self.ln_evidence)
    }

    /// Returns the candidate's calls since the statistic was last without evidence.
    pub fn candidate(&self) -> BadCount {
        self.candidate
    }

    /// Returns the stable version's calls over the same intervals.
    pub fn stable(&self) -> BadCount {
        self.stable
    }

    fn take_prior(&mut self, ticks: u32) -> f64 {
        let share = (1.0 - PRIOR_AT_ONCE) * f64::from(ticks) / CHANGE_HORIZON_TICKS;
        let prior = share.min(self.prior_left);
        self.prior_left -= prior;
        prior
    }

    fn count(&mut self, tables: &[OutcomeTable]) {
        if self.statistic() <= PRIOR_AT_ONCE.ln() {
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

/// Ticks whose calls are taken together in the acceptance test.
///
/// Intervals without any bad call carry no evidence; longer ones contain bad calls of the stable version
/// even at low call rates.
const ACCEPT_TICKS: u32 = 10;

/// Likelihood ratio of equality against odds at the margin, on one route.
///
/// Invariant: for every odds ratio at or above the margin, the exponential of the statistic is a
/// nonnegative supermartingale, because the ratio falls with each bad call of the candidate.
#[derive(Clone, Debug)]
pub struct AcceptTest {
    margin: f64,
    ln_evidence: f64,
    open: OutcomeTable,
    open_ticks: u32,
    counted: OutcomeTable,
}

impl AcceptTest {
    /// Returns a test against this odds ratio.
    pub fn new(margin: f64) -> Self {
        Self {
            margin,
            ln_evidence: 0.0,
            open: OutcomeTable::default(),
            open_ticks: 0,
            counted: OutcomeTable::default(),
        }
    }

    /// Adds calls of this many ticks; without a table only the time passes.
    pub fn advance(&mut self, table: Option<OutcomeTable>, ticks: u32) {
        if let Some(table) = table {
            add_table(&mut self.open, table);
            add_table(&mut self.counted, table);
        }
        self.open_ticks += ticks;
        if self.open_ticks >= ACCEPT_TICKS {
            self.ln_evidence -= self.open.ln_ratio(self.margin);
            self.open = OutcomeTable::default();
            self.open_ticks = 0;
        }
    }

    /// Returns the natural logarithm of the evidence for the candidate.
    pub fn statistic(&self) -> f64 {
        self.ln_evidence
    }

    /// Returns the calls that were counted.
    pub fn counted(&self) -> OutcomeTable {
        self.counted
    }
}

/// Adds the calls of one table to another.
pub fn add_table(total: &mut OutcomeTable, table: OutcomeTable) {
    add_count(&mut total.candidate, table.candidate);
    add_count(&mut total.stable, table.stable);
}
