//! The record of a scenario: what was sent, answered and run, with the time in milliseconds.

use std::{
    fs,
    path::PathBuf,
    sync::{Mutex, OnceLock},
    time::Instant,
};

struct Record {
    path: PathBuf,
    began: Instant,
    lines: Mutex<Vec<String>>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn open(folder: &str) {
    let path = PathBuf::from(folder).join("record.txt");
    let _ = RECORD.set(Record { path, began: Instant::now(), lines: Mutex::default() });
}

/// Milliseconds since the scenario began.
pub fn now() -> u64 {
    RECORD.get().map_or(0, |r| r.began.elapsed().as_millis() as u64)
}

pub fn line(text: &str) {
    if let Some(r) = RECORD.get() {
        let at = r.began.elapsed().as_millis();
        r.lines.lock().unwrap().push(format!("{at:>6} {text}"));
    }
}

pub fn last() -> String {
    let lines = RECORD.get().map(|r| r.lines.lock().unwrap().last().cloned());
    lines.flatten().unwrap_or_default()
}

pub fn flush() {
    if let Some(r) = RECORD.get() {
        let text = r.lines.lock().unwrap().join("\n") + "\n";
        if let Err(e) = fs::write(&r.path, text) {
            eprintln!("record.txt: {e}");
        }
    }
}
