//! A simulated worker that honors leases, fencing tokens and attempt numbers.

use super::{LEASE, TICK_MS};
use cyclamenloft_placement::submission::{
    EndReason, ListedRun, Observation, OrderKind, RunEnd, TaskId, WorkerInfo,
    fleet::{Order, OrderAnswer},
};
use cyclamenloft_types::Resources;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// State of the network link to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Calls are answered.
    Open,
    /// Calls get no answer and are never carried out.
    Cut,
    /// Connections are refused although the worker's process runs.
    Refused,
    /// Calls get no answer, and orders are carried out after this many
    /// milliseconds.
    Delayed(u64),
    /// Polls are answered. Orders get no answer and are never carried out.
    NoOrders,
}

#[derive(Clone, Debug)]
pub(super) struct Running {
    attempt: u32,
    left_ms: u64,
    work_ms: u64,
    fails: bool,
    pub(super) pace: u64,
    /// Whether the run continues until it is stopped.
    runs_indefinitely: bool,
    /// Time at which a run that is being stopped ends.
    stops_at: Option<u64>,
}

/// A poll: the life for which it is meant, and what it brings.
#[derive(Clone, Copy, Debug)]
pub(super) struct Poll {
    pub(super) started_ms: u64,
    pub(super) token: u64,
    pub(super) lease_end_ms: Option<u64>,
    pub(super) acknowledged: u64,
}

/// A simulated worker.
#[derive(Debug)]
pub struct Worker {
    /// Data that the worker reports about itself.
    pub info: WorkerInfo,
    /// Whether its process runs.
    pub up: bool,
    /// State of the network link to it.
    pub link: Link,
    /// Whether tasks that start on the worker fail.
    pub fails: bool,
    /// Whether its tasks make no progress.
    pub stalls: bool,
    /// How long a stop takes, in milliseconds.
    pub stop_ms: u64,
    /// Resources that its runs used at the last check.
    pub(super) used: Resources,
    /// The capacity before the last change, and the time from which on it no longer counts.
    pub(super) former: Option<(Resources, u64)>,
    /// Highest fencing token that it has seen.
    pub(super) token: u64,
    pub(super) lease_end: u64,
    /// Longest lease that it accepts.
    pub longest_accepted: Duration,
    pub(super) runs: BTreeMap<TaskId, Running>,
    /// Numbered ends of runs that the leader hasn't acknowledged yet.
    pub(super) ended: Vec<(u64, RunEnd)>,
    /// Runs that ended `failed` in this tick.
    pub(super) failed: Vec<(TaskId, u32)>,
    /// Number of the last end.
    pub(super) last_end: u64,
    /// Highest attempt of each task that ended or was stopped.
    pub(super) highest_ended: BTreeMap<TaskId, u32>,
    /// Delayed orders: time of arrival, token, order and end of the lease.
    pub(super) delayed: Vec<(u64, u64, Order, u64)>,
    /// Delayed polls, with the times of their arrival.
    pub(super) delayed_polls: Vec<(u64, Poll)>,
    /// Calls that are to be delayed although the link is open: how many, and by how many
    /// milliseconds.
    pub late_calls: (u32, u64),
    /// `done` ends that were acknowledged in this tick before the lease expired: task and time of
    /// the end.
    pub(super) noted: Vec<(TaskId, u64)>,
    /// When each run that ended `done` did so, by the number of its end.
    pub(super) done_at: BTreeMap<u64, u64>,
    /// Time at which the worker's clock showed 0.
    pub(super) clock_start: u64,
    /// Rate of the worker's clock, in percent.
    pub clock_rate: u64,
    /// Maximum number of ends that the worker lists in one answer.
    pub max_listed_ends: usize,
    /// Tasks of which a run ended before the lease expired and its end wasn't acknowledged by then.
    pub(super) unnoted: BTreeSet<TaskId>,
    /// Time at which the process exits by itself.
    pub(super) exits_at: Option<u64>,
}

impl Worker {
    /// Starts a worker.
    pub(super) fn new(info: WorkerInfo) -> Self {
        Self {
            up: true,
            link: Link::Open,
            fails: false,
            stalls: false,
            stop_ms: 0,
            used: Resources::ZERO,
            former: None,
            token: 0,
            lease_end: 0,
            longest_accepted: LEASE,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            failed: Vec::new(),
            last_end: 0,
            highest_ended: BTreeMap::new(),
            delayed: Vec::new(),
            delayed_polls: Vec::new(),
            late_calls: (0, 0),
            noted: Vec::new(),
            done_at: BTreeMap::new(),
            clock_start: 0,
            clock_rate: 100,
            max_listed_ends: usize::MAX,
            unnoted: BTreeSet::new(),
            exits_at: None,
            info,
        }
    }

    /// Returns what the worker's clock shows.
    pub(super) fn clock_ms(&self, now: u64) -> u64 {
        (now - self.clock_start) * self.clock_rate / 100
    }

    /// Returns the ends that the worker lists.
    pub(super) fn listed_ends(&self) -> &[(u64, RunEnd)] {
        &self.ended[..self.ended.len().min(self.max_listed_ends)]
    }

    /// Returns the capacity that starts must not exceed.
    pub(super) fn limit(&self, now: u64) -> Resources {
        let capacity = self.info.capacity;
        match self.former {
            Some((former, until)) if now < until => Resources {
                cpu_millis: former.cpu_millis.max(capacity.cpu_millis),
                memory_mib: former.memory_mib.max(capacity.memory_mib),
                ..capacity
            },
            _ => capacity,
        }
    }

    /// Kills the worker's process and with it all its runs.
    pub fn crash(&mut self) {
        self.up = false;
        self.runs.clear();
        self.delayed.clear();
    }

    /// Returns the state that the link has for the next call.
    pub(super) fn link_of_call(&mut self) -> Link {
        match (self.link, &mut self.late_calls) {
            (Link::Open, (count, millis)) if *count > 0 => {
                *count -= 1;
                Link::Delayed(*millis)
            }
            (link, _) => link,
        }
    }

    /// Carries out a poll, unless its token is outdated. The end of a lease that was meant for the
    /// clock of another life may be as late as any.
    pub(super) fn take_poll(&mut self, now: u64, poll: Poll) {
        if poll.token < self.token {
            return;
        }
        self.token = poll.token;
        let is_own = poll.started_ms == self.info.started_ms;
        if let Some(end) = poll.lease_end_ms {
            self.extend(now, if is_own { end } else { u64::MAX });
        }
        self.acknowledge(poll.acknowledged);
    }

    /// Forgets the ends up to this number.
    pub(super) fn acknowledge(&mut self, acknowledged: u64) {
        for (number, end) in self.ended.extract_if(.., |(n, _)| *n <= acknowledged) {
            let is_noted = end.reason == EndReason::Done && !self.unnoted.contains(&end.task);
            if let Some(at) = self.done_at.remove(&number).filter(|_| is_noted) {
                self.noted.push((end.task, at));
            }
        }
    }

    pub(super) fn extend(&mut self, now: u64, end: u64) {
        let longest =
            self.clock_ms(now) + u64::try_from(self.longest_accepted.as_millis()).unwrap();
        self.lease_end = self.lease_end.max(end.min(longest));
    }

    pub(super) fn take(
        &mut self,
        now: u64,
        token: u64,
        order: Order,
        lease_end: u64,
        runs_indefinitely: bool,
    ) -> OrderAnswer {
        if token < self.token {
            return OrderAnswer::Fenced;
        }
        self.token = token;
        let Order { task, attempt, kind } = order;
        let running = self.runs.get(&task).is_some_and(|r| r.attempt == attempt);
        let outdated = self.highest_ended.get(&task).is_some_and(|h| attempt <= *h);
        match kind {
            OrderKind::Start if running => OrderAnswer::Taken,
            OrderKind::Start if outdated => OrderAnswer::Outdated,
            OrderKind::Start if lease_end <= self.clock_ms(now) => OrderAnswer::Late,
            OrderKind::Start => {
                self.extend(now, lease_end);
                let (left_ms, work_ms, fails) = (500, 500, self.fails);
                let run = Running {
                    attempt,
                    left_ms,
                    work_ms,
                    fails,
                    pace: 100,
                    runs_indefinitely,
                    stops_at: None,
                };
                self.runs.insert(task, run);
                OrderAnswer::Taken
            }
            OrderKind::Stop => {
                self.highest_ended
                    .entry(task)
                    .and_modify(|h| *h = attempt.max(*h))
                    .or_insert(attempt);
                let stop_ms = self.stop_ms;
                match self.runs.get_mut(&task).filter(|_| running) {
                    Some(run) if stop_ms > 0 => drop(run.stops_at.get_or_insert(now + stop_ms)),
                    Some(_) => self.end(now, task, attempt, EndReason::Stopped),
                    None => {}
                }
                OrderAnswer::Taken
            }
            OrderKind::Pace(percent) => {
                if let Some(run) = self.runs.get_mut(&task) {
                    run.pace = u64::from(percent);
                }
                OrderAnswer::Taken
            }
        }
    }

    pub(super) fn end(&mut self, now: u64, task: TaskId, attempt: u32, reason: EndReason) {
        self.runs.remove(&task);
        self.highest_ended.entry(task).and_modify(|h| *h = attempt.max(*h)).or_insert(attempt);
        self.last_end += 1;
        if reason == EndReason::Failed {
            self.failed.push((task, attempt));
        }
        if reason == EndReason::Done {
            self.done_at.insert(self.last_end, now);
        }
        let end = RunEnd { task, attempt, reason, checkpoint: "".into() };
        self.ended.push((self.last_end, end));
    }

    /// Lets the runs proceed by one tick, and ends those whose lease has expired.
    pub(super) fn progress(&mut self, now: u64) {
        let lapsed = self.clock_ms(now) > self.lease_end;
        if lapsed {
            self.unnoted.extend(self.ended.iter().map(|(_, end)| end.task));
        }
        let mut ended = Vec::new();
        for (task, run) in &mut self.runs {
            if run.stops_at.is_some_and(|at| now >= at) {
                ended.push((*task, run.attempt, EndReason::Stopped));
            } else if lapsed {
                ended.push((*task, run.attempt, EndReason::Lapsed));
            } else if !self.stalls {
                run.left_ms = run.left_ms.saturating_sub(TICK_MS * run.pace / 100);
                if run.left_ms == 0 && (!run.runs_indefinitely || run.fails) {
                    let reason = if run.fails { EndReason::Failed } else { EndReason::Done };
                    ended.push((*task, run.attempt, reason));
                }
            }
        }
        for (task, attempt, reason) in ended {
            self.end(now, task, attempt, reason);
        }
    }

    pub(super) fn observation(&self, now: u64) -> Observation {
        let listed = |(task, run): (&TaskId, &Running)| ListedRun {
            task: *task,
            attempt: run.attempt,
            checkpoint: "".into(),
            percent: u8::try_from(100 - 100 * run.left_ms / run.work_ms).unwrap(),
            metric: if run.runs_indefinitely { 5 } else { 1000 },
        };
        Observation {
            is_partial: self.listed_ends().len() >= self.max_listed_ends,
            started_ms: self.info.started_ms,
            clock_ms: self.clock_ms(now),
            running: self.runs.iter().map(listed).collect(),
            ended: self.listed_ends().iter().map(|(_, end)| end.clone()).collect(),
        }
    }
}
