//! Whether tasks that fill get workers, by image: some images disturb nearly
//! everything that serves, and while nothing bears them their work stands still.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time over which starts are counted; a start that long ago counts for a third.
const MEMORY: Duration = Duration::from_secs(8);
/// Count of fading starts that counts as none: one of six seconds ago.
const NO_START: f64 = 0.5;
/// Time for which tasks must have waited without a break before a flow tells
/// anything: twice a burst of a second or two, and longer than an election.
const PROVEN_AFTER: Duration = Duration::from_secs(6);

/// Tasks of one image in one round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Tasks that got a worker.
    pub started: u32,
    /// Tasks that found none, of submissions that can still be in time.
    pub waiting: u32,
}

#[derive(Clone, Debug)]
struct Flow {
    /// Starts, fading.
    started: f64,
    at: Instant,
    waiting_since: Option<Instant>,
}

/// The flows of all images.
#[derive(Clone, Debug, Default)]
pub struct Flows(BTreeMap<Box<str>, Flow>);

impl Flows {
    /// Takes what came of a round.
    pub fn note(&mut self, round: &BTreeMap<&str, Tally>, now: Instant) {
        for image in round.keys() {
            if !self.0.contains_key(*image) {
                let flow = Flow { started: 0.0, at: now, waiting_since: None };
                self.0.insert((*image).into(), flow);
            }
        }
        for (image, flow) in &mut self.0 {
            let tally = round.get(&**image).copied().unwrap_or_default();
            let passed = now.saturating_duration_since(flow.at).as_secs_f64();
            flow.started *= (-passed / MEMORY.as_secs_f64()).exp();
            flow.started += f64::from(tally.started);
            flow.at = now;
            if tally.waiting == 0 {
                flow.waiting_since = None;
            } else {
                flow.waiting_since.get_or_insert(now);
            }
        }
    }

    /// Whether tasks of this image have waited for long, and none has started
    /// meanwhile.
    #[must_use]
    pub fn is_stalled(&self, image: &str, now: Instant) -> bool {
        self.0.get(image).is_some_and(|flow| {
            let waited = flow.waiting_since.is_some_and(|at| now >= at + PROVEN_AFTER);
            waited && flow.started < NO_START
        })
    }
}
