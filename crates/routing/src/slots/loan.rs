//! Loans of idle slots between the hosts of a roster. The lender is the fence:
//! it alone knows that the slots are lent, and it leaves them alone until they
//! come back, or until the loan has surely ended and the target announced room.

use super::{
    lease::LeaseConfig,
    messages::{Incarnation, LentSlots, Loan, LoanReturn},
};
use cyclamenloft_types::{HostId, TargetId};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Shortest time for which slots are lent.
pub(crate) const MIN_LOAN: Duration = Duration::from_millis(100);
/// How long a loan is remembered of which neither borrower nor target tell the end.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Time that a borrower keeps idle slots before it returns them early.
const MIN_USE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct LentOut {
    number: u64,
    slots: u16,
    /// When the borrower's last request on them has surely ended.
    until: Instant,
}

/// What a host has lent to others.
#[derive(Debug, Default)]
pub(crate) struct Lender {
    last_number: u64,
    lent: HashMap<TargetId, Vec<LentOut>>,
}

impl Lender {
    /// Slots of the target that are to be left alone.
    pub(crate) fn lent(&self, target: &str) -> u16 {
        self.lent.get(target).map_or(0, |loans| loans.iter().map(|l| l.slots).sum())
    }

    /// Notes a loan of the given length and returns its number.
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
            let out = LentOut { number: self.last_number, slots: lent.slots, until };
            self.lent.entry(lent.target.clone()).or_default().push(out);
        }
        self.last_number
    }

    pub(crate) fn take_back(&mut self, number: u64, target: &str) {
        if let Some(loans) = self.lent.get_mut(target) {
            loans.retain(|l| l.number != number);
        }
    }

    /// Takes back what has surely ended without a return, as far as the target
    /// announced `room` for it. Returns whether that was anything.
    pub(crate) fn take_back_ended(&mut self, target: &str, mut room: u16, now: Instant) -> bool {
        let Some(loans) = self.lent.get_mut(target) else { return false };
        let before = loans.len();
        loans.retain(|loan| {
            let ends = loan.until <= now && loan.slots <= room;
            room -= if ends { loan.slots } else { 0 };
            !ends
        });
        loans.len() < before
    }

    /// Drops what is returned, and loans of targets that have long been silent.
    pub(crate) fn clean_up(&mut self, now: Instant) {
        self.lent.retain(|_, loans| {
            loans.retain(|l| l.until + FORGET_AFTER > now);
            !loans.is_empty()
        });
    }

    /// Whether anything is lent that may still be in use.
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

/// What a host has borrowed from others.
#[derive(Debug, Default)]
pub(crate) struct Borrower {
    last_number: u64,
    /// Requests that wait for an answer, and when they were sent.
    asked: HashMap<u64, (HostId, Instant)>,
    borrowed: BTreeMap<TargetId, Vec<Borrowed>>,
}

impl Borrower {
    /// Slots of the target on which requests may be started.
    pub(crate) fn borrowed(&self, target: &str, now: Instant) -> u16 {
        let Some(loans) = self.borrowed.get(target) else { return 0 };
        let live = loans.iter().filter(|l| l.until > now);
        live.fold(0, |sum, l| sum.saturating_add(l.slots))
    }

    /// Notes a request to `lender` and returns its number.
    pub(crate) fn ask(&mut self, lender: HostId, patience: Duration, now: Instant) -> u64 {
        self.asked.retain(|_, (_, at)| *at + patience > now);
        self.last_number += 1;
        self.asked.insert(self.last_number, (lender, now));
        self.last_number
    }

    /// Whether an answer of `lender` is still awaited.
    pub(crate) fn awaits(&self, lender: &str, patience: Duration, now: Instant) -> bool {
        self.asked.values().any(|(l, at)| &**l == lender && *at + patience > now)
    }

    /// Takes in a loan, once for each request, and for a lease at most.
    pub(crate) fn accept(&mut self, loan: Loan, lease: Duration, now: Instant) -> bool {
        if self.asked.get(&loan.request).is_none_or(|(lender, _)| *lender != loan.lender) {
            return false;
        }
        let Some((_, sent)) = self.asked.remove(&loan.request) else { return false };
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

    /// Gives back what has ended and, unless the host is busy, what is idle, as
    /// soon as the requests in flight at a target fit without it. `spare` tells
    /// by how much the host's own slots of a target exceed these requests.
    pub(crate) fn give_back(
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
                let idle = !busy && loan.since + MIN_USE <= now;
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

    /// When the next loan ends.
    pub(crate) fn next_end(&self, now: Instant) -> Option<Instant> {
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
