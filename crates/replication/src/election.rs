//! The driver task: forms the group, starts an election when no leader has been
//! heard from for too long, and on the leader checks that a majority still
//! responds.

use crate::{
    core::Core,
    entry::{HardState, Identity},
    formation,
    message::{self, Request, RequestBody, Response, ResponseBody, VoteRequest},
    peer,
    replica::Role,
    shared::Shared,
    state_machine::StateMachine,
    transport::Transport,
};
use cyclamenloft_types::{ReplicaId, Result, Term};
use futures_util::{StreamExt, stream::FuturesUnordered};
use std::{collections::BTreeMap, rc::Rc, time::Instant};

/// Time limit of a pre-vote, in heartbeats: an election timeout at most, and many times as long
/// as an answer takes.
const PRE_VOTE_HEARTBEATS: u32 = 3;

/// The next step of the driver.
enum Step {
    /// The replica has stopped.
    Stop,
    /// No membership is known; probes the other replicas and may form the
    /// group.
    Form,
    /// Stands for election.
    Campaign { handed_over: bool },
    /// Waits until this time.
    Wait(Instant),
}

/// A vote or pre-vote that is in progress.
struct VoteRound {
    req: Request,
    voters: Vec<ReplicaId>,
    /// Number of the write that makes the candidate's own vote durable.
    after_write: u64,
}

impl<M: StateMachine> Core<M> {
    fn next_step(&mut self, now: Instant) -> Step {
        if self.is_stopped() {
            return Step::Stop;
        }
        self.check_quorum(now);
        self.expire_proposals(now);
        if self.leader_state.is_some() {
            self.reconcile_members(now);
            return Step::Wait(now + self.cfg.heartbeat);
        }
        if self.membership().is_none() {
            return Step::Form;
        }
        let handed_over = std::mem::take(&mut self.take_over_requested);
        let votes = self.membership().is_some_and(|m| m.is_voter(self.me));
        if votes && (handed_over || now >= self.election_at) {
            self.reset_election_timer(now);
            return Step::Campaign { handed_over };
        }
        let next = if votes { self.election_at } else { now + self.cfg.heartbeat };
        Step::Wait(next.min(now + self.cfg.heartbeat))
    }

    fn begin_vote_round(
        &mut self,
        pre_vote: bool,
        handed_over: bool,
        now: Instant,
    ) -> Option<VoteRound> {
        if self.is_stopped() || self.leader_state.is_some() {
            return None;
        }
        let leader_active = self.has_live_leader(now) && !handed_over;
        if leader_active && !pre_vote {
            return None;
        }
        let term = self.hard_state.term + 1;
        if !pre_vote {
            self.set_hard_state(HardState { term, vote: Some(self.me) });
            self.role = Role::Candidate;
            self.leader = None;
            self.incoming_snapshot = None;
        }
        let vote = VoteRequest {
            pre_vote,
            handed_over,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let voters = self.membership()?.voters().map(|m| m.id).filter(|id| *id != self.me.id);
        Some(VoteRound {
            voters: voters.collect(),
            after_write: self.disk.last_queued,
            req: Request {
                group: self.cfg.group.clone(),
                from: self.me,
                term,
                body: RequestBody::Vote(vote),
            },
        })
    }

    /// Returns the other members, from the settings and from the log.
    fn peer_ids(&self) -> Vec<ReplicaId> {
        let settings = self.cfg.initial_members.iter().map(|m| m.id);
        let log = self.membership().into_iter().flat_map(|m| m.members()).map(|m| m.id);
        settings.chain(log).filter(|id| *id != self.me.id).collect()
    }

    fn wins_with(&self, granted: &[Identity]) -> bool {
        self.membership().is_some_and(|m| m.has_quorum(|id| id == self.me || granted.contains(&id)))
    }

    /// Returns whether a majority may still be reached with the voters that have granted their
    /// vote and those that have not answered.
    fn may_win_with(&self, granted: &[Identity], pending: &[ReplicaId]) -> bool {
        let counts =
            |id: Identity| id == self.me || granted.contains(&id) || pending.contains(&id.id);
        self.membership().is_some_and(|m| m.has_quorum(counts))
    }

    /// Becomes leader if the election of `term` is still in progress.
    fn become_leader_if_elected(&mut self, term: Term, now: Instant) {
        if self.role == Role::Candidate && self.hard_state.term == term && !self.is_stopped() {
            self.become_leader(now);
        }
    }
}

/// Runs the driver task until the replica stops.
pub(crate) async fn run<M: StateMachine>(shared: Rc<Shared<M>>, transport: Rc<impl Transport>) {
    let mut peers = BTreeMap::new();
    loop {
        let seen = shared.leadership.change_count();
        for id in shared.core().peer_ids() {
            let (shared, transport) = (&shared, &transport);
            peers.entry(id).or_insert_with(|| {
                compio::runtime::spawn(peer::run(shared.clone(), transport.clone(), id))
            });
        }
        match shared.update(|core| core.next_step(Instant::now())) {
            Step::Stop => return,
            Step::Form => formation::form(&shared, &*transport).await,
            Step::Campaign { handed_over } => campaign(&shared, &*transport, handed_over).await,
            Step::Wait(until) => {
                let _ = compio::time::timeout_at(until, shared.leadership.changed(seen)).await;
            }
        }
    }
}

async fn campaign<M: StateMachine>(
    shared: &Shared<M>,
    transport: &impl Transport,
    handed_over: bool,
) {
    if !handed_over && !collect_votes(shared, transport, true, false).await {
        shared.update(|core| core.schedule_pre_vote_retry(Instant::now()));
        return;
    }
    let Some(term) = shared.update(|core| (!core.is_stopped()).then_some(core.hard_state.term + 1))
    else {
        return;
    };
    if collect_votes(shared, transport, false, handed_over).await {
        shared.update(|core| core.become_leader_if_elected(term, Instant::now()));
    } else {
        shared.update(|core| core.schedule_election_retry(Instant::now()));
    }
}

/// Requests votes from the other voters; returns whether a majority has granted
/// them in time. Returns early if the others can't make a majority.
async fn collect_votes<M: StateMachine>(
    shared: &Shared<M>,
    transport: &impl Transport,
    pre_vote: bool,
    handed_over: bool,
) -> bool {
    let Some(round) =
        shared.update(|core| core.begin_vote_round(pre_vote, handed_over, Instant::now()))
    else {
        return false;
    };
    if shared.wait_durable(round.after_write).await.is_err() {
        return false;
    }
    let Ok(request) = message::encode(&round.req) else { return false };
    let timeout = match pre_vote {
        // A pre-vote is repeated at no cost, and a voter that is down answers none.
        true => shared.core().cfg.heartbeat * PRE_VOTE_HEARTBEATS,
        false => shared.core().cfg.election_timeout,
    };
    let deadline = Instant::now() + timeout;
    let call = |id| {
        let call = transport.call(id, request.clone());
        async move { (id, call.await) }
    };
    let mut calls: FuturesUnordered<_> = round.voters.iter().map(|id| call(*id)).collect();
    let mut pending = round.voters.clone();
    let mut granted = Vec::new();
    while !shared.core().wins_with(&granted) {
        if !shared.core().may_win_with(&granted, &pending) {
            return false;
        }
        let Ok(Some((id, response))) = compio::time::timeout_at(deadline, calls.next()).await
        else {
            return false;
        };
        pending.retain(|other| *other != id);
        granted.extend(handle_vote_response(shared, &round, response));
    }
    true
}

fn handle_vote_response<M: StateMachine>(
    shared: &Shared<M>,
    round: &VoteRound,
    response: Result<Vec<u8>>,
) -> Option<Identity> {
    let response = Response::decode(&response.ok()?).ok()?;
    shared.update(|core| {
        if response.term > core.hard_state.term && response.term > round.req.term {
            core.become_follower(response.term, None, Instant::now());
        }
    });
    (response.body == ResponseBody::Vote { granted: true }).then_some(response.from)
}
