//! Which task goes to which worker: queues by priority and objective, steps in
//! their order, room by processors, memory and accelerators.

use super::{
    command::Placed,
    fleet::{Fleet, runs_on},
    interference::Interference,
    pacing::NEGLIGIBLE,
    spec::{Step, SubmissionId, TaskId},
    state::{Life, LifeId, Record, Run, SubmissionState},
};
use cyclamenloft_types::Resources;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Most runs that one round places, so that one entry of the log stays small.
pub const MAX_PLACED: usize = 256;
/// Share of its processors that a lasting task uses on average, as the users'
/// sheets state.
const LASTING_USE: f64 = 0.45;
/// Processor time that tasks which fill may ask for, beside what is left of a
/// worker: a little more than there is, since tasks wait for one another.
const FILL_DEPTH: f64 = 1.15;

/// Part of the estimated work that has to fit before the objective for a
/// submission to count as hopeful; estimates are off by half and more.
const HOPE_PERCENT: u64 = 70;
/// Time after which a task that fills is placed where it is borne worst, so that
/// it is at least slowed there rather than never started.
const PATIENCE_MS: u64 = 6_000;
/// Most runs that are moved in one round.
const MAX_MOVES: usize = 8;

/// What a lasting task of another image weighs in a placement, beside a
/// worker's busy share.
const STRANGER: f64 = 1.0;
/// What company of the same image weighs.
const FAMILIAR: f64 = 0.8;

/// Time after which a lasting task that waits comes first, and room is kept for it
/// from other lasting tasks too: less than what the users allow for a restart.
const STARVING: Duration = Duration::from_millis(1_500);

/// What it weighs that the task's last run failed on the worker: more than all
/// else, as its attempts are few.
const FAILED_THERE: f64 = 100.0;

/// From whom room is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    /// From short tasks, which would take each bit as it comes free.
    Short,
    /// From other lasting tasks too.
    All,
}

/// A worker as the planner fills it during one round.
#[derive(Clone)]
struct Seat<'a> {
    id: LifeId,
    life: &'a Life,
    free: Resources,
    /// Processor time that tasks which don't fill are likely to use.
    used: f64,
    /// Processor time that tasks which fill ask for.
    filled: f64,
    /// Serving tasks: image, what is left of the budget for tasks that fill, and
    /// the whole budget.
    victims: Vec<(&'a str, f64)>,
    /// Lasting tasks by image.
    lasting: BTreeMap<&'a str, u16>,
    /// Runs of each occurrence and step.
    spread: BTreeMap<(u64, u32, u16), u16>,
    /// One task at a time tells whether the worker works.
    probation: bool,
    probed: bool,
    /// What short tasks reserve.
    short: Resources,
    /// Room here is kept for a lasting task.
    held: Option<Held>,
}

impl<'a> Seat<'a> {
    fn new(
        state: &'a SubmissionState,
        fleet: &Fleet,
        id: LifeId,
        life: &'a Life,
        now: Instant,
    ) -> Self {
        let free = life.worker.capacity.checked_sub(&life.reserved).unwrap_or(Resources::ZERO);
        let view = fleet.view(id);
        let mut seat = Self {
            id,
            life,
            free,
            used: 0.0,
            filled: 0.0,
            victims: view.map_or_else(Vec::new, |v| {
                let victims = v.victims(state, now);
                victims.into_iter().map(|(image, victim)| (image, victim.budget())).collect()
            }),
            lasting: BTreeMap::new(),
            spread: BTreeMap::new(),
            probation: view.is_some_and(|v| v.health.on_probation()),
            probed: view.is_some_and(|v| v.is_probed(state)),
            short: Resources::ZERO,
            held: None,
        };
        for (task, step) in runs_on(state, life) {
            seat.count(task, step, &fleet.interference);
        }
        seat
    }

    fn count(&mut self, task: TaskId, step: &'a Step, known: &Interference) {
        let cpu = f64::from(step.demand.cpu_millis);
        match step {
            Step { fills: true, .. } => self.filled += cpu,
            Step { lasting: true, .. } => self.used += cpu * LASTING_USE,
            _ => {
                self.used += cpu;
                self.short = self.short.checked_add(&step.demand).unwrap_or(self.short);
            }
        }
        if step.lasting {
            *self.lasting.entry(step.image.as_deref().unwrap_or_default()).or_default() += 1;
        }
        if step.fills {
            let index = known.known(step.image.as_deref());
            let part = cpu / self.capacity();
            for (image, left) in &mut self.victims {
                *left -= known.weight(image, index) * part;
            }
        }
        *self.spread.entry((task.submission, task.occurrence, task.step)).or_default() += 1;
    }

    fn capacity(&self) -> f64 {
        f64::from(self.life.worker.capacity.cpu_millis.max(1))
    }

    fn of_step(&self, task: TaskId) -> u16 {
        self.spread.get(&(task.submission, task.occurrence, task.step)).copied().unwrap_or(0)
    }

    /// How strange a lasting task would be among those that are here. Where all
    /// are of one image, the images that disturb it are few, and the others may
    /// fill the worker without harm.
    fn strangeness(&self, step: &Step) -> f64 {
        let image = step.image.as_deref().unwrap_or_default();
        let same = self.lasting.get(image).copied().unwrap_or(0);
        let all: u16 = self.lasting.values().sum();
        f64::from(all - same) * STRANGER - f64::from(same.min(1)) * FAMILIAR
    }

    /// What the task would add to the tails here, and whether they bear it.
    fn pressure(&self, step: &Step, known: &Interference) -> (f64, bool) {
        let index = known.known(step.image.as_deref());
        let part = f64::from(step.demand.cpu_millis) / self.capacity();
        let (mut sum, mut borne) = (0.0, true);
        for (image, left) in &self.victims {
            let add = known.weight(image, index) * part;
            if add >= NEGLIGIBLE {
                borne &= add <= *left;
                sum += add / left.max(0.1);
            }
        }
        (sum, borne)
    }

    fn fits(&self, step: &Step, task: TaskId, known: &Interference, patient: bool) -> bool {
        let apart = step.max_per_worker == 0 || self.of_step(task) < step.max_per_worker;
        let labelled = step
            .label
            .as_ref()
            .is_none_or(|label| self.life.worker.labels.iter().any(|l| l == label));
        let filled = !step.fills
            || self.has_fill_room(step)
                && (self.pressure(step, known).1 || (!patient && self.filled == 0.0));
        let proven = !self.probation || !self.probed;
        let kept = match self.held {
            Some(Held::All) => !step.fills,
            Some(Held::Short) => !step.fills && !step.lasting,
            None => false,
        };
        !kept && apart && labelled && filled && proven && step.reserved().fits_in(&self.free)
    }

    fn has_fill_room(&self, step: &Step) -> bool {
        let left = self.capacity() - self.used;
        self.filled == 0.0 || self.filled + f64::from(step.demand.cpu_millis) <= left * FILL_DEPTH
    }

    /// How well the task would be placed here; the lowest wins.
    fn score(&self, step: &Step, task: TaskId, known: &Interference) -> f64 {
        let far = step.rack.as_ref().is_some_and(|rack| *rack != self.life.worker.rack);
        let far = if far { 4.0 } else { 0.0 };
        let cpu = f64::from(step.demand.cpu_millis);
        let base = if step.fills {
            let busy = (self.filled + cpu) / (self.capacity() - self.used).max(1.0);
            busy + self.pressure(step, known).0
        } else if step.lasting {
            let busy = (self.used + cpu * LASTING_USE + self.filled * 0.5) / self.capacity();
            busy + f64::from(self.of_step(task)) * 0.5 + self.strangeness(step)
        } else {
            // A short task takes the tightest room, so that wide room stays for
            // lasting tasks.
            f64::from(self.free.cpu_millis) / self.capacity()
        };
        base + far
    }

    fn take(&mut self, step: &'a Step, task: TaskId, known: &Interference) {
        self.free = self.free.checked_sub(&step.reserved()).unwrap_or(Resources::ZERO);
        self.count(task, step, known);
        self.probed = true;
    }
}

/// The runs to place now, in the order of their importance.
#[must_use]
pub fn plan(state: &SubmissionState, fleet: &mut Fleet, now: Instant, wall_ms: u64) -> Vec<Placed> {
    let mut seats = seats(state, fleet, now);
    let mut waiting = Vec::new();
    let starving = fleet.starving(STARVING, now);
    let mut records: Vec<&Record> = state.open().collect();
    records.sort_by_cached_key(|r| rank(r, &starving, wall_ms));
    let mut placed = Vec::new();
    for record in records {
        place_record(record, &mut seats, fleet, (now, wall_ms), &mut placed, &mut waiting);
        if placed.len() >= MAX_PLACED {
            break;
        }
    }
    fleet.note_waiting(&waiting, now);
    placed
}

fn seats<'a>(state: &'a SubmissionState, fleet: &Fleet, now: Instant) -> Vec<Seat<'a>> {
    let usable = |(id, life): &(LifeId, &Life)| {
        !life.worker.draining && fleet.view(*id).is_some_and(|v| v.is_usable(now))
    };
    let seat = |(id, life)| Seat::new(state, fleet, id, life, now);
    state.lives().filter(usable).map(seat).collect()
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
            let found = best_seat_of(record, step, task, &seats, &fleet.interference, true);
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

/// Order of submissions: by priority; lasting ones that starve, the oldest first;
/// those that can meet their objective, by the objective; the others.
fn rank(
    record: &Record,
    starving: &BTreeSet<SubmissionId>,
    wall_ms: u64,
) -> (u8, bool, Prospect, u64, u64) {
    let (priority, seq) = (record.policy.priority, record.seq);
    if starving.contains(&record.spec.id) {
        return (priority, false, Prospect::Full, record.at_ms, seq);
    }
    if record.spec.steps.iter().any(|s| s.lasting) {
        // It earns for as long as it runs, and has no objective to miss.
        return (priority, true, Prospect::Late, record.at_ms, seq);
    }
    (priority, true, prospect(record, wall_ms), objective_ms(record), seq)
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

/// The tasks that are due and have no worker, the most important first.
#[must_use]
pub fn waiting(state: &SubmissionState, fleet: &Fleet, now: Instant, wall_ms: u64) -> Vec<Waiting> {
    let seats = seats(state, fleet, now);
    let widest = seats.iter().map(|s| s.free).max_by_key(|f| f.cpu_millis);
    let widest_free = widest.unwrap_or(Resources::ZERO);
    let starving = fleet.starving(STARVING, now);
    let mut records: Vec<&Record> = state.open().collect();
    records.sort_by_cached_key(|r| rank(r, &starving, wall_ms));
    let mut waiting = Vec::new();
    for record in records {
        for_each_due(
            record,
            wall_ms,
            |_, _, _| false,
            |task, step| {
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
    waiting
}

/// Calls `take` for each task that is due and doesn't run, or whose only run
/// wants a copy; where it is false,
/// the rest of the step is passed over.
fn for_each_due<'a>(
    record: &'a Record,
    wall_ms: u64,
    wants_copy: impl Fn(TaskId, &Step, &Run) -> bool,
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
                    [only] => step.copies && wants_copy(id, step, only),
                    _ => false,
                };
                if waits && !take(id, step) {
                    break;
                }
            }
        }
    }
}

/// What an open submission can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prospect {
    /// Its full payoff, by the client's own estimates.
    Full,
    /// Less, as it will be late.
    Late,
}

/// When the submission's answer stops being worth its full payoff, by the
/// client's own estimates; milliseconds since 1970.
#[must_use]
pub fn objective_ms(record: &Record) -> u64 {
    let stretched = longest_chain_ms(record, |_| true)
        .saturating_mul(u64::from(record.policy.slack_millis))
        / 1000;
    record.at_ms + stretched + u64::from(record.policy.target_ms)
}

/// What the submission can still earn at `wall_ms`.
#[must_use]
pub fn prospect(record: &Record, wall_ms: u64) -> Prospect {
    let left = longest_chain_ms(record, |step| record.left[0][step] > 0);
    let needed = left.saturating_mul(HOPE_PERCENT) / 100;
    if wall_ms + needed <= objective_ms(record) { Prospect::Full } else { Prospect::Late }
}

/// The longest chain of estimates over the steps that count.
fn longest_chain_ms(record: &Record, counts: impl Fn(usize) -> bool) -> u64 {
    let mut chain: Vec<u64> = Vec::with_capacity(record.spec.steps.len());
    for (i, step) in record.spec.steps.iter().enumerate() {
        let before = step.depends_on.iter().filter_map(|d| chain.get(usize::from(*d))).max();
        let own = if counts(i) { u64::from(step.estimate_ms) } else { 0 };
        chain.push(before.copied().unwrap_or(0) + own);
    }
    chain.into_iter().max().unwrap_or(0)
}

fn place_record<'a>(
    record: &'a Record,
    seats: &mut [Seat<'a>],
    fleet: &Fleet,
    (now, wall_ms): (Instant, u64),
    placed: &mut Vec<Placed>,
    waiting: &mut Vec<TaskId>,
) {
    let known = &fleet.interference;
    let mut gangs: Vec<TaskId> = Vec::new();
    let wants_copy = |id, step: &Step, run: &Run| fleet.wants_copy(run.life, id, step, now);
    for_each_due(record, wall_ms, wants_copy, |id, step| {
        if step.gang {
            gangs.push(TaskId { index: 0, ..id });
            return false;
        }
        let Some(seat) = best_seat(record, step, id, seats, known, wall_ms) else {
            if step.lasting {
                let held = if fleet.waited(id, now) >= STARVING { Held::All } else { Held::Short };
                hold_room(record, step, id, seats, held);
                waiting.push(id);
            }
            // No other task of the step fits either.
            return false;
        };
        seat.take(step, id, known);
        let attempt = record.task(id).map_or(0, |t| t.attempt) + 1;
        placed.push(Placed { task: id, attempt, life: seat.id });
        true
    });
    for first in gangs {
        place_gang(record, first, seats, known, wall_ms, placed);
    }
}

/// Places all tasks of a gang at once, on one rack where that is wanted and
/// possible; where there is no room for all, none is placed, and the widest
/// workers are kept free of short tasks.
fn place_gang<'a>(
    record: &'a Record,
    first: TaskId,
    seats: &mut [Seat<'a>],
    known: &Interference,
    wall_ms: u64,
    placed: &mut Vec<Placed>,
) {
    let (k, s) = (first.occurrence as usize, usize::from(first.step));
    let (step, tasks) = (&record.spec.steps[s], &record.tasks[k][s]);
    if tasks.iter().any(|t| !t.runs.is_empty()) {
        // Members of the last try are still being stopped.
        return;
    }
    let attempt = tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1;
    let mut racks: Vec<Option<&str>> = vec![None];
    if step.same_rack {
        let named: BTreeSet<&str> = seats.iter().map(|s| &*s.life.worker.rack).collect();
        racks.splice(0..0, named.into_iter().map(Some));
    }
    for rack in racks {
        let mut tried: Vec<Seat<'a>> = seats
            .iter()
            .filter(|s| rack.is_none_or(|rack| *s.life.worker.rack == *rack))
            .cloned()
            .collect();
        let mut members = Vec::with_capacity(tasks.len());
        for index in 0..step.count {
            let id = TaskId { index, ..first };
            let Some(seat) = best_seat(record, step, id, &mut tried, known, wall_ms) else { break };
            seat.take(step, id, known);
            members.push(Placed { task: id, attempt, life: seat.id });
        }
        if members.len() == tasks.len() {
            for seat in tried {
                if let Some(own) = seats.iter_mut().find(|s| s.id == seat.id) {
                    *own = seat;
                }
            }
            placed.extend(members);
            return;
        }
    }
    for _ in 0..step.count {
        hold_room(record, step, first, seats, Held::Short);
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

fn best_seat<'s, 'a>(
    record: &Record,
    step: &Step,
    task: TaskId,
    seats: &'s mut [Seat<'a>],
    known: &Interference,
    wall_ms: u64,
) -> Option<&'s mut Seat<'a>> {
    let patient = wall_ms < record.at_ms + PATIENCE_MS;
    best_seat_of(record, step, task, seats, known, true)
        .or_else(|| (!patient).then(|| best_seat_of(record, step, task, seats, known, false))?)
        .map(|i| &mut seats[i])
}

fn best_seat_of(
    record: &Record,
    step: &Step,
    task: TaskId,
    seats: &[Seat<'_>],
    known: &Interference,
    patient: bool,
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    let failed_on = record.task(task).and_then(|t| t.failed_on);
    let runs_on = |life| record.task(task).is_some_and(|t| t.runs.iter().any(|r| r.life == life));
    for (i, seat) in seats.iter().enumerate() {
        if runs_on(seat.id) {
            continue;
        }
        if seat.life.worker.service != record.policy.service
            || !seat.fits(step, task, known, patient)
        {
            continue;
        }
        let again = if failed_on == Some(seat.id) { FAILED_THERE } else { 0.0 };
        let score = seat.score(step, task, known) + again;
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, i));
        }
    }
    best.map(|(_, i)| i)
}
