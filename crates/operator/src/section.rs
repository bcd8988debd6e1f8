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

/// What a key wants, worded for messages and the table of keys.
struct Wanted {
    kind: &'static str,
    /// Type, and range where that helps.
    typed: String,
    range: String,
    default: Option<String>,
}

impl Wanted {
    fn one_of(kind: &'static str, words: &str, default: Option<String>) -> Self {
        Self { kind, typed: words.into(), range: words.into(), default }
    }

    fn row(self, key: Box<str>) -> KeyRow {
        let default = self.default.map(Into::into);
        KeyRow { key, kind: self.kind.into(), expected: self.range.into(), default }
    }
}

/// One table of the configuration while it is read.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    cx: &'a Context<'a>,
    tree: Option<&'a Tree>,
    site: Option<&'a Site>,
    path: Box<str>,
    asked: Vec<&'static str>,
    /// Whether a value was refused, and its default stands in for it.
    refused: bool,
}

impl<'a> Section<'a> {
    /// The table that holds all others.
    pub(crate) fn root(cx: &'a Context<'a>, tree: Option<&'a Tree>) -> Self {
        Self { cx, tree, site: None, path: "".into(), asked: Vec::new(), refused: false }
    }

    fn inner(cx: &'a Context<'a>, table: Option<Table<'a>>, path: Box<str>) -> Self {
        let (tree, site) = table.map(|t| (t.tree, t.site)).unzip();
        Self { cx, tree, site, path, asked: Vec::new(), refused: false }
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
        let wanted = || {
            let range = format!("{}..={}", range.start(), range.end());
            let default = default.map(|n| n.to_string());
            Wanted { kind: "integer", typed: format!("integer {range}"), range, default }
        };
        self.scalar(key, wanted, |value| {
            let Scalar::Integer(found, _) = value else {
                return Err(ProblemKind::WrongType);
            };
            let typed = found.and_then(|n| T::try_from(n).ok());
            typed.filter(|n| range.contains(n)).ok_or(ProblemKind::OutOfRange)
        })
    }

    /// Reads a duration within `range`.
    pub(crate) fn duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<Duration>,
        default: Duration,
    ) -> Duration {
        self.any_duration(key, range, Some(default)).unwrap_or(default)
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
        default: Option<Duration>,
    ) -> Option<Duration> {
        let shown = |duration| humantime::format_duration(duration).to_string();
        let wanted = || Wanted {
            kind: "duration",
            typed: "duration such as \"2s\"".into(),
            range: format!("{}..={}", shown(*range.start()), shown(*range.end())),
            default: default.map(shown),
        };
        self.scalar(key, wanted, |value| {
            let parsed = match value {
                Scalar::String(text) => humantime::parse_duration(text).ok(),
                _ => None,
            };
            let found = parsed.ok_or(ProblemKind::WrongType)?;
            Some(found).filter(|found| range.contains(found)).ok_or(ProblemKind::OutOfRange)
        })
    }

    /// Reads a boolean.
    pub(crate) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        let wanted = || Wanted::one_of("boolean", "true or false", Some(default.to_string()));
        let read = self.scalar(key, wanted, |value| match value {
            Scalar::Boolean(value) => Ok(*value),
            _ => Err(ProblemKind::WrongType),
        });
        read.unwrap_or(default)
    }

    /// Reads one of the words that stand for the variants of `T`.
    pub(crate) fn word<T: Variants>(&mut self, key: &'static str, default: T) -> T {
        let wanted = || Wanted::one_of("string", &variants::listed::<T>(), default_text(&default));
        let read = self.scalar(key, wanted, |value| match value {
            Scalar::String(text) => variants::parse(text).ok_or(ProblemKind::OutOfRange),
            _ => Err(ProblemKind::WrongType),
        });
        read.unwrap_or(default)
    }

    /// Reads the value of `key` by `parse`, which says what is wrong with it.
    fn scalar<T>(
        &mut self,
        key: &'static str,
        wanted: impl Fn() -> Wanted,
        parse: impl FnOnce(&Scalar) -> Result<T, ProblemKind>,
    ) -> Option<T> {
        self.asked.push(key);
        if self.cx.is_recording() {
            self.cx.record(wanted().row(self.dotted(key)));
        }
        let entry = self.entry(key)?;
        let Node::Leaf(leaf) = &entry.node else {
            self.refused = true;
            let message = format!("expected {}, found table", wanted().typed);
            let dotted = self.dotted(key);
            self.cx.key_problem(ProblemKind::WrongType, &entry.key, &dotted, key, &message);
            return None;
        };
        let parsed = parse(&leaf.value);
        self.refused |= parsed.is_err();
        match parsed {
            Ok(value) => return Some(value),
            Err(ProblemKind::WrongType) => self.wrong_type(key, leaf, &wanted().typed),
            Err(kind) => {
                let message = format!("expected {}, found {}", wanted().range, leaf.value);
                self.cx.key_problem(kind, &leaf.site, &self.dotted(key), key, &message);
            }
        }
        None
    }

    /// Reports that the value of `key` doesn't go with another one. Where the
    /// files don't give `key`, the problem is put at `other`. Not reported where a
    /// value of this table was refused, as it may be the one compared.
    pub(crate) fn contradiction(&self, key: &str, other: &str, expected: impl fmt::Display) {
        if self.refused {
            return;
        }
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

    fn dotted(&self, key: &str) -> Box<str> {
        join(&self.path, key)
    }

    fn wrong_type(&self, key: &str, leaf: &Leaf, expected: &str) {
        self.cx.wrong_type(&self.dotted(key), key, leaf, expected);
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
