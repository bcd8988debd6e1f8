//! A replay next to those of the baselines, and what the trace demands.

use super::{Bounds, Entry, Event, Outcome, replay};
use crate::policy::{FitPolicy, MitigationPolicy, PlacementPolicy};
use serde::Serialize;

/// A replay next to those of the baselines.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// With the given policy.
    pub given: Outcome,
    /// With first fit and no relief.
    pub first_fit: Outcome,
    /// With best fit, where a service that suffers has the largest batch task evicted.
    pub best_fit: Outcome,
    /// What the trace demands and did not come out, in words.
    pub unmet: Vec<Box<str>>,
}

/// Replays a trace under a policy and under the baselines.
#[must_use]
pub fn compare(entries: &[Entry], policy: &PlacementPolicy) -> Comparison {
    let first_fit = baseline(FitPolicy::FirstFit, MitigationPolicy::Off);
    let best_fit = baseline(FitPolicy::BestFit, MitigationPolicy::EvictOnly);
    let (given, first_fit, best_fit) = std::thread::scope(|scope| {
        let first_fit = scope.spawn(|| replay(entries, &first_fit));
        let best_fit = scope.spawn(|| replay(entries, &best_fit));
        let given = replay(entries, policy);
        // A replay that panicked has no outcome to compare with.
        (given, first_fit.join().unwrap_or_default(), best_fit.join().unwrap_or_default())
    });
    let bounds = entries.iter().find_map(|e| match &e.event {
        Event::Bounds(bounds) => Some(*bounds),
        _ => None,
    });
    let unmet = bounds.map_or_else(Vec::new, |b| unmet(&b, &given, &first_fit, &best_fit));
    Comparison { given, first_fit, best_fit, unmet }
}

fn unmet(b: &Bounds, given: &Outcome, first_fit: &Outcome, best_fit: &Outcome) -> Vec<Box<str>> {
    let mut unmet: Vec<Box<str>> = Vec::new();
    let mut demand = |holds: bool, text: String| {
        if !holds {
            unmet.push(text.into());
        }
    };
    let broken = given.broken.total();
    demand(broken == 0, format!("{broken} broken promises: {:?}", given.broken));
    demand(
        given.urgent_waiting == 0 && given.urgent_start_max_ms <= b.urgent_start_ms,
        format!(
            "urgent starts: at most {} ms, found {} ms and {} that never started",
            b.urgent_start_ms, given.urgent_start_max_ms, given.urgent_waiting
        ),
    );
    let batch = given.batch_finished as f64 / first_fit.batch_finished.max(1) as f64;
    demand(
        batch >= b.batch_of_first_fit,
        format!("batch: at least {} of first fit's, found {batch:.4}", b.batch_of_first_fit),
    );
    let over = given.over_target_share() * b.over_target_factor;
    demand(
        over <= first_fit.over_target_share(),
        format!(
            "service reports over target: {} times fewer than {:.5}, found {:.5}",
            b.over_target_factor,
            first_fit.over_target_share(),
            given.over_target_share()
        ),
    );
    demand(
        given.evictions as f64 * b.evictions_factor <= best_fit.evictions as f64,
        format!(
            "evictions: {} times fewer than {}, found {}",
            b.evictions_factor, best_fit.evictions, given.evictions
        ),
    );
    unmet
}

fn baseline(fit: FitPolicy, mitigation: MitigationPolicy) -> PlacementPolicy {
    PlacementPolicy { fit, mitigation, ..PlacementPolicy::default() }
}
