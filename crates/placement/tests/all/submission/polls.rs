//! What polls state of the lease and of the ends of runs.

use super::cluster::{Cluster, worker};
use cyclamenloft_placement::submission::{
    Command, Fleet, Observation, SubmissionState,
    fleet::{EndSign, PollTerms},
};
use std::time::{Duration, Instant};

/// The incarnation that is polled.
const ID: u32 = 1;
/// Longest lease that the leader grants.
const LONGEST: Duration = Duration::from_secs(3);
/// The worker's clock when it first answers, in milliseconds.
const CLOCK_MS: u64 = 50_000;

/// A leader that polls one worker.
struct Polls {
    state: SubmissionState,
    fleet: Fleet,
    began: Instant,
    now: Instant,
}

impl Polls {
    fn new() -> Self {
        let mut cluster = Cluster::new([]);
        cluster.apply(Command::Register(worker("wa", 4)));
        let began = Instant::now();
        let fleet = Fleet::new(LONGEST, began);
        Self { state: cluster.state, fleet, began, now: began + Duration::from_secs(60) }
    }

    /// A leader that the worker has answered once.
    fn answered() -> Self {
        let mut polls = Self::new();
        polls.send();
        polls.answer(0);
        polls
    }

    fn send(&mut self) -> PollTerms {
        self.fleet.poll_sent(ID, Duration::ZERO, self.now);
        self.fleet.next_poll(ID, self.now)
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn clock_ms(&self) -> u64 {
        let passed = self.now - self.began - Duration::from_secs(60);
        CLOCK_MS + u64::try_from(passed.as_millis()).unwrap()
    }

    /// The worker answers, and the group commits the ends up to this number.
    fn answer(&mut self, last_end: u64) {
        self.answer_without_commit();
        self.fleet.ends_committed(ID, last_end);
    }

    fn answer_without_commit(&mut self) {
        let (running, ended) = (Vec::new(), Vec::new());
        let clock_ms = self.clock_ms();
        let seen = Observation { started_ms: 1, clock_ms, running, ended, is_partial: false };
        self.fleet.observe(&self.state, ID, &seen, self.now, self.now);
    }

    /// Returns the terms of a poll that grants the longest lease.
    fn with_lease(&self, acknowledged: u64) -> PollTerms {
        PollTerms { lease_end_ms: Some(self.clock_ms() + 3_000), acknowledged }
    }

    fn granted_at(&self) -> Option<Instant> {
        self.fleet.view(ID).unwrap().granted_at
    }

    fn latest_end(&self) -> Instant {
        self.fleet.view(ID).unwrap().lease.latest_end()
    }
}

fn first_poll() {
    let mut polls = Polls::new();
    assert_eq!(polls.send(), PollTerms::default());
    assert_eq!(polls.granted_at(), None);
}

fn poll_without_an_answer(fail: impl Fn(&mut Polls)) {
    let mut polls = Polls::answered();
    polls.answer(5);
    assert_eq!(polls.send(), polls.with_lease(5));
    let (granted_at, latest_end) = (polls.granted_at(), polls.latest_end());
    assert_eq!(granted_at, Some(polls.now));
    for _ in 0..3 {
        polls.pass(20);
        fail(&mut polls);
        assert_eq!(polls.send(), PollTerms::default());
    }
    assert_eq!((polls.granted_at(), polls.latest_end()), (granted_at, latest_end));
    // The acknowledgment was lost, so the worker lists the ends again.
    polls.answer(5);
    assert_eq!(polls.send(), polls.with_lease(5), "the poll after the next answer");
}

fn silent() {
    poll_without_an_answer(|polls| polls.fleet.unreachable(ID, polls.now));
}

fn another_life_answers() {
    poll_without_an_answer(|polls| {
        polls.fleet.process_ended(&polls.state, ID, EndSign::Replaced, polls.now);
    });
}

fn connection_closes() {
    poll_without_an_answer(|polls| polls.fleet.connection_closed(ID, polls.now));
}

/// The replica that was to make the call has fallen silent, which tells nothing of the worker.
fn replica_is_lost() {
    poll_without_an_answer(|_| {});
}

/// The leader stops between an answer and the next poll.
fn leader_stops() {
    let mut polls = Polls::answered();
    polls.answer(5);
    polls.pass(10_000);
    assert_eq!(polls.send(), PollTerms::default());
    polls.answer(5);
    assert_eq!(polls.send(), polls.with_lease(5));
}

fn order_to_a_silent_worker() {
    let mut polls = Polls::answered();
    let now = polls.now;
    let view = polls.fleet.view_mut(ID, now);
    assert_eq!(view.grant_until(now, CLOCK_MS + 1_000), Some(CLOCK_MS + 1_000));
    assert_eq!(view.granted_at, Some(now));
    polls.pass(20);
    polls.fleet.unreachable(ID, polls.now);
    let view = polls.fleet.view_mut(ID, polls.now);
    assert_eq!(view.grant_until(polls.now, u64::MAX), None);
    assert_eq!(view.granted_at, Some(now));
}

cases! {
    "Guards against a call that reaches the next life of its worker, which grants itself the longest lease and forgets ends of its own.";
    the_first_poll_of_a_life_states_nothing: first_poll;
    a_poll_that_follows_one_without_an_answer_states_nothing: silent;
    a_poll_that_follows_the_answer_of_another_life_states_nothing: another_life_answers;
    a_poll_that_follows_a_closed_connection_states_nothing: connection_closes;
    a_poll_that_follows_one_by_a_lost_replica_states_nothing: replica_is_lost;
    a_leader_that_has_stood_still_states_nothing: leader_stops;
    an_order_grants_no_lease_to_a_silent_worker: order_to_a_silent_worker;
}

fn after_each_answer() {
    let mut polls = Polls::answered();
    for _ in 0..20 {
        assert_eq!(polls.send(), polls.with_lease(0));
        assert_eq!(polls.granted_at(), Some(polls.now));
        polls.pass(300);
        polls.answer(0);
    }
}

fn after_a_silence() {
    let mut polls = Polls::answered();
    polls.fleet.unreachable(ID, polls.now);
    polls.send();
    polls.answer(0);
    assert_eq!(polls.send(), polls.with_lease(0));
}

cases! {
    "Guards against a worker that answers and whose lease runs out.";
    a_worker_that_answers_is_granted_its_lease_with_each_poll: after_each_answer;
    a_worker_that_answers_again_is_granted_its_lease_with_the_next_poll: after_a_silence;
}

fn once() {
    let mut polls = Polls::answered();
    polls.answer(5);
    assert_eq!(polls.send().acknowledged, 5);
    polls.answer(0);
    assert_eq!(polls.send().acknowledged, 0);
}

/// A worker lists 500 ends at a time.
fn in_parts() {
    let mut polls = Polls::answered();
    for last_end in [500, 1_000, 1_100] {
        polls.answer(last_end);
        assert_eq!(polls.send(), polls.with_lease(last_end));
    }
}

fn not_committed() {
    let mut polls = Polls::answered();
    polls.answer_without_commit();
    assert_eq!(polls.send(), polls.with_lease(0));
    polls.answer(5);
    assert_eq!(polls.send().acknowledged, 5);
}

/// The commit ends after a later poll has got no answer.
fn committed_late() {
    let mut polls = Polls::answered();
    polls.answer_without_commit();
    polls.send();
    polls.fleet.unreachable(ID, polls.now);
    polls.fleet.ends_committed(ID, 5);
    assert_eq!(polls.send(), PollTerms::default());
}

cases! {
    "Guards against an end that is forgotten before the group has committed it, or never.";
    ends_are_acknowledged_once: once;
    ends_that_are_listed_in_parts_are_all_acknowledged: in_parts;
    ends_that_are_not_committed_are_not_acknowledged: not_committed;
    a_late_commit_does_not_make_a_silent_worker_forget: committed_late;
}
