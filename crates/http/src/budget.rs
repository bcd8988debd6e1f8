//! The budget of bytes that the requests of one listener hold.
//!
//! A request claims bytes before it takes them in, and holds the claim until they are freed. Large
//! claims may use three quarters of the budget, so that small ones find room. When a claim doesn't fit,
//! bodies that arrive too slowly are given up for it; if that isn't enough, the claim is refused.

use crate::connections::Connection;
use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// Largest claim that counts as small.
pub const SMALL_BYTES: usize = 16 << 10;
/// Time without progress after which a body may be given up for another request.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time after which a body that still arrives may be given up for another request.
const LONGEST_ARRIVAL: Duration = Duration::from_secs(5);

type ClaimId = u64;

/// The budget of one listener. Clones share it.
#[derive(Clone)]
pub struct Budget(Rc<RefCell<State>>);

struct State {
    bytes: usize,
    used: usize,
    used_by_large: usize,
    arriving: BTreeMap<ClaimId, Arrival>,
    last_id: ClaimId,
}

/// A body that hasn't arrived in full, and for which nothing has been done yet.
struct Arrival {
    /// Shared with the claim.
    held: Rc<Cell<usize>>,
    began: Instant,
    progressed: Instant,
    connection: Rc<Connection>,
}

impl Arrival {
    fn is_slow(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.progressed) >= STALL_TIME
            || now.saturating_duration_since(self.began) >= LONGEST_ARRIVAL
    }
}

impl Budget {
    /// Creates a budget of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(RefCell::new(State {
            bytes,
            used: 0,
            used_by_large: 0,
            arriving: BTreeMap::new(),
            last_id: 0,
        })))
    }

    /// Returns the number of claimed bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.borrow().used
    }

    /// Claims `bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if the budget is used up.
    pub fn claim(&self, bytes: usize, now: Instant) -> Result<Claim> {
        let claim = Claim { budget: self.clone(), id: self.next_id(), held: Rc::default() };
        claim.resize(bytes, now)?;
        Ok(claim)
    }

    /// Begins the claim of a body that arrives on `connection`. The connection is closed if the
    /// body is given up.
    pub(crate) fn begin_arrival(&self, connection: Rc<Connection>, now: Instant) -> Claim {
        let (id, held) = (self.next_id(), Rc::<Cell<usize>>::default());
        let arrival = Arrival { held: held.clone(), began: now, progressed: now, connection };
        self.0.borrow_mut().arriving.insert(id, arrival);
        Claim { budget: self.clone(), id, held }
    }

    fn next_id(&self) -> ClaimId {
        let mut state = self.0.borrow_mut();
        state.last_id += 1;
        state.last_id
    }
}

/// Returns the part of a claim that counts as large.
fn large_part(bytes: usize) -> usize {
    if bytes > SMALL_BYTES { bytes } else { 0 }
}

impl State {
    /// Returns whether a claim fits that grows from `held` to `bytes`, if claims of `freed` bytes,
    /// `freed_large` of them in large ones, are given up.
    fn fits(&self, held: usize, bytes: usize, freed: usize, freed_large: usize) -> bool {
        let used = self.used.saturating_sub(held + freed).saturating_add(bytes);
        let large = self.used_by_large.saturating_sub(large_part(held) + freed_large);
        let large = large.saturating_add(large_part(bytes));
        used <= self.bytes && (bytes <= SMALL_BYTES || large <= self.bytes / 4 * 3)
    }

    fn change(&mut self, held: usize, bytes: usize) {
        self.used = self.used - held + bytes;
        self.used_by_large = self.used_by_large - large_part(held) + large_part(bytes);
    }

    /// Returns the bodies to give up so that the claim `id` fits that grows from `held` to `bytes`,
    /// or `None` if it doesn't fit. Those without progress are given up first. For a small claim,
    /// another small body may be given up that arrives at its usual pace, the one that began first:
    /// an ordinary request arrives at once.
    fn displaced(
        &self,
        id: ClaimId,
        held: usize,
        bytes: usize,
        now: Instant,
    ) -> Option<Vec<ClaimId>> {
        let is_small = bytes <= SMALL_BYTES;
        let others = || self.arriving.iter().filter(|(other, _)| **other != id);
        let mut slow: Vec<_> = others().filter(|(_, a)| a.is_slow(now)).collect();
        slow.sort_by_key(|(_, a)| a.progressed);
        let is_other = |a: &Arrival| is_small && a.held.get() <= SMALL_BYTES && !a.is_slow(now);
        let mut small: Vec<_> = others().filter(|(_, a)| is_other(a)).collect();
        small.sort_by_key(|(_, a)| a.began);
        let (mut freed, mut freed_large, mut displaced) = (0, 0, Vec::new());
        for (other, arrival) in slow.into_iter().chain(small) {
            if self.fits(held, bytes, freed, freed_large) {
                break;
            }
            freed += arrival.held.get();
            freed_large += large_part(arrival.held.get());
            displaced.push(*other);
        }
        self.fits(held, bytes, freed, freed_large).then_some(displaced)
    }

    fn give_up(&mut self, id: ClaimId) {
        let Some(arrival) = self.arriving.remove(&id) else { return };
        self.change(arrival.held.replace(0), 0);
        arrival.connection.close();
    }
}

/// Claimed bytes. Dropping the claim returns them to the budget.
pub struct Claim {
    budget: Budget,
    id: ClaimId,
    /// 0 once the body was given up.
    held: Rc<Cell<usize>>,
}

impl Claim {
    /// Changes the number of claimed bytes. A claim that shrinks always fits.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if the budget is used up. The claim stays as it was.
    pub fn resize(&self, bytes: usize, now: Instant) -> Result<()> {
        let mut state = self.budget.0.borrow_mut();
        let held = self.held.get();
        if bytes > held && !state.fits(held, bytes, 0, 0) {
            let displaced = state.displaced(self.id, held, bytes, now).ok_or_else(|| {
                let (used, all) = (state.used, state.bytes);
                Error::new(
                    ErrorKind::Overloaded,
                    format!("requests hold {used} of {all} bytes, {bytes} more don't fit"),
                )
            })?;
            tracing::info!(decision = "body", claimed = bytes, given_up = displaced.len());
            for id in displaced {
                state.give_up(id);
            }
        }
        state.change(held, bytes);
        self.held.set(bytes);
        Ok(())
    }

    /// Records that more of the body has arrived.
    pub(crate) fn record_progress(&self, now: Instant) {
        if let Some(arrival) = self.budget.0.borrow_mut().arriving.get_mut(&self.id) {
            arrival.progressed = now;
        }
    }

    /// Ends the arrival of the body: from now on it isn't given up for other requests.
    pub(crate) fn end_arrival(&self) {
        self.budget.0.borrow_mut().arriving.remove(&self.id);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut state = self.budget.0.borrow_mut();
        state.arriving.remove(&self.id);
        state.change(self.held.get(), 0);
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]
mod tests;
