//! The states of a slot: reserved, then occupied by a request in flight.
//!
//! If a [`ReservedSlot`] is dropped, the slot is free at once. If an [`InFlightSlot`] is
//! dropped, the slot counts as abandoned, because the target may still be working on the
//! request.

use crate::gate::Gate;
use cyclamenloft_routing::{AttemptResult, Permit};
use cyclamenloft_target::UnsentRequest;
use cyclamenloft_types::Outcome;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// A permit and the gate that takes it back.
struct HeldPermit {
    gate: Arc<Gate>,
    permit: Permit,
}

/// A slot for a request of which no byte has been sent. Dropping it frees the slot.
pub struct ReservedSlot(Option<HeldPermit>);

/// A slot for a request that the target may have received. Dropping it marks
/// the request as abandoned.
pub struct InFlightSlot(Option<HeldPermit>);

const HELD: &str = "a permit is present until it is given back";

impl ReservedSlot {
    pub(crate) fn new(gate: Arc<Gate>, permit: Permit) -> Self {
        Self(Some(HeldPermit { gate, permit }))
    }

    /// Returns the permit.
    ///
    /// # Panics
    ///
    /// Never: only `dispatch`, `finish` and `drop` take the permit.
    pub fn permit(&self) -> &Permit {
        &self.0.as_ref().expect(HELD).permit
    }

    /// Converts the slot to one in flight, before the request is handed to a
    /// connection.
    #[must_use]
    pub fn dispatch(mut self) -> InFlightSlot {
        InFlightSlot(self.0.take())
    }

    /// Releases the slot. `healthy` is false if the request failed because of the
    /// target.
    pub fn finish(mut self, healthy: bool, now: Instant) {
        release(&mut self.0, AttemptResult { healthy, ..unsent() }, now);
    }
}

impl InFlightSlot {
    /// Returns the permit.
    ///
    /// # Panics
    ///
    /// Never: only `into_reserved`, the `finish` functions and `drop` take the permit.
    pub fn permit(&self) -> &Permit {
        &self.0.as_ref().expect(HELD).permit
    }

    /// Releases the slot after the request has ended with `result`.
    pub fn finish(mut self, result: AttemptResult, now: Instant) {
        release(&mut self.0, result, now);
    }

    /// Converts the slot back to a reserved one after the request was returned unsent.
    #[must_use]
    pub fn into_reserved(mut self, _proof: &UnsentRequest) -> ReservedSlot {
        ReservedSlot(self.0.take())
    }

    /// Releases the slot after the response was lost. The target may still be
    /// working on the request.
    pub fn finish_lost(mut self, healthy: bool, now: Instant) {
        let result = AttemptResult { healthy, ..abandoned(self.permit(), now) };
        release(&mut self.0, result, now);
    }
}

impl Drop for ReservedSlot {
    fn drop(&mut self) {
        if self.0.is_some() {
            release(&mut self.0, unsent(), Instant::now());
        }
    }
}

impl Drop for InFlightSlot {
    fn drop(&mut self) {
        if self.0.is_some() {
            let now = Instant::now();
            let result = abandoned(self.permit(), now);
            release(&mut self.0, result, now);
        }
    }
}

fn release(held: &mut Option<HeldPermit>, result: AttemptResult, now: Instant) {
    if let Some(HeldPermit { gate, permit }) = held.take() {
        gate.release(permit, result, now);
    }
}

fn unsent() -> AttemptResult {
    AttemptResult {
        outcome: Outcome::NotRun,
        healthy: true,
        latency: Duration::ZERO,
        abandoned: false,
    }
}

fn abandoned(permit: &Permit, now: Instant) -> AttemptResult {
    AttemptResult {
        outcome: Outcome::Unknown,
        healthy: true,
        latency: now.saturating_duration_since(permit.since),
        abandoned: true,
    }
}
