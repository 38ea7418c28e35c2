//! The work of one engine as its planner believes it.

use std::{collections, time};

use crate::{engine_place, units};

/// Time an engine is left alone after a failure; doubles with each further one.
const SHUN_TIME: time::Duration = time::Duration::from_millis(600);
/// Longest time an engine is left alone.
const MAX_SHUN_TIME: time::Duration = time::Duration::from_secs(5);
/// Paces that are believed; a report beyond them is a fault.
const PACES: (f64, f64) = (0.5, 20.0);
/// Requests that come and go while a report is on its way; a difference up to this says nothing.
const REPORT_SLACK: usize = 4;

/// A part of a prompt that an engine has not read yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingPart {
    pub(crate) job: engine_place::JobId,
    pub(crate) left_ms: f64,
}

/// What one engine is believed to do.
#[derive(Debug, Clone)]
pub(crate) struct EngineWork {
    /// Place in the order in which engines are filled.
    pub(crate) rank: u64,
    pub(crate) memory: u64,
    /// Requests answered here.
    pub(crate) answering: collections::BTreeSet<engine_place::JobId>,
    /// Parts not read yet, oldest first.
    pub(crate) pending: collections::VecDeque<PendingPart>,
    /// Tokens in use or set aside.
    pub(crate) used: u64,
    /// Above 1 the engine is slower than its figures.
    pub(crate) pace: f64,
    /// Requests of other planners.
    pub(crate) foreign: usize,
    pub(crate) failures: u32,
    pub(crate) shunned_until: units::MonoTime,
    pub(crate) advanced: units::MonoTime,
}

impl EngineWork {
    /// An idle engine.
    pub(crate) fn new(rank: u64, memory: u64, now: units::MonoTime) -> Self {
        Self {
            rank,
            memory,
            answering: collections::BTreeSet::new(),
            pending: collections::VecDeque::new(),
            used: 0,
            pace: 1.0,
            foreign: 0,
            failures: 0,
            shunned_until: units::MonoTime::default(),
            advanced: now,
        }
    }

    /// Works off what has been read since the last call.
    pub(crate) fn advance(&mut self, now: units::MonoTime) {
        let mut spent = now.since(self.advanced).as_secs_f64() * 1_000.0 / self.pace;
        self.advanced = now;
        while spent > 0.0 {
            let Some(front) = self.pending.front_mut() else {
                return;
            };
            if front.left_ms > spent {
                front.left_ms -= spent;
                return;
            }
            spent -= front.left_ms;
            self.pending.pop_front();
        }
    }

    /// Leaves it alone for a while, longer after each failure in a row.
    pub(crate) fn shun(&mut self, now: units::MonoTime) {
        let time = SHUN_TIME * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        self.shunned_until = now + time.min(MAX_SHUN_TIME);
    }

    /// Takes over what it says of itself.
    pub(crate) fn report(&mut self, pace: f64, requests: usize) {
        self.pace = pace.clamp(PACES.0, PACES.1);
        self.foreign = requests.saturating_sub(self.answering.len() + REPORT_SLACK);
    }

    /// Reading that waits, milliseconds.
    pub(crate) fn pending_ms(&self) -> f64 {
        self.pending.iter().map(|part| part.left_ms).sum()
    }
}
