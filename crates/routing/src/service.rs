//! The decisions for one service at one entry host. This first version takes
//! the targets in turn and keeps a bounded queue in order of arrival.

use crate::{
    facts::{AttemptResult, Decision, Permit, Refusal, RequestFacts, TargetRecord, Ticket},
    policy::{RoutingPolicy, ServicePolicy},
    slots::base_share,
};
use cyclamenloft_types::{ErrorKind, HostId, TargetId};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

const RETRY_AFTER: Duration = Duration::from_secs(1);

struct TargetState {
    record: TargetRecord,
    in_flight: u16,
}

struct Waiting {
    ticket: Ticket,
    facts: RequestFacts,
}

/// Decides on the requests of one service at one entry host.
pub struct ServiceRouter {
    host: HostId,
    roster: Vec<HostId>,
    service: ServicePolicy,
    targets: BTreeMap<TargetId, TargetState>,
    queue: VecDeque<Waiting>,
    next_seq: u64,
    turn: usize,
}

impl ServiceRouter {
    /// A router for `host`, one of `roster`, without targets yet.
    #[must_use]
    pub fn new(
        host: HostId,
        roster: Vec<HostId>,
        _routing: RoutingPolicy,
        service: ServicePolicy,
    ) -> Self {
        Self {
            host,
            roster,
            service,
            targets: BTreeMap::new(),
            queue: VecDeque::new(),
            next_seq: 0,
            turn: 0,
        }
    }

    /// Takes a changed policy into force.
    pub fn set_policy(&mut self, _routing: RoutingPolicy, service: ServicePolicy) {
        self.service = service;
    }

    /// Takes in a target's announcement; records with an older sequence are ignored.
    /// Waiting requests that can go now come back with their decisions.
    pub fn announce(&mut self, record: TargetRecord, now: Instant) -> Vec<(Ticket, Decision)> {
        match self.targets.get_mut(&record.id) {
            Some(state) if record.sequence < state.record.sequence => {}
            Some(state) => state.record = record,
            None => {
                let id = record.id.clone();
                self.targets.insert(id, TargetState { record, in_flight: 0 });
            }
        }
        self.drain(now)
    }

    /// Decides on a new request, or on one that may be tried again.
    /// `avoid` names targets that have failed this request already.
    pub fn admit(&mut self, facts: RequestFacts, avoid: &[TargetId], now: Instant) -> Decision {
        if facts.deadline <= now {
            return refuse(ErrorKind::DeadlinePassed, "the deadline has passed");
        }
        if let Some(permit) = self.pick(avoid, now) {
            return Decision::Dispatch(permit);
        }
        if !self.targets.values().any(|t| usable(&t.record, now)) {
            return refuse(ErrorKind::NoTarget, "no target has announced itself");
        }
        if self.queue.len() >= self.service.queue as usize {
            return refuse(ErrorKind::Overloaded, "the queue is full");
        }
        let ticket = Ticket(self.next_seq());
        self.queue.push_back(Waiting { ticket, facts });
        Decision::Wait(ticket)
    }

    /// Takes a waiting request out because its caller has gone. Returns false
    /// where its decision has been made already.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.ticket != ticket);
        self.queue.len() < before
    }

    /// Gives a permit back. Waiting requests that can go now come back with
    /// their decisions.
    pub fn release(
        &mut self,
        permit: Permit,
        _result: AttemptResult,
        now: Instant,
    ) -> Vec<(Ticket, Decision)> {
        if let Some(state) = self.targets.get_mut(&permit.target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        self.drain(now)
    }

    /// Drops what has expired. To be called every few milliseconds.
    pub fn tick(&mut self, now: Instant) -> Vec<(Ticket, Decision)> {
        self.targets.retain(|_, t| t.record.expires > now || t.in_flight > 0);
        self.drain(now)
    }

    fn drain(&mut self, now: Instant) -> Vec<(Ticket, Decision)> {
        let mut decided = Vec::new();
        while let Some(first) = self.queue.front() {
            let (ticket, deadline) = (first.ticket, first.facts.deadline);
            if deadline <= now {
                let refusal = refuse(ErrorKind::DeadlinePassed, "the deadline passed in the queue");
                decided.push((ticket, refusal));
            } else if let Some(permit) = self.pick(&[], now) {
                decided.push((ticket, Decision::Dispatch(permit)));
            } else {
                break;
            }
            self.queue.pop_front();
        }
        decided
    }

    fn pick(&mut self, avoid: &[TargetId], now: Instant) -> Option<Permit> {
        let count = self.targets.len();
        let start = self.turn;
        let (slots, roster, host) = (self.service.slots, &self.roster, &self.host);
        let chosen = self
            .targets
            .values_mut()
            .enumerate()
            .filter(|(_, t)| usable(&t.record, now) && !avoid.contains(&t.record.id))
            .filter(|(_, t)| t.in_flight < base_share(slots, &t.record.id, roster, host))
            .min_by_key(|(i, _)| (i + count - start % count.max(1)) % count.max(1))?;
        self.turn = chosen.0 + 1;
        let state = chosen.1;
        state.in_flight += 1;
        let (target, addr) = (state.record.id.clone(), state.record.addr);
        let seq = self.next_seq();
        Some(Permit { target, addr, reason: "round-robin", since: now, seq })
    }

    fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }
}

fn usable(record: &TargetRecord, now: Instant) -> bool {
    !record.leaving && record.expires > now
}

fn refuse(kind: ErrorKind, detail: &str) -> Decision {
    Decision::Refuse(Refusal { kind, detail: detail.into(), retry_after: RETRY_AFTER })
}
