//! What a caller is told of a request that got no answer, and how often the
//! request ran.

use crate::{
    answers, cases,
    support::{Entry, Next, Script, Setup, Target, read_answer, wait_for},
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

const GOOD: Script = answers!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell");

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

/// Expected: status, error code, outcome, requests that the target read.
type Expected = (u16, &'static str, &'static str, usize);

fn alone(script: Script, raw: &str, expected: Expected) {
    let target = Target::start(script);
    let entry = Entry::start(Setup::default(), &[&target]);
    let answer = entry.ask(raw);
    assert!(answer.clean, "{}", answer.text);
    let found = (answer.status(), answer.error(), answer.outcome(), target.count());
    assert_eq!(found, expected, "{}", answer.text);
}

/// The first target fails by `script`; the second would answer.
fn with_second(script: Script, raw: &str, expected: (u16, &str), runs: [usize; 2]) {
    let (first, second) = (Target::start(script), Target::start(GOOD));
    let entry = Entry::start(Setup::default(), &[&first, &second]);
    let answer = entry.ask(raw);
    let found = (answer.status(), answer.outcome());
    assert_eq!(found, expected, "{}", answer.text);
    assert_eq!([first.count(), second.count()], runs);
}

cases! {
    a_whole_answer_is_passed_on => alone(GOOD, POST, (200, "-", "-", 1));
    a_target_that_closes_after_a_post => alone(close, POST, (502, "target-failed", "unknown", 1));
    a_target_that_answers_garbage => alone(garbage, POST, (502, "target-failed", "unknown", 1));
    a_target_that_answers_half_a_head => alone(half_head, POST, (502, "target-failed", "unknown", 1));
    a_target_that_never_answers => alone(hold, SHORT_GET, (504, "target-timeout", "unknown", 1));
    a_post_is_not_sent_twice => with_second(close, POST, (502, "unknown"), [1, 0]);
    a_get_is_sent_to_another_target => with_second(close, GET, (200, "-"), [1, 1]);
    a_marked_post_is_sent_to_another_target => with_second(close, MARKED_POST, (200, "-"), [1, 1]);
    a_streamed_post_is_sent_once => with_second(close, CHUNKED_POST, (502, "unknown"), [1, 0]);
    a_get_after_garbage_is_sent_to_another_target => with_second(garbage, GET, (200, "-"), [1, 1]);
    unreachable_targets_did_not_run => unreachable();
    a_post_goes_past_an_unreachable_target => past_unreachable();
    a_deadline_in_the_queue_did_not_run => queued_deadline();
    a_timed_out_request_closes_its_connection => timeout_closes();
    a_caller_that_leaves_closes_the_connection => caller_leaves();
    a_caller_that_leaves_the_queue_frees_its_place => caller_leaves_queue();
    a_lost_attempt_is_told_whatever_ends_the_next => lost_then_refused();
    an_idle_connection_closed_by_the_target_is_replaced => idle_closed();
}

fn unreachable() {
    let target = Target::unreachable();
    let entry = Entry::start(Setup::default(), &[&target]);
    let answer = entry.ask(POST);
    assert_eq!((answer.status(), answer.outcome()), (503, "not-run"), "{}", answer.text);
    assert!(entry.connections.totals().failed >= 1);
}

fn past_unreachable() {
    let (first, second) = (Target::unreachable(), Target::start(GOOD));
    // Each success pays for one retry.
    let policy = ServicePolicy { retry_percent: 100, ..Setup::default().policy };
    let entry = Entry::start(Setup { policy, ..Setup::default() }, &[&first, &second]);
    for _ in 0..4 {
        let answer = entry.ask(POST);
        assert_eq!(answer.status(), 200, "{}", answer.text);
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
    wait_for("the first request", || target.count() == 1);
    let answer = entry.ask(SHORT_GET);
    let found = (answer.status(), answer.error(), answer.outcome());
    assert_eq!(found, (504, "deadline-passed", "not-run"), "{}", answer.text);
    assert_eq!(target.count(), 1);
}

fn timeout_closes() {
    let target = Target::start(hold);
    let entry = Entry::start(Setup::default(), &[&target]);
    assert_eq!(entry.ask(SHORT_GET).status(), 504);
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
    wait_for("the count to follow", || entry.connections.open(target.addr) == 0);
}

fn caller_leaves() {
    let target = Target::start(hold);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(POST.as_bytes()).unwrap();
    wait_for("the request", || target.count() == 1);
    drop(caller);
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
}

fn caller_leaves_queue() {
    let target = Target::start(|stream, number| {
        // The first request is answered once the second has left the queue.
        if number == 1 {
            std::thread::sleep(Duration::from_millis(300));
        }
        GOOD(stream, number)
    });
    let entry = Entry::start(one_slot(), &[&target]);
    let mut first = entry.connect();
    first.write_all(GET.as_bytes()).unwrap();
    wait_for("the first request", || target.count() == 1);
    let mut second = entry.connect();
    second.write_all(POST.as_bytes()).unwrap();
    second.shutdown(Shutdown::Both).unwrap();
    assert_eq!(read_answer(&mut first).status(), 200);
    // The slot is free for the next.
    assert_eq!(entry.ask(GET).status(), 200);
    assert_eq!(target.count(), 2);
}

/// The first attempt may have run; the only other target can't be reached.
fn lost_then_refused() {
    let (first, second) = (Target::start(close), Target::unreachable());
    let entry = Entry::start(Setup::default(), &[&first, &second]);
    let answer = entry.ask(SHORT_GET);
    assert_eq!((answer.status(), answer.outcome()), (502, "unknown"), "{}", answer.text);
}

fn idle_closed() {
    let target = Target::start(|stream, number| {
        GOOD(stream, number);
        Next::Close
    });
    let entry = Entry::start(Setup::default(), &[&target]);
    for number in 1..=5 {
        assert_eq!(entry.ask(POST).status(), 200);
        wait_for("the close", || target.seen.lock().unwrap().closed == number);
        wait_for("the close to be heard", || entry.connections.open(target.addr) == 0);
    }
}
