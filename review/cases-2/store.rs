//! Stand-in of the platform's row store: transactions, reads of a table and its change feed.

use {
    crate::{
        http::{Message, read_message, response, serve},
        json::{Json, decode_base64, encode_base64},
        wire,
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type RowName = (String, String);

#[derive(Clone)]
struct Row {
    value: String,
    ver: u64,
    removed: bool,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowName, Row>,
    ver: u64,
}

/// The store; it keeps its rows in memory.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = store.clone();
        serve(listener, move |stream| served.serve_connection(stream));
        store
    }

    /// Writes a row as the operator does.
    pub fn write(&self, table: &str, key: &str, content: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let row = Row {
            value: encode_base64(content.as_bytes()),
            ver: rows.ver,
            removed: false,
        };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    /// Reads a row as the operator does; none if there is none.
    pub fn read(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let row = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        String::from_utf8(decode_base64(&row.value)?).ok()
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if writer
                .write_all(&response(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .second_word()
            .split_once('?')
            .unwrap_or((request.second_word(), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let text = |key: &str| query.get(key).copied().unwrap_or_default();
        let number = |key: &str| text(key).parse::<u64>().unwrap_or(0);
        if path == wire::name("read") {
            return (
                "200 OK",
                self.rows_body(&self.rows.lock().unwrap(), text("table"), None),
            );
        }
        if path == wire::name("feed") {
            let wait = Duration::from_millis(number("waitMs"));
            return ("200 OK", self.follow(text("table"), number("after"), wait));
        }
        match Json::parse(&String::from_utf8_lossy(&request.body)) {
            Some(body) if path == wire::name("transaction") => self.transact(&body),
            _ => ("404 Not Found", String::new()),
        }
    }

    fn follow(&self, table: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let is_new = |(name, row): (&RowName, &Row)| name.0 == table && row.ver > after;
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || rows.rows.iter().any(is_new) {
                return self.rows_body(&rows, table, Some(after));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    /// Returns the rows of a table, or those that changed after a version.
    fn rows_body(&self, rows: &Rows, table: &str, after: Option<u64>) -> String {
        let chosen = rows.rows.iter().filter(|((name, _), row)| {
            name == table && after.map_or(!row.removed, |after| row.ver > after)
        });
        let mut chosen: Vec<_> = chosen.collect();
        if after.is_some() {
            chosen.sort_by_key(|(_, row)| row.ver);
        }
        let texts: Vec<String> = chosen
            .iter()
            .map(|((table, key), row)| {
                format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","value":"{}","ver":{},"tombstone":{}}}"#,
                    row.value, row.ver, row.removed
                )
            })
            .collect();
        format!(
            r#"{{"rows":[{}],"hasMore":false,"ver":{},"nowS":{:.6}}}"#,
            texts.join(","),
            rows.ver,
            self.started.elapsed().as_secs_f64()
        )
    }

    fn transact(&self, body: &Json) -> (&'static str, String) {
        let name = |entry: &Json| {
            (
                entry.field("table").text().to_owned(),
                entry.field("key").text().to_owned(),
            )
        };
        let mut rows = self.rows.lock().unwrap();
        for expected in body.field("expectRev").entries() {
            let present = rows.rows.get(&name(expected)).filter(|row| !row.removed);
            if present.map_or(0, |row| row.ver) != expected.field("ver").number() {
                return ("412 Precondition Failed", r#"{"rows":[]}"#.to_owned());
            }
        }
        rows.ver += 1;
        let ver = rows.ver;
        for put in body.field("puts").entries() {
            let value = put.field("value").text().to_owned();
            rows.rows.insert(
                name(put),
                Row {
                    value,
                    ver,
                    removed: false,
                },
            );
        }
        for removed in body.field("delete").entries() {
            rows.rows.insert(
                name(removed),
                Row {
                    value: String::new(),
                    ver,
                    removed: true,
                },
            );
        }
        self.changed.notify_all();
        let now = self.started.elapsed().as_secs_f64();
        ("200 OK", format!(r#"{{"ver":{ver},"nowS":{now:.6}}}"#))
    }
}
