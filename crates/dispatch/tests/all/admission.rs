//! What surely can't be served is refused at once, and nothing else.

use cyclamenloft_dispatch::admission::{Refusal, admit};
use cyclamenloft_placement::submission::{
    Change, Fleet, Step, Submission, SubmissionState, WorkerInfo, fleet::Tally, routes::QueuePolicy,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::Resources;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

fn policy() -> QueuePolicy {
    QueuePolicy {
        service: "pool".into(),
        priority: 2,
        max_attempts: 3,
        slack_millis: 2_000,
        target_ms: 500,
        advisor: None,
    }
}

/// One task of so many cores that works for a second; where it has an image, it
/// fills.
fn submission(id: u64, cores: u32, image: Option<&str>) -> Submission {
    let step = Step {
        count: 1,
        demand: Resources::new(cores * 1_000, 100, 0),
        estimate_ms: 1_000,
        fills: image.is_some(),
        image: image.map(Box::from),
        ..Step::default()
    };
    Submission {
        id,
        queue: "host/queue/".into(),
        payload: "".into(),
        steps: vec![step],
        first_due_ms: 0,
        interval_ms: 0,
        occurrences: 1,
    }
}

/// A service of one worker with eight cores.
fn state() -> SubmissionState {
    let mut state = SubmissionState::default();
    let worker = WorkerInfo {
        id: "i-1".into(),
        started_ms: 1,
        service: "pool".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "d1".into(),
        rack: "r1".into(),
        labels: vec![],
        capacity: Resources::new(8_000, 64_000, 0),
        machine: None,
        draining: false,
        leaving: false,
    };
    state.apply(1, &Change::Register(worker));
    state
}

/// A fleet in which, each second for so many, fifty tasks of image "loud" waited
/// and one of image "slow" started while others waited.
fn stalled_fleet(seconds: u64) -> (Fleet, Instant) {
    let start = Instant::now();
    let mut fleet = Fleet::new(Duration::from_secs(6), start);
    let mut now = start;
    for second in 0..=seconds {
        now = start + Duration::from_secs(second);
        let round = BTreeMap::from([
            ("loud", Tally { started: 0, waiting: 50 }),
            ("slow", Tally { started: 1, waiting: 50 }),
        ]);
        fleet.start_rates.note(&round, now);
    }
    (fleet, now)
}

fn verdict(state: &SubmissionState, stall_s: u64, submission: &Submission) -> Result<(), Refusal> {
    let (fleet, now) = stalled_fleet(stall_s);
    admit(state, Some(&fleet), submission, &policy(), now)
}

macro_rules! verdicts {
    ($($name:ident: $state:expr, $stall_s:literal, $submission:expr => $reason:expr;)*) => {$(
        #[test]
        fn $name() {
            let reason: Option<&str> = $reason;
            let found = verdict(&$state, $stall_s, &$submission);
            assert_eq!(found.err().map(|r| r.reason), reason);
        }
    )*};
}

verdicts! {
    what_fits_is_taken: state(), 20, submission(1, 8, None) => None;
    what_fits_no_worker_is_refused: state(), 20, submission(1, 9, None) => Some("too-large");
    what_fills_needs_no_reserved_room: state(), 0, submission(1, 9, Some("quiet")) => None;
    before_any_worker_is_known_nothing_is_too_large:
        SubmissionState::default(), 0, submission(1, 9, None) => None;
    an_image_that_stands_still_is_refused:
        state(), 20, submission(1, 2, Some("loud")) => Some("stalled");
    an_image_that_gets_on_slowly_may_be_in_time:
        state(), 20, submission(1, 2, Some("slow")) => None;
    a_jam_of_a_few_seconds_proves_nothing: state(), 4, submission(1, 2, Some("loud")) => None;
    other_images_are_taken: state(), 20, submission(1, 2, Some("quiet")) => None;
}

#[test]
fn a_submission_that_was_accepted_is_never_refused() {
    let mut state = state();
    let known = submission(1, 2, Some("loud"));
    state.apply(2, &Change::Submit { submission: known.clone(), policy: policy(), at_ms: 1 });
    assert_eq!(verdict(&state, 20, &known), Ok(()));
}

#[test]
fn too_many_open_ones_refuse_new_ones() {
    let mut state = state();
    for id in 1..=2_000 {
        let submission = submission(id, 1, None);
        state.apply(id, &Change::Submit { submission, policy: policy(), at_ms: 1 });
    }
    assert_eq!(verdict(&state, 0, &submission(9_999, 1, None)).unwrap_err().reason, "full");
    assert_eq!(verdict(&state, 0, &submission(7, 1, None)), Ok(()));
}

/// Once nothing waits any more, the next one is taken.
#[test]
fn a_jam_that_is_over_is_forgotten() {
    let (mut fleet, now) = stalled_fleet(20);
    fleet.start_rates.note(&BTreeMap::new(), now);
    let next = submission(1, 2, Some("loud"));
    assert_eq!(admit(&state(), Some(&fleet), &next, &policy(), now), Ok(()));
}
