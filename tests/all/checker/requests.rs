//! Promises on requests.

use super::{DepartureKind, Evidence};
use crate::harness::Outcome;
use cyclamenloft_standin::journal::Event;
use std::collections::BTreeMap;

/// Time after which a leaving target gets no new work: the life of its last
/// announcement, with a margin for what is on its way.
const LEAVE_GRACE_US: u64 = 3_500_000;

/// Checks: no target over its slots, no work for a target that left, answers
/// whole and the request's own, "not run" true, at most once.
pub fn check(evidence: &Evidence) {
    let mut began: BTreeMap<&str, usize> = BTreeMap::new();
    for line in &evidence.lines {
        let Event::RequestBegan { number, in_flight, .. } = &line.event else {
            continue;
        };
        *began.entry(number).or_default() += 1;
        let slots = evidence.slots;
        assert!(*in_flight <= slots, "{}: {in_flight} requests in flight, {slots} slots", line.who);
        let left = evidence
            .departures
            .iter()
            .find(|g| g.who == line.who && g.kind == DepartureKind::Leaving);
        let late = left.map_or(0, |g| line.at_us.saturating_sub(g.at_us));
        assert!(
            late < LEAVE_GRACE_US,
            "{}: request {number} {late} us after it said it leaves",
            line.who
        );
    }
    for (number, sent) in &evidence.traffic {
        let runs = began.get(&**number).copied().unwrap_or(0);
        match &sent.outcome {
            Outcome::Answered => assert!(runs > 0, "request {number} was answered and never ran"),
            Outcome::NotRun => assert_eq!(runs, 0, "request {number} was refused as not run"),
            Outcome::Wrong(what) => panic!("request {number} got another answer: {what}"),
            Outcome::Unknown | Outcome::Cut(_) => {}
        }
        assert!(sent.idempotent || runs <= 1, "request {number} may run once and ran {runs} times");
    }
}
