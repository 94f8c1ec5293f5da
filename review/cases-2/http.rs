//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request or a response: its first line, headers with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header by name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        let mut found = self.headers.iter().filter(|(known, _)| *known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the path of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads the next message; an error if the connection ends before it is complete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message {
        first_line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    if message.header("expect").is_some() {
        let mut stream = reader.get_ref();
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    }
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
    } else {
        let length = message.header("content-length").unwrap_or("0");
        let length = length.parse().map_err(io::Error::other)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let length = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let length = length.map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + length, 0);
        reader.read_exact(&mut body[start..])?;
        if length == 0 {
            while !read_line(reader)?.is_empty() {}
            return Ok(body);
        }
        read_line(reader)?;
    }
}

/// Sends a request on a new connection and returns the response.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    read_message(&mut BufReader::new(stream))
}

/// Returns the text of a request without its body.
pub fn request_head(method: &str, path: &str, headers: &[(&str, &str)], length: usize) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if length > 0 || method != "GET" {
        text.push_str(&format!("Content-Length: {length}\r\n"));
    }
    text.push_str("\r\n");
    text
}

/// Returns the bytes of a response.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(listener: TcpListener, serve_one: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve_one = Arc::new(serve_one);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve_one = serve_one.clone();
            thread::spawn(move || serve_one(stream));
        }
    });
}
