//! What the operators' configuration says of placement.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a worker is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FitPolicy {
    /// Scores fit, interference, spread and the coming peak.
    #[default]
    Scored,
    /// The first worker with room: a baseline.
    FirstFit,
    /// The worker with the least room left over: a baseline without the
    /// interference model.
    BestFit,
}

/// Policy of a placement group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// How a worker is chosen.
    pub fit: FitPolicy,
    /// How long a worker may run its tasks after its last renewed report.
    pub lease: Duration,
    /// Time between reports of a worker.
    pub report_period: Duration,
    /// Added to a lease before the control side counts it as expired.
    pub drift_margin: Duration,
    /// Failed attempts after which a task is given up.
    pub max_failures: u32,
    /// Jobs that are over and still recognised when they are submitted again.
    pub remembered_jobs: usize,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            fit: FitPolicy::Scored,
            lease: Duration::from_secs(10),
            report_period: Duration::from_secs(2),
            drift_margin: Duration::from_millis(500),
            max_failures: 5,
            remembered_jobs: 16_384,
        }
    }
}
