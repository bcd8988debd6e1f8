//! How a target's slots are divided among the entry hosts of its domain.
//!
//! Each host of the roster has a base share of each target's slots
//! ([`base_share`]), in two parts: a floor of one slot, which is its own for as
//! long as it is on the roster, and the rest, its extra. The extra is held
//! under a [lease] that a majority of the roster renews, and is taken
//! over by others once the holder must have stopped using it. Idle slots of the
//! extra are [lent](loan) to busy neighbours. [`SlotTable`] puts these together
//! for one service at one entry host.
//!
//! # Why a target is never given more requests than it has slots
//!
//! - Base shares add up to the target's slots, and floors are never reassigned.
//! - A host that restarted may have requests of its former life at a target. It
//!   uses its floor there only as far as the target's announced count leaves
//!   room, until [`LeaseConfig::max_deadline`] has passed.
//! - A lease is counted by its holder from when it asked, and by each voter
//!   from when it answered, for longer: by [`LeaseConfig::longest_request`],
//!   the time for which a request may outlast the lease, and by
//!   [`LeaseConfig::drift_margin`]. Two majorities share a voter, so no two
//!   holders overlap. A voter that restarted answers nobody until its forgotten
//!   promises have run out.
//! - A request with a longer deadline than `longest_request` takes floor slots
//!   only, so it never outlasts a lease.
//! - A lender leaves what it lent alone until it comes back, or until the loan
//!   and the requests that may outlast it have surely ended. A loan never
//!   reaches beyond the lender's own lease.
//! - A target that works on after its request's deadline has passed and its
//!   connection was closed is beyond what other hosts can count. A share that a
//!   host newly holds, and a loan that ended without coming back, are therefore
//!   used at a target only after the target announced room for them. That is a
//!   safeguard and no proof: such requests are bounded for certain only by the
//!   host that sent them, which [holds their slots](crate::ServiceRouter::release)
//!   for as long as it has them.

pub mod lease;
pub mod loan;
pub mod messages;
pub mod table;

pub use lease::LeaseConfig;
pub use messages::{
    Envelope, Incarnation, LentSlots, Loan, LoanRequest, LoanReturn, Renewal, RenewalRequest,
    ShareId, ShareRelease, SlotMessage,
};
pub use table::{Allowance, Occupancy, SlotTable};

use cyclamenloft_types::HostId;
use xxhash_rust::xxh3::xxh3_64;

/// Slots of each target that a host may always use, where there are enough.
const FLOOR: u16 = 1;

/// The fixed share of one entry host at one target: the slots are divided as
/// evenly as they go, and the remainder goes to hosts picked by the target's
/// hash, so that no host has all the remainders.
#[must_use]
pub fn base_share(slots: u16, target: &str, roster: &[HostId], host: &str) -> u16 {
    let Some(position) = roster.iter().position(|h| &**h == host) else {
        return 0;
    };
    share_at(slots, xxh3_64(target.as_bytes()), roster.len(), position)
}

fn share_at(slots: u16, hash: u64, hosts: usize, position: usize) -> u16 {
    let hosts = hosts as u64;
    let rotated = (position as u64 + hash % hosts) % hosts;
    let remainder = u64::from(slots) % hosts;
    // Both terms are at most `slots`, so they fit.
    (u64::from(slots) / hosts) as u16 + u16::from(rotated < remainder)
}

/// One target's slots, divided among the hosts of a roster.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Division {
    hash: u64,
    slots: u16,
    hosts: usize,
}

impl Division {
    pub(crate) fn new(target: &str, slots: u16, hosts: usize) -> Self {
        Self { hash: xxh3_64(target.as_bytes()), slots, hosts }
    }

    /// Slots that the host at `position` may always use.
    pub(crate) fn floor(&self, position: usize) -> u16 {
        share_at(self.slots, self.hash, self.hosts, position).min(FLOOR)
    }

    /// Slots of the host at `position` that go by lease.
    pub(crate) fn extra(&self, position: usize) -> u16 {
        share_at(self.slots, self.hash, self.hosts, position).saturating_sub(FLOOR)
    }

    /// Which part of each owner's extra the target belongs to: one part for
    /// each other host, so that all of them take over some.
    pub(crate) fn part(&self) -> usize {
        (self.hash >> 32) as usize % self.hosts.saturating_sub(1).max(1)
    }
}
