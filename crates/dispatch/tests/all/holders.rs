//! Which replica calls a worker, and under which token.

use cyclamenloft_dispatch::relay::{
    WorkerEndpoint,
    holders::{Holder, Holders, term_of},
};
use cyclamenloft_types::{ReplicaId, Term};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TERM: Term = 7;

/// What happens to a leader's sessions.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A replica accepts a session.
    Open(ReplicaId),
    /// The oldest session of a replica ends.
    Close(ReplicaId),
    /// A worker of the domain is polled.
    Poll(usize),
    /// The leader is overloaded.
    Overload,
    /// A worker starts again under its name.
    StartAgain(usize),
}

/// Returns the domain of a replica: two replicas share one.
fn domain(replica: ReplicaId) -> Box<str> {
    format!("d{}", replica / 2).into()
}

fn endpoint(number: usize) -> WorkerEndpoint {
    life(number, 1)
}

fn life(number: usize, started_ms: u64) -> WorkerEndpoint {
    let addr = "10.0.0.1:80".parse().unwrap();
    WorkerEndpoint { id: format!("w{number}").into(), started_ms, addr }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..4u64).prop_map(Event::Open),
        (0..4u64).prop_map(Event::Close),
        (0..6usize).prop_map(Event::Poll),
        Just(Event::Overload),
        (0..6usize).prop_map(Event::StartAgain),
    ]
}

proptest! {
    /// Guards against orders of a replica that no longer calls a worker: the worker must have
    /// seen a higher token from the next one, and no token may belong to two replicas. The same
    /// holds for orders to a former life of the worker.
    #[test]
    fn the_token_of_a_worker_rises_with_each_change_of_its_holder(
        events in prop::collection::vec(event(), 1..200),
    ) {
        let mut holders = Holders::new(TERM);
        let mut sessions: Vec<(ReplicaId, Term)> = Vec::new();
        let mut current: BTreeMap<usize, Holder> = BTreeMap::new();
        let mut owners: BTreeMap<Term, Option<ReplicaId>> = BTreeMap::new();
        let mut lives: BTreeMap<usize, u64> = BTreeMap::new();
        let mut called: BTreeMap<usize, u64> = BTreeMap::new();
        for event in events {
            match event {
                Event::Open(replica) if !holders.has_session(&domain(replica)) => {
                    let token = holders.issue();
                    holders.opened(domain(replica), replica, token);
                    sessions.push((replica, token));
                }
                Event::Open(_) => {}
                Event::Overload => drop(holders.record_overload()),
                Event::Close(replica) => {
                    if let Some(at) = sessions.iter().position(|(r, _)| *r == replica) {
                        holders.closed(sessions.remove(at).1);
                    }
                }
                Event::Poll(worker) => {
                    let before = current.get(&worker).copied();
                    let started_ms = lives.get(&worker).copied().unwrap_or(1);
                    let next =
                        holders.next_holder(&format!("d{}", worker % 3), &life(worker, started_ms));
                    let is_same_life = called.insert(worker, started_ms) == Some(started_ms);
                    let may_stay = |b: Holder| is_same_life && b == next;
                    prop_assert!(before.is_none_or(|b| may_stay(b) || b.token < next.token));
                    prop_assert_eq!(term_of(next.token), TERM);
                    let owner = *owners.entry(next.token).or_insert(next.replica);
                    prop_assert_eq!(owner, next.replica);
                    let is_open = |r| sessions.contains(&(r, next.issued()));
                    prop_assert!(next.replica.is_none_or(is_open), "a session that has ended");
                    current.insert(worker, next);
                }
                Event::StartAgain(worker) => *lives.entry(worker).or_insert(1) += 1,
            }
        }
    }
}

/// Guards against calls to a former life of a worker that its next life carries out: their token must
/// be lower than that of the calls to the next life, however often the worker starts again.
#[test]
fn the_token_of_a_worker_rises_with_each_of_its_lives() {
    let mut holders = Holders::new(TERM);
    let session = holders.issue();
    holders.opened(domain(0), 0, session);
    let mut last = holders.next_holder(&domain(0), &endpoint(1)).token;
    let mut owners = BTreeMap::new();
    for started_ms in 2..2_000 {
        let next = holders.next_holder(&domain(0), &life(1, started_ms));
        assert!(next.token > last, "life {started_ms}: {} after {last}", next.token);
        assert_eq!(holders.next_holder(&domain(0), &life(1, started_ms)), next);
        assert_eq!(*owners.entry(next.issued()).or_insert(next.replica), next.replica);
        assert_eq!(term_of(next.token), TERM);
        last = next.token;
    }
    // Another worker is still called in the session.
    assert_eq!(holders.next_holder(&domain(0), &endpoint(2)).token, session);
}

#[test]
fn a_token_of_the_next_term_is_higher_than_all_of_this_one() {
    let mut holders = Holders::new(TERM);
    let last = (0..10_000).map(|_| holders.issue()).last().unwrap();
    assert!(Holders::new(TERM + 1).next_holder("d0", &endpoint(0)).token > last);
}

/// Guards against an overloaded leader that still calls the workers of its own domain.
#[test]
fn an_overloaded_leader_calls_no_worker_itself() {
    let mut holders = Holders::new(TERM);
    for replica in [2, 4] {
        let token = holders.issue();
        holders.opened(domain(replica), replica, token);
    }
    let workers: Vec<WorkerEndpoint> = (0..200).map(endpoint).collect();
    let own: Vec<Holder> = workers.iter().map(|w| holders.next_holder("d0", w)).collect();
    assert!(own.iter().all(|h| h.replica.is_none()));
    assert!(holders.record_overload());
    let mut counts: BTreeMap<Option<ReplicaId>, usize> = BTreeMap::new();
    for worker in &workers {
        *counts.entry(holders.next_holder("d0", worker).replica).or_default() += 1;
    }
    assert!(!counts.contains_key(&None) && counts.values().all(|n| *n >= 70), "{counts:?}");
}

/// Guards against a worker that rejects all calls after it was given up and has come back,
/// because its next holder has a lower token than the last one.
#[test]
fn a_worker_that_comes_back_is_called_with_no_lower_token_than_before() {
    let mut holders = Holders::new(TERM);
    let (first, second) = (holders.issue(), holders.issue());
    holders.opened(domain(2), 2, first);
    holders.opened(domain(4), 4, second);
    holders.closed(second);
    let before = holders.next_holder("d0", &endpoint(1));
    assert!(before.replica.is_none() && before.token > first);
    assert!(holders.record_overload());
    // The only session is older than the token that the worker has seen.
    assert_eq!(holders.next_holder("d0", &endpoint(1)), before);
}

/// Guards against memory that grows with each crash of a worker for as long as a leader leads,
/// while the token of a worker that may come back is kept.
#[test]
fn replaced_workers_are_forgotten() {
    let mut holders = Holders::new(TERM);
    let token = holders.issue();
    holders.opened(domain(0), 0, token);
    for number in 0..3 {
        holders.next_holder(&domain(0), &endpoint(number));
    }
    holders.closed(token);
    holders.retain(|w| *w == endpoint(1));
    assert_eq!(holders.known_count(), 1);
    assert!(holders.next_holder(&domain(0), &endpoint(1)).token > token);
}
