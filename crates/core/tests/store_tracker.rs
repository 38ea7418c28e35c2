//! What a process believes of the store: each transition, and what ends it.

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

fn watching() -> StoreTracker {
    let mut belief = StoreTracker::default();
    belief.receive(at(100));
    belief.watch();
    belief.set_watched(7.into());
    belief
}

#[test]
fn a_store_that_was_never_heard_is_away_and_no_outage() {
    let mut belief = StoreTracker::default();
    assert_eq!(belief.contact(), StoreContact::Away);
    assert_eq!(belief.receive(at(50)), AnswerEffect { away: None, resumes_watch: false });
    assert!(belief.answers() && !belief.is_reliable_watcher(), "it is heard and not watched");
}

#[test]
fn an_outage_lasts_from_the_first_failure_to_the_next_answer() {
    let mut belief = watching();
    assert!(belief.lose(at(1_000)), "new");
    assert!(!belief.lose(at(2_000)), "known");
    assert!(
        !belief.is_reliable_watcher() && belief.is_watching(),
        "others take over; it goes on trying"
    );
    assert_eq!(belief.watched(), 7.into(), "it goes on from there");
    let heard = belief.receive(at(4_000));
    assert_eq!(heard, AnswerEffect { away: Some(millis(3_000)), resumes_watch: true });
    assert_eq!(belief.receive(at(4_100)), AnswerEffect { away: None, resumes_watch: false });
}

#[test]
fn a_doubted_store_is_still_counted_on() {
    let mut belief = watching();
    belief.doubt();
    assert!(!belief.answers() && belief.is_reliable_watcher());
    assert_eq!(belief.receive(at(900)), AnswerEffect { away: None, resumes_watch: false });
    assert!(belief.answers());
    assert_eq!(belief.last_answer_age(at(1_000)), millis(100));
}

#[test]
fn who_leaves_it_to_others_has_read_nothing_itself() {
    let mut belief = watching();
    belief.stop_watching();
    assert!(!belief.is_watching() && !belief.answers());
    assert_eq!(belief.watched(), 0.into());
    assert_eq!(belief.receive(at(900)).away, None, "that was no outage");
}

#[test]
fn what_others_have_is_missing_until_it_is_here_or_refuted() {
    let mut belief = watching();
    let own = DocumentVersions { routes: 3, list: 10.into() };
    let newest = DocumentVersions { routes: 4, list: 12.into() };
    belief.lags(at(1_000), own, newest);
    let lags = belief.lags(at(1_600), own, newest);
    assert_eq!((lags.routes, lags.list, lags.longest()), (millis(600), millis(600), millis(600)));
    belief.refute_routes(3, at(1_700));
    let lags = belief.lags(at(1_800), DocumentVersions { list: 12.into(), ..own }, newest);
    assert_eq!(lags.longest(), time::Duration::ZERO);
    assert_eq!(belief.known(own), DocumentVersions { routes: 4, list: 10.into() });
}

/// A copy of the store lacks routes that a member has; the store saying so is no reason to do without them.
#[test]
fn routes_that_a_copy_of_the_store_lacks_are_still_asked_of_members() {
    let mut belief = watching();
    belief.note_era(at(150), StoreEra(1));
    let own = DocumentVersions { routes: 61, list: 10.into() };
    let newest = DocumentVersions { routes: 65, list: 10.into() };
    belief.lags(at(200), own, newest);
    belief.refute_routes(61, at(300));
    assert_eq!(belief.known(own).routes, 65, "the store of the era before would have had them");
    assert_eq!(belief.note_era(at(1_000), StoreEra(2)), Some(StoreEra(1)));
    assert_eq!(belief.known(own).routes, 61, "what it did not have may be written again");
    belief.lags(at(1_100), own, newest);
    belief.refute_routes(61, at(1_200));
    assert_eq!(belief.known(own).routes, 61, "the copy lacks them, and a member has them");
    belief.refute_routes(61, at(12_000));
    assert_eq!(belief.known(own).routes, 65, "nobody has written them again");
}

#[test]
fn a_list_of_a_later_era_is_not_refuted_by_the_era_before() {
    let mut belief = watching();
    let own = DocumentVersions { routes: 3, list: StoreRevision::new(StoreEra(1), 90) };
    let newest = DocumentVersions { list: StoreRevision::new(StoreEra(2), 40), ..own };
    belief.lags(at(200), own, newest);
    belief.refute_list(own.list, at(300));
    assert_eq!(belief.known(own).list, own.list);
    assert_eq!(belief.lags(at(700), own, newest).list, millis(500));
}
