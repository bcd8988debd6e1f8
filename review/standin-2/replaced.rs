//! The leader's host is replaced; then, once the new host counts, another one loses its disk.

use crate::{
    Verdict,
    http::{self, Reply},
    note,
    proxy::Cut,
    site::{CATCH_UP, RECOVERY, Site, ZONES, job},
    worker::{Config, Events, Worker},
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// How long the new host runs when the old one is removed.
const HEAD_START: Duration = Duration::from_secs(1);
/// Time from the start of the new host to the loss of a disk: what the users give a new machine
/// until it counts, and a little more.
const UNTIL_LOSS: Duration = Duration::from_millis(4_100);
/// How long the host that lost its disk is down.
const DOWN: Duration = Duration::from_secs(1);
/// Time over which the configuration is read and clients call at the end.
const CHECK: Duration = Duration::from_secs(8);
const REPLICAS: u8 = 3;
const NEW: u8 = 4;

/// `TROUBLE`: 0 without both, `replace` or `wipe` with one of them, `together` with a new host that
/// starts as the old one is killed, `planned` with a SIGTERM of the old one.
pub fn play(trouble: &str) -> io::Result<Verdict> {
    let replaces = trouble != "0" && trouble != "wipe";
    let wipes = trouble != "0" && trouble != "replace";
    let mut site = Site::new(REPLICAS, false)?;
    for number in 1..=REPLICAS {
        site.start("control", number, true)?;
    }
    site.start("entry", 1, true)?;
    let replicas = [1, 2, 3];
    if site.configure(1, &replicas, Duration::from_secs(20)).is_none() {
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
            controls: replicas.map(|n| site.control(n)).to_vec(),
            cut: Cut::default(),
        };
        Worker::start(config, &events);
    }
    if !site.until_ready(1, Duration::from_secs(20)) {
        return Ok(Verdict::NotRun("the entry host isn't ready".into()));
    }
    let ids: Vec<String> = (0..6).map(|n| format!("{:016x}", 0xa0 + n)).collect();
    for id in &ids {
        let reply = site.client(1, "POST", id, &job("ms=500", 4, 0, 500, false));
        if reply.is_none_or(|r| r.status != 200) {
            return Ok(Verdict::NotRun("a submission isn't accepted".into()));
        }
    }
    thread::sleep(Duration::from_secs(5));
    let Some(leader) = site.leader() else {
        return Ok(Verdict::NotRun("no replica leads".into()));
    };
    note!("control-{leader} leads");
    let others: Vec<u8> = replicas.into_iter().filter(|n| *n != leader).collect();
    let began = Instant::now();
    let until =
        |at: Duration| thread::sleep((began + at).saturating_duration_since(Instant::now()));
    if replaces {
        site.start("control", NEW, false)?;
        if trouble != "together" {
            until(HEAD_START);
        }
        match trouble {
            "planned" => site.terminate("control", leader),
            _ => site.kill("control", leader),
        }
        note!("control-{leader} is removed for good; control-{NEW} takes its place");
    }
    let last = match replaces {
        true => [others[0], others[1], NEW],
        false => replicas,
    };
    let wiped = others[0];
    until(UNTIL_LOSS.saturating_sub(Duration::from_millis(50)));
    let acknowledged = match site.configure(2, &[wiped], Duration::from_secs(4)) {
        Some(_) => 2,
        None => 1,
    };
    if wipes {
        until(UNTIL_LOSS);
        site.kill("control", wiped);
        site.lose_disk(wiped)?;
        thread::sleep(DOWN);
        site.start("control", wiped, false)?;
    }
    note!("all machines are back; {} s for the recovery", RECOVERY.as_secs());
    thread::sleep(CATCH_UP + RECOVERY);
    let (config, served, asked) = check(&site, &last, &ids);
    for number in last {
        for line in site.log_lines(&format!("control-{number}"), "\"decision\":\"members\"") {
            note!("log of control-{number}: {line}");
        }
    }
    let known = config.is_some_and(|version| version >= acknowledged);
    if !known {
        return Ok(Verdict::Broken(format!(
            "config {acknowledged} was acknowledged, and no replica returns it; \
             {served} of {asked} calls of clients served"
        )));
    }
    if served * 4 < asked {
        return Ok(Verdict::Broken(format!("{served} of {asked} calls of clients served")));
    }
    Ok(Verdict::Held)
}

/// Reads the config at all replicas and makes clients' calls for a while. Returns the newest version
/// that was read, and how many of the clients' calls were served.
fn check(site: &Site, replicas: &[u8], ids: &[String]) -> (Option<u64>, usize, usize) {
    let until = Instant::now() + CHECK;
    let (mut newest, mut served, mut asked) = (None, 0, 0);
    while Instant::now() < until {
        for number in replicas {
            let to = site.control(*number);
            let reply = http::call(to, "GET", "/config", &[], "", Duration::from_secs(1));
            let version = reply.as_ref().filter(|r| r.status == 200).and_then(version_of);
            let status = reply.map_or(0, |r| r.status);
            note!(
                "operator: read of the config at control-{number}: {status}, version {version:?}"
            );
            newest = newest.max(version);
        }
        for id in ids.iter().take(2) {
            asked += 1;
            served += usize::from(site.client(1, "GET", id, "").is_some_and(|r| r.status == 200));
        }
        asked += 1;
        let id = format!("{:016x}", 0xb000 + asked);
        let reply = site.client(1, "POST", &id, &job("ms=300", 1, 0, 300, false));
        served += usize::from(reply.is_some_and(|r| r.status == 200));
        thread::sleep(Duration::from_millis(500));
    }
    (newest, served, asked)
}

fn version_of(reply: &Reply) -> Option<u64> {
    crate::json::parse(&reply.body).map(|config| config.number("version"))
}
