//! The one checker of promises. What stand-ins and callers wrote down is
//! checked after the fact, whatever the case was about.

mod history;
mod requests;
mod tasks;
mod tests;

pub use history::{ConfigHistory, ConfigMonitor, Proposal};

use crate::harness::{Outcome, Traffic};
use cyclamenloft_standin::journal::{Event, Line, TaskEnd};
use std::collections::BTreeSet;

/// What was done to a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureKind {
    /// It was killed, so that nothing of it runs any more.
    Killed,
    /// It was frozen, so that nothing of it runs until it is thawed.
    Frozen,
    /// It was asked to leave.
    Leaving,
}

/// A stand-in that went away.
#[derive(Clone, Debug)]
pub struct Departure {
    pub who: Box<str>,
    /// Wall clock in microseconds, as in the journals.
    pub at_us: u64,
    pub kind: DepartureKind,
}

/// What one case left behind.
pub struct Evidence {
    /// All journals, in the order of time.
    lines: Vec<Line>,
    departures: Vec<Departure>,
    traffic: Traffic,
    slots: usize,
}

impl Evidence {
    /// The journals and what was done to their writers.
    pub fn new(mut lines: Vec<Line>, departures: Vec<Departure>, slots: usize) -> Self {
        lines.sort_by_key(|line| line.at_us);
        Self { lines, departures, traffic: Traffic::new(), slots }
    }

    /// Adds what callers saw.
    #[must_use]
    pub fn with(mut self, traffic: Traffic) -> Self {
        self.traffic.extend(traffic);
        self
    }

    /// Checks the promises on requests and tasks.
    ///
    /// # Panics
    ///
    /// Naming the promise that was broken.
    pub fn check(&self) {
        requests::check(self);
        tasks::check(self);
    }

    /// Checks that no request was cut, lost or refused.
    ///
    /// # Panics
    ///
    /// Naming the requests.
    pub fn all_answered(&self) {
        let unanswered: Vec<_> =
            self.traffic.iter().filter(|(_, sent)| sent.outcome != Outcome::Answered).collect();
        assert!(
            unanswered.is_empty(),
            "of {} requests these were not: {unanswered:?}",
            self.traffic.len()
        );
        assert!(!self.traffic.is_empty(), "no request was sent");
    }

    /// The tasks that ran to their end.
    pub fn finished(&self) -> BTreeSet<Box<str>> {
        let ends = self.lines.iter().filter_map(|line| match &line.event {
            Event::TaskEnded { task, end: TaskEnd::Finished, .. } => Some(task.clone()),
            _ => None,
        });
        ends.collect()
    }

    /// The number of events that `wanted` says yes to.
    pub fn count(&self, predicate: impl Fn(&Line) -> bool) -> usize {
        self.lines.iter().filter(|line| predicate(line)).count()
    }

    /// Whether `who` was killed or frozen between two times.
    fn was_disrupted(&self, who: &str, since_us: u64, until_us: u64) -> bool {
        let inside = since_us..=until_us;
        let mut departures =
            self.departures.iter().filter(|g| &*g.who == who && g.kind != DepartureKind::Leaving);
        departures.any(|g| inside.contains(&g.at_us))
    }

    /// Whether the worker went away after an attempt ended on it, so that it may
    /// have told nobody.
    fn may_be_unreported(&self, end: &Line, until_us: u64) -> bool {
        self.was_disrupted(&end.who, end.at_us, until_us)
    }
}
