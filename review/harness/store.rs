//! Stand-in of the platform's store: rows in memory, linearizable, with the calls that the nodes make.

use crate::{
    http::Connection,
    json::{Value, parse},
    support::name,
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Row {
    /// Content in base64.
    value: String,
    ver: u64,
    removed: bool,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            rows: Mutex::default(),
            started: Instant::now(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a row as the operator does.
    pub fn write(&self, table: &str, key: &str, content: &str) {
        let mut rows = self.rows.lock().expect("rows");
        rows.ver += 1;
        let row = Row {
            value: base64(content.as_bytes()),
            ver: rows.ver,
            removed: false,
        };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(Instant::now() + Duration::from_secs(600)) {
            let (path, query) = request
                .word(1)
                .split_once('?')
                .unwrap_or((request.word(1), ""));
            let query: BTreeMap<&str, &str> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .collect();
            let (status, body) = if path == name("rows_get") {
                (200, self.rows_after(query["table"], 0))
            } else if path == name("rows_feed") {
                (200, self.feed(&query))
            } else if path == name("rows_tx") {
                self.transact(&parse(&String::from_utf8_lossy(&request.body)))
            } else {
                (404, "{}".to_owned())
            };
            let headers = [("Content-Type", "application/json")];
            let start = format!("HTTP/1.1 {status} status");
            if connection.send(&start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn feed(&self, query: &BTreeMap<&str, &str>) -> String {
        let after: u64 = query["after"].parse().unwrap_or_default();
        let wait = Duration::from_millis(query["waitMs"].parse().unwrap_or_default());
        let started = Instant::now();
        while started.elapsed() < wait && !self.has_changed(query["table"], after) {
            thread::sleep(Duration::from_millis(5));
        }
        self.rows_after(query["table"], after)
    }

    fn has_changed(&self, table: &str, after: u64) -> bool {
        let rows = self.rows.lock().expect("rows");
        rows.rows
            .iter()
            .any(|((name, _), row)| name == table && row.ver > after)
    }

    fn rows_after(&self, table: &str, after: u64) -> String {
        let rows = self.rows.lock().expect("rows");
        let selected: Vec<String> = rows
            .rows
            .iter()
            .filter(|((name, _), row)| name == table && row.ver > after)
            .filter(|(_, row)| after > 0 || !row.removed)
            .map(|((name, key), row)| {
                format!(
                    r#"{{"table":"{name}","part":"","key":"{key}","value":"{}","ver":{},"tombstone":{}}}"#,
                    row.value, row.ver, row.removed
                )
            })
            .collect();
        let now = self.started.elapsed().as_secs_f64();
        let list = selected.join(",");
        format!(
            r#"{{"rows":[{list}],"hasMore":false,"ver":{},"nowS":{now}}}"#,
            rows.ver.max(1)
        )
    }

    fn transact(&self, body: &Value) -> (u16, String) {
        let mut rows = self.rows.lock().expect("rows");
        let key_of = |row: &Value| (row.text("table"), row.text("key"));
        for expected in body.list("expectRev") {
            let present = rows.rows.get(&key_of(expected)).filter(|row| !row.removed);
            if present.map_or(0, |row| row.ver) != expected.number("ver") as u64 {
                return (412, r#"{"rows":[]}"#.to_owned());
            }
        }
        rows.ver += 1;
        let ver = rows.ver;
        for put in body.list("puts") {
            let row = Row {
                value: put.text("value"),
                ver,
                removed: false,
            };
            rows.rows.insert(key_of(put), row);
        }
        for removed in body.list("delete") {
            let row = Row {
                value: String::new(),
                ver,
                removed: true,
            };
            rows.rows.insert(key_of(removed), row);
        }
        let now = self.started.elapsed().as_secs_f64();
        (200, format!(r#"{{"ver":{ver},"nowS":{now}}}"#))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
