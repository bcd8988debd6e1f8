//! The store of outcomes: a key runs at most once while it is stored, and the store
//! keeps its limits.

use cyclamenloft_caller::{
    OutcomeStore, OutcomeStoreLimits,
    idempotency::{BeginDecision, BeginKey, Ending, FinishKey, KeyId, StoredResponse, keys::owner},
};
use cyclamenloft_types::HostId;
use http::{HeaderMap, StatusCode};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

const LIMITS: OutcomeStoreLimits = OutcomeStoreLimits {
    keys: 4,
    bytes: 300,
    response_bytes: 200,
    retention: Duration::from_millis(1000),
};

#[derive(Clone, Debug)]
enum Step {
    Begin { key: u8, first: bool, left_ms: u64, fingerprint: u64 },
    Finish { key: u8, attempt: usize, ending: u8, size: usize },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6u8, prop::bool::weighted(0.7), 1..400u64, prop::bool::weighted(0.1)).prop_map(
            |(key, first, left_ms, other)| {
                Step::Begin { key, first, left_ms, fingerprint: u64::from(other) }
            }
        ),
        3 => (0..6u8, 0..3usize, 0..3u8, 0..250usize).prop_map(|(key, attempt, ending, size)| {
            Step::Finish { key, attempt, ending, size }
        }),
        2 => (1..600u64).prop_map(Step::Wait),
    ]
}

fn id(key: u8) -> KeyId {
    KeyId {
        service: "orders-desk".into(),
        caller: "county".into(),
        key: format!("key-{key}").into(),
    }
}

fn response(size: usize) -> StoredResponse {
    StoredResponse::new(StatusCode::OK, &HeaderMap::new(), &vec![b'a'; size])
}

/// The runs of a key, as the model expects them.
#[derive(Default)]
struct Runs {
    /// The ids of the requests that were allowed to run, the newest last.
    attempts: Vec<Box<str>>,
    /// The time until which the store must keep the newest attempt; `None` if the newest
    /// attempt did not run.
    retained_until: Option<Instant>,
    /// Whether the end of the newest attempt has been reported.
    finished: bool,
}

struct Model {
    store: OutcomeStore,
    runs: HashMap<u8, Runs>,
    began: Instant,
    now: Instant,
    next: usize,
}

impl Model {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.now += Duration::from_millis(ms),
            Step::Begin { key, first, left_ms, fingerprint } => {
                self.begin(key, first, left_ms, fingerprint);
            }
            Step::Finish { key, attempt, ending, size } => self.finish(key, attempt, ending, size),
        }
        assert!(self.store.len() <= LIMITS.keys);
        assert!(self.store.bytes() <= LIMITS.bytes);
    }

    fn begin(&mut self, key: u8, first: bool, left_ms: u64, fingerprint: u64) {
        self.next += 1;
        let request: Box<str> = format!("request-{}", self.next).into();
        let begin = BeginKey { id: id(key), request: request.clone(), fingerprint, first, left_ms };
        if self.store.begin(&begin, self.now) != BeginDecision::Run {
            return;
        }
        let runs = self.runs.entry(key).or_default();
        assert!(
            runs.retained_until.is_none_or(|until| until <= self.now),
            "key {key} was allowed to run while an earlier run is stored"
        );
        assert!(
            first || self.now >= self.began + LIMITS.retention,
            "key {key} ran within one retention of the start though not marked as new"
        );
        runs.attempts.push(request);
        runs.finished = false;
        runs.retained_until = Some(self.now + Duration::from_millis(left_ms) + LIMITS.retention);
    }

    fn finish(&mut self, key: u8, attempt: usize, ending: u8, size: usize) {
        let Some(runs) = self.runs.get_mut(&key) else { return };
        let newest = runs.attempts.len().saturating_sub(1);
        let at = newest.saturating_sub(attempt);
        let Some(request) = runs.attempts.get(at).cloned() else { return };
        let ending = match ending {
            0 => Ending::NotRun,
            1 => Ending::Unknown,
            _ => Ending::Done(response(size)),
        };
        let counts = at == newest && !runs.finished;
        if counts && runs.retained_until.is_some_and(|until| until > self.now) {
            runs.finished = true;
            let until = self.now + LIMITS.retention;
            runs.retained_until = (ending != Ending::NotRun).then_some(until);
        }
        self.store.remove_expired(self.now);
        self.store.finish(FinishKey { id: id(key), request, ending }, self.now);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_runs_at_most_once_while_stored(steps in prop::collection::vec(step(), 1..80)) {
        let began = Instant::now();
        let store = OutcomeStore::new(LIMITS, began);
        let mut model = Model { store, runs: HashMap::new(), began, now: began, next: 0 };
        for step in steps {
            model.apply(step);
        }
    }

    #[test]
    fn the_owner_does_not_depend_on_the_roster_order(key in "[a-z0-9]{1,20}", hosts in 1..9usize) {
        let mut roster: Vec<HostId> = (0..hosts).map(|n| format!("entry-{n}").into()).collect();
        let id = KeyId { key: key.into(), ..id(0) };
        let chosen = owner(&id, &roster).cloned();
        roster.reverse();
        prop_assert_eq!(owner(&id, &roster).cloned(), chosen.clone());
        // Removing another host from the roster does not move the key.
        roster.retain(|host| Some(host) == chosen.as_ref() || !host.ends_with('0'));
        prop_assert_eq!(owner(&id, &roster).cloned(), chosen);
    }
}

fn begin(first: bool) -> BeginKey {
    BeginKey { id: id(0), request: "request-1".into(), fingerprint: 7, first, left_ms: 100 }
}

fn begin_after(ending: Ending) -> BeginDecision {
    let now = Instant::now();
    let mut store = OutcomeStore::new(LIMITS, now);
    assert_eq!(store.begin(&begin(true), now), BeginDecision::Run);
    let request = "request-1".into();
    store.finish(FinishKey { id: id(0), request, ending }, now);
    store.begin(&begin(true), now)
}

/// Defines one test for each case.
macro_rules! end_cases {
    ($($name:ident: $ending:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(begin_after($ending), $expected);
        }
    )*};
}

end_cases! {
    a_stored_response_is_returned: Ending::Done(response(50)) => BeginDecision::Done(response(50));
    a_response_above_the_limit_is_lost: Ending::Done(response(201)) => BeginDecision::Lost;
    an_unknown_outcome_is_lost: Ending::Unknown => BeginDecision::Lost;
    a_request_that_did_not_run_may_run_again: Ending::NotRun => BeginDecision::Run;
}

#[test]
fn an_unfinished_request_is_lost_after_its_deadline() {
    let now = Instant::now();
    let mut store = OutcomeStore::new(LIMITS, now);
    assert_eq!(store.begin(&begin(true), now), BeginDecision::Run);
    assert_eq!(store.begin(&begin(false), now), BeginDecision::InProgress);
    let other = BeginKey { fingerprint: 8, ..begin(false) };
    assert_eq!(store.begin(&other, now), BeginDecision::Conflict);
    let late = now + Duration::from_millis(100);
    assert_eq!(store.begin(&begin(false), late), BeginDecision::Lost);
}

#[test]
fn an_unknown_key_is_lost_until_one_retention_after_the_start() {
    let now = Instant::now();
    let mut store = OutcomeStore::new(LIMITS, now);
    assert_eq!(store.begin(&begin(false), now), BeginDecision::Lost);
    assert_eq!(store.begin(&begin(false), now + LIMITS.retention), BeginDecision::Run);
}

#[test]
fn a_message_survives_a_json_round_trip() {
    let message = cyclamenloft_caller::idempotency::KeyRequest::Finish(FinishKey {
        id: id(1),
        request: "r".into(),
        ending: Ending::Done(StoredResponse::new(
            StatusCode::CREATED,
            &HeaderMap::new(),
            &[0, 255],
        )),
    });
    let text = serde_json::to_string(&message).unwrap();
    let decoded: cyclamenloft_caller::idempotency::KeyRequest =
        serde_json::from_str(&text).unwrap();
    assert_eq!(decoded, message);
}
