//! Membership by gossip over UDP.
//!
//! The protocol is in `machine` and does no I/O; this file runs it on a socket and starts the pulls of newer
//! configurations. The lock of the machine is taken before any lock of the blackboard (the shared tables of a node).

pub mod confirmation_age;
pub mod counters;
pub mod event_queue;
pub mod machine;
pub mod member_events;
pub mod peer_roster;

use {
    crate::{
        blackboard::Blackboard,
        config_sync::{PullOutcome, pull_config_counted, request_join},
        ids::Incarnation,
        membership::{MemberRecord, MemberState, TargetRecord},
        settings::{GossipSection, NodeSection, NodeSettings},
        veto_table::VetoRecord,
        wire::{GossipKind, GossipPacket, JoinReply, MemberEvent, PROTOCOL_VERSION},
        wire_codec::{PacketError, decode_packet, encode_packet},
    },
    confirmation_age::{ClockReading, ConfirmationAge},
    counters::GossipCounters,
    machine::{
        GossipMachine, GossipTables, MachineOutput, NewerMoves, NewerVersion, OutgoingPacket,
    },
    member_events::{check_member, full_event, left_target},
    parking_lot::Mutex,
    rand::{Rng, seq::IteratorRandom},
    std::{
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::UdpSocket,
        sync::{mpsc, watch},
        time::{Instant, sleep, sleep_until},
    },
    tokio_util::sync::CancellationToken,
    tracing::{debug, info, warn},
};

/// Longest random delay before a configuration pull; spreads the pulls that follow a push.
const PULL_JITTER: Duration = Duration::from_millis(50);

/// Longest time for which a pull waits for a peer in this node's own failure domain to have a newer version, before it
/// goes to another domain. Bandwidth between domains is scarce, and a whole configuration may take hundreds of kilobytes.
const LOCAL_SOURCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two checks for a source in this node's own failure domain.
const LOCAL_SOURCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between two join requests of a node without a live peer; the actual one is up to twice as long, at
/// random.
const REJOIN_INTERVAL: Duration = Duration::from_secs(5);

/// Receive buffer in bytes; larger than any valid packet, so that a longer one is detected and dropped.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// Pushes sent when the node leaves; a single one may be lost.
const LEAVE_PUSHES: u32 = 3;

/// Time between two pushes of a leaving node.
const LEAVE_PUSH_GAP: Duration = Duration::from_millis(100);

/// Packets about usage caps that may wait to be handled; further ones are dropped, as the network may drop them.
const CAP_INBOX_PACKETS: usize = 1024;

/// Packet about usage caps, which the membership protocol does not handle.
#[derive(Debug)]
pub struct CapPacket {
    /// Address of the sender, to answer to.
    pub from: SocketAddr,
    /// The packet; its kind is `CapAsk` or `CapAnswer`.
    pub packet: GossipPacket,
}

/// Configuration pulls of a node; at most one runs at a time.
#[derive(Debug, Default)]
struct PullState {
    is_running: bool,
    /// Peer with the newest announced version, to pull from next.
    pending: Option<NewerVersion>,
}

#[derive(Debug)]
struct GossipShared {
    node: NodeSection,
    seeds: Vec<SocketAddr>,
    board: Arc<Blackboard>,
    counters: GossipCounters,
    machine: Mutex<GossipMachine>,
    newer_moves: watch::Sender<Option<NewerMoves>>,
    /// Locked after `machine` where both are.
    confirmation: Mutex<ConfirmationAge>,
    started: Instant,
    process_epoch: u64,
    socket: OnceLock<Arc<UdpSocket>>,
    pull: Mutex<PullState>,
    /// Receiver of the packets about usage caps; unset in a node that has no caps.
    cap_inbox: OnceLock<mpsc::Sender<CapPacket>>,
}

/// Gossip membership of one node; clones share the state.
///
/// Its methods lock the blackboard, so the caller must not hold any of its locks.
#[derive(Clone, Debug)]
pub struct GossipNode {
    shared: Arc<GossipShared>,
}

impl GossipNode {
    /// Creates the membership of a node that starts with this incarnation.
    pub fn new(
        settings: Arc<NodeSettings>,
        board: Arc<Blackboard>,
        incarnation: Incarnation,
    ) -> Self {
        Self::with_sections(&settings.node, &settings.gossip, board, incarnation)
    }

    /// Creates the membership of a node from the node and gossip sections of its settings.
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
            confirmation: Mutex::new(ConfirmationAge::new(ClockReading::now(Duration::ZERO))),
            started: Instant::now(),
            process_epoch: process_epoch(),
            socket: OnceLock::new(),
            pull: Mutex::new(PullState::default()),
            cap_inbox: OnceLock::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Runs the protocol on `socket` until cancelled; later runs keep using the first socket.
    pub async fn run(self, socket: UdpSocket, cancel: CancellationToken) {
        let socket = self.shared.socket.get_or_init(|| Arc::new(socket)).clone();
        let mut applied = self.shared.board.gate.subscribe();
        // A version may have been applied before this task started.
        applied.mark_changed();
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        let mut rejoin_at = Instant::now();
        loop {
            let wakeup = self.shared.started + self.shared.machine.lock().next_wakeup();
            tokio::select! {
                () = cancel.cancelled() => return,
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from, &cancel),
                    Err(error) => debug!(%error, "receiving a UDP datagram failed"),
                },
                () = sleep_until(wakeup) => {
                    self.tick();
                    self.rejoin_if_no_peer(&mut rejoin_at, &cancel);
                }
                Ok(()) = applied.changed() => {
                    let version = *applied.borrow_and_update();
                    self.run_step(|machine, _, tables| machine.set_version(version, tables));
                }
            }
        }
    }

    /// Updates the record of this node's own target and gossips it if it changed.
    pub fn announce_target(&self, record: Option<TargetRecord>) {
        self.run_step(|machine, _, tables| machine.announce_target(record, tables));
    }

    /// Pushes the applied configuration version and queued events to `push_fanout` random members at once.
    pub fn push_now(&self) {
        self.run_step(|machine, _, tables| machine.push(tables));
    }

    /// Records that this node has read the platform store up to the store's time `clock`, which was `age` ago.
    pub fn confirm_store_read(&self, clock: Duration, age: Duration) {
        let version = self.shared.board.gate.version();
        self.run_step(|machine, now, tables| {
            let read_at = now.saturating_sub(age);
            machine.confirm_store_read(clock, read_at, version, now, tables)
        });
    }

    /// Returns the time since this node's copy of the platform store was last known to be current.
    ///
    /// Time for which the machine was suspended counts.
    pub fn time_since_store_confirmation(&self) -> Duration {
        let now = ClockReading::now(self.shared.started.elapsed());
        self.shared.confirmation.lock().age(now)
    }

    /// Returns the time since this node's copy of the platform store was last known to be current; none if it has not
    /// been since the start of the process. Time for which the machine was suspended counts.
    pub fn store_confirmation_age(&self) -> Option<Duration> {
        let now = ClockReading::now(self.shared.started.elapsed());
        self.shared.confirmation.lock().confirmed_age(now)
    }

    /// Announces the digest of the moves (rollouts of a service version) and drains that this node has.
    pub fn set_moves_digest(&self, digest: u64) {
        self.run_step(|machine, _, tables| machine.set_moves_digest(digest, tables));
    }

    /// Returns a channel with the peer that last announced moves which this node lacks.
    pub fn newer_moves(&self) -> watch::Receiver<Option<NewerMoves>> {
        self.shared.newer_moves.subscribe()
    }

    /// Returns the channel of the packets about usage caps; only the first call gets them.
    pub fn cap_packets(&self) -> mpsc::Receiver<CapPacket> {
        let (sender, receiver) = mpsc::channel(CAP_INBOX_PACKETS);
        // A second receiver finds its channel closed.
        drop(self.shared.cap_inbox.set(sender));
        receiver
    }

    /// Sends a packet about usage caps.
    pub fn send_cap(&self, address: SocketAddr, number: u64, kind: GossipKind) {
        let packet = GossipPacket {
            protocol: PROTOCOL_VERSION,
            sender: self.shared.node.id.clone(),
            number,
            kind: Some(kind),
            ..GossipPacket::default()
        };
        self.send(&OutgoingPacket { address, packet });
    }

    /// Gossips a veto.
    pub fn gossip_veto(&self, veto: VetoRecord) {
        self.run_step(|machine, _, tables| machine.gossip_veto(veto, tables));
    }

    /// Announces that this node leaves; returns after the last push.
    pub async fn leave(&self) {
        self.run_step(|machine, _, tables| machine.leave(tables));
        for _ in 1..LEAVE_PUSHES {
            sleep(LEAVE_PUSH_GAP).await;
            self.push_now();
        }
    }

    /// Returns the counters of the control traffic.
    pub fn counters(&self) -> &GossipCounters {
        &self.shared.counters
    }

    /// Returns this node's own member record.
    pub fn own(&self) -> MemberRecord {
        self.shared.machine.lock().own().clone()
    }

    /// Returns a number that grows with each start of the node.
    ///
    /// Counters that begin at zero with the process carry this number. The incarnation would not do: a
    /// refutation raises it while the process keeps running.
    pub fn process_epoch(&self) -> u64 {
        self.shared.process_epoch
    }

    /// Merges the members of a join reply and raises this node's incarnation above the one in the reply.
    ///
    /// Returns how many members were new or changed.
    pub fn apply_join_reply(&self, reply: &JoinReply) -> usize {
        let mut new_members = 0;
        self.run_step(|machine, now, tables| {
            if reply.incarnation >= machine.own().incarnation {
                machine.raise_incarnation(reply.incarnation.saturating_add(1), tables);
            }
            new_members = machine.merge_members(&reply.members, now, tables);
            MachineOutput::default()
        });
        new_members
    }

    /// Admits a joining peer and returns the live members, and the version floor and incarnation known of it.
    pub fn handle_join_request(&self, joiner: Option<&MemberEvent>) -> JoinReply {
        let reply = self.join_reply(joiner.map_or("", |event| &event.node));
        if let Some(event) = joiner.filter(|event| check_member(event).is_ok()) {
            self.run_step(|machine, now, tables| {
                machine.admit_member(event, now, tables);
                MachineOutput::default()
            });
        }
        reply
    }

    fn join_reply(&self, joiner: &str) -> JoinReply {
        let gate = &self.shared.board.gate;
        let config_version = gate.version();
        let ready = gate.is_ready();
        let members = self.shared.board.members.lock();
        let live = members
            .iter()
            .filter(|record| peer_roster::is_reachable(record));
        JoinReply {
            config_version,
            floor: members.floor_of(joiner),
            incarnation: members.get(joiner).map_or(0, |record| record.incarnation),
            left_target: members.get(joiner).and_then(left_target),
            members: live.map(full_event).collect(),
            ready,
        }
    }

    fn tick(&self) {
        self.run_step(|machine, now, tables| machine.tick(now, tables));
    }

    /// Joins through a random seed if no live peer is known, for example because all seeds were down when
    /// this node started.
    fn rejoin_if_no_peer(&self, rejoin_at: &mut Instant, cancel: &CancellationToken) {
        let now = Instant::now();
        if now < *rejoin_at || !self.shared.machine.lock().has_no_reachable_peer() {
            return;
        }
        *rejoin_at = now + REJOIN_INTERVAL.mul_f64(1.0 + rand::random::<f64>());
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
        match request_join(seed, self).await {
            Ok(answer) => {
                let members = self.apply_join_reply(&answer.reply);
                info!(peer = %answer.node, members, "joined again through a seed");
            }
            Err(error) => {
                info!(%error, "join through a seed failed; retried while there is no live peer")
            }
        }
    }

    fn receive(&self, datagram: &[u8], from: SocketAddr, cancel: &CancellationToken) {
        let counters = &self.shared.counters;
        counters.packets_in.add(1);
        counters.packet_bytes_in.add(datagram.len() as u64);
        match decode_packet(datagram) {
            Ok(packet) if is_cap_packet(&packet) => {
                if let Some(inbox) = self.shared.cap_inbox.get() {
                    drop(inbox.try_send(CapPacket { from, packet }));
                }
            }
            Ok(packet) => {
                let newer = self.run_step(|machine, now, tables| {
                    machine.handle_packet(&packet, from, now, tables)
                });
                if let Some(newer) = newer {
                    self.request_pull(newer, cancel);
                }
            }
            Err(error) => self.report_dropped_datagram(&error, from),
        }
    }

    /// Counts and logs a dropped datagram.
    ///
    /// Only the 1st, 2nd, 4th, 8th and so on are warnings, so that a flood cannot fill the log.
    fn report_dropped_datagram(&self, error: &PacketError, from: SocketAddr) {
        let count = self.shared.counters.packets_bad.add(1);
        if count.is_power_of_two() {
            warn!(peer = %from, count, %error, "dropped an invalid gossip datagram");
        } else {
            debug!(peer = %from, count, %error, "dropped an invalid gossip datagram");
        }
    }

    /// Runs one step of the protocol and sends the resulting packets.
    ///
    /// Returns the peer with a newer configuration, if the step found one.
    fn run_step(
        &self,
        step: impl FnOnce(&mut GossipMachine, Duration, &mut GossipTables<'_>) -> MachineOutput,
    ) -> Option<NewerVersion> {
        let now = self.shared.started.elapsed();
        let reading = ClockReading::now(now);
        let output = {
            let mut machine = self.shared.machine.lock();
            machine.set_time(now);
            let output = with_tables(&self.shared.board, |tables| step(&mut machine, now, tables));
            let mut confirmation = self.shared.confirmation.lock();
            confirmation.record(machine.store_confirmed_at(), reading);
            output
        };
        for outgoing in &output.packets {
            self.send(outgoing);
        }
        if output.newer_moves.is_some() {
            self.shared.newer_moves.send_replace(output.newer_moves);
        }
        output.newer_config
    }

    fn send(&self, outgoing: &OutgoingPacket) {
        let Some(socket) = self.shared.socket.get() else {
            return;
        };
        let counters = &self.shared.counters;
        let datagram = match encode_packet(&outgoing.packet) {
            Ok(datagram) => datagram,
            Err(error) => {
                warn!(peer = %outgoing.address, %error, "gossip packet could not be encoded; not sent");
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
                debug!(peer = %outgoing.address, %error, "sending a UDP datagram failed; the packet is lost");
            }
        }
    }
}

/// Configuration pulls.
impl GossipNode {
    /// Schedules a pull from a peer with a newer version and starts the pull task unless it runs.
    fn request_pull(&self, newer: NewerVersion, cancel: &CancellationToken) {
        let gate = &self.shared.board.gate;
        // The apply gate accepts no version below the floor (the highest version that this node is known to have
        // applied before). Pulling one would fail, and the next packet would request the same pull again.
        if !gate.is_floor_known() || newer.version < gate.floor() {
            return;
        }
        let mut pull = self.shared.pull.lock();
        let is_newest = pull
            .pending
            .as_ref()
            .is_none_or(|pending| newer.version >= pending.version);
        if is_newest {
            pull.pending = Some(newer);
        }
        if !pull.is_running {
            pull.is_running = true;
            let node = self.clone();
            let cancel = cancel.clone();
            tokio::spawn(async move {
                cancel.run_until_cancelled(node.run_pulls()).await;
            });
        }
    }

    async fn run_pulls(&self) {
        while let Some(newer) = self.next_pull() {
            let jitter = PULL_JITTER.mul_f64(rand::random::<f64>());
            sleep(jitter).await;
            let wait_started = Instant::now();
            let mut source = self.pull_source(&newer);
            while source.is_none() && wait_started.elapsed() < LOCAL_SOURCE_TIMEOUT {
                sleep(LOCAL_SOURCE_POLL_INTERVAL).await;
                source = self.pull_source(&newer);
            }
            self.pull_once(source.unwrap_or(newer)).await;
        }
    }

    /// Returns the peer to pull from; none while another peer in this node's failure domain may still get the version.
    ///
    /// Returns the announcing peer itself if it is in the same domain or unknown, if there is no live peer in the
    /// domain, or if the version has been applied meanwhile.
    fn pull_source(&self, newer: &NewerVersion) -> Option<NewerVersion> {
        let own = &self.shared.node;
        let version = self.shared.board.gate.version();
        let members = self.shared.board.members.lock();
        let is_local = |record: &&MemberRecord| {
            record.domain == own.failure_domain
                && record.node != own.id
                && record.state == MemberState::Alive
        };
        let announcer = members.get(&newer.node);
        let is_announcer_local =
            announcer.is_none_or(|announcer| announcer.domain == own.failure_domain);
        let has_no_local_peer = !members.iter().any(|record| is_local(&record));
        if is_announcer_local || has_no_local_peer || version >= newer.version {
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

    /// Takes the pending pull; marks the pull task as ended if none is left for a newer version.
    fn next_pull(&self) -> Option<NewerVersion> {
        let version = self.shared.board.gate.version();
        let mut pull = self.shared.pull.lock();
        let pending = pull.pending.take().filter(|newer| newer.version > version);
        pull.is_running = pending.is_some();
        pending
    }

    async fn pull_once(&self, newer: NewerVersion) {
        let counters = &self.shared.counters;
        let own = &self.shared.node.id;
        let result = pull_config_counted(newer.address, own, &self.shared.board, counters).await;
        match result {
            Ok(PullOutcome::Applied { version }) => {
                counters.pulls_applied.add(1);
                info!(peer = %newer.node, version, "configuration pulled");
            }
            Ok(PullOutcome::Busy { retry_after }) => {
                sleep(retry_after).await;
                let mut pull = self.shared.pull.lock();
                pull.pending.get_or_insert(newer);
            }
            Ok(PullOutcome::NothingNewer { version }) => {
                debug!(peer = %newer.node, version, "peer has no newer configuration; nothing pulled");
            }
            Err(error) => {
                counters.pulls_failed.add(1);
                warn!(peer = %newer.node, %error, "configuration pull failed; retried on the next announcement");
            }
        }
    }
}

/// Locks the member and veto tables in the lock order of the blackboard and runs `step` on them.
fn with_tables<R>(board: &Blackboard, step: impl FnOnce(&mut GossipTables<'_>) -> R) -> R {
    let mut members = board.members.lock();
    let mut vetoes = board.vetoes.lock();
    step(&mut GossipTables {
        members: &mut members,
        vetoes: &mut vetoes,
    })
}

fn is_cap_packet(packet: &GossipPacket) -> bool {
    matches!(
        packet.kind,
        Some(GossipKind::CapAsk(_) | GossipKind::CapAnswer(_))
    )
}

/// Returns the milliseconds since the Unix epoch, so that a later start has a higher number.
fn process_epoch() -> u64 {
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
