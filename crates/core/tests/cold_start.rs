//! Upstreams that have just started: how many requests they get of all instances, and until when.

#[path = "support/list_entries.rs"]
mod list_entries;

use std::time;

use list_entries::{at, name};
use slipturn_core::{
    cold_start::{ColdPolicy, ColdUpstreamWay},
    ids, units,
    upstream_limit::LimitReading,
    upstream_list::{ListChange, UpstreamEntry, UpstreamList},
    upstream_notice::NoticeSource,
};

fn rate(per_second: f64) -> units::RequestRate {
    units::RequestRate::try_from(per_second).expect("a rate")
}

fn entry(number: u8, cold_ms: u64) -> UpstreamEntry {
    UpstreamEntry { cold: time::Duration::from_millis(cold_ms), ..list_entries::entry(number) }
}

/// Upstreams 1 and 2 of a service whose cold upstreams bear 17 requests a second for 3 s.
fn full() -> UpstreamList {
    let mut list = UpstreamList::default();
    let policy = ColdPolicy { rate: rate(17.0), lasts: time::Duration::from_secs(3) };
    list.set_cold_policies([("s".parse().expect("a valid name"), policy)].into());
    list.replace(at(0), vec![entry(1, 0), entry(2, 0)], 10.into());
    list
}

fn limit(list: &UpstreamList, number: u8) -> Option<f64> {
    let limit = list.limit(&name(number))?;
    limit.reading.rate.map(units::RequestRate::per_second)
}

#[test]
fn a_cold_upstream_has_a_limit_until_it_is_warm() {
    let mut list = full();
    let before = list.limit_changes();
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    assert_eq!((limit(&list, 1), limit(&list, 2)), (Some(17.0), None));
    assert!(list.limit_changes() > before, "who keeps limits is to look again");
    assert_eq!(list.limits().len(), 1);
    list.tick(at(3_900));
    assert_eq!(limit(&list, 1), Some(17.0));
    let before = list.limit_changes();
    list.tick(at(4_000));
    assert_eq!(limit(&list, 1), None);
    assert!(list.limit_changes() > before);
}

#[test]
fn it_is_warm_as_soon_as_it_says_so() {
    let mut list = full();
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    list.apply(at(1_500), vec![ListChange::Present(entry(1, 0))], 12.into());
    assert_eq!(limit(&list, 1), None);
    // And may be cold again at any moment.
    list.apply(at(9_000), vec![ListChange::Present(entry(1, 2_000))], 13.into());
    assert_eq!(limit(&list, 1), Some(17.0));
}

/// An entry stays as it was written: members that read the list anew later see the same number.
#[test]
fn an_entry_that_is_read_again_says_nothing_new() {
    let mut list = full();
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    list.tick(at(5_000));
    list.apply(at(6_000), vec![ListChange::Present(entry(1, 3_000))], 12.into());
    assert_eq!(limit(&list, 1), None);
}

#[test]
fn upstreams_of_a_restored_data_center_are_taken_for_cold() {
    let mut list = full();
    let data_center: ids::DataCenterId = "a".parse().expect("a valid name");
    list.apply(at(1_000), vec![ListChange::Evacuated(data_center.clone())], 11.into());
    assert_eq!(limit(&list, 1), None);
    list.apply(at(9_000), vec![ListChange::Restored(data_center)], 12.into());
    assert_eq!((limit(&list, 1), limit(&list, 2)), (Some(17.0), Some(17.0)));
    list.tick(at(12_000));
    assert!(list.limits().is_empty());
}

#[test]
fn of_two_limits_the_lower_one_holds() {
    let mut list = full();
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    for (named, heard, holds) in [(30.0, 1_100, 17.0), (5.0, 1_200, 5.0)] {
        let (rate, at) = (Some(rate(named)), at(heard));
        let reading = LimitReading { rate, asked: at, heard: at, source: NoticeSource::Answer };
        list.notices_mut().receive_limit(&name(1), reading);
        assert_eq!(limit(&list, 1), Some(holds), "{named} named");
    }
}

#[test]
fn a_service_without_a_bound_and_the_way_without_limits_have_none() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![entry(1, 3_000)], 10.into());
    assert_eq!(limit(&list, 1), None);
    let mut list = full();
    list.set_cold_way(ColdUpstreamWay::Full);
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    assert_eq!(limit(&list, 1), None);
}
