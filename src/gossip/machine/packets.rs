//! Packets of the protocol: what goes into them and how they are answered.

use {
    super::{
        EVENT_BURST_BYTES, GossipMachine, GossipTables, MachineOutput, NewerVersion,
        OutgoingPacket, ProbeRelay,
    },
    crate::{
        gossip::{
            event_queue::event_bytes,
            member_events::{full_event, member_event, spread_event},
            peer_roster::{PeerContact, is_reachable},
        },
        membership::{MemberRecord, MemberState},
        wire::{
            Ack, EventBody, GossipEvent, GossipKind, GossipPacket, MAX_PACKET_BYTES, MemberEvent,
            PROTOCOL_VERSION, PingRequest, Push,
        },
    },
    prost::Message,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Transmissions of an event per binary digit of the number of members.
const TRANSMIT_FACTOR: u32 = 3;

/// Bytes of passed-on events that a node may send per second. Without a limit the loss of one of 12
/// failure domains cost each of 6,400 members 5.1 KB/s, above the control budget of 3 KB/s.
const EVENT_BYTES_PER_SECOND: f64 = 900.0;

/// Probes for other members that may be open at once.
const MAX_RELAYS: usize = 256;

/// Members of the same customer that are told of a changed demand.
const DEMAND_FANOUT: usize = 16;

/// Packets.
impl GossipMachine {
    pub(super) fn packet(
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
            store_view: self.store.view(),
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
        let budget = budget.min(self.event_allowance as usize);
        let passed_on = self.queue.take(budget, limit);
        let bytes: usize = passed_on.iter().map(event_bytes).sum();
        self.event_allowance -= bytes as f64;
        packet.events.extend(passed_on);
        packet
    }

    pub(super) fn refill_allowance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.allowance_at).as_secs_f64();
        let refilled = self.event_allowance + elapsed * EVENT_BYTES_PER_SECOND;
        self.event_allowance = refilled.min(EVENT_BURST_BYTES);
        self.allowance_at = now;
    }

    /// Sends a push with these events to random members. Events that only wait in the queue may be behind
    /// the news of many deaths, so what must not wait is given here.
    pub(super) fn push_random(
        &mut self,
        urgent: &[GossipEvent],
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        self.push_to(self.section.push_fanout, urgent, tables, output);
    }

    /// Sends a push with these events to so many random members.
    pub(super) fn push_to(
        &mut self,
        count: usize,
        urgent: &[GossipEvent],
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        for peer in self.choose_push_targets(count, tables) {
            let packet = self.packet(GossipKind::Push(Push {}), 0, urgent.to_vec(), tables);
            output.packets.push(OutgoingPacket {
                address: peer.address,
                packet,
            });
        }
    }

    /// Chooses half of the members in other failure domains and the rest in the own one, or anywhere if that has
    /// too few.
    pub(super) fn choose_push_targets(
        &mut self,
        count: usize,
        tables: &GossipTables<'_>,
    ) -> Vec<PeerContact> {
        let domain = &self.own.domain;
        let is_foreign =
            |record: &MemberRecord| record.state == MemberState::Alive && &record.domain != domain;
        let mut chosen =
            self.roster
                .choose(tables.members, count.div_ceil(2), &mut self.rng, is_foreign);
        let is_local =
            |record: &MemberRecord| record.state == MemberState::Alive && &record.domain == domain;
        let rest = count - chosen.len();
        chosen.extend(
            self.roster
                .choose(tables.members, rest, &mut self.rng, is_local),
        );
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

    pub(super) fn tell_customer(&mut self, tables: &GossipTables<'_>, output: &mut MachineOutput) {
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

    pub(super) fn note_version(
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

    pub(super) fn answer(
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

    /// A peer that announces an older version or fewer moves learns of the newer ones at once.
    pub(super) fn answer_push(
        &mut self,
        packet: &GossipPacket,
        from: SocketAddr,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let digest = packet.store_view.map_or(0, |view| view.moves_digest);
        let own_digest = self.store.view().map_or(0, |view| view.moves_digest);
        if packet.config_version < self.own.applied_version || digest < own_digest {
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
    pub(super) fn corrections(
        &self,
        packet: &GossipPacket,
        tables: &GossipTables<'_>,
    ) -> Vec<GossipEvent> {
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

    pub(super) fn ack(
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

    pub(super) fn take_ack(
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

    pub(super) fn relay_probe(
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

/// Returns how often an event is sent on in a fleet of this size.
pub fn transmit_limit(members: usize) -> u32 {
    TRANSMIT_FACTOR * (members as u64 + 1).ilog2().max(1)
}

pub(super) fn claim_about(node: &str, tables: &GossipTables<'_>) -> Option<GossipEvent> {
    let record = tables.members.get(node)?;
    let is_claim = record.state != MemberState::Alive;
    is_claim.then(|| member_event(spread_event(record)))
}

/// Returns the event in which a packet speaks of a node.
fn said_of<'a>(packet: &'a GossipPacket, node: &str) -> Option<&'a MemberEvent> {
    packet.events.iter().find_map(|event| match &event.body {
        Some(EventBody::Member(member)) if member.node == node => Some(member),
        _ => None,
    })
}
