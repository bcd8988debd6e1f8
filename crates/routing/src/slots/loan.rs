//! Loans of idle slots between the hosts of a roster. The lender alone prevents
//! slots from being used twice: it doesn't use lent slots until they are
//! returned, or until the loan has certainly ended and the target has announced
//! that enough of its slots are free.

use super::{
    lease::LeaseConfig,
    messages::{Incarnation, LentSlots, Loan, LoanReturn},
};
use cyclamenloft_types::{HostId, TargetId};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// A host lends no slots if the loan would have to be shorter than this.
pub(crate) const MIN_LOAN: Duration = Duration::from_millis(100);
/// Time after which an ended loan is dropped, even if it was not returned and
/// the target has not announced enough free slots.
const LOAN_RETENTION: Duration = Duration::from_secs(600);
/// Shortest time for which a borrower keeps slots before it returns them early
/// because they are idle.
const MIN_LOAN_USE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct OutstandingLoan {
    number: u64,
    slots: u16,
    /// Time by which the borrower's last request on the slots has certainly ended.
    until: Instant,
}

/// The slots that a host has lent to others.
#[derive(Debug, Default)]
pub(crate) struct Lender {
    last_number: u64,
    lent: HashMap<TargetId, Vec<OutstandingLoan>>,
}

impl Lender {
    /// Returns the slots of the target that are lent and must not be used.
    pub(crate) fn lent(&self, target: &str) -> u16 {
        self.lent.get(target).map_or(0, |loans| loans.iter().map(|l| l.slots).sum())
    }

    /// Records a loan of the given length and returns its number.
    pub(crate) fn lend(
        &mut self,
        slots: &[LentSlots],
        length: Duration,
        config: &LeaseConfig,
        now: Instant,
    ) -> u64 {
        self.last_number += 1;
        let until = now + length + config.longest_request + config.drift_margin;
        for lent in slots {
            let loan = OutstandingLoan { number: self.last_number, slots: lent.slots, until };
            self.lent.entry(lent.target.clone()).or_default().push(loan);
        }
        self.last_number
    }

    pub(crate) fn reclaim(&mut self, number: u64, target: &str) {
        if let Some(loans) = self.lent.get_mut(target) {
            loans.retain(|l| l.number != number);
        }
    }

    /// Reclaims loans that have certainly ended without a return, as far as they
    /// fit into the `free` slots of the target according to its announcement.
    /// Returns whether any loan was reclaimed.
    pub(crate) fn reclaim_expired(&mut self, target: &str, mut free: u16, now: Instant) -> bool {
        let Some(loans) = self.lent.get_mut(target) else { return false };
        let before = loans.len();
        loans.retain(|loan| {
            let ends = loan.until <= now && loan.slots <= free;
            free -= if ends { loan.slots } else { 0 };
            !ends
        });
        loans.len() < before
    }

    /// Drops loans that ended long ago, and targets without loans.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.lent.retain(|_, loans| {
            loans.retain(|l| l.until + LOAN_RETENTION > now);
            !loans.is_empty()
        });
    }

    /// Returns whether any lent slots may still be in use.
    pub(crate) fn has_lent(&self, now: Instant) -> bool {
        self.lent.values().flatten().any(|l| l.until > now)
    }
}

#[derive(Debug)]
struct Borrowed {
    lender: HostId,
    incarnation: Incarnation,
    number: u64,
    slots: u16,
    since: Instant,
    until: Instant,
}

/// The slots that a host has borrowed from others.
#[derive(Debug, Default)]
pub(crate) struct Borrower {
    last_number: u64,
    /// Unanswered loan requests by number, each with the lender and the time of
    /// sending.
    pending_requests: HashMap<u64, (HostId, Instant)>,
    borrowed: BTreeMap<TargetId, Vec<Borrowed>>,
}

impl Borrower {
    /// Returns the borrowed slots of the target on which requests may be started.
    pub(crate) fn borrowed(&self, target: &str, now: Instant) -> u16 {
        let Some(loans) = self.borrowed.get(target) else { return 0 };
        let live = loans.iter().filter(|l| l.until > now);
        live.fold(0, |sum, l| sum.saturating_add(l.slots))
    }

    /// Records a loan request to `lender` and returns its number.
    pub(crate) fn record_request(
        &mut self,
        lender: HostId,
        timeout: Duration,
        now: Instant,
    ) -> u64 {
        self.pending_requests.retain(|_, (_, at)| *at + timeout > now);
        self.last_number += 1;
        self.pending_requests.insert(self.last_number, (lender, now));
        self.last_number
    }

    /// Returns whether a loan request to `lender` is still unanswered.
    pub(crate) fn awaits_answer(&self, lender: &str, timeout: Duration, now: Instant) -> bool {
        self.pending_requests.values().any(|(l, at)| &**l == lender && *at + timeout > now)
    }

    /// Accepts a loan, at most once for each request and for at most one lease.
    /// Returns whether it was accepted.
    pub(crate) fn accept(&mut self, loan: Loan, lease: Duration, now: Instant) -> bool {
        if self.pending_requests.get(&loan.request).is_none_or(|(lender, _)| *lender != loan.lender)
        {
            return false;
        }
        let Some((_, sent)) = self.pending_requests.remove(&loan.request) else { return false };
        let until = sent + Duration::from_millis(loan.length_ms).min(lease);
        for lent in loan.slots {
            let borrowed = Borrowed {
                lender: loan.lender.clone(),
                incarnation: loan.incarnation,
                number: loan.number,
                slots: lent.slots,
                since: now,
                until,
            };
            self.borrowed.entry(lent.target).or_default().push(borrowed);
        }
        true
    }

    /// Gives back loans that have ended and, unless the host is busy, loans that
    /// are idle, as soon as the requests in flight at a target fit into the
    /// remaining slots. Returns the notices for the lenders. `spare` returns the
    /// number of the host's own slots at a target minus its requests in flight
    /// there.
    pub(crate) fn return_unused(
        &mut self,
        busy: bool,
        spare: impl Fn(&str) -> i32,
        now: Instant,
    ) -> Vec<LoanReturn> {
        let mut returns: Vec<LoanReturn> = Vec::new();
        for (target, loans) in &mut self.borrowed {
            let held: i32 = loans.iter().map(|l| i32::from(l.slots)).sum();
            let mut spare = spare(target) + held;
            loans.retain(|loan| {
                let ended = loan.until <= now;
                let idle = !busy && loan.since + MIN_LOAN_USE <= now;
                if !(ended || idle) || spare < i32::from(loan.slots) {
                    return true;
                }
                spare -= i32::from(loan.slots);
                add_return(&mut returns, loan, target);
                false
            });
        }
        self.borrowed.retain(|_, loans| !loans.is_empty());
        returns
    }

    /// Returns the time at which the next loan ends.
    pub(crate) fn next_expiry(&self, now: Instant) -> Option<Instant> {
        self.borrowed.values().flatten().map(|l| l.until).filter(|t| *t > now).min()
    }
}

fn add_return(returns: &mut Vec<LoanReturn>, loan: &Borrowed, target: &TargetId) {
    let same = returns.iter_mut().find(|r| r.lender == loan.lender && r.number == loan.number);
    match same {
        Some(r) => r.targets.push(target.clone()),
        None => returns.push(LoanReturn {
            lender: loan.lender.clone(),
            incarnation: loan.incarnation,
            number: loan.number,
            targets: vec![target.clone()],
        }),
    }
}
