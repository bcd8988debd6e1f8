//! A worker as a bin that the planner packs during one round.

use super::super::{
    fleet::{Fleet, runs_on},
    interference::{Interference, ModelIndex},
    pacing::NEGLIGIBLE_LN,
    spec::{Step, SubmissionId, TaskId},
    state::{Incarnation, IncarnationId, SubmissionState},
};
use cyclamenloft_types::Resources;
use std::{collections::BTreeMap, time::Instant};

/// Fraction of its CPUs that a long-running task uses on average, as the users'
/// sheets state.
const LONG_RUNNING_CPU_USE: f64 = 0.45;
/// Factor by which the demand of best-effort tasks may exceed the unused CPU
/// time of a worker. It is above 1 because tasks wait for one another.
const BEST_EFFORT_OVERCOMMIT: f64 = 1.15;
/// Cost of each long-running task of another image on the worker, in the score of
/// a long-running task. For comparison, a fully busy worker costs 1.
const OTHER_IMAGE_COST: f64 = 1.0;
/// Amount subtracted from the score of a long-running task if the worker runs a
/// task of the same image.
const SAME_IMAGE_GAIN: f64 = 0.8;

/// Cost of a cold worker in the score of a short task. It outweighs the distance to another rack,
/// so that a cold worker is chosen only if no warm one has room.
const COLD_COST: f64 = 8.0;
/// Cost of each short task that a worker can no longer hold beside a long-running task, while short
/// tasks are short of room. Gaps that hold them matter more than images that are kept apart.
const LOST_GAP_COST: f64 = 1.5;

/// Time for which a long-running task is away after the crash of its worker, in seconds.
const RESTART_SECONDS: f64 = 4.0;
/// Work since the last checkpoint of a task that checkpoints, in seconds.
const CHECKPOINT_SECONDS: f64 = 1.0;

/// The tasks that are excluded from the room reserved on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservedFrom {
    /// Short tasks, which would otherwise take the room as it becomes free.
    Short,
    /// Short tasks and other long-running tasks.
    All,
}

/// How the interference budgets of latency-critical tasks limit the placement
/// of a best-effort task on their worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BudgetCheck {
    /// Each budget must cover what the task adds to the tail latency.
    Strict,
    /// As `Strict`, but a task that is the only best-effort task on the worker is
    /// exempt, since only that task is slowed.
    SoleExempt,
    /// The budgets are ignored. The task may be paused for as long as the load
    /// of the latency-critical tasks is high.
    Skip,
}

/// A worker with its remaining room in the current round.
#[derive(Clone)]
pub(super) struct Bin<'a> {
    pub(super) id: IncarnationId,
    pub(super) incarnation: &'a Incarnation,
    pub(super) free: Resources,
    /// Expected CPU use of short and long-running tasks, in thousandths of a
    /// core.
    pub(super) used_cpu: f64,
    /// CPU time demanded by best-effort tasks, in thousandths of a core.
    pub(super) best_effort_cpu: f64,
    /// Models of the latency-critical tasks' images, each with the rest of the
    /// task's interference budget.
    pub(super) victims: Vec<(Option<ModelIndex>, f64)>,
    /// Number of long-running tasks, by image.
    pub(super) long_runs: BTreeMap<&'a str, u16>,
    /// Number of runs, by submission, occurrence and step.
    pub(super) runs_by_step: BTreeMap<(u64, u32, u16), u16>,
    /// Whether the worker is on probation and gets one task at a time.
    pub(super) probation: bool,
    /// Whether the worker has a run that is its probe if it is on probation.
    pub(super) probed: bool,
    /// Resources reserved by short tasks.
    pub(super) short_reserved: Resources,
    /// The tasks that are excluded from the free room, because it is reserved
    /// for a long-running task or a gang. `None` if it isn't reserved.
    pub(super) reserved_from: Option<ReservedFrom>,
    /// The submission that has a suspect on the worker, or is to get one. The worker gets no
    /// other tasks until the suspect has proven harmless.
    pub(super) isolated_for: Option<SubmissionId>,
    /// Whether the worker has taken a task in this round.
    pub(super) taken: bool,
    /// Core-seconds of work that a crash of the worker would cost, roughly.
    pub(super) work_at_risk: f64,
    /// Whether short tasks should go to other workers, because this one is cold.
    pub(super) is_cold: bool,
    /// Mean short task, if the service is short of room for short tasks, and the most urgent
    /// priority whose other tasks yield to them.
    pub(super) urgent_unit: Option<(Resources, u8)>,
}

impl<'a> Bin<'a> {
    pub(super) fn new(
        state: &'a SubmissionState,
        fleet: &Fleet,
        id: IncarnationId,
        incarnation: &'a Incarnation,
        now: Instant,
    ) -> Self {
        let view = fleet.view(id);
        let strays = view.map_or(Resources::ZERO, |v| v.stray_reserved());
        let used = incarnation.reserved.checked_add(&strays);
        let free = used.and_then(|used| incarnation.worker.capacity.checked_sub(&used));
        let free = free.unwrap_or(Resources::ZERO);
        let mut bin = Self {
            id,
            incarnation,
            free,
            used_cpu: 0.0,
            best_effort_cpu: 0.0,
            victims: view.map_or_else(Vec::new, |v| {
                v.victims(now)
                    .map(|(image, victim)| {
                        (fleet.interference.model_index(image), victim.sustained_budget())
                    })
                    .collect()
            }),
            long_runs: BTreeMap::new(),
            runs_by_step: BTreeMap::new(),
            probation: view.is_some_and(|v| v.health.on_probation()),
            probed: view.is_some_and(|v| v.is_probed()),
            short_reserved: Resources::ZERO,
            reserved_from: None,
            isolated_for: None,
            taken: false,
            work_at_risk: 0.0,
            is_cold: fleet.is_avoided_as_cold(state, id, now),
            urgent_unit: None,
        };
        for (task, step) in runs_on(state, incarnation) {
            bin.add_run(task, step, &fleet.interference);
        }
        bin
    }

    pub(super) fn add_run(&mut self, task: TaskId, step: &'a Step, interference: &Interference) {
        let cpu = f64::from(step.demand.cpu_millis);
        match step {
            Step { fills: true, .. } => self.best_effort_cpu += cpu,
            Step { lasting: true, .. } => self.used_cpu += cpu * LONG_RUNNING_CPU_USE,
            _ => {
                self.used_cpu += cpu;
                self.short_reserved =
                    self.short_reserved.checked_add(&step.demand).unwrap_or(self.short_reserved);
            }
        }
        self.work_at_risk += work_at_risk(step);
        if step.lasting {
            *self.long_runs.entry(step.image.as_deref().unwrap_or_default()).or_default() += 1;
        }
        if step.fills {
            let index = interference.known_index(step.image.as_deref());
            let part = cpu / self.capacity();
            for (model, left) in &mut self.victims {
                *left -= interference.model_weight(*model, index) * part;
            }
        }
        *self.runs_by_step.entry((task.submission, task.occurrence, task.step)).or_default() += 1;
    }

    pub(super) fn capacity(&self) -> f64 {
        f64::from(self.incarnation.worker.capacity.cpu_millis.max(1))
    }

    /// Returns whether the worker has the label that the step asks for, if any.
    pub(super) fn has_label(&self, step: &Step) -> bool {
        let labels = &self.incarnation.worker.labels;
        step.label.as_ref().is_none_or(|label| labels.iter().any(|l| l == label))
    }

    pub(super) fn count_of_step(&self, task: TaskId) -> u16 {
        self.runs_by_step.get(&(task.submission, task.occurrence, task.step)).copied().unwrap_or(0)
    }

    /// Returns the cost of mixing a long-running task with the images of those on
    /// the worker. If all long-running tasks on a worker run one image, few
    /// best-effort images interfere with them, and the others can use the worker
    /// without harm.
    pub(super) fn image_mix_cost(&self, step: &Step) -> f64 {
        let image = step.image.as_deref().unwrap_or_default();
        let same = self.long_runs.get(image).copied().unwrap_or(0);
        let all: u16 = self.long_runs.values().sum();
        f64::from(all - same) * OTHER_IMAGE_COST - f64::from(same.min(1)) * SAME_IMAGE_GAIN
    }

    /// Returns the sum over the latency-critical tasks on the worker of what a
    /// best-effort task would add to their tail latency, each relative to the
    /// remaining budget, and whether all budgets cover it.
    pub(super) fn pressure(&self, step: &Step, interference: &Interference) -> (f64, bool) {
        let index = interference.known_index(step.image.as_deref());
        let part = f64::from(step.demand.cpu_millis) / self.capacity();
        let (mut sum, mut in_budget) = (0.0, true);
        for (model, left) in &self.victims {
            let add = interference.model_weight(*model, index) * part;
            if add >= NEGLIGIBLE_LN {
                in_budget &= add <= *left;
                sum += add / left.max(0.1);
            }
        }
        (sum, in_budget)
    }

    pub(super) fn fits(
        &self,
        step: &Step,
        task: TaskId,
        interference: &Interference,
        check: BudgetCheck,
    ) -> bool {
        // The checks are in the order of their cost.
        if !step.reserved().fits_in(&self.free) {
            return false;
        }
        let apart = step.max_per_worker == 0 || self.count_of_step(task) < step.max_per_worker;
        let in_budget = || match check {
            BudgetCheck::Strict => self.pressure(step, interference).1,
            BudgetCheck::SoleExempt => {
                self.best_effort_cpu == 0.0 || self.pressure(step, interference).1
            }
            BudgetCheck::Skip => true,
        };
        let proven = !self.probation || !self.probed;
        if self.isolated_for.is_some() {
            return false;
        }
        let excluded = match self.reserved_from {
            Some(ReservedFrom::All) => !step.fills,
            Some(ReservedFrom::Short) => !step.fills && !step.lasting,
            None => false,
        };
        let has_room = || !step.fills || self.has_best_effort_room(step) && in_budget();
        !excluded && proven && apart && self.has_label(step) && has_room()
    }

    /// Returns the number of tasks of the step that have room on the worker.
    pub(super) fn room_for(&self, step: &Step, task: TaskId) -> usize {
        self.room_in(self.free, step, task)
    }

    /// Returns the number of tasks of the step that would have room if this much were free.
    pub(super) fn room_in(&self, mut free: Resources, step: &Step, task: TaskId) -> usize {
        let apart = match step.max_per_worker {
            0 => usize::from(u16::MAX),
            most => usize::from(most.saturating_sub(self.count_of_step(task))),
        };
        let takes = |_: &usize| match free.checked_sub(&step.reserved()) {
            Some(left) => {
                free = left;
                true
            }
            None => false,
        };
        (0..apart.min(usize::from(step.count))).take_while(takes).count()
    }

    pub(super) fn has_best_effort_room(&self, step: &Step) -> bool {
        let left = self.capacity() - self.used_cpu;
        self.best_effort_cpu == 0.0
            || self.best_effort_cpu + f64::from(step.demand.cpu_millis)
                <= left * BEST_EFFORT_OVERCOMMIT
    }

    /// Returns the cost of placing the task on the worker; the worker with the
    /// lowest score is chosen.
    pub(super) fn score(&self, step: &Step, task: TaskId, interference: &Interference) -> f64 {
        let far = step.rack.as_ref().is_some_and(|rack| *rack != self.incarnation.worker.rack);
        let far = if far { 4.0 } else { 0.0 };
        let cpu = f64::from(step.demand.cpu_millis);
        let base = if step.fills {
            let busy = (self.best_effort_cpu + cpu) / (self.capacity() - self.used_cpu).max(1.0);
            busy + self.pressure(step, interference).0
        } else if step.lasting {
            let busy = (self.used_cpu + cpu * LONG_RUNNING_CPU_USE + self.best_effort_cpu * 0.5)
                / self.capacity();
            busy + f64::from(self.count_of_step(task)) * 0.5
                + self.image_mix_cost(step)
                + self.lost_gaps(step) * LOST_GAP_COST
        } else {
            // A short task goes to the worker with the least free room, so that
            // large free rooms remain for long-running tasks.
            let cold = if self.is_cold { COLD_COST } else { 0.0 };
            f64::from(self.free.cpu_millis) / self.capacity() + cold
        };
        base + far
    }

    /// Returns how many short tasks less the worker would hold with a task of the step, if its
    /// service is short of room for them.
    fn lost_gaps(&self, step: &Step) -> f64 {
        let Some((unit, _)) = self.urgent_unit else { return 0.0 };
        let gaps = |free: &Resources| free.cpu_millis / unit.cpu_millis.max(1);
        let left = self.free.checked_sub(&step.reserved()).unwrap_or(Resources::ZERO);
        f64::from(gaps(&self.free) - gaps(&left))
    }

    /// Returns whether a best-effort task of this priority would take the memory that a short task
    /// needs on a worker with processors for it, while such tasks are short of room.
    pub(super) fn blocks_urgent(&self, step: &Step, priority: u8) -> bool {
        let yields = |(_, from): &(Resources, u8)| step.fills && *from <= priority;
        let Some((unit, _)) = self.urgent_unit.filter(yields) else { return false };
        let left = self.free.checked_sub(&step.reserved()).unwrap_or(Resources::ZERO);
        unit.fits_in(&self.free) && !unit.fits_in(&left)
    }

    pub(super) fn take(&mut self, step: &'a Step, task: TaskId, interference: &Interference) {
        self.free = self.free.checked_sub(&step.reserved()).unwrap_or(Resources::ZERO);
        self.add_run(task, step, interference);
        self.probed = true;
        self.taken = true;
    }
}

/// Returns the core-seconds of work that a run of the step loses if its worker crashes at an
/// arbitrary moment, roughly. A long-running task is away for some seconds.
fn work_at_risk(step: &Step) -> f64 {
    let seconds = if step.lasting {
        RESTART_SECONDS
    } else {
        let half = f64::from(step.estimate_ms) / 2_000.0;
        if step.checkpoints { half.min(CHECKPOINT_SECONDS) } else { half }
    };
    f64::from(step.demand.cpu_millis) / 1_000.0 * seconds
}

/// Returns the workers that may get work now.
pub(super) fn bins<'a>(state: &'a SubmissionState, fleet: &Fleet, now: Instant) -> Vec<Bin<'a>> {
    let usable = |(id, incarnation): &(IncarnationId, &Incarnation)| {
        let accepts_work =
            !state.rejects_starts(incarnation) && !fleet.is_draining_for_maintenance(incarnation);
        accepts_work
            && fleet.view(*id).is_some_and(|v| v.is_usable(now))
            && fleet.capacity_is_fresh(state, *id, now)
    };
    let bin = |(id, incarnation)| Bin::new(state, fleet, id, incarnation, now);
    state.incarnations().filter(usable).map(bin).collect()
}
