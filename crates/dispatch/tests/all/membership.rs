//! Which members vote. The voters change when a host is lost for good, without waiting longer
//! than the time in which a replacement must count, and stay when nothing can replace them.

use cyclamenloft_dispatch::membership::{
    MembershipChange::{self, Promote, Remove},
    MembershipPolicy,
};
use cyclamenloft_replication::{MemberKind, MemberStatus, Role, Status};
use std::time::{Duration, Instant};

const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);
const LEADER: u64 = 1;

/// A member as the leader sees it: its id, kind, and whether it responds.
type Seen = (u64, MemberKind, bool);

const fn voter(id: u64) -> Seen {
    (id, MemberKind::Voter, true)
}

const fn silent(id: u64) -> Seen {
    (id, MemberKind::Voter, false)
}

const fn learner(id: u64) -> Seen {
    (id, MemberKind::Learner, true)
}

const fn silent_learner(id: u64) -> Seen {
    (id, MemberKind::Learner, false)
}

fn status(members: &[Seen]) -> Status {
    let member = |(id, kind, responsive): &Seen| MemberStatus {
        id: *id,
        incarnation: 1,
        kind: *kind,
        becomes: None,
        matched: Some(if *responsive { 100 } else { 40 }),
        responsive: *responsive,
        answered_at: None,
    };
    Status {
        incarnation: 1,
        role: Role::Leader,
        term: 3,
        leader: Some(LEADER),
        leader_heard_at: None,
        committed: 100,
        applied: 100,
        durable: 100,
        members: members.iter().map(member).collect(),
    }
}

/// Returns the change that is due after members have been in this state for `elapsed`.
fn change_after(
    members: &[Seen],
    tolerated_losses: usize,
    elapsed: Duration,
) -> Option<MembershipChange> {
    let mut policy = MembershipPolicy::new(REPLACEMENT_DELAY, tolerated_losses);
    let began = Instant::now();
    policy.next_change(&status(members), LEADER, began);
    policy.next_change(&status(members), LEADER, began + elapsed)
}

macro_rules! changes {
    (tolerating $losses:literal: $($name:ident: $members:expr, after $ms:literal ms => $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let change = change_after(&$members, $losses, Duration::from_millis($ms));
                assert_eq!(change, $change);
            }
        )*
    };
}

changes! { tolerating 1:
    three_voters_stay: [voter(1), voter(2), voter(3)], after 60_000 ms => None;
    one_learner_beside_three_voters_waits:
        [voter(1), voter(2), voter(3), learner(4)], after 60_000 ms => None;
    two_learners_make_five_voters:
        [voter(1), voter(2), voter(3), learner(4), learner(5)], after 0 ms => Some(Promote(4));
    a_fourth_voter_is_followed_by_a_fifth:
        [voter(1), voter(2), voter(3), voter(4), learner(5)], after 0 ms => Some(Promote(5));
    a_silent_voter_is_kept_through_a_short_outage:
        [voter(1), voter(2), silent(3), learner(4)], after 1_900 ms => None;
    a_learner_replaces_a_silent_voter:
        [voter(1), voter(2), silent(3), learner(4)], after 2_000 ms => Some(Promote(4));
    a_replaced_voter_is_removed:
        [voter(1), voter(2), silent(3), voter(4)], after 2_000 ms => Some(Remove(3));
    a_silent_voter_of_five_makes_room_for_a_learner:
        [voter(1), voter(2), voter(3), voter(4), silent(5), learner(6)], after 2_000 ms
        => Some(Remove(5));
    a_silent_voter_of_three_is_kept_without_a_learner:
        [voter(1), voter(2), silent(3)], after 60_000 ms => None;
    a_silent_learner_replaces_nobody:
        [voter(1), voter(2), silent(3), silent_learner(4)], after 14_000 ms => None;
    a_silent_voter_of_five_without_a_learner_is_removed_late:
        [voter(1), voter(2), voter(3), voter(4), silent(5)], after 14_000 ms => None;
    a_silent_voter_of_five_without_a_learner_is_removed:
        [voter(1), voter(2), voter(3), voter(4), silent(5)], after 15_000 ms => Some(Remove(5));
}

// A majority of three voters is two disks, both of which may be lost.
changes! { tolerating 2:
    four_voters_of_which_one_is_silent_stay_four:
        [voter(1), voter(2), voter(3), silent(4)], after 60_000 ms => None;
    a_learner_is_added_to_four_voters_of_which_one_is_silent:
        [voter(1), voter(2), voter(3), silent(4), learner(5)], after 2_000 ms => Some(Promote(5));
    five_voters_become_four_to_replace_one:
        [voter(1), voter(2), voter(3), silent(4), silent(5), learner(6)], after 2_000 ms
        => Some(Remove(4));
    five_voters_of_which_two_are_silent_become_four_late:
        [voter(1), voter(2), voter(3), silent(4), silent(5)], after 15_000 ms => Some(Remove(4));
}

/// Nothing is committed while the group is idle, so a lost voter lacks no entries.
#[test]
fn a_voter_lost_from_an_idle_group_is_replaced() {
    let mut members = status(&[voter(1), voter(2), voter(3), learner(4)]);
    let mut policy = MembershipPolicy::new(REPLACEMENT_DELAY, 1);
    let began = Instant::now();
    assert_eq!(policy.next_change(&members, LEADER, began), None);
    members.members[2].responsive = false;
    assert_eq!(policy.next_change(&members, LEADER, began + REPLACEMENT_DELAY), Some(Promote(4)));
}

/// A voter whose disk hangs answers, but stores nothing.
#[test]
fn a_voter_that_answers_but_stores_nothing_is_replaced() {
    let mut members = status(&[voter(1), voter(2), voter(3), learner(4)]);
    members.members[2].matched = Some(40);
    let mut policy = MembershipPolicy::new(REPLACEMENT_DELAY, 1);
    let began = Instant::now();
    assert_eq!(policy.next_change(&members, LEADER, began), None);
    assert_eq!(policy.next_change(&members, LEADER, began + REPLACEMENT_DELAY), Some(Promote(4)));
}

/// A new leader has not heard from anyone yet.
#[test]
fn a_new_leader_gives_every_voter_the_whole_delay() {
    let members = status(&[voter(1), voter(2), silent(3), learner(4)]);
    let mut policy = MembershipPolicy::new(REPLACEMENT_DELAY, 1);
    let began = Instant::now();
    policy.next_change(&members, LEADER, began);
    policy.reset();
    let elected = began + Duration::from_secs(30);
    assert_eq!(policy.next_change(&members, LEADER, elected), None);
    assert_eq!(policy.next_change(&members, LEADER, elected + REPLACEMENT_DELAY), Some(Promote(4)));
}

/// The former leader is replaced by a deadline that counts from its loss, and the election has taken
/// a part of that time. Otherwise the group can't bear the next loss in time.
#[test]
fn the_silence_of_a_lost_leader_counts_from_its_last_message() {
    const FORMER: u64 = 2;
    let heard_at = Instant::now();
    let mut policy = MembershipPolicy::new(REPLACEMENT_DELAY, 1);
    let following = Status {
        role: Role::Follower,
        leader: Some(FORMER),
        leader_heard_at: Some(heard_at),
        ..status(&[voter(1), voter(FORMER), voter(3), learner(4)])
    };
    policy.observe_as_follower(&following);
    // A candidate knows no leader.
    policy.observe_as_follower(&Status { role: Role::Candidate, leader: None, ..following });
    let members = status(&[voter(1), silent(FORMER), voter(3), learner(4)]);
    let elected = heard_at + Duration::from_millis(1_600);
    assert_eq!(policy.next_change(&members, LEADER, elected), None);
    let before = heard_at + REPLACEMENT_DELAY - Duration::from_millis(1);
    assert_eq!(policy.next_change(&members, LEADER, before), None);
    let due = heard_at + REPLACEMENT_DELAY;
    assert_eq!(policy.next_change(&members, LEADER, due), Some(Promote(4)));
}

/// A former leader that was suspended, or cut off from this replica alone, answers the new leader.
#[test]
fn a_former_leader_that_answers_stays() {
    const FORMER: u64 = 2;
    let heard_at = Instant::now();
    let mut policy = MembershipPolicy::new(REPLACEMENT_DELAY, 1);
    policy.observe_as_follower(&Status {
        role: Role::Follower,
        leader: Some(FORMER),
        leader_heard_at: Some(heard_at),
        ..status(&[voter(1), voter(FORMER), voter(3), learner(4)])
    });
    // Elected so late that the silence alone would do.
    let elected = heard_at + REPLACEMENT_DELAY * 2;
    let not_yet = status(&[voter(1), silent(FORMER), voter(3), learner(4)]);
    assert_eq!(policy.next_change(&not_yet, LEADER, elected), None);
    let answered = status(&[voter(1), voter(FORMER), voter(3), learner(4)]);
    for ms in [100, 200, 1_000, 10_000] {
        let now = elected + Duration::from_millis(ms);
        assert_eq!(policy.next_change(&answered, LEADER, now), None, "after {ms} ms");
    }
}

/// A member counts as responsive for an election timeout after its last answer, which is no part
/// of the time that it has to answer again.
#[test]
fn the_silence_of_a_voter_counts_from_its_last_answer() {
    let mut policy = MembershipPolicy::new(REPLACEMENT_DELAY, 1);
    let began = Instant::now();
    let mut members = status(&[voter(1), voter(2), voter(3), learner(4)]);
    policy.next_change(&members, LEADER, began);
    let answered_at = began + Duration::from_secs(5);
    members.members[2].answered_at = Some(answered_at);
    let observed = answered_at + Duration::from_millis(850);
    assert_eq!(policy.next_change(&members, LEADER, observed), None);
    members.members[2].responsive = false;
    let due = answered_at + REPLACEMENT_DELAY;
    let before = due - Duration::from_millis(1);
    assert_eq!(policy.next_change(&members, LEADER, before), None);
    assert_eq!(policy.next_change(&members, LEADER, due), Some(Promote(4)));
}

/// The replacement goes to the domain with the fewest voters.
#[test]
fn a_learner_of_the_domain_with_fewest_voters_is_preferred() {
    let members = status(&[voter(1), voter(2), silent(3), learner(4), learner(5)]);
    let mut policy = MembershipPolicy::new(REPLACEMENT_DELAY, 1);
    for (id, domain) in [(1, "a"), (2, "b"), (3, "c"), (4, "a"), (5, "c")] {
        policy.record_domain(id, domain.into());
    }
    let began = Instant::now();
    policy.next_change(&members, LEADER, began);
    assert_eq!(policy.next_change(&members, LEADER, began + REPLACEMENT_DELAY), Some(Promote(5)));
}
