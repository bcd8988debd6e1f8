//! Structured logs on standard error, as text or JSON lines.

use cyclamenloft_types::{Error, ErrorKind, Result};
use tracing_subscriber::EnvFilter;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Log settings.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// Which lines are logged, such as `info` or `info,cyclamenloft::decision=off`.
    pub filter: Box<str>,
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// Returns [`ErrorKind::BadSetting`] if the filter can't be parsed.
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
