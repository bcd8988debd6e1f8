//! Taking in a snapshot that the leader sends in pieces.

use crate::{
    core::Core,
    core::change_unknown,
    entry::{Blob, Snapshot},
    follower::Reaction,
    message::{AnswerBody, PieceRequest},
    state_machine::StateMachine,
    storage::{DiskWrite, Record},
};
use cyclamenloft_types::{LogIndex, Result};

/// A snapshot of which some pieces have come.
#[derive(Debug)]
pub(crate) struct Incoming {
    index: LogIndex,
    crc: u32,
    bytes: Vec<u8>,
}

impl Incoming {
    fn is_of(&self, piece: &PieceRequest) -> bool {
        self.index == piece.index && self.crc == piece.crc
    }
}

impl<M: StateMachine> Core<M> {
    /// Takes a piece and says which one should come next; the last one makes
    /// the snapshot this replica's state.
    pub fn receive_piece(&mut self, piece: PieceRequest) -> Result<Reaction> {
        let has_state = self.membership().is_some();
        if piece.index <= self.commit && has_state {
            self.incoming = None;
            return Ok(self.react_durable(AnswerBody::Matches(piece.index)));
        }
        if !self.incoming.as_ref().is_some_and(|i| i.is_of(&piece)) {
            self.incoming =
                Some(Incoming { index: piece.index, crc: piece.crc, bytes: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else {
            return Ok(self.react(AnswerBody::NextPiece(0)));
        };
        if piece.offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(&piece.bytes.0);
        }
        let length = incoming.bytes.len() as u64;
        if length < piece.total_bytes {
            return Ok(self.react(AnswerBody::NextPiece(length)));
        }
        let bytes = std::mem::take(&mut incoming.bytes);
        self.incoming = None;
        if crc32fast::hash(&bytes) != piece.crc {
            return Ok(self.react(AnswerBody::NextPiece(0)));
        }
        let snapshot = Snapshot {
            index: piece.index,
            term: piece.index_term,
            membership: piece.membership,
            data: Blob(bytes.into()),
        };
        self.install(snapshot)?;
        Ok(self.react_durable(AnswerBody::Matches(piece.index)))
    }

    fn install(&mut self, snapshot: Snapshot) -> Result<()> {
        self.machine = M::decode(&snapshot.data.0)?;
        let index = snapshot.index;
        tracing::info!(group = %self.cfg.group, replica = self.me.id, index, "snapshot installed");
        self.write(DiskWrite::Snapshot(snapshot.clone()));
        if self.log.term(index) == Some(snapshot.term) {
            self.log.compact(index);
            self.memberships.reset(index, snapshot.membership.clone());
        } else {
            self.memberships.truncate(0);
            self.memberships.reset(index, snapshot.membership.clone());
            self.log.reset(index, snapshot.term);
            self.durable = 0;
            self.write(DiskWrite::Record(Record::Reset { index, term: snapshot.term }));
        }
        self.commit = index;
        self.applied = index;
        self.snapshot = Some(snapshot);
        while let Some(first) = self.proposals.first_entry().filter(|p| *p.key() <= index) {
            let (index, proposal) = first.remove_entry();
            let _ = proposal.tx.send(Err(change_unknown(index)));
        }
        Ok(())
    }
}
