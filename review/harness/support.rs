//! Names, templates, free ports and the record of a run.

use std::{
    fs::File,
    io::Write,
    net::{TcpListener, UdpSocket},
    path::Path,
    process,
    sync::{Arc, Mutex},
    time::Instant,
};

const NAMES: &str = include_str!("names.txt");

/// Returns a name of the platform.
pub fn name(key: &str) -> &'static str {
    let pairs = NAMES.lines().filter_map(|line| line.split_once('='));
    let mut found = pairs.filter(|(known, _)| *known == key);
    found.next().expect("a known name").1
}

/// Replaces `@key@` in a template.
pub fn fill(template: &str, values: &[(&str, String)]) -> String {
    values
        .iter()
        .fold(template.to_owned(), |text, (key, value)| {
            text.replace(&format!("@{key}@"), value)
        })
}

/// Reserves six free ports in a row, below the ephemeral ones. A listener on another loopback address reserves them
/// against other runs, as long as this process lives.
pub fn free_ports() -> u16 {
    static LOCKS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    let start = process::id() % 3_000;
    for block in 0..3_000 {
        let first = 12_000 + ((start + block) % 3_000) as u16 * 6;
        let Ok(lock) = TcpListener::bind(("127.0.0.2", first)) else {
            continue;
        };
        let is_free = |port: u16| {
            let address = ("127.0.0.1", port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        };
        if (first..first + 6).all(is_free) {
            LOCKS.lock().expect("locks").push(lock);
            return first;
        }
    }
    panic!("no six free ports in a row");
}

/// Record of what was sent, answered and run, with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record file");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        writeln!(file, "{at:8.3} s  {text}").expect("record line");
    }
}
