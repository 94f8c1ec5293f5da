//! Assembly of outgoing packets, choice of their receivers, and responses to received ones.

use {
    super::{
        EVENT_BURST_BYTES, GossipMachine, GossipTables, MachineOutput, NewerVersion,
        OutgoingPacket, RelayedProbe,
    },
    crate::{
        gossip::{
            event_queue::event_bytes,
            member_events::{compact_event, full_event, member_event},
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

/// Transmissions of a queued event by one node, per binary digit of the number of members.
const TRANSMIT_FACTOR: u32 = 3;

/// Bytes of queued events that a node may send per second. Without a limit the loss of one of 12
/// failure domains cost each of 6,400 members 5.1 KB/s, above the control-traffic budget of 3 KB/s.
const EVENT_BYTES_PER_SECOND: f64 = 900.0;

/// Probes on behalf of other members that may be pending at once; further requests are ignored.
const MAX_RELAYED_PROBES: usize = 256;

/// Nodes of the same customer to which a changed demand is pushed.
const DEMAND_FANOUT: usize = 16;

impl GossipMachine {
    /// Builds a packet with the events `first` as far as they fit, then queued events in the space left.
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
            store_view: self.store.view(self.now),
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
        let queued = self.queue.take(budget, limit);
        let bytes: usize = queued.iter().map(event_bytes).sum();
        self.event_allowance -= bytes as f64;
        packet.events.extend(queued);
        packet
    }

    pub(super) fn refill_allowance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.allowance_updated_at).as_secs_f64();
        let refilled = self.event_allowance + elapsed * EVENT_BYTES_PER_SECOND;
        self.event_allowance = refilled.min(EVENT_BURST_BYTES);
        self.allowance_updated_at = now;
    }

    /// Pushes `urgent` events to `push_fanout` random members.
    ///
    /// Events in the queue may wait behind those of many deaths, so urgent ones are passed in directly.
    pub(super) fn push_random(
        &mut self,
        urgent: &[GossipEvent],
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        self.push_to(self.section.push_fanout, urgent, tables, output);
    }

    /// Pushes `urgent` events to `count` random members.
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

    /// Chooses half of the members from other failure domains and the rest from this node's own one, or from
    /// anywhere if that has too few.
    pub(super) fn choose_push_targets(
        &mut self,
        count: usize,
        tables: &GossipTables<'_>,
    ) -> Vec<PeerContact> {
        let domain = &self.own.domain;
        let is_in_other_domain =
            |record: &MemberRecord| record.state == MemberState::Alive && &record.domain != domain;
        let mut chosen = self.roster.choose(
            tables.members,
            count.div_ceil(2),
            &mut self.rng,
            is_in_other_domain,
        );
        let is_in_own_domain =
            |record: &MemberRecord| record.state == MemberState::Alive && &record.domain == domain;
        let rest = count - chosen.len();
        chosen.extend(
            self.roster
                .choose(tables.members, rest, &mut self.rng, is_in_own_domain),
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

    /// Pushes this node's record to nodes whose targets belong to the same customer.
    pub(super) fn push_to_customer(
        &mut self,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let Some(target) = &self.own.target else {
            return;
        };
        let customer = target.key.customer.clone();
        let has_same_customer = |record: &MemberRecord| {
            is_reachable(record)
                && record
                    .target
                    .as_ref()
                    .is_some_and(|other| other.key.customer == customer)
        };
        let peers = self.roster.choose(
            tables.members,
            DEMAND_FANOUT,
            &mut self.rng,
            has_same_customer,
        );
        for peer in peers {
            let first = vec![member_event(full_event(&self.own))];
            let packet = self.packet(GossipKind::Push(Push {}), 0, first, tables);
            output.packets.push(OutgoingPacket {
                address: peer.address,
                packet,
            });
        }
    }

    pub(super) fn record_sender_version(
        &mut self,
        packet: &GossipPacket,
        from: SocketAddr,
        tables: &mut GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let version = packet.config_version;
        tables.members.raise_floor(&packet.sender, version);
        if version > self.own.applied_version {
            output.newer_config = Some(NewerVersion {
                node: packet.sender.clone(),
                address: from,
                version,
            });
        }
    }

    pub(super) fn respond(
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
            Some(GossipKind::Ack(ack)) => self.handle_ack(ack, packet.number, tables, output),
            Some(GossipKind::PingRequest(request)) => {
                self.relay_probe(request, packet.number, from, now, tables, output);
            }
            Some(GossipKind::Push(_)) => self.respond_to_push(packet, from, tables, output),
            // `GossipNode` passes these on and does not hand them to the membership protocol.
            Some(GossipKind::CapAsk(_) | GossipKind::CapAnswer(_)) | None => {}
        }
    }

    /// Pushes back to a sender that announced an older configuration version or a lower digest of its moves.
    pub(super) fn respond_to_push(
        &mut self,
        packet: &GossipPacket,
        from: SocketAddr,
        tables: &GossipTables<'_>,
        output: &mut MachineOutput,
    ) {
        let digest = packet.store_view.map_or(0, |view| view.moves_digest);
        if packet.config_version < self.own.applied_version || digest < self.store.moves_digest() {
            let answer = self.packet(GossipKind::Push(Push {}), 0, Vec::new(), tables);
            output.packets.push(OutgoingPacket {
                address: from,
                packet: answer,
            });
        }
    }

    /// Returns the events that correct outdated state at the sender of a ping.
    ///
    /// These are: a claim that the sender is suspect, dead or left, or its record with a higher incarnation
    /// than it reports, so that it can refute; and this node's own record, if the sender sent a claim about it.
    pub(super) fn corrections(
        &self,
        packet: &GossipPacket,
        tables: &GossipTables<'_>,
    ) -> Vec<GossipEvent> {
        let mut corrections = Vec::new();
        let reported = event_about(packet, &packet.sender);
        let known = tables.members.get(&packet.sender);
        if let Some(claim) = claim_about(&packet.sender, tables) {
            corrections.push(claim);
        } else if let (Some(reported), Some(known)) = (reported, known)
            && known.incarnation > reported.incarnation
        {
            corrections.push(member_event(full_event(known)));
        }
        if event_about(packet, &self.own.node).is_some() {
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

    /// Completes the active probe, or forwards the `Ack` to the node that requested the probe.
    pub(super) fn handle_ack(
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
        if let Some(relayed) = self.relayed_probes.remove(&number) {
            let packet = self.ack(&ack.alive, relayed.origin_number, Vec::new(), tables);
            output.packets.push(OutgoingPacket {
                address: relayed.origin,
                packet,
            });
        }
    }

    /// Pings a node on behalf of `origin`, whose request has the number `origin_number`.
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
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let number = self.next_ping_number();
        self.relayed_probes.insert(
            number,
            RelayedProbe {
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

/// Returns how often a node sends each queued event in a fleet of this size.
pub fn transmit_limit(members: usize) -> u32 {
    TRANSMIT_FACTOR * (members as u64 + 1).ilog2().max(1)
}

/// Returns the event that claims a node to be suspect, dead or left; none if it is alive or unknown.
pub(super) fn claim_about(node: &str, tables: &GossipTables<'_>) -> Option<GossipEvent> {
    let record = tables.members.get(node)?;
    let is_claim = record.state != MemberState::Alive;
    is_claim.then(|| member_event(compact_event(record)))
}

/// Returns the first event of a packet about a node.
fn event_about<'a>(packet: &'a GossipPacket, node: &str) -> Option<&'a MemberEvent> {
    packet.events.iter().find_map(|event| match &event.body {
        Some(EventBody::Member(member)) if member.node == node => Some(member),
        _ => None,
    })
}
