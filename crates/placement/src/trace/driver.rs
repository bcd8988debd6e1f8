//! Replays a trace through the scheduler in the time of the trace.

use super::{
    Event, TimedEvent,
    outcome::Outcome,
    worker::{AttemptResult, Handled, SimulatedWorker, StartContext},
    workload::Workload,
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

/// Time between two rounds of the scheduler.
const TICK_MS: u64 = 1000;
/// Maximum time between two steps of a simulated worker.
const WORKER_STEP_MS: u64 = 10_000;
/// Number of rounds between two checks of the state's invariants.
const VERIFY_EVERY_ROUNDS: u64 = 1800;

/// Replays a trace under a policy. The lease, the report period and the latency
/// targets are taken from the trace.
#[must_use]
pub fn replay(entries: &[TimedEvent], policy: &PlacementPolicy) -> Outcome {
    let mut driver = Driver::new(entries, policy.clone());
    driver.run(entries);
    driver.outcome()
}

struct Driver {
    workload: Workload,
    state: PlacementState,
    scheduler: Scheduler,
    workers: Vec<SimulatedWorker>,
    /// The time at the start of the trace.
    origin: Timestamp,
    /// Milliseconds since the start of the trace.
    now: u64,
    log_index: u64,
    report_ms: u64,
    lag_ms: u64,
    outcome: Outcome,
    specs: BTreeMap<JobId, JobSpec>,
    failing_jobs: BTreeSet<JobId>,
    /// Submission time of each task that has not started yet.
    submitted_ms: BTreeMap<TaskKey, u64>,
    /// The worker that runs each running task.
    running: BTreeMap<TaskKey, WorkerId>,
    /// Work saved in each checkpoint, in milliseconds.
    saved_ms: BTreeMap<CheckpointId, f64>,
    /// The last attempt of each task that a worker started.
    last_attempts: BTreeMap<TaskKey, AttemptNumber>,
    /// The latest checkpoint of each task whose eviction was confirmed.
    newest_checkpoints: BTreeMap<TaskKey, CheckpointId>,
    /// Time at which the end of each completed task was confirmed.
    finished_ms: BTreeMap<TaskKey, u64>,
    start_waits_ms: Vec<u64>,
    /// Jobs to cancel, and the time at which each cancellation is due, in
    /// milliseconds since the start of the trace.
    pending_cancels: Vec<(u64, Vec<JobId>)>,
}

impl Driver {
    fn new(entries: &[TimedEvent], mut policy: PlacementPolicy) -> Self {
        let workload = Workload::new(entries);
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
        policy.latency_targets = workload.latency_targets();
        let report_ms = policy.report_period.as_millis() as u64;
        let state = PlacementState::default();
        let scheduler = Scheduler::new(policy, &state, origin);
        Self {
            workload,
            state,
            scheduler,
            workers: Vec::new(),
            origin,
            now: 0,
            log_index: 0,
            report_ms,
            lag_ms: lag,
            outcome: Outcome::default(),
            specs: BTreeMap::new(),
            failing_jobs: BTreeSet::new(),
            submitted_ms: BTreeMap::new(),
            running: BTreeMap::new(),
            saved_ms: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
            newest_checkpoints: BTreeMap::new(),
            finished_ms: BTreeMap::new(),
            start_waits_ms: Vec::new(),
            pending_cancels: Vec::new(),
        }
    }

    fn time(&self) -> Timestamp {
        self.origin.after(Duration::from_millis(self.now))
    }

    fn run(&mut self, entries: &[TimedEvent]) {
        let end = entries.last().map_or(0, |e| e.at);
        let mut next = entries.iter().peekable();
        let mut rounds = 0;
        while self.now <= end {
            while let Some(entry) = next.next_if(|e| e.at <= self.now) {
                self.apply_event(entry);
            }
            self.cancel_due_jobs();
            self.step_workers();
            for command in self.scheduler.tick(&self.state, self.time()) {
                self.commit(&command);
            }
            self.deliver_orders();
            rounds += 1;
            if rounds % VERIFY_EVERY_ROUNDS == 0 && self.state.verify().is_err() {
                self.outcome.broken.state_rules += 1;
            }
            self.now += TICK_MS;
        }
        self.outcome.length_ms = end;
    }

    fn apply_event(&mut self, entry: &TimedEvent) {
        match &entry.event {
            Event::Announce(a) => {
                if self.worker(&a.worker).is_none() {
                    self.workers.push(SimulatedWorker::new(a.clone()));
                }
            }
            Event::Submit { spec, fails } => {
                if *fails {
                    self.failing_jobs.insert(spec.id.clone());
                }
                self.submit(spec.clone());
            }
            Event::Wave { spec, count, cancelled_after_ms } => {
                let ids: Vec<JobId> =
                    (0..*count).map(|n| format!("{}-{n}", spec.id).into()).collect();
                for id in &ids {
                    self.submit(JobSpec { id: id.clone(), ..spec.clone() });
                }
                self.pending_cancels.push((self.now + cancelled_after_ms, ids));
            }
            Event::Cancel { jobs } => self.pending_cancels.push((self.now, jobs.clone())),
            Event::Crash { worker, down_ms } => {
                let until = self.now + down_ms;
                if let Some(w) = self.worker(worker) {
                    let lost = w.crash(until);
                    self.outcome.lost_work_ms += lost as u64;
                    self.running.retain(|_, at| at != worker);
                }
            }
            Event::Cut { worker, cut_ms } => {
                let until = self.now + cut_ms;
                if let Some(w) = self.worker(worker) {
                    w.unreachable_until = until;
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

    fn worker(&mut self, id: &str) -> Option<&mut SimulatedWorker> {
        self.workers.iter_mut().find(|w| *w.announcement.worker == *id)
    }

    fn submit(&mut self, spec: JobSpec) {
        for index in 0..spec.tasks {
            let key = TaskKey { job: spec.id.clone(), index };
            self.submitted_ms.insert(key, self.now);
        }
        self.specs.insert(spec.id.clone(), spec.clone());
        let at_unix_ms = self.time().unix_ms();
        self.commit(&Command::Submit { spec, at_unix_ms });
    }

    fn cancel_due_jobs(&mut self) {
        let now = self.now;
        let (due, remaining): (Vec<_>, Vec<_>) =
            self.pending_cancels.drain(..).partition(|c| c.0 <= now);
        self.pending_cancels = remaining;
        for (_, jobs) in due {
            for job in &jobs {
                self.specs.remove(job);
            }
            let specs = &self.specs;
            self.submitted_ms.retain(|key, _| specs.contains_key(&key.job));
            self.commit(&Command::Cancel(jobs));
        }
    }

    fn commit(&mut self, command: &Command) {
        self.log_index += 1;
        if let Command::Evict(tasks) = command {
            self.outcome.evictions += tasks.len() as u64;
        }
        // A rejected command changes nothing, and its effect is missing from the outcome.
        let _ = self.state.apply(self.log_index, command);
        self.scheduler.on_committed(&self.state, command);
    }

    /// Lets each worker run its tasks, announce itself and report.
    fn step_workers(&mut self) {
        let mut workers = std::mem::take(&mut self.workers);
        for (number, worker) in workers.iter_mut().enumerate() {
            // Workers take their steps at different times, as their clocks are not
            // synchronized.
            let shifted = self.now + number as u64 * TICK_MS;
            let step_due = shifted.is_multiple_of(WORKER_STEP_MS.min(self.report_ms))
                || worker.has_due_end(self.now);
            if worker.is_up(self.now) && step_due {
                self.step_worker(worker, shifted.is_multiple_of(self.report_ms));
            }
        }
        self.workers = workers;
    }

    fn step_worker(&mut self, worker: &mut SimulatedWorker, report_due: bool) {
        for result in worker.advance(&self.workload, self.now) {
            self.record_end(result);
        }
        if worker.registered && self.now >= worker.lease_until {
            self.outcome.lost_work_ms += worker.stop_all() as u64;
            let id = worker.announcement.worker.clone();
            self.running.retain(|_, at| *at != id);
        }
        if !worker.is_reachable(self.now) {
            return;
        }
        if !worker.registered {
            let command = self.scheduler.announce(&worker.announcement, self.time());
            self.commit(&command);
            worker.registered = true;
            worker.lease_until = self.now + self.scheduler.lease().lease_ms;
        }
        if !report_due && !worker.has_ended() {
            return;
        }
        let report = worker.report(&self.workload, self.lag_ms, self.now, &mut self.outcome);
        match self.scheduler.report(&self.state, &report, self.time()) {
            Ok(commands) => {
                self.record_confirmed_ends(&report);
                for command in &commands {
                    self.commit(command);
                }
                worker.report_answered();
                worker.lease_until = self.now + self.scheduler.lease().lease_ms;
            }
            Err(_) => worker.registered = false,
        }
    }

    fn record_end(&mut self, result: AttemptResult) {
        self.running.remove(&result.task);
        self.outcome.lost_work_ms += result.lost_ms as u64;
        if let AttemptEnd::Evicted { checkpoint: Some(id) } = result.end {
            self.saved_ms.insert(id, result.saved_ms);
        }
    }

    /// Records the ends in a report that was answered. Ignores an end that a
    /// network partition delayed until a later attempt of the task was started.
    fn record_confirmed_ends(&mut self, report: &Report) {
        for ended in &report.ended {
            if self.last_attempts.get(&ended.task) != Some(&ended.attempt) {
                continue;
            }
            match &ended.end {
                AttemptEnd::Evicted { checkpoint: Some(id) } => {
                    self.newest_checkpoints.insert(ended.task.clone(), id.clone());
                }
                AttemptEnd::Finished => {
                    let again = self.finished_ms.insert(ended.task.clone(), self.now).is_some();
                    self.outcome.broken.finished_twice += u64::from(again);
                }
                _ => {}
            }
        }
    }

    /// Delivers orders to the workers, as a long poll does.
    fn deliver_orders(&mut self) {
        let mut workers = std::mem::take(&mut self.workers);
        for worker in &mut workers {
            if worker.registered && worker.is_reachable(self.now) && self.now < worker.lease_until {
                let (id, boot) = (worker.announcement.worker.clone(), worker.announcement.boot);
                for order in self.scheduler.orders(&id, boot, worker.handled) {
                    self.handle_order(worker, &order);
                }
                self.scheduler.orders(&id, boot, worker.handled);
            }
        }
        self.workers = workers;
    }

    fn handle_order(&mut self, worker: &mut SimulatedWorker, order: &NumberedOrder) {
        let Order::Start { task, attempt, checkpoint, .. } = &order.order else {
            worker.handle(order, None, self.now, &mut self.outcome);
            let id = &worker.announcement.worker;
            if let Order::Stop { task, .. } = &order.order
                && self.running.get(task) == Some(id)
                && !worker.running().any(|(key, _)| key == task)
            {
                self.running.remove(task);
            }
            return;
        };
        let saved = checkpoint.as_ref().and_then(|c| self.saved_ms.get(c)).copied();
        let start = self.specs.get(&task.job).map(|spec| StartContext {
            spec,
            workload: &self.workload,
            saved_ms: saved.unwrap_or(0.0),
            fails: self.failing_jobs.contains(&task.job),
        });
        match worker.handle(order, start, self.now, &mut self.outcome) {
            Handled::Nothing => {}
            Handled::OverCapacity => self.outcome.broken.over_capacity += 1,
            Handled::Started => {
                let id = worker.announcement.worker.clone();
                self.record_start(task, *attempt, checkpoint.as_ref(), id);
            }
        }
    }

    fn record_start(
        &mut self,
        task: &TaskKey,
        attempt: AttemptNumber,
        checkpoint: Option<&CheckpointId>,
        worker: WorkerId,
    ) {
        self.outcome.starts += 1;
        if self.running.insert(task.clone(), worker).is_some() {
            self.outcome.broken.two_places += 1;
        }
        self.last_attempts.insert(task.clone(), attempt);
        if self.newest_checkpoints.get(task) != checkpoint || self.finished_ms.contains_key(task) {
            self.outcome.broken.wrong_resumes += 1;
        }
        let Some(submitted) = self.submitted_ms.remove(task) else {
            return;
        };
        let wait = self.now - submitted;
        self.start_waits_ms.push(wait);
        let urgent = self.specs.get(&task.job).is_some_and(|s| s.priority == Priority::Urgent);
        if urgent {
            self.outcome.urgent_started += 1;
            self.outcome.urgent_start_max_ms = self.outcome.urgent_start_max_ms.max(wait);
        }
    }

    fn outcome(mut self) -> Outcome {
        let end = self.outcome.length_ms;
        for (id, spec) in &self.specs {
            let task_key = |index| TaskKey { job: id.clone(), index };
            if spec.priority == Priority::Urgent {
                let waits =
                    (0..spec.tasks).filter(|i| self.submitted_ms.contains_key(&task_key(*i)));
                self.outcome.urgent_waiting += waits.count() as u64;
            }
            if spec.priority != Priority::Batch || self.failing_jobs.contains(id) {
                continue;
            }
            let Some(job) = self.state.job(id).filter(|j| j.feasible) else {
                continue;
            };
            let deadline = spec
                .deadline_ms
                .map(|d| (job.at_unix_ms + d).saturating_sub(self.origin.unix_ms()));
            for key in (0..spec.tasks).map(task_key) {
                let finished = self.finished_ms.get(&key).copied();
                self.outcome.batch_submitted += 1;
                self.outcome.batch_finished += u64::from(finished.is_some());
                let missed = deadline.is_some_and(|d| finished.map_or(d < end, |f| f > d));
                self.outcome.deadline_misses += u64::from(missed);
            }
        }
        let tasks = || self.state.jobs().flat_map(|j| &j.tasks);
        self.outcome.cannot_run = self.state.jobs().filter(|j| !j.feasible).count() as u64;
        self.outcome.failed = tasks().filter(|t| t.state == TaskState::Failed).count() as u64;
        self.start_waits_ms.sort_unstable();
        let percentile = |q: usize| {
            self.start_waits_ms.get(
                (self.start_waits_ms.len() * q / 100).min(self.start_waits_ms.len().max(1) - 1),
            )
        };
        self.outcome.start_p50_ms = percentile(50).copied().unwrap_or(0);
        self.outcome.start_p99_ms = percentile(99).copied().unwrap_or(0);
        self.outcome
    }
}
