//! The planner assigns tasks to workers.
//!
//! Submissions are placed in the order of their queues' priority and their
//! objectives, and steps in the order of their dependencies. A worker has room
//! for a task if its free CPU, memory and accelerators suffice.

mod bin;
mod gang;
mod isolation;
mod pick;
mod question;
mod rank;
mod round;
mod shortage;

pub use question::{MAX_BATCH, question};
pub use rank::{Timeliness, Timing, objective_ms, precedes_new, timeliness};

use super::{
    advice::{Advice, TicketStatus},
    command::Placement,
    fleet::Fleet,
    interference::Interference,
    spec::{MAX_GANG_TASKS, Step, TaskId},
    state::{Incarnation, IncarnationId, Record, Run, SubmissionState},
};
use bin::{Bin, BudgetCheck, bins};
use cyclamenloft_replication::MAX_COMMAND_BYTES;
use cyclamenloft_types::Resources;
use isolation::isolate_suspects;
use rank::rank;
use round::Round;
use std::time::{Duration, Instant};

/// Number of placed runs after which a round ends, so that its log entry stays
/// small. Only a gang, which is placed as a whole, may exceed it.
pub const MAX_PLACED: usize = 256;
/// Largest encoded [`Placement`], in bytes.
const MAX_PLACEMENT_BYTES: usize = 31;
/// Largest encoding of a command's variant and of the number of its placements, in bytes.
const PLACE_HEADER_BYTES: usize = 8;
/// Number of placed runs that fit into a log entry.
const MAX_ROUND: usize = (MAX_COMMAND_BYTES - PLACE_HEADER_BYTES) / MAX_PLACEMENT_BYTES;

// A gang that is accepted fits into each round that isn't full.
const _: () = assert!(MAX_PLACED + MAX_GANG_TASKS as usize <= MAX_ROUND);

/// Time after acceptance during which best-effort tasks are placed only within
/// the interference budgets of latency-critical tasks. Later they may also be
/// placed on workers that throttle them, so that they start at all.
const STRICT_PLACEMENT_MS: u64 = 6_000;
/// Maximum number of runs that are moved in one round.
const MAX_MOVES: usize = 8;

/// Waiting time after which a long-running task is placed first, and room is
/// reserved for it that excludes other long-running tasks too. It is shorter than
/// the time that the users allow for a restart.
const STARVING_AFTER: Duration = Duration::from_millis(1_500);

/// Additional time that a long-running task waits for its first start: short
/// tasks have four times the payoff for the same capacity, and the task doesn't
/// serve requests yet.
const FIRST_START_ALLOWANCE: Duration = Duration::from_millis(4_000);

/// Cost added to the score of the worker on which the task's last run failed;
/// the lowest score wins. It outweighs all other costs, because a task has few
/// attempts.
const FAILED_HERE_COST: f64 = 100.0;

/// Returns the runs to place now, the most important first.
#[must_use]
pub fn plan(
    state: &SubmissionState,
    fleet: &mut Fleet,
    now: Instant,
    wall_ms: u64,
) -> Vec<Placement> {
    let mut round = Round::new(state, fleet, bins(state, fleet, now), now, wall_ms);
    let starving = fleet.starving(STARVING_AFTER, now);
    round.place_held();
    for (record, turn) in round.shortages.turns(state, &starving, wall_ms) {
        round.place(record, turn);
        if round.is_full() {
            break;
        }
    }
    let is_full = round.is_full();
    let Round {
        placed,
        waiting,
        tallies,
        short_tallies,
        shortages,
        withheld,
        released,
        held,
        skipped_tasks,
        ..
    } = round;
    // Without a shortage, submissions with long-running tasks that have waited for long are
    // considered first.
    let cut_short = is_full && (skipped_tasks || shortages.services().next().is_some());
    fleet.record_waiting(&waiting, cut_short, now);
    let first_starts = waiting.iter().filter(|(_, allowance)| *allowance > Duration::ZERO);
    let first_starts = first_starts.map(|(task, _)| task.step_id());
    fleet.urgent_room.record_first_starts(first_starts, cut_short, now);
    fleet.start_rates.record_round(&tallies, now);
    fleet.backlog.record_round(&short_tallies, now);
    fleet.urgent_room.short = shortages.report(&held);
    let services = shortages.into_memory(&fleet.urgent_room.services, &held);
    fleet.urgent_room.services = services;
    fleet.urgent_room.record_round(&withheld, &released, now);
    placed
}

/// Returns the open submissions in the order in which they are placed.
fn ranked<'a>(
    state: &'a SubmissionState,
    fleet: &Fleet,
    now: Instant,
    wall_ms: u64,
) -> Vec<&'a Record> {
    let starving = fleet.starving(STARVING_AFTER, now);
    let mut records: Vec<&Record> = state.open().collect();
    records.sort_by_cached_key(|r| rank(r, &starving, wall_ms));
    records
}

/// Returns runs that have been throttled for long and fit within the
/// interference budgets of another worker.
#[must_use]
pub fn moves(state: &SubmissionState, fleet: &Fleet, now: Instant) -> Vec<(IncarnationId, TaskId)> {
    let has_slowed_runs = |(id, _): &(IncarnationId, &Incarnation)| {
        fleet.view(*id).is_some_and(|v| v.slowed_runs(now).next().is_some())
    };
    if !state.incarnations().any(|i| has_slowed_runs(&i)) {
        return Vec::new();
    }
    let mut bins = bins(state, fleet, now);
    isolate_suspects(state, fleet, &mut bins, now);
    let mut moved = Vec::new();
    for (incarnation, view) in
        state.incarnations().filter_map(|(id, _)| Some((id, fleet.view(id)?)))
    {
        for task in view.slowed_runs(now) {
            let Some(record) = state.record(task.submission) else { continue };
            let step = &record.spec.steps[usize::from(task.step)];
            let pending = PendingTask { record, task, step };
            let found =
                best_bin_checked(pending, &bins, Context::of(fleet, now), BudgetCheck::Strict);
            if let Some(bin) = found.filter(|i| bins[*i].id != incarnation) {
                bins[bin].take(step, task, &fleet.interference);
                moved.push((incarnation, task));
            }
            if moved.len() >= MAX_MOVES {
                return moved;
            }
        }
    }
    moved
}

/// The leader's knowledge for choosing a worker, in addition to the replicated
/// state.
#[derive(Clone, Copy)]
struct Context<'k> {
    interference: &'k Interference,
    advice: &'k Advice,
    now: Instant,
}

impl<'k> Context<'k> {
    fn of(fleet: &'k Fleet, now: Instant) -> Self {
        Self { interference: &fleet.interference, advice: &fleet.advice, now }
    }

    /// Returns whether the advisor of the task's queue has refused the incarnation. It is asked
    /// only about incarnations with room, so that a ticket may be missing until there is room.
    fn refuses(self, pending: PendingTask<'_>, incarnation: IncarnationId) -> bool {
        pending.record.policy.advisor.is_some()
            && self.advice.ticket_status(pending.task.step_id(), incarnation, self.now)
                == TicketStatus::Refused
    }

    /// Returns whether the task may run on the incarnation: its queue has no
    /// advisor, or the incarnation has a valid ticket from the advisor.
    fn admits(self, pending: PendingTask<'_>, incarnation: IncarnationId) -> bool {
        pending.record.policy.advisor.is_none()
            || self.advice.ticket_status(pending.task.step_id(), incarnation, self.now)
                == TicketStatus::Valid
    }
}

/// A task that needs a worker.
#[derive(Clone, Copy)]
struct PendingTask<'r> {
    record: &'r Record,
    task: TaskId,
    step: &'r Step,
}

impl PendingTask<'_> {
    /// Returns whether the task may still wait for a worker on which it is within
    /// the interference budgets.
    fn may_wait(self, wall_ms: u64) -> bool {
        wall_ms < self.record.at_ms + STRICT_PLACEMENT_MS
    }

    /// Returns whether the task has been placed before.
    fn is_restart(self) -> bool {
        self.record.task(self.task).is_some_and(|t| t.attempt > 0)
    }

    /// Returns whether the task may be placed on the worker, given the
    /// placements of the round so far.
    fn suits(self, bin: &Bin<'_>, cx: Context<'_>, check: BudgetCheck) -> bool {
        // Most workers are ruled out by their free room, which is compared faster than names.
        self.step.reserved().fits_in(&bin.free)
            && bin.incarnation.worker.service == self.record.policy.service
            && !bin.blocks_urgent(self.step, self.record.policy.priority)
            && bin.fits(self.step, self.task, cx.interference, check)
            && cx.admits(self, bin.id)
    }

    /// Returns the cost of placing the task on the worker; the lowest score is
    /// chosen.
    fn score(self, bin: &Bin<'_>, cx: Context<'_>) -> f64 {
        bin.score(self.step, self.task, cx.interference)
    }
}

/// A task that is due but has no worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The task.
    pub task: TaskId,
    /// Time since the task's submission was accepted, in milliseconds.
    pub waited_ms: u64,
    /// Resources that the task reserves.
    pub need: Resources,
    /// Free room of the usable worker with the most free CPU.
    pub widest_free: Resources,
    /// Number of workers that may get work.
    pub usable: usize,
    /// Number of usable workers with room for the task, regardless of all other
    /// constraints.
    pub roomy: usize,
    /// Of these, the workers whose unused CPUs aren't taken by other best-effort
    /// tasks. For a task that isn't best-effort, all of them.
    pub unfilled: usize,
    /// Of these, the workers whose latency-critical tasks tolerate the task.
    pub tolerant: usize,
    /// Whether the task is best-effort.
    pub fills: bool,
}

/// Returns the number of tasks that are due but have no worker, and the first
/// `most` of them, the most important first.
#[must_use]
pub fn waiting(
    state: &SubmissionState,
    fleet: &Fleet,
    most: usize,
    now: Instant,
    wall_ms: u64,
) -> (usize, Vec<Waiting>) {
    let bins = bins(state, fleet, now);
    let widest = bins.iter().map(|b| b.free).max_by_key(|f| f.cpu_millis);
    let widest_free = widest.unwrap_or(Resources::ZERO);
    let (mut count, mut waiting) = (0, Vec::new());
    for record in ranked(state, fleet, now, wall_ms) {
        for_each_due(
            record,
            wall_ms,
            |_, _| false,
            |task, step| {
                count += 1;
                if waiting.len() >= most {
                    return true;
                }
                let roomy = bins.iter().filter(|b| step.reserved().fits_in(&b.free));
                let unfilled =
                    roomy.clone().filter(|b| !step.fills || b.has_best_effort_room(step));
                let tolerates =
                    |b: &&Bin<'_>| !step.fills || b.pressure(step, &fleet.interference).1;
                waiting.push(Waiting {
                    task,
                    waited_ms: wall_ms.saturating_sub(record.at_ms),
                    need: step.reserved(),
                    widest_free,
                    usable: bins.len(),
                    roomy: roomy.count(),
                    unfilled: unfilled.clone().count(),
                    tolerant: unfilled.filter(tolerates).count(),
                    fills: step.fills,
                });
                true
            },
        );
    }
    (count, waiting)
}

/// Calls `take` for each due task that has no run, or whose only run needs a
/// speculative copy. If `take` returns false, the rest of the step is skipped.
fn for_each_due<'a>(
    record: &'a Record,
    wall_ms: u64,
    wants_copy: impl Fn(TaskId, &Run) -> bool,
    mut take: impl FnMut(TaskId, &'a Step) -> bool,
) {
    for (k, steps) in record.tasks.iter().enumerate() {
        let occurrence = u32::try_from(k).unwrap_or(u32::MAX);
        if record.spec.first_due_ms > 0 && wall_ms < record.spec.due_ms(occurrence) {
            break;
        }
        for (s, tasks) in steps.iter().enumerate() {
            if record.left[k][s] == 0 || !record.is_due(k, s) {
                continue;
            }
            let step = &record.spec.steps[s];
            for (i, task) in tasks.iter().enumerate().filter(|(_, t)| !t.done) {
                let id = TaskId {
                    submission: record.spec.id,
                    occurrence,
                    step: u16::try_from(s).unwrap_or(u16::MAX),
                    index: u16::try_from(i).unwrap_or(u16::MAX),
                };
                let waits = match &*task.runs {
                    [] => true,
                    [only] => step.copies && wants_copy(id, only),
                    _ => false,
                };
                if waits && !take(id, step) {
                    break;
                }
            }
        }
    }
}

/// Returns the best worker for a task: one within the interference budgets or,
/// once the submission is older than [`STRICT_PLACEMENT_MS`], one without another
/// best-effort task.
fn best_bin(
    pending: PendingTask<'_>,
    bins: &[Bin<'_>],
    cx: Context<'_>,
    wall_ms: u64,
) -> Option<usize> {
    let seek = |check| best_bin_checked(pending, bins, cx, check);
    seek(BudgetCheck::Strict)
        .or_else(|| (!pending.may_wait(wall_ms)).then(|| seek(BudgetCheck::SoleExempt))?)
}

fn best_bin_checked(
    pending: PendingTask<'_>,
    bins: &[Bin<'_>],
    cx: Context<'_>,
    check: BudgetCheck,
) -> Option<usize> {
    let state = pending.record.task(pending.task);
    // A long-running task has unlimited attempts and should stay with other
    // tasks of its image, so it doesn't avoid the worker of its last failure.
    let failed_on = state.filter(|_| !pending.step.lasting).and_then(|t| t.failed_on);
    let runs_on =
        |incarnation| state.is_some_and(|t| t.runs.iter().any(|r| r.incarnation == incarnation));
    let mut best: Option<(f64, usize)> = None;
    for (i, bin) in bins.iter().enumerate() {
        if runs_on(bin.id) || !pending.suits(bin, cx, check) {
            continue;
        }
        let again = if failed_on == Some(bin.id) { FAILED_HERE_COST } else { 0.0 };
        let score = pending.score(bin, cx) + again;
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, i));
        }
    }
    best.map(|(_, i)| i)
}
