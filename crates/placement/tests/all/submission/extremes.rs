//! Reports and lists whose numbers are as large as their types allow. The tests are built with
//! checks of arithmetic, so an overflow fails them.

use super::cluster::{Cluster, bound, step, submission, worker};
use cyclamenloft_placement::submission::{
    Command, EndReason, ListedRun, Observation, Placement, ReportStamp, RunEnd, Step,
    SubmissionState, TaskId, WorkerInfo, WorkerReport, planner,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::Resources;
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::{Duration, Instant};

fn edge_u64() -> impl Strategy<Value = u64> {
    // Times of workers' clocks and numbers of JSON are decoded up to this value.
    prop_oneof![Just(0), Just(1), Just(9_000_000_000_000_000), Just(u64::MAX), any::<u64>()]
}

fn edge_u32() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), any::<u32>()]
}

fn edge_u16() -> impl Strategy<Value = u16> {
    prop_oneof![Just(0), Just(1), Just(u16::MAX)]
}

fn task() -> impl Strategy<Value = TaskId> {
    let known = (1..4u64, 0..2u16).prop_map(|(submission, index)| TaskId {
        submission,
        occurrence: 0,
        step: 0,
        index,
    });
    let unknown = (edge_u64(), edge_u32(), edge_u16(), edge_u16()).prop_map(
        |(submission, occurrence, step, index)| TaskId { submission, occurrence, step, index },
    );
    prop_oneof![3 => known, 1 => unknown]
}

fn run() -> impl Strategy<Value = ListedRun> {
    let percent = prop_oneof![Just(0u8), Just(100), any::<u8>()];
    let attempt = prop_oneof![3 => Just(1), 1 => edge_u32()];
    (task(), attempt, percent, edge_u32()).prop_map(|(task, attempt, percent, metric)| ListedRun {
        task,
        attempt,
        checkpoint: "c".into(),
        percent,
        metric,
    })
}

fn end() -> impl Strategy<Value = RunEnd> {
    use EndReason::{Alone, Broken, Done, Failed, Lapsed, Stopped};
    let reason = prop::sample::select(vec![Done, Failed, Stopped, Lapsed, Broken, Alone]);
    let attempt = prop_oneof![Just(1), edge_u32()];
    (task(), attempt, reason).prop_map(|(task, attempt, reason)| RunEnd {
        task,
        attempt,
        reason,
        checkpoint: "c".into(),
    })
}

/// What arrives of one worker.
#[derive(Clone, Debug)]
struct Arrival {
    capacity: Resources,
    started_ms: u64,
    sequence: u64,
    clock_ms: u64,
    cold_remaining_ms: u32,
    running: Vec<ListedRun>,
    ended: Vec<RunEnd>,
}

fn arrival() -> impl Strategy<Value = Arrival> {
    let clock_ms = edge_u64().prop_map(|ms| ms.min(9_000_000_000_000_000));
    let capacity = prop_oneof![
        Just(Resources::new(4_000, 64_000, 0)),
        (edge_u32(), edge_u32(), edge_u16()).prop_map(|(c, m, a)| Resources::new(c, m, a)),
    ];
    let started_ms = prop_oneof![3 => Just(1), 1 => edge_u64()];
    let lists = (proptest::collection::vec(run(), 0..6), proptest::collection::vec(end(), 0..6));
    (capacity, started_ms, edge_u64(), clock_ms, edge_u32(), lists).prop_map(
        |(capacity, started_ms, sequence, clock_ms, cold_remaining_ms, (running, ended))| Arrival {
            capacity,
            started_ms,
            sequence,
            clock_ms,
            cold_remaining_ms,
            running,
            ended,
        },
    )
}

/// Returns a cluster with a sound worker, another one, and tasks of each kind, of which those of
/// each submission run on both.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new([worker("wa", 8), worker("wbb", 8)]);
    let lasting = Step {
        lasting: true,
        image: Some("web".into()),
        target_ms: Some(20),
        max_interrupted: Some(1),
        ..step(2)
    };
    let fills = Step { fills: true, image: Some("batch".into()), ..step(2) };
    for (id, step) in (1..).zip([step(2), lasting, fills]) {
        cluster.submit(submission(id, vec![step]));
        let placements = [1, 2].map(|incarnation| Placement {
            task: TaskId { submission: id, occurrence: 0, step: 0, index: incarnation as u16 - 1 },
            attempt: 1,
            incarnation,
        });
        cluster.apply(Command::Place(placements.to_vec()));
    }
    cluster
}

/// Lets the leader do everything that it does with what has arrived.
fn decide(cluster: &mut Cluster, id: u32, now: Instant, wall_ms: u64) {
    let Cluster { state, fleet, .. } = cluster;
    let _ = fleet.start_deadline_ms(state, id);
    let _ = fleet.capacity_is_fresh(state, id, now);
    let _ = fleet.lacks_lease(state, id, Duration::from_secs(2), now);
    let _ = fleet.delays_starts(state, id);
    let _ = fleet.is_cold(id, now);
    let _ = fleet.view_mut(id, now).grant(now);
    let _ = fleet.view_mut(id, now).lease.latest_end();
    while let Some(order) = fleet.next_order(state, id, now) {
        let answer = cyclamenloft_placement::submission::fleet::OrderAnswer::Taken;
        fleet.order_sent(id, order, now);
        let _ = fleet.answered(id, order, answer, now);
    }
    let _ = fleet.update_stale(state, now);
    let _ = fleet.withdraw_stale(state, now);
    let _ = fleet.withdraw_stuck(now);
    let _ = fleet.withdraw_oversized(state, now);
    let _ = fleet.drain_workers(state);
    let _ = fleet.take_silent(state, now, wall_ms);
    let _ = fleet.advance_waves(state, Duration::from_secs(2), now, wall_ms);
    let _ = fleet.interference.learned();
    let _ = planner::moves(state, fleet, now);
    let _ = planner::question(state, fleet, now, wall_ms);
    let _ = planner::waiting(state, fleet, 3, now, wall_ms);
    let placed = planner::plan(state, fleet, now, wall_ms);
    cluster.apply(Command::Place(placed));
}

fn process(arrivals: &[Arrival]) {
    let mut cluster = cluster();
    let start = Instant::now();
    cluster.fleet.set_report_bound(Some(bound()));
    for (n, arrival) in (1u32..).zip(arrivals) {
        let now = start + Duration::from_millis(300) * n;
        let wall_ms = 1_800_000_000_000 + 300 * u64::from(n);
        let known = WorkerInfo { capacity: arrival.capacity, ..worker("wbb", 8) };
        let info = WorkerInfo { started_ms: arrival.started_ms, ..known };
        let sequence = arrival.sequence;
        cluster.apply(Command::Report(WorkerReport { worker: info, sequence }));
        let Some((id, _)) = cluster.state.newest_incarnation("wbb") else { continue };
        let stamp = ReportStamp {
            worker: "wbb".into(),
            started_ms: arrival.started_ms,
            sequence,
            clock_ms: arrival.clock_ms,
            cold_remaining_ms: arrival.cold_remaining_ms,
            capacity: arrival.capacity,
        };
        cluster.fleet.record_report(id, stamp);
        let seen = Observation {
            is_partial: false,
            started_ms: arrival.started_ms,
            clock_ms: arrival.clock_ms,
            running: arrival.running.clone(),
            ended: arrival.ended.clone(),
        };
        let ends = cluster.fleet.observe(&cluster.state, id, &seen, now, now);
        cluster.apply(Command::Ended { incarnation: id, ends });
        decide(&mut cluster, id, now, wall_ms);
        let restored = SubmissionState::decode(&cluster.state.encode()).unwrap();
        assert_eq!(restored, cluster.state);
        assert!(cluster.state.incarnation(1).is_some(), "the sound worker has ended");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x0dd),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a leader, or each replica that applies or reloads an entry, that ends
    /// because of a number in a report or a list.
    #[test]
    fn extreme_numbers_end_no_replica(arrivals in proptest::collection::vec(arrival(), 1..12)) {
        process(&arrivals);
    }
}
