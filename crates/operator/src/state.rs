//! The numbered history of configurations, replicated by the config group.
//!
//! A proposal must have the number after the last accepted one. If the number
//! is taken by the same content, the response is the same as the first time, so
//! that an operator who lost a response can resend the proposal. If it is taken
//! by other content, the response is a conflict that names the author.

use crate::{
    changes::{ChangeTracker, Update, apply_changes, diff_files},
    folder::{ConfigFile, hash_files},
    history::{History, NumberStatus},
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{ConfigNumber, Error, ErrorKind, LogIndex, Result};
use serde::{Deserialize, Serialize};

/// First byte of a snapshot.
const SNAPSHOT_VERSION: u8 = 1;

/// A command that the config group replicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigCommand {
    /// An operator proposes a checked configuration under a number.
    Propose {
        /// The number; one more than the last accepted.
        number: ConfigNumber,
        /// The whole content.
        files: Vec<ConfigFile>,
        /// The operator, shown to operators whose proposal conflicts.
        author: Box<str>,
        /// Wall clock at the proposal, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// Like `Propose`, but contains only the changes against the previous configuration.
    /// The changes are applied only if that configuration, one number lower, is the last
    /// accepted one.
    Amend {
        /// The number; one more than the last accepted.
        number: ConfigNumber,
        /// The files that are new or changed.
        changed: Vec<ConfigFile>,
        /// Names of the removed files.
        removed: Vec<Box<str>>,
        /// Hash of the whole content after the change.
        hash: u64,
        /// The operator, shown to operators whose proposal conflicts.
        author: Box<str>,
        /// Wall clock at the proposal, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
}

/// An accepted configuration in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedConfig {
    /// The number.
    pub number: ConfigNumber,
    /// Hash of the content.
    pub hash: u64,
    /// The operator who proposed the configuration.
    pub author: Box<str>,
    /// Wall clock at the proposal, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// The replicated state of the config group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    files: Vec<ConfigFile>,
    changes: ChangeTracker,
    history: History,
}

impl ConfigState {
    /// Returns the last accepted number; 0 before the first.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.last().map_or(0, |a| a.number)
    }

    /// Returns the hash of the last accepted content.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.last().map_or_else(|| hash_files(&[]), |a| a.hash)
    }

    /// Returns the last accepted configuration; `None` before the first.
    #[must_use]
    pub fn last(&self) -> Option<&AcceptedConfig> {
        self.history.last()
    }

    /// Returns the files of the last accepted configuration, sorted by name.
    #[must_use]
    pub fn files(&self) -> &[ConfigFile] {
        &self.files
    }

    /// Returns the last [`MAX_RECENT`](crate::history::MAX_RECENT) accepted
    /// configurations, oldest first.
    #[must_use]
    pub fn history(&self) -> &[AcceptedConfig] {
        self.history.recent()
    }

    /// Returns whether `number` is taken, and by which configuration.
    #[must_use]
    pub fn number_status(&self, number: ConfigNumber) -> NumberStatus {
        self.history.number_status(number)
    }

    /// Returns the update for a process whose active configuration is `number`:
    /// the files changed since that number, or the whole configuration if those
    /// aren't known or `number` is 0.
    #[must_use]
    pub fn since(&self, number: ConfigNumber) -> Update {
        self.changes.since(number, &self.files, self.number(), self.hash())
    }

    /// Returns the smallest command that proposes `files` under `number`.
    #[must_use]
    pub fn command(
        &self,
        number: ConfigNumber,
        files: Vec<ConfigFile>,
        author: impl Into<Box<str>>,
        at_unix_ms: u64,
    ) -> ConfigCommand {
        let author = author.into();
        let files = sorted(&files);
        // A command under any other number is either refused, or it follows log entries
        // that this replica has not applied yet. Changes relative to the files of this
        // replica would then be wrong.
        if number != self.number() + 1 {
            return ConfigCommand::Propose { number, files, author, at_unix_ms };
        }
        let hash = hash_files(&files);
        let (changed, removed) = diff_files(&self.files, &files);
        ConfigCommand::Amend { number, changed, removed, hash, author, at_unix_ms }
    }

    fn decide(
        &mut self,
        proposal: AcceptedConfig,
        files: Option<Vec<ConfigFile>>,
    ) -> Result<AcceptedConfig> {
        let number = proposal.number;
        match self.number_status(number) {
            NumberStatus::Free if number == self.number() + 1 => self.accept(proposal, files),
            NumberStatus::Free => {
                Err(self.conflict(&format!("expected {}", self.number() + 1), number))
            }
            NumberStatus::Known(same) if same.hash == proposal.hash => Ok(same),
            NumberStatus::Known(other) => {
                let what = format!("taken by {} with content {:016x}", other.author, other.hash);
                Err(self.conflict(&what, number))
            }
            NumberStatus::Unretained => Err(self.conflict("taken too long ago to compare", number)),
        }
    }

    fn accept(
        &mut self,
        accepted: AcceptedConfig,
        files: Option<Vec<ConfigFile>>,
    ) -> Result<AcceptedConfig> {
        let files = files.unwrap_or_default();
        let invalid = |what| Err(Error::new(ErrorKind::InvalidConfig, what));
        if files.is_empty() {
            return invalid("configuration: expected at least one file, found none");
        }
        if files.windows(2).any(|pair| pair[0].name == pair[1].name) {
            return invalid("configuration: expected files of different names");
        }
        if hash_files(&files) != accepted.hash {
            return Err(Error::new(
                ErrorKind::Internal,
                format!(
                    "configuration {}: content hash mismatch after applying the changes",
                    accepted.number
                ),
            ));
        }
        let (changed, removed) = diff_files(&self.files, &files);
        self.changes.record(&changed, &removed, accepted.number);
        self.files = files;
        self.history.push(accepted.clone());
        Ok(accepted)
    }

    fn conflict(&self, what: &str, number: ConfigNumber) -> Error {
        let current = self.last().map_or_else(
            || "none is accepted yet".into(),
            |a| format!("in force is {} by {}, content {:016x}", a.number, a.author, a.hash),
        );
        Error::new(ErrorKind::Conflict, format!("number {number}: {what}; {current}"))
    }

    fn is_consistent(&self) -> bool {
        let is_sorted = |pair: &[ConfigFile]| pair[0].name < pair[1].name;
        let number = self.number();
        self.history.is_consistent()
            && number < ConfigNumber::MAX
            && (number == 0) == self.files.is_empty()
            && self.files.windows(2).all(is_sorted)
            && self.changes.is_consistent_with(&self.files, number)
            && self.hash() == hash_files(&self.files)
    }
}

impl StateMachine for ConfigState {
    type Command = ConfigCommand;
    type Response = Result<AcceptedConfig>;

    fn apply(&mut self, _index: LogIndex, command: &ConfigCommand) -> Result<AcceptedConfig> {
        match command {
            ConfigCommand::Propose { number, files, author, at_unix_ms } => {
                let files = sorted(files);
                let hash = hash_files(&files);
                let (number, at_unix_ms) = (*number, *at_unix_ms);
                let proposal = AcceptedConfig { number, hash, author: author.clone(), at_unix_ms };
                self.decide(proposal, Some(files))
            }
            ConfigCommand::Amend { number, changed, removed, hash, author, at_unix_ms } => {
                let (number, hash, at_unix_ms) = (*number, *hash, *at_unix_ms);
                let proposal = AcceptedConfig { number, hash, author: author.clone(), at_unix_ms };
                let next = number == self.number() + 1;
                let files = next.then(|| apply_changes(&self.files, changed, removed));
                self.decide(proposal, files)
            }
        }
    }

    fn encode(&self) -> Vec<u8> {
        let buf = vec![SNAPSHOT_VERSION];
        postcard::to_extend(self, buf).expect("a state of plain data always encodes")
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        let corrupt = |what: String| Error::new(ErrorKind::Corrupt, what);
        let Some((&SNAPSHOT_VERSION, body)) = bytes.split_first() else {
            let found = bytes.first().map_or("none".into(), ToString::to_string);
            return Err(corrupt(format!(
                "config snapshot: expected version {SNAPSHOT_VERSION}, found {found}"
            )));
        };
        let state: Self =
            postcard::from_bytes(body).map_err(|e| corrupt(format!("config snapshot: {e}")))?;
        if !state.is_consistent() {
            return Err(corrupt("config snapshot: inconsistent state".into()));
        }
        Ok(state)
    }
}

fn sorted(files: &[ConfigFile]) -> Vec<ConfigFile> {
    let mut files = files.to_vec();
    files.sort_by(|a, b| a.name.cmp(&b.name));
    files
}
