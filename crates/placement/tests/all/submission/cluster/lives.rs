//! Lives of simulated workers: announced exits, and starts under the name of the life before.

use super::{Cluster, Link, Worker};
use cyclamenloft_placement::submission::{Command, WorkerInfo, WorkerReport};

/// A life of a worker that begins some time after the end of the one before.
#[derive(Clone, Copy, Debug)]
pub struct NextLife {
    /// Time from the end of the life before to the start of this one, in milliseconds.
    pub down_ms: u64,
    /// Time from its start until its first report arrives, in milliseconds. While it is cut off, no
    /// report arrives.
    pub report_ms: u64,
    /// State of the network link to it.
    pub link: Link,
}

/// What is to come of workers that have crashed.
#[derive(Default)]
pub(super) struct NextLives {
    /// Lives that are to begin: time and worker.
    starting: Vec<(u64, Box<str>, NextLife)>,
    /// First reports: the time from which on they can arrive, and their content.
    reports: Vec<(u64, WorkerInfo)>,
}

impl NextLives {
    fn forget(&mut self, name: &str) {
        self.starting.retain(|(_, worker, _)| **worker != *name);
        self.reports.retain(|(_, worker)| *worker.id != *name);
    }
}

impl Cluster {
    /// Kills a worker, which starts again after a while. It then knows nothing of before, and its
    /// clock starts anew. Calls under way are carried out by the life that is up when they arrive,
    /// and are lost if none is.
    pub fn crash_for(&mut self, name: &str, next: NextLife) {
        self.end_life(name);
        self.next_lives.starting.push((self.now + next.down_ms, name.into(), next));
    }

    /// Kills a worker for good.
    pub fn end_life(&mut self, name: &str) {
        let worker = self.worker(name);
        let (delayed, polls) =
            (std::mem::take(&mut worker.delayed), std::mem::take(&mut worker.delayed_polls));
        worker.crash();
        (worker.delayed, worker.delayed_polls) = (delayed, polls);
        self.next_lives.forget(name);
    }

    /// Starts the lives that are due, and lets the first reports arrive.
    pub(super) fn begin_lives(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.next_lives.starting)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.next_lives.starting = later;
        for (_, name, next) in due {
            let clock_rate = self.workers[&name].clock_rate;
            let info = self.begin_life(&name);
            let worker = self.worker(&name);
            (worker.link, worker.clock_rate) = (next.link, clock_rate);
            if self.reporting.is_some() {
                self.report_at(&name, now + next.report_ms);
            }
            self.next_lives.reports.push((now + next.report_ms, info));
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.next_lives.reports)
            .into_iter()
            .partition(|(at, info)| *at <= now && self.workers[&info.id].link != Link::Cut);
        self.next_lives.reports = later;
        for (_, worker) in due {
            self.register(&worker.clone(), Command::Report(WorkerReport { worker, sequence: 1 }));
        }
    }

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
        let worker = self.begin_life(name);
        self.reports.push((self.now + millis, WorkerReport { worker, sequence: 1 }));
    }

    /// Starts a worker under its name, and returns what it reports about itself.
    fn begin_life(&mut self, name: &str) -> WorkerInfo {
        self.next_lives.forget(name);
        let now = self.now;
        let former = self.worker(name);
        let info = WorkerInfo { started_ms: now, draining: false, ..former.info.clone() };
        let next = Worker {
            clock_start: now,
            stop_ms: former.stop_ms,
            link: former.link,
            longest_accepted: former.longest_accepted,
            delayed: std::mem::take(&mut former.delayed),
            delayed_polls: std::mem::take(&mut former.delayed_polls),
            late_calls: former.late_calls,
            unnoted: std::mem::take(&mut former.unnoted),
            ..Worker::new(info.clone())
        };
        self.workers.insert(name.into(), next);
        info
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
