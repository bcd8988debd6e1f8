//! Installs a snapshot that the leader sends in pieces.

use crate::{
    core::Core,
    core::change_unknown_error,
    entry::{Blob, Snapshot},
    follower::PendingResponse,
    message::{PieceRequest, ResponseBody},
    state_machine::StateMachine,
    storage::{DiskWrite, Record},
};
use cyclamenloft_types::{LogIndex, Result};

/// A snapshot of which some pieces have arrived.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    index: LogIndex,
    crc: u32,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    fn matches(&self, piece: &PieceRequest) -> bool {
        self.index == piece.index && self.crc == piece.crc
    }
}

impl<M: StateMachine> Core<M> {
    /// Adds a piece and returns which one should come next. After the last
    /// piece, the snapshot becomes this replica's state.
    pub fn receive_piece(&mut self, piece: PieceRequest) -> Result<PendingResponse> {
        let has_state = self.membership().is_some();
        if piece.index <= self.commit && has_state {
            self.incoming_snapshot = None;
            return Ok(self.respond_when_durable(ResponseBody::Matches(piece.index)));
        }
        if !self.incoming_snapshot.as_ref().is_some_and(|i| i.matches(&piece)) {
            self.incoming_snapshot =
                Some(IncomingSnapshot { index: piece.index, crc: piece.crc, bytes: Vec::new() });
        }
        let Some(incoming_snapshot) = &mut self.incoming_snapshot else {
            return Ok(self.respond(ResponseBody::NextPiece(0)));
        };
        if piece.offset == incoming_snapshot.bytes.len() as u64 {
            incoming_snapshot.bytes.extend_from_slice(&piece.bytes.0);
        }
        let length = incoming_snapshot.bytes.len() as u64;
        if length < piece.total_bytes {
            return Ok(self.respond(ResponseBody::NextPiece(length)));
        }
        let bytes = std::mem::take(&mut incoming_snapshot.bytes);
        self.incoming_snapshot = None;
        if crc32fast::hash(&bytes) != piece.crc {
            return Ok(self.respond(ResponseBody::NextPiece(0)));
        }
        let snapshot = Snapshot {
            index: piece.index,
            term: piece.index_term,
            membership: piece.membership,
            data: Blob(bytes.into()),
        };
        self.install(snapshot)?;
        Ok(self.respond_when_durable(ResponseBody::Matches(piece.index)))
    }

    fn install(&mut self, snapshot: Snapshot) -> Result<()> {
        self.state_machine = M::decode(&snapshot.data.0)?;
        let index = snapshot.index;
        tracing::info!(group = %self.cfg.group, replica = self.me.id, index, "snapshot installed");
        self.queue_write(DiskWrite::Snapshot(snapshot.clone()));
        if self.log.term(index) == Some(snapshot.term) {
            self.log.compact(index);
            self.memberships.reset(index, snapshot.membership.clone());
        } else {
            self.memberships.truncate(0);
            self.memberships.reset(index, snapshot.membership.clone());
            self.log.reset(index, snapshot.term);
            self.durable = 0;
            self.queue_write(DiskWrite::Record(Record::Reset { index, term: snapshot.term }));
        }
        self.commit = index;
        self.applied = index;
        self.unsnapshotted_bytes = 0;
        self.snapshot = Some(snapshot);
        while let Some(first) = self.proposals.first_entry().filter(|p| *p.key() <= index) {
            let (index, proposal) = first.remove_entry();
            let _ = proposal.tx.send(Err(change_unknown_error(index)));
        }
        Ok(())
    }
}
