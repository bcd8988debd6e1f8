//! A simulated worker: it runs tasks as timers and enforces the rules of the worker protocol. The
//! worker stops its tasks when its lease expires, never starts an attempt twice, and starts nothing
//! beyond its capacity.

use crate::journal::{Event, Journal, TaskEnd};
use cyclamenloft_http::{JsonClient, StopSignal};
use cyclamenloft_placement::{
    Announcement, AttemptEnd, Lease, NumberedOrder, Order, OrdersRequest, Report, RunningTask,
    messages::EndedTask,
};
use cyclamenloft_types::{
    AttemptNumber, BootId, CheckpointId, DomainName, ErrorKind, RackName, Resources, Result,
    TaskKey, WorkerId,
};
use cyclamenloft_worker::paths;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

/// Longest wait of a poll for orders.
const ORDER_WAIT: Duration = Duration::from_secs(10);
/// Timeout of a call to an entry host. It exceeds the wait of a poll for orders.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which ends of tasks and the lease are checked.
const TICK: Duration = Duration::from_millis(10);

/// Settings of a simulated worker.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The worker's name.
    pub name: WorkerId,
    /// Identifies this start of the worker.
    pub boot: BootId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its rack.
    pub rack: RackName,
    /// Its total resources.
    pub capacity: Resources,
    /// Platform listeners of entry hosts, called in rotation.
    pub platforms: Vec<SocketAddr>,
    /// Whether every task fails.
    pub fails_everything: bool,
    /// File of the journal; `None` writes none.
    pub journal: Option<PathBuf>,
}

#[derive(Debug)]
struct RunningAttempt {
    attempt: AttemptNumber,
    resources: Resources,
    started_at: Instant,
    /// When the attempt ends; `None` for a task without a run time, which runs until it is
    /// stopped.
    ends_at: Option<Instant>,
    run_time: Duration,
    /// Run time before this attempt, as saved in the checkpoint from which it resumed.
    resumed_progress: Duration,
}

#[derive(Debug, Default)]
struct State {
    running: BTreeMap<TaskKey, RunningAttempt>,
    /// Highest attempt number of each task in any order so far.
    highest_attempts: BTreeMap<TaskKey, AttemptNumber>,
    /// Ends of attempts that are not reported yet.
    ended: Vec<EndedTask>,
    /// Number of the last handled order.
    handled: u64,
    lease_until: Option<Instant>,
}

/// A simulated worker.
pub struct WorkerStandin {
    settings: WorkerSettings,
    client: JsonClient,
    journal: Journal,
    state: RefCell<State>,
    next_platform: Cell<usize>,
    finished: Cell<u64>,
}

impl WorkerStandin {
    /// Creates a worker, which announces itself once [`run`](Self::run) is called.
    ///
    /// # Errors
    ///
    /// Returns an error if the journal can't be opened or the client can't be created.
    pub fn new(settings: WorkerSettings) -> Result<Rc<Self>> {
        let journal = Journal::open(&settings.name, settings.journal.as_deref())?;
        let client = JsonClient::new(None, TIMEOUT)?;
        Ok(Rc::new(Self {
            settings,
            client,
            journal,
            state: RefCell::default(),
            next_platform: Cell::new(0),
            finished: Cell::new(0),
        }))
    }

    /// Returns the number of tasks that ran to completion so far.
    #[must_use]
    pub fn finished(&self) -> u64 {
        self.finished.get()
    }

    /// Runs until `stop`.
    pub async fn run(self: &Rc<Self>, stop: StopSignal) {
        let (boot, capacity) = (self.settings.boot, self.settings.capacity);
        self.journal.write(Event::WorkerStarted { boot, capacity });
        let reporting = compio::runtime::spawn(self.clone().report_loop());
        let polling = compio::runtime::spawn(self.clone().poll_orders_loop());
        let ticking = compio::runtime::spawn(self.clone().tick_loop());
        stop.stopped().await;
        drop((reporting, polling, ticking));
        self.stop_all_tasks(TaskEnd::WorkerStopped);
    }

    async fn report_loop(self: Rc<Self>) {
        let mut sequence = 0;
        let mut announced = false;
        loop {
            let sent_at = Instant::now();
            let answer = if announced {
                sequence += 1;
                self.report(sequence).await
            } else {
                self.announce().await
            };
            match answer {
                Ok(lease) => {
                    announced = true;
                    // The lease starts when the request is sent, not when the answer arrives.
                    let until = sent_at + Duration::from_millis(lease.lease_ms);
                    self.state.borrow_mut().lease_until = Some(until);
                    self.wait_for_report(Duration::from_millis(lease.report_ms)).await;
                }
                Err(kind) => {
                    announced = announced && kind != ErrorKind::UnknownWorker;
                    compio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Waits until the next report is due, which is after `period` or as soon as an attempt
    /// has ended.
    async fn wait_for_report(&self, period: Duration) {
        let due = Instant::now() + period;
        while Instant::now() < due && self.state.borrow().ended.is_empty() {
            compio::time::sleep(TICK).await;
        }
    }

    async fn announce(&self) -> Result<Lease, ErrorKind> {
        let announcement = Announcement {
            worker: self.settings.name.clone(),
            boot: self.settings.boot,
            domain: self.settings.domain.clone(),
            rack: self.settings.rack.clone(),
            capacity: self.settings.capacity,
        };
        self.post(paths::ANNOUNCE, &announcement).await
    }

    async fn report(&self, sequence: u64) -> Result<Lease, ErrorKind> {
        let (report, sent) = {
            let state = self.state.borrow();
            let running = state.running.iter().map(|(task, r)| running_task(task, r)).collect();
            let report = Report {
                worker: self.settings.name.clone(),
                boot: self.settings.boot,
                sequence,
                running,
                full: true,
                ended: state.ended.clone(),
                lag_ms: 0,
            };
            (report, state.ended.len())
        };
        let lease = self.post(paths::REPORT, &report).await?;
        self.state.borrow_mut().ended.drain(..sent);
        Ok(lease)
    }

    async fn poll_orders_loop(self: Rc<Self>) {
        loop {
            let handled = self.state.borrow().handled;
            let req = OrdersRequest {
                worker: self.settings.name.clone(),
                boot: self.settings.boot,
                handled,
                wait_ms: ORDER_WAIT.as_millis() as u64,
            };
            let orders: Result<Vec<NumberedOrder>, ErrorKind> =
                self.post(paths::ORDERS, &req).await;
            match orders {
                Ok(orders) => orders.into_iter().for_each(|order| self.handle_order(order)),
                Err(_) => compio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn post<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        message: &impl serde::Serialize,
    ) -> Result<T, ErrorKind> {
        let index = self.next_platform.get() % self.settings.platforms.len();
        let platform = self.settings.platforms[index];
        self.client.post(platform, path, message).await.map_err(|e| {
            tracing::debug!(worker = %self.settings.name, %platform, error = %e, "not answered");
            self.next_platform.set(index + 1);
            e.kind
        })
    }

    fn handle_order(&self, numbered: NumberedOrder) {
        let mut state = self.state.borrow_mut();
        if numbered.number <= state.handled {
            return;
        }
        state.handled = numbered.number;
        drop(state);
        match numbered.order {
            Order::Start { task, attempt, resources, checkpoint, run_time_ms, .. } => {
                let run_time = Duration::from_millis(run_time_ms);
                self.start(task, attempt, resources, checkpoint, run_time);
            }
            Order::Throttle { .. } => {}
            Order::Evict { task, attempt } => self.evict(task, attempt),
            Order::Stop { task, attempt } => self.stop(&task, attempt),
        }
    }

    fn start(
        &self,
        task: TaskKey,
        attempt: AttemptNumber,
        resources: Resources,
        checkpoint: Option<CheckpointId>,
        run_time: Duration,
    ) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if state.highest_attempts.get(&task).is_some_and(|highest| *highest >= attempt) {
            return;
        }
        if state.lease_until.is_none_or(|until| until <= now) {
            return;
        }
        state.highest_attempts.insert(task.clone(), attempt);
        let used =
            state.running.values().try_fold(resources, |sum, r| sum.checked_add(&r.resources));
        if !used.is_some_and(|used| used.fits_in(&self.settings.capacity)) {
            self.journal.write(Event::StartRefused { task: task.to_string().into(), attempt });
            let reason = "over capacity".into();
            state.ended.push(EndedTask { task, attempt, end: AttemptEnd::Refused { reason } });
            return;
        }
        let resumed_progress = checkpoint.as_deref().map_or(Duration::ZERO, progress_of_checkpoint);
        let remaining = run_time.saturating_sub(resumed_progress);
        let ends_at = (!run_time.is_zero()).then(|| now + remaining);
        self.journal.write(Event::TaskStarted {
            task: task.to_string().into(),
            attempt,
            resources,
            checkpoint: checkpoint.clone(),
        });
        let running = RunningAttempt {
            attempt,
            resources,
            started_at: now,
            ends_at,
            run_time,
            resumed_progress,
        };
        state.running.insert(task, running);
    }

    fn evict(&self, task: TaskKey, attempt: AttemptNumber) {
        let progress = match self.state.borrow().running.get(&task) {
            Some(r) if r.attempt == attempt => r.resumed_progress + r.started_at.elapsed(),
            _ => return,
        };
        let checkpoint = format!("{task}@{attempt}@{}", progress.as_millis());
        self.end(&task, attempt, AttemptEnd::Evicted { checkpoint: Some(checkpoint.into()) });
    }

    /// Stops an attempt. If its start has not arrived yet, the attempt is recorded, so
    /// that a late start is ignored.
    fn stop(&self, task: &TaskKey, attempt: AttemptNumber) {
        let is_new = {
            let mut state = self.state.borrow_mut();
            let highest = state.highest_attempts.entry(task.clone()).or_default();
            let is_new = *highest < attempt;
            *highest = attempt.max(*highest);
            if is_new {
                let (task, end) = (task.clone(), AttemptEnd::Stopped);
                state.ended.push(EndedTask { task, attempt, end });
            }
            is_new
        };
        if !is_new {
            self.end(task, attempt, AttemptEnd::Stopped);
        }
    }

    fn end(&self, task: &TaskKey, attempt: AttemptNumber, end: AttemptEnd) {
        let mut state = self.state.borrow_mut();
        if state.running.get(task).is_none_or(|r| r.attempt != attempt) {
            return;
        }
        state.running.remove(task);
        let (task_end, checkpoint) = match &end {
            AttemptEnd::Finished => (TaskEnd::Finished, None),
            AttemptEnd::Failed { .. } => (TaskEnd::Failed, None),
            AttemptEnd::Evicted { checkpoint } => (TaskEnd::Evicted, checkpoint.clone()),
            // A refused attempt never ran, so it does not reach this point.
            AttemptEnd::Refused { .. } | AttemptEnd::Stopped => (TaskEnd::Stopped, None),
        };
        self.write_end(task, attempt, task_end, checkpoint);
        state.ended.push(EndedTask { task: task.clone(), attempt, end });
    }

    async fn tick_loop(self: Rc<Self>) {
        loop {
            compio::time::sleep(TICK).await;
            self.tick(Instant::now());
        }
    }

    fn tick(&self, now: Instant) {
        let expired = self.state.borrow().lease_until.is_some_and(|until| until <= now);
        if expired {
            self.stop_all_tasks(TaskEnd::LeaseExpired);
        }
        let due: Vec<(TaskKey, AttemptNumber)> = {
            let state = self.state.borrow();
            let is_due = |r: &RunningAttempt| r.ends_at.is_some_and(|ends_at| ends_at <= now);
            state
                .running
                .iter()
                .filter(|(_, r)| is_due(r))
                .map(|(task, r)| (task.clone(), r.attempt))
                .collect()
        };
        for (task, attempt) in due {
            if self.settings.fails_everything {
                let reason = "this worker fails everything".into();
                self.end(&task, attempt, AttemptEnd::Failed { reason });
            } else {
                self.finished.set(self.finished.get() + 1);
                self.end(&task, attempt, AttemptEnd::Finished);
            }
        }
    }

    /// Stops all tasks without an order. The control replicas count these attempts as
    /// lost, so the worker does not report them.
    fn stop_all_tasks(&self, end: TaskEnd) {
        let running = std::mem::take(&mut self.state.borrow_mut().running);
        for (task, r) in running {
            self.write_end(&task, r.attempt, end, None);
        }
    }

    fn write_end(
        &self,
        task: &TaskKey,
        attempt: AttemptNumber,
        end: TaskEnd,
        checkpoint: Option<CheckpointId>,
    ) {
        let task = task.to_string().into();
        self.journal.write(Event::TaskEnded { task, attempt, end, checkpoint });
    }
}

fn running_task(task: &TaskKey, running: &RunningAttempt) -> RunningTask {
    let progress = running.resumed_progress + running.started_at.elapsed();
    let percent = (progress.as_millis() * 100).checked_div(running.run_time.as_millis());
    RunningTask {
        task: task.clone(),
        attempt: running.attempt,
        usage: running.resources,
        p99_us: None,
        load_percent: None,
        progress_percent: percent.map(|p| p.min(100) as u8),
        unsaved_ms: running.started_at.elapsed().as_millis() as u64,
    }
}

/// Returns the run time that a checkpoint of this simulated worker has saved.
fn progress_of_checkpoint(checkpoint: &str) -> Duration {
    let ms = checkpoint.rsplit('@').next().and_then(|ms| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}
