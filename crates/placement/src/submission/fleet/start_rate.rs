//! Start rates of best-effort tasks, by image.
//!
//! Some images interfere with nearly all latency-critical tasks. While no
//! worker tolerates such an image, its tasks don't start.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time constant with which counted starts decay: after this time, one counts for
/// about a third.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Decayed count of starts below which an image counts as having had no recent
/// start. A single start decays to this value within six seconds.
const NO_STARTS_BELOW: f64 = 0.5;
/// Time for which tasks must have waited without interruption before their
/// image counts as stalled: at least twice as long as a burst of tasks, which
/// lasts a second or two, and longer than an election.
const STALLED_AFTER: Duration = Duration::from_secs(6);

/// Number of tasks of one image in one planning round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Tasks that got a worker.
    pub started: u32,
    /// Tasks without a worker, of submissions that can still be on time.
    pub waiting: u32,
}

#[derive(Clone, Debug)]
struct StartRate {
    /// Decayed count of starts.
    started: f64,
    at: Instant,
    waiting_since: Option<Instant>,
}

/// The start rates of all images.
#[derive(Clone, Debug, Default)]
pub struct StartRates(BTreeMap<Box<str>, StartRate>);

impl StartRates {
    /// Adds the counts of a round.
    pub fn record_round(&mut self, round: &BTreeMap<&str, Tally>, now: Instant) {
        for image in round.keys() {
            if !self.0.contains_key(*image) {
                let rate = StartRate { started: 0.0, at: now, waiting_since: None };
                self.0.insert((*image).into(), rate);
            }
        }
        for (image, rate) in &mut self.0 {
            let tally = round.get(&**image).copied().unwrap_or_default();
            let passed = now.saturating_duration_since(rate.at).as_secs_f64();
            rate.started *= (-passed / DECAY_TIME.as_secs_f64()).exp();
            rate.started += f64::from(tally.started);
            rate.at = now;
            if tally.waiting == 0 {
                rate.waiting_since = None;
            } else {
                rate.waiting_since.get_or_insert(now);
            }
        }
    }

    /// Returns whether tasks of this image have waited for long and none has
    /// started meanwhile.
    #[must_use]
    pub fn is_stalled(&self, image: &str, now: Instant) -> bool {
        self.0.get(image).is_some_and(|rate| {
            let waited = rate.waiting_since.is_some_and(|at| now >= at + STALLED_AFTER);
            waited && rate.started < NO_STARTS_BELOW
        })
    }
}
