//! A worker goes down and up by turns. The task that lasts on it has no room elsewhere.

use crate::{
    Verdict, note,
    proxy::Cut,
    site::{Site, ZONES, job_of},
    worker::{Config, Events, Worker},
};
use std::{io, thread, time::Duration};

/// Number of workers, of which one goes down and up: a tenth.
const WORKERS: u8 = 10;
/// Period of the downs and ups, and for how long they go on, as on the users' sheets.
const PERIOD: Duration = Duration::from_millis(1_400);
const LENGTH: Duration = Duration::from_millis(6_500);
/// How long the tasks have run before.
const BEFORE: Duration = Duration::from_secs(8);
const AFTERWARDS: Duration = Duration::from_secs(8);

pub fn play(trouble: &str) -> io::Result<Verdict> {
    let mut site = Site::new(3, false)?;
    for number in 1..=3 {
        site.start("control", number, true)?;
    }
    site.start("entry", 1, true)?;
    if site.configure(1, &[1, 2, 3], Duration::from_secs(20)).is_none() {
        return Ok(Verdict::NotRun("the first config isn't accepted".into()));
    }
    let events = Events::default();
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        let addr = (site.ip(4, number), 8080).into();
        let config = Config {
            id: format!("i-{number}"),
            listen: addr,
            advertised: addr,
            zone: ZONES[usize::from(number) % ZONES.len()].into(),
            service: "pool".into(),
            cpu: 16_000,
            gpu: 0,
            controls: (1..=3).map(|n| site.control(n)).collect(),
            cut: Cut::default(),
        };
        workers.push(Worker::start(config, &events));
    }
    if !site.until_ready(1, Duration::from_secs(20)) {
        return Ok(Verdict::NotRun("the entry host isn't ready".into()));
    }
    thread::sleep(Duration::from_secs(2));
    // Each of the submissions takes most of a worker.
    let ids: Vec<String> = (0..WORKERS).map(|n| format!("{:016x}", 0x1a0 + u32::from(n))).collect();
    for id in &ids {
        let reply = site.client(1, "POST", id, &job_of("lasts", 1, (12_000, 0), 1_000, true));
        if reply.is_none_or(|r| r.status != 200) {
            return Ok(Verdict::NotRun("a submission isn't accepted".into()));
        }
    }
    thread::sleep(BEFORE);
    let Some(first) = events.all().into_iter().find(|e| e.what == "start") else {
        return Ok(Verdict::NotRun("no task was started".into()));
    };
    if trouble != "0"
        && let Some(worker) = workers.iter().find(|w| w.id() == first.worker)
    {
        note!("worker {} goes down and up, period {PERIOD:?}, for {LENGTH:?}", first.worker);
        let cycles = LENGTH.as_millis() / PERIOD.as_millis();
        for _ in 0..cycles {
            worker.crash();
            thread::sleep(PERIOD / 2);
            worker.begin_life();
            thread::sleep(PERIOD / 2);
        }
    }
    thread::sleep(AFTERWARDS);
    let mut failed = Vec::new();
    for id in &ids {
        let reply = site.client(1, "GET", id, "");
        if reply.is_some_and(|r| r.body.contains("\"failed\"")) {
            failed.push(id.clone());
        }
    }
    let ends = events.all().iter().filter(|e| e.what == "failed").count();
    Ok(match failed.first() {
        Some(id) if ends == 0 => Verdict::Broken(format!(
            "{id} is shown as failed, though no run of any task has ended `failed`"
        )),
        _ => Verdict::Held,
    })
}
