//! The numbered history of configurations, as the config group agrees on it.

use crate::folder::{ConfigFile, hash_files};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{ConfigNumber, Error, ErrorKind, LogIndex, Result};
use serde::{Deserialize, Serialize};

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
}

/// An accepted configuration in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
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
    history: Vec<Accepted>,
}

impl ConfigState {
    /// Number in force; 0 before the first.
    #[must_use]
    pub fn number(&self) -> ConfigNumber {
        self.history.last().map_or(0, |a| a.number)
    }

    /// Content in force.
    #[must_use]
    pub fn files(&self) -> &[ConfigFile] {
        &self.files
    }

    /// The accepted configurations, oldest first.
    #[must_use]
    pub fn history(&self) -> &[Accepted] {
        &self.history
    }

    fn propose(
        &mut self,
        number: ConfigNumber,
        files: &[ConfigFile],
        author: &str,
        at_unix_ms: u64,
    ) -> Result<Accepted> {
        let hash = hash_files(files);
        if number == self.number() + 1 {
            let accepted = Accepted { number, hash, author: author.into(), at_unix_ms };
            self.files = files.to_vec();
            self.history.push(accepted.clone());
            return Ok(accepted);
        }
        match self.history.iter().find(|a| a.number == number) {
            Some(same) if same.hash == hash => Ok(same.clone()),
            Some(other) => Err(Error::new(
                ErrorKind::Conflict,
                format!("number {number} is taken by {} with other content", other.author),
            )),
            None => Err(Error::new(
                ErrorKind::Conflict,
                format!("number {number}: expected {}", self.number() + 1),
            )),
        }
    }
}

impl StateMachine for ConfigState {
    type Command = ConfigCommand;
    type Answer = Result<Accepted>;

    fn apply(&mut self, _index: LogIndex, command: &ConfigCommand) -> Result<Accepted> {
        let ConfigCommand::Propose { number, files, author, at_unix_ms } = command;
        self.propose(*number, files, author, *at_unix_ms)
    }

    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a state of plain data always encodes")
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes)
            .map_err(|e| Error::new(ErrorKind::Corrupt, format!("config snapshot: {e}")))
    }
}
