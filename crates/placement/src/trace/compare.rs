//! Comparison of a replay with baseline policies and with the bounds of the trace.

use super::{Bounds, Event, Outcome, TimedEvent, replay};
use crate::policy::{FitPolicy, MitigationPolicy, PlacementPolicy};
use serde::Serialize;

/// The outcomes of a replay under a policy and under the baselines.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The outcome under the given policy.
    pub given: Outcome,
    /// The outcome with first fit and no mitigation of interference.
    pub first_fit: Outcome,
    /// The outcome with best fit, where a service over its target causes the
    /// eviction of the largest batch task on its worker.
    pub best_fit: Outcome,
    /// Descriptions of the bounds of the trace that the policy did not meet.
    pub unmet: Vec<Box<str>>,
}

/// Replays a trace under a policy and under the baselines.
#[must_use]
pub fn compare(entries: &[TimedEvent], policy: &PlacementPolicy) -> Comparison {
    let first_fit = baseline(FitPolicy::FirstFit, MitigationPolicy::Off);
    let best_fit = baseline(FitPolicy::BestFit, MitigationPolicy::EvictOnly);
    let (given, first_fit, best_fit) = std::thread::scope(|scope| {
        let first_fit = scope.spawn(|| replay(entries, &first_fit));
        let best_fit = scope.spawn(|| replay(entries, &best_fit));
        let given = replay(entries, policy);
        // A baseline replay that panicked counts as an empty outcome.
        (given, first_fit.join().unwrap_or_default(), best_fit.join().unwrap_or_default())
    });
    let bounds = entries.iter().find_map(|e| match &e.event {
        Event::Bounds(bounds) => Some(*bounds),
        _ => None,
    });
    let unmet = bounds.map_or_else(Vec::new, |b| unmet_bounds(&b, &given, &first_fit, &best_fit));
    Comparison { given, first_fit, best_fit, unmet }
}

fn unmet_bounds(
    b: &Bounds,
    given: &Outcome,
    first_fit: &Outcome,
    best_fit: &Outcome,
) -> Vec<Box<str>> {
    let mut unmet: Vec<Box<str>> = Vec::new();
    let mut require = |holds: bool, text: String| {
        if !holds {
            unmet.push(text.into());
        }
    };
    let broken = given.broken.total();
    require(broken == 0, format!("{broken} invariant violations: {:?}", given.broken));
    require(
        given.urgent_waiting == 0 && given.urgent_start_max_ms <= b.urgent_start_ms,
        format!(
            "urgent starts: expected at most {} ms, found {} ms and {} that never started",
            b.urgent_start_ms, given.urgent_start_max_ms, given.urgent_waiting
        ),
    );
    let batch = given.batch_finished as f64 / first_fit.batch_finished.max(1) as f64;
    require(
        batch >= b.batch_of_first_fit,
        format!(
            "batch tasks finished: expected at least {} of those with first fit, found {batch:.4}",
            b.batch_of_first_fit
        ),
    );
    let over = given.over_target_share() * b.over_target_factor;
    require(
        over <= first_fit.over_target_share(),
        format!(
            "share of service reports over target: expected {} times less than {:.5}, found {:.5}",
            b.over_target_factor,
            first_fit.over_target_share(),
            given.over_target_share()
        ),
    );
    require(
        given.evictions as f64 * b.evictions_factor <= best_fit.evictions as f64,
        format!(
            "evictions: expected {} times fewer than {}, found {}",
            b.evictions_factor, best_fit.evictions, given.evictions
        ),
    );
    unmet
}

fn baseline(fit: FitPolicy, mitigation: MitigationPolicy) -> PlacementPolicy {
    PlacementPolicy { fit, mitigation, ..PlacementPolicy::default() }
}
