//! Writes the traces of the two deployments. Every run writes the same files:
//! `cargo run --release -p cyclamenloft-placement --example make_traces -- tests/traces`

use cyclamenloft_placement::{
    Announcement,
    trace::{Bounds, ClassModel, Event, ServiceModel, TraceWriter},
};
use cyclamenloft_types::{JobSpec, Priority, Resources};
use std::{fs::File, io::BufWriter, path::Path};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
/// The start of the traces, at 16:00 UTC. They end 36 hours later, at 04:00.
const START_UNIX_MS: u64 = (20_000 * 24 + 16) * HOUR_MS;
const LENGTH_MS: u64 = 36 * HOUR_MS;
const WORKERS_PER_RACK: u32 = 8;
/// Number of jobs into which the replicas of a service are split.
const JOBS_PER_SERVICE: u32 = 4;

/// Load of a service that peaks in the evening, by hour of the day.
const EVENING_LOAD_PERCENT: [u16; 24] = [
    30, 20, 15, 12, 10, 10, 15, 25, 35, 40, 42, 45, 50, 48, 45, 48, 55, 68, 85, 98, 100, 92, 70, 48,
];
/// Load of a service used in office hours, by hour of the day.
const OFFICE_HOURS_LOAD_PERCENT: [u16; 24] = [
    15, 12, 10, 10, 12, 20, 40, 70, 90, 95, 92, 85, 80, 85, 90, 92, 95, 85, 70, 60, 50, 40, 30, 20,
];

struct Service {
    class: &'static str,
    replicas: u32,
    size: Resources,
    p99_us: u64,
    idle: f64,
    busy: f64,
    load_percent: [u16; 24],
}

struct Batch {
    class: &'static str,
    team: &'static str,
    size: Resources,
    /// Declared run time of a task in minutes.
    minutes: u64,
    cpu_ratio: f64,
    run_ratio: f64,
    checkpoints: bool,
    /// Number of tasks in each job.
    tasks: u32,
    jobs: u32,
    /// Interference weight on each service of the deployment, in the order of
    /// the deployment's services.
    weights: &'static [f64],
}

struct Deployment {
    name: &'static str,
    seed: u64,
    workers: u32,
    capacity: Resources,
    services: Vec<Service>,
    batch: Vec<Batch>,
    urgent: Resources,
}

/// A linear congruential generator, which makes every run write the same files.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn resources(cores: u32, memory_gib: u32) -> Resources {
    Resources::new(cores * 1000, memory_gib * 1024, 0)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let dir = std::env::args().nth(1).unwrap_or_else(|| "tests/traces".into());
    std::fs::create_dir_all(&dir)?;
    for deployment in [roomwise(), comhar()] {
        let path = Path::new(&dir).join(format!("{}.jsonl", deployment.name));
        let mut events = deployment.events();
        events.sort_by_key(|(at, _)| *at);
        let mut writer = TraceWriter::new(BufWriter::new(File::create(&path)?));
        for (at, event) in events {
            writer.write(at, event)?;
        }
    }
    Ok(())
}

fn roomwise() -> Deployment {
    let service = |class, replicas, cores, p99_us, idle, busy| Service {
        class,
        replicas,
        size: resources(cores, 4),
        p99_us,
        idle,
        busy,
        load_percent: EVENING_LOAD_PERCENT,
    };
    let batch = |class, team, cores, minutes, jobs, weights| Batch {
        class,
        team,
        size: resources(cores, 2 * cores),
        minutes,
        cpu_ratio: 1.0,
        run_ratio: 1.0,
        checkpoints: true,
        tasks: 20,
        jobs,
        weights,
    };
    Deployment {
        name: "roomwise",
        seed: 11,
        workers: 50,
        capacity: resources(16, 60),
        services: vec![
            service("matchdesk", 30, 3, 120_000, 0.35, 0.62),
            service("listings", 24, 2, 80_000, 0.30, 0.58),
            service("search", 20, 3, 200_000, 0.40, 0.66),
            service("viewings", 12, 2, 150_000, 0.30, 0.50),
        ],
        batch: vec![
            Batch {
                cpu_ratio: 1.3,
                ..batch("reconcile", "profiles", 2, 60, 95, &[1.6, 1.2, 0.9, 0.2])
            },
            Batch {
                run_ratio: 1.8,
                ..batch("dedupe", "profiles", 2, 30, 80, &[0.9, 0.3, 0.2, 0.1])
            },
            Batch {
                checkpoints: false,
                ..batch("photos", "media", 1, 40, 80, &[0.1, 0.1, 0.0, 0.0])
            },
            Batch { run_ratio: 0.5, ..batch("index", "search", 4, 60, 48, &[0.4, 0.8, 1.5, 0.1]) },
            batch("mail", "growth", 1, 20, 80, &[0.0, 0.0, 0.1, 0.0]),
            Batch {
                cpu_ratio: 0.6,
                ..batch("billing", "finance", 2, 45, 48, &[0.1, 0.0, 0.0, 0.1])
            },
        ],
        urgent: resources(2, 4),
    }
}

fn comhar() -> Deployment {
    let service = |class, replicas, cores, p99_us, busy, load_percent| Service {
        class,
        replicas,
        size: resources(cores, 16),
        p99_us,
        idle: 0.3,
        busy,
        load_percent,
    };
    let batch = |class, team, cores, minutes, jobs, weights| Batch {
        class,
        team,
        size: resources(cores, 3 * cores),
        minutes,
        cpu_ratio: 1.0,
        run_ratio: 1.0,
        checkpoints: true,
        tasks: 24,
        jobs,
        weights,
    };
    Deployment {
        name: "comhar",
        seed: 23,
        workers: 65,
        capacity: resources(64, 250),
        services: vec![
            service("orders-desk", 40, 6, 250_000, 0.60, OFFICE_HOURS_LOAD_PERCENT),
            service("inspection", 24, 4, 400_000, 0.55, OFFICE_HOURS_LOAD_PERCENT),
            service("portal", 16, 4, 300_000, 0.50, EVENING_LOAD_PERCENT),
        ],
        batch: vec![
            Batch { cpu_ratio: 1.25, ..batch("quotation", "quotes", 8, 70, 65, &[1.4, 0.5, 0.3]) },
            Batch { run_ratio: 1.6, ..batch("dispatch", "crews", 4, 45, 65, &[0.2, 0.1, 0.1]) },
            Batch { checkpoints: false, ..batch("survey", "roads", 12, 90, 44, &[0.8, 1.3, 0.6]) },
            Batch { run_ratio: 0.6, ..batch("payroll", "finance", 6, 60, 36, &[0.1, 0.0, 0.0]) },
            batch("stock", "depots", 8, 60, 44, &[0.0, 0.1, 0.2]),
            Batch { cpu_ratio: 0.7, ..batch("archive", "records", 6, 120, 36, &[0.3, 0.2, 0.9]) },
        ],
        urgent: resources(4, 8),
    }
}

impl Deployment {
    fn events(&self) -> Vec<(u64, Event)> {
        let mut random = Random(self.seed);
        let start = Event::Start {
            name: self.name.into(),
            unix_ms: START_UNIX_MS,
            report_ms: 20_000,
            lease_ms: 60_000,
            lag_ms: 20_000,
            seed: self.seed,
        };
        let mut events = vec![(0, start)];
        events.extend(self.models().into_iter().map(|e| (0, e)));
        events.extend((0..self.workers).map(|n| (0, self.announcement(n))));
        for service in &self.services {
            events.extend(self.service(service, &mut random));
        }
        for batch in &self.batch {
            for n in 0..batch.jobs {
                events.push(self.batch_job(batch, n, &mut random));
            }
        }
        events.extend(self.wave(&mut random));
        events.extend(self.faults(&mut random));
        let bounds = Bounds {
            urgent_start_ms: 6700,
            batch_of_first_fit: 0.98,
            over_target_factor: 5.0,
            evictions_factor: 5.0,
        };
        events.push((LENGTH_MS, Event::Bounds(bounds)));
        events
    }

    fn models(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for s in &self.services {
            events.push(Event::Class(ClassModel {
                class: s.class.into(),
                cpu_ratio: 0.85,
                memory_ratio: 0.8,
                run_ratio: 1.0,
                checkpoints: false,
                service: Some(ServiceModel {
                    p99_us: s.p99_us,
                    idle: s.idle,
                    busy: s.busy,
                    load_percent: s.load_percent.to_vec(),
                    drift_minutes: 15.0,
                }),
            }));
        }
        for b in &self.batch {
            events.push(Event::Class(ClassModel {
                class: b.class.into(),
                cpu_ratio: b.cpu_ratio * 0.9,
                memory_ratio: 0.7,
                run_ratio: b.run_ratio,
                checkpoints: b.checkpoints,
                service: None,
            }));
            for (s, weight) in self.services.iter().zip(b.weights).filter(|(_, w)| **w > 0.0) {
                let (victim, aggressor) = (s.class.into(), b.class.into());
                events.push(Event::Pair { victim, aggressor, weight: *weight });
            }
        }
        events
    }

    fn announcement(&self, n: u32) -> Event {
        Event::Announce(Announcement {
            worker: format!("{}-{n:02}", self.name).into(),
            boot: 1,
            domain: self.name.into(),
            rack: format!("rack-{}", n / WORKERS_PER_RACK).into(),
            capacity: self.capacity,
        })
    }

    fn spec(&self, id: String, class: &str, priority: Priority, size: Resources) -> JobSpec {
        JobSpec {
            id: id.into(),
            team: "operations".into(),
            class: class.into(),
            priority,
            tasks: 1,
            resources: size,
            run_time_ms: 0,
            deadline_ms: None,
            home: None,
            payload: Box::default(),
        }
    }

    /// Returns the events of a service. Its replicas are submitted as several jobs
    /// while batch tasks run, and each job is replaced once before the second
    /// evening.
    fn service(&self, s: &Service, random: &mut Random) -> Vec<(u64, Event)> {
        let mut events = Vec::new();
        for part in 0..JOBS_PER_SERVICE {
            let replicas =
                s.replicas / JOBS_PER_SERVICE + u32::from(part < s.replicas % JOBS_PER_SERVICE);
            let mut at = (random.below(3 * 60) + 1) * MINUTE_MS;
            for version in 1..=2 {
                let id = format!("{}-{part}-v{version}", s.class);
                let mut spec = self.spec(id.clone(), s.class, Priority::Service, s.size);
                spec.tasks = replicas;
                if version == 2 {
                    at = 21 * HOUR_MS + random.below(5 * 60) * MINUTE_MS;
                    let previous = format!("{}-{part}-v1", s.class).into();
                    events.push((at + 5 * MINUTE_MS, Event::Cancel { jobs: vec![previous] }));
                }
                events.push((at, Event::Submit { spec, fails: false }));
            }
        }
        events
    }

    /// Returns the submission of a batch job. Most batch jobs are submitted in the
    /// evening with a deadline in the morning.
    fn batch_job(&self, b: &Batch, n: u32, random: &mut Random) -> (u64, Event) {
        let mut spec = self.spec(format!("{}-{n}", b.class), b.class, Priority::Batch, b.size);
        spec.team = b.team.into();
        spec.tasks = b.tasks;
        spec.run_time_ms = b.minutes * MINUTE_MS;
        let evening = random.below(2) * 24 * HOUR_MS;
        let at = match random.below(10) {
            0..8 => evening + random.below(8 * HOUR_MS),
            _ => random.below(30 * HOUR_MS),
        };
        let at = at / 1000 * 1000;
        if random.below(3) > 0 {
            spec.deadline_ms = Some(14 * HOUR_MS);
        }
        (at, Event::Submit { spec, fails: false })
    }

    /// Returns thousands of submissions and cancellations at the peak of the second
    /// evening, with urgent jobs among them.
    fn wave(&self, random: &mut Random) -> Vec<(u64, Event)> {
        let at = 27 * HOUR_MS + 30 * MINUTE_MS;
        let class = self.batch[0].class;
        let mut spec = self.spec("wave".into(), class, Priority::Batch, self.batch[0].size);
        spec.team = "wave".into();
        spec.run_time_ms = 30 * MINUTE_MS;
        let wave = Event::Wave { spec, count: 5000, cancelled_after_ms: 90_000 };
        let mut events = vec![(at, wave)];
        for n in 0..40 {
            let id = format!("incident-{n}");
            let mut spec = self.spec(id, "incident", Priority::Urgent, self.urgent);
            spec.run_time_ms = 5 * MINUTE_MS;
            let in_wave = n % 2 == 0;
            let at = if in_wave { at + random.below(120_000) } else { random.below(34 * HOUR_MS) };
            events.push((at, Event::Submit { spec, fails: false }));
        }
        events
    }

    fn faults(&self, random: &mut Random) -> Vec<(u64, Event)> {
        let class = self.batch[1].class;
        let size = self.batch[1].size;
        let mut wide = self.spec("too-wide".into(), class, Priority::Batch, size);
        wide.resources.cpu_millis = 10 * self.capacity.cpu_millis;
        let mut broken = self.spec("broken".into(), class, Priority::Batch, size);
        broken.run_time_ms = 10 * MINUTE_MS;
        let id = |n: u64| format!("{}-{n:02}", self.name).into();
        let mut events = vec![
            (2 * HOUR_MS, Event::Submit { spec: wide, fails: false }),
            (3 * HOUR_MS, Event::Submit { spec: broken, fails: true }),
            (20 * HOUR_MS, Event::FailsAll { worker: id(7) }),
        ];
        for _ in 0..4 {
            let worker = id(10 + random.below(30));
            let down_ms = 5 * MINUTE_MS + random.below(HOUR_MS);
            events.push((random.below(34 * HOUR_MS), Event::Crash { worker, down_ms }));
            let worker = id(10 + random.below(30));
            let cut_ms = 30_000 + random.below(5 * MINUTE_MS);
            events.push((random.below(34 * HOUR_MS), Event::Cut { worker, cut_ms }));
        }
        events
    }
}
