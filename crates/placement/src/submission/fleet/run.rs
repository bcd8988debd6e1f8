//! One run as the leader knows it: which order it needs, and how it gets on.

use super::{
    super::{
        interference::{Interference, Use},
        pacing::Pace,
        spec::{Step, TaskId},
        state::{Phase, Record},
    },
    messages::OrderKind,
};
use cyclamenloft_types::AttemptNumber;
use std::time::{Duration, Instant};

/// Time for which a stopped run may still be listed before the stop is repeated.
const STOP_AGAIN: Duration = Duration::from_millis(1500);
/// Pace of a run that a former leader started: not known.
const UNKNOWN_PACE: u8 = u8::MAX;
/// Time without progress after which a task stands still. A task's progress is
/// told in hundredths, and 1.5 s is a hundredth of far more than any task's work.
const STUCK_AFTER: Duration = Duration::from_millis(1500);
/// The same for tasks that fill, which may be starved for a while.
const FILL_STUCK_AFTER: Duration = Duration::from_millis(4000);
/// Part of a rise of an undisturbed tail that is believed at once.
const BASE_RISE: f64 = 0.7;
/// Fall of a remembered peak in a second, in the tail's logarithm: load swings
/// with a period of ten seconds.
const PEAK_FALL: f64 = 0.03;
/// Part of a fall of an undisturbed tail that is believed at once.
const BASE_FALL: f64 = 0.4;

/// What the leader knows of one run.
#[derive(Clone, Debug)]
pub(super) struct RunView {
    pub(super) attempt: AttemptNumber,
    /// When the worker took the start.
    pub(super) started: Option<Instant>,
    /// A start got no answer and may still be carried out.
    pub(super) unsure: bool,
    /// The run is to be stopped though its submission is open.
    pub(super) withdrawn: bool,
    /// When the worker took the stop.
    pub(super) stopped: Option<Instant>,
    pub(super) listed: bool,
    pub(super) percent: u8,
    pub(super) progress_at: Instant,
    pub(super) figure: u32,
    pub(super) checkpoint: Box<str>,
    /// Share that the worker was told.
    pub(super) pace: u8,
    /// Share that it should work at.
    pub(super) wanted_pace: Pace,
    /// Logarithm of the tail without tasks that fill, of a serving task.
    pub(super) base_ln: Option<f64>,
    /// Highest that `base_ln` was lately.
    pub(super) peak_ln: Option<(f64, Instant)>,
    /// Since when the tail is over its target.
    pub(super) over_since: Option<Instant>,
    pub(super) not_before: Instant,
}

impl RunView {
    pub(super) fn new(attempt: AttemptNumber, now: Instant) -> Self {
        Self {
            attempt,
            started: None,
            unsure: false,
            withdrawn: false,
            stopped: None,
            listed: false,
            percent: 0,
            progress_at: now,
            figure: 0,
            checkpoint: "".into(),
            pace: 100,
            wanted_pace: Pace::default(),
            base_ln: None,
            peak_ln: None,
            over_since: None,
            not_before: now,
        }
    }

    /// Notes that the worker lists the run. One that this leader hasn't seen
    /// begin may have been slowed by another.
    pub(super) fn note_listed(&mut self, now: Instant) {
        self.listed = true;
        if self.started.is_none() {
            self.started = Some(now);
            self.pace = UNKNOWN_PACE;
        }
    }

    /// The order that brings the worker to what the group wants, if one is due.
    pub(super) fn wanted_order(
        &mut self,
        record: &Record,
        task: TaskId,
        draining: bool,
        now: Instant,
    ) -> Option<OrderKind> {
        if now < self.not_before {
            return None;
        }
        let done = record.task(task).is_none_or(|t| t.done);
        // A worker that leaves is not told to begin anything.
        let may_run = self.started.is_some() || !draining;
        let open = record.phase == Phase::Open && !done && !record.is_broken(task);
        let wanted = open && may_run && !self.withdrawn;
        if !wanted {
            let again = self.stopped.is_none_or(|at| self.listed && now >= at + STOP_AGAIN);
            return again.then_some(OrderKind::Stop);
        }
        if self.started.is_none() {
            return Some(OrderKind::Start);
        }
        let fills = record.spec.steps[usize::from(task.step)].fills;
        let pace = self.wanted_pace.percent();
        (fills && self.listed && self.pace != pace).then_some(OrderKind::Pace(pace))
    }

    /// Whether the run serves its users, so that its tail means something.
    pub(super) fn is_serving(&self) -> bool {
        self.listed && self.percent == 100 && self.figure > 0
    }

    pub(super) fn note_tail(
        &mut self,
        image: &str,
        target_ms: u32,
        used: &Use,
        interference: &Interference,
        now: Instant,
    ) {
        let disturbed: f64 =
            used.iter().map(|(i, part)| interference.weight(image, Some(*i)) * part).sum();
        let base = f64::from(self.figure).ln() - disturbed;
        let known = self.base_ln.unwrap_or(base);
        // A base that rises is believed faster than one that falls.
        let gain = if base > known { BASE_RISE } else { BASE_FALL };
        let base = known + gain * (base - known);
        self.base_ln = Some(base);
        let faded = |(peak, at): (f64, Instant)| {
            peak - PEAK_FALL * now.saturating_duration_since(at).as_secs_f64()
        };
        let peak = self.peak_ln.map_or(base, |peak| faded(peak).max(base));
        self.peak_ln = Some((peak, now));
        if self.figure > target_ms {
            self.over_since.get_or_insert(now);
        } else {
            self.over_since = None;
        }
    }

    pub(super) fn is_stuck(&self, step: &Step, now: Instant) -> bool {
        let after = if step.fills { FILL_STUCK_AFTER } else { STUCK_AFTER };
        let paced = self.pace != 100 || self.wanted_pace.percent() < 100;
        self.listed && !self.withdrawn && !paced && now >= self.progress_at + after
    }
}
