//! Lives of simulated workers: announced exits, and starts under the name of the life before.

use super::{Cluster, Worker};
use cyclamenloft_placement::submission::{Command, WorkerInfo, WorkerReport};

impl Cluster {
    /// Lets the announcement of a worker's exit arrive. The worker goes on for `millis` if it gets
    /// no acknowledgment.
    pub fn leave(&mut self, name: &str, millis: u64) {
        let now = self.now;
        self.worker(name).exits_at = Some(now + millis);
        self.drain(name);
        self.announce_exit(name);
    }

    /// Lets a worker's report arrive that it is draining.
    pub fn drain(&mut self, name: &str) {
        let worker = WorkerInfo { draining: true, ..self.worker(name).info.clone() };
        self.apply(Command::Register(worker));
    }

    /// Lets an announcement of an exit arrive that names only the worker, not which of its lives.
    /// The leader takes it for one of a life that is draining, and ignores it otherwise.
    pub fn announce_exit(&mut self, name: &str) {
        let newest = self.state.newest_incarnation(name).map(|(_, i)| i.worker.clone());
        if let Some(worker) = newest.filter(|w| w.draining) {
            let worker = WorkerInfo { draining: true, leaving: true, ..worker };
            self.apply(Command::Report(WorkerReport { worker, sequence: 0 }));
        }
    }

    /// Starts a worker again under its name. It knows nothing of before, its clock starts anew,
    /// and its first report arrives after `millis`. Orders that were held up on the way to the
    /// former life arrive at the new one.
    pub fn start_again(&mut self, name: &str, millis: u64) {
        let now = self.now;
        let former = self.worker(name);
        let info = WorkerInfo { started_ms: now, draining: false, ..former.info.clone() };
        let next = Worker {
            clock_start: now,
            stop_ms: former.stop_ms,
            link: former.link,
            longest_accepted: former.longest_accepted,
            delayed: std::mem::take(&mut former.delayed),
            ..Worker::new(info.clone())
        };
        self.workers.insert(name.into(), next);
        self.reports.push((now + millis, WorkerReport { worker: info, sequence: 1 }));
    }

    /// Lets a poll arrive at a worker that was meant for its former life and names the end of a lease
    /// on the clock of that life, which was far ahead.
    pub fn late_poll(&mut self, name: &str) {
        let now = self.now;
        self.worker(name).extend(now, u64::MAX);
    }

    /// Cancels a submission without the delay of a commit.
    pub fn cancel(&mut self, id: u64) {
        self.apply(Command::Cancel(vec![id]));
    }

    /// Keeps the answers to the leader's polls from it for `millis`, as a replica does that stops
    /// while it makes the calls.
    pub fn hold_polls(&mut self, millis: u64) {
        self.polls_held_until = self.now + millis;
    }

    /// Ends the processes of workers that exit by themselves.
    pub(super) fn exit(&mut self) {
        for worker in self.workers.values_mut() {
            if worker.exits_at.is_some_and(|at| self.now >= at) {
                worker.crash();
            }
        }
    }
}
