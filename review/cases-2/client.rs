//! Clients: requests at a steady rate, each on a connection of its own.

use {
    crate::{
        http::{Message, exchange, request_head},
        record::Record,
        wire,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Call {
    /// Status of the answer; 0 without a whole answer.
    pub status: u16,
}

/// What clients send.
#[derive(Clone)]
pub struct Load {
    pub method: &'static str,
    pub path: &'static str,
    pub body: &'static str,
    pub per_second: f64,
    pub deadline_ms: u64,
    /// Beginning of the request ids.
    pub prefix: &'static str,
}

/// Clients that send until they are stopped.
pub struct Clients {
    pub calls: Arc<Mutex<Vec<Call>>>,
    stop: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    sender: JoinHandle<()>,
}

impl Clients {
    /// Starts clients that send to `nodes` in turn.
    pub fn start(nodes: Vec<SocketAddr>, load: Load, record: &Record) -> Self {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let open = Arc::new(AtomicUsize::new(0));
        let (kept, stopped, opened, record) =
            (calls.clone(), stop.clone(), open.clone(), record.clone());
        let sender = thread::spawn(move || {
            let started = Instant::now();
            for number in 0.. {
                let due = started + Duration::from_secs_f64(number as f64 / load.per_second);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let node = nodes[number % nodes.len()];
                let (calls, load, record, open) =
                    (kept.clone(), load.clone(), record.clone(), opened.clone());
                open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let call = send(node, &load, &format!("{}{number}", load.prefix), &record);
                    calls.lock().unwrap().push(call);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            calls,
            stop,
            open,
            sender,
        }
    }

    /// Stops sending, waits for the answers that are due and returns all calls.
    pub fn stop(self) -> Vec<Call> {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.sender.join();
        let until = Instant::now() + Duration::from_secs(10);
        while self.open.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        self.calls.lock().unwrap().clone()
    }
}

/// Sends one request to a node.
pub fn send(node: SocketAddr, load: &Load, id: &str, record: &Record) -> Call {
    record.add(format!("client sends {id}"));
    let answer = send_message(node, load, id);
    let (status, from) = match &answer {
        Ok(answer) => (
            answer.status(),
            String::from_utf8_lossy(&answer.body).trim().to_owned(),
        ),
        Err(error) => (0, error.to_string()),
    };
    record.add(format!("client gets {status} for {id}: {from}"));
    Call { status }
}

fn send_message(node: SocketAddr, load: &Load, id: &str) -> std::io::Result<Message> {
    let deadline = load.deadline_ms.to_string();
    let headers = [
        ("Host", "shop.example"),
        (wire::name("attempt_id"), id),
        (wire::name("deadline"), deadline.as_str()),
        ("Connection", "close"),
    ];
    let mut request = request_head(load.method, load.path, &headers, load.body.len()).into_bytes();
    request.extend_from_slice(load.body.as_bytes());
    exchange(node, &request, Duration::from_millis(load.deadline_ms))
}
