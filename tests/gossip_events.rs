//! Queue of events to gossip on.

use poplarwing::{
    gossip::event_queue::{EventQueue, event_bytes},
    wire::{EventBody, GossipEvent, MemberEvent, VetoEvent},
};

fn event(node: &str, sequence: u64) -> GossipEvent {
    GossipEvent {
        body: Some(EventBody::Member(MemberEvent {
            node: node.to_owned(),
            sequence,
            ..MemberEvent::default()
        })),
    }
}

/// Guards against gossiping an event without end.
#[test]
fn an_event_is_sent_a_bounded_number_of_times() {
    let mut queue = EventQueue::default();
    queue.push(event("a", 1));

    let sent = (0..100).flat_map(|_| queue.take(1_000, 12)).count();

    assert_eq!(sent, 12);
    assert!(queue.is_empty());
}

/// Guards against sending an outdated event in addition to the one that replaced it.
#[test]
fn a_newer_event_replaces_the_one_about_the_same_node() {
    let mut queue = EventQueue::default();
    queue.push(event("a", 1));
    queue.take(1_000, 12);
    queue.push(event("a", 2));

    let sent: Vec<GossipEvent> = (0..100).flat_map(|_| queue.take(1_000, 12)).collect();

    assert_eq!(sent, vec![event("a", 2); 12]);
}

/// Guards against new events waiting behind those already sent, and against exceeding the byte budget.
#[test]
fn the_least_often_sent_events_that_fit_go_first() {
    let mut queue = EventQueue::default();
    for index in 0..50 {
        queue.push(event(&format!("node-{index}"), 1));
    }
    let bytes = event_bytes(&event("node-10", 1));

    let first = queue.take(bytes * 10, 12);
    queue.push(event("node-new", 1));
    let second = queue.take(bytes * 10, 12);

    assert!(first.iter().map(event_bytes).sum::<usize>() <= bytes * 10);
    assert_eq!(second[0], event("node-new", 1));
    assert!(second.iter().all(|event| !first.contains(event)));
}

/// Guards against an event too long for any packet blocking the queue.
#[test]
fn an_event_too_long_for_a_packet_is_rejected() {
    let mut queue = EventQueue::default();
    let veto = VetoEvent {
        reason: "x".repeat(1_100),
        ..VetoEvent::default()
    };

    let is_queued = queue.push(GossipEvent {
        body: Some(EventBody::Veto(veto)),
    });

    assert!(!is_queued);
    assert!(queue.is_empty());
}
