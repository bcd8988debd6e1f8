//! The decisions for one service at one entry host.
//!
//! [`ServiceRouter`] holds what is known of the service: its targets, the
//! queue of waiting requests and the measured times. The other modules add to
//! it: [`choice`](crate::choice) picks a target, [`admission`](crate::admission)
//! decides who waits and who is refused, [`retry`](crate::retry) who gets another
//! attempt, [`leases`](crate::leases) how many slots there are.

use crate::{
    budget::RetryBudget,
    choice::median_latency,
    decision::{AttemptResult, Decision, Permit, RequestFacts, TargetRecord, Ticket},
    estimate::{Mean, Quantiles},
    policy::{ChoicePolicy, RoutingPolicy, ServicePolicy},
    queue::FairQueue,
    slots::SlotTable,
    spill::Neighbours,
    targets::{Ordering, TargetIndex, TargetSet},
};
use cyclamenloft_types::{HostId, TargetId};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// How often the median latency of the targets is computed anew.
const MEDIAN_PERIOD: Duration = Duration::from_millis(100);

/// Decides on the requests of one service at one entry host.
pub struct ServiceRouter {
    pub(crate) host: HostId,
    pub(crate) roster: Vec<HostId>,
    pub(crate) routing: RoutingPolicy,
    pub(crate) service: ServicePolicy,
    pub(crate) targets: TargetSet,
    /// Divides the slots, where leases are in use.
    pub(crate) table: Option<SlotTable>,
    /// The table's changes that the targets' allowances take in.
    pub(crate) table_changes: u64,
    /// Ejected targets, those ejected first before the others.
    pub(crate) ejected: Vec<TargetIndex>,
    /// Targets that get no requests for a moment, and until when.
    pub(crate) paused: VecDeque<(Instant, TargetIndex)>,
    /// No probe is due before this.
    pub(crate) next_probe: Option<Instant>,
    pub(crate) queue: FairQueue,
    pub(crate) neighbours: Neighbours,
    /// Decisions on waiting requests that were made while another was admitted.
    pub(crate) decided: Vec<(Ticket, Decision)>,
    pub(crate) budget: RetryBudget,
    /// Times that permits were held.
    pub(crate) hold: Mean,
    pub(crate) hold_quantiles: Quantiles,
    /// Times to the head of a healthy answer.
    pub(crate) latency_quantiles: Quantiles,
    /// Median of the targets' mean latencies in seconds.
    pub(crate) median: Option<f64>,
    median_at: Option<Instant>,
    pub(crate) rng: SmallRng,
    next_seq: u64,
    /// Position from which the next target in turn is looked for.
    pub(crate) turn: TargetIndex,
}

impl ServiceRouter {
    /// A router for `host`, one of `roster`, without targets yet. Its random
    /// choices follow from the host's name.
    #[must_use]
    pub fn new(
        host: HostId,
        mut roster: Vec<HostId>,
        routing: RoutingPolicy,
        service: ServicePolicy,
    ) -> Self {
        roster.sort_unstable();
        roster.dedup();
        let mut targets = TargetSet::default();
        targets.set_ordering(ordering(routing.choice));
        Self {
            targets,
            table: None,
            table_changes: 0,
            ejected: Vec::new(),
            paused: VecDeque::new(),
            next_probe: None,
            queue: FairQueue::new(service.queue as usize),
            neighbours: Neighbours::default(),
            decided: Vec::new(),
            budget: RetryBudget::new(),
            hold: Mean::default(),
            hold_quantiles: Quantiles::new(),
            latency_quantiles: Quantiles::new(),
            median: None,
            median_at: None,
            rng: SmallRng::seed_from_u64(xxh3_64(host.as_bytes())),
            next_seq: 0,
            turn: 0,
            host,
            roster,
            routing,
            service,
        }
    }

    /// Takes a changed policy into force. Requests that wait beyond a smaller
    /// queue bound keep their places.
    pub fn set_policy(&mut self, routing: RoutingPolicy, service: ServicePolicy) {
        self.queue.set_bound(service.queue as usize);
        self.targets.set_ordering(ordering(routing.choice));
        if let Some(table) = &mut self.table {
            table.set_slots(service.slots);
        }
        self.routing = routing;
        self.service = service;
        self.median_at = None;
    }

    /// Takes in a target's announcement; records with an older sequence are ignored.
    /// Waiting requests that can go now come back with their decisions.
    pub fn announce(&mut self, record: TargetRecord, now: Instant) -> Vec<(Ticket, Decision)> {
        self.advance(now);
        let (id, in_flight) = (record.id.clone(), record.in_flight);
        if let Some(i) = self.targets.announce(record, now) {
            if let Some(table) = &mut self.table {
                table.announced(&id, in_flight, now);
            }
            self.refresh(i, now);
        }
        self.drain(now)
    }

    /// Takes in how many of the requests that a target is working on came from
    /// this host, in this life or a former one, as the target counts them in the
    /// announcement taken in last. It frees slots of abandoned requests, and
    /// those held for a former life, sooner than the count of all hosts'
    /// requests does.
    pub fn observe_own_in_flight(&mut self, target: &str, count: u16, now: Instant) {
        let Some(i) = self.targets.find(target) else { return };
        if let Some(table) = &mut self.table {
            table.announced_own(target, count);
        }
        if let Some(target) = self.targets.get_mut(i) {
            target.bound_abandoned(count);
        }
        self.refresh(i, now);
    }

    /// Decides on a new request, or on one that may be tried again.
    /// `avoid` names targets that have failed this request already.
    ///
    /// A waiting request may lose its place to this one: the decisions on such
    /// requests come from [`ServiceRouter::take_decided`].
    pub fn admit(&mut self, facts: RequestFacts, avoid: &[TargetId], now: Instant) -> Decision {
        self.advance(now);
        if let Some(refusal) = self.refuse_at_once(&facts, avoid, now) {
            return Decision::Refuse(refusal);
        }
        if let Some(permit) = self.pick_for_new(&facts, avoid, now) {
            return Decision::Dispatch(permit);
        }
        self.enqueue(facts, avoid, now)
    }

    /// The decisions on waiting requests that lost their places since the last
    /// call. To be called after each [`ServiceRouter::admit`] that answered
    /// [`Decision::Wait`]; `release`, `announce` and `tick` hand them out too.
    pub fn take_decided(&mut self) -> Vec<(Ticket, Decision)> {
        std::mem::take(&mut self.decided)
    }

    /// Takes a waiting request out because its caller has gone. Returns false
    /// where its decision has been made already.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Gives a permit back. Waiting requests that can go now come back with
    /// their decisions.
    pub fn release(
        &mut self,
        permit: Permit,
        result: AttemptResult,
        now: Instant,
    ) -> Vec<(Ticket, Decision)> {
        let held = now.saturating_duration_since(permit.since);
        self.hold.observe(held);
        if result.healthy && !result.abandoned {
            self.hold_quantiles.observe(held, now);
            self.latency_quantiles.observe(result.latency, now);
            self.budget.deposit(self.service.retry_percent);
        }
        if let Some(i) = self.targets.find(&permit.target) {
            self.targets.finish(i, permit.long, &result, now);
            self.judge(i, permit.probe, &result, now);
            self.refresh(i, now);
        }
        self.advance(now);
        self.drain(now)
    }

    /// Drops what has expired. To be called every few milliseconds.
    pub fn tick(&mut self, now: Instant) -> Vec<(Ticket, Decision)> {
        self.advance(now);
        self.drain(now)
    }

    /// Brings what depends on time alone up to date.
    pub(crate) fn advance(&mut self, now: Instant) {
        let forgotten = self.targets.expire(now);
        if !forgotten.is_empty() {
            self.ejected.retain(|i| self.targets.get(*i).is_some());
            if let Some(table) = &mut self.table {
                forgotten.iter().for_each(|id| table.forget(id));
            }
        }
        self.end_pauses(now);
        let due = self.median_at.is_none_or(|t| now.saturating_duration_since(t) >= MEDIAN_PERIOD);
        if due {
            self.median_at = Some(now);
            self.median = median_latency(&self.targets);
            self.budget.refill(now);
            self.enforce_ejection_cap(now);
        }
        if due || self.allowances_changed(now) {
            self.refresh_all(now);
        }
    }

    pub(crate) fn refresh(&mut self, i: TargetIndex, now: Instant) {
        let Some(target) = self.targets.get(i) else { return };
        let allowance = self.allowance(&target.record.id, now);
        self.targets.refresh(i, allowance, now);
    }

    fn refresh_all(&mut self, now: Instant) {
        for i in self.targets.indices() {
            self.refresh(i, now);
        }
    }

    pub(crate) fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }
}

fn ordering(choice: ChoicePolicy) -> Ordering {
    match choice {
        ChoicePolicy::TwoChoices => Ordering::None,
        ChoicePolicy::RoundRobin => Ordering::ByIndex,
        ChoicePolicy::LeastInFlight => Ordering::ByInFlight,
    }
}
