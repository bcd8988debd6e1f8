//! Exact problems that the validation of a configuration reports.

use cyclamenloft_operator::{
    CheckedConfig, ConfigDraft, ConfigFile, ConfigReport, ProblemKind,
    folder::{MAX_FILE_BYTES, MAX_FILES},
    report::{MAX_PROBLEMS, Position},
};
use cyclamenloft_types::{Error, ErrorKind};
use miette::Diagnostic as _;
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};

fn file(name: &str, text: &str) -> ConfigFile {
    ConfigFile { name: name.into(), text: text.into() }
}

fn report(files: &[(&str, &str)]) -> ConfigReport {
    let files = files.iter().map(|(name, text)| file(name, text)).collect();
    CheckedConfig::try_from(ConfigDraft::from_files(files)).expect_err("the files have a problem")
}

/// Each case is a list of files, with the kind of the first problem and the text of
/// the error that the report is converted to.
macro_rules! invalid {
    ($($name:ident: [$($file:expr),*] => $kind:ident, $text:expr;)*) => {$(
        #[test]
        fn $name() {
            let report = report(&[$($file),*]);
            assert_eq!(report.problems()[0].kind(), ProblemKind::$kind);
            let error = Error::from(report);
            assert_eq!(error.kind, ErrorKind::InvalidConfig);
            assert_eq!(&*error.detail, $text);
        }
    )*};
}

invalid! {
    integer_below_range: [("20-matchdesk.toml", "[services.matchdesk]\nslots = 0\n")] => OutOfRange,
        "key \"slots\" in 20-matchdesk.toml: expected 1..=1024, found 0 (line 2, column 9)";
    integer_above_range: [("a.toml", "[services.m]\nqueue = 100_001")] => OutOfRange,
        "key \"queue\" in a.toml: expected 0..=100000, found 100001 (line 2, column 9)";
    integer_beyond_64_bits: [("a.toml", "[domains.d]\nweight = 99999999999999999999")] => OutOfRange,
        "key \"weight\" in a.toml: expected 0..=10000, found 99999999999999999999 (line 2, column 10)";
    integer_of_wrong_type: [("a.toml", "[services.m]\nslots = \"8\"")] => WrongType,
        "key \"slots\" in a.toml: expected integer 1..=1024, found string \"8\" (line 2, column 9)";
    integer_as_table: [("a.toml", "[services.m.slots]\nx = 1")] => WrongType,
        "key \"slots\" in a.toml: expected integer 1..=1024, found table (line 1, column 13)";
    duration_of_wrong_type: [("a.toml", "[services.m]\ndeadline = 2")] => WrongType,
        "key \"deadline\" in a.toml: expected duration such as \"2s\", found integer 2 (line 2, column 12)";
    duration_that_does_not_parse: [("a.toml", "[services.m]\ndeadline = \"soon\"")] => WrongType,
        "key \"deadline\" in a.toml: expected duration such as \"2s\", found string \"soon\" (line 2, column 12)";
    duration_out_of_range: [("a.toml", "[placement]\nlease = \"1h\"")] => OutOfRange,
        "key \"lease\" in a.toml: expected 1s..=10m, found \"1h\" (line 2, column 9)";
    boolean_of_wrong_type: [("a.toml", "[routing]\nadmission = 1")] => WrongType,
        "key \"admission\" in a.toml: expected true or false, found integer 1 (line 2, column 13)";
    unknown_variant: [("a.toml", "[services.m]\nidempotent = \"sometimes\"")] => OutOfRange,
        "key \"idempotent\" in a.toml: expected \"by-method\", \"always\" or \"never\", found \"sometimes\" (line 2, column 14)";
    table_of_wrong_type: [("a.toml", "services = [1]")] => WrongType,
        "key \"services\" in a.toml: expected a table, found array (line 1, column 12)";
    name_with_wrong_type: [("a.toml", "[teams]\nquotes = 3.5")] => WrongType,
        "key \"quotes\" in a.toml: expected a table, found float 3.5 (line 2, column 10)";
    unknown_key_similar_to_another: [("a.toml", "[services.m]\nslot = 8")] => UnknownKey,
        "key \"slot\" in a.toml: unknown, did you mean \"slots\"? (line 2, column 1)";
    unknown_table: [("a.toml", "\n[rooting]\nchoice = \"round-robin\"")] => UnknownKey,
        "key \"rooting\" in a.toml: unknown, did you mean \"routing\"? (line 2, column 2)";
    unknown_key_similar_to_none: [("a.toml", "[routing]\nxyzzy = 8")] => UnknownKey,
        "key \"xyzzy\" in a.toml: unknown (line 2, column 1)";
    bad_service_name: [("a.toml", "[services.\"match desk\"]\nslots = 8")] => BadName,
        "service \"match desk\": expected 1 to 64 letters, digits, '-', '_' or '.' (in a.toml) (line 1, column 11)";
    missing_part_of_a_quota: [("a.toml", "[teams.t]\nquota = { cpu_millis = 1 }")] => MissingKey,
        "key \"memory_mib\" in a.toml: missing, expected 0..=4294967295 (line 2, column 1)";
    not_toml: [("a.toml", "[services.m]\nslots = = 8")] => NotToml,
        "file a.toml: not TOML: extra `=`, expected nothing (line 2, column 9)";
    key_twice_in_one_file: [("a.toml", "[routing]\nhedging = true\nhedging = false")] => NotToml,
        "file a.toml: not TOML: duplicate key (line 3, column 1)";
    bad_file_name: [("a b.toml", "")] => BadName,
        "file \"a b.toml\": expected 1 to 64 letters, digits, '-', '_' or '.'";
    file_with_another_extension: [("a.yaml", "")] => BadName,
        "file \"a.yaml\": expected a name such as \"20-matchdesk.toml\"";
    hidden_file: [(".a.toml", "")] => BadName,
        "file \".a.toml\": expected a name such as \"20-matchdesk.toml\"";
    path_as_file_name: [("../a.toml", "")] => BadName,
        "file \"../a.toml\": expected 1 to 64 letters, digits, '-', '_' or '.'";
    two_files_of_one_name: [("a.toml", ""), ("a.toml", "[routing]")] => DuplicateName,
        "file a.toml: the name occurs twice";
    large_file: [("a.toml", &" ".repeat(MAX_FILE_BYTES + 1))] => TooLarge,
        "file a.toml: expected at most 65536 bytes, found more";
    lease_below_three_reports: [("a.toml", "[placement]\nlease = \"5s\"\nreport_period = \"2s\"")] => Contradiction,
        "key \"lease\" in a.toml: expected at least 3 report periods (6s), found \"5s\" (line 2, column 9)";
    report_period_above_a_third_of_the_lease: [("a.toml", "[placement]\nreport_period = \"4s\"")] => Contradiction,
        "key \"report_period\" in a.toml: found \"4s\", but \"lease\" is expected to be at least 3 report periods (12s) (line 2, column 17)";
    drift_margin_as_long_as_the_lease: [("a.toml", "[placement]\ndrift_margin = \"10s\"\nlease = \"10s\"")] => Contradiction,
        "key \"drift_margin\" in a.toml: expected less than lease (10s), found \"10s\" (line 2, column 16)";
    fewer_connections_than_slots: [("a.toml", "[services.m]\nslots = 65")] => Contradiction,
        "key \"slots\" in a.toml: found 65, but \"connections\" is expected to be at least slots (65) (line 2, column 9)";
    latency_target_beyond_the_deadline: [("a.toml", "[services.m]\nlatency_p99 = \"3s\"\ndeadline = \"2s\"")] => Contradiction,
        "key \"latency_p99\" in a.toml: expected at most deadline (2s), found \"3s\" (line 2, column 15)";
    hedging_of_non_idempotent_requests: [("a.toml", "[services.m]\nhedging = true\nidempotent = \"never\"")] => Contradiction,
        "key \"hedging\" in a.toml: expected false where idempotent is \"never\", found true (line 2, column 11)";
    invalid_values_are_not_compared: [("a.toml", "[placement]\nlease = \"1h\"\nreport_period = \"30s\"")] => OutOfRange,
        "key \"lease\" in a.toml: expected 1s..=10m, found \"1h\" (line 2, column 9)";
    later_file_is_named: [("10-a.toml", "[services.m]\nslots = 8"), ("90-b.toml", "[services.m]\nslots = 0")] => OutOfRange,
        "key \"slots\" in 90-b.toml: expected 1..=1024, found 0 (line 2, column 9)";
    several_problems: [("a.toml", "[services.m]\nslots = 0\nqueue = true"), ("b.toml", "[teams.t]\nweigth = 1")] => OutOfRange,
        "key \"slots\" in a.toml: expected 1..=1024, found 0 (line 2, column 9); \
         key \"queue\" in a.toml: expected integer 0..=100000, found boolean true (line 3, column 9); \
         key \"weigth\" in b.toml: unknown, did you mean \"weight\"? (line 2, column 1)";
}

#[test]
fn every_file_that_is_not_toml_is_reported() {
    let report = report(&[("a.toml", "="), ("b.toml", ""), ("c.toml", "[")]);
    let files: Vec<_> = report.problems().iter().filter_map(|p| p.file()).collect();
    assert_eq!(files, ["a.toml", "c.toml"]);
}

#[test]
fn too_many_files_and_bytes_are_refused() {
    let many = (0..=MAX_FILES).map(|i| file(&format!("{i:03}.toml"), "")).collect();
    let error = ConfigDraft::from_files(many).check().expect_err("one file too many");
    assert_eq!(&*error.detail, "configuration: expected at most 256 files, found 257");

    let text = " ".repeat(MAX_FILE_BYTES);
    let large = (0..17).map(|i| file(&format!("{i}.toml"), &text)).collect();
    let error = ConfigDraft::from_files(large).check().expect_err("more than a mebibyte");
    assert_eq!(&*error.detail, "configuration: expected at most 1048576 bytes, found 1114112");
}

#[test]
fn the_number_of_listed_problems_is_limited() {
    let text: String = (0..1000).map(|i| format!("key{i} = {i}\n")).collect();
    let report = report(&[("a.toml", &text)]);
    assert_eq!(report.problems().len(), MAX_PROBLEMS);
    assert_eq!(report.omitted(), 1000 - MAX_PROBLEMS);
    assert_eq!(report.to_string(), "the configuration has 1000 problems");
    assert!(Error::from(report).detail.ends_with("; 992 more problems"));
}

#[test]
fn deeply_nested_tables_and_arrays_are_refused() {
    let key = vec!["a"; 30_000].join(".");
    let dotted = report(&[("a.toml", &format!("{key} = 1"))]);
    assert_eq!(dotted.problems()[0].kind(), ProblemKind::NotToml);
    let arrays = report(&[("a.toml", &format!("a = {}", "[".repeat(60_000)))]);
    assert_eq!(arrays.problems()[0].kind(), ProblemKind::NotToml);
}

#[test]
fn miette_shows_file_line_and_column() {
    let report = report(&[("20-matchdesk.toml", "[services.matchdesk]\nslots = 0\nqeue = 5\n")]);
    let mut shown = String::new();
    let handler = miette::NarratableReportHandler::new();
    handler.render_report(&mut shown, &report).expect("writing to a string can't fail");
    for part in [
        "the configuration has 2 problems",
        "key \"slots\" in 20-matchdesk.toml: expected 1..=1024, found 0",
        "Begin snippet for 20-matchdesk.toml starting at line 1, column 1",
        "snippet line 2: slots = 0",
        "label at line 2, column 9: services.matchdesk.slots",
        "label at line 3, columns 1 to 4: services.matchdesk.qeue",
        "diagnostic help: known here: slots, connections, deadline, queue,",
    ] {
        assert!(shown.contains(part), "{part:?} is missing in:\n{shown}");
    }
    assert_eq!(report.code().expect("the report has a code").to_string(), "invalid-config");
}

#[test]
fn columns_count_characters() {
    let text = "a = \"é\"\n[é]";
    assert_eq!(Position::of(text, 0), Position { line: 1, column: 1 });
    assert_eq!(Position::of(text, 7), Position { line: 1, column: 7 });
    assert_eq!(Position::of(text, 9), Position { line: 2, column: 1 });
    assert_eq!(Position::of(text, 99), Position { line: 2, column: 4 });
}

const VALID: &str = "[services.m]\nslots = 8\ndeadline = \"2s\"\n[teams.t]\n\
    quota = { cpu_millis = 1, memory_mib = 2 }\n[routing.spill]\nenabled = true\n";

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1024,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A file with any content is either accepted or rejected with a report that states
    /// positions.
    #[test]
    fn invalid_files_never_panic(at in any::<Index>(), cut in 0..9_usize, put in "\\PC{0,6}|[\\[\\]{}=.,\"\\-\n0-9é]{0,6}") {
        let mut text: Vec<char> = VALID.chars().collect();
        let at = at.index(text.len());
        let end = text.len().min(at + cut);
        text.splice(at..end, put.chars());
        let text: String = text.into_iter().collect();
        match CheckedConfig::try_from(ConfigDraft::from_files(vec![file("a.toml", &text)])) {
            Ok(checked) => {
                prop_assert!(checked.origins().iter().all(|o| o.place.line as usize <= text.lines().count()));
            }
            Err(report) => {
                prop_assert!(report.problems().iter().all(|p| p.position().is_some()));
                let mut shown = String::new();
                let handler = miette::GraphicalReportHandler::new();
                prop_assert!(handler.render_report(&mut shown, &report).is_ok());
                prop_assert_eq!(Error::from(report).kind, ErrorKind::InvalidConfig);
            }
        }
    }
}
