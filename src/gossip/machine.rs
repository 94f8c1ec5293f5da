//! Protocol of the membership without I/O: takes packets and the time, returns packets to send.

mod merging;
mod packets;
mod probing;
mod store_view;

use {
    self::{
        merging::{is_target_news, next_news},
        store_view::KnownStore,
    },
    super::{
        event_queue::EventQueue,
        member_events::{full_event, member_event, spread_event, veto_event},
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

/// Bytes of passed-on events that a node may send at once after a quiet time.
const EVENT_BURST_BYTES: f64 = 8_000.0;

/// Longest reason that a spread veto carries, in bytes.
const MAX_REASON_BYTES: usize = 256;

/// Tables that the protocol reads and writes.
#[derive(Debug)]
pub struct GossipTables<'a> {
    /// Nodes and targets known.
    pub members: &'a mut MemberTable,
    /// Vetoes known.
    pub vetoes: &'a mut VetoTable,
}

/// A packet to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingPacket {
    /// Where to send it.
    pub address: SocketAddr,
    /// What to send.
    pub packet: GossipPacket,
}

/// A peer that has a newer configuration version in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewerVersion {
    /// The peer.
    pub node: NodeId,
    /// Its peer address.
    pub address: SocketAddr,
    /// Version that it has in force.
    pub version: ConfigVersion,
}

/// A peer that knows of moves which this node does not know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewerMoves {
    /// Peer address.
    pub address: SocketAddr,
    /// Digest of the moves that it knows.
    pub digest: u64,
}

/// What one step of the protocol asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineOutput {
    /// Packets to send.
    pub packets: Vec<OutgoingPacket>,
    /// Peer with a newer configuration, if one was heard of.
    pub newer: Option<NewerVersion>,
    /// Peer that knows of moves which this node does not know, if one was heard of.
    pub newer_moves: Option<NewerMoves>,
}

#[derive(Clone, Debug)]
struct ActiveProbe {
    peer: PeerContact,
    number: u64,
    started: Duration,
    attempts: u32,
    answered: bool,
}

#[derive(Clone, Debug)]
struct ProbeRelay {
    origin: SocketAddr,
    origin_number: u64,
    deadline: Duration,
}

/// Membership protocol of one node. Times are durations since an arbitrary start.
#[derive(Debug)]
pub struct GossipMachine {
    section: GossipSection,
    own: MemberRecord,
    rng: StdRng,
    number: u64,
    roster: PeerRoster,
    probe: Option<ActiveProbe>,
    next_probe_at: Duration,
    last_tick: Duration,
    rounds: u32,
    relays: BTreeMap<u64, ProbeRelay>,
    suspects: HashMap<Arc<str>, Duration>,
    dead_since: BTreeMap<Arc<str>, Duration>,
    returned_at: Option<Duration>,
    heard_at: Duration,
    queue: EventQueue,
    event_allowance: f64,
    allowance_at: Duration,
    store: KnownStore,
}

impl GossipMachine {
    /// Makes the protocol state of a node; equal seeds give equal behaviour.
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
            number: 0,
            roster: PeerRoster::default(),
            probe: None,
            next_probe_at: now + phase,
            last_tick: now,
            rounds: 0,
            relays: BTreeMap::new(),
            suspects: HashMap::new(),
            dead_since: BTreeMap::new(),
            returned_at: None,
            heard_at: now,
            queue: EventQueue::default(),
            event_allowance: EVENT_BURST_BYTES,
            allowance_at: now,
            store: KnownStore::default(),
        };
        machine.enrol_known(now, tables);
        machine.publish_own(tables);
        machine
    }

    /// Returns the node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns when `tick` is next due.
    pub fn next_wakeup(&self) -> Duration {
        self.retry_due()
            .map_or(self.next_probe_at, |due| due.min(self.next_probe_at))
    }

    /// Returns whether the last round found no peer to probe.
    pub fn is_alone(&self) -> bool {
        self.rounds > 0 && self.probe.is_none()
    }

    /// Returns the number of events that wait to be passed on.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, tables: &mut GossipTables<'_>) -> MachineOutput {
        let mut output = MachineOutput::default();
        self.forgive_pause(now);
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

    /// Takes a packet received from `from`.
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
        self.heard_at = now;
        self.refill_allowance(now);
        self.note_version(packet, from, tables, &mut output);
        self.note_store_view(packet, from, now, tables, &mut output);
        let effect = self.take_events(&packet.events, now, tables);
        self.answer(packet, from, now, tables, &mut output);
        if !effect.urgent.is_empty() {
            self.push_random(&effect.urgent, tables, &mut output);
        }
        self.warn_suspects(&effect.suspects, tables, &mut output);
        output
    }

    /// Takes the version that this node now has in force and tells random members of it.
    pub fn set_version(
        &mut self,
        version: ConfigVersion,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        self.own.applied_version = self.own.applied_version.max(version);
        tables.members.raise_floor(&self.own.node, version);
        self.push(tables)
    }

    /// Tells random members of the version and the waiting events.
    pub fn push(&mut self, tables: &mut GossipTables<'_>) -> MachineOutput {
        let mut output = MachineOutput::default();
        let is_leaving = self.own.state == MemberState::Left;
        let departure = is_leaving.then(|| member_event(spread_event(&self.own)));
        self.push_random(departure.as_slice(), tables, &mut output);
        output
    }

    /// Takes the state of the own target.
    ///
    /// A change of demand alone goes only to nodes of the same customer: told to the whole fleet, the
    /// demands of 6,400 targets would take more than the whole control budget.
    pub fn announce_target(
        &mut self,
        target: Option<TargetRecord>,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        let mut output = MachineOutput::default();
        if self.own.target == target {
            return output;
        }
        let is_news = is_target_news(self.own.target.as_ref(), target.as_ref());
        self.own.target = target;
        if is_news {
            self.own.sequence = next_news(self.own.sequence);
            self.publish_own(tables);
            let event = member_event(full_event(&self.own));
            self.push_random(&[event], tables, &mut output);
        } else {
            self.own.sequence += 1;
            tables.members.merge(self.own.clone());
            self.tell_customer(tables, &mut output);
        }
        output
    }

    /// Adds a veto and spreads it.
    pub fn spread_veto(
        &mut self,
        mut veto: VetoRecord,
        tables: &mut GossipTables<'_>,
    ) -> MachineOutput {
        truncate_text(&mut veto.reason, MAX_REASON_BYTES);
        let mut output = MachineOutput::default();
        // The issuer may have added the veto to its table before.
        tables.vetoes.add(veto.clone());
        if tables.vetoes.holds(&veto) {
            let event = veto_event(&veto);
            self.enqueue(event.clone());
            self.push_random(&[event], tables, &mut output);
        }
        output
    }

    /// Spreads that this node leaves.
    pub fn leave(&mut self, tables: &mut GossipTables<'_>) -> MachineOutput {
        self.own.state = MemberState::Left;
        self.own.sequence = next_news(self.own.sequence);
        self.publish_own(tables);
        self.push(tables)
    }

    /// Takes the records that a peer sent at join; returns how many were new.
    ///
    /// They are not passed on: the fleet knows them, and 6,400 events would keep newer ones waiting for
    /// a quarter of an hour.
    pub fn merge_members(
        &mut self,
        events: &[MemberEvent],
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> usize {
        let effects = events
            .iter()
            .map(|event| self.take_member(event, now, tables));
        effects.filter(|effect| effect.is_news).count()
    }

    /// Takes the record of a peer that joins through this node, and passes it on.
    pub fn admit_member(
        &mut self,
        event: &MemberEvent,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) {
        let effect = self.take_member(event, now, tables);
        self.pass_on(&event.node, effect, tables);
    }

    /// Raises the own incarnation to at least `incarnation`.
    pub fn raise_incarnation(&mut self, incarnation: Incarnation, tables: &mut GossipTables<'_>) {
        if incarnation > self.own.incarnation {
            self.own.incarnation = incarnation;
            self.publish_own(tables);
        }
    }

    fn enrol_known(&mut self, now: Duration, tables: &GossipTables<'_>) {
        let mut names: Vec<Arc<str>> = tables
            .members
            .iter()
            .filter(|record| record.node != self.own.node)
            .filter_map(|record| tables.members.name_of(&record.node))
            .collect();
        names.sort();
        for name in names {
            self.roster.add(name.clone(), &mut self.rng);
            self.set_timers(&name, now, tables);
        }
    }

    fn publish_own(&mut self, tables: &mut GossipTables<'_>) {
        tables.members.merge(self.own.clone());
        self.enqueue(member_event(spread_event(&self.own)));
    }

    fn enqueue(&mut self, event: GossipEvent) {
        if !self.queue.push(event) {
            warn!(node = %self.own.node, "an event is too long for a packet and is not spread");
        }
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

fn truncate_text(text: &mut String, limit: usize) {
    let end = text.floor_char_boundary(limit);
    text.truncate(end);
}
