//! The targets of one service, as one entry host sees them. They are indexed so
//! that a decision never scans all of them.

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

/// Time over which a new target's share of the load grows to its full size.
const SLOW_START: Duration = Duration::from_secs(10);
/// Fraction of its full share of the load that a new target gets at first.
const SLOW_START_FLOOR: f64 = 0.1;
/// Latency assumed for a target while none has been measured, in seconds.
const UNKNOWN_LATENCY_SECONDS: f64 = 0.001;
/// Relative increase of a target's cost for each consecutive failure.
const FAILURE_PENALTY: f64 = 2.0;
/// Longest time for which an expired target with abandoned requests is kept.
const EXPIRED_TARGET_RETENTION: Duration = Duration::from_secs(600);

/// Interval at which expired targets with unfinished requests are checked again.
const EXPIRED_RECHECK_PERIOD: Duration = Duration::from_secs(1);

/// Index of a target in its [`TargetSet`].
pub(crate) type TargetIndex = u32;

/// One target with its load, health and latency.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) record: TargetRecord,
    pub(crate) in_flight: u16,
    /// Requests in flight that may use floor slots only.
    floor_only_in_flight: u16,
    pub(crate) abandoned: Abandoned,
    pub(crate) health: Health,
    pub(crate) peak: Option<PeakEwma>,
    pub(crate) probing: bool,
    joined_at: Instant,
    /// Time at which the target last answered, or last went from idle to busy.
    last_progress: Instant,
    /// Slots that this host may use, as of the last refresh.
    pub(crate) allowance: Allowance,
    /// Index in the list of targets with a free slot, or `None` if the target isn't
    /// in it.
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
            floor_only_in_flight: 0,
            abandoned: Abandoned::default(),
            health: Health::new(now),
            peak: None,
            probing: false,
            joined_at: now,
            last_progress: now,
            allowance: Allowance::default(),
            free_position: None,
            order_key: None,
            counted_slots: 0,
            counted_usable: false,
        }
    }

    /// Returns whether the target accepts requests and its announcement has not
    /// expired.
    pub(crate) fn usable(&self, now: Instant) -> bool {
        !self.record.leaving && self.record.expires > now
    }

    /// Returns the slots that are in use or held by abandoned requests.
    pub(crate) fn occupied(&self) -> u16 {
        self.in_flight.saturating_add(self.abandoned.held())
    }

    /// Returns the target's peak-sensitive latency in seconds, or that of the
    /// service if none has been measured at the target.
    pub(crate) fn latency(&self, service: f64, now: Instant) -> f64 {
        let known = self.peak.map(|p| p.seconds(now));
        known.unwrap_or(if service > 0.0 { service } else { UNKNOWN_LATENCY_SECONDS })
    }

    /// Returns the cost of one more request at this target. The cheaper of two
    /// candidates is chosen.
    pub(crate) fn cost(&self, service_latency: f64, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.joined_at).as_secs_f64();
        let ramp = (age / SLOW_START.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0);
        let share = f64::from(self.allowance.total.max(1)) * ramp;
        let mut latency = self.latency(service_latency, now);
        if self.in_flight > 0 {
            // A target that has stopped answering yields no latency samples.
            latency = latency.max(now.saturating_duration_since(self.last_progress).as_secs_f64());
        }
        let failures = self.health.recent_failures(now);
        f64::from(self.occupied() + 1) / share * latency * (1.0 + FAILURE_PENALTY * failures)
    }

    /// Returns whether a slot is free for one more request, which must be a floor
    /// slot if `floor_only`.
    pub(crate) fn has_slot(&self, floor_only: bool) -> bool {
        self.occupied() < self.allowance.total
            && (!floor_only || self.floor_only_in_flight < self.allowance.floor)
    }

    fn occupy(&mut self, floor_only: bool, now: Instant) {
        if self.in_flight == 0 {
            self.last_progress = now;
        }
        self.in_flight += 1;
        self.floor_only_in_flight += u16::from(floor_only);
    }

    /// Frees the slot of an attempt, or keeps it held if the attempt was
    /// abandoned.
    fn finish(&mut self, floor_only: bool, result: &AttemptResult, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.floor_only_in_flight = self.floor_only_in_flight.saturating_sub(u16::from(floor_only));
        if result.abandoned {
            self.abandoned.add(now);
        } else {
            self.last_progress = now;
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

    /// Restarts the slow start, as for a new target.
    pub(crate) fn slow_start(&mut self, now: Instant) {
        self.joined_at = now;
        self.peak = None;
    }
}

/// All targets of the service.
#[derive(Debug, Default)]
pub(crate) struct TargetSet {
    targets: Vec<Option<Target>>,
    ids: HashMap<TargetId, TargetIndex>,
    vacant: Vec<TargetIndex>,
    /// Targets in use with a free slot, in no particular order.
    free: Vec<TargetIndex>,
    /// The targets of `free`, sorted by `Target::order_key`, if the choice
    /// policy needs an order.
    order: BTreeSet<(u16, TargetIndex)>,
    free_order: FreeOrder,
    slots: u32,
    in_flight: u32,
    usable: u32,
    next_expiry: Option<Instant>,
}

/// The order in which targets with a free slot are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum FreeOrder {
    #[default]
    None,
    ByIndex,
    ByInFlight,
}

impl TargetSet {
    pub(crate) fn get(&self, i: TargetIndex) -> Option<&Target> {
        self.targets.get(i as usize)?.as_ref()
    }

    /// Returns a target to be changed. Call [`TargetSet::refresh`] afterwards.
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

    /// Returns the number of slots that this host may use at all targets in use.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of requests in flight at all targets.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of targets that are neither leaving nor expired.
    pub(crate) fn usable(&self) -> u32 {
        self.usable
    }

    pub(crate) fn set_free_order(&mut self, free_order: FreeOrder) {
        self.free_order = free_order;
    }

    /// Applies an announcement. Returns the target's index, or `None` if the record
    /// is ignored because it is older than the known one, which has not expired.
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

    /// Updates the indexes after a change of target `i`.
    pub(crate) fn refresh(&mut self, i: TargetIndex, allowance: Allowance, now: Instant) {
        let free_order = self.free_order;
        let Some(target) = self.get_mut(i) else { return };
        target.allowance = allowance;
        let usable = target.usable(now);
        let in_use = usable && !target.health.is_ejected();
        let slots = if in_use { allowance.total } else { 0 };
        let free = in_use && !target.health.is_paused(now) && target.has_slot(false);
        let key = free.then_some(match free_order {
            FreeOrder::ByInFlight => target.in_flight,
            FreeOrder::ByIndex | FreeOrder::None => 0,
        });
        let key = key.filter(|_| free_order != FreeOrder::None);
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

    /// Occupies a slot of target `i`. Call [`TargetSet::refresh`] afterwards.
    pub(crate) fn occupy(&mut self, i: TargetIndex, floor_only: bool, now: Instant) {
        if let Some(target) = self.get_mut(i) {
            target.occupy(floor_only, now);
            self.in_flight += 1;
        }
    }

    /// Ends an attempt at target `i`. Call [`TargetSet::refresh`] afterwards.
    pub(crate) fn finish(
        &mut self,
        i: TargetIndex,
        floor_only: bool,
        result: &AttemptResult,
        now: Instant,
    ) {
        if let Some(target) = self.get_mut(i) {
            target.finish(floor_only, result, now);
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }

    /// Takes expired targets out of use, removes those with nothing in flight
    /// and returns the IDs of the removed ones.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<TargetId> {
        if self.next_expiry.is_none_or(|e| e > now) {
            return Vec::new();
        }
        let is_expired = |i: &TargetIndex| self.get(*i).is_some_and(|t| t.record.expires <= now);
        let expired: Vec<_> = self.indices().filter(is_expired).collect();
        let mut removed = Vec::new();
        for i in expired {
            self.refresh(i, Allowance::default(), now);
            removed.extend(self.remove_if_idle(i, now));
        }
        let ahead = self.iter().map(|t| t.record.expires).filter(|e| *e > now);
        let any_expired = self.iter().any(|t| t.record.expires <= now);
        let retry = any_expired.then(|| now + EXPIRED_RECHECK_PERIOD);
        self.next_expiry = ahead.min().into_iter().chain(retry).min();
        removed
    }

    fn remove_if_idle(&mut self, i: TargetIndex, now: Instant) -> Option<TargetId> {
        let target = self.get(i)?;
        let held =
            target.abandoned.held() > 0 && target.record.expires + EXPIRED_TARGET_RETENTION > now;
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

    fn idle_targets(&self, max: usize) -> Vec<TargetId> {
        let idle = self.free.iter().take(max).filter_map(|i| self.get(*i));
        idle.map(|t| t.record.id.clone()).collect()
    }
}
