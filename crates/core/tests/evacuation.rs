//! Data centres under evacuation: none of their upstreams takes new work until that is over.

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

/// Upstreams 1 and 2 in data centre a, 3 in b, 4 in c.
fn full() -> UpstreamList {
    let mut list = UpstreamList::default();
    let entries = [(1, "a"), (2, "a"), (3, "b"), (4, "c")];
    list.replace(at(0), entries.map(|(number, place)| entry(number, place)).into(), 10.into());
    list
}

fn open(list: &UpstreamList) -> Vec<String> {
    let service = service();
    let open = list.open(at(1), &service, ProbePermission::Yes);
    open.into_iter().map(|entry| entry.name.to_string()).collect()
}

#[test]
fn nothing_new_goes_to_an_evacuated_data_center() {
    let mut list = full();
    assert!(list.apply(at(1), vec![evacuated("a")], 11.into()));
    assert_eq!(open(&list), ["u3", "u4"]);
    for kind in [SendKind::Request, SendKind::Hold, SendKind::Report] {
        let permitted = list.permits(at(1), &name(1), kind, &[]);
        assert_eq!(permitted, Err(SendDenial::Evacuated), "{kind}");
    }
    for kind in [SendKind::Renewal, SendKind::Release] {
        let permitted = list.permits(at(1), &name(1), kind, &[]);
        assert_eq!(permitted, Ok(()), "requests under way end where they are: {kind}");
    }
    assert_eq!(list.permits(at(1), &name(3), SendKind::Request, &[]), Ok(()));
}

#[test]
fn evacuations_overlap_and_end_each_on_its_own() {
    let mut list = full();
    list.apply(at(1), vec![evacuated("a")], 11.into());
    list.apply(at(2), vec![evacuated("b")], 12.into());
    assert_eq!(open(&list), ["u4"]);
    assert!(list.apply(at(3), vec![restored("a")], 13.into()));
    assert_eq!(open(&list), ["u1", "u2", "u4"]);
    assert!(!list.apply(at(4), vec![restored("a")], 14.into()), "it is over already");
    assert!(list.apply(at(5), vec![restored("b")], 15.into()));
    assert_eq!(open(&list).len(), 4);
}

#[test]
fn an_upstream_that_starts_there_takes_nothing_either() {
    let mut list = full();
    list.apply(at(1), vec![evacuated("a")], 11.into());
    list.apply(at(2), vec![ListChange::Present(entry(5, "a"))], 12.into());
    assert_eq!(open(&list), ["u3", "u4"]);
    assert_eq!(list.listed_count(&service()), 5, "it is listed all the same");
}

#[test]
fn what_is_usable_counts_as_changed() {
    let mut list = full();
    let before = list.changes();
    list.apply(at(1), vec![evacuated("a")], 11.into());
    let begun = list.changes();
    list.apply(at(2), vec![evacuated("a")], 12.into());
    assert!(begun > before);
    assert_eq!(list.changes(), begun, "known already");
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
fn a_service_that_is_evacuated_as_a_whole_tells_for_how_long() {
    let mut list = full();
    assert_eq!(list.evacuated_for(at(5), &service()), None);
    list.apply(at(1_000), vec![evacuated("a"), evacuated("b"), evacuated("c")], 11.into());
    assert!(open(&list).is_empty());
    let lasted = list.evacuated_for(at(3_000), &service());
    assert_eq!(lasted, Some(time::Duration::from_secs(2)));
}
