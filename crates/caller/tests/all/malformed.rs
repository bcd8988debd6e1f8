//! Requests whose framing is ambiguous or that are too large, too slow or unsupported.
//!
//! The tests guard against request smuggling, where the entry host and a target
//! disagree on where a request ends, and against callers that hold a slot for long.

use crate::{
    cases, respond_with,
    support::{Entry, Script, Setup, Target, read_response, wait_for},
};
use cyclamenloft_caller::CallerLimits;
use cyclamenloft_http::Limits;
use std::{io::Write, time::Duration};

const OK: Script = respond_with!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell");

/// Builds a request with these header lines. It is followed by a second request,
/// which a server that misreads the framing would serve.
fn smuggled(lines: &str, body: &str) -> String {
    format!(
        "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\n{lines}\r\n\r\n{body}\
         GET /matchdesk/smuggled HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    )
}

/// Checks that the request is refused, that the connection ends and that nothing
/// reaches the target.
fn check_refused(raw: &str, status: u16) {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    let response = entry.send(raw);
    assert_eq!(response.status(), status, "{}", response.text);
    assert_eq!(response.text.matches("HTTP/1.1 ").count(), 1, "{}", response.text);
    assert_eq!(target.count(), 0, "{}", target.request(0));
}

fn check_framing(lines: &str, body: &str) {
    check_refused(&smuggled(lines, body), 400);
}

cases! {
    content_length_before_chunked_is_ignored => chunked_wins("content-length: 4\r\ntransfer-encoding: chunked");
    content_length_after_chunked_is_ignored => chunked_wins("transfer-encoding: chunked\r\ncontent-length: 4");
    two_content_lengths_are_refused => check_framing("content-length: 4\r\ncontent-length: 5", "body");
    a_list_of_content_lengths_is_refused => check_framing("content-length: 4, 5", "body");
    a_signed_content_length_is_refused => check_framing("content-length: +4", "body");
    a_negative_content_length_is_refused => check_framing("content-length: -4", "body");
    a_coding_before_chunked_is_refused => check_framing("transfer-encoding: gzip, chunked", "0\r\n\r\n");
    chunked_twice_is_refused => check_framing("transfer-encoding: chunked\r\ntransfer-encoding: chunked", "0\r\n\r\n");
    an_unknown_coding_is_refused => check_framing("transfer-encoding: xchunked", "0\r\n\r\n");
    identity_coding_is_refused => check_framing("transfer-encoding: identity", "");
    a_folded_header_is_refused => check_framing("x-folded: a\r\n b\r\ncontent-length: 0", "");
    a_folded_transfer_encoding_is_refused => check_framing("transfer-encoding:\r\n chunked\r\ncontent-length: 0", "");
    a_space_before_the_colon_is_refused => check_framing("content-length : 4", "body");
    a_control_character_is_refused => check_framing("x-odd: a\0b\r\ncontent-length: 0", "");
    two_hosts_are_refused => check_framing("host: b\r\ncontent-length: 0", "");
    a_missing_host_is_refused => check_refused("GET /matchdesk/items HTTP/1.1\r\nconnection: close\r\n\r\n", 400);
    connect_is_refused => check_refused("CONNECT a:443 HTTP/1.1\r\nhost: a:443\r\nconnection: close\r\n\r\n", 400);
    an_upgrade_is_refused => check_refused(
        "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: upgrade, close\r\n\
         upgrade: websocket\r\n\r\n", 400);
    a_content_length_above_the_limit_is_refused => check_refused(
        "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         content-length: 99999999999\r\n\r\n", 413);
    headers_above_the_limit_are_refused => check_refused(&with_headers(70), 413);
    headers_above_the_limit_of_hyper_are_refused => check_refused(&with_headers(200), 431);
    a_head_above_the_limit_is_refused => check_refused(&with_long_header(64 * 1024), 431);
    bytes_after_an_invalid_chunk_are_not_a_request => invalid_chunk();
    a_slow_head_is_disconnected => slow_head();
    a_slow_small_body_is_refused => slow_small_body();
    a_slow_streamed_body_has_unknown_outcome => slow_streamed_body();
    a_streamed_body_above_the_limit_has_unknown_outcome => long_streamed_body();
    a_caller_that_reads_nothing_is_disconnected => stalled_reader();
    a_streamed_body_cut_short_is_not_ended_at_the_target => truncated_streamed_body();
}

/// Checks that the chunked coding overrides the content length and that the connection
/// ends with the response, so that the bytes after the body are not read as a request.
fn chunked_wins(lines: &str) {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    let response = entry.send(smuggled(lines, "0\r\n\r\n"));
    assert_eq!(response.text.matches("HTTP/1.1 ").count(), 1, "{}", response.text);
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

fn short_timeouts() -> Setup {
    let setup = Setup::default();
    Setup {
        limits: CallerLimits {
            body_idle_timeout: Duration::from_millis(100),
            body_bytes: 1000,
            ..setup.limits
        },
        server_limits: Limits {
            head_timeout: Duration::from_millis(100),
            write_stall: Duration::from_millis(300),
            ..setup.server_limits
        },
        ..setup
    }
}

const CHUNKED_HEAD: &str = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\ncut-me: 1\r\n\
                            transfer-encoding: chunked\r\n\r\n";

/// Starts a target that reads the request head and then waits until the entry host
/// closes the connection.
fn start_holding() -> Target {
    Target::start(|_, _| crate::support::Next::Hold)
}

fn invalid_chunk() {
    let target = start_holding();
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(format!("{CHUNKED_HEAD}4\r\nbody\r\n").as_bytes()).unwrap();
    wait_for("the head to reach the target", || target.count() == 1);
    caller.write_all(b"zz\r\nGET /matchdesk/smuggled HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let response = read_response(&mut caller);
    assert_eq!((response.status(), response.outcome()), (502, "unknown"), "{}", response.text);
    assert_eq!(response.text.matches("HTTP/1.1 ").count(), 1, "{}", response.text);
    assert_eq!(target.count(), 1);
    wait_for("the connection to the target to close", || target.seen.lock().unwrap().closed == 1);
}

fn slow_head() {
    let target = Target::start(OK);
    let entry = Entry::start(short_timeouts(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(b"GET /matchdesk/items HTTP/1.1\r\nhost: a").unwrap();
    // The connection ends although the caller keeps it open.
    let response = read_response(&mut caller);
    assert!(matches!(response.status(), 0 | 408), "{}", response.text);
    assert_eq!(target.count(), 0);
}

fn slow_small_body() {
    let target = Target::start(OK);
    let entry = Entry::start(short_timeouts(), &[&target]);
    let response =
        entry.send("POST /matchdesk/items HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf");
    assert_eq!((response.status(), response.outcome()), (400, "not-run"), "{}", response.text);
    assert_eq!(target.count(), 0);
}

fn slow_streamed_body() {
    let target = start_holding();
    let entry = Entry::start(short_timeouts(), &[&target]);
    let response = entry.send(format!("{CHUNKED_HEAD}4\r\nhalf\r\n"));
    assert_eq!((response.status(), response.outcome()), (502, "unknown"), "{}", response.text);
    wait_for("the connection to the target to close", || target.seen.lock().unwrap().closed == 1);
}

fn long_streamed_body() {
    let target = start_holding();
    let entry = Entry::start(short_timeouts(), &[&target]);
    let long = "l".repeat(2000);
    let mut caller = entry.connect();
    caller.write_all(CHUNKED_HEAD.as_bytes()).unwrap();
    wait_for("the head to reach the target", || target.count() == 1);
    caller.write_all(format!("7d0\r\n{long}\r\n0\r\n\r\n").as_bytes()).unwrap();
    let response = read_response(&mut caller);
    assert_eq!((response.status(), response.outcome()), (502, "unknown"), "{}", response.text);
    wait_for("the connection to the target to close", || target.seen.lock().unwrap().closed == 1);
}

/// Bytes of a response that is too large for the socket buffers, so that it stalls if
/// the caller reads nothing.
const STALLING_BYTES: usize = 64 * 1024 * 1024;

fn stalled_reader() {
    let target = Target::start(|stream, _| {
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {STALLING_BYTES}\r\n\r\n").unwrap();
        // The write fails when the entry host closes the connection.
        assert!(stream.write_all(&vec![b'x'; STALLING_BYTES]).is_err());
        crate::support::Next::Close
    });
    let entry = Entry::start(short_timeouts(), &[&target]);
    let mut caller = entry.connect();
    let get = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\n\r\n";
    caller.write_all(get.as_bytes()).unwrap();
    wait_for("the connection to the target to close", || target.seen.lock().unwrap().closed == 1);
    assert!(read_response(&mut caller).body().len() < STALLING_BYTES);
}

/// The connection of the caller breaks in the middle of a chunked body. The target
/// must not see the last chunk, or it would take the body for complete.
fn truncated_streamed_body() {
    let target = Target::start(|stream, _| {
        let mut rest = Vec::new();
        let _ = std::io::Read::read_to_end(stream, &mut rest);
        assert!(!rest.ends_with(b"0\r\n\r\n"));
        crate::support::Next::Close
    });
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(format!("{CHUNKED_HEAD}4\r\nhalf\r\n").as_bytes()).unwrap();
    wait_for("the head to reach the target", || target.count() == 1);
    drop(caller);
    wait_for("the connection to the target to close", || target.seen.lock().unwrap().closed == 1);
}
