//! Crashes of workers, and the tasks that may have caused them.
//!
//! A task can crash each worker that starts it. Of the runs that end with a worker, at most one
//! is the cause. A fatal task crashes its worker soon after its start as a rule, so the runs that
//! began last are the suspects. The planner starts a suspect apart from other recent starts, so
//! that another crash tells more.
//!
//! Workers also crash for other reasons. A task is given up once its crashes are too unlikely to
//! be coincidences: with a rate of crashes per worker, a worker crashes by chance within the age
//! of a run with a probability of rate times age. The first crash doesn't count, because it is
//! the reason for looking at the task.

use super::{
    command::{GivenUp, Silence, SilentRun, WorkerInfo},
    record::IncarnationId,
    spec::{SubmissionId, TaskId},
};
use cyclamenloft_types::WorkerId;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Longest time from a run's start to the crash of its worker for which the run is a suspect.
pub const SUSPECT_AGE: Duration = Duration::from_millis(500);
/// Runs are suspects along with the one that began last if they began at most this time before
/// it. Reports of starts and of crashes arrive with delays that differ by less.
pub const SUSPECT_MARGIN: Duration = Duration::from_millis(300);
/// Longest time that a run may have gone on for its worker's crash to count.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Shortest age of a run that is told from zero.
const AGE_RESOLUTION: Duration = Duration::from_millis(10);
/// Time over which crashes are counted for their rate.
const RATE_WINDOW_MS: u64 = 30_000;
/// Crashes of this many workers within [`COMMON_CAUSE_MS`] have a cause outside of the workers,
/// such as the loss of a rack, and tell nothing about tasks.
const COMMON_CAUSE_WORKERS: usize = 3;
/// Time within which workers that crash together become unreachable, in milliseconds.
const COMMON_CAUSE_MS: u64 = 50;
/// Number of crashes under a task from which on it may be given up, as the users state. The task must
/// have begun at each; one more crash is needed where that isn't certain.
pub(super) const MIN_CRASHES: usize = 2;
/// Number of crashes that give a task up if it isn't certain of any that the task had begun.
const MIN_UNCERTAIN_CRASHES: usize = 5;
/// Probability of a coincidence below which a task is given up.
const MAX_COINCIDENCE: f64 = 3e-4;
/// Maximum number of crashes that are kept for a task.
const MAX_KEPT: usize = 8;

/// When a run had begun, relative to the crash of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Began {
    /// Last, or shortly before the last one.
    Last {
        /// Whether no other submission has a run that began last.
        alone: bool,
    },
    /// Before others, or long before the crash.
    Earlier,
    /// The leader that noticed the crash doesn't know it.
    Unknown,
}

/// A crash of a worker on which a task had a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    incarnation: IncarnationId,
    worker: WorkerId,
    addr: SocketAddr,
    /// Whether it is certain that the worker crashed. One that has been silent for longer than
    /// its lease may only have been unreachable.
    confirmed: bool,
    /// Whether several workers crashed together.
    common_cause: bool,
    began: Began,
    age: Duration,
    /// Whether the age is exact rather than a lower bound.
    exact: bool,
}

impl Crash {
    fn is_suspect(&self) -> bool {
        self.began != Began::Earlier
    }

    /// Returns whether the run has certainly begun.
    fn has_begun(&self) -> bool {
        !self.age.is_zero()
    }

    /// Returns whether the crash says anything about the task. It says nothing of a run that
    /// began earlier while one that began last, which is in `open`, may be the cause.
    fn counts(&self, open: &BTreeSet<IncarnationId>) -> bool {
        let is_open = self.began == Began::Earlier && open.contains(&self.incarnation);
        self.confirmed && self.exact && !is_open
    }

    /// Returns the probability that the worker crashed by chance within the age of the run.
    fn coincidence(&self, crashes_per_second: f64) -> f64 {
        // With suspects of several submissions it is open which of them is the cause.
        if self.common_cause || self.began == (Began::Last { alone: false }) {
            return 1.0;
        }
        (crashes_per_second * self.age.max(AGE_RESOLUTION).as_secs_f64()).min(1.0)
    }
}

/// The runs on an incarnation that has become unreachable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SilentRuns {
    all: Vec<SilentRun>,
    /// Those that began last.
    last: BTreeSet<TaskId>,
    /// Time at which it became unreachable, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// The crashes of workers that matter for open submissions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// The runs on incarnations that have become unreachable and may have crashed.
    silent: BTreeMap<IncarnationId, SilentRuns>,
    /// Crashes under each task, in their order.
    under: BTreeMap<TaskId, Vec<Crash>>,
    /// Recent crashes that were not caused by a task that is given up, with their times in
    /// milliseconds since the Unix epoch.
    unexplained: BTreeMap<IncarnationId, u64>,
}

impl Crashes {
    /// Returns whether no task is a suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.under.is_empty() && self.silent.is_empty()
    }

    /// Returns the incarnations that have become unreachable.
    pub fn silent(&self) -> impl Iterator<Item = IncarnationId> {
        self.silent.keys().copied()
    }

    /// Returns the tasks that may have crashed a worker.
    pub fn suspects(&self) -> impl Iterator<Item = TaskId> {
        let crashed =
            self.under.iter().filter(|(_, crashes)| crashes.iter().any(Crash::is_suspect));
        let silent = self.silent.values().flat_map(|runs| &runs.last);
        crashed.map(|(task, _)| task).chain(silent).copied()
    }

    /// Returns the number of crashes of which the task is suspected, including those of workers
    /// that are unreachable and have one of its runs, which are on `incarnations`.
    #[must_use]
    pub fn suspicions(
        &self,
        task: TaskId,
        incarnations: impl IntoIterator<Item = IncarnationId>,
    ) -> usize {
        let is_last =
            |id: &IncarnationId| self.silent.get(id).is_some_and(|runs| runs.last.contains(&task));
        let silent = incarnations.into_iter().filter(is_last).count();
        silent + self.under.get(&task).map_or(0, |c| c.iter().filter(|c| c.is_suspect()).count())
    }

    /// Returns whether a worker at this address has crashed under the task.
    #[must_use]
    pub fn has_crashed(&self, task: TaskId, addr: SocketAddr) -> bool {
        self.under.get(&task).is_some_and(|crashes| crashes.iter().any(|c| c.addr == addr))
    }

    /// Records the runs on an incarnation that has become unreachable. Without any, the
    /// incarnation counts as reachable.
    pub(super) fn record_silent(&mut self, silence: &Silence) {
        if silence.runs.is_empty() {
            self.silent.remove(&silence.incarnation);
            return;
        }
        let all = silence.runs.clone();
        let is_last = |run: &&SilentRun| matches!(began(run, &all), Some(Began::Last { .. }));
        let last = all.iter().filter(is_last).map(|run| run.task).collect();
        let runs = SilentRuns { all, last, at_ms: silence.at_ms };
        self.silent.insert(silence.incarnation, runs);
    }

    /// Removes what is known of an incarnation that has ended in another way than by a crash.
    pub(super) fn forget_incarnation(&mut self, incarnation: IncarnationId) {
        self.silent.remove(&incarnation);
    }

    /// Removes the crashes under a task that ended by itself.
    pub(super) fn clear(&mut self, task: TaskId) {
        self.under.remove(&task);
    }

    /// Removes the crashes under the tasks of a submission.
    pub(super) fn forget_submission(&mut self, id: SubmissionId) {
        self.under.retain(|task, _| task.submission != id);
    }

    /// Records the end of an incarnation that has not announced it. `confirmed` states whether
    /// the worker has certainly crashed. `has_run` returns whether a task of an open submission
    /// still had a run there.
    pub(super) fn record_crash(
        &mut self,
        incarnation: IncarnationId,
        worker: &WorkerInfo,
        confirmed: bool,
        has_run: impl Fn(TaskId) -> bool,
    ) {
        let latest_ms = self.unexplained.values().copied().max().unwrap_or(0);
        let (mut runs, at_ms) = match self.silent.remove(&incarnation) {
            Some(silent) => (silent.all, silent.at_ms),
            None => (Vec::new(), latest_ms),
        };
        let recent = at_ms.saturating_sub(RATE_WINDOW_MS);
        self.unexplained.retain(|_, at| *at >= recent);
        self.unexplained.insert(incarnation, at_ms);
        let silent = self.silent.values().map(|runs| runs.at_ms);
        let others = self.unexplained.values().copied().chain(silent);
        let together = others.filter(|at| at.abs_diff(at_ms) <= COMMON_CAUSE_MS).count();
        let common_cause = together >= COMMON_CAUSE_WORKERS;
        runs.retain(|run| has_run(run.task));
        for run in &runs {
            let Some(began) = began(run, &runs) else {
                self.under.remove(&run.task);
                continue;
            };
            let crashes = self.under.entry(run.task).or_default();
            if began == Began::Earlier {
                // The run has survived its start, so earlier crashes soon after one were chance.
                crashes.retain(|c| !c.is_suspect());
            }
            crashes.push(Crash {
                incarnation,
                worker: worker.id.clone(),
                addr: worker.addr,
                confirmed,
                common_cause,
                began,
                age: run.age(),
                exact: run.exact,
            });
            let surplus = crashes.len().saturating_sub(MAX_KEPT);
            crashes.drain(..surplus);
        }
    }

    /// Removes what is known of an incarnation that returns after it was declared lost: it was
    /// unreachable, and has not crashed.
    pub(super) fn acquit(&mut self, incarnation: IncarnationId) {
        self.unexplained.remove(&incarnation);
        self.under.values_mut().for_each(|c| c.retain(|c| c.incarnation != incarnation));
        self.under.retain(|_, crashes| !crashes.is_empty());
    }

    /// Records that a worker that was silent for longer than its lease has crashed, since `worker`
    /// runs in its place.
    pub(super) fn confirm(&mut self, worker: &WorkerInfo) {
        for crash in self.under.values_mut().flatten() {
            crash.confirmed |= crash.addr == worker.addr || crash.worker == worker.id;
        }
    }

    /// Removes and returns the tasks that are to be given up. `workers` is the number of workers.
    pub(super) fn take_given_up(&mut self, workers: usize) -> Vec<GivenUp> {
        let mut given_up = Vec::new();
        loop {
            // Each crash that has been explained makes other coincidences less likely.
            let rate = self.crashes_per_second(workers);
            let all = self.under.values().flatten();
            let open = all.filter(|c| c.is_suspect()).map(|c| c.incarnation).collect();
            let likely = |(task, crashes): (&TaskId, &Vec<Crash>)| {
                let coincidence = coincidence(crashes, rate, &open)?;
                (coincidence <= MAX_COINCIDENCE).then_some((coincidence, *task))
            };
            let likely = self.under.iter().filter_map(likely);
            let Some((_, task)) = likely.min_by(|a, b| a.0.total_cmp(&b.0)) else {
                return given_up;
            };
            let crashes = self.under.remove(&task).unwrap_or_default();
            let explained: BTreeSet<IncarnationId> =
                crashes.iter().filter(|c| c.is_suspect()).map(|c| c.incarnation).collect();
            self.unexplained.retain(|id, _| !explained.contains(id));
            for crashes in self.under.values_mut() {
                crashes.retain(|c| !explained.contains(&c.incarnation));
            }
            self.under.retain(|_, crashes| !crashes.is_empty());
            let crashes = crashes.into_iter().map(|c| (c.worker, c.age)).collect();
            given_up.push(GivenUp { task, crashes });
        }
    }

    /// Returns the recent rate of crashes of one worker.
    fn crashes_per_second(&self, workers: usize) -> f64 {
        let crashes = self.unexplained.len().max(1) as f64;
        let window = Duration::from_millis(RATE_WINDOW_MS).as_secs_f64();
        crashes / (window * workers.max(1) as f64)
    }
}

/// Returns the probability that the crashes under a task are chance, or `None` if there are too few
/// of them.
fn coincidence(
    crashes: &[Crash],
    crashes_per_second: f64,
    open: &BTreeSet<IncarnationId>,
) -> Option<f64> {
    let counted: Vec<&Crash> = crashes.iter().filter(|c| c.counts(open)).collect();
    let later = counted.iter().skip(1);
    let begun = counted.iter().filter(|c| c.has_begun()).count();
    let needed = match begun {
        0 => MIN_UNCERTAIN_CRASHES,
        1 => MIN_CRASHES + 1,
        _ => MIN_CRASHES,
    };
    (counted.len() >= needed).then(|| later.map(|c| c.coincidence(crashes_per_second)).product())
}

/// Returns when the run began, relative to the other runs on its worker; `None` if it had gone on
/// for so long that it has nothing to do with the crash.
fn began(run: &SilentRun, all: &[SilentRun]) -> Option<Began> {
    let youngest = all.iter().filter(|r| r.exact).map(SilentRun::age).min();
    let latest_age = youngest.map_or(SUSPECT_AGE, |y| SUSPECT_AGE.min(y + SUSPECT_MARGIN));
    let may_be_last = |r: &SilentRun| r.age() <= latest_age;
    match run.age() {
        age if age > MAX_AGE => None,
        _ if !may_be_last(run) => Some(Began::Earlier),
        _ if !run.exact => Some(Began::Unknown),
        _ => {
            let of_others = |r: &&SilentRun| r.task.submission != run.task.submission;
            let alone = !all.iter().filter(of_others).any(may_be_last);
            Some(Began::Last { alone })
        }
    }
}
