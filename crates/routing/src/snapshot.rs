//! Snapshots of a service's routing state, for operators.

use crate::{
    ejection::EjectionState, estimate::QuantileEstimates, service::ServiceRouter, targets::Target,
};
use cyclamenloft_types::TargetId;
use std::time::{Duration, Instant};

/// The state of one target at one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSnapshot {
    /// The target's name.
    pub id: TargetId,
    /// Whether the target is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Whether the target's announcement has expired.
    pub expired: bool,
    /// Requests of this host in flight, without the abandoned ones.
    pub in_flight: u16,
    /// Slots that abandoned requests still hold.
    pub abandoned: u16,
    /// Requests in flight from all hosts, as announced by the target.
    pub announced_in_flight: u16,
    /// Slots that this host may use.
    pub share: u16,
    /// Peak-sensitive EWMA of the latency, or `None` if none has been measured.
    pub ewma: Option<Duration>,
    /// Whether the target is in use or ejected.
    pub ejection_state: EjectionState,
}

/// The state of one service at one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSnapshot {
    /// All known targets.
    pub targets: Vec<TargetSnapshot>,
    /// Number of queued requests.
    pub queued: usize,
    /// Most requests that may be queued.
    pub queue_bound: usize,
    /// Predicted time for which a new request waits for a slot.
    pub predicted_wait: Duration,
    /// Number of retries and hedged requests that may be sent now.
    pub retry_budget: f64,
    /// Quantiles of the time to the response head, or `None` if there are too few
    /// recent samples.
    pub latency: Option<QuantileEstimates>,
    /// Mean time for which a request holds its slot.
    pub mean_hold: Duration,
}

impl ServiceRouter {
    /// Returns the current state.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> ServiceSnapshot {
        ServiceSnapshot {
            targets: self.targets.iter().map(|t| target_snapshot(t, now)).collect(),
            queued: self.queue.len(),
            queue_bound: self.service.queue as usize,
            predicted_wait: self.local_wait(),
            retry_budget: self.budget.tokens(),
            latency: self.latency_quantiles.get(now),
            mean_hold: Duration::from_secs_f64(self.hold_time.seconds()),
        }
    }

    /// Returns the predicted wait of a new request behind all queued ones.
    #[must_use]
    pub fn local_wait(&self) -> Duration {
        if self.queue.is_empty() && !self.targets.free().is_empty() {
            return Duration::ZERO;
        }
        self.wait_behind(self.queue.len() + 1)
    }
}

fn target_snapshot(target: &Target, now: Instant) -> TargetSnapshot {
    TargetSnapshot {
        id: target.record.id.clone(),
        leaving: target.record.leaving,
        expired: target.record.expires <= now,
        in_flight: target.in_flight,
        abandoned: target.abandoned.held(),
        announced_in_flight: target.record.in_flight,
        share: target.allowance.total,
        ewma: target.peak.map(|p| Duration::from_secs_f64(p.seconds(now))),
        ejection_state: target.health.ejection_state(),
    }
}
