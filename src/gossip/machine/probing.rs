//! Rounds of the protocol: probes, suspicion, and attempts to reach dead members.

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

/// Members asked to probe a silent one at each attempt.
const HELPER_COUNT: usize = 3;

/// Direct pings within one probe, all but the first with helpers. At 5% loss, by computation, 4e-8 of the
/// probes of a live member stay unanswered; with one ping and one round of helpers it would be 6e-4, four
/// false suspicions a second among 6,400 members.
const PROBE_ATTEMPTS: u32 = 3;

/// Suspicion in probe intervals per decimal digit of the number of members.
const SUSPICION_FACTOR: f64 = 3.0;

/// Shortest suspicion in probe intervals.
const MIN_SUSPICION_INTERVALS: f64 = 3.0;

/// Probe intervals between two attempts to reach a dead member and an unknown seed.
const RECONNECT_INTERVALS: u32 = 10;

/// Dead members pinged in each probe interval while dead members return. With one ping in ten intervals
/// a node that had been cut off alone still held members for dead 120 intervals after the cut.
const RETURN_PINGS: usize = 4;

/// Probe intervals after the last return of a dead member in which further returns are expected.
const RETURN_INTERVALS: u32 = 10;

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

/// Rounds.
impl GossipMachine {
    /// Drops what a pause made look like silence of the peers.
    pub(super) fn forgive_pause(&mut self, now: Duration) {
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

    pub(super) fn suspicion_time(&self) -> Duration {
        let members = (self.roster.len() + 2) as f64;
        let intervals = (SUSPICION_FACTOR * members.log10()).max(MIN_SUSPICION_INTERVALS);
        self.section.probe_interval.mul_f64(intervals)
    }

    pub(super) fn expire_suspects(&mut self, now: Duration, tables: &mut GossipTables<'_>) {
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

    pub(super) fn forget_dead(&mut self, now: Duration, tables: &mut GossipTables<'_>) {
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

    pub(super) fn choose_helpers(
        &mut self,
        peer: &PeerContact,
        tables: &GossipTables<'_>,
    ) -> Vec<PeerContact> {
        let is_helper =
            |record: &MemberRecord| record.state == MemberState::Alive && record.node != *peer.node;
        self.roster
            .choose(tables.members, HELPER_COUNT, &mut self.rng, is_helper)
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
        if probe.answered || !is_alive || self.is_deaf(&probe, now) {
            return;
        }
        info!(node = %self.own.node, peer = %probe.peer.node, "member did not answer and is suspect");
        self.claim(&probe.peer.node, MemberState::Suspect, now, tables);
        let number = self.next_number();
        output.packets.push(self.ping(&probe.peer, number, tables));
    }

    /// Returns whether the silence of a peer may be the fault of this node.
    pub(super) fn is_deaf(&self, probe: &ActiveProbe, now: Duration) -> bool {
        let silent = now.saturating_sub(self.heard_at);
        let longest = self.section.probe_interval * DEAF_INTERVALS;
        self.heard_at < probe.started && silent < longest
    }

    /// Tells some of the members just heard to be suspect, so that they can refute it at once.
    pub(super) fn warn_suspects(
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
    pub(super) fn reconnect(
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
        let number = self.next_number();
        let own = vec![member_event(full_event(&self.own))];
        let packet = self.packet(GossipKind::Ping(Ping {}), number, own, tables);
        output.packets.push(OutgoingPacket { address, packet });
    }

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
