//! The invariants of the placement state under random commands, and the effects
//! of single commands.

use cyclamenloft_placement::{
    AttemptEnd, Command, EndedAttempt, Placement, PlacementState, WorkerRecord, command::Applied,
    state::holder,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{ErrorKind, JobSpec, Priority, Resources, TaskKey, TaskState, WorkerId};
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::BTreeMap;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn resources() -> impl Strategy<Value = Resources> {
    (1..9u32, 1..9u32, 0..2u16).prop_map(|(c, m, a)| Resources::new(c * 1000, m * 1024, a))
}

fn worker_id() -> impl Strategy<Value = WorkerId> {
    (0..3u32).prop_map(|n| format!("w{n}").into())
}

fn task_key() -> impl Strategy<Value = TaskKey> {
    (0..4u32, 0..3u32).prop_map(|(n, index)| TaskKey { job: format!("j{n}").into(), index })
}

fn spec() -> impl Strategy<Value = JobSpec> {
    (0..4u32, 0..3u8, 1..4u32, resources()).prop_map(|(n, priority, tasks, resources)| JobSpec {
        id: format!("j{n}").into(),
        team: format!("t{}", n % 2).into(),
        class: "class".into(),
        priority: [Priority::Batch, Priority::Service, Priority::Urgent][priority as usize],
        tasks,
        resources,
        run_time_ms: 1000,
        deadline_ms: (n == 0).then_some(5000),
        home: None,
        payload: "payload".into(),
    })
}

fn end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::Finished),
        Just(AttemptEnd::Failed { reason: "broken".into() }),
        Just(AttemptEnd::Refused { reason: "full".into() }),
        proptest::option::of(0..1000u32)
            .prop_map(|c| AttemptEnd::Evicted { checkpoint: c.map(|c| format!("c{c}").into()) }),
        Just(AttemptEnd::Stopped),
    ]
}

/// A generated command. A `bool` states whether the attempt or registration that
/// the command names is off by one instead of current.
#[derive(Clone, Debug)]
enum Step {
    Register(WorkerId, u64, Resources),
    Lost(WorkerId, bool),
    Submit(JobSpec),
    Cancel(Vec<u32>),
    Place(Vec<(TaskKey, WorkerId, Resources, bool)>),
    Evict(TaskKey, bool),
    Ended(TaskKey, bool, AttemptEnd),
    Forget,
}

fn step() -> impl Strategy<Value = Step> {
    let stale = || proptest::bool::weighted(0.2);
    let placement = (task_key(), worker_id(), resources(), stale());
    prop_oneof![
        2 => (worker_id(), 1..3u64, resources()).prop_map(|(w, b, r)| Step::Register(w, b, r)),
        1 => (worker_id(), stale()).prop_map(|(w, s)| Step::Lost(w, s)),
        2 => spec().prop_map(Step::Submit),
        1 => proptest::collection::vec(0..5u32, 1..3).prop_map(Step::Cancel),
        8 => proptest::collection::vec(placement, 1..4).prop_map(Step::Place),
        2 => (task_key(), stale()).prop_map(|(k, s)| Step::Evict(k, s)),
        4 => (task_key(), stale(), end()).prop_map(|(k, s, e)| Step::Ended(k, s, e)),
        1 => Just(Step::Forget),
    ]
}

fn command(state: &PlacementState, step: Step) -> Command {
    let attempt = |key: &TaskKey, stale: bool| {
        state.task(key).map_or(1, |t| if stale { t.attempt.saturating_sub(1) } else { t.attempt })
    };
    match step {
        Step::Register(id, boot, capacity) => Command::Register(WorkerRecord {
            id,
            boot,
            domain: "d".into(),
            rack: "r".into(),
            capacity,
        }),
        Step::Lost(worker, stale) => {
            let known = state.worker(&worker);
            let registered = known.map_or(1, |w| w.registered) - u64::from(stale);
            Command::WorkerLost { boot: known.map_or(1, |w| w.record.boot), worker, registered }
        }
        Step::Submit(spec) => Command::Submit { spec, at_unix_ms: 1_000_000 },
        Step::Cancel(jobs) => {
            Command::Cancel(jobs.into_iter().map(|n| format!("j{n}").into()).collect())
        }
        Step::Place(placements) => Command::Place(
            placements
                .into_iter()
                .map(|(task, worker, reserved, stale)| Placement {
                    attempt: attempt(&task, stale) + 1,
                    boot: state.worker(&worker).map_or(1, |w| w.record.boot),
                    task,
                    worker,
                    reserved,
                })
                .collect(),
        ),
        Step::Evict(task, stale) => Command::Evict(vec![(task.clone(), attempt(&task, stale))]),
        Step::Ended(task, stale, end) => Command::Ended(vec![EndedAttempt {
            attempt: attempt(&task, stale),
            task,
            end,
            max_failures: 3,
        }]),
        Step::Forget => Command::Forget {
            jobs: state.jobs().map(|j| j.spec.id.clone()).collect(),
            workers: state.workers().map(|w| w.record.id.clone()).collect(),
        },
    }
}

/// The worker and attempt that may be running for each task, tracked
/// independently of the state.
#[derive(Default)]
struct PossibleRuns(BTreeMap<TaskKey, (WorkerId, u32)>);

impl PossibleRuns {
    /// Removes the attempts that a command certainly ends, given the state before it.
    fn remove_ended(&mut self, state: &PlacementState, command: &Command) {
        match command {
            Command::Register(record) => {
                let has_new_boot =
                    state.worker(&record.id).is_some_and(|w| w.record.boot != record.boot);
                if has_new_boot {
                    self.0.retain(|_, (w, _)| *w != record.id);
                }
            }
            Command::WorkerLost { worker, boot, registered } => {
                let current = state
                    .worker(worker)
                    .is_some_and(|w| w.record.boot == *boot && w.registered == *registered);
                if current {
                    self.0.retain(|_, (w, _)| w != worker);
                }
            }
            Command::Ended(ended) => {
                for e in ended {
                    if self.0.get(&e.task).is_some_and(|(_, a)| *a == e.attempt) {
                        self.0.remove(&e.task);
                    }
                }
            }
            _ => {}
        }
    }

    /// Adds the attempts placed by the last command, and checks that no task was
    /// placed elsewhere while an earlier attempt may still be running.
    fn add_placed(&mut self, state: &PlacementState) -> Result<(), TestCaseError> {
        for job in state.jobs() {
            for (index, task) in job.tasks.iter().enumerate() {
                let key = TaskKey { job: job.spec.id.clone(), index: index as u32 };
                let held = holder(&task.state).map(|(w, a)| (w.clone(), a));
                match (self.0.get(&key), held) {
                    (Some(running), held) => prop_assert_eq!(Some(running.clone()), held),
                    (None, Some(held)) => {
                        self.0.insert(key, held);
                    }
                    (None, None) => {}
                }
            }
        }
        Ok(())
    }
}

fn reserved(state: &PlacementState) -> BTreeMap<WorkerId, (Resources, Resources)> {
    state.workers().map(|w| (w.record.id.clone(), (w.reserved, w.record.capacity))).collect()
}

proptest! {
    #![proptest_config(config(41))]

    /// Guards against reservations above a worker's capacity, two attempts of a
    /// task at a time, and attempt numbers that decrease, after any sequence of
    /// current and outdated commands.
    #[test]
    fn invariants_hold_under_random_commands(steps in proptest::collection::vec(step(), 1..80)) {
        let mut state = PlacementState::default();
        let mut possible_runs = PossibleRuns::default();
        for (index, step) in steps.into_iter().enumerate() {
            let command = command(&state, step);
            let attempts: BTreeMap<_, _> = state
                .jobs()
                .flat_map(|j| j.tasks.iter().enumerate().map(|(i, t)| {
                    (TaskKey { job: j.spec.id.clone(), index: i as u32 }, t.attempt)
                }))
                .collect();
            let before = reserved(&state);
            possible_runs.remove_ended(&state, &command);
            let _ = state.apply(index as u64 + 1, &command);
            prop_assert_eq!(state.verify(), Ok(()));
            possible_runs.add_placed(&state)?;
            for (id, (now, capacity)) in reserved(&state) {
                let was = before.get(&id).map_or(Resources::ZERO, |(r, _)| *r);
                prop_assert!(now.fits_in(&capacity) || now.fits_in(&was), "{} grew to {}", id, now);
            }
            for (key, attempt) in attempts {
                if let Some(task) = state.task(&key) {
                    prop_assert!(task.attempt >= attempt);
                }
            }
        }
    }

    /// Guards against data lost in the encoding of commands or snapshots, and
    /// against indexes that are derived wrongly when a snapshot is decoded.
    #[test]
    fn commands_and_snapshots_round_trip(steps in proptest::collection::vec(step(), 1..60)) {
        let mut state = PlacementState::default();
        for (index, step) in steps.into_iter().enumerate() {
            let command = command(&state, step);
            let _ = state.apply(index as u64 + 1, &command);
            let bytes = postcard::to_stdvec(&command).unwrap();
            prop_assert_eq!(postcard::from_bytes::<Command>(&bytes).unwrap(), command);
        }
        let restored = PlacementState::decode(&state.encode()).unwrap();
        prop_assert_eq!(&restored, &state);
        prop_assert_eq!(restored.verify(), Ok(()));
        prop_assert_eq!(restored.capacity(), state.capacity());
        prop_assert_eq!(restored.reserved(), state.reserved());
        prop_assert_eq!(restored.done_counts(), state.done_counts());
    }

    /// Guards against replicas that diverge after one of them was restored from a
    /// snapshot, which happens if data outside the snapshot affects later commands.
    #[test]
    fn a_replica_restored_from_a_snapshot_stays_identical(
        steps in proptest::collection::vec(step(), 1..60),
        cut in 0..60usize,
    ) {
        let mut state = PlacementState::default();
        let mut replica = PlacementState::default();
        for (index, step) in steps.into_iter().enumerate() {
            if index == cut {
                replica = PlacementState::decode(&replica.encode()).unwrap();
            }
            let command = command(&state, step);
            let result = state.apply(index as u64 + 1, &command);
            let replica_result = replica.apply(index as u64 + 1, &command);
            prop_assert_eq!(format!("{result:?}"), format!("{replica_result:?}"));
        }
        prop_assert_eq!(state, replica);
    }

    /// Guards against a panic of a replica that reads a damaged or truncated snapshot.
    #[test]
    fn decoding_a_damaged_snapshot_does_not_panic(
        steps in proptest::collection::vec(step(), 1..30),
        flips in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut state = PlacementState::default();
        for (index, step) in steps.into_iter().enumerate() {
            let command = command(&state, step);
            let _ = state.apply(index as u64 + 1, &command);
        }
        let mut bytes = state.encode();
        for (at, value) in flips {
            let at = at.index(bytes.len());
            bytes[at] ^= value;
        }
        if let Ok(state) = PlacementState::decode(&bytes) {
            let _ = state.verify();
        }
        let _ = PlacementState::decode(&bytes[..cut.index(bytes.len())]);
    }

    #[test]
    fn decoding_arbitrary_bytes_fails_only_as_corrupt(
        bytes in proptest::collection::vec(any::<u8>(), 0..256),
    ) {
        if let Err(e) = PlacementState::decode(&bytes) {
            prop_assert_eq!(e.kind, ErrorKind::Corrupt);
        }
    }
}

fn apply(state: &mut PlacementState, index: u64, command: &Command) -> Applied {
    state.apply(index, command).expect("the command is valid")
}

fn record(id: &str, capacity: Resources) -> WorkerRecord {
    WorkerRecord { id: id.into(), boot: 1, domain: "d".into(), rack: "r".into(), capacity }
}

fn one_job(id: &str, resources: Resources) -> JobSpec {
    let mut spec = crate::common::job(id, 1, 1);
    spec.resources = resources;
    spec
}

/// Guards against a job that waits forever although no worker is large enough,
/// which happens if each resource is checked against a different worker.
#[test]
fn a_job_that_fits_no_worker_cannot_run_until_a_larger_worker_registers() {
    let mut state = PlacementState::default();
    // One worker has enough CPU and another enough memory, but none has both.
    let cpu_heavy = Resources::new(16_000, 1024, 0);
    let memory_heavy = Resources::new(1000, 65_536, 0);
    apply(&mut state, 1, &Command::Register(record("w0", cpu_heavy)));
    apply(&mut state, 2, &Command::Register(record("w1", memory_heavy)));
    let spec = one_job("both", Resources::new(8000, 32_768, 0));
    apply(&mut state, 3, &Command::Submit { spec, at_unix_ms: 1 });
    let shown = state.job_state("both").unwrap();
    assert_eq!(shown.tasks, [TaskState::CannotRun]);
    assert_eq!(
        &*shown.reason,
        "needs 8000 mCPU, 32768 MiB, 0 accelerators a task; \
         the largest worker holds 16000 mCPU, 1024 MiB, 0 accelerators"
    );
    assert_eq!(state.waiting().count(), 0);
    let large = Resources::new(16_000, 65_536, 0);
    apply(&mut state, 4, &Command::Register(record("w2", large)));
    assert_eq!(state.waiting().count(), 1);
    assert_eq!(state.verify(), Ok(()));
}

/// Guards against ending the attempts of a worker that has registered again. An
/// outdated command can still declare it lost after that.
#[test]
fn the_loss_of_a_worker_is_ignored_after_it_registered_again() {
    let mut state = PlacementState::default();
    let capacity = Resources::new(4000, 4096, 0);
    apply(&mut state, 1, &Command::Register(record("w0", capacity)));
    let lost = Command::WorkerLost { worker: "w0".into(), boot: 1, registered: 1 };
    assert_eq!(apply(&mut state, 2, &lost), Applied::Changed);
    apply(&mut state, 3, &Command::Register(record("w0", capacity)));
    assert_eq!(apply(&mut state, 4, &lost), Applied::Already);
    assert!(state.worker("w0").unwrap().alive);
}

/// Guards against running a job again when a client repeats the submission after
/// the job is over.
#[test]
fn a_repeated_submission_is_recognized_until_the_job_is_removed() {
    let mut state = PlacementState::default();
    let spec = one_job("j", Resources::new(1000, 1024, 0));
    let submit = Command::Submit { spec: spec.clone(), at_unix_ms: 1 };
    apply(&mut state, 1, &submit);
    apply(&mut state, 2, &Command::Cancel(vec!["j".into()]));
    assert_eq!(apply(&mut state, 3, &submit), Applied::Already);
    let mut other = spec;
    other.payload = Box::default();
    let conflict = state.apply(4, &Command::Submit { spec: other, at_unix_ms: 1 }).unwrap_err();
    assert_eq!(conflict.kind, ErrorKind::Conflict);
    let forget = Command::Forget { jobs: vec!["j".into()], workers: vec![] };
    apply(&mut state, 5, &forget);
    assert_eq!(apply(&mut state, 6, &submit), Applied::Changed);
}

/// Guards against running a task again that completed on a worker declared lost,
/// and against an outdated completion that ends a newer attempt.
#[test]
fn a_late_completion_on_a_lost_worker_counts_until_the_task_is_placed_again() {
    let mut state = PlacementState::default();
    let capacity = Resources::new(4000, 4096, 0);
    apply(&mut state, 1, &Command::Register(record("w0", capacity)));
    let spec = one_job("j", Resources::new(1000, 1024, 0));
    apply(&mut state, 2, &Command::Submit { spec, at_unix_ms: 1 });
    let place = |attempt| {
        Command::Place(vec![Placement {
            task: crate::common::key("j", 0),
            attempt,
            worker: "w0".into(),
            boot: 1,
            reserved: Resources::new(1000, 1024, 0),
        }])
    };
    let finished = |attempt| {
        Command::Ended(vec![EndedAttempt {
            task: crate::common::key("j", 0),
            attempt,
            end: AttemptEnd::Finished,
            max_failures: 5,
        }])
    };
    apply(&mut state, 3, &place(1));
    let lost = Command::WorkerLost { worker: "w0".into(), boot: 1, registered: 1 };
    apply(&mut state, 4, &lost);
    apply(&mut state, 5, &Command::Register(record("w0", capacity)));
    let mut placed_again = state.clone();
    assert_eq!(apply(&mut state, 6, &finished(1)), Applied::Changed);
    assert_eq!(state.job_state("j").unwrap().tasks, [TaskState::Finished]);
    apply(&mut placed_again, 6, &place(2));
    assert_eq!(apply(&mut placed_again, 7, &finished(1)), Applied::Already);
    assert_eq!(placed_again.worker("w0").unwrap().tasks.len(), 1);
}

fn start_on_workers_that_crash() {
    let mut state = PlacementState::default();
    let capacity = Resources::new(4000, 4096, 0);
    let spec = one_job("j", Resources::new(1000, 1024, 0));
    apply(&mut state, 1, &Command::Submit { spec, at_unix_ms: 1 });
    // The users allow fewer than three starts after the third crash.
    for attempt in 1..=6u32 {
        let id: WorkerId = format!("w{attempt}").into();
        let registered = WorkerRecord { id: id.clone(), ..record("w0", capacity) };
        let index = u64::from(attempt) * 10;
        apply(&mut state, index, &Command::Register(registered.clone()));
        let placement = Placement {
            task: crate::common::key("j", 0),
            attempt,
            worker: id,
            boot: 1,
            reserved: Resources::new(1000, 1024, 0),
        };
        let placed = apply(&mut state, index + 1, &Command::Place(vec![placement]));
        assert!(attempt < 6 || placed == Applied::Already, "start {attempt} after 5 crashes");
        let restarted = WorkerRecord { boot: 2, ..registered };
        apply(&mut state, index + 2, &Command::Register(restarted));
    }
}

/// Guards against a task of a job that crashes worker after worker.
#[test]
fn a_task_that_crashes_its_workers_is_not_started_again_and_again() {
    let name =
        concat!(module_path!(), "::a_task_that_crashes_its_workers_is_not_started_again_and_again");
    crate::known_red::run_named(name, start_on_workers_that_crash);
}
