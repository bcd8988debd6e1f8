//! Structured logs on standard output: JSON lines, written through a bounded
//! queue so that logging never blocks.

use cyclamenloft_types::{Error, ErrorKind, Result};
use std::{
    io::{self, BufWriter, Write},
    thread,
    time::Duration,
};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of queued lines; further lines are dropped and counted. At
/// 300 bytes a line, the full queue takes a little over a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;

/// Size of a written block, in bytes: a few hundred lines.
const BLOCK_BYTES: usize = 64 << 10;
/// Pause between two blocks, during which lines collect in the queue. At 8,000 lines a second
/// a tenth of the queue fills up.
const BLOCK_INTERVAL: Duration = Duration::from_millis(50);

/// Writes lines in blocks. A line that is written on its own costs a system call and a wake-up
/// of the writer's thread, which is more than it costs to format it. A block consists of whole
/// lines, so standard output, which flushes at the end of a line, writes it with one call.
#[derive(Debug)]
pub struct BlockWriter<W: Write> {
    blocks: BufWriter<W>,
    interval: Duration,
}

impl<W: Write> BlockWriter<W> {
    /// Creates a writer that pauses for `interval` after each flush.
    pub fn new(writer: W, interval: Duration) -> Self {
        Self { blocks: BufWriter::with_capacity(BLOCK_BYTES, writer), interval }
    }
}

impl<W: Write> Write for BlockWriter<W> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.blocks.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.blocks.flush()?;
        thread::sleep(self.interval);
        Ok(())
    }
}

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
        .finish(BlockWriter::new(io::stdout(), BLOCK_INTERVAL));
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
