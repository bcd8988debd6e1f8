//! The error kinds of cyclamenloft, and the table that maps each kind to what
//! callers, workers and operators are sent.

use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// A result whose error type defaults to [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Whether the work of a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work did not run and will not run.
    NotRun,
    /// The work ran to completion.
    Done,
    /// The work may have run.
    Unknown,
}

impl Outcome {
    /// Returns the text used in headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Done => "done",
            Self::Unknown => "unknown",
        }
    }
}

/// Advice to the receiver of an error on what it may do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// The same request will fail again.
    Never,
    /// The same request may succeed after this delay.
    After(Duration),
    /// The request can be sent to another host immediately.
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
    /// The path or method does not exist.
    NotFound,
    /// The service is not configured.
    UnknownService,
    /// The job does not exist.
    UnknownJob,
    /// The worker does not exist, or its announcement has expired.
    UnknownWorker,
    /// The id or number is already used with different content.
    Conflict,
    /// The configuration has errors.
    InvalidConfig,
    /// The service's queue is full.
    Overloaded,
    /// The predicted time until the response exceeds the time left until the deadline.
    DeadlineTooShort,
    /// The deadline passed while the request waited; it was not sent.
    DeadlinePassed,
    /// The service has no usable target.
    NoTarget,
    /// The host is shutting down or not ready yet.
    Draining,
    /// The target failed after it may have received the request.
    TargetFailed,
    /// The target did not respond before the deadline.
    TargetTimeout,
    /// An earlier request with this idempotency key is in progress.
    InProgress,
    /// An earlier request used this idempotency key, but its record was lost.
    OutcomeLost,
    /// This replica is not the leader of its group.
    NotLeader,
    /// A majority of the group can't be reached.
    NoQuorum,
    /// The change may or may not have been accepted.
    ChangeUnknown,
    /// The job's home domain can't be reached.
    HomeUnreachable,
    /// The job would exceed the team's quota.
    QuotaExceeded,
    /// The attempt at the task is not the current one.
    StaleAttempt,
    /// The work exceeds the available capacity.
    OverCapacity,
    /// A peer, worker or control host did not respond.
    PeerUnreachable,
    /// No connection to a peer, worker or control host could be established.
    NotReached,
    /// A file is corrupt.
    Corrupt,
    /// Writing or syncing a file failed.
    DiskFailed,
    /// Another process has locked the data folder.
    FolderInUse,
    /// A setting of the process is invalid.
    BadSetting,
    /// An internal error of cyclamenloft.
    Internal,
    /// A peer, worker or control host refused the connection: no process listens there.
    ConnectionRefused,
    /// A peer, worker or control host closed the connection before it had answered.
    ConnectionClosed,
}

impl ErrorKind {
    /// Returns whether the peer has certainly not received the request.
    #[must_use]
    pub const fn is_not_sent(self) -> bool {
        matches!(self, Self::NotReached | Self::ConnectionRefused)
    }
}

/// The properties of an error kind that are reported over HTTP and JSON-RPC.
#[derive(Clone, Copy, Debug)]
pub struct ErrorInfo {
    /// The error kind.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Stable identifier of the kind, used in headers, JSON and logs.
    pub code: &'static str,
    /// Whether the work of the request was executed.
    pub outcome: Outcome,
    /// Advice to the receiver on what it may do next.
    pub retry: RetryAdvice,
    /// JSON-RPC error code between peers.
    pub rpc_code: i32,
}

const RETRY_SOON: RetryAdvice = RetryAdvice::After(Duration::from_secs(1));

macro_rules! error_table {
    ($($kind:ident $status:literal $code:literal $outcome:ident $rpc:literal $retry:expr;)*) => {
        /// One row for each error kind.
        pub const ERROR_TABLE: &[ErrorInfo] = &[$(*ErrorKind::$kind.info()),*];

        impl ErrorKind {
            /// Returns how this kind is reported.
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
    ConnectionRefused 503 "connection-refused" NotRun -32033 RETRY_SOON;
    ConnectionClosed 503 "connection-closed"  Unknown -32034 RETRY_SOON;
}

impl ErrorKind {
    /// Returns the kind whose [`ErrorInfo::code`] is `code`.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        ERROR_TABLE.iter().find(|a| a.code == code).map(|a| a.kind)
    }
}

/// An error: its kind and a message that says what failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// The kind, which determines status, code and retry advice.
    pub kind: ErrorKind,
    /// Human-readable message.
    pub detail: Box<str>,
}

impl Error {
    /// Creates an error of `kind` with a human-readable message.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// Returns how this error's kind is reported.
    #[must_use]
    pub const fn info(&self) -> &'static ErrorInfo {
        self.kind.info()
    }

    /// Creates the error that a peer reported with a JSON-RPC error code. An
    /// unknown code becomes [`ErrorKind::Internal`].
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
