//! The task for one peer: while this replica leads, it sends the peer
//! heartbeats, the log, and the snapshot where the log no longer reaches back
//! far enough.
//!
//! Several messages with entries may be on their way at once. When one is lost
//! or refused, sending begins anew after the last entry that both have.

use crate::{
    core::Core,
    entry::{Blob, Identity},
    leader::{Leading, Progress},
    membership::UNKNOWN_INCARNATION,
    message::{self, Answer, AnswerBody, AppendRequest, PieceRequest, Request, RequestBody},
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
/// Largest share of a message that entries or a snapshot's piece take; the
/// rest is for what goes with them.
pub(crate) const MAX_CONTENT_BYTES: usize = MAX_MESSAGE_BYTES - (8 << 10);
/// Least that a message may carry.
const MIN_CONTENT_BYTES: usize = 8 << 10;
/// Largest encoded command.
pub(crate) const MAX_COMMAND_BYTES: usize = MAX_CONTENT_BYTES - 64;
/// Messages with entries on their way to one peer.
const MAX_IN_FLIGHT: usize = 8;
/// Election timeouts that a message with entries or a piece may take.
const CONTENT_TIMEOUTS: u32 = 10;

/// What a message was, for when its answer comes.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Instant,
    term: Term,
    epoch: u64,
    kind: SentKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SentKind {
    Heartbeat,
    Entries,
    Piece,
    TakeOver,
}

impl SentKind {
    /// Whether the message counts among those in flight.
    fn has_content(self) -> bool {
        matches!(self, Self::Entries | Self::Piece)
    }
}

struct Outgoing {
    sent: Sent,
    request: Vec<u8>,
    timeout: Duration,
}

impl<M: StateMachine> Core<M> {
    /// The next message for `peer`, if one is due.
    fn next_message(&mut self, peer: ReplicaId, now: Instant) -> Option<Outgoing> {
        self.membership()?.get(peer)?;
        if self.is_over() {
            return None;
        }
        let (last, commit) = (self.log.last_index(), self.commit);
        let is_successor = self.choose_successor(now) == Some(peer);
        let leading = self.leading.as_mut()?;
        let progress = leading.progress(peer, last, now);
        let epoch = progress.epoch;
        let (kind, body) = if now >= progress.heartbeat_at {
            progress.heartbeat_at = now + self.cfg.heartbeat;
            let commit = commit.min(progress.matched);
            (SentKind::Heartbeat, RequestBody::Heartbeat { to: progress.incarnation, commit })
        } else if is_successor && now >= progress.take_over_at {
            progress.take_over_at = now + self.cfg.heartbeat;
            (SentKind::TakeOver, RequestBody::TakeOver)
        } else {
            self.next_content(peer, now)?
        };
        let (group, from, term) = (self.cfg.group.clone(), self.me, self.hard.term);
        let timeout = match kind {
            SentKind::Heartbeat | SentKind::TakeOver => self.cfg.election_timeout,
            SentKind::Entries | SentKind::Piece => self.cfg.election_timeout * CONTENT_TIMEOUTS,
        };
        let request = message::encode(&Request { group, from, term, body }).ok()?;
        Some(Outgoing { sent: Sent { at: now, term, epoch, kind }, request, timeout })
    }

    fn next_content(&mut self, peer: ReplicaId, now: Instant) -> Option<(SentKind, RequestBody)> {
        let progress = self.leading.as_mut()?.peers.get_mut(&peer)?;
        let window = if progress.probing { 1 } else { MAX_IN_FLIGHT };
        if progress.in_flight >= window || now < progress.retry_at {
            return None;
        }
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            progress.probing = true;
            return self.next_piece(peer, now);
        };
        let entries = self.log.slice(progress.next, progress.content_bytes);
        // While probing, a message without entries tells how far the follower's
        // log agrees with this one; otherwise it would only repeat the last.
        let is_probe = progress.probing && progress.matched < prev_index;
        if entries.is_empty() && !is_probe {
            return None;
        }
        progress.note_sent(now);
        progress.next += entries.len() as u64;
        let commit = self.commit;
        let append = AppendRequest { prev_index, prev_term, commit, entries };
        Some((SentKind::Entries, RequestBody::Append(append)))
    }

    fn next_piece(&mut self, peer: ReplicaId, now: Instant) -> Option<(SentKind, RequestBody)> {
        let progress = self.leading.as_mut()?.peers.get_mut(&peer)?;
        if progress.in_flight > 0 {
            return None;
        }
        if progress.sending.is_none() {
            progress.sending = self.snapshot.clone();
            progress.piece_offset = 0;
        }
        progress.note_sent(now);
        let snapshot = progress.sending.as_ref()?;
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
        Some((SentKind::Piece, RequestBody::Piece(piece)))
    }

    /// When `peer` is due something even if nothing happens.
    fn next_due(&self, peer: ReplicaId) -> Option<Instant> {
        self.membership()?.get(peer)?;
        let progress = self.leading.as_ref()?.peers.get(&peer)?;
        let has_more = progress.next <= self.log.last_index();
        let retry = has_more && progress.in_flight == 0;
        Some(if retry {
            progress.heartbeat_at.min(progress.retry_at)
        } else {
            progress.heartbeat_at
        })
    }

    fn take_answer(&mut self, peer: ReplicaId, sent: Sent, answer: Result<Answer>, now: Instant) {
        if let Ok(answer) = &answer
            && answer.term > self.hard.term
        {
            return self.follow(answer.term, None, now);
        }
        if sent.term != self.hard.term {
            return;
        }
        let (heartbeat, last) = (self.cfg.heartbeat, self.log.last_index());
        let Some(progress) = self.leading.as_mut().and_then(|l| l.peers.get_mut(&peer)) else {
            return;
        };
        let current = sent.epoch == progress.epoch && sent.kind.has_content();
        if current {
            progress.in_flight = progress.in_flight.saturating_sub(1);
            progress.content_since = now;
        }
        match answer {
            Ok(answer) if answer.from.id == peer && answer.term == sent.term => {
                progress.note_incarnation(answer.from, last);
                progress.take_body(sent, answer.body, last);
                if answer.body != AnswerBody::StaleTerm {
                    progress.answered_sent_at = progress.answered_sent_at.max(Some(sent.at));
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
        self.maintain_members(now);
    }
}

impl Progress {
    /// Begins anew where the follower came back with another disk.
    fn note_incarnation(&mut self, from: Identity, last: LogIndex) {
        if self.incarnation == UNKNOWN_INCARNATION {
            self.incarnation = from.incarnation;
        }
        if self.incarnation != from.incarnation {
            self.incarnation = from.incarnation;
            self.matched = 0;
            self.answered_sent_at = None;
            self.sending = None;
            self.restart(last + 1);
        }
    }

    fn note_sent(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.content_since = now;
        }
        self.in_flight += 1;
    }

    /// Begins anew where a heartbeat was answered that was sent long after
    /// messages that are still not: they were lost on a link that is back.
    fn restart_if_stuck(&mut self, sent: Sent, timeout: Duration) {
        let is_stuck = self.in_flight > 0 && sent.at > self.content_since + timeout;
        if sent.kind == SentKind::Heartbeat && is_stuck {
            self.content_bytes = (self.content_bytes / 2).max(MIN_CONTENT_BYTES);
            self.restart(self.matched + 1);
        }
    }

    fn take_body(&mut self, sent: Sent, body: AnswerBody, last: LogIndex) {
        let current = sent.epoch == self.epoch;
        match body {
            AnswerBody::Matches(index) => {
                self.matched = self.matched.max(index.min(last));
                self.next = self.next.max(self.matched + 1);
                if current {
                    self.probing = false;
                    self.content_bytes = (self.content_bytes * 2).min(MAX_CONTENT_BYTES);
                    self.sending = None;
                }
            }
            AnswerBody::Conflict { next } if current => self.restart(next),
            AnswerBody::NextPiece(offset) if current => self.piece_offset = offset,
            AnswerBody::StaleTerm if current => self.restart(self.matched + 1),
            AnswerBody::Conflict { .. }
            | AnswerBody::NextPiece(_)
            | AnswerBody::Ok
            | AnswerBody::StaleTerm
            | AnswerBody::Vote { .. } => {}
        }
    }
}

impl Leading {
    /// Forgets followers that are members no more.
    pub fn retain(&mut self, is_member: impl Fn(ReplicaId) -> bool) {
        self.peers.retain(|id, _| is_member(*id));
    }
}

async fn call(
    transport: &impl Transport,
    peer: ReplicaId,
    out: Outgoing,
) -> (Sent, Result<Answer>) {
    let answer = match compio::time::timeout(out.timeout, transport.call(peer, out.request)).await {
        Ok(answer) => answer.and_then(|bytes| Answer::decode(&bytes)),
        Err(_) => {
            let detail = format!("replica {peer} did not answer within {:?}", out.timeout);
            Err(Error::new(ErrorKind::PeerUnreachable, detail))
        }
    };
    (out.sent, answer)
}

/// Runs until the replica is over.
pub(crate) async fn run<M: StateMachine>(
    shared: Rc<Shared<M>>,
    transport: Rc<impl Transport>,
    peer: ReplicaId,
) {
    let mut calls = FuturesUnordered::new();
    while !shared.core().is_over() {
        let seen = shared.log.seen();
        let now = Instant::now();
        while let Some(out) = shared.with(|core| core.next_message(peer, now)) {
            calls.push(call(&*transport, peer, out));
        }
        let due = shared.core().next_due(peer);
        let idle = pin!(async {
            match due {
                Some(due) => drop(compio::time::timeout_at(due, shared.log.wait(seen)).await),
                None => shared.log.wait(seen).await,
            }
        });
        if calls.is_empty() {
            idle.await;
        } else if let Either::Left((Some((sent, answer)), _)) =
            future::select(calls.next(), idle).await
        {
            shared.with(|core| core.take_answer(peer, sent, answer, Instant::now()));
            shared.answered.notify();
        }
    }
}
