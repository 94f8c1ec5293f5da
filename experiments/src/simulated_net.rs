//! Drives many membership state machines in simulated time, without sockets.
//!
//! Everything follows from the seed, so two runs of one build behave the same.

use {
    poplarwing::{
        gossip::{
            machine::{GossipMachine, GossipTables, MachineOutput, NewerVersion},
            member_events::full_event,
        },
        membership::{MemberRecord, MemberState, MemberTable},
        settings::GossipSection,
        veto_table::VetoTable,
        wire::MemberEvent,
        wire_codec::{decode_packet, encode_packet},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Bytes of a pull in either direction together: greeting, request, a delta of 1 KB and the headers of
/// ten TCP segments.
const PULL_BYTES: u64 = 1_500;

/// Bytes of a pull that is refused.
const BUSY_PULL_BYTES: u64 = 500;

/// Shortest time from sending to delivery.
const MIN_LATENCY: Duration = Duration::from_micros(500);

/// Longest addition to the latency.
const LATENCY_SPREAD: Duration = Duration::from_micros(500);

/// Round trips and work of one pull.
const PULL_TIME: Duration = Duration::from_millis(4);

/// Time that a lost segment adds to a pull.
const RETRANSMIT_TIME: Duration = Duration::from_millis(200);

/// Segments of a pull that may be lost.
const PULL_SEGMENTS: i32 = 10;

/// Longest random delay before a pull.
const PULL_JITTER: Duration = Duration::from_millis(50);

/// Pulls that one node serves at once.
const MAX_PULLS: usize = 16;

/// Shortest delay that a busy node asks for, in milliseconds.
const MIN_BUSY_MS: u64 = 100;

/// Longest delay that a busy node asks for, in milliseconds.
const MAX_BUSY_MS: u64 = 400;

/// Failure domains of the simulated fleet.
pub const DOMAIN_COUNT: usize = 12;

/// Port of every simulated node.
const PEER_PORT: u16 = 7000;

/// One node of the simulation.
pub struct SimulatedNode {
    /// Its protocol.
    pub machine: GossipMachine,
    /// What it knows of the others.
    pub members: MemberTable,
    /// Vetoes that it knows.
    pub vetoes: VetoTable,
    /// Version in force.
    pub version: u64,
    /// Whether its process runs.
    pub is_up: bool,
    /// Side of a cut that it is on.
    pub side: u8,
    /// Control bytes sent and received.
    pub bytes: u64,
    /// Highest digest of moves that this node was told to ask for.
    pub heard_moves: u64,
    paused_until: Duration,
    generation: u32,
    wanted: Option<NewerVersion>,
    is_pulling: bool,
    pulls_served: usize,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum NetEvent {
    Wake {
        node: usize,
        generation: u32,
    },
    Deliver {
        to: usize,
        from: usize,
        datagram: Vec<u8>,
    },
    PullStart {
        node: usize,
        generation: u32,
    },
    PullEnd {
        node: usize,
        generation: u32,
        server: usize,
        version: u64,
    },
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct ScheduledEvent {
    at: Duration,
    number: u64,
    event: NetEvent,
}

/// A network of nodes with losses, duplicates and cuts.
pub struct SimulatedNet {
    /// The nodes by index.
    pub nodes: Vec<SimulatedNode>,
    /// Simulated time.
    pub now: Duration,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Share of datagrams delivered twice.
    pub duplicates: f64,
    /// Directions between sides that lose everything.
    pub cuts: BTreeSet<(u8, u8)>,
    /// Longest datagram seen.
    pub longest_datagram: usize,
    /// Refused pulls.
    pub busy_pulls: u64,
    section: GossipSection,
    rng: StdRng,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    count: u64,
}

/// Returns the address of a simulated node.
pub fn address_of(index: usize) -> SocketAddr {
    let base = u32::from(Ipv4Addr::new(10, 0, 0, 0));
    (Ipv4Addr::from(base + index as u32), PEER_PORT).into()
}

/// Returns the name of a simulated node.
pub fn name_of(index: usize) -> String {
    format!("node-{index}")
}

fn index_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            let base = u32::from(Ipv4Addr::new(10, 0, 0, 0));
            Some((u32::from(*address.ip()) - base) as usize)
        }
        SocketAddr::V6(_) => None,
    }
}

/// Returns the record with which a simulated node starts.
fn record_of(index: usize, incarnation: u64, domain: usize) -> MemberRecord {
    MemberRecord {
        node: name_of(index),
        incarnation,
        sequence: 0,
        state: MemberState::Alive,
        domain: format!("domain-{domain}"),
        peer_address: address_of(index),
        forward_address: address_of(index),
        target: None,
        applied_version: 0,
    }
}

/// Returns the settings of the simulated nodes; three nodes are seeds.
pub fn section(push_fanout: usize) -> GossipSection {
    GossipSection {
        seeds: (0..3).map(address_of).collect(),
        probe_interval: Duration::from_secs(1),
        probe_timeout: Duration::from_millis(300),
        push_fanout,
        join_quorum: 3,
        join_spread: Duration::ZERO,
    }
}

impl SimulatedNet {
    /// Makes a network of nodes that know each other, spread evenly over the failure domains.
    pub fn new(size: usize, seed: u64, section: GossipSection) -> Self {
        Self::with_domains(size, seed, section, |index| index % DOMAIN_COUNT)
    }

    /// Makes a network of nodes that know each other, each in the failure domain that `domain_of` names.
    pub fn with_domains(
        size: usize,
        seed: u64,
        section: GossipSection,
        domain_of: impl Fn(usize) -> usize,
    ) -> Self {
        let mut known = MemberTable::default();
        for index in 0..size {
            known.merge(record_of(index, 1, domain_of(index)));
        }
        let mut net = Self {
            nodes: Vec::with_capacity(size),
            now: Duration::ZERO,
            loss: 0.0,
            duplicates: 0.0,
            cuts: BTreeSet::new(),
            longest_datagram: 0,
            busy_pulls: 0,
            section,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            count: 0,
        };
        for index in 0..size {
            let own = record_of(index, 1, domain_of(index));
            let node = net.make_node(own, known.clone());
            net.nodes.push(node);
            net.wake(index);
        }
        net
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Duration) {
        while self.events.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = next.at;
            self.take(next.event);
        }
        self.now = end;
    }

    /// Runs probe intervals until `is_done` holds; returns how many, or none after `limit` of them.
    pub fn rounds_until(&mut self, limit: u32, is_done: impl Fn(&Self) -> bool) -> Option<u32> {
        for round in 0..=limit {
            if is_done(self) {
                return Some(round);
            }
            self.run_rounds(1);
        }
        None
    }

    /// Runs a number of probe intervals.
    pub fn run_rounds(&mut self, rounds: u32) {
        self.run_until(self.now + self.section.probe_interval * rounds);
    }

    /// Lets one step of a node's protocol run now.
    pub fn act(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut GossipMachine, Duration, &mut GossipTables<'_>) -> MachineOutput,
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let mut tables = GossipTables {
            members: &mut node.members,
            vetoes: &mut node.vetoes,
        };
        let output = step(&mut node.machine, now, &mut tables);
        self.send(index, output);
    }

    /// Puts a version in force on a node.
    pub fn apply(&mut self, index: usize, version: u64) {
        self.nodes[index].version = version;
        self.act(index, |machine, _, tables| {
            machine.set_version(version, tables)
        });
    }

    /// Ends the process of a node.
    pub fn stop(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_up = false;
        node.generation += 1;
        node.pulls_served = 0;
    }

    /// Starts a node anew, without state; it joins through `peer`.
    pub fn restart(&mut self, index: usize, peer: usize) {
        let generation = self.nodes[index].generation + 1;
        let known = &self.nodes[peer].members;
        let remembered = known
            .get(&name_of(index))
            .map_or(0, |record| record.incarnation);
        let mut live: Vec<MemberEvent> = known
            .iter()
            .filter(|record| record.state <= MemberState::Suspect)
            .map(full_event)
            .collect();
        live.sort_by(|first, second| first.node.cmp(&second.node));
        let mut own = self.nodes[index].machine.own().clone();
        own.incarnation = remembered + 1;
        own.sequence = 0;
        own.target = None;
        own.applied_version = 0;
        let mut node = self.make_node(own, MemberTable::default());
        node.generation = generation;
        node.side = self.nodes[index].side;
        let own = full_event(node.machine.own());
        self.nodes[index] = node;
        self.act(index, |machine, now, tables| {
            machine.merge_members(&live, now, tables);
            MachineOutput::default()
        });
        self.act(peer, |machine, now, tables| {
            machine.admit_member(&own, now, tables);
            MachineOutput::default()
        });
        self.wake(index);
    }

    /// Pauses the process of a node; what arrives meanwhile waits.
    pub fn pause(&mut self, index: usize, rounds: u32) {
        self.nodes[index].paused_until = self.now + self.section.probe_interval * rounds;
    }

    /// Returns how many running nodes see a node in a state.
    pub fn count_views(&self, index: usize, state: MemberState) -> usize {
        let name = name_of(index);
        self.nodes
            .iter()
            .enumerate()
            .filter(|(viewer, node)| node.is_up && *viewer != index)
            .filter(|(_, node)| {
                node.members
                    .get(&name)
                    .is_some_and(|seen| seen.state == state)
            })
            .count()
    }

    /// Returns whether every running node sees every running node alive and every stopped one dead.
    pub fn agrees(&self) -> bool {
        let expected: BTreeMap<String, bool> = self
            .nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (name_of(index), node.is_up))
            .collect();
        self.nodes.iter().filter(|node| node.is_up).all(|node| {
            expected
                .iter()
                .all(|(name, is_up)| match node.members.get(name) {
                    Some(seen) => (seen.state == MemberState::Alive) == *is_up,
                    None => !is_up,
                })
        })
    }

    /// Returns the share of running nodes that have at least a version in force.
    pub fn share_with(&self, version: u64) -> f64 {
        let up = self.nodes.iter().filter(|node| node.is_up);
        let have = up.clone().filter(|node| node.version >= version).count();
        have as f64 / up.count() as f64
    }

    /// Returns the control bytes of all nodes together; each byte counts at both ends.
    pub fn total_bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.bytes).sum()
    }

    fn make_node(&mut self, own: MemberRecord, known: MemberTable) -> SimulatedNode {
        let mut members = known;
        let mut vetoes = VetoTable::default();
        let mut tables = GossipTables {
            members: &mut members,
            vetoes: &mut vetoes,
        };
        let seed = self.rng.random();
        let machine = GossipMachine::new(self.section.clone(), own, seed, self.now, &mut tables);
        SimulatedNode {
            machine,
            members,
            vetoes,
            version: 0,
            is_up: true,
            side: 0,
            bytes: 0,
            heard_moves: 0,
            paused_until: Duration::ZERO,
            generation: 0,
            wanted: None,
            is_pulling: false,
            pulls_served: 0,
        }
    }

    fn schedule(&mut self, at: Duration, event: NetEvent) {
        self.count += 1;
        let number = self.count;
        self.events
            .push(Reverse(ScheduledEvent { at, number, event }));
    }

    fn wake(&mut self, index: usize) {
        let node = &self.nodes[index];
        let at = node.machine.next_wakeup().max(self.now);
        let generation = node.generation;
        self.schedule(
            at,
            NetEvent::Wake {
                node: index,
                generation,
            },
        );
    }

    fn take(&mut self, event: NetEvent) {
        let node = match &event {
            NetEvent::Wake { node, .. } | NetEvent::PullStart { node, .. } => *node,
            NetEvent::Deliver { to, .. } => *to,
            NetEvent::PullEnd { node, .. } => *node,
        };
        let paused_until = self.nodes[node].paused_until;
        if paused_until > self.now {
            self.schedule(paused_until, event);
            return;
        }
        match event {
            NetEvent::Wake { node, generation } => self.take_wake(node, generation),
            NetEvent::Deliver { to, from, datagram } => self.deliver(to, from, &datagram),
            NetEvent::PullStart { node, generation } => self.start_pull(node, generation),
            NetEvent::PullEnd {
                node,
                generation,
                server,
                version,
            } => {
                self.end_pull(node, generation, server, version);
            }
        }
    }

    fn is_current(&self, node: usize, generation: u32) -> bool {
        self.nodes[node].is_up && self.nodes[node].generation == generation
    }

    fn take_wake(&mut self, node: usize, generation: u32) {
        if self.is_current(node, generation) {
            self.act(node, |machine, now, tables| machine.tick(now, tables));
            self.wake(node);
        }
    }

    fn deliver(&mut self, to: usize, from: usize, datagram: &[u8]) {
        if !self.nodes[to].is_up {
            return;
        }
        self.nodes[to].bytes += datagram.len() as u64 + DATAGRAM_HEADER_BYTES;
        let packet = decode_packet(datagram).expect("machines send valid packets");
        self.act(to, |machine, now, tables| {
            machine.handle_packet(&packet, address_of(from), now, tables)
        });
    }

    fn send(&mut self, from: usize, output: MachineOutput) {
        for outgoing in &output.packets {
            let datagram = encode_packet(&outgoing.packet).expect("machines keep to the limit");
            self.longest_datagram = self.longest_datagram.max(datagram.len());
            self.nodes[from].bytes += datagram.len() as u64 + DATAGRAM_HEADER_BYTES;
            let to = index_of(outgoing.address);
            if let Some(to) = to.filter(|to| *to < self.nodes.len()) {
                self.transmit(from, to, datagram);
            }
        }
        if let Some(newer) = output.newer {
            self.want(from, newer);
        }
        if let Some(newer) = output.newer_moves {
            let node = &mut self.nodes[from];
            node.heard_moves = node.heard_moves.max(newer.digest);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        let copies = if self.rng.random_bool(self.duplicates) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.is_cut(from, to) || self.rng.random_bool(self.loss) {
                continue;
            }
            let at = self.now + self.latency();
            let datagram = datagram.clone();
            self.schedule(at, NetEvent::Deliver { to, from, datagram });
        }
    }

    fn latency(&mut self) -> Duration {
        MIN_LATENCY + LATENCY_SPREAD.mul_f64(self.rng.random::<f64>())
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let sides = (self.nodes[from].side, self.nodes[to].side);
        self.cuts.contains(&sides)
    }

    fn want(&mut self, index: usize, newer: NewerVersion) {
        let jitter = PULL_JITTER.mul_f64(self.rng.random::<f64>());
        let at = self.now + jitter;
        let node = &mut self.nodes[index];
        if newer.version <= node.version {
            return;
        }
        node.wanted = Some(newer);
        if node.is_pulling {
            return;
        }
        node.is_pulling = true;
        let generation = node.generation;
        self.schedule(
            at,
            NetEvent::PullStart {
                node: index,
                generation,
            },
        );
    }

    fn start_pull(&mut self, index: usize, generation: u32) {
        if !self.is_current(index, generation) {
            return;
        }
        let wanted = self.nodes[index].wanted.clone();
        let server = wanted.and_then(|newer| index_of(newer.address));
        let Some(server) = server.filter(|server| self.can_pull(index, *server)) else {
            self.nodes[index].is_pulling = false;
            return;
        };
        if self.nodes[server].pulls_served >= MAX_PULLS {
            self.refuse_pull(index, server, generation);
            return;
        }
        self.nodes[server].pulls_served += 1;
        let version = self.nodes[server].version;
        let mut time = PULL_TIME;
        for _ in 0..PULL_SEGMENTS {
            if self.rng.random_bool(self.loss) {
                time += RETRANSMIT_TIME;
            }
        }
        let end = NetEvent::PullEnd {
            node: index,
            generation,
            server,
            version,
        };
        self.schedule(self.now + time, end);
    }

    fn can_pull(&self, index: usize, server: usize) -> bool {
        let is_open = !self.is_cut(index, server) && !self.is_cut(server, index);
        is_open
            && self.nodes[server].is_up
            && self.nodes[server].version > self.nodes[index].version
    }

    fn refuse_pull(&mut self, index: usize, server: usize, generation: u32) {
        self.busy_pulls += 1;
        self.nodes[index].bytes += BUSY_PULL_BYTES;
        self.nodes[server].bytes += BUSY_PULL_BYTES;
        let delay = Duration::from_millis(self.rng.random_range(MIN_BUSY_MS..=MAX_BUSY_MS));
        self.schedule(
            self.now + delay,
            NetEvent::PullStart {
                node: index,
                generation,
            },
        );
    }

    fn end_pull(&mut self, index: usize, generation: u32, server: usize, version: u64) {
        let served = &mut self.nodes[server].pulls_served;
        *served = served.saturating_sub(1);
        if !self.is_current(index, generation) {
            return;
        }
        self.nodes[index].bytes += PULL_BYTES;
        self.nodes[server].bytes += PULL_BYTES;
        self.nodes[index].is_pulling = false;
        if version > self.nodes[index].version {
            self.apply(index, version);
        }
    }
}
