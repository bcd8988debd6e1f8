//! Second attempts for requests that take longer than most.

use crate::{
    answers, cases,
    support::{Entry, Next, Setup, Target, wait_for},
};

const GET: &str = "GET /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const POST: &str = "POST /matchdesk/items HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
    content-length: 0\r\ncyclamenloft-deadline-ms: 500\r\n\r\n";

cases! {
    a_request_that_hangs_is_answered_by_another_target => hangs();
    a_request_that_may_run_once_is_never_hedged => once();
}

/// Answers its first 100 requests, and holds every later one.
fn start_hanging() -> Target {
    Target::start(|stream, number| {
        if number >= 100 {
            return Next::Hold;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell";
        std::io::Write::write_all(stream, answer).unwrap();
        Next::Read
    })
}

fn start_well() -> Target {
    Target::start(answers!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell"))
}

fn hangs() {
    let (hanging, well) = (start_hanging(), start_well());
    let entry = Entry::start(Setup { hedging: true, ..Setup::default() }, &[&hanging, &well]);
    let mut asked = 0;
    // Until a request has hung: it was answered all the same, by the other target.
    while hanging.count() <= 100 {
        let answer = entry.ask(GET);
        assert_eq!(answer.status(), 200, "{}", answer.text);
        asked += 1;
        assert!(asked < 1000, "no request came to the target that hangs");
    }
    wait_for("the loser's connection to be closed", || hanging.seen.lock().unwrap().closed > 0);
}

fn once() {
    let (hanging, well) = (start_hanging(), start_well());
    let entry = Entry::start(Setup { hedging: true, ..Setup::default() }, &[&hanging, &well]);
    let mut sent = 0;
    while hanging.count() <= 100 {
        let answer = entry.ask(POST);
        sent += 1;
        if hanging.count() > 100 {
            assert_eq!((answer.status(), answer.outcome()), (504, "unknown"), "{}", answer.text);
        }
        assert!(sent < 1000, "no request came to the target that hangs");
    }
    assert_eq!(hanging.count() + well.count(), sent);
}
