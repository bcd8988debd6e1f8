//! Reads typed values from the merged tree. Each key is defined once, with its
//! range and default; the table of keys
//! ([`known_keys`](crate::keys::known_keys)) is recorded from the same reads.

use crate::{
    context::{Context, closest, join},
    keys::{KeyRow, default_text},
    merge::{Entry, FileSpan, Leaf, Node, Scalar, Tree},
    report::ProblemKind,
    variants::{self, UnitEnum},
};
use cyclamenloft_types::check_name;
use std::{collections::BTreeMap, fmt, ops::RangeInclusive, time::Duration};

/// A table and the position of its key.
#[derive(Clone, Copy, Debug)]
struct Table<'a> {
    tree: &'a Tree,
    span: &'a FileSpan,
}

/// The expected value of a key, as text for problem messages and for the table of keys.
struct Expected {
    kind: &'static str,
    /// Type of the value, followed by its range or an example if there is one.
    type_text: String,
    range: String,
    default: Option<String>,
}

impl Expected {
    fn one_of(kind: &'static str, values: &str, default: Option<String>) -> Self {
        Self { kind, type_text: values.into(), range: values.into(), default }
    }

    fn row(self, key: Box<str>) -> KeyRow {
        let default = self.default.map(Into::into);
        KeyRow { key, kind: self.kind.into(), expected: self.range.into(), default }
    }
}

/// A table of the configuration that is being read.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    cx: &'a Context<'a>,
    tree: Option<&'a Tree>,
    span: Option<&'a FileSpan>,
    path: Box<str>,
    read_keys: Vec<&'static str>,
    /// Whether a value was invalid and replaced by its default.
    has_invalid: bool,
}

impl<'a> Section<'a> {
    /// Creates the section of the root table.
    pub(crate) fn root(cx: &'a Context<'a>, tree: Option<&'a Tree>) -> Self {
        Self { cx, tree, span: None, path: "".into(), read_keys: Vec::new(), has_invalid: false }
    }

    fn nested(cx: &'a Context<'a>, table: Option<Table<'a>>, path: Box<str>) -> Self {
        let (tree, span) = table.map(|t| (t.tree, t.span)).unzip();
        Self { cx, tree, span, path, read_keys: Vec::new(), has_invalid: false }
    }

    /// Reads the section with `read`, then reports the keys that were not read.
    pub(crate) fn read<T>(mut self, read: impl FnOnce(&mut Self) -> T) -> T {
        let value = read(&mut self);
        self.report_unknown();
        value
    }

    /// Reads the table at `key`. A missing table is read as an empty one.
    pub(crate) fn section<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Section<'a>) -> T,
    ) -> T {
        let table = self.table(key);
        Section::nested(self.cx, table, self.dotted_key(key)).read(read)
    }

    /// Reads the table at `key` if it exists.
    pub(crate) fn optional_section<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Section<'a>) -> T,
    ) -> Option<T> {
        let table = self.table(key);
        let recording = self.cx.is_recording();
        (table.is_some() || recording)
            .then(|| Section::nested(self.cx, table, self.dotted_key(key)).read(read))
    }

    /// Reads the table at `key`, which maps names of the kind `what` to tables.
    pub(crate) fn named_tables<T>(
        &mut self,
        key: &'static str,
        what: &str,
        read: impl Fn(&mut Section<'a>) -> T,
    ) -> BTreeMap<Box<str>, T> {
        let path = self.dotted_key(key);
        if self.cx.is_recording() {
            Section::nested(self.cx, None, format!("{path}.<{what}>").into()).read(&read);
        }
        let mut read_all = BTreeMap::new();
        for (name, entry) in self.table(key).into_iter().flat_map(|t| t.tree) {
            let dotted_key = join(&path, name);
            if let Err(e) = check_name(what, name) {
                self.cx.report_problem(ProblemKind::BadName, &entry.key, &dotted_key, &e.detail);
                continue;
            }
            match &entry.node {
                Node::Table(tree) => {
                    let table = Table { tree, span: &entry.key };
                    let section = Section::nested(self.cx, Some(table), dotted_key);
                    read_all.insert(name.clone(), section.read(&read));
                }
                Node::Leaf(leaf) => self.cx.report_wrong_type(&dotted_key, name, leaf, "a table"),
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
        self.read_integer(key, range, Some(default)).unwrap_or(default)
    }

    /// Reads a required integer within `range`.
    pub(crate) fn required_integer<T>(&mut self, key: &'static str, range: RangeInclusive<T>) -> T
    where
        T: Copy + fmt::Display + PartialOrd + TryFrom<i64>,
    {
        let min = *range.start();
        if let (None, Some(span)) = (self.entry(key), self.span) {
            let message = format!("missing, expected {}..={}", range.start(), range.end());
            let dotted_key = self.dotted_key(key);
            self.cx.report_key_problem(ProblemKind::MissingKey, span, &dotted_key, key, &message);
        }
        self.read_integer(key, range, None).unwrap_or(min)
    }

    fn read_integer<T>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<T>,
        default: Option<T>,
    ) -> Option<T>
    where
        T: Copy + fmt::Display + PartialOrd + TryFrom<i64>,
    {
        let expected = || {
            let range = format!("{}..={}", range.start(), range.end());
            let default = default.map(|n| n.to_string());
            Expected { kind: "integer", type_text: format!("integer {range}"), range, default }
        };
        self.read_scalar(key, expected, |value| {
            let Scalar::Integer(found, _) = value else {
                return Err(ProblemKind::WrongType);
            };
            let parsed = found.and_then(|n| T::try_from(n).ok());
            parsed.filter(|n| range.contains(n)).ok_or(ProblemKind::OutOfRange)
        })
    }

    /// Reads a duration within `range`.
    pub(crate) fn duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<Duration>,
        default: Duration,
    ) -> Duration {
        self.read_duration(key, range, Some(default)).unwrap_or(default)
    }

    /// Reads a duration within `range` if it exists.
    pub(crate) fn optional_duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        self.read_duration(key, range, None)
    }

    fn read_duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<Duration>,
        default: Option<Duration>,
    ) -> Option<Duration> {
        let shown = |duration| humantime::format_duration(duration).to_string();
        let expected = || Expected {
            kind: "duration",
            type_text: "duration such as \"2s\"".into(),
            range: format!("{}..={}", shown(*range.start()), shown(*range.end())),
            default: default.map(shown),
        };
        self.read_scalar(key, expected, |value| {
            let parsed = match value {
                Scalar::String(text) => humantime::parse_duration(text).ok(),
                _ => None,
            };
            let found = parsed.ok_or(ProblemKind::WrongType)?;
            Some(found).filter(|found| range.contains(found)).ok_or(ProblemKind::OutOfRange)
        })
    }

    /// Reads a boolean.
    pub(crate) fn boolean(&mut self, key: &'static str, default: bool) -> bool {
        let expected = || Expected::one_of("boolean", "true or false", Some(default.to_string()));
        let read = self.read_scalar(key, expected, |value| match value {
            Scalar::Boolean(value) => Ok(*value),
            _ => Err(ProblemKind::WrongType),
        });
        read.unwrap_or(default)
    }

    /// Reads a variant of `T` by its name.
    pub(crate) fn enum_value<T: UnitEnum>(&mut self, key: &'static str, default: T) -> T {
        let expected =
            || Expected::one_of("string", &variants::quoted_names::<T>(), default_text(&default));
        let read = self.read_scalar(key, expected, |value| match value {
            Scalar::String(text) => variants::parse(text).ok_or(ProblemKind::OutOfRange),
            _ => Err(ProblemKind::WrongType),
        });
        read.unwrap_or(default)
    }

    /// Reads the value of `key` with `parse`, which returns the kind of problem
    /// if the value is invalid.
    fn read_scalar<T>(
        &mut self,
        key: &'static str,
        expected: impl Fn() -> Expected,
        parse: impl FnOnce(&Scalar) -> Result<T, ProblemKind>,
    ) -> Option<T> {
        self.read_keys.push(key);
        if self.cx.is_recording() {
            self.cx.record(expected().row(self.dotted_key(key)));
        }
        let entry = self.entry(key)?;
        let Node::Leaf(leaf) = &entry.node else {
            self.has_invalid = true;
            let message = format!("expected {}, found table", expected().type_text);
            let dotted_key = self.dotted_key(key);
            self.cx.report_key_problem(
                ProblemKind::WrongType,
                &entry.key,
                &dotted_key,
                key,
                &message,
            );
            return None;
        };
        let parsed = parse(&leaf.value);
        self.has_invalid |= parsed.is_err();
        match parsed {
            Ok(value) => return Some(value),
            Err(ProblemKind::WrongType) => self.report_wrong_type(key, leaf, &expected().type_text),
            Err(kind) => {
                let message = format!("expected {}, found {}", expected().range, leaf.value);
                self.cx.report_key_problem(kind, &leaf.span, &self.dotted_key(key), key, &message);
            }
        }
        None
    }

    /// Reports that the value of `key` contradicts that of `other`. If the files don't
    /// set `key`, the problem is reported at `other`. Nothing is reported if a value of
    /// this table was invalid, because the comparison may have used the default in place
    /// of the invalid value.
    pub(crate) fn report_contradiction(&self, key: &str, other: &str, expected: impl fmt::Display) {
        if self.has_invalid {
            return;
        }
        let entries = [(key, self.entry(key)), (other, self.entry(other))];
        let found = entries.into_iter().find_map(|(key, entry)| Some((key, entry?)));
        let Some((at, entry)) = found else {
            return;
        };
        let (span, value) = match &entry.node {
            Node::Leaf(leaf) => (&leaf.span, leaf.value.to_string()),
            Node::Table(_) => (&entry.key, "table".into()),
        };
        let message = if at == key {
            format!("expected {expected}, found {value}")
        } else {
            format!("found {value}, but \"{key}\" is expected to be {expected}")
        };
        self.cx.report_key_problem(
            ProblemKind::Contradiction,
            span,
            &self.dotted_key(at),
            at,
            &message,
        );
    }

    /// Returns whether the files set `key`.
    pub(crate) fn contains_key(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.tree?.get(key)
    }

    fn table(&mut self, key: &'static str) -> Option<Table<'a>> {
        self.read_keys.push(key);
        let entry = self.entry(key)?;
        match &entry.node {
            Node::Table(tree) => Some(Table { tree, span: &entry.key }),
            Node::Leaf(leaf) => {
                self.report_wrong_type(key, leaf, "a table");
                None
            }
        }
    }

    fn dotted_key(&self, key: &str) -> Box<str> {
        join(&self.path, key)
    }

    fn report_wrong_type(&self, key: &str, leaf: &Leaf, expected: &str) {
        self.cx.report_wrong_type(&self.dotted_key(key), key, leaf, expected);
    }

    fn report_unknown(&self) {
        let entries = self.tree.into_iter().flatten();
        for (key, entry) in entries.filter(|(key, _)| !self.read_keys.contains(&&***key)) {
            let message = match closest(key, &self.read_keys) {
                Some(known) => format!("unknown, did you mean \"{known}\"?"),
                None => "unknown".into(),
            };
            let help = format!("known here: {}", self.read_keys.join(", "));
            self.cx.report_unknown_key(&entry.key, &self.dotted_key(key), key, &message, help);
        }
    }
}
