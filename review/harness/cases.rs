//! What the cases share: a store, nodes with their upstreams, and a client.

pub mod cut_readers;
pub mod dropped_hedge;
pub mod late_stop;
pub mod odd_heartbeat;
pub mod silent_store;

use crate::{
    http::{Connection, Message},
    node::{Node, NodeSpec},
    store::Store,
    support::{Record, fill, name},
    target::{Target, Work},
};
use std::{
    fs,
    io::Error,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Result of a case: what broke the rule, none if it held; the error says why the case could not run.
pub type CaseResult = Result<Option<String>, String>;

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub slo_s: f64,
}

/// Processes and stand-ins of one run.
pub struct Setting {
    pub record: Record,
    pub has_trouble: bool,
    pub store: Arc<Store>,
    folder: PathBuf,
    nodes: Mutex<Vec<Arc<Node>>>,
}

impl Setting {
    pub fn new(folder: PathBuf, record: &Path, has_trouble: bool) -> Self {
        fs::create_dir_all(&folder).expect("folder");
        let record = Record::create(record);
        record.line(&format!("trouble: {has_trouble}"));
        Self {
            record,
            has_trouble,
            store: Store::start(),
            folder,
            nodes: Mutex::default(),
        }
    }

    /// Writes a configuration as the operator does.
    pub fn write_config(&self, version: u64, routes: &[Route]) {
        let routes: String = routes
            .iter()
            .map(|route| {
                let values = [
                    ("name", route.name.to_owned()),
                    ("kind", route.kind.to_owned()),
                    ("service", route.service.to_owned()),
                    ("timeout", route.timeout_s.to_string()),
                    ("slo", route.slo_s.to_string()),
                ];
                fill(include_str!("route.txt").trim(), &values)
            })
            .collect();
        let values = [("version", version.to_string()), ("routes", routes)];
        self.store.write(
            "op",
            "config",
            &fill(include_str!("config.txt").trim(), &values),
        );
        self.record
            .line(&format!("the operator writes version {version}"));
    }

    /// Starts a node and its upstream.
    pub fn start_node(
        &self,
        spec: &NodeSpec<'_>,
        plan: impl Fn(&str, &str) -> Work + Send + Sync + 'static,
    ) -> Arc<Node> {
        self.start_node_at(spec, self.store.address, plan)
    }

    /// Starts a node and its upstream, with the store at another address.
    pub fn start_node_at(
        &self,
        spec: &NodeSpec<'_>,
        store: SocketAddr,
        plan: impl Fn(&str, &str) -> Work + Send + Sync + 'static,
    ) -> Arc<Node> {
        let target = Target::start(spec.node, &self.record, plan);
        let node = Node::start(spec, &self.folder, store, target, &self.record);
        self.nodes.lock().expect("nodes").push(node.clone());
        node
    }

    /// Waits until all nodes are ready, and until calls of a route are answered through `entry`.
    pub fn wait_served(&self, entry: &Node, path: &str) -> Result<(), String> {
        let nodes = self.nodes.lock().expect("nodes").clone();
        if !nodes.iter().all(|node| node.wait_ready()) {
            return Err("a node is not ready after 20 s".to_owned());
        }
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let client = Client::open(entry, &self.record);
            let answer = client.and_then(|mut client| client.call("GET", path, "warm", 2000, b""));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("no call was answered within 20 s".to_owned())
    }

    pub fn end_all(&self) {
        for node in self.nodes.lock().expect("nodes").iter() {
            node.end();
        }
    }
}

/// A client with one connection to the node on its machine.
pub struct Client {
    connection: Connection,
    record: Record,
}

impl Client {
    pub fn open(entry: &Node, record: &Record) -> Result<Self, Error> {
        let connection = Connection::open(entry.outbound)?;
        Ok(Self {
            connection,
            record: record.clone(),
        })
    }

    /// Sends a request and waits for its answer until its time limit, in milliseconds, has passed.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        limit_ms: u64,
        body: &[u8],
    ) -> Result<Message, Error> {
        let limit = limit_ms.to_string();
        let headers = [
            ("Host", "yard.example"),
            (name("attempt"), id),
            (name("deadline"), limit.as_str()),
        ];
        self.record.line(&format!(
            "client sends {id} {method} {path}, time limit {limit} ms"
        ));
        self.connection
            .send(&format!("{method} {path} HTTP/1.1"), &headers, body)?;
        let answer = self
            .connection
            .read(Instant::now() + Duration::from_millis(limit_ms));
        match &answer {
            Ok(answer) => self
                .record
                .line(&format!("client gets {id}: {}", answer.start)),
            Err(error) => self
                .record
                .line(&format!("client gets no answer to {id}: {error}")),
        }
        answer
    }
}
