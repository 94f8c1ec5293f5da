//! Taking over events: what prevails, what is passed on and what is refuted.

use {
    super::{GossipMachine, GossipTables},
    crate::{
        gossip::{
            member_events::{is_whole, member_event, record_of, spread_event, state_of, veto_of},
            peer_roster::is_reachable,
        },
        membership::{MemberRecord, MemberState, MemberTable, TargetRecord},
        wire::{EventBody, GossipEvent, MemberEvent, VetoEvent},
    },
    std::{sync::Arc, time::Duration},
    tracing::info,
};

/// Low bits of a record's sequence, which count changes of demand. Those go to few nodes directly, and
/// only a change of the other bits is passed on.
const DEMAND_BITS: u32 = 20;

/// What taking over an event changed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MergeEffect {
    pub(super) is_news: bool,
    pub(super) is_urgent: bool,
    pub(super) is_suspicion: bool,
}

/// What taking over the events of a packet changed.
#[derive(Clone, Debug, Default)]
pub(super) struct PacketEffect {
    pub(super) urgent: Vec<GossipEvent>,
    pub(super) suspects: Vec<Arc<str>>,
}

/// Events.
impl GossipMachine {
    pub(super) fn take_events(
        &mut self,
        events: &[GossipEvent],
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> PacketEffect {
        let mut total = PacketEffect::default();
        for event in events {
            match &event.body {
                Some(EventBody::Member(member)) => {
                    let effect = self.take_member(member, now, tables);
                    self.pass_on(&member.node, effect, tables);
                    total
                        .urgent
                        .extend(self.urgent_event(&member.node, effect, tables));
                    let suspect = effect.is_suspicion.then_some(&member.node);
                    let name = suspect.and_then(|node| tables.members.name_of(node));
                    total.suspects.extend(name);
                }
                Some(EventBody::Veto(veto)) => {
                    let is_new = self.take_veto(veto, event, tables);
                    total.urgent.extend(is_new.then(|| event.clone()));
                }
                None => {}
            }
        }
        total
    }

    /// Returns the event that must reach the other members at once: a departure, a target that takes no
    /// more calls, or the refutation of a claim about this node.
    fn urgent_event(
        &self,
        node: &str,
        effect: MergeEffect,
        tables: &GossipTables<'_>,
    ) -> Option<GossipEvent> {
        let record = tables.members.get(node).filter(|_| effect.is_urgent)?;
        Some(member_event(spread_event(record)))
    }

    pub(super) fn take_veto(
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

    pub(super) fn take_member(
        &mut self,
        event: &MemberEvent,
        now: Duration,
        tables: &mut GossipTables<'_>,
    ) -> MergeEffect {
        let Ok(state) = state_of(event) else {
            return MergeEffect::default();
        };
        if event.node == self.own.node {
            let is_urgent = self.defend_own(event, state, tables);
            return MergeEffect {
                is_urgent,
                ..MergeEffect::default()
            };
        }
        let record = if is_whole(event) {
            record_of(event).ok()
        } else {
            claimed_record(event, state, tables.members)
        };
        record.map_or_else(MergeEffect::default, |mut record| {
            soften_death(&mut record, tables.members);
            self.merge_record(record, now, tables)
        })
    }

    /// Answers a claim about this node with a higher incarnation if it would prevail over its record;
    /// returns whether it did.
    pub(super) fn defend_own(
        &mut self,
        event: &MemberEvent,
        state: MemberState,
        tables: &mut GossipTables<'_>,
    ) -> bool {
        tables
            .members
            .raise_floor(&event.node, event.applied_version);
        let heard = (event.incarnation, state, event.sequence);
        let own = (self.own.incarnation, self.own.state, self.own.sequence);
        if heard <= own {
            return false;
        }
        self.own.incarnation = event.incarnation.saturating_add(1);
        info!(
            node = %self.own.node,
            claim = %state,
            incarnation = self.own.incarnation,
            "refutes a claim about itself"
        );
        self.publish_own(tables);
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
        let Some(name) = tables.members.name_of(&node) else {
            return MergeEffect::default();
        };
        if before.is_none() {
            self.roster.add(name.clone(), &mut self.rng);
        }
        let Some(after) = tables.members.get(&node) else {
            return MergeEffect::default();
        };
        if before.as_ref().map(|record| record.incarnation) != Some(after.incarnation) {
            self.suspects.remove(&name);
        }
        self.set_timers(&name, now, tables);
        let has_returned = after.state == MemberState::Alive
            && before
                .as_ref()
                .is_some_and(|before| before.state == MemberState::Dead);
        if has_returned {
            self.returned_at = Some(now);
        }
        effect_of(before.as_ref(), after)
    }

    pub(super) fn pass_on(&mut self, node: &str, effect: MergeEffect, tables: &GossipTables<'_>) {
        let record = tables.members.get(node).filter(|_| effect.is_news);
        if let Some(record) = record {
            self.enqueue(member_event(spread_event(record)));
        }
    }

    pub(super) fn claim(
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
            self.pass_on(node, effect, tables);
        }
    }

    pub(super) fn set_timers(&mut self, name: &Arc<str>, now: Duration, tables: &GossipTables<'_>) {
        let Some(record) = tables.members.get(name) else {
            return;
        };
        let deadline = now + self.suspicion_time();
        match record.state {
            MemberState::Alive => {
                self.suspects.remove(name);
                self.dead_since.remove(name);
            }
            MemberState::Suspect => {
                self.dead_since.remove(name);
                self.suspects.entry(name.clone()).or_insert(deadline);
            }
            MemberState::Dead | MemberState::Left => {
                self.suspects.remove(name);
                self.dead_since.entry(name.clone()).or_insert(now);
            }
        }
    }
}

/// Returns the record that results from a claim without content, if the node is known.
fn claimed_record(
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

/// Makes a claim of death a suspicion if the member is not yet suspect here.
///
/// A node that hears nobody declares all its peers dead. Where the suspicion came by, it has been refuted
/// by then; where it did not, the member still gets the time to refute.
fn soften_death(record: &mut MemberRecord, members: &MemberTable) {
    let is_alive = members
        .get(&record.node)
        .is_some_and(|known| known.state == MemberState::Alive);
    if is_alive && record.state == MemberState::Dead {
        record.state = MemberState::Suspect;
    }
}

/// Returns the sequence of a record that differs from the present one in more than demand.
pub(super) fn next_news(sequence: u64) -> u64 {
    ((sequence >> DEMAND_BITS) + 1) << DEMAND_BITS
}

fn effect_of(before: Option<&MemberRecord>, after: &MemberRecord) -> MergeEffect {
    let Some(before) = before else {
        return MergeEffect {
            is_news: true,
            ..MergeEffect::default()
        };
    };
    let is_news = before.incarnation != after.incarnation
        || before.state != after.state
        || before.sequence >> DEMAND_BITS != after.sequence >> DEMAND_BITS;
    let has_left = before.state != after.state && after.state == MemberState::Left;
    let has_withdrawn = is_reachable(after) && before.is_available() && !after.is_available();
    MergeEffect {
        is_news,
        is_urgent: has_left || has_withdrawn,
        is_suspicion: before.state == MemberState::Alive && after.state == MemberState::Suspect,
    }
}

pub(super) fn is_target_news(before: Option<&TargetRecord>, after: Option<&TargetRecord>) -> bool {
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
