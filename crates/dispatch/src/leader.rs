//! The leader's loop: decide, commit, then act. Decisions are derived from the
//! committed state and from the runs that the workers list. Orders are derived
//! from the same data, so a decision doesn't have to be remembered until its
//! order is sent.

use crate::{
    evacuation,
    load::{LAG_INTERVAL, LoadReport},
    node::{MAX_LEASE, Node, wall_ms},
    notify::Notify,
    port::Port,
    recovery::{Recovery, RecoveryStep},
    refusals::Refusals,
    relay::{self, Relays, WorkerCaller},
    reports,
    round::RoundTimes,
    run_log::{MAX_RUNS_BYTES, RunName, push_name},
    worker,
};
use compio::runtime::JoinHandle;
use cyclamenloft_placement::submission::{
    Command, CommandResult, Fleet, GivenUp, IncarnationId, Placement, Silence, SubmissionId,
    SubmissionState,
    fleet::begun_long_tasks,
    interference::Interference,
    planner,
    state::{IncarnationsVersion, Phase},
};
use cyclamenloft_replication::{Replica, Role};
use cyclamenloft_types::{LogIndex, Result, Term};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

/// Time between two checks for runs that make no progress or would run better elsewhere, both
/// of which show over seconds.
const WITHDRAW_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two checks by a follower whether it has become the leader, and the pause
/// after a failed round.
const FOLLOWER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks of the waiting tasks, the learned interference and the submissions
/// whose retention time has passed.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two commits of the starts that can't be carried out any more.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of log lines about waiting tasks per second.
const MAX_WAITING_LINES: usize = 3;

/// The async tasks that call one incarnation of a worker.
pub(crate) struct WorkerTasks {
    /// Signals that there may be an order to send.
    pub wake: Rc<Notify>,
    /// Dropping the handles cancels the tasks.
    _tasks: [JoinHandle<()>; 2],
}

/// State that a replica keeps while it leads.
pub(crate) struct Leadership {
    /// The term, from which the fencing tokens of calls to workers are derived.
    pub token: Term,
    pub fleet: RefCell<Fleet>,
    /// The replicas that call workers.
    pub relays: Relays,
    pub refusals: RefCell<Refusals>,
    /// Estimated memory of the submissions that are being committed, in bytes.
    pub committing_bytes: Cell<usize>,
    worker_tasks: RefCell<BTreeMap<IncarnationId, WorkerTasks>>,
    ended_since: RefCell<BTreeMap<SubmissionId, Instant>>,
    /// The incarnations for which tasks were started last.
    known_incarnations: Cell<IncarnationsVersion>,
    next_withdrawal: Cell<Instant>,
    recovery: RefCell<Recovery>,
}

impl Leadership {
    fn new(token: Term, longest_lease: Duration, recovery: Recovery, now: Instant) -> Self {
        Self {
            token,
            fleet: RefCell::new(Fleet::new(longest_lease.min(MAX_LEASE), now)),
            relays: Relays::new(token),
            refusals: RefCell::new(Refusals::new(token)),
            committing_bytes: Cell::default(),
            worker_tasks: RefCell::default(),
            ended_since: RefCell::default(),
            known_incarnations: Cell::default(),
            next_withdrawal: Cell::new(now),
            recovery: RefCell::new(recovery),
        }
    }

    /// Logs a step of the recovery when it is reached for the first time.
    pub fn record_recovery(&self, step: RecoveryStep) {
        let mut recovery = self.recovery.borrow_mut();
        if let Some(elapsed) = recovery.record(step, Instant::now()) {
            log_recovery(self.token, step, elapsed, recovery.missing_count());
        }
    }

    fn check_recovery(&self, state: &SubmissionState) {
        let mut recovery = self.recovery.borrow_mut();
        let fleet = self.fleet.borrow();
        if let Some(elapsed) =
            recovery.check_tasks(|task| fleet.is_back(state, task), Instant::now())
        {
            log_recovery(self.token, RecoveryStep::TasksBack, elapsed, 0);
        }
    }

    /// Wakes the order task of an incarnation.
    pub fn wake(&self, incarnation: IncarnationId) {
        if let Some(tasks) = self.worker_tasks.borrow().get(&incarnation) {
            tasks.wake.notify();
        }
    }

    /// Wakes the order tasks of all workers that run tasks of a submission.
    pub fn wake_runs(&self, state: &SubmissionState, id: SubmissionId) {
        let Some(record) = state.record(id) else { return };
        for run in record.tasks.iter().flatten().flatten().flat_map(|t| &t.runs) {
            self.wake(run.incarnation);
        }
    }
}

/// When this replica noticed that it was elected.
#[derive(Clone, Copy, Debug)]
struct Election {
    term: Term,
    at: Instant,
}

/// Runs the leader's rounds whenever this replica is the leader.
pub(crate) async fn run<P: Port>(node: Rc<Node<P>>) {
    let started = Instant::now();
    let mut elected = Election { term: 0, at: started };
    loop {
        let now = Instant::now();
        if !node.replica.leads(now) {
            end_former_leadership(&node);
            let wait = until_leadership_changes(&node.replica);
            let _ = compio::time::timeout(FOLLOWER_POLL_INTERVAL, wait).await;
            let status = node.replica.status();
            if status.role == Role::Leader && elected.term != status.term {
                elected = Election { term: status.term, at: Instant::now() };
                let since_start_ms = as_ms(elected.at - started);
                tracing::info!(
                    event = "recovery",
                    term = elected.term,
                    step = "elected",
                    since_start_ms
                );
            }
            continue;
        }
        if !node.suspension.update_and_check() {
            // The leader lease may have expired during the suspension: only a
            // committed entry proves that this replica still leads.
            match node.replica.barrier().await {
                Ok(_) => node.suspension.confirm(),
                Err(e) => {
                    tracing::info!(event = "not-confirmed", error = %e);
                    compio::time::sleep(FOLLOWER_POLL_INTERVAL).await;
                }
            }
            continue;
        }
        let change_count = node.decision_due.change_count();
        let result = match current_leadership(&node, elected).await {
            Ok(leadership) => run_round(&node, &leadership).await,
            Err(e) => Err(e),
        };
        let round = match result {
            Ok(round) => round,
            Err(e) => {
                tracing::info!(event = "round-failed", error = %e);
                compio::time::sleep(FOLLOWER_POLL_INTERVAL).await;
                continue;
            }
        };
        compio::time::sleep_until(round.next_at()).await;
        let changed = node.decision_due.changed(change_count);
        let _ = compio::time::timeout_at(round.next_by(), changed).await;
    }
}

/// Waits until this replica is elected or, once it is, until it may decide. A new leader would
/// lose the time until the next check.
async fn until_leadership_changes(replica: &Replica<SubmissionState>) {
    if replica.status().role != Role::Leader {
        replica.changed(LogIndex::MAX).await;
        return;
    }
    if replica.barrier().await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn as_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn log_recovery(term: Term, step: RecoveryStep, elapsed: Duration, missing: usize) {
    let since_elected_ms = as_ms(elapsed);
    tracing::info!(event = "recovery", term, step = step.as_str(), since_elected_ms, missing);
}

/// Drops the leader's state once its term is over.
///
/// A leader that hasn't heard from a majority for a moment leads the same term again afterwards.
/// Its state stays valid, since no other replica can have led the term. With another one for the
/// same term, the tasks of both would call the workers, with tokens that are handed out twice.
fn end_former_leadership<P: Port>(node: &Node<P>) {
    let term = node.replica.status().term;
    let is_over = node.leadership.borrow().as_ref().is_some_and(|l| l.token != term);
    if is_over {
        node.leadership.take();
        tracing::info!(event = "leadership-lost", term);
    }
}

/// Does what is due once a second while this replica leads, beside the rounds, which should
/// not wait for its commits. Runs until the task is cancelled.
pub(crate) async fn housekeep<P: Port>(node: Rc<Node<P>>) {
    let mut evacuated = evacuation::Reported::default();
    loop {
        compio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        evacuated.update(&node);
        if node.leads() {
            if let Some(leadership) = &*node.leadership.borrow() {
                node.state(|s| leadership.fleet.borrow_mut().retain(s));
                let held = node.state(|s| {
                    let newest = newest_at(s);
                    let fleet = leadership.fleet.borrow();
                    leadership.relays.retain(|w| {
                        if s.is_outdated(&w.id, w.started_ms) {
                            return !fleet.has_answered(s, &w.id);
                        }
                        newest.get(&w.addr).is_none_or(|at| w.started_ms >= *at)
                    })
                });
                node.metrics.level("held", held);
                let held_back = leadership.fleet.borrow().held_back_count();
                node.metrics.level("held-back", held_back);
                if node.load.is_overloaded() {
                    leadership.relays.record_overload();
                }
            }
            log_load(&node, node.load.take());
            log_start_estimates(&node);
            log_waiting(&node);
            log_short_of_room(&node);
            persist_learned(&node).await;
            remove_ended(&node).await;
        }
    }
}

/// Commits which starts can't be carried out any more while this replica leads, so that the next
/// leader needn't wait for their calls. Runs until the task is cancelled.
pub(crate) async fn settle_starts<P: Port>(node: Rc<Node<P>>) {
    loop {
        compio::time::sleep(SETTLE_INTERVAL).await;
        let leadership = node.leadership.borrow().clone();
        let Some(leadership) = leadership.filter(|_| node.leads()) else { continue };
        let (settled, waits) = node.state(|s| {
            let (fleet, now) = (leadership.fleet.borrow(), Instant::now());
            node.metrics.level("starts-open", s.open_starts().count());
            node.metrics.level("starts-held", fleet.held_starts(s, now));
            (fleet.settled_starts(s, now), fleet.waits(s, now, wall_ms()))
        });
        for command in Command::settled(settled).into_iter().chain(Command::waits(waits)) {
            if let Err(e) = node.propose(command).await {
                tracing::info!(event = "starts-not-settled", error = %e);
                break;
            }
        }
    }
}

/// Returns the start time of the newest incarnation at each address.
fn newest_at(state: &SubmissionState) -> BTreeMap<SocketAddr, u64> {
    let mut newest = BTreeMap::new();
    for (_, incarnation) in state.incarnations() {
        let at: &mut u64 = newest.entry(incarnation.worker.addr).or_default();
        *at = incarnation.worker.started_ms.max(*at);
    }
    newest
}

/// Commits the learned interference model, for use by the next leader.
async fn persist_learned<P: Port>(node: &Node<P>) {
    let Some(leadership) = node.leadership.borrow().clone() else { return };
    let command = Command::learned(leadership.fleet.borrow().interference.learned());
    let Command::Learned(learned) = &command else { return };
    if learned.is_empty() || node.state(|s| s.learned() == *learned) {
        return;
    }
    if let Err(e) = node.propose(command).await {
        tracing::info!(event = "learned-not-kept", error = %e);
    }
}

/// Measures how late this process handles what is due, while this replica leads.
pub(crate) async fn measure_lag<P: Port>(node: Weak<Node<P>>) {
    let mut due = Instant::now();
    while let Some(node) = node.upgrade() {
        let now = Instant::now();
        let lag = now.saturating_duration_since(due);
        if node.leadership.borrow().is_some() {
            node.load.record_lag(lag);
            node.metrics.time("lag", lag);
        }
        drop(node);
        due = now + LAG_INTERVAL;
        compio::time::sleep_until(due).await;
    }
}

/// Logs how busy the leader was in the last second.
fn log_load<P: Port>(node: &Node<P>, load: LoadReport) {
    let open = node.state(|s| s.open_count());
    tracing::info!(
        event = "load",
        rounds = load.rounds,
        full_rounds = load.full_rounds,
        planning_ms = as_ms(load.planning),
        max_lag_ms = as_ms(load.max_lag),
        open
    );
}

/// Logs the predicted and the actual starts of the submissions that have started or should have.
fn log_start_estimates<P: Port>(node: &Node<P>) {
    let Some(leadership) = node.leadership.borrow().clone() else { return };
    let checked = node.state(|s| {
        let backlog = &mut leadership.fleet.borrow_mut().backlog;
        backlog.check_waiting(|id| s.record(id).map(|r| r.phase), Instant::now());
        backlog.take_checked()
    });
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    for c in checked {
        let (predicted_ms, actual_ms) = (millis(c.predicted), millis(c.actual));
        let outcome = match (c.started, c.too_long) {
            (false, _) => "waits",
            (true, false) => "started",
            (true, true) => "started-early",
        };
        tracing::info!(
            event = "start-estimate", submission = %format_args!("{:016x}", c.id),
            predicted_ms, actual_ms, outcome
        );
        node.metrics.count("start-estimate", outcome);
    }
}

/// Logs the waiting tasks, most important first.
fn log_waiting<P: Port>(node: &Node<P>) {
    let Some(leadership) = node.leadership.borrow().clone() else { return };
    let (count, first) = node.state(|s| {
        let fleet = leadership.fleet.borrow();
        planner::waiting(s, &fleet, MAX_WAITING_LINES, Instant::now(), wall_ms())
    });
    let stale = leadership.fleet.borrow().stale_count();
    node.metrics.level("waiting", count);
    for w in first {
        tracing::info!(
            decision = "wait", task = %w.task, waited_ms = w.waited_ms, need = %w.need,
            widest_free = %w.widest_free, usable = w.usable, roomy = w.roomy, unfilled = w.unfilled,
            tolerant = w.tolerant, fills = w.fills, waiting = count, stale,
            outcome = "no-room"
        );
    }
}

/// Logs the services that are short of room for urgent short tasks.
fn log_short_of_room<P: Port>(node: &Node<P>) {
    let Some(leadership) = node.leadership.borrow().clone() else { return };
    let fleet = leadership.fleet.borrow();
    let (short, withheld) = fleet.short_of_room();
    node.metrics.level("short-of-room", short.len());
    node.metrics.level("withheld", withheld);
    for s in short {
        let kept = s.kept.map(|(step, _)| step.to_string()).unwrap_or_default();
        tracing::info!(
            event = "short-of-room", service = %s.service, usable_millis = s.usable,
            expected_millis = s.expected, share_millis = s.share, kept_for = kept, withheld
        );
    }
}

/// Returns the leader's state for the current term, and creates it at the start
/// of the term.
async fn current_leadership<P: Port>(
    node: &Rc<Node<P>>,
    elected: Election,
) -> Result<Rc<Leadership>> {
    let term = node.replica.status().term;
    if let Some(known) = node.leadership.borrow().as_ref().filter(|l| l.token == term) {
        return Ok(known.clone());
    }
    node.leadership.take();
    node.replica.barrier().await?;
    let now = Instant::now();
    // An election during a round is noticed after the round.
    let elected_at = if elected.term == term { elected.at } else { now };
    let recovery = Recovery::new(elected_at, node.state(begun_long_tasks));
    let leadership = Rc::new(Leadership::new(term, node.settings.longest_lease, recovery, now));
    leadership.fleet.borrow_mut().set_longest_accepted(node.settings.longest_lease);
    node.state(|s| leadership.fleet.borrow_mut().take_over_lives(s, now, wall_ms()));
    leadership.fleet.borrow_mut().set_report_bound(node.settings.report_bound);
    leadership.fleet.borrow_mut().interference =
        node.state(|s| Interference::from_learned(s.learned()));
    leadership.fleet.borrow_mut().load_policy = node.settings.load_policy;
    node.leadership.replace(Some(leadership.clone()));
    compio::runtime::spawn(relay::maintain(node.clone(), Rc::downgrade(&leadership))).detach();
    let (open, incarnations) = node.state(|s| (s.open_count(), s.incarnations().count()));
    tracing::info!(event = "leadership-gained", term, open, lives = incarnations);
    leadership.record_recovery(RecoveryStep::Barrier);
    node.metrics.count("leadership", "gained");
    Ok(leadership)
}

/// Runs one round.
async fn run_round<P: Port>(node: &Rc<Node<P>>, leadership: &Rc<Leadership>) -> Result<RoundTimes> {
    sync_worker_tasks(node, leadership);
    record_silent(node, leadership).await?;
    let now = Instant::now();
    let lost = node.state(|s| leadership.fleet.borrow_mut().declare_lost(s, now));
    for (incarnation, checkpoints) in lost {
        let (worker, loss, under_way) = node.state(|s| {
            let worker = s.incarnation(incarnation).map(|l| (l.worker.id.clone(), l.runs.len()));
            let fleet = leadership.fleet.borrow();
            (worker, fleet.loss(s, incarnation, now), fleet.starts_under_way(s, incarnation))
        });
        node.propose(Command::lost(incarnation, checkpoints)).await?;
        if let (Some((worker, runs)), Some(loss)) = (worker, loss) {
            tracing::info!(
                decision = "worker", %worker, life = incarnation, runs,
                reason = loss.reason.as_str(), silent_ms = loss.silent_for.map(as_ms),
                lease_left_ms = as_ms(loss.lease_left), observed = loss.observed,
                starts_under_way = under_way, outcome = "lost"
            );
            node.metrics.count_many("worker", "starts-under-way", under_way as u64);
            node.metrics.count("lost", loss.reason.as_str());
        }
        node.metrics.count("worker", "lost");
    }
    node.state(|s| leadership.check_recovery(s));
    reports::log_stale(node, leadership);
    withdraw(node, leadership);
    place(node, leadership).await
}

/// Commits what is known of workers that have become unreachable.
async fn record_silent<P: Port>(node: &Node<P>, leadership: &Leadership) -> Result<()> {
    let now = Instant::now();
    let silences = node.state(|s| leadership.fleet.borrow_mut().take_silent(s, now, wall_ms()));
    commit_silences(node, silences).await
}

/// Commits and logs what is known of workers that have become unreachable.
pub(crate) async fn commit_silences<P: Port>(node: &Node<P>, silences: Vec<Silence>) -> Result<()> {
    node.state(|s| silences.iter().for_each(|silence| log_silence(s, silence)));
    for command in Command::silent(silences) {
        node.propose(command).await?;
    }
    Ok(())
}

/// Logs the runs on a worker that has become unreachable, each with how long it had gone on.
fn log_silence(state: &SubmissionState, silence: &Silence) {
    let incarnation = silence.incarnation;
    let Some(worker) = state.incarnation(incarnation).map(|i| &i.worker.id) else { return };
    if silence.runs.is_empty() {
        return;
    }
    let mut runs = String::new();
    for run in &silence.runs {
        let task = state.record(run.task.submission).and_then(|r| r.task(run.task));
        let known = task.and_then(|t| t.runs.iter().find(|r| r.incarnation == incarnation));
        let Some(attempt) = known.map(|r| r.attempt) else { continue };
        let (task, took) = (run.task, Some(run.age()));
        push_name(&mut runs, RunName { task, attempt, worker, incarnation, took });
    }
    let inexact = silence.runs.iter().filter(|run| !run.exact).count();
    tracing::info!(event = "worker-runs", %worker, life = incarnation, inexact, runs);
}

/// Logs the tasks that are given up, and stops what else runs of their submissions.
pub(crate) fn log_given_up<P: Port>(node: &Node<P>, given_up: &[GivenUp]) {
    for GivenUp { task, crashes } in given_up {
        let workers: Vec<String> =
            crashes.iter().map(|(worker, age)| format!("{worker}+{}ms", age.as_millis())).collect();
        tracing::info!(
            decision = "over", submission = %format_args!("{:016x}", task.submission), %task,
            crashes = workers.len(), workers = workers.join(" "), reason = "crashed-workers",
            outcome = ?Phase::Failed
        );
        node.metrics.count("over", "crashed-workers");
        if let Some(leadership) = &*node.leadership.borrow() {
            node.state(|s| leadership.wake_runs(s, task.submission));
        }
    }
}

/// Withdraws runs that are stuck, that would progress faster elsewhere, whose
/// worker is leaving, that no longer fit their worker, or that wait too long for its report.
fn withdraw<P: Port>(node: &Node<P>, leadership: &Leadership) {
    let now = Instant::now();
    let (mut stuck, mut moved) = (Vec::new(), Vec::new());
    if now >= leadership.next_withdrawal.get() {
        leadership.next_withdrawal.set(now + WITHDRAW_INTERVAL);
        stuck = leadership.fleet.borrow_mut().withdraw_stuck(now);
        moved = node.state(|s| planner::moves(s, &leadership.fleet.borrow(), now));
    }
    for (incarnation, task) in &moved {
        leadership.fleet.borrow_mut().withdraw(*incarnation, *task, now);
    }
    let leaving = node.state(|s| leadership.fleet.borrow_mut().drain_workers(s));
    let oversized = node.state(|s| leadership.fleet.borrow_mut().withdraw_oversized(s, now));
    let withdrawn = leaving.iter().map(|w| (w, "leaving"));
    let withdrawn = withdrawn.chain(oversized.iter().map(|w| (w, "no-capacity")));
    let stale = node.state(|s| leadership.fleet.borrow_mut().withdraw_stale(s, now));
    let withdrawn = withdrawn.chain(stale.iter().map(|w| (w, "stale-capacity")));
    let withdrawn = withdrawn.chain(stuck.iter().map(|w| (w, "stuck")));
    for ((incarnation, task), outcome) in withdrawn.chain(moved.iter().map(|w| (w, "moved"))) {
        tracing::info!(decision = "withdraw", %task, life = incarnation, outcome);
        node.metrics.count("withdraw", outcome);
        leadership.wake(*incarnation);
    }
}

/// Plans and commits placements.
async fn place<P: Port>(node: &Rc<Node<P>>, leadership: &Rc<Leadership>) -> Result<RoundTimes> {
    let began = Instant::now();
    let proposed = node
        .state(|s| planner::plan(s, &mut leadership.fleet.borrow_mut(), Instant::now(), wall_ms()));
    let planned_at = Instant::now();
    let planning = planned_at.saturating_duration_since(began);
    let is_full = proposed.len() >= planner::MAX_PLACED;
    node.metrics.time("plan", planning);
    node.load.record_round(planning, is_full);
    let times = || RoundTimes { planned_at, planning, ended_at: Instant::now(), is_full };
    if proposed.is_empty() {
        return Ok(times());
    }
    let proposed_count = proposed.len();
    let CommandResult::Placed(placed) = node.propose(Command::Place(proposed)).await? else {
        return Ok(times());
    };
    let commit_us = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
    log_placed(node, &placed, leadership.token, commit_us);
    placed.iter().for_each(|p| leadership.wake(p.incarnation));
    node.metrics.count_many("place", "placed", placed.len() as u64);
    node.metrics.count_many("place", "void", (proposed_count - placed.len()) as u64);
    Ok(times())
}

fn log_placed<P: Port>(node: &Node<P>, placed: &[Placement], token: Term, commit_us: u64) {
    let line = |runs: &str| {
        tracing::info!(decision = "place", commit_us, token, runs, outcome = "placed");
    };
    let mut runs = String::new();
    node.state(|s| {
        for p in placed {
            let worker = s.incarnation(p.incarnation).map_or("", |i| &*i.worker.id);
            let Placement { task, attempt, incarnation } = *p;
            push_name(&mut runs, RunName { task, attempt, worker, incarnation, took: None });
            if runs.len() >= MAX_RUNS_BYTES {
                line(&runs);
                runs.clear();
            }
        }
    });
    if !runs.is_empty() {
        line(&runs);
    }
}

/// Starts tasks for each new incarnation and cancels those of incarnations that
/// are gone.
fn sync_worker_tasks<P: Port>(node: &Rc<Node<P>>, leadership: &Rc<Leadership>) {
    node.state(|s| {
        let version = s.incarnations_version();
        if leadership.known_incarnations.replace(version) == version {
            return;
        }
        leadership.fleet.borrow_mut().retain(s);
        let mut worker_tasks = leadership.worker_tasks.borrow_mut();
        worker_tasks.retain(|id, _| s.incarnation(*id).is_some());
        for (id, incarnation) in s.incarnations() {
            worker_tasks.entry(id).or_insert_with(|| {
                let wake = Rc::new(Notify::default());
                let cx = worker::Context {
                    node: node.clone(),
                    leadership: Rc::downgrade(leadership),
                    incarnation: id,
                    worker: incarnation.worker.id.clone(),
                    caller: Rc::new(WorkerCaller::new(&incarnation.worker)),
                    wake: wake.clone(),
                };
                let polls = compio::runtime::spawn(worker::poll(cx.clone()));
                let orders = compio::runtime::spawn(worker::send_orders(cx));
                WorkerTasks { wake, _tasks: [polls, orders] }
            });
        }
        node.metrics.level("workers", worker_tasks.len());
    });
}

/// Drops submissions that ended longer ago than the retention time.
async fn remove_ended<P: Port>(node: &Node<P>) {
    let Some(leadership) = node.leadership.borrow().clone() else { return };
    let now = Instant::now();
    let due: Vec<SubmissionId> = node.state(|s| {
        node.metrics.level("open", s.open_count());
        let mut ended_since = leadership.ended_since.borrow_mut();
        ended_since.retain(|id, _| s.record(*id).is_some());
        let ended = s.records().filter(|(_, r)| r.phase != Phase::Open);
        let mut old = |id: &SubmissionId| {
            now >= *ended_since.entry(*id).or_insert(now) + node.settings.retention
        };
        ended.map(|(id, _)| *id).filter(&mut old).collect()
    });
    for command in Command::forget(due) {
        if let Err(e) = node.propose(command).await {
            tracing::info!(event = "forget-failed", error = %e);
            return;
        }
    }
}
