//! Borrowing slots from other hosts of the roster, and lending slots to them.

use super::{Occupancy, SlotTable};
use crate::slots::{
    Envelope, LentSlots, Loan, LoanRequest, LoanReturn, SlotMessage, loan::MIN_LOAN,
};
use std::time::{Duration, Instant};

/// Shortest time between two loan requests.
const LOAN_REQUEST_PERIOD: Duration = Duration::from_millis(20);
/// Time after which a loan request without an answer is given up.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Most targets in one loan.
const MAX_LOAN_TARGETS: usize = 64;
/// Most slots in one loan request.
const MAX_LOAN_SLOTS: u16 = 64;

impl SlotTable {
    pub(super) fn request_loan(&mut self, wanted: usize, out: &mut Vec<Envelope>, now: Instant) {
        let slots = u16::try_from(wanted).unwrap_or(u16::MAX).min(MAX_LOAN_SLOTS);
        let hosts = self.roster.len();
        for _ in 0..hosts {
            self.next_lender = (self.next_lender + 1) % hosts;
            let lender = self.roster[self.next_lender].clone();
            let is_alive = self.promises.requested_within(&lender, self.config.lease, now);
            if lender == self.host
                || !is_alive
                || self.borrower.awaits_answer(&lender, LOAN_REQUEST_TIMEOUT, now)
            {
                continue;
            }
            self.next_loan_request = now + LOAN_REQUEST_PERIOD;
            let number = self.borrower.record_request(lender.clone(), LOAN_REQUEST_TIMEOUT, now);
            let (borrower, incarnation) = (self.host.clone(), self.incarnation);
            let request = LoanRequest { borrower, incarnation, number, slots };
            out.push(Envelope { to: lender, message: SlotMessage::LoanRequest(request) });
            return;
        }
    }

    pub(super) fn return_loans(
        &mut self,
        busy: bool,
        occupancy: &impl Occupancy,
        out: &mut Vec<Envelope>,
        now: Instant,
    ) {
        let mut borrower = std::mem::take(&mut self.borrower);
        let spare = |target: &str| {
            i32::from(self.own_allowance(target, now).total) - i32::from(occupancy.occupied(target))
        };
        let returns = borrower.return_unused(busy, spare, now);
        self.borrower = borrower;
        if !returns.is_empty() {
            self.generation += 1;
        }
        out.extend(
            returns
                .into_iter()
                .map(|r| Envelope { to: r.lender.clone(), message: SlotMessage::LoanReturn(r) }),
        );
    }

    pub(super) fn lend(
        &mut self,
        request: LoanRequest,
        occupancy: &impl Occupancy,
        now: Instant,
    ) -> Option<Envelope> {
        let LoanRequest { borrower, incarnation, number, slots } = request;
        let is_new = self
            .answered
            .get(&borrower)
            .is_none_or(|(known, last)| *known != incarnation || *last < number);
        if !is_new || borrower == self.host || !self.roster.contains(&borrower) {
            return None;
        }
        self.answered.insert(borrower.clone(), (incarnation, number));
        let length = self.loan_length(now);
        let can_lend = length >= MIN_LOAN && !self.is_busy && !self.stopped;
        let lent = if can_lend { self.idle_slots(slots, occupancy, now) } else { Vec::new() };
        if !lent.is_empty() {
            self.generation += 1;
        }
        let loan = Loan {
            lender: self.host.clone(),
            incarnation: self.incarnation,
            borrower: borrower.clone(),
            borrower_incarnation: incarnation,
            request: number,
            number: self.lender.lend(&lent, length, &self.config, now),
            length_ms: length.as_millis() as u64,
            slots: lent,
        };
        Some(Envelope { to: borrower, message: SlotMessage::Loan(loan) })
    }

    /// Returns the maximum duration of a loan that begins now: the loan must end
    /// before every lease that this host holds.
    fn loan_length(&self, now: Instant) -> Duration {
        let ends = self.shares.iter().flatten().filter_map(|s| s.end(now));
        let earliest = ends.min().unwrap_or(now);
        earliest.saturating_duration_since(now).saturating_sub(self.config.drift_margin)
    }

    /// Returns the idle slots to lend: at most half of the free slots, and never
    /// floor slots.
    fn idle_slots(&self, wanted: u16, occupancy: &impl Occupancy, now: Instant) -> Vec<LentSlots> {
        let max_lent = u16::try_from(occupancy.free_slots() / 2).unwrap_or(u16::MAX);
        let mut remaining = wanted.min(max_lent);
        let mut lent = Vec::new();
        for target in occupancy.idle_targets(MAX_LOAN_TARGETS) {
            let own = self.own_allowance(&target, now);
            let free = own.total.saturating_sub(occupancy.occupied(&target));
            let slots = free.min(own.total - own.floor).min(remaining);
            if slots > 0 {
                remaining -= slots;
                lent.push(LentSlots { target, slots });
            }
        }
        lent
    }

    pub(super) fn handle_loan(&mut self, loan: Loan, now: Instant) {
        let is_mine = loan.borrower == self.host && loan.borrower_incarnation == self.incarnation;
        if is_mine && !self.stopped && self.borrower.accept(loan, self.config.lease, now) {
            self.generation += 1;
        }
    }

    pub(super) fn handle_loan_return(&mut self, returned: &LoanReturn) {
        if returned.lender != self.host || returned.incarnation != self.incarnation {
            return;
        }
        for target in &returned.targets {
            self.lender.reclaim(returned.number, target);
        }
        self.generation += 1;
    }
}
