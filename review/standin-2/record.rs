//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens the record.
pub fn open(path: &str) -> std::io::Result<()> {
    let file = File::create(path)?;
    RECORD.get_or_init(|| (Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Returns the time since the start, in milliseconds.
pub fn now_ms() -> u64 {
    let since = RECORD.get().map_or(0, |(start, _)| start.elapsed().as_millis());
    u64::try_from(since).unwrap_or(u64::MAX)
}

/// Writes a line.
pub fn line(text: &str) {
    let at = now_ms() as f64 / 1000.0;
    println!("{at:8.3} {text}");
    if let Some((_, file)) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

#[macro_export]
macro_rules! note {
    ($($arg:tt)*) => { $crate::record::line(&format!($($arg)*)) };
}
