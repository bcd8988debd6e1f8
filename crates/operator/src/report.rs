//! Problems of a configuration. A report lists several problems, each with its
//! file, line and column, and is shown to operators through miette.

use crate::folder::ConfigFile;
use cyclamenloft_types::{Error, ErrorKind};
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use serde::{Deserialize, Serialize};
use std::{fmt, ops::Range, sync::Arc};

/// Maximum number of problems that one report lists; the rest are only counted.
pub const MAX_PROBLEMS: usize = 64;

/// Maximum number of problems that are listed when a report is converted to an
/// [`Error`].
const MAX_WIRE_PROBLEMS: usize = 8;

/// The kinds of problems that a configuration can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The folder can't be read or contains no file.
    Folder,
    /// A file can't be read.
    File,
    /// The name of a file, or a name within it, is not allowed.
    BadName,
    /// Two files have the same name.
    DuplicateName,
    /// A file or the whole folder exceeds its limit.
    TooLarge,
    /// A file is not valid UTF-8.
    NotUtf8,
    /// A file is not valid TOML.
    NotToml,
    /// A key does not exist.
    UnknownKey,
    /// A table lacks a required key.
    MissingKey,
    /// A value has the wrong type.
    WrongType,
    /// A value is out of range.
    OutOfRange,
    /// Two values contradict each other.
    Contradiction,
    /// A value or a table can't have an effect.
    NoEffect,
}

/// How serious a problem is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The configuration is not valid.
    #[default]
    Error,
    /// The configuration is valid, but hardly does what is meant.
    Warning,
}

impl Severity {
    pub(crate) fn is_error(&self) -> bool {
        *self == Self::Error
    }
}

/// A position in a file, as shown by editors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Line number, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl Position {
    /// Returns the position of the byte `offset` in `text`.
    #[must_use]
    pub fn of(text: &str, offset: usize) -> Self {
        let mut offset = offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &text[..offset];
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        let line = 1 + before.matches('\n').count();
        let column = 1 + before[start..].chars().count();
        let narrow = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Self { line: narrow(line), column: narrow(column) }
    }
}

/// One problem of a configuration.
#[derive(Clone, Debug)]
pub struct Problem {
    kind: ProblemKind,
    severity: Severity,
    message: Box<str>,
    key: Option<Box<str>>,
    help: Option<Box<str>>,
    file: Option<Box<str>>,
    position: Option<Position>,
    source: Option<NamedSource<Arc<str>>>,
    span: Option<SourceSpan>,
}

impl Problem {
    pub(crate) fn new(kind: ProblemKind, message: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            severity: Severity::Error,
            message: message.into(),
            key: None,
            help: None,
            file: None,
            position: None,
            source: None,
            span: None,
        }
    }

    pub(crate) fn warning(kind: ProblemKind, message: impl Into<Box<str>>) -> Self {
        Self { severity: Severity::Warning, ..Self::new(kind, message) }
    }

    pub(crate) fn in_file(mut self, name: &str) -> Self {
        self.file = Some(name.into());
        self
    }

    pub(crate) fn at(mut self, file: &ConfigFile, span: Range<usize>) -> Self {
        self.position = Some(Position::of(&file.text, span.start));
        self.source = Some(NamedSource::new(&file.name, Arc::from(&*file.text)));
        self.span = Some(span.into());
        self.in_file(&file.name)
    }

    pub(crate) fn key(mut self, dotted: impl Into<Box<str>>) -> Self {
        self.key = Some(dotted.into());
        self
    }

    pub(crate) fn help(mut self, help: impl Into<Box<str>>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Returns the kind of the problem.
    #[must_use]
    pub const fn kind(&self) -> ProblemKind {
        self.kind
    }

    /// Returns how serious the problem is.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        self.severity
    }

    /// Returns the dotted key with the problem, such as
    /// `services.matchdesk.slots`.
    #[must_use]
    pub fn dotted_key(&self) -> Option<&str> {
        self.key.as_deref()
    }

    /// Returns the name of the file with the problem.
    #[must_use]
    pub fn file(&self) -> Option<&str> {
        self.file.as_deref()
    }

    /// Returns the position in the file.
    #[must_use]
    pub const fn position(&self) -> Option<Position> {
        self.position
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Problem {}

impl Diagnostic for Problem {
    fn severity(&self) -> Option<miette::Severity> {
        Some(match self.severity {
            Severity::Error => miette::Severity::Error,
            Severity::Warning => miette::Severity::Warning,
        })
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.help.as_ref().map(|help| Box::new(help) as Box<dyn fmt::Display>)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.source.as_ref().map(|source| source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = self.key.as_ref().map_or_else(|| "here".to_owned(), ToString::to_string);
        let span = self.span?;
        Some(Box::new(std::iter::once(LabeledSpan::new_with_span(Some(label), span))))
    }
}

/// The problems of one configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigReport {
    problems: Vec<Problem>,
    omitted: usize,
}

impl ConfigReport {
    pub(crate) fn push(&mut self, problem: Problem) {
        if self.problems.len() < MAX_PROBLEMS {
            self.problems.push(problem);
        } else {
            self.omitted += 1;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns `value` if there are no problems, and the report otherwise.
    pub(crate) fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }

    /// Returns the listed problems, at most [`MAX_PROBLEMS`], in the order of
    /// files and keys.
    #[must_use]
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns the number of problems that are not listed.
    #[must_use]
    pub const fn omitted(&self) -> usize {
        self.omitted
    }
}

impl From<Problem> for ConfigReport {
    fn from(problem: Problem) -> Self {
        Self { problems: vec![problem], omitted: 0 }
    }
}

impl fmt::Display for ConfigReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.problems.len() + self.omitted {
            1 => f.write_str("the configuration has 1 problem"),
            n => write!(f, "the configuration has {n} problems"),
        }
    }
}

impl std::error::Error for ConfigReport {}

impl Diagnostic for ConfigReport {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(ErrorKind::InvalidConfig.info().code))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let omitted = self.omitted;
        (omitted > 0).then(|| Box::new(format!("{omitted} more are not listed")) as _)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.problems.iter().map(|p| p as &dyn Diagnostic)))
    }
}

impl From<ConfigReport> for Error {
    /// Converts the report to one line with the first problems and their
    /// positions.
    fn from(report: ConfigReport) -> Self {
        let shown = report.problems.iter().take(MAX_WIRE_PROBLEMS);
        let mut lines: Vec<String> = shown
            .map(|problem| match problem.position {
                Some(at) => format!("{problem} (line {}, column {})", at.line, at.column),
                None => problem.to_string(),
            })
            .collect();
        let more = report.problems.len() + report.omitted - lines.len();
        if more > 0 {
            lines.push(format!("{more} more problems"));
        }
        Self::new(ErrorKind::InvalidConfig, lines.join("; "))
    }
}
