//! A simulated worker for replays. It applies the same checks to orders as a
//! real worker, and runs tasks according to the workload of the trace.

use super::{outcome::Outcome, workload::Workload};
use crate::messages::{
    Announcement, AttemptEnd, EndedTask, NumberedOrder, Order, Report, RunningTask,
};
use cyclamenloft_types::{
    AttemptNumber, CheckpointId, JobClass, JobSpec, Priority, Resources, TaskKey,
};
use std::collections::BTreeMap;

/// Time from the order to evict a task until its checkpoint is complete.
const CHECKPOINT_DURATION_MS: u64 = 2000;
/// Amount of work after which a task takes a checkpoint on its own.
const AUTO_CHECKPOINT_INTERVAL_MS: u64 = 5 * 60 * 1000;
/// Time from the start of a failing task to its failure.
const FAILURE_DELAY_MS: u64 = 5000;

/// A running task on the worker.
struct SimulatedTask {
    attempt: AttemptNumber,
    class: JobClass,
    priority: Priority,
    reserved: Resources,
    usage: Resources,
    /// Total work in milliseconds at full speed; `None` for a service.
    total_ms: Option<u64>,
    /// Completed work in milliseconds at full speed.
    done_ms: f64,
    /// Part of the completed work that the last checkpoint holds.
    saved_ms: f64,
    checkpoints: bool,
    cpu_percent: u8,
    fails_at: Option<u64>,
    evicted_at: Option<u64>,
    /// Usage, tail latency in microseconds and load in percent for the next report.
    /// The measurements in a report are one period old.
    measured: Option<(Resources, Option<u64>, Option<u16>)>,
}

/// Data that a worker needs to start a task, in addition to the order.
pub(super) struct StartContext<'a> {
    pub(super) spec: &'a JobSpec,
    pub(super) workload: &'a Workload,
    /// Work saved in the checkpoint from which the task resumes, in milliseconds.
    pub(super) saved_ms: f64,
    pub(super) fails: bool,
}

/// The effect of an order on a worker.
pub(super) enum Handled {
    Nothing,
    Started,
    OverCapacity,
}

/// A simulated worker.
pub(super) struct SimulatedWorker {
    pub(super) announcement: Announcement,
    tasks: BTreeMap<TaskKey, SimulatedTask>,
    /// The highest attempt of each task in a start or stop order since the boot.
    seen: BTreeMap<TaskKey, AttemptNumber>,
    ended: Vec<EndedTask>,
    pub(super) sequence: u64,
    pub(super) handled: u64,
    pub(super) lease_until: u64,
    pub(super) down_until: u64,
    pub(super) unreachable_until: u64,
    pub(super) registered: bool,
    pub(super) fails_all: bool,
    /// Time up to which the tasks have run.
    advanced_to_ms: u64,
}

/// The end of an attempt, with the work that was saved or lost.
pub(super) struct AttemptResult {
    pub(super) task: TaskKey,
    pub(super) attempt: AttemptNumber,
    pub(super) end: AttemptEnd,
    pub(super) saved_ms: f64,
    pub(super) lost_ms: f64,
}

impl SimulatedWorker {
    pub(super) fn new(announcement: Announcement) -> Self {
        Self {
            announcement,
            tasks: BTreeMap::new(),
            seen: BTreeMap::new(),
            ended: Vec::new(),
            sequence: 0,
            handled: 0,
            lease_until: 0,
            down_until: 0,
            unreachable_until: 0,
            registered: false,
            fails_all: false,
            advanced_to_ms: 0,
        }
    }

    pub(super) fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    pub(super) fn is_reachable(&self, now: u64) -> bool {
        self.is_up(now) && now >= self.unreachable_until
    }

    pub(super) fn running(&self) -> impl Iterator<Item = (&TaskKey, AttemptNumber)> {
        self.tasks.iter().map(|(key, task)| (key, task.attempt))
    }

    /// Crashes the worker until the given time, and returns the lost work in
    /// milliseconds. Everything in memory is lost.
    pub(super) fn crash(&mut self, until: u64) -> f64 {
        self.announcement.boot += 1;
        self.down_until = until;
        self.registered = false;
        (self.sequence, self.handled) = (0, 0);
        self.ended.clear();
        self.seen.clear();
        let lost = self.tasks.values().map(|t| t.done_ms - t.saved_ms).sum();
        self.tasks.clear();
        lost
    }

    /// Stops all tasks, as a worker must when its lease has expired, and returns
    /// the lost work in milliseconds.
    pub(super) fn stop_all(&mut self) -> f64 {
        let mut lost = 0.0;
        for (task, fake) in std::mem::take(&mut self.tasks) {
            lost += fake.done_ms - fake.saved_ms;
            let end = AttemptEnd::Stopped;
            self.ended.push(EndedTask { task, attempt: fake.attempt, end });
        }
        lost
    }

    pub(super) fn handle(
        &mut self,
        numbered: &NumberedOrder,
        start: Option<StartContext<'_>>,
        now: u64,
        outcome: &mut Outcome,
    ) -> Handled {
        self.handled = self.handled.max(numbered.number);
        match &numbered.order {
            Order::Start { task, attempt, resources, .. } => {
                if self.seen.get(task).is_some_and(|seen| seen >= attempt) {
                    return Handled::Nothing;
                }
                self.seen.insert(task.clone(), *attempt);
                let Some(start) = start else {
                    return Handled::Nothing;
                };
                let held =
                    self.tasks.values().try_fold(*resources, |sum, t| sum.checked_add(&t.reserved));
                if !held.is_some_and(|sum| sum.fits_in(&self.announcement.capacity)) {
                    let end = AttemptEnd::Refused { reason: "over capacity".into() };
                    self.ended.push(EndedTask { task: task.clone(), attempt: *attempt, end });
                    return Handled::OverCapacity;
                }
                let new_task = self.new_task(task, *attempt, *resources, &start, now);
                self.tasks.insert(task.clone(), new_task);
                return Handled::Started;
            }
            Order::Throttle { task, attempt, cpu_percent } => {
                if let Some(t) = self.tasks.get_mut(task).filter(|t| t.attempt == *attempt) {
                    outcome.throttles += u64::from(*cpu_percent < t.cpu_percent);
                    t.cpu_percent = *cpu_percent;
                }
            }
            Order::Evict { task, attempt } => {
                if let Some(t) = self.tasks.get_mut(task).filter(|t| t.attempt == *attempt) {
                    t.evicted_at.get_or_insert(now + CHECKPOINT_DURATION_MS);
                }
            }
            Order::Stop { task, attempt } => {
                let seen = self.seen.entry(task.clone()).or_default();
                *seen = (*seen).max(*attempt);
                if self.tasks.get(task).is_none_or(|t| t.attempt == *attempt) {
                    self.tasks.remove(task);
                    let end = AttemptEnd::Stopped;
                    self.ended.push(EndedTask { task: task.clone(), attempt: *attempt, end });
                }
            }
        }
        Handled::Nothing
    }

    fn new_task(
        &self,
        key: &TaskKey,
        attempt: AttemptNumber,
        reserved: Resources,
        start: &StartContext<'_>,
        now: u64,
    ) -> SimulatedTask {
        let spec = start.spec;
        let class = start.workload.class(&spec.class);
        let [cpu, memory, run] =
            class.map_or([1.0; 3], |c| [c.cpu_ratio, c.memory_ratio, c.run_ratio]);
        let vary = |salt| 0.8 + 0.4 * start.workload.uniform(key, salt);
        let usage = Resources {
            cpu_millis: (f64::from(spec.resources.cpu_millis) * cpu * vary(1)) as u32,
            memory_mib: (f64::from(spec.resources.memory_mib) * memory * vary(2)) as u32,
            accelerators: spec.resources.accelerators,
        };
        let total = spec.run_time_ms as f64 * run * vary(3);
        SimulatedTask {
            attempt,
            class: spec.class.clone(),
            priority: spec.priority,
            reserved,
            usage,
            total_ms: (spec.run_time_ms > 0).then_some(total as u64),
            done_ms: start.saved_ms,
            saved_ms: start.saved_ms,
            checkpoints: class.is_some_and(|c| c.checkpoints),
            cpu_percent: 100,
            fails_at: (start.fails || self.fails_all).then_some(now + FAILURE_DELAY_MS),
            evicted_at: None,
            measured: None,
        }
    }

    /// Runs the tasks until `now`, and returns the attempts that ended.
    pub(super) fn advance(&mut self, workload: &Workload, now: u64) -> Vec<AttemptResult> {
        let elapsed_ms =
            now.saturating_sub(std::mem::replace(&mut self.advanced_to_ms, now)) as f64;
        let speed = self.batch_speed(workload, now);
        let mut results = Vec::new();
        for (key, task) in &mut self.tasks {
            if task.total_ms.is_some() {
                task.done_ms += elapsed_ms * speed * f64::from(task.cpu_percent) / 100.0;
            }
            if task.checkpoints
                && task.done_ms - task.saved_ms >= AUTO_CHECKPOINT_INTERVAL_MS as f64
            {
                task.saved_ms = task.done_ms;
            }
            let end = if task.fails_at.is_some_and(|at| at <= now) {
                AttemptEnd::Failed { reason: "exit status 1".into() }
            } else if task.total_ms.is_some_and(|total| task.done_ms >= total as f64) {
                AttemptEnd::Finished
            } else if task.evicted_at.is_some_and(|at| at <= now) {
                let id = || CheckpointId::from(format!("{key}-{}", task.attempt));
                AttemptEnd::Evicted { checkpoint: task.checkpoints.then(id) }
            } else {
                continue;
            };
            let saved_ms = match &end {
                AttemptEnd::Evicted { checkpoint: Some(_) } => task.done_ms,
                _ => 0.0,
            };
            let lost_ms = match &end {
                AttemptEnd::Finished => 0.0,
                _ => task.done_ms - saved_ms,
            };
            let (task, attempt) = (key.clone(), task.attempt);
            results.push(AttemptResult { task, attempt, end, saved_ms, lost_ms });
        }
        for s in &results {
            self.tasks.remove(&s.task);
            let (task, attempt, end) = (s.task.clone(), s.attempt, s.end.clone());
            self.ended.push(EndedTask { task, attempt, end });
        }
        results
    }

    /// Returns the speed of batch tasks, which is below 1 if the tasks demand more
    /// CPU than the worker has. Services come first.
    fn batch_speed(&self, workload: &Workload, now: u64) -> f64 {
        let (mut services, mut batch) = (0.0, 0.0);
        for task in self.tasks.values() {
            match task.total_ms {
                None => services += task.cpu(workload, now),
                Some(_) => batch += task.cpu(workload, now),
            }
        }
        let capacity = f64::from(self.announcement.capacity.cpu_millis);
        if batch > 0.0 { ((capacity - services).max(0.0) / batch).min(1.0) } else { 1.0 }
    }

    /// Returns the next report, with measurements from the previous report period.
    pub(super) fn report(
        &mut self,
        workload: &Workload,
        lag_ms: u64,
        now: u64,
        outcome: &mut Outcome,
    ) -> Report {
        self.sequence += 1;
        let capacity = f64::from(self.announcement.capacity.cpu_millis.max(1));
        let demand: f64 = self.tasks.values().map(|t| t.cpu(workload, now)).sum();
        let excess = (demand / capacity - 1.0).max(0.0);
        let mut shares: BTreeMap<JobClass, f64> = BTreeMap::new();
        for task in self.tasks.values() {
            *shares.entry(task.class.clone()).or_default() += task.cpu(workload, now) / capacity;
        }
        let mut running = Vec::with_capacity(self.tasks.len());
        let sequence = self.sequence;
        for (key, task) in &mut self.tasks {
            let cpu = task.cpu(workload, now);
            let mut measured = (Resources { cpu_millis: cpu as u32, ..task.usage }, None, None);
            let service = workload.class(&task.class).and_then(|c| c.service.as_ref());
            if let Some(service) = service.filter(|_| task.priority == Priority::Service) {
                let load = workload.load(service, now);
                let mut neighbors = shares.clone();
                neighbors.entry(task.class.clone()).and_modify(|s| *s -= cpu / capacity);
                let noise = 0.88 + 0.24 * workload.uniform(key, 1000 + sequence);
                let latency = workload.latency(&task.class, service, load, &neighbors);
                let latency = latency * noise * (1.0 + 2.0 * excess);
                outcome.service_reports += 1;
                outcome.over_target += u64::from(latency > 1.0);
                measured.1 = Some((latency * service.p99_us as f64) as u64);
                measured.2 = Some((load * 100.0) as u16);
            }
            let last = task.measured.replace(measured);
            let (usage, p99_us, load_percent) = last.unwrap_or_default();
            running.push(RunningTask {
                task: key.clone(),
                attempt: task.attempt,
                usage,
                p99_us,
                load_percent,
                progress_percent: task
                    .total_ms
                    .map(|total| (task.done_ms * 100.0 / total.max(1) as f64).min(100.0) as u8),
                unsaved_ms: (task.done_ms - task.saved_ms) as u64,
            });
        }
        Report {
            worker: self.announcement.worker.clone(),
            boot: self.announcement.boot,
            sequence,
            running,
            full: true,
            ended: self.ended.clone(),
            lag_ms,
        }
    }

    /// Drops the ends in the last report, which was answered.
    pub(super) fn report_answered(&mut self) {
        self.ended.clear();
    }

    /// Returns whether there is an end to report, or a task fails or completes its
    /// checkpoint by `now`.
    pub(super) fn has_due_end(&self, now: u64) -> bool {
        let due = |at: Option<u64>| at.is_some_and(|at| at <= now);
        self.has_ended() || self.tasks.values().any(|t| due(t.evicted_at) || due(t.fails_at))
    }

    pub(super) fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }
}

impl SimulatedTask {
    /// Returns the CPU that the task demands, in thousandths of a core.
    fn cpu(&self, workload: &Workload, now: u64) -> f64 {
        let service = workload.class(&self.class).and_then(|c| c.service.as_ref());
        let load = match service.filter(|_| self.priority == Priority::Service) {
            Some(service) => workload.load(service, now),
            None => f64::from(self.cpu_percent) / 100.0,
        };
        f64::from(self.usage.cpu_millis) * load
    }
}
