//! A monotonic clock that keeps counting while the system is suspended.
//!
//! [`time::Instant`] does not count the time of a suspension. With it, a process would take its
//! leases, list, member liveness and idle connections to be fresh after a suspension.

use std::{ops, time};

/// A point in time on `CLOCK_BOOTTIME`, which counts from the boot of the system and includes suspensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(time::Duration);

impl BootInstant {
    /// Reads `CLOCK_BOOTTIME`. Values are comparable only within one boot of the system.
    pub fn now() -> Self {
        let timespec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        // The clock counts up from zero, so neither field is negative.
        let seconds = u64::try_from(timespec.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(timespec.tv_nsec).unwrap_or_default();
        Self(time::Duration::new(seconds, nanos))
    }

    /// Returns the time from `self` until now, or zero if `self` is in the future.
    pub fn elapsed(self) -> time::Duration {
        Self::now().since(self)
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> time::Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl ops::Add<time::Duration> for BootInstant {
    type Output = Self;

    fn add(self, span: time::Duration) -> Self {
        Self(self.0 + span)
    }
}
