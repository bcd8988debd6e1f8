//! Merges the files of a configuration into one tree, in which each value has
//! its position and the positions of the values that it overrides.

use crate::{
    folder::ConfigFile,
    report::{ConfigReport, Problem, ProblemKind},
};
use std::{collections::BTreeMap, fmt, ops::Range};
use toml::de::{DeTable, DeValue};

/// Maximum length of a string that is quoted in a message, in characters.
const MAX_SHOWN_CHARS: usize = 64;

/// A byte range in one of the files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FileSpan {
    /// Index of the file.
    pub(crate) file: usize,
    /// Byte range in the file's text.
    pub(crate) range: Range<usize>,
}

/// The entries of a table, by key.
pub(crate) type Tree = BTreeMap<Box<str>, Entry>;

/// A key and its node.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Position of the last occurrence of the key.
    pub(crate) key: FileSpan,
    /// The table or value of the key.
    pub(crate) node: Node,
}

/// The table or value of a key.
#[derive(Debug)]
pub(crate) enum Node {
    /// A table, merged from all files that contain it.
    Table(Tree),
    /// Any other value, from the last file that sets it.
    Leaf(Leaf),
}

/// A value that is replaced by later files, not merged with them.
#[derive(Debug)]
pub(crate) struct Leaf {
    /// The value.
    pub(crate) value: Scalar,
    /// Position of the value.
    pub(crate) span: FileSpan,
    /// Positions of the values that this one overrides, oldest first.
    pub(crate) overrides: Vec<FileSpan>,
}

/// A value that is not a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Scalar {
    /// A string.
    String(Box<str>),
    /// An integer and its text; the integer is `None` if it exceeds 64 bits.
    Integer(Option<i64>, Box<str>),
    /// A boolean.
    Boolean(bool),
    /// A float, as written.
    Float(Box<str>),
    /// A date or time, as written.
    Datetime(Box<str>),
    /// An array.
    Array,
}

impl Scalar {
    /// Returns the value with its type, for "found ..." in messages.
    pub(crate) fn described(&self) -> String {
        let kind = match self {
            Self::String(_) => "string",
            Self::Integer(..) => "integer",
            Self::Boolean(_) => "boolean",
            Self::Float(_) => "float",
            Self::Datetime(_) => "datetime",
            Self::Array => return "array".into(),
        };
        format!("{kind} {self}")
    }
}

impl fmt::Display for Scalar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::String(text) => {
                let shown: String = text.chars().take(MAX_SHOWN_CHARS).collect();
                write!(f, "{shown:?}")
            }
            Self::Integer(_, text) | Self::Float(text) | Self::Datetime(text) => f.write_str(text),
            Self::Boolean(value) => write!(f, "{value}"),
            Self::Array => f.write_str("array"),
        }
    }
}

/// Merges `files` in their order. Files that are not valid TOML are added to
/// `report`.
pub(crate) fn merge_files(files: &[ConfigFile], report: &mut ConfigReport) -> Tree {
    let mut merged = Tree::new();
    for (index, file) in files.iter().enumerate() {
        match DeTable::parse(&file.text) {
            Ok(table) => merge(&mut merged, table.into_inner(), index),
            Err(e) => {
                let span = e.span().unwrap_or(0..0);
                let message = format!("file {}: not TOML: {}", file.name, e.message());
                report.push(Problem::new(ProblemKind::NotToml, message).at(file, span));
            }
        }
    }
    merged
}

fn merge(into: &mut Tree, table: DeTable<'_>, file: usize) {
    for (key, value) in table {
        let key_span = FileSpan { file, range: key.span() };
        let span = FileSpan { file, range: value.span() };
        let name: Box<str> = key.into_inner().into();
        let earlier = into.remove(&name).map(|entry| entry.node);
        let node = match value.into_inner() {
            DeValue::Table(table) => {
                let mut merged = match earlier {
                    Some(Node::Table(merged)) => merged,
                    _ => Tree::new(),
                };
                merge(&mut merged, table, file);
                Node::Table(merged)
            }
            other => Node::Leaf(leaf(other, span, earlier)),
        };
        into.insert(name, Entry { key: key_span, node });
    }
}

fn leaf(value: DeValue<'_>, span: FileSpan, earlier: Option<Node>) -> Leaf {
    let overrides = match earlier {
        Some(Node::Leaf(old)) => {
            let mut overrides = old.overrides;
            overrides.push(old.span);
            overrides
        }
        _ => Vec::new(),
    };
    Leaf { value: scalar(value), span, overrides }
}

fn scalar(value: DeValue<'_>) -> Scalar {
    match value {
        DeValue::String(text) => Scalar::String(text.into()),
        DeValue::Integer(n) => {
            let parsed = i64::from_str_radix(n.as_str(), n.radix()).ok();
            let text = parsed.map_or_else(|| n.to_string(), |n| n.to_string());
            Scalar::Integer(parsed, text.into())
        }
        DeValue::Float(n) => Scalar::Float(n.as_str().into()),
        DeValue::Boolean(value) => Scalar::Boolean(value),
        DeValue::Datetime(at) => Scalar::Datetime(at.to_string().into()),
        DeValue::Array(_) | DeValue::Table(_) => Scalar::Array,
    }
}
