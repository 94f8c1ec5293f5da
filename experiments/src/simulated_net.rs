//! Discrete-event simulation of a fleet of gossip state machines, without sockets.
//!
//! Message loss, latency and retry delays are drawn from one seeded generator, so two runs of one build
//! with the same seed behave the same.

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

/// Bytes that a configuration pull adds to the count of each end, both directions together: handshake,
/// request, a delta of 1 KB and the headers of ten TCP segments.
const PULL_BYTES: u64 = 1_500;

/// Bytes that a pull refused by a busy server adds to the count of each end.
const REFUSED_PULL_BYTES: u64 = 500;

/// Shortest one-way latency of a datagram.
const MIN_LATENCY: Duration = Duration::from_micros(500);

/// Largest random addition to `MIN_LATENCY`.
const LATENCY_JITTER: Duration = Duration::from_micros(500);

/// Duration of a pull without packet loss: round trips and processing.
const PULL_DURATION: Duration = Duration::from_millis(4);

/// Delay that each lost TCP segment adds to a pull.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// TCP segments of a pull, each of which may be lost.
const PULL_SEGMENTS: i32 = 10;

/// Longest random delay before a pull starts.
const PULL_JITTER: Duration = Duration::from_millis(50);

/// Pulls that one node serves concurrently; it refuses further ones.
const MAX_SERVED_PULLS: usize = 16;

/// Shortest retry delay after a refused pull, in milliseconds.
const MIN_PULL_RETRY_MS: u64 = 100;

/// Longest retry delay after a refused pull, in milliseconds.
const MAX_PULL_RETRY_MS: u64 = 400;

/// Failure domains of the simulated fleet.
pub const DOMAIN_COUNT: usize = 12;

/// Gossip port of every simulated node.
const PEER_PORT: u16 = 7000;

/// One node of the simulation.
pub struct SimulatedNode {
    /// Gossip state machine.
    pub machine: GossipMachine,
    /// Membership as this node sees it, itself included.
    pub members: MemberTable,
    /// Vetoes against candidate versions that have reached this node.
    pub vetoes: VetoTable,
    /// Configuration version that this node has applied.
    pub version: u64,
    /// Whether the process of this node runs.
    pub is_up: bool,
    /// Partition group of this node, 0 at first; see [`SimulatedNet::cuts`].
    pub side: u8,
    /// Gossip and pull bytes sent and received, with UDP and IP headers of datagrams.
    pub bytes: u64,
    /// Highest digest of moves that peers have advertised as newer to this node; 0 if none has.
    pub highest_moves_digest: u64,
    paused_until: Duration,
    /// Counts stops and restarts; events scheduled for an earlier generation are ignored.
    generation: u32,
    /// Latest configuration version that a peer advertised as newer, with the peer's address.
    advertised: Option<NewerVersion>,
    is_pulling: bool,
    /// Pulls by other nodes in progress at this node.
    active_served_pulls: usize,
}

/// A scheduled event; `node` and `to` are the nodes that handle it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum NetEvent {
    /// A timer of the node's state machine is due.
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
    /// Orders events of the same time by when they were scheduled.
    sequence: u64,
    event: NetEvent,
}

/// A simulated network of nodes that loses and duplicates datagrams and can be partitioned.
pub struct SimulatedNet {
    /// Nodes by index.
    pub nodes: Vec<SimulatedNode>,
    /// Simulated time since the start.
    pub now: Duration,
    /// Probability that a datagram or a TCP segment of a pull is lost, 0.0 to 1.0.
    pub loss: f64,
    /// Probability that a datagram is sent twice, 0.0 to 1.0.
    pub duplicates: f64,
    /// Pairs of partition groups (sender, receiver) between which all datagrams are lost; a cut in either
    /// direction also blocks pulls.
    pub cuts: BTreeSet<(u8, u8)>,
    /// Length of the longest datagram sent, in bytes.
    pub longest_datagram: usize,
    /// Pulls refused by busy nodes.
    pub refused_pulls: u64,
    section: GossipSection,
    rng: StdRng,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    event_count: u64,
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

/// Returns the membership record with which a simulated node starts.
fn initial_record(index: usize, incarnation: u64, domain: usize) -> MemberRecord {
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

/// Returns the gossip settings of the simulated nodes; the first three nodes are seeds.
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
    /// Creates a network whose nodes start with full membership, spread evenly over the failure domains.
    pub fn new(size: usize, seed: u64, section: GossipSection) -> Self {
        Self::with_domains(size, seed, section, |index| index % DOMAIN_COUNT)
    }

    /// Creates a network whose nodes start with full membership; `domain_of` returns the failure domain of
    /// the node with an index.
    pub fn with_domains(
        size: usize,
        seed: u64,
        section: GossipSection,
        domain_of: impl Fn(usize) -> usize,
    ) -> Self {
        let mut known = MemberTable::default();
        for index in 0..size {
            known.merge(initial_record(index, 1, domain_of(index)));
        }
        let mut net = Self {
            nodes: Vec::with_capacity(size),
            now: Duration::ZERO,
            loss: 0.0,
            duplicates: 0.0,
            cuts: BTreeSet::new(),
            longest_datagram: 0,
            refused_pulls: 0,
            section,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            event_count: 0,
        };
        for index in 0..size {
            let own = initial_record(index, 1, domain_of(index));
            let node = net.make_node(own, known.clone());
            net.nodes.push(node);
            net.schedule_wake(index);
        }
        net
    }

    /// Runs the simulation until the time `end`.
    pub fn run_until(&mut self, end: Duration) {
        while self.events.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = next.at;
            self.handle_event(next.event);
        }
        self.now = end;
    }

    /// Runs probe intervals until `is_done` holds and returns their number, or none if it does not hold
    /// after `limit` intervals.
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

    /// Calls the state machine of a node now and sends the packets that it returns.
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
        node.machine.set_time(now);
        let output = step(&mut node.machine, now, &mut tables);
        self.send(index, output);
    }

    /// Applies a configuration version on a node.
    pub fn apply(&mut self, index: usize, version: u64) {
        self.nodes[index].version = version;
        self.act(index, |machine, _, tables| {
            machine.set_version(version, tables)
        });
    }

    /// Stops the process of a node without notice to its peers.
    pub fn stop(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_up = false;
        node.generation += 1;
        node.active_served_pulls = 0;
    }

    /// Restarts a node without state; it joins through `peer`, from which it gets its new incarnation and
    /// the live members.
    pub fn restart(&mut self, index: usize, peer: usize) {
        let generation = self.nodes[index].generation + 1;
        let known = &self.nodes[peer].members;
        let last_incarnation = known
            .get(&name_of(index))
            .map_or(0, |record| record.incarnation);
        let mut live: Vec<MemberEvent> = known
            .iter()
            .filter(|record| record.state <= MemberState::Suspect)
            .map(full_event)
            .collect();
        live.sort_by(|first, second| first.node.cmp(&second.node));
        let mut own = self.nodes[index].machine.own().clone();
        own.incarnation = last_incarnation + 1;
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
        self.schedule_wake(index);
    }

    /// Pauses the process of a node for some probe intervals; events and datagrams for it are delayed until
    /// the end of the pause.
    pub fn pause(&mut self, index: usize, rounds: u32) {
        self.nodes[index].paused_until = self.now + self.section.probe_interval * rounds;
    }

    /// Returns how many other running nodes see the node `index` in a state.
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

    /// Returns whether every running node sees all running nodes as alive and no stopped node as alive.
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

    /// Returns the share of running nodes that have applied at least a version, 0.0 to 1.0.
    pub fn share_with(&self, version: u64) -> f64 {
        let up = self.nodes.iter().filter(|node| node.is_up);
        let have = up.clone().filter(|node| node.version >= version).count();
        have as f64 / up.count() as f64
    }

    /// Returns the gossip and pull bytes of all nodes together; each byte counts at both ends.
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
            highest_moves_digest: 0,
            paused_until: Duration::ZERO,
            generation: 0,
            advertised: None,
            is_pulling: false,
            active_served_pulls: 0,
        }
    }

    fn schedule(&mut self, at: Duration, event: NetEvent) {
        self.event_count += 1;
        let sequence = self.event_count;
        self.events.push(Reverse(ScheduledEvent {
            at,
            sequence,
            event,
        }));
    }

    fn schedule_wake(&mut self, index: usize) {
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

    fn handle_event(&mut self, event: NetEvent) {
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
            NetEvent::Wake { node, generation } => self.handle_wake(node, generation),
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

    fn handle_wake(&mut self, node: usize, generation: u32) {
        if self.is_current(node, generation) {
            self.act(node, |machine, now, tables| machine.tick(now, tables));
            self.schedule_wake(node);
        }
    }

    fn deliver(&mut self, to: usize, from: usize, datagram: &[u8]) {
        if !self.nodes[to].is_up {
            return;
        }
        self.nodes[to].bytes += datagram.len() as u64 + DATAGRAM_HEADER_BYTES;
        let packet = decode_packet(datagram).expect("state machines send valid packets");
        self.act(to, |machine, now, tables| {
            machine.handle_packet(&packet, address_of(from), now, tables)
        });
    }

    fn send(&mut self, from: usize, output: MachineOutput) {
        for outgoing in &output.packets {
            let datagram = encode_packet(&outgoing.packet)
                .expect("state machines keep packets within the size limit");
            self.longest_datagram = self.longest_datagram.max(datagram.len());
            self.nodes[from].bytes += datagram.len() as u64 + DATAGRAM_HEADER_BYTES;
            let to = index_of(outgoing.address);
            if let Some(to) = to.filter(|to| *to < self.nodes.len()) {
                self.transmit(from, to, datagram);
            }
        }
        if let Some(newer) = output.newer_config {
            self.request_pull(from, newer);
        }
        if let Some(newer) = output.newer_moves {
            let node = &mut self.nodes[from];
            node.highest_moves_digest = node.highest_moves_digest.max(newer.digest);
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
        MIN_LATENCY + LATENCY_JITTER.mul_f64(self.rng.random::<f64>())
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let sides = (self.nodes[from].side, self.nodes[to].side);
        self.cuts.contains(&sides)
    }

    fn request_pull(&mut self, index: usize, newer: NewerVersion) {
        let jitter = PULL_JITTER.mul_f64(self.rng.random::<f64>());
        let at = self.now + jitter;
        let node = &mut self.nodes[index];
        if newer.version <= node.version {
            return;
        }
        node.advertised = Some(newer);
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
        let advertised = self.nodes[index].advertised.clone();
        let server = advertised.and_then(|newer| index_of(newer.address));
        let Some(server) = server.filter(|server| self.can_pull(index, *server)) else {
            self.nodes[index].is_pulling = false;
            return;
        };
        if self.nodes[server].active_served_pulls >= MAX_SERVED_PULLS {
            self.refuse_pull(index, server, generation);
            return;
        }
        self.nodes[server].active_served_pulls += 1;
        let version = self.nodes[server].version;
        let mut time = PULL_DURATION;
        for _ in 0..PULL_SEGMENTS {
            if self.rng.random_bool(self.loss) {
                time += RETRANSMIT_DELAY;
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
        self.refused_pulls += 1;
        self.nodes[index].bytes += REFUSED_PULL_BYTES;
        self.nodes[server].bytes += REFUSED_PULL_BYTES;
        let delay =
            Duration::from_millis(self.rng.random_range(MIN_PULL_RETRY_MS..=MAX_PULL_RETRY_MS));
        self.schedule(
            self.now + delay,
            NetEvent::PullStart {
                node: index,
                generation,
            },
        );
    }

    fn end_pull(&mut self, index: usize, generation: u32, server: usize, version: u64) {
        let served = &mut self.nodes[server].active_served_pulls;
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
