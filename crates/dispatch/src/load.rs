//! How busy a leader is. A leader that is behind decides late on everything, and neither the
//! length of any queue nor the processor time of the process shows it: the time by which
//! timers fire late does.

use std::{cell::Cell, time::Duration};

/// Time between two measurements of the lag.
pub(crate) const LAG_INTERVAL: Duration = Duration::from_millis(20);

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
pub struct Load(Cell<LoadReport>);

impl Load {
    /// Records a planning round.
    pub fn record_round(&self, planning: Duration, full: bool) {
        let mut report = self.0.get();
        report.rounds += 1;
        report.full_rounds += u32::from(full);
        report.planning += planning;
        self.0.set(report);
    }

    /// Records by how much a timer fired late.
    pub fn record_lag(&self, lag: Duration) {
        let report = self.0.get();
        self.0.set(LoadReport { max_lag: report.max_lag.max(lag), ..report });
    }

    /// Returns what was recorded since the last call.
    pub fn take(&self) -> LoadReport {
        self.0.take()
    }
}
