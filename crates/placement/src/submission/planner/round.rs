//! One planning round: the open submissions are placed one after the other, each
//! as far as the workers have room.

use super::{
    super::{
        backlog::{self, ClassName, ShortTally, is_short},
        command::Placement,
        crashes::MIN_CRASHES,
        fleet::{Fleet, Tally},
        spec::{Step, StepId, SubmissionId, TaskId},
        state::{IncarnationId, Record, Run, SubmissionState},
    },
    Context, FIRST_START_ALLOWANCE, MAX_PLACED, MAX_ROUND, PendingTask, STARVING_AFTER, Timeliness,
    best_bin_checked,
    bin::{Bin, BudgetCheck, ReservedFrom},
    for_each_due,
    gang::place_gang,
    isolation::{isolate_suspects, max_isolated},
    pick::{Picker, UnplacedTasks},
    shortage::{MAX_WITHHELD, Shortages, Turn},
    timeliness,
};
use cyclamenloft_types::{Resources, ServiceName};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Percentage of a service's CPUs that must be free before a submission without
/// any run is placed regardless of interference. The users count a lack of
/// progress as a fault if at least 50% are free.
const FREE_CPU_PERCENT: u64 = 40;
/// Cost of a worker at whose address a worker has crashed under the task. It outweighs the work
/// at risk, because crashes of different workers tell more.
const CRASHED_HERE_COST: f64 = 1e6;
/// One round may reserve at most one worker in this many, plus one. The number is
/// limited because a reserved worker runs no new short tasks.
const MAX_RESERVED_ONE_IN: usize = 12;

/// The inputs of a round and its results so far.
pub(super) struct Round<'a, 'f> {
    state: &'a SubmissionState,
    fleet: &'f Fleet,
    cx: Context<'f>,
    wall_ms: u64,
    bins: Vec<Bin<'a>>,
    unplaced: UnplacedTasks,
    /// Workers on which suspects start in this round, by submission.
    isolated: BTreeMap<SubmissionId, usize>,
    /// Runs to place.
    pub(super) placed: Vec<Placement>,
    /// Long-running tasks without room, and the wait that each is allowed before
    /// it counts as starving.
    pub(super) waiting: Vec<(TaskId, Duration)>,
    /// Counts of best-effort tasks, by image.
    pub(super) tallies: BTreeMap<&'a str, Tally>,
    /// Counts of short tasks, by class. They remain empty while too few workers are usable to
    /// tell the rate at which tasks start.
    pub(super) short_tallies: BTreeMap<ClassName<'a>, ShortTally>,
    counts_short: bool,
    /// The services that are short of room for short tasks.
    pub(super) shortages: Shortages,
    /// Steps of long-running tasks from which room for two of their tasks was withheld.
    pub(super) withheld: BTreeSet<StepId>,
    /// Steps of long-running tasks that may take room because it was withheld for long.
    pub(super) released: BTreeSet<StepId>,
    /// Workers that are kept for the first start of a long-running task, by service.
    pub(super) held: BTreeMap<ServiceName, (StepId, IncarnationId)>,
    /// Needs of first starts for which no worker could be kept, by service: larger ones aren't
    /// tried.
    not_held: Vec<(&'a ServiceName, Resources)>,
    /// Whether the round was full before all tasks of a submission were considered.
    pub(super) skipped_tasks: bool,
}

impl<'a, 'f> Round<'a, 'f> {
    pub(super) fn new(
        state: &'a SubmissionState,
        fleet: &'f Fleet,
        mut bins: Vec<Bin<'a>>,
        now: Instant,
        wall_ms: u64,
    ) -> Self {
        isolate_suspects(state, fleet, &mut bins, now);
        // Workers that draining or maintenance takes away don't return soon, but elections and
        // cuts pass.
        let counts_short = bins.len() * 2 >= state.incarnations().count();
        let shortages = Shortages::assess(state, fleet, &bins, now, wall_ms);
        for (service, shortage) in shortages.services() {
            let own = |b: &&mut Bin<'_>| b.incarnation.worker.service == *service;
            bins.iter_mut().filter(own).for_each(|b| b.urgent_unit = Some(shortage.urgent_unit()));
        }
        Self {
            state,
            fleet,
            cx: Context::of(fleet, now),
            wall_ms,
            bins,
            unplaced: UnplacedTasks::default(),
            isolated: BTreeMap::new(),
            placed: Vec::new(),
            waiting: Vec::new(),
            tallies: BTreeMap::new(),
            short_tallies: BTreeMap::new(),
            counts_short,
            shortages,
            withheld: BTreeSet::new(),
            released: BTreeSet::new(),
            held: BTreeMap::new(),
            not_held: Vec::new(),
            skipped_tasks: false,
        }
    }

    /// Returns whether no further runs are placed in this round.
    pub(super) fn is_full(&self) -> bool {
        self.placed.len() >= MAX_PLACED
    }

    /// Places as many tasks of a submission as possible, of those whose turn it is.
    pub(super) fn place(&mut self, record: &'a Record, turn: Turn) {
        let (fleet, now) = (self.fleet, self.cx.now);
        let state = self.state;
        // The copies of a fatal task would crash several workers at once.
        let wants_copy = |id, run: &Run| {
            fleet.wants_copy(run.incarnation, id, now) && state.suspicions(id) < MIN_CRASHES
        };
        let mut gangs: Vec<PendingTask<'a>> = Vec::new();
        let mut picker: Option<Picker> = None;
        for_each_due(record, self.wall_ms, wants_copy, |task, step| {
            if self.is_full() {
                self.skipped_tasks = true;
                return false;
            }
            if fleet.is_held_back(state, task, now) {
                return true;
            }
            let pending = PendingTask { record, task, step };
            let is_split = step.lasting && !step.gang;
            match turn {
                Turn::AfterUrgent if !is_split => return false,
                Turn::AfterUrgent if pending.is_restart() => return true,
                Turn::AfterUrgent if self.shortages.placed_before.contains(&task) => return true,
                Turn::BeforeUrgent if is_split && !pending.is_restart() => {
                    return self.place_with_share(&mut picker, pending);
                }
                _ => {}
            }
            if step.gang {
                gangs.push(PendingTask { task: TaskId { index: 0, ..task }, ..pending });
                return false;
            }
            let suspicions = state.suspicions(task);
            if suspicions > 0 && self.may_isolate(task.submission, suspicions) {
                self.place_isolated(pending);
                return true;
            }
            let picked = self.pick(&mut picker, pending);
            match picked {
                Some(bin) if self.withholds(pending, bin) => {
                    self.waiting.push((task, FIRST_START_ALLOWANCE));
                    return false;
                }
                Some(bin) => self.assign(&mut picker, pending, bin),
                // No other task of the step fits either, so the rest is skipped.
                None => self.record_unplaced(pending),
            }
            picked.is_some()
        });
        for first in gangs {
            if self.is_full() {
                self.skipped_tasks = true;
                break;
            }
            self.place_gang(first);
        }
    }

    fn pick(&mut self, picker: &mut Option<Picker>, pending: PendingTask<'a>) -> Option<usize> {
        let cx = (self.cx, self.wall_ms);
        Picker::pick(picker, &mut self.unplaced, pending, &self.bins, cx)
            .or_else(|| self.last_resort(pending))
    }

    fn assign(&mut self, picker: &mut Option<Picker>, pending: PendingTask<'a>, bin: usize) {
        let PendingTask { record, task, step } = pending;
        let before = self.bins[bin].free;
        self.bins[bin].take(step, task, self.cx.interference);
        self.shortages.record_taken(&record.policy.service, &before, &self.bins[bin].free);
        if step.lasting {
            self.shortages.record_lasting(&record.policy.service, step.demand.cpu_millis);
        }
        if let Some(picker) = picker {
            picker.took(pending, &self.bins, bin, self.cx);
        }
        let state = record.task(task);
        let attempt = state.map_or(0, |t| t.attempt) + 1;
        self.placed.push(Placement { task, attempt, incarnation: self.bins[bin].id });
        if state.is_some_and(|t| t.runs.is_empty()) {
            self.tally(step, |tally| tally.started += 1);
            self.tally_short(pending, ShortTally::record_started);
        }
    }

    /// Updates the counts of the task's class if it is a short task.
    fn tally_short(
        &mut self,
        PendingTask { record, task, step }: PendingTask<'a>,
        count: impl FnOnce(&mut ShortTally, &Step, SubmissionId),
    ) {
        if self.counts_short && is_short(step) {
            let class = ClassName::of(&record.spec.queue, step);
            count(self.short_tallies.entry(class).or_default(), step, task.submission);
        }
    }

    /// Records that no worker was found for a task. Room is reserved for a
    /// long-running task that has waited for long.
    fn record_unplaced(&mut self, pending: PendingTask<'a>) {
        if pending.step.lasting {
            let restarts = pending.is_restart();
            let allowance = if restarts { Duration::ZERO } else { FIRST_START_ALLOWANCE };
            let waited = self.fleet.waited(pending.task, self.cx.now);
            let policy = &pending.record.policy;
            if !restarts && self.shortages.get(&policy.service, policy.priority).is_some() {
                let id = pending.task.step_id();
                let waited = self.fleet.urgent_room.first_start_wait(id, self.cx.now);
                if waited >= allowance + STARVING_AFTER {
                    self.hold_worker(pending);
                }
            } else if waited >= allowance + STARVING_AFTER {
                reserve_room(pending, &mut self.bins, self.cx, ReservedFrom::All);
            } else if waited >= allowance {
                reserve_room(pending, &mut self.bins, self.cx, ReservedFrom::Short);
            }
            self.waiting.push((pending.task, allowance));
        }
        self.tally_waiting(pending);
        let PendingTask { record, step, .. } = pending;
        if self.wall_ms <= record.at_ms + backlog::least_useful_ms(step, &record.policy) {
            self.tally_short(pending, ShortTally::record_unplaced);
        }
    }

    /// Places the first start of a long-running task before short tasks, if it has a share of the
    /// room. Returns whether the next task of its step may be tried.
    fn place_with_share(&mut self, picker: &mut Option<Picker>, pending: PendingTask<'a>) -> bool {
        let PendingTask { record, task, step } = pending;
        if self.shortages.placed_before.contains(&task) {
            return true;
        }
        if self.state.suspicions(task) > 0
            || !self.shortages.has_share(&record.policy.service, step.demand.cpu_millis)
        {
            return false;
        }
        let Some(bin) = self.pick(picker, pending) else { return false };
        self.shortages.spend(&record.policy.service, step.demand.cpu_millis);
        self.shortages.placed_before.insert(task);
        self.assign(picker, pending, bin);
        true
    }

    /// Places the first starts for which workers have been kept, or keeps these workers for
    /// longer.
    pub(super) fn place_held(&mut self) {
        let rooms = &self.fleet.urgent_room.services;
        let held = rooms.iter().filter_map(|(service, room)| Some((service, room.held?)));
        for (service, (id, incarnation)) in held {
            if self.is_full() {
                self.held.insert(service.clone(), (id, incarnation));
                continue;
            }
            let Some(record) = self.state.open_record(id.submission) else { continue };
            if self.shortages.get(service, record.policy.priority).is_none() {
                continue;
            }
            let Some(pending) = first_start_of(record, id) else { continue };
            let Ok(bin) = self.bins.binary_search_by_key(&incarnation, |b| b.id) else { continue };
            if pending.suits(&self.bins[bin], self.cx, BudgetCheck::Strict) {
                self.shortages.placed_before.insert(pending.task);
                self.assign(&mut None, pending, bin);
            } else if fits_later(pending, &self.bins[bin], self.cx) {
                self.bins[bin].reserved_from = Some(ReservedFrom::Short);
                self.held.insert(service.clone(), (id, incarnation));
            }
        }
    }

    /// Keeps a worker free of new short tasks until the first start of a long-running task has
    /// room on it, unless the service has one that is kept. Short tasks that wait have taken their
    /// room in this round already, so it has none that they need now.
    fn hold_worker(&mut self, pending: PendingTask<'a>) {
        let service = &pending.record.policy.service;
        let need = pending.step.reserved();
        let is_hopeless =
            |(of, least): &(&ServiceName, Resources)| least.fits_in(&need) && *of == service;
        if self.held.contains_key(service) || self.not_held.iter().any(is_hopeless) {
            return;
        }
        let later = |(_, bin): &(usize, &Bin<'_>)| fits_later(pending, bin, self.cx);
        let room = |bin: &Bin<'_>| (bin.free.cpu_millis, bin.short_reserved.cpu_millis);
        let found = self.bins.iter().enumerate().filter(later).max_by_key(|(_, b)| room(b));
        if let Some((bin, _)) = found {
            self.bins[bin].reserved_from = Some(ReservedFrom::Short);
            self.held.insert(service.clone(), (pending.task.step_id(), self.bins[bin].id));
        } else if pending.step.max_per_worker == 0
            && pending.step.label.is_none()
            && pending.record.policy.advisor.is_none()
        {
            self.not_held.push((service, need));
        }
    }

    /// Returns whether the room on a worker is withheld from the first start of a long-running
    /// task, because short tasks are expected to need it soon.
    fn withholds(&mut self, pending: PendingTask<'a>, bin: usize) -> bool {
        let PendingTask { record, task, step } = pending;
        if !step.lasting || pending.is_restart() {
            return false;
        }
        let policy = &record.policy;
        let Some(shortage) = self.shortages.get(&policy.service, policy.priority) else {
            return false;
        };
        if shortage.leaves_enough(policy.priority, &self.bins[bin].free, &step.reserved()) {
            return false;
        }
        let id = task.step_id();
        let has_room_twice = || {
            let fitting =
                self.bins.iter().filter(|b| pending.suits(b, self.cx, BudgetCheck::Strict));
            fitting
                .scan(0, |sum, b| {
                    *sum += b.room_for(step, task);
                    Some(*sum)
                })
                .any(|sum| sum >= 2)
        };
        if has_room_twice() {
            if self.released.contains(&id) || self.fleet.urgent_room.room_for(id) >= MAX_WITHHELD {
                self.released.insert(id);
                return false;
            }
            self.withheld.insert(id);
        }
        true
    }

    /// Returns whether a suspect of the submission may get a worker of its own. One that is
    /// suspected of several crashes always may.
    fn may_isolate(&self, id: SubmissionId, suspicions: usize) -> bool {
        let others = self.bins.iter().filter(|b| b.isolated_for.is_some_and(|s| s != id));
        suspicions >= MIN_CRASHES || others.count() < max_isolated(self.bins.len())
    }

    /// Places a suspect on the worker whose crash would cost least. Until it has proven harmless,
    /// the worker gets only other suspects of the same submission that start along with it.
    fn place_isolated(&mut self, pending: PendingTask<'a>) {
        let PendingTask { task, step, .. } = pending;
        let id = task.submission;
        let bin = match self.isolated.get(&id) {
            Some(bin) => Some(*bin).filter(|bin| self.fits_beside_suspect(pending, *bin)),
            // A suspect of the submission has yet to prove harmless.
            None if self.bins.iter().any(|b| b.isolated_for == Some(id)) => None,
            None => self.pick_isolated(pending),
        };
        match bin {
            Some(bin) => {
                self.isolated.insert(id, bin);
                self.bins[bin].isolated_for = Some(id);
                self.assign(&mut None, pending, bin);
            }
            None if step.lasting => self.record_unplaced(pending),
            None => {}
        }
    }

    fn fits_beside_suspect(&mut self, pending: PendingTask<'a>, bin: usize) -> bool {
        let isolated_for = self.bins[bin].isolated_for.take();
        let fits = pending.suits(&self.bins[bin], self.cx, BudgetCheck::SoleExempt);
        self.bins[bin].isolated_for = isolated_for;
        fits
    }

    /// Picks a worker for a suspect: the one with the least work at risk, of those whose other
    /// runs have gone on for a while. If there is none, another one is kept free of new tasks.
    fn pick_isolated(&mut self, pending: PendingTask<'a>) -> Option<usize> {
        let task = pending.task;
        let cost = |bin: &Bin<'_>| {
            let addr = bin.incarnation.worker.addr;
            let again = self.state.crashes().has_crashed(task, addr);
            bin.work_at_risk + if again { CRASHED_HERE_COST } else { 0.0 }
        };
        let least = |settled: bool| {
            let suits = |(_, bin): &(usize, &Bin<'_>)| {
                let is_settled = || self.fleet.is_settled(self.state, bin.id, self.cx.now);
                pending.suits(bin, self.cx, BudgetCheck::SoleExempt)
                    && (!settled || !bin.taken && is_settled())
            };
            let fitting = self.bins.iter().enumerate().filter(suits);
            fitting.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b))).map(|(i, _)| i)
        };
        if let Some(bin) = least(true) {
            return Some(bin);
        }
        match least(false) {
            Some(bin) => {
                self.bins[bin].isolated_for = Some(task.submission);
                None
            }
            None => self.last_resort(pending),
        }
    }

    fn place_gang(&mut self, first: PendingTask<'a>) {
        let mut members = (0..first.step.count).map(|index| TaskId { index, ..first.task });
        let (state, fleet, now) = (self.state, self.fleet, self.cx.now);
        if self.placed.len() + usize::from(first.step.count) > MAX_ROUND
            || members.any(|member| fleet.is_held_back(state, member, now))
        {
            return self.tally_waiting(first);
        }
        let mut members = self.place_isolated_gang(first);
        if members.is_empty() {
            members = place_gang(first, &mut self.bins, self.cx, self.wall_ms);
        }
        if members.is_empty() {
            return self.tally_waiting(first);
        }
        let started = u32::from(first.step.count);
        self.tally(first.step, |tally| tally.started += started);
        self.placed.extend(members);
    }

    /// Places a gang with a suspect on workers of its own, if there are enough of them now.
    fn place_isolated_gang(&mut self, first: PendingTask<'a>) -> Vec<Placement> {
        let id = first.task.submission;
        let members = (0..first.step.count).map(|index| TaskId { index, ..first.task });
        let suspicions = members.map(|member| self.state.suspicions(member)).max().unwrap_or(0);
        if suspicions == 0 || !self.may_isolate(id, suspicions) {
            return Vec::new();
        }
        let is_free =
            |bin: &&Bin<'_>| !bin.taken && self.fleet.is_settled(self.state, bin.id, self.cx.now);
        let mut bins: Vec<Bin<'a>> = self.bins.iter().filter(is_free).cloned().collect();
        let members = place_gang(first, &mut bins, self.cx, self.wall_ms);
        for mut bin in bins.into_iter().filter(|b| members.iter().any(|m| m.incarnation == b.id)) {
            bin.isolated_for = Some(id);
            if let Some(own) = self.bins.iter_mut().find(|b| b.id == bin.id) {
                *own = bin;
            }
        }
        members
    }

    /// Updates the counts of the step's image if its tasks are best-effort.
    fn tally(&mut self, step: &'a Step, count: impl FnOnce(&mut Tally)) {
        if let Some(image) = step.image.as_deref().filter(|_| step.fills) {
            count(self.tallies.entry(image).or_default());
        }
    }

    /// Counts a best-effort step as waiting if a task of it, from this one on, has
    /// no worker and its submission can still be on time.
    fn tally_waiting(&mut self, PendingTask { record, task, step }: PendingTask<'a>) {
        if !step.fills {
            return;
        }
        let tasks = &record.tasks[task.occurrence as usize][usize::from(task.step)];
        let rest = &tasks[usize::from(task.index)..];
        let waits = rest.iter().any(|t| !t.done && t.runs.is_empty())
            && timeliness(record, self.wall_ms) == Timeliness::OnTime;
        self.tally(step, |tally| tally.waiting += u32::from(waits));
    }

    /// Returns a worker for a best-effort task whose submission has no run, if
    /// much of its service's room is free. The task may be throttled on that
    /// worker, but the submission makes progress while there is free room.
    fn last_resort(&self, pending: PendingTask<'_>) -> Option<usize> {
        let PendingTask { record, task, step } = pending;
        if !step.fills || pending.may_wait(self.wall_ms) {
            return None;
        }
        let runs = record.tasks.iter().flatten().flatten().any(|t| !t.runs.is_empty())
            || self.placed.iter().rev().any(|p| p.task.submission == task.submission);
        if runs {
            return None;
        }
        let service = &record.policy.service;
        let of_service = self.bins.iter().filter(|b| b.incarnation.worker.service == *service);
        let (mut free, mut whole) = (0, 0);
        for bin in of_service {
            free += u64::from(bin.free.cpu_millis);
            whole += u64::from(bin.incarnation.worker.capacity.cpu_millis);
        }
        if free * 100 < whole * FREE_CPU_PERCENT {
            return None;
        }
        best_bin_checked(pending, &self.bins, self.cx, BudgetCheck::Skip)
    }
}

/// Reserves a worker for a task that fits none now: of the workers on which it
/// will fit once their short tasks have ended, the one with the most free CPU.
/// Otherwise new short tasks would take the capacity as it becomes free.
pub(super) fn reserve_room(
    pending: PendingTask<'_>,
    bins: &mut [Bin<'_>],
    cx: Context<'_>,
    reserved_from: ReservedFrom,
) {
    if bins.iter().filter(|b| b.reserved_from.is_some()).count() > bins.len() / MAX_RESERVED_ONE_IN
    {
        return;
    }
    let fits = |bin: &&mut Bin<'_>| fits_later(pending, bin, cx);
    if let Some(bin) = bins.iter_mut().filter(fits).max_by_key(|b| b.free.cpu_millis) {
        bin.reserved_from = Some(reserved_from);
    }
}

/// Returns whether a task may run on a worker that isn't reserved and will fit it once the worker's
/// short tasks have ended. Best-effort tasks that fit now wait for something else than room.
fn fits_later(pending: PendingTask<'_>, bin: &Bin<'_>, cx: Context<'_>) -> bool {
    let waits_for_room = !pending.step.fills || !pending.step.reserved().fits_in(&bin.free);
    bin.reserved_from.is_none() && waits_for_room && room_later(pending, bin, cx) > 0
}

/// Returns the number of tasks of a step that may run on a worker and will fit it once its short
/// tasks have ended.
pub(super) fn room_later(pending: PendingTask<'_>, bin: &Bin<'_>, cx: Context<'_>) -> usize {
    let PendingTask { record, task, step } = pending;
    let is_admitted = bin.incarnation.worker.service == record.policy.service
        && bin.has_label(step)
        && !cx.refuses(pending, bin.id);
    if !is_admitted {
        return 0;
    }
    bin.room_in(bin.free.checked_add(&bin.short_reserved).unwrap_or(bin.free), step, task)
}

/// Returns the first task of a step that waits for its first start.
fn first_start_of(record: &Record, id: StepId) -> Option<PendingTask<'_>> {
    let step = record.spec.steps.get(usize::from(id.step))?;
    let tasks = record.tasks.get(id.occurrence as usize)?.get(usize::from(id.step))?;
    let index = tasks.iter().position(|t| t.runs.is_empty() && t.attempt == 0)?;
    let index = u16::try_from(index).ok()?;
    let StepId { submission, occurrence, step: number } = id;
    let task = TaskId { submission, occurrence, step: number, index };
    Some(PendingTask { record, task, step })
}
