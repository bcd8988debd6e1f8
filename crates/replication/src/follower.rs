//! Answers to requests of other replicas.

use crate::{
    core::Core,
    entry::{Entry, HardState, Identity},
    message::{self, Answer, AnswerBody, AppendRequest, Request, RequestBody, VoteRequest},
    shared::{Shared, stopping},
    state_machine::StateMachine,
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, Result, Term};
use std::time::Instant;

/// An answer that may leave once a write is durable.
pub(crate) struct Reaction {
    pub body: AnswerBody,
    /// Number of the write to wait for.
    pub after: u64,
}

impl<M: StateMachine> Shared<M> {
    /// Answers an encoded request.
    ///
    /// # Errors
    ///
    /// A request that isn't for this replica, or a replica that is over.
    pub async fn handle(&self, bytes: &[u8]) -> Result<Vec<u8>> {
        let req = Request::decode(bytes)?;
        let (reaction, term) = self.with(|core| -> Result<_> {
            let reaction = core.receive(req, Instant::now())?;
            Ok((reaction, core.hard.term))
        })?;
        self.wait_durable(reaction.after).await?;
        let core = self.core();
        // What was true in one term may not be said in the next.
        let body = if core.hard.term == term { reaction.body } else { AnswerBody::StaleTerm };
        let formed = core.membership().is_some();
        message::encode(&Answer { from: core.me, term, formed, body })
    }
}

impl<M: StateMachine> Core<M> {
    fn receive(&mut self, req: Request, now: Instant) -> Result<Reaction> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        if self.stopping {
            return Err(stopping());
        }
        if req.group != self.cfg.group || req.from.id == self.me.id {
            let (group, id) = (&req.group, req.from.id);
            let detail = format!("message of replica {id} of group {group} is not for this one");
            return Err(Error::new(ErrorKind::BadRequest, detail));
        }
        let (from, term) = (req.from, req.term);
        match req.body {
            RequestBody::Probe => Ok(self.react(AnswerBody::Ok)),
            RequestBody::Vote(vote) => Ok(self.receive_vote(from, term, vote, now)),
            RequestBody::TakeOver => Ok(self.receive_take_over(term)),
            RequestBody::Heartbeat { to, commit } => {
                if !self.accept_leader(from, term, now) {
                    return Ok(self.react(AnswerBody::StaleTerm));
                }
                // The leader vouches only for what this incarnation has
                // acknowledged to it.
                if to == self.me.incarnation {
                    self.commit_up_to(commit.min(self.log.last_index()));
                }
                Ok(self.react(AnswerBody::Ok))
            }
            RequestBody::Append(append) => {
                if !self.accept_leader(from, term, now) {
                    return Ok(self.react(AnswerBody::StaleTerm));
                }
                self.receive_append(append)
            }
            RequestBody::Piece(piece) => {
                if !self.accept_leader(from, term, now) {
                    return Ok(self.react(AnswerBody::StaleTerm));
                }
                self.receive_piece(piece)
            }
        }
    }

    /// An answer that waits for term and vote only.
    pub fn react(&self, body: AnswerBody) -> Reaction {
        Reaction { body, after: self.disk.hard }
    }

    /// An answer that waits for all that is queued.
    pub fn react_durable(&self, body: AnswerBody) -> Reaction {
        Reaction { body, after: self.disk.queued }
    }

    /// Follows the leader `from` unless its term is over.
    fn accept_leader(&mut self, from: Identity, term: Term, now: Instant) -> bool {
        if term < self.hard.term {
            return false;
        }
        if term == self.hard.term && self.leading.is_some() {
            tracing::error!(group = %self.cfg.group, term, other = from.id, "second leader in a term");
            return false;
        }
        self.follow(term, Some(from.id), now);
        true
    }

    fn receive_vote(
        &mut self,
        from: Identity,
        term: Term,
        vote: VoteRequest,
        now: Instant,
    ) -> Reaction {
        let refused = AnswerBody::Vote { granted: false };
        let held_back = !vote.handed_over && self.hears_leader(now);
        if term < self.hard.term || held_back {
            return self.react(refused);
        }
        let own = (self.log.last_term(), self.log.last_index());
        let up_to_date = (vote.last_term, vote.last_index) >= own;
        if vote.pre_vote {
            return self.react(AnswerBody::Vote { granted: up_to_date });
        }
        if term > self.hard.term {
            self.follow(term, None, now);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        if !free || !up_to_date || self.leading.is_some() {
            return self.react(refused);
        }
        self.set_hard(HardState { term, vote: Some(from) });
        self.put_off_election(now);
        self.react(AnswerBody::Vote { granted: true })
    }

    fn receive_take_over(&mut self, term: Term) -> Reaction {
        if term == self.hard.term && self.leading.is_none() && self.may_lead() {
            self.take_over = true;
        }
        self.react(AnswerBody::Ok)
    }

    fn receive_append(&mut self, req: AppendRequest) -> Result<Reaction> {
        if let Some(next) = self.conflict(&req) {
            return Ok(self.react(AnswerBody::Conflict { next }));
        }
        let verified = req.prev_index + req.entries.len() as u64;
        for (entry, index) in req.entries.into_iter().zip(req.prev_index + 1..) {
            if entry.index != index {
                return Err(Error::new(ErrorKind::BadRequest, "entries out of order"));
            }
            self.take_entry(entry)?;
        }
        let reaction = self.react_durable(AnswerBody::Matches(verified));
        self.commit_up_to(req.commit.min(verified));
        Ok(reaction)
    }

    /// Where the leader should go on if the entry before the new ones is
    /// missing here or another.
    fn conflict(&self, req: &AppendRequest) -> Option<LogIndex> {
        let prev = req.prev_index;
        if prev > self.log.last_index() {
            return Some(self.log.last_index() + 1);
        }
        // All up to the base is committed, hence the same everywhere.
        if prev <= self.log.base() || self.log.term(prev) == Some(req.prev_term) {
            return None;
        }
        Some(self.log.first_of_term(prev).max(self.commit + 1))
    }

    fn take_entry(&mut self, entry: Entry) -> Result<()> {
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
