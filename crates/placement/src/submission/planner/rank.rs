//! The order in which submissions are placed.

use super::super::{
    routes::QueuePolicy,
    spec::{Submission, SubmissionId},
    state::Record,
};
use std::{collections::BTreeSet, time::Duration};

/// Percentage of the remaining estimated work that must fit before the objective
/// for a submission to count as on time. The clients' estimates are wrong by 50%
/// and more.
const FEASIBLE_WORK_PERCENT: u64 = 70;

/// Whether an open submission can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The submission can meet its objective, by the client's own estimates,
    /// and earns its full payoff.
    OnTime,
    /// The submission can't meet its objective and earns less than its full
    /// payoff.
    Late,
}

/// Returns the objective of the submission: the time after which its result is
/// no longer worth its full payoff, by the client's own estimates, in
/// milliseconds since the Unix epoch.
#[must_use]
pub fn objective_ms(record: &Record) -> u64 {
    let span = objective_span(&record.spec, &record.policy).as_millis();
    record.at_ms + u64::try_from(span).unwrap_or(u64::MAX)
}

/// Returns the time from acceptance to the objective.
fn objective_span(spec: &Submission, policy: &QueuePolicy) -> Duration {
    let chain = longest_chain_ms(spec, |_| true);
    let stretched = chain.saturating_mul(u64::from(policy.slack_millis)) / 1000;
    Duration::from_millis(stretched + u64::from(policy.target_ms))
}

/// Returns whether the submission can still meet its objective at `wall_ms`.
#[must_use]
pub fn timeliness(record: &Record, wall_ms: u64) -> Timeliness {
    let left = longest_chain_ms(&record.spec, |step| record.left[0][step] > 0);
    let needed = left.saturating_mul(FEASIBLE_WORK_PERCENT) / 100;
    if wall_ms + needed <= objective_ms(record) { Timeliness::OnTime } else { Timeliness::Late }
}

/// Returns whether a submission has waited for more than half of the time that it could wait
/// and still meet its objective.
fn is_tight(record: &Record, wall_ms: u64) -> bool {
    let work = Duration::from_millis(longest_chain_ms(&record.spec, |_| true));
    let spare = objective_span(&record.spec, &record.policy).saturating_sub(work);
    let waited = Duration::from_millis(wall_ms.saturating_sub(record.at_ms));
    waited > spare / 2
}

/// How soon submissions of one priority are placed, the soonest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// The submission has begun and can meet its objective.
    Begun,
    /// The submission has not begun, and can meet its objective even if its work takes longer
    /// than estimated.
    Ample,
    /// The submission has not begun and can just meet its objective.
    Tight,
    /// The submission has begun and can't meet its objective, or has none.
    LateBegun,
    /// The submission has not begun and can't meet its objective.
    Late,
}

fn urgency(record: &Record, wall_ms: u64) -> Urgency {
    match (timeliness(record, wall_ms), record.begun) {
        (Timeliness::OnTime, true) => Urgency::Begun,
        (Timeliness::OnTime, false) if is_tight(record, wall_ms) => Urgency::Tight,
        (Timeliness::OnTime, false) => Urgency::Ample,
        (Timeliness::Late, true) => Urgency::LateBegun,
        (Timeliness::Late, false) => Urgency::Late,
    }
}

/// Times of a submission by the client's own estimates, from its acceptance on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time to the objective.
    pub objective: Duration,
    /// The longest chain of estimates.
    pub chain: Duration,
    /// Time after which a submission that has not begun is placed after newer ones.
    pub overtaken_after: Duration,
}

impl Timing {
    /// Returns the times of a submission of a queue with this policy.
    #[must_use]
    pub fn of(spec: &Submission, policy: &QueuePolicy) -> Self {
        let chain = Duration::from_millis(longest_chain_ms(spec, |_| true));
        let objective = objective_span(spec, policy);
        Self { objective, chain, overtaken_after: objective.saturating_sub(chain) / 2 }
    }
}

/// Returns whether a submission is placed before new ones of its queue: it can meet its
/// objective, and it has begun or has time to spare.
#[must_use]
pub fn precedes_new(record: &Record, wall_ms: u64) -> bool {
    matches!(urgency(record, wall_ms), Urgency::Begun | Urgency::Ample)
}

/// Returns the longest chain of estimates along the dependencies, over the steps
/// for which `counts` returns true.
fn longest_chain_ms(spec: &Submission, counts: impl Fn(usize) -> bool) -> u64 {
    let mut chain: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (i, step) in spec.steps.iter().enumerate() {
        let before = step.depends_on.iter().filter_map(|d| chain.get(usize::from(*d))).max();
        let own = if counts(i) { u64::from(step.estimate_ms) } else { 0 };
        chain.push(before.copied().unwrap_or(0) + own);
    }
    chain.into_iter().max().unwrap_or(0)
}

/// Sort key of a submission: priority, whether it isn't starving, urgency, time and number.
pub(super) type RankKey = (u8, bool, Urgency, u64, u64);

/// Returns the sort key of a submission. Submissions are ordered by priority. Of
/// one priority, starving long-running ones come first, the oldest before the
/// others; then those that can meet their objective; then the rest. Of these,
/// those that have begun come first, so that with less room than work some
/// submissions finish rather than many in part, and then the earliest objective.
///
/// With more work than can be placed, the earliest objective alone would begin each submission
/// at the last moment at which it seems feasible, and most would end late. So those that have
/// waited for long begin after those that have time to spare.
pub(super) fn rank(record: &Record, starving: &BTreeSet<SubmissionId>, wall_ms: u64) -> RankKey {
    let (priority, seq) = (record.policy.priority, record.seq);
    if starving.contains(&record.spec.id) {
        return (priority, false, Urgency::Begun, record.at_ms, seq);
    }
    if record.spec.steps.iter().any(|s| s.lasting) {
        return rank_in_turn(record);
    }
    (priority, true, urgency(record, wall_ms), objective_ms(record), seq)
}

/// Returns the sort key of a long-running submission that doesn't count as starving. It earns its
/// payoff for as long as it runs, and has no objective.
pub(super) fn rank_in_turn(record: &Record) -> RankKey {
    (record.policy.priority, true, Urgency::LateBegun, record.at_ms, record.seq)
}
