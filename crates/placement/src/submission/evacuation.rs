//! Evacuation of failure domains: an operator orders that nothing more is started on the workers
//! of a domain, and withdraws the order later.
//!
//! Load handled: none. An evacuation removes capacity, and the planner then sees fewer workers.
//!
//! Each committed order gets the next number, also one that changes nothing. An order states the
//! number that its replica knew when the operator's call arrived. It has no effect if a later order
//! for the same domain is committed by then; the replica tries again while its caller waits. This is
//! what keeps a delayed duplicate from undoing a newer order.

use super::state::{Incarnation, SubmissionState};
use cyclamenloft_types::DomainName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of the last committed order of any domain. 0 means that there was none.
pub type EvacuationVersion = u64;

/// The last order for one domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastOrder {
    version: EvacuationVersion,
    on: bool,
    /// Time since which the domain has been evacuated, or not, in milliseconds since the Unix
    /// epoch.
    since_ms: u64,
}

/// What an order did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationOutcome {
    /// The domain is evacuated from now on.
    InForce,
    /// The domain may be used again.
    Withdrawn,
    /// The domain was in the ordered state already.
    Unchanged,
    /// A later order for the domain had been committed, and stands.
    Superseded,
}

impl EvacuationOutcome {
    /// Returns the text used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InForce => "in-force",
            Self::Withdrawn => "withdrawn",
            Self::Unchanged => "unchanged",
            Self::Superseded => "superseded",
        }
    }
}

/// The evacuated domains. The last order of a domain is kept after its withdrawal, because
/// duplicates of earlier orders may still arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    version: EvacuationVersion,
    last_orders: BTreeMap<DomainName, LastOrder>,
}

impl Evacuations {
    /// Returns whether a domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.last_orders.get(domain).is_some_and(|order| order.on)
    }

    /// Returns whether no domain is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// Returns the number of the last committed order.
    #[must_use]
    pub fn version(&self) -> EvacuationVersion {
        self.version
    }

    /// Returns the number of the last committed order for a domain, or 0 if there was none.
    #[must_use]
    pub fn version_of(&self, domain: &str) -> EvacuationVersion {
        self.last_orders.get(domain).map_or(0, |order| order.version)
    }

    /// Returns the evacuated domains, each with the time at which the order was accepted, in
    /// milliseconds since the Unix epoch.
    pub fn iter(&self) -> impl Iterator<Item = (&DomainName, u64)> {
        self.last_orders.iter().filter(|(_, o)| o.on).map(|(domain, o)| (domain, o.since_ms))
    }

    /// Applies an order of a replica that knew of the orders up to `expected`.
    pub(super) fn apply(
        &mut self,
        domain: &DomainName,
        on: bool,
        expected: EvacuationVersion,
        at_ms: u64,
    ) -> EvacuationOutcome {
        if self.version_of(domain) > expected {
            return EvacuationOutcome::Superseded;
        }
        self.version += 1;
        let outcome = match (self.contains(domain), on) {
            (false, true) => EvacuationOutcome::InForce,
            (true, false) => EvacuationOutcome::Withdrawn,
            _ => EvacuationOutcome::Unchanged,
        };
        let order = LastOrder { version: self.version, on, since_ms: at_ms };
        let known = self.last_orders.entry(domain.clone()).or_insert(order);
        let since_ms = if outcome == EvacuationOutcome::Unchanged { known.since_ms } else { at_ms };
        *known = LastOrder { since_ms, ..order };
        outcome
    }
}

impl SubmissionState {
    /// Returns whether nothing may be started on an incarnation, because the worker is draining
    /// or its domain is evacuated.
    #[must_use]
    pub fn rejects_starts(&self, incarnation: &Incarnation) -> bool {
        incarnation.worker.draining || self.is_evacuated(incarnation)
    }

    /// Returns whether the domain of an incarnation is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, incarnation: &Incarnation) -> bool {
        self.evacuations().contains(&incarnation.worker.domain)
    }

    /// Returns the number of runs in each evacuated domain.
    #[must_use]
    pub fn runs_left(&self) -> BTreeMap<DomainName, usize> {
        let mut left: BTreeMap<DomainName, usize> =
            self.evacuations().iter().map(|(domain, _)| (domain.clone(), 0)).collect();
        if left.is_empty() {
            return left;
        }
        for (_, incarnation) in self.incarnations() {
            if let Some(count) = left.get_mut(&incarnation.worker.domain) {
                *count += incarnation.runs.len();
            }
        }
        left
    }
}
