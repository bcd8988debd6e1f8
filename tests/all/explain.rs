//! `cyclamenloft explain` on log lines of a simulated day. Some lines are out of
//! order, have text around the JSON object, or are not JSON.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

const LOG: &str = r#"
  8.3441 core-geg {"timestamp":"2026-05-23T15:45:24.343Z","level":"INFO","decision":"submit","submission":"b0bf6bdd2f54fae6","tasks":1,"version":6,"outcome":"done"}
{"timestamp":"2026-05-23T15:45:24.462Z","level":"INFO","decision":"end","task":"b0bf6bdd2f54fae6.0.0.0","attempt":1,"worker":"i-8438518f90","outcome":"failed"}
{"timestamp":"2026-05-23T15:45:24.385Z","level":"INFO","decision":"place","task":"b0bf6bdd2f54fae6.0.0.0","attempt":1,"worker":"i-8438518f90","outcome":"placed"}
{"timestamp":"2026-05-23T15:45:24.400Z","level":"INFO","decision":"place","task":"0000000000000001.0.0.0","attempt":1,"worker":"i-1","outcome":"placed"}
{"timestamp":"2026-05-23T15:45:24.900Z","level":"INFO","decision":"answer","method":"GET","path":"/q/b0bf6bdd2f54fae6","status":200,"outcome":"failed"}
{"timestamp":"2026-05-23T15:45:24.901Z","level":"INFO","decision":"answer","detail":"b0bf6bdd2f54fae6 in a text
not a line at all b0bf6bdd2f54fae6
"#;

fn explain(args: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cyclamenloft"))
        .arg("explain")
        .args(args)
        // A child that reads files gets no standard input, because it may end
        // before all of it is written.
        .stdin(if args.len() > 1 { Stdio::null() } else { Stdio::piped() })
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    if let Some(mut stdin) = child.stdin.take() {
        stdin.write_all(LOG.as_bytes()).unwrap();
    }
    child.wait_with_output().unwrap()
}

#[test]
fn lines_about_a_submission_are_sorted_by_time() {
    let out = explain(&["b0bf6bdd2f54fae6"]);
    let text = String::from_utf8(out.stdout).unwrap();
    let decisions: Vec<&str> = text.lines().map(|l| l.split_whitespace().nth(1).unwrap()).collect();
    assert_eq!(decisions, ["submit", "place", "end", "answer"], "{text}");
    assert!(text.contains("failed") && text.contains("worker=i-8438518f90"), "{text}");
}

#[test]
fn lines_about_a_worker_are_found() {
    let out = explain(&["i-1"]);
    assert_eq!(String::from_utf8(out.stdout).unwrap().lines().count(), 1);
}

#[test]
fn an_id_that_no_line_mentions_is_an_error() {
    let out = explain(&["ffffffffffffffff"]);
    assert!(!out.status.success());
    assert!(String::from_utf8(out.stderr).unwrap().contains("say nothing of"));
}

#[test]
fn a_missing_log_file_is_named_in_the_error() {
    let out = explain(&["x", "no-such-file"]);
    assert!(!out.status.success());
    assert!(String::from_utf8(out.stderr).unwrap().contains("no-such-file"));
}
