//! What operators, their command line, entry hosts and control replicas say to
//! each other about configuration. All of it is JSON on the wire.

use crate::{
    active::ActiveConfig,
    folder::{CheckedConfig, ConfigDraft, ConfigFile},
    history::NumberStatus,
    report::{ConfigReport, Position, Problem, ProblemKind},
    state::{AcceptedConfig, ConfigState},
};
use cyclamenloft_types::{ConfigNumber, Error, ErrorKind, Result, check_name};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;

/// Most entries of the history in one answer.
pub const MAX_HISTORY_PAGE: usize = 500;
/// Entries of the history where the request doesn't say how many.
pub const DEFAULT_HISTORY_PAGE: usize = 20;

/// Hash of a configuration's content: 16 hexadecimal digits, as JSON numbers
/// lose digits in many readers.
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
    /// Who proposed it.
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

/// Asks whether files are in order; nothing is changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckRequest {
    /// The files, in any order.
    pub files: Vec<ConfigFile>,
}

/// Asks to put files in force under a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// One more than the number in force.
    pub number: ConfigNumber,
    /// Who asks; shown in the history and to the losers of a race.
    pub author: Box<str>,
    /// The files, in any order.
    pub files: Vec<ConfigFile>,
}

/// An [`ApplyRequest`] that is in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The number asked for.
    pub number: ConfigNumber,
    /// Who asks.
    pub author: Box<str>,
    /// The content.
    pub checked: CheckedConfig,
}

impl TryFrom<CheckRequest> for CheckedConfig {
    type Error = ConfigReport;

    /// Checks the files; an empty list is a problem too.
    fn try_from(request: CheckRequest) -> Result<Self, ConfigReport> {
        if request.files.is_empty() {
            let message = "configuration: expected at least one .toml file, found none";
            return Err(Problem::new(ProblemKind::Folder, message).into());
        }
        Self::try_from(ConfigDraft::from_files(request.files))
    }
}

impl ApplyRequest {
    /// Asks to put `checked` in force.
    #[must_use]
    pub fn new(number: ConfigNumber, author: impl Into<Box<str>>, checked: &CheckedConfig) -> Self {
        Self { number, author: author.into(), files: checked.files().to_vec() }
    }

    /// Checks the request.
    ///
    /// # Errors
    ///
    /// The answer for the operator: [`Refusal::Error`] where number or author
    /// are malformed, [`Refusal::Invalid`] where the files have problems.
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

/// Why an [`ApplyRequest`] is not proposed.
#[derive(Clone, Debug)]
pub enum Refusal {
    /// Number or author are malformed.
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

/// One problem of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemMessage {
    /// The kind.
    pub kind: ProblemKind,
    /// What was expected and what was found.
    pub message: Box<str>,
    /// The dotted key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Box<str>>,
    /// The file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub file: Option<Box<str>>,
    /// Where in the file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub position: Option<Position>,
}

impl From<&Problem> for ProblemMessage {
    fn from(problem: &Problem) -> Self {
        Self {
            kind: problem.kind(),
            message: problem.to_string().into(),
            key: problem.dotted_key().map(Into::into),
            file: problem.file().map(Into::into),
            position: problem.position(),
        }
    }
}

/// Everything that is wrong with a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportMessage {
    /// The problems.
    pub problems: Vec<ProblemMessage>,
    /// How many more there are.
    pub omitted: usize,
}

impl From<&ConfigReport> for ReportMessage {
    fn from(report: &ConfigReport) -> Self {
        let problems = report.problems().iter().map(Into::into).collect();
        Self { problems, omitted: report.omitted() }
    }
}

/// Answer to a [`CheckRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum CheckResponse {
    /// The files are in order.
    InOrder {
        /// Hash of the content.
        hash: ContentHash,
    },
    /// The files have problems.
    Invalid(ReportMessage),
}

impl From<&Result<CheckedConfig, ConfigReport>> for CheckResponse {
    fn from(result: &Result<CheckedConfig, ConfigReport>) -> Self {
        match result {
            Ok(checked) => Self::InOrder { hash: ContentHash(checked.hash()) },
            Err(report) => Self::Invalid(report.into()),
        }
    }
}

/// Answer to an [`ApplyRequest`] that was decided on. Where it could not be
/// decided on, the answer is an [`Error`] such as
/// [`ErrorKind::NoQuorum`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyResponse {
    /// The content stands under the number, now or since an earlier request.
    Accepted(HistoryEntry),
    /// The number is taken by other content, or doesn't follow the last one.
    Conflict {
        /// The number asked for.
        asked: ConfigNumber,
        /// Who holds it; absent where nobody does or it is too long ago.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        holder: Option<HistoryEntry>,
        /// What is in force; absent before the first.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        last: Option<HistoryEntry>,
    },
    /// The files have problems.
    Invalid(ReportMessage),
}

impl ApplyResponse {
    /// The answer after the config group decided on `number` with `result`.
    ///
    /// # Errors
    ///
    /// The error of `result` where it is no conflict.
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
                    NumberStatus::Free | NumberStatus::Forgotten => None,
                };
                Ok(Self::Conflict { asked: number, holder, last: state.last().map(Into::into) })
            }
            Err(e) => Err(e),
        }
    }
}

/// Asks for what is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShowRequest {}

/// What is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowResponse {
    /// The number in force; 0 before the first.
    pub number: ConfigNumber,
    /// Hash of the content.
    pub hash: ContentHash,
    /// Who proposed it and when, where the answering process knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<HistoryEntry>,
    /// The files, in the order of their names.
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
    fn from(in_force: &ActiveConfig) -> Self {
        Self {
            number: in_force.number(),
            hash: ContentHash(in_force.hash()),
            entry: None,
            files: in_force.checked().files().to_vec(),
        }
    }
}

/// Asks for a part of the history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HistoryRequest {
    /// Only numbers below this one; from the last where absent.
    pub before: Option<ConfigNumber>,
    /// How many; [`DEFAULT_HISTORY_PAGE`] where absent, at most
    /// [`MAX_HISTORY_PAGE`].
    pub limit: Option<usize>,
}

/// A part of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// Accepted configurations, newest first.
    pub entries: Vec<HistoryEntry>,
    /// Whether older ones are known.
    pub older: bool,
}

impl HistoryResponse {
    /// The part of `state`'s history that `request` asks for.
    #[must_use]
    pub fn page(state: &ConfigState, request: &HistoryRequest) -> Self {
        let limit = request.limit.unwrap_or(DEFAULT_HISTORY_PAGE).clamp(1, MAX_HISTORY_PAGE);
        let end = state.number().saturating_add(1);
        let below = request.before.unwrap_or(end).min(end);
        let known = |number: ConfigNumber| match state.number_status(number) {
            NumberStatus::Known(accepted) => Some(HistoryEntry::from(&accepted)),
            NumberStatus::Free | NumberStatus::Forgotten => None,
        };
        let mut entries = (0..below).rev().map_while(known);
        let page = entries.by_ref().take(limit).collect();
        Self { entries: page, older: entries.next().is_some() }
    }
}

/// A process asks another for what it lacks; the answer is an
/// [`Update`](crate::Update).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpdateRequest {
    /// The number that it has in force; 0 asks for the whole.
    pub since: ConfigNumber,
}
