//! Requests that one entry host hands to another.

use crate::{
    answers, cases,
    support::{Entry, Next, Script, Setup, TOKEN, Target, read_answer, wait_for},
};
use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
};

const OK: Script = answers!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell");
const POST: &str = "POST /matchdesk/orders?a=b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                    authorization: basic caller\r\ncyclamenloft-caller: county\r\n\
                    cyclamenloft-deadline-ms: 9000\r\ncyclamenloft-priority: urgent\r\n\
                    content-length: 4\r\n\r\nbody";

fn close(_: &mut TcpStream, _: usize) -> Next {
    Next::Close
}

fn cut(stream: &mut TcpStream, _: usize) -> Next {
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\nhalf").unwrap();
    Next::Close
}

cases! {
    a_handed_over_request_keeps_its_marks => marks();
    the_answer_comes_back_whole => whole();
    a_request_lost_at_the_other_host_is_unknown => answered(close, POST, (502, "unknown"), 1);
    an_answer_cut_at_the_other_host_is_cut => cut_answer();
    a_refusal_of_the_other_host_is_not_run => refused_there();
    an_unreachable_host_is_not_run => unreachable();
    a_wrong_token_is_not_run => wrong_token();
    a_request_takes_one_hop => one_hop();
    a_caller_can_not_use_the_headers_of_a_hop => spoofed();
    a_request_without_a_token_runs_nothing => no_token();
    a_keyed_request_runs_once_over_a_hop => keyed();
    a_hop_that_fails_does_not_run_elsewhere => lost_once();
    a_request_that_did_not_run_there_waits_here => comes_back();
}

/// Two entry hosts; only the second has a target.
fn pair(target: &Target) -> (Entry, Entry) {
    let second = Entry::start(Setup::default(), &[target]);
    (first(second.peers), second)
}

fn first(hop_to: SocketAddr) -> Entry {
    Entry::start(Setup { hop_to: Some(hop_to), ..Setup::default() }, &[])
}

fn marks() {
    let target = Target::start(OK);
    let (first, _second) = pair(&target);
    let answer = first.ask(POST);
    assert_eq!((answer.status(), answer.body()), (200, "well"), "{}", answer.text);
    let seen = target.request(0);
    let id = answer.header("cyclamenloft-request-id").unwrap();
    assert!(seen.starts_with("POST /orders?a=b HTTP/1.1\r\n"), "{seen}");
    assert!(seen.ends_with("\r\n\r\nbody"), "{seen}");
    for there in [
        &*format!("cyclamenloft-request-id: {id}\r\n"),
        "cyclamenloft-idempotent: false\r\n",
        "cyclamenloft-caller: county\r\n",
        "cyclamenloft-priority: urgent\r\n",
        "authorization: basic caller\r\n",
    ] {
        assert!(seen.contains(there), "{there}: {seen}");
    }
    let (_, left) = seen.split_once("cyclamenloft-deadline-ms: ").unwrap();
    let left: u64 = left.lines().next().unwrap().parse().unwrap();
    assert!((1..=9000).contains(&left));
    assert!(!seen.contains("cyclamenloft-hop") && !seen.contains(TOKEN), "{seen}");
}

fn whole() {
    let target = Target::start(|stream, _| {
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n").unwrap();
        stream.write_all(&[b'x'; 1_000_000]).unwrap();
        Next::Read
    });
    let (first, _second) = pair(&target);
    for _ in 0..3 {
        let answer = first.ask(POST);
        assert!(answer.clean);
        assert_eq!(answer.body().len(), 1_000_000);
    }
    assert_eq!(target.seen.lock().unwrap().connections, 1);
}

fn answered(script: Script, raw: &str, expected: (u16, &str), runs: usize) {
    let target = Target::start(script);
    let (first, _second) = pair(&target);
    let answer = first.ask(raw);
    assert_eq!((answer.status(), answer.outcome()), expected, "{}", answer.text);
    assert_eq!(target.count(), runs);
}

fn cut_answer() {
    let target = Target::start(cut);
    let (first, _second) = pair(&target);
    let answer = first.ask(POST);
    assert!(answer.body().len() < 400, "{}", answer.text);
    wait_for("the connection to close", || target.seen.lock().unwrap().closed == 1);
}

fn refused_there() {
    let second = Entry::start(Setup::default(), &[]);
    let answer = first(second.peers).ask(POST);
    let found = (answer.status(), answer.error(), answer.outcome());
    assert_eq!(found, (503, "no-target", "not-run"), "{}", answer.text);
}

fn unreachable() {
    let answer = first(Target::unreachable().addr).ask(POST);
    let found = (answer.status(), answer.error(), answer.outcome());
    assert_eq!(found, (503, "no-target", "not-run"), "{}", answer.text);
}

fn wrong_token() {
    let target = Target::start(OK);
    let second = Entry::start(Setup::default(), &[&target]);
    let token = "another-token-than-that";
    let setup = Setup { hop_to: Some(second.peers), token, ..Setup::default() };
    let answer = Entry::start(setup, &[]).ask(POST);
    assert_eq!((answer.status(), answer.outcome()), (503, "not-run"), "{}", answer.text);
    assert_eq!(target.count(), 0);
}

/// The second host would hand everything on to a third, which has a target.
fn one_hop() {
    let target = Target::start(OK);
    let third = Entry::start(Setup::default(), &[&target]);
    let second = first(third.peers);
    let answer = first(second.peers).ask(POST);
    assert_eq!((answer.status(), answer.outcome()), (503, "not-run"), "{}", answer.text);
    assert_eq!(target.count(), 0);
    // A caller of the second host itself does reach the third.
    assert_eq!(second.ask(POST).status(), 200);
}

fn spoofed() {
    let target = Target::start(OK);
    let third = Entry::start(Setup::default(), &[&target]);
    let second = first(third.peers);
    let hop = "cyclamenloft-hop: entry-9\r\ncyclamenloft-hop-caller: someone\r\n";
    let answer = second.ask(POST.replacen("content-length", &format!("{hop}content-length"), 1));
    assert_eq!(answer.status(), 200, "{}", answer.text);
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
    let answer = crate::support::read_answer(&mut peer);
    assert_eq!((answer.status(), answer.outcome()), (401, "not-run"), "{}", answer.text);
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
        let answer = first.ask(&post);
        assert_eq!((answer.status(), answer.body()), (200, "well"), "{}", answer.text);
    }
    assert_eq!(target.count(), 1);
}

/// A request that was lost over there is not sent to a target that appears here.
fn lost_once() {
    let (there, here) = (Target::start(close), Target::start(OK));
    let (first, _second) = pair(&there);
    let answer = first.ask(POST);
    assert_eq!((answer.status(), answer.outcome()), (502, "unknown"), "{}", answer.text);
    first.gate.announce(here.record(0), std::time::Instant::now());
    assert_eq!(first.ask(POST).status(), 200);
    assert_eq!([there.count(), here.count()], [1, 1]);
}

/// The other host can't be reached; a target appears here in the meantime.
fn comes_back() {
    let target = Target::start(OK);
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let first = first(silent.local_addr().unwrap());
    let mut caller = first.connect();
    caller.write_all(POST.as_bytes()).unwrap();
    // The hop has arrived: its answer says that it did not run.
    let (mut hop, _) = silent.accept().unwrap();
    first.gate.announce(target.record(0), std::time::Instant::now());
    let refusal = b"HTTP/1.1 503 Service Unavailable\r\ncyclamenloft-outcome: not-run\r\n\
                    cyclamenloft-error: draining\r\ncontent-length: 0\r\n\r\n";
    hop.write_all(refusal).unwrap();
    let answer = read_answer(&mut caller);
    assert_eq!((answer.status(), answer.body()), (200, "well"), "{}", answer.text);
    assert_eq!(target.count(), 1);
}
