//! Classification of silent connections: a dead connection or a slow upstream.
//!
//! Connections can go silent permanently without a reset while new ones work, and a fault that
//! affects one usually affects others that were open at that time. Points in time are given as
//! ages, so that this module needs no clock.

use std::time;

/// Fewest answers from which the usual answer time is estimated.
const MIN_ANSWERS: u32 = 8;
/// Weight of the newest answer time in the moving average of answer times. This weight and
/// [`DEVIATION_WEIGHT`] are those of TCP's round-trip time estimate.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the newest deviation from the mean answer time in the moving average of deviations.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations added to the mean for the usual answer time.
const DEVIATIONS: f64 = 4.0;
/// Wait for an answer on a reused connection, as a multiple of the usual answer time.
const REUSED_FACTOR: f64 = 1.5;
/// Minimum wait on a reused connection, as a fraction of the route's goal for the time to the first
/// token. The remainder is for sending the request again on a new connection.
const GOAL_PART: f64 = 0.6;
/// Last fraction of a wait on a silent connection. Another connection that received data in this part
/// is trusted to work: the answer was due in the earlier part, so the silent connection had already
/// failed when that data arrived.
const TRUST_PART: f64 = 0.5;

/// Estimate of how long answers of one kind take, from writing the request to receiving the head.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerTimes {
    /// Number of answers in the estimate, which is not used below [`MIN_ANSWERS`].
    answers: u32,
    /// Moving average of the answer times, in seconds.
    mean: f64,
    /// Moving average of the absolute deviations from `mean`, in seconds.
    deviation: f64,
}

/// Times that answers of one kind usually take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeEstimate {
    /// Mean time; not above `longest`.
    pub mean: time::Duration,
    /// Time within which answers usually arrive.
    pub longest: time::Duration,
}

impl TimeEstimate {
    /// Returns the estimate of something that takes the time of `self` and then `count` times that of `other`.
    #[must_use]
    pub fn followed_by(self, count: u64, other: Self) -> Self {
        let total = |first: time::Duration, each: time::Duration| {
            first.saturating_add(span_of(each.as_secs_f64() * count as f64))
        };
        Self { mean: total(self.mean, other.mean), longest: total(self.longest, other.longest) }
    }
}

impl AnswerTimes {
    /// Updates the estimate with an answer that took `span`.
    pub fn note(&mut self, span: time::Duration) {
        let seconds = span.as_secs_f64();
        if self.answers == 0 {
            self.mean = seconds;
            self.deviation = seconds / 2.0;
        } else {
            let error = seconds - self.mean;
            self.mean += error * MEAN_WEIGHT;
            self.deviation += (error.abs() - self.deviation) * DEVIATION_WEIGHT;
        }
        self.answers = self.answers.saturating_add(1);
    }

    /// Time within which answers usually arrive; zero until enough answers are known.
    pub fn usual_time(&self) -> time::Duration {
        self.estimate().map_or(time::Duration::ZERO, |estimate| estimate.longest)
    }

    /// Times that answers usually take; `None` until enough answers are known.
    pub fn estimate(&self) -> Option<TimeEstimate> {
        let longest = self.mean + self.deviation * DEVIATIONS;
        let estimate = TimeEstimate { mean: span_of(self.mean), longest: span_of(longest) };
        (self.answers >= MIN_ANSWERS).then_some(estimate)
    }

    /// How long to wait for a head on a reused connection before the request is sent again; at most
    /// `longest`, the wait for a slow upstream.
    pub fn reused_connection_wait(
        &self,
        goal: time::Duration,
        longest: time::Duration,
    ) -> time::Duration {
        if self.answers < MIN_ANSWERS {
            return longest;
        }
        let wait = self.usual_time().mul_f64(REUSED_FACTOR);
        wait.max(goal.mul_f64(GOAL_PART)).min(longest)
    }
}

/// Ages of the events of a connection that tell a dead connection from a slow upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionAges {
    /// Time since the connection was opened.
    pub opened: time::Duration,
    /// Time since data was last received; `None` if none ever was.
    pub received: Option<time::Duration>,
}

impl ConnectionAges {
    /// Whether this connection received data in the last part (`TRUST_PART`) of a wait of `waited`
    /// on a silent connection, which ends now. If so, a fault that silenced both connections is ruled
    /// out.
    pub fn trusted(&self, waited: time::Duration) -> bool {
        self.received.is_some_and(|received| received < waited.mul_f64(TRUST_PART))
    }

    /// Whether one of `others` works although it was already open when this connection may have gone
    /// silent: a fault of this connection did not affect that other connection. `waited` is the wait
    /// on this connection, which ends now.
    pub fn has_live_peer(
        &self,
        waited: time::Duration,
        mut others: impl Iterator<Item = Self>,
    ) -> bool {
        let silent = self.silent();
        others.any(|other| other.opened >= silent && other.trusted(waited))
    }

    /// Longest time for which the connection may have been silent.
    fn silent(&self) -> time::Duration {
        self.received.unwrap_or(self.opened)
    }
}

/// Phase of a request in which its connection went silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilencePhase {
    /// The connection went silent before the head of the answer.
    Head,
    /// The connection went silent after part of the answer.
    MidAnswer,
}

/// Assumed cause of a connection's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// A reused connection is dead; others that were idle during the same time may be dead as well.
    ReusedConnection,
    /// A connection died in the middle of an answer; others that were open then may be dead as well.
    OpenConnection,
    /// A connection never received any data: the upstream is unresponsive.
    Upstream,
    /// Another connection to the upstream, open for as long, receives data: only this request is
    /// slow.
    SlowUpstream,
}

impl SilenceCause {
    /// Classifies the silence of the connection `silent` after a wait of `waited`; `others` are the
    /// other connections to the same upstream.
    pub fn of(
        silent: ConnectionAges,
        phase: SilencePhase,
        waited: time::Duration,
        others: impl Iterator<Item = ConnectionAges>,
    ) -> Self {
        if silent.received.is_none() {
            return Self::Upstream;
        }
        if silent.has_live_peer(waited, others) {
            return Self::SlowUpstream;
        }
        match phase {
            SilencePhase::Head => Self::ReusedConnection,
            SilencePhase::MidAnswer => Self::OpenConnection,
        }
    }

    /// Whether other connections to the upstream may be dead as well, except those that are
    /// [trusted](ConnectionAges::trusted) after the wait.
    pub fn may_affect_others(self) -> bool {
        matches!(self, Self::ReusedConnection | Self::OpenConnection)
    }

    /// Label in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::ReusedConnection => "kept connection",
            Self::OpenConnection => "open connection",
            Self::Upstream => "upstream",
            Self::SlowUpstream => "slow upstream",
        }
    }
}

/// Converts seconds, which are not negative, to a duration; a number that does not fit becomes half of the largest.
fn span_of(seconds: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX / 2)
}
