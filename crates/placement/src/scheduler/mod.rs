//! Volatile state of a placement group's leader, in addition to the replicated
//! state: leases, reports, undelivered orders, and models learned from reports.

mod budget;
mod eviction;
mod fit;
mod holds;
mod learning;
mod leases;
mod mitigation;
mod orders;
mod placing;
mod preempt;
mod proposed;
mod quarantine;
mod reconcile;
mod reports;
mod retention;
mod round;
pub mod status;
mod team_cursor;
mod view;

pub use round::HoldReason;

use crate::{
    command::{Command, WorkerRecord},
    messages::{Announcement, Lease, NumberedOrder},
    policy::PlacementPolicy,
    state::{PlacementState, holder},
    time::Timestamp,
};
use cyclamenloft_types::{BootId, TaskKey, WorkerId};
use learning::LearnedModels;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use view::WorkerView;

/// Largest order number that is accepted as coming from a former leader. If a
/// worker states a larger one, numbering doesn't continue above it.
const MAX_ORDER_NUMBER: u64 = u64::MAX >> 1;

/// The scheduler that runs on a placement group's leader.
#[derive(Debug)]
pub struct Scheduler {
    policy: PlacementPolicy,
    workers: BTreeMap<WorkerId, WorkerView>,
    /// Number of the last order to any worker. A worker that returns may have
    /// handled orders of an earlier [`WorkerView`], so numbers never restart.
    last_order_number: u64,
    proposed_placements: proposed::ProposedPlacements,
    proposed_evictions: eviction::ProposedEvictions,
    /// Tasks that failed, with the time before which they are not retried.
    retry_at: BTreeMap<TaskKey, Instant>,
    retention: retention::RetentionState,
    learned: LearnedModels,
    /// Groups of waiting tasks that the last placement round held back.
    holds: holds::HeldGroups,
    /// Tasks that the last round found no room for and that may preempt others.
    blocked: Vec<round::BlockedTask>,
    claims: preempt::Claims,
    preemption_budget: budget::HourlyBudget,
    mitigation_budget: budget::HourlyBudget,
    /// Workers on which a mitigation step may be due.
    workers_to_mitigate: BTreeSet<WorkerId>,
    quarantine: quarantine::Quarantine,
    avoided_classes: mitigation::AvoidedClasses,
    leases: leases::Leases,
}

impl Scheduler {
    /// Creates the scheduler of a replica that has just become leader and has
    /// applied every entry of former leaders. Since the previous leader may have
    /// renewed any lease just before, every lease is taken to start at `now`.
    /// Orders that the previous leader may not have delivered are queued again;
    /// workers ignore attempts that they have already seen.
    #[must_use]
    pub fn new(policy: PlacementPolicy, state: &PlacementState, now: Timestamp) -> Self {
        let mut scheduler = Self {
            policy,
            workers: BTreeMap::new(),
            // Numbers start above those of former leaders, because each
            // leader's term lasts longer than a millisecond.
            last_order_number: now.unix_ms() << 16,
            proposed_placements: proposed::ProposedPlacements::default(),
            proposed_evictions: eviction::ProposedEvictions::default(),
            retry_at: BTreeMap::new(),
            retention: retention::RetentionState::default(),
            learned: LearnedModels::default(),
            holds: holds::HeldGroups::default(),
            blocked: Vec::new(),
            claims: preempt::Claims::default(),
            preemption_budget: budget::HourlyBudget::default(),
            mitigation_budget: budget::HourlyBudget::default(),
            workers_to_mitigate: BTreeSet::new(),
            quarantine: quarantine::Quarantine::default(),
            avoided_classes: mitigation::AvoidedClasses::default(),
            leases: leases::Leases::new(state),
        };
        for worker in state.workers().filter(|w| w.alive) {
            scheduler.view_mut(&worker.record.id, worker.record.boot, now);
            for task in &worker.tasks {
                scheduler.push_order_for(state, task);
                scheduler.lift_throttle(state, task);
            }
        }
        scheduler
    }

    /// Replaces the policy.
    pub fn set_policy(&mut self, policy: PlacementPolicy) {
        self.policy = policy;
        self.leases.recheck();
    }

    /// Returns the lease to grant in the answer to an announcement or report.
    #[must_use]
    pub fn lease(&self) -> Lease {
        Lease {
            lease_ms: self.granted_lease().as_millis() as u64,
            report_ms: self.policy.report_period.as_millis() as u64,
        }
    }

    /// Handles a worker's announcement and returns the command that registers
    /// the worker. The announcement may be answered once the command is committed.
    pub fn announce(&mut self, announcement: &Announcement, now: Timestamp) -> Command {
        let (lease_expires, last_order_number) = (self.lease_expiry(now), self.last_order_number);
        let view = self.view_mut(&announcement.worker, announcement.boot, now);
        if view.loss_proposed_at.is_some() {
            // In the log the loss precedes this registration, so the worker
            // gets a new view.
            *view =
                WorkerView::new(announcement.boot, now.instant, lease_expires, last_order_number);
        }
        view.lease_expires = lease_expires;
        view.last_heard = now.instant;
        Command::Register(WorkerRecord {
            id: announcement.worker.clone(),
            boot: announcement.boot,
            domain: announcement.domain.clone(),
            rack: announcement.rack.clone(),
            capacity: announcement.capacity,
        })
    }

    /// Takes all decisions that are due and returns the commands to propose.
    pub fn tick(&mut self, state: &PlacementState, now: Timestamp) -> Vec<Command> {
        let mut commands = self.expire_leases(state, now);
        commands.extend(self.adjust_lease_bound(now));
        commands.extend(self.propose_removals(state, now));
        commands.extend(self.evict_surplus(state, now));
        commands.extend(self.mitigate(state, now));
        commands.extend(self.place_waiting(state, now));
        commands.extend(self.preempt(state, now));
        commands
    }

    /// Updates the scheduler after a command was committed, and queues the orders
    /// that follow from it.
    pub fn on_committed(&mut self, state: &PlacementState, command: &Command) {
        match command {
            Command::Place(placements) => {
                for p in placements {
                    self.proposed_placements.remove(&p.task);
                    let placed = state.task(&p.task).and_then(|t| holder(&t.state));
                    if placed == Some((&p.worker, p.attempt)) {
                        self.push_order_for(state, &p.task);
                    }
                }
            }
            Command::Evict(tasks) => {
                for (task, _) in tasks {
                    self.proposed_evictions.remove(task);
                    self.push_order_for(state, task);
                }
            }
            Command::Cancel(jobs) => {
                for job in jobs.iter().filter_map(|id| state.job(id)) {
                    for index in 0..job.tasks.len() as u32 {
                        let key = TaskKey { job: job.spec.id.clone(), index };
                        self.push_order_for(state, &key);
                    }
                }
            }
            Command::WorkerLost { worker, boot, .. } => {
                // A view without a proposed loss belongs to a later registration.
                let is_lost = |v: &WorkerView| v.boot == *boot && v.loss_proposed_at.is_some();
                if self.workers.get(worker).is_some_and(is_lost) {
                    self.workers.remove(worker);
                }
            }
            Command::LeaseBound { lease_ms } => {
                self.leases.set_agreed(Duration::from_millis(*lease_ms));
            }
            Command::Submit { spec, .. } => Self::log_infeasible(state, &spec.id),
            Command::Register(_) | Command::Ended(_) | Command::Forget { .. } => {}
        }
    }

    /// Returns the orders that a worker has not handled yet. If the worker has
    /// handled a number above any that this leader has assigned, the number came
    /// from a former leader whose clock was ahead, and numbering continues above
    /// it.
    pub fn orders(&mut self, worker: &str, boot: BootId, handled: u64) -> Vec<NumberedOrder> {
        let Some(view) = self.workers.get_mut(worker).filter(|v| v.boot == boot) else {
            return Vec::new();
        };
        if handled > self.last_order_number && handled <= MAX_ORDER_NUMBER {
            self.last_order_number = view.renumber(handled);
        }
        view.unhandled(handled)
    }

    /// Logs a submitted job that fits no worker.
    fn log_infeasible(state: &PlacementState, id: &str) {
        if let Some(job) = state.job(id).filter(|j| !j.feasible) {
            tracing::info!(
                target: "cyclamenloft::decision",
                job = %id, needs = %job.spec.resources,
                largest = state.largest_worker().map(tracing::field::display),
                reason = "fits no worker", "refuse"
            );
        }
    }
}
