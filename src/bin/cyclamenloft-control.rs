//! The control daemon. All of its logic is in the library.

use cyclamenloft::{daemon, settings};
use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::control(settings::control::command())
}
