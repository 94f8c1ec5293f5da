//! Merging of received events: which record wins, which changes are gossiped on and which claims are refuted.
//!
//! A claim is an event that carries only a node's state (suspect, dead or left) without the rest of its record.

use {
    super::{GossipMachine, GossipTables},
    crate::{
        gossip::{
            member_events::{
                compact_event, is_full_record, member_event, record_of, state_of, veto_of,
            },
            peer_roster::is_reachable,
        },
        membership::{MemberRecord, MemberState, MemberTable, TargetRecord},
        wire::{EventBody, GossipEvent, MemberEvent, VetoEvent},
    },
    std::{sync::Arc, time::Duration},
    tracing::info,
};

/// Number of low bits of a record's sequence that count changes of demand alone. Such changes are pushed
/// to few nodes directly; only a change of the higher bits is gossiped on.
const DEMAND_BITS: u32 = 20;

/// Effect of merging one member event.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MergeEffect {
    /// More than the demand changed, so the record is gossiped on.
    pub(super) is_significant: bool,
    /// Other members must get the event at once.
    pub(super) is_urgent: bool,
    /// The member changed from alive to suspect.
    pub(super) is_suspicion: bool,
}

/// Effect of merging the events of one packet.
#[derive(Clone, Debug, Default)]
pub(super) struct PacketEffect {
    pub(super) urgent: Vec<GossipEvent>,
    pub(super) suspects: Vec<Arc<str>>,
}

impl GossipMachine {
    pub(super) fn apply_events(
        &mut self,
        events: &[GossipEvent],
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> PacketEffect {
        let mut total = PacketEffect::default();
        for event in events {
            match &event.body {
                Some(EventBody::Member(member)) => {
                    let effect = self.apply_member_event(member, now, tables);
                    self.enqueue_if_significant(&member.node, effect, tables);
                    total
                        .urgent
                        .extend(self.urgent_event(&member.node, effect, tables));
                    let suspect = effect.is_suspicion.then_some(&member.node);
                    let name = suspect.and_then(|node| tables.members.shared_name(node));
                    total.suspects.extend(name);
                }
                Some(EventBody::Veto(veto)) => {
                    let is_new = self.apply_veto_event(veto, event, tables);
                    total.urgent.extend(is_new.then(|| event.clone()));
                }
                None => {}
            }
        }
        total
    }

    /// Returns the event to push at once: a departure, a target that accepts no more calls, or the
    /// refutation of a claim about this node.
    fn urgent_event(
        &self,
        node: &str,
        effect: MergeEffect,
        tables: &GossipTables<'_>,
    ) -> Option<GossipEvent> {
        let record = tables.members.get(node).filter(|_| effect.is_urgent)?;
        Some(member_event(compact_event(record)))
    }

    pub(super) fn apply_veto_event(
        &mut self,
        veto: &VetoEvent,
        event: &GossipEvent,
        tables: &mut GossipTables<'_>,
    ) -> bool {
        let is_new = tables.vetoes.add(veto_of(veto));
        if is_new {
            self.enqueue(event.clone());
        }
        is_new
    }

    pub(super) fn apply_member_event(
        &mut self,
        event: &MemberEvent,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> MergeEffect {
        let Ok(state) = state_of(event) else {
            return MergeEffect::default();
        };
        if event.node == self.own.node {
            let is_urgent = self.refute_claim(event, state, tables);
            return MergeEffect {
                is_urgent,
                ..MergeEffect::default()
            };
        }
        let record = if is_full_record(event) {
            record_of(event).ok()
        } else {
            record_from_claim(event, state, tables.members)
        };
        record.map_or_else(MergeEffect::default, |mut record| {
            downgrade_death_claim(&mut record, tables.members);
            self.merge_record(record, now, tables)
        })
    }

    /// Raises this node's incarnation above an event about this node that would win over its own record;
    /// returns whether it did.
    pub(super) fn refute_claim(
        &mut self,
        event: &MemberEvent,
        state: MemberState,
        tables: &mut GossipTables<'_>,
    ) -> bool {
        tables
            .members
            .raise_floor(&event.node, event.applied_version);
        let claimed = (event.incarnation, state, event.sequence);
        let own = (self.own.incarnation, self.own.state, self.own.sequence);
        if claimed <= own {
            return false;
        }
        self.own.incarnation = event.incarnation.saturating_add(1);
        info!(
            node = %self.own.node,
            claim = %state,
            incarnation = self.own.incarnation,
            "refuting a claim about this node with a higher incarnation"
        );
        self.publish_own_record(tables);
        true
    }

    pub(super) fn merge_record(
        &mut self,
        record: MemberRecord,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> MergeEffect {
        let node = record.node.clone();
        let before = tables.members.get(&node).cloned();
        if !tables.members.merge(record) {
            return MergeEffect::default();
        }
        let Some(name) = tables.members.shared_name(&node) else {
            return MergeEffect::default();
        };
        if before.is_none() {
            self.roster.add(name.clone(), &mut self.rng);
        }
        let Some(after) = tables.members.get(&node) else {
            return MergeEffect::default();
        };
        if before.as_ref().map(|record| record.incarnation) != Some(after.incarnation) {
            self.suspicion_deadlines.remove(&name);
        }
        self.set_timers(&name, now, tables);
        let has_recovered = after.state == MemberState::Alive
            && before
                .as_ref()
                .is_some_and(|before| before.state == MemberState::Dead);
        if has_recovered {
            self.last_recovery_at = Some(now);
        }
        merge_effect(before.as_ref(), after)
    }

    pub(super) fn enqueue_if_significant(
        &mut self,
        node: &str,
        effect: MergeEffect,
        tables: &GossipTables<'_>,
    ) {
        let record = tables.members.get(node).filter(|_| effect.is_significant);
        if let Some(record) = record {
            self.enqueue(member_event(compact_event(record)));
        }
    }

    pub(super) fn declare_state(
        &mut self,
        node: &str,
        state: MemberState,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) {
        if let Some(record) = tables.members.get(node) {
            let mut record = record.clone();
            record.state = state;
            let effect = self.merge_record(record, now, tables);
            self.enqueue_if_significant(node, effect, tables);
        }
    }

    pub(super) fn set_timers(&mut self, name: &Arc<str>, now: Duration, tables: &GossipTables<'_>) {
        let Some(record) = tables.members.get(name) else {
            return;
        };
        let deadline = now + self.suspicion_time();
        match record.state {
            MemberState::Alive => {
                self.suspicion_deadlines.remove(name);
                self.dead_since.remove(name);
            }
            MemberState::Suspect => {
                self.dead_since.remove(name);
                self.suspicion_deadlines
                    .entry(name.clone())
                    .or_insert(deadline);
            }
            MemberState::Dead | MemberState::Left => {
                self.suspicion_deadlines.remove(name);
                self.dead_since.entry(name.clone()).or_insert(now);
            }
        }
    }
}

/// Returns the known record of a node with the state of a claim; none if the node is unknown.
fn record_from_claim(
    event: &MemberEvent,
    state: MemberState,
    members: &MemberTable,
) -> Option<MemberRecord> {
    let mut record = members.get(&event.node)?.clone();
    record.incarnation = event.incarnation;
    record.sequence = record.sequence.max(event.sequence);
    record.state = state;
    record.applied_version = record.applied_version.max(event.applied_version);
    Some(record)
}

/// Downgrades a death claim to a suspicion if the member counts as alive on this node.
///
/// A node that receives no packets at all declares all its peers dead. Nodes that received the earlier
/// suspicion have also received its refutation by then; on the others the member still gets the time to refute.
fn downgrade_death_claim(record: &mut MemberRecord, members: &MemberTable) {
    let is_alive = members
        .get(&record.node)
        .is_some_and(|known| known.state == MemberState::Alive);
    if is_alive && record.state == MemberState::Dead {
        record.state = MemberState::Suspect;
    }
}

/// Returns the next sequence for a change of more than the demand: the higher bits plus one, the low bits 0.
pub(super) fn next_significant_sequence(sequence: u64) -> u64 {
    ((sequence >> DEMAND_BITS) + 1) << DEMAND_BITS
}

fn merge_effect(before: Option<&MemberRecord>, after: &MemberRecord) -> MergeEffect {
    let Some(before) = before else {
        return MergeEffect {
            is_significant: true,
            ..MergeEffect::default()
        };
    };
    let is_significant = before.incarnation != after.incarnation
        || before.state != after.state
        || before.sequence >> DEMAND_BITS != after.sequence >> DEMAND_BITS;
    let has_left = before.state != after.state && after.state == MemberState::Left;
    let has_withdrawn = is_reachable(after) && before.is_available() && !after.is_available();
    MergeEffect {
        is_significant,
        is_urgent: has_left || has_withdrawn,
        is_suspicion: before.state == MemberState::Alive && after.state == MemberState::Suspect,
    }
}

/// Returns whether two target records differ in more than the demand.
pub(super) fn is_significant_target_change(
    before: Option<&TargetRecord>,
    after: Option<&TargetRecord>,
) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => {
            let demand = after.demand;
            TargetRecord {
                demand,
                ..before.clone()
            } != *after
        }
        (None, None) => false,
        _ => true,
    }
}
