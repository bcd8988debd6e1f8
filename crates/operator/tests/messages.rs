//! Validation and JSON form of the configuration messages.

use cyclamenloft_operator::{
    ActiveConfig, ConfigFile, ConfigState, Update,
    messages::{
        ApplyRequest, ApplyResponse, CheckRequest, CheckResponse, ContentHash, HistoryEntry,
        HistoryRequest, ShowResponse,
    },
};
use cyclamenloft_operator::{CheckedConfig, changes::Base};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{Error, ErrorKind};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

fn file(text: &str) -> ConfigFile {
    ConfigFile { name: "20-m.toml".into(), text: text.into() }
}

fn request(number: u64, author: &str, files: Vec<ConfigFile>) -> ApplyRequest {
    ApplyRequest { number, author: author.into(), files }
}

/// Each case is a request with the kind and the text of its error.
macro_rules! refused {
    ($($name:ident: $request:expr => $kind:ident, $text:expr;)*) => {$(
        #[test]
        fn $name() {
            let error = Error::from($request.check().expect_err("the request is malformed"));
            assert_eq!((error.kind, &*error.detail), (ErrorKind::$kind, $text));
        }
    )*};
}

refused! {
    number_zero: request(0, "ann", vec![file("")]) => BadRequest,
        "number: expected at least 1, found 0";
    empty_author: request(1, "", vec![file("")]) => BadRequest,
        "author \"\": expected 1 to 64 letters, digits, '-', '_' or '.'";
    no_files: request(1, "ann", vec![]) => InvalidConfig,
        "configuration: expected at least one .toml file, found none";
    invalid_file: request(1, "ann", vec![file("services.m.slots = 0")]) => InvalidConfig,
        "key \"slots\" in 20-m.toml: expected 1..=1024, found 0 (line 1, column 20)";
}

#[test]
fn a_valid_request_is_accepted_or_conflicts() {
    let mut state = ConfigState::default();
    let mut apply = |author: &str, text: &str| {
        let proposal = request(1, author, vec![file(text)]).check().expect("the request is valid");
        let files = proposal.checked.files().to_vec();
        let command = state.command(proposal.number, files, proposal.author, 7);
        let result = state.apply(1, &command);
        ApplyResponse::from_result(&state, proposal.number, result)
            .expect("the result is accepted or a conflict")
    };
    let accepted = apply("ann", "services.m.slots = 1");
    let ApplyResponse::Accepted(entry) = &accepted else {
        panic!("the first proposal is accepted, found {accepted:?}");
    };
    assert_eq!((entry.number, &*entry.author, entry.at_unix_ms), (1, "ann", 7));
    assert_eq!(apply("ann", "services.m.slots = 1"), accepted);
    let conflict = apply("bob", "services.m.slots = 2");
    let (holder, last) = (Some(entry.clone()), Some(entry.clone()));
    assert_eq!(conflict, ApplyResponse::Conflict { asked: 1, holder, last });
}

#[test]
fn errors_other_than_conflicts_are_returned() {
    let error = Error::new(ErrorKind::NoQuorum, "2 of 7 voters answer");
    let result = ApplyResponse::from_result(&ConfigState::default(), 1, Err(error.clone()));
    assert_eq!(result, Err(error));
}

#[test]
fn group_state_and_other_processes_show_the_same_content() {
    let mut state = ConfigState::default();
    let command = state.command(1, vec![file("services.m.slots = 1")], "ann", 7);
    state.apply(1, &command).expect("the first number is accepted");
    let mut process = ActiveConfig::default();
    process.apply_update(&state.since(0));
    let (from_state, from_process) = (ShowResponse::from(&state), ShowResponse::from(&process));
    assert_eq!(from_process, ShowResponse { entry: None, ..from_state.clone() });
    assert_eq!(from_state.entry.map(|e| (e.number, e.hash)), Some((1, from_state.hash)));
}

fn assert_json_form<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, json: &str) {
    assert_eq!(serde_json::to_string(value).expect("plain data always encodes"), json);
    assert_eq!(&serde_json::from_str::<T>(json).expect("the JSON was compared above"), value);
}

#[test]
fn messages_keep_their_json_form() {
    let entry = HistoryEntry {
        number: 1,
        hash: ContentHash(u64::MAX),
        author: "ann".into(),
        at_unix_ms: 7,
    };
    let entry_json = r#""number":1,"hash":"ffffffffffffffff","author":"ann","at_unix_ms":7"#;
    assert_json_form(
        &ApplyResponse::Accepted(entry),
        &format!(r#"{{"result":"accepted",{entry_json}}}"#),
    );
    assert_json_form(
        &request(3, "ann", vec![file("")]),
        r#"{"number":3,"author":"ann","files":[{"name":"20-m.toml","text":""}]}"#,
    );
    let update = Update {
        number: 3,
        hash: 1,
        base: Base::Since(2),
        changed: vec![],
        removed: vec!["a.toml".into()],
    };
    assert_json_form(
        &update,
        r#"{"number":3,"hash":1,"base":{"since":2},"changed":[],"removed":["a.toml"]}"#,
    );
    let request: HistoryRequest = serde_json::from_str("{}").expect("every key is optional");
    assert_eq!(request, HistoryRequest::default());
}

#[test]
fn malformed_messages_are_refused() {
    for json in [
        r#"{"number":3,"author":"ann"}"#,
        r#"{"number":-1,"author":"ann","files":[]}"#,
        r#"{"number":3,"author":"ann","files":[],"force":true}"#,
    ] {
        serde_json::from_str::<ApplyRequest>(json).expect_err(json);
    }
    for hash in ["ff", "+fffffffffffffff", "fffffffffffffffff", "ffffffffffffffzz"] {
        serde_json::from_str::<ContentHash>(&format!("{hash:?}")).expect_err(hash);
    }
}

#[test]
fn check_response_has_the_hash_or_the_problems() {
    let check = |text: &str| {
        let result = CheckedConfig::try_from(CheckRequest { files: vec![file(text)] });
        CheckResponse::from(&result)
    };
    assert!(matches!(check(""), CheckResponse::InOrder { .. }));
    let CheckResponse::Invalid(report) = check("slots = 8") else {
        panic!("the key is unknown");
    };
    let problem = &report.problems[0];
    assert_eq!(&*problem.message, "key \"slots\" in 20-m.toml: unknown");
    assert_eq!(problem.position.map(|at| (at.line, at.column)), Some((1, 1)));
}
