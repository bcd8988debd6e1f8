//! Reads typed values out of the merged tree. Each key is named once, with its
//! range and default; what is read this way is also what the table of keys
//! ([`known_keys`](crate::keys::known_keys)) lists.

use crate::{
    context::{Context, join, nearest},
    keys::{KeyRow, default_text},
    merge::{Entry, Leaf, Node, Scalar, Site, Tree},
    report::ProblemKind,
    variants::{self, Variants},
};
use cyclamenloft_types::check_name;
use std::{collections::BTreeMap, fmt, ops::RangeInclusive, time::Duration};

/// A table with the place of its key.
#[derive(Clone, Copy, Debug)]
struct Table<'a> {
    tree: &'a Tree,
    site: &'a Site,
}

/// One table of the configuration while it is read.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    cx: &'a Context<'a>,
    tree: Option<&'a Tree>,
    site: Option<&'a Site>,
    path: Box<str>,
    asked: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// The table that holds all others.
    pub(crate) fn root(cx: &'a Context<'a>, tree: Option<&'a Tree>) -> Self {
        Self { cx, tree, site: None, path: "".into(), asked: Vec::new() }
    }

    fn inner(cx: &'a Context<'a>, table: Option<Table<'a>>, path: Box<str>) -> Self {
        let (tree, site) = table.map(|t| (t.tree, t.site)).unzip();
        Self { cx, tree, site, path, asked: Vec::new() }
    }

    /// Reads the section with `read`, then reports the keys not asked for.
    pub(crate) fn read<T>(mut self, read: impl FnOnce(&mut Self) -> T) -> T {
        let value = read(&mut self);
        self.report_unknown();
        value
    }

    /// Reads the table at `key`; absent, it is read as an empty one.
    pub(crate) fn section<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Section<'a>) -> T,
    ) -> T {
        let table = self.table(key);
        Section::inner(self.cx, table, self.dotted(key)).read(read)
    }

    /// Reads the table at `key` if it is there.
    pub(crate) fn optional_section<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Section<'a>) -> T,
    ) -> Option<T> {
        let table = self.table(key);
        let recording = self.cx.is_recording();
        (table.is_some() || recording)
            .then(|| Section::inner(self.cx, table, self.dotted(key)).read(read))
    }

    /// Reads the table at `key`, whose keys are names of `what`, each with a
    /// table of its own.
    pub(crate) fn named<T>(
        &mut self,
        key: &'static str,
        what: &str,
        read: impl Fn(&mut Section<'a>) -> T,
    ) -> BTreeMap<Box<str>, T> {
        let path = self.dotted(key);
        if self.cx.is_recording() {
            Section::inner(self.cx, None, format!("{path}.<{what}>").into()).read(&read);
        }
        let mut read_all = BTreeMap::new();
        for (name, entry) in self.table(key).into_iter().flat_map(|t| t.tree) {
            let dotted = join(&path, name);
            if let Err(e) = check_name(what, name) {
                self.cx.problem(ProblemKind::BadName, &entry.key, &dotted, &e.detail);
                continue;
            }
            match &entry.node {
                Node::Table(tree) => {
                    let table = Table { tree, site: &entry.key };
                    let section = Section::inner(self.cx, Some(table), dotted);
                    read_all.insert(name.clone(), section.read(&read));
                }
                Node::Leaf(leaf) => self.cx.wrong_type(&dotted, name, leaf, "a table"),
            }
        }
        read_all
    }

    /// Reads an integer within `range`.
    pub(crate) fn integer<T>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<T>,
        default: T,
    ) -> T
    where
        T: Copy + fmt::Display + PartialOrd + TryFrom<i64>,
    {
        self.any_integer(key, range, Some(default)).unwrap_or(default)
    }

    /// Reads an integer within `range` that the table can't do without.
    pub(crate) fn required_integer<T>(&mut self, key: &'static str, range: RangeInclusive<T>) -> T
    where
        T: Copy + fmt::Display + PartialOrd + TryFrom<i64>,
    {
        let least = *range.start();
        if let (None, Some(site)) = (self.entry(key), self.site) {
            let message = format!("missing, expected {}..={}", range.start(), range.end());
            let dotted = self.dotted(key);
            self.cx.key_problem(ProblemKind::MissingKey, site, &dotted, key, &message);
        }
        self.any_integer(key, range, None).unwrap_or(least)
    }

    fn any_integer<T>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<T>,
        default: Option<T>,
    ) -> Option<T>
    where
        T: Copy + fmt::Display + PartialOrd + TryFrom<i64>,
    {
        let expected = format!("{}..={}", range.start(), range.end());
        self.record(key, "integer", &expected, default.map(|n| n.to_string()));
        let leaf = self.leaf(key, &format!("integer {expected}"))?;
        let Scalar::Integer(found, _) = leaf.value else {
            self.wrong_type(key, leaf, &format!("integer {expected}"));
            return None;
        };
        let typed = found.and_then(|n| T::try_from(n).ok()).filter(|n| range.contains(n));
        if typed.is_none() {
            self.out_of_range(key, leaf, &expected);
        }
        typed
    }

    /// Reads a duration within `range`.
    pub(crate) fn duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<Duration>,
        default: Duration,
    ) -> Duration {
        let shown = humantime::format_duration(default).to_string();
        self.any_duration(key, range, Some(shown)).unwrap_or(default)
    }

    /// Reads a duration within `range`, if it is there.
    pub(crate) fn optional_duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        self.any_duration(key, range, None)
    }

    fn any_duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<Duration>,
        default: Option<String>,
    ) -> Option<Duration> {
        let shown = humantime::format_duration;
        let expected = format!("{}..={}", shown(*range.start()), shown(*range.end()));
        self.record(key, "duration", &expected, default);
        let leaf = self.leaf(key, "duration such as \"2s\"")?;
        let parsed = match &leaf.value {
            Scalar::String(text) => humantime::parse_duration(text).ok(),
            _ => None,
        };
        let Some(found) = parsed else {
            self.wrong_type(key, leaf, "duration such as \"2s\"");
            return None;
        };
        if !range.contains(&found) {
            self.out_of_range(key, leaf, &expected);
            return None;
        }
        Some(found)
    }

    /// Reads a boolean.
    pub(crate) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        self.record(key, "boolean", "true or false", Some(default.to_string()));
        let Some(leaf) = self.leaf(key, "true or false") else {
            return default;
        };
        let Scalar::Boolean(value) = leaf.value else {
            self.wrong_type(key, leaf, "true or false");
            return default;
        };
        value
    }

    /// Reads one of the words that stand for the variants of `T`.
    pub(crate) fn word<T: Variants>(&mut self, key: &'static str, default: T) -> T {
        let expected = variants::listed::<T>();
        self.record(key, "string", &expected, default_text(&default));
        let Some(leaf) = self.leaf(key, &expected) else {
            return default;
        };
        let Scalar::String(text) = &leaf.value else {
            self.wrong_type(key, leaf, &expected);
            return default;
        };
        variants::parse(text).unwrap_or_else(|| {
            self.out_of_range(key, leaf, &expected);
            default
        })
    }

    /// Reports that the value of `key` doesn't go with another one. Where the
    /// files don't give `key`, the problem is put at `other`.
    pub(crate) fn contradiction(&self, key: &str, other: &str, expected: impl fmt::Display) {
        let entries = [(key, self.entry(key)), (other, self.entry(other))];
        let found = entries.into_iter().find_map(|(key, entry)| Some((key, entry?)));
        let Some((at, entry)) = found else {
            return;
        };
        let (site, value) = match &entry.node {
            Node::Leaf(leaf) => (&leaf.site, leaf.value.to_string()),
            Node::Table(_) => (&entry.key, "table".into()),
        };
        let message = if at == key {
            format!("expected {expected}, found {value}")
        } else {
            format!("found {value}, but \"{key}\" is expected to be {expected}")
        };
        self.cx.key_problem(ProblemKind::Contradiction, site, &self.dotted(at), at, &message);
    }

    /// Whether the files give `key`.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.tree?.get(key)
    }

    fn table(&mut self, key: &'static str) -> Option<Table<'a>> {
        self.asked.push(key);
        let entry = self.entry(key)?;
        match &entry.node {
            Node::Table(tree) => Some(Table { tree, site: &entry.key }),
            Node::Leaf(leaf) => {
                self.wrong_type(key, leaf, "a table");
                None
            }
        }
    }

    fn leaf(&mut self, key: &'static str, expected: &str) -> Option<&'a Leaf> {
        self.asked.push(key);
        let entry = self.entry(key)?;
        match &entry.node {
            Node::Leaf(leaf) => Some(leaf),
            Node::Table(_) => {
                let message = format!("expected {expected}, found table");
                let dotted = self.dotted(key);
                self.cx.key_problem(ProblemKind::WrongType, &entry.key, &dotted, key, &message);
                None
            }
        }
    }

    fn dotted(&self, key: &str) -> Box<str> {
        join(&self.path, key)
    }

    fn wrong_type(&self, key: &str, leaf: &Leaf, expected: &str) {
        self.cx.wrong_type(&self.dotted(key), key, leaf, expected);
    }

    fn out_of_range(&self, key: &str, leaf: &Leaf, expected: &str) {
        let message = format!("expected {expected}, found {}", leaf.value);
        let dotted = self.dotted(key);
        self.cx.key_problem(ProblemKind::OutOfRange, &leaf.site, &dotted, key, &message);
    }

    fn record(&self, key: &str, kind: &str, expected: &str, default: Option<String>) {
        self.cx.record(KeyRow {
            key: self.dotted(key),
            kind: kind.into(),
            expected: expected.into(),
            default: default.map(Into::into),
        });
    }

    fn report_unknown(&self) {
        let entries = self.tree.into_iter().flatten();
        for (key, entry) in entries.filter(|(key, _)| !self.asked.contains(&&***key)) {
            let message = match nearest(key, &self.asked) {
                Some(known) => format!("unknown, did you mean \"{known}\"?"),
                None => "unknown".into(),
            };
            let help = format!("known here: {}", self.asked.join(", "));
            self.cx.unknown_key(&entry.key, &self.dotted(key), key, &message, help);
        }
    }
}
