//! Learning how images disturb each other, and pacing by it.

use cyclamenloft_placement::submission::{
    interference::Interference,
    pacing::{Pace, Victim, share},
};
use std::time::{Duration, Instant};

/// Feeds tails that follow the true weights, with a swing of their own.
fn taught(weights: &[(&str, f64)], seconds: u64) -> (Interference, Instant) {
    let (mut known, base) = (Interference::default(), Instant::now());
    let mut now = base;
    for tick in 0..seconds * 20 {
        now = base + Duration::from_millis(tick * 50);
        let image = weights[(tick % weights.len() as u64) as usize];
        let part = 0.05 * (tick % 5) as f64;
        let used = vec![(known.index(Some(image.0)), part)];
        let own = 1.4 + 0.6 * ((tick as f64) / 37.0).sin();
        known.note("serving", &used, (own + image.1 * part).exp(), now);
    }
    (known, now)
}

#[test]
fn pairs_that_disturb_are_told_from_those_that_do_not() {
    let (known, _) = taught(&[("loud", 5.0), ("quiet", 0.0), ("middling", 2.0)], 20);
    let weight = |image| known.weight("serving", known.known(Some(image)));
    assert!(weight("loud") > 3.5, "{}", weight("loud"));
    assert!(weight("quiet") < 0.8, "{}", weight("quiet"));
    assert!((1.0..3.2).contains(&weight("middling")), "{}", weight("middling"));
}

#[test]
fn an_unknown_pair_is_taken_for_middling() {
    let (known, _) = taught(&[("loud", 5.0)], 1);
    let weight = known.weight("another", known.known(Some("loud")));
    assert!((0.5..3.0).contains(&weight), "{weight}");
}

#[test]
fn a_change_is_learned_within_seconds() {
    let (mut known, now) = taught(&[("loud", 5.0), ("quiet", 0.0)], 20);
    let index = known.index(Some("quiet"));
    for tick in 1..400u64 {
        let at = now + Duration::from_millis(tick * 50);
        let part = 0.05 * (tick % 5) as f64;
        known.note("serving", &vec![(index, part)], (1.4 + 6.0 * part).exp(), at);
    }
    assert!(known.weight("serving", Some(index)) > 3.0);
}

#[test]
fn the_next_leader_begins_with_what_was_learned() {
    let (known, now) = taught(&[("loud", 5.0), ("quiet", 0.0)], 20);
    let mut next = Interference::from_learned(&known.learned());
    let weight = |k: &Interference, image| k.weight("serving", k.known(Some(image)));
    assert!((weight(&next, "loud") - weight(&known, "loud")).abs() < 0.01);
    // A first solution from little is not far from it.
    next.note("serving", &Vec::new(), 6.0, now);
    assert!(weight(&next, "loud") > 3.0 && weight(&next, "quiet") < 0.8);
}

fn victim(base_ms: f64, over_ms: u64) -> Victim {
    Victim {
        base_ln: base_ms.ln(),
        target_ln: 18f64.ln(),
        over_for: Duration::from_millis(over_ms),
    }
}

macro_rules! shares {
    ($($name:ident: $victim:expr, $own:expr, $all:expr => $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let share = share([($victim, $own, $all)].into_iter());
            assert!($range.contains(&share), "{share}");
        }
    )*};
}

shares! {
    a_harmless_task_works_on: victim(17.0, 2_000), 0.001, 2.0 => 100..=100;
    after_longer_nothing_is_believed_harmless: victim(17.0, 2_400), 0.001, 2.0 => 0..=0;
    a_task_that_fits_works_on: victim(4.0, 0), 0.4, 0.8 => 100..=100;
    tasks_that_fit_in_part_are_slowed: victim(6.0, 0), 0.5, 2.0 => 30..=50;
    no_budget_holds_the_task: victim(17.0, 0), 0.5, 0.5 => 0..=0;
    a_tail_over_its_target_for_long_holds_all: victim(4.0, 2_000), 0.1, 0.1 => 0..=0;
}

#[test]
fn a_pace_falls_at_once_and_rises_once_the_change_shows() {
    let (mut pace, now) = (Pace::default(), Instant::now());
    pace.note(20, now);
    assert_eq!(pace.percent(), 20);
    pace.note(100, now + Duration::from_millis(300));
    assert_eq!(pace.percent(), 20, "the tail doesn't show the change yet");
    pace.note(100, now + Duration::from_millis(900));
    assert_eq!(pace.percent(), 100);
}

#[test]
fn a_run_at_a_low_pace_for_long_is_held_back() {
    let (mut pace, now) = (Pace::default(), Instant::now());
    pace.note(10, now);
    assert!(!pace.is_held_back(now + Duration::from_millis(900)));
    assert!(pace.is_held_back(now + Duration::from_millis(1_300)));
}
