//! The scenarios: what happens, and whether the rule held.

use crate::{
    site::{Event, Site},
    worker::unix_ms,
};
use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Plays a scenario. Returns whether the rule held.
pub fn play(name: &str, trouble: bool, record: &Path) -> Result<bool, String> {
    let scenario = match name {
        "spent" => spent,
        "crashes" => crashes,
        "long" => long,
        "pending" => pending,
        "silent" => silent,
        _ => return Err("no such scenario".into()),
    };
    let mut site = Site::start()?;
    let result = scenario(&mut site, trouble);
    let verdict = match &result {
        Ok(None) => "HELD".to_string(),
        Ok(Some(broken)) => format!("BROKEN {broken}"),
        Err(e) => format!("NOT RUN {e}"),
    };
    println!("{verdict}");
    site.write_record(record, &verdict);
    if let Ok(to) = std::env::var("KEEP_LOGS") {
        site.keep_logs(&to);
    }
    result.map(|broken| broken.is_none())
}

/// `None` if the rule held, otherwise what broke it.
type Verdict = Result<Option<String>, String>;

fn seconds(s: f64) {
    thread::sleep(Duration::from_secs_f64(s));
}

/// Starts workers 1 to `count`; those in `special` are of kind "g", the others of kind "a".
/// Returns once each of them has run a task.
fn start_workers(site: &mut Site, count: u8, special: &[u8]) -> Result<(), String> {
    start_workers_but(site, count, special, None)
}

/// Like [`start_workers`], with one worker of kind "g" behind a proxy.
fn start_workers_but(
    site: &mut Site,
    count: u8,
    special: &[u8],
    proxied: Option<u8>,
) -> Result<(), String> {
    let kind = |n: u8| if special.contains(&n) { "g" } else { "a" };
    for n in 1..=count {
        match proxied {
            Some(p) if p == n => site.start_proxied_worker(n, "g")?,
            _ => site.start_worker(n, kind(n))?,
        }
    }
    // A task on each worker shows that the leader knows it.
    for round in 0..20u64 {
        seconds(1.0);
        let id = 0xf000 + round;
        let task = format!(
            "{{\"count\":{count},\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":100,\"anti_affinity\":1}}"
        );
        site.submit("quick", id, "cpu=500 work=100", &task);
        seconds(1.0);
        let reached = |n: u8| site.events_of(id).iter().any(|e| e.worker == n && e.what == "done");
        if (1..=count).all(reached) {
            return Ok(());
        }
    }
    Err("the workers got no tasks".into())
}

/// TWICE: the first call to start a task gets no answer; it is carried out 8 s later. Meanwhile the task
/// is done by the second call, that is taken note of, and the worker is cut off, crashes behind the cut
/// and starts again under its id.
fn spent(site: &mut Site, trouble: bool) -> Verdict {
    const WORKER: u8 = 10;
    let id = 0x9001;
    let task = format!("\"{id:016x}.");
    let has_held = AtomicBool::new(!trouble);
    let cut = Arc::new(AtomicBool::new(false));
    site.start_proxies(WORKER, cut.clone(), move |req| {
        req.path == "/run-start"
            && req.body.contains(&task)
            && !has_held.swap(true, Ordering::SeqCst)
    })?;
    start_workers_but(site, 10, &[], Some(WORKER))?;
    let phase = "{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":300,\
                 \"requirements\":\"g\"}";
    if !site.submit("quick", id, "cpu=1000 work=300", phase) {
        return Err("the submission wasn't accepted".into());
    }
    let is_noted = |site: &Site| site.events_of(id).iter().any(|e| e.what == "noted-done");
    site.wait_for("the task to be done and taken note of", is_noted)?;
    seconds(0.5);
    let shown = site.state("quick", id);
    if trouble {
        cut.store(true, Ordering::SeqCst);
        site.note(format!("worker {WORKER}: is cut off"));
        seconds(0.5);
        site.crash_worker(WORKER);
        seconds(0.5);
        site.start_proxied_worker(WORKER, "g")?;
        site.note(format!("worker {WORKER}: starts again under its id, behind the cut"));
        seconds(4.5);
        site.note(format!("worker {WORKER}: the cut heals"));
        cut.store(false, Ordering::SeqCst);
    }
    seconds(6.0);
    let events = site.events_of(id);
    let noted = events.iter().find(|e| e.what == "noted-done").map_or(0, |e| e.at_ms);
    let again = events.iter().find(|e| e.what == "start" && e.at_ms > noted);
    Ok(again.map(|e| {
        format!(
            "TWICE: {} was started {:.1} s after its end `done` was taken note of; it had been shown as {shown}",
            e.task,
            (e.at_ms - noted) as f64 / 1_000.0
        )
    }))
}

fn is_over(state: &str) -> bool {
    matches!(state, "complete" | "failed" | "cancelled" | "410")
}

/// LOST: one of ten workers crashes three times. Two submissions have a task that can run only on that
/// worker: a service of ten tasks that last, one on each worker, and a job that needs the worker's
/// kind. They are shown as failed, though no run of them has ended `failed`.
fn crashes(site: &mut Site, trouble: bool) -> Verdict {
    const CRASHING: u8 = 10;
    start_workers(site, 10, &[CRASHING])?;
    let (service, job) = (0xa001, 0xa002);
    let one_each = "{\"count\":10,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":400,\
                    \"long_running\":true,\"anti_affinity\":1}";
    let of_kind = "{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":5000,\
                   \"requirements\":\"g\"}";
    if !site.submit("watch", service, "cpu=1000", one_each)
        || !site.submit("quick", job, "cpu=1000 work=5000", of_kind)
    {
        return Err("a submission wasn't accepted".into());
    }
    seconds(1.5);
    for _ in 0..if trouble { 3 } else { 0 } {
        site.crash_worker(CRASHING);
        seconds(0.5);
        site.start_worker(CRASHING, "g")?;
        site.note(format!("worker {CRASHING}: starts again"));
        seconds(1.0);
    }
    let deadline = Instant::now() + Duration::from_secs(30);
    let mut state = site.state("quick", job);
    while !is_over(&state) && Instant::now() < deadline {
        seconds(1.0);
        state = site.state("quick", job);
    }
    let mut broken = Vec::new();
    for (name, queue, id, wanted) in
        [("the service", "watch", service, "running"), ("the job", "quick", job, "complete")]
    {
        let state = site.state(queue, id);
        let failed = site.events_of(id).iter().filter(|e| e.what == "failed").count();
        site.note(format!("{name}: state {state}, runs that ended failed: {failed}"));
        if state == "failed" && failed == 0 {
            broken.push(format!("{name} is shown as failed, none of its runs ended failed"));
        } else if state != wanted {
            return Err(format!("{name} is {state}"));
        }
    }
    Ok((!broken.is_empty()).then(|| format!("LOST: {}", broken.join("; "))))
}

/// Returns the spans of at least `least_ms` in [from, to] in which no run of the submission goes on.
fn idle_spans(events: &[Event], from: u64, to: u64, least_ms: u64) -> Vec<(u64, u64)> {
    let mut running: Vec<(String, u64)> = Vec::new();
    let mut idle_since = Some(from);
    let mut spans = Vec::new();
    for e in events.iter().filter(|e| e.at_ms <= to) {
        let run = (e.task.clone(), e.attempt);
        if e.what == "start" {
            if let Some(since) = idle_since.take()
                && e.at_ms >= since + least_ms
            {
                spans.push((since, e.at_ms));
            }
            running.push(run);
        } else if running.contains(&run) {
            running.retain(|r| *r != run);
            if running.is_empty() {
                idle_since = Some(e.at_ms.max(from));
            }
        }
    }
    if let Some(since) = idle_since
        && to >= since + least_ms
    {
        spans.push((since, to));
    }
    spans
}

/// LOST: one of twenty jobs takes 12 times as long as estimated. It is stopped again and again,
/// and for seconds nothing of it runs.
fn long(site: &mut Site, trouble: bool) -> Verdict {
    start_workers(site, 3, &[])?;
    let long = 0xb000;
    for n in 0..20u64 {
        let id = long + n;
        let (estimate, work) = match (n, trouble) {
            (0, true) => (30_000, 360_000),
            (0, false) => (30_000, 30_000),
            _ => (500, 500),
        };
        let phase =
            format!("{{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":{estimate}}}");
        if !site.submit("batch", id, &format!("cpu=1000 work={work}"), &phase) {
            return Err(format!("submission {id:x} wasn't accepted"));
        }
    }
    let traffic_end = unix_ms();
    site.note("the traffic ends");
    let from = traffic_end + 14_000;
    let mut to = traffic_end + 75_000;
    while unix_ms() < to {
        seconds(2.0);
        if is_over(&site.state("batch", long)) {
            to = to.min(unix_ms() - 2_500);
            break;
        }
    }
    let state = site.state("batch", long);
    let events = site.events_of(long);
    let stopped = events.iter().filter(|e| e.what == "stopped").count();
    site.note(format!("state {state}; runs stopped: {stopped}"));
    if state == "complete" {
        return Ok(None);
    }
    let spans = idle_spans(&events, from, to, 3_000);
    for (since, until) in &spans {
        let at = |t: u64| (t - site.began_ms) as f64 / 1_000.0;
        site.note(format!("nothing of it runs from {:.1} to {:.1}", at(*since), at(*until)));
    }
    Ok((!spans.is_empty()).then(|| {
        format!(
            "LOST: {} spans of 3 s or more with nothing running, {} s in all; the system stopped {stopped} runs",
            spans.len(),
            spans.iter().map(|(a, b)| b - a).sum::<u64>() / 1_000
        )
    }))
}

/// MIXED: one of ten workers is lost for good. Submissions that were placed on it before the loss
/// was noticed haven't begun, and aren't among the queue's pending ones.
fn pending(site: &mut Site, trouble: bool) -> Verdict {
    const LOST: u8 = 10;
    start_workers(site, 10, &[LOST])?;
    seconds(2.0);
    if trouble {
        site.silence_worker(LOST);
    }
    let ids: Vec<u64> = (0..8).map(|n| 0xc000 + n).collect();
    let phase = "{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":800,\
                 \"requirements\":\"g\"}";
    let mut accepted = Vec::new();
    for id in &ids {
        if site.submit("quick", *id, "cpu=1000 work=800", phase) {
            accepted.push((*id, unix_ms()));
        }
    }
    if accepted.len() < 4 {
        return Err(format!("{} submissions were accepted", accepted.len()));
    }
    let mut broken = None;
    for _ in 0..12 {
        seconds(2.0);
        let asked_at = unix_ms();
        let (status, body) = site.client("GET", "/quick/", "");
        let shown = crate::json::Json::parse(&body).and_then(|b| b.get("pending").number());
        let (200, Some(shown)) = (status, shown) else { continue };
        let begun = |id: u64| site.events_of(id).iter().any(|e| e.what == "start");
        let is_due = |(id, at): &&(u64, u64)| asked_at >= at + 5_000 && !begun(*id);
        let due = accepted.iter().filter(is_due).count() as u64;
        site.note(format!("accepted over 5 s before and not begun: {due}; pending: {shown}"));
        if shown * 2 < due {
            broken = Some(format!("MIXED: {due} submissions haven't begun, pending is {shown}"));
        }
    }
    Ok(broken)
}

/// LOST: one of ten workers falls silent and is lost for good. Tasks that last and were placed on
/// it before the loss was noticed aren't started elsewhere for long after their lease is over.
fn silent(site: &mut Site, trouble: bool) -> Verdict {
    const LOST: u8 = 1;
    start_workers(site, 10, &[])?;
    seconds(2.0);
    if trouble {
        site.silence_worker(LOST);
    }
    let lost_at = unix_ms();
    let ids: Vec<u64> = (0..4).map(|n| 0xd000 + n).collect();
    let phase = "{\"count\":10,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":400,\
                 \"long_running\":true,\"anti_affinity\":2}";
    let accepted: Vec<u64> =
        ids.iter().copied().filter(|id| site.submit("watch", *id, "cpu=500", phase)).collect();
    if accepted.is_empty() {
        return Err("no submission was accepted".into());
    }
    seconds(40.0);
    let now = unix_ms();
    // The lease that the worker may hold is over 10 s after it fell silent, 10.3 s on a slow clock.
    let from = lost_at + 11_000;
    let mut worst: Option<(String, u64, u64)> = None;
    let mut count = 0;
    for id in &accepted {
        let events = site.events_of(*id);
        for index in 0..10 {
            let task = format!("{id:016x}.0.0.{index}");
            let is_of = |e: &&Event| e.task == task && !(trouble && e.worker == LOST);
            let own: Vec<Event> = events.iter().filter(is_of).cloned().collect();
            for (since, until) in idle_spans(&own, from, now, 3_000) {
                count += 1;
                let at = |t: u64| (t - site.began_ms) as f64 / 1_000.0;
                site.note(format!(
                    "task {task} doesn't run from {:.1} to {:.1}",
                    at(since),
                    at(until)
                ));
                if worst.as_ref().is_none_or(|(_, a, b)| until - since > b - a) {
                    worst = Some((task.clone(), since, until));
                }
            }
        }
    }
    Ok(worst.map(|(task, since, until)| {
        format!(
            "LOST: {count} tasks that last don't run for 3 s or more, {task} for {:.1} s, though there is room",
            (until - since) as f64 / 1_000.0
        )
    }))
}
