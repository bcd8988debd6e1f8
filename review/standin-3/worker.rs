//! A sound worker of the platform, as a process of its own. It does what PROTOCOL.md says of
//! workers, and writes one line to standard output for each thing that happens to a run.

use crate::{
    http::{self, Request},
    json::Json,
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// What a worker is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    pub id: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Address under which it is reached, which differs if a proxy is in front of it.
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub machine: String,
    pub cpu: u64,
    pub controls: Vec<SocketAddr>,
}

pub const SERVICE: &str = "desk";
pub const HEARTBEAT: Duration = Duration::from_millis(1_100);
pub const HOLD_MAX_MS: u64 = 10_000;
/// Time from the start of a task that lasts until it is at work.
const STARTUP_MS: u64 = 400;
const TICK: Duration = Duration::from_millis(10);

struct Run {
    attempt: u64,
    began: Instant,
    cpu: u64,
    /// Duration of the work; `None` if the task lasts.
    work_ms: Option<u64>,
    /// Whether the run ends `failed` instead of `done`.
    fails: bool,
    /// The number of tasks that work together; the members that aren't here run elsewhere.
    pace: u64,
}

impl Run {
    fn percent(&self) -> u64 {
        let total = self.work_ms.unwrap_or(STARTUP_MS);
        let whole = if self.work_ms.is_some() { 99 } else { 100 };
        (self.began.elapsed().as_millis() as u64 * 100 / total.max(1)).min(whole)
    }
}

#[derive(Default)]
struct State {
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run that was stopped or has ended here, by task.
    highest: BTreeMap<String, u64>,
}

struct Worker {
    settings: Settings,
    born: u64,
    started: Instant,
    state: Mutex<State>,
    ended: Condvar,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

fn emit(what: &str, task: &str, attempt: u64) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {what} {task} {attempt}", unix_ms());
    let _ = out.flush();
}

/// Runs a worker until the process is killed.
pub fn run(settings: Settings) -> ! {
    let Ok(listener) = TcpListener::bind(settings.listen) else {
        emit("no-address", "-", 0);
        std::process::exit(2)
    };
    let worker = Arc::new(Worker {
        settings,
        born: unix_ms(),
        started: Instant::now(),
        state: Mutex::default(),
        ended: Condvar::new(),
    });
    emit("born", "-", 0);
    let server = worker.clone();
    http::serve(listener, move |req| server.handle(req));
    let reporter = worker.clone();
    thread::spawn(move || reporter.report());
    loop {
        thread::sleep(TICK);
        worker.advance(&mut worker.lock());
    }
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else { return };
        let highest = state.highest.entry(task.into()).or_default();
        *highest = run.attempt.max(*highest);
        state.last_end += 1;
        state.ended.push((state.last_end, task.into(), run.attempt, how));
        emit(how, task, run.attempt);
        self.ended.notify_all();
    }

    /// Ends the runs whose work is done, and all runs once the lease has expired.
    fn advance(&self, state: &mut State) {
        if self.clock_ms() > state.lease_end_ms {
            let all: Vec<String> = state.runs.keys().cloned().collect();
            all.iter().for_each(|task| self.end(state, task, "lapsed"));
        }
        let is_over = |run: &Run| {
            run.work_ms.is_some_and(|ms| run.began.elapsed() >= Duration::from_millis(ms))
        };
        let over = state.runs.iter().filter(|(_, run)| is_over(run));
        let over: Vec<(String, bool)> = over.map(|(t, run)| (t.clone(), run.fails)).collect();
        for (task, fails) in over {
            self.end(state, &task, if fails { "failed" } else { "done" });
        }
    }

    fn handle(&self, req: Request) -> (u16, String) {
        if req.path == "/healthz" {
            return (200, String::new());
        }
        if req.header("x-expected-instance").is_some_and(|id| id != self.settings.id) {
            return (421, "{}".into());
        }
        let Some(call) = Json::parse(&req.body) else { return (400, "{}".into()) };
        let number = |key: &str| call.get(key).number().unwrap_or(0);
        let task = call.get("task").text().to_string();
        let attempt = number("attempt");
        let mut state = self.lock();
        self.advance(&mut state);
        if number("fencing_token") < state.token {
            return self.refuse("fence");
        }
        state.token = number("fencing_token");
        let lease = number("deadline_ms").min(self.clock_ms() + HOLD_MAX_MS);
        match req.path.as_str() {
            "/run-start" => {
                if state.runs.get(&task).is_some_and(|run| run.attempt == attempt) {
                    state.lease_end_ms = state.lease_end_ms.max(lease);
                    return self.done();
                }
                if number("deadline_ms") <= self.clock_ms() {
                    return self.refuse("late");
                }
                state.lease_end_ms = state.lease_end_ms.max(lease);
                if state.runs.contains_key(&task)
                    || state.highest.get(&task).is_some_and(|highest| attempt <= *highest)
                {
                    return self.refuse("old");
                }
                let run = new_run(call.get("spec").text(), attempt);
                let used: u64 = state.runs.values().map(|run| run.cpu).sum();
                if used + run.cpu > self.settings.cpu {
                    return self.refuse("room");
                }
                emit("start", &task, attempt);
                state.runs.insert(task, run);
                self.done()
            }
            "/run-stop" => {
                if state.runs.get(&task).is_some_and(|run| run.attempt <= attempt) {
                    self.end(&mut state, &task, "stopped");
                }
                let highest = state.highest.entry(task).or_default();
                *highest = attempt.max(*highest);
                self.done()
            }
            "/pace" => {
                let percent = number("percent");
                if let Some(run) = state.runs.get_mut(&task).filter(|r| r.attempt == attempt) {
                    run.pace = percent;
                }
                self.done()
            }
            "/hold" => {
                if call.get("deadline_ms").number().is_some() {
                    state.lease_end_ms = state.lease_end_ms.max(lease);
                }
                let cursor = number("ack_cursor");
                for (_, task, attempt, how) in state.ended.iter().filter(|e| e.0 <= cursor) {
                    emit(&format!("noted-{how}"), task, *attempt);
                }
                state.ended.retain(|e| e.0 > cursor);
                let until = Instant::now() + Duration::from_millis(number("wait_ms").min(2_000));
                while state.ended.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
                self.advance(&mut state);
                (200, self.lists(&state))
            }
            _ => (404, "{}".into()),
        }
    }

    fn lists(&self, state: &State) -> String {
        let figure = |run: &Run| if run.work_ms.is_some() { run.cpu } else { 5 };
        let running = state.runs.iter().map(|(task, run)| {
            format!("[\"{task}\",{},\"\",{},{}]", run.attempt, run.percent(), figure(run))
        });
        let finished = state.ended.iter().take(500);
        let finished = finished
            .map(|(n, task, attempt, how)| format!("[{n},\"{task}\",{attempt},\"{how}\",\"\"]"));
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.collect::<Vec<_>>().join(","),
            finished.collect::<Vec<_>>().join(",")
        )
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn done(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    /// Reports the state of the worker, to another node after each failure.
    fn report(&self) {
        let Settings { id, addr, zone, kind, rack, machine, cpu, controls, .. } = &self.settings;
        let mut to = controls[self.born as usize % controls.len()];
        for sequence in 1u64.. {
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"capacity\":{{\"cpu\":{cpu},\"mem_mb\":64000,\"gpu\":0}},\
                 \"labels\":[\"{kind}\",\"{rack}\"],\"machine\":\"{machine}\",\
                 \"clock_ms\":{},\"sequence\":{sequence},\"born\":{}}}",
                self.clock_ms(),
                self.born
            );
            let path = format!("/instances/{id}");
            let answer = http::call(to, "PUT", &path, &[], &body, Duration::from_secs(1));
            match answer {
                Ok((200, body)) => {
                    let named = Json::parse(&body).map(|b| b.get("heartbeat_addr").clone());
                    if let Some(addr) = named.and_then(|a| a.text().parse().ok()) {
                        to = addr;
                    }
                    thread::sleep(HEARTBEAT);
                }
                _ => {
                    to = controls[sequence as usize % controls.len()];
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }
}

/// Reads what a task does from its `spec`: words of the form KEY=NUMBER. `cpu` is what it requests,
/// `work` the milliseconds that it takes; without `work` it lasts. With `fails` it ends `failed`.
fn new_run(spec: &str, attempt: u64) -> Run {
    let value = |key: &str| {
        let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
        words.find(|(k, _)| *k == key).and_then(|(_, v)| v.parse::<u64>().ok())
    };
    Run {
        attempt,
        began: Instant::now(),
        cpu: value("cpu").unwrap_or(0),
        work_ms: value("work"),
        fails: value("fails").is_some(),
        pace: 100,
    }
}
