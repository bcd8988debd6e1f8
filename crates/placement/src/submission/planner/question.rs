//! The next question for the advisor: about workers that could run a waiting
//! task, in the order in which tasks are placed.

use super::{
    super::{
        advice::{Advice, Question, TicketStatus},
        fleet::Fleet,
        spec::{Step, StepId, TaskId},
        state::{IncarnationId, Record, SubmissionState},
    },
    bin::{Bin, BudgetCheck, bins},
    for_each_due, ranked,
};
use std::{collections::BTreeMap, time::Instant};

/// Number of workers that a call may name even if fewer tasks wait: as many as
/// the users' objectives allow for.
const MIN_BATCH: usize = 30;
/// Maximum number of workers that one call may name, as the users' interface
/// states.
pub const MAX_BATCH: usize = 100;

/// Returns the next question for the advisor, if one is due.
#[must_use]
pub fn question(
    state: &SubmissionState,
    fleet: &Fleet,
    now: Instant,
    wall_ms: u64,
) -> Option<Question> {
    if !state.open().any(|r| r.policy.advisor.is_some()) {
        return None;
    }
    let bins = bins(state, fleet, now);
    let records = ranked(state, fleet, now, wall_ms);
    records.into_iter().find_map(|record| question_of(record, &bins, fleet, now, wall_ms))
}

fn question_of(
    record: &Record,
    bins: &[Bin<'_>],
    fleet: &Fleet,
    now: Instant,
    wall_ms: u64,
) -> Option<Question> {
    let timing = record.policy.advisor?;
    let mut waiting: BTreeMap<StepId, (TaskId, &Step, usize)> = BTreeMap::new();
    let no_copies = |_, _: &_| false;
    for_each_due(record, wall_ms, no_copies, |task, step| {
        waiting.entry(task.step_id()).or_insert((task, step, 0)).2 += 1;
        true
    });
    waiting.into_iter().find_map(|(id, (task, step, count))| {
        let incarnations = to_ask(record, (id, task, step), count, bins, fleet, now);
        (!incarnations.is_empty()).then_some(Question { step: id, incarnations, timing })
    })
}

/// Returns the incarnations to ask about. There are none if those with valid
/// tickets have room for all waiting tasks.
fn to_ask(
    record: &Record,
    (id, task, step): (StepId, TaskId, &Step),
    waiting: usize,
    bins: &[Bin<'_>],
    fleet: &Fleet,
    now: Instant,
) -> Vec<IncarnationId> {
    let ticket_status = |advice: &Advice, bin: &Bin<'_>| advice.ticket_status(id, bin.id, now);
    let interference = &fleet.interference;
    let fitting = || {
        let serves = |b: &&Bin<'_>| b.incarnation.worker.service == record.policy.service;
        bins.iter().filter(serves).filter(|b| b.fits(step, task, interference, BudgetCheck::Strict))
    };
    let allowed = fitting().filter(|b| ticket_status(&fleet.advice, b) == TicketStatus::Valid);
    let room: usize = allowed.map(|b| b.room_for(step, task)).sum();
    if room >= waiting {
        return Vec::new();
    }
    let mut asked: Vec<(bool, f64, IncarnationId)> = fitting()
        .filter_map(|b| match ticket_status(&fleet.advice, b) {
            TicketStatus::Expired => Some((false, b.score(step, task, interference), b.id)),
            TicketStatus::NotAsked => Some((true, b.score(step, task, interference), b.id)),
            TicketStatus::Valid | TicketStatus::Refused => None,
        })
        .collect();
    // Workers that are known to be allowed come first: they only need new tickets.
    asked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
    asked.truncate((waiting - room).clamp(MIN_BATCH, MAX_BATCH));
    asked.into_iter().map(|(_, _, incarnation)| incarnation).collect()
}
