//! Queue of events to gossip on; each is sent a bounded number of times.

use {
    crate::wire::{EventBody, GossipEvent},
    prost::Message,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
    },
};

/// Bytes of the field tag and length that precede an event in an encoded packet.
const EVENT_OVERHEAD_BYTES: usize = 3;

/// Largest event accepted, in bytes; leaves room for the other fields of a packet.
const MAX_EVENT_BYTES: usize = 1000;

/// Queue entries examined for one packet; a packet holds at most about 50 of the smallest events.
const SCAN_LIMIT: usize = 64;

/// Subject of an event: a node, or a service as `customer/service`. A newer event replaces an older one on the same topic.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum EventTopic {
    Member(String),
    Veto(String),
}

/// Position in the queue: least often sent first, then most recently pushed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueRank {
    sent: u32,
    push_number: Reverse<u64>,
}

#[derive(Clone, Debug)]
struct QueueEntry {
    topic: EventTopic,
    event: GossipEvent,
    bytes: usize,
}

/// Queue of events. Its length is bounded by the number of nodes and services, since each topic has one entry.
///
/// Invariant: `ranks` and `entries` hold the same events.
#[derive(Clone, Debug, Default)]
pub struct EventQueue {
    entries: BTreeMap<QueueRank, QueueEntry>,
    ranks: HashMap<EventTopic, QueueRank>,
    push_count: u64,
}

/// Returns the bytes that an event adds to an encoded packet.
pub fn event_bytes(event: &GossipEvent) -> usize {
    event.encoded_len() + EVENT_OVERHEAD_BYTES
}

impl EventQueue {
    /// Adds an event, replacing an older one on the same topic.
    ///
    /// Returns false, and queues nothing, if the event has no body or is too long for a packet.
    pub fn push(&mut self, event: GossipEvent) -> bool {
        let bytes = event_bytes(&event);
        let Some(topic) = topic_of(&event) else {
            return false;
        };
        if bytes > MAX_EVENT_BYTES {
            return false;
        }
        self.remove(&topic);
        self.push_count += 1;
        let rank = QueueRank {
            sent: 0,
            push_number: Reverse(self.push_count),
        };
        let entry = QueueEntry {
            topic,
            event,
            bytes,
        };
        self.insert(rank, entry);
        true
    }

    /// Returns the next events that fit into `budget` bytes and counts them as sent once more.
    ///
    /// An event that has been sent `limit` times is removed from the queue.
    pub fn take(&mut self, mut budget: usize, limit: u32) -> Vec<GossipEvent> {
        let mut chosen = Vec::new();
        for (rank, entry) in self.entries.iter().take(SCAN_LIMIT) {
            if entry.bytes <= budget {
                budget -= entry.bytes;
                chosen.push(*rank);
            }
        }
        chosen
            .into_iter()
            .filter_map(|rank| self.mark_sent(rank, limit))
            .collect()
    }

    /// Returns the number of queued events.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn mark_sent(&mut self, rank: QueueRank, limit: u32) -> Option<GossipEvent> {
        let entry = self.entries.remove(&rank)?;
        self.ranks.remove(&entry.topic);
        let event = entry.event.clone();
        let sent = rank.sent + 1;
        if sent < limit {
            self.insert(QueueRank { sent, ..rank }, entry);
        }
        Some(event)
    }

    fn insert(&mut self, rank: QueueRank, entry: QueueEntry) {
        self.ranks.insert(entry.topic.clone(), rank);
        self.entries.insert(rank, entry);
    }

    fn remove(&mut self, topic: &EventTopic) {
        if let Some(rank) = self.ranks.remove(topic) {
            self.entries.remove(&rank);
        }
    }
}

fn topic_of(event: &GossipEvent) -> Option<EventTopic> {
    match event.body.as_ref()? {
        EventBody::Member(member) => Some(EventTopic::Member(member.node.clone())),
        EventBody::Veto(veto) => Some(EventTopic::Veto(format!(
            "{}/{}",
            veto.customer, veto.service
        ))),
    }
}
