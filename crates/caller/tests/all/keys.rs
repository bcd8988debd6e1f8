//! Requests with idempotency keys, sent again over real sockets.

use crate::{
    answers, cases,
    support::{Entry, Next, Script, Setup, Target, read_answer, wait_for},
};
use cyclamenloft_caller::idempotency::{
    BeginDecision, KeyId, KeyRequest, KeyResponse, StoredResponse, keys::owner,
};
use cyclamenloft_types::HostId;
use futures_util::StreamExt;
use http::{HeaderMap, StatusCode};
use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    time::Duration,
};

const OK: Script = answers!("HTTP/1.1 201 Created\r\nx-order: 7\r\ncontent-length: 4\r\n\r\nwell");

fn post(key: &str, resend: bool, body: &str) -> String {
    format!(
        "POST /matchdesk/orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         idempotency-key: {key}\r\ncyclamenloft-resend: {resend}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn cut(stream: &mut TcpStream, _: usize) -> Next {
    stream.write_all(b"HTTP/1.1 201 Created\r\ncontent-length: 400\r\n\r\nhalf").unwrap();
    Next::Close
}

fn long(stream: &mut TcpStream, _: usize) -> Next {
    stream.write_all(b"HTTP/1.1 201 Created\r\ncontent-length: 100000\r\n\r\n").unwrap();
    stream.write_all(&[b'x'; 100_000]).unwrap();
    Next::Read
}

cases! {
    a_resend_gets_the_same_answer => same_answer();
    a_resend_after_the_caller_left_gets_the_answer => caller_left();
    a_resend_while_it_runs_is_in_progress => in_progress();
    a_key_is_not_taken_for_another_request => conflict();
    a_cut_answer_is_never_run_again => lost(cut, 502);
    an_answer_too_long_to_keep_is_never_run_again => lost(long, 201);
    an_unknown_key_after_a_start_is_not_run => restarted();
    a_request_that_did_not_run_may_be_sent_again => not_run();
    another_owner_decides => other_owner();
    an_owner_out_of_reach_runs_nothing => owner_unreachable();
}

fn same_answer() {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    let first = entry.ask(post("k", false, "body"));
    assert_eq!((first.status(), first.body()), (201, "well"), "{}", first.text);
    for _ in 0..3 {
        let again = entry.ask(post("k", true, "body"));
        let found = (again.status(), again.body(), again.header("x-order"));
        assert_eq!(found, (201, "well", Some("7")), "{}", again.text);
        assert_eq!(again.header("cyclamenloft-replayed"), Some("true"));
    }
    assert_eq!(target.count(), 1);
}

fn slow_ok(stream: &mut TcpStream, number: usize) -> Next {
    std::thread::sleep(Duration::from_millis(300));
    OK(stream, number)
}

fn caller_left() {
    let target = Target::start(slow_ok);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(post("k", false, "body").as_bytes()).unwrap();
    wait_for("the request", || target.count() == 1);
    caller.shutdown(Shutdown::Both).unwrap();
    wait_for("the answer to be remembered", || entry.ask(post("k", true, "body")).status() == 201);
    assert_eq!(target.count(), 1);
}

fn in_progress() {
    let target = Target::start(|_, _| Next::Hold);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(post("k", false, "body").as_bytes()).unwrap();
    wait_for("the request", || target.count() == 1);
    let again = entry.ask(post("k", true, "body"));
    let found = (again.status(), again.error(), again.outcome());
    assert_eq!(found, (409, "in-progress", "unknown"), "{}", again.text);
    assert_eq!(target.count(), 1);
}

fn conflict() {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    assert_eq!(entry.ask(post("k", false, "body")).status(), 201);
    let other = entry.ask(post("k", true, "another body"));
    assert_eq!((other.status(), other.error()), (409, "conflict"), "{}", other.text);
    assert_eq!(target.count(), 1);
}

fn lost(script: Script, status: u16) {
    let target = Target::start(script);
    let entry = Entry::start(Setup::default(), &[&target]);
    let first = entry.ask(post("k", false, "body"));
    assert_eq!(first.status(), status, "{}", first.text);
    let length: usize = first.header("content-length").unwrap().parse().unwrap();
    assert_eq!(first.body().len(), length);
    let again = entry.ask(post("k", true, "body"));
    assert_eq!((again.error(), again.outcome()), ("outcome-lost", "unknown"), "{}", again.text);
    assert_eq!(target.count(), 1);
}

fn restarted() {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    let answer = entry.ask(post("k", true, "body"));
    assert_eq!((answer.error(), answer.outcome()), ("outcome-lost", "unknown"), "{}", answer.text);
    assert_eq!(target.count(), 0);
}

fn not_run() {
    let entry = Entry::start(Setup::default(), &[]);
    for resend in [false, false, true] {
        let answer = entry.ask(post("k", resend, "body"));
        let expected = if resend { "outcome-lost" } else { "no-target" };
        assert_eq!(answer.error(), expected, "{}", answer.text);
    }
}

/// A key that belongs to `entry-2`.
fn foreign_key(roster: &[HostId]) -> String {
    let id = |key: &str| KeyId { service: "matchdesk".into(), caller: "".into(), key: key.into() };
    let keys = (0..).map(|n| format!("key-{n}"));
    let owned = |key: &String| owner(&id(key), roster).is_some_and(|host| &**host == "entry-2");
    keys.take(1000).find(owned).unwrap()
}

fn other_owner() {
    let target = Target::start(OK);
    let roster: Vec<HostId> = vec!["entry-1".into(), "entry-2".into()];
    let key = foreign_key(&roster);
    let mut entry = Entry::start(Setup { roster, ..Setup::default() }, &[&target]);
    let mut calls = entry.key_calls.take().unwrap();
    let owner = std::thread::spawn(move || {
        compio::runtime::Runtime::new().unwrap().block_on(async move {
            let call = calls.next().await.unwrap();
            assert_eq!(&*call.owner, "entry-2");
            assert!(matches!(call.request, KeyRequest::Begin(_)));
            let stored = StoredResponse::new(StatusCode::ACCEPTED, &HeaderMap::new(), b"stored");
            call.reply.send(Ok(KeyResponse::Begun(BeginDecision::Done(stored)))).unwrap();
        });
    });
    let answer = entry.ask(post(&key, true, "body"));
    assert_eq!((answer.status(), answer.body()), (202, "stored"), "{}", answer.text);
    owner.join().unwrap();
    assert_eq!(target.count(), 0);
}

fn owner_unreachable() {
    let target = Target::start(OK);
    let roster: Vec<HostId> = vec!["entry-1".into(), "entry-2".into()];
    let key = foreign_key(&roster);
    let mut entry = Entry::start(Setup { roster, ..Setup::default() }, &[&target]);
    drop(entry.key_calls.take());
    let mut caller = entry.connect();
    caller.write_all(post(&key, false, "body").as_bytes()).unwrap();
    let answer = read_answer(&mut caller);
    let found = (answer.error(), answer.outcome());
    assert_eq!(found, ("peer-unreachable", "unknown"), "{}", answer.text);
    assert_eq!(target.count(), 0);
}
