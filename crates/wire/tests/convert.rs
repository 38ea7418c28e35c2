//! Round trips of refusals and places through their messages.

#![allow(clippy::unwrap_used)]

use std::time;

use capnp::message;
use slipturn_core::{placement, refusal, units};
use slipturn_wire::{convert, scheduler_capnp};

/// Writes a refusal into a message and reads it back.
fn round_trip(refusal: &refusal::RequestRefusal) -> refusal::RequestRefusal {
    let mut builder = message::Builder::new_default();
    convert::write_refusal(builder.init_root(), refusal);
    let reader: scheduler_capnp::refusal::Reader<'_> = builder.get_root_as_reader().unwrap();
    convert::read_refusal(reader).unwrap()
}

#[test]
fn every_refusal_keeps_its_code_and_its_retry_time() {
    for code in refusal::ALL_CODES {
        let plain = refusal::RequestRefusal::not_run(code, "why");
        assert_eq!(round_trip(&plain), plain);
        for wait in [time::Duration::from_micros(1), time::Duration::from_secs(90)] {
            let waiting = plain.clone().retry_after(wait);
            assert!(
                round_trip(&waiting).retry_after.unwrap()
                    >= wait.min(time::Duration::from_millis(1))
            );
        }
    }
}

#[test]
fn a_place_keeps_its_remaining_times_on_another_clock() {
    let now = units::MonoTime(5_000_000);
    let request = placement::CapacityRequest {
        attempt: "instance-1:a:b:1".parse().unwrap(),
        entry: "instance-1".parse().unwrap(),
        boot: slipturn_core::ids::BootId(10),
        customer: "bluebonnet".parse().unwrap(),
        weight: 2.5,
        prompt: units::TokenCount(1_000_000),
        cached: units::TokenCount(7),
        output: units::TokenCount(64),
        memory: units::TokenCount(500_000),
        grouped: true,
        deadline: now + time::Duration::from_secs(60),
        queue_deadline: now + time::Duration::from_secs(2),
    };
    let engine = "engine-1".parse().unwrap();
    let mut builder = message::Builder::new_default();
    convert::write_place(builder.init_root(), &engine, &request, now);
    let reader: scheduler_capnp::place::Reader<'_> = builder.get_root_as_reader().unwrap();
    let receiver_now = units::MonoTime(77);
    let (read_engine, read) = convert::read_place(reader, receiver_now).unwrap();
    assert_eq!(read_engine, engine);
    assert_eq!(read.attempt, request.attempt);
    assert_eq!((read.prompt, read.memory, read.grouped), (request.prompt, request.memory, true));
    assert_eq!(read.deadline.since(receiver_now), time::Duration::from_secs(60));
    assert_eq!(read.queue_deadline.since(receiver_now), time::Duration::from_secs(2));
}
