//! The number of slots of each target that the router may use, and the messages
//! to and from other entry hosts that determine it.

use crate::{
    decision::{Decision, RequestMeta, Ticket},
    service::ServiceRouter,
    slots::{Allowance, Envelope, Incarnation, LeaseConfig, SlotMessage, SlotTable, base_share},
};
use cyclamenloft_types::HostId;
use std::time::Instant;

/// The result of handling a message from another entry host.
#[derive(Debug, Default)]
pub struct SlotReply {
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// Decisions on queued requests.
    pub decided: Vec<(Ticket, Decision)>,
}

impl ServiceRouter {
    /// Divides the targets' slots by leases and loans instead of fixed shares. Call
    /// this before the first announcement. `incarnation` must differ from every
    /// earlier incarnation of this host. `witness` is a host of another domain that
    /// votes on leases if the roster's size is even.
    pub fn enable_leases(
        &mut self,
        incarnation: Incarnation,
        witness: Option<HostId>,
        config: LeaseConfig,
        now: Instant,
    ) {
        let (host, roster) = (self.host.clone(), self.roster.clone());
        let slots = self.service.slots;
        self.table = Some(SlotTable::new(host, incarnation, roster, witness, slots, config, now));
        self.advance(now);
    }

    /// Returns the messages to other entry hosts that are due. Call this every few
    /// milliseconds.
    pub fn slot_messages(&mut self, now: Instant) -> Vec<Envelope> {
        let wanted = self.queue.len();
        let Some(table) = &mut self.table else { return Vec::new() };
        let messages = table.poll(wanted, &self.targets, now);
        self.advance(now);
        messages
    }

    /// Handles a message from another entry host.
    pub fn handle_slot_message(&mut self, message: SlotMessage, now: Instant) -> SlotReply {
        self.advance(now);
        let Some(table) = &mut self.table else { return SlotReply::default() };
        let messages = table.handle(message, &self.targets, now);
        self.advance(now);
        SlotReply { messages, decided: self.drain(now) }
    }

    /// Releases this host's shares for good, and returns the messages to send. Call
    /// this at a planned stop, once no requests are in flight.
    pub fn stop_leases(&mut self, now: Instant) -> Vec<Envelope> {
        let Some(table) = &mut self.table else { return Vec::new() };
        let messages = table.stop(now);
        self.advance(now);
        messages
    }

    /// Returns whether all requests of this host's earlier incarnations have
    /// certainly ended.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.table.as_ref().is_none_or(|t| t.is_settled(now))
    }

    /// Returns the number of connections that this host may open to a target.
    #[must_use]
    pub fn connection_share(&self, target: &str) -> u16 {
        base_share(self.service.connections, target, &self.roster, &self.host)
    }

    /// Returns the slots that this host may use at a target.
    pub(crate) fn allowance(&self, target: &str, now: Instant) -> Allowance {
        let connections = self.connection_share(target);
        let allowance = match &self.table {
            Some(table) => table.allowance(target, now),
            None => {
                let total = base_share(self.service.slots, target, &self.roster, &self.host);
                Allowance { total, floor: total }
            }
        };
        Allowance {
            total: allowance.total.min(connections),
            floor: allowance.floor.min(connections),
        }
    }

    /// Returns whether allowances may have changed since the last call.
    pub(crate) fn allowances_changed(&mut self, now: Instant) -> bool {
        let Some(table) = &mut self.table else { return false };
        let ended = table.next_expiry().is_some_and(|t| t <= now);
        if ended {
            table.update_next_expiry(now);
        }
        let previous = std::mem::replace(&mut self.table_generation, table.generation());
        ended || previous != self.table_generation
    }

    /// Returns whether the request must use a floor slot, because it may outlast a
    /// lease.
    pub(crate) fn is_floor_only(&self, meta: &RequestMeta, now: Instant) -> bool {
        let config = self.table.as_ref().map(SlotTable::config);
        config.is_some_and(|c| self.attempt_deadline(meta, now) > now + c.longest_request)
    }

    /// Returns the time by which an attempt that starts now must end.
    pub(crate) fn attempt_deadline(&self, meta: &RequestMeta, now: Instant) -> Instant {
        let config = self.table.as_ref().map(SlotTable::config);
        config.map_or(meta.deadline, |c| meta.deadline.min(now + c.max_deadline))
    }
}
