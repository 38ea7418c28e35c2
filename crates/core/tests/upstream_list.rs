//! The list of upstreams: changes, outages of its source, upstreams that come back.

use std::time;

use slipturn_core::{
    fleet_list::ListState,
    ids, units,
    upstream_list::{ListChange, UpstreamEntry, UpstreamList},
};

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

fn entry(number: u8) -> UpstreamEntry {
    UpstreamEntry {
        name: name(number),
        service: service(),
        data_center: "a".parse().expect("a valid name"),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        slots: 4,
        state: ListState::Live,
    }
}

fn name(number: u8) -> ids::UpstreamId {
    format!("u{number}").parse().expect("a valid name")
}

fn service() -> ids::ServiceId {
    "s".parse().expect("a valid name")
}

fn full() -> UpstreamList {
    let mut list = UpstreamList::default();
    list.replace(at(0), (1..=4).map(entry).collect(), 10);
    list
}

fn usable(list: &UpstreamList) -> usize {
    list.usable(&service()).len()
}

#[test]
fn a_leaving_upstream_is_not_usable_but_known() {
    let mut list = full();
    let leaving = UpstreamEntry { state: ListState::Leaving, ..entry(1) };
    assert!(list.apply(at(1), vec![ListChange::Present(leaving)], 11));
    assert_eq!(usable(&list), 3);
    assert!(!list.is_usable(&name(1)) && list.entry(&name(1)).is_some());
}

#[test]
fn older_revisions_change_nothing() {
    let mut list = full();
    assert!(!list.apply(at(1), vec![ListChange::Gone(name(1))], 9));
    assert!(!list.replace(at(1), Vec::new(), 9));
    assert_eq!((usable(&list), list.revision()), (4, 10));
}

#[test]
fn one_that_is_gone_in_quiet_times_is_gone_at_once() {
    let mut list = full();
    list.apply(at(5_000), vec![ListChange::Gone(name(1))], 11);
    assert!(list.entry(&name(1)).is_none());
}

#[test]
fn many_that_lapsed_with_their_source_are_used_until_they_must_be_back() {
    let mut list = full();
    list.source_returned(at(1_000));
    let gone = (1..=3).map(|number| ListChange::Gone(name(number))).collect();
    list.apply(at(1_010), gone, 14);
    assert_eq!(usable(&list), 4, "most of a service does not leave in one moment");
    list.apply(at(2_000), vec![ListChange::Present(entry(1))], 15);
    list.tick(at(3_000));
    assert_eq!(usable(&list), 2, "one came back, two are gone");
    assert!(list.entry(&name(2)).is_none());
}

#[test]
fn few_that_vanish_after_an_outage_are_not_used_meanwhile() {
    let mut list = full();
    list.source_returned(at(1_000));
    list.apply(at(1_010), vec![ListChange::Gone(name(1))], 11);
    assert_eq!(usable(&list), 3);
    list.apply(at(1_500), vec![ListChange::Present(entry(1))], 12);
    assert_eq!(usable(&list), 4);
}

#[test]
fn one_that_was_leaving_before_it_vanished_is_gone_even_after_an_outage() {
    let mut list = full();
    let leaving = UpstreamEntry { state: ListState::Leaving, ..entry(1) };
    list.apply(at(500), vec![ListChange::Present(leaving)], 11);
    list.source_returned(at(1_000));
    list.apply(at(1_010), vec![ListChange::Gone(name(1))], 12);
    assert!(list.entry(&name(1)).is_none());
}

#[test]
fn the_number_of_changes_stays_only_while_the_usable_upstreams_do() {
    let mut list = full();
    let leaving = UpstreamEntry { state: ListState::Leaving, ..entry(1) };
    let steps: [&dyn Fn(&mut UpstreamList) -> bool; 8] = [
        &|list| list.apply(at(10), vec![ListChange::Present(entry(1))], 11),
        &|list| list.apply(at(20), vec![ListChange::Present(leaving.clone())], 12),
        &|list| list.apply(at(30), vec![ListChange::Gone(name(1))], 13),
        &|list| {
            list.source_returned(at(1_000));
            true
        },
        &|list| list.apply(at(1_010), vec![ListChange::Gone(name(2))], 14),
        &|list| list.apply(at(1_500), vec![ListChange::Present(entry(2))], 15),
        &|list| list.apply(at(1_600), vec![ListChange::Gone(name(3))], 16),
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
    list.apply(at(4_000), vec![ListChange::Present(entry(4))], 17);
    list.tick(at(5_000));
    assert_eq!(list.changes(), count, "nothing new");
}
