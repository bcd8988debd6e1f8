//! A stand-in of a worker that keeps leases, fences and attempts.

use super::{LEASE, STEP};
use cyclamenloft_placement::submission::{
    EndHow, Listed, Observation, OrderKind, RunEnd, TaskId, WorkerLife,
    fleet::{Order, OrderAnswer},
};
use std::collections::BTreeMap;

/// What happens to the calls to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// They are answered.
    Open,
    /// They get no answer and are never carried out.
    Cut,
    /// They get no answer and are carried out after this many milliseconds.
    Late(u64),
}

#[derive(Clone, Debug)]
pub(super) struct Running {
    attempt: u32,
    left_ms: u64,
    work_ms: u64,
    fails: bool,
    pub(super) pace: u64,
    /// It serves until it is stopped.
    lasts: bool,
}

/// A stand-in of a worker.
#[derive(Debug)]
pub struct Worker {
    /// What it says of itself.
    pub life: WorkerLife,
    /// Whether its process runs.
    pub up: bool,
    /// What happens to calls to it.
    pub path: Path,
    /// Its tasks fail.
    pub fails: bool,
    /// Its tasks stand still.
    pub stalls: bool,
    pub(super) token: u64,
    pub(super) lease_end: u64,
    pub(super) runs: BTreeMap<TaskId, Running>,
    pub(super) ended: Vec<(u64, RunEnd)>,
    pub(super) numbered: u64,
    pub(super) highest: BTreeMap<TaskId, u32>,
    pub(super) late: Vec<(u64, u64, Order, u64)>,
}

impl Worker {
    /// A worker that begins its life.
    pub(super) fn new(life: WorkerLife) -> Self {
        Self {
            up: true,
            path: Path::Open,
            fails: false,
            stalls: false,
            token: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            numbered: 0,
            highest: BTreeMap::new(),
            late: Vec::new(),
            life,
        }
    }

    /// The process dies; it runs nothing any more.
    pub fn crash(&mut self) {
        self.up = false;
        self.runs.clear();
        self.late.clear();
    }

    pub(super) fn extend(&mut self, now: u64, end: u64) {
        let longest = now + u64::try_from(LEASE.as_millis()).unwrap();
        self.lease_end = self.lease_end.max(end.min(longest));
    }

    pub(super) fn take(
        &mut self,
        now: u64,
        token: u64,
        order: Order,
        lease_end: u64,
        lasts: bool,
    ) -> OrderAnswer {
        if token < self.token {
            return OrderAnswer::Fenced;
        }
        self.token = token;
        let Order { task, attempt, kind } = order;
        let running = self.runs.get(&task).is_some_and(|r| r.attempt == attempt);
        let outdated = self.highest.get(&task).is_some_and(|h| attempt <= *h);
        match kind {
            OrderKind::Start if running => OrderAnswer::Taken,
            OrderKind::Start if outdated => OrderAnswer::Outdated,
            OrderKind::Start if lease_end <= now => OrderAnswer::Late,
            OrderKind::Start => {
                self.extend(now, lease_end);
                let (left_ms, work_ms, fails) = (500, 500, self.fails);
                let run = Running { attempt, left_ms, work_ms, fails, pace: 100, lasts };
                self.runs.insert(task, run);
                OrderAnswer::Taken
            }
            OrderKind::Stop => {
                self.highest.entry(task).and_modify(|h| *h = attempt.max(*h)).or_insert(attempt);
                if running {
                    self.end(task, attempt, EndHow::Stopped);
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

    pub(super) fn end(&mut self, task: TaskId, attempt: u32, how: EndHow) {
        self.runs.remove(&task);
        self.highest.entry(task).and_modify(|h| *h = attempt.max(*h)).or_insert(attempt);
        self.numbered += 1;
        let end = RunEnd { task, attempt, how, checkpoint: "".into() };
        self.ended.push((self.numbered, end));
    }

    /// Lets tasks work.
    pub(super) fn progress(&mut self, now: u64) {
        let lapsed = now > self.lease_end;
        let mut ended = Vec::new();
        for (task, run) in &mut self.runs {
            if lapsed {
                ended.push((*task, run.attempt, EndHow::Lapsed));
            } else if !self.stalls {
                run.left_ms = run.left_ms.saturating_sub(STEP * run.pace / 100);
                if run.left_ms == 0 && (!run.lasts || run.fails) {
                    let how = if run.fails { EndHow::Failed } else { EndHow::Done };
                    ended.push((*task, run.attempt, how));
                }
            }
        }
        for (task, attempt, how) in ended {
            self.end(task, attempt, how);
        }
    }

    pub(super) fn observation(&self, now: u64) -> Observation {
        let listed = |(task, run): (&TaskId, &Running)| Listed {
            task: *task,
            attempt: run.attempt,
            checkpoint: "".into(),
            percent: u8::try_from(100 - 100 * run.left_ms / run.work_ms).unwrap(),
            figure: if run.lasts { 5 } else { 1000 },
        };
        Observation {
            born_ms: self.life.born_ms,
            clock_ms: now,
            running: self.runs.iter().map(listed).collect(),
            ended: self.ended.iter().map(|(_, end)| end.clone()).collect(),
        }
    }
}
