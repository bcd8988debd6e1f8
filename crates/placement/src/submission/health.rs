//! Workers that fail what they start, stand still or refuse: how long they get
//! no more work.

use super::spec::SubmissionId;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Failures of distinct submissions without a success between them after which
/// a worker counts as faulty: one submission in fifty fails by its own fault, so
/// three in a row by chance are one case in 10^5.
const FAULTY_AFTER: usize = 3;
/// First pause of a faulty worker; it doubles with each failed probe.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause of a faulty worker: faults that the users describe last some
/// seconds, and a probe costs one task's attempt.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// Pause after a worker refused a start for want of room.
const ROOM_PAUSE: Duration = Duration::from_millis(300);

/// What the leader holds against one worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failed: BTreeSet<SubmissionId>,
    paused_until: Option<Instant>,
    pause: Duration,
}

impl Health {
    /// Whether the worker may get work.
    #[must_use]
    pub fn may_start(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }

    /// Whether the worker is on probation: one task at a time tells whether it
    /// works again.
    #[must_use]
    pub fn on_probation(&self) -> bool {
        !self.pause.is_zero()
    }

    /// A task did its work. What ends during a pause was started before it and
    /// says little.
    pub fn note_success(&mut self, now: Instant) {
        if self.may_start(now) {
            *self = Self::default();
        }
    }

    /// A task of `submission` failed.
    pub fn note_failure(&mut self, submission: SubmissionId, now: Instant) {
        self.failed.insert(submission);
        if self.failed.len() >= FAULTY_AFTER || self.on_probation() {
            self.pause(now);
        }
    }

    /// A task stood still, or the worker said that it is unhealthy.
    pub fn note_stuck(&mut self, now: Instant) {
        self.pause(now);
    }

    /// The worker refused a start for want of room.
    pub fn note_refused(&mut self, now: Instant) {
        let until = now + ROOM_PAUSE;
        self.paused_until = Some(self.paused_until.map_or(until, |p| p.max(until)));
    }

    fn pause(&mut self, now: Instant) {
        if self.paused_until.is_some_and(|until| now < until) && self.on_probation() {
            return;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.paused_until = Some(now + self.pause);
    }
}
