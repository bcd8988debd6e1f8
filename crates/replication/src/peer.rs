//! The task for one peer. While this replica is leader, the task sends the peer
//! heartbeats and the log, or the snapshot if the log no longer has the entries
//! that the peer needs.
//!
//! Several messages with entries may be in flight at once. When one is lost or
//! refused, sending restarts after the last entry that both logs are known to
//! have in common.

use crate::{
    core::Core,
    entry::{Blob, Identity},
    leader::{LeaderState, Progress},
    membership::UNKNOWN_INCARNATION,
    message::{self, AppendRequest, PieceRequest, Request, RequestBody, Response, ResponseBody},
    shared::Shared,
    state_machine::StateMachine,
    transport::Transport,
};
use cyclamenloft_types::{Error, ErrorKind, LogIndex, ReplicaId, Result, Term};
use futures_util::{
    StreamExt,
    future::{self, Either},
    stream::FuturesUnordered,
};
use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

/// Largest message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Maximum size of the entries or the snapshot piece in a message, in bytes;
/// the rest is left for the other fields.
pub(crate) const MAX_CONTENT_BYTES: usize = MAX_MESSAGE_BYTES - (8 << 10);
/// Lower bound of the adaptive size of the entries or the snapshot piece in a
/// message, in bytes.
const MIN_CONTENT_BYTES: usize = 8 << 10;
/// Largest encoded command, in bytes.
pub const MAX_COMMAND_BYTES: usize = MAX_CONTENT_BYTES - 64;
/// Number of messages with entries that may be in flight to one peer.
const MAX_IN_FLIGHT_MESSAGES: usize = 8;
/// Time limit for the response to a message with entries or a snapshot piece,
/// in election timeouts.
const CONTENT_ELECTION_TIMEOUTS: u32 = 10;

/// A sent message whose response is outstanding.
#[derive(Clone, Copy, Debug)]
struct SentMessage {
    at: Instant,
    term: Term,
    epoch: u64,
    kind: MessageKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageKind {
    Heartbeat,
    Entries,
    Piece,
    TakeOver,
}

impl MessageKind {
    /// Whether messages of this kind contain entries or a snapshot piece. Only
    /// these count as in flight.
    fn has_content(self) -> bool {
        matches!(self, Self::Entries | Self::Piece)
    }
}

struct OutgoingMessage {
    sent: SentMessage,
    request: Vec<u8>,
    timeout: Duration,
}

impl<M: StateMachine> Core<M> {
    /// Returns the next message for `peer` if one is due.
    fn next_message(&mut self, peer: ReplicaId, now: Instant) -> Option<OutgoingMessage> {
        self.membership()?.get(peer)?;
        if self.is_stopped() {
            return None;
        }
        let (last, commit) = (self.log.last_index(), self.commit);
        let is_successor = self.choose_successor(now) == Some(peer);
        let leader_state = self.leader_state.as_mut()?;
        let progress = leader_state.progress_or_insert(peer, last, now);
        let epoch = progress.epoch;
        let (kind, body) = if now >= progress.heartbeat_at {
            progress.heartbeat_at = now + self.cfg.heartbeat;
            let commit = commit.min(progress.matched);
            (MessageKind::Heartbeat, RequestBody::Heartbeat { to: progress.incarnation, commit })
        } else if is_successor && now >= progress.take_over_at {
            progress.take_over_at = now + self.cfg.heartbeat;
            (MessageKind::TakeOver, RequestBody::TakeOver)
        } else {
            self.next_content(peer, now)?
        };
        let (group, from, term) = (self.cfg.group.clone(), self.me, self.hard_state.term);
        let timeout = match kind {
            MessageKind::Heartbeat | MessageKind::TakeOver => self.cfg.election_timeout,
            MessageKind::Entries | MessageKind::Piece => {
                self.cfg.election_timeout * CONTENT_ELECTION_TIMEOUTS
            }
        };
        let request = message::encode(&Request { group, from, term, body }).ok()?;
        Some(OutgoingMessage { sent: SentMessage { at: now, term, epoch, kind }, request, timeout })
    }

    fn next_content(
        &mut self,
        peer: ReplicaId,
        now: Instant,
    ) -> Option<(MessageKind, RequestBody)> {
        let progress = self.leader_state.as_mut()?.peers.get_mut(&peer)?;
        let window = if progress.probing { 1 } else { MAX_IN_FLIGHT_MESSAGES };
        if progress.in_flight >= window || now < progress.retry_at {
            return None;
        }
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            progress.probing = true;
            return self.next_piece(peer, now);
        };
        let entries = self.log.slice(progress.next, progress.content_bytes);
        // While probing, the response to a message without entries shows how
        // far the follower's log agrees with this one. Otherwise, such a
        // message would be useless.
        let is_probe = progress.probing && progress.matched < prev_index;
        if entries.is_empty() && !is_probe {
            return None;
        }
        progress.record_sent(now);
        progress.next += entries.len() as u64;
        let commit = self.commit;
        let append = AppendRequest { prev_index, prev_term, commit, entries };
        Some((MessageKind::Entries, RequestBody::Append(append)))
    }

    fn next_piece(&mut self, peer: ReplicaId, now: Instant) -> Option<(MessageKind, RequestBody)> {
        let progress = self.leader_state.as_mut()?.peers.get_mut(&peer)?;
        if progress.in_flight > 0 {
            return None;
        }
        if progress.sending_snapshot.is_none() {
            progress.sending_snapshot = self.snapshot.clone();
            progress.piece_offset = 0;
        }
        progress.record_sent(now);
        let snapshot = progress.sending_snapshot.as_ref()?;
        let data = &snapshot.data.0;
        let start = usize::try_from(progress.piece_offset).ok()?.min(data.len());
        let end = (start + progress.content_bytes).min(data.len());
        let piece = PieceRequest {
            index: snapshot.index,
            index_term: snapshot.term,
            membership: snapshot.membership.clone(),
            crc: crc32fast::hash(data),
            total_bytes: data.len() as u64,
            offset: start as u64,
            bytes: Blob(data[start..end].into()),
        };
        Some((MessageKind::Piece, RequestBody::Piece(piece)))
    }

    /// Returns the time at which a message to `peer` is due even if nothing
    /// changes until then. Returns `None` if `peer` gets no messages from this
    /// replica.
    fn next_deadline(&self, peer: ReplicaId) -> Option<Instant> {
        self.membership()?.get(peer)?;
        let progress = self.leader_state.as_ref()?.peers.get(&peer)?;
        let has_more = progress.next <= self.log.last_index();
        let retry = has_more && progress.in_flight == 0;
        Some(if retry {
            progress.heartbeat_at.min(progress.retry_at)
        } else {
            progress.heartbeat_at
        })
    }

    fn handle_response(
        &mut self,
        peer: ReplicaId,
        sent: SentMessage,
        response: Result<Response>,
        now: Instant,
    ) {
        if let Ok(response) = &response
            && response.term > self.hard_state.term
        {
            return self.become_follower(response.term, None, now);
        }
        if sent.term != self.hard_state.term {
            return;
        }
        let (heartbeat, last) = (self.cfg.heartbeat, self.log.last_index());
        let Some(progress) = self.leader_state.as_mut().and_then(|l| l.peers.get_mut(&peer)) else {
            return;
        };
        let current = sent.epoch == progress.epoch && sent.kind.has_content();
        if current {
            progress.in_flight = progress.in_flight.saturating_sub(1);
            progress.content_progress_at = now;
        }
        match response {
            Ok(response) if response.from.id == peer && response.term == sent.term => {
                progress.update_incarnation(response.from, last);
                progress.handle_response_body(sent, response.body, last);
                if response.body != ResponseBody::StaleTerm {
                    progress.acked_sent_at = progress.acked_sent_at.max(Some(sent.at));
                }
                progress.restart_if_stuck(sent, self.cfg.election_timeout);
            }
            _ if current => {
                progress.restart(progress.matched + 1);
                progress.retry_at = now + heartbeat;
            }
            _ => {}
        }
        self.advance_commit();
        self.reconcile_members(now);
    }
}

impl Progress {
    /// Restarts sending if the follower returned with another incarnation.
    fn update_incarnation(&mut self, from: Identity, last: LogIndex) {
        if self.incarnation == UNKNOWN_INCARNATION {
            self.incarnation = from.incarnation;
        }
        if self.incarnation != from.incarnation {
            self.incarnation = from.incarnation;
            self.matched = 0;
            self.acked_sent_at = None;
            self.sending_snapshot = None;
            self.restart(last + 1);
        }
    }

    fn record_sent(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.content_progress_at = now;
        }
        self.in_flight += 1;
    }

    /// Restarts sending, with smaller messages, if a heartbeat that was sent
    /// more than `timeout` after the last progress of messages with content was
    /// answered. Those messages were lost, or are too large for a slow link.
    fn restart_if_stuck(&mut self, sent: SentMessage, timeout: Duration) {
        let is_stuck = self.in_flight > 0 && sent.at > self.content_progress_at + timeout;
        if sent.kind == MessageKind::Heartbeat && is_stuck {
            self.content_bytes = (self.content_bytes / 2).max(MIN_CONTENT_BYTES);
            self.restart(self.matched + 1);
        }
    }

    fn handle_response_body(&mut self, sent: SentMessage, body: ResponseBody, last: LogIndex) {
        let current = sent.epoch == self.epoch;
        match body {
            ResponseBody::Matches(index) => {
                self.matched = self.matched.max(index.min(last));
                self.next = self.next.max(self.matched + 1);
                if current {
                    self.probing = false;
                    self.content_bytes = (self.content_bytes * 2).min(MAX_CONTENT_BYTES);
                    self.sending_snapshot = None;
                }
            }
            ResponseBody::Conflict { next } if current => self.restart(next),
            ResponseBody::NextPiece(offset) if current => self.piece_offset = offset,
            ResponseBody::StaleTerm if current => self.restart(self.matched + 1),
            ResponseBody::Conflict { .. }
            | ResponseBody::NextPiece(_)
            | ResponseBody::Ok
            | ResponseBody::StaleTerm
            | ResponseBody::Vote { .. } => {}
        }
    }
}

impl LeaderState {
    /// Drops the progress of followers that are no longer members.
    pub fn retain_peers(&mut self, is_member: impl Fn(ReplicaId) -> bool) {
        self.peers.retain(|id, _| is_member(*id));
    }
}

async fn call(
    transport: &impl Transport,
    peer: ReplicaId,
    out: OutgoingMessage,
) -> (SentMessage, Result<Response>) {
    let response = match compio::time::timeout(out.timeout, transport.call(peer, out.request)).await
    {
        Ok(response) => response.and_then(|bytes| Response::decode(&bytes)),
        Err(_) => {
            let detail = format!("replica {peer} did not answer within {:?}", out.timeout);
            Err(Error::new(ErrorKind::PeerUnreachable, detail))
        }
    };
    (out.sent, response)
}

/// Runs the task for `peer` until the replica stops.
pub(crate) async fn run<M: StateMachine>(
    shared: Rc<Shared<M>>,
    transport: Rc<impl Transport>,
    peer: ReplicaId,
) {
    let mut calls = FuturesUnordered::new();
    while !shared.core().is_stopped() {
        let seen = shared.log.change_count();
        let now = Instant::now();
        while let Some(out) = shared.update(|core| core.next_message(peer, now)) {
            calls.push(call(&*transport, peer, out));
        }
        let due = shared.core().next_deadline(peer);
        let idle = pin!(async {
            match due {
                Some(due) => drop(compio::time::timeout_at(due, shared.log.changed(seen)).await),
                None => shared.log.changed(seen).await,
            }
        });
        if calls.is_empty() {
            idle.await;
        } else if let Either::Left((Some((sent, response)), _)) =
            future::select(calls.next(), idle).await
        {
            shared.update(|core| core.handle_response(peer, sent, response, Instant::now()));
            shared.responses.notify();
        }
    }
}
