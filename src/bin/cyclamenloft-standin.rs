//! Stand-ins for targets, workers and callers. Not part of the product.

use std::process::ExitCode;

fn main() -> ExitCode {
    cyclamenloft::standin::main()
}
