//! What a node knows of another one as a keeper of usage caps: its clock, its round-trip time and whether it answers.

use std::time::Duration;

/// Time without an answer from which a keeper counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(300);

/// Shortest time after which an unanswered message is repeated.
const MIN_RETRY: Duration = Duration::from_millis(25);

/// Age at which a reading of a keeper's clock is no longer used; clocks drift.
const READING_LIFE: Duration = Duration::from_secs(600);

/// Largest drift between two clocks, as a fraction of the time.
const MAX_DRIFT: f64 = 0.001;

/// Reading of a keeper's clock.
///
/// Invariant: at `read_at` by this node's clock, the keeper's clock shows `clock` or more.
#[derive(Clone, Copy, Debug)]
pub struct KeeperReading {
    /// Identifier of the clock; a restarted process has another one.
    pub clock_id: u64,
    /// Time that the clock showed.
    pub clock: Duration,
    /// Time by this node's clock at which the answer arrived.
    pub read_at: Duration,
}

/// Contact with a keeper.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeeperContact {
    reading: Option<KeeperReading>,
    round_trip: Duration,
    unanswered_since: Option<Duration>,
}

/// End of a delegation by the clocks of both sides.
#[derive(Clone, Copy, Debug)]
pub struct DelegationEnd {
    /// Identifier of the keeper's clock.
    pub clock_id: u64,
    /// End by the keeper's clock.
    pub ends: Duration,
    /// Time by this node's clock at which the keeper's clock has certainly reached the end.
    pub ended_by: Duration,
}

impl KeeperContact {
    /// Records that a message was sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records an answer to a message that was sent at `sent_at`.
    pub fn record_answer(&mut self, reading: KeeperReading, sent_at: Duration) {
        let sample = reading.read_at.saturating_sub(sent_at);
        self.round_trip = match self.round_trip.is_zero() {
            true => sample,
            false => (self.round_trip * 7 + sample) / 8,
        };
        self.unanswered_since = None;
        self.reading = Some(reading);
    }

    /// Returns the identifier of the keeper's clock; none if it has never answered.
    pub fn clock_id(&self) -> Option<u64> {
        self.reading.map(|reading| reading.clock_id)
    }

    /// Returns whether the keeper has not answered for so long that another one is to be asked.
    pub fn is_silent(&self, now: Duration) -> bool {
        let waited = self.unanswered_since.map(|since| now.saturating_sub(since));
        waited.is_some_and(|waited| waited >= SILENT_AFTER)
    }

    /// Returns whether an answer is awaited.
    pub fn awaits_answer(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Returns the time after which an unanswered message is repeated.
    pub fn retry_after(&self) -> Duration {
        MIN_RETRY.max(self.round_trip * 2)
    }

    /// Returns the end of a delegation that begins now and lasts `life`; none if the keeper's clock is not known.
    ///
    /// The end is computed from the least time that the keeper's clock can show, so that no delay of a message makes a
    /// delegation last longer than this node expects.
    pub fn delegation_end(&self, life: Duration, now: Duration) -> Option<DelegationEnd> {
        let reading = self.reading?;
        let age = now.saturating_sub(reading.read_at);
        if age > READING_LIFE {
            return None;
        }
        Some(DelegationEnd {
            clock_id: reading.clock_id,
            ends: reading.clock + age + life,
            ended_by: now + life + (age + life).mul_f64(MAX_DRIFT),
        })
    }
}
