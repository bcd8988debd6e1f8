//! Responses and bodies: framing, streaming, truncation and headers.
//!
//! The tests guard against a truncated response that looks complete to the caller
//! and against buffering without a limit.

use crate::{
    cases, respond_with,
    support::{Entry, Next, Script, Setup, TIMEOUT, Target, read_response, wait_for},
};
use cyclamenloft_caller::CallerLimits;
use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    time::Duration,
};

const GET: &str = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const OK: Script = respond_with!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell");
const HEAD_ONLY: Script = respond_with!("HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\n");
const NO_CONTENT: Script = respond_with!("HTTP/1.1 204 No Content\r\n\r\n");
const NOT_MODIFIED: Script =
    respond_with!("HTTP/1.1 304 Not Modified\r\ncontent-length: 400\r\n\r\n");
const EARLY_HINTS: Script = respond_with!(
    "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell"
);
const CHUNKED: Script = respond_with!(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
     4\r\nwell\r\n0\r\nx-sum: 7\r\n\r\n"
);
const SWITCHING: Script =
    respond_with!("HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n");
const FORBIDDEN_HEADERS: Script = respond_with!(
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncyclamenloft-outcome: not-run\r\n\
     connection: x-private, keep-alive\r\nx-private: 1\r\nkeep-alive: timeout=5\r\n\
     proxy-authenticate: basic\r\nx-public: 1\r\n\r\nwell"
);

fn half_length(stream: &mut TcpStream, _: usize) -> Next {
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\nhalf").unwrap();
    Next::Close
}

fn half_chunks(stream: &mut TcpStream, _: usize) -> Next {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    stream.write_all(head).unwrap();
    Next::Close
}

fn bad_chunk(stream: &mut TcpStream, _: usize) -> Next {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n";
    stream.write_all(head).unwrap();
    Next::Hold
}

fn stall(stream: &mut TcpStream, _: usize) -> Next {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    stream.write_all(head).unwrap();
    Next::Hold
}

fn large(stream: &mut TcpStream, _: usize) -> Next {
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\n").unwrap();
    stream.write_all(&vec![b'x'; LARGE_BYTES]).unwrap();
    Next::Read
}

/// Size of a body well above every buffer between target and caller.
const LARGE_BYTES: usize = 8 * 1024 * 1024;

fn hold(_: &mut TcpStream, _: usize) -> Next {
    Next::Hold
}

cases! {
    a_head_response_keeps_its_content_length => check_without_body("HEAD", HEAD_ONLY, 200, Some("400"));
    a_204_has_no_body => check_without_body("GET", NO_CONTENT, 204, None);
    a_304_has_no_body => check_without_body("GET", NOT_MODIFIED, 304, None);
    early_hints_do_not_replace_the_final_response => check_body(EARLY_HINTS, "well");
    a_target_can_not_switch_protocols => switching();
    a_response_short_of_its_length_is_cut_short => check_truncated(half_length);
    a_response_without_the_last_chunk_is_cut_short => check_truncated(half_chunks);
    a_response_with_an_invalid_chunk_is_cut_short => check_truncated(bad_chunk);
    a_stalled_response_is_cut_short => check_truncated(stall);
    trailers_are_passed_on => trailers();
    a_large_response_is_complete => large_response();
    a_large_request_body_is_complete => large_body();
    a_response_is_streamed => streamed_response();
    a_request_body_is_streamed => streamed_body();
    a_target_that_does_not_read_slows_the_caller_down => backpressure();
    continue_is_sent_after_admission => expect_continue();
    a_refused_caller_gets_no_continue => expect_refused();
    pipelined_requests_are_answered_in_order => pipelined();
    hop_by_hop_headers_of_a_request_are_removed => request_headers();
    hop_by_hop_headers_of_a_response_are_removed => response_headers();
}

fn entry(target: &Target) -> Entry {
    let limits =
        CallerLimits { body_idle_timeout: Duration::from_millis(300), ..CallerLimits::default() };
    Entry::start(Setup { limits, ..Setup::default() }, &[target])
}

fn check_without_body(method: &str, script: Script, status: u16, length: Option<&str>) {
    let target = Target::start(script);
    let entry = entry(&target);
    for _ in 0..2 {
        let response = entry.send(GET.replacen("GET", method, 1));
        assert!(response.clean);
        assert_eq!((response.status(), response.body()), (status, ""), "{}", response.text);
        assert_eq!(response.header("content-length"), length, "{}", response.text);
    }
    // The connection was reused, so the entry host did not wait for a body.
    assert_eq!(target.seen.lock().unwrap().connections, 1);
}

fn check_body(script: Script, body: &str) {
    let target = Target::start(script);
    let response = entry(&target).send(GET);
    assert_eq!((response.status(), response.body()), (200, body), "{}", response.text);
}

fn switching() {
    let target = Target::start(SWITCHING);
    let response = entry(&target).send(GET.replacen("GET", "POST", 1));
    assert_eq!((response.status(), response.outcome()), (502, "unknown"), "{}", response.text);
}

/// Checks that a truncated response doesn't look complete: it has fewer bytes than
/// its content length or no last chunk.
fn check_truncated(script: Script) {
    let target = Target::start(script);
    let entry = entry(&target);
    let response = entry.send(GET);
    assert_eq!(response.status(), 200, "{}", response.text);
    match response.header("content-length") {
        Some(length) => assert!(response.body().len() < length.parse().unwrap()),
        None => assert!(!response.text.contains("0\r\n\r\n"), "{}", response.text),
    }
    wait_for("the connection to the target to close", || target.seen.lock().unwrap().closed == 1);
}

fn trailers() {
    let target = Target::start(CHUNKED);
    let get = GET.replace("connection: close", "connection: close, te\r\nte: trailers");
    let response = entry(&target).send(get);
    assert!(response.text.contains("4\r\nwell\r\n0\r\nx-sum: 7\r\n\r\n"), "{}", response.text);
    assert!(target.request(0).contains("te: trailers\r\n"));
}

fn large_response() {
    let target = Target::start(large);
    let response = entry(&target).send(GET);
    assert!(response.clean);
    assert_eq!(response.body().len(), LARGE_BYTES);
    assert!(response.body().bytes().all(|b| b == b'x'));
}

fn large_body() {
    let target = Target::start(OK);
    let head = format!(
        "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         content-length: {LARGE_BYTES}\r\n\r\n"
    );
    let mut raw = head.into_bytes();
    raw.resize(raw.len() + LARGE_BYTES, b'y');
    assert_eq!(entry(&target).send(raw).status(), 200);
    let request = target.request(0);
    let (_, body) = request.split_once("\r\n\r\n").unwrap();
    assert_eq!(body.len(), LARGE_BYTES);
    assert!(body.bytes().all(|b| b == b'y'));
}

fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(end.as_bytes()) {
        let n = stream.read(&mut byte).unwrap();
        assert!(n == 1, "ended before {end:?}: {}", String::from_utf8_lossy(&text));
        text.push(byte[0]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// The target never ends its response. The caller must get the first chunk
/// nevertheless.
fn streamed_response() {
    let target = Target::start(stall);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(GET.as_bytes()).unwrap();
    read_until(&mut caller, "4\r\nhalf\r\n");
}

/// The target gets the first chunk and responds before the body ends.
fn streamed_body() {
    let target = Target::start(|stream, number| {
        read_until(stream, "4\r\nhalf\r\n");
        OK(stream, number);
        Next::Hold
    });
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    let head = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\ncut-me: 1\r\n\
                transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    read_until(&mut caller, "well");
}

/// Size of an offered body. An entry host that buffers without a limit would accept
/// all of it.
const UNBOUNDED_BYTES: usize = 256 * 1024 * 1024;

fn backpressure() {
    let target = Target::start(hold_unread);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    let head = format!(
        "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\ncut-me: 1\r\n\
         content-length: {UNBOUNDED_BYTES}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).unwrap();
    caller.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
    let piece = vec![b'z'; 64 * 1024];
    let mut taken = 0;
    while taken < UNBOUNDED_BYTES {
        match caller.write(&piece) {
            Ok(n) => taken += n,
            Err(e) => {
                assert!(matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{e}");
                break;
            }
        }
    }
    assert!(
        taken < UNBOUNDED_BYTES / 2,
        "{taken} bytes were accepted for a target that reads none"
    );
}

fn hold_unread(stream: &mut TcpStream, _: usize) -> Next {
    let mut byte = [0];
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    // The head has been read; the body stays in the socket buffer.
    while stream.peek(&mut byte).is_ok_and(|n| n > 0) {
        std::thread::sleep(Duration::from_millis(50));
    }
    Next::Close
}

const EXPECT: &str = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                      expect: 100-continue\r\ncontent-length: 4\r\n\r\n";

fn expect_continue() {
    let target = Target::start(OK);
    let entry = entry(&target);
    let mut caller = entry.connect();
    caller.write_all(EXPECT.as_bytes()).unwrap();
    read_until(&mut caller, "HTTP/1.1 100 Continue\r\n\r\n");
    caller.write_all(b"body").unwrap();
    assert_eq!(read_response(&mut caller).status(), 200);
    assert!(target.request(0).ends_with("\r\n\r\nbody"));
    assert!(!target.request(0).contains("expect"));
}

fn expect_refused() {
    let target = Target::start(hold);
    let response = entry(&target).send(EXPECT.replace("matchdesk", "nobody"));
    assert_eq!((response.status(), response.outcome()), (404, "not-run"), "{}", response.text);
}

fn pipelined() {
    let target = Target::start(|stream, number| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}").unwrap();
        Next::Read
    });
    let first = GET.replace("connection: close\r\n", "");
    let response = entry(&target).send(format!("{first}{first}{GET}"));
    let bodies: Vec<&str> =
        response.text.split("\r\n\r\n").skip(1).map(|part| &part[..1]).collect();
    assert_eq!(bodies, ["1", "2", "3"], "{}", response.text);
}

fn request_headers() {
    let target = Target::start(OK);
    let response = entry(&target).send(
        "GET /matchdesk/items?page=2 HTTP/1.1\r\nhost: a\r\nconnection: close, x-private\r\n\
         x-private: 1\r\nkeep-alive: timeout=5\r\nproxy-connection: close\r\nte: gzip\r\n\
         proxy-authorization: basic x\r\nupgrade: h2c\r\nx-public: 1\r\n\
         x-forwarded-for: 192.0.2.7\r\n\r\n",
    );
    assert_eq!(response.status(), 200, "{}", response.text);
    let seen = target.request(0);
    assert!(seen.starts_with("GET /items?page=2 HTTP/1.1\r\n"), "{seen}");
    for removed in ["x-private", "keep-alive", "proxy-", "te:", "upgrade", "connection"] {
        assert!(!seen.contains(removed), "{removed}: {seen}");
    }
    for expected in [
        "host: a\r\n",
        "x-public: 1\r\n",
        "via: 1.1 cyclamenloft\r\n",
        "x-forwarded-for: 192.0.2.7\r\n",
        "x-forwarded-for: 127.0.0.1\r\n",
        "cyclamenloft-request-id: ",
        "cyclamenloft-deadline-ms: ",
    ] {
        assert!(seen.contains(expected), "{expected}: {seen}");
    }
}

fn response_headers() {
    let target = Target::start(FORBIDDEN_HEADERS);
    let response = entry(&target).send(GET);
    assert_eq!(response.body(), "well", "{}", response.text);
    assert_eq!(response.header("x-public"), Some("1"));
    for removed in ["x-private", "keep-alive", "proxy-authenticate", "cyclamenloft-outcome"] {
        assert_eq!(response.header(removed), None, "{removed}: {}", response.text);
    }
}
