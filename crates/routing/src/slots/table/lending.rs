//! Borrowing from neighbours, and lending to them.

use super::{Occupancy, SlotTable};
use crate::slots::{
    Envelope, LentSlots, Loan, LoanRequest, LoanReturn, SlotMessage, loan::MIN_LOAN,
};
use std::time::{Duration, Instant};

/// Shortest time between two loan requests.
const LOAN_REQUEST_PERIOD: Duration = Duration::from_millis(20);
/// How long the answer to a loan request is awaited.
const LOAN_PATIENCE: Duration = Duration::from_millis(500);
/// Most targets in one loan.
const MAX_LOAN_TARGETS: usize = 64;
/// Most slots that one loan request asks for.
const MAX_LOAN_SLOTS: u16 = 64;

impl SlotTable {
    pub(super) fn ask_for_loan(&mut self, wanted: usize, out: &mut Vec<Envelope>, now: Instant) {
        let slots = u16::try_from(wanted).unwrap_or(u16::MAX).min(MAX_LOAN_SLOTS);
        let hosts = self.roster.len();
        for _ in 0..hosts {
            self.next_neighbour = (self.next_neighbour + 1) % hosts;
            let lender = self.roster[self.next_neighbour].clone();
            let lives = self.promises.heard_within(&lender, self.config.lease, now);
            if lender == self.host || !lives || self.borrower.awaits(&lender, LOAN_PATIENCE, now) {
                continue;
            }
            self.next_loan_request = now + LOAN_REQUEST_PERIOD;
            let number = self.borrower.ask(lender.clone(), LOAN_PATIENCE, now);
            let (borrower, incarnation) = (self.host.clone(), self.incarnation);
            let request = LoanRequest { borrower, incarnation, number, slots };
            out.push(Envelope { to: lender, message: SlotMessage::LoanRequest(request) });
            return;
        }
    }

    pub(super) fn give_back(
        &mut self,
        busy: bool,
        occupancy: &impl Occupancy,
        out: &mut Vec<Envelope>,
        now: Instant,
    ) {
        let mut borrower = std::mem::take(&mut self.borrower);
        let spare = |target: &str| {
            i32::from(self.own(target, now).total) - i32::from(occupancy.occupied(target))
        };
        let returns = borrower.give_back(busy, spare, now);
        self.borrower = borrower;
        if !returns.is_empty() {
            self.changes += 1;
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
            .is_none_or(|(life, last)| *life != incarnation || *last < number);
        if !is_new || borrower == self.host || !self.roster.contains(&borrower) {
            return None;
        }
        self.answered.insert(borrower.clone(), (incarnation, number));
        let length = self.loan_length(now);
        let lends = length >= MIN_LOAN && !self.is_busy && !self.stopped;
        let lent = if lends { self.idle(slots, occupancy, now) } else { Vec::new() };
        if !lent.is_empty() {
            self.changes += 1;
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

    /// How long slots may be lent: within every lease that is held.
    fn loan_length(&self, now: Instant) -> Duration {
        let ends = self.shares.iter().flatten().filter_map(|s| s.end(now));
        let first = ends.min().unwrap_or(now);
        first.saturating_duration_since(now).saturating_sub(self.config.drift_margin)
    }

    /// Idle slots to lend: at most half of all, and never a floor.
    fn idle(&self, wanted: u16, occupancy: &impl Occupancy, now: Instant) -> Vec<LentSlots> {
        let half = u16::try_from(occupancy.free_slots() / 2).unwrap_or(u16::MAX);
        let mut left = wanted.min(half);
        let mut lent = Vec::new();
        for target in occupancy.idle_targets(MAX_LOAN_TARGETS) {
            let own = self.own(&target, now);
            let free = own.total.saturating_sub(occupancy.occupied(&target));
            let slots = free.min(own.total - own.floor).min(left);
            if slots > 0 {
                left -= slots;
                lent.push(LentSlots { target, slots });
            }
        }
        lent
    }

    pub(super) fn take_loan(&mut self, loan: Loan, now: Instant) {
        let is_mine = loan.borrower == self.host && loan.borrower_incarnation == self.incarnation;
        if is_mine && !self.stopped && self.borrower.accept(loan, self.config.lease, now) {
            self.changes += 1;
        }
    }

    pub(super) fn take_back(&mut self, returned: &LoanReturn) {
        if returned.lender != self.host || returned.incarnation != self.incarnation {
            return;
        }
        for target in &returned.targets {
            self.lender.take_back(returned.number, target);
        }
        self.changes += 1;
    }
}
