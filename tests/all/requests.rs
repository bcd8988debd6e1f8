//! Requests through real processes: idempotency keys, requests that a peer hands
//! over, the decision log and a killed target.

use crate::{
    cases,
    harness::{Deployment, DomainLayout, EntryHost, Outcome, SentRequest, Traffic, wait_for},
    paths::SERVICE_CONFIG,
};
use cyclamenloft_standin::journal::Event;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

cases! {
    a_resent_request_with_a_key_runs_once => resent_key();
    every_request_logs_its_decisions => decision_log();
    a_request_from_a_peer_runs_only_with_the_token => handed_over();
    requests_at_a_killed_target_run_once => target_killed();
}

async fn with_targets(service_time: &str, targets: usize) -> Deployment {
    let mut deployment =
        Deployment::start(&[DomainLayout { name: "cascadia-pdx", entries: 1, controls: 1 }]);
    deployment.wait_until_all_ready().await;
    deployment.configure(SERVICE_CONFIG).await;
    for _ in 0..targets {
        deployment.start_target("cascadia-pdx", "matchdesk", service_time);
    }
    deployment.wait_for_targets(&deployment.hosts, "matchdesk", targets).await;
    deployment
}

fn requests_begun(deployment: &Deployment) -> usize {
    let evidence = deployment.evidence();
    evidence.check();
    evidence.count(|line| matches!(line.event, Event::RequestBegan { .. }))
}

/// A request that must run at most once, with its outcome.
fn non_idempotent(outcome: Outcome) -> SentRequest {
    SentRequest { idempotent: false, outcome }
}

fn post(path: &str, number: &str, lines: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-request-number: {number}\r\n\
         {lines}content-length: 4\r\n\r\nbody"
    )
}

/// Sends raw bytes and returns everything received until the connection ends.
async fn send_raw(addr: SocketAddr, raw: String) -> String {
    compio::runtime::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
        stream.write_all(raw.as_bytes()).unwrap();
        let mut text = Vec::new();
        let _ = stream.read_to_end(&mut text);
        String::from_utf8_lossy(&text).into_owned()
    })
    .await
    .unwrap()
}

fn header<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = answer.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(n, _)| *n == name).map(|(_, value)| value)
}

/// Guards against a resent request with an idempotency key that runs again instead of
/// getting the recorded answer.
async fn resent_key() {
    let deployment = with_targets("5ms", 2).await;
    let EntryHost { callers, .. } = deployment.hosts[0];
    let lines = "idempotency-key: order-1\r\ncyclamenloft-resend: false\r\n";
    let first = send_raw(callers, post("/matchdesk/orders", "n-1", lines)).await;
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    let again = send_raw(callers, post("/matchdesk/orders", "n-1", lines)).await;
    assert_eq!(header(&again, "cyclamenloft-replayed"), Some("true"), "{again}");
    assert_eq!(again.split("\r\n\r\n").nth(1), first.split("\r\n\r\n").nth(1));
    let traffic = Traffic::from([("n-1".into(), non_idempotent(Outcome::Answered))]);
    deployment.evidence().with(traffic).check();
    assert_eq!(requests_begun(&deployment), 1);
}

/// Guards against a request whose routing, answer or refusal is missing from the
/// decision log.
async fn decision_log() {
    let deployment = with_targets("1ms", 1).await;
    let EntryHost { callers, .. } = deployment.hosts[0];
    let answer = send_raw(callers, post("/matchdesk/orders", "n-1", "")).await;
    let answered = header(&answer, "cyclamenloft-request-id").unwrap().to_owned();
    let answer = send_raw(callers, post("/nobody/orders", "n-2", "")).await;
    assert_eq!(header(&answer, "cyclamenloft-error"), Some("unknown-service"), "{answer}");
    let refused = header(&answer, "cyclamenloft-request-id").unwrap().to_owned();
    let log = || deployment.entries[0].log();
    let lines = |id: &str, what: &str| {
        log().lines().filter(|line| line.contains(id) && line.contains(what)).count()
    };
    wait_for("the log lines", async || {
        lines(&answered, "route") == 1
            && lines(&answered, "answered") == 1
            && lines(&refused, "refused") == 1
    })
    .await;
    assert_eq!(lines(&answered, "target-0"), 1);
    assert_eq!(lines(&refused, "outcome=\"not-run\""), 1, "{}", log());
}

/// Sends a request in the form in which another entry host hands it over. With a wrong
/// token the request must not run; with the right one it must.
async fn handed_over() {
    let deployment = with_targets("1ms", 1).await;
    let host = deployment.hosts[0];
    let peers = SocketAddr::from((host.callers.ip(), host.callers.port() + 3));
    let hop = |token: &str| {
        let lines = format!(
            "cyclamenloft-hop: entry-9\r\ncyclamenloft-hop-caller: county\r\n\
             cyclamenloft-hop-token: Bearer {token}\r\ncyclamenloft-service: matchdesk\r\n\
             cyclamenloft-request-id: request-1\r\ncyclamenloft-idempotent: false\r\n\
             cyclamenloft-deadline-ms: 5000\r\n"
        );
        post("/v1/hop/orders", "n-1", &lines)
    };
    let refused = send_raw(peers, hop("not-the-token-of-the-peers")).await;
    assert_eq!(header(&refused, "cyclamenloft-outcome"), Some("not-run"), "{refused}");
    assert_eq!(requests_begun(&deployment), 0);
    let answer = send_raw(peers, hop("a-token-for-tests-only")).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(requests_begun(&deployment), 1);
}

/// Kills a target while requests that are not idempotent are in flight. Guards
/// against a resend that runs such a request twice, and against the outcome
/// "not-run" for a request that did run.
async fn target_killed() {
    let mut deployment = with_targets("40ms", 3).await;
    let EntryHost { callers, .. } = deployment.hosts[0];
    let send = |n: usize| {
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(5 * n as u64)).await;
            let answer = send_raw(callers, post("/matchdesk/orders", &format!("n-{n}"), "")).await;
            (format!("n-{n}"), answer)
        })
    };
    let sent: Vec<_> = (0..120).map(send).collect();
    compio::time::sleep(Duration::from_millis(200)).await;
    deployment.stand_ins[0].kill();
    let mut traffic = Traffic::new();
    for one in sent {
        let (number, answer) = one.await.unwrap();
        let outcome = match header(&answer, "cyclamenloft-outcome") {
            Some("not-run") => Outcome::NotRun,
            Some("unknown") => Outcome::Unknown,
            None if answer.contains(&format!("{number}\n")) => Outcome::Answered,
            _ => Outcome::Wrong(answer.into()),
        };
        traffic.insert(number.into(), non_idempotent(outcome));
    }
    let answered = traffic.values().filter(|s| s.outcome == Outcome::Answered).count();
    deployment.evidence().with(traffic).check();
    // The other targets continue to answer.
    assert!(answered >= 60, "{answered} answered");
}
