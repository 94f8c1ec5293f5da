//! A node as a process, started with the command of the deploy file, and the heartbeats of the upstream beside it.

use crate::{
    http::{Message, exchange},
    support::{Record, fill, free_ports},
    target::Target,
};
use std::{
    env, fs,
    fs::File,
    io::Error,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1500);

/// Settings of a node that differ between cases.
pub struct NodeSpec<'a> {
    pub node: &'a str,
    pub zone: &'a str,
    pub service: &'a str,
    pub grace_s: u32,
}

pub struct Node {
    pub target: Arc<Target>,
    pub outbound: SocketAddr,
    control: SocketAddr,
    ready: SocketAddr,
    pub service: String,
    zone: String,
    child: Mutex<Child>,
    born_ms: u128,
    pub sequence: AtomicU64,
    pub is_draining: AtomicBool,
    pub is_silent: AtomicBool,
    record: Record,
}

impl Node {
    pub fn start(
        spec: &NodeSpec<'_>,
        folder: &Path,
        store: SocketAddr,
        target: Arc<Target>,
        record: &Record,
    ) -> Arc<Self> {
        let first = free_ports();
        let values = [
            ("node", spec.node.to_owned()),
            ("zone", spec.zone.to_owned()),
            ("bootstrap", "true".to_owned()),
            ("app", target.port.to_string()),
            ("service", spec.service.to_owned()),
            ("outbound", first.to_string()),
            ("inbound", (first + 1).to_string()),
            ("ready", (first + 2).to_string()),
            ("control", (first + 3).to_string()),
            ("peer", (first + 4).to_string()),
            ("last", (first + 5).to_string()),
            ("store", store.port().to_string()),
            ("grace", spec.grace_s.to_string()),
            ("healthy", "3".to_owned()),
        ];
        let settings = folder.join(format!("{}.toml", spec.node));
        fs::write(&settings, fill(include_str!("boot.txt"), &values)).expect("settings");
        let log = File::create(folder.join(format!("{}.log", spec.node))).expect("log");
        let child = Command::new(program())
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("POPLARWING_BOOT", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn()
            .expect("the node starts");
        let local = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("time of day");
        let node = Arc::new(Self {
            target,
            outbound: local(first),
            ready: local(first + 2),
            control: local(first + 3),
            service: spec.service.to_owned(),
            zone: spec.zone.to_owned(),
            child: Mutex::new(child),
            born_ms: born.as_millis(),
            sequence: AtomicU64::new(1),
            is_draining: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            record: record.clone(),
        });
        let beating = node.clone();
        thread::spawn(move || {
            loop {
                if !beating.is_silent.load(Ordering::Relaxed) {
                    let _ = beating.beat();
                }
                thread::sleep(HEARTBEAT_PERIOD);
            }
        });
        node
    }

    /// Sends a heartbeat of the upstream.
    pub fn beat(&self) -> Result<Message, Error> {
        let state = if self.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let born = format!(r#","born":{}"#, self.born_ms);
        self.put_heartbeat(state, sequence, &born)
    }

    /// Sends a heartbeat with the name of the upstream; `born` is empty or the field with its comma.
    pub fn put_heartbeat(&self, state: &str, sequence: u64, born: &str) -> Result<Message, Error> {
        let values = [
            ("app", self.target.port.to_string()),
            ("service", self.service.clone()),
            ("zone", self.zone.clone()),
            ("state", state.to_owned()),
            ("seq", sequence.to_string()),
            ("born", born.to_owned()),
        ];
        let body = fill(include_str!("heartbeat.txt"), &values);
        let instance = self.target.instance.lock().expect("instance").clone();
        let start = format!("PUT /instances/{instance} HTTP/1.1");
        let headers = [("Host", "node"), ("Content-Type", "application/json")];
        let body = body.trim();
        let limit = Duration::from_secs(1);
        exchange(self.control, &start, &headers, body.as_bytes(), limit)
    }

    /// Waits until the readiness check succeeds; returns false after 20 seconds.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.readiness() == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the status of one readiness check.
    pub fn readiness(&self) -> Option<u16> {
        let headers = [("Host", "node")];
        let limit = Duration::from_millis(500);
        let response = exchange(self.ready, "GET /ready HTTP/1.1", &headers, b"", limit);
        response.ok().map(|response| response.status())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let id = self.child.lock().expect("child").id();
        self.record.line(&format!(
            "signal {signal} to the node beside {}",
            self.target.label
        ));
        let sent = Command::new("bash")
            .args(["-c", &format!("kill -{signal} {id}")])
            .status();
        assert!(sent.is_ok_and(|status| status.success()), "signal {signal}");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.child.lock().expect("child").try_wait(), Ok(Some(_)))
    }

    /// Ends the process.
    pub fn end(&self) {
        let mut child = self.child.lock().expect("child");
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns the path of the program of the deploy file, from the root of the repository.
fn program() -> PathBuf {
    let deploy = fs::read_to_string("deploy/system.toml").expect("deploy file");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let command = line.expect("a command").trim_matches('"').to_owned();
    PathBuf::from(command)
}
