//! One round of placing: each open submission in its turn takes what it can of
//! the workers' room.

use super::{
    super::{
        command::Placed,
        fleet::{Fleet, Tally},
        spec::{Step, TaskId},
        state::{Record, Run},
    },
    FIRST_START_PATIENCE, Known, Prospect, STARVING, Wanted, best_seat_of,
    bin::{Borne, Held, Seat},
    for_each_due,
    gang::place_gang,
    pick::{Misfits, Picker},
    prospect,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Part of a service's processors that is free, in percent, from which on no
/// submission may stand still: the users count from half on.
const SLACK_PERCENT: u64 = 40;
/// One worker in this many is kept for lasting tasks at most in one round: those
/// serve no short task meanwhile.
const HELD_ONE_IN: usize = 12;

/// What a round knows, and what came of it so far.
pub(super) struct Round<'a, 'f> {
    fleet: &'f Fleet,
    known: Known<'f>,
    wall_ms: u64,
    seats: Vec<Seat<'a>>,
    misfits: Misfits,
    /// Runs to place.
    pub(super) placed: Vec<Placed>,
    /// Lasting tasks that found no room, and how long each may wait.
    pub(super) waiting: Vec<(TaskId, Duration)>,
    /// Tasks that fill, by image.
    pub(super) tallies: BTreeMap<&'a str, Tally>,
}

impl<'a, 'f> Round<'a, 'f> {
    pub(super) fn new(fleet: &'f Fleet, seats: Vec<Seat<'a>>, now: Instant, wall_ms: u64) -> Self {
        Self {
            fleet,
            known: Known::of(fleet, now),
            wall_ms,
            seats,
            misfits: Misfits::default(),
            placed: Vec::new(),
            waiting: Vec::new(),
            tallies: BTreeMap::new(),
        }
    }

    /// Places what can be placed of a submission.
    pub(super) fn place(&mut self, record: &'a Record) {
        let (fleet, now) = (self.fleet, self.known.now);
        let wants_copy = |id, run: &Run| fleet.wants_copy(run.life, id, now);
        let mut gangs: Vec<Wanted<'a>> = Vec::new();
        let mut picker: Option<Picker> = None;
        for_each_due(record, self.wall_ms, wants_copy, |task, step| {
            let wanted = Wanted { record, task, step };
            if step.gang {
                gangs.push(Wanted { task: TaskId { index: 0, ..task }, ..wanted });
                return false;
            }
            let picked = self.pick(&mut picker, wanted);
            match picked {
                Some(seat) => self.take(&mut picker, wanted, seat),
                // No other task of the step fits either.
                None => self.leave(wanted),
            }
            picked.is_some()
        });
        for first in gangs {
            self.place_gang(first);
        }
    }

    fn pick(&mut self, picker: &mut Option<Picker>, wanted: Wanted<'a>) -> Option<usize> {
        let known = (self.known, self.wall_ms);
        Picker::pick(picker, &mut self.misfits, wanted, &self.seats, known)
            .or_else(|| self.last_resort(wanted))
    }

    fn take(&mut self, picker: &mut Option<Picker>, wanted: Wanted<'a>, seat: usize) {
        let Wanted { record, task, step } = wanted;
        self.seats[seat].take(step, task, self.known.interference);
        if let Some(picker) = picker {
            picker.took(wanted, &self.seats, seat, self.known);
        }
        let state = record.task(task);
        let attempt = state.map_or(0, |t| t.attempt) + 1;
        self.placed.push(Placed { task, attempt, life: self.seats[seat].id });
        if state.is_some_and(|t| t.runs.is_empty()) {
            self.tally(step, |tally| tally.started += 1);
        }
    }

    /// Notes that a task found no worker, and keeps room for it where it lasts.
    fn leave(&mut self, wanted: Wanted<'a>) {
        if wanted.step.lasting {
            let restarts = wanted.record.task(wanted.task).is_some_and(|t| t.attempt > 0);
            let patience = if restarts { Duration::ZERO } else { FIRST_START_PATIENCE };
            let waited = self.fleet.waited(wanted.task, self.known.now);
            if waited >= patience + STARVING {
                hold_room(wanted, &mut self.seats, Held::All);
            } else if waited >= patience {
                hold_room(wanted, &mut self.seats, Held::Short);
            }
            self.waiting.push((wanted.task, patience));
        }
        self.tally_waiting(wanted);
    }

    fn place_gang(&mut self, first: Wanted<'a>) {
        let members = place_gang(first, &mut self.seats, self.known, self.wall_ms);
        if members.is_empty() {
            return self.tally_waiting(first);
        }
        let started = u32::from(first.step.count);
        self.tally(first.step, |tally| tally.started += started);
        self.placed.extend(members);
    }

    /// Counts tasks that fill, by image.
    fn tally(&mut self, step: &'a Step, count: impl FnOnce(&mut Tally)) {
        if let Some(image) = step.image.as_deref().filter(|_| step.fills) {
            count(self.tallies.entry(image).or_default());
        }
    }

    /// Counts that tasks of a step, from this one on, wait for a worker though
    /// their submission can be in time.
    fn tally_waiting(&mut self, Wanted { record, task, step }: Wanted<'a>) {
        if !step.fills {
            return;
        }
        let tasks = &record.tasks[task.occurrence as usize][usize::from(task.step)];
        let rest = &tasks[usize::from(task.index)..];
        let waits = rest.iter().any(|t| !t.done && t.runs.is_empty())
            && prospect(record, self.wall_ms) == Prospect::Full;
        self.tally(step, |tally| tally.waiting += u32::from(waits));
    }

    /// The worker for one task of a submission of which nothing runs, though
    /// much of its service's room is free: it may be slowed there, but it doesn't
    /// stand still beside free room.
    fn last_resort(&self, wanted: Wanted<'_>) -> Option<usize> {
        let Wanted { record, task, step } = wanted;
        if !step.fills || wanted.is_patient(self.wall_ms) {
            return None;
        }
        let runs = record.tasks.iter().flatten().flatten().any(|t| !t.runs.is_empty())
            || self.placed.iter().rev().any(|p| p.task.submission == task.submission);
        if runs {
            return None;
        }
        let service = &record.policy.service;
        let of_service = self.seats.iter().filter(|s| s.life.worker.service == *service);
        let (mut free, mut whole) = (0, 0);
        for seat in of_service {
            free += u64::from(seat.free.cpu_millis);
            whole += u64::from(seat.life.worker.capacity.cpu_millis);
        }
        if free * 100 < whole * SLACK_PERCENT {
            return None;
        }
        best_seat_of(wanted, &self.seats, self.known, Borne::Anyhow)
    }
}

/// Keeps short tasks off the worker that will soonest have room for a lasting
/// one; else they would take each bit of room as it comes free.
pub(super) fn hold_room(wanted: Wanted<'_>, seats: &mut [Seat<'_>], held: Held) {
    let Wanted { record, task, step } = wanted;
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
