//! Log lines about runs. A leader decides on thousands of runs a second, and a line costs more
//! than the run's name in it. So the runs that met the same decision within a short time share
//! a line, with a field `runs` that names each as [`RunName`] does.

use cyclamenloft_placement::submission::{IncarnationId, TaskId};
use cyclamenloft_types::{AttemptNumber, Term};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt::{self, Display, Formatter, Write},
    time::Duration,
};

/// Longest time between a decision and its line.
pub const MAX_DELAY: Duration = Duration::from_millis(100);
/// Length of the field `runs` after which a line is written at once.
pub(crate) const MAX_RUNS_BYTES: usize = 4 << 10;

/// A run as lines name it: `TASK#ATTEMPT@WORKER/INCARNATION`, followed by `+MILLISECONDSms` if
/// it is known how long the decision took to take effect.
#[derive(Clone, Copy, Debug)]
pub struct RunName<'a> {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Id of the worker.
    pub worker: &'a str,
    /// Incarnation of the worker.
    pub incarnation: IncarnationId,
    /// How long the decision took to take effect.
    pub took: Option<Duration>,
}

impl Display for RunName<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { task, attempt, worker, incarnation, took } = self;
        write!(f, "{task}#{attempt}@{worker}/{incarnation}")?;
        took.map_or(Ok(()), |took| write!(f, "+{}ms", took.as_millis()))
    }
}

/// What the runs of a line have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// The decision, such as `end`.
    pub decision: &'static str,
    /// Kind of the decision; empty if there is only one.
    pub kind: &'static str,
    /// The outcome.
    pub outcome: &'static str,
    /// Fencing token under which the runs were ordered.
    pub token: Term,
}

/// The runs whose lines have not been written yet.
#[derive(Debug, Default)]
pub struct RunLog {
    pending: RefCell<BTreeMap<LineKey, String>>,
}

impl RunLog {
    /// Adds a run to the line for `key`.
    pub fn record(&self, key: LineKey, run: RunName<'_>) {
        let mut pending = self.pending.borrow_mut();
        let runs = pending.entry(key).or_default();
        push_name(runs, run);
        if runs.len() >= MAX_RUNS_BYTES {
            write_line(key, runs);
            pending.remove(&key);
        }
    }

    /// Writes all lines.
    pub fn flush(&self) {
        // Orders precede the ends of the same runs.
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        let (orders, others): (Vec<_>, Vec<_>) =
            pending.iter().partition(|(key, _)| key.decision == "order");
        for (key, runs) in orders.into_iter().chain(others) {
            write_line(*key, runs);
        }
    }
}

/// Appends a run's name to the field `runs` of a line.
pub(crate) fn push_name(runs: &mut String, run: RunName<'_>) {
    if !runs.is_empty() {
        runs.push(' ');
    }
    // Writing to a string can't fail.
    let _ = write!(runs, "{run}");
}

fn write_line(LineKey { decision, kind, outcome, token }: LineKey, runs: &str) {
    tracing::info!(decision, kind, token, runs, outcome);
}
