//! Calls to start runs that may still be carried out.
//!
//! A call that got no answer may be carried out seconds later. The life of the worker that it was
//! meant for rejects it once the run has ended there, but a later life knows neither attempts nor
//! tokens until it is called. So a task isn't placed again while a call of an earlier attempt is
//! under way, whatever ended that attempt, unless a life of the worker has answered this leader, so
//! that it rejects the call, and doesn't list the run. Without such an answer the call counts as
//! under way until the latest time at which it is carried out and the lease that it brings are over.

use super::{
    super::{
        lease::{EXPIRY_MARGIN, on_slowest_clock},
        open_starts::{OpenStart, RunId},
        spec::TaskId,
        state::{IncarnationId, SubmissionState},
    },
    Fleet,
    messages::{Order, OrderAnswer, OrderKind},
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
    incarnation: IncarnationId,
    /// Number of calls that were sent.
    sent: u32,
    /// Number of calls that got no answer, or none yet.
    unanswered: u32,
    /// Whether the worker has listed the run, so that one of the calls has been carried out.
    is_listed: bool,
    /// Whether a former leader may have sent further calls.
    is_inherited: bool,
    /// When the last call was sent that the worker may carry out, or with which it may extend its
    /// lease.
    last_sent: Instant,
}

impl Calls {
    /// Returns whether a call may still be carried out.
    fn is_under_way(&self) -> bool {
        let is_only_call_spent = self.is_listed && self.sent == 1;
        self.is_inherited || (self.unanswered > 0 && !is_only_call_spent)
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
        let calls = self.by_run.entry((order.task, order.attempt)).or_insert(Calls {
            incarnation,
            sent: 0,
            unanswered: 0,
            is_listed: false,
            is_inherited: false,
            last_sent: now,
        });
        calls.sent += 1;
        calls.unanswered += 1;
        calls.last_sent = now;
    }

    /// Processes the answer to an order.
    pub(super) fn record_answer(&mut self, order: Order, answer: OrderAnswer) {
        if order.kind != OrderKind::Start || answer == OrderAnswer::Unanswered {
            return;
        }
        let Some(calls) = self.by_run.get_mut(&(order.task, order.attempt)) else { return };
        calls.unanswered = calls.unanswered.saturating_sub(1);
        if answer == OrderAnswer::NotSent {
            calls.sent = calls.sent.saturating_sub(1);
        }
    }

    /// Records that the worker lists a run, or its end.
    pub(super) fn record_listed(&mut self, run: RunId) {
        if let Some(calls) = self.by_run.get_mut(&run) {
            calls.is_listed = true;
        }
    }
}

impl Fleet {
    /// Takes over the starts that may be under way from former leaders. These may have called until
    /// now.
    pub(super) fn take_over_starts(&mut self, state: &SubmissionState, now: Instant) {
        let inherited = state.open_starts().map(|(run, _)| {
            let calls = Calls {
                incarnation: placed_on(state, run).unwrap_or_default(),
                sent: 0,
                unanswered: 0,
                is_listed: false,
                is_inherited: true,
                last_sent: now,
            };
            (run, calls)
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
        if view.is_some_and(|v| v.listed_strays.contains(&run)) {
            return true;
        }
        let Some(calls) = self.start_calls.by_run.get(&run) else { return false };
        if !calls.is_under_way() || now >= self.latest_end(calls) {
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

    /// Returns the time by which a run has ended that the calls begin, if the worker is never
    /// called again.
    fn latest_end(&self, calls: &Calls) -> Instant {
        let granted_at = self.views.get(&calls.incarnation).and_then(|v| v.granted_at);
        let last_sent = granted_at.map_or(calls.last_sent, |at| at.max(calls.last_sent));
        last_sent + MAX_CALL_DELAY + on_slowest_clock(self.longest_accepted) + EXPIRY_MARGIN
    }

    /// Returns the starts that can't be carried out any more, to be committed as settled: no call
    /// is under way, and none will be sent.
    #[must_use]
    pub fn settled_starts(&self, state: &SubmissionState, now: Instant) -> Vec<RunId> {
        let is_settled = |run: RunId| {
            let is_over = match placed_on(state, run) {
                Some(id) => {
                    let view = self.views.get(&id).and_then(|v| v.runs.get(&run.0));
                    view.is_some_and(|r| r.attempt == run.1 && r.started.is_some())
                }
                None => true,
            };
            let calls = self.start_calls.by_run.get(&run);
            let is_under_way = calls.is_some_and(|c| c.is_under_way() && now < self.latest_end(c));
            is_over && !is_under_way
        };
        state.open_starts().map(|(run, _)| run).filter(|run| is_settled(*run)).collect()
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

    /// Removes the calls of starts that are settled, and keeps when incarnations that have ended
    /// were last called.
    pub(super) fn retain_starts(&mut self, state: &SubmissionState) {
        let views = &self.views;
        self.start_calls.by_run.retain(|run, calls| {
            if state.incarnation(calls.incarnation).is_none()
                && let Some(at) = views.get(&calls.incarnation).and_then(|v| v.granted_at)
            {
                calls.last_sent = calls.last_sent.max(at);
            }
            state.open_start(*run).is_some()
        });
    }
}

/// Returns the incarnation on which a run may not have ended yet.
fn placed_on(state: &SubmissionState, (task, attempt): RunId) -> Option<IncarnationId> {
    let known = state.record(task.submission)?.task(task)?;
    known.runs.iter().find(|run| run.attempt == attempt).map(|run| run.incarnation)
}
