//! Picks workers for the tasks of one step without looking at every worker for
//! every task: only the worker that was picked last has changed meanwhile.

use super::{
    super::spec::{Step, StepId},
    Known, Wanted, best_seat, best_seat_of,
    bin::{Borne, Seat},
};
use cyclamenloft_types::ServiceName;
use std::{cmp::Ordering, collections::BinaryHeap};

/// A worker that fits, by its score; the lowest is the greatest.
struct Candidate {
    score: f64,
    seat: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        other.score.total_cmp(&self.score).then(other.seat.cmp(&self.seat))
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

/// A shape of tasks that found no worker in this round.
struct Misfit {
    service: ServiceName,
    step: Step,
    /// Also workers that bear it badly were tried.
    tried_all: bool,
}

impl Misfit {
    /// Whether a step needs at least what this one did: workers only get fuller
    /// during a round.
    fn covers(&self, Wanted { record, step, .. }: Wanted<'_>, patient: bool) -> bool {
        self.service == record.policy.service
            && (self.tried_all || patient)
            && self.step.fills == step.fills
            && self.step.lasting == step.lasting
            && self.step.image == step.image
            && (self.step.label.is_none() || self.step.label == step.label)
            && self.step.max_per_worker == 0
            && self.step.demand.fits_in(&step.demand)
    }
}

/// What found no worker in this round.
#[derive(Default)]
pub(super) struct Misfits(Vec<Misfit>);

impl Misfits {
    fn covers(&self, wanted: Wanted<'_>, patient: bool) -> bool {
        self.0.iter().any(|m| m.covers(wanted, patient))
    }

    fn note(&mut self, Wanted { record, step, .. }: Wanted<'_>, tried_all: bool) {
        // Who may run an advised step differs from step to step.
        if record.policy.advising.is_none() {
            let (service, step) = (record.policy.service.clone(), step.clone());
            self.0.push(Misfit { service, step, tried_all });
        }
    }
}

/// The workers that fit the tasks of one step.
pub(super) struct Picker {
    step: StepId,
    candidates: BinaryHeap<Candidate>,
}

impl Picker {
    fn new(wanted: Wanted<'_>, seats: &[Seat<'_>], known: Known<'_>) -> Self {
        let candidates = (0..seats.len()).filter_map(|i| candidate(wanted, seats, i, known));
        Self { step: wanted.task.step_id(), candidates: candidates.collect() }
    }

    /// Picks the best worker for a task; the one that was picked before has to
    /// have taken its task.
    pub(super) fn pick(
        picker: &mut Option<Self>,
        misfits: &mut Misfits,
        wanted: Wanted<'_>,
        seats: &[Seat<'_>],
        (known, wall_ms): (Known<'_>, u64),
    ) -> Option<usize> {
        let patient = wanted.is_patient(wall_ms);
        let state = wanted.record.task(wanted.task);
        // A task with a run or a failure may not go everywhere.
        if state.is_some_and(|t| !t.runs.is_empty() || t.failed_on.is_some()) {
            return best_seat(wanted, seats, known, wall_ms);
        }
        if misfits.covers(wanted, patient) {
            return None;
        }
        if picker.as_ref().is_none_or(|p| p.step != wanted.task.step_id()) {
            *picker = Some(Self::new(wanted, seats, known));
        }
        let best = picker.as_mut().and_then(|p| p.best(wanted, seats, known));
        let alone = || best_seat_of(wanted, seats, known, Borne::Alone);
        let found = best.or_else(|| (!patient).then(alone)?);
        if found.is_none() {
            misfits.note(wanted, !patient);
        }
        found
    }

    /// The best candidate, as it is now: a task that was placed by another way
    /// may have changed it.
    fn best(&mut self, wanted: Wanted<'_>, seats: &[Seat<'_>], known: Known<'_>) -> Option<usize> {
        while let Some(before) = self.candidates.pop() {
            match candidate(wanted, seats, before.seat, known) {
                Some(c) if c.score > before.score => self.candidates.push(c),
                Some(c) => return Some(c.seat),
                None => {}
            }
        }
        None
    }

    /// Notes that the worker has taken a task of the step.
    pub(super) fn took(
        &mut self,
        wanted: Wanted<'_>,
        seats: &[Seat<'_>],
        seat: usize,
        known: Known<'_>,
    ) {
        self.candidates.extend(candidate(wanted, seats, seat, known));
    }
}

fn candidate(
    wanted: Wanted<'_>,
    seats: &[Seat<'_>],
    at: usize,
    known: Known<'_>,
) -> Option<Candidate> {
    let seat = &seats[at];
    let suits = wanted.suits(seat, known, Borne::Wholly);
    suits.then(|| Candidate { score: wanted.score(seat, known), seat: at })
}
