//! The leader's view of one run: the order that it needs, and its progress.

use super::{
    super::{
        command::{EndReason, RunEnd},
        interference::{Interference, TailReport},
        pacing::Pace,
        spec::{Step, TaskId},
        state::{Phase, Record},
    },
    RESEND_DELAY,
    messages::{Order, OrderKind},
};
use cyclamenloft_types::AttemptNumber;
use std::time::{Duration, Instant};

/// Time after which a stop is repeated if the worker still lists the run.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(1500);
/// Placeholder for the unknown pace of a run that a former leader started.
const UNKNOWN_PACE: u8 = u8::MAX;
/// Time without progress after which a task is stuck. Progress is reported in
/// percent, and every task takes much less than 1.5 s for one percent of its
/// work.
const STUCK_AFTER: Duration = Duration::from_millis(1500);
/// Time without progress after which a best-effort task is stuck. Longer than
/// for other tasks, because a best-effort task may get no CPU time for a while.
const BEST_EFFORT_STUCK_AFTER: Duration = Duration::from_millis(4000);
/// Fraction of a rise of the base tail latency that is adopted with one
/// observation.
const BASE_RISE_GAIN: f64 = 0.7;
/// Decay of the recorded peak per second, in the logarithm of the tail latency.
/// The load swings with a period of ten seconds.
const PEAK_DECAY_LN_PER_S: f64 = 0.03;
/// Fraction of a fall of the base tail latency that is adopted with one
/// observation.
const BASE_FALL_GAIN: f64 = 0.4;

/// The parts of a task's step that matter while the task runs. They are kept with the run,
/// because they are needed for each of a worker's runs whenever the worker is polled.
#[derive(Clone, Debug)]
pub(super) struct RunStep {
    /// Whether the task runs indefinitely.
    pub(super) lasting: bool,
    /// Whether the task is best-effort.
    pub(super) fills: bool,
    /// Target of a latency-critical task's tail latency.
    pub(super) target_ms: Option<u32>,
    /// Processor demand, in thousandths of a core.
    pub(super) cpu_millis: f64,
    /// Name of the image; empty if the step names none.
    pub(super) image: Box<str>,
}

impl From<&Step> for RunStep {
    fn from(step: &Step) -> Self {
        Self {
            lasting: step.lasting,
            fills: step.fills,
            target_ms: step.target_ms,
            cpu_millis: f64::from(step.demand.cpu_millis),
            image: step.image.clone().unwrap_or_default(),
        }
    }
}

/// The leader's view of one run.
#[derive(Clone, Debug)]
pub(super) struct RunView {
    pub(super) step: RunStep,
    pub(super) attempt: AttemptNumber,
    /// Time at which the worker accepted the start.
    pub(super) started: Option<Instant>,
    /// Whether a former leader started the run.
    pub(super) inherited: bool,
    /// Time since which a start order that got no answer may be carried out.
    pub(super) unconfirmed_since: Option<Instant>,
    /// Whether the run must be stopped although its submission is open.
    pub(super) withdrawn: bool,
    /// Time at which the worker accepted the stop.
    pub(super) stopped: Option<Instant>,
    pub(super) listed: bool,
    /// Whether the worker has ever listed the run.
    pub(super) was_listed: bool,
    pub(super) percent: u8,
    pub(super) progress_at: Instant,
    pub(super) metric: u32,
    pub(super) checkpoint: Box<str>,
    /// Pace that was ordered from the worker, in percent of full speed.
    pub(super) pace: u8,
    /// Pace that the run should have.
    pub(super) wanted_pace: Pace,
    /// Logarithm of a latency-critical task's base tail latency, that is,
    /// without the interference of best-effort tasks.
    pub(super) base_ln: Option<f64>,
    /// Last report of a latency-critical task.
    pub(super) last_report: Option<TailReport>,
    /// Recent maximum of `base_ln`, and when it was updated.
    pub(super) peak_ln: Option<(f64, Instant)>,
    /// Time since which the tail latency has been over its target.
    pub(super) over_since: Option<Instant>,
    /// The order that has been sent and isn't answered yet.
    pub(super) in_flight: Option<OrderKind>,
    /// Time before which no order is sent for this run.
    pub(super) not_before: Instant,
}

impl RunView {
    pub(super) fn new(attempt: AttemptNumber, step: &Step, now: Instant) -> Self {
        Self {
            step: step.into(),
            attempt,
            started: None,
            inherited: false,
            unconfirmed_since: None,
            withdrawn: false,
            stopped: None,
            listed: false,
            was_listed: false,
            percent: 0,
            progress_at: now,
            metric: 0,
            checkpoint: "".into(),
            pace: 100,
            wanted_pace: Pace::default(),
            base_ln: None,
            last_report: None,
            peak_ln: None,
            over_since: None,
            in_flight: None,
            not_before: now,
        }
    }

    /// Records that the worker lists the run. If this leader did not start it,
    /// its pace is unknown, because a former leader may have throttled it.
    pub(super) fn record_listed(&mut self, now: Instant) {
        self.listed = true;
        self.was_listed = true;
        if self.started.is_none() {
            self.started = Some(now);
            self.inherited = self.unconfirmed_since.is_none();
            self.pace = UNKNOWN_PACE;
        }
    }

    /// Returns the order that the run needs to reach its wanted state, if one is
    /// due.
    pub(super) fn wanted_order(
        &mut self,
        record: &Record,
        task: TaskId,
        draining: bool,
        now: Instant,
    ) -> Option<OrderKind> {
        if self.in_flight.is_some() || now < self.not_before {
            return None;
        }
        let done = record.task(task).is_none_or(|t| t.done);
        // A draining worker gets no new starts.
        let may_run = self.started.is_some() || !draining;
        let open = record.phase == Phase::Open && !done && !record.is_broken(task);
        let wanted = open && may_run && !self.withdrawn;
        if !wanted {
            let again = self.stopped.is_none_or(|at| self.listed && now >= at + STOP_RETRY_DELAY);
            return again.then_some(OrderKind::Stop);
        }
        if self.started.is_none() {
            return Some(OrderKind::Start);
        }
        let pace = self.wanted_pace.percent();
        (self.step.fills && self.listed && self.pace != pace).then_some(OrderKind::Pace(pace))
    }

    /// Returns whether a start order without an answer may have been carried out.
    pub(super) fn may_have_begun(&self) -> bool {
        self.unconfirmed_since.is_some() || self.in_flight == Some(OrderKind::Start)
    }

    /// Returns the end of a run whose start the worker has rejected. The run gets no other order
    /// while the end is being committed.
    pub(super) fn never_ran(&mut self, order: Order, now: Instant) -> RunEnd {
        self.not_before = now + RESEND_DELAY;
        let Order { task, attempt, .. } = order;
        RunEnd { task, attempt, reason: EndReason::NeverRan, checkpoint: "".into() }
    }

    /// Returns whether the run is ready to serve requests, so that its reported
    /// tail latency is valid.
    pub(super) fn is_serving(&self) -> bool {
        self.listed && self.percent == 100 && self.metric > 0
    }

    /// Processes the report of a latency-critical task.
    pub(super) fn observe_tail(
        &mut self,
        target_ms: u32,
        report: TailReport,
        interference: &mut Interference,
    ) {
        let now = report.at;
        if let Some(before) = &self.last_report {
            interference.observe(&self.step.image, before, &report);
        }
        let model = interference.model_index(&self.step.image);
        let added = |(i, part): &(_, f64)| interference.model_weight(model, Some(*i)) * part;
        let added: f64 = report.used.iter().map(added).sum();
        let base = f64::from(self.metric).ln() - added;
        self.last_report = Some(report);
        let former = self.base_ln.unwrap_or(base);
        // A rise of the base is adopted faster than a fall.
        let gain = if base > former { BASE_RISE_GAIN } else { BASE_FALL_GAIN };
        let base = former + gain * (base - former);
        self.base_ln = Some(base);
        let faded = |(peak, at): (f64, Instant)| {
            peak - PEAK_DECAY_LN_PER_S * now.saturating_duration_since(at).as_secs_f64()
        };
        let peak = self.peak_ln.map_or(base, |peak| faded(peak).max(base));
        self.peak_ln = Some((peak, now));
        if self.metric > target_ms {
            self.over_since.get_or_insert(now);
        } else {
            self.over_since = None;
        }
    }

    pub(super) fn is_stuck(&self, now: Instant) -> bool {
        let after = if self.step.fills { BEST_EFFORT_STUCK_AFTER } else { STUCK_AFTER };
        let paced = self.pace != 100 || self.wanted_pace.percent() < 100;
        self.listed && !self.withdrawn && !paced && now >= self.progress_at + after
    }
}
