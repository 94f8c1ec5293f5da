//! State machine of the membership protocol (SWIM style), free of I/O and clocks.
//!
//! Each call gets the current time and a received packet, a due timer or a local change, and returns the packets to
//! send.

mod merging;
mod packets;
mod probing;
mod store_view;

use {
    self::{
        merging::{is_significant_target_change, next_significant_sequence},
        store_view::StoreViewState,
    },
    super::{
        event_queue::EventQueue,
        member_events::{compact_event, full_event, member_event, veto_event},
        peer_roster::{PeerContact, PeerRoster},
    },
    crate::{
        ids::{ConfigVersion, Incarnation, NodeId},
        membership::{MemberRecord, MemberState, MemberTable, TargetRecord},
        settings::GossipSection,
        veto_table::{VetoRecord, VetoTable},
        wire::{GossipEvent, GossipPacket, MemberEvent},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tracing::warn,
};

/// Capacity in bytes of the token bucket that limits the queued events a node sends.
const EVENT_BURST_BYTES: f64 = 8_000.0;

/// Longest reason text in a gossiped veto, in bytes; longer ones are cut.
const MAX_REASON_BYTES: usize = 256;

/// Tables that the protocol reads and updates.
#[derive(Debug)]
pub struct GossipTables<'a> {
    /// Known nodes and their targets.
    pub members: &'a mut MemberTable,
    /// Known vetoes: rollout candidates that must receive no calls.
    pub vetoes: &'a mut VetoTable,
}

/// A packet to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingPacket {
    /// Address of the receiver.
    pub address: SocketAddr,
    /// The packet, not yet encoded.
    pub packet: GossipPacket,
}

/// A peer that has applied a newer configuration version than this node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewerVersion {
    /// Name of the peer.
    pub node: NodeId,
    /// Address of the peer for gossip and synchronisation.
    pub address: SocketAddr,
    /// Version that the peer has applied.
    pub version: ConfigVersion,
}

/// A peer that has moves (rollouts of a service version) which this node lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewerMoves {
    /// Address of the peer for gossip and synchronisation.
    pub address: SocketAddr,
    /// Digest of the peer's moves; see `StoreView::moves_digest`.
    pub digest: u64,
}

/// Actions that the caller has to carry out after one step of the protocol.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineOutput {
    /// Packets to send.
    pub packets: Vec<OutgoingPacket>,
    /// Sender of the packet, if it announced a newer configuration.
    pub newer_config: Option<NewerVersion>,
    /// Sender of the packet, if it announced moves that this node lacks.
    pub newer_moves: Option<NewerMoves>,
}

/// Probe that waits for an `Ack`; each node has at most one.
#[derive(Clone, Debug)]
struct ActiveProbe {
    peer: PeerContact,
    number: u64,
    started: Duration,
    attempts: u32,
    answered: bool,
}

/// Probe that this node sends on behalf of another one (indirect probe).
#[derive(Clone, Debug)]
struct RelayedProbe {
    origin: SocketAddr,
    origin_number: u64,
    deadline: Duration,
}

/// Membership protocol of one node. Times are durations since an arbitrary origin that the caller chooses.
#[derive(Debug)]
pub struct GossipMachine {
    section: GossipSection,
    own: MemberRecord,
    rng: StdRng,
    last_ping_number: u64,
    roster: PeerRoster,
    probe: Option<ActiveProbe>,
    next_probe_at: Duration,
    last_tick: Duration,
    /// Time of the current call, or of the last one that named it.
    now: Duration,
    rounds: u32,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    /// When each suspect is declared dead unless it refutes.
    suspicion_deadlines: HashMap<Arc<str>, Duration>,
    /// When each dead or departed member became so; the oldest are evicted first.
    dead_since: BTreeMap<Arc<str>, Duration>,
    /// When a dead member was last seen alive again.
    last_recovery_at: Option<Duration>,
    /// When the last packet of any peer arrived.
    last_received_at: Duration,
    queue: EventQueue,
    /// Bytes of queued events that may be sent now; a token bucket.
    event_allowance: f64,
    allowance_updated_at: Duration,
    store: StoreViewState,
}

impl GossipMachine {
    /// Creates the state machine of a node.
    ///
    /// `seed` starts its random numbers, so equal seeds and equal inputs give equal outputs.
    pub fn new(
        section: GossipSection,
        own: MemberRecord,
        seed: u64,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let phase = section.probe_interval.mul_f64(rng.random::<f64>());
        let mut machine = Self {
            section,
            own,
            rng,
            last_ping_number: 0,
            roster: PeerRoster::default(),
            probe: None,
            next_probe_at: now + phase,
            last_tick: now,
            now,
            rounds: 0,
            relayed_probes: BTreeMap::new(),
            suspicion_deadlines: HashMap::new(),
            dead_since: BTreeMap::new(),
            last_recovery_at: None,
            last_received_at: now,
            queue: EventQueue::default(),
            event_allowance: EVENT_BURST_BYTES,
            allowance_updated_at: now,
            store: StoreViewState::default(),
        };
        machine.add_known_members(now, tables);
        machine.publish_own_record(tables);
        machine
    }

    /// Returns this node's own member record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the time at which `tick` must be called next.
    pub fn next_wakeup(&self) -> Duration {
        self.retry_due()
            .map_or(self.next_probe_at, |due| due.min(self.next_probe_at))
    }

    /// Returns whether the last probe interval found no alive or suspect peer to probe.
    pub fn has_no_reachable_peer(&self) -> bool {
        self.rounds > 0 && self.probe.is_none()
    }

    /// Returns the number of events queued for gossip.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Sets the time for the next calls that do not name one.
    pub fn set_time(&mut self, now: Duration) {
        self.now = now;
    }

    /// Runs the timers that are due: probe retries and the start of the next probe interval.
    pub fn tick(&mut self, now: Duration, tables: &mut GossipTables<'_>) -> MachineOutput {
        let mut output = MachineOutput::default();
        self.compensate_pause(now);
        self.now = now;
        self.last_tick = now;
        self.refill_allowance(now);
        if self.retry_due().is_some_and(|due| due <= now) {
            self.retry_probe(tables, &mut output);
        }
        if now >= self.next_probe_at {
            self.next_round(now, tables, &mut output);
        }
        output
    }

    /// Processes a packet received from the address `from`; packets of this node itself are ignored.
    pub fn handle_packet(
        &mut self,
        packet: &GossipPacket,
        from: SocketAddr,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        let mut output = MachineOutput::default();
        if packet.sender == self.own.node {
            return output;
        }
        self.now = now;
        self.last_received_at = now;
        self.refill_allowance(now);
        self.record_sender_version(packet, from, tables, &mut output);
        self.apply_store_view(packet, from, now, tables, &mut output);
        let effect = self.apply_events(&packet.events, now, tables);
        self.respond(packet, from, now, tables, &mut output);
        if !effect.urgent.is_empty() {
            self.push_random(&effect.urgent, tables, &mut output);
        }
        self.notify_suspects(&effect.suspects, tables, &mut output);
        output
    }

    /// Records the configuration version that this node has applied and pushes it to random members.
    pub fn set_version(
        &mut self,
        version: ConfigVersion,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        self.own.applied_version = self.own.applied_version.max(version);
        tables.members.raise_floor(&self.own.node, version);
        let mut output = self.push(tables);
        self.adopt_pending_clock(tables, &mut output);
        output
    }

    /// Pushes the applied version and queued events to `push_fanout` random members.
    ///
    /// A node that is leaving adds its departure to each push.
    pub fn push(&mut self, tables: &mut GossipTables<'_>) -> MachineOutput {
        let mut output = MachineOutput::default();
        let is_leaving = self.own.state == MemberState::Left;
        let departure = is_leaving.then(|| member_event(compact_event(&self.own)));
        self.push_random(departure.as_slice(), tables, &mut output);
        output
    }

    /// Updates the record of this node's own target and pushes it if it changed.
    ///
    /// A change of demand alone goes only to nodes of the same customer: gossip of the demands of
    /// 6,400 targets to the whole fleet would exceed the control-traffic budget.
    pub fn announce_target(
        &mut self,
        target: Option<TargetRecord>,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        let mut output = MachineOutput::default();
        if self.own.target == target {
            return output;
        }
        let is_significant =
            is_significant_target_change(self.own.target.as_ref(), target.as_ref());
        self.own.target = target;
        if is_significant {
            self.own.sequence = next_significant_sequence(self.own.sequence);
            self.publish_own_record(tables);
            let event = member_event(full_event(&self.own));
            self.push_random(&[event], tables, &mut output);
        } else {
            self.own.sequence += 1;
            tables.members.merge(self.own.clone());
            self.push_to_customer(tables, &mut output);
        }
        output
    }

    /// Adds a veto to the table, queues it for gossip and pushes it to random members.
    pub fn gossip_veto(
        &mut self,
        mut veto: VetoRecord,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        truncate_text(&mut veto.reason, MAX_REASON_BYTES);
        let mut output = MachineOutput::default();
        // The issuer may already have added the veto to its table, so the result of `add` does not count.
        tables.vetoes.add(veto.clone());
        if tables.vetoes.contains(&veto) {
            let event = veto_event(&veto);
            self.enqueue(event.clone());
            self.push_random(&[event], tables, &mut output);
        }
        output
    }

    /// Marks this node as left and pushes its departure to random members.
    pub fn leave(&mut self, tables: &mut GossipTables<'_>) -> MachineOutput {
        self.own.state = MemberState::Left;
        self.own.sequence = next_significant_sequence(self.own.sequence);
        self.publish_own_record(tables);
        self.push(tables)
    }

    /// Merges the member records of a join reply; returns how many were new or changed.
    ///
    /// They are not queued for gossip: the fleet has them already, and 6,400 queued events would delay
    /// newer ones by a quarter of an hour.
    pub fn merge_members(
        &mut self,
        events: &[MemberEvent],
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> usize {
        let effects = events
            .iter()
            .map(|event| self.apply_member_event(event, now, tables));
        effects.filter(|effect| effect.is_significant).count()
    }

    /// Merges the record of a peer that joins through this node and queues it for gossip.
    pub fn admit_member(
        &mut self,
        event: &MemberEvent,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) {
        let effect = self.apply_member_event(event, now, tables);
        self.enqueue_if_significant(&event.node, effect, tables);
    }

    /// Raises this node's incarnation to at least `incarnation` and queues the changed record.
    pub fn raise_incarnation(&mut self, incarnation: Incarnation, tables: &mut GossipTables<'_>) {
        if incarnation > self.own.incarnation {
            self.own.incarnation = incarnation;
            self.publish_own_record(tables);
        }
    }

    fn add_known_members(&mut self, now: Duration, tables: &GossipTables<'_>) {
        let mut names: Vec<Arc<str>> = tables
            .members
            .iter()
            .filter(|record| record.node != self.own.node)
            .filter_map(|record| tables.members.shared_name(&record.node))
            .collect();
        names.sort();
        for name in names {
            self.roster.add(name.clone(), &mut self.rng);
            self.set_timers(&name, now, tables);
        }
    }

    fn publish_own_record(&mut self, tables: &mut GossipTables<'_>) {
        tables.members.merge(self.own.clone());
        self.enqueue(member_event(compact_event(&self.own)));
    }

    fn enqueue(&mut self, event: GossipEvent) {
        if !self.queue.push(event) {
            warn!(node = %self.own.node, "gossip event is too long for a packet and is not sent to other members");
        }
    }

    fn next_ping_number(&mut self) -> u64 {
        self.last_ping_number += 1;
        self.last_ping_number
    }
}

fn truncate_text(text: &mut String, limit: usize) {
    let end = text.floor_char_boundary(limit);
    text.truncate(end);
}
