//! Calls to start runs that may still be carried out.
//!
//! A call that got no answer may be carried out seconds later. The life of the worker that it was
//! meant for rejects it once the run has ended there: by the attempt after a stop or a listed end, by
//! the end of the lease that it names after the loss of the worker. A later life knows neither
//! attempts nor that clock, and no token until it is called. So a task isn't placed again while a call
//! of an earlier attempt is under way, whatever ended that attempt, unless the newest life of the
//! worker answers this leader, so that it rejects the call, and doesn't list the run. Without such an
//! answer the call counts as under way until the latest time at which it is carried out and the lease
//! that it brings are over.

use super::{
    super::{
        lease::{EXPIRY_MARGIN, on_slowest_clock},
        open_starts::{OpenStart, RunId},
        spec::TaskId,
        state::{IncarnationId, SubmissionState},
    },
    Fleet,
    messages::{Observation, Order, OrderAnswer, OrderKind},
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Longest time after which a call that got no answer may still be carried out. The users' workers
/// carry out such calls up to 12 s later.
pub(super) const MAX_CALL_DELAY: Duration = Duration::from_secs(12);

/// The calls that were sent to start one run.
#[derive(Clone, Copy, Debug)]
struct Calls {
    /// The incarnation to which they were sent; `None` if it had ended before this leader's term.
    incarnation: Option<IncarnationId>,
    /// Number of calls that were sent.
    sent: u32,
    /// Number of calls that got no answer, or none yet.
    unanswered: u32,
    /// Whether the worker has listed the run, so that one of the calls has been carried out.
    is_listed: bool,
    /// When the answer arrived that the run has begun. Another life of the worker may have given it.
    taken_at: Option<Instant>,
    /// Whether a former leader may have sent further calls.
    is_inherited: bool,
    /// Latest time at which one of the calls was sent.
    last_sent: Instant,
    /// When the last call was sent by which the worker may have extended its lease.
    last_lease: Instant,
    /// When a run that the calls begin has ended, as a former leader has found.
    over_at: Option<Instant>,
}

impl Calls {
    fn new(incarnation: Option<IncarnationId>, now: Instant) -> Self {
        Self {
            incarnation,
            sent: 0,
            unanswered: 0,
            is_listed: false,
            taken_at: None,
            is_inherited: false,
            last_sent: now,
            last_lease: now,
            over_at: None,
        }
    }

    /// Returns whether a call may still be carried out.
    fn is_under_way(&self) -> bool {
        let is_only_call_spent = self.is_listed && self.sent == 1;
        self.is_inherited || (self.unanswered > 0 && !is_only_call_spent)
    }

    /// Returns the time by which a run has ended that the calls begin or have begun on a life that
    /// doesn't answer, if it is granted nothing after `last_lease`; `None` if there is none.
    fn latest_end(&self, last_lease: Instant, longest_lease: Duration) -> Option<Instant> {
        if self.over_at.is_some() {
            return self.over_at;
        }
        let lease = on_slowest_clock(longest_lease) + EXPIRY_MARGIN;
        if self.is_under_way() {
            return Some(self.last_sent.max(last_lease) + MAX_CALL_DELAY + lease);
        }
        let taken_at = self.taken_at.filter(|_| !self.is_listed)?;
        Some(taken_at.max(last_lease) + lease)
    }
}

/// The calls of this leader, and those that a former one may have sent.
#[derive(Debug, Default)]
pub(super) struct StartCalls {
    by_run: BTreeMap<RunId, Calls>,
}

impl StartCalls {
    /// Records that an order is being sent. It counts as unanswered until its answer arrives.
    pub(super) fn record_sent(&mut self, incarnation: IncarnationId, order: Order, now: Instant) {
        if order.kind != OrderKind::Start {
            return;
        }
        let run = (order.task, order.attempt);
        let calls = self.by_run.entry(run).or_insert_with(|| Calls::new(Some(incarnation), now));
        calls.sent += 1;
        calls.unanswered += 1;
        calls.last_sent = now;
    }

    /// Processes the answer to an order.
    pub(super) fn record_answer(&mut self, order: Order, answer: OrderAnswer, now: Instant) {
        let run = (order.task, order.attempt);
        let Some(calls) = self.by_run.get_mut(&run).filter(|_| order.kind == OrderKind::Start)
        else {
            return;
        };
        match answer {
            // The call may have left this host, or a relay, later than it was handed over.
            OrderAnswer::Unanswered => return calls.last_sent = now,
            OrderAnswer::NotSent => calls.sent = calls.sent.saturating_sub(1),
            OrderAnswer::Taken => calls.taken_at = Some(now),
            _ => {}
        }
        calls.unanswered = calls.unanswered.saturating_sub(1);
    }

    /// Processes the answer of an incarnation to a poll that was sent at `sent`, which lists these
    /// runs as going on or ended.
    fn observe(&mut self, id: IncarnationId, listed: impl Iterator<Item = RunId>, sent: Instant) {
        for run in listed {
            if let Some(calls) = self.by_run.get_mut(&run).filter(|c| c.incarnation == Some(id)) {
                calls.is_listed = true;
            }
        }
        // What was carried out by now was carried out by this life.
        let is_over =
            |c: &&mut Calls| c.incarnation == Some(id) && sent >= c.last_sent + MAX_CALL_DELAY;
        for calls in self.by_run.values_mut().filter(is_over) {
            calls.unanswered = 0;
            calls.is_inherited = false;
        }
    }
}

impl Fleet {
    /// Takes over the starts that may be under way from former leaders. These may have called until
    /// now, except those of workers that they have found lost. `wall_ms` is the present time in
    /// milliseconds since the Unix epoch.
    pub(super) fn take_over_starts(&mut self, state: &SubmissionState, now: Instant, wall_ms: u64) {
        let longest = MAX_CALL_DELAY + on_slowest_clock(self.longest_accepted) + EXPIRY_MARGIN;
        let inherited = state.open_starts().map(|(run, start)| {
            let left = Duration::from_millis(start.over_ms.saturating_sub(wall_ms)).min(longest);
            let over_at = (start.over_ms > 0).then(|| now + left);
            let calls = Calls::new(placed_on(state, run), now);
            (run, Calls { is_inherited: true, over_at, ..calls })
        });
        self.start_calls.by_run.extend(inherited);
    }

    /// Returns whether the task must not be placed because a call to start an earlier attempt may
    /// still be carried out.
    #[must_use]
    pub fn is_held_back(&self, state: &SubmissionState, task: TaskId, now: Instant) -> bool {
        let holds = |(run, start)| self.may_begin(state, run, start, now);
        self.is_carried(task, now) || state.open_starts_of(task).any(holds)
    }

    fn may_begin(
        &self,
        state: &SubmissionState,
        run: RunId,
        start: &OpenStart,
        now: Instant,
    ) -> bool {
        let newest = state.newest_incarnation(&start.worker).map(|(id, _)| id);
        let view = newest.and_then(|id| self.views.get(&id));
        if self.is_stray(state, run, start) {
            return true;
        }
        if self.latest_end(state, run, start).is_none_or(|end| now >= end) {
            return false;
        }
        match newest {
            Some(_) => !view.is_some_and(|v| v.may_get_orders(now)),
            // A worker of another name rejects the calls to this one.
            None => !state.incarnations().any(|(_, i)| {
                i.worker.addr == start.addr && i.worker.started_ms > start.started_ms
            }),
        }
    }

    /// Returns whether the newest life of the worker has listed the run last, although it has ended
    /// for the group.
    fn is_stray(&self, state: &SubmissionState, run: RunId, start: &OpenStart) -> bool {
        let newest = state.newest_incarnation(&start.worker);
        let view = newest.and_then(|(id, _)| self.views.get(&id));
        view.is_some_and(|v| v.listed_strays.contains(&run))
    }

    /// Returns the time by which a run has ended that the calls begin, if the worker is never
    /// called again; `None` if they begin none.
    fn latest_end(
        &self,
        state: &SubmissionState,
        run: RunId,
        start: &OpenStart,
    ) -> Option<Instant> {
        let calls = self.start_calls.by_run.get(&run)?;
        calls.latest_end(self.last_lease(state, calls, start), self.longest_accepted)
    }

    /// Returns when the last call was sent that may extend the lease of a run that the calls begin.
    fn last_lease(&self, state: &SubmissionState, calls: &Calls, start: &OpenStart) -> Instant {
        let newest = state.newest_incarnation(&start.worker).map(|(id, _)| id);
        let views = [calls.incarnation, newest].into_iter().flatten();
        let granted = views.filter_map(|id| self.views.get(&id)?.granted_at);
        granted.fold(calls.last_lease, Instant::max)
    }

    /// Processes the answer of an incarnation to a poll that was sent at `sent`.
    pub(super) fn observe_starts(&mut self, id: IncarnationId, seen: &Observation, sent: Instant) {
        let running = seen.running.iter().map(|l| (l.task, l.attempt));
        let listed = running.chain(seen.ended.iter().map(|e| (e.task, e.attempt)));
        self.start_calls.observe(id, listed, sent);
    }

    /// Returns the starts that can't be carried out any more, to be committed as settled: no call
    /// is under way, no life of the worker lists the run as a stray, and none will be sent.
    #[must_use]
    pub fn settled_starts(&self, state: &SubmissionState, now: Instant) -> Vec<RunId> {
        let is_settled = |run: RunId, start: &OpenStart| {
            let is_over = match placed_on(state, run) {
                Some(id) => {
                    let view = self.views.get(&id).and_then(|v| v.runs.get(&run.0));
                    view.is_some_and(|r| r.attempt == run.1 && r.started.is_some())
                }
                None => !self.is_stray(state, run, start),
            };
            is_over && self.latest_end(state, run, start).is_none_or(|end| now >= end)
        };
        let settled = state.open_starts().filter(|(run, start)| is_settled(*run, start));
        settled.map(|(run, _)| run).collect()
    }

    /// Returns by when runs have ended that starts on lost workers begin, in milliseconds since the
    /// Unix epoch, to be committed for the next leader.
    #[must_use]
    pub fn waits(&self, state: &SubmissionState, now: Instant, wall_ms: u64) -> Vec<(RunId, u64)> {
        let is_lost = |run: RunId, start: &OpenStart| {
            placed_on(state, run).is_none() && state.newest_incarnation(&start.worker).is_none()
        };
        let unknown = state.open_starts().filter(|(_, start)| start.over_ms == 0);
        let lost = unknown.filter(|(run, start)| is_lost(*run, start));
        lost.filter_map(|(run, start)| {
            let left = self.latest_end(state, run, start)?.saturating_duration_since(now);
            Some((run, wall_ms + u64::try_from(left.as_millis()).unwrap_or(0)))
        })
        .collect()
    }

    /// Returns the number of runs that have ended and whose tasks are held back.
    #[must_use]
    pub fn held_starts(&self, state: &SubmissionState, now: Instant) -> usize {
        let ended = state.open_starts().filter(|(run, _)| placed_on(state, *run).is_none());
        ended.filter(|(run, start)| self.may_begin(state, *run, start, now)).count()
    }

    /// Returns the number of tasks on a worker that are held back once it counts as lost, because a
    /// call to start them may still be carried out.
    #[must_use]
    pub fn starts_under_way(&self, state: &SubmissionState, id: IncarnationId) -> usize {
        let Some(incarnation) = state.incarnation(id) else { return 0 };
        let under_way = |task: &&TaskId| {
            let mut starts = state.open_starts_of(**task);
            starts
                .any(|(run, _)| self.start_calls.by_run.get(&run).is_some_and(Calls::is_under_way))
        };
        incarnation.runs.iter().filter(under_way).count()
    }

    /// Removes the calls of starts that are settled, and keeps when their workers were last called,
    /// before the views of incarnations that have ended are removed.
    pub(super) fn retain_starts(&mut self, state: &SubmissionState) {
        let mut by_run = std::mem::take(&mut self.start_calls.by_run);
        by_run.retain(|run, calls| {
            let Some(start) = state.open_start(*run) else { return false };
            calls.last_lease = self.last_lease(state, calls, start);
            true
        });
        self.start_calls.by_run = by_run;
    }
}

/// Returns the incarnation on which a run may not have ended yet.
fn placed_on(state: &SubmissionState, (task, attempt): RunId) -> Option<IncarnationId> {
    let known = state.record(task.submission)?.task(task)?;
    known.runs.iter().find(|run| run.attempt == attempt).map(|run| run.incarnation)
}
