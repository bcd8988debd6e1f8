//! HTTP/1.1 over blocking sockets: one request of a client, and a server with a thread for each
//! connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Status with which a handler closes the connection without an answer.
pub const CLOSE: u16 = 0;

/// Sends one request on a connection of its own. Returns the status and the body.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(format!("{head}{body}").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, fields) = read_head(&mut reader)?;
    let bad = || io::Error::new(io::ErrorKind::InvalidData, format!("status line {first:?}"));
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(bad)?;
    Ok((status, read_body(&mut reader, &fields, true)?))
}

/// A request that a server has received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }
}

/// Serves requests until the process ends.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Request) -> (u16, String) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || drop(serve_connection(stream, &*handle)));
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &dyn Fn(Request) -> (u16, String),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split(' ').map(str::to_string);
        let method = words.next().unwrap_or_default();
        let path = words.next().unwrap_or_default();
        let body = read_body(&mut reader, &headers, false)?;
        let (status, body) = handle(Request { method, path, headers, body });
        if status == CLOSE {
            return Ok(());
        }
        let answer = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes())?;
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = lines.first().cloned().unwrap_or_default();
    let fields = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
    Ok((first, fields.map(|(n, v)| (n.trim().into(), v.trim().into())).collect()))
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_close: bool,
) -> io::Result<String> {
    let header = |name: &str| {
        let mut found = headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.clone())
    };
    let mut body = Vec::new();
    if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = header("content-length").and_then(|v| v.parse().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}
