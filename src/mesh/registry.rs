//! What the target beside this node last said about itself.
//!
//! Heartbeats may be late, repeated or from an earlier incarnation of the target. A report is taken only if it
//! is newer than all that was taken before.

use {
    crate::{config::ServiceKey, ids::VersionName, membership::TargetRecord},
    derive_more::Display,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Name of one incarnation of a target, mostly a new one at each start.
pub type InstanceId = String;

/// Ends of instances that are remembered, so that a late heartbeat does not bring one back.
const MAX_ENDED: usize = 64;

/// Heartbeats that may be missed before the target counts as gone.
const MISSED_HEARTBEATS: u32 = 4;

/// What a target says about itself in one heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// Instance that reports.
    pub instance: InstanceId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Service that it serves.
    pub service: ServiceKey,
    /// Version that it runs.
    pub version: VersionName,
    /// Calls that it can run at once.
    pub slots: u32,
    /// Whether it asks for no new work.
    pub draining: bool,
    /// Grows with each heartbeat of one start.
    pub sequence: u64,
    /// Start of the target, milliseconds since the Unix epoch, if it says so.
    pub born_ms: Option<u64>,
    /// Time for which the target is still slow after its start.
    pub warmup: Duration,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The report is newer than what was known.
    #[display("taken")]
    Taken,
    /// Something newer was known.
    #[display("older than what is known")]
    Stale,
    /// The report is about another address than that of the target beside this node.
    #[display("another address")]
    OtherAddress,
}

/// An instance that has ended or left.
#[derive(Clone, Debug)]
struct EndedInstance {
    instance: InstanceId,
    born_ms: Option<u64>,
}

/// The present target and the instances that ended before.
///
/// Invariant: once an instance has said that it leaves, no later report of the same start undoes that.
#[derive(Debug)]
pub struct TargetRegistry {
    address: SocketAddr,
    silence: Duration,
    present: Option<TargetReport>,
    heard_at: Option<Instant>,
    ended: VecDeque<EndedInstance>,
}

impl TargetRegistry {
    /// Returns a registry for the target at an address that reports once per `heartbeat`.
    pub fn new(address: SocketAddr, heartbeat: Duration) -> Self {
        Self {
            address,
            silence: heartbeat * MISSED_HEARTBEATS,
            present: None,
            heard_at: None,
            ended: VecDeque::new(),
        }
    }

    /// Takes over a report if it is newer than what is known.
    pub fn take(&mut self, report: TargetReport, now: Instant) -> ReportOutcome {
        if report.address != self.address {
            return ReportOutcome::OtherAddress;
        }
        if self.has_ended(&report) || !self.is_newer(&report) {
            return ReportOutcome::Stale;
        }
        if let Some(known) = self.present.take()
            && (known.instance != report.instance || known.born_ms != report.born_ms)
        {
            self.remember_end(known.instance, known.born_ms);
        }
        self.present = Some(report);
        self.heard_at = Some(now);
        ReportOutcome::Taken
    }

    /// Notes that an instance leaves for good; returns whether it was the present one.
    pub fn leave(&mut self, instance: &str) -> bool {
        let Some(known) = self.present.as_mut() else {
            return false;
        };
        if known.instance != instance {
            return false;
        }
        known.draining = true;
        let (name, born_ms) = (known.instance.clone(), known.born_ms);
        self.remember_end(name, born_ms);
        true
    }

    /// Forgets a target that has been silent for too long; returns whether it did.
    pub fn expire(&mut self, now: Instant) -> bool {
        let silent = self
            .heard_at
            .is_some_and(|heard_at| now.saturating_duration_since(heard_at) > self.silence);
        if silent {
            self.heard_at = None;
            self.present = None;
        }
        silent
    }

    /// Returns the last report.
    pub fn present(&self) -> Option<&TargetReport> {
        self.present.as_ref()
    }

    /// Returns what other nodes are told about the target.
    pub fn record(&self, connections: u32) -> Option<TargetRecord> {
        let known = self.present.as_ref()?;
        Some(TargetRecord {
            key: known.service.clone(),
            version: known.version.clone(),
            slots: known.slots,
            connections,
            draining: known.draining,
            demand: 0,
        })
    }

    fn has_ended(&self, report: &TargetReport) -> bool {
        self.ended
            .iter()
            .any(|ended| ended.instance == report.instance && report.born_ms <= ended.born_ms)
    }

    fn is_newer(&self, report: &TargetReport) -> bool {
        let Some(known) = &self.present else {
            return true;
        };
        match (known.born_ms, report.born_ms) {
            (Some(known_born), Some(born)) if known_born != born => born > known_born,
            _ if known.instance == report.instance => {
                let left = known.draining && !report.draining;
                report.sequence > known.sequence && !left
            }
            _ => true,
        }
    }

    fn remember_end(&mut self, instance: InstanceId, born_ms: Option<u64>) {
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedInstance { instance, born_ms });
    }
}
