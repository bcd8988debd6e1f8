//! Structured logs on standard error, as text or JSON lines.

use cyclamenloft_types::{Error, ErrorKind, Result};
use tracing_subscriber::EnvFilter;

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for a reader.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged and how.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Form of the log.
    pub format: LogFormat,
    /// Which lines, such as `info` or `info,cyclamenloft::decision=off`.
    pub filter: Box<str>,
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// [`ErrorKind::BadSetting`] where the filter is not understood.
pub fn start(settings: &LogSettings) -> Result<()> {
    let filter = EnvFilter::try_new(&*settings.filter).map_err(|e| {
        Error::new(
            ErrorKind::BadSetting,
            format!("--log-filter {:?}: expected a log filter: {e}", settings.filter),
        )
    })?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|e| Error::new(ErrorKind::Internal, format!("logging: {e}")))
}
