//! What the leader of a placement group knows besides the agreed state:
//! leases, reports, orders on their way, and what was learned from reports.

mod budget;
mod eviction;
mod fit;
mod forget;
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
mod round;
pub mod status;
mod team_cursor;
mod view;

pub use round::Hold;

use crate::{
    command::{Command, WorkerRecord},
    messages::{Announcement, Lease, NumberedOrder},
    policy::PlacementPolicy,
    state::{PlacementState, holder},
    time::Timestamp,
};
use cyclamenloft_types::{BootId, TaskKey, WorkerId};
use learning::Learned;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use view::WorkerView;

/// Largest number of an order that is taken for one of a former leader.
const LARGEST_ORDER: u64 = u64::MAX >> 1;

/// The volatile side of a placement group's leader.
#[derive(Debug)]
pub struct Scheduler {
    policy: PlacementPolicy,
    workers: BTreeMap<WorkerId, WorkerView>,
    /// Number of the last order to any worker. A worker that returns may have
    /// handled orders of an earlier view, so numbers never start again.
    last_order: u64,
    planned: proposed::Planned,
    evicting: eviction::Evicting,
    /// Tasks that failed, with the time before which they aren't tried again.
    retry_at: BTreeMap<TaskKey, Instant>,
    forgetting: forget::Forgetting,
    learned: Learned,
    /// Groups that the last round of placements held back.
    holds: holds::Holds,
    /// Tasks that the last round found no room for and others may make room.
    blocked: Vec<round::Blocked>,
    claims: preempt::Claims,
    preemption_budget: budget::HourlyBudget,
    relief_budget: budget::HourlyBudget,
    /// Workers on which a step of relief may be due.
    relieving: BTreeSet<WorkerId>,
    quarantine: quarantine::Quarantine,
    avoided: mitigation::Avoided,
    leases: leases::LeaseBound,
}

impl Scheduler {
    /// A scheduler for a replica that has just begun to lead and has applied
    /// every entry of former leaders. Since the predecessor may have renewed
    /// any lease a moment ago, every lease is counted from `now`. Orders of
    /// placements that the predecessor may not have delivered are queued again;
    /// workers ignore attempts they have seen.
    #[must_use]
    pub fn lead(policy: PlacementPolicy, state: &PlacementState, now: Timestamp) -> Self {
        let mut scheduler = Self {
            policy,
            workers: BTreeMap::new(),
            // Numbers start above the predecessors': each lead lasts over a millisecond.
            last_order: now.unix_ms() << 16,
            planned: proposed::Planned::default(),
            evicting: eviction::Evicting::default(),
            retry_at: BTreeMap::new(),
            forgetting: forget::Forgetting::default(),
            learned: Learned::default(),
            holds: holds::Holds::default(),
            blocked: Vec::new(),
            claims: preempt::Claims::default(),
            preemption_budget: budget::HourlyBudget::default(),
            relief_budget: budget::HourlyBudget::default(),
            relieving: BTreeSet::new(),
            quarantine: quarantine::Quarantine::default(),
            avoided: mitigation::Avoided::default(),
            leases: leases::LeaseBound::new(state),
        };
        for worker in state.workers().filter(|w| w.alive) {
            scheduler.view(&worker.record.id, worker.record.boot, now);
            for task in &worker.tasks {
                scheduler.order_for(state, task);
                scheduler.unthrottle(state, task);
            }
        }
        scheduler
    }

    /// Takes a changed policy into force.
    pub fn set_policy(&mut self, policy: PlacementPolicy) {
        self.policy = policy;
        self.leases.recheck();
    }

    /// The lease that answers an announcement or report.
    #[must_use]
    pub fn lease(&self) -> Lease {
        Lease {
            lease_ms: self.granted().as_millis() as u64,
            report_ms: self.policy.report_period.as_millis() as u64,
        }
    }

    /// Takes in an announcement; the command makes the worker known. The
    /// announcement may be answered once the command is committed.
    pub fn announce(&mut self, announcement: &Announcement, now: Timestamp) -> Command {
        let (lease_expires, last_order) = (self.lease_end(now), self.last_order);
        let view = self.view(&announcement.worker, announcement.boot, now);
        if view.losing.is_some() {
            // The loss stands before this registration in the log.
            *view = WorkerView::new(announcement.boot, now.instant, lease_expires, last_order);
        }
        view.lease_expires = lease_expires;
        view.heard = now.instant;
        Command::Register(WorkerRecord {
            id: announcement.worker.clone(),
            boot: announcement.boot,
            domain: announcement.domain.clone(),
            rack: announcement.rack.clone(),
            capacity: announcement.capacity,
        })
    }

    /// Decides what is due: expired leases, placements, and what to forget.
    pub fn tick(&mut self, state: &PlacementState, now: Timestamp) -> Vec<Command> {
        let mut commands = self.expired(state, now);
        commands.extend(self.lease_bound(now));
        commands.extend(self.forget(state, now));
        commands.extend(self.evict_surplus(state, now));
        commands.extend(self.relieve(state, now));
        commands.extend(self.placements(state, now));
        commands.extend(self.preemptions(state, now));
        commands
    }

    /// Queues the orders that follow from a committed command.
    pub fn committed(&mut self, state: &PlacementState, command: &Command) {
        match command {
            Command::Place(placements) => {
                for p in placements {
                    self.planned.remove(&p.task);
                    let placed = state.task(&p.task).and_then(|t| holder(&t.state));
                    if placed == Some((&p.worker, p.attempt)) {
                        self.order_for(state, &p.task);
                    }
                }
            }
            Command::Evict(tasks) => {
                for (task, _) in tasks {
                    self.evicting.remove(task);
                    self.order_for(state, task);
                }
            }
            Command::Cancel(jobs) => {
                for job in jobs.iter().filter_map(|id| state.job(id)) {
                    for index in 0..job.tasks.len() as u32 {
                        let key = TaskKey { job: job.spec.id.clone(), index };
                        self.order_for(state, &key);
                    }
                }
            }
            Command::WorkerLost { worker, boot, .. } => {
                // A view that isn't losing belongs to a later registration.
                let ended = |v: &WorkerView| v.boot == *boot && v.losing.is_some();
                if self.workers.get(worker).is_some_and(ended) {
                    self.workers.remove(worker);
                }
            }
            Command::LeaseBound { lease_ms } => {
                self.leases.agreed(Duration::from_millis(*lease_ms));
            }
            Command::Submit { spec, .. } => Self::log_refusal(state, &spec.id),
            Command::Register(_) | Command::Ended(_) | Command::Forget { .. } => {}
        }
    }

    /// The orders that a worker has not handled yet. A worker that has handled
    /// a higher number than any given out had it from a former leader whose
    /// clock was ahead; numbers go on from there.
    pub fn orders(&mut self, worker: &str, boot: BootId, handled: u64) -> Vec<NumberedOrder> {
        let Some(view) = self.workers.get_mut(worker).filter(|v| v.boot == boot) else {
            return Vec::new();
        };
        if handled > self.last_order && handled <= LARGEST_ORDER {
            self.last_order = view.renumber(handled);
        }
        view.unhandled(handled)
    }

    /// Logs a job that fits no worker.
    fn log_refusal(state: &PlacementState, id: &str) {
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
