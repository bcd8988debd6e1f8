//! Which task goes to which worker: queues by priority and objective, steps in
//! their order, room by processors, memory and accelerators.

mod bin;
mod gang;
mod pick;
mod question;
mod rank;
mod round;

pub use question::{LARGEST_BATCH, question};
pub use rank::{Prospect, objective_ms, prospect};

use super::{
    advice::{Advice, Standing},
    command::Placed,
    fleet::Fleet,
    interference::Interference,
    spec::{Step, TaskId},
    state::{Life, LifeId, Record, Run, SubmissionState},
};
use bin::{Borne, Seat, seats};
use cyclamenloft_types::Resources;
use rank::rank;
use round::Round;
use std::time::{Duration, Instant};

/// Most runs that one round places, so that one entry of the log stays small.
pub const MAX_PLACED: usize = 256;

/// Time after which a task that fills is placed where it is borne worst, so that
/// it is at least slowed there rather than never started.
const PATIENCE_MS: u64 = 6_000;
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
    let mut round = Round::new(fleet, seats(state, fleet, now), now, wall_ms);
    for record in ranked(state, fleet, now, wall_ms) {
        round.place(record);
        if round.placed.len() >= MAX_PLACED {
            break;
        }
    }
    let Round { placed, waiting, tallies, .. } = round;
    fleet.note_waiting(&waiting, now);
    fleet.flows.note(&tallies, now);
    placed
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
            let wanted = Wanted { record, task, step };
            let found = best_seat_of(wanted, &seats, Known::of(fleet, now), Borne::Wholly);
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
    fn admits(self, wanted: Wanted<'_>, life: LifeId) -> bool {
        wanted.record.policy.advising.is_none()
            || self.advice.standing(wanted.task.step_id(), life, self.now) == Standing::Admitted
    }
}

/// A task for which a worker is sought.
#[derive(Clone, Copy)]
struct Wanted<'r> {
    record: &'r Record,
    task: TaskId,
    step: &'r Step,
}

impl Wanted<'_> {
    /// Whether it may still wait for a worker that bears it wholly.
    fn is_patient(self, wall_ms: u64) -> bool {
        wall_ms < self.record.at_ms + PATIENCE_MS
    }

    /// Whether the task may go to a worker as it is in this round.
    fn suits(self, seat: &Seat<'_>, known: Known<'_>, borne: Borne) -> bool {
        seat.life.worker.service == self.record.policy.service
            && seat.fits(self.step, self.task, known.interference, borne)
            && known.admits(self, seat.id)
    }

    /// How well it would be placed there; the lowest wins.
    fn score(self, seat: &Seat<'_>, known: Known<'_>) -> f64 {
        seat.score(self.step, self.task, known.interference)
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

/// The best worker for a task: one where it is borne wholly, or, once it has
/// waited for long, one where it alone would be slowed.
fn best_seat(
    wanted: Wanted<'_>,
    seats: &[Seat<'_>],
    known: Known<'_>,
    wall_ms: u64,
) -> Option<usize> {
    let seek = |borne| best_seat_of(wanted, seats, known, borne);
    seek(Borne::Wholly).or_else(|| (!wanted.is_patient(wall_ms)).then(|| seek(Borne::Alone))?)
}

fn best_seat_of(
    wanted: Wanted<'_>,
    seats: &[Seat<'_>],
    known: Known<'_>,
    borne: Borne,
) -> Option<usize> {
    let state = wanted.record.task(wanted.task);
    // A lasting task has attempts without end, and stays with its image.
    let failed_on = state.filter(|_| !wanted.step.lasting).and_then(|t| t.failed_on);
    let runs_on = |life| state.is_some_and(|t| t.runs.iter().any(|r| r.life == life));
    let mut best: Option<(f64, usize)> = None;
    for (i, seat) in seats.iter().enumerate() {
        if runs_on(seat.id) || !wanted.suits(seat, known, borne) {
            continue;
        }
        let again = if failed_on == Some(seat.id) { FAILED_THERE } else { 0.0 };
        let score = wanted.score(seat, known) + again;
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, i));
        }
    }
    best.map(|(_, i)| i)
}
