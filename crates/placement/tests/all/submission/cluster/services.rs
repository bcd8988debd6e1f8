//! The simulated advisor, and the simulated service that controls machines.

use super::Cluster;
use cyclamenloft_placement::submission::{
    Command, IncarnationId, TaskId, WorkerInfo,
    advice::{AdvisorTiming, Question},
    planner,
    waves::{MachineId, Maintenance, WaveNumber},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time for which a machine is down for maintenance.
pub const MAINTENANCE: Duration = Duration::from_secs(2);

/// A simulated advisor that answers one question at a time.
pub struct Advisor {
    /// Duration of its answers and of its tickets' validity.
    pub timing: AdvisorTiming,
    /// Names of the workers that it allows.
    pub approves: BTreeSet<Box<str>>,
    /// Number of workers named in each call so far.
    pub calls: Vec<usize>,
    /// The time at which the advisor answers its current question, and the
    /// question.
    open: Option<(u64, Question)>,
    /// Expiry times of its tickets, by worker.
    tickets: BTreeMap<Box<str>, u64>,
}

impl Advisor {
    /// Creates an advisor that allows these workers.
    pub fn new<'a>(approves: impl IntoIterator<Item = &'a str>, timing: AdvisorTiming) -> Self {
        let approves = approves.into_iter().map(Box::from).collect();
        Self { timing, approves, calls: Vec::new(), open: None, tickets: BTreeMap::new() }
    }
}

/// A simulated service that controls machines.
#[derive(Default)]
pub struct Machines {
    /// Machines that are down, and the time at which each is up again.
    down: BTreeMap<MachineId, u64>,
    /// Highest number of machines that were down at the same time.
    pub most_down: usize,
    /// Machines in the order in which their maintenance began.
    pub begun: Vec<MachineId>,
}

impl Cluster {
    /// Delivers the advisor's answer when it is due, and asks the next question.
    pub(super) fn advise(&mut self) {
        let (now, instant) = (self.now, self.instant());
        let Some(advisor) = &mut self.advisor else { return };
        let name = |state: &super::SubmissionState, id: IncarnationId| {
            state.incarnation(id).map(|i| i.worker.id.clone())
        };
        if let Some((at, question)) = advisor.open.take() {
            if now < at {
                advisor.open = Some((at, question));
                return;
            }
            let named =
                question.incarnations.iter().filter_map(|id| Some((*id, name(&self.state, *id)?)));
            let approved: Vec<_> = named.filter(|(_, n)| advisor.approves.contains(n)).collect();
            let valid = u64::from(advisor.timing.valid_ms);
            for (_, worker) in &approved {
                advisor.tickets.insert(worker.clone(), now + valid);
            }
            let tickets = approved;
            let until = instant + Duration::from_millis(valid);
            self.fleet.advice.record_answer(&question, tickets, until);
        }
        let question = planner::question(&self.state, &self.fleet, instant, now);
        if let Some(question) = question {
            let count = question.incarnations.len();
            assert!(count <= planner::MAX_BATCH, "{count} workers in one call");
            advisor.calls.push(count);
            let takes = u64::from(advisor.timing.decision_ms)
                + u64::from(advisor.timing.per_worker_ms) * count as u64;
            advisor.open = Some((now + takes, question));
        }
    }

    /// Returns whether the leader has a ticket for a start, and checks that such a
    /// ticket is valid.
    pub(super) fn has_ticket(&self, incarnation: IncarnationId, task: TaskId) -> bool {
        let Some(advisor) = &self.advisor else { return true };
        let ticket = self.fleet.advice.ticket(task.step_id(), incarnation, self.instant());
        let Some(worker) = ticket else { return false };
        let until = advisor.tickets.get(worker).copied().unwrap_or(0);
        assert!(self.now < until, "{task} starts at {} with an expired ticket", self.now);
        assert!(
            advisor.approves.contains(worker),
            "{task} starts on {worker}, which isn't allowed"
        );
        true
    }

    /// Carries out the maintenance waves: machines go down and come back with a
    /// new incarnation of their worker.
    pub(super) fn maintain(&mut self) {
        let (now, instant) = (self.now, self.instant());
        let Some(mut machines) = self.machines.take() else { return };
        for order in self.fleet.advance_waves(&self.state, MAINTENANCE, instant, now) {
            let step = Maintenance::Ordered { incarnation: order.incarnation };
            self.step(order.wave, &order.machine, step);
            self.take_down(&order.machine);
            machines.begun.push(order.machine.clone());
            machines.down.insert(order.machine.clone(), now + 2_000);
            self.step(order.wave, &order.machine, Maintenance::Begun);
        }
        machines.most_down = machines.most_down.max(machines.down.len());
        let back: Vec<MachineId> =
            machines.down.iter().filter(|(_, at)| **at <= now).map(|(m, _)| m.clone()).collect();
        for machine in back {
            machines.down.remove(&machine);
            self.bring_back(&machine);
            let waves: Vec<WaveNumber> = self.state.waves().map(|w| w.number).collect();
            for wave in waves {
                self.step(wave, &machine, Maintenance::Done);
            }
        }
        self.machines = Some(machines);
    }

    fn step(&mut self, wave: WaveNumber, machine: &MachineId, step: Maintenance) {
        self.apply(Command::Maintenance { wave, machine: machine.clone(), step });
    }

    fn take_down(&mut self, machine: &MachineId) {
        let on = |info: &WorkerInfo| info.machine.as_ref() == Some(machine);
        for worker in self.workers.values_mut().filter(|w| on(&w.info)) {
            worker.crash();
            worker.up = false;
        }
    }

    fn bring_back(&mut self, machine: &MachineId) {
        let on = |info: &WorkerInfo| info.machine.as_ref() == Some(machine);
        let workers: Vec<WorkerInfo> =
            self.workers.values().map(|w| w.info.clone()).filter(on).collect();
        for info in workers {
            self.join(WorkerInfo { started_ms: self.now + 1, ..info });
        }
    }
}
