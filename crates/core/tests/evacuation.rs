//! Evacuated data centres: none of their upstreams takes new work until the evacuation ends.

#[path = "support/list_entries.rs"]
mod list_entries;

use std::time;

use list_entries::{at, name};
use slipturn_core::{
    ids,
    send_gate::{ProbePermission, SendDenial, SendKind},
    upstream_list::{ListChange, UpstreamEntry, UpstreamList},
};

fn entry(number: u8, data_center: &str) -> UpstreamEntry {
    let data_center = data_center.parse().expect("a valid name");
    UpstreamEntry { data_center, ..list_entries::entry(number) }
}

fn service() -> ids::ServiceId {
    "s".parse().expect("a valid name")
}

fn evacuated(data_center: &str) -> ListChange {
    ListChange::Evacuated(data_center.parse().expect("a valid name"))
}

fn restored(data_center: &str) -> ListChange {
    ListChange::Restored(data_center.parse().expect("a valid name"))
}

/// A list of upstreams 1 and 2 in data centre a, 3 in b, and 4 in c.
fn full() -> UpstreamList {
    let mut list = UpstreamList::default();
    let entries = [(1, "a"), (2, "a"), (3, "b"), (4, "c")];
    list.replace(
        at(0),
        entries.map(|(number, data_center)| entry(number, data_center)).into(),
        10.into(),
    );
    list
}

/// Names of the upstreams that may get new requests.
fn open(list: &UpstreamList) -> Vec<String> {
    let service = service();
    let open = list.open(at(1), &service, ProbePermission::Yes);
    open.into_iter().map(|entry| entry.name.to_string()).collect()
}

#[test]
fn an_evacuated_data_center_takes_no_new_work() {
    let mut list = full();
    assert!(list.apply(at(1), vec![evacuated("a")], 11.into()));
    assert_eq!(open(&list), ["u3", "u4"]);
    for kind in [SendKind::Request, SendKind::Hold, SendKind::Report] {
        let permitted = list.permits(at(1), &name(1), kind, &[]);
        assert_eq!(permitted, Err(SendDenial::Evacuated), "{kind}");
    }
    for kind in [SendKind::Renewal, SendKind::Release] {
        let permitted = list.permits(at(1), &name(1), kind, &[]);
        assert_eq!(permitted, Ok(()), "requests in progress are completed: {kind}");
    }
    assert_eq!(list.permits(at(1), &name(3), SendKind::Request, &[]), Ok(()));
}

#[test]
fn overlapping_evacuations_end_independently() {
    let mut list = full();
    list.apply(at(1), vec![evacuated("a")], 11.into());
    list.apply(at(2), vec![evacuated("b")], 12.into());
    assert_eq!(open(&list), ["u4"]);
    assert!(list.apply(at(3), vec![restored("a")], 13.into()));
    assert_eq!(open(&list), ["u1", "u2", "u4"]);
    assert!(!list.apply(at(4), vec![restored("a")], 14.into()), "the evacuation has ended already");
    assert!(list.apply(at(5), vec![restored("b")], 15.into()));
    assert_eq!(open(&list).len(), 4);
}

#[test]
fn an_upstream_that_starts_in_an_evacuated_data_center_takes_no_new_work() {
    let mut list = full();
    list.apply(at(1), vec![evacuated("a")], 11.into());
    list.apply(at(2), vec![ListChange::Present(entry(5, "a"))], 12.into());
    assert_eq!(open(&list), ["u3", "u4"]);
    assert_eq!(list.listed_count(&service()), 5, "the new upstream is listed nevertheless");
}

#[test]
fn an_evacuation_counts_as_a_change_of_the_usable_upstreams() {
    let mut list = full();
    let before = list.changes();
    list.apply(at(1), vec![evacuated("a")], 11.into());
    let begun = list.changes();
    list.apply(at(2), vec![evacuated("a")], 12.into());
    assert!(begun > before);
    assert_eq!(list.changes(), begun, "the evacuation was known already");
    list.apply(at(3), vec![restored("a")], 13.into());
    assert!(list.changes() > begun);
}

#[test]
fn an_older_revision_changes_nothing() {
    let mut list = full();
    assert!(!list.apply(at(1), vec![evacuated("a")], 9.into()));
    assert_eq!(open(&list).len(), 4);
}

#[test]
fn a_completely_evacuated_service_reports_the_duration_of_its_evacuation() {
    let mut list = full();
    assert_eq!(list.evacuated_for(at(5), &service()), None);
    list.apply(at(1_000), vec![evacuated("a"), evacuated("b"), evacuated("c")], 11.into());
    assert!(open(&list).is_empty());
    let lasted = list.evacuated_for(at(3_000), &service());
    assert_eq!(lasted, Some(time::Duration::from_secs(2)));
}
