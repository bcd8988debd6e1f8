//! Messages of operators: their checks and their form on the wire.

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

/// Each case: a request, the kind and the text of its refusal.
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
    author_without_a_name: request(1, "", vec![file("")]) => BadRequest,
        "author \"\": expected 1 to 64 letters, digits, '-', '_' or '.'";
    no_files: request(1, "ann", vec![]) => InvalidConfig,
        "configuration: expected at least one .toml file, found none";
    bad_files: request(1, "ann", vec![file("services.m.slots = 0")]) => InvalidConfig,
        "key \"slots\" in 20-m.toml: expected 1..=1024, found 0 (line 1, column 20)";
}

#[test]
fn a_request_in_order_is_decided() {
    let mut state = ConfigState::default();
    let mut apply = |author: &str, text: &str| {
        let proposal = request(1, author, vec![file(text)]).check().expect("it is in order");
        let files = proposal.checked.files().to_vec();
        let command = state.command(proposal.number, files, proposal.author, 7);
        let result = state.apply(1, &command);
        ApplyResponse::from_result(&state, proposal.number, result).expect("it is decided")
    };
    let won = apply("ann", "services.m.slots = 1");
    let ApplyResponse::Accepted(entry) = &won else {
        panic!("the first wins, found {won:?}");
    };
    assert_eq!((entry.number, &*entry.author, entry.at_unix_ms), (1, "ann", 7));
    assert_eq!(apply("ann", "services.m.slots = 1"), won);
    let lost = apply("bob", "services.m.slots = 2");
    let (holder, last) = (Some(entry.clone()), Some(entry.clone()));
    assert_eq!(lost, ApplyResponse::Conflict { asked: 1, holder, last });
}

#[test]
fn other_errors_stay_errors() {
    let error = Error::new(ErrorKind::NoQuorum, "2 of 7 voters answer");
    let decided = ApplyResponse::from_result(&ConfigState::default(), 1, Err(error.clone()));
    assert_eq!(decided, Err(error));
}

#[test]
fn every_process_shows_the_same_content() {
    let mut state = ConfigState::default();
    let command = state.command(1, vec![file("services.m.slots = 1")], "ann", 7);
    state.apply(1, &command).expect("it is the first");
    let mut process = ActiveConfig::default();
    process.apply_update(&state.since(0));
    let (told, passed_on) = (ShowResponse::from(&state), ShowResponse::from(&process));
    assert_eq!(passed_on, ShowResponse { entry: None, ..told.clone() });
    assert_eq!(told.entry.map(|e| (e.number, e.hash)), Some((1, told.hash)));
}

fn same_on_the_wire<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, json: &str) {
    assert_eq!(serde_json::to_string(value).expect("plain data always encodes"), json);
    assert_eq!(&serde_json::from_str::<T>(json).expect("it was encoded here"), value);
}

#[test]
fn messages_keep_their_form_on_the_wire() {
    let entry = HistoryEntry {
        number: 1,
        hash: ContentHash(u64::MAX),
        author: "ann".into(),
        at_unix_ms: 7,
    };
    let entry_json = r#""number":1,"hash":"ffffffffffffffff","author":"ann","at_unix_ms":7"#;
    same_on_the_wire(
        &ApplyResponse::Accepted(entry),
        &format!(r#"{{"result":"accepted",{entry_json}}}"#),
    );
    same_on_the_wire(
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
    same_on_the_wire(
        &update,
        r#"{"number":3,"hash":1,"base":{"since":2},"changed":[],"removed":["a.toml"]}"#,
    );
    let request: HistoryRequest = serde_json::from_str("{}").expect("every key may be left out");
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
fn a_check_answers_with_hash_or_problems() {
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
