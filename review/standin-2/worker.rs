//! A worker of the platform, as the page on the protocol describes it: it starts, stops and lists
//! runs, keeps its lease, its fencing token and the numbers of its ends, and reports about itself.

use crate::{
    http::{self, Message, MessageReader},
    json::{self, Json},
    note,
    proxy::Cut,
};
use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT: Duration = Duration::from_millis(1_000);
const MAX_WAIT_MS: u64 = 2_000;
const MAX_LISTED: usize = 500;
/// Time from the start of a task that lasts until it is at work.
const STARTUP: Duration = Duration::from_millis(200);

/// Something that happened to a run.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time since the start of the record.
    pub at_ms: u64,
    pub worker: String,
    pub life: u32,
    pub task: String,
    pub attempt: u64,
    /// `start`, how the run ended, or `noted` for an end that an acknowledgment has reached.
    pub what: String,
}

/// The events of all workers.
#[derive(Clone, Default)]
pub struct Events(Arc<Mutex<Vec<Event>>>);

impl Events {
    pub fn all(&self) -> Vec<Event> {
        self.0.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }

    fn add(&self, event: Event) {
        let Event { worker, life, task, attempt, what, .. } = &event;
        note!("worker {worker} (life {life}): {what} {task} attempt {attempt}");
        self.0.lock().unwrap_or_else(|e| e.into_inner()).push(event);
    }
}

struct Run {
    attempt: u64,
    began: Instant,
    /// How long it takes; `None` if it lasts.
    takes: Option<Duration>,
}

/// What one life of a worker holds and knows.
struct Life {
    number: u32,
    born_ms: u64,
    began: Instant,
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest attempt of each task that ended or was stopped.
    over: BTreeMap<String, u64>,
}

impl Life {
    fn new(number: u32) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            number,
            born_ms: u64::try_from(now.as_millis()).unwrap_or(0),
            began: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0) + 1_000
    }
}

/// Settings of a worker.
#[derive(Clone)]
pub struct Config {
    pub id: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Address that it reports.
    pub advertised: SocketAddr,
    pub zone: String,
    pub service: String,
    pub cpu: u32,
    pub gpu: u32,
    pub controls: Vec<SocketAddr>,
    /// The cut between the worker and all others.
    pub cut: Cut,
}

struct State {
    life: Life,
    /// Whether the process runs.
    is_up: bool,
    connections: Vec<TcpStream>,
}

/// A worker.
pub struct Worker {
    config: Config,
    state: Mutex<State>,
    changed: Condvar,
    events: Events,
}

impl Worker {
    /// Starts the worker's first life.
    pub fn start(config: Config, events: &Events) -> Arc<Self> {
        let state = State { life: Life::new(0), is_up: false, connections: Vec::new() };
        let (events, changed) = (events.clone(), Condvar::new());
        let worker = Arc::new(Self { config, state: Mutex::new(state), changed, events });
        worker.begin_life();
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                let mut state = ticking.lock();
                if state.is_up {
                    ticking.expire(&mut state.life);
                }
            }
        });
        worker
    }

    pub fn id(&self) -> &str {
        &self.config.id
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Starts the process again under the same id: it runs and knows nothing of before.
    pub fn begin_life(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.config.listen).expect("address of a worker");
        let _ = listener.set_nonblocking(true);
        let number = {
            let mut state = self.lock();
            let number = state.life.number + 1;
            state.life = Life::new(number);
            state.is_up = true;
            number
        };
        note!("worker {}: life {number} begins", self.config.id);
        let accepting = self.clone();
        thread::spawn(move || accepting.accept(&listener, number));
        let reporting = self.clone();
        thread::spawn(move || reporting.report(number));
    }

    /// Ends the process as in a crash.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.is_up = false;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let life = &mut state.life;
        note!("worker {}: life {} crashes", self.config.id, life.number);
        for (task, run) in std::mem::take(&mut life.runs) {
            self.emit(life.number, &task, run.attempt, "crashed");
        }
        drop(state);
        self.changed.notify_all();
        // The listener's thread gives the address back.
        thread::sleep(Duration::from_millis(60));
    }

    fn lives(&self, number: u32) -> bool {
        let state = self.lock();
        state.is_up && state.life.number == number
    }

    fn emit(&self, life: u32, task: &str, attempt: u64, what: &str) {
        let (at_ms, worker) = (crate::record::now_ms(), self.config.id.clone());
        let (task, what) = (task.to_string(), what.to_string());
        self.events.add(Event { at_ms, worker, life, task, attempt, what });
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, number: u32) {
        while self.lives(number) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let mut state = self.lock();
                    state.connections.extend(stream.try_clone());
                    drop(state);
                    let worker = self.clone();
                    thread::spawn(move || worker.serve(stream, number));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, number: u32) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut requests = MessageReader::new(reading);
        while let Ok(Some(request)) = requests.next() {
            if !self.lives(number) {
                break;
            }
            let (status, body) = self.handle(&request);
            if !self.lives(number) || http::respond(&mut stream, status, &body).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        if request.header("x-expected-instance").is_some_and(|id| id != self.config.id) {
            return (421, "{}".into());
        }
        let Some(call) = json::parse(&request.body) else { return (400, "{}".into()) };
        let mut state = self.lock();
        self.expire(&mut state.life);
        let life = &mut state.life;
        let clock_ms = life.clock_ms();
        let token = call.number("fencing_token");
        if token < life.token {
            return refusal(clock_ms, "fence");
        }
        life.token = token;
        let asked = call.number("deadline_ms");
        life.lease_end_ms = life.lease_end_ms.max(asked.min(clock_ms + HOLD_MAX_MS));
        match request.path() {
            "/run-start" => self.start_run(life, &call, clock_ms),
            "/run-stop" => {
                let (task, attempt) = (call.text("task"), call.number("attempt"));
                let over = life.over.entry(task.clone()).or_default();
                *over = attempt.max(*over);
                if life.runs.get(&task).is_some_and(|r| r.attempt <= attempt) {
                    self.end(life, &task, "stopped");
                }
                (200, format!("{{\"clock_ms\":{clock_ms}}}"))
            }
            "/pace" => (200, format!("{{\"clock_ms\":{clock_ms}}}")),
            "/hold" => self.hold(state, &call),
            _ => (404, "{}".into()),
        }
    }

    fn start_run(&self, life: &mut Life, call: &Json, clock_ms: u64) -> (u16, String) {
        let (task, attempt) = (call.text("task"), call.number("attempt"));
        let accepted = (200, format!("{{\"clock_ms\":{clock_ms}}}"));
        if life.runs.get(&task).is_some_and(|r| r.attempt == attempt) {
            return accepted;
        }
        if life.over.get(&task).is_some_and(|over| attempt <= *over) {
            return refusal(clock_ms, "old");
        }
        if call.number("deadline_ms") <= clock_ms {
            return refusal(clock_ms, "late");
        }
        let spec = call.text("spec");
        let takes = spec.strip_prefix("ms=").and_then(|ms| ms.parse().ok());
        let run = Run { attempt, began: Instant::now(), takes: takes.map(Duration::from_millis) };
        life.runs.insert(task.clone(), run);
        self.emit(life.number, &task, attempt, "start");
        accepted
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, call: &Json) -> (u16, String) {
        let (number, cursor) = (state.life.number, call.number("ack_cursor"));
        let until = Instant::now() + Duration::from_millis(call.number("wait_ms").min(MAX_WAIT_MS));
        let noted: Vec<_> = state.life.ended.iter().filter(|e| e.0 <= cursor).cloned().collect();
        for (_, task, attempt, how) in noted {
            self.emit(number, &task, attempt, &format!("noted {how}"));
        }
        state.life.ended.retain(|e| e.0 > cursor);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let is_over = !state.is_up || state.life.number != number;
            if is_over || !state.life.ended.is_empty() || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        let life = &state.life;
        let percent = |run: &Run| match run.takes {
            None => {
                if run.began.elapsed() >= STARTUP {
                    100
                } else {
                    0
                }
            }
            Some(takes) => {
                let share = run.began.elapsed().as_millis() * 100 / takes.as_millis().max(1);
                share.min(99)
            }
        };
        let row = |(task, run): (&String, &Run)| {
            format!("[\"{task}\",{},\"\",{},1]", run.attempt, percent(run))
        };
        let running: Vec<String> = life.runs.iter().map(row).collect();
        let end = |(n, task, attempt, how): &(u64, String, u64, &str)| {
            format!("[{n},\"{task}\",{attempt},\"{how}\",\"\"]")
        };
        let finished: Vec<String> = life.ended.iter().take(MAX_LISTED).map(end).collect();
        let (clock_ms, born) = (life.clock_ms(), life.born_ms);
        let lists =
            format!("\"running\":[{}],\"finished\":[{}]", running.join(","), finished.join(","));
        (200, format!("{{\"clock_ms\":{clock_ms},\"born\":{born},{lists}}}"))
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else { return };
        let over = life.over.entry(task.into()).or_default();
        *over = run.attempt.max(*over);
        life.last_end += 1;
        life.ended.push((life.last_end, task.into(), run.attempt, how));
        self.emit(life.number, task, run.attempt, how);
        self.changed.notify_all();
    }

    /// Ends the runs that are done, and all runs if the lease is over.
    fn expire(&self, life: &mut Life) {
        let lapsed = life.clock_ms() > life.lease_end_ms;
        let is_done = |r: &Run| r.takes.is_some_and(|takes| r.began.elapsed() >= takes);
        let over = life.runs.iter().filter_map(|(task, run)| {
            let how = match (is_done(run), lapsed) {
                (true, _) => "done",
                (false, true) => "lapsed",
                _ => return None,
            };
            Some((task.clone(), how))
        });
        for (task, how) in over.collect::<Vec<_>>() {
            self.end(life, &task, how);
        }
    }

    /// Reports to one replica after another until one acknowledges, then stays with it.
    fn report(&self, number: u32) {
        let (mut sequence, mut next) = (0, 0);
        while self.lives(number) {
            sequence += 1;
            let body = self.report_body(sequence);
            let to = self.config.controls[next % self.config.controls.len()];
            let path = format!("/instances/{}", self.config.id);
            let began = Instant::now();
            let timeout = Duration::from_secs(1);
            let reply = match self.config.cut.is_complete() {
                false => http::call(to, "PUT", &path, &[], &body, timeout),
                true => {
                    thread::sleep(timeout);
                    None
                }
            };
            let status = reply.as_ref().map_or(0, |r| r.status);
            if sequence == 1 || status != 200 {
                note!("worker {}: report {sequence} to {to}: {status}", self.config.id);
            }
            if status != 200 {
                next += 1;
                thread::sleep(Duration::from_millis(50));
                continue;
            }
            thread::sleep(HEARTBEAT.saturating_sub(began.elapsed()));
        }
    }

    fn report_body(&self, sequence: u64) -> String {
        let state = self.lock();
        let (clock_ms, born) = (state.life.clock_ms(), state.life.born_ms);
        let Config { id, advertised, zone, service, cpu, gpu, .. } = &self.config;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{advertised}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"capacity\":{{\"cpu\":{cpu},\"mem_mb\":64000,\"gpu\":{gpu}}},\
             \"labels\":[\"a\",\"r1-1\"],\"machine\":\"m-{id}\",\"clock_ms\":{clock_ms},\
             \"sequence\":{sequence},\"born\":{born}}}"
        )
    }
}

fn refusal(clock_ms: u64, reason: &str) -> (u16, String) {
    (409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"))
}
