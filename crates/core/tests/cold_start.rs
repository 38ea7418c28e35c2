//! Rate limits of upstreams that have just started.

#[path = "support/list_entries.rs"]
mod list_entries;

use std::time;

use list_entries::{at, name};
use slipturn_core::{
    cold_start::{ColdPolicy, ColdUpstreamMode},
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

/// A list with upstreams 1 and 2 of a service whose cold upstreams are limited to 17 requests per second for 3 s.
fn list_with_policy() -> UpstreamList {
    let mut list = UpstreamList::default();
    let policy = ColdPolicy { rate: rate(17.0), duration: time::Duration::from_secs(3) };
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
    let mut list = list_with_policy();
    let before = list.limit_changes();
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    assert_eq!((limit(&list, 1), limit(&list, 2)), (Some(17.0), None));
    assert!(list.limit_changes() > before, "the new limit must be noticed");
    assert_eq!(list.limits().len(), 1);
    list.tick(at(3_900));
    assert_eq!(limit(&list, 1), Some(17.0));
    let before = list.limit_changes();
    list.tick(at(4_000));
    assert_eq!(limit(&list, 1), None);
    assert!(list.limit_changes() > before);
}

#[test]
fn an_upstream_without_a_cold_phase_in_its_entry_is_warm_at_once() {
    let mut list = list_with_policy();
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    list.apply(at(1_500), vec![ListChange::Present(entry(1, 0))], 12.into());
    assert_eq!(limit(&list, 1), None);
    // A later entry with a cold phase limits the upstream again.
    list.apply(at(9_000), vec![ListChange::Present(entry(1, 2_000))], 13.into());
    assert_eq!(limit(&list, 1), Some(17.0));
}

/// An entry states the length that was left of the cold phase when the entry was written, and is not rewritten as that
/// time passes. A member that reads the list again must not count the same length anew.
#[test]
fn rereading_an_unchanged_entry_does_not_restart_the_cold_phase() {
    let mut list = list_with_policy();
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    list.tick(at(5_000));
    list.apply(at(6_000), vec![ListChange::Present(entry(1, 3_000))], 12.into());
    assert_eq!(limit(&list, 1), None);
}

#[test]
fn upstreams_of_a_restored_data_center_are_cold() {
    let mut list = list_with_policy();
    let data_center: ids::DataCenterId = "a".parse().expect("a valid name");
    list.apply(at(1_000), vec![ListChange::Evacuated(data_center.clone())], 11.into());
    assert_eq!(limit(&list, 1), None);
    list.apply(at(9_000), vec![ListChange::Restored(data_center)], 12.into());
    assert_eq!((limit(&list, 1), limit(&list, 2)), (Some(17.0), Some(17.0)));
    list.tick(at(12_000));
    assert!(list.limits().is_empty());
}

#[test]
fn the_lower_of_two_limits_applies() {
    let mut list = list_with_policy();
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    for (announced, received_ms, expected) in [(30.0, 1_100, 17.0), (5.0, 1_200, 5.0)] {
        let (rate, at) = (Some(rate(announced)), at(received_ms));
        let reading =
            LimitReading { rate, requested: at, received: at, source: NoticeSource::Answer };
        list.notices_mut().receive_limit(&name(1), reading);
        assert_eq!(limit(&list, 1), Some(expected), "announced: {announced}");
    }
}

#[test]
fn without_a_policy_or_with_limits_switched_off_there_is_no_limit() {
    let mut list = UpstreamList::default();
    list.replace(at(0), vec![entry(1, 3_000)], 10.into());
    assert_eq!(limit(&list, 1), None);
    let mut list = list_with_policy();
    list.set_cold_mode(ColdUpstreamMode::Full);
    list.apply(at(1_000), vec![ListChange::Present(entry(1, 3_000))], 11.into());
    assert_eq!(limit(&list, 1), None);
}
