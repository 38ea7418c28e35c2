//! [`StoreTracker`]: whether the store answers, whether it was restored from an older copy (a new era), and for how
//! long this process has lacked documents that other members have.

use std::time;

use slipturn_core::{
    store_revision::{StoreEra, StoreRevision},
    store_tracker::{AnswerEffect, DocumentVersions, StoreContact, StoreTracker},
    units,
};

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// The tracker of a process that watches the store.
fn watching() -> StoreTracker {
    let mut tracker = StoreTracker::default();
    tracker.receive(at(100));
    tracker.watch();
    tracker.set_watched(7.into());
    tracker
}

#[test]
fn the_time_before_the_first_answer_is_no_outage() {
    let mut tracker = StoreTracker::default();
    assert_eq!(tracker.contact(), StoreContact::Away);
    assert_eq!(tracker.receive(at(50)), AnswerEffect { away: None, resumes_watch: false });
    assert!(
        tracker.answers() && !tracker.is_reliable_watcher(),
        "the store answers and is not watched"
    );
}

#[test]
fn an_outage_lasts_from_the_first_failure_to_the_next_answer() {
    let mut tracker = watching();
    assert!(tracker.note_failure(at(1_000)), "the outage begins");
    assert!(!tracker.note_failure(at(2_000)), "the outage is known");
    assert!(
        !tracker.is_reliable_watcher() && tracker.is_watching(),
        "other members take over; this one keeps trying"
    );
    assert_eq!(tracker.watched(), 7.into(), "the watch continues from this revision");
    let effect = tracker.receive(at(4_000));
    assert_eq!(effect, AnswerEffect { away: Some(millis(3_000)), resumes_watch: true });
    assert_eq!(tracker.receive(at(4_100)), AnswerEffect { away: None, resumes_watch: false });
}

#[test]
fn members_rely_on_a_watcher_while_its_store_is_only_doubted() {
    let mut tracker = watching();
    tracker.note_overdue();
    assert!(!tracker.answers() && tracker.is_reliable_watcher());
    assert_eq!(tracker.receive(at(900)), AnswerEffect { away: None, resumes_watch: false });
    assert!(tracker.answers());
    assert_eq!(tracker.last_answer_age(at(1_000)), millis(100));
}

#[test]
fn a_process_that_stops_watching_has_no_watched_revision() {
    let mut tracker = watching();
    tracker.stop_watching();
    assert!(!tracker.is_watching() && !tracker.answers());
    assert_eq!(tracker.watched(), 0.into());
    assert_eq!(tracker.receive(at(900)).away, None, "the time without a watch is no outage");
}

#[test]
fn a_document_of_other_members_is_missing_until_it_arrives_or_is_refuted() {
    let mut tracker = watching();
    let own = DocumentVersions { routes: 3, list: 10.into() };
    let newest = DocumentVersions { routes: 4, list: 12.into() };
    tracker.lags(at(1_000), own, newest);
    let lags = tracker.lags(at(1_600), own, newest);
    assert_eq!((lags.routes, lags.list, lags.longest()), (millis(600), millis(600), millis(600)));
    tracker.refute_routes(3, at(1_700));
    let lags = tracker.lags(at(1_800), DocumentVersions { list: 12.into(), ..own }, newest);
    assert_eq!(lags.longest(), time::Duration::ZERO);
    assert_eq!(tracker.known(own), DocumentVersions { routes: 4, list: 10.into() });
}

/// A restored store lacks routes that a member has. The answer of the store must not stop this process from fetching them
/// from that member.
#[test]
fn routes_that_a_restored_store_lacks_are_still_fetched_from_members() {
    let mut tracker = watching();
    tracker.note_era(at(150), StoreEra(1));
    let own = DocumentVersions { routes: 61, list: 10.into() };
    let newest = DocumentVersions { routes: 65, list: 10.into() };
    tracker.lags(at(200), own, newest);
    tracker.refute_routes(61, at(300));
    assert_eq!(tracker.known(own).routes, 65, "the store of the first era would have had them");
    assert_eq!(tracker.note_era(at(1_000), StoreEra(2)), Some(StoreEra(1)));
    assert_eq!(tracker.known(own).routes, 61, "what the store did not have may be written again");
    tracker.lags(at(1_100), own, newest);
    tracker.refute_routes(61, at(1_200));
    assert_eq!(tracker.known(own).routes, 61, "the copy lacks them, and a member has them");
    tracker.refute_routes(61, at(12_000));
    assert_eq!(tracker.known(own).routes, 65, "they were not written again");
}

#[test]
fn an_answer_of_an_era_does_not_refute_a_list_of_a_later_one() {
    let mut tracker = watching();
    let own = DocumentVersions { routes: 3, list: StoreRevision::new(StoreEra(1), 90) };
    let newest = DocumentVersions { list: StoreRevision::new(StoreEra(2), 40), ..own };
    tracker.lags(at(200), own, newest);
    tracker.refute_list(own.list, at(300));
    assert_eq!(tracker.known(own).list, own.list);
    assert_eq!(tracker.lags(at(700), own, newest).list, millis(500));
}
