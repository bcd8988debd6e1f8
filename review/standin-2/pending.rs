//! A worker is cut off just before submissions are placed on it. Clients ask how many submissions of
//! the queue have not begun.

use crate::{
    Verdict, json, note,
    proxy::{self, Cut, Fate, Whom},
    site::{Site, ZONES, job},
    worker::{Config, Event, Events, Worker},
};
use std::{
    collections::BTreeMap,
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Number of workers, of which one is cut off: a sixth.
const WORKERS: u8 = 6;
/// How long it is cut off, as on the users' sheets.
const CUT: Duration = Duration::from_millis(5_500);
/// Number of submissions that come within the first half second of the cut.
const SUBMISSIONS: u64 = 4;
/// Age from which on the users count a submission: `visible_ms` and two seconds.
const COUNTED_MS: u64 = 5_000;
/// Time from the begin of the cut over which the count is asked for.
const AFTERWARDS: Duration = Duration::from_secs(9);
const ID_BEFORE: &str = "00000000000000a0";

pub fn play(trouble: &str) -> io::Result<Verdict> {
    let mut site = Site::new(3, false)?;
    for number in 1..=3 {
        site.start("control", number, true)?;
    }
    for number in 1..=2 {
        site.start("entry", number, true)?;
    }
    if site.configure(1, &[1, 2, 3], Duration::from_secs(20)).is_none() {
        return Ok(Verdict::NotRun("the first config isn't accepted".into()));
    }
    let events = Events::default();
    let mut cuts = BTreeMap::new();
    for number in 1..=WORKERS {
        let listen = (site.ip(4, number), 8080).into();
        let advertised = (site.ip(5, number), 8080).into();
        let cut = Cut::default();
        proxy::start(advertised, listen, cut.clone(), Arc::new(|_| Fate::Forward))?;
        let config = Config {
            id: format!("i-{number}"),
            listen,
            advertised,
            zone: ZONES[usize::from(number) % ZONES.len()].into(),
            service: "pool".into(),
            cpu: 16_000,
            gpu: 0,
            controls: (1..=3).map(|n| site.control(n)).collect(),
            cut: cut.clone(),
        };
        cuts.insert(config.id.clone(), cut);
        Worker::start(config, &events);
    }
    if !site.until_ready(1, Duration::from_secs(20))
        || !site.until_ready(2, Duration::from_secs(20))
    {
        return Ok(Verdict::NotRun("an entry host isn't ready".into()));
    }
    thread::sleep(Duration::from_secs(2));
    // A task that runs for long shows which worker gets short tasks first.
    site.client(1, "POST", ID_BEFORE, &job("ms=40000", 1, 0, 40_000, false));
    thread::sleep(Duration::from_millis(1_500));
    let Some(first) = events.all().into_iter().find(|e| e.what == "start") else {
        return Ok(Verdict::NotRun("no task was started".into()));
    };
    if trouble != "0" {
        note!("network: worker {} is cut off from all others for {CUT:?}", first.worker);
        cuts[&first.worker].begin(Whom::All, CUT);
    }
    let began = Instant::now();
    let mut accepted = BTreeMap::new();
    for n in 0..SUBMISSIONS {
        let id = format!("{:016x}", 0xb0 + n);
        let reply = site.client(1, "POST", &id, &job("ms=500", 1, 0, 500, false));
        if reply.is_some_and(|r| r.status == 200) {
            accepted.insert(id, crate::record::now_ms());
        }
    }
    let mut broken = None;
    while began.elapsed() < AFTERWARDS {
        thread::sleep(Duration::from_millis(200));
        let asked_ms = crate::record::now_ms();
        let reply = site.client(2, "GET", "", "");
        let table = reply.filter(|r| r.status == 200).and_then(|r| json::parse(&r.body));
        let Some(told) = table.map(|t| t.number("pending")) else { continue };
        let due = waiting(&accepted, &events.all(), asked_ms);
        if told * 2 < due && broken.is_none() {
            note!("{due} submissions of over {COUNTED_MS} ms have not begun; pending {told}");
            broken = Some((told, due));
        }
    }
    for id in accepted.keys() {
        site.client(1, "GET", id, "");
    }
    Ok(match broken {
        Some((told, due)) => Verdict::Broken(format!(
            "{told} were given as pending, while {due} submissions that had been accepted over \
             {COUNTED_MS} ms before had not begun"
        )),
        None => Verdict::Held,
    })
}

/// Returns how many submissions have waited for over [`COUNTED_MS`] at `at_ms` and haven't begun.
fn waiting(accepted: &BTreeMap<String, u64>, events: &[Event], at_ms: u64) -> u64 {
    let has_begun = |id: &str| events.iter().any(|e| e.what == "start" && e.task.starts_with(id));
    let waits = |(id, since): &(&String, &u64)| at_ms > **since + COUNTED_MS && !has_begun(id);
    accepted.iter().filter(waits).count() as u64
}
