//! What the advisor is asked next: about the workers that could run a task that
//! waits for one, in the order in which tasks are placed.

use super::{
    super::{
        advice::{Advice, Question, Standing},
        fleet::Fleet,
        spec::{Step, StepId, TaskId},
        state::{LifeId, Record, SubmissionState},
    },
    bin::{Borne, Seat, seats},
    for_each_due, ranked,
};
use std::{collections::BTreeMap, time::Instant};

/// Workers that one call names at least: what the users' objectives allow for.
const USUAL_BATCH: usize = 30;
/// Workers that one call may name at most, as the users' interface states.
pub const LARGEST_BATCH: usize = 100;

/// The next question for the advisor, if one is due.
#[must_use]
pub fn question(
    state: &SubmissionState,
    fleet: &Fleet,
    now: Instant,
    wall_ms: u64,
) -> Option<Question> {
    if !state.open().any(|r| r.policy.advising.is_some()) {
        return None;
    }
    let seats = seats(state, fleet, now);
    let records = ranked(state, fleet, now, wall_ms);
    records.into_iter().find_map(|record| question_of(record, &seats, fleet, now, wall_ms))
}

fn question_of(
    record: &Record,
    seats: &[Seat<'_>],
    fleet: &Fleet,
    now: Instant,
    wall_ms: u64,
) -> Option<Question> {
    let advising = record.policy.advising?;
    let mut waiting: BTreeMap<StepId, (TaskId, &Step, usize)> = BTreeMap::new();
    let alone = |_, _: &_| false;
    for_each_due(record, wall_ms, alone, |task, step| {
        waiting.entry(task.step_id()).or_insert((task, step, 0)).2 += 1;
        true
    });
    waiting.into_iter().find_map(|(id, (task, step, count))| {
        let lives = unasked(record, (id, task, step), count, seats, fleet, now);
        (!lives.is_empty()).then_some(Question { step: id, lives, advising })
    })
}

/// The lives to ask about, where those with tickets have no room for the tasks
/// that wait.
fn unasked(
    record: &Record,
    (id, task, step): (StepId, TaskId, &Step),
    waiting: usize,
    seats: &[Seat<'_>],
    fleet: &Fleet,
    now: Instant,
) -> Vec<LifeId> {
    let standing = |advice: &Advice, seat: &Seat<'_>| advice.standing(id, seat.id, now);
    let known = &fleet.interference;
    let fitting = || {
        let serves = |s: &&Seat<'_>| s.life.worker.service == record.policy.service;
        seats.iter().filter(serves).filter(|s| s.fits(step, task, known, Borne::Wholly))
    };
    let admitted = fitting().filter(|s| standing(&fleet.advice, s) == Standing::Admitted);
    let room: usize = admitted.map(|s| s.room_for(step, task)).sum();
    if room >= waiting {
        return Vec::new();
    }
    let mut asked: Vec<(bool, f64, LifeId)> = fitting()
        .filter_map(|s| match standing(&fleet.advice, s) {
            Standing::Expired => Some((false, s.score(step, task, known), s.id)),
            Standing::Unknown => Some((true, s.score(step, task, known), s.id)),
            Standing::Admitted | Standing::Refused => None,
        })
        .collect();
    // Workers that the policy allows come first; only their tickets are new.
    asked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
    asked.truncate((waiting - room).clamp(USUAL_BATCH, LARGEST_BATCH));
    asked.into_iter().map(|(_, _, life)| life).collect()
}
