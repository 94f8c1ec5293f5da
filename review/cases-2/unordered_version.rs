//! Upstreams of a new version stand beside the old ones, and its rollout has not been ordered yet, when the nodes beside
//! the old ones are killed at the same moment.

use {
    crate::{
        Stage,
        client::{Clients, Load},
        place::{Place, PlaceSpec, runs_of},
        store::Store,
        wire,
    },
    std::{thread, time::Duration},
};

/// Time for which a killed process is down.
const DOWN: Duration = Duration::from_millis(500);

/// Time from the return of the killed processes to the end of the case.
const WATCHED: Duration = Duration::from_secs(10);

pub fn play(stage: &Stage) -> bool {
    let store = Store::start();
    store.write("op", "config", wire::config());
    let start = |node, instance, version, zone| {
        let spec = PlaceSpec {
            node,
            instance,
            version,
            zone,
            ..PlaceSpec::default()
        };
        Place::start(stage, &store, &spec)
    };
    let old = [
        start("side-a-1", "i-old-1", "v1", "gent-a"),
        start("side-b-1", "i-old-2", "v1", "gent-b"),
    ];
    let other = PlaceSpec {
        node: "side-a-9",
        instance: "i-other",
        service: "bestelboek",
        ..PlaceSpec::default()
    };
    let entry = Place::start(stage, &store, &other);
    for place in old.iter().chain([&entry]) {
        place.node.wait_ready();
    }
    thread::sleep(Duration::from_secs(4));
    let load = Load {
        method: "GET",
        path: "/browse/1",
        body: "",
        per_second: 40.0,
        deadline_ms: 1200,
        prefix: "r",
    };
    let clients = Clients::start(vec![entry.node.outbound], load, &stage.record);
    thread::sleep(Duration::from_secs(3));
    stage
        .record
        .say("upstreams of v2 are started; its rollout is not ordered");
    let new = [
        start("side-a-2", "i-new-1", "v2", "gent-a"),
        start("side-b-2", "i-new-2", "v2", "gent-b"),
    ];
    for place in &new {
        place.node.wait_ready();
    }
    thread::sleep(Duration::from_secs(5));
    stage.record.say(format!(
        "so far v1 ran {}, v2 ran {}",
        runs_of(&old),
        runs_of(&new)
    ));
    if stage.trouble {
        for place in &old {
            place.node.kill();
        }
        thread::sleep(DOWN);
        for place in &old {
            place.node.spawn();
        }
        for place in &old {
            place.node.wait_ready();
        }
    }
    thread::sleep(WATCHED);
    let calls = clients.stop();
    let served = calls.iter().filter(|call| call.status == 200).count();
    stage.record.say(format!(
        "{} requests, {served} served; v1 ran {}, v2 ran {}",
        calls.len(),
        runs_of(&old),
        runs_of(&new)
    ));
    runs_of(&new) == 0
}
