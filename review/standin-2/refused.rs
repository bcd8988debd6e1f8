//! An entry host is cut off while it hands a submission to the leader. It sends it again after the
//! cut, and the leader refuses it. Then what was sent first arrives.

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

/// How long the entry host is cut off.
const CUT: Duration = Duration::from_millis(1_600);
/// Time from the begin of the cut to the client's call.
const UNTIL_CALL: Duration = Duration::from_millis(50);
/// Time from the end of the client's call to the start of the larger worker.
const UNTIL_WORKER: Duration = Duration::from_millis(300);
const AFTERWARDS: Duration = Duration::from_secs(5);
const ID: &str = "00000000000000d1";

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
    site.start("entry", 1, true)?;
    if site.configure(1, &[1, 2, 3], Duration::from_secs(20)).is_none() {
        return Ok(Verdict::NotRun("the first config isn't accepted".into()));
    }
    let events = Events::default();
    let config = |number: u8, gpu: u32| {
        let addr = (site.ip(4, number), 8080).into();
        Config {
            id: format!("i-{number}"),
            listen: addr,
            advertised: addr,
            zone: ZONES[usize::from(number - 1)].into(),
            service: "pool".into(),
            cpu: 16_000,
            gpu,
            controls: (1..=3).map(|n| site.control(n)).collect(),
            cut: Cut::default(),
        }
    };
    Worker::start(config(1, 0), &events);
    if !site.until_ready(1, Duration::from_secs(20)) {
        return Ok(Verdict::NotRun("the entry host isn't ready".into()));
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
    // The submission asks for an accelerator, which no worker has yet.
    let reply = site.client(1, "POST", ID, &job("ms=700", 1, 1, 700, false));
    let Some(reply) = reply else {
        return Ok(Verdict::NotRun("the client got no answer".into()));
    };
    thread::sleep(UNTIL_WORKER);
    Worker::start(config(2, 4), &events);
    thread::sleep((began + AFTERWARDS).saturating_duration_since(Instant::now()));
    site.client(1, "GET", ID, "");
    let started = events.all().into_iter().find(|e| e.what == "start" && e.task.starts_with(ID));
    let is_rejected = matches!(reply.status, 429 | 503 | 404);
    Ok(match started {
        Some(start) if is_rejected => Verdict::Broken(format!(
            "the client's only attempt was rejected with {}, and {} was started at {} ms",
            reply.status, start.task, start.at_ms
        )),
        _ if !is_rejected => Verdict::NotRun(format!("the client got {}", reply.status)),
        _ => Verdict::Held,
    })
}
