//! Writes the traces of the two deployments, the same on every run:
//! `cargo run --release -p cyclamenloft-placement --example make_traces -- tests/traces`

use cyclamenloft_placement::{
    Announcement,
    trace::{Bounds, ClassModel, Event, ServiceModel, TraceWriter},
};
use cyclamenloft_types::{JobSpec, Priority, Resources};
use std::{fs::File, io::BufWriter, path::Path};

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;
/// Traces start at four in the afternoon and end at four in the morning of the
/// second day after.
const START_UNIX_MS: u64 = (20_000 * 24 + 16) * HOUR;
const LENGTH: u64 = 36 * HOUR;
const WORKERS_PER_RACK: u32 = 8;
/// Jobs that the replicas of a service are submitted as.
const PARTS: u32 = 4;

/// Loads of an evening service by hour of the day, in percent.
const EVENING: [u16; 24] = [
    30, 20, 15, 12, 10, 10, 15, 25, 35, 40, 42, 45, 50, 48, 45, 48, 55, 68, 85, 98, 100, 92, 70, 48,
];
/// Loads of an office-hours service by hour of the day, in percent.
const DAYTIME: [u16; 24] = [
    15, 12, 10, 10, 12, 20, 40, 70, 90, 95, 92, 85, 80, 85, 90, 92, 95, 85, 70, 60, 50, 40, 30, 20,
];

struct Service {
    class: &'static str,
    replicas: u32,
    size: Resources,
    p99_us: u64,
    idle: f64,
    busy: f64,
    load: [u16; 24],
}

struct Batch {
    class: &'static str,
    team: &'static str,
    size: Resources,
    /// Declared minutes of a task.
    minutes: u64,
    cpu_ratio: f64,
    run_ratio: f64,
    checkpoints: bool,
    /// Tasks of one job, and how many jobs there are.
    tasks: u32,
    jobs: u32,
    /// Weights on the services, in their order.
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

/// A linear congruential generator, so that each run writes the same.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn gib(cores: u32, gib: u32) -> Resources {
    Resources::new(cores * 1000, gib * 1024, 0)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "tests/traces".into());
    std::fs::create_dir_all(&folder)?;
    for deployment in [roomwise(), comhar()] {
        let path = Path::new(&folder).join(format!("{}.jsonl", deployment.name));
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
        size: gib(cores, 4),
        p99_us,
        idle,
        busy,
        load: EVENING,
    };
    let batch = |class, team, cores, minutes, jobs, weights| Batch {
        class,
        team,
        size: gib(cores, 2 * cores),
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
        capacity: gib(16, 60),
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
        urgent: gib(2, 4),
    }
}

fn comhar() -> Deployment {
    let service = |class, replicas, cores, p99_us, busy, load| Service {
        class,
        replicas,
        size: gib(cores, 16),
        p99_us,
        idle: 0.3,
        busy,
        load,
    };
    let batch = |class, team, cores, minutes, jobs, weights| Batch {
        class,
        team,
        size: gib(cores, 3 * cores),
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
        capacity: gib(64, 250),
        services: vec![
            service("orders-desk", 40, 6, 250_000, 0.60, DAYTIME),
            service("inspection", 24, 4, 400_000, 0.55, DAYTIME),
            service("portal", 16, 4, 300_000, 0.50, EVENING),
        ],
        batch: vec![
            Batch { cpu_ratio: 1.25, ..batch("quotation", "quotes", 8, 70, 65, &[1.4, 0.5, 0.3]) },
            Batch { run_ratio: 1.6, ..batch("dispatch", "crews", 4, 45, 65, &[0.2, 0.1, 0.1]) },
            Batch { checkpoints: false, ..batch("survey", "roads", 12, 90, 44, &[0.8, 1.3, 0.6]) },
            Batch { run_ratio: 0.6, ..batch("payroll", "finance", 6, 60, 36, &[0.1, 0.0, 0.0]) },
            batch("stock", "depots", 8, 60, 44, &[0.0, 0.1, 0.2]),
            Batch { cpu_ratio: 0.7, ..batch("archive", "records", 6, 120, 36, &[0.3, 0.2, 0.9]) },
        ],
        urgent: gib(4, 8),
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
        events.extend(self.facts().into_iter().map(|e| (0, e)));
        events.extend((0..self.workers).map(|n| (0, self.announce(n))));
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
        events.push((LENGTH, Event::Bounds(bounds)));
        events
    }

    fn facts(&self) -> Vec<Event> {
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
                    load_percent: s.load.to_vec(),
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

    fn announce(&self, n: u32) -> Event {
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

    /// The replicas come in parts, while batch is running, and each part is
    /// replaced once before the second evening.
    fn service(&self, s: &Service, random: &mut Random) -> Vec<(u64, Event)> {
        let mut events = Vec::new();
        for part in 0..PARTS {
            let replicas = s.replicas / PARTS + u32::from(part < s.replicas % PARTS);
            let mut at = (random.below(3 * 60) + 1) * MINUTE;
            for version in 1..=2 {
                let id = format!("{}-{part}-v{version}", s.class);
                let mut spec = self.spec(id.clone(), s.class, Priority::Service, s.size);
                spec.tasks = replicas;
                if version == 2 {
                    at = 21 * HOUR + random.below(5 * 60) * MINUTE;
                    let former = format!("{}-{part}-v1", s.class).into();
                    events.push((at + 5 * MINUTE, Event::Cancel { jobs: vec![former] }));
                }
                events.push((at, Event::Submit { spec, fails: false }));
            }
        }
        events
    }

    /// Most batch comes in the evening, and has until the morning.
    fn batch_job(&self, b: &Batch, n: u32, random: &mut Random) -> (u64, Event) {
        let mut spec = self.spec(format!("{}-{n}", b.class), b.class, Priority::Batch, b.size);
        spec.team = b.team.into();
        spec.tasks = b.tasks;
        spec.run_time_ms = b.minutes * MINUTE;
        let evening = random.below(2) * 24 * HOUR;
        let at = match random.below(10) {
            0..8 => evening + random.below(8 * HOUR),
            _ => random.below(30 * HOUR),
        };
        let at = at / 1000 * 1000;
        if random.below(3) > 0 {
            spec.deadline_ms = Some(14 * HOUR);
        }
        (at, Event::Submit { spec, fails: false })
    }

    /// Thousands of submissions and cancellations at the second evening's
    /// peak, with urgent work in between.
    fn wave(&self, random: &mut Random) -> Vec<(u64, Event)> {
        let at = 27 * HOUR + 30 * MINUTE;
        let class = self.batch[0].class;
        let mut spec = self.spec("wave".into(), class, Priority::Batch, self.batch[0].size);
        spec.team = "wave".into();
        spec.run_time_ms = 30 * MINUTE;
        let wave = Event::Wave { spec, count: 5000, cancelled_after_ms: 90_000 };
        let mut events = vec![(at, wave)];
        for n in 0..40 {
            let id = format!("incident-{n}");
            let mut spec = self.spec(id, "incident", Priority::Urgent, self.urgent);
            spec.run_time_ms = 5 * MINUTE;
            let in_wave = n % 2 == 0;
            let at = if in_wave { at + random.below(120_000) } else { random.below(34 * HOUR) };
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
        broken.run_time_ms = 10 * MINUTE;
        let id = |n: u64| format!("{}-{n:02}", self.name).into();
        let mut events = vec![
            (2 * HOUR, Event::Submit { spec: wide, fails: false }),
            (3 * HOUR, Event::Submit { spec: broken, fails: true }),
            (20 * HOUR, Event::FailsAll { worker: id(7) }),
        ];
        for _ in 0..4 {
            let worker = id(10 + random.below(30));
            let down_ms = 5 * MINUTE + random.below(HOUR);
            events.push((random.below(34 * HOUR), Event::Crash { worker, down_ms }));
            let worker = id(10 + random.below(30));
            let cut_ms = 30_000 + random.below(5 * MINUTE);
            events.push((random.below(34 * HOUR), Event::Cut { worker, cut_ms }));
        }
        events
    }
}
