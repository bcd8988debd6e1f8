//! The closed list of error kinds, and the one table from a kind to the
//! answer that callers, workers and operators get.

use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Result with the project's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Whether the work behind a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work did not run, and will not.
    NotRun,
    /// The work ran to its end.
    Done,
    /// The work may have run.
    Unknown,
}

impl Outcome {
    /// The text used in headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Done => "done",
            Self::Unknown => "unknown",
        }
    }
}

/// What the receiver of an error may do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// The same request will fail again.
    Never,
    /// The same request may succeed after this time.
    After(Duration),
    /// Ask another host now.
    OtherHost,
}

/// Every kind of error that cyclamenloft reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The input is malformed or out of range.
    BadRequest,
    /// The input is larger than its limit.
    TooLarge,
    /// The token is missing or wrong.
    Unauthorized,
    /// No such path or method.
    NotFound,
    /// No such service is configured.
    UnknownService,
    /// No such job.
    UnknownJob,
    /// No such worker or its announcement has expired.
    UnknownWorker,
    /// The id or number is taken with other content.
    Conflict,
    /// The configuration has errors.
    InvalidConfig,
    /// The service's queue is full.
    Overloaded,
    /// The remaining time can't cover the predicted time.
    DeadlineTooShort,
    /// The deadline passed while the request waited; it was not sent.
    DeadlinePassed,
    /// No target of the service is usable.
    NoTarget,
    /// The host is stopping or not ready yet.
    Draining,
    /// The target failed after it may have received the request.
    TargetFailed,
    /// The target did not answer before the deadline.
    TargetTimeout,
    /// An earlier request with this idempotency key is in progress.
    InProgress,
    /// The memory of an earlier request with this key was lost.
    OutcomeLost,
    /// This replica doesn't lead its group.
    NotLeader,
    /// A majority of the group can't be reached.
    NoQuorum,
    /// The change may or may not have been accepted.
    ChangeUnknown,
    /// The job's home domain can't be reached.
    HomeUnreachable,
    /// The team's quota does not allow this job.
    QuotaExceeded,
    /// The attempt is not the current one.
    StaleAttempt,
    /// The work does not fit into the capacity.
    OverCapacity,
    /// A peer, worker or control host did not answer.
    PeerUnreachable,
    /// No connection to a peer, worker or control host could be made.
    NotReached,
    /// A file is damaged.
    Corrupt,
    /// Writing or syncing a file failed.
    DiskFailed,
    /// Another process holds the data folder.
    FolderInUse,
    /// A setting of the process is wrong.
    BadSetting,
    /// A fault of cyclamenloft itself.
    Internal,
}

/// The answer that belongs to an error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorInfo {
    /// The kind this row is for.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Stable text of the kind, for headers, JSON and logs.
    pub code: &'static str,
    /// Whether the work ran.
    pub outcome: Outcome,
    /// What the receiver may do next.
    pub retry: RetryAdvice,
    /// JSON-RPC error code between peers.
    pub rpc_code: i32,
}

const RETRY_SOON: RetryAdvice = RetryAdvice::After(Duration::from_secs(1));

macro_rules! error_table {
    ($($kind:ident $status:literal $code:literal $outcome:ident $rpc:literal $retry:expr;)*) => {
        /// The table from kind to answer, one row for each kind.
        pub const ERROR_TABLE: &[ErrorInfo] = &[$(*ErrorKind::$kind.info()),*];

        impl ErrorKind {
            /// The answer for this kind.
            #[must_use]
            pub const fn info(self) -> &'static ErrorInfo {
                match self {
                    $(Self::$kind => &ErrorInfo {
                        kind: ErrorKind::$kind,
                        status: $status,
                        code: $code,
                        outcome: Outcome::$outcome,
                        retry: $retry,
                        rpc_code: $rpc,
                    }),*
                }
            }
        }
    };
}

error_table! {
    BadRequest       400 "bad-request"        NotRun  -32001 RetryAdvice::Never;
    TooLarge         413 "too-large"          NotRun  -32002 RetryAdvice::Never;
    Unauthorized     401 "unauthorized"       NotRun  -32003 RetryAdvice::Never;
    NotFound         404 "not-found"          NotRun  -32004 RetryAdvice::Never;
    UnknownService   404 "unknown-service"    NotRun  -32005 RetryAdvice::Never;
    UnknownJob       404 "unknown-job"        NotRun  -32006 RetryAdvice::Never;
    UnknownWorker    404 "unknown-worker"     NotRun  -32007 RetryAdvice::Never;
    Conflict         409 "conflict"           NotRun  -32008 RetryAdvice::Never;
    InvalidConfig    422 "invalid-config"     NotRun  -32009 RetryAdvice::Never;
    Overloaded       503 "overloaded"         NotRun  -32010 RETRY_SOON;
    DeadlineTooShort 503 "deadline-too-short" NotRun  -32011 RETRY_SOON;
    DeadlinePassed   504 "deadline-passed"    NotRun  -32012 RETRY_SOON;
    NoTarget         503 "no-target"          NotRun  -32013 RETRY_SOON;
    Draining         503 "draining"           NotRun  -32014 RetryAdvice::OtherHost;
    TargetFailed     502 "target-failed"      Unknown -32015 RETRY_SOON;
    TargetTimeout    504 "target-timeout"     Unknown -32016 RETRY_SOON;
    InProgress       409 "in-progress"        Unknown -32017 RETRY_SOON;
    OutcomeLost      409 "outcome-lost"       Unknown -32018 RetryAdvice::Never;
    NotLeader        503 "not-leader"         NotRun  -32019 RetryAdvice::OtherHost;
    NoQuorum         503 "no-quorum"          NotRun  -32020 RETRY_SOON;
    ChangeUnknown    504 "change-unknown"     Unknown -32021 RETRY_SOON;
    HomeUnreachable  503 "home-unreachable"   NotRun  -32022 RETRY_SOON;
    QuotaExceeded    429 "quota-exceeded"     NotRun  -32023 RETRY_SOON;
    StaleAttempt     409 "stale-attempt"      NotRun  -32024 RetryAdvice::Never;
    OverCapacity     422 "over-capacity"      NotRun  -32025 RetryAdvice::Never;
    PeerUnreachable  503 "peer-unreachable"   Unknown -32026 RETRY_SOON;
    NotReached       503 "not-reached"        NotRun  -32032 RETRY_SOON;
    Corrupt          500 "corrupt"            NotRun  -32027 RetryAdvice::Never;
    DiskFailed       500 "disk-failed"        Unknown -32028 RetryAdvice::Never;
    FolderInUse      500 "folder-in-use"      NotRun  -32029 RetryAdvice::Never;
    BadSetting       500 "bad-setting"        NotRun  -32030 RetryAdvice::Never;
    Internal         500 "internal"           Unknown -32031 RetryAdvice::Never;
}

impl ErrorKind {
    /// Finds the kind with the stable text `code`.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        ERROR_TABLE.iter().find(|a| a.code == code).map(|a| a.kind)
    }
}

/// An error: its kind and a sentence that names the thing at fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// What was at fault, for a reader.
    pub detail: Box<str>,
}

impl Error {
    /// Creates an error of `kind` with a sentence for the reader.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// The answer for this error's kind.
    #[must_use]
    pub const fn info(&self) -> &'static ErrorInfo {
        self.kind.info()
    }

    /// Finds the kind for a JSON-RPC error code of a peer; an unknown code is
    /// [`ErrorKind::Internal`].
    #[must_use]
    pub fn from_rpc(code: i32, detail: &str) -> Self {
        let kind = ERROR_TABLE.iter().find(|a| a.rpc_code == code).map(|a| a.kind);
        Self::new(kind.unwrap_or(ErrorKind::Internal), detail)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.info().code, self.detail)
    }
}

impl std::error::Error for Error {}
