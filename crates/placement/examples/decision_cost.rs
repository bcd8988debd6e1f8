//! Measures the time of a placement decision and the memory use of the state:
//! `cargo run --release -p cyclamenloft-placement --example decision_cost`

use cyclamenloft_placement::{
    Announcement, AttemptEnd, Command, EndedAttempt, LatencyTarget, PlacementPolicy,
    PlacementState, Report, RunningTask, Scheduler, Timestamp,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{JobSpec, Priority, Resources, TaskKey};
use std::{
    error::Error,
    time::{Duration, Instant},
};

const DECISIONS: u32 = 2000;
const WORKERS_PER_RACK: u32 = 8;
const PAGE_BYTES: u64 = 4096;

struct Group {
    state: PlacementState,
    scheduler: Scheduler,
    now: Timestamp,
    index: u64,
}

impl Group {
    fn new(workers: u32) -> Self {
        let policy = PlacementPolicy {
            latency_targets: vec![LatencyTarget { class: "service".into(), p99_us: 100_000 }],
            lease: Duration::from_secs(36_000),
            ..PlacementPolicy::default()
        };
        let now = Timestamp { instant: Instant::now(), unix: Duration::from_secs(1_800_000_000) };
        let state = PlacementState::default();
        let scheduler = Scheduler::new(policy, &state, now);
        let mut group = Self { state, scheduler, now, index: 0 };
        group.commit(&Command::LeaseBound { lease_ms: 36_000_000 });
        for n in 0..workers {
            let announcement = Announcement {
                worker: format!("worker-{n:04}").into(),
                boot: 1,
                domain: "domain-a".into(),
                rack: format!("rack-{}", n / WORKERS_PER_RACK).into(),
                capacity: Resources::new(16_000, 61_440, u16::from(n % 10 == 0)),
            };
            let command = group.scheduler.announce(&announcement, now);
            group.commit(&command);
        }
        group
    }

    fn commit(&mut self, command: &Command) {
        self.index += 1;
        let _ = self.state.apply(self.index, command);
        self.scheduler.on_committed(&self.state, command);
    }

    fn submit(&mut self, spec: JobSpec) {
        self.commit(&Command::Submit { spec, at_unix_ms: self.now.unix_ms() });
    }

    /// Runs one round of decisions and returns the time that it took.
    fn tick(&mut self) -> (Duration, Vec<Command>) {
        let started = Instant::now();
        let commands = self.scheduler.tick(&self.state, self.now);
        let took = started.elapsed();
        for command in &commands {
            self.commit(command);
        }
        (took, commands)
    }

    /// Fills about two thirds of the capacity with replicas and batch tasks, and
    /// lets each worker report once.
    fn fill_workers(&mut self, workers: u32) {
        self.submit(spec("service", "service", Priority::Service, workers, 3));
        for n in 0..workers {
            let class = format!("class-{}", n % 40);
            self.submit(spec(&format!("fill-{n}"), &class, Priority::Batch, 4, 1 + n % 3));
        }
        for _ in 0..200 {
            self.now = self.now.after(Duration::from_secs(6));
            let (_, commands) = self.tick();
            if !commands.iter().any(|c| matches!(c, Command::Place(_))) {
                break;
            }
        }
        let reports: Vec<Report> = self
            .state
            .workers()
            .map(|w| Report {
                worker: w.record.id.clone(),
                boot: w.record.boot,
                sequence: 1,
                running: w.tasks.iter().map(|key| self.running_task(key)).collect(),
                full: true,
                ended: Vec::new(),
                lag_ms: 2000,
            })
            .collect();
        for report in reports {
            let _ = self.scheduler.report(&self.state, &report, self.now);
        }
    }

    fn running_task(&self, key: &TaskKey) -> RunningTask {
        let is_service = &*key.job == "service";
        RunningTask {
            task: key.clone(),
            attempt: self.state.task(key).map_or(0, |t| t.attempt),
            usage: Resources::new(900, 1024, 0),
            p99_us: is_service.then_some(50_000),
            load_percent: is_service.then_some(60),
            progress_percent: None,
            unsaved_ms: 0,
        }
    }

    /// Measures rounds that place one task each, and returns the sorted times.
    fn time_decisions(&mut self) -> Vec<Duration> {
        let mut times = Vec::new();
        for n in 0..DECISIONS {
            let class = format!("class-{}", n % 40);
            let id = format!("timed-{n}");
            self.submit(spec(&id, &class, Priority::Urgent, 1, 1));
            // Lets time pass between rounds, because the scheduler waits before it
            // puts the same pair of classes with unknown interference on one worker
            // again.
            self.now = self.now.after(Duration::from_millis(100));
            let (took, commands) = self.tick();
            let placed = commands.iter().any(|c| matches!(c, Command::Place(_)));
            if placed {
                times.push(took);
            }
            let task = TaskKey { job: id.into(), index: 0 };
            let end = AttemptEnd::Finished;
            self.commit(&Command::Ended(vec![EndedAttempt {
                task,
                attempt: 1,
                end,
                max_failures: 5,
            }]));
        }
        times.sort_unstable();
        times
    }
}

fn spec(id: &str, class: &str, priority: Priority, tasks: u32, cores: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        team: "team".into(),
        class: class.into(),
        priority,
        tasks,
        resources: Resources::new(cores * 1000, cores * 2048, 0),
        run_time_ms: 600_000,
        deadline_ms: None,
        home: None,
        payload: Box::default(),
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    // Measured first, because memory freed by an earlier part would be reused
    // and hide the growth.
    print_memory_use()?;
    println!("workers  placed  round with one decision: p50 us  p99 us");
    for workers in [50, 500, 2400] {
        let mut group = Group::new(workers);
        group.fill_workers(workers);
        print_percentiles(&workers.to_string(), &group.time_decisions());
    }
    println!("queue at 500 workers (tasks that fit no free capacity, 110 teams, 40 classes)");
    for queue in [100, 10_000, 100_000] {
        let mut group = Group::new(500);
        group.fill_workers(500);
        for n in 0..queue {
            let class = format!("class-{}", n % 40);
            let mut waiting = spec(&format!("wait-{n}"), &class, Priority::Batch, 1, 16);
            waiting.team = format!("team-{}", n % 110).into();
            group.submit(waiting);
        }
        print_percentiles(&queue.to_string(), &group.time_decisions());
    }
    Ok(())
}

fn print_percentiles(what: &str, times: &[Duration]) {
    let micros = |percentile: usize| {
        let rank = (times.len() * percentile / 100).min(times.len().saturating_sub(1));
        times.get(rank).map_or(0.0, |t| t.as_secs_f64() * 1e6)
    };
    println!("{what:>7}  {:>6}  {:>8.1}  {:>8.1}", times.len(), micros(50), micros(99));
}

fn print_memory_use() -> Result<(), Box<dyn Error>> {
    println!("memory: count, encoded bytes per item, resident bytes per item");
    let mut group = Group::new(0);
    let start = (resident_bytes()?, group.state.encode().len());
    let workers = 20_000;
    group = Group::new(workers);
    print_bytes_per_item("worker", workers, start, &group)?;
    let jobs = 100_000;
    let start = (resident_bytes()?, group.state.encode().len());
    for n in 0..jobs {
        group.submit(spec(&format!("job-{n:06}"), "class", Priority::Batch, 1, 1));
    }
    print_bytes_per_item("waiting job", jobs, start, &group)?;
    let tasks = 100_000;
    let start = (resident_bytes()?, group.state.encode().len());
    for n in 0..tasks / 100 {
        group.submit(spec(&format!("wide-{n:06}"), "class", Priority::Batch, 100, 1));
    }
    print_bytes_per_item("waiting task", tasks, start, &group)?;
    let start = (resident_bytes()?, group.state.encode().len());
    let mut placed = 0;
    loop {
        let (_, commands) = group.tick();
        let count: usize =
            commands.iter().map(|c| if let Command::Place(p) = c { p.len() } else { 0 }).sum();
        if count == 0 {
            break;
        }
        placed += count as u32;
    }
    print_bytes_per_item("placed task", placed, start, &group)
}

fn print_bytes_per_item(
    what: &str,
    count: u32,
    start: (u64, usize),
    group: &Group,
) -> Result<(), Box<dyn Error>> {
    let each = |bytes: i64| bytes as f64 / f64::from(count.max(1));
    let encoded = group.state.encode().len() as i64 - start.1 as i64;
    let resident = resident_bytes()? as i64 - start.0 as i64;
    println!("{what:>12}  {count:>7}  {:>7.0}  {:>7.0}", each(encoded), each(resident));
    Ok(())
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split(' ').nth(1).ok_or("no resident size")?.parse()?;
    Ok(pages * PAGE_BYTES)
}
