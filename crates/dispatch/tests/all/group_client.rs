//! An entry host's client against replicas on loopback addresses that answer as a test says.

use bytes::Bytes;
use cyclamenloft_dispatch::{
    Draft, PeerRequest, PeerResponse,
    group_client::{ForwardOutcome, GroupClient, MAX_ATTEMPTS},
    leader_loss::RELEASE_INTERVAL,
    protocol::{GroupStatus, decode, encode},
    refusals::RefusalStamp,
};
use cyclamenloft_http::{
    Request, Response, StopHandle, bind, error_response, full, read_limited, serve,
    server::Handler, stop_pair, text_response,
};
use cyclamenloft_types::{Error, ErrorKind};
use http::StatusCode;
use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

const PORT: u16 = 7_311;

fn run(test: impl Future<Output = ()>) {
    compio::runtime::RuntimeBuilder::new().build().unwrap().block_on(test);
}

/// How a replica responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Leads,
    Follows,
    /// It leads, but doesn't answer a request before the client gives up.
    Stuck,
    /// It leads, but has no memory for this many requests, and leads no longer then.
    Full(usize),
    /// It leads, and rejects submissions that were sent before its refusal with this number.
    Refused(u64),
}

/// A replica, and when it got each request other than a status query.
struct Replica {
    mode: Cell<Mode>,
    requests: RefCell<Vec<Instant>>,
    members: Vec<u64>,
}

struct Calls(Rc<Replica>);

impl Handler for Calls {
    async fn handle(&self, req: Request, _remote: SocketAddr) -> Response {
        let body: Bytes = read_limited(req.into_body(), 1 << 20).await.unwrap_or_default();
        let replica = &self.0;
        let leads = matches!(replica.mode.get(), Mode::Leads | Mode::Full(1..) | Mode::Refused(_));
        let response = match decode(&body).unwrap() {
            PeerRequest::Where => PeerResponse::Standing(GroupStatus {
                leader: None,
                leads,
                term: 1,
                members: replica.members.clone(),
                domain: "z".into(),
                configured: 1,
            }),
            req => {
                replica.requests.borrow_mut().push(Instant::now());
                match replica.mode.get() {
                    Mode::Leads => PeerResponse::Done,
                    Mode::Full(left @ 1..) => {
                        replica.mode.set(Mode::Full(left - 1));
                        let full = Error::new(ErrorKind::Overloaded, "no memory for the request");
                        return error_response(&full);
                    }
                    Mode::Follows | Mode::Full(0) => PeerResponse::NotLeader(None),
                    Mode::Refused(number) => match req {
                        PeerRequest::Submit { stamp, .. } if stamp.number >= number => {
                            PeerResponse::Done
                        }
                        _ => PeerResponse::Stale(RefusalStamp { term: 1, number }),
                    },
                    Mode::Stuck => {
                        compio::time::sleep(Duration::from_secs(10)).await;
                        return text_response(StatusCode::OK, "");
                    }
                }
            }
        };
        Response::new(full(encode(&response).unwrap()))
    }
}

fn ip(net: u8, n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 78, net, n)
}

/// Starts replica `n` of three.
fn start(net: u8, n: u8, mode: Mode) -> (Rc<Replica>, StopHandle) {
    let members = (1..=3).map(|n| u64::from(u32::from(ip(net, n)))).collect();
    let replica = Rc::new(Replica { mode: Cell::new(mode), requests: RefCell::default(), members });
    let (stop, signal) = stop_pair();
    let listener = bind((ip(net, n), PORT).into()).unwrap();
    compio::runtime::spawn(serve(
        listener,
        Default::default(),
        signal,
        Rc::new(Calls(replica.clone())),
    ))
    .detach();
    (replica, stop)
}

fn client(net: u8) -> Rc<GroupClient> {
    let seeds: Vec<_> = (1..=3).map(|n| ip(net, n)).collect();
    let client = GroupClient::new(PORT, &seeds, Rc::default());
    compio::runtime::spawn(client.clone().track_leader()).detach();
    client
}

fn cancel() -> PeerRequest {
    PeerRequest::Cancel { host: "h".into(), path: "/q/1".into() }
}

async fn forward(client: &GroupClient, timeout_ms: u64) -> ForwardOutcome {
    client.forward(&cancel(), Instant::now() + Duration::from_millis(timeout_ms)).await
}

/// Guards against refusals while a leader is about to be elected.
#[test]
fn a_request_that_is_held_reaches_the_next_leader() {
    run(async {
        let (first, _stop) = start(1, 1, Mode::Leads);
        let (second, _stop) = start(1, 2, Mode::Follows);
        let client = client(1);
        assert_eq!(forward(&client, 60_000).await, ForwardOutcome::Response(PeerResponse::Done));
        first.mode.set(Mode::Follows);
        let held = forward(&client, 60_000);
        let election = async {
            compio::time::sleep(Duration::from_millis(400)).await;
            second.mode.set(Mode::Leads);
        };
        let (outcome, ()) = futures_util::future::join(held, election).await;
        assert_eq!(outcome, ForwardOutcome::Response(PeerResponse::Done));
        assert_eq!(second.requests.borrow().len(), 1);
    });
}

/// Guards against a burst of held requests at a new leader.
#[test]
fn held_requests_are_sent_to_the_next_leader_one_after_another() {
    run(async {
        let (first, _stop) = start(2, 1, Mode::Leads);
        let client = client(2);
        assert_eq!(forward(&client, 60_000).await, ForwardOutcome::Response(PeerResponse::Done));
        first.mode.set(Mode::Follows);
        let held = (0..10).map(|_| forward(&client, 60_000));
        let election = async {
            compio::time::sleep(Duration::from_millis(600)).await;
            first.requests.borrow_mut().clear();
            first.mode.set(Mode::Leads);
            Instant::now()
        };
        let (outcomes, elected_at) =
            futures_util::future::join(futures_util::future::join_all(held), election).await;
        let done = ForwardOutcome::Response(PeerResponse::Done);
        assert!(outcomes.iter().all(|o| *o == done), "{outcomes:?}");
        let requests = first.requests.borrow();
        let span = *requests.last().unwrap() - elected_at;
        assert!(span >= RELEASE_INTERVAL * 9, "ten requests within {span:?}");
    });
}

/// Guards against a refusal of a request that a leader may have carried out, and against further
/// requests that are sent to a leader that doesn't answer.
#[test]
fn a_request_without_an_answer_is_unsure_and_later_ones_are_not_sent() {
    run(async {
        let (leader, _stop) = start(3, 1, Mode::Leads);
        let client = client(3);
        assert_eq!(forward(&client, 60_000).await, ForwardOutcome::Response(PeerResponse::Done));
        leader.mode.set(Mode::Stuck);
        leader.requests.borrow_mut().clear();
        assert_eq!(forward(&client, 3_000).await, ForwardOutcome::Unsure);
        assert_eq!(leader.requests.borrow().len(), 1, "the request was sent again");
        let outcome = forward(&client, 100).await;
        assert!(matches!(outcome, ForwardOutcome::NotSent { .. }), "{outcome:?}");
        assert_eq!(leader.requests.borrow().len(), 1, "a request was sent to a lost leader");
    });
}

/// Guards against clients that have to retry because their entry host doesn't know of a refusal that
/// the leader gave another one.
#[test]
fn a_submission_from_before_a_refusal_is_sent_again_at_once() {
    run(async {
        let (leader, _stop) = start(5, 1, Mode::Leads);
        let client = client(5);
        assert_eq!(forward(&client, 60_000).await, ForwardOutcome::Response(PeerResponse::Done));
        leader.mode.set(Mode::Refused(7));
        leader.requests.borrow_mut().clear();
        let draft = Draft {
            payload: "".into(),
            steps: Vec::new(),
            first_due_ms: 0,
            interval_ms: 0,
            occurrences: 1,
        };
        let stamp = RefusalStamp::default();
        let submit = PeerRequest::Submit { host: "h".into(), path: "/q/1".into(), draft, stamp };
        let until = Instant::now() + Duration::from_secs(60);
        let outcome = client.forward(&submit, until).await;
        assert_eq!(outcome, ForwardOutcome::Response(PeerResponse::Done));
        assert_eq!(leader.requests.borrow().len(), 2);
        // The next one carries the newer stamp.
        let outcome = client.forward(&submit, until).await;
        assert_eq!(outcome, ForwardOutcome::Response(PeerResponse::Done));
        assert_eq!(leader.requests.borrow().len(), 3);
    });
}

/// Guards against an answer that nothing is known of a request that the leader had no memory for.
#[test]
fn a_request_that_the_leader_has_no_memory_for_was_not_sent() {
    run(async {
        let (leader, _stop) = start(6, 1, Mode::Leads);
        let client = client(6);
        assert_eq!(forward(&client, 60_000).await, ForwardOutcome::Response(PeerResponse::Done));
        leader.mode.set(Mode::Full(2));
        let outcome = forward(&client, 1_500).await;
        assert!(matches!(outcome, ForwardOutcome::NotSent { .. }), "{outcome:?}");
        assert_eq!(leader.mode.get(), Mode::Full(0));
    });
}

/// Guards against a crowd of requests each of which opens a connection to the leader.
#[test]
fn few_requests_are_sent_to_the_leader_at_the_same_time() {
    run(async {
        let (leader, _stop) = start(7, 1, Mode::Leads);
        let client = client(7);
        assert_eq!(forward(&client, 60_000).await, ForwardOutcome::Response(PeerResponse::Done));
        leader.mode.set(Mode::Stuck);
        leader.requests.borrow_mut().clear();
        // The first ones wait for longer, so that none of the others takes the place of one.
        let time_limit = |n| if n < MAX_ATTEMPTS { 1_000 } else { 500 };
        let outcomes = (0..200).map(|n| forward(&client, time_limit(n)));
        let outcomes = futures_util::future::join_all(outcomes).await;
        assert_eq!(leader.requests.borrow().len(), MAX_ATTEMPTS);
        let (sent, waiting) = outcomes.split_at(MAX_ATTEMPTS);
        assert!(sent.iter().all(|o| *o == ForwardOutcome::Unsure), "{sent:?}");
        let is_not_sent = |o: &ForwardOutcome| matches!(o, ForwardOutcome::NotSent { .. });
        assert!(waiting.iter().all(is_not_sent), "{waiting:?}");
    });
}

/// Guards against clients that wait out their time limit while all core hosts are down.
#[test]
fn a_request_is_refused_at_once_when_no_replica_has_answered_for_long() {
    run(async {
        let client = client(4);
        let outcome = forward(&client, 60_000).await;
        assert!(matches!(outcome, ForwardOutcome::NotSent { .. }), "{outcome:?}");
        let outcome = compio::time::timeout(Duration::from_secs(30), forward(&client, 60_000));
        assert!(matches!(outcome.await, Ok(ForwardOutcome::NotSent { retry_after_s: 1..=4 })));
    });
}
