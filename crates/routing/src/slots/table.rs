//! The slots that one entry host may use at each target of a service, now.

mod lending;
mod renewal;

use super::{
    Division, Envelope, Incarnation, ShareRelease, SlotMessage,
    lease::{HeldShare, LeaseConfig, Promises, Rounds},
    loan::{Borrower, Lender},
};
use cyclamenloft_types::{HostId, TargetId};
use std::{collections::HashMap, time::Instant};

/// Slots of one target that a host may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// All of them.
    pub total: u16,
    /// Those for requests of any deadline; the others are only for requests
    /// with at most [`LeaseConfig::longest_request`] left.
    pub floor: u16,
}

/// What the table has to know of requests in flight.
pub trait Occupancy {
    /// Slots of the target that this host's requests occupy.
    fn occupied(&self, target: &str) -> u16;
    /// Free slots at all targets.
    fn free_slots(&self) -> u32;
    /// Up to `most` targets with free slots.
    fn idle_targets(&self, most: usize) -> Vec<TargetId>;
}

/// A host without requests of its own, such as a witness.
impl Occupancy for () {
    fn occupied(&self, _target: &str) -> u16 {
        0
    }

    fn free_slots(&self) -> u32 {
        0
    }

    fn idle_targets(&self, _most: usize) -> Vec<TargetId> {
        Vec::new()
    }
}

/// What a target's announcements have told.
#[derive(Debug)]
struct Announced {
    /// Bound on the requests of this host's former life.
    former: u16,
    /// For each owner, the acquisition of its share for which room was announced.
    opened: Vec<Option<Instant>>,
}

/// The slots of one service's targets at one entry host.
#[derive(Debug)]
pub struct SlotTable {
    host: HostId,
    incarnation: Incarnation,
    roster: Vec<HostId>,
    /// Position of this host on the roster; a witness has none.
    position: Option<usize>,
    /// Who renews shares: the roster and, where that is even, a witness.
    voters: Vec<HostId>,
    slots: u16,
    config: LeaseConfig,
    started: Instant,
    stopped: bool,
    promises: Promises,
    /// By owner, then by part.
    shares: Vec<Vec<HeldShare>>,
    rounds: Rounds,
    next_renewal: Instant,
    lender: Lender,
    /// For each borrower, the newest request that was answered.
    answered: HashMap<HostId, (Incarnation, u64)>,
    borrower: Borrower,
    /// Whether this host could use more slots itself.
    is_busy: bool,
    next_loan_request: Instant,
    next_neighbour: usize,
    announced: HashMap<TargetId, Announced>,
    changes: u64,
    next_end: Option<Instant>,
}

impl SlotTable {
    /// The table of `host`, which begins its life `incarnation` now. The roster
    /// has to be the same at all hosts. `witness` is an entry host of another
    /// domain that votes where the roster is even; it makes itself a table with
    /// the same arguments, but for `host` and `incarnation`, and passes it the
    /// roster's messages by [`SlotTable::handle`].
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
            rounds: Rounds::default(),
            next_renewal: now,
            lender: Lender::default(),
            answered: HashMap::new(),
            borrower: Borrower::default(),
            is_busy: false,
            next_loan_request: now,
            next_neighbour: 0,
            announced: HashMap::new(),
            changes: 0,
            next_end: None,
        };
        table.note_next_end(now);
        table
    }

    /// The times that bound the use of shares.
    #[must_use]
    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    /// The slots of a target that this host may use now.
    #[must_use]
    pub fn allowance(&self, target: &str, now: Instant) -> Allowance {
        let mut allowance = self.own(target, now);
        if !self.stopped {
            let borrowed = self.borrower.borrowed(target, now);
            allowance.total = allowance.total.saturating_add(borrowed).min(self.slots);
        }
        allowance
    }

    /// Whether this host's former life can't matter any more, at any target.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.settled_at()
    }

    fn settled_at(&self) -> Instant {
        self.started + self.config.max_deadline + self.config.drift_margin
    }

    /// Slots that are this host's own and not lent.
    fn own(&self, target: &str, now: Instant) -> Allowance {
        let Some(position) = self.position.filter(|_| !self.stopped) else {
            return Allowance::default();
        };
        let announced = self.announced.get(target);
        let former = match announced {
            _ if self.is_settled(now) => 0,
            Some(a) => a.former,
            None => self.slots,
        };
        if self.roster.len() == 1 {
            let total = self.slots.saturating_sub(former);
            return Allowance { total, floor: total };
        }
        let division = Division::new(target, self.slots, self.roster.len());
        let floor = division.floor(position).saturating_sub(former);
        let extra = self.open_extra(&division, announced, now);
        let lent = self.lender.lent(target);
        Allowance { total: floor + extra.saturating_sub(lent), floor }
    }

    /// Slots under leases that this host holds and for which the target has
    /// announced room.
    fn open_extra(&self, division: &Division, announced: Option<&Announced>, now: Instant) -> u16 {
        let Some(announced) = announced else { return 0 };
        let part = division.part();
        let owners = self.shares.iter().zip(&announced.opened).enumerate();
        let open = owners.filter(|(_, (parts, opened))| {
            opened.is_some() && parts[part].acquired(now) == **opened
        });
        open.map(|(owner, _)| division.extra(owner)).sum()
    }

    /// Takes in the count of a target's new announcement: its requests in
    /// flight from all hosts.
    pub fn announced(&mut self, target: &TargetId, in_flight: u16, now: Instant) {
        let hosts = self.roster.len();
        let division = Division::new(target, self.slots, hosts.max(1));
        let part = division.part();
        let slots = self.slots;
        let announced = self
            .announced
            .entry(target.clone())
            .or_insert_with(|| Announced { former: slots, opened: vec![None; hosts] });
        announced.former = announced.former.min(in_flight);
        let mut room = slots.saturating_sub(in_flight);
        for (owner, parts) in self.shares.iter().enumerate() {
            let Some(share) = parts.get(part) else { continue };
            let acquired = share.acquired(now);
            let extra = division.extra(owner);
            if acquired.is_some() && announced.opened[owner] != acquired && extra <= room {
                announced.opened[owner] = acquired;
                room -= extra;
            }
        }
        if self.lender.take_back_ended(target, room, now) {
            self.changes += 1;
        }
    }

    /// Takes in how many of a target's requests in flight came from this host,
    /// in this life or a former one.
    pub fn announced_own(&mut self, target: &str, in_flight: u16) {
        if let Some(announced) = self.announced.get_mut(target) {
            announced.former = announced.former.min(in_flight);
        }
    }

    /// Takes a changed number of slots into force. While hosts disagree on it,
    /// a target is given at most the larger number.
    pub fn set_slots(&mut self, slots: u16) {
        if self.slots != slots {
            self.slots = slots;
            self.changes += 1;
        }
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: &str) {
        self.announced.remove(target);
    }

    /// Grows whenever allowances may have changed other than by time.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// When allowances may next change by time alone.
    #[must_use]
    pub fn next_end(&self) -> Option<Instant> {
        self.next_end
    }

    /// What there is to send now. `wanted` is how many more slots this host
    /// could use. To be called every few milliseconds.
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
            self.ask_for_renewal(&mut out, now);
        }
        self.give_back(wanted > 0, occupancy, &mut out, now);
        if wanted > 0 && now >= self.next_loan_request {
            self.ask_for_loan(wanted, &mut out, now);
        }
        self.lender.clean_up(now);
        self.note_next_end(now);
        out
    }

    /// Takes in a message of another host and returns what to send.
    pub fn handle(
        &mut self,
        message: SlotMessage,
        occupancy: &impl Occupancy,
        now: Instant,
    ) -> Vec<Envelope> {
        let answer = match message {
            SlotMessage::RenewalRequest(request) => self.vote(request, now),
            SlotMessage::Renewal(renewal) => {
                self.take_renewal(&renewal, now);
                None
            }
            SlotMessage::ShareRelease(ShareRelease { holder, incarnation }) => {
                self.promises.release(&holder, incarnation, now);
                None
            }
            SlotMessage::LoanRequest(request) => self.lend(request, occupancy, now),
            SlotMessage::Loan(loan) => {
                self.take_loan(loan, now);
                None
            }
            SlotMessage::LoanReturn(returned) => {
                self.take_back(&returned);
                None
            }
        };
        self.note_next_end(now);
        answer.into_iter().collect()
    }

    pub(crate) fn note_next_end(&mut self, now: Instant) {
        let leases = self.shares.iter().flatten().filter_map(|s| s.end(now));
        let settled = Some(self.settled_at()).filter(|t| *t > now);
        let loans = self.borrower.next_end(now);
        self.next_end = leases.chain(loans).chain(settled).min();
    }
}
