//! The driver task: seeks election when no leader is heard, and keeps the
//! leader's own time limits.

use crate::{
    core::Core,
    entry::{HardState, Identity},
    formation,
    message::{self, Answer, AnswerBody, Request, RequestBody, VoteRequest},
    peer,
    replica::Role,
    shared::Shared,
    state_machine::StateMachine,
    transport::Transport,
};
use cyclamenloft_types::{ReplicaId, Result, Term};
use futures_util::{StreamExt, stream::FuturesUnordered};
use std::{collections::BTreeMap, rc::Rc, time::Instant};

/// What the driver does next.
enum Step {
    /// The replica is over.
    Stop,
    /// No group is known; asks the others whether one was formed.
    Form,
    /// Seeks election.
    Campaign { handed_over: bool },
    /// Nothing before this time.
    Wait(Instant),
}

/// A vote that is being sought.
struct Ballot {
    req: Request,
    voters: Vec<ReplicaId>,
    /// Number of the write that makes the candidate's own vote durable.
    after: u64,
}

impl<M: StateMachine> Core<M> {
    fn next_step(&mut self, now: Instant) -> Step {
        if self.is_over() {
            return Step::Stop;
        }
        self.check_quorum(now);
        self.expire_proposals(now);
        if self.leading.is_some() {
            self.maintain_members(now);
            return Step::Wait(now + self.cfg.heartbeat);
        }
        if self.membership().is_none() {
            return Step::Form;
        }
        let handed_over = std::mem::take(&mut self.take_over);
        let votes = self.membership().is_some_and(|m| m.is_voter(self.me));
        if votes && (handed_over || now >= self.election_at) {
            self.put_off_election(now);
            return Step::Campaign { handed_over };
        }
        let next = if votes { self.election_at } else { now + self.cfg.heartbeat };
        Step::Wait(next.min(now + self.cfg.heartbeat))
    }

    fn ballot(&mut self, pre_vote: bool, handed_over: bool, now: Instant) -> Option<Ballot> {
        if self.is_over() || self.leading.is_some() {
            return None;
        }
        let heard = self.hears_leader(now) && !handed_over;
        if heard && !pre_vote {
            return None;
        }
        let term = self.hard.term + 1;
        if !pre_vote {
            self.set_hard(HardState { term, vote: Some(self.me) });
            self.role = Role::Candidate;
            self.leader = None;
            self.incoming = None;
        }
        let vote = VoteRequest {
            pre_vote,
            handed_over,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let voters = self.membership()?.voters().map(|m| m.id).filter(|id| *id != self.me.id);
        Some(Ballot {
            voters: voters.collect(),
            after: self.disk.queued,
            req: Request {
                group: self.cfg.group.clone(),
                from: self.me,
                term,
                body: RequestBody::Vote(vote),
            },
        })
    }

    /// The other members, from the settings and from the log.
    fn peer_ids(&self) -> Vec<ReplicaId> {
        let settings = self.cfg.initial_members.iter().map(|m| m.id);
        let log = self.membership().into_iter().flat_map(|m| m.members()).map(|m| m.id);
        settings.chain(log).filter(|id| *id != self.me.id).collect()
    }

    fn wins_with(&self, granted: &[Identity]) -> bool {
        self.membership().is_some_and(|m| m.has_quorum(|id| id == self.me || granted.contains(&id)))
    }

    /// Takes office if the election of `term` is still on.
    fn take_office(&mut self, term: Term, now: Instant) {
        if self.role == Role::Candidate && self.hard.term == term && !self.is_over() {
            self.lead(now);
        }
    }
}

/// Runs until the replica is over.
pub(crate) async fn run<M: StateMachine>(shared: Rc<Shared<M>>, transport: Rc<impl Transport>) {
    let mut peers = BTreeMap::new();
    loop {
        let seen = shared.standing.seen();
        for id in shared.core().peer_ids() {
            let (shared, transport) = (&shared, &transport);
            peers.entry(id).or_insert_with(|| {
                compio::runtime::spawn(peer::run(shared.clone(), transport.clone(), id))
            });
        }
        match shared.with(|core| core.next_step(Instant::now())) {
            Step::Stop => return,
            Step::Form => formation::form(&shared, &*transport).await,
            Step::Campaign { handed_over } => campaign(&shared, &*transport, handed_over).await,
            Step::Wait(until) => {
                let _ = compio::time::timeout_at(until, shared.standing.wait(seen)).await;
            }
        }
    }
}

async fn campaign<M: StateMachine>(
    shared: &Shared<M>,
    transport: &impl Transport,
    handed_over: bool,
) {
    if !handed_over && !is_elected(shared, transport, true, false).await {
        shared.with(|core| core.ask_again_soon(Instant::now()));
        return;
    }
    let Some(term) = shared.with(|core| (!core.is_over()).then_some(core.hard.term + 1)) else {
        return;
    };
    if is_elected(shared, transport, false, handed_over).await {
        shared.with(|core| core.take_office(term, Instant::now()));
    } else {
        shared.with(|core| core.seek_again_soon(Instant::now()));
    }
}

/// Asks the other voters for their votes until a majority has granted them or
/// the time is over.
async fn is_elected<M: StateMachine>(
    shared: &Shared<M>,
    transport: &impl Transport,
    pre_vote: bool,
    handed_over: bool,
) -> bool {
    let Some(ballot) = shared.with(|core| core.ballot(pre_vote, handed_over, Instant::now()))
    else {
        return false;
    };
    if shared.wait_durable(ballot.after).await.is_err() {
        return false;
    }
    let Ok(request) = message::encode(&ballot.req) else { return false };
    let deadline = Instant::now() + shared.core().cfg.election_timeout;
    let mut calls: FuturesUnordered<_> =
        ballot.voters.iter().map(|id| transport.call(*id, request.clone())).collect();
    let mut granted = Vec::new();
    while !shared.core().wins_with(&granted) {
        let Ok(Some(answer)) = compio::time::timeout_at(deadline, calls.next()).await else {
            return false;
        };
        granted.extend(take_vote(shared, &ballot, answer));
    }
    true
}

fn take_vote<M: StateMachine>(
    shared: &Shared<M>,
    ballot: &Ballot,
    answer: Result<Vec<u8>>,
) -> Option<Identity> {
    let answer = Answer::decode(&answer.ok()?).ok()?;
    shared.with(|core| {
        if answer.term > core.hard.term && answer.term > ballot.req.term {
            core.follow(answer.term, None, Instant::now());
        }
    });
    (answer.body == AnswerBody::Vote { granted: true }).then_some(answer.from)
}
