//! Division of the targets' slots among the entry hosts of a domain.
//!
//! Each host of the roster has a base share of each target's slots
//! ([`base_share`]) in two parts: a floor of one slot, which belongs to the host
//! for as long as it is on the roster, and the rest, its extra slots. The extra
//! slots are held under a [lease] that a majority of the roster renews, and are
//! taken over by other hosts once the holder has certainly stopped using them.
//! Idle extra slots are [lent](loan) to busy hosts of the same roster.
//! [`SlotTable`] combines these for one service at one entry host.
//!
//! # Why a target never gets more requests than it has slots
//!
//! - Base shares add up to the target's slots, and floors are never reassigned.
//! - A restarted host may still have requests of its previous incarnation at a
//!   target. Until [`LeaseConfig::max_deadline`] has passed, it uses its floor
//!   at that target only as far as the target's announced count leaves slots
//!   free.
//! - The holder of a lease measures it from the time of its request, and each
//!   voter measures it from the time of its reply. A voter also adds
//!   [`LeaseConfig::longest_request`], the time for which a request may outlast
//!   the lease, and [`LeaseConfig::drift_margin`]. Since any two majorities share
//!   a voter, no two holders overlap. A restarted voter doesn't vote until the
//!   promises that it lost have expired.
//! - A request with a longer deadline than `longest_request` uses floor slots
//!   only, so it never outlasts a lease.
//! - A lender doesn't use lent slots until they are returned, or until the loan
//!   and the requests that may outlast it have certainly ended. A loan never
//!   extends beyond the lender's own lease.
//! - If a target keeps working on a request after its deadline has passed and
//!   its connection has been closed, other hosts can't count that request. A
//!   host therefore uses a newly acquired share, or the slots of a loan that
//!   ended without a return, at a target only after the target has announced few
//!   enough requests in flight to leave them free. This is a safeguard and not a
//!   proof: only the host that sent such a request limits it reliably, by
//!   [holding its slot](crate::ServiceRouter::release) until the target is done
//!   with it.

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

/// Slots of each target that a host may always use, if there are enough.
const FLOOR: u16 = 1;

/// Returns the fixed share of one entry host at one target. The slots are divided
/// as evenly as possible. The remainder goes to hosts that depend on the target's
/// hash, so that no host gets the remainders of all targets.
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

/// The division of one target's slots among the hosts of a roster.
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

    /// Returns the slots that the host at `position` may always use.
    pub(crate) fn floor(&self, position: usize) -> u16 {
        share_at(self.slots, self.hash, self.hosts, position).min(FLOOR)
    }

    /// Returns the slots of the host at `position` that need a lease.
    pub(crate) fn extra(&self, position: usize) -> u16 {
        share_at(self.slots, self.hash, self.hosts, position).saturating_sub(FLOOR)
    }

    /// Returns the part of each owner's extra slots to which the target belongs.
    /// There is one part for each other host, so that all of them take over some.
    pub(crate) fn part(&self) -> usize {
        (self.hash >> 32) as usize % self.hosts.saturating_sub(1).max(1)
    }
}
