//! Tests of the active configuration of a process after updates in any order.

use cyclamenloft_operator::{
    ActiveConfig, ConfigFile, ConfigState, Update, UpdateOutcome,
    changes::{Base, MAX_REMOVED},
};
use cyclamenloft_replication::StateMachine;
use cyclamenloft_types::ConfigNumber;
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use std::rc::Rc;

fn file(name: &str, text: &str) -> ConfigFile {
    ConfigFile { name: name.into(), text: text.into() }
}

fn accept(state: &mut ConfigState, files: Vec<ConfigFile>) {
    let number = state.number() + 1;
    let command = state.command(number, files, "ann", number);
    state.apply(number, &command).expect("the next number is accepted");
}

fn slots(n: u64) -> ConfigFile {
    file("20-m.toml", &format!("services.m.slots = {n}"))
}

#[test]
fn a_process_a_few_numbers_behind_receives_only_the_changes() {
    let mut state = ConfigState::default();
    accept(&mut state, vec![file("10-domains.toml", ""), slots(1), file("30-teams.toml", "")]);
    accept(&mut state, vec![file("10-domains.toml", ""), slots(2), file("30-teams.toml", "")]);
    accept(&mut state, vec![slots(2), file("30-teams.toml", "[teams.t]")]);
    let update = state.since(2);
    assert_eq!(update.base, Base::Since(2));
    assert_eq!(update.changed, [file("30-teams.toml", "[teams.t]")]);
    assert_eq!(update.removed, ["10-domains.toml".into()]);
    assert_eq!(state.since(3).changed, []);
    let whole = state.since(0);
    assert_eq!((whole.base, &*whole.changed), (Base::Whole, state.files()));
}

#[test]
fn an_update_is_applied_ignored_or_needs_the_whole() {
    let mut state = ConfigState::default();
    accept(&mut state, vec![slots(1)]);
    let first = state.since(0);
    accept(&mut state, vec![slots(2)]);
    accept(&mut state, vec![slots(2), file("90-late.toml", "routing.hedging = false")]);
    let third = state.since(2);

    let mut process = ActiveConfig::default();
    assert!(matches!(process.apply_update(&third), UpdateOutcome::NeedsWhole));
    assert_eq!(process.number(), 0);
    assert!(matches!(process.apply_update(&first), UpdateOutcome::Applied));
    assert!(matches!(process.apply_update(&third), UpdateOutcome::NeedsWhole));
    assert_eq!(process.deployment().services["m"].slots, 1);
    assert!(matches!(process.apply_update(&state.since(process.number())), UpdateOutcome::Applied));
    assert_eq!((process.number(), process.hash()), (3, state.hash()));
    assert!(!process.deployment().routing.hedging);
    assert!(matches!(process.apply_update(&first), UpdateOutcome::Ignored));
    assert!(matches!(process.apply_update(&third), UpdateOutcome::Ignored));
    assert_eq!(process.checked().files(), state.files());
}

#[test]
fn an_update_with_a_wrong_hash_is_not_applied() {
    let mut state = ConfigState::default();
    accept(&mut state, vec![slots(1)]);
    let mut process = ActiveConfig::default();
    let update = Update { changed: vec![slots(2)], ..state.since(0) };
    assert!(matches!(process.apply_update(&update), UpdateOutcome::NeedsWhole));
    assert_eq!(process.number(), 0);
}

#[test]
fn an_unreadable_update_keeps_the_active_configuration() {
    let mut state = ConfigState::default();
    accept(&mut state, vec![slots(1)]);
    let mut process = ActiveConfig::default();
    process.apply_update(&state.since(0));
    let kept = process.checked();
    accept(&mut state, vec![file("20-m.toml", "services.m.a_later_key = 1")]);
    let UpdateOutcome::Unreadable(report) = process.apply_update(&state.since(1)) else {
        panic!("the key is unknown");
    };
    assert_eq!(report.problems()[0].dotted_key(), Some("services.m.a_later_key"));
    assert_eq!(process.number(), 1);
    assert!(Rc::ptr_eq(&kept, &process.checked()));
    accept(&mut state, vec![slots(3)]);
    assert!(matches!(process.apply_update(&state.since(1)), UpdateOutcome::Applied));
}

#[test]
fn removed_files_are_tracked_up_to_a_limit() {
    let mut state = ConfigState::default();
    accept(&mut state, vec![slots(1)]);
    let names = |batch: usize| (0..200).map(move |i| format!("{batch:02}-{i:03}.toml"));
    for batch in 0..8 {
        let mut files = vec![slots(1)];
        files.extend(names(batch).map(|name| file(&name, "")));
        accept(&mut state, files);
    }
    accept(&mut state, vec![slots(1)]);
    // 1,600 files were removed, 200 at each number from 3 to 10. At most [`MAX_REMOVED`]
    // of them are tracked, which here are the 1,000 removed at the numbers 6 to 10.
    assert_eq!(state.since(2).base, Base::Whole);
    assert_eq!(state.since(4).base, Base::Whole);
    let update = state.since(5);
    assert_eq!(update.base, Base::Since(5));
    assert_eq!(update.removed.len(), 1000);
    assert!(update.removed.len() <= MAX_REMOVED);
}

/// One change: files to add or replace (index and content) and files to remove
/// (index).
type Edit = (Vec<(usize, u64)>, Vec<usize>);

/// Returns the states after each prefix of `edits`.
fn states_after(edits: &[Edit]) -> Vec<ConfigState> {
    let mut state = ConfigState::default();
    let mut states = vec![state.clone()];
    for (put, remove) in edits {
        let mut files = state.files().to_vec();
        files.retain(|f| remove.iter().all(|i| f.name != name(*i)));
        for (i, text) in put {
            files.retain(|f| f.name != name(*i));
            files.push(file(&name(*i), &format!("services.m{i}.slots = {}", text + 1)));
        }
        if files.is_empty() {
            files.push(slots(1));
        }
        accept(&mut state, files);
        states.push(state.clone());
    }
    states
}

fn name(i: usize) -> Box<str> {
    format!("{i}0-m.toml").into()
}

fn edits() -> impl Strategy<Value = Vec<Edit>> {
    vec((vec((0..5_usize, 0..3_u64), 0..3), vec(0..5_usize, 0..2)), 1..15)
}

/// Returns whether `process` has the content of its number.
fn matches_state(process: &ActiveConfig, states: &[ConfigState]) -> bool {
    let state = &states[process.number() as usize];
    process.checked().files() == state.files() && process.hash() == state.hash()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Updates come from any state, relative to any number, in any order and any
    /// number of times. Some are forwarded by the first process to the second.
    #[test]
    fn updates_in_any_order_end_at_the_highest_number(
        edits in edits(),
        offers in vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), 0..3_u8), 0..60),
    ) {
        let states = states_after(&edits);
        let mut processes = [ActiveConfig::default(), ActiveConfig::default()];
        let mut highest: ConfigNumber = 0;
        for (from, since, way) in offers {
            let from = &states[from.index(states.len())];
            let since = since.index(states.len()) as ConfigNumber;
            let (to, update) = match way {
                0 => (0, from.since(since)),
                1 => (1, processes[0].since(since)),
                _ => (1, processes[0].since(processes[1].number())),
            };
            let before = processes[to].number();
            let offered = processes[to].apply_update(&update);
            let after = processes[to].number();
            let applied = matches!(offered, UpdateOutcome::Applied);
            prop_assert_eq!(applied, after > before);
            prop_assert!(after == before || after == update.number);
            prop_assert!(matches!(offered, UpdateOutcome::Ignored) == (update.number <= before));
            prop_assert!(matches_state(&processes[to], &states));
            // An update relative to the receiver's number can always be applied.
            prop_assert!(way != 2 || !matches!(offered, UpdateOutcome::NeedsWhole));
            highest = highest.max(after);
        }
        prop_assert_eq!(highest, processes[0].number().max(processes[1].number()));
        let last = states.last().expect("the first state is the empty one");
        for process in &mut processes {
            process.apply_update(&last.since(process.number()));
            prop_assert_eq!(process.number(), last.number());
            prop_assert!(matches_state(process, &states));
        }
    }
}
