//! Which submission comes first, by what it can still earn.

use super::super::{
    routes::QueuePolicy,
    spec::{Submission, SubmissionId},
    state::Record,
};
use std::{collections::BTreeSet, time::Duration};

/// Part of the estimated work that has to fit before the objective for a
/// submission to count as hopeful; estimates are off by half and more.
const HOPE_PERCENT: u64 = 70;

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
    let span = objective_span(&record.spec, &record.policy).as_millis();
    record.at_ms + u64::try_from(span).unwrap_or(u64::MAX)
}

/// The time after which an answer stops being worth its full payoff, by the
/// client's own estimates.
fn objective_span(spec: &Submission, policy: &QueuePolicy) -> Duration {
    let chain = longest_chain_ms(spec, |_| true);
    let stretched = chain.saturating_mul(u64::from(policy.slack_millis)) / 1000;
    Duration::from_millis(stretched + u64::from(policy.target_ms))
}

/// What the submission can still earn at `wall_ms`.
#[must_use]
pub fn prospect(record: &Record, wall_ms: u64) -> Prospect {
    let left = longest_chain_ms(&record.spec, |step| record.left[0][step] > 0);
    let needed = left.saturating_mul(HOPE_PERCENT) / 100;
    if wall_ms + needed <= objective_ms(record) { Prospect::Full } else { Prospect::Late }
}

/// The longest chain of estimates over the steps that count.
fn longest_chain_ms(spec: &Submission, counts: impl Fn(usize) -> bool) -> u64 {
    let mut chain: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (i, step) in spec.steps.iter().enumerate() {
        let before = step.depends_on.iter().filter_map(|d| chain.get(usize::from(*d))).max();
        let own = if counts(i) { u64::from(step.estimate_ms) } else { 0 };
        chain.push(before.copied().unwrap_or(0) + own);
    }
    chain.into_iter().max().unwrap_or(0)
}

/// Order of submissions: by priority; lasting ones that starve, the oldest first;
/// those that can meet their objective, by the objective; the others.
pub(super) fn rank(
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
