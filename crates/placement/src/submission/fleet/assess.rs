//! Decides whether a new submission of short tasks can be served in time.

use super::{
    super::{
        backlog::{Ask, Assessment, Competition, USEFUL_OBJECTIVES},
        planner::{Timing, objective_ms, precedes_new},
        routes::QueuePolicy,
        spec::{Step, Submission},
        state::{Record, SubmissionState},
    },
    Fleet,
};
use std::time::{Duration, Instant};

/// Quantile of the observed run times by which a chain is estimated. Refusals should err on
/// accepting, so it is below the median.
const WORK_QUANTILE: f64 = 0.3;

impl Fleet {
    /// Decides whether to accept a new submission, by the work that waits for room. The
    /// decision is recorded, so it must be carried out.
    pub fn assess(
        &mut self,
        state: &SubmissionState,
        submission: &Submission,
        policy: &QueuePolicy,
        now: Instant,
        wall_ms: u64,
    ) -> Assessment {
        let assessment = match Ask::of(submission, policy) {
            Some(ask) if self.load_policy.refuse_late && !self.is_resend(state, submission) => {
                self.assess_ask(state, ask, submission, policy, (now, wall_ms))
            }
            _ => Assessment::Accepted { backdated: Duration::ZERO },
        };
        if matches!(assessment, Assessment::Accepted { .. }) {
            self.backlog.record_accepted(submission.id, now);
        }
        assessment
    }

    fn is_resend(&self, state: &SubmissionState, submission: &Submission) -> bool {
        state.record(submission.id).is_some() || self.backlog.is_accepted(submission.id)
    }

    fn assess_ask(
        &mut self,
        state: &SubmissionState,
        mut ask: Ask<'_>,
        submission: &Submission,
        policy: &QueuePolicy,
        (now, wall_ms): (Instant, u64),
    ) -> Assessment {
        let mut competition = None;
        if self.backlog.may_refuse(&ask, now) {
            ask.work = self.expected_work(submission, ask.timing, now);
            let found = competition_of(state, &ask, wall_ms);
            let has_room = self.has_room(state, submission, policy, found.waiting, now);
            competition = (!has_room).then_some(found);
        }
        self.backlog.decide(&ask, competition, now)
    }

    /// Returns the expected time of the longest chain of tasks.
    fn expected_work(&self, submission: &Submission, timing: Timing, now: Instant) -> Duration {
        let factor = |step: &Step| {
            let image = step.image.as_deref().unwrap_or_default();
            self.run_times.factor(&submission.queue, image, WORK_QUANTILE, now)
        };
        let least = submission.steps.iter().filter_map(factor).reduce(f64::min);
        timing.chain.mul_f64(least.unwrap_or(1.0).min(1.0))
    }

    /// Returns whether the usable workers have room for the waiting tasks and the submission's
    /// first ones, or too few are usable to tell.
    fn has_room(
        &self,
        state: &SubmissionState,
        submission: &Submission,
        policy: &QueuePolicy,
        waiting: u32,
        now: Instant,
    ) -> bool {
        let due = submission.steps.iter().filter(|s| s.depends_on.is_empty());
        let wanted = waiting + due.clone().map(|s| u32::from(s.count)).sum::<u32>();
        let Some(widest) = due.max_by_key(|s| s.demand.cpu_millis) else { return true };
        let need = widest.reserved();
        let (mut known, mut usable, mut room) = (0, 0, 0);
        for (id, incarnation) in state.incarnations() {
            let worker = &incarnation.worker;
            if worker.service != policy.service || worker.draining {
                continue;
            }
            known += 1;
            if !self.view(id).is_some_and(|v| v.is_usable(now)) {
                continue;
            }
            usable += 1;
            let has_label = |label: &str| worker.labels.iter().any(|l| **l == *label);
            if widest.label.as_deref().is_none_or(has_label)
                && let Some(free) = worker.capacity.checked_sub(&incarnation.reserved)
            {
                let by = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
                let fitting = by(free.cpu_millis, need.cpu_millis);
                room += fitting.min(by(free.memory_mib, need.memory_mib)).min(wanted);
            }
        }
        room >= wanted || usable * 2 < known
    }
}

/// Counts the waiting tasks that compete with a submission.
fn competition_of(state: &SubmissionState, ask: &Ask<'_>, wall_ms: u64) -> Competition {
    let mut found = Competition::default();
    let own_objective_ms = wall_ms + u64::try_from(ask.timing.objective.as_millis()).unwrap_or(0);
    for record in state.open().filter(|r| r.spec.first_due_ms == 0) {
        let tasks = waiting_tasks(record, ask);
        if tasks == 0 {
            continue;
        }
        if precedes_new(record, wall_ms) {
            let is_sooner = record.begun || objective_ms(record) <= own_objective_ms;
            found.ahead += if is_sooner { tasks } else { 0 };
            found.in_front += tasks;
            found.largest = found.largest.max(tasks);
            found.waiting += tasks;
            continue;
        }
        let useful = Timing::of(&record.spec, &record.policy).objective * USEFUL_OBJECTIVES;
        if u128::from(wall_ms.saturating_sub(record.at_ms)) < useful.as_millis() {
            found.largest = found.largest.max(tasks);
            found.waiting += tasks;
            found.overdue += u32::from(!record.begun);
        }
    }
    found
}

/// Returns the number of tasks of a submission that compete with the new one and have no run.
/// Tasks that aren't due count only if the submission has not begun: as some of a begun one
/// become due, others begin and leave as many.
fn waiting_tasks(record: &Record, ask: &Ask<'_>) -> u32 {
    let steps = record.spec.steps.iter().enumerate();
    let competing = steps.filter(|(s, step)| {
        (!record.begun || record.is_due(0, *s)) && ask.competes_with(&record.spec.queue, step)
    });
    let waiting = |(s, _): (usize, &Step)| {
        let tasks = record.tasks.first().and_then(|steps| steps.get(s));
        let waits = tasks.into_iter().flatten().filter(|t| !t.done && t.runs.is_empty());
        u32::try_from(waits.count()).unwrap_or(u32::MAX)
    };
    competing.map(waiting).sum()
}
