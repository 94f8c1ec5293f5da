//! A node as a process of its own, started with the command of the deploy file.

use {
    crate::{
        http::{exchange, request_head},
        record::Record,
        wire,
    },
    std::{
        env,
        fs::{self, OpenOptions},
        net::{SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        process::{self, Child, Command, Stdio},
        sync::{
            Mutex,
            atomic::{AtomicU16, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Command of the role in the deploy file.
const PROGRAM: &str = "target/release/poplarwing-sidecar";

/// Ports of a node: calls, forwarded calls, readiness, heartbeats, and two for other nodes.
const PORTS: u16 = 6;

/// First port that is tried; below those that the system hands out by itself.
const FIRST_PORT: u16 = 15_000;
const LAST_PORT: u16 = 31_000;

/// Longest time in which a node becomes ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Loopback address on which blocks of ports are reserved.
const LOCK_ADDRESS: &str = "127.0.0.2";

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A node process and its addresses.
pub struct Node {
    pub name: &'static str,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    record: Record,
    _ports: TcpListener,
}

/// Where a node runs and what stands beside it.
pub struct NodeSpec {
    pub name: &'static str,
    pub zone: &'static str,
    pub service: &'static str,
    pub app: SocketAddr,
    pub store: SocketAddr,
    /// Seconds between two heartbeats of its upstream.
    pub heartbeat_s: f64,
}

impl Node {
    /// Writes the settings file of a node and starts its process.
    pub fn start(spec: &NodeSpec, folder: &PathBuf, record: &Record) -> Self {
        let (first, lock) = free_ports();
        let port = |offset: u16| (first + offset).to_string();
        let text = wire::settings(&[
            ("node", spec.name),
            ("zone", spec.zone),
            ("service", spec.service),
            ("app", &spec.app.to_string()),
            ("store", &spec.store.to_string()),
            ("heartbeat_s", &format!("{:.2}", spec.heartbeat_s)),
            ("outbound", &port(0)),
            ("inbound", &port(1)),
            ("ready", &port(2)),
            ("control", &port(3)),
            ("internal", &port(4)),
            ("last_internal", &port(5)),
        ]);
        let settings = folder.join(format!("{}.toml", spec.name));
        fs::write(&settings, text).expect("the settings are written");
        let address = |offset: u16| SocketAddr::from(([127, 0, 0, 1], first + offset));
        let node = Self {
            name: spec.name,
            outbound: address(0),
            ready: address(2),
            control: address(3),
            settings,
            log: folder.join(format!("{}.log", spec.name)),
            child: Mutex::new(None),
            record: record.clone(),
            _ports: lock,
        };
        node.spawn();
        node
    }

    /// Starts the process.
    pub fn spawn(&self) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log is opened");
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("POPLARWING_BOOT", &self.settings);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log"))
            .stdout(log);
        let child = command.spawn().unwrap_or_else(|error| {
            eprintln!("cannot start {PROGRAM}: {error}");
            end_all();
            process::exit(2);
        });
        STARTED.lock().unwrap().push(child.id());
        self.record.say(format!("{} starts", self.name));
        *self.child.lock().unwrap() = Some(child);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED
                .lock()
                .unwrap()
                .retain(|started| *started != child.id());
            self.record.say(format!("{} is killed", self.name));
        }
    }

    /// Sends a signal, such as `TERM`, to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            send_signal(signal, child.id());
            self.record.say(format!("{} gets SIG{signal}", self.name));
        }
    }

    /// Waits until the readiness check answers 200; ends the case if it doesn't in time.
    pub fn wait_ready(&self) {
        let until = Instant::now() + READY_LIMIT;
        let headers = [("Host", "node"), ("Connection", "close")];
        let request = request_head("GET", "/ready", &headers, 0);
        while Instant::now() < until {
            let answer = exchange(self.ready, request.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        eprintln!("{} is not ready", self.name);
        end_all();
        process::exit(2);
    }
}

/// Kills all processes that were started.
pub fn end_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        send_signal("KILL", id);
    }
}

fn send_signal(signal: &str, id: u32) {
    let text = format!("kill -s {signal} {id}");
    let _ = Command::new("sh").args(["-c", &text]).status();
}

/// Returns the first of `PORTS` ports in a row that are free for TCP and UDP. A listener on another loopback address
/// reserves them against other cases that run at the same time.
fn free_ports() -> (u16, TcpListener) {
    let blocks = (LAST_PORT - FIRST_PORT) / PORTS;
    let offset = (process::id() % u32::from(blocks)) as u16;
    loop {
        let block = (offset + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % blocks;
        let first = FIRST_PORT + block * PORTS;
        let is_free = |port: u16| {
            TcpListener::bind(("127.0.0.1", port)).is_ok()
                && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        };
        let Ok(lock) = TcpListener::bind((LOCK_ADDRESS, first)) else {
            continue;
        };
        if (first..first + PORTS).all(is_free) {
            return (first, lock);
        }
    }
}
