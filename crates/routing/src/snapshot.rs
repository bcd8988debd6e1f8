//! What operators are shown of a service's routing.

use crate::{
    ejection::Standing, estimate::QuantileEstimates, service::ServiceRouter, targets::Target,
};
use cyclamenloft_types::TargetId;
use std::time::{Duration, Instant};

/// The state of one target at one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSnapshot {
    /// The target.
    pub id: TargetId,
    /// Whether it wants no new requests.
    pub leaving: bool,
    /// Whether its announcement has expired.
    pub expired: bool,
    /// Requests of this host in flight, without the abandoned ones.
    pub in_flight: u16,
    /// Slots that abandoned requests still hold.
    pub abandoned: u16,
    /// Requests that the target itself says it is working on.
    pub announced_in_flight: u16,
    /// Slots that this host may use.
    pub share: u16,
    /// Peak-weighted latency, once the target has answered.
    pub ewma: Option<Duration>,
    /// Whether it is in use or ejected, and why.
    pub standing: Standing,
}

/// The state of one service at one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSnapshot {
    /// Every target that is known.
    pub targets: Vec<TargetSnapshot>,
    /// Requests that wait.
    pub queued: usize,
    /// Most requests that may wait.
    pub queue_bound: usize,
    /// How long a new request would wait for a slot.
    pub predicted_wait: Duration,
    /// Retries and hedged requests that may be sent now.
    pub retry_budget: f64,
    /// Times to the head of the answer, while there are enough samples.
    pub latency: Option<QuantileEstimates>,
    /// Mean time that a request holds its slot.
    pub mean_hold: Duration,
}

impl ServiceRouter {
    /// The present state, for operators.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> ServiceSnapshot {
        ServiceSnapshot {
            targets: self.targets.iter().map(|t| target_snapshot(t, now)).collect(),
            queued: self.queue.len(),
            queue_bound: self.service.queue as usize,
            predicted_wait: self.local_wait(),
            retry_budget: self.budget.tokens(),
            latency: self.latency_quantiles.get(now),
            mean_hold: Duration::from_secs_f64(self.hold.seconds()),
        }
    }

    /// How long a request that came now would wait behind all others.
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
        standing: target.health.standing(),
    }
}
