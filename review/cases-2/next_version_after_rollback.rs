//! A bad version is rolled back and gone. Later upstreams of the next version are started, and its rollout has not been
//! ordered yet.

use {
    crate::{
        Stage,
        client::{Clients, Load},
        json::Json,
        place::{Place, PlaceSpec, runs_of},
        store::Store,
        wire,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time within which the rollout of the bad version is to be done.
const PERIOD: Duration = Duration::from_secs(12);

/// Time from `rolled_back` until the upstreams of the bad version drain, and from then until they leave.
const DRAIN_AFTER: Duration = Duration::from_secs(3);
const SERVES_ON: Duration = Duration::from_millis(2500);

/// Time from the start of the upstreams of the next version to the end of the case.
const WATCHED: Duration = Duration::from_secs(10);

const SERVICE: &str = "etalage";

pub fn play(stage: &Stage) -> bool {
    let store = Store::start();
    store.write("op", "config", wire::config());
    let start = |node, instance, version, zone, fails_each| {
        let spec = PlaceSpec {
            node,
            instance,
            version,
            zone,
            fails_each,
            ..PlaceSpec::default()
        };
        Place::start(stage, &store, &spec)
    };
    let old = [
        start("side-a-1", "i-old-1", "v1", "gent-a", 0),
        start("side-b-1", "i-old-2", "v1", "gent-b", 0),
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
    thread::sleep(Duration::from_secs(2));
    if stage.trouble {
        let bad = [
            start("side-a-2", "i-bad-1", "v2", "gent-a", 2),
            start("side-b-2", "i-bad-2", "v2", "gent-b", 2),
        ];
        for place in &bad {
            place.node.wait_ready();
        }
        roll_back(stage, &store);
        thread::sleep(DRAIN_AFTER);
        thread::scope(|scope| {
            for place in &bad {
                scope.spawn(|| place.retire(SERVES_ON));
            }
        });
        thread::sleep(Duration::from_secs(3));
    }
    stage
        .record
        .say("upstreams of v3 are started; its rollout is not ordered");
    let next = [
        start("side-a-3", "i-new-1", "v3", "gent-a", 0),
        start("side-b-3", "i-new-2", "v3", "gent-b", 0),
    ];
    for place in &next {
        place.node.wait_ready();
    }
    thread::sleep(WATCHED);
    let calls = clients.stop();
    let served = calls.iter().filter(|call| call.status == 200).count();
    stage.record.say(format!(
        "{} requests, {served} served; v1 ran {}, v3 ran {}",
        calls.len(),
        runs_of(&old),
        runs_of(&next)
    ));
    runs_of(&next) == 0
}

/// Orders the bad version and waits until the operator reads that it was rolled back.
fn roll_back(stage: &Stage, store: &Store) {
    let period = PERIOD.as_secs();
    let text = format!(r#"{{"service":"{SERVICE}","to":"v2","periodS":{period}}}"#);
    let key = format!("rollout/{SERVICE}");
    store.write("op", &key, &text);
    stage.record.say("the operator orders v2");
    let ordered_at = Instant::now();
    while ordered_at.elapsed() < PERIOD + Duration::from_secs(5) {
        thread::sleep(Duration::from_millis(20));
        let status = store
            .read("status", &key)
            .and_then(|text| Json::parse(&text));
        if status.is_some_and(|status| status.field("state").text() == "rolled_back") {
            stage.record.say("the operator reads rolled_back of v2");
            return;
        }
    }
    panic!("the bad version is not rolled back");
}
