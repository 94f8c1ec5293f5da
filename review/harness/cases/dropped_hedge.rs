//! BUDGET: a second attempt beside a slow first one is forgotten when the first one ends, and a third upstream runs
//! the request of a route with two attempts.

use super::{CaseResult, Client, Route, Setting};
use crate::{
    node::{Node, NodeSpec},
    support::Record,
    target::Work,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::{Duration, Instant},
};

/// Work of the upstreams on each request; the time limit is 1.2 s.
const WORK: Duration = Duration::from_millis(800);

/// Answers are lost for this time, as long as the site's day does, and then not for a pause, again and again.
const TROUBLE_TIME: Duration = Duration::from_secs(4);
const TROUBLE_PAUSE: Duration = Duration::from_secs(2);

/// `attempts` of the route.
const ATTEMPTS: usize = 2;

/// Requests on more upstreams than that which the rule allows.
const ALLOWED: usize = 3;

/// Clients, which send requests one after the other, and the time for which they do.
const CLIENTS: usize = 24;
const TRAFFIC_TIME: Duration = Duration::from_secs(85);

/// Of this many requests of a client, one is long.
const LONG_EVERY: usize = 6;

pub fn run(setting: &Setting) -> CaseResult {
    let routes = [Route {
        name: "jobs",
        kind: "safe",
        service: "ledger",
        timeout_s: 1.2,
        slo_s: 0.5,
    }];
    setting.write_config(3, &routes);
    let spec = |node, service| NodeSpec {
        node,
        zone: "bunbury",
        service,
        grace_s: 6,
    };
    let quick = |_: &str, _: &str| Work::Answer(Duration::from_millis(20));
    let entry = setting.start_node(&spec("a", "yardboard"), quick);
    let mut nodes = Vec::new();
    let started = Instant::now();
    for (index, name) in ["b", "c", "d", "e", "f", "g", "h"].into_iter().enumerate() {
        // Four of seven upstreams lose the answers of four in ten requests.
        let has_trouble = setting.has_trouble && index < 4;
        let plan = move |path: &str, id: &str| {
            let number: usize = id
                .strip_prefix("job-")
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            match (
                path.ends_with("long"),
                has_trouble && is_in_trouble(started) && number % 5 < 2,
            ) {
                (false, _) => Work::Answer(Duration::from_millis(20)),
                (true, false) => Work::Answer(WORK),
                (true, true) => Work::LoseAnswer(WORK),
            }
        };
        nodes.push(setting.start_node(&spec(name, "ledger"), plan));
    }
    setting.wait_served(&entry, "/jobs/first")?;
    thread::sleep(Duration::from_secs(4));
    let until = Instant::now() + TRAFFIC_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (entry, record) = (entry.clone(), setting.record.clone());
            thread::spawn(move || send_requests(&entry, &record, client, until))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let mut ran_on: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for node in &nodes {
        for run in node.target.runs.lock().expect("runs").iter() {
            if run.id.starts_with("job-") {
                let upstreams = ran_on.entry(run.id.clone()).or_default();
                upstreams.insert(node.target.label.clone());
            }
        }
    }
    let over = ran_on
        .values()
        .filter(|upstreams| upstreams.len() > ATTEMPTS)
        .count();
    setting.record.line(&format!(
        "{over} of {} long requests ran on more than {ATTEMPTS} upstreams",
        ran_on.len()
    ));
    Ok((over > ALLOWED).then(|| format!("{over} requests ran on more than {ATTEMPTS} upstreams")))
}

fn is_in_trouble(started: Instant) -> bool {
    let cycle = (TROUBLE_TIME + TROUBLE_PAUSE).as_secs_f64();
    started.elapsed().as_secs_f64() % cycle < TROUBLE_TIME.as_secs_f64()
}

/// Sends requests until a time, each on a new connection.
fn send_requests(entry: &Node, record: &Record, client: usize, until: Instant) {
    let mut number = client;
    while Instant::now() < until {
        number += CLIENTS;
        let is_long = (number / CLIENTS).is_multiple_of(LONG_EVERY);
        let (path, kind) = match is_long {
            true => ("/jobs/long", "job"),
            false => ("/jobs/short", "short"),
        };
        if let Ok(mut client) = Client::open(entry, record) {
            let _ = client.call("GET", path, &format!("{kind}-{number}"), 1200, b"");
        }
        thread::sleep(Duration::from_millis(10));
    }
}
