//! The control daemon: settings, logging, one call into the library.

use cyclamenloft::{daemon, settings};
use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::control(settings::control::command())
}
