//! Requests with idempotency keys that are sent again, over real sockets.
//!
//! The tests guard against a request that runs twice under one key: after a lost
//! response, while the first request runs, or after a restart of the key's owner.

use crate::{
    cases, respond_with,
    support::{Entry, Next, Script, Setup, Target, read_response, wait_for},
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

const OK: Script =
    respond_with!("HTTP/1.1 201 Created\r\nx-order: 7\r\ncontent-length: 4\r\n\r\nwell");

fn post(key: &str, resend: bool, body: &str) -> String {
    format!(
        "POST /matchdesk/orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         idempotency-key: {key}\r\ncyclamenloft-resend: {resend}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn truncate(stream: &mut TcpStream, _: usize) -> Next {
    stream.write_all(b"HTTP/1.1 201 Created\r\ncontent-length: 400\r\n\r\nhalf").unwrap();
    Next::Close
}

fn long_response(stream: &mut TcpStream, _: usize) -> Next {
    stream.write_all(b"HTTP/1.1 201 Created\r\ncontent-length: 100000\r\n\r\n").unwrap();
    stream.write_all(&[b'x'; 100_000]).unwrap();
    Next::Read
}

cases! {
    a_resend_gets_the_stored_response => resend();
    a_resend_after_a_disconnect_gets_the_stored_response => disconnect();
    a_resend_during_the_first_attempt_is_refused_as_in_progress => in_progress();
    a_key_used_for_a_different_request_conflicts => conflict();
    a_request_whose_response_was_cut_short_is_not_run_again => outcome_lost(truncate, 502);
    a_request_whose_response_is_too_long_to_store_is_not_run_again => outcome_lost(long_response, 201);
    a_resend_of_an_unknown_key_after_a_restart_is_not_run => restarted();
    a_request_that_did_not_run_may_be_sent_again => not_run();
    the_owner_of_the_key_decides => other_owner();
    a_request_whose_key_owner_is_unreachable_is_not_run => owner_unreachable();
}

fn resend() {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    let first = entry.send(post("k", false, "body"));
    assert_eq!((first.status(), first.body()), (201, "well"), "{}", first.text);
    for _ in 0..3 {
        let resend = entry.send(post("k", true, "body"));
        let found = (resend.status(), resend.body(), resend.header("x-order"));
        assert_eq!(found, (201, "well", Some("7")), "{}", resend.text);
        assert_eq!(resend.header("cyclamenloft-replayed"), Some("true"));
    }
    assert_eq!(target.count(), 1);
}

fn slow_ok(stream: &mut TcpStream, number: usize) -> Next {
    std::thread::sleep(Duration::from_millis(300));
    OK(stream, number)
}

fn disconnect() {
    let target = Target::start(slow_ok);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(post("k", false, "body").as_bytes()).unwrap();
    wait_for("the request to reach the target", || target.count() == 1);
    caller.shutdown(Shutdown::Both).unwrap();
    wait_for("the response to be stored", || entry.send(post("k", true, "body")).status() == 201);
    assert_eq!(target.count(), 1);
}

fn in_progress() {
    let target = Target::start(|_, _| Next::Hold);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut caller = entry.connect();
    caller.write_all(post("k", false, "body").as_bytes()).unwrap();
    wait_for("the request to reach the target", || target.count() == 1);
    let resend = entry.send(post("k", true, "body"));
    let found = (resend.status(), resend.error(), resend.outcome());
    assert_eq!(found, (409, "in-progress", "unknown"), "{}", resend.text);
    assert_eq!(target.count(), 1);
}

fn conflict() {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    assert_eq!(entry.send(post("k", false, "body")).status(), 201);
    let other = entry.send(post("k", true, "another body"));
    assert_eq!((other.status(), other.error()), (409, "conflict"), "{}", other.text);
    assert_eq!(target.count(), 1);
}

fn outcome_lost(script: Script, status: u16) {
    let target = Target::start(script);
    let entry = Entry::start(Setup::default(), &[&target]);
    let first = entry.send(post("k", false, "body"));
    assert_eq!(first.status(), status, "{}", first.text);
    let length: usize = first.header("content-length").unwrap().parse().unwrap();
    assert_eq!(first.body().len(), length);
    let resend = entry.send(post("k", true, "body"));
    assert_eq!((resend.error(), resend.outcome()), ("outcome-lost", "unknown"), "{}", resend.text);
    assert_eq!(target.count(), 1);
}

fn restarted() {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    let response = entry.send(post("k", true, "body"));
    assert_eq!(
        (response.error(), response.outcome()),
        ("outcome-lost", "unknown"),
        "{}",
        response.text
    );
    assert_eq!(target.count(), 0);
}

fn not_run() {
    let entry = Entry::start(Setup::default(), &[]);
    for resend in [false, false, true] {
        let response = entry.send(post("k", resend, "body"));
        let expected = if resend { "outcome-lost" } else { "no-target" };
        assert_eq!(response.error(), expected, "{}", response.text);
    }
}

/// Returns a key whose owner is `entry-2`.
fn key_of_entry_2(roster: &[HostId]) -> String {
    let id = |key: &str| KeyId { service: "matchdesk".into(), caller: "".into(), key: key.into() };
    let keys = (0..).map(|n| format!("key-{n}"));
    let owned = |key: &String| owner(&id(key), roster).is_some_and(|host| &**host == "entry-2");
    keys.take(1000).find(owned).unwrap()
}

fn other_owner() {
    let target = Target::start(OK);
    let roster: Vec<HostId> = vec!["entry-1".into(), "entry-2".into()];
    let key = key_of_entry_2(&roster);
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
    let response = entry.send(post(&key, true, "body"));
    assert_eq!((response.status(), response.body()), (202, "stored"), "{}", response.text);
    owner.join().unwrap();
    assert_eq!(target.count(), 0);
}

fn owner_unreachable() {
    let target = Target::start(OK);
    let roster: Vec<HostId> = vec!["entry-1".into(), "entry-2".into()];
    let key = key_of_entry_2(&roster);
    let mut entry = Entry::start(Setup { roster, ..Setup::default() }, &[&target]);
    drop(entry.key_calls.take());
    let mut caller = entry.connect();
    caller.write_all(post(&key, false, "body").as_bytes()).unwrap();
    let response = read_response(&mut caller);
    let found = (response.error(), response.outcome());
    assert_eq!(found, ("peer-unreachable", "unknown"), "{}", response.text);
    assert_eq!(target.count(), 0);
}
