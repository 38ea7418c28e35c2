//! Starts of upstreams in a list whose source was restored from an older copy.

#[path = "support/list_entries.rs"]
mod list_entries;

use list_entries::{at, entry, name};
use slipturn_core::{
    fleet_list::ListState,
    ids::UpstreamStart,
    store_revision::{StoreEra, StoreRevision},
    upstream_list::{ListChange, UpstreamEntry, UpstreamList},
};

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(era), number)
}

fn start(number: u8, started: u64) -> UpstreamEntry {
    UpstreamEntry { name: name(number).with_start(UpstreamStart(started)), ..entry(number) }
}

/// A list whose source was restored from a copy that lacks the restart of upstream 1.
fn restored_list() -> UpstreamList {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![start(1, 200), start(2, 50)], revision(1, 10));
    list.replace(at(5_000), vec![start(1, 100), start(2, 50)], revision(2, 8));
    list
}

#[test]
fn a_start_that_the_copy_lacks_stays_the_present_one_until_it_is_rewritten() {
    let mut list = restored_list();
    assert!(list.is_present(&start(1, 200).name));
    list.apply(at(6_000), vec![ListChange::Present(start(1, 200))], revision(2, 9));
    let leaving = UpstreamEntry { state: ListState::Leaving, ..start(1, 200) };
    list.apply(at(6_100), vec![ListChange::Present(leaving)], revision(2, 10));
    assert!(!list.is_usable(&name(1)), "the leaving state takes effect at once");
    for now in (6_000..30_000).step_by(100) {
        list.tick(at(now));
        assert!(list.is_present(&start(1, 200).name) && !list.is_usable(&name(1)), "{now}");
    }
    assert!(list.take_ended_starts().is_empty());
}

#[test]
fn the_start_in_the_copy_becomes_the_present_one_if_the_later_one_is_not_rewritten() {
    let mut list = restored_list();
    list.tick(at(10_500));
    assert!(list.is_present(&start(1, 200).name));
    list.tick(at(10_700));
    assert!(list.is_present(&start(1, 100).name));
    assert_eq!(list.take_ended_starts().len(), 1);
}
