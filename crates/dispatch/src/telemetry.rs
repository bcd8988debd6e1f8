//! Structured logs on standard output: JSON lines, written through a bounded
//! queue so that logging never blocks.

use cyclamenloft_types::{Error, ErrorKind, Result};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of queued lines; further lines are dropped and counted. At
/// 300 bytes a line, the full queue takes a little over a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;

/// Keeps the writer running. Dropping the guard flushes the queue.
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Returns the counter of dropped lines.
    #[must_use]
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// `BadSetting` if the filter is invalid, `Internal` if logging was started
/// before.
pub fn start(filter: &str) -> Result<LogGuard> {
    let env_filter = EnvFilter::try_new(filter)
        .map_err(|e| Error::new(ErrorKind::BadSetting, format!("log filter {filter:?}: {e}")))?;
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .with_env_filter(env_filter)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_target(false)
        .try_init()
        .map_err(|e| Error::new(ErrorKind::Internal, format!("logging: {e}")))?;
    Ok(LogGuard { _worker: worker, dropped })
}
