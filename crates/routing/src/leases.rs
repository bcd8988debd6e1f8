//! How many slots of each target the router may use, and the messages with
//! other entry hosts that decide it.

use crate::{
    decision::{Decision, RequestFacts, Ticket},
    service::ServiceRouter,
    slots::{Allowance, Envelope, Incarnation, LeaseConfig, SlotMessage, SlotTable, base_share},
};
use cyclamenloft_types::HostId;
use std::time::Instant;

/// What follows from a message of another entry host.
#[derive(Debug, Default)]
pub struct SlotReply {
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// Decisions on waiting requests.
    pub decided: Vec<(Ticket, Decision)>,
}

impl ServiceRouter {
    /// Divides the targets' slots by leases and loans from now on, in place of
    /// fixed shares. To be called before the first announcement. `incarnation`
    /// must differ from that of every earlier life of this host; `witness` votes
    /// where the roster is even.
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

    /// Messages to other entry hosts that are due. To be called every few
    /// milliseconds.
    pub fn slot_messages(&mut self, now: Instant) -> Vec<Envelope> {
        let wanted = self.queue.len();
        let Some(table) = &mut self.table else { return Vec::new() };
        let messages = table.poll(wanted, &self.targets, now);
        self.advance(now);
        messages
    }

    /// Takes in a message of another entry host.
    pub fn take_slot_message(&mut self, message: SlotMessage, now: Instant) -> SlotReply {
        self.advance(now);
        let Some(table) = &mut self.table else { return SlotReply::default() };
        let messages = table.handle(message, &self.targets, now);
        self.advance(now);
        SlotReply { messages, decided: self.drain(now) }
    }

    /// Hands this host's shares back for good. To be called at a planned stop,
    /// once nothing is in flight.
    pub fn stop_leases(&mut self, now: Instant) -> Vec<Envelope> {
        let Some(table) = &mut self.table else { return Vec::new() };
        let messages = table.stop(now);
        self.advance(now);
        messages
    }

    /// Whether requests of a former life of this host can't be running any more.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.table.as_ref().is_none_or(|t| t.is_settled(now))
    }

    /// Connections to a target that this host may have open.
    #[must_use]
    pub fn connection_share(&self, target: &str) -> u16 {
        base_share(self.service.connections, target, &self.roster, &self.host)
    }

    /// Slots that this host may use at a target.
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

    /// Whether allowances changed since the last call.
    pub(crate) fn allowances_changed(&mut self, now: Instant) -> bool {
        let Some(table) = &mut self.table else { return false };
        let ended = table.next_end().is_some_and(|t| t <= now);
        if ended {
            table.note_next_end(now);
        }
        let changes = std::mem::replace(&mut self.table_changes, table.changes());
        ended || changes != self.table_changes
    }

    /// Whether the request may outlast a lease on slots.
    pub(crate) fn is_long(&self, facts: &RequestFacts, now: Instant) -> bool {
        let config = self.table.as_ref().map(SlotTable::config);
        config.is_some_and(|c| self.attempt_deadline(facts, now) > now + c.longest_request)
    }

    /// When an attempt at the request that starts now has to end.
    pub(crate) fn attempt_deadline(&self, facts: &RequestFacts, now: Instant) -> Instant {
        let config = self.table.as_ref().map(SlotTable::config);
        config.map_or(facts.deadline, |c| facts.deadline.min(now + c.max_deadline))
    }
}
