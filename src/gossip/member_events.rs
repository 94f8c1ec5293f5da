//! Conversion between records of members, targets and vetoes and the gossip events that carry them.

use {
    crate::{
        config::ServiceKey,
        membership::{MemberRecord, MemberState, TargetRecord, TargetStart},
        veto_table::VetoRecord,
        wire::{
            EventBody, GossipEvent, MemberEvent, TargetAnnouncement, TargetStartBody, VetoEvent,
        },
        wire_codec::PacketError,
    },
    std::net::SocketAddr,
};

/// Returns the event that carries a full member record.
pub fn full_event(record: &MemberRecord) -> MemberEvent {
    MemberEvent {
        node: record.node.clone(),
        incarnation: record.incarnation,
        sequence: record.sequence,
        state: state_code(record.state),
        domain: record.domain.clone(),
        peer_address: record.peer_address.to_string(),
        forward_address: record.forward_address.to_string(),
        target: record.target.as_ref().map(announcement_of),
        applied_version: record.applied_version,
    }
}

/// Returns the event to gossip for a record: the full record if the node is alive, else only a claim of its state.
///
/// A claim lacks the addresses, so a receiver that does not know the node ignores it. It takes about a quarter of the
/// bytes of a full record.
pub fn compact_event(record: &MemberRecord) -> MemberEvent {
    if record.state == MemberState::Alive {
        return full_event(record);
    }
    MemberEvent {
        node: record.node.clone(),
        incarnation: record.incarnation,
        sequence: record.sequence,
        state: state_code(record.state),
        applied_version: record.applied_version,
        ..MemberEvent::default()
    }
}

/// Wraps a member event in a `GossipEvent`.
pub fn member_event(event: MemberEvent) -> GossipEvent {
    GossipEvent {
        body: Some(EventBody::Member(event)),
    }
}

/// Decodes the state of an event; an unknown code is an error.
pub fn state_of(event: &MemberEvent) -> Result<MemberState, PacketError> {
    match event.state {
        0 => Ok(MemberState::Alive),
        1 => Ok(MemberState::Suspect),
        2 => Ok(MemberState::Dead),
        3 => Ok(MemberState::Left),
        other => Err(invalid(event, "state", other.to_string())),
    }
}

/// Decodes the full record of an event; an invalid state or address is an error.
pub fn record_of(event: &MemberEvent) -> Result<MemberRecord, PacketError> {
    Ok(MemberRecord {
        node: event.node.clone(),
        incarnation: event.incarnation,
        sequence: event.sequence,
        state: state_of(event)?,
        domain: event.domain.clone(),
        peer_address: address_of(event, "peer_address", &event.peer_address)?,
        forward_address: address_of(event, "forward_address", &event.forward_address)?,
        target: event.target.as_ref().map(target_of),
        applied_version: event.applied_version,
    })
}

/// Returns whether an event carries a full record and not only a claim of a state.
pub fn is_full_record(event: &MemberEvent) -> bool {
    !event.peer_address.is_empty()
}

/// Checks that an event names a node, has a valid state and, unless it is only a claim, valid addresses.
pub fn check_member(event: &MemberEvent) -> Result<(), PacketError> {
    if event.node.is_empty() {
        return Err(invalid(event, "node", "empty".to_owned()));
    }
    let state = state_of(event)?;
    if state == MemberState::Alive || is_full_record(event) {
        record_of(event)?;
    }
    Ok(())
}

/// Returns the event that carries a veto.
pub fn veto_event(veto: &VetoRecord) -> GossipEvent {
    GossipEvent {
        body: Some(EventBody::Veto(VetoEvent {
            customer: veto.key.customer.clone(),
            service: veto.key.service.clone(),
            move_id: veto.move_id,
            issuer: veto.issuer.clone(),
            reason: veto.reason.clone(),
        })),
    }
}

/// Returns the veto record of an event.
pub fn veto_of(event: &VetoEvent) -> VetoRecord {
    VetoRecord {
        key: ServiceKey {
            customer: event.customer.clone(),
            service: event.service.clone(),
        },
        move_id: event.move_id,
        issuer: event.issuer.clone(),
        reason: event.reason.clone(),
    }
}

fn state_code(state: MemberState) -> u32 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
        MemberState::Left => 3,
    }
}

fn address_of(
    event: &MemberEvent,
    field: &'static str,
    text: &str,
) -> Result<SocketAddr, PacketError> {
    text.parse()
        .map_err(|_| invalid(event, field, text.to_owned()))
}

fn invalid(event: &MemberEvent, field: &'static str, found: String) -> PacketError {
    PacketError::InvalidEvent {
        node: event.node.clone(),
        field,
        found,
    }
}

/// Returns the target of a member if it has said that it leaves.
pub fn left_target(record: &MemberRecord) -> Option<TargetAnnouncement> {
    let target = record.target.as_ref()?;
    target.left.is_some().then(|| announcement_of(target))
}

fn announcement_of(target: &TargetRecord) -> TargetAnnouncement {
    TargetAnnouncement {
        customer: target.key.customer.clone(),
        service: target.key.service.clone(),
        version: target.version.clone(),
        slots: target.slots,
        connections: target.connections,
        draining: target.draining,
        demand: target.demand,
        left: target.left.as_ref().map(start_body_of),
    }
}

/// Returns the record of a target from its wire form.
pub fn target_of(announcement: &TargetAnnouncement) -> TargetRecord {
    TargetRecord {
        key: ServiceKey {
            customer: announcement.customer.clone(),
            service: announcement.service.clone(),
        },
        version: announcement.version.clone(),
        slots: announcement.slots,
        connections: announcement.connections,
        draining: announcement.draining,
        demand: announcement.demand,
        left: announcement.left.as_ref().map(start_of),
    }
}

/// Returns the wire form of a start of a target.
fn start_body_of(start: &TargetStart) -> TargetStartBody {
    TargetStartBody {
        instance: start.instance.clone(),
        born_ms: start.born_ms,
    }
}

/// Returns the start of a target from its wire form.
fn start_of(body: &TargetStartBody) -> TargetStart {
    TargetStart {
        instance: body.instance.clone(),
        born_ms: body.born_ms,
    }
}
