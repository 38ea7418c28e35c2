//! Choice between members and the store for a missing document.

use std::time;

use slipturn_core::{
    document_source::{DocumentOrigin, DocumentSource},
    units,
};

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

/// Simulates an instance that fails to fetch a missing document every 150 ms, from 1,000 ms on. Returns where it
/// fetches the document from at `end`, in milliseconds.
fn choose_until(source: &mut DocumentSource, end: u64) -> DocumentOrigin {
    for now in (1_000..end).step_by(150) {
        source.choose(at(now));
    }
    source.choose(at(end))
}

#[test]
fn members_are_queried_first_and_the_store_within_the_bound() {
    for spread in [0.0, 0.5, 1.0] {
        let source = || DocumentSource::new(spread);
        assert_eq!(choose_until(&mut source(), 1_000), DocumentOrigin::Member);
        assert_eq!(choose_until(&mut source(), 1_440), DocumentOrigin::Member);
        // In the smallest fleets, a change must be in force within two seconds.
        assert_eq!(choose_until(&mut source(), 1_800), DocumentOrigin::Store);
    }
}

#[test]
fn members_are_queried_first_for_each_change() {
    let mut source = DocumentSource::new(0.0);
    assert_eq!(choose_until(&mut source, 1_800), DocumentOrigin::Store);
    source.note_complete();
    assert_eq!(source.choose(at(1_900)), DocumentOrigin::Member);
}

#[test]
fn instances_do_not_all_read_the_store_at_once() {
    let chosen = |end| {
        let spread = |number: u32| f64::from(number) / 100.0;
        let sources = (0..100).map(|number| DocumentSource::new(spread(number)));
        sources
            .filter_map(|mut source| {
                let choice = choose_until(&mut source, end);
                (choice == DocumentOrigin::Store).then_some(())
            })
            .count()
    };
    let counts: Vec<_> = [1_460, 1_520, 1_580, 1_640, 1_700, 1_760].map(chosen).into();
    let steps = counts.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(steps <= Some(25), "{counts:?}");
    assert_eq!(counts.last(), Some(&100));
}

#[test]
fn after_a_damaged_copy_the_store_is_read_at_once() {
    let mut source = DocumentSource::new(1.0);
    source.note_damaged_copy();
    assert_eq!(source.choose(at(10)), DocumentOrigin::Store);
    source.note_store_answer();
    assert_eq!(
        source.choose(at(20)),
        DocumentOrigin::Member,
        "the next change starts with members"
    );
}

#[test]
fn a_store_that_failed_is_not_read_again_for_a_while() {
    let mut source = DocumentSource::new(0.0);
    source.note_store_failure(at(1_000));
    assert_eq!(choose_until(&mut source, 2_000), DocumentOrigin::Member);
    assert_eq!(source.choose(at(6_100)), DocumentOrigin::Store);
    source.note_damaged_copy();
    source.note_store_failure(at(6_200));
    assert_eq!(
        source.choose(at(6_300)),
        DocumentOrigin::Member,
        "another member may have a good copy"
    );
}
