//! Whole answers: framing, streaming, cuts and headers.

use crate::{
    answers, cases,
    support::{Entry, LIMIT, Next, Script, Setup, Target, read_answer, wait_for},
};
use cyclamenloft_caller::CallerLimits;
use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    time::Duration,
};

const GET: &str = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const OK: Script = answers!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell");
const HEAD_ONLY: Script = answers!("HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\n");
const NO_CONTENT: Script = answers!("HTTP/1.1 204 No Content\r\n\r\n");
const NOT_MODIFIED: Script = answers!("HTTP/1.1 304 Not Modified\r\ncontent-length: 400\r\n\r\n");
const EARLY_HINTS: Script = answers!(
    "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell"
);
const CHUNKED: Script = answers!(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
     4\r\nwell\r\n0\r\nx-sum: 7\r\n\r\n"
);
const SWITCHING: Script =
    answers!("HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n");
const CLAIMS: Script = answers!(
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

fn stalls(stream: &mut TcpStream, _: usize) -> Next {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    stream.write_all(head).unwrap();
    Next::Hold
}

fn big(stream: &mut TcpStream, _: usize) -> Next {
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {BIG}\r\n\r\n").unwrap();
    stream.write_all(&vec![b'x'; BIG]).unwrap();
    Next::Read
}

/// Well above every buffer on the way.
const BIG: usize = 8 * 1024 * 1024;

fn hold(_: &mut TcpStream, _: usize) -> Next {
    Next::Hold
}

cases! {
    a_head_answer_keeps_its_length => bodiless("HEAD", HEAD_ONLY, 200, Some("400"));
    no_content_has_no_body => bodiless("GET", NO_CONTENT, 204, None);
    not_modified_has_no_body => bodiless("GET", NOT_MODIFIED, 304, None);
    hints_before_the_answer_do_not_replace_it => plain(EARLY_HINTS, "well");
    a_target_can_not_switch_protocols => switching();
    a_cut_length_is_cut => cut(half_length);
    a_cut_chunk_is_cut => cut(half_chunks);
    a_bad_chunk_is_cut => cut(bad_chunk);
    a_stalled_answer_is_cut => cut(stalls);
    trailers_are_passed_on => trailers();
    a_big_answer_is_whole => big_answer();
    a_big_body_is_whole => big_body();
    an_answer_is_streamed => answer_streamed();
    a_body_is_streamed => body_streamed();
    a_target_that_does_not_read_holds_the_caller_back => backpressure();
    continue_is_asked_for_after_admission => expect_continue();
    a_refused_caller_is_not_asked_for_its_body => expect_refused();
    pipelined_requests_are_answered_in_order => pipelined();
    connection_headers_of_the_request_end_here => request_headers();
    connection_headers_of_the_answer_end_here => answer_headers();
}

fn entry(target: &Target) -> Entry {
    let limits =
        CallerLimits { body_idle_timeout: Duration::from_millis(300), ..CallerLimits::default() };
    Entry::start(Setup { limits, ..Setup::default() }, &[target])
}

fn bodiless(method: &str, script: Script, status: u16, length: Option<&str>) {
    let target = Target::start(script);
    let entry = entry(&target);
    for _ in 0..2 {
        let answer = entry.ask(GET.replacen("GET", method, 1));
        assert!(answer.clean);
        assert_eq!((answer.status(), answer.body()), (status, ""), "{}", answer.text);
        assert_eq!(answer.header("content-length"), length, "{}", answer.text);
    }
    // The connection was used again, so that nothing was taken for a body.
    assert_eq!(target.seen.lock().unwrap().connections, 1);
}

fn plain(script: Script, body: &str) {
    let target = Target::start(script);
    let answer = entry(&target).ask(GET);
    assert_eq!((answer.status(), answer.body()), (200, body), "{}", answer.text);
}

fn switching() {
    let target = Target::start(SWITCHING);
    let answer = entry(&target).ask(GET.replacen("GET", "POST", 1));
    assert_eq!((answer.status(), answer.outcome()), (502, "unknown"), "{}", answer.text);
}

/// A cut answer never looks whole: fewer bytes than its length, or no last chunk.
fn cut(script: Script) {
    let target = Target::start(script);
    let entry = entry(&target);
    let answer = entry.ask(GET);
    assert_eq!(answer.status(), 200, "{}", answer.text);
    match answer.header("content-length") {
        Some(length) => assert!(answer.body().len() < length.parse().unwrap()),
        None => assert!(!answer.text.contains("0\r\n\r\n"), "{}", answer.text),
    }
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
}

fn trailers() {
    let target = Target::start(CHUNKED);
    let get = GET.replace("connection: close", "connection: close, te\r\nte: trailers");
    let answer = entry(&target).ask(get);
    assert!(answer.text.contains("4\r\nwell\r\n0\r\nx-sum: 7\r\n\r\n"), "{}", answer.text);
    assert!(target.request(0).contains("te: trailers\r\n"));
}

fn big_answer() {
    let target = Target::start(big);
    let answer = entry(&target).ask(GET);
    assert!(answer.clean);
    assert_eq!(answer.body().len(), BIG);
    assert!(answer.body().bytes().all(|b| b == b'x'));
}

fn big_body() {
    let target = Target::start(OK);
    let head = format!(
        "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         content-length: {BIG}\r\n\r\n"
    );
    let mut raw = head.into_bytes();
    raw.resize(raw.len() + BIG, b'y');
    assert_eq!(entry(&target).ask(raw).status(), 200);
    let request = target.request(0);
    let (_, body) = request.split_once("\r\n\r\n").unwrap();
    assert_eq!(body.len(), BIG);
    assert!(body.bytes().all(|b| b == b'y'));
}

fn read_past(stream: &mut TcpStream, wanted: &str) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(wanted.as_bytes()) {
        let n = stream.read(&mut byte).unwrap();
        assert!(n == 1, "ended before {wanted:?}: {}", String::from_utf8_lossy(&text));
        text.push(byte[0]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// The target never ends its answer, and the caller has the first piece.
fn answer_streamed() {
    let target = Target::start(stalls);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(GET.as_bytes()).unwrap();
    read_past(&mut caller, "4\r\nhalf\r\n");
}

/// The target has the first piece and answers before the body ends.
fn body_streamed() {
    let target = Target::start(|stream, number| {
        read_past(stream, "4\r\nhalf\r\n");
        OK(stream, number);
        Next::Hold
    });
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    let head = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\ncut-me: 1\r\n\
                transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    caller.write_all(head.as_bytes()).unwrap();
    read_past(&mut caller, "well");
}

/// An entry host that buffers without bound would take all of this.
const ENDLESS: usize = 256 * 1024 * 1024;

fn backpressure() {
    let target = Target::start(hold_unread);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    let head = format!(
        "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\ncut-me: 1\r\n\
         content-length: {ENDLESS}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).unwrap();
    caller.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
    let piece = vec![b'z'; 64 * 1024];
    let mut taken = 0;
    while taken < ENDLESS {
        match caller.write(&piece) {
            Ok(n) => taken += n,
            Err(e) => {
                assert!(matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{e}");
                break;
            }
        }
    }
    assert!(taken < ENDLESS / 2, "{taken} bytes were taken for a target that reads none");
}

fn hold_unread(stream: &mut TcpStream, _: usize) -> Next {
    let mut byte = [0];
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    // The head has been read; the body stays in the socket.
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
    read_past(&mut caller, "HTTP/1.1 100 Continue\r\n\r\n");
    caller.write_all(b"body").unwrap();
    assert_eq!(read_answer(&mut caller).status(), 200);
    assert!(target.request(0).ends_with("\r\n\r\nbody"));
    assert!(!target.request(0).contains("expect"));
}

fn expect_refused() {
    let target = Target::start(hold);
    let answer = entry(&target).ask(EXPECT.replace("matchdesk", "nobody"));
    assert_eq!((answer.status(), answer.outcome()), (404, "not-run"), "{}", answer.text);
}

fn pipelined() {
    let target = Target::start(|stream, number| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}").unwrap();
        Next::Read
    });
    let first = GET.replace("connection: close\r\n", "");
    let answer = entry(&target).ask(format!("{first}{first}{GET}"));
    let bodies: Vec<&str> = answer.text.split("\r\n\r\n").skip(1).map(|part| &part[..1]).collect();
    assert_eq!(bodies, ["1", "2", "3"], "{}", answer.text);
}

fn request_headers() {
    let target = Target::start(OK);
    let answer = entry(&target).ask(
        "GET /matchdesk/items?page=2 HTTP/1.1\r\nhost: a\r\nconnection: close, x-private\r\n\
         x-private: 1\r\nkeep-alive: timeout=5\r\nproxy-connection: close\r\nte: gzip\r\n\
         proxy-authorization: basic x\r\nupgrade: h2c\r\nx-public: 1\r\n\
         x-forwarded-for: 192.0.2.7\r\n\r\n",
    );
    assert_eq!(answer.status(), 200, "{}", answer.text);
    let seen = target.request(0);
    assert!(seen.starts_with("GET /items?page=2 HTTP/1.1\r\n"), "{seen}");
    for gone in ["x-private", "keep-alive", "proxy-", "te:", "upgrade", "connection"] {
        assert!(!seen.contains(gone), "{gone}: {seen}");
    }
    for there in [
        "host: a\r\n",
        "x-public: 1\r\n",
        "via: 1.1 cyclamenloft\r\n",
        "x-forwarded-for: 192.0.2.7\r\n",
        "x-forwarded-for: 127.0.0.1\r\n",
        "cyclamenloft-request-id: ",
        "cyclamenloft-deadline-ms: ",
    ] {
        assert!(seen.contains(there), "{there}: {seen}");
    }
}

fn answer_headers() {
    let target = Target::start(CLAIMS);
    let answer = entry(&target).ask(GET);
    assert_eq!(answer.body(), "well", "{}", answer.text);
    assert_eq!(answer.header("x-public"), Some("1"));
    for gone in ["x-private", "keep-alive", "proxy-authenticate", "cyclamenloft-outcome"] {
        assert_eq!(answer.header(gone), None, "{gone}: {}", answer.text);
    }
}
