//! Pauses during which a worker gets no new work, after its tasks failed or
//! made no progress, or after it refused a start.

use super::spec::SubmissionId;
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Number of distinct submissions that must fail, without a success in between,
/// before a worker counts as faulty. One submission in fifty fails through no
/// fault of its worker, so three in a row have a probability of about 10^-5.
const FAULTY_AFTER: usize = 3;
/// First pause of a faulty worker. It doubles with each failed probe.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause of a faulty worker. The faults that the users describe last some
/// seconds, and a probe uses up one attempt of a task.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Pause after a worker has refused a start for lack of room.
const ROOM_PAUSE: Duration = Duration::from_millis(300);

/// Failures of one worker and the pauses that follow from them.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failed: BTreeSet<SubmissionId>,
    paused_until: Option<Instant>,
    pause: Duration,
}

impl Health {
    /// Returns whether the worker may get work.
    #[must_use]
    pub fn may_start(&self, now: Instant) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns whether the worker is on probation: it gets one task at a time as a
    /// probe until one succeeds.
    #[must_use]
    pub fn on_probation(&self) -> bool {
        !self.pause.is_zero()
    }

    /// Records that a task succeeded. During a pause this is ignored: the task
    /// started before the pause and says little about the worker's present state.
    pub fn record_success(&mut self, now: Instant) {
        if self.may_start(now) {
            *self = Self::default();
        }
    }

    /// Records that a task of `submission` failed.
    pub fn record_failure(&mut self, submission: SubmissionId, now: Instant) {
        self.failed.insert(submission);
        if self.failed.len() >= FAULTY_AFTER || self.on_probation() {
            self.pause(now);
        }
    }

    /// Records that a task made no progress, or that the worker reported itself
    /// unhealthy.
    pub fn record_stuck(&mut self, now: Instant) {
        self.pause(now);
    }

    /// Records that the worker refused a start for lack of room.
    pub fn record_refused(&mut self, now: Instant) {
        let until = now + ROOM_PAUSE;
        self.paused_until = Some(self.paused_until.map_or(until, |p| p.max(until)));
    }

    fn pause(&mut self, now: Instant) {
        if self.paused_until.is_some_and(|until| now < until) && self.on_probation() {
            return;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.paused_until = Some(now + self.pause);
    }
}
