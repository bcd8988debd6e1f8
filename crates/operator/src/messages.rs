//! Configuration messages between operators, their command line, entry hosts
//! and control replicas. All are JSON on the wire.

use crate::{
    active::ActiveConfig,
    folder::{CheckedConfig, ConfigDraft, ConfigFile},
    history::NumberStatus,
    origin::{Change, KeyChange, ValuePositions, diff},
    report::{ConfigReport, Position, Problem, ProblemKind, Severity},
    state::{AcceptedConfig, ConfigState},
    warnings::warnings,
};
use cyclamenloft_types::{ConfigNumber, Error, ErrorKind, Result, check_name};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;

/// Maximum number of history entries in one response.
pub const MAX_HISTORY_PAGE: usize = 500;
/// Number of history entries in a response if the request sets no limit.
pub const DEFAULT_HISTORY_PAGE: usize = 20;

/// Hash of a configuration's content. It is encoded as 16 hexadecimal digits,
/// because many JSON parsers lose precision of 64-bit numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ContentHash(pub u64);

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Serialize for ContentHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ContentHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        let digits = text.len() == 16 && text.chars().all(|c| c.is_ascii_hexdigit());
        let parsed = u64::from_str_radix(&text, 16).ok().filter(|_| digits);
        let invalid = || de::Error::custom(format_args!("expected 16 hex digits, found {text:?}"));
        parsed.map(Self).ok_or_else(invalid)
    }
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The number.
    pub number: ConfigNumber,
    /// Hash of the content.
    pub hash: ContentHash,
    /// The operator who proposed the configuration.
    pub author: Box<str>,
    /// Wall clock at the proposal, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

impl From<&AcceptedConfig> for HistoryEntry {
    fn from(accepted: &AcceptedConfig) -> Self {
        Self {
            number: accepted.number,
            hash: ContentHash(accepted.hash),
            author: accepted.author.clone(),
            at_unix_ms: accepted.at_unix_ms,
        }
    }
}

/// Request to validate files without changing anything.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckRequest {
    /// The files, in any order.
    pub files: Vec<ConfigFile>,
}

/// Request to make files the active configuration under a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// One more than the number of the active configuration.
    pub number: ConfigNumber,
    /// The operator, shown in the history and to operators whose proposal
    /// conflicts.
    pub author: Box<str>,
    /// The files, in any order.
    pub files: Vec<ConfigFile>,
}

/// A valid [`ApplyRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The requested number.
    pub number: ConfigNumber,
    /// The operator.
    pub author: Box<str>,
    /// The content.
    pub checked: CheckedConfig,
}

impl TryFrom<CheckRequest> for CheckedConfig {
    type Error = ConfigReport;

    /// Validates the files. An empty list is also a problem.
    fn try_from(request: CheckRequest) -> Result<Self, ConfigReport> {
        if request.files.is_empty() {
            let message = "configuration: expected at least one .toml file, found none";
            return Err(Problem::new(ProblemKind::Folder, message).into());
        }
        Self::try_from(ConfigDraft::from_files(request.files))
    }
}

impl ApplyRequest {
    /// Creates a request to make `checked` the active configuration.
    #[must_use]
    pub fn new(number: ConfigNumber, author: impl Into<Box<str>>, checked: &CheckedConfig) -> Self {
        Self { number, author: author.into(), files: checked.files().to_vec() }
    }

    /// Validates the request.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Error`] if number or author is malformed, and
    /// [`Refusal::Invalid`] if the files have problems.
    pub fn check(self) -> Result<Proposal, Refusal> {
        if self.number == 0 {
            let message = "number: expected at least 1, found 0";
            return Err(Refusal::Error(Error::new(ErrorKind::BadRequest, message)));
        }
        let author = check_name("author", &self.author).map_err(Refusal::Error)?;
        let checked = CheckRequest { files: self.files }.try_into().map_err(Refusal::Invalid)?;
        Ok(Proposal { number: self.number, author, checked })
    }
}

/// The reason why an [`ApplyRequest`] is not proposed to the config group.
#[derive(Clone, Debug)]
pub enum Refusal {
    /// Number or author is malformed.
    Error(Error),
    /// The files have problems.
    Invalid(ConfigReport),
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Error(e) => e,
            Refusal::Invalid(report) => report.into(),
        }
    }
}

/// One problem of a configuration, as sent to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemMessage {
    /// The kind.
    pub kind: ProblemKind,
    /// How serious it is; an error if absent.
    #[serde(default, skip_serializing_if = "Severity::is_error")]
    pub severity: Severity,
    /// What was expected and what was found.
    pub message: Box<str>,
    /// The dotted key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Box<str>>,
    /// The file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub file: Option<Box<str>>,
    /// The position in the file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub position: Option<Position>,
}

impl From<&Problem> for ProblemMessage {
    fn from(problem: &Problem) -> Self {
        Self {
            kind: problem.kind(),
            severity: problem.severity(),
            message: problem.to_string().into(),
            key: problem.dotted_key().map(Into::into),
            file: problem.file().map(Into::into),
            position: problem.position(),
        }
    }
}

/// The problems of a configuration, as sent to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportMessage {
    /// The listed problems.
    pub problems: Vec<ProblemMessage>,
    /// Number of problems that are not listed.
    pub omitted: usize,
}

impl ReportMessage {
    pub(crate) fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }
}

impl From<&ConfigReport> for ReportMessage {
    fn from(report: &ConfigReport) -> Self {
        let problems = report.problems().iter().map(Into::into).collect();
        Self { problems, omitted: report.omitted() }
    }
}

/// Response to a [`CheckRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum CheckResponse {
    /// The files are valid.
    InOrder {
        /// Hash of the content.
        hash: ContentHash,
        /// Entries without an effect, and limits that contradict each other.
        #[serde(default, skip_serializing_if = "ReportMessage::is_empty")]
        warnings: ReportMessage,
        /// What differs from the configuration in force, if it was asked for.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        in_force: Option<InForceChanges>,
    },
    /// The files have problems.
    Invalid(ReportMessage),
}

/// What a folder changes against the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceChanges {
    /// Number of the configuration in force; 0 before the first one.
    pub number: ConfigNumber,
    /// Hash of its content.
    pub hash: ContentHash,
    /// The keys that differ, sorted by key.
    pub changes: Vec<LocatedChange>,
}

/// A key that differs, and where its value stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocatedChange {
    /// The difference.
    #[serde(flatten)]
    pub change: KeyChange,
    /// File with the value: in the folder, or in the configuration in force if the folder doesn't
    /// set the key.
    pub file: Box<str>,
    /// Position of the value in the file.
    pub position: Position,
}

/// The configuration in force, as an entry host shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    number: ConfigNumber,
    checked: CheckedConfig,
}

impl TryFrom<ShowResponse> for InForce {
    type Error = Error;

    fn try_from(shown: ShowResponse) -> Result<Self> {
        let checked = ConfigDraft::from_files(shown.files).check()?;
        Ok(Self { number: shown.number, checked })
    }
}

impl InForce {
    /// Returns what `later` changes.
    #[must_use]
    pub fn changes(&self, later: &CheckedConfig) -> InForceChanges {
        let (earlier_at, later_at) =
            (ValuePositions::new(self.checked.files()), ValuePositions::new(later.files()));
        let located = |change: KeyChange| {
            let positions = match change.change {
                Change::Removed { .. } => &earlier_at,
                Change::Added { .. } | Change::Changed { .. } => &later_at,
            };
            let (file, position) = positions.get(&change.key)?;
            Some(LocatedChange { change, file, position })
        };
        let changes = diff(&self.checked, later).into_iter().filter_map(located).collect();
        InForceChanges { number: self.number, hash: ContentHash(self.checked.hash()), changes }
    }
}

impl From<&Result<CheckedConfig, ConfigReport>> for CheckResponse {
    fn from(result: &Result<CheckedConfig, ConfigReport>) -> Self {
        match result {
            Ok(checked) => Self::InOrder {
                hash: ContentHash(checked.hash()),
                warnings: (&warnings(checked)).into(),
                in_force: None,
            },
            Err(report) => Self::Invalid(report.into()),
        }
    }
}

/// Response to an [`ApplyRequest`] on which the config group decided. If it
/// could not decide, the response is an [`Error`] such as
/// [`ErrorKind::NoQuorum`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyResponse {
    /// The content was accepted under the number, by this or an earlier request.
    Accepted(HistoryEntry),
    /// The number is taken by other content, or isn't one more than the last accepted
    /// number.
    Conflict {
        /// The requested number.
        asked: ConfigNumber,
        /// The configuration that has the number; absent if the number is free
        /// or its configuration is no longer known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        holder: Option<HistoryEntry>,
        /// The last accepted configuration; absent before the first.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        last: Option<HistoryEntry>,
    },
    /// The files have problems.
    Invalid(ReportMessage),
}

impl ApplyResponse {
    /// Creates the response after the config group decided on `number` with
    /// `result`.
    ///
    /// # Errors
    ///
    /// Returns the error of `result` unless it is a conflict.
    pub fn from_result(
        state: &ConfigState,
        number: ConfigNumber,
        result: Result<AcceptedConfig>,
    ) -> Result<Self> {
        match result {
            Ok(accepted) => Ok(Self::Accepted((&accepted).into())),
            Err(e) if e.kind == ErrorKind::Conflict => {
                let holder = match state.number_status(number) {
                    NumberStatus::Known(accepted) => Some((&accepted).into()),
                    NumberStatus::Free | NumberStatus::Unretained => None,
                };
                Ok(Self::Conflict { asked: number, holder, last: state.last().map(Into::into) })
            }
            Err(e) => Err(e),
        }
    }
}

/// Request for the active configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShowRequest {}

/// The active configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowResponse {
    /// The number; 0 before the first configuration.
    pub number: ConfigNumber,
    /// Hash of the content.
    pub hash: ContentHash,
    /// Author and time, if the responding process knows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<HistoryEntry>,
    /// The files, sorted by name.
    pub files: Vec<ConfigFile>,
}

impl From<&ConfigState> for ShowResponse {
    fn from(state: &ConfigState) -> Self {
        Self {
            number: state.number(),
            hash: ContentHash(state.hash()),
            entry: state.last().map(Into::into),
            files: state.files().to_vec(),
        }
    }
}

impl From<&ActiveConfig> for ShowResponse {
    fn from(active: &ActiveConfig) -> Self {
        Self {
            number: active.number(),
            hash: ContentHash(active.hash()),
            entry: None,
            files: active.checked().files().to_vec(),
        }
    }
}

/// Request for a page of the history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HistoryRequest {
    /// Only numbers below this one are listed; if absent, the page starts at
    /// the last number.
    pub before: Option<ConfigNumber>,
    /// Maximum number of entries: [`DEFAULT_HISTORY_PAGE`] if absent, at most
    /// [`MAX_HISTORY_PAGE`].
    pub limit: Option<usize>,
}

/// A page of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// Accepted configurations, newest first.
    pub entries: Vec<HistoryEntry>,
    /// Whether older configurations are known.
    pub older: bool,
}

impl HistoryResponse {
    /// Returns the page of `state`'s history that `request` selects.
    #[must_use]
    pub fn page(state: &ConfigState, request: &HistoryRequest) -> Self {
        let limit = request.limit.unwrap_or(DEFAULT_HISTORY_PAGE).clamp(1, MAX_HISTORY_PAGE);
        let end = state.number().saturating_add(1);
        let below = request.before.unwrap_or(end).min(end);
        let known = |number: ConfigNumber| match state.number_status(number) {
            NumberStatus::Known(accepted) => Some(HistoryEntry::from(&accepted)),
            NumberStatus::Free | NumberStatus::Unretained => None,
        };
        let mut entries = (0..below).rev().map_while(known);
        let page = entries.by_ref().take(limit).collect();
        Self { entries: page, older: entries.next().is_some() }
    }
}

/// Request of a process for newer configuration. The response is an
/// [`Update`](crate::Update).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpdateRequest {
    /// Number of the sender's active configuration; 0 requests the whole
    /// configuration.
    pub since: ConfigNumber,
}
