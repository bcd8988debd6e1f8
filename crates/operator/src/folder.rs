//! The configuration folder: small TOML files, merged in the order of their names.

use crate::deployment::{Deployment, RawDeployment};
use cyclamenloft_types::{Error, ErrorKind, Result};
use serde::{Deserialize, Serialize};
use std::path::Path;
use toml::{Table, Value};
use xxhash_rust::xxh3::Xxh3;

/// One file of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFile {
    /// Name inside the folder, such as `20-matchdesk.toml`.
    pub name: Box<str>,
    /// The file's text.
    pub text: Box<str>,
}

/// A configuration as read, not checked yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    files: Vec<ConfigFile>,
}

/// A configuration whose every value is typed and in range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checked {
    files: Vec<ConfigFile>,
    deployment: Deployment,
}

impl Draft {
    /// Reads every `*.toml` file of a folder.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidConfig`] naming the folder or file.
    pub fn from_folder(folder: &Path) -> Result<Self> {
        let bad = |path: &Path, what: String| {
            Error::new(ErrorKind::InvalidConfig, format!("{}: {what}", path.display()))
        };
        let entries = std::fs::read_dir(folder).map_err(|e| bad(folder, e.to_string()))?;
        let mut files = Vec::new();
        for entry in entries {
            let path = entry.map_err(|e| bad(folder, e.to_string()))?.path();
            if path.extension().is_none_or(|e| e != "toml") {
                continue;
            }
            let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default();
            let text = std::fs::read_to_string(&path).map_err(|e| bad(&path, e.to_string()))?;
            files.push(ConfigFile { name: name.into(), text: text.into() });
        }
        if files.is_empty() {
            return Err(bad(folder, "expected at least one .toml file, found none".into()));
        }
        Ok(Self::from_files(files))
    }

    /// Takes files from elsewhere, such as an operator's request.
    #[must_use]
    pub fn from_files(mut files: Vec<ConfigFile>) -> Self {
        files.sort_by(|a, b| a.name.cmp(&b.name));
        Self { files }
    }

    /// Merges the files and checks every value.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidConfig`] naming file, key, what was expected and what
    /// was found.
    pub fn check(self) -> Result<Checked> {
        let mut merged = Table::new();
        for file in &self.files {
            let table: Table = file
                .text
                .parse()
                .map_err(|e| Error::new(ErrorKind::InvalidConfig, format!("{}: {e}", file.name)))?;
            merge(&mut merged, table);
        }
        let raw: RawDeployment = Value::Table(merged)
            .try_into()
            .map_err(|e| Error::new(ErrorKind::InvalidConfig, e.to_string()))?;
        Ok(Checked { files: self.files, deployment: raw.try_into()? })
    }
}

impl Checked {
    /// The typed content.
    #[must_use]
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// The files, in the order of their names.
    #[must_use]
    pub fn files(&self) -> &[ConfigFile] {
        &self.files
    }

    /// Hash of names and texts, by which a repetition is told from a conflict.
    #[must_use]
    pub fn hash(&self) -> u64 {
        hash_files(&self.files)
    }
}

/// Hash of names and texts; lengths are included so that no two lists of files
/// read the same.
#[must_use]
pub fn hash_files(files: &[ConfigFile]) -> u64 {
    let mut hasher = Xxh3::new();
    for file in files {
        for part in [&file.name, &file.text] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
    }
    hasher.digest()
}

fn merge(into: &mut Table, from: Table) {
    for (key, value) in from {
        match (into.get_mut(&key), value) {
            (Some(Value::Table(old)), Value::Table(new)) => merge(old, new),
            (_, value) => {
                into.insert(key, value);
            }
        }
    }
}
