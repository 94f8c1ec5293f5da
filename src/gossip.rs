//! Membership by gossip over UDP.
//!
//! The protocol is in `machine` and does no I/O; this file runs it on a socket. The lock of the machine is
//! taken before any lock of the blackboard.

pub mod counters;
pub mod event_queue;
pub mod machine;
pub mod member_events;
pub mod peer_roster;

use {
    crate::{
        blackboard::Blackboard,
        config_sync::{PullOutcome, ask_join, pull_counted},
        ids::Incarnation,
        membership::{MemberRecord, MemberState, TargetRecord},
        settings::{GossipSection, NodeSection, NodeSettings},
        veto_table::VetoRecord,
        wire::{JoinReply, MemberEvent},
        wire_codec::{PacketError, decode_packet, encode_packet},
    },
    counters::GossipCounters,
    machine::{
        GossipMachine, GossipTables, MachineOutput, NewerMoves, NewerVersion, OutgoingPacket,
    },
    member_events::{check_member, full_event},
    parking_lot::Mutex,
    rand::{Rng, seq::IteratorRandom},
    std::{
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::UdpSocket,
        sync::watch,
        time::{Instant, sleep, sleep_until},
    },
    tokio_util::sync::CancellationToken,
    tracing::{debug, info, warn},
};

/// Longest random delay before a pull; spreads the pulls after a push.
const PULL_JITTER: Duration = Duration::from_millis(50);

/// Longest time for which a pull from another failure domain waits for a peer of the own one to have the version.
/// Bytes between domains are scarce, and a whole configuration may take hundreds of kilobytes.
const LOCAL_PATIENCE: Duration = Duration::from_millis(400);

/// Time between two looks for such a peer.
const LOCAL_LOOK: Duration = Duration::from_millis(50);

/// Shortest time between two joins of a node that knows no live peer.
const REJOIN_PAUSE: Duration = Duration::from_secs(5);

/// Receive buffer in bytes; larger than any packet, so that a longer one is noticed and dropped.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// Pushes sent when the node leaves, and the time between them; one push alone may be lost.
const LEAVE_PUSHES: u32 = 3;

/// Time between two pushes of a leaving node.
const LEAVE_PUSH_GAP: Duration = Duration::from_millis(100);

/// The one pull of a node.
#[derive(Debug, Default)]
struct PullState {
    is_running: bool,
    wanted: Option<NewerVersion>,
}

#[derive(Debug)]
struct GossipShared {
    node: NodeSection,
    seeds: Vec<SocketAddr>,
    board: Arc<Blackboard>,
    counters: GossipCounters,
    machine: Mutex<GossipMachine>,
    newer_moves: watch::Sender<Option<NewerMoves>>,
    started: Instant,
    start_number: u64,
    socket: OnceLock<Arc<UdpSocket>>,
    pull: Mutex<PullState>,
}

/// Membership of one node; clones share it.
///
/// Its methods lock the blackboard, so a caller must hold no lock of it.
#[derive(Clone, Debug)]
pub struct GossipNode {
    shared: Arc<GossipShared>,
}

impl GossipNode {
    /// Makes the membership of a node that starts with this incarnation.
    pub fn new(
        settings: Arc<NodeSettings>,
        board: Arc<Blackboard>,
        incarnation: Incarnation,
    ) -> Self {
        Self::with_sections(&settings.node, &settings.gossip, board, incarnation)
    }

    /// Makes the membership of a node from the sections that concern it.
    pub fn with_sections(
        node: &NodeSection,
        gossip: &GossipSection,
        board: Arc<Blackboard>,
        incarnation: Incarnation,
    ) -> Self {
        let own = own_record(node, &board, incarnation);
        let seed = rand::rng().random();
        let machine = with_tables(&board, |tables| {
            GossipMachine::new(gossip.clone(), own, seed, Duration::ZERO, tables)
        });
        let shared = GossipShared {
            node: node.clone(),
            seeds: gossip.seeds.clone(),
            board,
            counters: GossipCounters::default(),
            machine: Mutex::new(machine),
            newer_moves: watch::Sender::new(None),
            started: Instant::now(),
            start_number: start_number(),
            socket: OnceLock::new(),
            pull: Mutex::new(PullState::default()),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Receives, probes and spreads until cancelled. A node has one socket for its whole life.
    pub async fn run(self, socket: UdpSocket, cancel: CancellationToken) {
        let socket = self.shared.socket.get_or_init(|| Arc::new(socket)).clone();
        let mut applied = self.shared.board.gate.subscribe();
        // A version may have been put in force before the gossip started.
        applied.mark_changed();
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        let mut rejoin_at = Instant::now();
        loop {
            let wakeup = self.shared.started + self.shared.machine.lock().next_wakeup();
            tokio::select! {
                () = cancel.cancelled() => return,
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from, &cancel),
                    Err(error) => debug!(%error, "receive a datagram"),
                },
                () = sleep_until(wakeup) => {
                    self.tick();
                    self.rejoin_if_alone(&mut rejoin_at, &cancel);
                }
                Ok(()) = applied.changed() => {
                    let version = *applied.borrow_and_update();
                    self.act(|machine, _, tables| machine.set_version(version, tables));
                }
            }
        }
    }

    /// Takes the state of the own target and spreads it if it changed.
    pub fn announce_target(&self, record: Option<TargetRecord>) {
        self.act(|machine, _, tables| machine.announce_target(record, tables));
    }

    /// Tells `push_fanout` members of the version in force at once.
    pub fn push_now(&self) {
        self.act(|machine, _, tables| machine.push(tables));
    }

    /// Notes that the store has been read up to this time of its clock.
    pub fn confirm_store(&self, clock: Duration) {
        let version = self.shared.board.gate.version();
        self.act(|machine, now, tables| machine.confirm_store(clock, version, now, tables));
    }

    /// Returns the time since this node last learned that it had missed nothing of the store.
    pub fn store_age(&self) -> Duration {
        let confirmed_at = self.shared.machine.lock().store_confirmed_at();
        self.shared.started.elapsed().saturating_sub(confirmed_at)
    }

    /// Tells other nodes how far this node knows the moves.
    pub fn set_moves_digest(&self, digest: u64) {
        self.act(|machine, _, tables| machine.set_moves_digest(digest, tables));
    }

    /// Returns the last peer heard of that knows of further moves, and each change of it.
    pub fn newer_moves(&self) -> watch::Receiver<Option<NewerMoves>> {
        self.shared.newer_moves.subscribe()
    }

    /// Spreads a veto.
    pub fn spread_veto(&self, veto: VetoRecord) {
        self.act(|machine, _, tables| machine.spread_veto(veto, tables));
    }

    /// Spreads that this node leaves.
    pub async fn leave(&self) {
        self.act(|machine, _, tables| machine.leave(tables));
        for _ in 1..LEAVE_PUSHES {
            sleep(LEAVE_PUSH_GAP).await;
            self.push_now();
        }
    }

    /// Returns the counters of the control traffic.
    pub fn counters(&self) -> &GossipCounters {
        &self.shared.counters
    }

    /// Returns the node's own record.
    pub fn own(&self) -> MemberRecord {
        self.shared.machine.lock().own().clone()
    }

    /// Returns a number that grows with each start of the node.
    ///
    /// Counters that begin at zero with the process carry this and not the incarnation, which a
    /// refutation raises while the process goes on.
    pub fn start_number(&self) -> u64 {
        self.shared.start_number
    }

    /// Takes what a peer answered at join and continues above the incarnation that it remembers.
    pub fn take_join_reply(&self, reply: &JoinReply) -> usize {
        let mut news = 0;
        self.act(|machine, now, tables| {
            if reply.incarnation >= machine.own().incarnation {
                machine.raise_incarnation(reply.incarnation.saturating_add(1), tables);
            }
            news = machine.merge_members(&reply.members, now, tables);
            MachineOutput::default()
        });
        news
    }

    /// Takes the record of a joining peer and returns what it should know.
    pub fn answer_join(&self, asker: Option<&MemberEvent>) -> JoinReply {
        let reply = self.join_reply(asker.map_or("", |event| &event.node));
        if let Some(event) = asker.filter(|event| check_member(event).is_ok()) {
            self.act(|machine, now, tables| {
                machine.admit_member(event, now, tables);
                MachineOutput::default()
            });
        }
        reply
    }

    fn join_reply(&self, asker: &str) -> JoinReply {
        let gate = &self.shared.board.gate;
        let config_version = gate.version();
        let ready = gate.is_ready();
        let members = self.shared.board.members.lock();
        let live = members
            .iter()
            .filter(|record| peer_roster::is_reachable(record));
        JoinReply {
            config_version,
            floor: members.floor_of(asker),
            incarnation: members.get(asker).map_or(0, |record| record.incarnation),
            members: live.map(full_event).collect(),
            ready,
        }
    }

    fn tick(&self) {
        self.act(|machine, now, tables| machine.tick(now, tables));
    }

    /// Asks a random seed for the members if no live peer is known, for example because all seeds were
    /// down when this node joined.
    fn rejoin_if_alone(&self, rejoin_at: &mut Instant, cancel: &CancellationToken) {
        let now = Instant::now();
        if now < *rejoin_at || !self.shared.machine.lock().is_alone() {
            return;
        }
        *rejoin_at = now + REJOIN_PAUSE.mul_f64(1.0 + rand::random::<f64>());
        let own = self.shared.node.peer_address;
        let seeds = self.shared.seeds.iter();
        let seed = seeds.filter(|seed| **seed != own).choose(&mut rand::rng());
        if let Some(seed) = seed.copied() {
            let node = self.clone();
            let cancel = cancel.clone();
            tokio::spawn(async move { cancel.run_until_cancelled(node.rejoin(seed)).await });
        }
    }

    async fn rejoin(&self, seed: SocketAddr) {
        match ask_join(seed, self).await {
            Ok(answer) => {
                let members = self.take_join_reply(&answer.reply);
                info!(peer = %answer.node, members, "joined again");
            }
            Err(error) => info!(%error, "a seed did not answer the join"),
        }
    }

    fn receive(&self, datagram: &[u8], from: SocketAddr, cancel: &CancellationToken) {
        let counters = &self.shared.counters;
        counters.packets_in.add(1);
        counters.packet_bytes_in.add(datagram.len() as u64);
        match decode_packet(datagram) {
            Ok(packet) => {
                let newer = self
                    .act(|machine, now, tables| machine.handle_packet(&packet, from, now, tables));
                if let Some(newer) = newer {
                    self.want(newer, cancel);
                }
            }
            Err(error) => self.drop_datagram(&error, from),
        }
    }

    /// Counts a bad datagram. Logs at powers of two only, so that a flood cannot fill the log.
    fn drop_datagram(&self, error: &PacketError, from: SocketAddr) {
        let count = self.shared.counters.packets_bad.add(1);
        if count.is_power_of_two() {
            warn!(peer = %from, count, %error, "a datagram is dropped");
        } else {
            debug!(peer = %from, count, %error, "a datagram is dropped");
        }
    }

    /// Runs one step of the protocol and sends what it asks for.
    fn act(
        &self,
        step: impl FnOnce(&mut GossipMachine, Duration, &mut GossipTables<'_>) -> MachineOutput,
    ) -> Option<NewerVersion> {
        let now = self.shared.started.elapsed();
        let output = {
            let mut machine = self.shared.machine.lock();
            with_tables(&self.shared.board, |tables| step(&mut machine, now, tables))
        };
        for outgoing in &output.packets {
            self.send(outgoing);
        }
        if output.newer_moves.is_some() {
            self.shared.newer_moves.send_replace(output.newer_moves);
        }
        output.newer
    }

    fn send(&self, outgoing: &OutgoingPacket) {
        let Some(socket) = self.shared.socket.get() else {
            return;
        };
        let counters = &self.shared.counters;
        let datagram = match encode_packet(&outgoing.packet) {
            Ok(datagram) => datagram,
            Err(error) => {
                warn!(peer = %outgoing.address, %error, "a packet is not sent");
                return;
            }
        };
        match socket.try_send_to(&datagram, outgoing.address) {
            Ok(length) => {
                counters.packets_out.add(1);
                counters.packet_bytes_out.add(length as u64);
            }
            Err(error) => {
                counters.packets_unsent.add(1);
                debug!(peer = %outgoing.address, %error, "send a datagram");
            }
        }
    }
}

/// Pulls.
impl GossipNode {
    /// Notes a peer with a newer version and starts a pull unless one runs.
    fn want(&self, newer: NewerVersion, cancel: &CancellationToken) {
        let gate = &self.shared.board.gate;
        // The gate would refuse the version, and the next packet would ask for the same pull again.
        if !gate.is_floor_known() || newer.version < gate.floor() {
            return;
        }
        let mut pull = self.shared.pull.lock();
        let is_better = pull
            .wanted
            .as_ref()
            .is_none_or(|wanted| newer.version >= wanted.version);
        if is_better {
            pull.wanted = Some(newer);
        }
        if !pull.is_running {
            pull.is_running = true;
            let node = self.clone();
            let cancel = cancel.clone();
            tokio::spawn(async move {
                cancel.run_until_cancelled(node.pull_wanted()).await;
            });
        }
    }

    async fn pull_wanted(&self) {
        while let Some(newer) = self.next_wanted() {
            let jitter = PULL_JITTER.mul_f64(rand::random::<f64>());
            sleep(jitter).await;
            let begun = Instant::now();
            let mut source = self.local_source(&newer);
            while source.is_none() && begun.elapsed() < LOCAL_PATIENCE {
                sleep(LOCAL_LOOK).await;
                source = self.local_source(&newer);
            }
            self.pull_once(source.unwrap_or(newer)).await;
        }
    }

    /// Returns the peer to pull from without crossing failure domains; none if it is worth waiting for one.
    fn local_source(&self, newer: &NewerVersion) -> Option<NewerVersion> {
        let own = &self.shared.node;
        let version = self.shared.board.gate.version();
        let members = self.shared.board.members.lock();
        let is_local = |record: &&MemberRecord| {
            record.domain == own.failure_domain
                && record.node != own.id
                && record.state == MemberState::Alive
        };
        let told = members.get(&newer.node);
        let is_near = told.is_none_or(|told| told.domain == own.failure_domain);
        let is_alone = !members.iter().any(|record| is_local(&record));
        if is_near || is_alone || version >= newer.version {
            return Some(newer.clone());
        }
        let sources = members.iter().filter(is_local);
        let source = sources
            .filter(|record| record.applied_version > version)
            .max_by_key(|record| record.applied_version)?;
        Some(NewerVersion {
            node: source.node.clone(),
            address: source.peer_address,
            version: source.applied_version,
        })
    }

    /// Returns the peer to pull from; marks the pull as ended if there is nothing newer.
    fn next_wanted(&self) -> Option<NewerVersion> {
        let version = self.shared.board.gate.version();
        let mut pull = self.shared.pull.lock();
        let wanted = pull.wanted.take().filter(|newer| newer.version > version);
        pull.is_running = wanted.is_some();
        wanted
    }

    async fn pull_once(&self, newer: NewerVersion) {
        let counters = &self.shared.counters;
        let own = &self.shared.node.id;
        let result = pull_counted(newer.address, own, &self.shared.board, counters).await;
        match result {
            Ok(PullOutcome::Applied { version }) => {
                counters.pulls_applied.add(1);
                info!(peer = %newer.node, version, "configuration pulled");
            }
            Ok(PullOutcome::Busy { retry_after }) => {
                sleep(retry_after).await;
                let mut pull = self.shared.pull.lock();
                pull.wanted.get_or_insert(newer);
            }
            Ok(PullOutcome::NothingNewer { version }) => {
                debug!(peer = %newer.node, version, "nothing newer to pull");
            }
            Err(error) => {
                counters.pulls_failed.add(1);
                warn!(peer = %newer.node, %error, "pull failed");
            }
        }
    }
}

/// Lends the tables of a blackboard in the order of its locks.
fn with_tables<R>(board: &Blackboard, step: impl FnOnce(&mut GossipTables<'_>) -> R) -> R {
    let mut members = board.members.lock();
    let mut vetoes = board.vetoes.lock();
    step(&mut GossipTables {
        members: &mut members,
        vetoes: &mut vetoes,
    })
}

/// Milliseconds since the Unix epoch, so that a later start has a higher number.
fn start_number() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}

fn own_record(node: &NodeSection, board: &Blackboard, incarnation: Incarnation) -> MemberRecord {
    MemberRecord {
        node: node.id.clone(),
        incarnation,
        sequence: 0,
        state: MemberState::Alive,
        domain: node.failure_domain.clone(),
        peer_address: node.peer_address,
        forward_address: node.forward_address,
        target: None,
        applied_version: board.gate.version(),
    }
}
