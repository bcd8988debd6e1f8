//! Handling of requests of other replicas.

use crate::{
    core::Core,
    entry::{Entry, HardState, Identity},
    message::{self, AppendRequest, Request, RequestBody, Response, ResponseBody, VoteRequest},
    shared::{Shared, shutting_down_error},
    state_machine::StateMachine,
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Result, Term};
use std::time::Instant;

/// A response that may be sent once a write is durable.
pub(crate) struct PendingResponse {
    pub body: ResponseBody,
    /// Number of the write to wait for.
    pub after_write: u64,
}

impl<M: StateMachine> Shared<M> {
    /// Handles an encoded request; returns the encoded response.
    ///
    /// # Errors
    ///
    /// `BadRequest` if the request isn't valid or isn't for this replica, the
    /// error that ended the replica if it has failed, or `Draining` if it is
    /// shutting down.
    pub async fn handle(&self, bytes: &[u8]) -> Result<Vec<u8>> {
        let req = Request::decode(bytes)?;
        let (pending, term) = self.update(|core| -> Result<_> {
            let pending = core.receive(req, Instant::now())?;
            Ok((pending, core.hard_state.term))
        })?;
        self.wait_durable(pending.after_write).await?;
        let core = self.core();
        // The response is valid only in the term in which it was determined,
        // and the term may have changed during the wait.
        let body =
            if core.hard_state.term == term { pending.body } else { ResponseBody::StaleTerm };
        let formed = core.membership().is_some();
        message::encode(&Response { from: core.me, term, formed, body })
    }
}

impl<M: StateMachine> Core<M> {
    fn receive(&mut self, req: Request, now: Instant) -> Result<PendingResponse> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        if self.stopping {
            return Err(shutting_down_error());
        }
        if req.group != self.cfg.group || req.from.id == self.me.id {
            let (group, id) = (&req.group, req.from.id);
            let detail = format!("message of replica {id} of group {group} is not for this one");
            return Err(Error::new(ErrorKind::BadRequest, detail));
        }
        let (from, term) = (req.from, req.term);
        match req.body {
            RequestBody::Probe => Ok(self.respond(ResponseBody::Ok)),
            RequestBody::Vote(vote) => Ok(self.receive_vote(from, term, vote, now)),
            RequestBody::TakeOver => Ok(self.receive_take_over(term)),
            RequestBody::Heartbeat { to, commit } => {
                if !self.accept_leader(from, term, now) {
                    return Ok(self.respond(ResponseBody::StaleTerm));
                }
                // The commit index of a heartbeat covers only entries that the
                // incarnation `to` has acknowledged. Another incarnation may
                // not have them.
                if to == self.me.incarnation {
                    self.commit_up_to(commit.min(self.log.last_index()));
                }
                Ok(self.respond(ResponseBody::Ok))
            }
            RequestBody::Append(append) => {
                if !self.accept_leader(from, term, now) {
                    return Ok(self.respond(ResponseBody::StaleTerm));
                }
                self.receive_append(append)
            }
            RequestBody::Piece(piece) => {
                if !self.accept_leader(from, term, now) {
                    return Ok(self.respond(ResponseBody::StaleTerm));
                }
                self.receive_piece(piece)
            }
        }
    }

    /// Returns a response that waits only for the writes of term and vote.
    pub fn respond(&self, body: ResponseBody) -> PendingResponse {
        PendingResponse { body, after_write: self.disk.last_hard_state }
    }

    /// Returns a response that waits for all queued writes.
    pub fn respond_when_durable(&self, body: ResponseBody) -> PendingResponse {
        PendingResponse { body, after_write: self.disk.last_queued }
    }

    /// Becomes a follower of `from`, which leads in `term`, unless `term` is
    /// outdated or this replica leads in it. Returns whether it became a
    /// follower.
    fn accept_leader(&mut self, from: Identity, term: Term, now: Instant) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        if term == self.hard_state.term && self.leader_state.is_some() {
            tracing::error!(group = %self.cfg.group, term, other = from.id, "second leader in a term");
            return false;
        }
        self.become_follower(term, Some(from.id), now);
        true
    }

    fn receive_vote(
        &mut self,
        from: Identity,
        term: Term,
        vote: VoteRequest,
        now: Instant,
    ) -> PendingResponse {
        let refused = ResponseBody::Vote { granted: false };
        let leader_active = !vote.handed_over && self.has_live_leader(now);
        if term < self.hard_state.term || leader_active {
            return self.respond(refused);
        }
        let own_last = (self.log.last_term(), self.log.last_index());
        let up_to_date = (vote.last_term, vote.last_index) >= own_last;
        if vote.pre_vote {
            return self.respond(ResponseBody::Vote { granted: up_to_date });
        }
        if term > self.hard_state.term {
            self.become_follower(term, None, now);
        }
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        if !vote_available || !up_to_date || self.leader_state.is_some() {
            return self.respond(refused);
        }
        self.set_hard_state(HardState { term, vote: Some(from) });
        self.reset_election_timer(now);
        self.respond(ResponseBody::Vote { granted: true })
    }

    fn receive_take_over(&mut self, term: Term) -> PendingResponse {
        if term == self.hard_state.term && self.leader_state.is_none() && self.may_lead() {
            self.take_over_requested = true;
        }
        self.respond(ResponseBody::Ok)
    }

    fn receive_append(&mut self, req: AppendRequest) -> Result<PendingResponse> {
        if let Some(next) = self.conflict(&req) {
            return Ok(self.respond(ResponseBody::Conflict { next }));
        }
        let last_matching = req.prev_index + req.entries.len() as u64;
        for (entry, index) in req.entries.into_iter().zip(req.prev_index + 1..) {
            if entry.index != index {
                return Err(Error::new(ErrorKind::BadRequest, "entries out of order"));
            }
            self.accept_entry(entry)?;
        }
        let pending = self.respond_when_durable(ResponseBody::Matches(last_matching));
        self.commit_up_to(req.commit.min(last_matching));
        Ok(pending)
    }

    /// Returns the index from which the leader should retry if the entry before
    /// the new ones is missing or has another term, or `None` if it matches.
    fn conflict(&self, req: &AppendRequest) -> Option<LogIndex> {
        let prev = req.prev_index;
        if prev > self.log.last_index() {
            return Some(self.log.last_index() + 1);
        }
        // All entries up to the base index are committed, so they are the same
        // on every replica.
        if prev <= self.log.base() || self.log.term(prev) == Some(req.prev_term) {
            return None;
        }
        Some(self.log.first_of_term(prev).max(self.commit + 1))
    }

    fn accept_entry(&mut self, entry: Entry) -> Result<()> {
        if entry.index <= self.log.base() || self.log.term(entry.index) == Some(entry.term) {
            return Ok(());
        }
        if entry.index <= self.log.last_index()
            && let Err(error) = self.truncate(entry.index)
        {
            self.fail(error.clone());
            return Err(error);
        }
        self.append(entry);
        Ok(())
    }

    fn commit_up_to(&mut self, index: LogIndex) {
        if index > self.commit {
            self.commit = index;
            self.apply_committed();
        }
    }
}
