//! One submission of ten takes four times as long as it states.

use crate::{
    Verdict, note,
    proxy::Cut,
    site::{Site, ZONES, job},
    worker::{Config, Event, Events, Worker},
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// Time that the tasks of the long submission are stated to take.
const STATED_MS: u32 = 60_000;
/// Factor by which they take longer.
const FACTOR: u32 = 4;
/// Number of other submissions.
const OTHERS: u32 = 9;
/// Time after the submission from which the state is checked.
const FINISH: Duration = Duration::from_secs(14);
/// Time over which it is checked.
const CHECK: Duration = Duration::from_secs(60);
/// Longest time for which a submission may have nothing running.
const MAX_IDLE_MS: u64 = 3_000;
const ID: &str = "00000000000000e1";

pub fn play(trouble: &str) -> io::Result<Verdict> {
    let takes_ms = if trouble == "0" { STATED_MS } else { STATED_MS * FACTOR };
    let mut site = Site::new(3, false)?;
    for number in 1..=3 {
        site.start("control", number, true)?;
    }
    site.start("entry", 1, true)?;
    if site.configure(1, &[1, 2, 3], Duration::from_secs(20)).is_none() {
        return Ok(Verdict::NotRun("the first config isn't accepted".into()));
    }
    let events = Events::default();
    for number in 1..=2u8 {
        let addr = (site.ip(4, number), 8080).into();
        let config = Config {
            id: format!("i-{number}"),
            listen: addr,
            advertised: addr,
            zone: ZONES[usize::from(number - 1)].into(),
            service: "pool".into(),
            cpu: 16_000,
            gpu: 0,
            controls: (1..=3).map(|n| site.control(n)).collect(),
            cut: Cut::default(),
        };
        Worker::start(config, &events);
    }
    if !site.until_ready(1, Duration::from_secs(20)) {
        return Ok(Verdict::NotRun("the entry host isn't ready".into()));
    }
    thread::sleep(Duration::from_secs(2));
    for n in 0..OTHERS {
        let id = format!("{:016x}", 0xe2 + n);
        site.client(1, "POST", &id, &job("ms=1000", 2, 0, 1_000, false));
    }
    let reply = site.client(1, "POST", ID, &job(&format!("ms={takes_ms}"), 2, 0, STATED_MS, false));
    if reply.is_none_or(|r| r.status != 200) {
        return Ok(Verdict::NotRun("the submission isn't accepted".into()));
    }
    thread::sleep(FINISH);
    let from_ms = crate::record::now_ms();
    let until = Instant::now() + CHECK;
    let mut state = String::new();
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(10));
        state = site.client(1, "GET", ID, "").map_or(String::new(), |r| r.body);
        if state.contains("complete") {
            break;
        }
    }
    let all = events.all();
    let all: Vec<Event> = all.into_iter().filter(|e| e.task.starts_with(ID)).collect();
    let starts = all.iter().filter(|e| e.what == "start").count();
    let stops = all.iter().filter(|e| e.what == "stopped").count();
    note!("{starts} starts, {stops} stops, state {state}");
    let idle_ms = longest_idle(&all, from_ms, crate::record::now_ms(), state.contains("complete"));
    Ok(match idle_ms {
        idle if idle > MAX_IDLE_MS => Verdict::Broken(format!(
            "the submission had nothing running for {idle} ms, with both workers empty; \
             {starts} starts, {stops} of them stopped"
        )),
        _ => Verdict::Held,
    })
}

/// Returns the longest time without a run, in milliseconds, before the submission was complete.
fn longest_idle(events: &[Event], from_ms: u64, to_ms: u64, is_complete: bool) -> u64 {
    let (mut running, mut since, mut longest) = (0i64, 0, 0);
    for event in events.iter().filter(|e| !e.what.starts_with("noted")) {
        if event.what == "start" {
            if running == 0 {
                longest = longest.max(event.at_ms.saturating_sub(from_ms.max(since)));
            }
            running += 1;
        } else {
            running -= 1;
            since = event.at_ms;
        }
    }
    if running == 0 && !is_complete {
        longest = longest.max(to_ms.saturating_sub(from_ms.max(since)));
    }
    longest
}
