//! The invariant checker that all tests share. It runs after a test on what the
//! stand-ins and callers recorded.

mod history;
mod requests;
mod tasks;
mod tests;

pub use history::{ConfigHistory, ConfigMonitor, Proposal};

use crate::harness::{Outcome, Traffic};
use cyclamenloft_standin::journal::{Event, Line, TaskEnd};
use std::collections::BTreeSet;

/// How a stand-in was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureKind {
    /// The stand-in was killed, so none of its requests and tasks runs any more.
    Killed,
    /// The stand-in was suspended with SIGSTOP, so none of its requests and tasks makes
    /// progress until it is resumed.
    Suspended,
    /// The stand-in was asked to leave gracefully.
    Leaving,
}

/// The time and way in which a stand-in was stopped.
#[derive(Clone, Debug)]
pub struct Departure {
    pub who: Box<str>,
    /// Wall clock in microseconds since the Unix epoch, as in the journals.
    pub at_us: u64,
    pub kind: DepartureKind,
}

/// The journals, departures and requests recorded during one test.
pub struct Evidence {
    /// The lines of all journals, sorted by time.
    lines: Vec<Line>,
    departures: Vec<Departure>,
    traffic: Traffic,
    slots: usize,
}

impl Evidence {
    /// Creates the evidence from the stand-ins' journals and departures. `slots` is
    /// the number of slots of every target.
    pub fn new(mut lines: Vec<Line>, departures: Vec<Departure>, slots: usize) -> Self {
        lines.sort_by_key(|line| line.at_us);
        Self { lines, departures, traffic: Traffic::new(), slots }
    }

    /// Adds the requests of callers with their outcomes.
    #[must_use]
    pub fn with(mut self, traffic: Traffic) -> Self {
        self.traffic.extend(traffic);
        self
    }

    /// Checks the invariants of requests and tasks.
    ///
    /// # Panics
    ///
    /// Panics with the violated invariant.
    pub fn check(&self) {
        requests::check(self);
        tasks::check(self);
    }

    /// Checks that every request got its complete answer: none was cut off, unanswered or
    /// refused.
    ///
    /// # Panics
    ///
    /// Panics with the requests that were not answered.
    pub fn check_all_answered(&self) {
        let unanswered: Vec<_> =
            self.traffic.iter().filter(|(_, sent)| sent.outcome != Outcome::Answered).collect();
        assert!(
            unanswered.is_empty(),
            "of {} requests these were not answered: {unanswered:?}",
            self.traffic.len()
        );
        assert!(!self.traffic.is_empty(), "no request was sent");
    }

    /// Returns the tasks that ran to completion.
    pub fn finished(&self) -> BTreeSet<Box<str>> {
        let ends = self.lines.iter().filter_map(|line| match &line.event {
            Event::TaskEnded { task, end: TaskEnd::Finished, .. } => Some(task.clone()),
            _ => None,
        });
        ends.collect()
    }

    /// Returns the number of lines that satisfy `predicate`.
    pub fn count(&self, predicate: impl Fn(&Line) -> bool) -> usize {
        self.lines.iter().filter(|line| predicate(line)).count()
    }

    /// Returns whether `who` was killed or suspended between two times.
    fn was_disrupted(&self, who: &str, since_us: u64, until_us: u64) -> bool {
        let inside = since_us..=until_us;
        let mut departures =
            self.departures.iter().filter(|g| &*g.who == who && g.kind != DepartureKind::Leaving);
        departures.any(|g| inside.contains(&g.at_us))
    }

    /// Returns whether the worker was killed or suspended after an attempt ended on it,
    /// so that it may not have reported the end.
    fn may_be_unreported(&self, end: &Line, until_us: u64) -> bool {
        self.was_disrupted(&end.who, end.at_us, until_us)
    }
}
