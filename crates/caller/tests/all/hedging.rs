//! Hedging: second attempts for requests that take longer than most.

use crate::{
    cases, respond_with,
    support::{Entry, Next, Setup, Target, wait_for},
};

const GET: &str = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const POST: &str = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
    content-length: 0\r\ncyclamenloft-deadline-ms: 500\r\n\r\n";

cases! {
    a_get_that_hangs_is_answered_by_a_second_target => idempotent_request();
    a_post_is_never_hedged => non_idempotent_request();
}

/// Starts a target that responds to its first 99 requests and holds every later one.
/// The entry host learns the usual latency from the first requests.
fn start_hanging() -> Target {
    Target::start(|stream, number| {
        if number >= 100 {
            return Next::Hold;
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell";
        std::io::Write::write_all(stream, response).unwrap();
        Next::Read
    })
}

fn start_healthy() -> Target {
    Target::start(respond_with!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell"))
}

fn idempotent_request() {
    let (hanging, healthy) = (start_hanging(), start_healthy());
    let entry = Entry::start(Setup { hedging: true, ..Setup::default() }, &[&hanging, &healthy]);
    let mut sent = 0;
    // Sends requests until one has reached the target that no longer responds. The other
    // target must respond to each such request.
    while hanging.count() <= 100 {
        let response = entry.send(GET);
        assert_eq!(response.status(), 200, "{}", response.text);
        sent += 1;
        assert!(sent < 1000, "no request reached the hanging target");
    }
    wait_for("the connection of the losing attempt to close", || {
        hanging.seen.lock().unwrap().closed > 0
    });
}

fn non_idempotent_request() {
    let (hanging, healthy) = (start_hanging(), start_healthy());
    let entry = Entry::start(Setup { hedging: true, ..Setup::default() }, &[&hanging, &healthy]);
    let mut sent = 0;
    while hanging.count() <= 100 {
        let response = entry.send(POST);
        sent += 1;
        if hanging.count() > 100 {
            assert_eq!(
                (response.status(), response.outcome()),
                (504, "unknown"),
                "{}",
                response.text
            );
        }
        assert!(sent < 1000, "no request reached the hanging target");
    }
    assert_eq!(hanging.count() + healthy.count(), sent);
}
