//! The clock that goes on while the machine is suspended.

use std::time::{Duration, Instant};

use slipturn_net::{boot_clock::BootInstant, process::ProcessClock};

/// Readings of one measurement.
const READINGS: u32 = 100_000;
/// A reading costs at most so many of the steady clock's: a request reads it some hundred times.
const MAX_RATIO: f64 = 20.0;

/// Reads the clock as the system has it, past the type that the product uses.
fn boot_time() -> Duration {
    let read = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(read.tv_sec as u64, read.tv_nsec as u32)
}

#[test]
fn the_process_clock_follows_the_time_that_counts_suspensions() {
    let (clock, started) = (ProcessClock::start(), boot_time());
    std::thread::sleep(Duration::from_millis(30));
    let before = boot_time() - started;
    let told = clock.now().since(slipturn_core::units::MonoTime::default());
    let after = boot_time() - started;
    // The clock started a moment before the reading beside it.
    assert!(
        told >= before && told <= after + Duration::from_millis(5),
        "{before:?} {told:?} {after:?}"
    );
}

#[test]
fn moments_are_ordered_and_spans_never_negative() {
    let (one, two) = (BootInstant::now(), BootInstant::now());
    assert!(one <= two);
    assert_eq!(one.since(two + Duration::from_secs(1)), Duration::ZERO);
    assert_eq!((one + Duration::from_secs(1)).since(one), Duration::from_secs(1));
}

#[test]
fn a_reading_costs_about_as_much_as_the_steady_clocks() {
    let time = |read: &dyn Fn()| {
        let started = Instant::now();
        (0..READINGS).for_each(|_| read());
        started.elapsed().as_nanos() as f64 / f64::from(READINGS)
    };
    let steady = time(&|| _ = std::hint::black_box(Instant::now()));
    let boot = time(&|| _ = std::hint::black_box(BootInstant::now()));
    println!("steady {steady:.1} ns, boot {boot:.1} ns a reading");
    assert!(boot <= steady * MAX_RATIO, "steady {steady:.1} ns, boot {boot:.1} ns");
}
