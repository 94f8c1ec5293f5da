//! Stand-in of an upstream: it records what it runs, stops work when the connection closes or the time limit has
//! passed, and rejects requests that name another instance.

use crate::{
    http::{Connection, Message},
    support::{Record, name},
};
use std::{
    net::{Ipv4Addr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// How the upstream handles a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// It works for this time and answers.
    Answer(Duration),
    /// It works for this time; the answer is lost, as the connection ends.
    LoseAnswer(Duration),
}

/// A request that the upstream began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub at: Instant,
}

pub struct Target {
    pub port: u16,
    pub label: String,
    pub instance: Mutex<String>,
    pub runs: Mutex<Vec<Run>>,
    pub is_leaving: Mutex<bool>,
    plan: Box<dyn Fn(&str, &str) -> Work + Send + Sync>,
    record: Record,
}

impl Target {
    /// Starts an upstream; `plan` gets the path and the id of a request.
    pub fn start(
        label: &str,
        record: &Record,
        plan: impl Fn(&str, &str) -> Work + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let target = Arc::new(Self {
            port: listener.local_addr().expect("address").port(),
            label: label.to_owned(),
            instance: Mutex::new(format!("i-{label}")),
            runs: Mutex::default(),
            is_leaving: Mutex::new(false),
            plan: Box::new(plan),
            record: record.clone(),
        });
        let serving = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = serving.clone();
                thread::spawn(move || target.serve(Connection::new(stream)));
            }
        });
        target
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(Instant::now() + Duration::from_secs(600)) {
            if !self.handle(&mut connection, &request) {
                return;
            }
        }
    }

    /// Handles a request; returns whether the connection stays open.
    fn handle(&self, connection: &mut Connection, request: &Message) -> bool {
        let instance = self.instance.lock().expect("instance").clone();
        if request.word(1) == "/healthz" {
            let status = if *self.is_leaving.lock().expect("state") {
                503
            } else {
                200
            };
            let start = format!("HTTP/1.1 {status} status");
            return connection
                .send(&start, &[(name("instance"), &instance)], b"")
                .is_ok();
        }
        let id = request
            .header(name("attempt"))
            .unwrap_or_default()
            .to_owned();
        let expected = request.header(name("target")).unwrap_or(&instance);
        if expected != instance {
            self.record.line(&format!(
                "{} rejects {id}, which is for {expected}",
                self.label
            ));
            let headers = [(name("attempt"), id.as_str()), (name("not_run"), "1")];
            return connection
                .send("HTTP/1.1 421 Misdirected", &headers, b"")
                .is_ok();
        }
        let path = request.word(1).to_owned();
        let left = request
            .header(name("deadline"))
            .and_then(|text| text.parse().ok());
        let left = Duration::from_millis(left.unwrap_or(60_000));
        self.record.line(&format!(
            "{} runs {id} {path}, time limit {left:?}",
            self.label
        ));
        let run = Run {
            id: id.clone(),
            path: path.clone(),
            at: Instant::now(),
        };
        self.runs.lock().expect("runs").push(run);
        let work = (self.plan)(&path, &id);
        let (Work::Answer(time) | Work::LoseAnswer(time)) = work;
        if !self.work(connection, time.min(left)) {
            self.record.line(&format!(
                "{} drops {id}: its connection was closed",
                self.label
            ));
            return false;
        }
        if let Work::LoseAnswer(_) = work {
            self.record
                .line(&format!("{} has run {id}; its answer is lost", self.label));
            return false;
        }
        let start = if time > left {
            "HTTP/1.1 504 Gateway Timeout"
        } else {
            "HTTP/1.1 200 OK"
        };
        self.record
            .line(&format!("{} ends {id}: {start}", self.label));
        let signature = format!("s.{id}");
        let headers = [
            (name("attempt"), id.as_str()),
            (name("signature"), signature.as_str()),
        ];
        connection.send(start, &headers, b"hello").is_ok()
    }

    /// Works for a time; returns false if the connection was closed meanwhile.
    fn work(&self, connection: &Connection, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if connection.is_closed() {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        !connection.is_closed()
    }
}
