//! CONFIG: while the nodes that read the store are cut off from it, all others apply an older version for too long.

use super::{CaseResult, Client, Route, Setting};
use crate::{
    node::{Node, NodeSpec},
    proxy::Proxy,
    target::Work,
};
use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 4] = ["welshpool", "bunbury", "kalgoorlie", "albany"];
const SERVICES: [&str; 3] = ["yardboard", "ledger", "roadeye"];

/// `convergeS` of the settings.
const CONVERGE: Duration = Duration::from_secs(2);

/// Share of the nodes that may be cut off at once.
const MAX_CUT_SHARE: f64 = 0.35;

/// Time in which the nodes that read the store are found by their long polls, which take 2 s.
const WATCH_TIME: Duration = Duration::from_secs(7);

/// From the last change that is in force everywhere to the cut.
const BEFORE_CUT: Duration = Duration::from_millis(150);

/// Time for which calls are sent after the cut.
const TRAFFIC_TIME: Duration = Duration::from_secs(4);

struct Machine {
    name: String,
    node: Arc<Node>,
    proxy: Arc<Proxy>,
}

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
    let machines = start_machines(setting);
    setting.wait_served(&machines[0].node, "/jobs/first")?;
    thread::sleep(Duration::from_secs(6));
    let readers = find_readers(&machines);
    let names: Vec<&str> = readers
        .iter()
        .map(|machine| machine.name.as_str())
        .collect();
    setting
        .record
        .line(&format!("machines that read the store: {names:?}"));
    if readers.len() as f64 > MAX_CUT_SHARE * machines.len() as f64 {
        return Err(format!("{} machines read the store", readers.len()));
    }
    setting.write_config(4, &route("ledger"));
    thread::sleep(BEFORE_CUT);
    if setting.has_trouble {
        setting.record.line("they are cut off from the store");
        readers
            .iter()
            .for_each(|machine| machine.proxy.is_cut.store(true, Ordering::SeqCst));
    }
    setting.write_config(5, &route("roadeye"));
    let acked_at = Instant::now();
    let in_touch = machines
        .iter()
        .filter(|machine| !names.contains(&machine.name.as_str()));
    let clients: Vec<_> = in_touch
        .map(|machine| {
            let (name, node, record) = (
                machine.name.clone(),
                machine.node.clone(),
                setting.record.clone(),
            );
            thread::spawn(move || {
                let mut sent = Vec::new();
                while acked_at.elapsed() < TRAFFIC_TIME {
                    let id = format!("{name}-{}", sent.len());
                    sent.push((id.clone(), Instant::now()));
                    if let Ok(mut client) = Client::open(&node, &record) {
                        let _ = client.call("GET", "/jobs/x", &id, 1200, b"");
                    }
                    thread::sleep(Duration::from_millis(50));
                }
                sent
            })
        })
        .collect();
    let mut sent = Vec::new();
    for client in clients {
        sent.extend(client.join().map_err(|_| "a client failed")?);
    }
    let old = machines
        .iter()
        .filter(|machine| machine.node.service == "ledger");
    let runs: Vec<String> = old
        .flat_map(|machine| machine.node.target.runs.lock().expect("runs").clone())
        .map(|run| run.id)
        .collect();
    let late: Vec<Duration> = sent
        .iter()
        .filter(|(id, at)| *at > acked_at + CONVERGE && runs.contains(id))
        .map(|(_, at)| *at - acked_at)
        .collect();
    Ok(late.iter().max().map(|last| {
        format!(
            "{} requests to machines in touch were run by the old service, the last one {last:?} after the ack",
            late.len()
        )
    }))
}

fn start_machines(setting: &Setting) -> Vec<Machine> {
    let mut machines = Vec::new();
    for (index, service) in SERVICES.into_iter().enumerate() {
        for zone in ZONES {
            let name = format!("sidecar-{zone}-{}", index + 1);
            let proxy = Proxy::start(setting.store.address);
            let spec = NodeSpec {
                node: &name,
                zone,
                service,
                grace_s: 6,
            };
            let quick = |_: &str, _: &str| Work::Answer(Duration::from_millis(10));
            let node = setting.start_node_at(&spec, proxy.address, quick);
            machines.push(Machine { name, node, proxy });
        }
    }
    machines
}

/// Returns the machines whose long polls of the operator's table follow one another.
fn find_readers(machines: &[Machine]) -> Vec<&Machine> {
    let polls = |machine: &Machine| machine.proxy.polls.load(Ordering::SeqCst);
    let before: Vec<u64> = machines.iter().map(polls).collect();
    thread::sleep(WATCH_TIME);
    let pairs = machines.iter().zip(before);
    pairs
        .filter(|(machine, before)| polls(machine) >= before + 3)
        .map(|(machine, _)| machine)
        .collect()
}
