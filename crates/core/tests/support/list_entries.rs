//! Test entries of a list of upstreams.

use std::time;

use slipturn_core::{fleet_list::ListState, ids, units, upstream_list::UpstreamEntry};

pub(crate) fn at(millis: u64) -> units::MonoTime {
    units::MonoTime::from_span(time::Duration::from_millis(millis))
}

pub(crate) fn name(number: u8) -> ids::UpstreamId {
    format!("u{number}").parse().expect("a valid name")
}

/// The entry of a live and warm upstream of service `s` in data centre `a`.
pub(crate) fn entry(number: u8) -> UpstreamEntry {
    UpstreamEntry {
        name: name(number),
        service: "s".parse().expect("a valid name"),
        data_center: "a".parse().expect("a valid name"),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        slots: 4,
        state: ListState::Live,
        cold: time::Duration::ZERO,
    }
}
