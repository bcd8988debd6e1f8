//! Safety under failures: no task runs twice at the same time or again after it is
//! done, and no worker exceeds its capacity. The simulated cluster checks this at
//! each tick; these tests bring about the failures.

use super::cluster::{Cluster, Link, step, submission, worker};
use cyclamenloft_placement::submission::{Command, Phase, Step, TaskId, WorkerInfo};
use proptest::{prelude::*, test_runner::RngSeed};

fn cluster_of(n: usize) -> Cluster {
    let names = ["wa", "wb", "wc", "wd", "we"];
    Cluster::new(names[..n].iter().map(|name| worker(name, 4)))
}

fn task(submission: u64, index: u16) -> TaskId {
    TaskId { submission, occurrence: 0, step: 0, index }
}

macro_rules! case {
    ($name:ident, $cluster:expr, |$w:ident| $body:block) => {
        #[test]
        fn $name() {
            let mut $w = $cluster;
            $body
        }
    };
}

case!(submissions_complete_without_failures, cluster_of(3), |w| {
    w.submit(submission(1, vec![step(8), Step { depends_on: vec![0], ..step(4) }]));
    w.run(3_000);
    assert_eq!(w.phase(1), Phase::Complete);
    assert_eq!(w.starts.len(), 12);
});

case!(a_step_waits_for_those_it_depends_on, cluster_of(3), |w| {
    w.submit(submission(1, vec![step(2), Step { depends_on: vec![0], ..step(1) }]));
    w.run(400);
    assert!(w.starts.iter().all(|(t, ..)| t.step == 0), "{:?}", w.starts);
    w.run(2_000);
    assert_eq!(w.phase(1), Phase::Complete);
});

case!(a_task_of_a_crashed_worker_runs_again_after_its_lease, cluster_of(2), |w| {
    w.submit(submission(1, vec![step(6)]));
    w.run(150);
    let on_a: Vec<_> = w.starts.iter().filter(|s| &*s.1 == "wa").map(|s| s.0).collect();
    assert!(!on_a.is_empty());
    w.worker("wa").crash();
    w.run(2_500);
    assert_eq!(w.phase(1), Phase::Open, "the lease may not have expired yet");
    w.run(4_000);
    assert_eq!(w.phase(1), Phase::Complete);
});

// Each unanswered poll carries a lease. If it extended the lease, a crashed worker
// would never count as lost.
case!(polls_without_an_answer_do_not_extend_a_lease, cluster_of(1), |w| {
    w.submit(submission(1, vec![step(1)]));
    w.run(150);
    w.worker("wa").crash();
    w.run(4_500);
    assert_eq!(w.state.incarnations().count(), 0, "the incarnation has not been ended");
});

// The workers keep running while the leader can't reach them, and come back.
case!(tasks_of_unreachable_workers_do_not_run_twice, cluster_of(2), |w| {
    w.submit(submission(1, vec![Step { lasting: true, ..step(2) }]));
    w.run(200);
    w.worker("wa").link = Link::Cut;
    w.worker("wb").link = Link::Cut;
    w.run(8_000);
    w.worker("wa").link = Link::Open;
    w.worker("wb").link = Link::Open;
    w.run(3_000);
});

// The starts get no answer and are carried out when the tasks may already be
// placed elsewhere.
case!(a_delayed_start_does_not_run_a_task_twice, cluster_of(2), |w| {
    for name in ["wa", "wb"] {
        w.worker(name).link = Link::Open;
    }
    w.run(100);
    for name in ["wa", "wb"] {
        w.worker(name).link = Link::Delayed(2_000);
    }
    w.submit(submission(1, vec![step(4)]));
    w.run(150);
    for name in ["wa", "wb"] {
        w.worker(name).link = Link::Open;
    }
    w.run(6_000);
    assert_eq!(w.phase(1), Phase::Complete);
});

// A worker that answers again between the proposal and the commit of its loss
// must not start a run whose task is placed elsewhere.
case!(a_worker_back_while_its_loss_is_committed_gets_no_order, cluster_of(2), |w| {
    w.run(100);
    w.worker("wa").link = Link::Cut;
    w.worker("wb").link = Link::Cut;
    w.submit(submission(1, vec![step(6)]));
    // The window lasts one commit, so many moments around the end of the lease
    // are tried.
    for _ in 0..60 {
        w.run(50);
        w.worker("wa").link = Link::Open;
        w.run(15);
        w.worker("wa").link = Link::Cut;
    }
});

case!(a_new_incarnation_ends_the_runs_of_the_old_one_immediately, cluster_of(1), |w| {
    w.submit(submission(1, vec![step(1)]));
    w.run(150);
    w.worker("wa").crash();
    w.join(WorkerInfo { started_ms: 2, ..worker("wa", 4) });
    w.run(1_500);
    assert_eq!(w.phase(1), Phase::Complete, "no lease has to be waited for");
});

case!(a_report_of_an_old_incarnation_is_ignored, cluster_of(1), |w| {
    w.join(WorkerInfo { started_ms: 5, ..worker("wa", 4) });
    w.apply(Command::Register(WorkerInfo { started_ms: 3, ..worker("wa", 64) }));
    let (_, incarnation) = w.state.newest_incarnation("wa").unwrap();
    assert_eq!((incarnation.worker.started_ms, incarnation.worker.capacity.cpu_millis), (5, 4_000));
});

case!(a_new_leader_keeps_the_existing_runs, cluster_of(2), |w| {
    w.submit(submission(1, vec![step(6)]));
    w.run(200);
    w.elect();
    w.run(2_000);
    assert_eq!(w.phase(1), Phase::Complete);
    assert_eq!(w.starts.len(), 6, "a task was started again");
});

case!(an_order_of_a_former_leader_is_fenced, cluster_of(1), |w| {
    w.run(100);
    w.worker("wa").link = Link::Delayed(1_000);
    w.submit(submission(1, vec![step(1)]));
    w.run(100);
    w.worker("wa").link = Link::Open;
    w.elect();
    w.run(3_000);
    assert_eq!(w.phase(1), Phase::Complete);
    assert_eq!(w.starts.len(), 1);
});

case!(nothing_starts_after_a_cancel, cluster_of(1), |w| {
    w.submit(submission(1, vec![step(12)]));
    w.run(100);
    w.apply(Command::Cancel(vec![1]));
    let before = w.starts.len();
    w.run(100);
    w.run(2_000);
    assert_eq!(w.starts.len(), before);
    assert!((0..12).all(|i| w.running(task(1, i)).is_empty()), "a task still runs");
});

case!(a_task_that_fails_too_often_fails_its_submission, cluster_of(1), |w| {
    w.worker("wa").fails = true;
    w.submit(submission(1, vec![step(1)]));
    w.run(20_000);
    assert_eq!(w.phase(1), Phase::Failed);
    assert_eq!(w.starts.len(), 3, "there must be max_attempts runs and no more");
});

case!(a_long_task_is_restarted_after_any_number_of_failures, cluster_of(2), |w| {
    w.worker("wa").fails = true;
    w.worker("wb").fails = true;
    w.submit(submission(1, vec![Step { lasting: true, ..step(1) }]));
    w.run(12_000);
    assert!(w.starts.len() > 4, "no restart after max_attempts failures: {:?}", w.starts);
    assert_eq!(w.phase(1), Phase::Open);
});

/// A fault, or the repair of one.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Cut(usize),
    Delayed(usize, u64),
    Reconnect(usize),
    Crash(usize),
    Restart(usize),
    Elect,
    Drain(usize),
    Cancel(u64),
    Fail(usize, bool),
    Stall(usize, bool),
}

fn fault() -> impl Strategy<Value = Fault> {
    let w = 0..4usize;
    prop_oneof![
        w.clone().prop_map(Fault::Cut),
        (w.clone(), 500..9_000u64).prop_map(|(w, ms)| Fault::Delayed(w, ms)),
        w.clone().prop_map(Fault::Reconnect),
        w.clone().prop_map(Fault::Reconnect),
        w.clone().prop_map(Fault::Crash),
        w.clone().prop_map(Fault::Restart),
        Just(Fault::Elect),
        w.clone().prop_map(Fault::Drain),
        (1..5u64).prop_map(Fault::Cancel),
        (w.clone(), any::<bool>()).prop_map(|(w, on)| Fault::Fail(w, on)),
        (w, any::<bool>()).prop_map(|(w, on)| Fault::Stall(w, on)),
    ]
}

fn inject(w: &mut Cluster, fault: Fault, started_ms: u64) {
    let name = |n: usize| ["wa", "wb", "wc", "wd"][n];
    match fault {
        Fault::Cut(n) => w.worker(name(n)).link = Link::Cut,
        Fault::Delayed(n, ms) => w.worker(name(n)).link = Link::Delayed(ms),
        Fault::Reconnect(n) => w.worker(name(n)).link = Link::Open,
        Fault::Crash(n) => w.worker(name(n)).crash(),
        Fault::Restart(n) => {
            w.worker(name(n)).crash();
            w.join(WorkerInfo { started_ms, ..worker(name(n), 4) });
        }
        Fault::Elect => w.elect(),
        Fault::Drain(n) => {
            let info = w.worker(name(n)).info.clone();
            w.apply(Command::Register(WorkerInfo { draining: true, ..info }));
        }
        Fault::Cancel(id) => drop(w.apply(Command::Cancel(vec![id]))),
        Fault::Fail(n, on) => w.worker(name(n)).fails = on,
        Fault::Stall(n, on) => w.worker(name(n)).stalls = on,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against combinations of faults that break an invariant, which the
    /// cluster checks at each tick, or that leave a submission stuck after all
    /// workers are restarted.
    #[test]
    fn any_mix_of_faults_is_safe(
        faults in proptest::collection::vec((fault(), 10..1_500u64), 1..25)
    ) {
        let mut w = cluster_of(4);
        for id in 1..4 {
            let copies = id == 3;
            let first = Step { copies, ..step(5) };
            w.submit(submission(id, vec![first, Step { depends_on: vec![0], ..step(3) }]));
        }
        w.submit(submission(4, vec![Step { lasting: true, ..step(3) }]));
        for (i, (fault, millis)) in faults.into_iter().enumerate() {
            inject(&mut w, fault, 10 + i as u64);
            w.run(millis);
        }
        for n in 0..4 {
            inject(&mut w, Fault::Restart(n), 1_000);
        }
        w.run(15_000);
        for id in 1..4 {
            prop_assert_ne!(w.phase(id), Phase::Open, "submission {} is stuck", id);
        }
    }
}
