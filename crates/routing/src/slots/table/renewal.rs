//! Requests for shares, votes on them, and takeover of the shares of hosts that
//! no longer request them.

use super::SlotTable;
use crate::slots::{Envelope, Renewal, RenewalRequest, ShareId, ShareRelease, SlotMessage};
use cyclamenloft_types::HostId;
use std::time::{Duration, Instant};

/// Additional delay of each further successor before it takes over a share.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(300);

impl SlotTable {
    pub(super) fn request_renewal(&mut self, out: &mut Vec<Envelope>, now: Instant) {
        let shares = self.wanted_shares(now);
        let round = self.rounds.begin(self.config.lease, now);
        let (host, incarnation) = (self.host.clone(), self.incarnation);
        for voter in 0..self.voters.len() {
            if self.voters[voter] != self.host {
                let holder = host.clone();
                let request = RenewalRequest { holder, incarnation, round, shares: shares.clone() };
                let to = self.voters[voter].clone();
                out.push(Envelope { to, message: SlotMessage::RenewalRequest(request) });
                continue;
            }
            for share in &shares {
                if self.promises.grant(share, &host, incarnation, now) {
                    self.record_renewal(share, voter, now, now);
                }
            }
        }
    }

    /// Returns the shares to request: this host's own, and those to take over from
    /// hosts that no longer request them.
    fn wanted_shares(&mut self, now: Instant) -> Vec<ShareId> {
        let mut wanted = Vec::new();
        for owner in 0..self.roster.len() {
            for part in 0..self.shares[owner].len() {
                let share = self.share_id(owner, part);
                if Some(owner) == self.position || self.should_take_over(&share, owner, part, now) {
                    wanted.push(share);
                }
            }
        }
        wanted
    }

    fn share_id(&self, owner: usize, part: usize) -> ShareId {
        ShareId { owner: self.roster[owner].clone(), part: part as u16 }
    }

    fn should_take_over(
        &mut self,
        share: &ShareId,
        owner: usize,
        part: usize,
        now: Instant,
    ) -> bool {
        let stagger = TAKEOVER_STAGGER * self.succession_rank(owner, part);
        let promise_duration = self.config.promise_duration();
        let owner_is_alive = self.promises.requested_within(&share.owner, self.config.lease, now);
        let free_from = self.promises.free_from(share);
        let held = &mut self.shares[owner][part];
        if owner_is_alive {
            held.requesting_since = None;
            return false;
        }
        if let Some(since) = held.requesting_since {
            // If no majority has granted the share within one lease, other hosts
            // may hold the promises of the remaining voters.
            let timed_out = !held.is_held(now) && since + self.config.lease <= now;
            if timed_out {
                held.back_off(now + promise_duration + stagger);
            }
            return !timed_out;
        }
        let backs_off = held.back_off_until.is_some_and(|t| t > now);
        if backs_off || free_from + stagger > now {
            return false;
        }
        held.requesting_since = Some(now);
        true
    }

    /// Returns how many other hosts precede this one in taking over a share.
    fn succession_rank(&self, owner: usize, part: usize) -> u32 {
        let hosts = self.roster.len();
        let position = self.position.unwrap_or_default();
        let distance = (position + hosts - owner) % hosts;
        ((distance + 2 * hosts - 3 - part) % (hosts - 1)) as u32
    }

    fn record_renewal(&mut self, share: &ShareId, voter: usize, sent: Instant, now: Instant) {
        let Some(owner) = self.roster.iter().position(|h| *h == share.owner) else { return };
        let lease = self.config.lease;
        let held = self.shares[owner].get_mut(usize::from(share.part));
        if held.is_some_and(|h| h.renew(voter, sent, lease, now)) {
            self.generation += 1;
        }
    }

    pub(super) fn vote(&mut self, request: RenewalRequest, now: Instant) -> Option<Envelope> {
        let RenewalRequest { holder, incarnation, round, mut shares } = request;
        if !self.voters.contains(&self.host) || !self.roster.contains(&holder) {
            return None;
        }
        let parts = self.roster.len().saturating_sub(1);
        shares.retain(|s| usize::from(s.part) < parts && self.roster.contains(&s.owner));
        shares.retain(|share| self.promises.grant(share, &holder, incarnation, now));
        let renewal = Renewal {
            voter: self.host.clone(),
            incarnation: self.incarnation,
            holder: holder.clone(),
            holder_incarnation: incarnation,
            round,
            shares,
        };
        Some(Envelope { to: holder, message: SlotMessage::Renewal(renewal) })
    }

    pub(super) fn handle_renewal(&mut self, renewal: &Renewal, now: Instant) {
        let is_mine = renewal.holder == self.host && renewal.holder_incarnation == self.incarnation;
        let voter = self.voters.iter().position(|v| *v == renewal.voter);
        let sent = self.rounds.sent(renewal.round);
        if let (true, Some(voter), Some(sent)) = (is_mine && !self.stopped, voter, sent) {
            for share in &renewal.shares {
                self.record_renewal(share, voter, sent, now);
            }
        }
    }

    /// Ends this host's use of slots for good and, unless some are lent, releases
    /// its shares. Returns the messages to send. Call this once no requests are in
    /// flight.
    pub fn stop(&mut self, now: Instant) -> Vec<Envelope> {
        self.stopped = true;
        self.generation += 1;
        if self.lender.has_lent(now) {
            return Vec::new();
        }
        let (holder, incarnation) = (&self.host, self.incarnation);
        let others = self.voters.iter().filter(|v| *v != holder);
        let release = |to: &HostId| Envelope {
            to: to.clone(),
            message: SlotMessage::ShareRelease(ShareRelease {
                holder: holder.clone(),
                incarnation,
            }),
        };
        others.map(release).collect()
    }
}
