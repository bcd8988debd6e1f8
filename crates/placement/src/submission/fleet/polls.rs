//! What a poll states of a worker's lease and of the ends of its runs.
//!
//! A call that is held up, or sent before its worker is known to have started again, may reach the
//! next life under the same name. That life knows no fencing token yet, and its clock and the numbers
//! of its ends start anew: it takes the end of a lease for one that is far ahead, and forgets ends
//! that no leader has seen. So a poll states no more than a worker that answers needs. One that
//! follows a poll without an answer states neither.

use super::{super::state::IncarnationId, Fleet};
use std::time::Instant;

/// What a poll states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollTerms {
    /// End of the lease on the worker's clock, in milliseconds; `None` if the poll grants none.
    pub lease_end_ms: Option<u64>,
    /// Number of the last end of a run that the poll acknowledges; 0 if it acknowledges none.
    pub acknowledged: u64,
}

impl Fleet {
    /// Returns what a poll that is sent now states, and records a lease that it grants.
    pub fn next_poll(&mut self, incarnation: IncarnationId, now: Instant) -> PollTerms {
        let view = self.view_mut(incarnation, now);
        let answers = std::mem::replace(&mut view.answers_polls, false) && view.is_reachable(now);
        // Ends whose acknowledgment is lost are listed again.
        let listed_end = std::mem::take(&mut view.listed_end);
        if !answers {
            return PollTerms::default();
        }
        PollTerms { lease_end_ms: view.grant(now), acknowledged: listed_end }
    }

    /// Records that the group has committed the ends that the worker's last answer listed, up to the
    /// number `last_end`; 0 if it listed none.
    pub fn ends_committed(&mut self, incarnation: IncarnationId, last_end: u64) {
        if let Some(view) = self.views.get_mut(&incarnation).filter(|v| v.answers_polls) {
            view.listed_end = last_end;
        }
    }
}
