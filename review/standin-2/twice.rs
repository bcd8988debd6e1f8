//! A start order is held up on its way. The worker starts again under its id before it arrives.

use crate::{
    Verdict, note,
    proxy::{self, Cut, Fate},
    site::{Site, ZONES, job},
    worker::{Config, Event, Events, Worker},
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// How long the order is held up; the users' bench carries such orders out 2 to 12 s later.
const HELD_UP: Duration = Duration::from_secs(6);
/// Number of workers, of which one crashes: an eighth.
const WORKERS: u8 = 8;
/// Number of tasks that run beforehand, so that one order in more than twenty is held up.
const TASKS_BEFORE: u32 = 24;
/// Time from the submission to the worker's crash, and how long the worker is down.
const UNTIL_CRASH: Duration = Duration::from_secs(3);
const DOWN: Duration = Duration::from_millis(500);
const ID_BEFORE: &str = "00000000000000c0";
const ID: &str = "00000000000000c1";

/// `TROUBLE`: 0 without both disruptions, `held` or `restart` with one of them.
pub fn play(trouble: &str) -> io::Result<Verdict> {
    let holds_up = trouble != "0" && trouble != "restart";
    let restarts = trouble != "0" && trouble != "held";
    let mut site = Site::new(3, false)?;
    for number in 1..=3 {
        site.start("control", number, true)?;
    }
    site.start("entry", 1, true)?;
    if site.configure(1, &[1, 2, 3], Duration::from_secs(20)).is_none() {
        return Ok(Verdict::NotRun("the first config isn't accepted".into()));
    }
    let events = Events::default();
    let is_armed = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        let listen = (site.ip(4, number), 8080).into();
        let advertised = (site.ip(5, number), 8080).into();
        let armed = is_armed.clone();
        let decide = move |request: &[u8]| {
            let is_start = request.starts_with(b"POST /run-start");
            match is_start && armed.swap(false, Ordering::SeqCst) {
                true => {
                    note!("network: a start order to i-{number} is held up for {HELD_UP:?}");
                    Fate::HoldUp(HELD_UP)
                }
                false => Fate::Forward,
            }
        };
        proxy::start(advertised, listen, Cut::default(), Arc::new(decide))?;
        let config = Config {
            id: format!("i-{number}"),
            listen,
            advertised,
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
    thread::sleep(Duration::from_secs(1));
    site.client(1, "POST", ID_BEFORE, &job("ms=400", TASKS_BEFORE, 0, 400, false));
    thread::sleep(Duration::from_secs(2));
    is_armed.store(holds_up, Ordering::SeqCst);
    let began = Instant::now();
    let reply = site.client(1, "POST", ID, &job("ms=600", 1, 0, 600, false));
    if reply.is_none_or(|r| r.status != 200) {
        return Ok(Verdict::NotRun("the submission isn't accepted".into()));
    }
    let until =
        |at: Duration| thread::sleep((began + at).saturating_duration_since(Instant::now()));
    until(UNTIL_CRASH);
    site.client(1, "GET", ID, "");
    let is_noted = |e: &Event| e.what == "noted done" && e.task.starts_with(ID);
    let Some(noted) = events.all().into_iter().find(is_noted) else {
        return Ok(Verdict::NotRun("the task wasn't done before the restart".into()));
    };
    if restarts && let Some(worker) = workers.iter().find(|w| w.id() == noted.worker) {
        worker.crash();
        thread::sleep(DOWN);
        worker.begin_life();
    }
    until(HELD_UP + Duration::from_secs(5));
    site.client(1, "GET", ID, "");
    Ok(judge(&events.all()))
}

/// Returns whether a task was started after an end `done` of it was taken note of.
fn judge(events: &[Event]) -> Verdict {
    for (at, event) in events.iter().enumerate().filter(|(_, e)| e.what == "start") {
        let is_noted = |e: &&Event| e.task == event.task && e.what == "noted done";
        if let Some(noted) = events[..at].iter().find(is_noted) {
            return Verdict::Broken(format!(
                "{} was started at {} ms, after its end `done` was taken note of at {} ms",
                event.task, event.at_ms, noted.at_ms
            ));
        }
    }
    Verdict::Held
}
