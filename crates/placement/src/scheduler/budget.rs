//! Hourly budget of evictions.

use crate::time::Timestamp;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

const HOUR: Duration = Duration::from_secs(60 * 60);

/// The times of the evictions in the past hour.
#[derive(Debug, Default)]
pub(super) struct HourlyBudget(VecDeque<Instant>);

impl HourlyBudget {
    /// Adds `count` evictions unless that makes more than `per_hour` evictions
    /// in the past hour. Returns whether they were added.
    pub(super) fn try_spend(&mut self, count: usize, per_hour: u32, now: Timestamp) -> bool {
        while self.0.front().is_some_and(|at| now.instant.duration_since(*at) >= HOUR) {
            self.0.pop_front();
        }
        if self.0.len() + count > per_hour as usize {
            return false;
        }
        self.0.extend(std::iter::repeat_n(now.instant, count));
        true
    }
}
