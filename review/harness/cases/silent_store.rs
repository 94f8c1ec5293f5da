//! CONFIG: after the open connections to the store went silent, nodes that are in touch again still apply an older
//! version.

use super::{CaseResult, Client, Route, Setting};
use crate::{node::NodeSpec, proxy::Proxy, target::Work};
use std::{
    thread,
    time::{Duration, Instant},
};

/// `healthyS` and `convergeS` of the settings.
const HEALTHY: Duration = Duration::from_secs(3);
const CONVERGE: Duration = Duration::from_secs(2);

/// From the last change before the silence to the silence, and from that to the next change.
const BEFORE_SILENCE: Duration = Duration::from_millis(60);
const AFTER_SILENCE: Duration = Duration::from_millis(100);

/// Until when calls are sent, after the silence.
const WATCHED: Duration = Duration::from_secs(6);

pub fn run(setting: &Setting) -> CaseResult {
    let route = |service| {
        [Route {
            name: "jobs",
            kind: "safe",
            service,
            timeout_s: 1.2,
            slo_s: 0.5,
        }]
    };
    setting.write_config(3, &route("ledger"));
    let mut proxies = Vec::new();
    let mut start = |node, zone, service| {
        let proxy = Proxy::start(setting.store.address);
        let address = proxy.address;
        proxies.push(proxy);
        let spec = NodeSpec {
            node,
            zone,
            service,
            grace_s: 6,
        };
        let quick = |_: &str, _: &str| Work::Answer(Duration::from_millis(10));
        setting.start_node_at(&spec, address, quick)
    };
    let entry = start("a", "welshpool", "yardboard");
    let old = start("b", "bunbury", "ledger");
    start("c", "kalgoorlie", "roadeye");
    setting.wait_served(&entry, "/jobs/first")?;
    thread::sleep(Duration::from_secs(8));
    setting.write_config(4, &route("ledger"));
    thread::sleep(BEFORE_SILENCE);
    if setting.has_trouble {
        setting
            .record
            .line("the open connections to the store go silent; new ones work");
        proxies.iter().for_each(|proxy| proxy.silence());
    }
    let silent_at = Instant::now();
    thread::sleep(AFTER_SILENCE);
    setting.write_config(5, &route("roadeye"));
    let acked_at = Instant::now();
    let due_at = (silent_at + HEALTHY).max(acked_at + CONVERGE);
    let mut sent = Vec::new();
    while silent_at.elapsed() < WATCHED {
        let id = format!("call-{}", sent.len());
        let mut client =
            Client::open(&entry, &setting.record).map_err(|error| error.to_string())?;
        sent.push((id.clone(), Instant::now()));
        let _ = client.call("GET", "/jobs/x", &id, 1200, b"");
        thread::sleep(Duration::from_millis(20));
    }
    let runs = old.target.runs.lock().expect("runs").clone();
    let late: Vec<Duration> = sent
        .iter()
        .filter(|(id, at)| *at > due_at && runs.iter().any(|run| run.id == *id))
        .map(|(_, at)| *at - acked_at)
        .collect();
    Ok(late.last().map(|last| {
        format!(
            "{} requests were run by the old service, the last one {last:?} after the ack",
            late.len()
        )
    }))
}
