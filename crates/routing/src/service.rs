//! The routing decisions for one service at one entry host.
//!
//! [`ServiceRouter`] holds the state of the service: its targets, the queue of
//! requests and the measured times. Other modules implement parts of it:
//! [`choice`](crate::choice) chooses a target, [`admission`](crate::admission)
//! queues or refuses requests, [`retry`](crate::retry) decides on further
//! attempts and [`leases`](crate::leases) determines how many slots there are.

use crate::{
    budget::RetryBudget,
    choice::median_latency,
    decision::{AttemptResult, Decision, Permit, RequestMeta, TargetRecord, Ticket},
    estimate::{Ewma, Quantiles},
    policy::{ChoicePolicy, RoutingPolicy, ServicePolicy},
    queue::FairQueue,
    slots::SlotTable,
    spill::RemoteHosts,
    targets::{FreeOrder, TargetIndex, TargetSet},
};
use cyclamenloft_types::{HostId, TargetId};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// Interval at which the median latency of the targets is recomputed.
const MEDIAN_PERIOD: Duration = Duration::from_millis(100);

/// Makes the routing decisions for one service at one entry host.
pub struct ServiceRouter {
    pub(crate) host: HostId,
    pub(crate) roster: Vec<HostId>,
    pub(crate) routing: RoutingPolicy,
    pub(crate) service: ServicePolicy,
    pub(crate) targets: TargetSet,
    /// The slots that this host holds by leases and loans, or `None` if leases
    /// aren't enabled and each host has a fixed share.
    pub(crate) table: Option<SlotTable>,
    /// Generation of `table` when the targets' allowances were last updated.
    pub(crate) table_generation: u64,
    /// Ejected targets in the order in which they were ejected.
    pub(crate) ejected: Vec<TargetIndex>,
    /// Paused targets, with the time at which each pause ends.
    pub(crate) paused: VecDeque<(Instant, TargetIndex)>,
    /// Earliest time at which a probe of an ejected target can be due, or
    /// `None` if no ejected target waits for a probe.
    pub(crate) next_probe: Option<Instant>,
    pub(crate) queue: FairQueue,
    pub(crate) remote_hosts: RemoteHosts,
    /// Refusals of queued requests that newer ones displaced, until they are
    /// returned.
    pub(crate) decided: Vec<(Ticket, Decision)>,
    pub(crate) budget: RetryBudget,
    /// Mean time for which permits are held.
    pub(crate) hold_time: Ewma,
    pub(crate) hold_time_quantiles: Quantiles,
    /// Times to the response head of healthy attempts.
    pub(crate) latency_quantiles: Quantiles,
    /// Median of the targets' mean latencies in seconds.
    pub(crate) median: Option<f64>,
    median_at: Option<Instant>,
    pub(crate) rng: SmallRng,
    next_seq: u64,
    /// Index from which round robin searches for the next target.
    pub(crate) round_robin_next: TargetIndex,
}

impl ServiceRouter {
    /// Creates a router without targets for `host`, which is one of `roster`. Its
    /// random numbers are seeded with the host's name.
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
        targets.set_free_order(free_order(routing.choice));
        Self {
            targets,
            table: None,
            table_generation: 0,
            ejected: Vec::new(),
            paused: VecDeque::new(),
            next_probe: None,
            queue: FairQueue::new(service.queue as usize),
            remote_hosts: RemoteHosts::default(),
            decided: Vec::new(),
            budget: RetryBudget::new(),
            hold_time: Ewma::default(),
            hold_time_quantiles: Quantiles::new(),
            latency_quantiles: Quantiles::new(),
            median: None,
            median_at: None,
            rng: SmallRng::seed_from_u64(xxh3_64(host.as_bytes())),
            next_seq: 0,
            round_robin_next: 0,
            host,
            roster,
            routing,
            service,
        }
    }

    /// Applies a changed policy. Requests that exceed a smaller queue bound stay
    /// in the queue.
    pub fn set_policy(&mut self, routing: RoutingPolicy, service: ServicePolicy) {
        self.queue.set_bound(service.queue as usize);
        self.targets.set_free_order(free_order(routing.choice));
        if let Some(table) = &mut self.table {
            table.set_slots(service.slots);
        }
        self.routing = routing;
        self.service = service;
        self.median_at = None;
    }

    /// Applies a target's announcement. A record with an older sequence number than
    /// the known record is ignored, unless the known record has expired. Returns
    /// the decisions on queued requests.
    pub fn announce(&mut self, record: TargetRecord, now: Instant) -> Vec<(Ticket, Decision)> {
        self.advance(now);
        let (id, in_flight) = (record.id.clone(), record.in_flight);
        if let Some(i) = self.targets.announce(record, now) {
            if let Some(table) = &mut self.table {
                table.observe_announcement(&id, in_flight, now);
            }
            self.refresh(i, now);
        }
        self.drain(now)
    }

    /// Records how many of the requests in flight at a target came from this
    /// host, in its current incarnation or an earlier one, according to the last
    /// applied announcement. This frees the slots of abandoned requests, and those
    /// held for earlier incarnations, sooner than the count over all hosts does.
    pub fn observe_own_in_flight(&mut self, target: &str, count: u16, now: Instant) {
        let Some(i) = self.targets.find(target) else { return };
        if let Some(table) = &mut self.table {
            table.observe_own_in_flight(target, count);
        }
        if let Some(target) = self.targets.get_mut(i) {
            target.bound_abandoned(count);
        }
        self.refresh(i, now);
    }

    /// Decides on a new request, or on one that is retried. `avoid` lists the
    /// targets at which the request has already failed.
    ///
    /// This request may displace a queued one; the decisions on displaced requests
    /// come from [`ServiceRouter::take_decided`].
    pub fn admit(&mut self, meta: RequestMeta, avoid: &[TargetId], now: Instant) -> Decision {
        self.advance(now);
        if let Some(refusal) = self.refuse_early(&meta, avoid, now) {
            return Decision::Refuse(refusal);
        }
        if let Some(permit) = self.pick_for_new(&meta, avoid, now) {
            return Decision::Dispatch(permit);
        }
        self.enqueue(meta, avoid, now)
    }

    /// Returns the refusals of queued requests that newer ones displaced from the
    /// full queue since the last call. Call this after each
    /// [`ServiceRouter::admit`] that returned [`Decision::Wait`]. `release`,
    /// `announce` and `tick` also return pending refusals.
    pub fn take_decided(&mut self) -> Vec<(Ticket, Decision)> {
        std::mem::take(&mut self.decided)
    }

    /// Removes a queued request, for example because its caller disconnected.
    /// Returns false if the request has already been decided on.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Releases a permit whose attempt has ended. Returns the decisions on queued
    /// requests.
    pub fn release(
        &mut self,
        permit: Permit,
        result: AttemptResult,
        now: Instant,
    ) -> Vec<(Ticket, Decision)> {
        let held = now.saturating_duration_since(permit.since);
        self.hold_time.observe(held);
        if result.healthy && !result.abandoned {
            self.hold_time_quantiles.observe(held, now);
            self.latency_quantiles.observe(result.latency, now);
            self.budget.deposit(self.service.retry_percent);
        }
        if let Some(i) = self.targets.find(&permit.target) {
            self.targets.finish(i, permit.floor_only, &result, now);
            self.update_health(i, permit.probe, &result, now);
            self.refresh(i, now);
        }
        self.advance(now);
        self.drain(now)
    }

    /// Expires targets, leases and deadlines, and returns the decisions on queued
    /// requests. Call this every few milliseconds.
    pub fn tick(&mut self, now: Instant) -> Vec<(Ticket, Decision)> {
        self.advance(now);
        self.drain(now)
    }

    /// Updates the state that depends on time alone.
    pub(crate) fn advance(&mut self, now: Instant) {
        let removed = self.targets.expire(now);
        if !removed.is_empty() {
            self.ejected.retain(|i| self.targets.get(*i).is_some());
            if let Some(table) = &mut self.table {
                removed.iter().for_each(|id| table.remove_target(id));
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

    /// Updates the allowance of target `i` and its place in the indexes.
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

fn free_order(choice: ChoicePolicy) -> FreeOrder {
    match choice {
        ChoicePolicy::TwoChoices => FreeOrder::None,
        ChoicePolicy::RoundRobin => FreeOrder::ByIndex,
        ChoicePolicy::LeastInFlight => FreeOrder::ByInFlight,
    }
}
