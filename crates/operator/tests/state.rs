//! Replicated configuration state: races, resent proposals, gaps, limits and
//! snapshots.

use cyclamenloft_operator::{
    AcceptedConfig, ConfigCommand, ConfigFile, ConfigState, NumberStatus,
    folder::hash_files,
    history::{MAX_RECENT, MAX_RETAINED},
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::{ConfigNumber, ErrorKind, Result};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use std::sync::LazyLock;

fn file(name: &str, text: &str) -> ConfigFile {
    ConfigFile { name: name.into(), text: text.into() }
}

fn slots(slots: u64) -> Vec<ConfigFile> {
    vec![file("10-domains.toml", ""), file("20-m.toml", &format!("services.m.slots = {slots}"))]
}

fn propose(
    state: &mut ConfigState,
    number: ConfigNumber,
    files: &[ConfigFile],
    author: &str,
) -> Result<AcceptedConfig> {
    let command = ConfigCommand::Propose {
        number,
        files: files.to_vec(),
        author: author.into(),
        at_unix_ms: 1_000_u64.wrapping_mul(number),
    };
    state.apply(1, &command)
}

/// Returns a state with the numbers 1 to `numbers`, each by one of three authors.
fn state_with(numbers: ConfigNumber) -> ConfigState {
    let mut state = ConfigState::default();
    for number in 1..=numbers {
        let author = ["ann", "bob", "eve"][number as usize % 3];
        let command = state.command(number, slots(number), author, 1_000 * number);
        state.apply(number, &command).expect("the next number is accepted");
    }
    state
}

#[test]
fn the_second_proposal_for_a_number_conflicts_and_names_the_first() {
    let mut state = ConfigState::default();
    let accepted = propose(&mut state, 1, &slots(8), "ann").unwrap();
    assert_eq!(
        accepted,
        AcceptedConfig {
            number: 1,
            hash: hash_files(&slots(8)),
            author: "ann".into(),
            at_unix_ms: 1_000
        }
    );
    let before = state.clone();
    let conflict = propose(&mut state, 1, &slots(4), "bob").unwrap_err();
    assert_eq!(conflict.kind, ErrorKind::Conflict);
    let hash = accepted.hash;
    let expected = format!(
        "number 1: taken by ann with content {hash:016x}; in force is 1 by ann, content {hash:016x}"
    );
    assert_eq!(&*conflict.detail, expected);
    assert_eq!(state, before);
}

#[test]
fn a_resent_proposal_gets_the_same_response() {
    let mut state = state_with(3);
    let first = state.history()[1].clone();
    let before = state.clone();
    assert_eq!(propose(&mut state, 2, &slots(2), "eve").unwrap(), first);
    let amended = ConfigCommand::Amend {
        number: 2,
        changed: vec![],
        removed: vec![],
        hash: hash_files(&slots(2)),
        author: "eve".into(),
        at_unix_ms: 99,
    };
    assert_eq!(state.apply(9, &amended).unwrap(), first);
    assert_eq!(state, before);
}

#[test]
fn the_order_of_the_files_does_not_change_the_content() {
    let mut state = ConfigState::default();
    let mut files = slots(8);
    let first = propose(&mut state, 1, &files, "ann").unwrap();
    files.reverse();
    assert_eq!(propose(&mut state, 1, &files, "ann").unwrap(), first);
}

/// Each case is a proposal after numbers 1 to 3, with the kind and the start of
/// its error.
macro_rules! refused {
    ($($name:ident: $number:expr, $files:expr => $kind:ident, $text:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut state = state_with(3);
            let before = state.clone();
            let error = propose(&mut state, $number, &$files, "ann").unwrap_err();
            assert_eq!(error.kind, ErrorKind::$kind);
            assert!(error.detail.starts_with($text), "{}", error.detail);
            assert_eq!(state, before);
        }
    )*};
}

refused! {
    a_gap: 5, slots(5) => Conflict, "number 5: expected 4; in force is 3 by ann, content ";
    number_zero: 0, slots(5) => Conflict, "number 0: expected 4; in force is 3 by ann, content ";
    the_largest_number: u64::MAX, slots(5) => Conflict, "number 18446744073709551615: expected 4; ";
    no_files: 4, Vec::new() => InvalidConfig, "configuration: expected at least one file, found none";
    two_files_of_one_name: 4, [file("a.toml", ""), file("a.toml", "x")] => InvalidConfig,
        "configuration: expected files of different names";
}

#[test]
fn the_first_number_is_one() {
    let error = propose(&mut ConfigState::default(), 2, &slots(1), "ann").unwrap_err();
    assert_eq!(&*error.detail, "number 2: expected 1; none is accepted yet");
}

#[test]
fn a_command_holds_only_the_files_that_change() {
    let state = state_with(1);
    let files = vec![file("20-m.toml", "services.m.slots = 9"), file("90-late.toml", "")];
    let hash = hash_files(&files);
    let expected = ConfigCommand::Amend {
        number: 2,
        changed: files.clone(),
        removed: vec!["10-domains.toml".into()],
        hash,
        author: "ann".into(),
        at_unix_ms: 5,
    };
    assert_eq!(state.command(2, files.clone(), "ann", 5), expected);
    let whole = ConfigCommand::Propose {
        number: 3,
        files: files.clone(),
        author: "ann".into(),
        at_unix_ms: 5,
    };
    assert_eq!(state.command(3, files.clone(), "ann", 5), whole);
    let mut state = state;
    assert_eq!(state.apply(2, &expected).unwrap().hash, hash);
    assert_eq!(state.files(), files);
}

#[test]
fn changes_with_a_wrong_hash_are_refused() {
    let mut state = state_with(2);
    let before = state.clone();
    let changed = vec![file("90-late.toml", "")];
    let command = ConfigCommand::Amend {
        number: 3,
        changed,
        removed: vec![],
        hash: 1,
        author: "ann".into(),
        at_unix_ms: 5,
    };
    assert_eq!(state.apply(3, &command).unwrap_err().kind, ErrorKind::Internal);
    assert_eq!(state, before);
}

#[test]
fn old_numbers_are_known_up_to_the_limit() {
    let last = MAX_RETAINED as u64 + 10;
    let mut state = state_with(last);
    assert_eq!(state.number(), last);
    assert_eq!(state.history().len(), MAX_RECENT);
    let oldest = last - MAX_RETAINED as u64 + 1;
    for number in [oldest, oldest + 1, last - MAX_RECENT as u64, last - MAX_RECENT as u64 + 1, last]
    {
        let author = ["ann", "bob", "eve"][number as usize % 3];
        let expected = AcceptedConfig {
            number,
            hash: hash_files(&slots(number)),
            author: author.into(),
            at_unix_ms: 1_000 * number,
        };
        assert_eq!(state.number_status(number), NumberStatus::Known(expected.clone()));
        assert_eq!(propose(&mut state, number, &slots(number), "x").unwrap(), expected);
        let conflict = propose(&mut state, number, &slots(0), "x").unwrap_err();
        assert!(conflict.detail.starts_with(&format!("number {number}: taken by {author} with ")));
    }
    assert_eq!(state.number_status(oldest - 1), NumberStatus::Unretained);
    assert_eq!(state.number_status(last + 1), NumberStatus::Free);
    let conflict = propose(&mut state, 1, &slots(1), "x").unwrap_err();
    assert_eq!(conflict.kind, ErrorKind::Conflict);
    assert!(conflict.detail.starts_with("number 1: taken too long ago to compare; in force is "));
    assert_eq!(ConfigState::decode(&state.encode()).unwrap(), state);
}

#[test]
fn a_snapshot_of_another_version_is_refused() {
    let error = ConfigState::decode(&[9, 0]).unwrap_err();
    assert_eq!(error.kind, ErrorKind::Corrupt);
    assert_eq!(&*error.detail, "config snapshot: expected version 1, found 9");
    assert_eq!(
        &*ConfigState::decode(&[]).unwrap_err().detail,
        "config snapshot: expected version 1, found none"
    );
}

/// A snapshot with both full and compact history entries.
static SNAPSHOT: LazyLock<Vec<u8>> = LazyLock::new(|| state_with(MAX_RECENT as u64 + 5).encode());

/// Calls the functions of a decoded state, which must not panic.
fn exercise(state: &mut ConfigState) {
    let number = state.number();
    for n in [0, 1, number.saturating_sub(1), number, number + 1, u64::MAX] {
        let _ = (state.number_status(n), state.since(n));
    }
    let command = state.command(number + 1, slots(1), "ann", 1);
    state.apply(1, &command).expect("the next number is accepted");
    assert_eq!(ConfigState::decode(&state.encode()).as_ref(), Ok(&*state));
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(41))]

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in vec(any::<u8>(), 0..300), version in any::<bool>()) {
        let mut bytes = bytes;
        if version {
            bytes.insert(0, 1);
        }
        if let Ok(mut state) = ConfigState::decode(&bytes) {
            exercise(&mut state);
        }
    }

    #[test]
    fn a_corrupt_snapshot_is_refused_or_usable(
        at in any::<prop::sample::Index>(),
        flip in 1..=255_u8,
        cut in any::<prop::sample::Index>(),
        cut_it in any::<bool>(),
    ) {
        let mut bytes = SNAPSHOT.clone();
        if cut_it {
            bytes.truncate(cut.index(bytes.len()));
            prop_assert!(ConfigState::decode(&bytes).is_err());
        } else {
            let at = at.index(bytes.len());
            bytes[at] ^= flip;
            if let Ok(mut state) = ConfigState::decode(&bytes) {
                exercise(&mut state);
            }
        }
    }

    #[test]
    fn racing_proposals_are_accepted_in_one_order(proposals in vec((0..6_u64, 0..4_u64, 0..3_usize), 1..60)) {
        let mut state = ConfigState::default();
        let mut accepted_so_far: Vec<AcceptedConfig> = Vec::new();
        for (offset, content, author) in proposals {
            let number = (accepted_so_far.len() as u64 + 2).saturating_sub(offset);
            let files = slots(content);
            match propose(&mut state, number, &files, ["ann", "bob", "eve"][author]) {
                Ok(accepted) if accepted.number as usize <= accepted_so_far.len() => {
                    prop_assert_eq!(&accepted_so_far[accepted.number as usize - 1], &accepted);
                }
                Ok(accepted) => {
                    prop_assert_eq!(accepted.number as usize, accepted_so_far.len() + 1);
                    prop_assert_eq!(state.files(), files);
                    accepted_so_far.push(accepted);
                }
                Err(e) => {
                    prop_assert_eq!(e.kind, ErrorKind::Conflict);
                    let existing = (number as usize).checked_sub(1).and_then(|at| accepted_so_far.get(at));
                    prop_assert!(existing.is_none_or(|existing| existing.hash != hash_files(&files)));
                }
            }
        }
        prop_assert_eq!(state.history(), accepted_so_far);
    }
}
