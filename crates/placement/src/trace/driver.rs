//! Drives the decisions through a trace with the trace's time.

use super::{
    Entry, Event,
    facts::Facts,
    outcome::Outcome,
    worker::{FakeWorker, Handled, StartFacts, Stopped},
};
use crate::{
    command::Command,
    messages::{AttemptEnd, NumberedOrder, Order, Report},
    policy::PlacementPolicy,
    scheduler::Scheduler,
    state::PlacementState,
    time::Timestamp,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{
    AttemptNumber, CheckpointId, JobId, JobSpec, Priority, TaskKey, TaskState, WorkerId,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Time between two rounds of decisions.
const TICK_MS: u64 = 1000;
/// Time between two moves of a worker that nothing else calls for.
const MOVE_MS: u64 = 10_000;
/// Rounds between two checks of the state's rules.
const VERIFY_EVERY: u64 = 1800;

/// Replays a trace under a policy. Lease, report period and latency targets
/// are taken from the trace.
#[must_use]
pub fn replay(entries: &[Entry], policy: &PlacementPolicy) -> Outcome {
    let mut driver = Driver::new(entries, policy.clone());
    driver.run(entries);
    driver.outcome()
}

struct Driver {
    facts: Facts,
    state: PlacementState,
    scheduler: Scheduler,
    workers: Vec<FakeWorker>,
    origin: Timestamp,
    now: u64,
    index: u64,
    report_ms: u64,
    lag_ms: u64,
    out: Outcome,
    specs: BTreeMap<JobId, JobSpec>,
    failing: BTreeSet<JobId>,
    submitted: BTreeMap<TaskKey, u64>,
    running: BTreeMap<TaskKey, WorkerId>,
    saved: BTreeMap<CheckpointId, f64>,
    /// Last attempt of each task that a worker started.
    attempts: BTreeMap<TaskKey, AttemptNumber>,
    /// Newest checkpoint of each task whose eviction was confirmed.
    newest: BTreeMap<TaskKey, CheckpointId>,
    finished: BTreeMap<TaskKey, u64>,
    waits: Vec<u64>,
    cancels: Vec<(u64, Vec<JobId>)>,
}

impl Driver {
    fn new(entries: &[Entry], mut policy: PlacementPolicy) -> Self {
        let facts = Facts::new(entries);
        let mut origin = Timestamp { instant: Instant::now(), unix: Duration::ZERO };
        let mut lag = 0;
        for entry in entries {
            if let Event::Start { unix_ms, report_ms, lease_ms, lag_ms, .. } = entry.event {
                origin.unix = Duration::from_millis(unix_ms);
                policy.report_period = Duration::from_millis(report_ms);
                policy.lease = Duration::from_millis(lease_ms);
                lag = lag_ms;
            }
        }
        policy.latency_targets = facts.latency_targets();
        let report_ms = policy.report_period.as_millis() as u64;
        let state = PlacementState::default();
        let scheduler = Scheduler::new(policy, &state, origin);
        Self {
            facts,
            state,
            scheduler,
            workers: Vec::new(),
            origin,
            now: 0,
            index: 0,
            report_ms,
            lag_ms: lag,
            out: Outcome::default(),
            specs: BTreeMap::new(),
            failing: BTreeSet::new(),
            submitted: BTreeMap::new(),
            running: BTreeMap::new(),
            saved: BTreeMap::new(),
            attempts: BTreeMap::new(),
            newest: BTreeMap::new(),
            finished: BTreeMap::new(),
            waits: Vec::new(),
            cancels: Vec::new(),
        }
    }

    fn time(&self) -> Timestamp {
        self.origin.after(Duration::from_millis(self.now))
    }

    fn run(&mut self, entries: &[Entry]) {
        let end = entries.last().map_or(0, |e| e.at);
        let mut next = entries.iter().peekable();
        let mut rounds = 0;
        while self.now <= end {
            while let Some(entry) = next.next_if(|e| e.at <= self.now) {
                self.event(entry);
            }
            self.due_cancels();
            self.workers_move();
            for command in self.scheduler.tick(&self.state, self.time()) {
                self.commit(&command);
            }
            self.deliver();
            rounds += 1;
            if rounds % VERIFY_EVERY == 0 && self.state.verify().is_err() {
                self.out.broken.state_rules += 1;
            }
            self.now += TICK_MS;
        }
        self.out.length_ms = end;
    }

    fn event(&mut self, entry: &Entry) {
        match &entry.event {
            Event::Announce(a) => {
                if self.worker(&a.worker).is_none() {
                    self.workers.push(FakeWorker::new(a.clone()));
                }
            }
            Event::Submit { spec, fails } => {
                if *fails {
                    self.failing.insert(spec.id.clone());
                }
                self.submit(spec.clone());
            }
            Event::Wave { spec, count, cancelled_after_ms } => {
                let ids: Vec<JobId> =
                    (0..*count).map(|n| format!("{}-{n}", spec.id).into()).collect();
                for id in &ids {
                    self.submit(JobSpec { id: id.clone(), ..spec.clone() });
                }
                self.cancels.push((self.now + cancelled_after_ms, ids));
            }
            Event::Cancel { jobs } => self.cancels.push((self.now, jobs.clone())),
            Event::Crash { worker, down_ms } => {
                let until = self.now + down_ms;
                if let Some(w) = self.worker(worker) {
                    let lost = w.crash(until);
                    self.out.lost_work_ms += lost as u64;
                    self.running.retain(|_, at| at != worker);
                }
            }
            Event::Cut { worker, cut_ms } => {
                let until = self.now + cut_ms;
                if let Some(w) = self.worker(worker) {
                    w.cut_until = until;
                }
            }
            Event::FailsAll { worker } => {
                if let Some(w) = self.worker(worker) {
                    w.fails_all = true;
                }
            }
            Event::Start { .. }
            | Event::Report(_)
            | Event::Class(_)
            | Event::Pair { .. }
            | Event::Bounds(_) => {}
        }
    }

    fn worker(&mut self, id: &str) -> Option<&mut FakeWorker> {
        self.workers.iter_mut().find(|w| *w.announcement.worker == *id)
    }

    fn submit(&mut self, spec: JobSpec) {
        for index in 0..spec.tasks {
            let key = TaskKey { job: spec.id.clone(), index };
            self.submitted.insert(key, self.now);
        }
        self.specs.insert(spec.id.clone(), spec.clone());
        let at_unix_ms = self.time().unix_ms();
        self.commit(&Command::Submit { spec, at_unix_ms });
    }

    fn due_cancels(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.cancels.drain(..).partition(|c| c.0 <= now);
        self.cancels = later;
        for (_, jobs) in due {
            for job in &jobs {
                self.specs.remove(job);
            }
            let specs = &self.specs;
            self.submitted.retain(|key, _| specs.contains_key(&key.job));
            self.commit(&Command::Cancel(jobs));
        }
    }

    fn commit(&mut self, command: &Command) {
        self.index += 1;
        if let Command::Evict(tasks) = command {
            self.out.evictions += tasks.len() as u64;
        }
        // A refusal changes nothing, and the outcome shows what is missing.
        let _ = self.state.apply(self.index, command);
        self.scheduler.on_committed(&self.state, command);
    }

    /// Lets each worker run, announce itself and report.
    fn workers_move(&mut self) {
        let mut workers = std::mem::take(&mut self.workers);
        for (number, worker) in workers.iter_mut().enumerate() {
            // Workers move at different moments, as their clocks are not in step.
            let shifted = self.now + number as u64 * TICK_MS;
            let moves =
                shifted.is_multiple_of(MOVE_MS.min(self.report_ms)) || worker.has_due(self.now);
            if worker.is_up(self.now) && moves {
                self.worker_moves(worker, shifted.is_multiple_of(self.report_ms));
            }
        }
        self.workers = workers;
    }

    fn worker_moves(&mut self, worker: &mut FakeWorker, due: bool) {
        for stopped in worker.advance(&self.facts, self.now) {
            self.stopped(stopped);
        }
        if worker.known && self.now >= worker.lease_until {
            self.out.lost_work_ms += worker.stop_all() as u64;
            let id = worker.announcement.worker.clone();
            self.running.retain(|_, at| *at != id);
        }
        if !worker.is_reachable(self.now) {
            return;
        }
        if !worker.known {
            let command = self.scheduler.announce(&worker.announcement, self.time());
            self.commit(&command);
            worker.known = true;
            worker.lease_until = self.now + self.scheduler.lease().lease_ms;
        }
        if !due && !worker.has_ended() {
            return;
        }
        let report = worker.report(&self.facts, self.lag_ms, self.now, &mut self.out);
        match self.scheduler.report(&self.state, &report, self.time()) {
            Ok(commands) => {
                self.confirmed(&report);
                for command in &commands {
                    self.commit(command);
                }
                worker.answered();
                worker.lease_until = self.now + self.scheduler.lease().lease_ms;
            }
            Err(_) => worker.known = false,
        }
    }

    fn stopped(&mut self, stopped: Stopped) {
        self.running.remove(&stopped.task);
        self.out.lost_work_ms += stopped.lost_ms as u64;
        if let AttemptEnd::Evicted { checkpoint: Some(id) } = stopped.end {
            self.saved.insert(id, stopped.saved_ms);
        }
    }

    /// Notes the ends in a report that was answered. An end that a partition
    /// hid until the task was placed again counts for nothing.
    fn confirmed(&mut self, report: &Report) {
        for ended in &report.ended {
            if self.attempts.get(&ended.task) != Some(&ended.attempt) {
                continue;
            }
            match &ended.end {
                AttemptEnd::Evicted { checkpoint: Some(id) } => {
                    self.newest.insert(ended.task.clone(), id.clone());
                }
                AttemptEnd::Finished => {
                    let again = self.finished.insert(ended.task.clone(), self.now).is_some();
                    self.out.broken.finished_twice += u64::from(again);
                }
                _ => {}
            }
        }
    }

    /// Hands the workers their orders, as a long poll does.
    fn deliver(&mut self) {
        let mut workers = std::mem::take(&mut self.workers);
        for worker in &mut workers {
            if worker.known && worker.is_reachable(self.now) && self.now < worker.lease_until {
                let (id, boot) = (worker.announcement.worker.clone(), worker.announcement.boot);
                for order in self.scheduler.orders(&id, boot, worker.handled) {
                    self.handle(worker, &order);
                }
                self.scheduler.orders(&id, boot, worker.handled);
            }
        }
        self.workers = workers;
    }

    fn handle(&mut self, worker: &mut FakeWorker, order: &NumberedOrder) {
        let Order::Start { task, attempt, checkpoint, .. } = &order.order else {
            worker.handle(order, None, self.now, &mut self.out);
            let id = &worker.announcement.worker;
            if let Order::Stop { task, .. } = &order.order
                && self.running.get(task) == Some(id)
                && !worker.runs().any(|(key, _)| key == task)
            {
                self.running.remove(task);
            }
            return;
        };
        let saved = checkpoint.as_ref().and_then(|c| self.saved.get(c)).copied();
        let start = self.specs.get(&task.job).map(|spec| StartFacts {
            spec,
            facts: &self.facts,
            saved_ms: saved.unwrap_or(0.0),
            fails: self.failing.contains(&task.job),
        });
        match worker.handle(order, start, self.now, &mut self.out) {
            Handled::Nothing => {}
            Handled::OverCapacity => self.out.broken.over_capacity += 1,
            Handled::Started => {
                let id = worker.announcement.worker.clone();
                self.started(task, *attempt, checkpoint.as_ref(), id);
            }
        }
    }

    fn started(
        &mut self,
        task: &TaskKey,
        attempt: AttemptNumber,
        checkpoint: Option<&CheckpointId>,
        worker: WorkerId,
    ) {
        self.out.starts += 1;
        if self.running.insert(task.clone(), worker).is_some() {
            self.out.broken.two_places += 1;
        }
        self.attempts.insert(task.clone(), attempt);
        if self.newest.get(task) != checkpoint || self.finished.contains_key(task) {
            self.out.broken.wrong_resumes += 1;
        }
        let Some(submitted) = self.submitted.remove(task) else {
            return;
        };
        let wait = self.now - submitted;
        self.waits.push(wait);
        let urgent = self.specs.get(&task.job).is_some_and(|s| s.priority == Priority::Urgent);
        if urgent {
            self.out.urgent_started += 1;
            self.out.urgent_start_max_ms = self.out.urgent_start_max_ms.max(wait);
        }
    }

    fn outcome(mut self) -> Outcome {
        let end = self.out.length_ms;
        for (id, spec) in &self.specs {
            let at = |index| TaskKey { job: id.clone(), index };
            if spec.priority == Priority::Urgent {
                let waits = (0..spec.tasks).filter(|i| self.submitted.contains_key(&at(*i)));
                self.out.urgent_waiting += waits.count() as u64;
            }
            if spec.priority != Priority::Batch || self.failing.contains(id) {
                continue;
            }
            let Some(job) = self.state.job(id).filter(|j| j.feasible) else {
                continue;
            };
            let deadline = spec
                .deadline_ms
                .map(|d| (job.at_unix_ms + d).saturating_sub(self.origin.unix_ms()));
            for key in (0..spec.tasks).map(at) {
                let finished = self.finished.get(&key).copied();
                self.out.batch_submitted += 1;
                self.out.batch_finished += u64::from(finished.is_some());
                let missed = deadline.is_some_and(|d| finished.map_or(d < end, |f| f > d));
                self.out.deadline_misses += u64::from(missed);
            }
        }
        let tasks = || self.state.jobs().flat_map(|j| &j.tasks);
        self.out.cannot_run = self.state.jobs().filter(|j| !j.feasible).count() as u64;
        self.out.failed = tasks().filter(|t| t.state == TaskState::Failed).count() as u64;
        self.waits.sort_unstable();
        let rank = |q: usize| {
            self.waits.get((self.waits.len() * q / 100).min(self.waits.len().max(1) - 1))
        };
        self.out.start_p50_ms = rank(50).copied().unwrap_or(0);
        self.out.start_p99_ms = rank(99).copied().unwrap_or(0);
        self.out
    }
}
