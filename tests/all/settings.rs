//! A program with a wrong setting ends with exit code 2 and a message that names
//! the flag, the value and what was expected.

use std::process::Command;

macro_rules! wrong_settings {
    ($($name:ident: $program:expr, [$($arg:expr),*] => [$($part:expr),*];)*) => {$(
        #[test]
        fn $name() {
            let output = Command::new($program).args([$($arg),*]).output().unwrap();
            assert_eq!(output.status.code(), Some(2));
            let text = String::from_utf8(output.stderr).unwrap();
            // The report wraps long lines, so its line breaks and margins are removed.
            let text = text.split_whitespace().filter(|w| *w != "│").collect::<Vec<_>>().join(" ");
            $(assert!(text.contains($part), "{text}");)*
        }
    )*};
}

const ENTRY: &str = env!("CARGO_BIN_EXE_cyclamenloft-entry");
const CLI: &str = env!("CARGO_BIN_EXE_cyclamenloft");

wrong_settings! {
    missing_flags: ENTRY, ["--host", "e"] => ["--domain"];
    unknown_flag: ENTRY, ["--nonsense", "1"] => ["--nonsense"];
    token_too_short: CLI, [
        "status", "--entry", "localhost", "--operator-token-file", "/dev/null"
    ] => ["--operator-token-file", "at least 16"];
    bad_port: CLI, ["local", "--base-port", "70000"] => ["--base-port", "70000", "1024"];
}
