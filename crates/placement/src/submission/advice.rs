//! Advice: for some queues a policy allows only some workers to run a step, and
//! only an advisor outside knows which. It answers slowly and one call at a
//! time, and its tickets expire, so the leader asks about the workers that have
//! room, and remembers the answers for the lives of those workers.

use super::{
    spec::StepId,
    state::{LifeId, SubmissionState},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// What a ticket must still be valid for when a run is placed: a commit, and a
/// call between failure domains that is tried again once.
const START_MARGIN: Duration = Duration::from_millis(600);

/// How an advisor answers for a queue, as the operator states it.
pub use super::routes::Advising;

/// What the advisor has said on one step.
#[derive(Clone, Debug, Default)]
struct Answers {
    tickets: BTreeMap<LifeId, (Box<str>, Instant)>,
    refused: BTreeSet<LifeId>,
}

/// A question for the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// The lives that it is asked about, the most wanted first.
    pub lives: Vec<LifeId>,
    /// How the advisor answers.
    pub advising: Advising,
}

/// Where a worker stands with the advisor, for one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may run the step, by a ticket that is valid for long enough.
    Admitted,
    /// It may run the step, but its ticket has expired or soon will.
    Expired,
    /// It may not run the step.
    Refused,
    /// The advisor wasn't asked.
    Unknown,
}

/// What the advisor has said under this leader.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    steps: BTreeMap<StepId, Answers>,
}

impl Advice {
    /// Where a life stands for a step.
    #[must_use]
    pub fn standing(&self, step: StepId, life: LifeId, now: Instant) -> Standing {
        let Some(answers) = self.steps.get(&step) else { return Standing::Unknown };
        match answers.tickets.get(&life) {
            Some((_, until)) if now + START_MARGIN < *until => Standing::Admitted,
            Some(_) => Standing::Expired,
            None if answers.refused.contains(&life) => Standing::Refused,
            None => Standing::Unknown,
        }
    }

    /// The ticket for starts of a step on a life, while it is valid.
    #[must_use]
    pub fn ticket(&self, step: StepId, life: LifeId, now: Instant) -> Option<&str> {
        let (text, until) = self.steps.get(&step)?.tickets.get(&life)?;
        (now < *until).then_some(&**text)
    }

    /// Takes the advisor's answer to a question: the lives with their tickets,
    /// which are valid until `until`.
    pub fn note(
        &mut self,
        question: &Question,
        approved: impl IntoIterator<Item = (LifeId, Box<str>)>,
        until: Instant,
    ) {
        let answers = self.steps.entry(question.step).or_default();
        answers.refused.extend(&question.lives);
        for (life, ticket) in approved {
            answers.refused.remove(&life);
            answers.tickets.insert(life, (ticket, until));
        }
    }

    /// Notes that a worker did not take a ticket: the advisor is asked again.
    pub fn drop_ticket(&mut self, step: StepId, life: LifeId, now: Instant) {
        let answers = self.steps.get_mut(&step);
        if let Some((_, until)) = answers.and_then(|a| a.tickets.get_mut(&life)) {
            *until = now;
        }
    }

    /// Forgets what concerns submissions and lives that are over.
    pub(super) fn retain(&mut self, state: &SubmissionState) {
        let open = |step: &StepId| state.open().any(|r| r.spec.id == step.submission);
        self.steps.retain(|step, _| open(step));
        for answers in self.steps.values_mut() {
            answers.tickets.retain(|life, _| state.life(*life).is_some());
            answers.refused.retain(|life| state.life(*life).is_some());
        }
    }
}
