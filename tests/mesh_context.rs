//! Tests of the shared state of a node: what it announces of its target when several tasks change it at once.

#[path = "support/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use {
    http::HeaderName,
    poplarwing::{
        blackboard::Blackboard,
        config::ServiceKey,
        gossip::GossipNode,
        mesh::{
            context::MeshContext,
            registry::TargetReport,
            settings::{CallHeaders, MeshBounds, MeshSettings},
        },
        node_metrics::NodeMetrics,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Barrier},
        thread,
        time::{Duration, Instant},
    },
};

/// Repetitions of changes at the same time; only some of them meet in the order that could go wrong.
const REPETITIONS: usize = 3000;

/// Threads that make the first of two changes, each once.
const FIRST_THREADS: usize = 3;

fn settings() -> MeshSettings {
    let address: SocketAddr = "127.0.0.1:9000".parse().expect("address");
    let sections = fleet::settings("n1", address, &[]);
    let header = HeaderName::from_static;
    MeshSettings {
        node: sections.node,
        gossip: sections.gossip,
        log: sections.log,
        ready_address: address,
        metrics_address: address,
        target_address: address,
        service: key(),
        first_start: false,
        heartbeat: Duration::from_millis(1500),
        body_memory: 1 << 20,
        bounds: MeshBounds {
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_extra: 64.0,
            exposure_share: 0.1,
            exposure_slack: 50.0,
        },
        headers: CallHeaders {
            call_id: header("x-call-id"),
            deadline: header("x-deadline"),
            signature: header("x-signature"),
            expected_instance: header("x-instance"),
            not_run: header("x-not-run"),
            caller: header("x-caller"),
        },
    }
}

fn key() -> ServiceKey {
    ServiceKey {
        customer: "kestrel".to_owned(),
        service: "ledger".to_owned(),
    }
}

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

fn context(settings: &Arc<MeshSettings>) -> MeshContext {
    let board = Arc::new(Blackboard::default());
    let gossip = GossipNode::with_sections(&settings.node, &settings.gossip, board.clone(), 1);
    let metrics = NodeMetrics::new().expect("metrics");
    MeshContext::new(settings.clone(), board, gossip, metrics)
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
    let settings = Arc::new(settings());
    for repetition in 0..REPETITIONS {
        let context = context(&settings);

        run_together(
            &context,
            |context| {
                context.registry.lock().apply(report(1), Instant::now());
                context.publish_target();
            },
            MeshContext::release_target,
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
    let settings = Arc::new(settings());
    for repetition in 0..REPETITIONS {
        let context = context(&settings);
        context.release_target();
        context.registry.lock().apply(report(1), Instant::now());

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
    let settings = Arc::new(settings());
    for repetition in 0..REPETITIONS {
        let context = context(&settings);
        context.release_target();
        context.registry.lock().apply(report(1), Instant::now());

        run_together(&context, MeshContext::publish_target, MeshContext::leave);

        let target = context.gossip.own().target.expect("a target");
        assert!(
            target.draining,
            "the target of a stopping node is announced as available in repetition {repetition}"
        );
    }
}
