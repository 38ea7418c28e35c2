//! Time that goes on while the machine is suspended.
//!
//! The steady clock of the standard library does not count that time. Whoever wakes by it believes that what
//! it knew before is still fresh: leases, the age of the list, who is alive, connections that rest.

use std::{ops, time};

/// A moment by the clock that counts from the machine's start and goes on while it is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(time::Duration);

impl BootInstant {
    /// This moment.
    pub fn now() -> Self {
        let read = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        // The clock counts up from zero; its fields are never negative.
        let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(read.tv_nsec).unwrap_or_default();
        Self(time::Duration::new(seconds, nanos))
    }

    /// Time since this moment.
    pub fn elapsed(self) -> time::Duration {
        Self::now().since(self)
    }

    /// Time from an earlier moment to this one; nothing where that is not earlier.
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
