//! Random histories of one upstream's starts: whatever was believed, the last word that stands holds.

use std::time;

use proptest::prelude::*;
use slipturn_core::{
    fleet_list::ListState,
    ids, units,
    upstream_list::{ListChange, UpstreamEntry, UpstreamList},
};

/// What happens next, and how many milliseconds later.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The list names a start; writes may be late, so it may be any.
    Named(u64),
    /// The upstream itself tells one, asked this many milliseconds before.
    Told(u64, u64),
    /// The entry is gone.
    Gone,
    /// Somebody else has written there.
    Unreadable,
}

fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

fn name(start: u64) -> ids::UpstreamId {
    let name: ids::UpstreamId = "u1".parse().expect("a valid name");
    name.with_start(ids::UpstreamStart(start))
}

fn entry(start: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: name(start),
        service: "s".parse().expect("a valid name"),
        data_center: "a".parse().expect("a valid name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        slots: 4,
        state: ListState::Live,
        cold: time::Duration::ZERO,
    }
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        6 => (1_u64..12).prop_map(Step::Named),
        2 => (1_u64..12, 0_u64..900).prop_map(|(start, before)| Step::Told(start, before)),
        1 => Just(Step::Gone),
        1 => Just(Step::Unreadable),
    ];
    proptest::collection::vec((0_u64..2_500, step), 0..40)
}

/// Plays a history; the list, its revision and the time behind it.
fn play(history: &[(u64, Step)]) -> (UpstreamList, u64, u64) {
    let mut list = UpstreamList::default();
    let (mut now, mut revision) = (10_000, 1);
    for (later, step) in history {
        now += later;
        revision += 1;
        list.tick(at(now));
        let change = match *step {
            Step::Named(start) => ListChange::Present(entry(start)),
            Step::Gone => ListChange::Gone(name(1)),
            Step::Unreadable => ListChange::Unreadable(name(1)),
            Step::Told(start, before) => {
                list.update_start(at(now), &name(1), ids::UpstreamStart(start), at(now - before));
                continue;
            }
        };
        list.apply(at(now), vec![change], revision.into());
    }
    (list, revision, now)
}

proptest! {
    #[test]
    fn a_start_that_the_list_goes_on_naming_becomes_the_present_one(
        history in steps(),
        last in 1_u64..12,
    ) {
        let (mut list, revision, now) = play(&history);
        for beat in 0..4 {
            let change = vec![ListChange::Present(entry(last))];
            list.apply(at(now + beat * 1_200), change, (revision + 1 + beat).into());
            list.tick(at(now + beat * 1_200));
        }
        prop_assert!(list.is_present(&name(last)));
        prop_assert_eq!(list.usable(&"s".parse().expect("a valid name")).len(), 1);
    }

    #[test]
    fn what_an_upstream_says_when_asked_now_holds_until_the_list_has_gone_on_saying_else(
        history in steps(),
        told in 1_u64..12,
    ) {
        let (mut list, revision, now) = play(&history);
        if list.entry(&name(1)).is_none() {
            return Ok(());
        }
        list.update_start(at(now + 1), &name(1), ids::UpstreamStart(told), at(now + 1));
        prop_assert!(list.is_present(&name(told)));
        // One late write of a start that is over does not undo it.
        let ended = list.take_ended();
        if let Some(before) = ended.last().filter(|ended| ended.name != name(told)) {
            let start = before.name.start().map_or(0, |start| start.0);
            let late = vec![ListChange::Present(entry(start))];
            list.apply(at(now + 500), late, (revision + 1).into());
            list.tick(at(now + 1_700));
            prop_assert!(list.is_present(&name(told)));
        }
    }

    #[test]
    fn each_change_of_the_present_start_ends_the_one_before_it_once(history in steps()) {
        let mut list = UpstreamList::default();
        list.replace(at(0), vec![entry(1)], 1.into());
        let mut present = name(1);
        for (revision, (_, step)) in (2..).zip(&history) {
            let now = at(revision * 100);
            match *step {
                Step::Named(start) => {
                    list.apply(now, vec![ListChange::Present(entry(start))], revision.into());
                }
                Step::Told(start, _) => {
                    list.update_start(now, &name(1), ids::UpstreamStart(start), now);
                }
                Step::Gone | Step::Unreadable => continue,
            }
            let ended = list.take_ended();
            let now_present = list.entry(&name(1)).expect("it is listed").name.clone();
            let changed = usize::from(now_present != present);
            prop_assert_eq!(ended.len(), changed);
            prop_assert!(ended.iter().all(|ended| ended.name == present));
            present = now_present;
        }
    }
}
