//! An entry host is cut off while it hands a submission to the leader. The client gets no clear
//! answer, and cancels the submission at another entry host. Then what was sent first arrives.

use crate::{
    Verdict, note,
    proxy::{self, Cut, Fate, Whom},
    site::{PEER_PORT, Site, ZONES, job},
    worker::{Config, Events, Worker},
};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// How long the entry host is cut off, as on the users' sheets.
const CUT: Duration = Duration::from_millis(5_500);
/// Time from the begin of the cut to the client's call.
const UNTIL_CALL: Duration = Duration::from_millis(50);
/// The users' bound from the acknowledgment of a cancel to the last start.
const CANCEL_MS: u64 = 3_000;
const AFTERWARDS: Duration = Duration::from_secs(10);
const ID: &str = "00000000000000f1";

pub fn play(trouble: &str) -> io::Result<Verdict> {
    let mut site = Site::new(3, true)?;
    let cut = Cut::default();
    for number in 1..=3 {
        let listen = SocketAddr::from((site.control_ip(number), PEER_PORT));
        let target = SocketAddr::from((site.bind_ip(number), PEER_PORT));
        proxy::start(listen, target, cut.clone(), Arc::new(|_| Fate::Forward))?;
    }
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
    if !site.until_ready(1, Duration::from_secs(20))
        || !site.until_ready(2, Duration::from_secs(20))
    {
        return Ok(Verdict::NotRun("an entry host isn't ready".into()));
    }
    thread::sleep(Duration::from_secs(2));
    if trouble != "0" {
        let Some(process) = site.process_id("entry", 1) else {
            return Ok(Verdict::NotRun("the entry host doesn't run".into()));
        };
        note!("network: entry-1 is cut off from all replicas for {CUT:?}");
        cut.begin(Whom::Process(process), CUT);
    }
    thread::sleep(UNTIL_CALL);
    let began = Instant::now();
    site.client(1, "POST", ID, &job("lasts", 2, 0, 1_000, true));
    let cancelled = site.client(2, "DELETE", ID, "");
    let cancelled_ms = crate::record::now_ms();
    if cancelled.is_none_or(|r| r.status != 200 && r.status != 410) {
        return Ok(Verdict::NotRun("the cancel isn't acknowledged".into()));
    }
    thread::sleep((began + AFTERWARDS).saturating_duration_since(Instant::now()));
    site.client(2, "GET", ID, "");
    let is_late = |at_ms: u64| at_ms > cancelled_ms + CANCEL_MS;
    let started = events.all().into_iter().find(|e| e.what == "start" && is_late(e.at_ms));
    Ok(match started {
        Some(start) => Verdict::Broken(format!(
            "{} was started {} ms after the acknowledgment of the cancel",
            start.task,
            start.at_ms - cancelled_ms
        )),
        None => Verdict::Held,
    })
}
