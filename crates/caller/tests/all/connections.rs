//! Connections to targets: they are limited, reused, and closed when their target
//! leaves.

use crate::{
    cases, respond_with,
    support::{Entry, Next, Response, Script, Setup, Target, read_response, wait_for},
};
use cyclamenloft_routing::{ServicePolicy, TargetRecord};
use cyclamenloft_target::PoolLimits;
use std::{io::Write, net::TcpStream, time::Instant};

const GET: &str = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const GET_SOON: &str = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
    cyclamenloft-deadline-ms: 300\r\n\r\n";
const OK: Script = respond_with!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell");

cases! {
    sequential_requests_share_a_connection => sequential_requests();
    requests_above_the_connection_limit_wait_and_do_not_run => connection_limit();
    idle_connections_of_a_leaving_target_are_closed => leaving_target();
    an_idle_connection_is_closed_to_open_one_to_another_target => total_limit();
    a_failed_connect_is_counted => failed_connects();
}

fn sequential_requests() {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    for _ in 0..20 {
        assert_eq!(entry.send(GET).status(), 200);
    }
    assert_eq!(target.seen.lock().unwrap().connections, 1);
    assert_eq!(entry.connections.totals().made, 1);
}

/// The service has eight slots but only two connections. The other requests wait
/// for a slot and are refused unsent at their deadline.
fn connection_limit() {
    let target = Target::start(|_, _| Next::Hold);
    let policy = ServicePolicy { connections: 2, ..Setup::default().policy };
    let entry = Entry::start(Setup { policy, ..Setup::default() }, &[&target]);
    let start = |request: &str| {
        let mut caller = entry.connect();
        caller.write_all(request.as_bytes()).unwrap();
        caller
    };
    let _busy: Vec<TcpStream> = (0..2).map(|_| start(GET)).collect();
    wait_for("both requests to reach the target", || target.count() == 2);
    let refused: Vec<Response> =
        (0..4).map(|_| start(GET_SOON)).map(|mut caller| read_response(&mut caller)).collect();
    for response in refused {
        assert_eq!((response.status(), response.outcome()), (504, "not-run"), "{}", response.text);
    }
    let seen = target.seen.lock().unwrap();
    assert_eq!((seen.connections, seen.requests.len()), (2, 2));
}

fn leaving_target() {
    let target = Target::start(OK);
    let entry = Entry::start(Setup::default(), &[&target]);
    assert_eq!(entry.send(GET).status(), 200);
    wait_for("the connection to be counted", || entry.connections.open(target.addr) == 1);
    let leaving = TargetRecord { sequence: 2, leaving: true, ..target.record(0) };
    entry.gate.announce(leaving, Instant::now());
    wait_for("the target to see the close", || target.seen.lock().unwrap().closed == 1);
    wait_for("the count of open connections to drop", || entry.connections.open(target.addr) == 0);
}

/// The thread may have one connection in total, so each request to the other
/// target closes the idle connection.
fn total_limit() {
    let targets = [Target::start(OK), Target::start(OK)];
    let pool = PoolLimits { connections: 1, ..PoolLimits::default() };
    let entry = Entry::start(Setup { pool, ..Setup::default() }, &[&targets[0], &targets[1]]);
    for _ in 0..6 {
        assert_eq!(entry.send(GET).status(), 200);
    }
    let open: usize = targets.iter().map(|t| entry.connections.open(t.addr)).sum();
    assert!(open <= 1, "{open} connections are open");
    assert_eq!([targets[0].count(), targets[1].count()], [3, 3]);
}

fn failed_connects() {
    let target = Target::unreachable();
    let entry = Entry::start(Setup::default(), &[&target]);
    assert_eq!(entry.send(GET).outcome(), "not-run");
    let totals = entry.connections.totals();
    assert_eq!(totals.made, 0);
    assert!(totals.failed >= 1);
}
