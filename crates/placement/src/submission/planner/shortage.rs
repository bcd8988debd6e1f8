//! Which room urgent short tasks get while a service has less room than work.
//!
//! Loads handled: a burst of short tasks on a service that long-running tasks fill, and
//! long-running tasks that exceed the capacity. A long-running task holds its room for a minute, a
//! short one for a second, so a delay of the first costs callers far less than one of the second.
//!
//! A service is short of room if its free room doesn't suffice for the short tasks that are on time
//! or expected within seconds, and for the first starts of long-running tasks, which otherwise may
//! go before them. Then:
//!
//! - First starts of long-running tasks get what the short tasks leave, and a share of the room
//!   that long-running tasks free. The share grows with the longest wait.
//! - One worker is kept for the first start that has waited longest. So each starts within a
//!   bounded time, whatever arrives.
//! - Room for the expected short tasks is withheld from first starts, but never for longer than
//!   [`MAX_WITHHELD`] while it is there for two of their tasks.
//!
//! Restarts of long-running tasks keep their place, since their callers have lost service.

use super::{
    super::{
        fleet::{Fleet, ServiceRoom, ShortOfRoom},
        spec::{StepId, SubmissionId, TaskId},
        state::{IncarnationId, Record, SubmissionState},
    },
    Timeliness,
    bin::Bin,
    rank::{RankKey, rank, rank_in_turn},
    timeliness,
};
use cyclamenloft_types::{Resources, ServiceName};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Time over which the demand of short tasks is forecast: about as long as a short submission
/// can wait.
const HORIZON: Duration = Duration::from_secs(2);
/// Number of arrivals that a forecast needs to count.
const MIN_CONFIDENCE: u32 = 8;
/// Longest time for which room is withheld from a long-running task while there is room for it
/// twice over. The users allow less than 3 s; a second is left for placing and starting the task.
pub(super) const MAX_WITHHELD: Duration = Duration::from_millis(2_000);
/// Largest share of the room that long-running tasks free and that goes to first starts before
/// short tasks.
const MAX_SHARE: f64 = 0.5;
/// Wait after which first starts get a share, and the time after that in which it grows to its
/// maximum.
const SHARE_FROM: Duration = Duration::from_secs(4);
const SHARE_GROWTH: Duration = Duration::from_secs(60);
/// Room that first starts may save up is at most that of one worker in this many.
const MAX_CREDIT_ONE_IN: u64 = 100;

/// Which tasks of a submission are placed when its turn comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// All tasks.
    Whole,
    /// All but those first starts of long-running tasks that have no share of the room.
    BeforeUrgent,
    /// First starts of long-running tasks that haven't been placed before.
    AfterUrgent,
}

/// Room of the tasks of one priority, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Short tasks on time without a worker: processors, memory and number.
    due_cpu: u64,
    due_memory: u64,
    due_tasks: u64,
    /// Short tasks that run.
    running_cpu: u64,
    /// Short tasks that run on average at the forecast rate of arrivals.
    forecast_cpu: u64,
    /// Long-running tasks that wait for their first start.
    first_starts_cpu: u64,
}

impl Level {
    fn add(&mut self, other: &Self) {
        self.due_cpu += other.due_cpu;
        self.due_memory += other.due_memory;
        self.due_tasks += other.due_tasks;
        self.running_cpu += other.running_cpu;
        self.forecast_cpu += other.forecast_cpu;
        self.first_starts_cpu += other.first_starts_cpu;
    }

    /// Room that short tasks need beyond what they hold.
    fn demand(&self) -> u64 {
        self.due_cpu.max(self.forecast_cpu.saturating_sub(self.running_cpu))
    }

    /// The part of [`Self::demand`] that is yet to arrive.
    fn expected(&self) -> u64 {
        self.demand() - self.due_cpu
    }
}

/// The shortage of one service.
pub(super) struct Shortage {
    /// The most urgent priority whose first starts compete with short tasks for too little room.
    from_priority: u8,
    /// Room of expected short tasks, by priority, those of more urgent ones included.
    expected: Vec<(u8, u64)>,
    /// Mean short task.
    unit: Resources,
    /// Free room in gaps that hold short tasks, in thousandths of a core.
    usable: u64,
    /// Room that first starts may take before short tasks.
    credit: u64,
}

/// Returns the part of a worker's free room that short tasks can use.
fn usable_cpu(free: &Resources, unit: u32) -> u64 {
    u64::from(free.cpu_millis / unit.max(1) * unit.max(1))
}

/// The services that are short of room in this round.
#[derive(Default)]
pub(super) struct Shortages {
    services: BTreeMap<ServiceName, Shortage>,
    /// Room of the long-running tasks with a run, by service.
    lasting_cpu: BTreeMap<ServiceName, u64>,
    /// The first starts that were placed before short tasks.
    pub(super) placed_before: BTreeSet<TaskId>,
}

/// What is counted of one service.
#[derive(Default)]
struct Count {
    levels: BTreeMap<u8, Level>,
    lasting_cpu: u64,
    largest_first_start: u64,
}

impl Count {
    fn add(&mut self, record: &Record, wall_ms: u64) {
        let level = self.levels.entry(record.policy.priority).or_default();
        for (k, steps) in record.tasks.iter().enumerate() {
            let occurrence = u32::try_from(k).unwrap_or(u32::MAX);
            if record.spec.first_due_ms > 0 && wall_ms < record.spec.due_ms(occurrence) {
                break;
            }
            for (s, tasks) in steps.iter().enumerate() {
                let step = &record.spec.steps[s];
                if step.fills || record.left[k][s] == 0 || !record.is_due(k, s) {
                    continue;
                }
                let cpu = u64::from(step.demand.cpu_millis);
                if step.lasting {
                    let running = tasks.iter().filter(|t| !t.runs.is_empty()).count() as u64;
                    self.lasting_cpu += running * cpu;
                    let waits = tasks.iter().filter(|t| t.runs.is_empty() && t.attempt == 0);
                    let waiting = if step.gang { 0 } else { waits.count() as u64 };
                    level.first_starts_cpu += waiting * cpu;
                    if waiting > 0 {
                        self.largest_first_start = self.largest_first_start.max(cpu);
                    }
                    continue;
                }
                let open = tasks.iter().filter(|t| !t.done);
                let waiting = open.clone().filter(|t| t.runs.is_empty()).count() as u64;
                level.running_cpu += (open.count() as u64 - waiting) * cpu;
                if waiting > 0 && timeliness(record, wall_ms) == Timeliness::OnTime {
                    level.due_cpu += waiting * cpu;
                    level.due_memory += waiting * u64::from(step.demand.memory_mib);
                    level.due_tasks += waiting;
                }
            }
        }
    }
}

/// Returns the mean demand of the short tasks that are due or, without any, of those that arrived
/// lately.
fn mean_short_task(
    state: &SubmissionState,
    fleet: &Fleet,
    service: &ServiceName,
    sum: &Level,
) -> Option<Resources> {
    if sum.due_tasks > 0 {
        let mean = |sum_of: u64| u32::try_from(sum_of / sum.due_tasks).unwrap_or(u32::MAX);
        return Some(Resources::new(mean(sum.due_cpu), mean(sum.due_memory), 0));
    }
    let queues = state.routes().queues.iter().filter(|q| q.policy.service == *service);
    queues.filter_map(|q| fleet.demand.mean_short_task(&q.key())).max_by_key(|r| r.cpu_millis)
}

impl Shortages {
    /// Determines which services are short of room.
    pub(super) fn assess(
        state: &SubmissionState,
        fleet: &Fleet,
        bins: &[Bin<'_>],
        now: Instant,
        wall_ms: u64,
    ) -> Self {
        if !fleet.load_policy.reserve_for_urgent {
            return Self::default();
        }
        let mut counts: BTreeMap<&ServiceName, Count> = BTreeMap::new();
        for record in state.open() {
            counts.entry(&record.policy.service).or_default().add(record, wall_ms);
        }
        for queue in &state.routes().queues {
            let forecast = fleet.demand.forecast(&queue.key(), HORIZON, now);
            if forecast.confidence >= MIN_CONFIDENCE {
                let count = counts.entry(&queue.policy.service).or_default();
                let level = count.levels.entry(queue.policy.priority).or_default();
                let horizon_ms = u64::try_from(HORIZON.as_millis()).unwrap_or(1);
                level.forecast_cpu += forecast.core_millis_ms / horizon_ms;
            }
        }
        let mut shortages = Self::default();
        for (service, count) in counts {
            shortages.lasting_cpu.insert(service.clone(), count.lasting_cpu);
            let found = Shortage::find(state, fleet, bins, (service, &count), now);
            if let Some(shortage) = found {
                shortages.services.insert(service.clone(), shortage);
            }
        }
        shortages
    }

    /// Returns the shortage that concerns tasks of this service and priority.
    pub(super) fn get(&self, service: &ServiceName, priority: u8) -> Option<&Shortage> {
        if self.services.is_empty() {
            return None;
        }
        self.services.get(service).filter(|s| s.from_priority <= priority)
    }

    /// Returns the services that are short of room.
    pub(super) fn services(&self) -> impl Iterator<Item = (&ServiceName, &Shortage)> {
        self.services.iter()
    }

    /// Returns the turns of the open submissions, in the order in which they are placed. Without
    /// a shortage each has one, in the order of its rank.
    pub(super) fn turns<'a>(
        &self,
        state: &'a SubmissionState,
        starving: &BTreeSet<SubmissionId>,
        wall_ms: u64,
    ) -> Vec<(&'a Record, Turn)> {
        let mut turns: Vec<(RankKey, &Record, Turn)> = Vec::with_capacity(state.open_count());
        for record in state.open() {
            let key = rank(record, starving, wall_ms);
            let policy = &record.policy;
            let is_split = starving.contains(&record.spec.id)
                && self.get(&policy.service, policy.priority).is_some();
            if is_split {
                turns.push((key, record, Turn::BeforeUrgent));
                turns.push((rank_in_turn(record), record, Turn::AfterUrgent));
            } else {
                turns.push((key, record, Turn::Whole));
            }
        }
        // The keys differ, except between the two turns of a submission of the same rank.
        turns.sort_by_key(|(key, ..)| *key);
        turns.into_iter().map(|(_, record, turn)| (record, turn)).collect()
    }

    /// Returns whether the share of first starts suffices for one of them.
    pub(super) fn has_share(&self, service: &ServiceName, cpu_millis: u32) -> bool {
        self.services.get(service).is_some_and(|s| s.credit >= u64::from(cpu_millis))
    }

    /// Spends a part of the share of first starts.
    pub(super) fn spend(&mut self, service: &ServiceName, cpu_millis: u32) {
        if let Some(shortage) = self.services.get_mut(service) {
            shortage.credit = shortage.credit.saturating_sub(u64::from(cpu_millis));
        }
    }

    /// Records that a worker's free room has changed.
    pub(super) fn record_taken(
        &mut self,
        service: &ServiceName,
        before: &Resources,
        after: &Resources,
    ) {
        if let Some(s) = self.services.get_mut(service) {
            let taken = usable_cpu(before, s.unit.cpu_millis)
                .saturating_sub(usable_cpu(after, s.unit.cpu_millis));
            s.usable = s.usable.saturating_sub(taken);
        }
    }

    /// Records that a long-running task was placed.
    pub(super) fn record_lasting(&mut self, service: &ServiceName, cpu_millis: u32) {
        if let Some(sum) = self.lasting_cpu.get_mut(service) {
            *sum += u64::from(cpu_millis);
        }
    }

    /// Returns the services that are short of room, for logs.
    pub(super) fn report(
        &self,
        held: &BTreeMap<ServiceName, (StepId, IncarnationId)>,
    ) -> Vec<ShortOfRoom> {
        let report = |(service, shortage): (&ServiceName, &Shortage)| ShortOfRoom {
            service: service.clone(),
            usable: shortage.usable,
            expected: shortage.expected.last().map_or(0, |(_, cpu)| *cpu),
            share: shortage.credit,
            kept: held.get(service).copied(),
        };
        self.services.iter().map(report).collect()
    }

    /// Returns what the next round needs to know of each service.
    pub(super) fn into_memory(
        self,
        former: &BTreeMap<ServiceName, ServiceRoom>,
        held: &BTreeMap<ServiceName, (StepId, IncarnationId)>,
    ) -> BTreeMap<ServiceName, ServiceRoom> {
        let Self { services, lasting_cpu, .. } = self;
        let room = |(service, lasting_cpu): (ServiceName, u64)| {
            let credit = match services.get(&service) {
                Some(shortage) => shortage.credit,
                None => former.get(&service).map_or(0, |f| f.credit),
            };
            let held = held.get(&service).copied();
            (service, ServiceRoom { credit, lasting_cpu, held })
        };
        lasting_cpu.into_iter().map(room).collect()
    }
}

impl Shortage {
    fn find(
        state: &SubmissionState,
        fleet: &Fleet,
        bins: &[Bin<'_>],
        (service, count): (&ServiceName, &Count),
        now: Instant,
    ) -> Option<Self> {
        let mut sum = Level::default();
        count.levels.values().for_each(|level| sum.add(level));
        if sum.demand() == 0 {
            return None;
        }
        let unit = mean_short_task(state, fleet, service, &sum)?;
        let own = || bins.iter().filter(|b| b.incarnation.worker.service == *service);
        let usable: u64 = own().map(|b| usable_cpu(&b.free, unit.cpu_millis)).sum();
        let mut sum = Level::default();
        let (mut from_priority, mut expected) = (None, Vec::new());
        for (priority, level) in &count.levels {
            sum.add(level);
            let demand = sum.demand();
            if from_priority.is_none() && demand > 0 && demand + sum.first_starts_cpu > usable {
                from_priority = Some(*priority);
            }
            expected.push((*priority, sum.expected()));
        }
        let capacity: u64 =
            own().map(|b| u64::from(b.incarnation.worker.capacity.cpu_millis)).sum();
        let former = fleet.urgent_room.services.get(service);
        let freed = former.map_or(0, |f| f.lasting_cpu.saturating_sub(count.lasting_cpu));
        let waited = fleet.longest_first_start_wait(state, service, now);
        let most = (capacity / MAX_CREDIT_ONE_IN).max(count.largest_first_start);
        let credit = former.map_or(0, |f| f.credit) + share_of(freed, waited);
        Some(Self {
            from_priority: from_priority?,
            expected,
            unit,
            usable,
            credit: credit.min(most),
        })
    }

    /// Returns the mean short task, and the most urgent priority whose other tasks yield to it.
    pub(super) fn urgent_unit(&self) -> (Resources, u8) {
        (self.unit, self.from_priority)
    }

    /// Returns whether room for expected short tasks is left if a long-running task of this
    /// priority takes its room on a worker with `free`.
    pub(super) fn leaves_enough(&self, priority: u8, free: &Resources, need: &Resources) -> bool {
        let up_to = self.expected.iter().rfind(|(p, _)| *p <= priority);
        let keep = up_to.map_or(0, |(_, cpu)| *cpu);
        if keep == 0 {
            return true;
        }
        let left = free.checked_sub(need).unwrap_or(Resources::ZERO);
        let unit = self.unit.cpu_millis;
        let taken = usable_cpu(free, unit).saturating_sub(usable_cpu(&left, unit));
        // A gap that holds no short task less than before costs them nothing.
        taken == 0 || self.usable.saturating_sub(taken) >= keep
    }
}

/// Returns how much of the room that long-running tasks have freed goes to first starts before
/// short tasks, if the longest wait among them is `waited`.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn share_of(freed: u64, waited: Duration) -> u64 {
    let grown = waited.saturating_sub(SHARE_FROM).as_secs_f64() / SHARE_GROWTH.as_secs_f64();
    (freed as f64 * grown.min(1.0) * MAX_SHARE) as u64
}
