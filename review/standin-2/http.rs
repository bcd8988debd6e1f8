//! HTTP/1.1 over blocking sockets: whole messages with a `Content-Length`.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message, and its bytes as they came.
pub struct Message {
    /// First line, with the path of a request or the status of a response.
    pub first: String,
    /// The header lines, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub raw: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from one connection.
pub struct MessageReader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    /// Reads the next message. Returns `None` at the end of the connection.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(len) = message_len(&self.buf) {
                let raw: Vec<u8> = self.buf.drain(..len).collect();
                return Ok(Some(decode(raw)));
            }
            let mut chunk = [0; 16384];
            let len = self.stream.read(&mut chunk)?;
            if len == 0 {
                return Ok(None);
            }
            self.buf.extend_from_slice(&chunk[..len]);
        }
    }
}

fn head_len(buf: &[u8]) -> Option<usize> {
    buf.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4)
}

fn message_len(buf: &[u8]) -> Option<usize> {
    let head = head_len(buf)?;
    let text = String::from_utf8_lossy(&buf[..head]).to_ascii_lowercase();
    let line = text.lines().find_map(|l| l.strip_prefix("content-length:").map(str::to_string));
    let body = line.and_then(|l| l.trim().parse::<usize>().ok()).unwrap_or(0);
    (buf.len() >= head + body).then_some(head + body)
}

fn decode(raw: Vec<u8>) -> Message {
    let head = head_len(&raw).unwrap_or(raw.len());
    let text = String::from_utf8_lossy(&raw[..head]).into_owned();
    let mut lines = text.lines();
    let first = lines.next().unwrap_or("").to_string();
    let headers = lines.filter_map(|l| l.split_once(':'));
    let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_string()));
    let body = String::from_utf8_lossy(&raw[head..]).into_owned();
    Message { first, headers: headers.collect(), body, raw }
}

/// Writes a response.
pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let len = body.len();
    let text = format!(
        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())
}

/// A response to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<String>,
}

/// Makes one call on a connection of its own. Returns `None` without an answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let left = until.checked_duration_since(Instant::now())?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    let reply = MessageReader::new(stream).next().ok()??;
    let status = reply.first.split(' ').nth(1)?.parse().ok()?;
    let retry_after = reply.header("retry-after").map(str::to_string);
    Some(Reply { status, body: reply.body, retry_after })
}
