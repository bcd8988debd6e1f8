//! Tests of the budget without network.

use super::{Budget, Claim, LONGEST_ARRIVAL, SMALL_BYTES, STALL_TIME};
use crate::connections::Connection;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

const LARGE: usize = 2 * SMALL_BYTES;
/// A budget for three large claims and two small ones.
const BYTES: usize = 4 * LARGE;

/// Bodies that arrive within one budget.
struct Bodies {
    budget: Budget,
    now: Instant,
}

impl Bodies {
    fn new() -> Self {
        Self { budget: Budget::new(BYTES), now: Instant::now() }
    }

    fn wait(&mut self, span: Duration) {
        self.now += span;
    }

    /// Begins a body and claims `bytes` for it.
    fn begin(&self, bytes: usize) -> (Claim, Rc<Connection>, bool) {
        let connection = Rc::new(Connection::new(self.now));
        let claim = self.budget.begin_arrival(connection.clone(), self.now);
        let fits = claim.resize(bytes, self.now).is_ok();
        (claim, connection, fits)
    }
}

#[test]
fn large_claims_leave_room_for_small_ones() {
    let bodies = Bodies::new();
    let large: Vec<_> = (0..5).map(|_| bodies.begin(LARGE)).collect();
    assert_eq!(large.iter().filter(|(.., fits)| *fits).count(), 3);
    let small: Vec<_> = (0..2).map(|_| bodies.begin(SMALL_BYTES)).collect();
    assert!(small.iter().all(|(.., fits)| *fits));
    assert_eq!(bodies.budget.used(), BYTES);
}

#[test]
fn a_dropped_claim_returns_its_bytes() {
    let bodies = Bodies::new();
    let (claim, ..) = bodies.begin(LARGE);
    claim.resize(SMALL_BYTES, bodies.now).unwrap();
    assert_eq!(bodies.budget.used(), SMALL_BYTES);
    drop(claim);
    assert_eq!(bodies.budget.used(), 0);
}

#[test]
fn bodies_that_arrive_at_their_pace_are_not_given_up_for_a_large_one() {
    let mut bodies = Bodies::new();
    let arriving: Vec<_> = (0..3).map(|_| bodies.begin(LARGE)).collect();
    bodies.wait(STALL_TIME * 3 / 2);
    arriving.iter().for_each(|(claim, ..)| claim.record_progress(bodies.now));
    let (.., fits) = bodies.begin(LARGE);
    assert!(!fits);
    assert!(arriving.iter().all(|(_, connection, _)| !connection.is_closing()));
}

#[test]
fn the_body_without_progress_for_longest_is_given_up() {
    let mut bodies = Bodies::new();
    let arriving: Vec<_> = (0..3).map(|_| bodies.begin(LARGE)).collect();
    bodies.wait(STALL_TIME);
    [0, 2].into_iter().for_each(|n: usize| arriving[n].0.record_progress(bodies.now));
    let newcomer = bodies.begin(LARGE);
    assert!(newcomer.2);
    let closed: Vec<bool> = arriving.iter().map(|(_, c, _)| c.is_closing()).collect();
    assert_eq!(closed, [false, true, false]);
    // The claim of the body that was given up is dropped later.
    drop(arriving);
    assert_eq!(bodies.budget.used(), LARGE);
}

#[test]
fn a_body_that_arrives_for_too_long_is_given_up() {
    let mut bodies = Bodies::new();
    let arriving: Vec<_> = (0..3).map(|_| bodies.begin(LARGE)).collect();
    bodies.wait(LONGEST_ARRIVAL);
    arriving.iter().for_each(|(claim, ..)| claim.record_progress(bodies.now));
    assert!(bodies.begin(LARGE).2);
}

#[test]
fn a_body_that_has_arrived_is_not_given_up() {
    let mut bodies = Bodies::new();
    let arrived: Vec<_> = (0..3).map(|_| bodies.begin(LARGE)).collect();
    arrived.iter().for_each(|(claim, ..)| claim.end_arrival());
    bodies.wait(LONGEST_ARRIVAL);
    assert!(!bodies.begin(LARGE).2);
}

#[test]
fn the_oldest_of_many_small_bodies_is_given_up_for_a_new_one() {
    let mut bodies = Bodies::new();
    let mut begin = || {
        bodies.wait(Duration::from_millis(1));
        bodies.begin(SMALL_BYTES)
    };
    let arriving: Vec<_> = (0..=BYTES / SMALL_BYTES).map(|_| begin()).collect();
    assert!(arriving.iter().all(|(.., fits)| *fits));
    let closed = |n: usize| arriving[n].1.is_closing();
    assert!(closed(0) && !closed(1));
}

#[test]
fn nothing_is_given_up_for_a_claim_that_does_not_fit_anyway() {
    let mut bodies = Bodies::new();
    let arriving = bodies.begin(LARGE);
    bodies.wait(STALL_TIME);
    assert!(!bodies.begin(BYTES).2);
    assert!(!arriving.1.is_closing());
}
