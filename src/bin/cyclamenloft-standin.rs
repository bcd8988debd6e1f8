//! Simulated targets, workers and callers for tests and demos. Not part of the product.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamenloft::standin::main()
}
