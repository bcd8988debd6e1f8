//! The configuration folder: TOML files that are merged in the order of their
//! names.

use crate::{
    context::Context,
    deployment::Deployment,
    merge::merge_files,
    origin::{Origin, origins},
    report::{ConfigReport, Problem, ProblemKind},
    section::Section,
};
use cyclamenloft_types::{Result, check_name};
use serde::{Deserialize, Serialize};
use std::{
    fs::File,
    io::{self, Read as _},
    path::Path,
};
use xxhash_rust::xxh3::Xxh3;

/// Maximum size of one configuration file, in bytes.
pub const MAX_FILE_BYTES: usize = 64 * 1024;
/// Maximum number of files of a configuration.
pub const MAX_FILES: usize = 256;
/// Maximum total size of the files of a configuration, in bytes.
pub const MAX_FOLDER_BYTES: usize = 1024 * 1024;

/// File name extension of configuration files.
const EXTENSION: &str = ".toml";

/// One file of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFile {
    /// Name within the folder, such as `20-matchdesk.toml`.
    pub name: Box<str>,
    /// The file's text.
    pub text: Box<str>,
}

/// A configuration as read, before validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDraft {
    files: Vec<ConfigFile>,
}

/// A validated configuration: every value is typed and in range. The default one
/// has no files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckedConfig {
    files: Vec<ConfigFile>,
    deployment: Deployment,
}

impl ConfigDraft {
    /// Reads every `*.toml` file of a folder, as [`Self::read_folder`] does.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidConfig`](cyclamenloft_types::ErrorKind::InvalidConfig)
    /// with the folder or file.
    pub fn from_folder(folder: &Path) -> Result<Self> {
        Ok(Self::read_folder(folder)?)
    }

    /// Reads every `*.toml` file of a folder. Hidden files and files with
    /// another extension are ignored.
    ///
    /// # Errors
    ///
    /// Reports every file that is unreadable, too large or not UTF-8, or the
    /// folder itself if it can't be read or has no files or too many.
    pub fn read_folder(folder: &Path) -> Result<Self, ConfigReport> {
        let problem = |what: &str| {
            Problem::new(ProblemKind::Folder, format!("folder {}: {what}", folder.display()))
        };
        let names = file_names(folder).map_err(|e| problem(&e.to_string()))?;
        if names.is_empty() {
            return Err(problem("expected at least one .toml file, found none").into());
        }
        if names.len() > MAX_FILES {
            return Err(too_many_files(names.len()).into());
        }
        let mut report = ConfigReport::default();
        let mut files = Vec::new();
        for name in names {
            match read_file(folder, &name) {
                Ok(file) => files.push(file),
                Err(problem) => report.push(*problem),
            }
        }
        report.into_result(Self::from_files(files))
    }

    /// Creates a draft of files from another source, such as an operator's
    /// request.
    #[must_use]
    pub fn from_files(mut files: Vec<ConfigFile>) -> Self {
        files.sort_by(|a, b| a.name.cmp(&b.name));
        Self { files }
    }

    /// Merges the files and validates every value.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidConfig`](cyclamenloft_types::ErrorKind::InvalidConfig)
    /// with file, key, what was expected and what was found, for the first few
    /// problems. [`CheckedConfig::try_from`] reports all of them.
    pub fn check(self) -> Result<CheckedConfig> {
        Ok(CheckedConfig::try_from(self)?)
    }
}

impl TryFrom<ConfigDraft> for CheckedConfig {
    type Error = ConfigReport;

    /// Merges the files and validates every value. All problems are reported.
    fn try_from(draft: ConfigDraft) -> Result<Self, ConfigReport> {
        let files = draft.files;
        let mut report = ConfigReport::default();
        check_limits(&files, &mut report);
        if !report.is_empty() {
            return Err(report);
        }
        let tree = merge_files(&files, &mut report);
        if !report.is_empty() {
            return Err(report);
        }
        let cx = Context::new(&files);
        let deployment = Section::root(&cx, Some(&tree)).read(Deployment::read);
        cx.into_report().into_result(())?;
        Ok(Self { files, deployment })
    }
}

impl CheckedConfig {
    /// Returns the typed content.
    #[must_use]
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the files, sorted by name.
    #[must_use]
    pub fn files(&self) -> &[ConfigFile] {
        &self.files
    }

    /// Returns the hash of names and texts, which distinguishes a resent proposal
    /// from a conflicting one.
    #[must_use]
    pub fn hash(&self) -> u64 {
        hash_files(&self.files)
    }

    /// Returns the origin of each value in the files, sorted by dotted key.
    #[must_use]
    pub fn origins(&self) -> Vec<Origin> {
        origins(&self.files)
    }
}

/// Returns the hash of names and texts. Lengths are hashed too, so that two
/// different lists of files never hash the same bytes.
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

fn file_names(folder: &Path) -> io::Result<Vec<Box<str>>> {
    let mut names = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let name = name.to_string_lossy();
        if name.ends_with(EXTENSION) && !name.starts_with('.') {
            names.push(name.into());
        }
    }
    names.sort();
    Ok(names)
}

fn read_file(folder: &Path, name: &str) -> Result<ConfigFile, Box<Problem>> {
    let problem = |what: String| {
        let message = format!("file {name}: {what}");
        Box::new(Problem::new(ProblemKind::File, message).in_file(name))
    };
    let path = folder.join(name);
    // Opening a named pipe would block until it has a writer.
    if !std::fs::metadata(&path).map_err(|e| problem(e.to_string()))?.is_file() {
        return Err(problem("expected a regular file".into()));
    }
    let mut bytes = Vec::new();
    File::open(&path)
        .and_then(|f| f.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes))
        .map_err(|e| problem(e.to_string()))?;
    if bytes.len() > MAX_FILE_BYTES {
        return Err(Box::new(file_too_large(name)));
    }
    match String::from_utf8(bytes) {
        Ok(text) => Ok(ConfigFile { name: name.into(), text: text.into() }),
        Err(e) => Err(Box::new(not_utf8(name, &e))),
    }
}

fn not_utf8(name: &str, e: &std::string::FromUtf8Error) -> Problem {
    let valid = e.utf8_error().valid_up_to();
    let found = e.as_bytes().get(valid).copied().unwrap_or_default();
    let message = format!("file {name}: expected UTF-8, found byte 0x{found:02x}");
    let text = String::from_utf8_lossy(e.as_bytes()).into();
    // The lossy text equals the file up to the invalid byte, so the byte's position
    // is the same in both.
    let file = ConfigFile { name: name.into(), text };
    Problem::new(ProblemKind::NotUtf8, message).at(&file, valid..valid + 1)
}

fn file_too_large(name: &str) -> Problem {
    let message = format!("file {name}: expected at most {MAX_FILE_BYTES} bytes, found more");
    Problem::new(ProblemKind::TooLarge, message).in_file(name)
}

fn too_many_files(found: usize) -> Problem {
    let message = format!("configuration: expected at most {MAX_FILES} files, found {found}");
    Problem::new(ProblemKind::TooLarge, message)
}

fn check_limits(files: &[ConfigFile], report: &mut ConfigReport) {
    if files.len() > MAX_FILES {
        report.push(too_many_files(files.len()));
    }
    let bytes: usize = files.iter().map(|file| file.text.len()).sum();
    if bytes > MAX_FOLDER_BYTES {
        let message =
            format!("configuration: expected at most {MAX_FOLDER_BYTES} bytes, found {bytes}");
        report.push(Problem::new(ProblemKind::TooLarge, message));
    }
    for file in files {
        if file.text.len() > MAX_FILE_BYTES {
            report.push(file_too_large(&file.name));
        }
        check_file_name(&file.name, report);
    }
    for pair in files.windows(2).filter(|pair| pair[0].name == pair[1].name) {
        let name = &pair[0].name;
        let message = format!("file {name}: the name occurs twice");
        report.push(Problem::new(ProblemKind::DuplicateName, message).in_file(name));
    }
}

fn check_file_name(name: &str, report: &mut ConfigReport) {
    let message = match check_name("file", name) {
        Err(e) => e.detail,
        Ok(_) if !name.ends_with(EXTENSION) || name.starts_with('.') => {
            format!("file {name:?}: expected a name such as \"20-matchdesk.toml\"").into()
        }
        Ok(_) => return,
    };
    report.push(Problem::new(ProblemKind::BadName, message).in_file(name));
}
