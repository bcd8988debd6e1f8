//! Answers of the external advisor.
//!
//! For some queues a policy allows only some workers to run a step, and only the
//! advisor knows which. It answers slowly, one call at a time, and its tickets
//! expire. The leader therefore asks only about workers that have room, and
//! caches the answers for each incarnation of a worker.

use super::{
    spec::StepId,
    state::{IncarnationId, SubmissionState},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Time for which a ticket must still be valid when a run is placed. It covers
/// a commit, and a call between failure domains that is retried once.
const START_MARGIN: Duration = Duration::from_millis(600);

/// Timing of a queue's advisor, as the operator states it.
pub use super::routes::AdvisorTiming;

/// The advisor's answers about one step.
#[derive(Clone, Debug, Default)]
struct Answers {
    tickets: BTreeMap<IncarnationId, (Box<str>, Instant)>,
    refused: BTreeSet<IncarnationId>,
}

/// A question for the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The step to run.
    pub step: StepId,
    /// The incarnations that the question is about, the most suitable first.
    pub incarnations: Vec<IncarnationId>,
    /// Timing of the advisor.
    pub timing: AdvisorTiming,
}

/// Status of a worker's ticket for one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketStatus {
    /// The worker may run the step, and its ticket stays valid for longer than
    /// `START_MARGIN`.
    Valid,
    /// The worker may run the step, but its ticket has expired or will soon.
    Expired,
    /// The worker may not run the step.
    Refused,
    /// The advisor has not been asked about the worker.
    NotAsked,
}

/// The advisor's answers to this leader.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    steps: BTreeMap<StepId, Answers>,
}

impl Advice {
    /// Returns the status of an incarnation's ticket for a step.
    #[must_use]
    pub fn ticket_status(
        &self,
        step: StepId,
        incarnation: IncarnationId,
        now: Instant,
    ) -> TicketStatus {
        let Some(answers) = self.steps.get(&step) else { return TicketStatus::NotAsked };
        match answers.tickets.get(&incarnation) {
            Some((_, until)) if now + START_MARGIN < *until => TicketStatus::Valid,
            Some(_) => TicketStatus::Expired,
            None if answers.refused.contains(&incarnation) => TicketStatus::Refused,
            None => TicketStatus::NotAsked,
        }
    }

    /// Returns the ticket for starts of a step on an incarnation, if it is still
    /// valid.
    #[must_use]
    pub fn ticket(&self, step: StepId, incarnation: IncarnationId, now: Instant) -> Option<&str> {
        let (text, until) = self.steps.get(&step)?.tickets.get(&incarnation)?;
        (now < *until).then_some(&**text)
    }

    /// Records the advisor's answer to a question: the approved incarnations
    /// with their tickets, which are valid until `until`.
    pub fn record_answer(
        &mut self,
        question: &Question,
        approved: impl IntoIterator<Item = (IncarnationId, Box<str>)>,
        until: Instant,
    ) {
        let answers = self.steps.entry(question.step).or_default();
        answers.refused.extend(&question.incarnations);
        for (incarnation, ticket) in approved {
            answers.refused.remove(&incarnation);
            answers.tickets.insert(incarnation, (ticket, until));
        }
    }

    /// Marks a ticket as expired because the worker rejected it, so that the
    /// advisor is asked again.
    pub fn drop_ticket(&mut self, step: StepId, incarnation: IncarnationId, now: Instant) {
        let answers = self.steps.get_mut(&step);
        if let Some((_, until)) = answers.and_then(|a| a.tickets.get_mut(&incarnation)) {
            *until = now;
        }
    }

    /// Removes answers about submissions and incarnations that have ended.
    pub(super) fn retain(&mut self, state: &SubmissionState) {
        let open = |step: &StepId| state.open().any(|r| r.spec.id == step.submission);
        self.steps.retain(|step, _| open(step));
        for answers in self.steps.values_mut() {
            answers.tickets.retain(|incarnation, _| state.incarnation(*incarnation).is_some());
            answers.refused.retain(|incarnation| state.incarnation(*incarnation).is_some());
        }
    }
}
