//! The list of upstreams: changes, outages of its source, upstreams that come back.

#[path = "support/list_entries.rs"]
mod list_entries;

use std::time;

use list_entries::{at, entry, name};
use slipturn_core::{
    fleet_list::ListState,
    ids,
    send_gate::{SendDenial, SendKind, TrialTurn},
    upstream_list::{ListChange, UpstreamEntry, UpstreamList},
    upstream_notice::NoticeSource,
};

fn service() -> ids::ServiceId {
    "s".parse().expect("a valid name")
}

fn full() -> UpstreamList {
    let mut list = UpstreamList::default();
    list.replace(at(0), (1..=4).map(entry).collect(), 10.into());
    list
}

fn usable(list: &UpstreamList) -> usize {
    list.usable(&service()).len()
}

#[test]
fn a_leaving_upstream_is_not_usable_but_known() {
    let mut list = full();
    let leaving = UpstreamEntry { state: ListState::Leaving, ..entry(1) };
    assert!(list.apply(at(1), vec![ListChange::Present(leaving)], 11.into()));
    assert_eq!(usable(&list), 3);
    assert!(!list.is_usable(&name(1)) && list.entry(&name(1)).is_some());
}

#[test]
fn older_revisions_change_nothing() {
    let mut list = full();
    assert!(!list.apply(at(1), vec![ListChange::Gone(name(1))], 9.into()));
    assert!(!list.replace(at(1), Vec::new(), 9.into()));
    assert_eq!((usable(&list), list.revision()), (4, 10.into()));
}

#[test]
fn one_that_is_gone_in_quiet_times_is_gone_at_once() {
    let mut list = full();
    list.apply(at(5_000), vec![ListChange::Gone(name(1))], 11.into());
    assert!(list.entry(&name(1)).is_none());
}

#[test]
fn many_that_lapsed_with_their_source_are_used_until_they_must_be_back() {
    let mut list = full();
    list.source_returned(at(1_000));
    let gone = (1..=3).map(|number| ListChange::Gone(name(number))).collect();
    list.apply(at(1_010), gone, 14.into());
    assert_eq!(usable(&list), 4, "most of a service does not leave in one moment");
    list.apply(at(2_000), vec![ListChange::Present(entry(1))], 15.into());
    list.tick(at(3_000));
    assert_eq!(usable(&list), 2, "one came back, two are gone");
    assert!(list.entry(&name(2)).is_none());
}

#[test]
fn few_that_vanish_after_an_outage_are_not_used_meanwhile() {
    let mut list = full();
    list.source_returned(at(1_000));
    list.apply(at(1_010), vec![ListChange::Gone(name(1))], 11.into());
    assert_eq!(usable(&list), 3);
    list.apply(at(1_500), vec![ListChange::Present(entry(1))], 12.into());
    assert_eq!(usable(&list), 4);
}

#[test]
fn one_that_was_leaving_before_it_vanished_is_gone_even_after_an_outage() {
    let mut list = full();
    let leaving = UpstreamEntry { state: ListState::Leaving, ..entry(1) };
    list.apply(at(500), vec![ListChange::Present(leaving)], 11.into());
    list.source_returned(at(1_000));
    list.apply(at(1_010), vec![ListChange::Gone(name(1))], 12.into());
    assert!(list.entry(&name(1)).is_none());
}

#[test]
fn the_number_of_changes_stays_only_while_the_usable_upstreams_do() {
    let mut list = full();
    let leaving = UpstreamEntry { state: ListState::Leaving, ..entry(1) };
    let steps: [&dyn Fn(&mut UpstreamList) -> bool; 8] = [
        &|list| list.apply(at(10), vec![ListChange::Present(entry(1))], 11.into()),
        &|list| list.apply(at(20), vec![ListChange::Present(leaving.clone())], 12.into()),
        &|list| list.apply(at(30), vec![ListChange::Gone(name(1))], 13.into()),
        &|list| {
            list.source_returned(at(1_000));
            true
        },
        &|list| list.apply(at(1_010), vec![ListChange::Gone(name(2))], 14.into()),
        &|list| list.apply(at(1_500), vec![ListChange::Present(entry(2))], 15.into()),
        &|list| list.apply(at(1_600), vec![ListChange::Gone(name(3))], 16.into()),
        &|list| list.tick(at(3_000)),
    ];
    let mut changed = 0;
    for step in steps {
        let names = |list: &UpstreamList| -> Vec<_> {
            list.usable(&service()).iter().map(|entry| entry.name.clone()).collect()
        };
        let (before, count) = (names(&list), list.changes());
        step(&mut list);
        if names(&list) != before {
            assert!(list.changes() > count);
            changed += 1;
        }
    }
    assert_eq!(changed, 4, "leaving, vanished, back, vanished");
    let count = list.changes();
    list.apply(at(4_000), vec![ListChange::Present(entry(4))], 17.into());
    list.tick(at(5_000));
    assert_eq!(list.changes(), count, "nothing new");
}

fn start(number: u8, born: u64) -> UpstreamEntry {
    UpstreamEntry { name: name(number).with_start(ids::UpstreamStart(born)), ..entry(number) }
}

fn present(list: &UpstreamList, number: u8) -> Option<u64> {
    list.entry(&name(number)).and_then(|entry| entry.name.start()).map(|start| start.0)
}

#[test]
fn an_entry_of_another_start_replaces_the_one_before_and_says_so() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![start(1, 50)], 10.into());
    assert!(
        list.apply(at(1), vec![ListChange::Present(start(1, 40))], 11.into()),
        "other, not newer"
    );
    assert_eq!(present(&list, 1), Some(40));
    let ended = list.take_ended();
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].name, start(1, 50).name);
    assert!(list.is_present(&start(1, 40).name) && !list.is_present(&start(1, 50).name));
    assert!(list.is_usable(&start(1, 50).name), "whoever is sent there reaches the one that runs");
    assert_eq!(usable(&list), 1);
}

#[test]
fn entries_of_starts_that_are_over_change_nothing() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![start(1, 50)], 10.into());
    // Twice within a second.
    list.apply(
        at(100),
        vec![ListChange::Present(start(1, 60)), ListChange::Present(start(1, 70))],
        11.into(),
    );
    for (number, over) in [50, 60].into_iter().enumerate() {
        let draining = UpstreamEntry { state: ListState::Leaving, ..start(1, over) };
        let revision = 12 + number as u64;
        assert!(!list.apply(at(200), vec![ListChange::Present(draining)], revision.into()));
    }
    list.replace(at(300), vec![start(1, 60)], 20.into());
    assert_eq!((present(&list, 1), usable(&list)), (Some(70), 1));
    // Nor do they behind a lapse, unless the list goes on naming one.
    list.apply(
        at(400),
        vec![ListChange::Gone(name(1)), ListChange::Present(start(1, 50))],
        21.into(),
    );
    assert_eq!(present(&list, 1), None);
    list.apply(at(1_500), vec![ListChange::Present(start(1, 70))], 22.into());
    assert_eq!(present(&list, 1), Some(70));
    list.apply(
        at(1_600),
        vec![ListChange::Gone(name(1)), ListChange::Present(start(1, 50))],
        23.into(),
    );
    assert!(list.tick(at(4_700)));
    assert_eq!((present(&list, 1), usable(&list)), (Some(50), 1));
    // Long behind its end nothing is remembered.
    list.apply(at(5_000), vec![ListChange::Gone(name(1))], 24.into());
    list.tick(at(40_000));
    list.apply(at(40_100), vec![ListChange::Present(start(1, 60))], 25.into());
    assert_eq!(present(&list, 1), Some(60));
}

#[test]
fn an_upstreams_own_word_decides_unless_it_was_asked_for_before() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![start(1, 50)], 10.into());
    let told = |list: &mut UpstreamList, now, born, asked| {
        list.update_start(at(now), &name(1), ids::UpstreamStart(born), at(asked))
    };
    assert!(!told(&mut list, 100, 50, 90), "the same");
    assert!(told(&mut list, 200, 60, 190));
    assert!(!told(&mut list, 210, 50, 195), "asked before it was known");
    assert!(
        !list.apply(at(220), vec![ListChange::Present(start(1, 50))], 11.into()),
        "an old entry"
    );
    assert_eq!(present(&list, 1), Some(60));
    // The list's word on one that nobody has heard of holds, and the upstream's own again after it.
    list.apply(at(300), vec![ListChange::Present(start(1, 55))], 12.into());
    assert!(told(&mut list, 400, 60, 390), "a start taken for over that answers is present");
    assert_eq!(present(&list, 1), Some(60));
    assert!(!list.update_start(at(400), &name(9), ids::UpstreamStart(1), at(390)), "not listed");
}

#[test]
fn an_entry_without_its_start_is_another_writers_where_starts_are_told() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![start(1, 50), entry(2)], 10.into());
    assert!(list.apply(at(1), vec![ListChange::Present(entry(1))], 11.into()));
    assert_eq!((present(&list, 1), usable(&list)), (None, 1));
    // Where none are told there is nothing to tell apart.
    assert!(!list.update_start(at(5), &name(2), ids::UpstreamStart(9), at(4)));
    list.apply(at(6), vec![ListChange::Present(start(2, 9))], 12.into());
    assert_eq!(present(&list, 2), Some(9));
}

#[test]
fn an_entry_that_cannot_be_read_names_nobody_also_while_vanishing_is_doubted() {
    let mut list = full();
    list.source_returned(at(1_000));
    list.apply(
        at(1_010),
        vec![ListChange::Unreadable(name(1)), ListChange::Gone(name(2))],
        14.into(),
    );
    assert!(list.entry(&name(1)).is_none() && list.entry(&name(2)).is_some());
}

#[test]
fn names_of_starts_are_read_and_written() {
    let parse = |text: &str| text.parse::<ids::UpstreamId>();
    let first = parse("i-1@17").expect("a valid name");
    assert_eq!((first.identifier(), first.start()), ("i-1", Some(ids::UpstreamStart(17))));
    assert_eq!(first.with_start(ids::UpstreamStart(18)).to_string(), "i-1@18");
    assert_eq!(parse("i-1").expect("a valid name").start(), None);
    for bad in ["", "@", "@5", "i-1@", "i-1@x", "i-1@1@2", "i-1@-4", "a b"] {
        assert!(parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn a_late_write_of_the_start_before_changes_nothing_unless_it_stays() {
    let mut list = UpstreamList::default();
    let named = |list: &mut UpstreamList, now, born, revision: u64| {
        list.apply(at(now), vec![ListChange::Present(start(1, born))], revision.into());
    };
    list.replace(at(0), vec![start(1, 50)], 10.into());
    named(&mut list, 100, 60, 11);
    // A write of the first is carried out late, and the second writes over it with its next heartbeat.
    named(&mut list, 1_000, 50, 12);
    list.tick(at(2_000));
    named(&mut list, 2_100, 60, 13);
    list.tick(at(9_000));
    assert_eq!(present(&list, 1), Some(60));
    // One that nobody here had heard of looks like a new start; the present one is named again.
    named(&mut list, 10_000, 40, 14);
    assert_eq!(present(&list, 1), Some(40));
    named(&mut list, 11_200, 60, 15);
    list.tick(at(13_000));
    assert_eq!(present(&list, 1), Some(40), "it may be a late write, too");
    list.tick(at(14_300));
    assert_eq!(present(&list, 1), Some(60), "the list goes on naming it");
    // The upstream's own word is quicker.
    named(&mut list, 20_000, 40, 16);
    assert!(!list.update_start(at(20_500), &name(1), ids::UpstreamStart(60), at(20_400)));
    list.tick(at(30_000));
    assert_eq!(present(&list, 1), Some(60));
}

fn none() -> time::Duration {
    time::Duration::ZERO
}

fn rest(list: &mut UpstreamList, now: u64, number: u8, millis: u64) {
    let asked = time::Duration::from_millis(millis);
    list.notices_mut().receive_rest(at(now), &name(number), asked);
}

fn open(list: &UpstreamList, now: u64, turn: TrialTurn) -> Vec<ids::UpstreamId> {
    list.open(at(now), &service(), turn).into_iter().map(|entry| entry.name.clone()).collect()
}

/// The list goes on naming it, lapses and names it again; another start begins anew.
#[test]
fn an_upstreams_own_word_outlives_what_the_list_says() {
    let mut list = full();
    let before = list.changes();
    assert!(list.receive_leaving(at(1), &name(1), NoticeSource::Answer, none()));
    assert!(list.changes() > before, "planners are brought up to it");
    assert_eq!(usable(&list), 3);
    list.apply(at(2), vec![ListChange::Present(entry(1))], 11.into());
    assert_eq!(usable(&list), 3, "a write that was on its way");
    list.apply(at(3), vec![ListChange::Gone(name(1))], 12.into());
    list.forget_notices(at(4));
    list.apply(at(30_000), vec![ListChange::Present(entry(1))], 13.into());
    assert_eq!(usable(&list), 3, "a lapse");
    let kept_back = list.permits(at(30_001), &name(1), SendKind::Request, &[]);
    assert!(matches!(kept_back, Err(SendDenial::Leaves(NoticeSource::Answer, _))), "{kept_back:?}");
    let again = UpstreamEntry { name: "u1@200".parse().expect("a valid name"), ..entry(1) };
    list.apply(at(31_000), vec![ListChange::Present(again)], 14.into());
    assert_eq!(usable(&list), 4, "another start of it");
    assert_eq!(list.permits(at(31_001), &name(1), SendKind::Request, &[]), Ok(()));
}

/// Of a start that is over no old word counts for the present one, whoever repeats it.
#[test]
fn a_word_on_a_start_that_is_over_changes_nothing() {
    let mut list = UpstreamList::default();
    let start = |start: u64| UpstreamEntry {
        name: format!("u1@{start}").parse().expect("a valid name"),
        ..entry(1)
    };
    list.replace(at(0), vec![start(100)], 1.into());
    list.apply(at(10), vec![ListChange::Present(start(200))], 2.into());
    list.receive_leaving(at(20), &start(100).name, NoticeSource::Member, none());
    assert_eq!(usable(&list), 1);
    let old = time::Duration::from_secs(500);
    assert!(!list.receive_leaving(at(30), &start(100).name, NoticeSource::Member, old));
    assert!(list.receive_leaving(at(30), &start(200).name, NoticeSource::Member, old), "listed");
}

#[test]
fn rest_concerns_this_instance_alone_and_ends_with_its_time() {
    let mut list = full();
    rest(&mut list, 0, 1, 3_000);
    rest(&mut list, 0, 2, 5_000);
    assert_eq!(usable(&list), 4, "others may send there");
    assert_eq!(open(&list, 10, TrialTurn::Yes), [name(3), name(4)]);
    assert_eq!(list.closed(at(10), &service(), TrialTurn::Yes), [&name(1), &name(2)]);
    assert_eq!(list.first_backoff_to_end(at(10), &service()).expect("two rest").until, at(3_000));
    // It has rested: who has another attempt in hand finds out, one at a time.
    assert_eq!(open(&list, 3_000, TrialTurn::No), [name(3), name(4)]);
    assert_eq!(open(&list, 3_000, TrialTurn::Yes), [name(1), name(3), name(4)]);
    list.notices_mut().begin(at(3_000), &name(1));
    assert_eq!(open(&list, 3_010, TrialTurn::Yes), [name(3), name(4)]);
    list.notices_mut().receive_accepted(at(3_020), &name(1));
    assert_eq!(open(&list, 3_020, TrialTurn::No), [name(1), name(3), name(4)]);
}

#[test]
fn where_only_rested_ones_are_left_they_are_used() {
    let mut list = full();
    (1..=4).for_each(|number| rest(&mut list, 0, number, 1_000 * u64::from(number)));
    assert!(open(&list, 500, TrialTurn::Yes).is_empty());
    assert_eq!(open(&list, 1_000, TrialTurn::No), [name(1)], "better than none");
    list.notices_mut().begin(at(1_000), &name(1));
    assert_eq!(open(&list, 1_010, TrialTurn::Yes), [name(1)]);
}
