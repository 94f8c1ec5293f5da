//! LOST: a request that a stopping node takes late in a long grace period is cut at its end.

use super::{CaseResult, Client, Route, Setting};
use crate::{node::NodeSpec, target::Work};
use std::{
    thread,
    time::{Duration, Instant},
};

/// From SIGTERM to SIGKILL, as on the users' large installation.
const GRACE_S: u32 = 10;

/// From SIGTERM to the request.
const SENT_AFTER: Duration = Duration::from_millis(3900);

/// Work of the upstream on the request.
const WORK: Duration = Duration::from_millis(5750);

/// Time limit of the client and of the route.
const LIMIT_MS: u64 = 8000;

pub fn run(setting: &Setting) -> CaseResult {
    let routes = [Route {
        name: "browse",
        kind: "safe",
        service: "ledger",
        timeout_s: 8.0,
        slo_s: 3.0,
    }];
    setting.write_config(3, &routes);
    let spec = |node, zone, service| NodeSpec {
        node,
        zone,
        service,
        grace_s: GRACE_S,
    };
    let quick = |_: &str, _: &str| Work::Answer(Duration::from_millis(20));
    let entry = setting.start_node(&spec("a", "welshpool", "yardboard"), quick);
    let long = |path: &str, _: &str| match path.ends_with("long") {
        true => Work::Answer(WORK),
        false => Work::Answer(Duration::from_millis(20)),
    };
    setting.start_node(&spec("b", "bunbury", "ledger"), long);
    setting.start_node(&spec("c", "bunbury", "ledger"), long);
    setting.wait_served(&entry, "/browse/first")?;
    thread::sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    for number in 0..3 {
        let mut client =
            Client::open(&entry, &setting.record).map_err(|error| error.to_string())?;
        let answer = client.call(
            "GET",
            "/browse/short",
            &format!("kept-{number}"),
            LIMIT_MS,
            b"",
        );
        if !answer.is_ok_and(|answer| answer.status() == 200) {
            return Err("a request before the stop was not answered".to_owned());
        }
        clients.push(client);
    }
    let stopped_at = Instant::now();
    if setting.has_trouble {
        entry.signal("TERM");
        let (entry, record) = (entry.clone(), setting.record.clone());
        thread::spawn(move || {
            // The platform: a readiness check each second, and SIGKILL at the end of the grace period.
            let mut next_check = Duration::from_secs(1);
            while stopped_at.elapsed() < Duration::from_secs(GRACE_S.into()) {
                thread::sleep(Duration::from_millis(10));
                if stopped_at.elapsed() >= next_check {
                    next_check += Duration::from_secs(1);
                    record.line(&format!("readiness check: {:?}", entry.readiness()));
                }
                if entry.has_ended() {
                    record.line("the stopped process has ended");
                    return;
                }
            }
            record.line("the platform kills the stopped process");
            entry.end();
        });
    }
    thread::sleep(SENT_AFTER);
    let calls: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(number, mut client)| {
            thread::spawn(move || {
                let id = format!("late-{number}");
                let answer = client.call("GET", "/browse/long", &id, LIMIT_MS, b"");
                answer.map(|answer| answer.status())
            })
        })
        .collect();
    let mut lost = Vec::new();
    for call in calls {
        match call.join().map_err(|_| "a client failed")? {
            Ok(status) => setting
                .record
                .line(&format!("a late request ended with {status}")),
            Err(error) => lost.push(error.to_string()),
        }
    }
    Ok((!lost.is_empty()).then(|| {
        format!(
            "{} of 3 requests were read and ended without an answer ({})",
            lost.len(),
            lost[0]
        )
    }))
}
