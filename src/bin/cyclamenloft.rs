//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamenloft::cli::main()
}
