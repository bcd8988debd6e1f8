//! The targets of one service as one entry host sees them, indexed so that a
//! decision never looks at all of them.

use crate::{
    abandoned::Abandoned,
    decision::{AttemptResult, TargetRecord},
    ejection::Health,
    estimate::PeakEwma,
    slots::{Allowance, Occupancy},
};
use cyclamenloft_types::TargetId;
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Time over which a new target's part of the load grows to its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Part of the load that a new target starts with.
const SLOW_START_FLOOR: f64 = 0.1;
/// Latency assumed of a target while nothing is known of any, in seconds.
const UNKNOWN_LATENCY_SECONDS: f64 = 0.001;
/// How much each failure in a row adds to a target's cost.
const FAILURE_PENALTY: f64 = 2.0;
/// How long an expired target with unfinished requests is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// How often an expired target with unfinished requests is looked at.
const LINGERING_PERIOD: Duration = Duration::from_secs(1);

/// Position of a target in its set.
pub(crate) type TargetIndex = u32;

/// One target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) record: TargetRecord,
    pub(crate) in_flight: u16,
    /// Those in flight that are for the floor only.
    long_in_flight: u16,
    pub(crate) abandoned: Abandoned,
    pub(crate) health: Health,
    pub(crate) peak: Option<PeakEwma>,
    pub(crate) probing: bool,
    joined: Instant,
    /// When the target last answered, or last went from idle to busy.
    progress: Instant,
    /// Slots that this host may use, as of the last refresh.
    pub(crate) allowance: Allowance,
    free_position: Option<u32>,
    order_key: Option<u16>,
    counted_slots: u16,
    counted_usable: bool,
}

impl Target {
    fn new(record: TargetRecord, now: Instant) -> Self {
        Self {
            record,
            in_flight: 0,
            long_in_flight: 0,
            abandoned: Abandoned::default(),
            health: Health::new(now),
            peak: None,
            probing: false,
            joined: now,
            progress: now,
            allowance: Allowance::default(),
            free_position: None,
            order_key: None,
            counted_slots: 0,
            counted_usable: false,
        }
    }

    /// Whether the target may be given new requests at all.
    pub(crate) fn usable(&self, now: Instant) -> bool {
        !self.record.leaving && self.record.expires > now
    }

    /// Slots that are in use or held.
    pub(crate) fn occupied(&self) -> u16 {
        self.in_flight.saturating_add(self.abandoned.held())
    }

    /// The target's peak-weighted latency in seconds, or the service's own.
    pub(crate) fn latency(&self, service: f64, now: Instant) -> f64 {
        let known = self.peak.map(|p| p.seconds(now));
        known.unwrap_or(if service > 0.0 { service } else { UNKNOWN_LATENCY_SECONDS })
    }

    /// What one more request here would cost; the smaller of two is chosen.
    pub(crate) fn cost(&self, service_latency: f64, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.joined).as_secs_f64();
        let ramp = (age / SLOW_START.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0);
        let share = f64::from(self.allowance.total.max(1)) * ramp;
        let mut latency = self.latency(service_latency, now);
        if self.in_flight > 0 {
            // A target that stopped answering shows no latency at all.
            latency = latency.max(now.saturating_duration_since(self.progress).as_secs_f64());
        }
        let failures = self.health.recent_failures(now);
        f64::from(self.occupied() + 1) / share * latency * (1.0 + FAILURE_PENALTY * failures)
    }

    /// Whether there is a slot for one more request; a `long` one fits the floor only.
    pub(crate) fn has_slot(&self, long: bool) -> bool {
        self.occupied() < self.allowance.total
            && (!long || self.long_in_flight < self.allowance.floor)
    }

    fn take(&mut self, long: bool, now: Instant) {
        if self.in_flight == 0 {
            self.progress = now;
        }
        self.in_flight += 1;
        self.long_in_flight += u16::from(long);
    }

    /// Gives the slot of an attempt back, or holds it.
    fn finish(&mut self, long: bool, result: &AttemptResult, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.long_in_flight = self.long_in_flight.saturating_sub(u16::from(long));
        if result.abandoned {
            self.abandoned.add(now);
        } else {
            self.progress = now;
        }
        if result.healthy {
            match &mut self.peak {
                Some(peak) => peak.observe(result.latency, now),
                None => self.peak = Some(PeakEwma::new(result.latency, now)),
            }
        }
    }

    pub(crate) fn bound_abandoned(&mut self, own_in_flight: u16) {
        self.abandoned.bound(own_in_flight);
    }

    /// Starts the target over as if it were new.
    pub(crate) fn slow_start(&mut self, now: Instant) {
        self.joined = now;
        self.peak = None;
    }
}

/// All targets of the service.
#[derive(Debug, Default)]
pub(crate) struct TargetSet {
    targets: Vec<Option<Target>>,
    ids: HashMap<TargetId, TargetIndex>,
    vacant: Vec<TargetIndex>,
    /// Targets in use with a free slot, in no order.
    free: Vec<TargetIndex>,
    /// The same by [`TargetSet::order_key`], while a baseline needs an order.
    order: BTreeSet<(u16, TargetIndex)>,
    ordering: Ordering,
    slots: u32,
    in_flight: u32,
    usable: u32,
    next_expiry: Option<Instant>,
}

/// Which order is kept of the targets with a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Ordering {
    #[default]
    None,
    ByIndex,
    ByInFlight,
}

impl TargetSet {
    pub(crate) fn get(&self, i: TargetIndex) -> Option<&Target> {
        self.targets.get(i as usize)?.as_ref()
    }

    /// For changes that [`TargetSet::refresh`] follows.
    pub(crate) fn get_mut(&mut self, i: TargetIndex) -> Option<&mut Target> {
        self.targets.get_mut(i as usize)?.as_mut()
    }

    pub(crate) fn find(&self, id: &str) -> Option<TargetIndex> {
        self.ids.get(id).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().flatten()
    }

    pub(crate) fn indices(&self) -> impl Iterator<Item = TargetIndex> + use<> {
        0..self.targets.len() as TargetIndex
    }

    pub(crate) fn free(&self) -> &[TargetIndex] {
        &self.free
    }

    pub(crate) fn order(&self) -> &BTreeSet<(u16, TargetIndex)> {
        &self.order
    }

    /// Slots that this host may use at all targets in use.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Requests in flight at all targets.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Targets that neither left nor expired.
    pub(crate) fn usable(&self) -> u32 {
        self.usable
    }

    pub(crate) fn set_ordering(&mut self, ordering: Ordering) {
        self.ordering = ordering;
    }

    /// Takes in an announcement. Returns the target's position unless the
    /// record is older than what is known.
    pub(crate) fn announce(&mut self, record: TargetRecord, now: Instant) -> Option<TargetIndex> {
        self.next_expiry = Some(self.next_expiry.map_or(record.expires, |e| e.min(record.expires)));
        if let Some(i) = self.find(&record.id) {
            let target = self.get_mut(i)?;
            let known = &target.record;
            let old = record.sequence < known.sequence;
            let undoes_leaving =
                record.sequence == known.sequence && known.leaving && !record.leaving;
            if known.expires > now && (old || undoes_leaving) {
                return None;
            }
            target.abandoned.observe(record.in_flight, now);
            target.record = record;
            return Some(i);
        }
        let id = record.id.clone();
        let target = Target::new(record, now);
        let i = match self.vacant.pop() {
            Some(i) => {
                self.targets[i as usize] = Some(target);
                i
            }
            None => {
                self.targets.push(Some(target));
                (self.targets.len() - 1) as TargetIndex
            }
        };
        self.ids.insert(id, i);
        Some(i)
    }

    /// Brings the indices up to date after a change of target `i`.
    pub(crate) fn refresh(&mut self, i: TargetIndex, allowance: Allowance, now: Instant) {
        let ordering = self.ordering;
        let Some(target) = self.get_mut(i) else { return };
        target.allowance = allowance;
        let usable = target.usable(now);
        let in_use = usable && !target.health.is_ejected();
        let slots = if in_use { allowance.total } else { 0 };
        let free = in_use && !target.health.is_paused(now) && target.has_slot(false);
        let key = free.then_some(match ordering {
            Ordering::ByInFlight => target.in_flight,
            Ordering::ByIndex | Ordering::None => 0,
        });
        let key = key.filter(|_| ordering != Ordering::None);
        let old_slots = std::mem::replace(&mut target.counted_slots, slots);
        let was_usable = std::mem::replace(&mut target.counted_usable, usable);
        let old_key = std::mem::replace(&mut target.order_key, key);
        let position = target.free_position;
        self.slots = self.slots + u32::from(slots) - u32::from(old_slots);
        self.usable = self.usable + u32::from(usable) - u32::from(was_usable);
        match (position, free) {
            (None, true) => self.insert_free(i),
            (Some(position), false) => self.remove_free(i, position),
            (None, false) | (Some(_), true) => {}
        }
        if old_key != key {
            if let Some(old) = old_key {
                self.order.remove(&(old, i));
            }
            if let Some(new) = key {
                self.order.insert((new, i));
            }
        }
    }

    fn insert_free(&mut self, i: TargetIndex) {
        let position = self.free.len() as u32;
        self.free.push(i);
        if let Some(target) = self.get_mut(i) {
            target.free_position = Some(position);
        }
    }

    fn remove_free(&mut self, i: TargetIndex, position: u32) {
        self.free.swap_remove(position as usize);
        if let Some(moved) = self.free.get(position as usize).copied()
            && let Some(target) = self.get_mut(moved)
        {
            target.free_position = Some(position);
        }
        if let Some(target) = self.get_mut(i) {
            target.free_position = None;
        }
    }

    /// Occupies a slot of target `i`; to be followed by a refresh.
    pub(crate) fn take(&mut self, i: TargetIndex, long: bool, now: Instant) {
        if let Some(target) = self.get_mut(i) {
            target.take(long, now);
            self.in_flight += 1;
        }
    }

    /// Ends an attempt at target `i`; to be followed by a refresh.
    pub(crate) fn finish(
        &mut self,
        i: TargetIndex,
        long: bool,
        result: &AttemptResult,
        now: Instant,
    ) {
        if let Some(target) = self.get_mut(i) {
            target.finish(long, result, now);
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }

    /// Takes expired targets out of use, forgets those that have nothing in
    /// flight and returns the names of the forgotten.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<TargetId> {
        if self.next_expiry.is_none_or(|e| e > now) {
            return Vec::new();
        }
        let is_expired = |i: &TargetIndex| self.get(*i).is_some_and(|t| t.record.expires <= now);
        let expired: Vec<_> = self.indices().filter(is_expired).collect();
        let mut forgotten = Vec::new();
        for i in expired {
            self.refresh(i, Allowance::default(), now);
            forgotten.extend(self.forget_if_idle(i, now));
        }
        let ahead = self.iter().map(|t| t.record.expires).filter(|e| *e > now);
        let lingering = self.iter().any(|t| t.record.expires <= now);
        let retry = lingering.then(|| now + LINGERING_PERIOD);
        self.next_expiry = ahead.min().into_iter().chain(retry).min();
        forgotten
    }

    fn forget_if_idle(&mut self, i: TargetIndex, now: Instant) -> Option<TargetId> {
        let target = self.get(i)?;
        let held = target.abandoned.held() > 0 && target.record.expires + FORGET_AFTER > now;
        if target.in_flight > 0 || held {
            return None;
        }
        let id = target.record.id.clone();
        self.ids.remove(&id);
        self.targets[i as usize] = None;
        self.vacant.push(i);
        Some(id)
    }
}

impl Occupancy for TargetSet {
    fn occupied(&self, target: &str) -> u16 {
        self.find(target).and_then(|i| self.get(i)).map_or(0, Target::occupied)
    }

    fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.in_flight)
    }

    fn idle_targets(&self, most: usize) -> Vec<TargetId> {
        let idle = self.free.iter().take(most).filter_map(|i| self.get(*i));
        idle.map(|t| t.record.id.clone()).collect()
    }
}
