//! Protocol of the membership without I/O: takes packets and the time, returns packets to send.

use {
    super::{
        event_queue::{EventQueue, event_bytes},
        member_events::{
            full_event, is_whole, member_event, record_of, spread_event, state_of, veto_event,
            veto_of,
        },
        peer_roster::{PeerContact, PeerRoster, is_reachable},
    },
    crate::{
        ids::{ConfigVersion, Incarnation, NodeId},
        membership::{MemberRecord, MemberState, MemberTable, TargetRecord},
        settings::GossipSection,
        veto_table::{VetoRecord, VetoTable},
        wire::{
            Ack, EventBody, GossipEvent, GossipKind, GossipPacket, MAX_PACKET_BYTES, MemberEvent,
            PROTOCOL_VERSION, Ping, PingRequest, Push, VetoEvent,
        },
    },
    prost::Message,
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tracing::{info, warn},
};

/// Members asked to probe a silent one at each attempt.
const HELPER_COUNT: usize = 3;

/// Attempts within one probe. With 5% loss, three attempts leave 4e-8 of the probes of a live member
/// unanswered; one attempt would leave 6e-4, four false suspicions a second among 6,400 members.
const PROBE_ATTEMPTS: u32 = 3;

/// Suspicion in probe intervals per decimal digit of the number of members.
const SUSPICION_FACTOR: f64 = 3.0;

/// Shortest suspicion in probe intervals.
const MIN_SUSPICION_INTERVALS: f64 = 3.0;

/// Transmissions of an event per binary digit of the number of members.
const TRANSMIT_FACTOR: u32 = 3;

/// Probe intervals between two attempts to reach a dead member and an unknown seed.
const RECONNECT_INTERVALS: u32 = 10;

/// Dead members pinged in each probe interval while dead members return. With one ping in ten intervals
/// a node that had been cut off alone still held members for dead 120 intervals after the cut.
const RETURN_PINGS: usize = 4;

/// Probe intervals after the last return of a dead member in which further returns are expected.
const RETURN_INTERVALS: u32 = 10;

/// Low bits of a record's sequence, which count changes of demand. Those go to few nodes directly, and
/// only a change of the other bits is passed on.
const DEMAND_BITS: u32 = 20;

/// Probe intervals without a tick after which the process must have been paused.
const PAUSE_INTERVALS: u32 = 3;

/// Probe intervals for which a node that hears nobody at all blames itself and suspects no one. After
/// that it suspects, or the last two nodes of a fleet would never notice each other's death.
const DEAF_INTERVALS: u32 = 10;

/// Members that, on average, tell a suspect of the suspicion directly when they hear of it. A suspicion
/// that travels by probes alone takes about as long to reach the suspect as it lasts.
const SUSPECT_PINGS: f64 = 8.0;

/// Time for which a dead or departed member is remembered.
const DEAD_RETENTION: Duration = Duration::from_secs(6 * 3600);

/// Dead and departed members remembered at once; the oldest are forgotten first.
const MAX_DEAD_MEMBERS: usize = 8192;

/// Probes for other members that may be open at once.
const MAX_RELAYS: usize = 256;

/// Members of the same customer that are told of a changed demand.
const DEMAND_FANOUT: usize = 16;

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

/// What one step of the protocol asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineOutput {
    /// Packets to send.
    pub packets: Vec<OutgoingPacket>,
    /// Peer with a newer configuration, if one was heard of.
    pub newer: Option<NewerVersion>,
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

    /// Returns the number of events that wait to be passed on.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, tables: &mut GossipTables<'_>) -> MachineOutput {
        let mut output = MachineOutput::default();
        self.forgive_pause(now);
        self.last_tick = now;
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
        self.note_version(packet, from, tables, &mut output);
        let effect = self.take_events(&packet.events, now, tables);
        self.answer(packet, from, now, tables, &mut output);
        if effect.is_urgent {
            self.push_random(tables, &mut output);
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
        self.push_random(tables, &mut output);
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
            self.push_random(tables, &mut output);
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
            self.enqueue(veto_event(&veto));
            self.push_random(tables, &mut output);
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

    /// Takes records that a peer sent at join; returns how many were new.
    pub fn merge_members(
        &mut self,
        events: &[MemberEvent],
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> usize {
        let mut news = 0;
        for event in events {
            news += usize::from(self.take_member(event, now, tables).is_news);
        }
        news
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

/// Time.
impl GossipMachine {
    /// Drops what a pause made look like silence of the peers.
    fn forgive_pause(&mut self, now: Duration) {
        let due = self.next_wakeup().max(self.last_tick);
        let late = now.saturating_sub(due);
        if late < self.section.probe_interval * PAUSE_INTERVALS {
            return;
        }
        info!(node = %self.own.node, ?late, "resumed after a pause");
        self.probe = None;
        for deadline in self.suspects.values_mut() {
            *deadline += late;
        }
    }

    fn retry_due(&self) -> Option<Duration> {
        let probe = self.probe.as_ref()?;
        let may_retry = !probe.answered && probe.attempts < PROBE_ATTEMPTS;
        may_retry.then(|| probe.started + self.section.probe_timeout * probe.attempts)
    }

    fn next_round(
        &mut self,
        now: Duration,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        self.rounds += 1;
        self.finish_probe(now, tables, output);
        self.expire_suspects(now, tables);
        self.forget_dead(now, tables);
        self.relays.retain(|_, relay| relay.deadline > now);
        self.start_probe(now, tables, output);
        self.reconnect(now, tables, output);
        let interval = self.section.probe_interval;
        let planned = self.next_probe_at + interval;
        self.next_probe_at = if planned > now {
            planned
        } else {
            now + interval
        };
    }

    fn suspicion_time(&self) -> Duration {
        let members = (self.roster.len() + 2) as f64;
        let intervals = (SUSPICION_FACTOR * members.log10()).max(MIN_SUSPICION_INTERVALS);
        self.section.probe_interval.mul_f64(intervals)
    }

    fn expire_suspects(&mut self, now: Duration, tables: &mut GossipTables<'_>) {
        let mut due: Vec<Arc<str>> = self
            .suspects
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(node, _)| node.clone())
            .collect();
        due.sort();
        for node in due {
            info!(node = %self.own.node, peer = %node, "suspect did not refute and is declared dead");
            self.claim(&node, MemberState::Dead, now, tables);
        }
    }

    fn forget_dead(&mut self, now: Duration, tables: &mut GossipTables<'_>) {
        let excess = self.dead_since.len().saturating_sub(MAX_DEAD_MEMBERS);
        let mut dead: Vec<(Duration, Arc<str>)> = self
            .dead_since
            .iter()
            .filter(|(_, since)| excess > 0 || now.saturating_sub(**since) > DEAD_RETENTION)
            .map(|(node, since)| (*since, node.clone()))
            .collect();
        dead.sort();
        let oldest = dead.into_iter().enumerate();
        let gone = oldest.filter(|(index, (since, _))| {
            *index < excess || now.saturating_sub(*since) > DEAD_RETENTION
        });
        for (_, (_, node)) in gone {
            self.dead_since.remove(&node);
            self.roster.remove(&node);
            tables.members.forget(&node);
            tables.members.prune_floors(self.own.applied_version);
        }
    }
}

/// Probes.
impl GossipMachine {
    fn start_probe(
        &mut self,
        now: Duration,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let domain = &self.own.domain;
        let next = self
            .roster
            .next_probe(tables.members, domain, &mut self.rng);
        let Some(peer) = next else {
            self.probe = None;
            return;
        };
        let number = self.next_number();
        output.packets.push(self.ping(&peer, number, tables));
        self.probe = Some(ActiveProbe {
            peer,
            number,
            started: now,
            attempts: 1,
            answered: false,
        });
    }

    fn retry_probe(&mut self, tables: &mut GossipTables<'_>, output: &mut MachineOutput) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        probe.attempts += 1;
        let direct = self.ping(&probe.peer, probe.number, tables);
        output.packets.push(direct);
        for helper in self.choose_helpers(&probe.peer, tables) {
            let request = PingRequest {
                node: probe.peer.node.to_string(),
                address: probe.peer.address.to_string(),
            };
            let kind = GossipKind::PingRequest(request);
            let packet = self.packet(kind, probe.number, Vec::new(), tables);
            output.packets.push(OutgoingPacket {
                address: helper.address,
                packet,
            });
        }
        self.probe = Some(probe);
    }

    fn choose_helpers(
        &mut self,
        peer: &PeerContact,
        tables: &GossipTables<'_>,
    ) -> Vec<PeerContact> {
        let is_helper =
            |record: &MemberRecord| record.state == MemberState::Alive && record.node != *peer.node;
        self.roster
            .choose(tables.members, HELPER_COUNT, &mut self.rng, is_helper)
    }

    fn finish_probe(
        &mut self,
        now: Duration,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let is_alive = tables
            .members
            .get(&probe.peer.node)
            .is_some_and(|record| record.state == MemberState::Alive);
        if probe.answered || !is_alive || self.is_deaf(&probe, now) {
            return;
        }
        info!(node = %self.own.node, peer = %probe.peer.node, "member did not answer and is suspect");
        self.claim(&probe.peer.node, MemberState::Suspect, now, tables);
        let number = self.next_number();
        output.packets.push(self.ping(&probe.peer, number, tables));
    }

    /// Returns whether the silence of a peer may be the fault of this node.
    fn is_deaf(&self, probe: &ActiveProbe, now: Duration) -> bool {
        let silent = now.saturating_sub(self.heard_at);
        let longest = self.section.probe_interval * DEAF_INTERVALS;
        self.heard_at < probe.started && silent < longest
    }

    /// Tells some of the members just heard to be suspect, so that they can refute it at once.
    fn warn_suspects(
        &mut self,
        suspects: &[Arc<str>],
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let share = (SUSPECT_PINGS / (self.roster.len() as f64 + 1.0)).min(1.0);
        for node in suspects {
            let Some(record) = tables.members.get(node) else {
                continue;
            };
            if self.rng.random_bool(share) {
                let peer = PeerContact {
                    node: node.clone(),
                    address: record.peer_address,
                };
                let number = self.next_number();
                output.packets.push(self.ping(&peer, number, tables));
            }
        }
    }

    /// Tries to reach dead members and a seed that no live member uses, so that partitions which hold
    /// each other for dead find together again.
    fn reconnect(
        &mut self,
        now: Duration,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let is_due = self.rounds.is_multiple_of(RECONNECT_INTERVALS);
        let expected = self.section.probe_interval * RETURN_INTERVALS;
        let is_returning = self.returned_at.is_some_and(|at| now < at + expected);
        let count = if is_returning {
            RETURN_PINGS
        } else {
            usize::from(is_due)
        };
        for peer in self.choose_dead(count, tables) {
            let number = self.next_number();
            output.packets.push(self.ping(&peer, number, tables));
        }
        if is_due && let Some(address) = self.choose_seed(tables) {
            self.ping_seed(address, tables, output);
        }
    }

    fn choose_dead(&mut self, count: usize, tables: &GossipTables<'_>) -> Vec<PeerContact> {
        if count == 0 {
            return Vec::new();
        }
        let dead = self.dead_since.keys().filter_map(|node| {
            let record = tables.members.get(node)?;
            let address = record.peer_address;
            (record.state == MemberState::Dead).then(|| PeerContact {
                node: node.clone(),
                address,
            })
        });
        dead.choose_multiple(&mut self.rng, count)
    }

    fn ping_seed(
        &mut self,
        address: SocketAddr,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let number = self.next_number();
        let own = vec![member_event(full_event(&self.own))];
        let packet = self.packet(GossipKind::Ping(Ping {}), number, own, tables);
        output.packets.push(OutgoingPacket { address, packet });
    }

    fn choose_seed(&mut self, tables: &GossipTables<'_>) -> Option<SocketAddr> {
        let seeds = &self.section.seeds;
        if seeds.is_empty() {
            return None;
        }
        let seed = seeds[self.rng.random_range(0..seeds.len())];
        let is_live = |record: &MemberRecord| record.peer_address == seed && is_reachable(record);
        let is_known = tables.members.iter().any(is_live);
        (seed != self.own.peer_address && !is_known).then_some(seed)
    }

    fn ping(
        &mut self,
        peer: &PeerContact,
        number: u64,
        tables: &GossipTables<'_>,
    ) -> OutgoingPacket {
        let mut first = vec![member_event(full_event(&self.own))];
        first.extend(claim_about(&peer.node, tables));
        OutgoingPacket {
            address: peer.address,
            packet: self.packet(GossipKind::Ping(Ping {}), number, first, tables),
        }
    }
}

/// Packets.
impl GossipMachine {
    fn packet(
        &mut self,
        kind: GossipKind,
        number: u64,
        first: Vec<GossipEvent>,
        tables: &GossipTables<'_>,
    ) -> GossipPacket {
        let mut packet = GossipPacket {
            protocol: PROTOCOL_VERSION,
            sender: self.own.node.clone(),
            number,
            config_version: self.own.applied_version,
            events: Vec::new(),
            kind: Some(kind),
        };
        let mut budget = MAX_PACKET_BYTES.saturating_sub(packet.encoded_len());
        for event in first {
            let bytes = event_bytes(&event);
            if bytes <= budget {
                budget -= bytes;
                packet.events.push(event);
            }
        }
        let limit = transmit_limit(tables.members.len());
        packet.events.extend(self.queue.take(budget, limit));
        packet
    }

    fn push_random(&mut self, tables: &GossipTables<'_>, output: &mut MachineOutput) {
        for peer in self.choose_push_targets(tables) {
            let packet = self.packet(GossipKind::Push(Push {}), 0, Vec::new(), tables);
            output.packets.push(OutgoingPacket {
                address: peer.address,
                packet,
            });
        }
    }

    /// Chooses half of the members in other failure domains and the rest anywhere.
    fn choose_push_targets(&mut self, tables: &GossipTables<'_>) -> Vec<PeerContact> {
        let count = self.section.push_fanout;
        let domain = &self.own.domain;
        let is_foreign =
            |record: &MemberRecord| record.state == MemberState::Alive && &record.domain != domain;
        let mut chosen =
            self.roster
                .choose(tables.members, count.div_ceil(2), &mut self.rng, is_foreign);
        let names: Vec<Arc<str>> = chosen.iter().map(|peer| peer.node.clone()).collect();
        let is_other = |record: &MemberRecord| {
            is_reachable(record) && !names.iter().any(|name| **name == *record.node)
        };
        let rest = count - chosen.len();
        chosen.extend(
            self.roster
                .choose(tables.members, rest, &mut self.rng, is_other),
        );
        chosen
    }

    fn tell_customer(&mut self, tables: &GossipTables<'_>, output: &mut MachineOutput) {
        let Some(target) = &self.own.target else {
            return;
        };
        let customer = target.key.customer.clone();
        let is_kin = |record: &MemberRecord| {
            is_reachable(record)
                && record
                    .target
                    .as_ref()
                    .is_some_and(|other| other.key.customer == customer)
        };
        let peers = self
            .roster
            .choose(tables.members, DEMAND_FANOUT, &mut self.rng, is_kin);
        for peer in peers {
            let first = vec![member_event(full_event(&self.own))];
            let packet = self.packet(GossipKind::Push(Push {}), 0, first, tables);
            output.packets.push(OutgoingPacket {
                address: peer.address,
                packet,
            });
        }
    }

    fn note_version(
        &mut self,
        packet: &GossipPacket,
        from: SocketAddr,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let version = packet.config_version;
        tables.members.raise_floor(&packet.sender, version);
        if version > self.own.applied_version {
            output.newer = Some(NewerVersion {
                node: packet.sender.clone(),
                address: from,
                version,
            });
        }
    }

    fn answer(
        &mut self,
        packet: &GossipPacket,
        from: SocketAddr,
        now: Duration,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        match &packet.kind {
            Some(GossipKind::Ping(_)) => {
                let first = self.corrections(packet, tables);
                let answer = self.ack(&self.own.node.clone(), packet.number, first, tables);
                output.packets.push(OutgoingPacket {
                    address: from,
                    packet: answer,
                });
            }
            Some(GossipKind::Ack(ack)) => self.take_ack(ack, packet.number, tables, output),
            Some(GossipKind::PingRequest(request)) => {
                self.relay_probe(request, packet.number, from, now, tables, output);
            }
            Some(GossipKind::Push(_)) => self.answer_push(packet, from, tables, output),
            None => {}
        }
    }

    /// A peer that announces an older version learns of the newer one at once.
    fn answer_push(
        &mut self,
        packet: &GossipPacket,
        from: SocketAddr,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        if packet.config_version < self.own.applied_version {
            let answer = self.packet(GossipKind::Push(Push {}), 0, Vec::new(), tables);
            output.packets.push(OutgoingPacket {
                address: from,
                packet: answer,
            });
        }
    }

    /// Returns what the sender of a ping should hear first.
    ///
    /// That is what this node holds against the sender or knows of a later life of it, so that the
    /// sender can refute it; and the own record, if the sender holds this node for suspect or dead.
    fn corrections(&self, packet: &GossipPacket, tables: &GossipTables<'_>) -> Vec<GossipEvent> {
        let mut corrections = Vec::new();
        let said = said_of(packet, &packet.sender);
        let known = tables.members.get(&packet.sender);
        if let Some(claim) = claim_about(&packet.sender, tables) {
            corrections.push(claim);
        } else if let (Some(said), Some(known)) = (said, known)
            && known.incarnation > said.incarnation
        {
            corrections.push(member_event(full_event(known)));
        }
        if said_of(packet, &self.own.node).is_some() {
            corrections.push(member_event(full_event(&self.own)));
        }
        corrections
    }

    fn ack(
        &mut self,
        alive: &str,
        number: u64,
        first: Vec<GossipEvent>,
        tables: &GossipTables<'_>,
    ) -> GossipPacket {
        let kind = GossipKind::Ack(Ack {
            alive: alive.to_owned(),
        });
        self.packet(kind, number, first, tables)
    }

    fn take_ack(
        &mut self,
        ack: &Ack,
        number: u64,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        if let Some(probe) = &mut self.probe
            && probe.number == number
            && *probe.peer.node == *ack.alive
        {
            probe.answered = true;
        }
        if let Some(relay) = self.relays.remove(&number) {
            let packet = self.ack(&ack.alive, relay.origin_number, Vec::new(), tables);
            output.packets.push(OutgoingPacket {
                address: relay.origin,
                packet,
            });
        }
    }

    fn relay_probe(
        &mut self,
        request: &PingRequest,
        origin_number: u64,
        origin: SocketAddr,
        now: Duration,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let Ok(address) = request.address.parse() else {
            return;
        };
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let number = self.next_number();
        self.relays.insert(
            number,
            ProbeRelay {
                origin,
                origin_number,
                deadline: now + self.section.probe_interval,
            },
        );
        let peer = PeerContact {
            node: Arc::from(request.node.as_str()),
            address,
        };
        output.packets.push(self.ping(&peer, number, tables));
    }
}

/// What taking over an event changed.
#[derive(Clone, Copy, Debug, Default)]
struct MergeEffect {
    is_news: bool,
    is_urgent: bool,
    is_suspicion: bool,
}

/// What taking over the events of a packet changed.
#[derive(Clone, Debug, Default)]
struct PacketEffect {
    is_urgent: bool,
    suspects: Vec<Arc<str>>,
}

/// Events.
impl GossipMachine {
    fn take_events(
        &mut self,
        events: &[GossipEvent],
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> PacketEffect {
        let mut total = PacketEffect::default();
        for event in events {
            match &event.body {
                Some(EventBody::Member(member)) => {
                    let effect = self.take_member(member, now, tables);
                    total.is_urgent |= effect.is_urgent;
                    let suspect = effect.is_suspicion.then_some(&member.node);
                    let name = suspect.and_then(|node| tables.members.name_of(node));
                    total.suspects.extend(name);
                }
                Some(EventBody::Veto(veto)) => {
                    total.is_urgent |= self.take_veto(veto, event, tables);
                }
                None => {}
            }
        }
        total
    }

    fn take_veto(
        &mut self,
        veto: &VetoEvent,
        event: &GossipEvent,
        tables: &mut GossipTables<'_>,
    ) -> bool {
        let is_new = tables.vetoes.add(veto_of(veto));
        if is_new {
            self.enqueue(event.clone());
        }
        is_new
    }

    fn take_member(
        &mut self,
        event: &MemberEvent,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> MergeEffect {
        let Ok(state) = state_of(event) else {
            return MergeEffect::default();
        };
        if event.node == self.own.node {
            let is_urgent = self.defend_own(event, state, tables);
            return MergeEffect {
                is_urgent,
                ..MergeEffect::default()
            };
        }
        let record = if is_whole(event) {
            record_of(event).ok()
        } else {
            claimed_record(event, state, tables.members)
        };
        record.map_or_else(MergeEffect::default, |mut record| {
            soften_death(&mut record, tables.members);
            self.merge_record(record, now, tables)
        })
    }

    /// Answers a claim about this node with a higher incarnation if it would prevail over its record;
    /// returns whether it did.
    fn defend_own(
        &mut self,
        event: &MemberEvent,
        state: MemberState,
        tables: &mut GossipTables<'_>,
    ) -> bool {
        tables
            .members
            .raise_floor(&event.node, event.applied_version);
        let heard = (event.incarnation, state, event.sequence);
        let own = (self.own.incarnation, self.own.state, self.own.sequence);
        if heard <= own {
            return false;
        }
        self.own.incarnation = event.incarnation.saturating_add(1);
        info!(
            node = %self.own.node,
            claim = %state,
            incarnation = self.own.incarnation,
            "refutes a claim about itself"
        );
        self.publish_own(tables);
        true
    }

    fn merge_record(
        &mut self,
        record: MemberRecord,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> MergeEffect {
        let node = record.node.clone();
        let before = tables.members.get(&node).cloned();
        if !tables.members.merge(record) {
            return MergeEffect::default();
        }
        let Some(name) = tables.members.name_of(&node) else {
            return MergeEffect::default();
        };
        if before.is_none() {
            self.roster.add(name.clone(), &mut self.rng);
        }
        let Some(after) = tables.members.get(&node) else {
            return MergeEffect::default();
        };
        if before.as_ref().map(|record| record.incarnation) != Some(after.incarnation) {
            self.suspects.remove(&name);
        }
        self.set_timers(&name, now, tables);
        let has_returned = after.state == MemberState::Alive
            && before
                .as_ref()
                .is_some_and(|before| before.state == MemberState::Dead);
        if has_returned {
            self.returned_at = Some(now);
        }
        let effect = effect_of(before.as_ref(), after);
        if effect.is_news {
            self.enqueue(member_event(spread_event(after)));
        }
        effect
    }

    fn claim(
        &mut self,
        node: &str,
        state: MemberState,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) {
        if let Some(record) = tables.members.get(node) {
            let mut record = record.clone();
            record.state = state;
            self.merge_record(record, now, tables);
        }
    }

    fn set_timers(&mut self, name: &Arc<str>, now: Duration, tables: &GossipTables<'_>) {
        let Some(record) = tables.members.get(name) else {
            return;
        };
        let deadline = now + self.suspicion_time();
        match record.state {
            MemberState::Alive => {
                self.suspects.remove(name);
                self.dead_since.remove(name);
            }
            MemberState::Suspect => {
                self.dead_since.remove(name);
                self.suspects.entry(name.clone()).or_insert(deadline);
            }
            MemberState::Dead | MemberState::Left => {
                self.suspects.remove(name);
                self.dead_since.entry(name.clone()).or_insert(now);
            }
        }
    }
}

/// Returns how often an event is sent on in a fleet of this size.
pub fn transmit_limit(members: usize) -> u32 {
    TRANSMIT_FACTOR * (members as u64 + 1).ilog2().max(1)
}

fn claim_about(node: &str, tables: &GossipTables<'_>) -> Option<GossipEvent> {
    let record = tables.members.get(node)?;
    let is_claim = record.state != MemberState::Alive;
    is_claim.then(|| member_event(spread_event(record)))
}

/// Returns the record that results from a claim without content, if the node is known.
fn claimed_record(
    event: &MemberEvent,
    state: MemberState,
    members: &MemberTable,
) -> Option<MemberRecord> {
    let mut record = members.get(&event.node)?.clone();
    record.incarnation = event.incarnation;
    record.sequence = record.sequence.max(event.sequence);
    record.state = state;
    record.applied_version = record.applied_version.max(event.applied_version);
    Some(record)
}

/// Makes a claim of death a suspicion if the member is not yet suspect here.
///
/// A node that hears nobody declares all its peers dead. Where the suspicion came by, it has been refuted
/// by then; where it did not, the member still gets the time to refute.
fn soften_death(record: &mut MemberRecord, members: &MemberTable) {
    let is_alive = members
        .get(&record.node)
        .is_some_and(|known| known.state == MemberState::Alive);
    if is_alive && record.state == MemberState::Dead {
        record.state = MemberState::Suspect;
    }
}

/// Returns the event in which a packet speaks of a node.
fn said_of<'a>(packet: &'a GossipPacket, node: &str) -> Option<&'a MemberEvent> {
    packet.events.iter().find_map(|event| match &event.body {
        Some(EventBody::Member(member)) if member.node == node => Some(member),
        _ => None,
    })
}

/// Returns the sequence of a record that differs from the present one in more than demand.
fn next_news(sequence: u64) -> u64 {
    ((sequence >> DEMAND_BITS) + 1) << DEMAND_BITS
}

fn effect_of(before: Option<&MemberRecord>, after: &MemberRecord) -> MergeEffect {
    let Some(before) = before else {
        return MergeEffect {
            is_news: true,
            ..MergeEffect::default()
        };
    };
    let is_news = before.incarnation != after.incarnation
        || before.state != after.state
        || before.sequence >> DEMAND_BITS != after.sequence >> DEMAND_BITS;
    let has_left = before.state != after.state && after.state == MemberState::Left;
    let has_withdrawn = is_reachable(after) && before.is_available() && !after.is_available();
    MergeEffect {
        is_news,
        is_urgent: has_left || has_withdrawn,
        is_suspicion: before.state == MemberState::Alive && after.state == MemberState::Suspect,
    }
}

fn is_target_news(before: Option<&TargetRecord>, after: Option<&TargetRecord>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => {
            let demand = after.demand;
            TargetRecord {
                demand,
                ..before.clone()
            } != *after
        }
        (None, None) => false,
        _ => true,
    }
}

fn truncate_text(text: &mut String, limit: usize) {
    let end = text.floor_char_boundary(limit);
    text.truncate(end);
}
