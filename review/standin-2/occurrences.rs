//! Submissions that run many times are handed in over forty seconds. The platform kills a process
//! that uses more memory than its machine has, and starts it again.

use crate::{
    Verdict, http, note,
    proxy::Cut,
    site::{MEMORY_MB, Site, ZONES},
    worker::{Config, Events, Worker},
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Number of submissions, and the time between two.
const SUBMISSIONS: u64 = 160;
const INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which submissions are handed in.
const TRAFFIC: Duration = Duration::from_secs(45);
/// Each runs every ten seconds for a day.
const OCCURRENCES: u32 = 8_640;
const FEW_OCCURRENCES: u32 = 60;
const PERIOD_MS: u32 = 10_000;
/// Time until the first occurrence is due.
const FIRST_DUE_MS: u64 = 3_600_000;
/// Time from the end of the traffic until the submissions are asked for, and for how long.
const FINISH: Duration = Duration::from_secs(14);
const ASK: Duration = Duration::from_secs(10);
/// Time from the end of a process until the platform starts it again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const REPLICAS: u8 = 3;
/// Number of ends of processes on half of the core that counts as a fault.
const MAX_ENDS: usize = 3;

/// What the clients saw.
struct Seen {
    accepted: usize,
    /// Accepted submissions that were asked for, and those of them without an answer.
    asked: usize,
    unanswered: usize,
}

pub fn play(trouble: &str) -> io::Result<Verdict> {
    let occurrences = if trouble == "0" { FEW_OCCURRENCES } else { OCCURRENCES };
    let mut site = Site::new(REPLICAS, false)?;
    for number in 1..=REPLICAS {
        site.start("control", number, true)?;
    }
    site.start("entry", 1, true)?;
    if site.configure(1, &[1, 2, 3], Duration::from_secs(20)).is_none() {
        return Ok(Verdict::NotRun("the first config isn't accepted".into()));
    }
    let events = Events::default();
    for number in 1..=3u8 {
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
    let is_over = Arc::new(AtomicBool::new(false));
    let (entry, over) = (site.entry(1), is_over.clone());
    let clients = thread::spawn(move || {
        let seen = hand_in_and_ask(entry, occurrences);
        over.store(true, Ordering::SeqCst);
        seen
    });
    let kills = enforce_memory(&mut site, &is_over)?;
    let Ok(Seen { accepted, asked, unanswered }) = clients.join() else {
        return Ok(Verdict::NotRun("the clients ended".into()));
    };
    note!("{accepted} accepted, {unanswered} of {asked} unanswered; ends by replica: {kills:?}");
    let faulty = kills.iter().filter(|ends| **ends >= MAX_ENDS).count();
    Ok(match faulty * 2 >= kills.len() {
        true => Verdict::Broken(format!(
            "after {accepted} accepted submissions {faulty} of {REPLICAS} replicas used more than \
             {MEMORY_MB} MB and ended {MAX_ENDS} times or more: {kills:?}; {unanswered} of {asked} \
             submissions that were asked for got no answer in {ASK:?}"
        )),
        false if accepted < 100 => Verdict::NotRun("too few submissions were accepted".into()),
        false => Verdict::Held,
    })
}

/// Does what the platform does: kills each replica that uses too much memory, and starts it again.
/// Returns the number of kills by replica.
fn enforce_memory(site: &mut Site, is_over: &AtomicBool) -> io::Result<[usize; REPLICAS as usize]> {
    let mut kills = [0; REPLICAS as usize];
    let mut restarts: Vec<(u8, Instant)> = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(100));
        let due = |(_, at): &(u8, Instant)| *at <= Instant::now();
        for (number, _) in restarts.extract_if(.., |r| due(r)).collect::<Vec<_>>() {
            site.start("control", number, false)?;
        }
        for number in 1..=REPLICAS {
            let used = site.process_id("control", number).and_then(resident_mb);
            if let Some(used) = used.filter(|used| *used > MEMORY_MB) {
                note!("platform: control-{number} uses {used} MB of {MEMORY_MB}");
                site.kill("control", number);
                restarts.push((number, Instant::now() + RESTART_DELAY));
                kills[usize::from(number - 1)] += 1;
            }
        }
    }
    Ok(kills)
}

/// Returns the resident memory of a process that this one started.
fn resident_mb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse::<u64>().ok().map(|kb| kb / 1024)
}

/// Hands the submissions in, one after the other, and asks for those that were accepted.
fn hand_in_and_ask(entry: SocketAddr, occurrences: u32) -> Seen {
    let mut accepted = Vec::new();
    let end_of_traffic = Instant::now() + TRAFFIC;
    for n in 0..SUBMISSIONS {
        if Instant::now() >= end_of_traffic {
            break;
        }
        let id = format!("{:016x}", 0xf00 + n);
        let status = call(entry, "POST", &id, &timed_job(occurrences));
        if status == 200 {
            accepted.push(id);
        } else {
            note!("client: POST {id}: {status}");
        }
        if n % 20 == 19 {
            note!("client: {} of {} submissions accepted", accepted.len(), n + 1);
        }
        thread::sleep(INTERVAL);
    }
    thread::sleep(FINISH);
    let (mut asked, mut unanswered) = (0, 0);
    let until = Instant::now() + ASK;
    for id in accepted.iter().take(5) {
        asked += 1;
        let mut status = 0;
        while status != 200 {
            status = call(entry, "GET", id, "");
            note!("client: GET {id}: {status}");
            if status != 200 {
                thread::sleep(Duration::from_millis(300));
            }
            if Instant::now() >= until {
                break;
            }
        }
        unanswered += usize::from(status != 200);
    }
    Seen { accepted: accepted.len(), asked, unanswered }
}

fn call(entry: SocketAddr, method: &str, id: &str, body: &str) -> u16 {
    let headers = [("Host", "h.example"), ("X-Deadline-Ms", "3000")];
    let path = format!("/q/{id}");
    let reply = http::call(entry, method, &path, &headers, body, Duration::from_secs(3));
    reply.map_or(0, |r| r.status)
}

/// Returns a submission of two small tasks that run so many times.
fn timed_job(occurrences: u32) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let first = u64::try_from(now.as_millis()).unwrap_or(0) + FIRST_DUE_MS;
    format!(
        "{{\"spec\":\"ms=500\",\"phases\":[{{\"count\":2,\"cpu\":100,\"mem_mb\":64,\
         \"estimate_ms\":500}}],\"start_at_ms\":{first},\"interval_ms\":{PERIOD_MS},\
         \"repeat_count\":{occurrences}}}"
    )
}
