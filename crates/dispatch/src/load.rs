//! How busy a leader is. A leader that is behind decides late on everything, and neither the
//! length of any queue nor the processor time of the process shows it: the time by which
//! timers fire late does.

use std::{cell::Cell, time::Duration};

/// Time between two measurements of the lag.
pub(crate) const LAG_INTERVAL: Duration = Duration::from_millis(20);

/// Lag from which a leader is overloaded: some of it is added to each step of a task's way
/// through the leader, of which there are five or more.
const OVERLOAD_LAG: Duration = Duration::from_millis(20);
/// Number of successive reports with such a lag after which a leader is overloaded. A single
/// one may be a pause of the process.
const OVERLOAD_REPORTS: u32 = 3;

/// What a leader has done since the last line about its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of planning rounds.
    pub rounds: u32,
    /// Number of rounds that ended because they had placed as many runs as one may.
    pub full_rounds: u32,
    /// Time spent on planning.
    pub planning: Duration,
    /// Longest time by which a timer fired late, which is how long the oldest event waited for
    /// the process.
    pub max_lag: Duration,
}

/// Collects a [`LoadReport`].
#[derive(Debug, Default)]
pub struct Load {
    report: Cell<LoadReport>,
    /// Number of the last successive reports with a high lag.
    lagging: Cell<u32>,
}

impl Load {
    /// Records a planning round.
    pub fn record_round(&self, planning: Duration, full: bool) {
        let mut report = self.report.get();
        report.rounds += 1;
        report.full_rounds += u32::from(full);
        report.planning += planning;
        self.report.set(report);
    }

    /// Records by how much a timer fired late.
    pub fn record_lag(&self, lag: Duration) {
        let report = self.report.get();
        self.report.set(LoadReport { max_lag: report.max_lag.max(lag), ..report });
    }

    /// Returns what was recorded since the last call.
    pub fn take(&self) -> LoadReport {
        let report = self.report.take();
        let is_lagging = report.max_lag >= OVERLOAD_LAG;
        self.lagging.set(if is_lagging { self.lagging.get() + 1 } else { 0 });
        report
    }

    /// Returns whether the process has handled events late for a while.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.lagging.get() >= OVERLOAD_REPORTS
    }
}
