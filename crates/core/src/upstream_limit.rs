//! Request limits that upstreams announce in their answers.
//!
//! An overloaded upstream announces its limit for all instances together in each answer; an answer without one ends it.
//! Readings reach the instances out of order. Each was made between its request and its answer: of two disjoint intervals
//! the later one holds. For overlapping intervals the lower limit holds, as the next answer corrects it, while the other
//! mistake would let all instances send without bound.

use crate::{units, upstream_notice};

/// One answer's limit, or its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReading {
    /// The limit; `None` when the answer has none.
    pub rate: Option<units::RequestRate>,
    /// When the request was sent; the reading is not older.
    pub asked: units::MonoTime,
    /// When the answer arrived at the instance that asked; not before `asked`. The reading is not younger.
    pub heard: units::MonoTime,
    /// Where this instance has it from.
    pub source: upstream_notice::NoticeSource,
}

impl LimitReading {
    /// The one of two readings of one start of an upstream that holds.
    pub fn or(self, other: Self) -> Self {
        if other.asked >= self.heard {
            other
        } else if self.asked >= other.heard || self.is_lower(&other) {
            self
        } else {
            other
        }
    }

    /// Whether it is the lower limit, or an equal one that is newer.
    fn is_lower(&self, other: &Self) -> bool {
        let bound =
            |reading: &Self| reading.rate.map_or(f64::INFINITY, units::RequestRate::per_second);
        let (own, other_bound) = (bound(self), bound(other));
        own < other_bound || (own == other_bound && self.heard >= other.heard)
    }
}

/// The limit in force for an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// The reading that holds.
    pub reading: LimitReading,
    /// Since when the upstream has or has no limit.
    pub since: units::MonoTime,
}

/// Change made by a reading.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// None.
    Known,
    /// The upstream has a limit now.
    Begun(units::RequestRate),
    /// The limit changed: the new and the old one.
    Changed(units::RequestRate, units::RequestRate),
    /// The limit ended.
    Ended,
}

impl LimitChange {
    /// The change between two limits.
    pub(crate) fn of(before: Option<units::RequestRate>, now: Option<units::RequestRate>) -> Self {
        match (before, now) {
            (None, Some(now)) => Self::Begun(now),
            (Some(before), Some(now)) if before != now => Self::Changed(now, before),
            (Some(_), None) => Self::Ended,
            _ => Self::Known,
        }
    }
}
