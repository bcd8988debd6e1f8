//! The outcome that a caller is told of a failed request, and how often the request
//! ran.
//!
//! The tests guard against a request reported as `not-run` although a target may
//! have run it, and against a second run of a request that may run only once.

use crate::{
    cases, respond_with,
    support::{Entry, Next, Script, Setup, Target, read_response, wait_for},
};
use cyclamenloft_routing::ServicePolicy;
use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    time::Duration,
};

const GET: &str = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const POST: &str = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                    content-length: 4\r\n\r\nbody";
const MARKED_POST: &str = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                           cyclamenloft-idempotent: true\r\ncontent-length: 4\r\n\r\nbody";
const CHUNKED_POST: &str = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                            cyclamenloft-idempotent: true\r\n\
                            transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
const SHORT_GET: &str = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                         cyclamenloft-deadline-ms: 200\r\n\r\n";

const OK: Script = respond_with!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell");

fn close(_: &mut TcpStream, _: usize) -> Next {
    Next::Close
}

fn hold(_: &mut TcpStream, _: usize) -> Next {
    Next::Hold
}

fn garbage(stream: &mut TcpStream, _: usize) -> Next {
    stream.write_all(b"\x00\x01garbage\r\n\r\n").unwrap();
    Next::Close
}

fn half_head(stream: &mut TcpStream, _: usize) -> Next {
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").unwrap();
    Next::Close
}

/// Expected status, error code, outcome and number of requests that the target read.
type Expected = (u16, &'static str, &'static str, usize);

fn check_one_target(script: Script, raw: &str, expected: Expected) {
    let target = Target::start(script);
    let entry = Entry::start(Setup::default(), &[&target]);
    let response = entry.send(raw);
    assert!(response.clean, "{}", response.text);
    let found = (response.status(), response.error(), response.outcome(), target.count());
    assert_eq!(found, expected, "{}", response.text);
}

/// The first target fails as `script` defines; the second responds if it gets the
/// request.
fn check_two_targets(script: Script, raw: &str, expected: (u16, &str), runs: [usize; 2]) {
    let (first, second) = (Target::start(script), Target::start(OK));
    let entry = Entry::start(Setup::default(), &[&first, &second]);
    let response = entry.send(raw);
    let found = (response.status(), response.outcome());
    assert_eq!(found, expected, "{}", response.text);
    assert_eq!([first.count(), second.count()], runs);
}

cases! {
    a_complete_response_is_passed_on => check_one_target(OK, POST, (200, "-", "-", 1));
    a_post_to_a_target_that_closes_has_unknown_outcome => check_one_target(close, POST, (502, "target-failed", "unknown", 1));
    a_post_answered_with_garbage_has_unknown_outcome => check_one_target(garbage, POST, (502, "target-failed", "unknown", 1));
    a_post_answered_with_half_a_head_has_unknown_outcome => check_one_target(half_head, POST, (502, "target-failed", "unknown", 1));
    a_get_that_times_out_has_unknown_outcome => check_one_target(hold, SHORT_GET, (504, "target-timeout", "unknown", 1));
    a_post_is_not_sent_twice => check_two_targets(close, POST, (502, "unknown"), [1, 0]);
    a_get_is_sent_to_another_target => check_two_targets(close, GET, (200, "-"), [1, 1]);
    an_idempotent_post_is_sent_to_another_target => check_two_targets(close, MARKED_POST, (200, "-"), [1, 1]);
    a_streamed_post_is_sent_once => check_two_targets(close, CHUNKED_POST, (502, "unknown"), [1, 0]);
    a_get_after_garbage_is_sent_to_another_target => check_two_targets(garbage, GET, (200, "-"), [1, 1]);
    a_post_to_an_unreachable_target_is_not_run => unreachable();
    a_post_is_sent_past_an_unreachable_target => past_unreachable();
    a_request_whose_deadline_passes_in_the_queue_is_not_run => queued_deadline();
    a_timed_out_request_closes_its_connection => timeout_closes();
    a_caller_that_disconnects_closes_the_target_connection => caller_disconnects();
    a_queued_request_is_removed_when_its_caller_disconnects => queued_caller_disconnects();
    an_unknown_outcome_is_reported_even_if_the_retry_is_refused => lost_then_refused();
    a_retry_sends_the_same_request => same_request();
    an_idle_connection_closed_by_the_target_is_replaced => idle_closed();
}

fn unreachable() {
    let target = Target::unreachable();
    let entry = Entry::start(Setup::default(), &[&target]);
    let response = entry.send(POST);
    assert_eq!((response.status(), response.outcome()), (503, "not-run"), "{}", response.text);
    assert!(entry.connections.totals().failed >= 1);
}

fn past_unreachable() {
    let (first, second) = (Target::unreachable(), Target::start(OK));
    // A retry budget of 100 percent: each success allows one retry.
    let policy = ServicePolicy { retry_percent: 100, ..Setup::default().policy };
    let entry = Entry::start(Setup { policy, ..Setup::default() }, &[&first, &second]);
    for _ in 0..4 {
        let response = entry.send(POST);
        assert_eq!(response.status(), 200, "{}", response.text);
    }
    assert_eq!(second.count(), 4);
}

fn one_slot() -> Setup {
    let setup = Setup::default();
    let policy = ServicePolicy { slots: 1, ..setup.policy.clone() };
    Setup { policy, ..setup }
}

fn queued_deadline() {
    let target = Target::start(hold);
    let entry = Entry::start(one_slot(), &[&target]);
    let mut first = entry.connect();
    first.write_all(GET.as_bytes()).unwrap();
    wait_for("the first request to reach the target", || target.count() == 1);
    let response = entry.send(SHORT_GET);
    let found = (response.status(), response.error(), response.outcome());
    assert_eq!(found, (504, "deadline-passed", "not-run"), "{}", response.text);
    assert_eq!(target.count(), 1);
}

fn timeout_closes() {
    let target = Target::start(hold);
    let entry = Entry::start(Setup::default(), &[&target]);
    assert_eq!(entry.send(SHORT_GET).status(), 504);
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
    wait_for("the count of open connections to drop", || entry.connections.open(target.addr) == 0);
}

fn caller_disconnects() {
    let target = Target::start(hold);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(POST.as_bytes()).unwrap();
    wait_for("the request to reach the target", || target.count() == 1);
    drop(caller);
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
}

fn queued_caller_disconnects() {
    let target = Target::start(|stream, number| {
        // Holds the only slot for 300 ms, so that the entry host notices the disconnect
        // of the second caller while the second request still waits in the queue.
        if number == 1 {
            std::thread::sleep(Duration::from_millis(300));
        }
        OK(stream, number)
    });
    let entry = Entry::start(one_slot(), &[&target]);
    let mut first = entry.connect();
    first.write_all(GET.as_bytes()).unwrap();
    wait_for("the first request to reach the target", || target.count() == 1);
    let mut second = entry.connect();
    second.write_all(POST.as_bytes()).unwrap();
    second.shutdown(Shutdown::Both).unwrap();
    assert_eq!(read_response(&mut first).status(), 200);
    // The disconnected caller holds no slot, so the next request can run.
    assert_eq!(entry.send(GET).status(), 200);
    assert_eq!(target.count(), 2);
}

/// The first attempt may have run, and the only other target can't be reached. The
/// final refusal must not hide that the first attempt may have run.
fn lost_then_refused() {
    let (first, second) = (Target::start(close), Target::unreachable());
    let entry = Entry::start(Setup::default(), &[&first, &second]);
    let response = entry.send(SHORT_GET);
    assert_eq!((response.status(), response.outcome()), (502, "unknown"), "{}", response.text);
}

fn idle_closed() {
    let target = Target::start(|stream, number| {
        OK(stream, number);
        Next::Close
    });
    let entry = Entry::start(Setup::default(), &[&target]);
    for number in 1..=5 {
        assert_eq!(entry.send(POST).status(), 200);
        wait_for("the target to see the close", || target.seen.lock().unwrap().closed == number);
        wait_for("the entry host to see the close", || entry.connections.open(target.addr) == 0);
    }
}

/// Guards against headers that are lost or merged on a retry: the second target must get
/// the same request as the first, except for the header with the time until the deadline.
fn same_request() {
    let (first, second) = (Target::start(close), Target::start(OK));
    let entry = Entry::start(Setup::default(), &[&first, &second]);
    let raw =
        MARKED_POST.replacen("host: a", "host: a\r\nx-two: 1\r\nx-two: 2\r\nx-odd: \u{e9}", 1);
    assert_eq!(entry.send(raw).status(), 200);
    let lines = |target: &Target| {
        let text = target.request(0);
        let kept = text.lines().filter(|line| !line.starts_with("cyclamenloft-deadline-ms"));
        let mut lines: Vec<String> = kept.map(str::to_owned).collect();
        lines.sort();
        lines
    };
    assert_eq!(lines(&first), lines(&second));
    assert!(lines(&first).len() > 8);
    let request = second.request(0);
    assert!(request.contains("x-two: 1\r\nx-two: 2\r\n"), "{request}");
}
