//! Measures the time of a planning round on a full service of 350 workers, without and with room
//! that is kept for urgent short tasks:
//! `cargo run --release -p cyclamenloft-placement --example round_cost`

use cyclamenloft_placement::submission::{
    Command, Fleet, LoadPolicy, Observation, Queue, RouteTable, Step, Submission, SubmissionState,
    WorkerInfo, planner, routes::QueuePolicy,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::Resources;
use std::time::{Duration, Instant};

const ROUNDS: u32 = 400;

fn policy() -> QueuePolicy {
    let service = "pool".into();
    QueuePolicy {
        service,
        max_attempts: 3,
        slack_millis: 2_000,
        target_ms: 300,
        ..Default::default()
    }
}

fn submission(id: u64, count: u16, lasting: bool) -> Submission {
    let cpu = if lasting { 3_200 } else { 1_800 };
    let demand = Resources::new(cpu, 1_000, 0);
    let image = lasting.then(|| "web".into());
    let step = Step { count, demand, estimate_ms: 640, lasting, image, ..Step::default() };
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

fn main() {
    let base = Instant::now();
    let mut state = SubmissionState::default();
    let mut index = 0;
    let mut apply = |state: &mut SubmissionState, command: &Command| {
        index += 1;
        state.apply(index, command);
    };
    let queue = Queue { host: "host".into(), prefix: "/queue/".into(), policy: policy() };
    let routes = RouteTable { number: 1, queues: vec![queue], ..RouteTable::default() };
    apply(&mut state, &Command::Configure(routes));
    for n in 0..350_u32 {
        let cores = if n.is_multiple_of(2) { 16 } else { 24 };
        let worker = WorkerInfo {
            id: format!("w{n}").into(),
            started_ms: 1,
            service: "pool".into(),
            addr: format!("10.0.{}.{}:80", 1 + n / 200, 1 + n % 200).parse().expect("an address"),
            domain: "d1".into(),
            rack: "r1".into(),
            labels: Vec::new(),
            capacity: Resources::new(cores * 1_000, 256_000, 0),
            machine: None,
            draining: false,
            leaving: false,
        };
        apply(&mut state, &Command::Register(worker));
    }
    let seen = Observation {
        started_ms: 1,
        clock_ms: 1,
        running: vec![],
        ended: vec![],
        is_partial: false,
    };
    let mut fleets = [false, true].map(|reserve_for_urgent| {
        let mut fleet = Fleet::new(Duration::from_secs(3), base);
        fleet.load_policy = LoadPolicy { reserve_for_urgent, ..LoadPolicy::default() };
        fleet
    });
    let observe = |state: &SubmissionState, fleet: &mut Fleet, at_ms: u64| {
        let now = base + Duration::from_millis(at_ms);
        for (id, _) in state.incarnations() {
            fleet.observe(state, id, &seen, base, now);
        }
        now
    };
    // Short tasks take some room, and long-running ones fill the rest and wait.
    for id in 1..=20 {
        apply(
            &mut state,
            &Command::Submit { submission: submission(id, 10, false), policy: policy(), at_ms: 0 },
        );
    }
    let now = observe(&state, &mut fleets[0], 10);
    let placed = planner::plan(&state, &mut fleets[0], now, 10);
    apply(&mut state, &Command::Place(placed));
    for id in 100..300 {
        apply(
            &mut state,
            &Command::Submit { submission: submission(id, 14, true), policy: policy(), at_ms: 0 },
        );
    }
    for at_ms in (20..400).step_by(10) {
        let now = observe(&state, &mut fleets[0], at_ms);
        let placed = planner::plan(&state, &mut fleets[0], now, at_ms);
        apply(&mut state, &Command::Place(placed));
    }
    for id in 1_000..1_060 {
        apply(
            &mut state,
            &Command::Submit {
                submission: submission(id, 10, false),
                policy: policy(),
                at_ms: 400,
            },
        );
    }
    let mut times = [Duration::ZERO; 2];
    for round in 0..u64::from(ROUNDS) {
        for (fleet, time) in fleets.iter_mut().zip(&mut times) {
            let now = observe(&state, fleet, 400 + round);
            let began = Instant::now();
            std::hint::black_box(planner::plan(&state, fleet, now, 400 + round));
            *time += began.elapsed();
        }
    }
    let [off, on] = times.map(|time| (time / ROUNDS).as_secs_f64() * 1e6);
    let (waiting, _) = planner::waiting(&state, &fleets[1], 0, now, 400);
    println!(
        "{waiting} tasks wait; a round takes {off:.0} us without, {on:.0} us with: {:.2}",
        on / off
    );
}
