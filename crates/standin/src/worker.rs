//! A stand-in worker: runs tasks as timers and keeps the guards of the worker
//! protocol. An expired lease stops its tasks, an attempt that was seen is not
//! started again, and nothing is started over its capacity.

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

/// Longest wait for orders.
const ORDER_WAIT: Duration = Duration::from_secs(10);
/// Longest wait for any answer.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a message was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between two looks at ends and leases.
const TICK: Duration = Duration::from_millis(10);

/// How a stand-in worker behaves.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// The worker's name.
    pub name: WorkerId,
    /// This start of the worker.
    pub boot: BootId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its rack.
    pub rack: RackName,
    /// What it holds.
    pub capacity: Resources,
    /// Platform listeners of entry hosts, asked in turn.
    pub platforms: Vec<SocketAddr>,
    /// Whether every task fails.
    pub fails_everything: bool,
    /// Where events are written.
    pub journal: Option<PathBuf>,
}

#[derive(Debug)]
struct RunningAttempt {
    attempt: AttemptNumber,
    resources: Resources,
    began: Instant,
    ends: Option<Instant>,
    run_time: Duration,
    done_before: Duration,
}

#[derive(Debug, Default)]
struct State {
    running: BTreeMap<TaskKey, RunningAttempt>,
    seen: BTreeMap<TaskKey, AttemptNumber>,
    ended: Vec<EndedTask>,
    handled: u64,
    lease_until: Option<Instant>,
}

/// A running stand-in worker.
pub struct WorkerStandin {
    settings: WorkerSettings,
    client: JsonClient,
    journal: Journal,
    state: RefCell<State>,
    next_platform: Cell<usize>,
    finished: Cell<u64>,
}

impl WorkerStandin {
    /// Creates a worker that has not announced itself yet.
    ///
    /// # Errors
    ///
    /// A journal that can't be opened.
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

    /// Tasks that ran to their end so far.
    #[must_use]
    pub fn finished(&self) -> u64 {
        self.finished.get()
    }

    /// Runs until `stop`.
    pub async fn run(self: &Rc<Self>, stop: StopSignal) {
        let (boot, capacity) = (self.settings.boot, self.settings.capacity);
        self.journal.write(Event::WorkerStarted { boot, capacity });
        let reporting = compio::runtime::spawn(self.clone().report_always());
        let polling = compio::runtime::spawn(self.clone().poll_orders());
        let ticking = compio::runtime::spawn(self.clone().tick_always());
        stop.stopped().await;
        drop((reporting, polling, ticking));
        self.stop_all(TaskEnd::WorkerStopped);
    }

    async fn report_always(self: Rc<Self>) {
        let mut sequence = 0;
        let mut announced = false;
        loop {
            let sent_at = Instant::now();
            let answered = if announced {
                sequence += 1;
                self.report(sequence).await
            } else {
                self.announce().await
            };
            match answered {
                Ok(lease) => {
                    announced = true;
                    // The lease counts from the sending, not from the answer.
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

    /// Waits for the next report; an attempt that ended is reported at once.
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

    async fn poll_orders(self: Rc<Self>) {
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
                Ok(orders) => orders.into_iter().for_each(|order| self.obey(order)),
                Err(_) => compio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn post<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        message: &impl serde::Serialize,
    ) -> Result<T, ErrorKind> {
        let at = self.next_platform.get() % self.settings.platforms.len();
        let platform = self.settings.platforms[at];
        self.client.post(platform, path, message).await.map_err(|e| {
            tracing::debug!(worker = %self.settings.name, %platform, error = %e, "not answered");
            self.next_platform.set(at + 1);
            e.kind
        })
    }

    fn obey(&self, numbered: NumberedOrder) {
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
        if state.seen.get(&task).is_some_and(|seen| *seen >= attempt) {
            return;
        }
        if state.lease_until.is_none_or(|until| until <= now) {
            return;
        }
        state.seen.insert(task.clone(), attempt);
        let used =
            state.running.values().try_fold(resources, |sum, r| sum.checked_add(&r.resources));
        if !used.is_some_and(|used| used.fits_in(&self.settings.capacity)) {
            self.journal.write(Event::StartRefused { task: task.to_string().into(), attempt });
            let reason = "over capacity".into();
            state.ended.push(EndedTask { task, attempt, end: AttemptEnd::Refused { reason } });
            return;
        }
        let done_before = checkpoint.as_deref().map_or(Duration::ZERO, saved_progress);
        let left = run_time.saturating_sub(done_before);
        let ends = (!run_time.is_zero()).then(|| now + left);
        self.journal.write(Event::TaskStarted {
            task: task.to_string().into(),
            attempt,
            resources,
            checkpoint: checkpoint.clone(),
        });
        let running =
            RunningAttempt { attempt, resources, began: now, ends, run_time, done_before };
        state.running.insert(task, running);
    }

    fn evict(&self, task: TaskKey, attempt: AttemptNumber) {
        let done = match self.state.borrow().running.get(&task) {
            Some(r) if r.attempt == attempt => r.done_before + r.began.elapsed(),
            _ => return,
        };
        let checkpoint = format!("{task}@{attempt}@{}", done.as_millis());
        self.end(&task, attempt, AttemptEnd::Evicted { checkpoint: Some(checkpoint.into()) });
    }

    /// Stops an attempt. One that never came here counts as seen from now on,
    /// so that its start, should it still come, is ignored.
    fn stop(&self, task: &TaskKey, attempt: AttemptNumber) {
        let unknown = {
            let mut state = self.state.borrow_mut();
            let seen = state.seen.entry(task.clone()).or_default();
            let unknown = *seen < attempt;
            *seen = attempt.max(*seen);
            if unknown {
                let (task, end) = (task.clone(), AttemptEnd::Stopped);
                state.ended.push(EndedTask { task, attempt, end });
            }
            unknown
        };
        if !unknown {
            self.end(task, attempt, AttemptEnd::Stopped);
        }
    }

    fn end(&self, task: &TaskKey, attempt: AttemptNumber, end: AttemptEnd) {
        let mut state = self.state.borrow_mut();
        if state.running.get(task).is_none_or(|r| r.attempt != attempt) {
            return;
        }
        state.running.remove(task);
        let (how, checkpoint) = match &end {
            AttemptEnd::Finished => (TaskEnd::Finished, None),
            AttemptEnd::Failed { .. } => (TaskEnd::Failed, None),
            AttemptEnd::Evicted { checkpoint } => (TaskEnd::Evicted, checkpoint.clone()),
            // An attempt that was refused never ran, so that it doesn't end here.
            AttemptEnd::Refused { .. } | AttemptEnd::Stopped => (TaskEnd::Stopped, None),
        };
        self.write_end(task, attempt, how, checkpoint);
        state.ended.push(EndedTask { task: task.clone(), attempt, end });
    }

    async fn tick_always(self: Rc<Self>) {
        loop {
            compio::time::sleep(TICK).await;
            self.tick(Instant::now());
        }
    }

    fn tick(&self, now: Instant) {
        let expired = self.state.borrow().lease_until.is_some_and(|until| until <= now);
        if expired {
            self.stop_all(TaskEnd::LeaseExpired);
        }
        let due: Vec<(TaskKey, AttemptNumber)> = {
            let state = self.state.borrow();
            let is_due = |r: &RunningAttempt| r.ends.is_some_and(|ends| ends <= now);
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

    /// Stops every task without an order. The control side counts these
    /// attempts as lost, so they are not reported.
    fn stop_all(&self, why: TaskEnd) {
        let running = std::mem::take(&mut self.state.borrow_mut().running);
        for (task, r) in running {
            self.write_end(&task, r.attempt, why, None);
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
    let done = running.done_before + running.began.elapsed();
    let percent = (done.as_millis() * 100).checked_div(running.run_time.as_millis());
    RunningTask {
        task: task.clone(),
        attempt: running.attempt,
        usage: running.resources,
        p99_us: None,
        load_percent: None,
        progress_percent: percent.map(|p| p.min(100) as u8),
        unsaved_ms: running.began.elapsed().as_millis() as u64,
    }
}

/// The run time that a checkpoint of this stand-in has saved.
fn saved_progress(checkpoint: &str) -> Duration {
    let ms = checkpoint.rsplit('@').next().and_then(|ms| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}
