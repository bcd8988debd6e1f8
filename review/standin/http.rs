//! HTTP/1.1, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response.
pub struct Message {
    /// The first line of the head.
    pub first: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| &**v)
    }

    /// Returns method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` at the end of the stream. `rest` holds what was read beyond it.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut buf = [0; 16 << 10];
    loop {
        if let Some(message) = take(rest) {
            return Ok(Some(message));
        }
        match stream.read(&mut buf)? {
            0 => return Ok(None),
            len => rest.extend_from_slice(&buf[..len]),
        }
    }
}

fn take(rest: &mut Vec<u8>) -> Option<Message> {
    let end = rest.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_string();
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_lowercase(), value.trim().to_string()))
    };
    let headers: Vec<_> = lines.filter_map(header).collect();
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let whole = end + 4 + length;
    if rest.len() < whole {
        return None;
    }
    let raw: Vec<u8> = rest.drain(..whole).collect();
    let body = raw[end + 4..].to_vec();
    Some(Message { first, headers, body })
}

/// Sends a request over a new connection and returns status and body of the response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {addr}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    match read(&mut stream, &mut Vec::new())? {
        Some(response) => {
            let status = response.first.split(' ').nth(1).and_then(|s| s.parse().ok());
            Ok((status.unwrap_or(0), response.text()))
        }
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Writes a response with a JSON body.
pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())
}
