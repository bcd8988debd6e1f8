//! State that the sections of a configuration share while it is read: the
//! files, the problems found so far, and the recorded keys.

use crate::{
    folder::ConfigFile,
    keys::KeyRow,
    merge::{FileSpan, Leaf},
    report::{ConfigReport, Problem, ProblemKind},
};
use cyclamenloft_types::MAX_NAME_BYTES;
use std::cell::RefCell;

/// Minimum similarity, from 0 to 1, of a key that is suggested for an unknown
/// one.
const MIN_SIMILARITY: f64 = 0.5;

/// State that all sections of one configuration share.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    files: &'a [ConfigFile],
    report: RefCell<ConfigReport>,
    rows: RefCell<Option<Vec<KeyRow>>>,
}

impl<'a> Context<'a> {
    /// Creates a context for reading a configuration.
    pub(crate) fn new(files: &'a [ConfigFile]) -> Self {
        Self { files, report: RefCell::default(), rows: RefCell::new(None) }
    }

    /// Creates a context that records every key that is read.
    pub(crate) fn recording() -> Context<'static> {
        Context { files: &[], report: RefCell::default(), rows: RefCell::new(Some(Vec::new())) }
    }

    pub(crate) fn is_recording(&self) -> bool {
        self.rows.borrow().is_some()
    }

    pub(crate) fn record(&self, row: KeyRow) {
        if let Some(rows) = self.rows.borrow_mut().as_mut() {
            rows.push(row);
        }
    }

    pub(crate) fn into_report(self) -> ConfigReport {
        self.report.into_inner()
    }

    pub(crate) fn into_rows(self) -> Vec<KeyRow> {
        self.rows.into_inner().unwrap_or_default()
    }
}

impl Context<'_> {
    pub(crate) fn report_wrong_type(
        &self,
        dotted_key: &str,
        key: &str,
        leaf: &Leaf,
        expected: &str,
    ) {
        let message = format!("expected {expected}, found {}", leaf.value.described());
        self.report_key_problem(ProblemKind::WrongType, &leaf.span, dotted_key, key, &message);
    }

    pub(crate) fn report_key_problem(
        &self,
        kind: ProblemKind,
        span: &FileSpan,
        dotted_key: &str,
        key: &str,
        message: &str,
    ) {
        let text = format!("key \"{key}\" in {}: {message}", self.files[span.file].name);
        self.report_at(kind, span, dotted_key, text);
    }

    pub(crate) fn report_problem(
        &self,
        kind: ProblemKind,
        span: &FileSpan,
        dotted_key: &str,
        message: &str,
    ) {
        let text = format!("{message} (in {})", self.files[span.file].name);
        self.report_at(kind, span, dotted_key, text);
    }

    fn report_at(&self, kind: ProblemKind, span: &FileSpan, dotted_key: &str, text: String) {
        let file = &self.files[span.file];
        let problem = Problem::new(kind, text).at(file, span.range.clone()).key(dotted_key);
        self.report.borrow_mut().push(problem);
    }

    pub(crate) fn report_unknown_key(
        &self,
        span: &FileSpan,
        dotted_key: &str,
        key: &str,
        message: &str,
        help: String,
    ) {
        let shown: String = key.chars().take(MAX_NAME_BYTES).collect();
        let file = &self.files[span.file];
        let text = format!("key {shown:?} in {}: {message}", file.name);
        let problem = Problem::new(ProblemKind::UnknownKey, text);
        let problem = problem.at(file, span.range.clone()).key(dotted_key).help(help);
        self.report.borrow_mut().push(problem);
    }
}

/// Joins a path and a key; a key that is not a bare key in TOML is quoted.
pub(crate) fn join(path: &str, key: &str) -> Box<str> {
    let bare = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    let quoted = key.is_empty() || !key.chars().all(bare);
    match (path.is_empty(), quoted) {
        (true, false) => key.into(),
        (true, true) => format!("{key:?}").into(),
        (false, false) => format!("{path}.{key}").into(),
        (false, true) => format!("{path}.{key:?}").into(),
    }
}

/// Returns the known key that is most similar to `key`, if it is similar enough.
pub(crate) fn closest<'k>(key: &str, known: &[&'k str]) -> Option<&'k str> {
    let similarity = |known: &str| strsim::normalized_damerau_levenshtein(key, known);
    let best = known.iter().copied().max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(best) >= MIN_SIMILARITY).then_some(best)
}
