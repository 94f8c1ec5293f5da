//! Periodic work of the protocol: probes, suspicion, eviction, and attempts to reach dead members.
//!
//! A round is one probe interval.

use {
    super::{
        ActiveProbe, GossipMachine, GossipTables, MachineOutput, OutgoingPacket,
        packets::claim_about,
    },
    crate::{
        gossip::{
            member_events::{full_event, member_event},
            peer_roster::{PeerContact, is_reachable},
        },
        membership::{MemberRecord, MemberState},
        wire::{GossipKind, Ping, PingRequest},
    },
    rand::{Rng, seq::IteratorRandom},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tracing::info,
};

/// Members asked at each repeated attempt to probe an unresponsive one on this node's behalf.
const RELAYS_PER_ATTEMPT: usize = 3;

/// Direct pings within one probe; all but the first go with requests to relays. At 5% packet loss, 4e-8 of the
/// probes of a live member stay unanswered. With one ping and one round of relays it would be 6e-4, which
/// is four false suspicions per second among 6,400 members.
const PROBE_ATTEMPTS: u32 = 3;

/// Time that a suspect has to refute, in probe intervals per decimal digit of the number of members.
const SUSPICION_FACTOR: f64 = 3.0;

/// Shortest time that a suspect has to refute, in probe intervals.
const MIN_SUSPICION_INTERVALS: f64 = 3.0;

/// Probe intervals between two attempts to reach a dead member and a seed without a live member.
const RECONNECT_INTERVALS: u32 = 10;

/// Dead members pinged in each probe interval while others recover. With one ping in ten intervals a node
/// that had been cut off alone still listed members as dead 120 intervals after the end of the cut.
const RECOVERY_PINGS: usize = 4;

/// Probe intervals after the last recovery of a dead member in which further recoveries are expected.
const RECOVERY_INTERVALS: u32 = 10;

/// Delay of a tick, in probe intervals, from which the process counts as having been paused.
const PAUSE_INTERVALS: u32 = 3;

/// Probe intervals for which a node that receives no packets at all assumes that it is isolated itself and
/// suspects no member. After that it does suspect, or the last two nodes of a fleet would never notice each
/// other's death.
const ISOLATION_INTERVALS: u32 = 10;

/// Average number of members that notify a suspect directly when they receive the suspicion. By probes
/// alone, a suspicion takes about as long to reach the suspect as the suspect has to refute it.
const SUSPECT_NOTIFICATIONS: f64 = 8.0;

/// Time after which a dead or departed member is evicted.
const DEAD_RETENTION: Duration = Duration::from_secs(6 * 3600);

/// Most dead and departed members kept; the oldest are evicted first.
const MAX_DEAD_MEMBERS: usize = 8192;

/// Timers.
impl GossipMachine {
    /// Cancels the active probe and extends suspicions if this process was paused.
    ///
    /// Responses that arrived during the pause have not been read yet, so the peers only look unresponsive.
    pub(super) fn compensate_pause(&mut self, now: Duration) {
        let due = self.next_wakeup().max(self.last_tick);
        let late = now.saturating_sub(due);
        if late < self.section.probe_interval * PAUSE_INTERVALS {
            return;
        }
        info!(node = %self.own.node, ?late, "process resumed after a pause; extending suspicion deadlines by it");
        self.probe = None;
        for deadline in self.suspicion_deadlines.values_mut() {
            *deadline += late;
        }
    }

    pub(super) fn retry_due(&self) -> Option<Duration> {
        let probe = self.probe.as_ref()?;
        let may_retry = !probe.answered && probe.attempts < PROBE_ATTEMPTS;
        may_retry.then(|| probe.started + self.section.probe_timeout * probe.attempts)
    }

    pub(super) fn next_round(
        &mut self,
        now: Duration,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        self.rounds += 1;
        self.finish_probe(now, tables, output);
        self.expire_suspects(now, tables);
        self.evict_dead(now, tables);
        self.relayed_probes.retain(|_, relay| relay.deadline > now);
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

    pub(super) fn suspicion_time(&self) -> Duration {
        let members = (self.roster.len() + 2) as f64;
        let intervals = (SUSPICION_FACTOR * members.log10()).max(MIN_SUSPICION_INTERVALS);
        self.section.probe_interval.mul_f64(intervals)
    }

    pub(super) fn expire_suspects(&mut self, now: Duration, tables: &mut GossipTables<'_>) {
        let mut due: Vec<Arc<str>> = self
            .suspicion_deadlines
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(node, _)| node.clone())
            .collect();
        due.sort();
        for node in due {
            info!(node = %self.own.node, peer = %node, "suspect did not refute in time and is declared dead");
            self.declare_state(&node, MemberState::Dead, now, tables);
        }
    }

    pub(super) fn evict_dead(&mut self, now: Duration, tables: &mut GossipTables<'_>) {
        let excess = self.dead_since.len().saturating_sub(MAX_DEAD_MEMBERS);
        let mut dead: Vec<(Duration, Arc<str>)> = self
            .dead_since
            .iter()
            .filter(|(_, since)| excess > 0 || now.saturating_sub(**since) > DEAD_RETENTION)
            .map(|(node, since)| (*since, node.clone()))
            .collect();
        dead.sort();
        let oldest = dead.into_iter().enumerate();
        let evicted = oldest.filter(|(index, (since, _))| {
            *index < excess || now.saturating_sub(*since) > DEAD_RETENTION
        });
        for (_, (_, node)) in evicted {
            self.dead_since.remove(&node);
            self.roster.remove(&node);
            tables.members.remove(&node);
            tables.members.prune_floors(self.own.applied_version);
        }
    }
}

/// Probes.
impl GossipMachine {
    pub(super) fn start_probe(
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
        let number = self.next_ping_number();
        output.packets.push(self.ping(&peer, number, tables));
        self.probe = Some(ActiveProbe {
            peer,
            number,
            started: now,
            attempts: 1,
            answered: false,
        });
    }

    pub(super) fn retry_probe(
        &mut self,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        probe.attempts += 1;
        let direct = self.ping(&probe.peer, probe.number, tables);
        output.packets.push(direct);
        for relay in self.choose_relays(&probe.peer, tables) {
            let request = PingRequest {
                node: probe.peer.node.to_string(),
                address: probe.peer.address.to_string(),
            };
            let kind = GossipKind::PingRequest(request);
            let packet = self.packet(kind, probe.number, Vec::new(), tables);
            output.packets.push(OutgoingPacket {
                address: relay.address,
                packet,
            });
        }
        self.probe = Some(probe);
    }

    pub(super) fn choose_relays(
        &mut self,
        peer: &PeerContact,
        tables: &GossipTables<'_>,
    ) -> Vec<PeerContact> {
        let is_candidate =
            |record: &MemberRecord| record.state == MemberState::Alive && record.node != *peer.node;
        self.roster.choose(
            tables.members,
            RELAYS_PER_ATTEMPT,
            &mut self.rng,
            is_candidate,
        )
    }

    pub(super) fn finish_probe(
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
        if probe.answered || !is_alive || self.is_likely_isolated(&probe, now) {
            return;
        }
        info!(node = %self.own.node, peer = %probe.peer.node, "member did not answer the probe and is marked suspect");
        self.declare_state(&probe.peer.node, MemberState::Suspect, now, tables);
        let number = self.next_ping_number();
        output.packets.push(self.ping(&probe.peer, number, tables));
    }

    /// Returns whether an unanswered probe may be due to this node being isolated: no packet has arrived since the
    /// probe began, and the last one is less than `ISOLATION_INTERVALS` old.
    pub(super) fn is_likely_isolated(&self, probe: &ActiveProbe, now: Duration) -> bool {
        let since_last_packet = now.saturating_sub(self.last_received_at);
        let limit = self.section.probe_interval * ISOLATION_INTERVALS;
        self.last_received_at < probe.started && since_last_packet < limit
    }

    /// Pings some of the members that a packet reported as suspect, so that they can refute at once.
    pub(super) fn notify_suspects(
        &mut self,
        suspects: &[Arc<str>],
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let probability = (SUSPECT_NOTIFICATIONS / (self.roster.len() as f64 + 1.0)).min(1.0);
        for node in suspects {
            let Some(record) = tables.members.get(node) else {
                continue;
            };
            if self.rng.random_bool(probability) {
                let peer = PeerContact {
                    node: node.clone(),
                    address: record.peer_address,
                };
                let number = self.next_ping_number();
                output.packets.push(self.ping(&peer, number, tables));
            }
        }
    }

    /// Pings dead members and a seed whose address no live member has, so that partitions that list each
    /// other as dead merge again.
    pub(super) fn reconnect(
        &mut self,
        now: Duration,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let is_due = self.rounds.is_multiple_of(RECONNECT_INTERVALS);
        let recovery_window = self.section.probe_interval * RECOVERY_INTERVALS;
        let are_members_recovering = self
            .last_recovery_at
            .is_some_and(|at| now < at + recovery_window);
        let count = if are_members_recovering {
            RECOVERY_PINGS
        } else {
            usize::from(is_due)
        };
        for peer in self.choose_dead(count, tables) {
            let number = self.next_ping_number();
            output.packets.push(self.ping(&peer, number, tables));
        }
        if is_due && let Some(address) = self.choose_seed(tables) {
            self.ping_seed(address, tables, output);
        }
    }

    /// Returns up to `count` random dead members; departed ones are left alone.
    pub(super) fn choose_dead(
        &mut self,
        count: usize,
        tables: &GossipTables<'_>,
    ) -> Vec<PeerContact> {
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

    pub(super) fn ping_seed(
        &mut self,
        address: SocketAddr,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let number = self.next_ping_number();
        let own = vec![member_event(full_event(&self.own))];
        let packet = self.packet(GossipKind::Ping(Ping {}), number, own, tables);
        output.packets.push(OutgoingPacket { address, packet });
    }

    /// Returns a random seed unless it is this node or a live member has its address.
    pub(super) fn choose_seed(&mut self, tables: &GossipTables<'_>) -> Option<SocketAddr> {
        let seeds = &self.section.seeds;
        if seeds.is_empty() {
            return None;
        }
        let seed = seeds[self.rng.random_range(0..seeds.len())];
        let is_live = |record: &MemberRecord| record.peer_address == seed && is_reachable(record);
        let is_known = tables.members.iter().any(is_live);
        (seed != self.own.peer_address && !is_known).then_some(seed)
    }

    /// Builds a ping that carries this node's record and any claim about the peer.
    pub(super) fn ping(
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
