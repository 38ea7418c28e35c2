//! The list of upstreams: changes, outages of its source, restarts, and notices of upstreams.
//!
//! A start is one run of an upstream's process, identified by the time at which it started.

#[path = "support/list_entries.rs"]
mod list_entries;

use std::time;

use list_entries::{at, entry, name};
use slipturn_core::{
    fleet_list::ListState,
    ids,
    send_gate::{ProbePermission, SendDenial, SendKind},
    upstream_list::{ListChange, UpstreamEntry, UpstreamList},
    upstream_notice::NoticeSource,
};

fn service() -> ids::ServiceId {
    "s".parse().expect("a valid name")
}

/// A list of upstreams 1 to 4.
fn full() -> UpstreamList {
    let mut list = UpstreamList::default();
    list.replace(at(0), (1..=4).map(entry).collect(), 10.into());
    list
}

/// Number of upstreams of the service that may take new work.
fn usable(list: &UpstreamList) -> usize {
    list.usable(&service()).len()
}

#[test]
fn a_leaving_upstream_is_listed_but_not_usable() {
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
fn an_upstream_deleted_without_an_outage_is_removed_at_once() {
    let mut list = full();
    list.apply(at(5_000), vec![ListChange::Gone(name(1))], 11.into());
    assert!(list.entry(&name(1)).is_none());
}

#[test]
fn many_upstreams_dropped_after_an_outage_are_used_until_they_are_due() {
    let mut list = full();
    list.source_returned(at(1_000));
    let gone = (1..=3).map(|number| ListChange::Gone(name(number))).collect();
    list.apply(at(1_010), gone, 14.into());
    assert_eq!(usable(&list), 4, "most upstreams of a service do not leave at once");
    list.apply(at(2_000), vec![ListChange::Present(entry(1))], 15.into());
    list.tick(at(3_000));
    assert_eq!(usable(&list), 2, "one returned, two were removed");
    assert!(list.entry(&name(2)).is_none());
}

#[test]
fn few_upstreams_dropped_after_an_outage_are_not_used() {
    let mut list = full();
    list.source_returned(at(1_000));
    list.apply(at(1_010), vec![ListChange::Gone(name(1))], 11.into());
    assert_eq!(usable(&list), 3);
    list.apply(at(1_500), vec![ListChange::Present(entry(1))], 12.into());
    assert_eq!(usable(&list), 4);
}

#[test]
fn a_leaving_upstream_dropped_after_an_outage_is_removed_at_once() {
    let mut list = full();
    let leaving = UpstreamEntry { state: ListState::Leaving, ..entry(1) };
    list.apply(at(500), vec![ListChange::Present(leaving)], 11.into());
    list.source_returned(at(1_000));
    list.apply(at(1_010), vec![ListChange::Gone(name(1))], 12.into());
    assert!(list.entry(&name(1)).is_none());
}

#[test]
fn each_change_of_the_usable_upstreams_is_counted() {
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
    assert_eq!(changed, 4, "leaving, dropped, returned, dropped");
    let count = list.changes();
    list.apply(at(4_000), vec![ListChange::Present(entry(4))], 17.into());
    list.tick(at(5_000));
    assert_eq!(list.changes(), count, "nothing new");
}

/// An entry of an upstream that names `started` as its start.
fn start(number: u8, started: u64) -> UpstreamEntry {
    UpstreamEntry { name: name(number).with_start(ids::UpstreamStart(started)), ..entry(number) }
}

/// The present start of an upstream; `None` if the upstream is not listed or its entry names no start.
fn present(list: &UpstreamList, number: u8) -> Option<u64> {
    list.entry(&name(number)).and_then(|entry| entry.name.start()).map(|start| start.0)
}

#[test]
fn an_entry_of_another_start_replaces_the_present_one_and_reports_its_end() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![start(1, 50)], 10.into());
    assert!(
        list.apply(at(1), vec![ListChange::Present(start(1, 40))], 11.into()),
        "starts differ but are not ordered"
    );
    assert_eq!(present(&list, 1), Some(40));
    let ended = list.take_ended_starts();
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].name, start(1, 50).name);
    assert!(list.is_present(&start(1, 40).name) && !list.is_present(&start(1, 50).name));
    assert!(
        list.is_usable(&start(1, 50).name),
        "a request for the ended start reaches the one that runs"
    );
    assert_eq!(usable(&list), 1);
}

#[test]
fn entries_of_ended_starts_are_ignored_unless_the_list_keeps_naming_them() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![start(1, 50)], 10.into());
    // Two restarts within a second.
    list.apply(
        at(100),
        vec![ListChange::Present(start(1, 60)), ListChange::Present(start(1, 70))],
        11.into(),
    );
    for (number, ended_start) in [50, 60].into_iter().enumerate() {
        let draining = UpstreamEntry { state: ListState::Leaving, ..start(1, ended_start) };
        let revision = 12 + number as u64;
        assert!(!list.apply(at(200), vec![ListChange::Present(draining)], revision.into()));
    }
    list.replace(at(300), vec![start(1, 60)], 20.into());
    assert_eq!((present(&list, 1), usable(&list)), (Some(70), 1));
    // Entries of ended starts are ignored after a deletion as well, unless the list keeps naming one of these starts.
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
    // Starts are forgotten long after the upstream was removed.
    list.apply(at(5_000), vec![ListChange::Gone(name(1))], 24.into());
    list.tick(at(40_000));
    list.apply(at(40_100), vec![ListChange::Present(start(1, 60))], 25.into());
    assert_eq!(present(&list, 1), Some(60));
}

#[test]
fn a_start_reported_by_the_upstream_is_present_unless_requested_earlier() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![start(1, 50)], 10.into());
    let report = |list: &mut UpstreamList, now, started, requested| {
        list.update_start(at(now), &name(1), ids::UpstreamStart(started), at(requested))
    };
    assert!(!report(&mut list, 100, 50, 90), "the same start");
    assert!(report(&mut list, 200, 60, 190));
    assert!(!report(&mut list, 210, 50, 195), "requested before the present start was known");
    assert!(
        !list.apply(at(220), vec![ListChange::Present(start(1, 50))], 11.into()),
        "an old entry"
    );
    assert_eq!(present(&list, 1), Some(60));
    // An unknown start in the list becomes the present one, and a later report of the upstream replaces it.
    list.apply(at(300), vec![ListChange::Present(start(1, 55))], 12.into());
    assert!(report(&mut list, 400, 60, 390), "a start considered ended that answers is present");
    assert_eq!(present(&list, 1), Some(60));
    assert!(!list.update_start(at(400), &name(9), ids::UpstreamStart(1), at(390)), "not listed");
}

#[test]
fn an_entry_without_a_start_removes_an_upstream_that_names_its_start() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![start(1, 50), entry(2)], 10.into());
    assert!(list.apply(at(1), vec![ListChange::Present(entry(1))], 11.into()));
    assert_eq!((present(&list, 1), usable(&list)), (None, 1));
    // Without a start in the list, a reported one cannot be compared.
    assert!(!list.update_start(at(5), &name(2), ids::UpstreamStart(9), at(4)));
    list.apply(at(6), vec![ListChange::Present(start(2, 9))], 12.into());
    assert_eq!(present(&list, 2), Some(9));
}

#[test]
fn an_unreadable_entry_removes_its_upstream_even_after_an_outage() {
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
fn names_of_starts_are_parsed_and_formatted() {
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
fn a_late_write_of_the_previous_start_is_ignored_unless_it_stays() {
    let mut list = UpstreamList::default();
    let apply_entry = |list: &mut UpstreamList, now, started, revision: u64| {
        list.apply(at(now), vec![ListChange::Present(start(1, started))], revision.into());
    };
    list.replace(at(0), vec![start(1, 50)], 10.into());
    apply_entry(&mut list, 100, 60, 11);
    // A write of the first start is executed late, and the second start overwrites it with its next heartbeat.
    apply_entry(&mut list, 1_000, 50, 12);
    list.tick(at(2_000));
    apply_entry(&mut list, 2_100, 60, 13);
    list.tick(at(9_000));
    assert_eq!(present(&list, 1), Some(60));
    // A late write of an unknown start looks like a new start, until the list names the actual one again.
    apply_entry(&mut list, 10_000, 40, 14);
    assert_eq!(present(&list, 1), Some(40));
    apply_entry(&mut list, 11_200, 60, 15);
    list.tick(at(13_000));
    assert_eq!(present(&list, 1), Some(40), "this may be a late write as well");
    list.tick(at(14_300));
    assert_eq!(present(&list, 1), Some(60), "the list keeps naming it");
    // A report of the upstream itself takes effect sooner.
    apply_entry(&mut list, 20_000, 40, 16);
    assert!(!list.update_start(at(20_500), &name(1), ids::UpstreamStart(60), at(20_400)));
    list.tick(at(30_000));
    assert_eq!(present(&list, 1), Some(60));
}

/// The age of a new notice.
fn no_age() -> time::Duration {
    time::Duration::ZERO
}

/// Records that an upstream requests a backoff of `millis`; `now` is in milliseconds too.
fn begin_backoff(list: &mut UpstreamList, now: u64, number: u8, millis: u64) {
    let requested = time::Duration::from_millis(millis);
    list.notices_mut().receive_backoff(at(now), &name(number), requested);
}

fn open(list: &UpstreamList, now: u64, permission: ProbePermission) -> Vec<ids::UpstreamId> {
    list.open(at(now), &service(), permission).into_iter().map(|entry| entry.name.clone()).collect()
}

/// The list keeps naming the upstream as live, drops it and names it again. New work is permitted only after the
/// upstream has restarted.
#[test]
fn a_leaving_notice_of_an_upstream_outlasts_entries_of_the_list() {
    let mut list = full();
    let before = list.changes();
    assert!(list.receive_leaving(at(1), &name(1), NoticeSource::Answer, no_age()));
    assert!(list.changes() > before, "planners learn of the change");
    assert_eq!(usable(&list), 3);
    list.apply(at(2), vec![ListChange::Present(entry(1))], 11.into());
    assert_eq!(usable(&list), 3, "a late write");
    list.apply(at(3), vec![ListChange::Gone(name(1))], 12.into());
    list.forget_notices(at(4));
    list.apply(at(30_000), vec![ListChange::Present(entry(1))], 13.into());
    assert_eq!(usable(&list), 3, "the entry was only dropped for a while");
    let denied = list.permits(at(30_001), &name(1), SendKind::Request, &[]);
    assert!(matches!(denied, Err(SendDenial::Leaves(NoticeSource::Answer, _))), "{denied:?}");
    let restarted = UpstreamEntry { name: "u1@200".parse().expect("a valid name"), ..entry(1) };
    list.apply(at(31_000), vec![ListChange::Present(restarted)], 14.into());
    assert_eq!(usable(&list), 4, "another start of the upstream");
    assert_eq!(list.permits(at(31_001), &name(1), SendKind::Request, &[]), Ok(()));
}

/// A member that repeats a leaving notice of an ended start must not affect the present one.
#[test]
fn a_notice_of_an_ended_start_changes_nothing() {
    let mut list = UpstreamList::default();
    let start = |start: u64| UpstreamEntry {
        name: format!("u1@{start}").parse().expect("a valid name"),
        ..entry(1)
    };
    list.replace(at(0), vec![start(100)], 1.into());
    list.apply(at(10), vec![ListChange::Present(start(200))], 2.into());
    list.receive_leaving(at(20), &start(100).name, NoticeSource::Member, no_age());
    assert_eq!(usable(&list), 1);
    let old = time::Duration::from_secs(500);
    assert!(!list.receive_leaving(at(30), &start(100).name, NoticeSource::Member, old));
    assert!(list.receive_leaving(at(30), &start(200).name, NoticeSource::Member, old), "listed");
}

#[test]
fn a_backoff_concerns_only_this_instance_and_ends_in_time() {
    let mut list = full();
    begin_backoff(&mut list, 0, 1, 3_000);
    begin_backoff(&mut list, 0, 2, 5_000);
    assert_eq!(usable(&list), 4, "other instances may send to all");
    assert_eq!(open(&list, 10, ProbePermission::Yes), [name(3), name(4)]);
    assert_eq!(list.closed(at(10), &service(), ProbePermission::Yes), [&name(1), &name(2)]);
    assert_eq!(
        list.first_backoff_to_end(at(10), &service()).expect("two upstreams are in backoff").until,
        at(3_000)
    );
    // After the backoff, requests with another attempt left probe the upstream, one at a time.
    assert_eq!(open(&list, 3_000, ProbePermission::No), [name(3), name(4)]);
    assert_eq!(open(&list, 3_000, ProbePermission::Yes), [name(1), name(3), name(4)]);
    list.notices_mut().begin(at(3_000), &name(1));
    assert_eq!(open(&list, 3_010, ProbePermission::Yes), [name(3), name(4)]);
    list.notices_mut().receive_accepted(at(3_020), &name(1));
    assert_eq!(open(&list, 3_020, ProbePermission::No), [name(1), name(3), name(4)]);
}

#[test]
fn upstreams_that_need_a_probe_are_used_if_there_are_no_others() {
    let mut list = full();
    (1..=4).for_each(|number| begin_backoff(&mut list, 0, number, 1_000 * u64::from(number)));
    assert!(open(&list, 500, ProbePermission::Yes).is_empty());
    assert_eq!(open(&list, 1_000, ProbePermission::No), [name(1)], "there is no other upstream");
    list.notices_mut().begin(at(1_000), &name(1));
    assert_eq!(open(&list, 1_010, ProbePermission::Yes), [name(1)]);
}
