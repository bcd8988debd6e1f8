//! What the sections of a configuration share while it is read: the files,
//! the problems found so far, and the keys asked for.

use crate::{
    folder::ConfigFile,
    keys::KeyRow,
    merge::{Leaf, Site},
    report::{ConfigReport, Problem, ProblemKind},
};
use cyclamenloft_types::MAX_NAME_BYTES;
use std::cell::RefCell;

/// Least likeness, from 0 to 1, of a key that is suggested for an unknown one.
const MIN_LIKENESS: f64 = 0.5;

/// What all sections of one configuration share.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    files: &'a [ConfigFile],
    report: RefCell<ConfigReport>,
    rows: RefCell<Option<Vec<KeyRow>>>,
}

impl<'a> Context<'a> {
    /// Reads a configuration.
    pub(crate) fn new(files: &'a [ConfigFile]) -> Self {
        Self { files, report: RefCell::default(), rows: RefCell::new(None) }
    }

    /// Records the keys that are asked for.
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
    pub(crate) fn wrong_type(&self, dotted: &str, key: &str, leaf: &Leaf, expected: &str) {
        let message = format!("expected {expected}, found {}", leaf.value.described());
        self.key_problem(ProblemKind::WrongType, &leaf.site, dotted, key, &message);
    }

    pub(crate) fn key_problem(
        &self,
        kind: ProblemKind,
        site: &Site,
        dotted: &str,
        key: &str,
        what: &str,
    ) {
        let text = format!("key \"{key}\" in {}: {what}", self.files[site.file].name);
        self.report_at(kind, site, dotted, text);
    }

    pub(crate) fn problem(&self, kind: ProblemKind, site: &Site, dotted: &str, what: &str) {
        let text = format!("{what} (in {})", self.files[site.file].name);
        self.report_at(kind, site, dotted, text);
    }

    fn report_at(&self, kind: ProblemKind, site: &Site, dotted: &str, text: String) {
        let file = &self.files[site.file];
        let problem = Problem::new(kind, text).at(file, site.span.clone()).key(dotted);
        self.report.borrow_mut().push(problem);
    }

    pub(crate) fn unknown_key(
        &self,
        site: &Site,
        dotted: &str,
        key: &str,
        what: &str,
        help: String,
    ) {
        let shown: String = key.chars().take(MAX_NAME_BYTES).collect();
        let file = &self.files[site.file];
        let text = format!("key {shown:?} in {}: {what}", file.name);
        let problem = Problem::new(ProblemKind::UnknownKey, text);
        let problem = problem.at(file, site.span.clone()).key(dotted).help(help);
        self.report.borrow_mut().push(problem);
    }
}

/// Joins a path and a key; a key that TOML would not take bare is quoted.
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

/// The known key that is most like `key`.
pub(crate) fn nearest<'k>(key: &str, known: &[&'k str]) -> Option<&'k str> {
    let likeness = |known: &str| strsim::normalized_damerau_levenshtein(key, known);
    let best = known.iter().copied().max_by(|a, b| likeness(a).total_cmp(&likeness(b)))?;
    (likeness(best) >= MIN_LIKENESS).then_some(best)
}
