//! The numbered history of configurations, as the config group agrees on it.
//!
//! A proposal must bear the number after the last accepted one. A number that
//! is taken gives the same answer again for the same content, so that an
//! operator who lost an answer may resend; for other content it is a conflict
//! that names who holds the number.

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

/// A change that the config group agrees on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigCommand {
    /// An operator proposes a checked configuration under a number.
    Propose {
        /// The number; one more than the last accepted.
        number: ConfigNumber,
        /// The whole content.
        files: Vec<ConfigFile>,
        /// Who proposes, for the losers of a race.
        author: Box<str>,
        /// Wall clock at the proposal, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// The same, as what changes against the configuration one number lower,
    /// which is the only one that it can be accepted after.
    Amend {
        /// The number; one more than the last accepted.
        number: ConfigNumber,
        /// The files that are new or changed.
        changed: Vec<ConfigFile>,
        /// Names of the files that are left out.
        removed: Vec<Box<str>>,
        /// Hash of the whole content that follows.
        hash: u64,
        /// Who proposes, for the losers of a race.
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
    /// Who proposed it.
    pub author: Box<str>,
    /// Wall clock at the proposal, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// The state of the config group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    files: Vec<ConfigFile>,
    changes: ChangeTracker,
    history: History,
}

impl ConfigState {
    /// Number in force; 0 before the first.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.last().map_or(0, |a| a.number)
    }

    /// Hash of the content in force.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.last().map_or_else(|| hash_files(&[]), |a| a.hash)
    }

    /// The configuration in force; `None` before the first.
    #[must_use]
    pub fn last(&self) -> Option<&AcceptedConfig> {
        self.history.last()
    }

    /// Content in force, sorted by name.
    #[must_use]
    pub fn files(&self) -> &[ConfigFile] {
        &self.files
    }

    /// The last [`MAX_RECENT`](crate::history::MAX_RECENT) accepted configurations,
    /// oldest first.
    #[must_use]
    pub fn history(&self) -> &[AcceptedConfig] {
        self.history.recent()
    }

    /// Who holds `number`.
    #[must_use]
    pub fn number_status(&self, number: ConfigNumber) -> NumberStatus {
        self.history.number_status(number)
    }

    /// What a process that has `number` in force lacks: the files changed
    /// since, or the whole where that isn't known or `number` is 0.
    #[must_use]
    pub fn since(&self, number: ConfigNumber) -> Update {
        self.changes.since(number, &self.files, self.number(), self.hash())
    }

    /// The shortest command that proposes `files` under `number`.
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
        // Another number is refused, or follows entries not applied here yet.
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
            NumberStatus::Forgotten => Err(self.conflict("taken too long ago to compare", number)),
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
                format!("configuration {}: the changes don't give its content", accepted.number),
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
            return Err(corrupt("config snapshot: its parts contradict each other".into()));
        }
        Ok(state)
    }
}

fn sorted(files: &[ConfigFile]) -> Vec<ConfigFile> {
    let mut files = files.to_vec();
    files.sort_by(|a, b| a.name.cmp(&b.name));
    files
}
