//! How fast tasks that fill get their workers, by image: some images disturb
//! nearly everything that serves, and work of theirs that comes in faster than
//! it can be borne can't be done in time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time over which starts are counted; a start that long ago counts for a third.
const MEMORY: Duration = Duration::from_secs(8);
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
    waiting: u32,
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
                let flow = Flow { started: 0.0, at: now, waiting: 0, waiting_since: None };
                self.0.insert((*image).into(), flow);
            }
        }
        for (image, flow) in &mut self.0 {
            let tally = round.get(&**image).copied().unwrap_or_default();
            let passed = now.saturating_duration_since(flow.at).as_secs_f64();
            flow.started *= (-passed / MEMORY.as_secs_f64()).exp();
            flow.started += f64::from(tally.started);
            (flow.at, flow.waiting) = (now, tally.waiting);
            if tally.waiting == 0 {
                flow.waiting_since = None;
            } else {
                flow.waiting_since.get_or_insert(now);
            }
        }
    }

    /// How long a task of this image that comes now has to wait for a worker;
    /// none where nothing waits or it isn't known.
    #[must_use]
    pub fn expected_wait(&self, image: &str, now: Instant) -> Option<Duration> {
        let flow = self.0.get(image)?;
        let proven = flow.waiting_since.is_some_and(|at| now >= at + PROVEN_AFTER);
        let rate = flow.started / MEMORY.as_secs_f64();
        let wait = f64::from(flow.waiting) / rate.max(1.0 / MEMORY.as_secs_f64());
        proven.then(|| Duration::from_secs_f64(wait))
    }
}
