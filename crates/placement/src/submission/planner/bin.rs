//! A worker as the planner fills it during one round.

use super::super::{
    fleet::{Fleet, runs_on},
    interference::Interference,
    pacing::NEGLIGIBLE,
    spec::{Step, TaskId},
    state::{Life, LifeId, SubmissionState},
};
use cyclamenloft_types::Resources;
use std::{collections::BTreeMap, time::Instant};

/// Share of its processors that a lasting task uses on average, as the users'
/// sheets state.
const LASTING_USE: f64 = 0.45;
/// Processor time that tasks which fill may ask for, beside what is left of a
/// worker: a little more than there is, since tasks wait for one another.
const FILL_DEPTH: f64 = 1.15;
/// What a lasting task of another image weighs in a placement, beside a
/// worker's busy share.
const STRANGER: f64 = 1.0;
/// What company of the same image weighs.
const FAMILIAR: f64 = 0.8;

/// From whom room is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Held {
    /// From short tasks, which would take each bit as it comes free.
    Short,
    /// From other lasting tasks too.
    All,
}

/// What serving tasks have to bear for a task that fills to go beside them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Borne {
    /// All that it adds to their tails.
    Wholly,
    /// That, or nothing else fills the worker, so that it alone is slowed.
    Alone,
    /// Nothing: it may be held for as long as their load is high.
    Anyhow,
}

/// A worker as the planner fills it during one round.
#[derive(Clone)]
pub(super) struct Seat<'a> {
    pub(super) id: LifeId,
    pub(super) life: &'a Life,
    pub(super) free: Resources,
    /// Processor time that tasks which don't fill are likely to use.
    pub(super) used: f64,
    /// Processor time that tasks which fill ask for.
    pub(super) filled: f64,
    /// Serving tasks: image, and what is left of the budget for tasks that fill.
    pub(super) victims: Vec<(&'a str, f64)>,
    /// Lasting tasks by image.
    pub(super) lasting: BTreeMap<&'a str, u16>,
    /// Runs of each occurrence and step.
    pub(super) spread: BTreeMap<(u64, u32, u16), u16>,
    /// One task at a time tells whether the worker works.
    pub(super) probation: bool,
    pub(super) probed: bool,
    /// What short tasks reserve.
    pub(super) short: Resources,
    /// Room here is kept for a lasting task.
    pub(super) held: Option<Held>,
}

impl<'a> Seat<'a> {
    pub(super) fn new(
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
                victims
                    .into_iter()
                    .map(|(image, victim)| (image, victim.lasting_budget()))
                    .collect()
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

    pub(super) fn count(&mut self, task: TaskId, step: &'a Step, known: &Interference) {
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

    pub(super) fn capacity(&self) -> f64 {
        f64::from(self.life.worker.capacity.cpu_millis.max(1))
    }

    pub(super) fn of_step(&self, task: TaskId) -> u16 {
        self.spread.get(&(task.submission, task.occurrence, task.step)).copied().unwrap_or(0)
    }

    /// How strange a lasting task would be among those that are here. Where all
    /// are of one image, the images that disturb it are few, and the others may
    /// fill the worker without harm.
    pub(super) fn strangeness(&self, step: &Step) -> f64 {
        let image = step.image.as_deref().unwrap_or_default();
        let same = self.lasting.get(image).copied().unwrap_or(0);
        let all: u16 = self.lasting.values().sum();
        f64::from(all - same) * STRANGER - f64::from(same.min(1)) * FAMILIAR
    }

    /// What the task would add to the tails here, and whether they bear it.
    pub(super) fn pressure(&self, step: &Step, known: &Interference) -> (f64, bool) {
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

    pub(super) fn fits(
        &self,
        step: &Step,
        task: TaskId,
        known: &Interference,
        borne: Borne,
    ) -> bool {
        let apart = step.max_per_worker == 0 || self.of_step(task) < step.max_per_worker;
        let labelled = step
            .label
            .as_ref()
            .is_none_or(|label| self.life.worker.labels.iter().any(|l| l == label));
        let bears = || match borne {
            Borne::Wholly => self.pressure(step, known).1,
            Borne::Alone => self.filled == 0.0 || self.pressure(step, known).1,
            Borne::Anyhow => true,
        };
        let filled = !step.fills || self.has_fill_room(step) && bears();
        let proven = !self.probation || !self.probed;
        let kept = match self.held {
            Some(Held::All) => !step.fills,
            Some(Held::Short) => !step.fills && !step.lasting,
            None => false,
        };
        !kept && apart && labelled && filled && proven && step.reserved().fits_in(&self.free)
    }

    /// How many tasks of the step have room here.
    pub(super) fn room_for(&self, step: &Step, task: TaskId) -> usize {
        let apart = match step.max_per_worker {
            0 => usize::from(u16::MAX),
            most => usize::from(most.saturating_sub(self.of_step(task))),
        };
        let mut free = self.free;
        let takes = |_: &usize| match free.checked_sub(&step.reserved()) {
            Some(left) => {
                free = left;
                true
            }
            None => false,
        };
        (0..apart.min(usize::from(step.count))).take_while(takes).count()
    }

    pub(super) fn has_fill_room(&self, step: &Step) -> bool {
        let left = self.capacity() - self.used;
        self.filled == 0.0 || self.filled + f64::from(step.demand.cpu_millis) <= left * FILL_DEPTH
    }

    /// How well the task would be placed here; the lowest wins.
    pub(super) fn score(&self, step: &Step, task: TaskId, known: &Interference) -> f64 {
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

    pub(super) fn take(&mut self, step: &'a Step, task: TaskId, known: &Interference) {
        self.free = self.free.checked_sub(&step.reserved()).unwrap_or(Resources::ZERO);
        self.count(task, step, known);
        self.probed = true;
    }
}

/// The workers that may get work now.
pub(super) fn seats<'a>(state: &'a SubmissionState, fleet: &Fleet, now: Instant) -> Vec<Seat<'a>> {
    let usable = |(id, life): &(LifeId, &Life)| {
        let may_fill = !life.worker.draining && !fleet.is_emptied(life);
        may_fill && fleet.view(*id).is_some_and(|v| v.is_usable(now))
    };
    let seat = |(id, life)| Seat::new(state, fleet, id, life, now);
    state.lives().filter(usable).map(seat).collect()
}
