//! Decides for how long an instance whose tasks panic repeatedly leaves planning to other members.

use std::{collections, time};

use crate::units;

/// Number of panics within [`PANIC_WINDOW`] that begin a hand-over.
const HAND_OVER_PANICS: usize = 3;
/// Time after which a panic no longer counts.
const PANIC_WINDOW: time::Duration = time::Duration::from_secs(10);
/// First time without planning, counted from the last panic that caused it.
const MIN_HAND_OVER: time::Duration = time::Duration::from_secs(10);
/// Longest time without planning. A hand-over that follows soon after another lasts twice as long, as the panics then
/// come from planning itself.
const MAX_HAND_OVER: time::Duration = time::Duration::from_secs(320);

/// A time in which other members plan.
#[derive(Debug, Clone, Copy)]
struct HandOver {
    /// When this process may plan again, unless more panics follow.
    until: units::MonoTime,
    length: time::Duration,
}

/// Panics of the tasks that live as long as the process and of the planners.
#[derive(Debug, Default)]
pub struct TaskPanics {
    /// Times of the last panics, oldest first; at most [`HAND_OVER_PANICS`].
    recent: collections::VecDeque<units::MonoTime>,
    /// The last hand-over, also after its end.
    hand_over: Option<HandOver>,
}

impl TaskPanics {
    /// Records a panic; returns whether a hand-over begins.
    pub fn note(&mut self, now: units::MonoTime) -> bool {
        self.recent.retain(|panicked| now.since(*panicked) < PANIC_WINDOW);
        self.recent.push_back(now);
        if self.recent.len() > HAND_OVER_PANICS {
            self.recent.pop_front();
        }
        if self.recent.len() < HAND_OVER_PANICS {
            return false;
        }
        let begins = self.may_plan(now);
        let length = match self.hand_over {
            Some(last) if !begins => last.length,
            Some(last) if now.since(last.until) < last.length => {
                (last.length * 2).min(MAX_HAND_OVER)
            }
            _ => MIN_HAND_OVER,
        };
        self.hand_over = Some(HandOver { until: now + length, length });
        begins
    }

    /// Whether this process may be a planner.
    pub fn may_plan(&self, now: units::MonoTime) -> bool {
        self.hand_over.is_none_or(|hand_over| hand_over.until <= now)
    }
}
