//! Registry of the target beside this node: its last accepted heartbeat.
//!
//! Heartbeats may arrive late, repeatedly or from an earlier start of the target. A report is accepted only if it is
//! newer than all reports accepted before.
//!
//! # Time until a leaving target gets no call
//!
//! A departure must hold `drainS` after its acknowledgement, 2 s at the least. No wait of a node adds up against that:
//! the queue of the target is closed before the acknowledgement is sent, which refuses the calls that wait for a slot and
//! withdraws those that wait for their body or a connection. Other nodes may go on to choose the target until gossip has
//! told them; all their calls pass through this node, which refuses them. So no machine that is cut off matters. After a
//! restart of the node, the target is held until a health check confirms it, for `LATE_HEARTBEAT_TIME` at most.

use {
    crate::{
        config::ServiceKey,
        ids::VersionName,
        membership::{TargetRecord, TargetStart},
    },
    derive_more::Display,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Name of one run of a target, usually a new one at each start.
pub type InstanceId = String;

/// Largest number of ended instances that are kept, so that a late heartbeat does not bring one back.
const MAX_PAST_INSTANCES: usize = 64;

/// Heartbeat periods without a report after which the target expires.
const MISSED_HEARTBEATS: u32 = 4;

/// Time after a departure in which a heartbeat from before it may still arrive.
pub const LATE_HEARTBEAT_TIME: Duration = Duration::from_secs(15);

/// Content of one heartbeat of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// Instance that sent the heartbeat.
    pub instance: InstanceId,
    /// Address at which the target serves calls.
    pub address: SocketAddr,
    /// Service that the target belongs to.
    pub service: ServiceKey,
    /// Version that the target runs.
    pub version: VersionName,
    /// Calls that the target can run at once.
    pub slots: u32,
    /// Whether the target asks for no further calls.
    pub draining: bool,
    /// Number of the heartbeat; grows with each one of the same start.
    pub sequence: u64,
    /// Start time of the target in milliseconds since the Unix epoch; none if the heartbeat does not contain it.
    pub born_ms: Option<u64>,
    /// Time after its start for which the target is expected to be slow.
    pub warmup: Duration,
}

/// Result of applying a report.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The report is newer than those before and was accepted.
    #[display("taken")]
    Taken,
    /// The report is stale and was rejected.
    #[display("older than what is known")]
    Stale,
    /// The report names another address than that of the target beside this node and was rejected.
    #[display("another address")]
    OtherAddress,
}

/// An instance that was replaced or has announced that it leaves.
#[derive(Clone, Debug)]
struct PastInstance {
    instance: InstanceId,
    born_ms: Option<u64>,
}

/// The current target and the instances that ended before it.
///
/// Invariant: once an instance has announced that it leaves, no later report of the same start undoes that.
#[derive(Debug)]
pub struct TargetRegistry {
    address: SocketAddr,
    /// Time without a report after which the target expires.
    report_timeout: Duration,
    current: Option<TargetReport>,
    last_report_at: Option<Instant>,
    past_instances: VecDeque<PastInstance>,
    /// Target that has left and is not the current one: before this node was restarted, according to peers, or before it
    /// fell silent. It stays announced so that it is known after a further restart.
    left_before: Option<TargetRecord>,
    /// Instance that has said that it leaves while it was not the current one, and when it did.
    left_unseen: Option<(InstanceId, Instant)>,
    /// When the last departure was announced first, whether or not the instance was known.
    departed_at: Option<Instant>,
    /// Whether the target is held back until it is confirmed that it did not leave before this node was restarted.
    held: bool,
}

impl TargetRegistry {
    /// Returns an empty registry for the target at `address`, which sends one report per `heartbeat`.
    pub fn new(address: SocketAddr, heartbeat: Duration) -> Self {
        Self {
            address,
            report_timeout: heartbeat * MISSED_HEARTBEATS,
            current: None,
            last_report_at: None,
            past_instances: VecDeque::new(),
            left_before: None,
            left_unseen: None,
            departed_at: None,
            held: false,
        }
    }

    /// Holds the target back until `confirm`: a late heartbeat may come from a target whose departure the node
    /// acknowledged before it was restarted.
    pub fn hold(&mut self) {
        self.held = true;
    }

    /// Returns whether the target is held back.
    pub fn is_held(&self) -> bool {
        self.held
    }

    /// Returns the instance to confirm: it is held back and has not announced that it leaves.
    pub fn unconfirmed(&self) -> Option<InstanceId> {
        let current = self.current.as_ref().filter(|_| self.held);
        let staying = current.filter(|current| !current.draining)?;
        Some(staying.instance.clone())
    }

    /// Ends the hold if the instance is still the one to confirm; returns whether it did.
    pub fn confirm(&mut self, instance: &str) -> bool {
        let confirmed = self.unconfirmed().is_some_and(|held| held == instance);
        if confirmed {
            self.held = false;
        }
        confirmed
    }

    /// Ends the hold without a confirmation.
    pub fn release(&mut self) {
        self.held = false;
    }

    /// Ends the hold without a confirmation; only heartbeats from now on put a target into use. One that leaves stays
    /// known.
    pub fn release_empty(&mut self) {
        self.held = false;
        if !self.is_draining() {
            self.current = None;
            self.last_report_at = None;
        }
    }

    /// Takes over from a peer which target has left; returns whether it is the current one.
    pub fn restore_left(&mut self, record: TargetRecord) -> bool {
        let Some(left) = record.left.clone() else {
            return false;
        };
        let is_current = self.current.as_ref().is_some_and(|current| {
            current.instance == left.instance && current.born_ms <= left.born_ms
        });
        if is_current {
            self.current = None;
            self.last_report_at = None;
        }
        self.add_past_instance(left.instance, left.born_ms);
        self.left_before = Some(record);
        is_current
    }

    /// Accepts a report if it is newer than those before.
    pub fn apply(&mut self, report: TargetReport, now: Instant) -> ReportOutcome {
        if report.address != self.address {
            return ReportOutcome::OtherAddress;
        }
        if self.has_ended(&report) || self.has_left_unseen(&report, now) || !self.is_newer(&report)
        {
            return ReportOutcome::Stale;
        }
        let was_draining = self.is_draining();
        if let Some(current) = self.current.take()
            && (current.instance != report.instance || current.born_ms != report.born_ms)
        {
            self.add_past_instance(current.instance, current.born_ms);
        }
        if report.draining && !was_draining {
            self.departed_at = Some(now);
        }
        self.current = Some(report);
        self.last_report_at = Some(now);
        ReportOutcome::Taken
    }

    /// Marks an instance as leaving for good; returns whether it is the current one.
    ///
    /// A node that has just started may hear of the departure before the first heartbeat of the instance.
    pub fn mark_leaving(&mut self, instance: &str, now: Instant) -> bool {
        if !self.is_draining() {
            self.departed_at = Some(now);
        }
        let current = self.current.as_mut();
        let Some(current) = current.filter(|current| current.instance == instance) else {
            self.left_unseen = Some((instance.to_owned(), now));
            return false;
        };
        current.draining = true;
        let (name, born_ms) = (current.instance.clone(), current.born_ms);
        self.add_past_instance(name, born_ms);
        true
    }

    /// Removes a target that has missed too many heartbeats; returns whether it did. One that was leaving stays known
    /// as departed, since it may run for longer than it sends heartbeats.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self.last_report_at.is_some_and(|last_report_at| {
            now.saturating_duration_since(last_report_at) > self.report_timeout
        });
        if !expired {
            return false;
        }
        self.last_report_at = None;
        if let Some(departed) = self.current.take().filter(|current| current.draining) {
            self.left_before = Some(record_of(&departed, 0));
            self.add_past_instance(departed.instance, departed.born_ms);
        }
        true
    }

    /// Returns the last accepted report; none if the target has not reported, has expired or is held back.
    pub fn current(&self) -> Option<&TargetReport> {
        self.current.as_ref().filter(|_| !self.held)
    }

    /// Returns the record of the target that is sent to other nodes.
    pub fn record(&self, connections: u32) -> Option<TargetRecord> {
        let Some(current) = self.current() else {
            return self.left_before.clone();
        };
        Some(record_of(current, connections))
    }

    /// Returns when the last departure was announced.
    pub fn departed_at(&self) -> Option<Instant> {
        self.departed_at
    }

    fn is_draining(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.draining)
    }

    fn has_ended(&self, report: &TargetReport) -> bool {
        self.past_instances
            .iter()
            .any(|past| past.instance == report.instance && report.born_ms <= past.born_ms)
    }

    /// Returns whether the instance has said that it leaves while this node did not know it, a short time ago. Its
    /// start is not known, so a later start under the same name counts again after that time.
    fn has_left_unseen(&self, report: &TargetReport, now: Instant) -> bool {
        self.left_unseen
            .as_ref()
            .is_some_and(|(instance, left_at)| {
                *instance == report.instance && now < *left_at + LATE_HEARTBEAT_TIME
            })
    }

    fn is_newer(&self, report: &TargetReport) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        match (current.born_ms, report.born_ms) {
            (Some(current_born), Some(born)) if current_born != born => born > current_born,
            _ if current.instance == report.instance => {
                let left = current.draining && !report.draining;
                report.sequence > current.sequence && !left
            }
            _ => true,
        }
    }

    fn add_past_instance(&mut self, instance: InstanceId, born_ms: Option<u64>) {
        if self.past_instances.len() == MAX_PAST_INSTANCES {
            self.past_instances.pop_front();
        }
        self.past_instances
            .push_back(PastInstance { instance, born_ms });
    }
}

/// Returns the record of a target that is sent to other nodes.
fn record_of(report: &TargetReport, connections: u32) -> TargetRecord {
    TargetRecord {
        key: report.service.clone(),
        version: report.version.clone(),
        slots: report.slots,
        connections,
        draining: report.draining,
        demand: 0,
        left: report.draining.then(|| TargetStart {
            instance: report.instance.clone(),
            born_ms: report.born_ms,
        }),
    }
}
