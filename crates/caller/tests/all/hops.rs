//! Requests that one entry host hands to another.
//!
//! The tests guard against a request that runs twice, runs without the token of the
//! peers, or is reported as not run although the other host may have run it.

use crate::{
    cases, respond_with,
    support::{Entry, Next, Script, Setup, TOKEN, Target, read_response, wait_for},
};
use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
};

const OK: Script = respond_with!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell");
const POST: &str = "POST /matchdesk/orders?a=b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                    authorization: basic caller\r\ncyclamenloft-caller: county\r\n\
                    cyclamenloft-deadline-ms: 9000\r\ncyclamenloft-priority: urgent\r\n\
                    content-length: 4\r\n\r\nbody";

fn close(_: &mut TcpStream, _: usize) -> Next {
    Next::Close
}

fn truncate(stream: &mut TcpStream, _: usize) -> Next {
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\nhalf").unwrap();
    Next::Close
}

cases! {
    a_handed_over_request_keeps_its_attributes => attributes();
    a_large_response_is_complete_after_a_hop => large_response();
    a_request_lost_at_the_other_host_has_unknown_outcome => check_outcome(close, POST, (502, "unknown"), 1);
    a_response_cut_short_at_the_other_host_is_cut_short => truncated_response();
    a_refusal_of_the_other_host_says_not_run => refused_by_the_other_host();
    an_unreachable_host_says_not_run => unreachable();
    a_hop_with_a_wrong_token_does_not_run => wrong_token();
    a_request_makes_at_most_one_hop => one_hop();
    hop_headers_from_a_caller_are_ignored => spoofed_headers();
    a_hop_without_a_token_does_not_run => no_token();
    a_keyed_request_runs_once_over_a_hop => keyed();
    a_request_lost_at_the_other_host_is_not_retried => lost_response();
    a_request_the_other_host_did_not_run_is_queued_locally => requeued_locally();
}

/// Starts two entry hosts. Only the second has a target, so the first hands every
/// request over.
fn pair(target: &Target) -> (Entry, Entry) {
    let second = Entry::start(Setup::default(), &[target]);
    (first(second.peers), second)
}

fn first(hop_to: SocketAddr) -> Entry {
    Entry::start(Setup { hop_to: Some(hop_to), ..Setup::default() }, &[])
}

fn attributes() {
    let target = Target::start(OK);
    let (first, _second) = pair(&target);
    let response = first.send(POST);
    assert_eq!((response.status(), response.body()), (200, "well"), "{}", response.text);
    let seen = target.request(0);
    let id = response.header("cyclamenloft-request-id").unwrap();
    assert!(seen.starts_with("POST /orders?a=b HTTP/1.1\r\n"), "{seen}");
    assert!(seen.ends_with("\r\n\r\nbody"), "{seen}");
    for expected in [
        &*format!("cyclamenloft-request-id: {id}\r\n"),
        "cyclamenloft-idempotent: false\r\n",
        "cyclamenloft-caller: county\r\n",
        "cyclamenloft-priority: urgent\r\n",
        "authorization: basic caller\r\n",
    ] {
        assert!(seen.contains(expected), "{expected}: {seen}");
    }
    let (_, left) = seen.split_once("cyclamenloft-deadline-ms: ").unwrap();
    let left: u64 = left.lines().next().unwrap().parse().unwrap();
    assert!((1..=9000).contains(&left));
    assert!(!seen.contains("cyclamenloft-hop") && !seen.contains(TOKEN), "{seen}");
}

fn large_response() {
    let target = Target::start(|stream, _| {
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n").unwrap();
        stream.write_all(&[b'x'; 1_000_000]).unwrap();
        Next::Read
    });
    let (first, _second) = pair(&target);
    for _ in 0..3 {
        let response = first.send(POST);
        assert!(response.clean);
        assert_eq!(response.body().len(), 1_000_000);
    }
    assert_eq!(target.seen.lock().unwrap().connections, 1);
}

fn check_outcome(script: Script, raw: &str, expected: (u16, &str), runs: usize) {
    let target = Target::start(script);
    let (first, _second) = pair(&target);
    let response = first.send(raw);
    assert_eq!((response.status(), response.outcome()), expected, "{}", response.text);
    assert_eq!(target.count(), runs);
}

fn truncated_response() {
    let target = Target::start(truncate);
    let (first, _second) = pair(&target);
    let response = first.send(POST);
    assert!(response.body().len() < 400, "{}", response.text);
    wait_for("the connection to the target to close", || target.seen.lock().unwrap().closed == 1);
}

fn refused_by_the_other_host() {
    let second = Entry::start(Setup::default(), &[]);
    let response = first(second.peers).send(POST);
    let found = (response.status(), response.error(), response.outcome());
    assert_eq!(found, (503, "no-target", "not-run"), "{}", response.text);
}

fn unreachable() {
    let response = first(Target::unreachable().addr).send(POST);
    let found = (response.status(), response.error(), response.outcome());
    assert_eq!(found, (503, "no-target", "not-run"), "{}", response.text);
}

fn wrong_token() {
    let target = Target::start(OK);
    let second = Entry::start(Setup::default(), &[&target]);
    let token = "another-token-than-that";
    let setup = Setup { hop_to: Some(second.peers), token, ..Setup::default() };
    let response = Entry::start(setup, &[]).send(POST);
    assert_eq!((response.status(), response.outcome()), (503, "not-run"), "{}", response.text);
    assert_eq!(target.count(), 0);
}

/// The second host has no target, and its hop rule names a third host, which has one. The
/// second host must refuse the request: without the limit of one hop, requests could
/// circle between hosts.
fn one_hop() {
    let target = Target::start(OK);
    let third = Entry::start(Setup::default(), &[&target]);
    let second = first(third.peers);
    let response = first(second.peers).send(POST);
    assert_eq!((response.status(), response.outcome()), (503, "not-run"), "{}", response.text);
    assert_eq!(target.count(), 0);
    // A request that a caller sends to the second host does reach the third.
    assert_eq!(second.send(POST).status(), 200);
}

fn spoofed_headers() {
    let target = Target::start(OK);
    let third = Entry::start(Setup::default(), &[&target]);
    let second = first(third.peers);
    let hop = "cyclamenloft-hop: entry-9\r\ncyclamenloft-hop-caller: someone\r\n";
    let response = second.send(POST.replacen("content-length", &format!("{hop}content-length"), 1));
    assert_eq!(response.status(), 200, "{}", response.text);
    assert!(!target.request(0).contains("cyclamenloft-hop"));
}

fn no_token() {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    let mut peer = TcpStream::connect(entry.peers).unwrap();
    let raw = "POST /v1/hop/orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
               cyclamenloft-service: matchdesk\r\ncyclamenloft-hop: entry-2\r\n\
               cyclamenloft-hop-caller: a\r\ncyclamenloft-request-id: 1\r\n\
               content-length: 0\r\n\r\n";
    peer.write_all(raw.as_bytes()).unwrap();
    let response = crate::support::read_response(&mut peer);
    assert_eq!((response.status(), response.outcome()), (401, "not-run"), "{}", response.text);
    assert_eq!(target.count(), 0);
}

fn keyed() {
    let target = Target::start(OK);
    let (first, _second) = pair(&target);
    let post = POST.replacen(
        "content-length",
        "idempotency-key: k\r\ncyclamenloft-resend: false\r\ncontent-length",
        1,
    );
    for _ in 0..2 {
        let response = first.send(&post);
        assert_eq!((response.status(), response.body()), (200, "well"), "{}", response.text);
    }
    assert_eq!(target.count(), 1);
}

/// The response is lost at the other host, which may have run the request. The request
/// must not be sent to a local target as well.
fn lost_response() {
    let (remote, local) = (Target::start(close), Target::start(OK));
    let (first, _second) = pair(&remote);
    let response = first.send(POST);
    assert_eq!((response.status(), response.outcome()), (502, "unknown"), "{}", response.text);
    first.gate.announce(local.record(0), std::time::Instant::now());
    assert_eq!(first.send(POST).status(), 200);
    assert_eq!([remote.count(), local.count()], [1, 1]);
}

/// The other host responds that the request did not run. Meanwhile a local target has
/// announced itself; this target must get the request.
fn requeued_locally() {
    let target = Target::start(OK);
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let first = first(silent.local_addr().unwrap());
    let mut caller = first.connect();
    caller.write_all(POST.as_bytes()).unwrap();
    // The other host responds that the request did not run.
    let (mut hop, _) = silent.accept().unwrap();
    first.gate.announce(target.record(0), std::time::Instant::now());
    let refusal = b"HTTP/1.1 503 Service Unavailable\r\ncyclamenloft-outcome: not-run\r\n\
                    cyclamenloft-error: draining\r\ncontent-length: 0\r\n\r\n";
    hop.write_all(refusal).unwrap();
    let response = read_response(&mut caller);
    assert_eq!((response.status(), response.body()), (200, "well"), "{}", response.text);
    assert_eq!(target.count(), 1);
}
