//! The leader's two tasks for each incarnation of a worker: one polls it and
//! thereby renews its lease, the other sends orders.

use crate::{
    leader::Leadership,
    node::{Node, wall_ms},
    notify::Notify,
    port::{OrderCall, OrderResponse, PollCall, Port, end_sign},
    recovery::RecoveryStep,
    relay::WorkerCaller,
    run_log::{LineKey, RunName},
};
use cyclamenloft_placement::submission::{
    Command, CommandResult, IncarnationId, Observation, RunEnd, SubmissionId, SubmissionState,
    TaskId,
    fleet::{Order, OrderAnswer, OrderKind, PollTerms},
    state::Phase,
};
use cyclamenloft_types::{AttemptNumber, ErrorKind, Result, WorkerId};
use futures_util::{
    StreamExt,
    future::{Either, select},
    stream::FuturesUnordered,
};
use std::{
    cell::Cell,
    pin::pin,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

/// How long a poll of a worker that runs no task waits for the end of a run: the longest
/// wait that workers accept.
const IDLE_WAIT: Duration = Duration::from_millis(2_000);
/// How long a poll waits while tasks run, so that tail latency and progress are read once a
/// second.
const BUSY_WAIT: Duration = Duration::from_millis(1_000);
/// How long a poll waits while a tail latency is near its target or tasks are throttled.
/// Workers average the latency over half a second, so some polls see each rise early.
const CLOSE_WATCH_WAIT: Duration = Duration::from_millis(150);
/// The minimum time between two polls of a worker is this value times the number of known
/// workers. A poll takes about 0.15 ms of the leader's CPU time, and polls may use a sixth of
/// a core.
const POLL_INTERVAL_PER_WORKER: Duration = Duration::from_micros(900);
/// First pause after a failed poll; it doubles with each further failure.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed poll, so that a worker that is reachable again is used
/// soon.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for which a new leader waits for its sessions before it calls workers itself.
const RELAYS_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that an order task sleeps without being woken.
const MAX_ORDER_IDLE: Duration = Duration::from_millis(2_000);

/// State that the two tasks of an incarnation share.
pub(crate) struct Context<P: Port> {
    pub node: Rc<Node<P>>,
    pub leadership: Weak<Leadership>,
    pub incarnation: IncarnationId,
    pub worker: WorkerId,
    pub caller: Rc<WorkerCaller<P>>,
    pub wake: Rc<Notify>,
}

impl<P: Port> Clone for Context<P> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            leadership: self.leadership.clone(),
            incarnation: self.incarnation,
            worker: self.worker.clone(),
            caller: self.caller.clone(),
            wake: self.wake.clone(),
        }
    }
}

impl<P: Port> Context<P> {
    /// Returns the leader's state while this replica leads.
    fn leadership(&self) -> Option<Rc<Leadership>> {
        let leadership = self.leadership.upgrade()?;
        self.node.leads().then_some(leadership)
    }

    fn run_name(
        &self,
        task: TaskId,
        attempt: AttemptNumber,
        took: Option<Duration>,
    ) -> RunName<'_> {
        RunName { task, attempt, worker: &self.worker, incarnation: self.incarnation, took }
    }

    /// Commits ends of runs. `source` returns how an end is known, for the log.
    async fn commit_ends(
        &self,
        leadership: &Leadership,
        ends: Vec<RunEnd>,
        source: impl Fn(&RunEnd) -> &'static str,
    ) -> Result<()> {
        for end in &ends {
            let reason = end.reason.as_str();
            let token = leadership.token;
            let key = LineKey { decision: "end", kind: source(end), outcome: reason, token };
            self.node.run_log.record(key, self.run_name(end.task, end.attempt, None));
            self.node.metrics.count("end", reason);
        }
        for command in Command::ended(self.incarnation, ends) {
            let CommandResult::Over(over) = self.node.propose(command).await? else { continue };
            for id in over {
                self.node.state(|s| {
                    log_over(s, id);
                    leadership.wake_runs(s, id);
                });
            }
        }
        self.node.decision_due.notify();
        Ok(())
    }
}

/// What the polls of one incarnation have led to.
#[derive(Default)]
struct Progress {
    /// Number of the last end of a run that a poll has acknowledged.
    acknowledged: Cell<u64>,
    /// When the worker first answered.
    first_answer: Cell<Option<Instant>>,
    /// Whether a listed run that was never placed has been logged.
    has_logged: Cell<bool>,
}

/// Polls the worker while this replica leads. Runs until the task is cancelled.
pub(crate) async fn poll<P: Port>(cx: Context<P>) {
    let progress = Progress::default();
    let mut failures = 0u32;
    if let Some(leadership) = cx.leadership() {
        // A call by this replica would cost the worker's next holder another one.
        let ready = leadership.relays.ready_for(&cx.node.settings.domain, cx.caller.domain());
        let _ = compio::time::timeout(RELAYS_TIMEOUT, ready).await;
    }
    loop {
        let Some(leadership) = cx.leadership() else {
            compio::time::sleep(MIN_RETRY_PAUSE).await;
            continue;
        };
        match poll_once(&cx, &leadership, &progress).await {
            Ok(pause) => {
                if failures > 0 {
                    tracing::info!(event = "worker-regained", worker = %cx.worker, failures);
                }
                failures = 0;
                compio::time::sleep(pause).await;
            }
            // The worker answered, but the ends that it reported could not be committed.
            Err(e) if matches!(e.kind, ErrorKind::ChangeUnknown | ErrorKind::NoQuorum) => {
                tracing::debug!(event = "ends-not-agreed", worker = %cx.worker, error = %e);
                compio::time::sleep(MIN_RETRY_PAUSE).await;
            }
            Err(e) => {
                if failures == 0 {
                    tracing::info!(event = "worker-silent", worker = %cx.worker, error = %e);
                }
                failures += 1;
                let pause = MIN_RETRY_PAUSE * 2u32.saturating_pow(failures.min(8) - 1);
                compio::time::sleep(pause.min(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Polls the worker once and returns the pause before the next poll.
async fn poll_once<P: Port>(
    cx: &Context<P>,
    leadership: &Leadership,
    progress: &Progress,
) -> Result<Duration> {
    let sent = Instant::now();
    let (route, is_new_holder) = cx.caller.choose_route(&cx.node.port, &leadership.relays);
    let (wait, terms) = {
        let mut fleet = leadership.fleet.borrow_mut();
        let idle =
            cx.node.state(|s| s.incarnation(cx.incarnation).is_none_or(|l| l.runs.is_empty()));
        let (lacks_lease, delays_starts, awaits_stops) = cx.node.state(|s| {
            let lacks_lease = fleet.lacks_lease(s, cx.incarnation, IDLE_WAIT, sent);
            let awaits_stops = fleet.awaits_stops(s, cx.incarnation);
            (lacks_lease, fleet.delays_starts(s, cx.incarnation), awaits_stops)
        });
        let view = fleet.view_mut(cx.incarnation, sent);
        // The former holder's calls may still be carried out until the worker has seen the new
        // token.
        view.synced &= !is_new_holder;
        let close_watch = view.needs_close_watch() || delays_starts || awaits_stops;
        let responsive =
            view.synced && view.answers_polls() && view.is_reachable(sent) && !lacks_lease;
        let wait = match (responsive, idle, close_watch) {
            (false, ..) => Duration::ZERO,
            (_, true, _) if !delays_starts && !awaits_stops => IDLE_WAIT,
            (_, _, true) => CLOSE_WATCH_WAIT,
            _ => BUSY_WAIT,
        };
        let min_wait =
            POLL_INTERVAL_PER_WORKER * u32::try_from(fleet.known_count()).unwrap_or(u32::MAX);
        let wait = if responsive { wait.max(min_wait).min(IDLE_WAIT) } else { wait };
        fleet.poll_sent(cx.incarnation, wait, sent);
        (wait, fleet.next_poll(cx.incarnation, sent))
    };
    let PollTerms { lease_end_ms, acknowledged } = terms;
    progress.acknowledged.set(progress.acknowledged.get().max(acknowledged));
    let call = PollCall { lease_end_ms, token: route.token(), acknowledged, wait };
    cx.node.metrics.count("look", "sent");
    let result = cx.caller.poll(&cx.node.port, &route, call).await;
    let now = Instant::now();
    let (observation, last_end) = match result {
        Ok(answer) => answer,
        // Nothing is known about the worker if the replica that was to call it is silent.
        Err(_) if route.is_closed() => return Ok(Duration::ZERO),
        Err(e) => {
            let mut fleet = leadership.fleet.borrow_mut();
            if let Some(sign) = end_sign(e.kind) {
                cx.node.state(|s| fleet.process_ended(s, cx.incarnation, sign, now));
            } else if e.kind == ErrorKind::ConnectionClosed {
                fleet.connection_closed(cx.incarnation, now);
            } else {
                fleet.unreachable(cx.incarnation, now);
            }
            return Err(e);
        }
    };
    leadership.record_recovery(RecoveryStep::FirstPoll);
    if progress.first_answer.get().is_none() {
        progress.first_answer.set(Some(now));
    }
    record_never_placed(cx, progress, &observation);
    process_observation(cx, leadership, progress, &observation, sent).await?;
    leadership.fleet.borrow_mut().ends_committed(cx.incarnation, last_end);
    let has_new_end = last_end > acknowledged;
    // No poll waits while the worker lists an end that can't be taken.
    let answers_early = !has_new_end && sent.elapsed() + MIN_RETRY_PAUSE < wait;
    Ok(if answers_early { MIN_RETRY_PAUSE } else { Duration::ZERO })
}

/// Counts the listed runs that were never placed, and logs the first one.
fn record_never_placed<P: Port>(cx: &Context<P>, progress: &Progress, observation: &Observation) {
    let (count, first) = cx.node.state(|s| {
        let mut runs = observation.never_placed(s);
        let first = runs.next().map(|run| (run.task, run.attempt));
        (runs.count() as u64 + u64::from(first.is_some()), first)
    });
    let Some((task, attempt)) = first else { return };
    cx.node.metrics.count_many("skipped-entry", "never-placed", count);
    if !progress.has_logged.replace(true) {
        tracing::warn!(event = "never-placed", worker = %cx.worker, %task, attempt, entries = count);
    }
}

/// Logs that runs count as over because the worker doesn't list them, and how long this life of the
/// worker has gone on: one that has just begun may have lost the ends of its runs to a call that was
/// meant for the life before.
fn record_not_listed<P: Port>(
    cx: &Context<P>,
    progress: &Progress,
    observation: &Observation,
    runs: usize,
    now: Instant,
) {
    let known = progress.first_answer.get().map(|at| now.saturating_duration_since(at));
    let known_ms = known.map(|known| u64::try_from(known.as_millis()).unwrap_or(u64::MAX));
    tracing::info!(
        event = "not-listed", worker = %cx.worker, life = cx.incarnation, runs,
        life_ms = wall_ms().saturating_sub(observation.started_ms), known_ms,
        acknowledged = progress.acknowledged.get()
    );
}

async fn process_observation<P: Port>(
    cx: &Context<P>,
    leadership: &Leadership,
    progress: &Progress,
    observation: &Observation,
    sent: Instant,
) -> Result<()> {
    let now = Instant::now();
    tracing::debug!(
        event = "listed", worker = %cx.worker, clock_ms = observation.clock_ms,
        running = ?observation.running.iter().map(|l| (l.task.to_string(), l.percent, l.metric)).collect::<Vec<_>>()
    );
    let (ends, was_synced) = cx.node.state(|s| {
        let mut fleet = leadership.fleet.borrow_mut();
        let was_synced = fleet.view_mut(cx.incarnation, now).synced;
        (fleet.observe(s, cx.incarnation, observation, sent, now), was_synced)
    });
    let has_ends = !ends.is_empty();
    if has_ends {
        let is_listed = |end: &RunEnd| {
            let is_same = |l: &RunEnd| (l.task, l.attempt) == (end.task, end.attempt);
            observation.ended.iter().any(is_same)
        };
        let absent = ends.iter().filter(|end| !is_listed(end)).count();
        if absent > 0 {
            record_not_listed(cx, progress, observation, absent, now);
        }
        let source = |end: &RunEnd| if is_listed(end) { "listed" } else { "not-listed" };
        cx.commit_ends(leadership, ends, source).await?;
    }
    log_unknown_runs(cx, leadership);
    if !was_synced {
        cx.node.decision_due.notify();
    }
    let has_order = cx.node.state(|s| {
        let mut fleet = leadership.fleet.borrow_mut();
        // The commit of the ends may have made another order due.
        match has_ends {
            true => fleet.has_order(s, cx.incarnation, Instant::now()),
            false => fleet.had_order(cx.incarnation),
        }
    });
    if has_order {
        cx.wake.notify();
    }
    Ok(())
}

/// Logs that a submission has ended and, if a task failed too often, which one.
fn log_over(state: &SubmissionState, id: SubmissionId) {
    let Some(record) = state.record(id) else { return };
    let most = record.tasks().max_by_key(|(_, t)| t.failures);
    let failed = most.filter(|_| record.phase == Phase::Failed);
    tracing::info!(
        decision = "over", submission = %format_args!("{id:016x}"),
        task = failed.map(|(task, _)| tracing::field::display(task)),
        failures = failed.map(|(_, t)| t.failures),
        attempt = failed.map(|(_, t)| t.attempt),
        max_attempts = failed.map(|_| record.policy.max_attempts),
        outcome = ?record.phase
    );
}

/// Logs the runs that the worker lists and the group doesn't know.
fn log_unknown_runs<P: Port>(cx: &Context<P>, leadership: &Leadership) {
    for (task, attempt) in leadership.fleet.borrow().unknown_runs(cx.incarnation) {
        let token = leadership.token;
        let key = LineKey { decision: "unknown-run", kind: "", outcome: "stop", token };
        cx.node.run_log.record(key, cx.run_name(task, attempt, None));
        cx.node.metrics.count("unknown-run", "stop");
    }
}

/// Sends orders to the worker while this replica leads. Runs until the task is cancelled.
pub(crate) async fn send_orders<P: Port>(cx: Context<P>) {
    let mut calls = FuturesUnordered::new();
    let mut queued_at = None;
    loop {
        let change_count = cx.wake.change_count();
        let Some(leadership) = cx.leadership() else {
            let _ = compio::time::timeout(MIN_RETRY_PAUSE, next_answer(&mut calls)).await;
            continue;
        };
        let now = Instant::now();
        let is_changed = queued_at.replace(change_count) != Some(change_count);
        let retry_at = leadership.fleet.borrow().retry_at(cx.incarnation);
        let search = is_changed || retry_at.is_some_and(|at| at <= now);
        let mut queued = take_orders(&cx, &leadership, search, now);
        if queued.is_empty() && !search && calls.is_empty() {
            // An order may have become due because time has passed.
            queued = take_orders(&cx, &leadership, true, now);
        }
        calls.extend(queued.into_iter().map(|order| send_order(&cx, leadership.clone(), order)));
        let retry_at = leadership.fleet.borrow().retry_at(cx.incarnation);
        let until = retry_at.unwrap_or(now + MAX_ORDER_IDLE).min(now + MAX_ORDER_IDLE);
        drop(leadership);
        let woken = pin!(compio::time::timeout_at(until, cx.wake.changed(change_count)));
        if let Either::Right((Err(_), _)) = select(pin!(next_answer(&mut calls)), woken).await {
            queued_at = None;
        }
    }
}

/// Waits until one of the calls has ended.
async fn next_answer(calls: &mut FuturesUnordered<impl Future<Output = ()>>) {
    if calls.next().await.is_none() {
        std::future::pending().await
    }
}

/// Returns the orders to be sent now, which then count as sent. All runs are searched for orders if
/// `search` is set, and otherwise only those that were found to need one before.
fn take_orders<P: Port>(
    cx: &Context<P>,
    leadership: &Leadership,
    search: bool,
    now: Instant,
) -> Vec<Order> {
    let id = cx.incarnation;
    cx.node.state(|s| {
        let mut fleet = leadership.fleet.borrow_mut();
        if search {
            fleet.queue_orders(s, id, now);
        }
        let next = || {
            let order = fleet.queued_order(s, id, now)?;
            fleet.order_sent(id, order, now);
            Some(order)
        };
        std::iter::from_fn(next).collect()
    })
}

async fn send_order<P: Port>(cx: &Context<P>, leadership: Rc<Leadership>, order: Order) {
    let now = Instant::now();
    let not_sent = || {
        let mut fleet = leadership.fleet.borrow_mut();
        fleet.answered(cx.incarnation, order, OrderAnswer::NotSent, now);
    };
    let Some(route) = cx.caller.route() else { return not_sent() };
    let lease_end_ms = cx.node.state(|s| {
        let mut fleet = leadership.fleet.borrow_mut();
        let deadline_ms = match order.kind {
            OrderKind::Start => fleet.start_deadline_ms(s, cx.incarnation).unwrap_or(0),
            OrderKind::Stop | OrderKind::Pace(_) => u64::MAX,
        };
        fleet.view_mut(cx.incarnation, now).grant_until(now, deadline_ms)
    });
    let Some(lease_end_ms) = lease_end_ms else { return not_sent() };
    let latest_start_ms = (order.kind == OrderKind::Start)
        .then(|| cx.node.latest_start_ms(&leadership, cx.incarnation, now))
        .flatten();
    // A worker never shortens what it was granted, so an earlier end only limits the start.
    let lease_end_ms = latest_start_ms.map_or(lease_end_ms, |latest| latest.min(lease_end_ms));
    let (call, has_advisor) = cx.node.state(|s| {
        let record = s.record(order.task.submission);
        let task = record.and_then(|r| r.task(order.task));
        let fleet = leadership.fleet.borrow();
        let ticket = fleet.advice.ticket(order.task.step_id(), cx.incarnation, now);
        let call = OrderCall {
            order,
            token: route.token(),
            payload: record.map(|r| r.spec.payload.clone()).unwrap_or_default(),
            checkpoint: task.map(|t| t.checkpoint.clone()).unwrap_or_default(),
            ticket: ticket.unwrap_or_default().into(),
            lease_end_ms,
        };
        (call, record.is_some_and(|r| r.policy.advisor.is_some()))
    });
    let needs_ticket = has_advisor && order.kind == OrderKind::Start;
    let token = call.token;
    let response = if needs_ticket && call.ticket.is_empty() {
        OrderResponse { answer: OrderAnswer::NoTicket, detail: "there is no valid ticket".into() }
    } else {
        cx.caller.order(&cx.node.port, &route, call).await
    };
    let elapsed = now.elapsed();
    cx.node.metrics.time("order", elapsed);
    let answer = response.answer;
    let end = leadership.fleet.borrow_mut().answered(cx.incarnation, order, answer, Instant::now());
    let kind = match order.kind {
        OrderKind::Start => "Start",
        OrderKind::Stop => "Stop",
        OrderKind::Pace(_) => "Pace",
    };
    if answer == OrderAnswer::Taken && order.kind == OrderKind::Start {
        leadership.record_recovery(RecoveryStep::FirstStart);
    }
    if answer == OrderAnswer::Taken {
        let key = LineKey { decision: "order", kind, outcome: "Taken", token };
        cx.node.run_log.record(key, cx.run_name(order.task, order.attempt, Some(elapsed)));
    } else {
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        tracing::info!(
            decision = "order", task = %order.task, attempt = order.attempt, kind,
            worker = %cx.worker, token, lease_end_ms, elapsed_us,
            outcome = ?answer, detail = %response.detail
        );
    }
    cx.node
        .metrics
        .count("order", if answer == OrderAnswer::Taken { "taken" } else { "not-taken" });
    if let Some(end) = end
        && let Err(e) = cx.commit_ends(&leadership, vec![end], |_| "rejected").await
    {
        tracing::info!(event = "end-not-agreed", task = %order.task, error = %e);
    }
}
