//! Random histories of one upstream's starts (runs of its process, identified by the time of the start): the present
//! start is the one that the list keeps naming, or that the upstream reports itself.

use std::time;

use proptest::prelude::*;
use slipturn_core::{
    fleet_list::ListState,
    ids, units,
    upstream_list::{ListChange, UpstreamEntry, UpstreamList},
};

/// A step of a history.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The list names a start: any start, because writes may be late.
    Listed(u64),
    /// The upstream itself reports a start, in answer to a query this many milliseconds ago.
    Reported(u64, u64),
    /// The entry was deleted.
    Gone,
    /// Another writer has overwritten the entry.
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

/// Steps, each with the milliseconds since the previous step.
fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        6 => (1_u64..12).prop_map(Step::Listed),
        2 => (1_u64..12, 0_u64..900).prop_map(|(start, before)| Step::Reported(start, before)),
        1 => Just(Step::Gone),
        1 => Just(Step::Unreadable),
    ];
    proptest::collection::vec((0_u64..2_500, step), 0..40)
}

/// Applies a history; returns the list, its revision, and the time in milliseconds after the last step.
fn apply_history(history: &[(u64, Step)]) -> (UpstreamList, u64, u64) {
    let mut list = UpstreamList::default();
    let (mut now, mut revision) = (10_000, 1);
    for (elapsed, step) in history {
        now += elapsed;
        revision += 1;
        list.tick(at(now));
        let change = match *step {
            Step::Listed(start) => ListChange::Present(entry(start)),
            Step::Gone => ListChange::Gone(name(1)),
            Step::Unreadable => ListChange::Unreadable(name(1)),
            Step::Reported(start, before) => {
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
    fn a_start_that_the_list_keeps_naming_becomes_the_present_one(
        history in steps(),
        last in 1_u64..12,
    ) {
        let (mut list, revision, now) = apply_history(&history);
        for heartbeat in 0..4 {
            let change = vec![ListChange::Present(entry(last))];
            list.apply(at(now + heartbeat * 1_200), change, (revision + 1 + heartbeat).into());
            list.tick(at(now + heartbeat * 1_200));
        }
        prop_assert!(list.is_present(&name(last)));
        prop_assert_eq!(list.usable(&"s".parse().expect("a valid name")).len(), 1);
    }

    #[test]
    fn a_reported_start_stays_the_present_one_unless_the_list_keeps_naming_another(
        history in steps(),
        reported in 1_u64..12,
    ) {
        let (mut list, revision, now) = apply_history(&history);
        if list.entry(&name(1)).is_none() {
            return Ok(());
        }
        list.update_start(at(now + 1), &name(1), ids::UpstreamStart(reported), at(now + 1));
        prop_assert!(list.is_present(&name(reported)));
        // A single late write of an ended start does not replace the reported one.
        let ended = list.take_ended_starts();
        if let Some(before) = ended.last().filter(|ended| ended.name != name(reported)) {
            let start = before.name.start().map_or(0, |start| start.0);
            let late = vec![ListChange::Present(entry(start))];
            list.apply(at(now + 500), late, (revision + 1).into());
            list.tick(at(now + 1_700));
            prop_assert!(list.is_present(&name(reported)));
        }
    }

    #[test]
    fn each_change_of_the_present_start_ends_the_previous_one_once(history in steps()) {
        let mut list = UpstreamList::default();
        list.replace(at(0), vec![entry(1)], 1.into());
        let mut present = name(1);
        for (revision, (_, step)) in (2..).zip(&history) {
            let now = at(revision * 100);
            match *step {
                Step::Listed(start) => {
                    list.apply(now, vec![ListChange::Present(entry(start))], revision.into());
                }
                Step::Reported(start, _) => {
                    list.update_start(now, &name(1), ids::UpstreamStart(start), now);
                }
                Step::Gone | Step::Unreadable => continue,
            }
            let ended = list.take_ended_starts();
            let now_present = list.entry(&name(1)).expect("it is listed").name.clone();
            let changed = usize::from(now_present != present);
            prop_assert_eq!(ended.len(), changed);
            prop_assert!(ended.iter().all(|ended| ended.name == present));
            present = now_present;
        }
    }
}
