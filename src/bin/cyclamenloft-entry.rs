//! The entry daemon: settings, logging, one call into the library.

use cyclamenloft::{daemon, settings};
use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::entry(settings::entry::command())
}
