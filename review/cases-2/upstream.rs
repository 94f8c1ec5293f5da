//! Stand-in of an upstream beside a node: runs requests, answers status checks and sends heartbeats.

use {
    crate::{
        http::{Message, exchange, read_message, request_head, response, serve},
        record::Record,
        wire,
    },
    std::{
        io::{BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Requests that wait for a slot at most; further ones are rejected.
const QUEUE: usize = 12;

/// Time limit for the answer to a heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// What an upstream is and how it works.
#[derive(Clone)]
pub struct UpstreamSpec {
    pub instance: &'static str,
    pub service: &'static str,
    pub version: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub work: Duration,
    /// Of this many requests that it runs one fails with 500; 0 for none.
    pub fails_each: usize,
}

/// A running upstream.
pub struct Upstream {
    pub spec: UpstreamSpec,
    pub address: SocketAddr,
    pub born_ms: u64,
    ran: AtomicUsize,
    record: Record,
    sequence: AtomicU64,
    draining: AtomicBool,
    stopped: AtomicBool,
    running: Mutex<usize>,
    freed: Condvar,
    streams: Mutex<Vec<TcpStream>>,
}

impl Upstream {
    /// Starts an upstream on a free port; `beat` starts its heartbeats.
    pub fn start(spec: UpstreamSpec, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time of day");
        let upstream = Arc::new(Self {
            spec,
            address: listener.local_addr().expect("an address"),
            born_ms: born.as_millis() as u64,
            ran: AtomicUsize::new(0),
            record: record.clone(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            running: Mutex::new(0),
            freed: Condvar::new(),
            streams: Mutex::default(),
        });
        let served = upstream.clone();
        serve(listener, move |stream| served.serve_connection(stream));
        upstream
    }

    /// Sends a heartbeat to `control` each `period` until the upstream stops.
    pub fn beat(self: &Arc<Self>, control: SocketAddr, period: Duration) {
        let upstream = self.clone();
        thread::spawn(move || {
            while !upstream.stopped.load(Ordering::SeqCst) {
                upstream.send_beat(control);
                thread::sleep(period);
            }
        });
    }

    /// Sends one heartbeat; returns the status of its answer, none without an answer.
    pub fn send_beat(&self, control: SocketAddr) -> Option<u16> {
        let body = self.beat_body();
        let path = format!("/instances/{}", self.spec.instance);
        send_control(control, "PUT", &path, &body)
    }

    /// Returns the body of the next heartbeat.
    pub fn beat_body(&self) -> String {
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        wire::heartbeat(&[
            ("address", &self.address.to_string()),
            ("service", self.spec.service),
            ("version", self.spec.version),
            ("zone", self.spec.zone),
            ("slots", &self.spec.slots.to_string()),
            ("state", state),
            ("seq", &sequence.to_string()),
            ("born", &self.born_ms.to_string()),
        ])
    }

    /// Reports `draining`, once a second until the node acknowledges it.
    pub fn drain(&self, control: SocketAddr) {
        self.draining.store(true, Ordering::SeqCst);
        for _ in 0..5 {
            let status = self.send_beat(control);
            self.record.say(format!(
                "{} reports draining, answer {status:?}",
                self.spec.instance
            ));
            if status.is_some_and(|status| (200..300).contains(&status)) {
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    }

    /// Says that the upstream leaves, and ends it.
    pub fn leave(&self, control: SocketAddr) {
        let path = format!("/instances/{}", self.spec.instance);
        let status = send_control(control, "DELETE", &path, "");
        self.record.say(format!(
            "{} leaves and ends, answer {status:?}",
            self.spec.instance
        ));
        self.stop();
    }

    /// Ends the upstream with all its connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns how many requests it ran.
    pub fn ran(&self) -> usize {
        self.ran.load(Ordering::SeqCst)
    }

    fn serve_connection(&self, stream: TcpStream) {
        if self.stopped.load(Ordering::SeqCst) {
            return;
        }
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.streams.lock().unwrap().push(kept);
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            let answer = self.answer(&request);
            if self.stopped.load(Ordering::SeqCst) || writer.write_all(&answer).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let instance = (wire::name("instance_id"), self.spec.instance);
        if request.second_word() == "/healthz" {
            let status = match self.draining.load(Ordering::SeqCst) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            return response(status, &[instance], b"");
        }
        let id = request.header(wire::name("attempt_id")).unwrap_or_default();
        let echo = (wire::name("attempt_id"), id);
        let expected = request.header(wire::name("target_instance"));
        if expected.is_some_and(|expected| expected != self.spec.instance) {
            self.record
                .add(format!("{} rejects {id} with 421", self.spec.instance));
            return response("421 Misdirected Request", &[echo, instance], b"");
        }
        let not_executed = (wire::name("not_executed"), "1");
        if !self.take_slot() {
            self.record
                .add(format!("{} rejects {id} as full", self.spec.instance));
            return response("503 Service Unavailable", &[echo, not_executed], b"");
        }
        let failed = self.begin_run(id);
        thread::sleep(self.spec.work);
        self.free_slot();
        let body = format!(
            "answer of {} {} to {id}",
            self.spec.instance, self.spec.version
        );
        let signature = format!("s.{id}.{}", body.len());
        let signature = (wire::name("signature"), signature.as_str());
        match failed {
            true => response("500 Internal Server Error", &[echo, signature], b""),
            false => response("200 OK", &[echo, signature], body.as_bytes()),
        }
    }

    /// Records that a request begins to run; returns whether it will fail.
    fn begin_run(&self, id: &str) -> bool {
        let before = self.ran.fetch_add(1, Ordering::SeqCst);
        let failed = self.spec.fails_each > 0 && before.is_multiple_of(self.spec.fails_each);
        let end = if failed { ", will fail" } else { "" };
        self.record.add(format!(
            "{} {} runs {id}{end}",
            self.spec.instance, self.spec.version
        ));
        failed
    }

    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        if *running >= self.spec.slots + QUEUE {
            return false;
        }
        *running += 1;
        while *running > self.spec.slots {
            let (guard, waited) = self
                .freed
                .wait_timeout(running, Duration::from_secs(1))
                .unwrap();
            running = guard;
            if waited.timed_out() {
                break;
            }
        }
        true
    }

    fn free_slot(&self) {
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
    }
}

/// Sends a request to a node's address for heartbeats; returns the status of the answer.
pub fn send_control(control: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let headers = [
        ("Host", "node"),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    let mut request = request_head(method, path, &headers, body.len()).into_bytes();
    request.extend_from_slice(body.as_bytes());
    exchange(control, &request, BEAT_TIMEOUT)
        .ok()
        .map(|answer| answer.status())
}
