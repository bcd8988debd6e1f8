//! Picks workers for the tasks of one step without scoring every worker for every
//! task: between two picks only the worker that was picked last changes.

use super::{
    super::spec::{Step, StepId},
    Context, PendingTask, best_bin, best_bin_checked,
    bin::{Bin, BudgetCheck},
};
use cyclamenloft_types::ServiceName;
use std::{cmp::Ordering, collections::BinaryHeap};

/// A worker with room for the step's tasks. The candidate with the lowest score
/// compares greatest, so that the heap yields it first.
struct Candidate {
    score: f64,
    bin: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        other.score.total_cmp(&self.score).then(other.bin.cmp(&self.bin))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Candidate {}

/// The requirements of a task for which no worker was found in this round.
struct UnplacedTask {
    service: ServiceName,
    step: Step,
    /// Whether workers without another best-effort task were tried too,
    /// regardless of interference budgets.
    tried_sole: bool,
}

impl UnplacedTask {
    /// Returns whether a pending task has at least these requirements, so that
    /// no worker fits it either: workers only get fuller during a round.
    fn covers(&self, PendingTask { record, step, .. }: PendingTask<'_>, may_wait: bool) -> bool {
        // Names are compared last, because that takes longest.
        (self.tried_sole || may_wait)
            && self.step.fills == step.fills
            && self.step.lasting == step.lasting
            && self.step.max_per_worker == 0
            && self.step.demand.fits_in(&step.demand)
            && self.service == record.policy.service
            && self.step.image == step.image
            && (self.step.label.is_none() || self.step.label == step.label)
    }
}

/// The requirements of all tasks for which no worker was found in this round.
#[derive(Default)]
pub(super) struct UnplacedTasks(Vec<UnplacedTask>);

impl UnplacedTasks {
    fn covers(&self, pending: PendingTask<'_>, may_wait: bool) -> bool {
        self.0.iter().any(|m| m.covers(pending, may_wait))
    }

    fn record(&mut self, PendingTask { record, step, .. }: PendingTask<'_>, tried_sole: bool) {
        // The workers that the advisor allows differ from step to step.
        if record.policy.advisor.is_none() {
            let (service, step) = (record.policy.service.clone(), step.clone());
            self.0.push(UnplacedTask { service, step, tried_sole });
        }
    }
}

/// The workers that fit the tasks of one step.
pub(super) struct Picker {
    step: StepId,
    candidates: BinaryHeap<Candidate>,
}

impl Picker {
    fn new(pending: PendingTask<'_>, bins: &[Bin<'_>], cx: Context<'_>) -> Self {
        let candidates = (0..bins.len()).filter_map(|i| candidate(pending, bins, i, cx));
        Self { step: pending.task.step_id(), candidates: candidates.collect() }
    }

    /// Picks the best worker for a task. The previous pick must have been
    /// recorded with `took`.
    pub(super) fn pick(
        picker: &mut Option<Self>,
        unplaced: &mut UnplacedTasks,
        pending: PendingTask<'_>,
        bins: &[Bin<'_>],
        (cx, wall_ms): (Context<'_>, u64),
    ) -> Option<usize> {
        let may_wait = pending.may_wait(wall_ms);
        let state = pending.record.task(pending.task);
        // A task with a run or a failure is scored on its own, because it prefers
        // other workers than the remaining tasks of its step do.
        if state.is_some_and(|t| !t.runs.is_empty() || t.failed_on.is_some()) {
            return best_bin(pending, bins, cx, wall_ms);
        }
        if unplaced.covers(pending, may_wait) {
            return None;
        }
        if picker.as_ref().is_none_or(|p| p.step != pending.task.step_id()) {
            *picker = Some(Self::new(pending, bins, cx));
        }
        let best = picker.as_mut().and_then(|p| p.best(pending, bins, cx));
        let sole = || best_bin_checked(pending, bins, cx, BudgetCheck::SoleExempt);
        let found = best.or_else(|| (!may_wait).then(sole)?);
        if found.is_none() {
            unplaced.record(pending, !may_wait);
        }
        found
    }

    /// Returns the best candidate with its current score, which may have
    /// changed because of a task that was placed without the picker.
    fn best(
        &mut self,
        pending: PendingTask<'_>,
        bins: &[Bin<'_>],
        cx: Context<'_>,
    ) -> Option<usize> {
        while let Some(before) = self.candidates.pop() {
            match candidate(pending, bins, before.bin, cx) {
                Some(c) if c.score > before.score => self.candidates.push(c),
                Some(c) => return Some(c.bin),
                None => {}
            }
        }
        None
    }

    /// Records that the worker has taken a task of the step.
    pub(super) fn took(
        &mut self,
        pending: PendingTask<'_>,
        bins: &[Bin<'_>],
        bin: usize,
        cx: Context<'_>,
    ) {
        self.candidates.extend(candidate(pending, bins, bin, cx));
    }
}

fn candidate(
    pending: PendingTask<'_>,
    bins: &[Bin<'_>],
    at: usize,
    cx: Context<'_>,
) -> Option<Candidate> {
    let bin = &bins[at];
    let suits = pending.suits(bin, cx, BudgetCheck::Strict);
    suits.then(|| Candidate { score: pending.score(bin, cx), bin: at })
}
