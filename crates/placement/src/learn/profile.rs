//! Daily load profile of a class of services, which tracks how the peak drifts
//! from day to day.

use super::MAX_CLASSES;
use cyclamenloft_types::JobClass;
use std::{collections::BTreeMap, time::Duration};

const DAY_MS: u64 = 24 * 60 * 60 * 1000;
/// Length of a slot of the day.
const SLOT_MS: u64 = 15 * 60 * 1000;
const SLOTS: usize = (DAY_MS / SLOT_MS) as usize;
/// Weight of the last day in the profile.
const NEWEST_DAY_WEIGHT: f64 = 0.5;
/// Weight of the last day in the drift of the peak.
const NEWEST_DRIFT_WEIGHT: f64 = 0.3;
/// Limit on the tracked drift, in slots per day.
const MAX_DRIFT_SLOTS: f64 = 4.0;
/// Ratio to the day's largest load above which a slot belongs to the peak.
const PEAK_LOAD_RATIO: f64 = 0.85;

#[derive(Clone, Debug)]
struct Profile {
    /// The current day, counted from the Unix epoch.
    day: u64,
    /// Sum and number of the loads in each slot of the current day.
    today: [(f64, u32); SLOTS],
    /// Exponential average of the past days, shifted by the drift so that its peak
    /// lies at that of the last day; negative for slots without observations.
    past: [f64; SLOTS],
    /// Center of the last day's peak, in slots.
    last_peak: Option<f64>,
    /// Slots by which the peak moves per day.
    drift_slots: f64,
}

/// Daily load profiles by class of services.
#[derive(Clone, Debug, Default)]
pub struct LoadProfiles {
    classes: BTreeMap<JobClass, Profile>,
}

impl LoadProfiles {
    /// Records the load of a replica at `at`, the wall clock since the Unix epoch.
    pub fn observe(&mut self, class: &JobClass, load: f64, at: Duration) {
        let at_ms = at.as_millis() as u64;
        if !self.classes.contains_key(class) {
            if self.classes.len() >= MAX_CLASSES {
                return;
            }
            self.classes.insert(class.clone(), Profile::new(at_ms / DAY_MS));
        }
        if let Some(profile) = self.classes.get_mut(class) {
            profile.observe(load, at_ms);
        }
    }

    /// Returns the largest load expected in the time `span` from `from` on, or
    /// `None` if no past day has a load for that time.
    #[must_use]
    pub fn peak_load(&self, class: &str, from: Duration, span: Duration) -> Option<f64> {
        let profile = self.classes.get(class)?;
        let start = (from.as_millis() as u64 % DAY_MS) as f64 / SLOT_MS as f64;
        let slots = (span.as_millis() as u64 / SLOT_MS).min(SLOTS as u64 - 1);
        // One more slot on each side covers the uncertainty of the drift.
        (0..slots + 3)
            .map(|n| {
                (start + n as f64 - 1.0 - profile.drift_slots).rem_euclid(SLOTS as f64) as usize
            })
            .map(|slot| profile.past[slot.min(SLOTS - 1)])
            .filter(|load| *load >= 0.0)
            .reduce(f64::max)
    }

    /// Returns by how many minutes the peak of a class moves per day.
    #[must_use]
    pub fn drift_minutes(&self, class: &str) -> f64 {
        let slot_minutes = SLOT_MS as f64 / 60_000.0;
        self.classes.get(class).map_or(0.0, |p| p.drift_slots * slot_minutes)
    }
}

impl Profile {
    fn new(day: u64) -> Self {
        let (today, past) = ([(0.0, 0); SLOTS], [-1.0; SLOTS]);
        Self { day, today, past, last_peak: None, drift_slots: 0.0 }
    }

    fn observe(&mut self, load: f64, at_ms: u64) {
        let day = at_ms / DAY_MS;
        if day > self.day {
            self.end_day();
            self.day = day;
        }
        let slot = &mut self.today[(at_ms % DAY_MS / SLOT_MS) as usize];
        slot.0 += load;
        slot.1 += 1;
    }

    fn end_day(&mut self) {
        let loads: Vec<Option<f64>> = self
            .today
            .iter()
            .map(|(sum, count)| (*count > 0).then(|| sum / f64::from(*count)))
            .collect();
        self.today = [(0.0, 0); SLOTS];
        self.update_drift(&loads);
        self.past = shifted(&self.past, self.drift_slots);
        for (past, load) in self.past.iter_mut().zip(&loads) {
            match load {
                Some(load) if *past >= 0.0 => *past += NEWEST_DAY_WEIGHT * (load - *past),
                Some(load) => *past = *load,
                None => {}
            }
        }
    }

    /// Updates the drift from how far the peak has moved since the last day.
    fn update_drift(&mut self, day: &[Option<f64>]) {
        let Some(peak) = peak_center(day) else {
            return;
        };
        if let Some(last) = self.last_peak.replace(peak) {
            let half = SLOTS as f64 / 2.0;
            let moved = (peak - last + half).rem_euclid(SLOTS as f64) - half;
            let moved = moved.clamp(-MAX_DRIFT_SLOTS, MAX_DRIFT_SLOTS);
            self.drift_slots += NEWEST_DRIFT_WEIGHT * (moved - self.drift_slots);
        }
    }
}

/// Returns a profile shifted to later times by a number of slots.
fn shifted(past: &[f64; SLOTS], by: f64) -> [f64; SLOTS] {
    std::array::from_fn(|slot| {
        let from = (slot as f64 - by).rem_euclid(SLOTS as f64);
        let here = from as usize % SLOTS;
        let (a, b) = (past[here], past[(here + 1) % SLOTS]);
        match (a >= 0.0, b >= 0.0) {
            (true, true) => a + (b - a) * from.fract(),
            (true, false) => a,
            (false, _) => b,
        }
    })
}

/// Returns the center of the slots with nearly the largest load, each weighted
/// by its excess over the threshold. A peak may span midnight, so slots are taken
/// as cyclic distances from the one with the largest load.
fn peak_center(day: &[Option<f64>]) -> Option<f64> {
    let (top, largest) = day
        .iter()
        .enumerate()
        .filter_map(|(slot, load)| load.map(|l| (slot, l)))
        .max_by(|a, b| a.1.total_cmp(&b.1))?;
    let threshold = largest * PEAK_LOAD_RATIO;
    let half = (SLOTS / 2) as i64;
    let mut sum = 0.0;
    let mut weight = 0.0;
    for (slot, load) in day.iter().enumerate() {
        let excess = load.map_or(0.0, |l| (l - threshold).max(0.0));
        let distance = (slot as i64 - top as i64 + half).rem_euclid(SLOTS as i64) - half;
        sum += distance as f64 * excess;
        weight += excess;
    }
    let center = if weight > 0.0 { sum / weight } else { 0.0 };
    Some((top as f64 + center).rem_euclid(SLOTS as f64))
}
