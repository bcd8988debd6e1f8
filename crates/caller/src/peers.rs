//! What the decisions of one service exchange with other entry hosts: slots of
//! the own domain, and waits of other domains.

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
    /// Divides the targets' slots by leases and loans from now on. To be called
    /// before the first announcement.
    pub fn enable_leases(&self, incarnation: Incarnation, config: LeaseConfig, now: Instant) {
        self.lock().router.enable_leases(incarnation, None, config, now);
    }

    /// Takes in how many requests of this host a target is working on, as the
    /// announcement taken in last tells.
    pub fn observe_own_in_flight(&self, target: &str, count: u16, now: Instant) {
        self.lock().router.observe_own_in_flight(target, count, now);
    }

    /// Messages about slots that are due.
    #[must_use]
    pub fn slot_messages(&self, now: Instant) -> Vec<Envelope> {
        self.lock().router.slot_messages(now)
    }

    /// Takes in a message about slots and returns what to send.
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

    /// Hands this host's leased slots back for good, once nothing is in flight.
    #[must_use]
    pub fn stop_leases(&self, now: Instant) -> Vec<Envelope> {
        self.lock().router.stop_leases(now)
    }

    /// How long a request would wait here.
    #[must_use]
    pub fn wait_report(&self, domain: &DomainName) -> WaitReport {
        self.lock().router.wait_report(domain)
    }

    /// Takes in how long a request would wait at another domain's entry host.
    pub fn observe_remote(&self, report: WaitReport, link_delay: Duration, now: Instant) {
        // The report was made when the other side answered: one way ago.
        self.lock().router.observe_remote(report, link_delay, link_delay, now);
    }

    /// The other domain's entry host that a request should go to, which was
    /// refused here or would wait longer here.
    #[must_use]
    pub fn spill(&self, meta: &RequestMeta, now: Instant) -> Option<SpillChoice> {
        let mut state = self.lock();
        let chosen = state.spilled.remove(&meta.id);
        chosen.or_else(|| state.router.consider_spill(meta, now))
    }
}
