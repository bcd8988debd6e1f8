//! One planning round: the open submissions are placed one after the other, each
//! as far as the workers have room.

use super::{
    super::{
        command::Placement,
        fleet::{Fleet, Tally},
        spec::{Step, TaskId},
        state::{Record, Run},
    },
    Context, FIRST_START_ALLOWANCE, PendingTask, STARVING_AFTER, Timeliness, best_bin_checked,
    bin::{Bin, BudgetCheck, ReservedFrom},
    for_each_due,
    gang::place_gang,
    pick::{Picker, UnplacedTasks},
    timeliness,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Percentage of a service's CPUs that must be free before a submission without
/// any run is placed regardless of interference. The users count a lack of
/// progress as a fault if at least 50% are free.
const FREE_CPU_PERCENT: u64 = 40;
/// One round may reserve at most one worker in this many, plus one. The number is
/// limited because a reserved worker runs no new short tasks.
const MAX_RESERVED_ONE_IN: usize = 12;

/// The inputs of a round and its results so far.
pub(super) struct Round<'a, 'f> {
    fleet: &'f Fleet,
    cx: Context<'f>,
    wall_ms: u64,
    bins: Vec<Bin<'a>>,
    unplaced: UnplacedTasks,
    /// Runs to place.
    pub(super) placed: Vec<Placement>,
    /// Long-running tasks without room, and the wait that each is allowed before
    /// it counts as starving.
    pub(super) waiting: Vec<(TaskId, Duration)>,
    /// Counts of best-effort tasks, by image.
    pub(super) tallies: BTreeMap<&'a str, Tally>,
}

impl<'a, 'f> Round<'a, 'f> {
    pub(super) fn new(fleet: &'f Fleet, bins: Vec<Bin<'a>>, now: Instant, wall_ms: u64) -> Self {
        Self {
            fleet,
            cx: Context::of(fleet, now),
            wall_ms,
            bins,
            unplaced: UnplacedTasks::default(),
            placed: Vec::new(),
            waiting: Vec::new(),
            tallies: BTreeMap::new(),
        }
    }

    /// Places as many tasks of a submission as possible.
    pub(super) fn place(&mut self, record: &'a Record) {
        let (fleet, now) = (self.fleet, self.cx.now);
        let wants_copy = |id, run: &Run| fleet.wants_copy(run.incarnation, id, now);
        let mut gangs: Vec<PendingTask<'a>> = Vec::new();
        let mut picker: Option<Picker> = None;
        for_each_due(record, self.wall_ms, wants_copy, |task, step| {
            let pending = PendingTask { record, task, step };
            if step.gang {
                gangs.push(PendingTask { task: TaskId { index: 0, ..task }, ..pending });
                return false;
            }
            let picked = self.pick(&mut picker, pending);
            match picked {
                Some(bin) => self.assign(&mut picker, pending, bin),
                // No other task of the step fits either, so the rest is skipped.
                None => self.record_unplaced(pending),
            }
            picked.is_some()
        });
        for first in gangs {
            self.place_gang(first);
        }
    }

    fn pick(&mut self, picker: &mut Option<Picker>, pending: PendingTask<'a>) -> Option<usize> {
        let cx = (self.cx, self.wall_ms);
        Picker::pick(picker, &mut self.unplaced, pending, &self.bins, cx)
            .or_else(|| self.last_resort(pending))
    }

    fn assign(&mut self, picker: &mut Option<Picker>, pending: PendingTask<'a>, bin: usize) {
        let PendingTask { record, task, step } = pending;
        self.bins[bin].take(step, task, self.cx.interference);
        if let Some(picker) = picker {
            picker.took(pending, &self.bins, bin, self.cx);
        }
        let state = record.task(task);
        let attempt = state.map_or(0, |t| t.attempt) + 1;
        self.placed.push(Placement { task, attempt, incarnation: self.bins[bin].id });
        if state.is_some_and(|t| t.runs.is_empty()) {
            self.tally(step, |tally| tally.started += 1);
        }
    }

    /// Records that no worker was found for a task. Room is reserved for a
    /// long-running task that has waited for long.
    fn record_unplaced(&mut self, pending: PendingTask<'a>) {
        if pending.step.lasting {
            let restarts = pending.record.task(pending.task).is_some_and(|t| t.attempt > 0);
            let allowance = if restarts { Duration::ZERO } else { FIRST_START_ALLOWANCE };
            let waited = self.fleet.waited(pending.task, self.cx.now);
            if waited >= allowance + STARVING_AFTER {
                reserve_room(pending, &mut self.bins, ReservedFrom::All);
            } else if waited >= allowance {
                reserve_room(pending, &mut self.bins, ReservedFrom::Short);
            }
            self.waiting.push((pending.task, allowance));
        }
        self.tally_waiting(pending);
    }

    fn place_gang(&mut self, first: PendingTask<'a>) {
        let members = place_gang(first, &mut self.bins, self.cx, self.wall_ms);
        if members.is_empty() {
            return self.tally_waiting(first);
        }
        let started = u32::from(first.step.count);
        self.tally(first.step, |tally| tally.started += started);
        self.placed.extend(members);
    }

    /// Updates the counts of the step's image if its tasks are best-effort.
    fn tally(&mut self, step: &'a Step, count: impl FnOnce(&mut Tally)) {
        if let Some(image) = step.image.as_deref().filter(|_| step.fills) {
            count(self.tallies.entry(image).or_default());
        }
    }

    /// Counts a best-effort step as waiting if a task of it, from this one on, has
    /// no worker and its submission can still be on time.
    fn tally_waiting(&mut self, PendingTask { record, task, step }: PendingTask<'a>) {
        if !step.fills {
            return;
        }
        let tasks = &record.tasks[task.occurrence as usize][usize::from(task.step)];
        let rest = &tasks[usize::from(task.index)..];
        let waits = rest.iter().any(|t| !t.done && t.runs.is_empty())
            && timeliness(record, self.wall_ms) == Timeliness::OnTime;
        self.tally(step, |tally| tally.waiting += u32::from(waits));
    }

    /// Returns a worker for a best-effort task whose submission has no run, if
    /// much of its service's room is free. The task may be throttled on that
    /// worker, but the submission makes progress while there is free room.
    fn last_resort(&self, pending: PendingTask<'_>) -> Option<usize> {
        let PendingTask { record, task, step } = pending;
        if !step.fills || pending.may_wait(self.wall_ms) {
            return None;
        }
        let runs = record.tasks.iter().flatten().flatten().any(|t| !t.runs.is_empty())
            || self.placed.iter().rev().any(|p| p.task.submission == task.submission);
        if runs {
            return None;
        }
        let service = &record.policy.service;
        let of_service = self.bins.iter().filter(|b| b.incarnation.worker.service == *service);
        let (mut free, mut whole) = (0, 0);
        for bin in of_service {
            free += u64::from(bin.free.cpu_millis);
            whole += u64::from(bin.incarnation.worker.capacity.cpu_millis);
        }
        if free * 100 < whole * FREE_CPU_PERCENT {
            return None;
        }
        best_bin_checked(pending, &self.bins, self.cx, BudgetCheck::Skip)
    }
}

/// Reserves a worker for a task that fits none now: of the workers on which it
/// will fit once their short tasks have ended, the one with the most free CPU.
/// Otherwise new short tasks would take the capacity as it becomes free.
pub(super) fn reserve_room(
    pending: PendingTask<'_>,
    bins: &mut [Bin<'_>],
    reserved_from: ReservedFrom,
) {
    let PendingTask { record, task, step } = pending;
    if bins.iter().filter(|b| b.reserved_from.is_some()).count() > bins.len() / MAX_RESERVED_ONE_IN
    {
        return;
    }
    let need = step.reserved();
    let fits_later = |bin: &&mut Bin<'_>| {
        let apart = step.max_per_worker == 0 || bin.count_of_step(task) < step.max_per_worker;
        let service = bin.incarnation.worker.service == record.policy.service;
        let room = bin.free.checked_add(&bin.short_reserved).unwrap_or(bin.free);
        apart && service && bin.reserved_from.is_none() && need.fits_in(&room)
    };
    if let Some(bin) = bins.iter_mut().filter(fits_later).max_by_key(|b| b.free.cpu_millis) {
        bin.reserved_from = Some(reserved_from);
    }
}
