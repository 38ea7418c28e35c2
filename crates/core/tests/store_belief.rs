//! What a process believes of the store: each transition, and what ends it.

use std::time;

use slipturn_core::{
    store_belief::{DocumentVersions, HeardStore, StoreBelief, StoreContact},
    units,
};

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn watching() -> StoreBelief {
    let mut belief = StoreBelief::default();
    belief.receive(at(100));
    belief.watch();
    belief.note_watched(7.into());
    belief
}

#[test]
fn a_store_that_was_never_heard_is_away_and_no_outage() {
    let mut belief = StoreBelief::default();
    assert_eq!(belief.contact(), StoreContact::Away);
    assert_eq!(belief.receive(at(50)), HeardStore { away: None, watches_again: false });
    assert!(belief.answers() && !belief.is_counted_on(), "it is heard and not watched");
}

#[test]
fn an_outage_lasts_from_the_first_failure_to_the_next_answer() {
    let mut belief = watching();
    assert!(belief.lose(at(1_000)), "new");
    assert!(!belief.lose(at(2_000)), "known");
    assert!(!belief.is_counted_on() && belief.is_watching(), "others take over; it goes on trying");
    assert_eq!(belief.watched(), 7.into(), "it goes on from there");
    let heard = belief.receive(at(4_000));
    assert_eq!(heard, HeardStore { away: Some(millis(3_000)), watches_again: true });
    assert_eq!(belief.receive(at(4_100)), HeardStore { away: None, watches_again: false });
}

#[test]
fn a_doubted_store_is_still_counted_on() {
    let mut belief = watching();
    belief.doubt();
    assert!(!belief.answers() && belief.is_counted_on());
    assert_eq!(belief.receive(at(900)), HeardStore { away: None, watches_again: false });
    assert!(belief.answers());
    assert_eq!(belief.last_answer_age(at(1_000)), millis(100));
}

#[test]
fn who_leaves_it_to_others_has_read_nothing_itself() {
    let mut belief = watching();
    belief.yield_to_others();
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
