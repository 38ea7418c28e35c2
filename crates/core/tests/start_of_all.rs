//! All members start at once: when each knows the routes and the list, from whom, and what the store is asked.

#[path = "support/virtual_start.rs"]
mod virtual_start;

use virtual_start::{SourceWay, VirtualStart};

/// Members that start, and the time behind the last start by which those in reach of each other know all.
const SIZES: [(usize, u64); 3] = [(6, 500), (60, 500), (585, 500)];

#[test]
fn all_know_routes_and_list_in_a_time_that_does_not_grow() {
    for (members, bound) in SIZES {
        let mut start = VirtualStart::new(members, 0.0, SourceWay::Any, 3);
        let known = start.run();
        println!("{members}: {known}");
        assert_eq!(known.missing, 0, "{members}");
        assert!(known.last_ms <= bound, "{members}: {known}");
        assert!(known.readers <= 6, "{members}: {known}");
        assert!(known.most_given <= members / 4 + 24, "{members}: {known}");
    }
}

/// A third of them reaches neither the others nor the store; their callers are sent elsewhere.
#[test]
fn a_part_that_is_cut_off_keeps_nobody_waiting() {
    for members in [60, 200, 585, 1_170] {
        let mut start = VirtualStart::new(members, 0.3, SourceWay::Any, 5);
        let known = start.run();
        println!("{members}, 30% cut off: {known}");
        assert_eq!(
            known.missing,
            (members as f64 * 0.3) as usize,
            "{members}: those cut off alone"
        );
        assert!(known.last_ms <= 900, "{members}: {known}");
    }
}

/// As it was: the newest list only, and no member that reads before it has seen all others.
#[test]
fn the_newest_list_alone_makes_few_members_serve_all() {
    let newest = VirtualStart::new(200, 0.0, SourceWay::Newest, 3).run();
    let any = VirtualStart::new(200, 0.0, SourceWay::Any, 3).run();
    println!("newest alone: {newest}\nany: {any}");
    assert!(newest.last_ms >= any.last_ms * 2, "{newest}, {any}");
}
