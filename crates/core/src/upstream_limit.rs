//! How many requests a second an upstream takes from all instances together, by its own words.
//!
//! An upstream in need names its limit in its answers, for as long as it has one; an answer without it ends it.
//! Answers reach the instances in another order than they were given, and so do the words that instances pass on. What
//! is certain is that a word was given between the request and its answer: of two such times that do not overlap
//! the later word holds. Where they do, the lower limit holds: what it spares in vain the next answer gives back,
//! and the other mistake would let all instances send unbounded.

use crate::{units, upstream_notice};

/// What one answer said of the limit, or left out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitWord {
    /// The limit that it named; `None` where it named none.
    pub rate: Option<units::RequestRate>,
    /// When its request was sent: the word is not older.
    pub asked: units::MonoTime,
    /// When it was heard, by whoever asked; not before `asked`. The word is not younger.
    pub heard: units::MonoTime,
    /// Whose word it is to this instance.
    pub source: upstream_notice::NoticeSource,
}

impl LimitWord {
    /// Of two words on one start of an upstream the one that holds.
    pub fn or(self, other: Self) -> Self {
        if other.asked >= self.heard {
            other
        } else if self.asked >= other.heard || self.is_lower(&other) {
            self
        } else {
            other
        }
    }

    /// Whether it lets less through than another, or as much for longer.
    fn is_lower(&self, other: &Self) -> bool {
        let bound = |word: &Self| word.rate.map_or(f64::INFINITY, units::RequestRate::per_second);
        let (own, other_bound) = (bound(self), bound(other));
        own < other_bound || (own == other_bound && self.heard >= other.heard)
    }
}

/// The limit that an upstream has named, as it is believed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// The word that holds.
    pub word: LimitWord,
    /// When the upstream began to name limits, or had ended them.
    pub since: units::MonoTime,
}

/// What a word on a limit changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitNews {
    /// Nothing.
    Known,
    /// The upstream had no limit before.
    Begun(units::RequestRate),
    /// It had another one: now and before.
    Changed(units::RequestRate, units::RequestRate),
    /// It has none any more.
    Ended,
}

impl LimitNews {
    /// Of a limit that was believed before, and the one that is now.
    pub(crate) fn of(before: Option<units::RequestRate>, now: Option<units::RequestRate>) -> Self {
        match (before, now) {
            (None, Some(now)) => Self::Begun(now),
            (Some(before), Some(now)) if before != now => Self::Changed(now, before),
            (Some(_), None) => Self::Ended,
            _ => Self::Known,
        }
    }
}
