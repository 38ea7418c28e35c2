//! Settings of the decisions that apply while there is less room than callers need.

use std::fmt;

use serde::Deserialize;

/// How engine time is divided among customers while room is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CustomerSharing {
    /// Customers are not distinguished.
    #[default]
    Off,
    /// Max-min shares of the work in progress.
    InProgress,
    /// Max-min shares of the work granted recently.
    RecentWork,
}

/// How callers that were refused for lack of room return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReturnOrder {
    /// The retry delay follows the mean time in which slots are released; a returning caller has no precedence over
    /// callers that were refused after it.
    #[default]
    Off,
    /// Each refused caller gets a time of its own, at which room is expected, but no precedence at that time. For
    /// comparison.
    Spaced,
    /// Each refused caller gets a time of its own, at which room is expected, and precedence at that time.
    Scheduled,
    /// As [`Self::Scheduled`] for short requests. A returning long prompt that has precedence costs a first attempt, which
    /// could be in time as well.
    ScheduledShorts,
}

impl ReturnOrder {
    /// Whether refused callers of short requests, or of long prompts, get a time of their own.
    pub fn assigns_times(self, short: bool) -> bool {
        match self {
            Self::Off => false,
            Self::Spaced | Self::Scheduled => true,
            Self::ScheduledShorts => short,
        }
    }

    /// Whether returning callers of short requests, or of long prompts, have precedence at their time.
    pub fn has_precedence(self, short: bool) -> bool {
        self != Self::Spaced && self.assigns_times(short)
    }
}

/// How the speed of a single upstream enters the choice among upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SpeedTracking {
    /// All upstreams of a service count as equally fast, except that engines report a pace.
    #[default]
    Off,
    /// The upstream with the earliest expected completion by its measured speed.
    ExpectedCompletion,
    /// The less loaded of two upstreams, drawn with probabilities proportional to their measured speed.
    WeightedChoice,
}

/// What happens to requests that arrive while an instance has just started and knows no routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartHold {
    /// Requests wait up to a fixed process age, then are refused with a delay derived from the age.
    #[default]
    Off,
    /// The wait and the retry delay follow what members and the store have answered, and callers that are already late
    /// return after those that can still be in time.
    ByContact,
    /// Like [`ByContact`](Self::ByContact), but the retry delay is as long again as the outage has lasted.
    ByContactElapsed,
}

/// How a planner tracks the passes of an engine, on which the expected first token of a short request depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PassTracking {
    /// A pass ends when its modeled time is over.
    #[default]
    Modeled,
    /// A pass that prefills prompts ends with the first token of one of them. A short prompt joins the next pass only if
    /// the prompts that already wait for that pass still meet their goal.
    Confirmed,
}

/// Which long prompts that will be late are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LateAdmission {
    /// Those that would get their first token in time if the recent demand for engine time went on.
    #[default]
    ByLoad,
    /// Those that the timetable of the present requests places in time. Bursts of long prompts last for seconds, which is
    /// less than callers wait.
    AsBooked,
}

/// How retries are told from first attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptRule {
    /// A retry states less than nearly the whole time limit of its route.
    #[default]
    Nominal,
    /// A retry states less than callers have stated recently with their first attempts.
    Observed,
}

/// What a planner places first that has begun in a process that has just started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannerStart {
    /// Requests are placed as they arrive.
    #[default]
    Immediate,
    /// Long prompts that can wait are placed after the short requests of the first moments.
    ShortsFirst,
}

/// How planners provide for short requests that are expected to arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadForecasting {
    /// Only requests that have arrived count.
    #[default]
    Off,
    /// As many engines as the expected short requests need get no long parts of prompts. A long prompt that has waited
    /// for half of its goal is not displaced by later ones.
    ReserveSlots,
}

/// When a member takes a planner that leaves requests for places unanswered for silent, and asks the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannerSilence {
    /// After two requests that were not answered within a fixed time, possibly at the same moment.
    #[default]
    Fixed,
    /// After two time-outs in a row without any sign of life of the planner. The time-out doubles with each repetition.
    Contact,
    /// As [`Self::Fixed`], but the time-out follows the measured reply times.
    ReplyTimes,
}

/// Settings of the decisions that apply while there is less room than callers need. The defaults leave all of them
/// off.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SharingPolicy {
    /// Division of engine time among customers.
    pub customers: CustomerSharing,
    /// Order in which refused callers return.
    pub returns: ReturnOrder,
    /// Use of measured speeds in the choice among upstreams.
    pub speeds: SpeedTracking,
    /// Treatment of requests that arrive right after a start.
    pub start: StartHold,
    /// Precedence at a planner that has begun in a process that has just started.
    pub planner_start: PlannerStart,
    /// Time-out of planners.
    pub planner_silence: PlannerSilence,
    /// Tracking of the engines' passes.
    pub passes: PassTracking,
    /// Admission of long prompts that will be late.
    pub late_admission: LateAdmission,
    /// Recognition of retries.
    pub attempts: AttemptRule,
    /// Provision for short requests that are expected to arrive.
    pub forecast: LoadForecasting,
    /// Weight of a customer relative to one whose published priority is one less urgent; at least 1. With 1 all
    /// customers weigh the same.
    #[serde(default)]
    pub priority_ratio: PriorityRatio,
}

/// Ratio between the weights of customers of neighboring priorities.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(try_from = "f64")]
pub struct PriorityRatio(f64);

impl Default for PriorityRatio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl TryFrom<f64> for PriorityRatio {
    type Error = String;

    fn try_from(ratio: f64) -> Result<Self, String> {
        if ratio.is_finite() && ratio >= 1.0 {
            return Ok(Self(ratio));
        }
        Err(format!("found {ratio}, expected 1 or more"))
    }
}

impl PriorityRatio {
    /// Weight of a customer with a published priority; 0 is the most urgent priority and has the largest weight.
    pub fn weight(self, priority: u8) -> f64 {
        self.0.powi(-i32::from(priority))
    }
}

impl fmt::Display for SharingPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "customers {:?}, returns {:?}, speeds {:?}, start {:?}, planner start {:?}, \
             planner silence {:?}, passes {:?}, late admission {:?}, attempts {:?}, forecast {:?}, priority ratio {}",
            self.customers,
            self.returns,
            self.speeds,
            self.start,
            self.planner_start,
            self.planner_silence,
            self.passes,
            self.late_admission,
            self.attempts,
            self.forecast,
            self.priority_ratio.0
        )
    }
}
