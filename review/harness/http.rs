//! Minimal HTTP/1.1 for the stand-ins: heads and bodies with a length.

use std::{
    io::{Error, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head and body of a request or a response. Header names are in lower case.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        let found = self.headers.iter().find(|(header, _)| *header == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the start line at this index.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> Result<Self, Error> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads the next message; an error says how the connection ended before a complete one.
    pub fn read(&mut self, until: Instant) -> Result<Message, Error> {
        let head_end = loop {
            if let Some(at) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                break at + 4;
            }
            self.read_more(until)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.lines();
        let start = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        let length: usize = message
            .header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or_default();
        while self.buffer.len() < head_end + length {
            self.read_more(until)?;
        }
        message.body = self.buffer[head_end..head_end + length].to_vec();
        self.buffer.drain(..head_end + length);
        Ok(message)
    }

    fn read_more(&mut self, until: Instant) -> Result<(), Error> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 8192];
        match self.stream.read(&mut chunk)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            length => {
                self.buffer.extend_from_slice(&chunk[..length]);
                Ok(())
            }
        }
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    pub fn send(
        &mut self,
        start: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<(), Error> {
        let mut text = format!("{start}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Sends a request on a new connection and returns the response.
pub fn exchange(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message, Error> {
    let mut connection = Connection::open(address)?;
    connection.send(start, headers, body)?;
    connection.read(Instant::now() + limit)
}
