//! A placement group of a single replica, whose clock the test sets.

use cyclamenloft_placement::{
    Announcement, AttemptEnd, Command, CommandResult, NumberedOrder, Order, PlacementPolicy,
    PlacementState, Report, RunningTask, Scheduler, Timestamp, messages::EndedTask,
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{ErrorKind, JobSpec, Priority, Resources, Result, TaskKey};
use std::time::{Duration, Instant};

/// Noon of a day, as time since the Unix epoch, so that no day of a load profile
/// ends within a short test.
pub const NOON: Duration = Duration::from_secs(1_000 * 86_400 + 12 * 3_600);

pub struct Group {
    pub state: PlacementState,
    pub scheduler: Scheduler,
    pub now: Timestamp,
    pub log: Vec<Command>,
}

impl Group {
    pub fn new(policy: PlacementPolicy) -> Self {
        let now = Timestamp { instant: Instant::now(), unix: NOON };
        let state = PlacementState::default();
        let scheduler = Scheduler::new(policy, &state, now);
        Self { state, scheduler, now, log: Vec::new() }
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
    }

    pub fn commit(&mut self, command: Command) -> CommandResult {
        self.log.push(command.clone());
        let result = self.state.apply(self.log.len() as u64, &command);
        self.scheduler.on_committed(&self.state, &command);
        // The check visits the whole state, so it runs less often once the log is long.
        if self.log.len() < 500 || self.log.len().is_multiple_of(500) {
            self.state.verify().expect("the state should keep its invariants");
        }
        result
    }

    pub fn tick(&mut self) -> Vec<Command> {
        let commands = self.scheduler.tick(&self.state, self.now);
        for command in &commands {
            self.commit(command.clone()).expect("commands of the scheduler should apply");
        }
        commands
    }

    pub fn announce(&mut self, worker: &str, boot: u64, capacity: Resources) {
        let announcement = announcement(worker, boot, capacity);
        let command = self.scheduler.announce(&announcement, self.now);
        self.commit(command).unwrap();
    }

    pub fn submit(&mut self, spec: JobSpec) -> CommandResult {
        let at_unix_ms = self.now.unix_ms();
        self.commit(Command::Submit { spec, at_unix_ms })
    }

    pub fn report(&mut self, report: &Report) -> Result<()> {
        for command in self.scheduler.report(&self.state, report, self.now)? {
            self.commit(command)?;
        }
        Ok(())
    }

    /// Replaces the leader by a new one with the same replicated state.
    pub fn change_leader(&mut self, policy: PlacementPolicy) {
        self.scheduler = Scheduler::new(policy, &self.state, self.now);
    }

    pub fn orders(&mut self, worker: &str, boot: u64, handled: u64) -> Vec<NumberedOrder> {
        self.scheduler.orders(worker, boot, handled)
    }

    /// Marks all queued orders of a worker as handled and returns them.
    pub fn take_orders(&mut self, worker: &str, boot: u64) -> Vec<Order> {
        let orders = self.orders(worker, boot, 0);
        if let Some(last) = orders.last() {
            self.orders(worker, boot, last.number);
        }
        orders.into_iter().map(|o| o.order).collect()
    }

    pub fn is_refused(&mut self, report: &Report) -> bool {
        match self.report(report) {
            Err(e) => e.kind == ErrorKind::UnknownWorker,
            Ok(()) => false,
        }
    }
}

pub fn announcement(worker: &str, boot: u64, capacity: Resources) -> Announcement {
    Announcement {
        worker: worker.into(),
        boot,
        domain: "domain-a".into(),
        rack: format!("rack-{}", worker.trim_start_matches('w').parse::<u32>().unwrap_or(0) / 8)
            .into(),
        capacity,
    }
}

pub fn key(job: &str, index: u32) -> TaskKey {
    TaskKey { job: job.into(), index }
}

pub fn job(id: &str, tasks: u32, cores: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        team: "team".into(),
        class: "class".into(),
        priority: Priority::Batch,
        tasks,
        resources: Resources::new(cores * 1000, 1024, 0),
        run_time_ms: 60_000,
        deadline_ms: None,
        home: None,
        payload: "payload".into(),
    }
}

pub fn cores(n: u32) -> Resources {
    Resources::new(n * 1000, n * 4096, 0)
}

pub fn running_task(job: &str, index: u32, attempt: u32) -> RunningTask {
    RunningTask {
        task: key(job, index),
        attempt,
        usage: Resources::new(500, 512, 0),
        p99_us: None,
        load_percent: None,
        progress_percent: None,
        unsaved_ms: 0,
    }
}

/// Returns a report that lists all running tasks.
pub fn full_report(worker: &str, boot: u64, sequence: u64, running: Vec<RunningTask>) -> Report {
    Report {
        worker: worker.into(),
        boot,
        sequence,
        running,
        full: true,
        ended: Vec::new(),
        lag_ms: 0,
    }
}

pub fn ended_task(job: &str, index: u32, attempt: u32, end: AttemptEnd) -> EndedTask {
    EndedTask { task: key(job, index), attempt, end }
}
