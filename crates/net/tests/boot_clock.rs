//! The monotonic clock that includes suspensions of the system: its source, its arithmetic and its cost.

use std::time::{Duration, Instant};

use slipturn_net::{boot_clock::BootInstant, process::ProcessClock};

/// Number of readings per measurement.
const READINGS: u32 = 100_000;
/// Maximum cost of a reading relative to one of `Instant`. A request reads the clock about a hundred times.
const MAX_COST_RATIO: f64 = 20.0;

/// Reads `CLOCK_BOOTTIME` directly, without `BootInstant`.
fn boot_time() -> Duration {
    let timespec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(timespec.tv_sec as u64, timespec.tv_nsec as u32)
}

#[test]
fn process_clock_follows_the_clock_that_includes_suspensions() {
    let (clock, started) = (ProcessClock::start(), boot_time());
    std::thread::sleep(Duration::from_millis(30));
    let before = boot_time() - started;
    let measured = clock.now().since(slipturn_core::units::MonoTime::default());
    let after = boot_time() - started;
    // The process clock was started shortly before `started` was read.
    assert!(
        measured >= before && measured <= after + Duration::from_millis(5),
        "{before:?} {measured:?} {after:?}"
    );
}

#[test]
fn instants_are_ordered_and_durations_are_never_negative() {
    let (first, second) = (BootInstant::now(), BootInstant::now());
    assert!(first <= second);
    assert_eq!(first.since(second + Duration::from_secs(1)), Duration::ZERO);
    assert_eq!((first + Duration::from_secs(1)).since(first), Duration::from_secs(1));
}

#[test]
fn a_reading_costs_little_more_than_one_of_the_standard_clock() {
    let nanos_per_reading = |read: &dyn Fn()| {
        let started = Instant::now();
        (0..READINGS).for_each(|_| read());
        started.elapsed().as_nanos() as f64 / f64::from(READINGS)
    };
    let standard = nanos_per_reading(&|| _ = std::hint::black_box(Instant::now()));
    let boot = nanos_per_reading(&|| _ = std::hint::black_box(BootInstant::now()));
    println!("standard {standard:.1} ns, boot {boot:.1} ns per reading");
    assert!(boot <= standard * MAX_COST_RATIO, "standard {standard:.1} ns, boot {boot:.1} ns");
}
