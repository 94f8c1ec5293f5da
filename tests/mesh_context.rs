//! Tests of the shared state of a node: what it announces of its target when several tasks change it at once.

#[path = "support/mesh_node.rs"]
mod mesh_node;

use {
    mesh_node::{context, key},
    poplarwing::mesh::{context::MeshContext, registry::TargetReport},
    std::{
        sync::Barrier,
        thread,
        time::{Duration, Instant},
    },
};

/// Repetitions of changes at the same time; only some of them meet in the order that could go wrong.
const REPETITIONS: usize = 3000;

/// Threads that make the first of two changes, each once.
const FIRST_THREADS: usize = 3;

fn report(sequence: u64) -> TargetReport {
    TargetReport {
        instance: "i-1".to_owned(),
        address: "127.0.0.1:9000".parse().expect("address"),
        service: key(),
        version: "v1".to_owned(),
        slots: 6,
        draining: false,
        sequence,
        born_ms: Some(1),
        warmup: Duration::ZERO,
    }
}

/// Runs two changes of one context at the same time, the first of them on several threads.
fn run_together(
    context: &MeshContext,
    first: impl Fn(&MeshContext) + Sync,
    second: impl FnOnce(&MeshContext) + Send,
) {
    let barrier = Barrier::new(FIRST_THREADS + 1);
    thread::scope(|scope| {
        for _ in 0..FIRST_THREADS {
            scope.spawn(|| {
                barrier.wait();
                first(context);
            });
        }
        barrier.wait();
        second(context);
    });
}

/// Guards against a target that its peers do not see until its next heartbeat, because the announcement from before
/// the end of its hold was sent after the one from its end.
#[test]
fn a_heartbeat_at_the_end_of_the_hold_does_not_hide_the_target() {
    for repetition in 0..REPETITIONS {
        let context = context("n1", "bunbury");

        run_together(
            &context,
            |context| {
                context.registry.lock().apply(report(1), Instant::now());
                context.publish_target();
            },
            |context| {
                while context.registry.lock().is_held() {
                    context.confirm_target("i-1");
                }
            },
        );

        assert!(
            context.gossip.own().target.is_some(),
            "no target is announced in repetition {repetition}"
        );
    }
}

/// Guards against calls to a target whose departure has been acknowledged, because the announcement of an earlier
/// heartbeat was sent after that of the departure.
#[test]
fn a_heartbeat_at_the_time_of_the_departure_does_not_announce_the_target_again() {
    for repetition in 0..REPETITIONS {
        let context = context("n1", "bunbury");
        context.registry.lock().apply(report(1), Instant::now());
        context.confirm_target("i-1");

        run_together(&context, MeshContext::publish_target, |context| {
            context.registry.lock().mark_leaving("i-1", Instant::now());
            context.publish_target();
        });

        let target = context.gossip.own().target.expect("a target");
        assert!(
            target.draining,
            "a target that left is announced as available in repetition {repetition}"
        );
    }
}

/// Guards against new calls to the target of a node that stops, in the same way.
#[test]
fn a_heartbeat_at_the_stop_of_the_node_does_not_announce_its_target_again() {
    for repetition in 0..REPETITIONS {
        let context = context("n1", "bunbury");
        context.registry.lock().apply(report(1), Instant::now());
        context.confirm_target("i-1");

        run_together(&context, MeshContext::publish_target, MeshContext::leave);

        let target = context.gossip.own().target.expect("a target");
        assert!(
            target.draining,
            "the target of a stopping node is announced as available in repetition {repetition}"
        );
    }
}
