//! Which task goes to which worker: queues by priority and objective, steps in
//! their order, room by processors, memory and accelerators.

mod advised;
mod gang;
mod pick;
mod rank;
mod seat;

pub use advised::{LARGEST_BATCH, question};
pub use rank::{Prospect, objective_ms, prospect};

use super::{
    advice::{Advice, Standing},
    command::Placed,
    fleet::{Fleet, Tally},
    interference::Interference,
    spec::{Step, TaskId},
    state::{Life, LifeId, Record, Run, SubmissionState},
};
use cyclamenloft_types::Resources;
use gang::place_gang;
use pick::{Misfits, Picker};
use rank::rank;
use seat::{Borne, Held, Seat, seats};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Most runs that one round places, so that one entry of the log stays small.
pub const MAX_PLACED: usize = 256;

/// Time after which a task that fills is placed where it is borne worst, so that
/// it is at least slowed there rather than never started.
const PATIENCE_MS: u64 = 6_000;
/// Part of a service's processors that is free, in percent, from which on no
/// submission may stand still: the users count from half on.
const SLACK_PERCENT: u64 = 40;
/// Most runs that are moved in one round.
const MAX_MOVES: usize = 8;

/// Time after which a lasting task that waits comes first, and room is kept for it
/// from other lasting tasks too: less than what the users allow for a restart.
const STARVING: Duration = Duration::from_millis(1_500);

/// Time that a lasting task waits in addition for its first start: short tasks
/// earn four times as much with the room, and nobody is served by it yet.
const FIRST_START_PATIENCE: Duration = Duration::from_millis(4_000);

/// What it weighs that the task's last run failed on the worker: more than all
/// else, as its attempts are few.
const FAILED_THERE: f64 = 100.0;

/// The runs to place now, in the order of their importance.
#[must_use]
pub fn plan(state: &SubmissionState, fleet: &mut Fleet, now: Instant, wall_ms: u64) -> Vec<Placed> {
    let mut seats = seats(state, fleet, now);
    let mut waiting = Vec::new();
    let mut placed = Vec::new();
    let mut misfits = Misfits::default();
    let mut tallies = BTreeMap::new();
    for record in ranked(state, fleet, now, wall_ms) {
        let round = (now, wall_ms, &mut misfits);
        let before = placed.len();
        place_record(record, &mut seats, fleet, round, &mut placed, &mut waiting);
        tally(record, &placed[before..], wall_ms, &mut tallies);
        if placed.len() >= MAX_PLACED {
            break;
        }
    }
    fleet.note_waiting(&waiting, now);
    fleet.flows.note(&tallies, now);
    placed
}

/// Counts a submission's tasks that fill, by image: those that were placed, and
/// those that still wait though the submission can be in time.
fn tally<'a>(
    record: &'a Record,
    placed: &[Placed],
    wall_ms: u64,
    tallies: &mut BTreeMap<&'a str, Tally>,
) {
    if !record.spec.steps.iter().any(|s| s.fills) {
        return;
    }
    let in_time = prospect(record, wall_ms) == Prospect::Full;
    let alone = |_, _: &Run| false;
    for_each_due(record, wall_ms, alone, |task, step| {
        let Some(image) = step.image.as_deref().filter(|_| step.fills) else { return false };
        let tally = tallies.entry(image).or_default();
        if placed.iter().any(|p| p.task == task) {
            tally.started += 1;
        } else {
            tally.waiting += u32::from(in_time);
        }
        true
    });
}

/// Open submissions in the order in which they are placed.
fn ranked<'a>(
    state: &'a SubmissionState,
    fleet: &Fleet,
    now: Instant,
    wall_ms: u64,
) -> Vec<&'a Record> {
    let starving = fleet.starving(STARVING, now);
    let mut records: Vec<&Record> = state.open().collect();
    records.sort_by_cached_key(|r| rank(r, &starving, wall_ms));
    records
}

/// Runs that hardly get on where they are and would disturb nobody elsewhere.
#[must_use]
pub fn moves(state: &SubmissionState, fleet: &Fleet, now: Instant) -> Vec<(LifeId, TaskId)> {
    let held = |(id, _): &(LifeId, &Life)| {
        fleet.view(*id).is_some_and(|v| v.held_back(now).next().is_some())
    };
    if !state.lives().any(|l| held(&l)) {
        return Vec::new();
    }
    let mut seats = seats(state, fleet, now);
    let mut moved = Vec::new();
    for (life, view) in state.lives().filter_map(|(id, _)| Some((id, fleet.view(id)?))) {
        for task in view.held_back(now) {
            let Some(record) = state.record(task.submission) else { continue };
            let step = &record.spec.steps[usize::from(task.step)];
            let found =
                best_seat_of(record, step, task, &seats, Known::of(fleet, now), Borne::Wholly);
            if let Some(seat) = found.filter(|i| seats[*i].id != life) {
                seats[seat].take(step, task, &fleet.interference);
                moved.push((life, task));
            }
            if moved.len() >= MAX_MOVES {
                return moved;
            }
        }
    }
    moved
}

/// What is known beside the agreed state when a worker is chosen.
#[derive(Clone, Copy)]
struct Known<'k> {
    interference: &'k Interference,
    advice: &'k Advice,
    now: Instant,
}

impl<'k> Known<'k> {
    fn of(fleet: &'k Fleet, now: Instant) -> Self {
        Self { interference: &fleet.interference, advice: &fleet.advice, now }
    }

    /// Whether the queue's advisor, if it has one, lets the task run there.
    fn admits(self, record: &Record, task: TaskId, life: LifeId) -> bool {
        record.policy.advising.is_none()
            || self.advice.standing(task.step_id(), life, self.now) == Standing::Admitted
    }
}

/// A task that is due and has no worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The task.
    pub task: TaskId,
    /// Time since its submission was accepted, in milliseconds.
    pub waited_ms: u64,
    /// What it reserves.
    pub need: Resources,
    /// Most room on one usable worker.
    pub widest_free: Resources,
    /// Workers that may get work.
    pub usable: usize,
    /// Usable workers with room, whatever else keeps the task off them.
    pub roomy: usize,
    /// It takes what others leave unused.
    pub fills: bool,
}

/// How many tasks are due and have no worker, and the `most` important of them.
#[must_use]
pub fn waiting(
    state: &SubmissionState,
    fleet: &Fleet,
    most: usize,
    now: Instant,
    wall_ms: u64,
) -> (usize, Vec<Waiting>) {
    let seats = seats(state, fleet, now);
    let widest = seats.iter().map(|s| s.free).max_by_key(|f| f.cpu_millis);
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
                waiting.push(Waiting {
                    task,
                    waited_ms: wall_ms.saturating_sub(record.at_ms),
                    need: step.reserved(),
                    widest_free,
                    usable: seats.len(),
                    roomy: seats.iter().filter(|s| step.reserved().fits_in(&s.free)).count(),
                    fills: step.fills,
                });
                true
            },
        );
    }
    (count, waiting)
}

/// Calls `take` for each task that is due and doesn't run, or whose only run
/// wants a copy; where it is false, the rest of the step is passed over.
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

fn place_record<'a>(
    record: &'a Record,
    seats: &mut [Seat<'a>],
    fleet: &Fleet,
    (now, wall_ms, misfits): (Instant, u64, &mut Misfits),
    placed: &mut Vec<Placed>,
    waiting: &mut Vec<(TaskId, Duration)>,
) {
    let known = Known::of(fleet, now);
    let mut gangs: Vec<TaskId> = Vec::new();
    let wants_copy = |id, run: &Run| fleet.wants_copy(run.life, id, now);
    let mut picker: Option<Picker> = None;
    for_each_due(record, wall_ms, wants_copy, |id, step| {
        if step.gang {
            gangs.push(TaskId { index: 0, ..id });
            return false;
        }
        let wanted = (id, step);
        let picked = Picker::pick(&mut picker, misfits, record, wanted, seats, (known, wall_ms))
            .or_else(|| last_resort(record, wanted, seats, known, placed, wall_ms));
        let Some(picked) = picked else {
            if step.lasting {
                let restarts = record.task(id).is_some_and(|t| t.attempt > 0);
                let patience = if restarts { Duration::ZERO } else { FIRST_START_PATIENCE };
                let waited = fleet.waited(id, now);
                if waited >= patience + STARVING {
                    hold_room(record, step, id, seats, Held::All);
                } else if waited >= patience {
                    hold_room(record, step, id, seats, Held::Short);
                }
                waiting.push((id, patience));
            }
            // No other task of the step fits either.
            return false;
        };
        seats[picked].take(step, id, known.interference);
        if let Some(picker) = &mut picker {
            picker.took(record, wanted, seats, picked, known);
        }
        let attempt = record.task(id).map_or(0, |t| t.attempt) + 1;
        placed.push(Placed { task: id, attempt, life: seats[picked].id });
        true
    });
    for first in gangs {
        place_gang(record, first, seats, known, wall_ms, placed);
    }
}

/// One worker in this many is kept for lasting tasks at most in one round: those
/// serve no short task meanwhile.
const HELD_ONE_IN: usize = 12;

/// Keeps short tasks off the worker that will soonest have room for a lasting
/// one; else they would take each bit of room as it comes free.
fn hold_room(record: &Record, step: &Step, task: TaskId, seats: &mut [Seat<'_>], held: Held) {
    if seats.iter().filter(|s| s.held.is_some()).count() > seats.len() / HELD_ONE_IN {
        return;
    }
    let need = step.reserved();
    let fits_later = |seat: &&mut Seat<'_>| {
        let apart = step.max_per_worker == 0 || seat.of_step(task) < step.max_per_worker;
        let service = seat.life.worker.service == record.policy.service;
        let room = seat.free.checked_add(&seat.short).unwrap_or(seat.free);
        apart && service && seat.held.is_none() && need.fits_in(&room)
    };
    if let Some(seat) = seats.iter_mut().filter(fits_later).max_by_key(|s| s.free.cpu_millis) {
        seat.held = Some(held);
    }
}

fn best_seat(
    record: &Record,
    step: &Step,
    task: TaskId,
    seats: &[Seat<'_>],
    known: Known<'_>,
    wall_ms: u64,
) -> Option<usize> {
    let patient = wall_ms < record.at_ms + PATIENCE_MS;
    let seek = |borne| best_seat_of(record, step, task, seats, known, borne);
    seek(Borne::Wholly).or_else(|| (!patient).then(|| seek(Borne::Alone))?)
}

/// The worker for one task of a submission of which nothing runs, though half of
/// its service's room is free: it may be slowed there, but it doesn't stand
/// still beside free room.
fn last_resort(
    record: &Record,
    (task, step): (TaskId, &Step),
    seats: &[Seat<'_>],
    known: Known<'_>,
    placed: &[Placed],
    wall_ms: u64,
) -> Option<usize> {
    let runs = record.tasks.iter().flatten().flatten().any(|t| !t.runs.is_empty())
        || placed.iter().rev().any(|p| p.task.submission == task.submission);
    if !step.fills || runs || wall_ms < record.at_ms + PATIENCE_MS {
        return None;
    }
    let of_service = seats.iter().filter(|s| s.life.worker.service == record.policy.service);
    let (mut free, mut whole) = (0, 0);
    for seat in of_service {
        free += u64::from(seat.free.cpu_millis);
        whole += u64::from(seat.life.worker.capacity.cpu_millis);
    }
    if free * 100 < whole * SLACK_PERCENT {
        return None;
    }
    best_seat_of(record, step, task, seats, known, Borne::Anyhow)
}

fn best_seat_of(
    record: &Record,
    step: &Step,
    task: TaskId,
    seats: &[Seat<'_>],
    known: Known<'_>,
    borne: Borne,
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    // A lasting task has attempts without end, and stays with its image.
    let failed_on = record.task(task).filter(|_| !step.lasting).and_then(|t| t.failed_on);
    let runs_on = |life| record.task(task).is_some_and(|t| t.runs.iter().any(|r| r.life == life));
    for (i, seat) in seats.iter().enumerate() {
        if runs_on(seat.id) {
            continue;
        }
        if seat.life.worker.service != record.policy.service
            || !seat.fits(step, task, known.interference, borne)
            || !known.admits(record, task, seat.id)
        {
            continue;
        }
        let again = if failed_on == Some(seat.id) { FAILED_THERE } else { 0.0 };
        let score = seat.score(step, task, known.interference) + again;
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, i));
        }
    }
    best.map(|(_, i)| i)
}
