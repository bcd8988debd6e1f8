//! Exact output of the operators' command line.

use cyclamenloft_operator::{
    CheckedConfig, ConfigDraft, ConfigFile, ConfigState,
    cli::{self, Format, Rendered},
    messages::{
        ApplyResponse, ContentHash, HistoryEntry, HistoryRequest, HistoryResponse, ShowResponse,
    },
};
use cyclamenloft_replication::StateMachine;
use std::fs;

/// 2026-12-03T18:00:00Z.
const BASE_UNIX_MS: u64 = 1_796_320_800_000;

fn files() -> Vec<ConfigFile> {
    let file = |name: &str, text: &str| ConfigFile { name: name.into(), text: text.into() };
    vec![
        file("10-domains.toml", "[domains]\ncascadia-sea = {}\n"),
        file("20-matchdesk.toml", "[services.matchdesk]\nslots = 8\ndeadline = \"2s\"\n"),
        file("90-late.toml", "[services.matchdesk]\nslots = 6\n"),
    ]
}

fn entry(number: u64, author: &str) -> HistoryEntry {
    let at_unix_ms = BASE_UNIX_MS + 1_000 * number;
    HistoryEntry { number, hash: ContentHash(0xab + number), author: author.into(), at_unix_ms }
}

fn checked(files: Vec<ConfigFile>) -> CheckedConfig {
    ConfigDraft::from_files(files).check().expect("the files are valid")
}

fn show_response() -> ShowResponse {
    let (hash, entry) = (ContentHash(0xad), Some(entry(2, "ann")));
    ShowResponse { number: 2, hash, entry, files: files() }
}

/// Each case is a rendered response, the expected `ok` flag and the expected text.
macro_rules! renders {
    ($($name:ident: $rendered:expr => $ok:expr, $text:expr;)*) => {$(
        #[test]
        fn $name() {
            let rendered: Rendered = $rendered;
            assert_eq!(&*rendered.text, $text);
            assert_eq!(rendered.ok, $ok);
        }
    )*};
}

renders! {
    accepted: cli::apply(&ApplyResponse::Accepted(entry(2, "ann")), Format::Text) => true,
        "accepted: 2 at 2026-12-03T18:00:02Z by ann, content 00000000000000ad\n";
    conflict_with_a_taken_number: cli::apply(&ApplyResponse::Conflict {
        asked: 2, holder: Some(entry(2, "ann")), last: Some(entry(3, "bob")),
    }, Format::Text) => false, "\
conflict: number 2 is not accepted
  taken: 2 at 2026-12-03T18:00:02Z by ann, content 00000000000000ad
  in force: 3 at 2026-12-03T18:00:03Z by bob, content 00000000000000ae
";
    conflict_by_a_gap: cli::apply(&ApplyResponse::Conflict {
        asked: 9, holder: None, last: Some(entry(3, "bob")),
    }, Format::Text) => false, "\
conflict: number 9 is not accepted
  expected 4
  in force: 3 at 2026-12-03T18:00:03Z by bob, content 00000000000000ae
";
    conflict_before_the_first: cli::apply(&ApplyResponse::Conflict {
        asked: 2, holder: None, last: None,
    }, Format::Text) => false, "\
conflict: number 2 is not accepted
  expected 1
  in force: nothing
";
    conflict_with_an_unretained_number: cli::apply(&ApplyResponse::Conflict {
        asked: 2, holder: None, last: Some(entry(3, "bob")),
    }, Format::Text) => false, "\
conflict: number 2 is not accepted
  taken too long ago
  in force: 3 at 2026-12-03T18:00:03Z by bob, content 00000000000000ae
";
    conflict_as_json: cli::apply(&ApplyResponse::Conflict {
        asked: 2, holder: None, last: Some(entry(3, "bob")),
    }, Format::Json) => false, r#"{
  "result": "conflict",
  "asked": 2,
  "last": {
    "number": 3,
    "hash": "00000000000000ae",
    "author": "bob",
    "at_unix_ms": 1796320803000
  }
}
"#;
    show: cli::show(&show_response(), false, Format::Text).unwrap() => true, "\
# in force: 2 at 2026-12-03T18:00:02Z by ann, content 00000000000000ad
services.matchdesk.deadline = \"2s\"
services.matchdesk.slots = 6
";
    show_with_origin: cli::show(&show_response(), true, Format::Text).unwrap() => true, "\
# in force: 2 at 2026-12-03T18:00:02Z by ann, content 00000000000000ad
services.matchdesk.deadline = \"2s\" # 20-matchdesk.toml:3
services.matchdesk.slots = 6 # 90-late.toml:2, overrides 20-matchdesk.toml:2
";
    show_from_a_process_without_the_author:
        cli::show(&ShowResponse { entry: None, files: files()[..1].to_vec(), ..show_response() }, true, Format::Text).unwrap()
        => true, "# in force: 2, content 00000000000000ad\n";
    show_before_the_first: cli::show(&ShowResponse::from(&ConfigState::default()), true, Format::Text).unwrap()
        => true, "# in force: nothing\n";
    show_as_json: cli::show(&show_response(), true, Format::Json).unwrap() => true, r#"{
  "number": 2,
  "hash": "00000000000000ad",
  "values": [
    {
      "key": "services.matchdesk.deadline",
      "value": "\"2s\"",
      "place": {
        "file": "20-matchdesk.toml",
        "line": 3
      },
      "overrides": []
    },
    {
      "key": "services.matchdesk.slots",
      "value": "6",
      "place": {
        "file": "90-late.toml",
        "line": 2
      },
      "overrides": [
        {
          "file": "20-matchdesk.toml",
          "line": 2
        }
      ]
    }
  ]
}
"#;
    history: cli::history(&HistoryResponse {
        entries: vec![entry(3, "bob"), entry(2, "ann")], older: true,
    }, Format::Text) => true, "\
3 at 2026-12-03T18:00:03Z by bob, content 00000000000000ae
2 at 2026-12-03T18:00:02Z by ann, content 00000000000000ad
older ones: --before 2
";
    history_before_the_first: cli::history(&HistoryResponse { entries: vec![], older: false }, Format::Text)
        => true, "no configuration is accepted yet\n";
    history_with_a_time_after_the_year_9999: cli::history(&HistoryResponse {
        entries: vec![HistoryEntry { at_unix_ms: u64::MAX, ..entry(1, "ann") }], older: false,
    }, Format::Text) => true, "1 at 9999-12-31T23:59:59Z by ann, content 00000000000000ac\n";
    history_as_json: cli::history(&HistoryResponse { entries: vec![entry(1, "ann")], older: false }, Format::Json)
        => true, r#"{
  "entries": [
    {
      "number": 1,
      "hash": "00000000000000ac",
      "author": "ann",
      "at_unix_ms": 1796320801000
    }
  ],
  "older": false
}
"#;
    differences: cli::difference(&checked(files()), &checked(vec![ConfigFile {
        name: "20-matchdesk.toml".into(),
        text: "[services.matchdesk]\nslots = 8\nqueue = 64\n".into(),
    }]), Format::Text) => true, "\
- services.matchdesk.deadline = \"2s\"
+ services.matchdesk.queue = 64
~ services.matchdesk.slots = 6 -> 8
";
    no_difference: cli::difference(&checked(files()), &checked(files()), Format::Text)
        => true, "no differences\n";
    differences_as_json: cli::difference(&checked(files()), &checked(files()[..2].to_vec()), Format::Json)
        => true, r#"[
  {
    "key": "services.matchdesk.slots",
    "change": "changed",
    "from": "6",
    "to": "8"
  }
]
"#;
}

#[test]
fn show_prints_a_valid_configuration() {
    let text = cli::show(&show_response(), true, Format::Text).unwrap().text;
    let renders = checked(vec![ConfigFile { name: "a.toml".into(), text }]);
    assert_eq!(renders.deployment().services, checked(files()).deployment().services);
}

#[test]
fn check_counts_the_content_of_a_folder() {
    let dir = tempfile::tempdir().unwrap();
    for file in files() {
        fs::write(dir.path().join(&*file.name), &*file.text).unwrap();
    }
    let hash = ContentHash(checked(files()).hash());
    let rendered = cli::check(dir.path(), Format::Text);
    let expected = format!(
        "the configuration is in order\n  files: 3\n  services: 1\n  teams: 0\n  domains: 1\n  \
         job classes: 0\n  content: {hash}\n"
    );
    assert_eq!((&*rendered.text, rendered.ok), (&*expected, true));
    let rendered = cli::check(dir.path(), Format::Json);
    let expected = format!("{{\n  \"result\": \"in-order\",\n  \"hash\": \"{hash}\"\n}}\n");
    assert_eq!((&*rendered.text, rendered.ok), (&*expected, true));
}

#[test]
fn check_shows_problems_with_their_positions() {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("20-m.toml"), "[services.m]\nslots = 0\n").unwrap();
    let rendered = cli::check(dir.path(), Format::Text);
    assert!(!rendered.ok);
    for part in [
        "invalid-config",
        "the configuration has 1 problem",
        "key \"slots\" in 20-m.toml: expected 1..=1024, found 0",
        "[20-m.toml:2:9]",
        "services.m.slots",
    ] {
        assert!(rendered.text.contains(part), "{part:?} is missing in:\n{}", rendered.text);
    }
    let rendered = cli::check(dir.path(), Format::Json);
    assert!(!rendered.ok);
    let expected = r#"{
  "result": "invalid",
  "problems": [
    {
      "kind": "out-of-range",
      "message": "key \"slots\" in 20-m.toml: expected 1..=1024, found 0",
      "key": "services.m.slots",
      "file": "20-m.toml",
      "position": {
        "line": 2,
        "column": 9
      }
    }
  ],
  "omitted": 0
}
"#;
    assert_eq!(&*rendered.text, expected);
}

#[test]
fn the_history_is_paged() {
    let mut state = ConfigState::default();
    for number in 1..=5 {
        let command = state.command(number, files(), "ann", number);
        state.apply(number, &command).unwrap();
    }
    let page = |before, limit| {
        let response = HistoryResponse::page(&state, &HistoryRequest { before, limit });
        let numbers: Vec<_> = response.entries.iter().map(|e| e.number).collect();
        (numbers, response.older)
    };
    assert_eq!(page(None, None), (vec![5, 4, 3, 2, 1], false));
    assert_eq!(page(None, Some(2)), (vec![5, 4], true));
    assert_eq!(page(Some(4), Some(2)), (vec![3, 2], true));
    assert_eq!(page(Some(2), Some(2)), (vec![1], false));
    assert_eq!(page(Some(u64::MAX), Some(0)), (vec![5], true));
    assert_eq!(page(Some(0), None), (vec![], false));
}
