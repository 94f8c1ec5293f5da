//! Usage caps of client accounts: admits calls with tokens from the keepers and exchanges messages with them.
//!
//! The protocol is in `accounts::cap_machine` and does no I/O; this file runs it over the gossip socket.

use {
    super::{
        context::MeshContext, node_rank::first_nodes, port::PeerRow, refusal::MeshRefusal,
        settings::CapBounds,
    },
    crate::{
        accounts::{
            cap_fleet::{KnownNode, NodeCensus},
            cap_machine::{CapMachine, FleetView, KEEPER_CANDIDATES, OutgoingAsk},
            cap_stock::{CapRefusal, RefusalCause, TokenDecision},
            cap_terms::{AccountDigest, CAP_SLOTS, CapTerms, CapTolerance, account_digest},
        },
        gossip::{CapPacket, confirmation_age::ClockReading},
        ids::NodeId,
        membership::MemberState,
        wire::GossipKind,
    },
    parking_lot::Mutex,
    std::{
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout_at},
    },
};

/// Longest time for which a call waits for the answer of a keeper.
const ADMISSION_WAIT: Duration = Duration::from_millis(100);

/// `Retry-After` while it is not known how much an account has used, because its keeper is being replaced.
const UNKNOWN_USAGE_WAIT: Duration = Duration::from_millis(300);

/// Time between two steps of the protocol while a call waits for a token.
const BUSY_TICK: Duration = Duration::from_millis(20);

/// Time between two steps of the protocol that no call waits for.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Shortest time between two reads of the membership.
const MIN_FLEET_PERIOD: Duration = Duration::from_millis(250);

/// Time between two reads of the membership for each node; a read ranks all nodes for each slot.
const FLEET_PERIOD_PER_NODE: Duration = Duration::from_millis(1);

/// Usage caps of the accounts at this node.
#[derive(Debug)]
pub struct UsageCaps {
    /// No other lock is taken while this one is held.
    machine: Mutex<CapMachine>,
    /// Locked before the members where both are, and never together with `machine`.
    census: Mutex<NodeCensus>,
    /// Version of the configuration that the caps of `machine` come from.
    applied: AtomicU64,
    /// Notified after each answer of a keeper.
    answered: Notify,
    started: Instant,
    suspended_before: Duration,
}

/// Token with which a call was admitted.
#[derive(Debug)]
pub struct UsagePermit {
    account: AccountDigest,
    expires: Duration,
}

/// Call that waits for a token; stops counting as waiting when it is dropped.
struct WaitingCall<'a> {
    caps: &'a UsageCaps,
    account: AccountDigest,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.caps.machine.lock().end(self.account);
    }
}

impl UsageCaps {
    /// Returns the caps of a node that starts now; `epoch` grows with each start.
    pub fn new(node: &NodeId, epoch: u64) -> Self {
        Self {
            machine: Mutex::new(CapMachine::new(node.clone(), epoch, Duration::ZERO)),
            census: Mutex::default(),
            applied: AtomicU64::new(0),
            answered: Notify::new(),
            started: Instant::now(),
            suspended_before: ClockReading::now(Duration::ZERO).suspended,
        }
    }

    /// Sets the nodes that have a row in the store.
    pub fn set_rows(&self, rows: &[PeerRow]) {
        let nodes = rows.iter().map(|row| row.node.clone());
        self.census.lock().set_rows(nodes);
    }

    /// Takes back the token of a call that has certainly not run.
    pub fn give_back(&self, permit: Option<&UsagePermit>) {
        if let Some(permit) = permit {
            let mut machine = self.machine.lock();
            machine.give_back(permit.account, permit.expires, self.now());
        }
    }

    /// Returns the time since the start, including the time for which the machine was suspended.
    fn now(&self) -> Duration {
        let reading = ClockReading::now(self.started.elapsed());
        reading.monotonic + reading.suspended.saturating_sub(self.suspended_before)
    }

    fn begin(&self, account: AccountDigest) -> Option<WaitingCall<'_>> {
        let is_capped = self.machine.lock().begin(account, self.now());
        is_capped.then_some(WaitingCall {
            caps: self,
            account,
        })
    }

    fn take(&self, account: AccountDigest) -> Option<TokenDecision> {
        self.machine.lock().take(account, self.now())
    }

    /// Takes over the caps of the configuration in force, if that has changed.
    fn follow_config(&self, context: &MeshContext) {
        let version = context.board.gate.version();
        if self.applied.load(Ordering::Relaxed) == version {
            return;
        }
        let config = context.board.gate.current();
        let tolerance = tolerance_of(&context.settings.bounds.cap);
        let capped = config.accounts().filter_map(|account| {
            let terms = CapTerms::new(account.cap.as_ref()?, &tolerance);
            Some((account_digest(&account.account), terms))
        });
        let caps: Vec<_> = capped.collect();
        self.machine.lock().set_caps(&caps, self.now());
        self.applied.store(config.version, Ordering::Relaxed);
    }
}

fn tolerance_of(bounds: &CapBounds) -> CapTolerance {
    CapTolerance {
        window: bounds.window,
        overage: bounds.overage,
        slack: bounds.slack,
    }
}

/// Admits a call of an account; none if the account has no cap. Waits for the keeper for a short time, but not beyond
/// the deadline of the call.
pub async fn admit_usage(
    context: &MeshContext,
    account: &str,
    deadline: Instant,
) -> Result<Option<UsagePermit>, MeshRefusal> {
    let caps = &context.usage_caps;
    // A call must not pass between a new configuration and the next step of the task that runs the protocol.
    caps.follow_config(context);
    let account = account_digest(account);
    let Some(_waiting) = caps.begin(account) else {
        return Ok(None);
    };
    let give_up = deadline.min(Instant::now() + ADMISSION_WAIT);
    loop {
        let mut answered = pin!(caps.answered.notified());
        answered.as_mut().enable();
        let decision = match caps.take(account) {
            Some(TokenDecision::Pending) => {
                send_due(context);
                caps.take(account)
            }
            other => other,
        };
        match decision {
            None => return Ok(None),
            Some(TokenDecision::Taken(expires)) => {
                return Ok(Some(UsagePermit { account, expires }));
            }
            Some(TokenDecision::Refused(refusal)) => return Err(refusal_of(refusal)),
            Some(TokenDecision::Pending) => {}
        }
        let now = Instant::now();
        if now >= give_up {
            return Err(unknown_usage());
        }
        let next_step = give_up.min(now + BUSY_TICK);
        // An answer may also come from this node as the keeper, which notifies nobody.
        drop(timeout_at(next_step.into(), answered).await);
    }
}

/// Runs the protocol of the usage caps until it is dropped; sends nothing while no account has a cap.
pub async fn run_usage_caps(context: Arc<MeshContext>) {
    let caps = &context.usage_caps;
    let mut packets = context.gossip.cap_packets();
    let mut fleet_read_at: Option<Instant> = None;
    let mut counted_tokens = 0;
    loop {
        caps.follow_config(&context);
        let nodes = context.board.members.lock().len() as u32;
        let fleet_period = MIN_FLEET_PERIOD.max(FLEET_PERIOD_PER_NODE * nodes);
        let has_caps = caps.machine.lock().has_caps();
        if has_caps && fleet_read_at.is_none_or(|at| at.elapsed() >= fleet_period) {
            fleet_read_at = Some(Instant::now());
            let view = fleet_view(&context);
            caps.machine.lock().set_fleet(view, caps.now());
        }
        send_due(&context);
        let granted = caps.machine.lock().granted();
        if granted > counted_tokens {
            context.metrics.count_cap_tokens(granted - counted_tokens);
            counted_tokens = granted;
        }
        tokio::select! {
            Some(packet) = packets.recv() => handle_packet(&context, packet),
            () = sleep(IDLE_TICK) => {}
        }
        while let Ok(packet) = packets.try_recv() {
            handle_packet(&context, packet);
        }
    }
}

fn fleet_view(context: &MeshContext) -> FleetView {
    let nodes = count_nodes(context);
    let keepers = (0..CAP_SLOTS).map(|slot| {
        let duty = format!("usage-cap-keeper-{slot}");
        first_nodes(context, &duty, KEEPER_CANDIDATES)
    });
    FleetView {
        nodes,
        has_rows: context.usage_caps.census.lock().has_rows(),
        is_leaving: context.is_leaving(),
        keepers: keepers.collect(),
    }
}

fn count_nodes(context: &MeshContext) -> usize {
    let caps = &context.usage_caps;
    let mut census = caps.census.lock();
    let members = context.board.members.lock();
    let known = members.iter().map(|record| KnownNode {
        node: &record.node,
        has_left: record.state == MemberState::Left,
    });
    census.count(known, caps.now())
}

fn handle_packet(context: &MeshContext, received: CapPacket) {
    let CapPacket { from, packet } = received;
    let caps = &context.usage_caps;
    match &packet.kind {
        Some(GossipKind::CapAsk(ask)) => {
            let now = caps.now();
            let answer = caps
                .machine
                .lock()
                .answer(&packet.sender, packet.number, ask, now);
            if let Some(answer) = answer {
                let kind = GossipKind::CapAnswer(answer);
                context.gossip.send_cap(from, packet.number, kind);
            }
        }
        Some(GossipKind::CapAnswer(answer)) => {
            let now = caps.now();
            caps.machine
                .lock()
                .take_answer(&packet.sender, packet.number, answer, now);
            caps.answered.notify_waiters();
        }
        _ => {}
    }
}

/// Sends the messages that are due.
fn send_due(context: &MeshContext) {
    let caps = &context.usage_caps;
    let due = caps.machine.lock().poll(caps.now());
    for OutgoingAsk {
        keeper,
        number,
        ask,
    } in due
    {
        let address = {
            let members = context.board.members.lock();
            members.get(&keeper).map(|record| record.peer_address)
        };
        if let Some(address) = address {
            let kind = GossipKind::CapAsk(ask);
            context.gossip.send_cap(address, number, kind);
        }
    }
}

fn refusal_of(refusal: CapRefusal) -> MeshRefusal {
    match refusal.cause {
        RefusalCause::CapUsed => MeshRefusal::over_cap(refusal.wait),
        RefusalCause::NoShare => unknown_usage(),
    }
}

fn unknown_usage() -> MeshRefusal {
    MeshRefusal::not_run("usage-unknown", UNKNOWN_USAGE_WAIT)
}
