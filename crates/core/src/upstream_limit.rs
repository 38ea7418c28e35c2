//! Request limits that upstreams announce in their answers.
//!
//! An overloaded upstream announces its limit for all instances together in each answer; an answer without a limit ends
//! it. Readings reach the instances out of order, and each was made at some time between its request and its answer. Of
//! two readings with disjoint intervals the later one holds. If the intervals overlap, the lower limit holds: if that is
//! wrong, the next answer corrects it, while a limit that is too high would let all instances overload the upstream.

use crate::{units, upstream_notice};

/// The limit that an answer announced, or its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReading {
    /// The announced limit; `None` if the answer has none.
    pub rate: Option<units::RequestRate>,
    /// When the request was sent; the reading is not older than that.
    pub requested: units::MonoTime,
    /// When the answer arrived at the instance that sent the request, not before `requested`; the reading is not newer than
    /// that.
    pub received: units::MonoTime,
    /// How this instance received the reading.
    pub source: upstream_notice::NoticeSource,
}

impl LimitReading {
    /// Returns the reading that is in force, of two readings of the same start of an upstream.
    pub fn or(self, other: Self) -> Self {
        if other.requested >= self.received {
            other
        } else if self.requested >= other.received || self.is_lower(&other) {
            self
        } else {
            other
        }
    }

    /// Whether this reading has the lower limit, or the same limit and arrived no earlier.
    fn is_lower(&self, other: &Self) -> bool {
        let rate =
            |reading: &Self| reading.rate.map_or(f64::INFINITY, units::RequestRate::per_second);
        let (own_rate, other_rate) = (rate(self), rate(other));
        own_rate < other_rate || (own_rate == other_rate && self.received >= other.received)
    }
}

/// The limit in force for an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// The reading that [`LimitReading::or`] selects among all readings received for the upstream.
    pub reading: LimitReading,
    /// Since when the upstream has had a limit or, if `reading` has none, since when it has had none.
    pub since: units::MonoTime,
}

/// Change of an upstream's limit that a reading caused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The limit did not change.
    Known,
    /// The upstream now has this limit and had none before.
    Begun(units::RequestRate),
    /// The limit changed. Holds the new and the old one.
    Changed(units::RequestRate, units::RequestRate),
    /// The upstream has no limit any more.
    Ended,
}

impl LimitChange {
    /// The change from the limit `before` to the limit `now`.
    pub(crate) fn of(before: Option<units::RequestRate>, now: Option<units::RequestRate>) -> Self {
        match (before, now) {
            (None, Some(now)) => Self::Begun(now),
            (Some(before), Some(now)) if before != now => Self::Changed(now, before),
            (Some(_), None) => Self::Ended,
            _ => Self::Known,
        }
    }
}
