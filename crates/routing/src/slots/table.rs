//! The slots that one entry host may currently use at each target of a service.

mod lending;
mod renewal;

use super::{
    Division, Envelope, Incarnation, ShareRelease, SlotMessage,
    lease::{HeldShare, LeaseConfig, Promises, RenewalRounds},
    loan::{Borrower, Lender},
};
use cyclamenloft_types::{HostId, TargetId};
use std::{collections::HashMap, time::Instant};

/// The slots of one target that a host may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// All slots.
    pub total: u16,
    /// Slots for requests with any deadline. The others are only for requests
    /// whose remaining time is at most [`LeaseConfig::longest_request`].
    pub floor: u16,
}

/// The use of slots by this host's requests.
pub trait Occupancy {
    /// Returns the slots of the target that this host's requests occupy.
    fn occupied(&self, target: &str) -> u16;
    /// Returns the number of free slots at all targets.
    fn free_slots(&self) -> u32;
    /// Returns up to `max` targets with free slots.
    fn idle_targets(&self, max: usize) -> Vec<TargetId>;
}

/// The occupancy of a host without requests of its own, such as a witness.
impl Occupancy for () {
    fn occupied(&self, _target: &str) -> u16 {
        0
    }

    fn free_slots(&self) -> u32 {
        0
    }

    fn idle_targets(&self, _max: usize) -> Vec<TargetId> {
        Vec::new()
    }
}

/// State derived from a target's announcements.
#[derive(Debug)]
struct Announced {
    /// Upper bound of the number of requests that this host's previous incarnations
    /// may still have at the target.
    previous_in_flight: u16,
    /// For each owner, the time at which this host acquired the owner's share, once
    /// the target has since announced few enough requests in flight to leave that
    /// share free.
    confirmed: Vec<Option<Instant>>,
}

/// The slots of one service's targets at one entry host.
#[derive(Debug)]
pub struct SlotTable {
    host: HostId,
    incarnation: Incarnation,
    roster: Vec<HostId>,
    /// Position of this host on the roster, or `None` for a witness.
    position: Option<usize>,
    /// The hosts that renew shares: the roster and, if its size is even, a
    /// witness.
    voters: Vec<HostId>,
    slots: u16,
    config: LeaseConfig,
    started: Instant,
    stopped: bool,
    promises: Promises,
    /// State of each share, by owner and then by part.
    shares: Vec<Vec<HeldShare>>,
    rounds: RenewalRounds,
    next_renewal: Instant,
    lender: Lender,
    /// For each borrower, the incarnation and number of its latest loan request
    /// that was answered.
    answered: HashMap<HostId, (Incarnation, u64)>,
    borrower: Borrower,
    /// Whether this host needs more slots itself, in which case it lends none.
    is_busy: bool,
    next_loan_request: Instant,
    next_lender: usize,
    announced: HashMap<TargetId, Announced>,
    generation: u64,
    next_expiry: Option<Instant>,
}

impl SlotTable {
    /// Creates the table of `host`, whose incarnation `incarnation` begins now. The
    /// roster must be the same at all hosts. `witness` is an entry host of another
    /// domain that votes if the roster's size is even. The witness creates a table
    /// with the same arguments, except for `host` and `incarnation`, and passes the
    /// roster's messages to [`SlotTable::handle`].
    #[must_use]
    pub fn new(
        host: HostId,
        incarnation: Incarnation,
        mut roster: Vec<HostId>,
        witness: Option<HostId>,
        slots: u16,
        config: LeaseConfig,
        now: Instant,
    ) -> Self {
        roster.sort_unstable();
        roster.dedup();
        let mut voters = roster.clone();
        voters.extend(witness.filter(|w| roster.len().is_multiple_of(2) && !roster.contains(w)));
        let parts = roster.len().saturating_sub(1);
        let mut table = Self {
            position: roster.iter().position(|h| *h == host),
            shares: vec![vec![HeldShare::new(voters.len()); parts]; roster.len()],
            promises: Promises::new(&config, now),
            host,
            incarnation,
            roster,
            voters,
            slots,
            config,
            started: now,
            stopped: false,
            rounds: RenewalRounds::default(),
            next_renewal: now,
            lender: Lender::default(),
            answered: HashMap::new(),
            borrower: Borrower::default(),
            is_busy: false,
            next_loan_request: now,
            next_lender: 0,
            announced: HashMap::new(),
            generation: 0,
            next_expiry: None,
        };
        table.update_next_expiry(now);
        table
    }

    /// Returns the durations that bound the use of shares.
    #[must_use]
    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    /// Returns the slots of a target that this host may use now.
    #[must_use]
    pub fn allowance(&self, target: &str, now: Instant) -> Allowance {
        let mut allowance = self.own_allowance(target, now);
        if !self.stopped {
            let borrowed = self.borrower.borrowed(target, now);
            allowance.total = allowance.total.saturating_add(borrowed).min(self.slots);
        }
        allowance
    }

    /// Returns whether all requests of this host's previous incarnations have
    /// certainly ended at every target.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.settled_at()
    }

    fn settled_at(&self) -> Instant {
        self.started + self.config.max_deadline + self.config.drift_margin
    }

    /// Returns the slots that this host may use without borrowed ones, less those
    /// that it has lent.
    fn own_allowance(&self, target: &str, now: Instant) -> Allowance {
        let Some(position) = self.position.filter(|_| !self.stopped) else {
            return Allowance::default();
        };
        let announced = self.announced.get(target);
        let previous_in_flight = match announced {
            _ if self.is_settled(now) => 0,
            Some(a) => a.previous_in_flight,
            None => self.slots,
        };
        if self.roster.len() == 1 {
            let total = self.slots.saturating_sub(previous_in_flight);
            return Allowance { total, floor: total };
        }
        let division = Division::new(target, self.slots, self.roster.len());
        let floor = division.floor(position).saturating_sub(previous_in_flight);
        let extra = self.confirmed_extra(&division, announced, now);
        let lent = self.lender.lent(target);
        Allowance { total: floor + extra.saturating_sub(lent), floor }
    }

    /// Returns the slots under leases that this host holds and which the target has
    /// announced few enough requests in flight to leave free.
    fn confirmed_extra(
        &self,
        division: &Division,
        announced: Option<&Announced>,
        now: Instant,
    ) -> u16 {
        let Some(announced) = announced else { return 0 };
        let part = division.part();
        let owners = self.shares.iter().zip(&announced.confirmed).enumerate();
        let usable = owners.filter(|(_, (parts, confirmed))| {
            confirmed.is_some() && parts[part].acquired(now) == **confirmed
        });
        usable.map(|(owner, _)| division.extra(owner)).sum()
    }

    /// Records the number of requests in flight from all hosts that a target has
    /// announced.
    pub fn observe_announcement(&mut self, target: &TargetId, in_flight: u16, now: Instant) {
        let hosts = self.roster.len();
        let division = Division::new(target, self.slots, hosts.max(1));
        let part = division.part();
        let slots = self.slots;
        let announced = self.announced.entry(target.clone()).or_insert_with(|| Announced {
            previous_in_flight: slots,
            confirmed: vec![None; hosts],
        });
        announced.previous_in_flight = announced.previous_in_flight.min(in_flight);
        let mut free_slots = slots.saturating_sub(in_flight);
        for (owner, parts) in self.shares.iter().enumerate() {
            let Some(share) = parts.get(part) else { continue };
            let acquired = share.acquired(now);
            let extra = division.extra(owner);
            if acquired.is_some() && announced.confirmed[owner] != acquired && extra <= free_slots {
                announced.confirmed[owner] = acquired;
                free_slots -= extra;
            }
        }
        if self.lender.reclaim_expired(target, free_slots, now) {
            self.generation += 1;
        }
    }

    /// Records how many of a target's requests in flight came from this host, in
    /// its current incarnation or an earlier one.
    pub fn observe_own_in_flight(&mut self, target: &str, in_flight: u16) {
        if let Some(announced) = self.announced.get_mut(target) {
            announced.previous_in_flight = announced.previous_in_flight.min(in_flight);
        }
    }

    /// Applies a changed number of slots. While hosts disagree on the number, a
    /// target gets at most the larger number of requests.
    pub fn set_slots(&mut self, slots: u16) {
        if self.slots != slots {
            self.slots = slots;
            self.generation += 1;
        }
    }

    /// Drops the announcements of a target that was removed.
    pub fn remove_target(&mut self, target: &str) {
        self.announced.remove(target);
    }

    /// Returns a number that increases whenever allowances may have changed for
    /// any reason other than the passage of time.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the next time at which allowances may change by time alone.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.next_expiry
    }

    /// Returns the messages that are due. `wanted` is the number of additional
    /// slots that this host could use. Call this every few milliseconds.
    pub fn poll(
        &mut self,
        wanted: usize,
        occupancy: &impl Occupancy,
        now: Instant,
    ) -> Vec<Envelope> {
        let mut out = Vec::new();
        self.is_busy = wanted > 0;
        if self.stopped || self.position.is_none() {
            return out;
        }
        if now >= self.next_renewal && self.roster.len() > 1 {
            self.next_renewal = now + self.config.renewal_period();
            self.request_renewal(&mut out, now);
        }
        self.return_loans(wanted > 0, occupancy, &mut out, now);
        if wanted > 0 && now >= self.next_loan_request {
            self.request_loan(wanted, &mut out, now);
        }
        self.lender.prune(now);
        self.update_next_expiry(now);
        out
    }

    /// Handles a message from another host and returns the messages to send.
    pub fn handle(
        &mut self,
        message: SlotMessage,
        occupancy: &impl Occupancy,
        now: Instant,
    ) -> Vec<Envelope> {
        let answer = match message {
            SlotMessage::RenewalRequest(request) => self.vote(request, now),
            SlotMessage::Renewal(renewal) => {
                self.handle_renewal(&renewal, now);
                None
            }
            SlotMessage::ShareRelease(ShareRelease { holder, incarnation }) => {
                self.promises.release(&holder, incarnation, now);
                None
            }
            SlotMessage::LoanRequest(request) => self.lend(request, occupancy, now),
            SlotMessage::Loan(loan) => {
                self.handle_loan(loan, now);
                None
            }
            SlotMessage::LoanReturn(returned) => {
                self.handle_loan_return(&returned);
                None
            }
        };
        self.update_next_expiry(now);
        answer.into_iter().collect()
    }

    pub(crate) fn update_next_expiry(&mut self, now: Instant) {
        let leases = self.shares.iter().flatten().filter_map(|s| s.end(now));
        let settled = Some(self.settled_at()).filter(|t| *t > now);
        let loans = self.borrower.next_expiry(now);
        self.next_expiry = leases.chain(loans).chain(settled).min();
    }
}
