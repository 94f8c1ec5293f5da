//! A node gets one heartbeat with a missing field from another writer, and then its upstream drains and leaves.

use {
    crate::{
        Stage,
        client::{Clients, Load},
        place::{Place, PlaceSpec},
        store::Store,
        upstream::send_control,
        wire,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Bound of the rule.
const DRAIN: Duration = Duration::from_secs(2);

/// Time from the acknowledgement of `draining` until the upstream leaves.
const SERVES_ON: Duration = Duration::from_secs(4);

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1500);

pub fn play(stage: &Stage) -> bool {
    let store = Store::start();
    store.write("op", "config", wire::config());
    let start = |node, instance, service, zone| {
        let spec = PlaceSpec {
            node,
            instance,
            service,
            zone,
            heartbeat: HEARTBEAT,
            ..PlaceSpec::default()
        };
        Place::start(stage, &store, &spec)
    };
    let entry = start("side-a-9", "i-other", "bestelboek", "gent-a");
    let leaving = start("side-a-1", "i-leaving", "etalage", "gent-a");
    let staying = start("side-b-1", "i-staying", "etalage", "gent-b");
    for place in [&entry, &leaving, &staying] {
        place.node.wait_ready();
    }
    thread::sleep(Duration::from_secs(4));
    let load = Load {
        method: "POST",
        path: "/confirm/1",
        body: "one order",
        per_second: 40.0,
        deadline_ms: 1500,
        prefix: "r",
    };
    let clients = Clients::start(vec![entry.node.outbound], load, &stage.record);
    thread::sleep(Duration::from_secs(4));
    if stage.trouble {
        // The same as the upstream's own next heartbeat, but for the field that is missing.
        let body = leaving.upstream.beat_body();
        let (rest, _) = body.rsplit_once(r#","born""#).expect("the field");
        let odd = format!("{rest}}}");
        let path = format!("/instances/{}", leaving.upstream.spec.instance);
        let status = send_control(leaving.node.control, "PUT", &path, &odd);
        stage
            .record
            .say(format!("another writer sends {odd}, answer {status:?}"));
    }
    thread::sleep(Duration::from_millis(300));
    let acknowledged_at = leaving
        .upstream
        .drain(leaving.node.control)
        .expect("an acknowledgement");
    thread::sleep(SERVES_ON);
    let ended_at = Instant::now();
    leaving.upstream.leave(leaving.node.control);
    leaving.node.signal("TERM");
    thread::sleep(Duration::from_secs(3));
    let calls = clients.stop();
    let late = leaving
        .upstream
        .count(|run| run.at > acknowledged_at + DRAIN);
    let ran = leaving.upstream.count(|_| true);
    let failed = calls.iter().filter(|call| call.status != 200).count();
    stage.record.say(format!(
        "{} requests, {failed} without a success; the leaving upstream ran {ran}, {late} of them later than {DRAIN:?} after \
         the acknowledgement; it ended {:.1} s after that",
        calls.len(),
        (ended_at - acknowledged_at).as_secs_f64()
    ));
    late == 0
}
