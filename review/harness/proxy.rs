//! Proxy whose open connections can go silent, while new ones work, and which can cut the path silently.

use crate::support::name;
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Proxy {
    pub address: SocketAddr,
    server: SocketAddr,
    /// Number of times that the open connections have gone silent.
    silences: AtomicU64,
    /// Whether the path is cut: bytes are held back in both directions.
    pub is_cut: AtomicBool,
    /// Long polls of the operator's table that passed so far.
    pub polls: AtomicU64,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let address = listener.local_addr().expect("address");
        let proxy = Arc::new(Self {
            address,
            server,
            silences: AtomicU64::new(0),
            is_cut: AtomicBool::new(false),
            polls: AtomicU64::new(0),
        });
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if let Ok(server) = TcpStream::connect(accepting.server) {
                    accepting.clone().join(client, server);
                }
            }
        });
        proxy
    }

    /// Makes all connections that are open now silent for good; they are not closed.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    fn join(self: Arc<Self>, client: TcpStream, server: TcpStream) {
        let opened_at = self.silences.load(Ordering::SeqCst);
        for stream in [&client, &server] {
            let _ = stream.set_nodelay(true);
        }
        let (Ok(to_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        for (from, to) in [(client, to_server), (server, to_client)] {
            let proxy = self.clone();
            thread::spawn(move || proxy.forward(from, to, opened_at));
        }
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, opened_at: u64) {
        let mut chunk = [0; 16 * 1024];
        loop {
            let length = match from.read(&mut chunk) {
                Ok(length) if length > 0 => length,
                _ => break,
            };
            while self.is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            let text = String::from_utf8_lossy(&chunk[..length]);
            if text.contains(&format!("{}?table=op&", name("rows_feed"))) {
                self.polls.fetch_add(1, Ordering::SeqCst);
            }
            if self.silences.load(Ordering::SeqCst) > opened_at {
                // Neither bytes nor the end of the connection pass any more.
                loop {
                    thread::sleep(Duration::from_secs(600));
                }
            }
            if to.write_all(&chunk[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}
