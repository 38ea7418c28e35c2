//! Ways of the planner's decisions that can be compared: one is the default, the others are there to
//! measure against it.

use std::fmt;

use serde::Deserialize;

use crate::{cold_start, retry_need, route_table, upstream_notice};

/// Writers with tight pauses that an engine is filled up to before the next one is used, where the
/// number is fixed: two of 16 slots stay for bursts.
const FIXED_WRITERS: usize = 14;
/// The same in shares of an engine's slots.
const WRITERS_SHARE: f64 = 0.875;

/// How short prompts are packed onto few engines, so that others stay free for long ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PackingWay {
    /// Up to a fixed number of writers.
    #[default]
    Fixed,
    /// Up to a share of the engine's slots.
    SlotShare,
    /// Not at all: onto the engine with the earliest start.
    Off,
}

impl PackingWay {
    /// Writers that an engine is filled up to; nothing where they are not packed.
    pub(crate) fn writers(self, shape: &route_table::EngineShape) -> Option<usize> {
        match self {
            Self::Fixed => Some(FIXED_WRITERS),
            Self::SlotShare => Some(((shape.slots as f64 * WRITERS_SHARE) as usize).max(1)),
            Self::Off => None,
        }
    }
}

/// How an engine that failed is given work again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFaultWay {
    /// Behind a pause, one prompt until its first token; a refusal for want of room pauses, too.
    #[default]
    Probe,
    /// Behind a pause, as any other; a refusal says nothing.
    Pause,
}

/// When a short prompt that finds no calm place is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShortRefusalWay {
    /// If its first token would come too late for its caller, or most places are taken and it would
    /// stand in a queue.
    #[default]
    Crowded,
    /// Only if its first token would come too late.
    Hopeless,
}

/// How the other instances learn that an upstream leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingNewsWay {
    /// A member that an upstream has informed informs all at once.
    #[default]
    All,
    /// Each from the upstream itself, or from the list.
    Heard,
}

/// How a planner learns that a member must not send to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClosedEngineWay {
    /// By each ask of that member.
    #[default]
    Asked,
    /// Not at all: the member keeps the request back and asks again.
    KeptBack,
}

/// Which of the upstreams of a plain service takes a call, of those that rank equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadChoiceWay {
    /// Any of the least loaded.
    #[default]
    Random,
    /// The less loaded of two that are drawn.
    TwoChoices,
    /// The least loaded, of equal ones that which comes first in an order of this instance's own.
    OwnOrder,
    /// The least loaded, of equal ones the first in the list.
    First,
}

/// In which order the retries go that all members share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryOrderWay {
    /// Those that save more first.
    #[default]
    ByNeed,
    /// As they come.
    Arrival,
}

impl RetryOrderWay {
    /// What a retry counts as.
    pub fn need(self, need: retry_need::RetryNeed) -> retry_need::RetryNeed {
        match self {
            Self::ByNeed => need,
            Self::Arrival => retry_need::RetryNeed::Begun,
        }
    }
}

/// Which engines report in each round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportWay {
    /// Those with work; idle ones less often.
    #[default]
    Used,
    /// All.
    All,
}

/// The way of each decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlannerWays {
    /// Packing of short prompts.
    pub packing: PackingWay,
    /// Engines that failed.
    pub engine_faults: EngineFaultWay,
    /// Refusal of short prompts.
    pub short_refusal: ShortRefusalWay,
    /// Return after a rest.
    pub rest_return: upstream_notice::RestReturnWay,
    /// News of upstreams that leave.
    pub leaving_news: LeavingNewsWay,
    /// Engines that a member must not send to.
    pub closed_engines: ClosedEngineWay,
    /// Choice among the upstreams of a plain service.
    pub load_choice: LoadChoiceWay,
    /// Order of retries.
    pub retry_order: RetryOrderWay,
    /// Upstreams that have just started.
    pub cold_upstreams: cold_start::ColdUpstreamWay,
    /// Reports of engines.
    pub reports: ReportWay,
}

impl fmt::Display for PlannerWays {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "packing {:?}, engine faults {:?}, short refusal {:?}, rest return {:?}, leaving news {:?}, \
             closed engines {:?}, load choice {:?}, retry order {:?}, cold upstreams {:?}, \
             reports {:?}",
            self.packing,
            self.engine_faults,
            self.short_refusal,
            self.rest_return,
            self.leaving_news,
            self.closed_engines,
            self.load_choice,
            self.retry_order,
            self.cold_upstreams,
            self.reports
        )
    }
}
