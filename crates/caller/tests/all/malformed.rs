//! Requests whose framing is ambiguous, too large, too slow or unsupported.

use crate::{
    answers, cases,
    support::{Entry, Script, Setup, Target, read_answer, wait_for},
};
use cyclamenloft_caller::CallerLimits;
use cyclamenloft_http::Limits;
use std::{io::Write, time::Duration};

const OK: Script = answers!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell");

/// A request with these header lines, followed by what a confused reader would
/// take for a request of its own.
fn smuggled(lines: &str, body: &str) -> String {
    format!(
        "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\n{lines}\r\n\r\n{body}\
         GET /matchdesk/smuggled HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    )
}

/// The request is refused and the connection ends; nothing reaches a target.
fn refused(raw: &str, status: u16) {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    let answer = entry.ask(raw);
    assert_eq!(answer.status(), status, "{}", answer.text);
    assert_eq!(answer.text.matches("HTTP/1.1 ").count(), 1, "{}", answer.text);
    assert_eq!(target.count(), 0, "{}", target.request(0));
}

fn framing(lines: &str, body: &str) {
    refused(&smuggled(lines, body), 400);
}

cases! {
    length_before_chunks => chunks_win("content-length: 4\r\ntransfer-encoding: chunked");
    chunks_before_length => chunks_win("transfer-encoding: chunked\r\ncontent-length: 4");
    two_lengths => framing("content-length: 4\r\ncontent-length: 5", "body");
    a_list_of_lengths => framing("content-length: 4, 5", "body");
    a_signed_length => framing("content-length: +4", "body");
    a_negative_length => framing("content-length: -4", "body");
    a_coding_before_chunked => framing("transfer-encoding: gzip, chunked", "0\r\n\r\n");
    chunked_twice => framing("transfer-encoding: chunked\r\ntransfer-encoding: chunked", "0\r\n\r\n");
    an_unknown_coding => framing("transfer-encoding: xchunked", "0\r\n\r\n");
    identity_coding => framing("transfer-encoding: identity", "");
    a_folded_header => framing("x-folded: a\r\n b\r\ncontent-length: 0", "");
    a_folded_coding => framing("transfer-encoding:\r\n chunked\r\ncontent-length: 0", "");
    a_space_before_the_colon => framing("content-length : 4", "body");
    a_control_character => framing("x-odd: a\0b\r\ncontent-length: 0", "");
    two_hosts => framing("host: b\r\ncontent-length: 0", "");
    no_host => refused("GET /matchdesk/items HTTP/1.1\r\nconnection: close\r\n\r\n", 400);
    a_tunnel => refused("CONNECT a:443 HTTP/1.1\r\nhost: a:443\r\nconnection: close\r\n\r\n", 400);
    an_upgrade => refused(
        "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: upgrade, close\r\n\
         upgrade: websocket\r\n\r\n", 400);
    a_length_above_the_limit => refused(
        "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         content-length: 99999999999\r\n\r\n", 413);
    many_headers => refused(&with_headers(70), 413);
    very_many_headers => refused(&with_headers(200), 431);
    a_huge_head => refused(&with_long_header(64 * 1024), 431);
    a_bad_chunk_reaches_no_second_request => bad_chunk();
    a_slow_head_is_cut_off => slow_head();
    a_slow_small_body_is_refused => slow_small_body();
    a_slow_streamed_body_is_unknown => slow_streamed_body();
    a_streamed_body_above_the_limit_is_unknown => long_streamed_body();
    a_caller_that_reads_nothing_is_cut_off => reads_nothing();
    a_cut_streamed_body_is_not_taken_for_whole => cut_streamed_body();
}

/// The chunks alone count, and the connection ends with the answer: what follows
/// is never taken for a request.
fn chunks_win(lines: &str) {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    let answer = entry.ask(smuggled(lines, "0\r\n\r\n"));
    assert_eq!(answer.text.matches("HTTP/1.1 ").count(), 1, "{}", answer.text);
    assert_eq!(target.count(), 1);
    assert!(!target.request(0).contains("content-length"), "{}", target.request(0));
    assert!(!target.request(0).contains("smuggled"), "{}", target.request(0));
}

fn with_headers(count: usize) -> String {
    let lines: String = (0..count).map(|n| format!("x-{n}: 1\r\n")).collect();
    format!("GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{lines}\r\n")
}

fn with_long_header(bytes: usize) -> String {
    let value = "v".repeat(bytes);
    format!("GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx: {value}\r\n\r\n")
}

fn impatient() -> Setup {
    let setup = Setup::default();
    Setup {
        limits: CallerLimits {
            body_idle_timeout: Duration::from_millis(100),
            body_bytes: 1000,
            ..setup.limits
        },
        listening: Limits {
            head_timeout: Duration::from_millis(100),
            write_stall: Duration::from_millis(300),
            ..setup.listening
        },
        ..setup
    }
}

const CHUNKED_HEAD: &str = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\ncut-me: 1\r\n\
                            transfer-encoding: chunked\r\n\r\n";

/// The target has the head and closes when the entry host does.
fn holding() -> Target {
    Target::start(|_, _| crate::support::Next::Hold)
}

fn bad_chunk() {
    let target = holding();
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(format!("{CHUNKED_HEAD}4\r\nbody\r\n").as_bytes()).unwrap();
    wait_for("the head", || target.count() == 1);
    caller.write_all(b"zz\r\nGET /matchdesk/smuggled HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let answer = read_answer(&mut caller);
    assert_eq!((answer.status(), answer.outcome()), (502, "unknown"), "{}", answer.text);
    assert_eq!(answer.text.matches("HTTP/1.1 ").count(), 1, "{}", answer.text);
    assert_eq!(target.count(), 1);
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
}

fn slow_head() {
    let target = Target::start(OK);
    let entry = Entry::start(impatient(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(b"GET /matchdesk/items HTTP/1.1\r\nhost: a").unwrap();
    // The connection ends although the caller keeps it open.
    let answer = read_answer(&mut caller);
    assert!(matches!(answer.status(), 0 | 408), "{}", answer.text);
    assert_eq!(target.count(), 0);
}

fn slow_small_body() {
    let target = Target::start(OK);
    let entry = Entry::start(impatient(), &[&target]);
    let answer =
        entry.ask("POST /matchdesk/items HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf");
    assert_eq!((answer.status(), answer.outcome()), (400, "not-run"), "{}", answer.text);
    assert_eq!(target.count(), 0);
}

fn slow_streamed_body() {
    let target = holding();
    let entry = Entry::start(impatient(), &[&target]);
    let answer = entry.ask(format!("{CHUNKED_HEAD}4\r\nhalf\r\n"));
    assert_eq!((answer.status(), answer.outcome()), (502, "unknown"), "{}", answer.text);
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
}

fn long_streamed_body() {
    let target = holding();
    let entry = Entry::start(impatient(), &[&target]);
    let long = "l".repeat(2000);
    let mut caller = entry.connect();
    caller.write_all(CHUNKED_HEAD.as_bytes()).unwrap();
    wait_for("the head", || target.count() == 1);
    caller.write_all(format!("7d0\r\n{long}\r\n0\r\n\r\n").as_bytes()).unwrap();
    let answer = read_answer(&mut caller);
    assert_eq!((answer.status(), answer.outcome()), (502, "unknown"), "{}", answer.text);
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
}

/// More than the sockets' buffers hold, so that the answer stalls.
const STALLING: usize = 64 * 1024 * 1024;

fn reads_nothing() {
    let target = Target::start(|stream, _| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {STALLING}\r\n\r\n").unwrap();
        // Fails once the entry host closes the connection.
        assert!(stream.write_all(&vec![b'x'; STALLING]).is_err());
        crate::support::Next::Close
    });
    let entry = Entry::start(impatient(), &[&target]);
    let mut caller = entry.connect();
    let get = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\n\r\n";
    caller.write_all(get.as_bytes()).unwrap();
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
    assert!(read_answer(&mut caller).body().len() < STALLING);
}

/// The caller's connection breaks off in the middle: the target must not see
/// the end of a body.
fn cut_streamed_body() {
    let target = Target::start(|stream, _| {
        let mut rest = Vec::new();
        let _ = std::io::Read::read_to_end(stream, &mut rest);
        assert!(!rest.ends_with(b"0\r\n\r\n"));
        crate::support::Next::Close
    });
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(format!("{CHUNKED_HEAD}4\r\nhalf\r\n").as_bytes()).unwrap();
    wait_for("the head", || target.count() == 1);
    drop(caller);
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
}
