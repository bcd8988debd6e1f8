//! The origins of the values of a configuration, and the differences between
//! two configurations.

use crate::{
    context::join,
    folder::{CheckedConfig, ConfigFile},
    merge::{FileSpan, Node, Tree, merge_files},
    report::{ConfigReport, Position},
};
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, collections::BTreeMap};

/// A line in a file of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The file's name.
    pub file: Box<str>,
    /// Line number, from 1.
    pub line: u32,
}

/// The origin of one value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The dotted key, such as `services.matchdesk.slots`.
    pub key: Box<str>,
    /// The value in TOML syntax.
    pub value: Box<str>,
    /// Location of the value.
    pub place: Location,
    /// Locations of the values that this one overrides, oldest first.
    pub overrides: Vec<Location>,
}

/// A key that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The dotted key.
    pub key: Box<str>,
    /// The difference.
    #[serde(flatten)]
    pub change: Change,
}

/// The difference of a key between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// Only the later configuration sets the key.
    Added {
        /// Its value.
        value: Box<str>,
    },
    /// Only the earlier configuration sets the key.
    Removed {
        /// Its value.
        value: Box<str>,
    },
    /// Both configurations set the key, to different values.
    Changed {
        /// Value in the earlier configuration.
        from: Box<str>,
        /// Value in the later configuration.
        to: Box<str>,
    },
}

/// Returns the keys whose values differ, sorted by dotted key.
#[must_use]
pub fn diff(earlier: &CheckedConfig, later: &CheckedConfig) -> Vec<KeyChange> {
    let mut old = earlier.origins().into_iter().peekable();
    let mut new = later.origins().into_iter().peekable();
    let mut changes = Vec::new();
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(a), Some(b)) => a.key.cmp(&b.key),
        };
        let a = if order.is_le() { old.next() } else { None };
        let b = if order.is_ge() { new.next() } else { None };
        changes.extend(change(a, b));
    }
}

fn change(old: Option<Origin>, new: Option<Origin>) -> Option<KeyChange> {
    let (key, change) = match (old, new) {
        (Some(a), Some(b)) if a.value == b.value => return None,
        (Some(a), Some(b)) => (a.key, Change::Changed { from: a.value, to: b.value }),
        (Some(a), None) => (a.key, Change::Removed { value: a.value }),
        (None, Some(b)) => (b.key, Change::Added { value: b.value }),
        (None, None) => return None,
    };
    Some(KeyChange { key, change })
}

/// Returns the origin of each value in `files`, sorted by dotted key.
pub(crate) fn origins(files: &[ConfigFile]) -> Vec<Origin> {
    let tree = merge_files(files, &mut ConfigReport::default());
    let files: Vec<LineIndex<'_>> = files.iter().map(LineIndex::new).collect();
    let mut found = Vec::new();
    collect(&files, &tree, "", &mut found);
    found.sort_by(|a, b| a.key.cmp(&b.key));
    found
}

/// The positions of the values of a configuration, by dotted key.
pub(crate) struct ValuePositions<'a> {
    files: &'a [ConfigFile],
    spans: BTreeMap<Box<str>, FileSpan>,
}

impl<'a> ValuePositions<'a> {
    pub(crate) fn new(files: &'a [ConfigFile]) -> Self {
        fn collect(tree: Tree, path: &str, spans: &mut BTreeMap<Box<str>, FileSpan>) {
            for (key, entry) in tree {
                let key = join(path, &key);
                match entry.node {
                    Node::Table(tree) => collect(tree, &key, spans),
                    Node::Leaf(leaf) => drop(spans.insert(key, leaf.span)),
                }
            }
        }
        let mut spans = BTreeMap::new();
        collect(merge_files(files, &mut ConfigReport::default()), "", &mut spans);
        Self { files, spans }
    }

    /// Returns the file and the position of a value.
    pub(crate) fn get(&self, dotted_key: &str) -> Option<(Box<str>, Position)> {
        let span = self.spans.get(dotted_key)?;
        let file = &self.files[span.file];
        Some((file.name.clone(), Position::of(&file.text, span.range.start)))
    }
}

fn collect(files: &[LineIndex<'_>], tree: &Tree, path: &str, found: &mut Vec<Origin>) {
    for (key, entry) in tree {
        let key = join(path, key);
        match &entry.node {
            Node::Table(tree) => collect(files, tree, &key, found),
            Node::Leaf(leaf) => found.push(Origin {
                key,
                value: leaf.value.to_string().into(),
                place: location(files, &leaf.span),
                overrides: leaf.overrides.iter().map(|span| location(files, span)).collect(),
            }),
        }
    }
}

fn location(files: &[LineIndex<'_>], span: &FileSpan) -> Location {
    let file = &files[span.file];
    Location { file: file.name.into(), line: file.line(span.range.start) }
}

/// Index of the line breaks of a file, so that the file is scanned only once for
/// all its locations.
struct LineIndex<'a> {
    name: &'a str,
    /// Byte offsets of the line breaks.
    line_breaks: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    fn new(file: &'a ConfigFile) -> Self {
        let line_breaks = file.text.match_indices('\n').map(|(at, _)| at).collect();
        Self { name: &file.name, line_breaks }
    }

    fn line(&self, offset: usize) -> u32 {
        let before = self.line_breaks.partition_point(|at| *at < offset);
        u32::try_from(before + 1).unwrap_or(u32::MAX)
    }
}
