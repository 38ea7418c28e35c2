//! What a silent connection says: that it is dead, as others of its age may be, or that its
//! upstream is slow.
//!
//! Connections can fall silent for good without a reset while new ones work, and what strikes one
//! strikes others that were open then. Ages stand for points in time, so that no clock is needed.

use std::time;

/// Answers before an upstream's usual time is known.
const LEAST_ANSWERS: u32 = 8;
/// Weight of the newest answer in the mean, and of its distance in the spread: those by which TCP
/// follows round trips.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// See [`MEAN_WEIGHT`].
const SPREAD_WEIGHT: f64 = 1.0 / 4.0;
/// Spreads above the mean within which answers come.
const SPREADS: f64 = 4.0;
/// Times that within which an answer is awaited on a connection that has rested.
const KEPT_TIMES: f64 = 1.5;
/// Part of the goal that is awaited at least; the rest is for the request on a new connection.
const GOAL_PART: f64 = 0.6;
/// Part of a wait in whose course a connection must have been heard to be trusted after it. The
/// answer was due in the earlier part, so the silence had begun by its end.
const TRUST_PART: f64 = 0.5;

/// How long answers of one kind take, from the request's writing to their head.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerTimes {
    answers: u32,
    mean: f64,
    spread: f64,
}

impl AnswerTimes {
    /// Takes in an answer.
    pub fn note(&mut self, span: time::Duration) {
        let seconds = span.as_secs_f64();
        if self.answers == 0 {
            self.mean = seconds;
            self.spread = seconds / 2.0;
        } else {
            let distance = seconds - self.mean;
            self.mean += distance * MEAN_WEIGHT;
            self.spread += (distance.abs() - self.spread) * SPREAD_WEIGHT;
        }
        self.answers = self.answers.saturating_add(1);
    }

    /// How long answers take at most, usually; nothing while too few are known.
    pub fn usual(&self) -> time::Duration {
        if self.answers < LEAST_ANSWERS {
            return time::Duration::ZERO;
        }
        let seconds = self.mean + self.spread * SPREADS;
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX / 2)
    }

    /// How long a head is awaited on a connection that has rested, before the request goes out
    /// anew; never longer than `longest`, the wait for a slow upstream.
    pub fn kept_wait(&self, goal: time::Duration, longest: time::Duration) -> time::Duration {
        if self.answers < LEAST_ANSWERS {
            return longest;
        }
        let wait = self.usual().mul_f64(KEPT_TIMES);
        wait.max(goal.mul_f64(GOAL_PART)).min(longest)
    }
}

/// What is known of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionAges {
    /// Time since it was opened.
    pub opened: time::Duration,
    /// Time since it was last heard; nothing while it has never been.
    pub heard: Option<time::Duration>,
}

impl ConnectionAges {
    /// Whether it was heard in the course of a wait of `waited` that ends now, late enough that it
    /// cannot have fallen silent with what was waited for.
    pub fn trusted(&self, waited: time::Duration) -> bool {
        self.heard.is_some_and(|heard| heard < waited.mul_f64(TRUST_PART))
    }

    /// Whether one of `others` was open all the time in which this one may have fallen silent, and
    /// was heard late in the wait: whatever struck this one has spared that one.
    pub fn has_live_peer(
        &self,
        waited: time::Duration,
        mut others: impl Iterator<Item = Self>,
    ) -> bool {
        let silent = self.silent();
        others.any(|other| other.opened >= silent && other.trusted(waited))
    }

    /// Since when it may have been silent.
    fn silent(&self) -> time::Duration {
        self.heard.unwrap_or(self.opened)
    }
}

/// What a connection was silent in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilencePhase {
    /// The head of an answer was awaited.
    Head,
    /// Part of an answer had come.
    MidAnswer,
}

/// What a silence is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// A connection that had rested is dead; others that rested through the same time may be.
    KeptConnection,
    /// A connection died in the middle of an answer; others that were open then may have, too.
    OpenConnection,
    /// A new connection came about and nothing was heard: the upstream is dark.
    Upstream,
    /// Others to the same upstream, open as long, are heard: it is slow with this request.
    SlowUpstream,
}

impl SilenceCause {
    /// What `silent` shows after a wait of `waited`, beside the other connections to its upstream.
    pub fn of(
        silent: ConnectionAges,
        moment: SilencePhase,
        waited: time::Duration,
        others: impl Iterator<Item = ConnectionAges>,
    ) -> Self {
        if silent.heard.is_none() {
            return Self::Upstream;
        }
        if silent.has_live_peer(waited, others) {
            return Self::SlowUpstream;
        }
        match moment {
            SilencePhase::Head => Self::KeptConnection,
            SilencePhase::MidAnswer => Self::OpenConnection,
        }
    }

    /// Whether other connections to the upstream are in doubt that have not been heard since.
    pub fn doubts_others(self) -> bool {
        matches!(self, Self::KeptConnection | Self::OpenConnection)
    }

    /// Its name in figures and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::KeptConnection => "kept connection",
            Self::OpenConnection => "open connection",
            Self::Upstream => "upstream",
            Self::SlowUpstream => "slow upstream",
        }
    }
}
