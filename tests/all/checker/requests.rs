//! Invariants of requests.

use super::{DepartureKind, Evidence};
use crate::harness::Outcome;
use cyclamenloft_standin::journal::Event;
use std::collections::BTreeMap;

/// The time after which a leaving target must get no new requests: 3 s, for which
/// its last announcement is valid, and a margin for requests in transit.
const LEAVE_GRACE_US: u64 = 3_500_000;

/// Checks that no target runs more requests than it has slots, that a target that
/// left gets no new requests, that an answered request did run and got its own
/// complete answer, that a request with the outcome "not-run" did not run, and that
/// a request that is not idempotent runs at most once.
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
            "{}: request {number} began {late} us after it was told to leave",
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
