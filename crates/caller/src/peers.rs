//! The state that the gate of one service exchanges with other entry hosts: slots
//! within the domain, and expected waits between domains.

use crate::gate::Gate;
use cyclamenloft_routing::{
    RequestMeta,
    slots::{Envelope, Incarnation, LeaseConfig, SlotMessage},
    spill::{SpillChoice, WaitReport},
};
use cyclamenloft_types::DomainName;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

impl Gate {
    /// Enables leases and loans, with which the entry hosts of a domain divide the slots
    /// of the targets among themselves. Call this before the first announcement.
    pub fn enable_leases(&self, incarnation: Incarnation, config: LeaseConfig, now: Instant) {
        self.lock().router.enable_leases(incarnation, None, config, now);
    }

    /// Records how many requests of this host a target is working on, according to
    /// the announcement that was applied last.
    pub fn observe_own_in_flight(&self, target: &str, count: u16, now: Instant) {
        self.lock().router.observe_own_in_flight(target, count, now);
    }

    /// Returns the messages about slots that are due.
    #[must_use]
    pub fn slot_messages(&self, now: Instant) -> Vec<Envelope> {
        self.lock().router.slot_messages(now)
    }

    /// Handles a message about slots and returns the messages to send.
    pub fn handle_slot_message(
        self: &Arc<Self>,
        message: SlotMessage,
        now: Instant,
    ) -> Vec<Envelope> {
        let mut messages = Vec::new();
        self.decide(|state| {
            let reply = state.router.handle_slot_message(message, now);
            messages = reply.messages;
            reply.decided
        });
        messages
    }

    /// Gives up all leased slots of this host before it stops, and returns the messages
    /// to send. Call this once no request is in flight.
    #[must_use]
    pub fn stop_leases(&self, now: Instant) -> Vec<Envelope> {
        self.lock().router.stop_leases(now)
    }

    /// Returns how long a request would wait at this host.
    #[must_use]
    pub fn wait_report(&self, domain: &DomainName) -> WaitReport {
        self.lock().router.wait_report(domain)
    }

    /// Records how long a request would wait at an entry host of another domain.
    pub fn observe_remote(&self, report: WaitReport, link_delay: Duration, now: Instant) {
        // The peer made the report when it sent the response, one link delay ago.
        self.lock().router.observe_remote(report, link_delay, link_delay, now);
    }

    /// Returns the entry host of another domain to which a request should go, because
    /// this host refused the request or the wait there is shorter; `None` if there is
    /// none.
    #[must_use]
    pub fn spill(&self, meta: &RequestMeta, now: Instant) -> Option<SpillChoice> {
        let mut state = self.lock();
        let chosen = state.spilled.remove(&meta.id);
        chosen.or_else(|| state.router.consider_spill(meta, now))
    }
}
