//! Settings of one replica.

use cyclamenloft_types::{Error, ErrorKind, ReplicaId, Result};
use serde::{Deserialize, Serialize};
use std::{path::PathBuf, time::Duration};

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberKind {
    /// Votes and stores the log and the state.
    Voter,
    /// Votes and stores the log, but never leads.
    Witness,
    /// Stores the log and the state, but doesn't vote.
    Learner,
}

/// One member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member's id inside the group.
    pub id: ReplicaId,
    /// The member's role.
    pub kind: MemberKind,
}

/// Settings of one replica of one group.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) group: Box<str>,
    pub(crate) id: ReplicaId,
    pub(crate) initial_members: Vec<Member>,
    pub(crate) folder: PathBuf,
    pub(crate) heartbeat: Duration,
    pub(crate) election_timeout: Duration,
    pub(crate) early_visibility: bool,
    pub(crate) snapshot_entries: u64,
    pub(crate) snapshot_bytes: usize,
    pub(crate) segment_bytes: u64,
    pub(crate) may_form: bool,
}

/// Size in bytes at which a segment of the log is closed and a new one is
/// started.
const SEGMENT_BYTES: u64 = 8 << 20;

/// Size in bytes of the entries between two snapshots.
const SNAPSHOT_BYTES: usize = 64 << 20;

impl Config {
    /// Returns default settings for replica `id` of `group`, with files under
    /// `folder`.
    #[must_use]
    pub fn new(
        group: impl Into<Box<str>>,
        id: ReplicaId,
        initial_members: impl Into<Vec<Member>>,
        folder: impl Into<PathBuf>,
    ) -> Self {
        Self {
            group: group.into(),
            id,
            initial_members: initial_members.into(),
            folder: folder.into(),
            heartbeat: Duration::from_millis(100),
            election_timeout: Duration::from_millis(500),
            early_visibility: false,
            snapshot_entries: 10_000,
            snapshot_bytes: SNAPSHOT_BYTES,
            segment_bytes: SEGMENT_BYTES,
            may_form: true,
        }
    }

    /// Sets the interval between heartbeats of a leader.
    #[must_use]
    pub fn heartbeat(mut self, heartbeat: Duration) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Sets the election timeout. A follower that gets no message from the
    /// leader starts an election after a random time between one and two
    /// election timeouts; a witness waits two election timeouts longer.
    #[must_use]
    pub fn election_timeout(mut self, timeout: Duration) -> Self {
        self.election_timeout = timeout;
        self
    }

    /// Sets whether the leader can read the effect of entries that are not
    /// committed yet. Proposals are still answered only after the commit.
    #[must_use]
    pub fn early_visibility(mut self, enabled: bool) -> Self {
        self.early_visibility = enabled;
        self
    }

    /// Sets how many entries are applied between two snapshots.
    #[must_use]
    pub fn snapshot_entries(mut self, entries: u64) -> Self {
        self.snapshot_entries = entries;
        self
    }

    /// Sets the size in bytes of the entries that are applied between two snapshots. A snapshot is
    /// taken when either this or [`Self::snapshot_entries`] is reached.
    #[must_use]
    pub fn snapshot_bytes(mut self, bytes: usize) -> Self {
        self.snapshot_bytes = bytes;
        self
    }

    /// Sets the size at which a segment of the log is closed and a new one is
    /// started.
    #[must_use]
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        self.segment_bytes = bytes;
        self
    }

    /// Sets whether this replica may form the group with the initial members. A
    /// replica that may not form it, such as the replacement of a lost host,
    /// waits until a leader admits it, and need not be an initial member.
    #[must_use]
    pub fn may_form(mut self, allowed: bool) -> Self {
        self.may_form = allowed;
        self
    }

    /// Returns the duration of the leader lease, which begins when the leader
    /// sends a message that a majority answers. Followers refuse votes for an
    /// election timeout after they heard from the leader. The lease is shorter,
    /// as a margin for clocks that run at different rates.
    pub(crate) fn lease(&self) -> Duration {
        self.election_timeout * 4 / 5
    }

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadSetting`] with the name of the setting.
    pub fn check(&self) -> Result<()> {
        let bad = |what: String| Err(Error::new(ErrorKind::BadSetting, what));
        if self.may_form && !self.initial_members.iter().any(|m| m.id == self.id) {
            return bad(format!("group {}: replica {} is not a member", self.group, self.id));
        }
        let members = &self.initial_members;
        let is_repeated = |m: &Member| members.iter().filter(|other| other.id == m.id).count() > 1;
        if let Some(m) = members.iter().find(|m| is_repeated(m)) {
            return bad(format!("group {}: replica {} is listed twice", self.group, m.id));
        }
        if self.may_form && !members.iter().any(|m| m.kind == MemberKind::Voter) {
            return bad(format!("group {}: expected at least one voter", self.group));
        }
        if self.election_timeout < self.heartbeat * 3 {
            return bad(format!(
                "election timeout {:?}: expected at least three heartbeats of {:?}",
                self.election_timeout, self.heartbeat
            ));
        }
        if self.snapshot_entries == 0 {
            return bad("snapshot entries: expected at least 1, found 0".into());
        }
        Ok(())
    }
}
