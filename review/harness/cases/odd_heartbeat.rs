//! DRAIN: after a heartbeat of another writer, a node acknowledges that its upstream is draining and goes on using it.

use super::{CaseResult, Client, Route, Setting};
use crate::{node::NodeSpec, target::Work};
use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

/// `drainS` of the settings.
const DRAIN: Duration = Duration::from_secs(2);

/// Number in the heartbeat of the other writer.
const ODD_SEQUENCE: u64 = 1000;

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
    let leaving = setting.start_node(&spec("b", "ledger"), quick);
    setting.start_node(&spec("c", "ledger"), quick);
    setting.wait_served(&entry, "/jobs/first")?;
    thread::sleep(Duration::from_secs(4));
    if setting.has_trouble {
        let answer = leaving.put_heartbeat("ready", ODD_SEQUENCE, "");
        let status = answer.map_err(|error| error.to_string())?.status();
        setting.record.line(&format!(
            "heartbeat of another writer, without born: {status}"
        ));
    }
    leaving.is_draining.store(true, Ordering::Relaxed);
    *leaving.target.is_leaving.lock().expect("state") = true;
    let answer = leaving.beat().map_err(|error| error.to_string())?;
    let acked_at = Instant::now();
    setting
        .record
        .line(&format!("upstream b says draining: {}", answer.status()));
    if answer.status() != 200 {
        return Err("the draining heartbeat was not acknowledged".to_owned());
    }
    let mut number = 0;
    while acked_at.elapsed() < Duration::from_secs(6) {
        number += 1;
        let mut client =
            Client::open(&entry, &setting.record).map_err(|error| error.to_string())?;
        let _ = client.call("GET", "/jobs/x", &format!("call-{number}"), 1200, b"");
        thread::sleep(Duration::from_millis(50));
    }
    let runs = leaving.target.runs.lock().expect("runs").clone();
    let late: Vec<Duration> = runs
        .iter()
        .map(|run| run.at.saturating_duration_since(acked_at))
        .filter(|age| *age > DRAIN)
        .collect();
    Ok(late.last().map(|last| {
        format!(
            "{} requests reached the upstream later than {DRAIN:?} after the ack, the last one {last:?} after it",
            late.len()
        )
    }))
}
